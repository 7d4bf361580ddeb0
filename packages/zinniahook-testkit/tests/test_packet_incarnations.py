"""Targets that start again under their former name, and late heartbeats."""

import pytest
from packet_helpers import SEEDS, open_flows
from zinniahook_core.packets import Heartbeat, State, Target
from zinniahook_core.packets.incarnations import HeartbeatOrigin
from zinniahook_testkit.packetsimulation import PacketSimulation

INTERVAL = 1.0
BORN = 1_790_000_000_000


def beat(number, born=BORN, target="t-1", leaving=False, service="tally", age=None):
    return Heartbeat(target, service, 4, leaving, 0.0, number, born, age)


def is_replaced(target, now, heartbeat):
    """Send a heartbeat; return whether it shows that another target has started."""
    had_target = bool(target.name)
    return target.heartbeat(now, heartbeat) is HeartbeatOrigin.STARTED and had_target


def running(born=BORN, beats=5):
    """Return a target that has sent heartbeats for some seconds, and the time."""
    target = Target("tally", INTERVAL)
    target.start(0.0)
    for number in range(1, beats + 1):
        target.heartbeat(number * INTERVAL, beat(number, born))
    return target, beats * INTERVAL


class TestStartUnderTheSameName:
    """A target that was restarted under its id is considered silent.

    The heartbeats of the new start are numbered from 1 again. If lower numbers are
    treated as late heartbeats, all of them are ignored.
    """

    def test_a_later_time_of_birth_is_a_new_target(self):
        target, now = running()
        assert is_replaced(target, now + 0.7, beat(1, BORN + 9000))
        assert target.state(now + 0.8) is State.READY
        assert not target.may_be_older

    def test_a_late_heartbeat_of_the_earlier_start_changes_nothing(self):
        target, now = running()
        target.heartbeat(now + 1, beat(1, BORN + 9000))
        assert not is_replaced(target, now + 2, beat(6, BORN, leaving=True))
        assert target.state(now + 2) is State.READY
        assert not is_replaced(target, now + 3, beat(2, BORN + 9000))
        assert target.state(now + 3) is State.READY

    def test_it_does_not_end_by_a_late_report_of_its_end(self):
        target, now = running()
        target.heartbeat(now + 1, beat(1, BORN + 9000))
        target.note_ended("t-1", BORN)
        assert target.state(now + 1) is State.READY
        target.note_ended("t-1", BORN + 9000)
        assert target.state(now + 1) is State.LEAVING

    @pytest.mark.parametrize("born", [None, BORN - 5000])
    def test_one_whose_time_proves_nothing_is_believed_once_it_goes_on(self, born):
        """Its clock jumped back, or it doesn't report its start time."""
        target, now = running(BORN if born else None)
        assert not is_replaced(target, now + 4, beat(1, born))
        assert is_replaced(target, now + 5, beat(2, born))
        assert target.state(now + 5) is State.READY

    @pytest.mark.parametrize("born", [None, BORN, BORN - 5000])
    def test_delayed_ones_that_come_together_prove_nothing(self, born):
        target, now = running(BORN if born else None)
        for number in (1, 2, 3):
            assert not is_replaced(
                target, now + 0.5 + number / 1000, beat(number, born)
            )
        assert not is_replaced(target, now + 1, beat(6, BORN if born else None))
        assert target.state(now + 1) is State.READY

    def test_a_name_that_comes_back_after_another_one(self):
        target, now = running()
        assert is_replaced(target, now + 1, beat(1, BORN + 4000, "t-2"))
        assert not is_replaced(target, now + 2, beat(9, BORN, "t-1"))
        assert is_replaced(target, now + 3, beat(1, BORN + 8000, "t-1"))
        assert target.name == "t-1"

    def test_a_missing_time_is_no_new_target(self):
        target, now = running()
        assert not is_replaced(target, now + 1, beat(6, None))
        assert not is_replaced(target, now + 2, beat(7, BORN))
        assert target.state(now + 2) is State.READY


class TestAgentThatStartsAtTheSameMoment:
    """An agent denies flows that its target holds.

    The agent restarts. A late heartbeat of the target's former start arrives first,
    then one of the present start, which seems to prove that the target is younger
    than the agent.
    """

    def test_the_target_may_be_older(self):
        target = Target("tally", INTERVAL)
        target.start(100.0)
        target.heartbeat(100.1, beat(40, BORN))
        assert is_replaced(target, 100.4, beat(7, BORN + 9000))
        assert target.may_be_older


@pytest.mark.parametrize("seed", range(4))
class TestFlowsOfATargetThatStartsAgain:
    """Clients wait until they time out.

    A target ends and starts immediately under its former name, and its agent keeps
    the flows of the former start.
    """

    def test_their_clients_are_reset_by_the_first_heartbeat(self, seed):
        sim = PacketSimulation(seed)
        flows = [sim.open_flow() for _ in range(30)]
        sim.run(2.0)
        agent = next(iter(sim.agents_by_address.values()))
        name, lost = agent.target.name, set(agent.target.by_flow)
        lost &= {flow.key for flow in flows if flow.state == "open"}
        sim.start_target(agent)
        agent.target.name = name
        sim.send_heartbeat(agent)
        sim.run(0.1)
        assert lost
        reset = {flow.key for flow in flows if flow.state == "reset"}
        assert reset == lost
        assert sim.findings() == []


class TestLateHeartbeatOfAnUnseenStart:
    """Guards against resets of a living target's flows by a delayed heartbeat.

    Its sender has crashed before any of its heartbeats arrived.
    """

    def test_it_is_not_taken(self):
        target, now = running(BORN + 9000)
        late = beat(1, BORN, "t-0")
        assert target.heartbeat(now + 0.5, late) is HeartbeatOrigin.UNCONFIRMED
        assert (target.name, target.state(now + 0.5)) == ("t-1", State.READY)

    def test_several_prove_nothing_while_the_target_goes_on(self):
        """Each is retransmitted on a connection of its own, so they come one by one."""
        target, now = running(BORN + 9000)
        for number in range(1, 9):
            late = beat(number, BORN, "t-0")
            assert not is_replaced(target, now + number - 0.4, late)
            goes_on = beat(5 + number, BORN + 9000)
            assert target.heartbeat(now + number, goes_on) is HeartbeatOrigin.CURRENT

    def test_it_does_not_make_the_target_leave(self):
        target, now = running(BORN + 9000)
        target.heartbeat(now + 0.5, beat(3, BORN, "t-0", leaving=True))
        assert target.state(now + 0.5) is State.READY

    def test_a_name_without_times_waits_while_the_target_is_on_time(self):
        target, now = running(None)
        assert not is_replaced(target, now + 0.9, beat(1, None, "t-0"))
        assert target.heartbeat(now + 1, beat(6, None)) is HeartbeatOrigin.CURRENT

    def test_a_name_without_times_is_taken_once_the_target_is_overdue(self):
        target, now = running(None)
        assert is_replaced(target, now + 1.6, beat(1, None, "t-2"))
        assert not is_replaced(target, now + 4, beat(7, None, "t-1"))

    def test_one_without_a_time_is_not_taken_from_targets_that_report_it(self):
        target, now = running()
        assert not is_replaced(target, now + 4, beat(1, None, "t-0"))

    @pytest.mark.parametrize("seed", SEEDS)
    def test_flows_of_the_living_target_stay(self, seed):
        sim = PacketSimulation(seed)
        sim.run(2.0)
        flows = open_flows(sim, 60, 3.0)
        agent = next(iter(sim.agents_by_address.values()))
        assert len(agent.core.flows)
        late = Heartbeat("t-0", agent.service, 4, False, 0.0, 1, agent.born - 1000)
        is_applied = agent.core.heartbeat(sim.now, late)
        sim.run(1.0)
        assert {flow.state for flow in flows} == {"open"}
        assert sim.findings() == []
        assert not is_applied

    @pytest.mark.parametrize("seed", SEEDS)
    def test_flows_stay_if_it_is_the_first_that_a_new_agent_receives(self, seed):
        sim = PacketSimulation(seed)
        sim.run(2.0)
        flows = open_flows(sim, 60, 3.0)
        sim.suspend_heartbeats(3.0)
        agent = next(iter(sim.agents_by_address.values()))
        sim.start_agent(agent)
        sim.run(0.1)
        for flow in flows:
            sim.ask(flow)
        sim.run(2.0)
        late = Heartbeat("t-0", agent.service, 4, False, 0.0, 1, agent.born - 1000)
        assert agent.core.heartbeat(sim.now, late)
        sim.run(0.5)
        sim.send_heartbeat(agent)
        sim.run(1.0)
        assert agent.core.target.name == agent.target.name
        assert agent.core.target.may_be_older
        assert {flow.state for flow in flows} == {"open"}
        assert sim.findings() == []


class TestLaterStartWhoseClockWasSetBack:
    """Guards against a target that gets no flows as its start time looks earlier."""

    @pytest.mark.parametrize("name", ["t-1", "t-2"])
    def test_it_is_taken_within_seconds(self, name):
        target, now = running()
        moments = [now + 0.5 + number * INTERVAL for number in range(4)]
        taken = [
            is_replaced(target, moment, beat(number, BORN - 5000, name))
            for number, moment in enumerate(moments, 1)
        ]
        assert any(taken)
        assert target.name == name
        assert target.state(moments[-1]) is State.READY

    def test_it_is_taken_by_an_agent_that_saw_a_late_heartbeat_first(self):
        target = Target("tally", INTERVAL)
        target.start(0.0)
        target.heartbeat(0.1, beat(40, BORN, "t-0"))
        for number in range(1, 5):
            target.heartbeat(number * INTERVAL, beat(number, BORN - 5000))
        assert target.name == "t-1"

    def test_an_earlier_start_with_a_later_time_does_not_come_back(self):
        target, now = running()
        for number in range(1, 5):
            target.heartbeat(now + number * INTERVAL, beat(number, BORN - 5000, "t-2"))
        for born in (BORN, BORN - 1000):
            late = beat(9, born)
            assert not is_replaced(target, now + 4.5 * INTERVAL, late)
        assert target.name == "t-2"

    @pytest.mark.parametrize("name", ["t-0", "t-1"])
    @pytest.mark.parametrize("age", [12.0, 2.1, -9.0])
    def test_an_unseen_start_with_a_later_time_changes_nothing(self, name, age):
        """It started before the last heartbeat of the target, or in the future."""
        target, now = running(BORN - 5000)
        for number in range(1, 5):
            late = beat(number, BORN, name, age=age + number)
            assert not is_replaced(target, now + number - 0.4, late)
            goes_on = beat(5 + number, BORN - 5000)
            assert target.heartbeat(now + number, goes_on) is HeartbeatOrigin.CURRENT

    @pytest.mark.parametrize("age", [0.0, 0.7, 1.6])
    def test_one_that_may_have_followed_is_taken_at_once(self, age):
        target, now = running()
        assert is_replaced(target, now + 0.7, beat(1, BORN + 9000, age=age))

    def test_one_that_seems_to_have_started_before_is_taken_within_seconds(self):
        """The clock was set back after it had started."""
        target, now = running()
        taken = [
            is_replaced(
                target, now + number - 0.3, beat(number, BORN + 9000, age=30.0 + number)
            )
            for number in range(1, 5)
        ]
        assert any(taken)

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_flows_stay_if_an_earlier_start_has_the_later_time(self, seed):
        sim = PacketSimulation(seed)
        sim.run(2.0)
        flows = open_flows(sim, 60, 3.0)
        agent = next(iter(sim.agents_by_address.values()))
        late = Heartbeat("t-0", agent.service, 4, False, 0.0, 1, agent.born + 9000, 6.0)
        agent.core.heartbeat(sim.now, late)
        sim.run(1.0)
        assert {flow.state for flow in flows} == {"open"}
        assert sim.findings() == []

    def test_the_next_start_is_taken_within_seconds(self):
        target, now = running()
        for number in range(1, 5):
            target.heartbeat(now + number * INTERVAL, beat(number, BORN - 5000, "t-2"))
        for number in range(1, 5):
            moment = now + (4.5 + number) * INTERVAL
            target.heartbeat(moment, beat(number, BORN + 5000, "t-3"))
        assert target.name == "t-3"


class TestNumbersOfAnotherWriter:
    """Guards against resets of a living target's flows after a number too high.

    Another writer's heartbeat has the target's name and start time. The target's own
    heartbeats then seem overtaken.
    """

    def test_the_target_goes_on_with_its_flows(self):
        target, now = running()
        target.heartbeat(now + 0.5, beat(1 << 40, leaving=True))
        origins = [
            target.heartbeat(now + number * INTERVAL, beat(5 + number))
            for number in range(1, 5)
        ]
        assert origins[0] is HeartbeatOrigin.OVERTAKEN
        assert HeartbeatOrigin.CURRENT in origins
        assert HeartbeatOrigin.STARTED not in origins
        assert target.state(now + 4 * INTERVAL) is State.READY

    def test_a_drain_is_acknowledged_only_once_openings_end(self):
        sim = PacketSimulation(1)
        sim.run(3.0)
        agent = next(iter(sim.agents_by_address.values()))
        name, born = agent.target.name, agent.born
        agent.core.heartbeat(
            sim.now, Heartbeat(name, agent.service, 4, False, 0.0, 1 << 40, born)
        )
        agent.target.leaving = True
        sim.send_heartbeat(agent)
        leaving = Heartbeat(name, agent.service, 4, True, 0.0, agent.heartbeats, born)
        assert not agent.core.heartbeat(sim.now, leaving)
        sim.run(5.0)
        assert agent.core.target.leaving
        assert agent.core.heartbeat(sim.now, leaving)


class TestHeartbeatsOfAnotherService:
    """Guards against requests of one service that run at a target of another one.

    A late heartbeat may come from a target that had the address before.
    """

    def test_a_later_one_is_not_taken_while_the_target_goes_on(self):
        target, now = running()
        for number in range(1, 5):
            other = beat(number, BORN + 9000, "t-2", service="ledger")
            assert not is_replaced(target, now + number - 0.5, other)
            target.heartbeat(now + number, beat(5 + number))
        assert target.service == "tally"

    def test_it_is_not_taken_under_the_name_of_the_target(self):
        target, now = running()
        other = beat(6, service="ledger")
        assert target.heartbeat(now + 1, other) is HeartbeatOrigin.UNCONFIRMED
        assert target.service == "tally"

    def test_a_new_agent_does_not_take_a_single_one(self):
        target = Target("tally", INTERVAL)
        target.start(0.0)
        assert target.heartbeat(0.1, beat(9, service="ledger")) is not (
            HeartbeatOrigin.STARTED
        )
        assert (target.name, target.service) == ("", "tally")

    def test_a_target_that_goes_on_in_another_service_is_taken(self):
        target, now = running()
        for number in range(1, 5):
            other = beat(number, BORN + 9000, "t-2", service="ledger")
            target.heartbeat(now + number * INTERVAL, other)
        assert (target.name, target.service) == ("t-2", "ledger")

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_the_agent_keeps_its_peers_and_flows(self, seed):
        """A late heartbeat must not empty the list of the service's agents."""
        sim = PacketSimulation(seed, {"tally": 4, "ledger": 2})
        sim.run(2.0)
        agent = next(iter(sim.agents_by_address.values()))
        peers = set(agent.core.roster.by_address)
        flows = open_flows(sim, 30, 3.0)
        late = Heartbeat(agent.target.name, "ledger", 4, False, 0.0, 1, agent.born - 1)
        is_applied = agent.core.heartbeat(sim.now, late)
        assert set(agent.core.roster.by_address) == peers
        sim.run(1.0)
        assert {flow.state for flow in flows} == {"open"}
        assert sim.findings() == []
        assert not is_applied


class TestReportedEnds:
    """Guards against resets of flows at a target that is said to have ended.

    Other agents search no further at an agent whose target has ended.
    """

    @pytest.mark.parametrize(
        ("name", "born"),
        [("t-1", BORN - 9000), ("t-1", None), ("t-0", BORN), ("t-0", None)],
    )
    def test_one_of_an_earlier_start_changes_nothing(self, name, born):
        target, now = running()
        assert not target.note_ended(name, born)
        assert target.state(now) is State.READY

    @pytest.mark.parametrize("born", [None, BORN])
    def test_one_that_a_new_agent_receives_first_changes_nothing(self, born):
        target = Target("tally", INTERVAL)
        target.start(0.0)
        assert not target.note_ended("t-0", born)
        assert target.state(0.1) is State.STARTING
        assert target.may_have_ended("t-0", born)

    @pytest.mark.parametrize("born", [None, BORN])
    def test_that_of_the_target_is_believed(self, born):
        target, _ = running(born)
        assert target.note_ended("t-1", born)
        assert target.gone

    def test_a_delayed_heartbeat_does_not_bring_the_target_back(self):
        target, now = running()
        target.note_ended("t-1", BORN)
        assert target.heartbeat(now + 1, beat(6)) is HeartbeatOrigin.OVERTAKEN
        assert target.gone

    def test_a_target_that_goes_on_is_believed_again(self):
        target, now = running()
        target.note_ended("t-1", BORN)
        for number in range(1, 5):
            target.heartbeat(now + number * INTERVAL, beat(5 + number))
        assert target.state(now + 4 * INTERVAL) is State.READY
