"""Flows of targets that ended: their clients are told at once."""

import pytest
from packet_stories import SEEDS, opened
from zinniahook_core.packets import Flag, State
from zinniahook_testkit.packetends import flow_key
from zinniahook_testkit.packetworlds import SERVICE_PORT, PacketWorld


class TestFlowsOfTargetsThatEnded:
    """Symptom: a client that goes on with a flow hears nothing for its whole time.

    Sequence: a target ends as planned while the flow is idle, and its agent's
    process ends a moment later. Cause: whoever searches waits for the silent
    agent for as long as a silent one may hold flows, though it has said that
    its target has ended.
    """

    def ended(self, world, agent):
        agent.target.alive = False
        agent.core.leave(world.now)
        world.run(0.1)
        agent.core.membership.announce_end(world.now)
        agent.core = None

    @pytest.mark.parametrize("seed", SEEDS)
    def test_are_reset_at_once(self, seed):
        world = PacketWorld(seed, {"tally": 8})
        flows = opened(world, 60, 2.0)
        agent = next(iter(world.agents_by_address.values()))
        agent.core.note_ended(world.now, agent.target.name)
        self.ended(world, agent)
        lost = [flow for flow in flows if not world.is_held(flow)]
        assert lost
        for flow in flows:
            world.ask(flow)
        world.run(1.3)
        assert {flow.state for flow in lost} == {"reset"}
        assert world.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_also_where_no_target_came_back(self, seed):
        world = PacketWorld(seed, {"tally": 8})
        flows = opened(world)
        alone, *others = world.agents_by_address.values()
        alone.target.alive = False
        alone.target = None
        world.start_agent(alone)
        for agent in others:
            world.start_target(agent)
            world.start_agent(agent)
        for address in world.entries_by_address:
            world.start_entry(address)
        world.run(0.2)
        alone.core.leave(world.now)
        alone.core.note_absent(world.now)
        world.run(0.1)
        alone.core.membership.announce_end(world.now)
        alone.core = None
        for flow in flows:
            world.ask(flow)
        world.run(0.7)
        assert {flow.state for flow in flows} == {"reset"}
        assert world.findings() == []

    @pytest.mark.parametrize(
        ("flags", "state"),
        [
            (Flag.ACKNOWLEDGES, State.STARTING),
            (Flag.ACKNOWLEDGES | Flag.RESET, State.STARTING),
            (Flag.ACKNOWLEDGES | Flag.OPENING, State.ANSWERING),
        ],
    )
    def test_an_acknowledgement_shows_no_target_that_works(self, flags, state):
        """Where a target has ended, closings are still acknowledged. An instance
        comes back for half a second; nobody may wait for what it holds."""
        world = PacketWorld(1)
        agent = next(iter(world.agents_by_address.values()))
        agent.target.silent = True
        world.start_agent(agent)
        key = flow_key("100.64.0.9", 1030, "198.18.0.1", SERVICE_PORT)
        raw = world.codec.write(key, flags, 5, 6, to_client=True)
        agent.core.from_target(world.now, raw)
        assert agent.core.membership.state(world.now) is state

    def test_one_that_was_seen_is_not_absent(self):
        world = PacketWorld(1)
        agent = next(iter(world.agents_by_address.values()))
        agent.core.note_absent(world.now)
        assert agent.core.membership.state(world.now) is State.READY
