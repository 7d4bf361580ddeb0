"""Each flow without an owner is searched for once, however often clients repeat."""

import functools

import pytest
from packet_helpers import SEEDS, count_new_answers, open_flows
from zinniahook_core.packets import Flag
from zinniahook_testkit.packetsimulation import PacketSimulation

MAX_RETRY_SECONDS = 1.6
"""Longest interval at which a client repeats a packet."""

LOST_AFTER_SECONDS = 6.0
"""Seconds after which no agent waits for a silent agent's flows."""


def closing(sim, flow, flags=Flag.CLOSING):
    """Return a client's packet without data."""
    return sim.codec.write(
        flow.key,
        flags | Flag.ACKNOWLEDGES,
        flow.first + flow.sent,
        flow.server_first + 1 + flow.taken,
    )


def repeat(sim, flow, flags, times):
    """Let a client repeat a packet that stays unanswered."""
    for number in range(times):
        packet = closing(sim, flow, flags)
        sim.at(number * MAX_RETRY_SECONDS, functools.partial(sim.from_client, packet))


def lose(sim, count):
    """Stop machines silently and for good, and let homes forget their flows."""
    gone = list(sim.agents_by_address.values())[:count]
    for agent in gone:
        agent.core = None
        agent.target.alive = False
    forget_pointers(sim)
    forget_hints(sim)


def forget_pointers(sim):
    """Let every home forget the owners that are down."""
    for agent in sim.agents_by_address.values():
        for other in sim.agents_by_address.values():
            if agent.core is not None and other.core is None:
                for key in sim.flows_by_key:
                    agent.core.home.forget(key, other.address)
    sim.run(0.1)


def searched(sim, lines=0):
    """Return the flow of each search since a log line."""
    events = sim.log.lines[lines:]
    return [fields["flow"] for name, fields in events if name == "search"]


def forget_hints(sim):
    """Restart every entry, so that only homes know the owners."""
    for address in sim.entries_by_address:
        sim.start_entry(address)
    sim.run(0.3)


class TestFlowsWithoutOwner:
    """Agents spend their time on searches that find no owner.

    Targets are gone, and clients of their flows repeat closings and packets without
    data every 1.6 s. The result of a search is forgotten immediately, so each copy
    starts a search of half of the service again, without end.
    """

    @pytest.mark.parametrize("seed", SEEDS[:3])
    @pytest.mark.parametrize("flags", [Flag.CLOSING, 0, Flag.RESET])
    def test_are_searched_for_once(self, seed, flags):
        sim = PacketSimulation(seed, {"tally": 24})
        flows = open_flows(sim, 600, 2.0)
        lose(sim, 10)
        lost = [flow for flow in flows if not sim.is_held(flow)][:250]
        living = [flow for flow in flows if sim.is_held(flow)]
        assert len(lost) > 200
        sim.run(LOST_AFTER_SECONDS)
        lines = len(sim.log.lines)
        for flow in lost:
            repeat(sim, flow, flags, 19)
        sim.run(31.0)
        begun = searched(sim, lines)
        assert len(begun) == len(set(begun))
        assert set(begun) <= {flow.key for flow in lost}
        assert sim.log.counts["search.resumed"] == 0
        assert min(count_new_answers(sim, living)) == 1
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_end_as_their_clients_close_them(self, seed):
        sim = PacketSimulation(seed, {"tally": 24})
        flows = open_flows(sim, 200, 2.0)
        lose(sim, 5)
        lost = [flow for flow in flows if not sim.is_held(flow)]
        sim.run(LOST_AFTER_SECONDS)
        for flow in lost:
            repeat(sim, flow, Flag.CLOSING, 4)
        sim.run(7.0)
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_of_a_split_route_are_searched_for_once_a_service(self, seed):
        sim = PacketSimulation(seed, {"tally": 12, "ledger": 12})
        flows = open_flows(sim, 100, 2.0)
        sim.set_shares(1, {"tally": 0.5, "ledger": 0.5})
        lose(sim, 5)
        lost = [flow for flow in flows if not sim.is_held(flow)]
        sim.run(LOST_AFTER_SECONDS)
        lines = len(sim.log.lines)
        for flow in lost:
            repeat(sim, flow, Flag.CLOSING, 10)
        sim.run(17.0)
        assert len(searched(sim, lines)) <= 2 * len(lost)
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.findings() == []

    def test_log_names_what_was_searched_for(self):
        sim = PacketSimulation(1, {"tally": 24})
        flows = open_flows(sim, 100, 2.0)
        lose(sim, 5)
        lost = [flow for flow in flows if not sim.is_held(flow)]
        for flow in lost:
            sim.from_client(closing(sim, flow))
        sim.run(LOST_AFTER_SECONDS)
        events = dict(sim.log.lines)
        for name in ("search", "search.unsure", "reset.no_owner"):
            assert (events[name]["packet"], events[name]["length"]) == ("closing", 0)
        assert events["search.unsure"]["unseen"]


class TestOutdatedVerdicts:
    """An open flow is reset by an outdated search result.

    The owner's agent is down for so long that no agent waits for it, and every other
    agent denies the flow. When the agent comes back, the result is still used.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_agent_that_comes_back_is_asked(self, seed):
        sim = PacketSimulation(seed, {"tally": 24})
        flows = open_flows(sim, 200, 2.0)
        agent = next(iter(sim.agents_by_address.values()))
        agent.core = None
        mine = [f for f in flows if f.key in agent.target.by_flow and sim.is_held(f)]
        mine = [f for f in mine if agent.target.by_flow[f.key].open]
        assert mine
        forget_pointers(sim)
        forget_hints(sim)
        sim.run(LOST_AFTER_SECONDS)
        for flow in mine:
            repeat(sim, flow, Flag.CLOSING, 4)
        sim.run(7.0)
        assert {flow.state for flow in mine} == {"reset"}
        sim.resets.clear()
        sim.start_agent(agent)
        sim.run(0.5)
        for flow in mine:
            # The reset is lost.
            flow.state = "open"
            flow.asked_at = None
        assert min(count_new_answers(sim, mine, 3.0)) == 1
        assert sim.findings() == []

    def test_another_flow_from_the_same_port_is_distinguished(self):
        sim = PacketSimulation(1, {"tally": 24})
        flows = open_flows(sim, 100, 2.0)
        lose(sim, 5)
        lost = next(flow for flow in flows if not sim.is_held(flow))
        sim.run(LOST_AFTER_SECONDS)
        repeat(sim, lost, Flag.CLOSING, 4)
        sim.run(7.0)
        assert lost.state == "reset"
        lost.state, lost.first, lost.begun = "opening", lost.first + 999, sim.now
        lost.copies = lost.taken = lost.repeats = 0
        lost.sent, lost.asked_at = 1, None
        sim.from_client(lost.open(sim.now))
        sim.run(1.0)
        assert lost.state == "open"
        forget_hints(sim)
        assert count_new_answers(sim, [lost]) == [1]
        assert sim.findings() == []


class TestTargetsThatAreReplaced:
    """After targets are replaced, each of their flows is searched for.

    A target ends, and the next one starts beside the same agent. The agent knows
    which flows have ended but doesn't report them, so the next packet of a client
    starts a search.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_search_begins_for_their_flows(self, seed):
        sim = PacketSimulation(seed, {"tally": 24})
        sim.run(3.0)
        flows = open_flows(sim, 200, 3.0)
        agents = list(sim.agents_by_address.values())[:8]
        for agent in agents:
            sim.start_target(agent)
            sim.send_heartbeat(agent)
        sim.run(0.1)
        lost = [flow for flow in flows if not sim.is_held(flow)]
        assert {flow.state for flow in lost} == {"reset"}
        forget_hints(sim)
        before = sim.log.counts["search"]
        for flow in lost:
            # The reset is lost.
            flow.state = "open"
            flow.asked_at = None
            sim.ask(flow)
        sim.run(1.0)
        assert sim.log.counts["search"] == before
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.findings() == []


class TestHomesOfLivingFlows:
    """Open flows are searched for, though their owner has informed their homes.

    In a service with more agents than a flow has candidates, a candidate is lost, or
    an agent without a target joins. Another agent becomes a candidate and the flow's
    home. Owners check their flows again only if a former home joins or leaves.
    """

    def searches(self, sim, flows):
        forget_hints(sim)
        lines = len(sim.log.lines)
        held = [flow for flow in flows if sim.is_held(flow)]
        assert min(count_new_answers(sim, held, 2.0)) == 1
        keys = {flow.key for flow in held}
        return [key for key in searched(sim, lines) if key in keys]

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_know_them_after_agents_have_ended(self, seed):
        sim = PacketSimulation(seed, {"tally": 30})
        flows = open_flows(sim, 400, 2.0)
        for agent in list(sim.agents_by_address.values())[:10]:
            agent.target.alive = False
            agent.core.note_ended(sim.now, agent.target.name, agent.born)
            agent.core.leave(sim.now)
            sim.run(0.2)
            agent.core.announce_end(sim.now)
            agent.core = None
        sim.run(8.0)
        assert self.searches(sim, flows) == []

    def test_answer_though_entries_first_ask_agents_that_are_gone(self):
        """Entries repeat a packet to a home that is gone and never answers."""
        for seed in (110, 113, 114):
            self.test_know_them_after_agents_have_ended(seed)

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_know_them_after_agents_have_come_without_targets(self, seed):
        sim = PacketSimulation(seed, {"tally": 30})
        flows = open_flows(sim, 400, 2.0)
        sim.suspend_heartbeats(60.0)
        for _ in range(12):
            sim.add_agent("tally").target.alive = False
        sim.run(2.0)
        assert self.searches(sim, flows) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_hand_their_pointers_on_as_they_leave(self, seed):
        """Both homes leave while the owner is cut off from the next home.

        A search there would send the packet to targets that don't hold the flow.
        """
        sim = PacketSimulation(seed, {"tally": 6})
        sim.run(2.0)
        flow = open_flows(sim, 1, 2.0)[0]
        owner = sim._holder(flow)
        homes = owner.core.flows.get(flow.key).homes
        leaving = [a for a in homes if a != owner.address]
        for address, agent in sim.agents_by_address.items():
            if address not in homes and agent is not owner:
                sim.cut.add(frozenset((address, owner.address)))
        for address in leaving:
            agent = sim.agents_by_address[address]
            agent.target.alive = False
            agent.core.note_ended(sim.now, agent.target.name, agent.born)
        sim.run(0.3)
        forget_hints(sim)
        sim.ask(flow)
        sim.run(0.3)
        assert sim.log.counts["search"] == 0


class TestFlowsThatTheirTargetHasClosed:
    """A search for the closing of a completed flow finds no owner.

    A target closes a flow after its answer, and the client closes it seconds later.
    The agent has forgotten the flow by then, so the closing doesn't reach the target,
    which would acknowledge it.
    """

    def closed(self, sim, flow):
        agent = sim._holder(flow)
        held = agent.target.by_flow[flow.key]
        raw = sim.codec.write(
            flow.key,
            Flag.CLOSING | Flag.ACKNOWLEDGES,
            held.first + held.sent,
            flow.first + flow.sent,
            to_client=True,
        )
        agent.core.from_target(sim.now, raw)
        return agent

    @pytest.mark.parametrize("seed", SEEDS)
    def test_the_client_s_closing_reaches_the_target(self, seed):
        sim = PacketSimulation(seed, {"tally": 12})
        flows = open_flows(sim, 20, 2.0)
        for flow in flows:
            self.closed(sim, flow)
        sim.run(8.0)
        owned, before = len(sim.owned), sim.log.counts["search"]
        for flow in flows:
            sim.from_client(closing(sim, flow))
        sim.run(0.5)
        assert sim.log.counts["search"] == before
        assert len(sim.owned) - owned == len(flows)

    def test_is_forgotten_once_the_client_has_closed_it_too(self):
        sim = PacketSimulation(1, {"tally": 12})
        flow = open_flows(sim, 1, 2.0)[0]
        agent = self.closed(sim, flow)
        sim.from_client(closing(sim, flow))
        sim.run(5.0)
        assert agent.core.flows.get(flow.key) is None
