"""Flows of targets that ended are reset at once."""

import pytest
from packet_helpers import SEEDS, open_flows
from zinniahook_core.packets import Flag, State
from zinniahook_testkit.packetendpoints import flow_key
from zinniahook_testkit.packetsimulation import SERVICE_PORT, PacketSimulation


class TestFlowsOfTargetsThatEnded:
    """A client that continues a flow gets no answer until it times out.

    A target ends as planned while the flow is idle, and its agent's process stops
    shortly after. A search waits for the silent agent as long as a silent agent may
    hold flows, although it has announced the end of its target.
    """

    def ended(self, sim, agent):
        agent.target.alive = False
        agent.core.leave(sim.now)
        sim.run(0.1)
        agent.core.membership.announce_end(sim.now)
        agent.core = None

    @pytest.mark.parametrize("seed", SEEDS)
    def test_are_reset_at_once(self, seed):
        sim = PacketSimulation(seed, {"tally": 8})
        flows = open_flows(sim, 60, 2.0)
        agent = next(iter(sim.agents_by_address.values()))
        agent.core.note_ended(sim.now, agent.target.name, agent.born)
        self.ended(sim, agent)
        lost = [flow for flow in flows if not sim.is_held(flow)]
        assert lost
        for flow in flows:
            sim.ask(flow)
        sim.run(1.3)
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_also_where_no_target_came_back(self, seed):
        sim = PacketSimulation(seed, {"tally": 8})
        flows = open_flows(sim)
        alone, *others = sim.agents_by_address.values()
        alone.target.alive = False
        alone.target = None
        sim.start_agent(alone)
        for agent in others:
            sim.start_target(agent)
            sim.start_agent(agent)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        sim.run(0.2)
        alone.core.leave(sim.now)
        alone.core.note_absent(sim.now)
        sim.run(0.1)
        alone.core.membership.announce_end(sim.now)
        alone.core = None
        for flow in flows:
            sim.ask(flow)
        sim.run(0.7)
        assert {flow.state for flow in flows} == {"reset"}
        assert sim.findings() == []

    @pytest.mark.parametrize(
        ("flags", "state"),
        [
            (Flag.ACKNOWLEDGES, State.STARTING),
            (Flag.ACKNOWLEDGES | Flag.RESET, State.STARTING),
            (Flag.ACKNOWLEDGES | Flag.OPENING, State.ANSWERING),
        ],
    )
    def test_an_acknowledgement_shows_no_target_that_works(self, flags, state):
        """Closings are still acknowledged on a machine whose target has ended.

        If an instance comes back for half a second, no search may wait for its flows.
        """
        sim = PacketSimulation(1)
        agent = next(iter(sim.agents_by_address.values()))
        agent.target.silent = True
        sim.start_agent(agent)
        key = flow_key("100.64.0.9", 1030, "198.18.0.1", SERVICE_PORT)
        raw = sim.codec.write(key, flags, 5, 6, to_client=True)
        agent.core.from_target(sim.now, raw)
        assert agent.core.membership.state(sim.now) is state

    def test_one_that_was_seen_is_not_absent(self):
        sim = PacketSimulation(1)
        agent = next(iter(sim.agents_by_address.values()))
        agent.core.note_absent(sim.now)
        assert agent.core.membership.state(sim.now) is State.READY
