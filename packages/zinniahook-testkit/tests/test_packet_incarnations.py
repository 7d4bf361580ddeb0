"""Targets that start again under their former name, and late heartbeats."""

import pytest
from zinniahook_core.packets import Heartbeat, State, Target
from zinniahook_testkit.packetsimulation import PacketSimulation

INTERVAL = 1.0
BORN = 1_790_000_000_000


def beat(number, born=BORN, target="t-1", leaving=False):
    return Heartbeat(target, "tally", 4, leaving, 0.0, number, born)


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
        assert target.heartbeat(now + 0.7, beat(1, BORN + 9000))
        assert target.state(now + 0.8) is State.READY
        assert not target.may_be_older

    def test_a_late_heartbeat_of_the_earlier_start_changes_nothing(self):
        target, now = running()
        target.heartbeat(now + 1, beat(1, BORN + 9000))
        assert not target.heartbeat(now + 2, beat(6, BORN, leaving=True))
        assert target.state(now + 2) is State.READY
        assert not target.heartbeat(now + 3, beat(2, BORN + 9000))
        assert target.state(now + 3) is State.READY

    def test_it_does_not_end_by_a_late_report_of_its_end(self):
        target, now = running()
        target.heartbeat(now + 1, beat(1, BORN + 9000))
        target.note_ended("t-1", BORN)
        assert target.state(now + 1) is State.READY
        target.note_ended("t-1", BORN + 9000)
        assert target.state(now + 1) is State.LEAVING

    @pytest.mark.parametrize("born", [None, BORN, BORN - 5000])
    def test_one_whose_time_proves_nothing_is_believed_once_it_goes_on(self, born):
        """Its clock jumped back, or it doesn't report its start time."""
        target, now = running(BORN if born else None)
        assert not target.heartbeat(now + 4, beat(1, born))
        assert target.heartbeat(now + 5, beat(2, born))
        assert target.state(now + 5) is State.READY

    @pytest.mark.parametrize("born", [None, BORN, BORN - 5000])
    def test_delayed_ones_that_come_together_prove_nothing(self, born):
        target, now = running(BORN if born else None)
        for number in (1, 2, 3):
            assert not target.heartbeat(now + 0.5 + number / 1000, beat(number, born))
        assert not target.heartbeat(now + 1, beat(6, BORN if born else None))
        assert target.state(now + 1) is State.READY

    def test_a_name_that_comes_back_after_another_one(self):
        target, now = running()
        assert target.heartbeat(now + 1, beat(1, BORN + 4000, "t-2"))
        assert not target.heartbeat(now + 2, beat(9, BORN, "t-1"))
        assert target.heartbeat(now + 3, beat(1, BORN + 8000, "t-1"))
        assert target.name == "t-1"

    def test_a_missing_time_is_no_new_target(self):
        target, now = running()
        assert not target.heartbeat(now + 1, beat(6, None))
        assert not target.heartbeat(now + 2, beat(7, BORN))
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
        assert target.heartbeat(100.4, beat(7, BORN + 9000))
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
