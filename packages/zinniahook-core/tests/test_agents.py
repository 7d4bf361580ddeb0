"""The core of an agent as a whole, and the paths of its answers."""

import random

import pytest
from core_clusters import Cluster
from core_fakes import KEYLESS_SUFFIX, configuration
from zinniahook_core import AgentCore, effects, events
from zinniahook_core.codes import Code, OutcomeKind
from zinniahook_core.models import Address, AgentState, Member
from zinniahook_core.paths import ENTRIES_LIMIT, FLOWS_LIMIT, GIVEN_UP_SECONDS, Paths

ADDRESS = Address("10.1.0.1", 7000)


def agent():
    member = Member("a", ADDRESS, ADDRESS, ADDRESS, "z", 1, AgentState.STARTING, 4)
    return AgentCore(member, "tally", random.Random(1))


def opening(service="tally", flow=b"flow"):
    return events.FlowOpening(service, flow, Address("10.7.0.1", 1))


def arrival(number, key=b"key", idempotent=False, relayed_by=""):
    return events.RequestArrived(
        number, "ticket", idempotent, key, 1, 1000.0, relayed_by
    )


class TestEvents:
    def test_foreign_event_is_refused(self):
        with pytest.raises(TypeError, match="not an event of an agent"):
            agent().handle(0.0, "tick")

    def test_older_generation_is_ignored(self):
        """An accepted configuration must not revert at one agent.

        Generation 3 arrives, then a late copy of generation 2. The newest generation
        counts, not the last to arrive.
        """
        core = agent()
        core.handle(0.0, events.ConfigurationChanged(configuration(3)))
        core.handle(0.1, events.ConfigurationChanged(configuration(2)))
        assert core.generation == 3

    def test_packet_of_another_service_is_dropped(self):
        """A ledger packet must not reach a tally target.

        An entry with a wrong roster sends it to this agent, which must check the
        service itself.
        """
        core = agent()
        assert core.handle(0.0, opening("ledger")) == [
            effects.Drop(Code.SERVICE_MISMATCH)
        ]
        packet = events.FlowDatagram("ledger", ADDRESS, ADDRESS, b"x")
        assert core.handle(0.0, packet) == [effects.Drop(Code.SERVICE_MISMATCH)]


class TestFenced:
    def test_runs_nothing_before_its_announcement(self):
        """No request may run at an agent whose work peers have taken over.

        The agent has a new incarnation while the store is down. It may only serve
        once the roster holds the new incarnation.
        """
        core = agent()
        core.handle(0.0, events.ConfigurationChanged(configuration(1)))
        assert core.handle(0.1, opening()) == [effects.Drop(Code.FENCED)]
        (kept,) = core.handle(0.2, arrival(1))
        assert kept.outcome.kind is OutcomeKind.UNKNOWN
        for number, event in enumerate((arrival(2, idempotent=True), arrival(3, b""))):
            (refused,) = core.handle(0.3 + number, event)
            assert refused.outcome.kind is OutcomeKind.NOT_RUN

    def test_hands_openings_to_peers_while_fenced(self):
        cluster = Cluster(1, {"tally": 3})
        node, *others = cluster.live("tally")
        cluster.set_store(down=True)
        node.paused = True
        cluster.run(4.0)
        node.resume()
        found = node.core.handle(cluster.now, opening())
        (handed,) = [effect for effect in found if isinstance(effect, effects.HandOver)]
        assert handed.peer in {other.name for other in others}

    def test_restart_forgets_flows(self):
        cluster = Cluster(2, {"tally": 1})
        (node,) = cluster.live("tally")
        cluster.connect("tally")
        cluster.run(1.0)
        assert node.core.load(cluster.now).flows == 1
        node.paused = True
        cluster.run(4.0)
        node.resume()
        assert node.core.load(cluster.now).flows == 0


class TestStoreDown:
    def test_new_flows_and_requests_go_on(self):
        """The service must not stop when the store does.

        The store goes down, then callers connect and file tickets. The data path must
        not depend on the store.
        """
        cluster = Cluster(3, {"tally": 3})
        cluster.set_store(down=True)
        cluster.run(30.0)
        for _ in range(5):
            cluster.connect("tally")
        cluster.run(1.0)
        for number, connection in enumerate(cluster.connections):
            cluster.request(connection, b"ticket %d" % number, 1)
        cluster.run(6.0)
        assert len(cluster.connections) == 5
        assert [told.kind for told in cluster.reported] == [OutcomeKind.DONE] * 5

    def test_flows_of_a_dead_agent_are_opened_elsewhere(self):
        """A feed must not stay silent for as long as the store is down.

        The owner of plain UDP flows dies in an outage, and entries and the flows'
        homes keep sending their packets to it. A known owner that is silent must be
        replaced without a new roster.
        """
        cluster = Cluster(4, {"feed": 4})
        flows = range(40)
        for _ in range(8):
            for number in flows:
                cluster.send(number)
            cluster.run(0.5)
        cluster.set_store(down=True)
        dead = cluster.live("feed")[0]
        lost = {
            f for f, (name, _) in cluster.owner_by_flow.items() if name == dead.name
        }
        kept = len(cluster.owner_by_flow) - len(lost)
        assert lost
        dead.stop()
        cluster.stopped(dead)
        for _ in range(30):
            for number in flows:
                cluster.send(number)
            cluster.run(1.0)
        assert len(cluster.owner_by_flow) == kept + len(lost)
        assert cluster.violated_promises() == []


class TestLastAgent:
    def test_grant_to_an_agent_that_left_is_not_forgotten(self):
        """A ticket must not run twice, nor be answered "not run" wrongly.

        One of two agents runs tickets until its drain deadline cuts them off. The
        callers retry at the other agent, which is now alone. With no other agent to
        ask, the claim owner must still check its own records.
        """
        cluster = Cluster(5, {"tally": 2})
        leaving, staying = cluster.live("tally")
        leaving.target = "hangs"
        while len(cluster.connections) < 20:
            cluster.connect("tally")
            cluster.run(0.1)
        at_leaving = [c for c in cluster.connections if c[1] == leaving.name]
        at_staying = [c for c in cluster.connections if c[1] == staying.name]
        keys = [b"ticket %d" % number for number in range(10)]
        for key in keys:
            cluster.request(at_leaving[0], key, 1)
        cluster.run(1.0)
        ran = {run.key for run in cluster.executions if run.node == leaving.name}
        assert ran
        cluster.drain(leaving, seconds=4.0)
        cluster.run(8.0)
        assert not leaving.alive
        for key in ran:
            cluster.request(at_staying[0], key, 2)
        cluster.run(10.0)
        again = {told.kind for told in cluster.reported if told.attempt == 2}
        assert again == {OutcomeKind.UNKNOWN}
        assert cluster.violated_promises() == []


class TestLeaving:
    def test_request_that_a_peer_refuses_is_not_run_here(self):
        """A leaving target must get no new work after its drain began.

        A request on an old connection is relayed to a peer, which refuses it. A retry
        that looks only at free slots would run it at the leaving agent.
        """
        cluster = Cluster(8, {"tally": 2})
        leaving, staying = cluster.live("tally")
        while len(cluster.connections) < 20:
            cluster.connect("tally")
            cluster.run(0.1)
        staying.target = "refuses"
        cluster.drain(leaving)
        cluster.run(4.0)
        for connection in cluster.connections:
            if connection[1] == leaving.name:
                name = b"%d" % len(cluster.reported) + KEYLESS_SUFFIX
                cluster.request(connection, name, 1)
                cluster.run(2.0)
        assert cluster.violated_promises() == []
        assert {told.kind for told in cluster.reported} == {OutcomeKind.NOT_RUN}


class TestTombstones:
    def test_late_copy_does_not_run_when_ownership_has_moved(self):
        """A ticket must not run after its caller was answered "not run".

        An agent refuses second attempts. A new agent joins and owns some of their
        claims, and the first attempts arrive late. The new owner has no tombstone;
        the asker has it and must not rely on the owner.
        """
        cluster = Cluster(7, {"ledger": 1})
        cluster.connect("ledger")
        cluster.run(0.5)
        (connection,) = cluster.connections
        for number in range(60):
            cluster.request(connection, b"ticket %d" % number, 2)
        cluster.run(0.5)
        refused = [t.key for t in cluster.reported if t.kind is OutcomeKind.NOT_RUN]
        assert len(refused) > 10
        cluster.run(10.0)
        cluster.join("ledger")
        for number, key in enumerate(refused):
            cluster.request(connection, key, 1, delay=0.05 * number)
        cluster.run(15.0)
        assert cluster.violated_promises() == []


class TestCopies:
    def test_copies_relayed_to_each_other_are_answered(self):
        """Two copies of a ticket must not wait until their callers give up.

        Two agents get a copy each at the same moment, and each relays its copy to the
        other. The copies would wait for each other if each relayed copy joined the
        one that was relayed away.
        """
        cluster = Cluster(6, {"tally": 3})
        while len(cluster.connections) < 20:
            cluster.connect("tally")
            cluster.run(0.1)
        first, second = cluster.live("tally")[:2]
        for node, peer in ((first, second), (second, first)):
            node.core.placement.choose_for_request = lambda *_, name=peer.name: name
        for number, node in enumerate((first, second)):
            mine = next(c for c in cluster.connections if c[1] == node.name)
            cluster.request(mine, b"ticket", number + 1)
        cluster.run(10.0)
        assert [told.kind for told in cluster.reported] == [OutcomeKind.DONE] * 2
        assert len(cluster.executions) == 1


class TestPaths:
    ENTRIES = [Address("10.2.0.1", 7000 + number) for number in range(4)]

    def paths(self, now=0.0):
        paths = Paths(random.Random(1))
        for entry in self.ENTRIES:
            paths.heard(now, entry)
        return paths

    def test_answers_by_the_entry_heard_last(self):
        paths = self.paths()
        paths.heard(0.1, self.ENTRIES[0], b"flow")
        paths.heard(0.2, self.ENTRIES[2], b"flow")
        paths.heard(0.3, self.ENTRIES[1], b"other")
        assert paths.for_flow(0.4, b"flow") == self.ENTRIES[2]

    def test_unknown_flow_uses_any_entry_heard(self):
        assert self.paths().for_flow(0.1, b"new") == self.ENTRIES[3]
        assert Paths(random.Random(1)).for_flow(0.1, b"new") is None
        assert Paths(random.Random(1)).switch_entry(0.1, b"new") is None

    def test_entry_that_loses_answers_is_avoided(self):
        """A caller's feed must not fall silent while its packets arrive.

        Answers through one entry get lost while the caller's datagrams keep arriving
        through it. Its datagrams must not reset the path to that entry.
        """
        paths = self.paths()
        bad = self.ENTRIES[0]
        paths.heard(0.1, bad, b"flow")
        chosen = paths.switch_entry(0.5, b"flow")
        assert chosen != bad
        paths.heard(0.6, bad, b"flow")
        assert paths.for_flow(0.7, b"flow") == chosen
        later = 0.6 + GIVEN_UP_SECONDS
        paths.heard(later, bad, b"flow")
        assert paths.for_flow(later, b"flow") == bad

    def test_every_entry_is_tried_in_turn(self):
        paths = self.paths()
        tried = [paths.switch_entry(0.1 * turn, b"flow") for turn in range(3)]
        assert set(tried) == set(self.ENTRIES[:3])
        assert paths.switch_entry(0.5, b"flow") == self.ENTRIES[3]

    def test_entry_not_heard_lately_is_not_chosen(self):
        paths = self.paths(now=0.0)
        paths.heard(60.0, self.ENTRIES[0], b"flow")
        assert paths.switch_entry(60.1, b"flow") == self.ENTRIES[0]

    def test_memory_is_bounded(self):
        paths = Paths(random.Random(1))
        for number in range(FLOWS_LIMIT + 10):
            entry = Address("10.2.0.1", number % (2 * ENTRIES_LIMIT))
            paths.heard(0.0, entry, number.to_bytes(4, "big"))
        assert len(paths) == FLOWS_LIMIT
        paths.forget((FLOWS_LIMIT).to_bytes(4, "big"))
        assert len(paths) == FLOWS_LIMIT - 1
