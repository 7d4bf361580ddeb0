"""Requests that wait in a whole service while daemons and targets fail."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from packet_helpers import SEEDS
from queueing_fakes import (
    GOAL,
)
from test_packet_machine import PacketMachine
from zinniahook_core.packets import (
    Route,
    ServiceShare,
    Urgency,
)
from zinniahook_testkit.packetsimulation import PacketSimulation


def competing_simulation(seed, agents=4):
    """Return a simulation with too few slots for two kinds of requests."""
    sim = PacketSimulation(seed, {"tally": agents})
    share = (ServiceShare("tally", 1.0),)
    sim.set_route(1, Route("feed", share, Urgency(2, GOAL)))
    sim.set_route(2, Route("edit", share, Urgency(1, GOAL)))
    sim.run(1.2)
    for agent in sim.agents_by_address.values():
        agent.target.work = 0.3
    return sim


def crowd(sim, count=80):
    """Return open flows that send requests at once, so that some requests wait."""
    flows = [sim.open_flow(1 + n % 2) for n in range(count)]
    sim.run(6.0)
    flows = [flow for flow in flows if flow.state == "open" and flow.asked_at is None]
    for flow in flows:
        sim.ask(flow)
    sim.run(0.05)
    return flows


class TestDaemonsThatEnd:
    """Requests wait while daemons and targets end; clients and targets check them."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_agent_dies_with_what_waits(self, seed):
        """A request is lost for good.

        An agent is killed while requests wait there. They weren't acknowledged, so each
        client repeats its request, and the next process delivers it.
        """
        sim = competing_simulation(seed)
        flows = crowd(sim)
        agents = list(sim.agents_by_address.values())
        assert any(len(agent.core.queue) for agent in agents)
        had = [len(flow.answers) for flow in flows]
        for agent in agents:
            agent.core = None
        sim.run(0.1)
        for agent in agents:
            sim.start_agent(agent)
        sim.run(8.0)
        assert [len(flow.answers) - n for flow, n in zip(flows, had, strict=True)] == [
            1
        ] * len(flows)
        self.assert_none_ran_twice(sim, flows)
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_every_target_drains(self, seed):
        sim = competing_simulation(seed)
        flows = crowd(sim)
        had = [len(flow.answers) for flow in flows]
        for agent in list(sim.agents_by_address.values())[:2]:
            agent.target.leaving = True
            sim.send_heartbeat(agent)
        sim.run(8.0)
        assert all(len(f.answers) == n + 1 for f, n in zip(flows, had, strict=True))
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_data_centre_is_evacuated(self, seed):
        sim = competing_simulation(seed)
        flows = crowd(sim)
        had = [len(flow.answers) for flow in flows]
        sim.evacuate("a")
        sim.run(8.0)
        assert all(len(f.answers) == n + 1 for f, n in zip(flows, had, strict=True))
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_target_crashes(self, seed):
        sim = competing_simulation(seed)
        flows = crowd(sim)
        agent = next(iter(sim.agents_by_address.values()))
        sim.start_target(agent)
        sim.run(8.0)
        for flow in flows:
            assert (flow.state == "open") == sim.is_held(flow)
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_lossy_network(self, seed):
        sim = competing_simulation(seed)
        sim.loss = 0.05
        flows = crowd(sim)
        had = [len(flow.answers) for flow in flows]
        sim.run(12.0)
        assert all(len(f.answers) == n + 1 for f, n in zip(flows, had, strict=True))
        self.assert_none_ran_twice(sim, flows)
        assert sim.findings() == []

    def assert_none_ran_twice(self, sim, flows):
        ran = [key for a in sim.agents_by_address.values() for key in a.target.ran]
        for flow in flows:
            assert ran.count(flow.key) == len(flow.answers)


class CompetingMachine(PacketMachine):
    """Any troubles in any order, while requests of open flows wait for slots."""

    @initialize(seed=st.integers(0, 10_000), loss=st.sampled_from([0.0, 0.0, 0.02]))
    def begin(self, seed, loss):
        self.sim = competing_simulation(seed, agents=6)
        self.sim.loss = loss
        for agent in self.sim.agents_by_address.values():
            agent.target.slots, agent.target.work = 1, 0.06
        self.flows = [self.sim.open_flow(1 + n % 2) for n in range(30)]
        self.sim.run(0.5)


TestAnyTroublesWhileRequestsWait = CompetingMachine.TestCase
TestAnyTroublesWhileRequestsWait.settings = settings(
    max_examples=40, stateful_step_count=16
)
