"""Registration, heartbeats, down marks, fences and leaving, on a fake clock."""

import itertools
import random

import pytest
from core_clusters import Cluster
from core_fakes import Store
from zinniahook_core import effects, events
from zinniahook_core.codes import Code
from zinniahook_core.membership import DOWN_RETENTION_SECONDS, MEMBERS_LIMIT, Membership
from zinniahook_core.messages import Heartbeat
from zinniahook_core.models import Address, AgentState, Load, Member, Roster

ADDRESS = Address("10.1.0.1", 7000)


def member(name, incarnation=1, state=AgentState.READY):
    return Member(name, ADDRESS, ADDRESS, ADDRESS, "z", incarnation, state, 4)


def membership(name="a", incarnation=1):
    def load(now):
        return Load(4, 0, 0, 0, 0)

    return Membership(member(name, incarnation), "tally", random.Random(1), load)


def only(found, kind):
    (effect,) = [effect for effect in found if isinstance(effect, kind)]
    return effect


def has(found, kind):
    return any(isinstance(effect, kind) for effect in found)


def states(cluster, service="tally"):
    by_name = cluster.store.by_service[service].by_name
    return {name: entry.state for name, entry in by_name.items()}


def announced(store, core, now=0.0):
    """Run ``core`` until it is ready in the roster of ``store``."""
    answer = store.write(only(core.tick(now, False), effects.WriteRoster))
    core.written(now, answer)
    report = events.TargetReported(True, None)
    ready = only(core.target_reported(now, report), effects.WriteRoster)
    core.written(now, store.write(ready))
    assert core.accepting


class TestAnnounce:
    def test_starts_then_is_ready_when_the_target_answers(self):
        cluster = Cluster(1, {"tally": 1})
        assert states(cluster) == {"tally-7000": AgentState.READY}
        assert cluster.store.writes == 2

    def test_conflict_keeps_what_others_wrote(self):
        store, first, second = Store(), membership("a"), membership("b")
        mine = only(first.tick(0.0, False), effects.WriteRoster)
        theirs = only(second.tick(0.0, False), effects.WriteRoster)
        first.written(0.0, store.write(mine))
        second.written(0.0, store.write(theirs))
        again = only(second.tick(1.0, False), effects.WriteRoster)
        second.written(1.0, store.write(again))
        assert set(store.by_service["tally"].by_name) == {"a", "b"}
        assert not second.fenced

    @pytest.mark.parametrize("stored", [True, False])
    def test_lost_answer_is_settled_by_reading(self, stored):
        """An agent must be registered exactly once although an answer is lost.

        The write of its registration may or may not be stored. If the lost answer
        were taken for a failure or a success, the agent would never serve or
        register twice.
        """
        store, core = Store(), membership()
        write = only(core.tick(0.0, False), effects.WriteRoster)
        if stored:
            store.write(write)
        lost = events.RosterWritten(write.operation, Code.STORE_ANSWER_LOST, None)
        assert has(core.written(0.1, lost), effects.ReadRoster)
        roster = store.by_service.get("tally", Roster("tally", 0, {}))
        core.learn(0.2, roster)
        assert core.fenced is not stored
        assert has(core.tick(2.0, False), effects.WriteRoster) is not stored

    def test_lost_answer_and_lost_read_are_settled_by_the_next_compare(self):
        """An agent must not stay fenced if the read after a lost answer is lost
        too.

        The write is stored, and its answer and the read get lost. If only the read
        ended the wait, the agent would never serve.
        """
        store, core = Store(), membership()
        write = only(core.tick(0.0, False), effects.WriteRoster)
        store.write(write)
        lost = events.RosterWritten(write.operation, Code.STORE_ANSWER_LOST, None)
        core.written(0.1, lost)
        again = only(core.tick(2.0, False), effects.WriteRoster)
        assert not has(core.written(2.0, store.write(again)), effects.WriteRoster)
        assert not core.fenced
        assert store.writes == 2

    def test_outage_is_retried_with_growing_waits(self):
        """Agents must not all write at once when the store returns.

        The store is down while agents want to write. Without backoff and jitter
        their retries would coincide.
        """
        store, core = Store(), membership()
        store.down = True
        tries = []
        for tick in range(300):
            for effect in core.tick(tick / 10, False):
                if isinstance(effect, effects.WriteRoster):
                    tries.append(tick / 10)
                    core.written(tick / 10, store.write(effect))
        gaps = [after - before for before, after in itertools.pairwise(tries)]
        assert 5 < len(tries) < 20
        assert gaps[0] < 1 < max(gaps) < 8
        store.down = False
        write = only(core.tick(40.0, False), effects.WriteRoster)
        core.written(40.0, store.write(write))
        assert not core.fenced

    def test_wrong_health_endpoint_delays_readiness_only(self):
        """A working target must get work although its health endpoint is wrong.

        Its port accepts connections while the endpoint reports unhealthy forever.
        An agent that trusted only the endpoint would never become ready.
        """
        core = membership()
        core.tick(0.0, False)
        denied = events.TargetReported(False, None, accepts=True)
        core.target_reported(1.0, denied)
        assert core.state is AgentState.STARTING
        core.target_reported(11.0, events.TargetReported(None, None, accepts=False))
        assert core.state is AgentState.STARTING
        core.target_reported(11.1, denied)
        assert core.state is AgentState.READY

    def test_restart_gets_a_higher_incarnation(self):
        store, core = Store(), membership()
        store.by_service["tally"] = Roster("tally", 7, {"a": member("a", 41)})
        store.revision = 7
        write = only(core.tick(0.0, False), effects.WriteRoster)
        again = core.written(0.0, store.write(write))
        write = only([*again, *core.tick(1.0, False)], effects.WriteRoster)
        core.written(1.0, store.write(write))
        assert core.incarnation == 42
        assert not core.fenced


class TestMarkDown:
    def test_crash_is_marked_by_one_write(self):
        """Only one peer may write to the store when an agent dies.

        One of six agents dies and five notice it at the same time. Unless one of
        them is chosen as the marker, all five write.
        """
        cluster = Cluster(2, {"tally": 6})
        dead = cluster.live("tally")[0]
        before = cluster.store.writes
        dead.stop()
        cluster.run(12.0)
        assert states(cluster)[dead.name] is AgentState.DOWN
        assert cluster.store.writes == before + 1

    def test_next_in_rank_marks_when_the_first_cannot(self):
        """A dead agent must be marked although its first marker died with it.

        If only the first marker were allowed to write, the agent would stay in the
        roster.
        """
        cluster = Cluster(3, {"tally": 5})
        first, second = cluster.live("tally")[:2]
        first.stop()
        second.stop()
        cluster.run(15.0)
        marked = {n for n, s in states(cluster).items() if s is AgentState.DOWN}
        assert marked == {first.name, second.name}

    def test_peer_heard_again_is_not_marked_on_a_retry(self):
        """An agent that is alive must not be marked down by a retry.

        The agent is silent, the write of its mark conflicts, and then it is heard
        again. A retry that repeated the old plan would mark it.
        """
        store, core = Store(), membership("a")
        announced(store, core)
        first = store.by_service["tally"]
        core.learn(0.0, first._replace(by_name={**first.by_name, "b": member("b")}))
        for tick in range(400):
            found = core.tick(tick / 10, False)
            if has(found, effects.WriteRoster):
                break
        now = tick / 10
        mark = only(found, effects.WriteRoster)
        assert mark.roster.by_name["b"].state is AgentState.DOWN
        core.note_heartbeat(now, "b", Heartbeat(1, 1, 1, Load(4, 0, 0, 0, 0)))
        newer = core.roster._replace(revision=9)
        conflict = events.RosterWritten(mark.operation, Code.CONFLICT, newer)
        core.written(now + 0.1, conflict)
        assert not has(core.tick(now + 2.0, False), effects.WriteRoster)

    def test_cut_off_agent_does_not_mark_the_others(self):
        """An agent that is cut off must not mark all of its peers down.

        It hears no peer but still reaches the store. If silence alone proved a
        failure, it would empty the roster of its service.
        """
        cluster = Cluster(4, {"tally": 5})
        alone, *others = cluster.live("tally")
        cluster.separate([alone], others)
        for _ in range(30):
            cluster.run(1.0)
            assert all(
                states(cluster).get(node.name) is not AgentState.DOWN for node in others
            )

    def test_at_most_half_is_marked_in_a_window(self):
        """A network failure must not empty the roster of a service.

        Four of six agents fall silent at once. Without a limit on marks, all four
        would be marked together.
        """
        cluster = Cluster(5, {"tally": 6})
        for node in cluster.live("tally")[:4]:
            node.stop()
        cluster.run(20.0)
        down = [s for s in states(cluster).values() if s is AgentState.DOWN]
        assert len(down) == 3
        cluster.run(40.0)
        down = [s for s in states(cluster).values() if s is AgentState.DOWN]
        assert len(down) == 4

    def test_lossy_path_marks_no_agent(self):
        """Agents that are alive must not be marked down on lossy paths.

        In a large service heartbeats are a second apart. The paths lose every
        fourth, and sometimes five in a row. With the same timeout on every path,
        agents would lose their flows every few minutes.
        """
        cluster = Cluster(16, {"tally": 33}, loss=0.25)
        cluster.run(30.0)
        assert set(states(cluster).values()) == {AgentState.READY}
        nodes = cluster.nodes.values()
        assert {node.core.identity.incarnation for node in nodes} == {1}

    def test_survivor_of_two_takes_over(self):
        cluster = Cluster(6, {"tally": 2})
        dead, survivor = cluster.live("tally")
        dead.stop()
        cluster.run(25.0)
        assert states(cluster)[dead.name] is AgentState.DOWN
        assert survivor.core.membership.accepting

    def test_marks_are_removed_after_a_while(self):
        cluster = Cluster(7, {"tally": 3})
        dead = cluster.live("tally")[0]
        dead.stop()
        cluster.run(10.0 + DOWN_RETENTION_SECONDS)
        assert dead.name in states(cluster)
        cluster.drain(cluster.live("tally")[0])
        cluster.run(2.0)
        assert dead.name not in states(cluster)

    def test_full_roster_refuses_until_a_member_is_marked(self):
        core = membership()
        names = [f"n-{number}" for number in range(MEMBERS_LIMIT)]
        full = Roster("tally", 5, {name: member(name) for name in names})
        core.learn(0.0, full)
        assert not has(core.tick(0.1, False), effects.WriteRoster)
        down = member(names[0], state=AgentState.DOWN)
        with_mark = full._replace(revision=6, by_name={**full.by_name, names[0]: down})
        found = only(core.learn(10.0, with_mark), effects.WriteRoster)
        assert len(found.roster.by_name) == MEMBERS_LIMIT
        assert names[0] not in found.roster.by_name


class TestFence:
    def test_pause_ends_the_incarnation(self):
        """A paused agent must not act on work that its peers have taken over.

        It is paused for longer than the fence, resumes and gets old input. Without
        a fence it would continue as if no time had passed.
        """
        cluster = Cluster(8, {"tally": 3})
        node = cluster.live("tally")[0]
        node.paused = True
        cluster.run(4.0)
        former = node.core.identity.incarnation
        node.resume()
        assert node.core.membership.fenced
        assert not node.core.membership.accepting
        cluster.run(2.0)
        stored = cluster.store.by_service["tally"].by_name[node.name]
        assert stored.incarnation == former + 1
        assert node.core.membership.accepting

    def test_short_pause_costs_nothing(self):
        cluster = Cluster(9, {"tally": 3})
        node = cluster.live("tally")[0]
        before = cluster.store.writes
        node.paused = True
        cluster.run(2.5)
        node.resume()
        cluster.run(5.0)
        assert cluster.store.writes == before
        assert not node.core.membership.fenced

    def test_paused_agent_marks_no_peer(self):
        """An agent must not mark its peers down after its own pause.

        It is paused for a minute, in which it received nothing from them. Its own
        pause must not be taken for their silence.
        """
        cluster = Cluster(10, {"tally": 3})
        node, *others = cluster.live("tally")
        node.paused = True
        cluster.run(60.0)
        node.resume()
        cluster.run(10.0)
        assert set(states(cluster).values()) == {AgentState.READY}
        assert [other.core.identity.incarnation for other in others] == [1, 1]

    def test_marked_agent_comes_back_under_a_new_incarnation(self):
        """An agent that was marked down must not continue its incarnation.

        Peers can't hear the agent and mark it although it is alive. If it kept the
        marked incarnation after the path is restored, two agents would act as one.
        """
        cluster = Cluster(11, {"tally": 4})
        alone, *others = cluster.live("tally")
        cluster.separate([alone], others)
        while states(cluster)[alone.name] is not AgentState.DOWN:
            cluster.run(0.1)
        cluster.separate()
        cluster.run(5.0)
        stored = cluster.store.by_service["tally"].by_name[alone.name]
        assert stored.state is AgentState.READY
        assert stored.incarnation == 2

    def test_marked_agent_learns_of_it_without_a_push(self):
        """A marked agent must learn of its mark although no push reaches it.

        If a push were the only way, it would continue to serve under a dead
        incarnation.
        """
        store, core = Store(), membership("a")
        announced(store, core)
        stored = store.by_service["tally"]
        both = {**stored.by_name, "b": member("b")}
        core.learn(0.0, stored._replace(by_name=both))
        found = []
        for tick in range(60):
            found += core.tick(tick / 10, False)
        assert core.isolated(6.0)
        assert has(found, effects.ReadRoster)

    def test_of_two_processes_of_a_name_the_later_stays(self):
        """Two processes of one name must not cut each other's flows forever.

        An instance is replaced while the old process still runs. If each registered
        again on seeing the other, neither would stop.
        """
        store, old, new = Store(), membership("a", 10), membership("a", 20)
        announced(store, old)
        write = only(new.tick(5.0, False), effects.WriteRoster)
        conflict = store.write(write)
        again = [*new.written(5.0, conflict), *new.tick(6.0, False)]
        new.written(6.0, store.write(only(again, effects.WriteRoster)))
        found = old.learn(6.1, store.by_service["tally"])
        assert has(found, effects.Restart)
        for second in range(7, 60):
            assert not has(old.tick(second, False), effects.WriteRoster)
        assert old.fenced
        assert not new.fenced


class TestLeave:
    def test_leaves_at_once_and_is_removed(self):
        cluster = Cluster(12, {"tally": 3})
        node, *others = cluster.live("tally")
        cluster.drain(node)
        assert not node.core.membership.accepting
        cluster.run(0.5)
        for other in others:
            assert node.name not in other.core.membership.accepting_members(cluster.now)
        cluster.run(5.0)
        assert not node.alive
        assert node.name not in states(cluster)

    def test_store_down_does_not_hold_up_the_leave(self):
        """A drain must complete although the store is down throughout.

        If it waited for the store, the drain would hang and peers would continue to
        hand work over.
        """
        cluster = Cluster(13, {"tally": 3})
        node, *others = cluster.live("tally")
        cluster.set_store(down=True)
        cluster.drain(node, seconds=10.0)
        cluster.run(1.0)
        for other in others:
            assert node.name not in other.core.membership.accepting_members(cluster.now)
        cluster.run(10.0)
        assert not node.alive
        cluster.set_store(down=False)
        cluster.run(20.0)
        assert states(cluster)[node.name] is AgentState.DOWN

    def test_removal_goes_on_when_the_store_comes_back(self):
        cluster = Cluster(14, {"tally": 3})
        node = cluster.live("tally")[0]
        cluster.set_store(down=True)
        cluster.drain(node, seconds=30.0)
        cluster.run(8.0)
        assert node.alive
        cluster.set_store(down=False)
        cluster.run(8.0)
        assert not node.alive
        assert node.name not in states(cluster)

    def test_work_in_progress_holds_the_leave_until_its_deadline(self):
        core, store = membership(), Store()
        announced(store, core)
        found = core.drain(1.0, 20.0)
        core.written(1.0, store.write(only(found, effects.WriteRoster)))
        for tick in range(10, 200):
            found = core.tick(tick / 10, True)
            assert not has(found, (effects.WriteRoster, effects.Drained))
        write = only(core.tick(21.0, True), effects.WriteRoster)
        core.written(21.0, store.write(write))
        assert only(core.tick(21.1, True), effects.Drained)
        assert store.by_service["tally"].by_name == {}
