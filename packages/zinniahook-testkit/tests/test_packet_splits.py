"""Open flows while the split of their route changes.

A flow opens at one of two services of a route. A new configuration removes that
service from the route, and the flow continues through another entry, which has no
hint. If the entry asks only the services of the newest configuration, it takes
their denials as final and resets the flow, though its target runs.
"""

import pytest
from packet_helpers import SEEDS, count_new_answers
from zinniahook_testkit.packetsimulation import PacketSimulation

SERVICES = {"floor": 6, "docs": 3}
SPLIT = {"floor": 1.0, "docs": 1.0}
ROUTE = 1
SETTLE_SECONDS = 0.5


def split_simulation(seed, weights=SPLIT, loss=0.0):
    """Return a simulation whose first route leads to two services, and its flows."""
    sim = PacketSimulation(seed, dict(SERVICES), loss=loss)
    sim.set_shares(ROUTE, weights)
    sim.run(SETTLE_SECONDS)
    flows = [sim.open_flow(ROUTE) for _ in range(40)]
    sim.run(1.0)
    assert {flow.state for flow in flows} == {"open"}
    return sim, flows


def held_by(sim, service):
    """Return the keys of the flows that targets of a service hold."""
    return {
        key
        for agent in sim.agents_by_address.values()
        if agent.service == service
        for key, held in agent.target.by_flow.items()
        if held.open
    }


def forget_hints(sim):
    """Restart every entry, so that no entry has hints."""
    for address in sim.entries_by_address:
        sim.start_entry(address)
    sim.run(SETTLE_SECONDS)


def assert_served(sim, flows):
    """Send a request on each flow and check that no guarantee is violated."""
    assert count_new_answers(sim, flows, 3.0) == [1] * len(flows)
    assert sim.findings() == []
    assert sim.resets == []


CHANGES = {
    "taken out": [{"floor": 1.0}],
    "weight nought": [{"floor": 1.0, "docs": 0.0}],
    "out and back": [{"floor": 1.0}, SPLIT],
    "moved to the other": [{"docs": 1.0}],
    "swapped": [{"floor": 1.0}, {"docs": 1.0}],
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("change", CHANGES)
class TestChangedSplits:
    def change(self, sim, change):
        """Apply the changes within a second."""
        for weights in CHANGES[change]:
            sim.set_shares(ROUTE, weights)
            sim.run(0.4)

    def test_flows_go_on_without_hints(self, seed, change):
        sim, flows = split_simulation(seed)
        assert held_by(sim, "docs")
        self.change(sim, change)
        forget_hints(sim)
        assert_served(sim, flows)

    def test_they_go_on_after_a_restart_of_every_process(self, seed, change):
        """Only the store's record has the former version then."""
        sim, flows = split_simulation(seed)
        self.change(sim, change)
        for agent in sim.agents_by_address.values():
            agent.core = None
        for address in sim.entries_by_address:
            sim.start_entry(address)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        sim.run(SETTLE_SECONDS)
        assert_served(sim, flows)

    def test_they_go_on_after_a_restart_of_every_agent(self, seed, change):
        sim, flows = split_simulation(seed)
        self.change(sim, change)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        sim.run(SETTLE_SECONDS)
        assert_served(sim, flows)

    def test_new_flows_open_where_the_route_leads(self, seed, change):
        sim, _ = split_simulation(seed)
        self.change(sim, change)
        fresh = [sim.open_flow(ROUTE) for _ in range(20)]
        sim.run(1.0)
        takers = {name for name, w in CHANGES[change][-1].items() if w}
        keys = {flow.key for flow in fresh}
        elsewhere = set(SERVICES) - takers
        assert not any(keys & held_by(sim, name) for name in elsewhere)
        assert {flow.state for flow in fresh} == {"open"}


@pytest.mark.parametrize("seed", SEEDS)
class TestRoutesTurnedIntoSplits:
    def test_flows_of_a_plain_route_go_on(self, seed):
        sim, flows = split_simulation(seed, {"docs": 1.0})
        for weights in (SPLIT, {"docs": 0.5, "floor": 3.0}, {"floor": 1.0}):
            sim.set_shares(ROUTE, weights)
            sim.run(0.4)
            forget_hints(sim)
            assert_served(sim, flows)

    def test_a_dropped_route_ends_its_flows(self, seed):
        sim, flows = split_simulation(seed)
        sim.set_shares(ROUTE, {"floor": 1.0})
        sim.run(SETTLE_SECONDS)
        sim.drop_route(ROUTE)
        sim.run(SETTLE_SECONDS)
        for flow in flows:
            sim.ask(flow)
        sim.run(1.0)
        assert {flow.state for flow in flows} == {"reset"}


@pytest.mark.parametrize("seed", SEEDS)
class TestFlowsThatEnded:
    """A flow that no service holds is reset at once, not left to time out."""

    def test_clients_of_crashed_targets_are_reset(self, seed):
        sim, flows = split_simulation(seed)
        sim.set_shares(ROUTE, {"floor": 1.0})
        sim.run(SETTLE_SECONDS)
        for agent in sim.agents_by_address.values():
            agent.core = None
            sim.start_target(agent)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        sim.run(SETTLE_SECONDS)
        for flow in flows:
            sim.ask(flow)
        sim.run(1.5)
        assert {flow.state for flow in flows} == {"reset"}
        assert sim.findings() == []


@pytest.mark.parametrize("seed", SEEDS)
class TestVerdictAfterDoubt:
    """Clients of lost flows wait a second longer than the search after a power failure.

    An agent comes back briefly and stops again. A search gives a packet back as unsure
    and concludes a second later. The result is sent only with the client's next
    packet, and the former unsure result is kept beside it.
    """

    GONE = 0.3
    UNKNOWN = 1.2
    """Seconds to wait for an agent that was seen without a target."""

    PROMPT = 0.3

    def test_is_sent_at_once(self, seed):
        sim, flows = split_simulation(seed)
        for agent in sim.agents_by_address.values():
            sim.start_target(agent)
            sim.start_agent(agent)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        back = next(a for a in sim.agents_by_address.values() if a.service == "docs")
        back.target.alive = False
        back.target = None
        sim.run(self.GONE)
        # Clients repeat a packet after 0.2, 0.6, 1.4 and 3.0 s.
        for flow in flows:
            sim.ask(flow)
        sim.run(self.GONE)
        back.core = None
        sim.run(self.UNKNOWN + self.PROMPT)
        assert {flow.state for flow in flows} == {"reset"}
        assert sim.findings() == []


@pytest.mark.parametrize("seed", SEEDS)
class TestDaemonsThatMayLackAFormerService:
    """A flow is reset if everything restarts during a configuration change.

    The change is confirmed. Every process is killed before the record is updated, and
    the store can't be read. A record that may be incomplete is treated as complete.
    """

    def test_they_reset_nothing(self, seed):
        sim, flows = split_simulation(seed)
        sim.set_shares(ROUTE, {"floor": 1.0})
        sim.run(SETTLE_SECONDS)
        docs = held_by(sim, "docs")
        sim._recorded = lambda: None
        forget_hints(sim)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        sim.run(SETTLE_SECONDS)
        for flow in flows:
            sim.ask(flow)
        sim.run(2.0)
        assert sim.resets == []
        assert all(flow.answers[1:] for flow in flows if flow.key not in docs)


@pytest.mark.parametrize("seed", SEEDS)
class TestCostOfASplit:
    """Processor time grows with packets times agents after a power failure.

    Packets of a split route arrive without hints. Each packet goes to every service,
    and each service without the flow searches its agents for every packet.
    """

    def test_no_search_for_what_another_service_holds(self, seed):
        sim, flows = split_simulation(seed)
        sim.set_shares(ROUTE, {"floor": 1.0})
        sim.run(SETTLE_SECONDS)
        before = sim.log.counts["search"]
        forget_hints(sim)
        for _ in range(4):
            assert_served(sim, flows)
        assert sim.log.counts["search"] == before

    def test_each_flow_is_searched_once_in_a_service(self, seed):
        sim, flows = split_simulation(seed)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        before = sim.log.counts["search"]
        sim.run(SETTLE_SECONDS)
        for _ in range(4):
            assert_served(sim, flows)
        assert sim.log.counts["search"] - before <= len(SERVICES) * len(flows)
