"""Flows that nobody owns cost one search each, whatever their clients repeat."""

import functools

import pytest
from packet_stories import SEEDS, asked, opened
from zinniahook_core.packets import Flag
from zinniahook_testkit.packetworlds import PacketWorld

REPEAT = 1.6
"""Seconds after which a client repeats a packet at the longest."""

LOST = 6.0
"""Seconds after which nobody waits for a silent agent's flows."""


def closing(world, flow, flags=Flag.CLOSING):
    """Return a packet without data of a client."""
    return world.codec.write(
        flow.key,
        flags | Flag.ACKNOWLEDGES,
        flow.first + flow.sent,
        flow.server_first + 1 + flow.taken,
    )


def repeat(world, flow, flags, times):
    """Let a client repeat a packet that nothing answers."""
    for number in range(times):
        packet = closing(world, flow, flags)
        world.at(number * REPEAT, functools.partial(world.from_client, packet))


def lose(world, count):
    """Let machines go without a word, for ever, and homes forget their flows."""
    gone = list(world.agents_by_address.values())[:count]
    for agent in gone:
        agent.core = None
        agent.target.alive = False
    forget_pointers(world)
    forget_hints(world)


def forget_pointers(world):
    """Let every home forget the owners that don't run."""
    for agent in world.agents_by_address.values():
        for other in world.agents_by_address.values():
            if agent.core is not None and other.core is None:
                for key in world.flows_by_key:
                    agent.core.home.forget(key, other.address)
    world.run(0.1)


def searched(world, lines=0):
    """Return the flows that were searched for since a line, one an entry."""
    told = world.log.lines[lines:]
    return [fields["flow"] for name, fields in told if name == "search"]


def forget_hints(world):
    """Restart every entry: the homes alone know the owners then."""
    for address in world.entries_by_address:
        world.start_entry(address)
    world.run(0.3)


class TestFlowsThatNobodyOwns:
    """Symptom: agents spend their time on searches in which nobody is found.

    Sequence: targets are gone, and the clients of their flows repeat closings
    and bare packets each 1.6 s. Cause: what a search has found out is forgotten
    at once, and each copy searches half of the service again, for ever.
    """

    @pytest.mark.parametrize("seed", SEEDS[:3])
    @pytest.mark.parametrize("flags", [Flag.CLOSING, 0, Flag.RESET])
    def test_are_searched_for_once(self, seed, flags):
        world = PacketWorld(seed, {"tally": 24})
        flows = opened(world, 600, 2.0)
        lose(world, 10)
        lost = [flow for flow in flows if not world.is_held(flow)][:250]
        living = [flow for flow in flows if world.is_held(flow)]
        assert len(lost) > 200
        world.run(LOST)
        lines = len(world.log.lines)
        for flow in lost:
            repeat(world, flow, flags, 19)
        world.run(31.0)
        begun = searched(world, lines)
        assert len(begun) == len(set(begun))
        assert set(begun) <= {flow.key for flow in lost}
        assert world.log.counts["search.resumed"] == 0
        assert min(asked(world, living)) == 1
        assert world.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_end_as_their_clients_close_them(self, seed):
        world = PacketWorld(seed, {"tally": 24})
        flows = opened(world, 200, 2.0)
        lose(world, 5)
        lost = [flow for flow in flows if not world.is_held(flow)]
        world.run(LOST)
        for flow in lost:
            repeat(world, flow, Flag.CLOSING, 4)
        world.run(7.0)
        assert {flow.state for flow in lost} == {"reset"}
        assert world.findings() == []

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_of_a_split_route_are_searched_for_once_a_service(self, seed):
        world = PacketWorld(seed, {"tally": 12, "ledger": 12})
        flows = opened(world, 100, 2.0)
        world.set_shares(1, {"tally": 0.5, "ledger": 0.5})
        lose(world, 5)
        lost = [flow for flow in flows if not world.is_held(flow)]
        world.run(LOST)
        lines = len(world.log.lines)
        for flow in lost:
            repeat(world, flow, Flag.CLOSING, 10)
        world.run(17.0)
        assert len(searched(world, lines)) <= 2 * len(lost)
        assert {flow.state for flow in lost} == {"reset"}
        assert world.findings() == []

    def test_lines_tell_what_was_searched_for(self):
        world = PacketWorld(1, {"tally": 24})
        flows = opened(world, 100, 2.0)
        lose(world, 5)
        lost = [flow for flow in flows if not world.is_held(flow)]
        for flow in lost:
            world.from_client(closing(world, flow))
        world.run(LOST)
        told = dict(world.log.lines)
        for name in ("search", "search.unsure", "reset.no_owner"):
            assert (told[name]["packet"], told[name]["length"]) == ("closing", 0)
        assert told["search.unsure"]["unseen"]


class TestVerdictsThatHoldNoMore:
    """Symptom: a flow that lives is reset by what was once found out of it.

    Sequence: its agent was away for so long that nobody waits for it; everybody
    else denies the flow; the agent comes back. Cause: the verdict outlives what
    it rests on.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_agent_that_comes_back_is_asked(self, seed):
        world = PacketWorld(seed, {"tally": 24})
        flows = opened(world, 200, 2.0)
        agent = next(iter(world.agents_by_address.values()))
        agent.core = None
        mine = [f for f in flows if f.key in agent.target.by_flow and world.is_held(f)]
        mine = [f for f in mine if agent.target.by_flow[f.key].open]
        assert mine
        forget_pointers(world)
        forget_hints(world)
        world.run(LOST)
        for flow in mine:
            repeat(world, flow, Flag.CLOSING, 4)
        world.run(7.0)
        assert {flow.state for flow in mine} == {"reset"}
        world.resets.clear()
        world.start_agent(agent)
        world.run(0.5)
        for flow in mine:
            # The reset got lost.
            flow.state = "open"
            flow.asked_at = None
        assert min(asked(world, mine, 3.0)) == 1
        assert world.findings() == []

    def test_another_flow_from_the_same_port_is_not_taken_for_it(self):
        world = PacketWorld(1, {"tally": 24})
        flows = opened(world, 100, 2.0)
        lose(world, 5)
        lost = next(flow for flow in flows if not world.is_held(flow))
        world.run(LOST)
        repeat(world, lost, Flag.CLOSING, 4)
        world.run(7.0)
        assert lost.state == "reset"
        lost.state, lost.first, lost.begun = "opening", lost.first + 999, world.now
        lost.copies = lost.taken = lost.repeats = 0
        lost.sent, lost.asked_at = 1, None
        world.from_client(lost.open(world.now))
        world.run(1.0)
        assert lost.state == "open"
        forget_hints(world)
        assert asked(world, [lost]) == [1]
        assert world.findings() == []


class TestTargetsThatAreReplaced:
    """Symptom: after targets were replaced, each flow of theirs is searched for
    as its client goes on.

    Sequence: a target ends and the next one starts beside the same agent. Cause:
    the agent knows which flows have ended, and tells nobody.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_search_begins_for_their_flows(self, seed):
        world = PacketWorld(seed, {"tally": 24})
        world.run(3.0)
        flows = opened(world, 200, 3.0)
        agents = list(world.agents_by_address.values())[:8]
        for agent in agents:
            world.start_target(agent)
            world.beat(agent)
        world.run(0.1)
        lost = [flow for flow in flows if not world.is_held(flow)]
        assert {flow.state for flow in lost} == {"reset"}
        forget_hints(world)
        before = world.log.counts["search"]
        for flow in lost:
            # The reset got lost.
            flow.state = "open"
            flow.asked_at = None
            world.ask(flow)
        world.run(1.0)
        assert world.log.counts["search"] == before
        assert {flow.state for flow in lost} == {"reset"}
        assert world.findings() == []


class TestHomesOfLivingFlows:
    """Symptom: flows that live are searched for, though their owner has told
    their homes.

    Sequence: in a service of more agents than a flow concerns one of them is
    lost, or one comes without a target; the flow concerns another one instead,
    which is its home. Cause: owners look at their flows again only if an agent
    that was a home comes or goes.
    """

    def searches(self, world, flows):
        forget_hints(world)
        lines = len(world.log.lines)
        held = [flow for flow in flows if world.is_held(flow)]
        assert min(asked(world, held, 2.0)) == 1
        keys = {flow.key for flow in held}
        return [key for key in searched(world, lines) if key in keys]

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_know_them_after_agents_have_ended(self, seed):
        world = PacketWorld(seed, {"tally": 30})
        flows = opened(world, 400, 2.0)
        for agent in list(world.agents_by_address.values())[:10]:
            agent.target.alive = False
            agent.core.note_ended(world.now, agent.target.name)
            agent.core.leave(world.now)
            world.run(0.2)
            agent.core.announce_end(world.now)
            agent.core = None
        world.run(8.0)
        assert self.searches(world, flows) == []

    def test_answer_though_entries_first_ask_agents_that_are_gone(self):
        """Guards against entries that repeat a packet to a home that never answers."""
        for seed in (110, 113, 114):
            self.test_know_them_after_agents_have_ended(seed)

    @pytest.mark.parametrize("seed", SEEDS[:3])
    def test_know_them_after_agents_have_come_without_targets(self, seed):
        world = PacketWorld(seed, {"tally": 30})
        flows = opened(world, 400, 2.0)
        world.hold_beats(60.0)
        for _ in range(12):
            world.add_agent("tally").target.alive = False
        world.run(2.0)
        assert self.searches(world, flows) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_hand_their_pointers_on_as_they_leave(self, seed):
        """Both homes of a flow leave while its owner is cut off from the next
        one; who searches there asks targets that it doesn't concern."""
        world = PacketWorld(seed, {"tally": 6})
        world.run(2.0)
        flow = opened(world, 1, 2.0)[0]
        owner = world._holder(flow)
        homes = owner.core.flows.get(flow.key).homes
        leaving = [a for a in homes if a != owner.address]
        for address, agent in world.agents_by_address.items():
            if address not in homes and agent is not owner:
                world.cut.add(frozenset((address, owner.address)))
        for address in leaving:
            agent = world.agents_by_address[address]
            agent.target.alive = False
            agent.core.note_ended(world.now, agent.target.name)
        world.run(0.3)
        forget_hints(world)
        world.ask(flow)
        world.run(0.3)
        assert world.log.counts["search"] == 0


class TestFlowsThatTheirTargetHasClosed:
    """Symptom: the closing of a flow that ended well is searched for in vain.

    Sequence: a target closes a flow after its answer; the client closes it too,
    seconds later. Cause: the agent has forgotten the flow, and nobody brings
    the closing to the target that would acknowledge it.
    """

    def closed(self, world, flow):
        agent = world._holder(flow)
        held = agent.target.by_flow[flow.key]
        raw = world.codec.write(
            flow.key,
            Flag.CLOSING | Flag.ACKNOWLEDGES,
            held.first + held.sent,
            flow.first + flow.sent,
            to_client=True,
        )
        agent.core.from_target(world.now, raw)
        return agent

    @pytest.mark.parametrize("seed", SEEDS)
    def test_the_client_s_closing_reaches_the_target(self, seed):
        world = PacketWorld(seed, {"tally": 12})
        flows = opened(world, 20, 2.0)
        for flow in flows:
            self.closed(world, flow)
        world.run(8.0)
        owned, before = len(world.owned), world.log.counts["search"]
        for flow in flows:
            world.from_client(closing(world, flow))
        world.run(0.5)
        assert world.log.counts["search"] == before
        assert len(world.owned) - owned == len(flows)

    def test_is_forgotten_once_the_client_has_closed_it_too(self):
        world = PacketWorld(1, {"tally": 12})
        flow = opened(world, 1, 2.0)[0]
        agent = self.closed(world, flow)
        world.from_client(closing(world, flow))
        world.run(5.0)
        assert agent.core.flows.get(flow.key) is None
