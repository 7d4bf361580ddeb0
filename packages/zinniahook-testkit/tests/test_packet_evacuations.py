"""Evacuated data centres get no new flows and lose none.

The load is 18 targets in three data centres. One data centre is evacuated and
restored while clients open flows continuously.
"""

import pytest
from packet_helpers import SEEDS, count_new_answers, open_flows
from zinniahook_testkit.packetsimulation import DATA_CENTRES, PacketSimulation

AGENTS = {"tally": 18}
IN_FORCE_SECONDS = 1.0
"""Seconds until an order must be in force: a fifth of the limit that operators
are given, as there are no failures here."""

EVACUATED, OTHER, THIRD = DATA_CENTRES[0], DATA_CENTRES[1], DATA_CENTRES[2]
OPENING_SECONDS = 0.1
"""Seconds for an opening if targets are free; clients repeat it after 0.2 s."""


def there(sim, centre=EVACUATED):
    return [a for a in sim.agents_by_address.values() if a.centre == centre]


def late(sim, since):
    """Return the openings that evacuated targets took since a time."""
    return [row for row in sim.evacuated_openings if row[0] >= since]


class TestEvacuatedDataCentre:
    """Flows are opened in a data centre that operators evacuate.

    The order is in the store, but no daemon has read it.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nothing_new_goes_there(self, seed):
        sim = PacketSimulation(seed, AGENTS, loss=0.01)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        for _ in range(10):
            open_flows(sim, 30, 0.7)
        assert late(sim, since) == []
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_open_flows_are_unaffected(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        flows = open_flows(sim)
        sim.evacuate(EVACUATED)
        for _ in range(4):
            assert count_new_answers(sim, flows) == [1] * len(flows)
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_openings_need_no_second_try(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        for _ in range(5):
            open_flows(sim, 20, OPENING_SECONDS)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_one_reader_of_the_store_is_enough(self, seed):
        sim = PacketSimulation(seed, AGENTS, loss=0.02)
        sim.store_readers = {next(iter(sim.entries_by_address))}
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        open_flows(sim, 60, 1.5)
        assert late(sim, since) == []

    def test_of_three_two_may_be_evacuated(self):
        sim = PacketSimulation(1, AGENTS)
        sim.evacuate(EVACUATED, OTHER)
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        open_flows(sim, 20, 0.5)
        assert late(sim, since) == []


class TestEvacuationTakenBack:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_its_targets_are_used_again(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.evacuate(EVACUATED)
        sim.run(3.0)
        sim.evacuate()
        sim.run(IN_FORCE_SECONDS)
        before = {a.address: len(a.target.openings) for a in there(sim)}
        for _ in range(6):
            open_flows(sim, 30, 0.7)
        used = [len(a.target.openings) - before[a.address] for a in there(sim)]
        assert min(used) > 0
        assert sim.findings() == []

    def test_given_again_within_a_second(self):
        sim = PacketSimulation(2, AGENTS)
        sim.store_readers = set(list(sim.entries_by_address)[:2])
        for centres in ((EVACUATED,), (), (EVACUATED,), (), (EVACUATED,)):
            sim.evacuate(*centres)
            sim.run(0.2)
        sim.run(IN_FORCE_SECONDS)
        since = sim.now
        open_flows(sim, 60, 1.0)
        assert late(sim, since) == []


class TestOpeningsThatWait:
    """An opening is served in a data centre seconds after its evacuation.

    It waits at a busy agent when the order arrives, and the agent passes it to its
    target once that has a free slot.
    """

    def test_are_handed_on_at_once(self):
        sim = PacketSimulation(3, AGENTS)
        for agent in there(sim):
            agent.target.work = 30.0
        for _ in range(400):
            sim.open_flow()
        sim.run(0.2)
        assert sum(len(a.core.openings.waiting) for a in there(sim)) > 0
        sim.evacuate(EVACUATED)
        sim.run(0.3)
        assert [len(a.core.openings.waiting) for a in there(sim)] == [0] * 6


class TestAgentThatStartsInAnEvacuatedDataCentre:
    """A flow is opened in an evacuated data centre after a restart.

    An agent starts again, the store doesn't answer it, and openings arrive before any
    peer has reported the order. An agent that knows no order must not conclude that
    there is none.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_takes_nothing_before_it_knows(self, seed):
        sim = PacketSimulation(seed, AGENTS, loss=0.05)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        sim.store_readers = {next(iter(sim.entries_by_address))}
        since = sim.now
        for agent in there(sim):
            sim.start_agent(agent, configured=False)
        for _ in range(20):
            for _ in range(6):
                sim.open_flow()
            sim.run(0.05)
        sim.run(1.5)
        assert late(sim, since) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nor_after_a_loss_of_all_power(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.evacuate(EVACUATED)
        sim.run(IN_FORCE_SECONDS)
        readers = set(list(sim.entries_by_address)[:1])
        for agent in sim.agents_by_address.values():
            agent.core = None
            agent.target.alive = False
        sim.run(0.5)
        sim.store_readers = readers
        since = sim.now
        for address in sim.entries_by_address:
            sim.start_entry(address)
        for agent in sim.agents_by_address.values():
            sim.start_target(agent)
            sim.start_agent(agent, configured=False)
        flows = []
        for _ in range(20):
            flows += [sim.open_flow() for _ in range(4)]
            sim.run(0.05)
        sim.run(1.5)
        assert late(sim, since) == []
        assert sum(flow.state == "open" for flow in flows) >= 0.9 * len(flows)


class TestAgentThatSlept:
    """A withdrawn order is in force again, or a new order isn't.

    An agent is suspended for seconds while orders change, and resumes with the old
    ones. It announces them, or applies them until a peer corrects it.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_opens_nothing_by_old_orders(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.store_readers = {next(iter(sim.entries_by_address))}
        asleep = {agent.address: agent.core for agent in there(sim)}
        for agent in there(sim):
            agent.core = None
        sim.evacuate(EVACUATED)
        sim.run(3.0)
        since = sim.now
        for agent in there(sim):
            agent.core = asleep[agent.address]
        for _ in range(10):
            for _ in range(10):
                sim.open_flow()
            sim.run(0.1)
        assert late(sim, since) == []
        others = there(sim, OTHER) + there(sim, THIRD)
        assert all(a.core.evacuations.names == {EVACUATED} for a in others)


class TestEverythingEvacuated:
    """A client gets no answer for its whole time budget.

    Every data centre is evacuated. Openings are held or dropped although no target may
    take them.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_openings_are_reset_at_once(self, seed):
        sim = PacketSimulation(seed, AGENTS)
        sim.evacuate(*DATA_CENTRES)
        sim.run(IN_FORCE_SECONDS)
        flows = [sim.open_flow() for _ in range(30)]
        sim.run(OPENING_SECONDS)
        assert {flow.state for flow in flows} == {"reset"}
        assert late(sim, sim.now - OPENING_SECONDS) == []
        assert sim.findings() == []

    def test_a_copy_of_an_open_flow_is_not(self):
        sim = PacketSimulation(1, AGENTS)
        flows = open_flows(sim)
        sim.evacuate(*DATA_CENTRES)
        sim.run(IN_FORCE_SECONDS)
        for flow in flows:
            flow.copies = 1
            sim.from_client(flow.open(sim.now))
        sim.run(0.5)
        assert {flow.state for flow in flows} == {"open"}
        assert sim.findings() == []


class TestMistypedDataCentre:
    """An evacuated data centre still gets flows.

    The order names a data centre that doesn't exist in the deployment, and every
    daemon reports that it is in force, as none of them compares the names.
    """

    @pytest.mark.parametrize("known", [DATA_CENTRES, ()])
    def test_its_name_is_logged(self, known):
        sim = PacketSimulation(0, AGENTS)
        for agent in sim.agents_by_address.values():
            agent.core.data_centres = frozenset(known)
        sim.evacuate(EVACUATED, "nowhere")
        sim.run(IN_FORCE_SECONDS)
        logged = {
            tuple(fields["unknown"])
            for name, fields in sim.log.lines
            if name == "evacuations.installed" and fields["centres"]
        }
        assert (("nowhere",) in logged) == bool(known)
