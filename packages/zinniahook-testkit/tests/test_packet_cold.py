"""No cold target gets more openings in a second than operators allow.

The load is 24 targets of four slots, 0.06 s for a request and 150 openings a second.
A third of the targets becomes cold, or all of them. Each of these can take 4 requests
a second, so at most 11 in any second: 4 x 1.5 + 5.
"""

import pytest
from packet_helpers import SEEDS
from zinniahook_core.packets import ColdLimit
from zinniahook_testkit.packetsimulation import DATA_CENTRES, PacketSimulation

LIMIT = ColdLimit(1.5, 5)
RATE = 4.0
MOST = 11
OPENINGS = 150
STEP = 0.02
COLD = 4.0
EVACUATED = DATA_CENTRES[0]


def cold_simulation(seed):
    sim = PacketSimulation(seed, {"tally": 24}, cold_limit=LIMIT)
    sim.set_cold_rate("tally", RATE)
    sim.run(1.5)
    return sim


def loaded(sim, seconds):
    """Open flows for some seconds; return them."""
    flows = []
    for _ in range(round(seconds / STEP)):
        flows += [sim.open_flow() for _ in range(round(OPENINGS * STEP))]
        sim.run(STEP)
    sim.run(1.6)
    return flows


def most_in_a_second(agent, since):
    """Return the maximum of openings in a second while the target was cold."""
    moments = [at for at, _ in agent.target.openings if since <= at < agent.warm_at]
    return max(
        (sum(0 <= at - first <= 1.0 for at in moments) for first in moments), default=0
    )


def chill(sim, agents):
    for agent in agents:
        agent.warm_at = sim.now + COLD


class TestDataCentreTakenBack:
    """Targets that return cold are overloaded.

    The evacuation of a data centre ends. Until their next heartbeat its targets look
    warm, and each home prefers them because they are idle. The homes don't know how
    many openings a target can take.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_second_is_over_the_limit(self, seed):
        sim = cold_simulation(seed)
        sim.evacuate(EVACUATED)
        loaded(sim, 1.0)
        there = [a for a in sim.agents_by_address.values() if a.centre == EVACUATED]
        chill(sim, there)
        since = sim.now
        sim.evacuate()
        flows = loaded(sim, 4.0)
        assert max(most_in_a_second(agent, since) for agent in there) <= MOST
        assert sum(flow.state == "open" for flow in flows) >= 0.99 * len(flows)
        assert sim.findings() == []


class TestAllTargetsCold:
    """Every target is overloaded immediately after a power failure.

    All targets and agents start together while clients continue. An agent without a
    heartbeat from its target considers it warm.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_second_is_over_the_limit(self, seed):
        sim = cold_simulation(seed)
        since = sim.now
        for agent in sim.agents_by_address.values():
            sim.start_target(agent)
            sim.start_agent(agent)
        chill(sim, sim.agents_by_address.values())
        flows = loaded(sim, 4.0)
        agents = sim.agents_by_address.values()
        assert max(most_in_a_second(agent, since) for agent in agents) <= MOST
        served = sum(flow.state == "open" for flow in flows)
        assert served >= 0.8 * len(flows)


class TestAgentThatStartsBesideAColdTarget:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_what_the_former_process_let_pass_counts(self, seed):
        sim = cold_simulation(seed)
        agent = next(iter(sim.agents_by_address.values()))
        chill(sim, [agent])
        sim.run(1.5)
        since = sim.now
        for _ in range(4):
            loaded(sim, 0.4)
            sim.start_agent(agent)
        assert most_in_a_second(agent, since) <= MOST
