"""Orders and flows survive a restore of the store from an older copy.

The load is 18 targets in three data centres. Clients open and use flows
continuously while the store loses its last seconds.
"""

import pytest
from packet_helpers import SEEDS, count_new_answers, open_flows
from zinniahook_testkit.packetsimulation import DATA_CENTRES, PacketSimulation
from zinniahook_testkit.packetstores import MAX_RENEW_SECONDS, OPERATOR_DELAY_SECONDS

AGENTS = {"tally": 18}
IN_FORCE_SECONDS = 1.0
"""Seconds until an order must be in force: a fifth of the limit that operators
are given, as there are no other failures here."""

COPY_AGE_SECONDS = 4.0
"""Age of the restored copy."""

EVACUATED, OTHER = DATA_CENTRES[:2]
SPLIT_ROUTE = 3


def late(sim, since):
    """Return the openings that evacuated targets took since a time."""
    return [row for row in sim.evacuated_openings if row[0] >= since]


def restart_everything(sim):
    """Kill every process of the service at once; targets continue to run."""
    for agent in sim.agents_by_address.values():
        agent.core = None
    sim.run(0.1)
    for address in sim.entries_by_address:
        sim.start_entry(address)
    for agent in sim.agents_by_address.values():
        sim.start_agent(agent)


class TestOrders:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_one_that_the_copy_lacks_holds_until_it_is_written_again(self, seed):
        """Flows are opened in a data centre that is about to lose power.

        The restore loses an order that is two seconds old. It is written again a second
        later, but until then daemons follow the copy.
        """
        sim = PacketSimulation(seed, AGENTS)
        sim.run(COPY_AGE_SECONDS)
        sim.evacuate(EVACUATED)
        sim.run(2.0)
        since = sim.now
        sim.store.restore(COPY_AGE_SECONDS)
        assert not sim.store.evacuated
        for _ in range(10):
            open_flows(sim, 30, 0.7)
        assert late(sim, since) == []
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_one_after_the_restore_is_in_force_at_once(self, seed):
        """An order has no effect for minutes.

        Its revision is lower than those before the restore. Revisions alone don't order
        what daemons read.
        """
        sim = PacketSimulation(seed, AGENTS, loss=0.01)
        for _ in range(40):
            sim.evacuate()
        sim.run(COPY_AGE_SECONDS)
        sim.store.restore(COPY_AGE_SECONDS + 1.0)
        before = sim.store.revision
        sim.run(OPERATOR_DELAY_SECONDS + 0.1)
        sim.evacuate(EVACUATED)
        assert before < sim.store.revision < 40
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        for _ in range(5):
            open_flows(sim, 30, 0.7)
        assert late(sim, since) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_one_is_heard_of_by_daemons_cut_off_from_the_store(self, seed):
        sim = PacketSimulation(seed, AGENTS, loss=0.02)
        sim.run(COPY_AGE_SECONDS)
        entries = list(sim.entries_by_address)
        agents = list(sim.agents_by_address)
        sim.store_readers = {entries[0], *agents[::3], *agents[1::3]}
        sim.store.restore(COPY_AGE_SECONDS)
        sim.run(OPERATOR_DELAY_SECONDS)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        open_flows(sim, 60, 1.5)
        assert late(sim, since) == []
        assert {core.evacuations.era for core in sim.cores()} == {1}

    def test_one_that_was_taken_back_ends_when_that_is_written_again(self):
        sim = PacketSimulation(1, AGENTS)
        sim.evacuate(EVACUATED)
        sim.run(COPY_AGE_SECONDS)
        sim.evacuate()
        sim.run(1.0)
        sim.store.restore(2.0)
        assert sim.store.evacuated == {EVACUATED}
        sim.run(OPERATOR_DELAY_SECONDS + IN_FORCE_SECONDS)
        assert all(not core.evacuations.names for core in sim.cores())

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_sleeper_of_the_former_era_brings_nothing_back(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        sleeper = next(iter(sim.agents_by_address.values()))
        asleep, sleeper.core = sleeper.core, None
        sim.evacuate()
        sim.run(COPY_AGE_SECONDS)
        sim.store.restore(1.0)
        sim.run(2.0)
        sim.store_readers = {next(iter(sim.entries_by_address))}
        sleeper.core = asleep
        sim.run(IN_FORCE_SECONDS)
        assert all(core.evacuations.era == 1 for core in sim.cores())
        others = [core for core in sim.cores() if core is not asleep]
        assert all(not core.evacuations.names for core in others)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_two_restores_within_a_second(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.run(COPY_AGE_SECONDS)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        sim.store.restore(COPY_AGE_SECONDS)
        open_flows(sim, 20, 0.5)
        sim.store.restore(COPY_AGE_SECONDS)
        for _ in range(5):
            open_flows(sim, 20, 0.5)
        assert late(sim, since) == []
        assert {core.evacuations.era for core in sim.cores()} == {2}


class TestAgentsOfTheLostSeconds:
    """Flows of running targets are reset after everything restarts.

    Agents join, the store loses their announcements, and everything restarts later.
    The agents must announce themselves again.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_are_found_after_a_restart_of_everything(self, seed):
        sim = PacketSimulation(seed, {"tally": 6})
        sim.run(COPY_AGE_SECONDS)
        joined = [sim.add_agent("tally") for _ in range(3)]
        sim.run(2.0)
        flows = open_flows(sim, 60)
        sim.store.restore(COPY_AGE_SECONDS)
        listed = {address for _, address, _ in sim.announced}
        assert listed.isdisjoint(agent.address for agent in joined)
        sim.run(MAX_RENEW_SECONDS)
        restart_everything(sim)
        sim.run(2.0)
        assert len(sim.announced) == 9
        assert count_new_answers(sim, flows, 2.0) == [1] * len(flows)
        assert sim.findings() == []


class TestFormerServiceOfTheLostSeconds:
    """Flows at the former service of a route are reset.

    A route is moved and the record is updated. The store loses the record, and every
    process is killed within the same second. Daemons that start consider the record of
    the copy complete.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("pause", [0.2, 5.0])
    def test_keeps_its_flows(self, seed, pause):
        sim = PacketSimulation(seed, {"tally": 6, "ledger": 4})
        sim.run(COPY_AGE_SECONDS)
        sim.set_shares(SPLIT_ROUTE, {"tally": 1.0})
        sim.run(0.5)
        flows = [sim.open_flow(SPLIT_ROUTE) for _ in range(20)]
        sim.run(1.0)
        sim.set_shares(SPLIT_ROUTE, {"ledger": 1.0})
        sim.run(1.0)
        sim.store.restore(COPY_AGE_SECONDS)
        sim.run(pause)
        restart_everything(sim)
        for _ in range(4):
            for flow in flows:
                sim.ask(flow)
            sim.run(1.5)
        assert {flow.state for flow in flows} == {"open"}
        assert sim.resets == []
