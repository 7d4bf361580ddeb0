"""Datagrams, openings and pointers of one agent."""

from flow_networks import ENTRY, SingleAgent, caller, member
from zinniahook_core.codes import Code
from zinniahook_core.effects import (
    AcceptFlow,
    Deliver,
    Drop,
    EndFlow,
    ForwardDatagram,
    HandOver,
    SendPeer,
)
from zinniahook_core.events import FlowOpening
from zinniahook_core.flows import HOP_LIMIT
from zinniahook_core.messages import FlowAnswer, FlowAsk, FlowPointers, Heartbeat
from zinniahook_core.models import Load
from zinniahook_core.pointers import Pointer, Pointers
from zinniahook_core.queries import MAX_HELD_FLOWS, MAX_HELD_PACKETS
from zinniahook_core.routing import flow_key


class TestDatagrams:
    def test_a_home_of_long_standing_opens_at_once(self):
        agent = SingleAgent()
        number = agent.number_at("a-0")
        effects = agent.datagram(100.0, number)
        assert AcceptFlow(flow_key(caller(number))) in effects
        assert any(isinstance(effect, Deliver) for effect in effects)

    def test_a_home_that_has_just_started_asks_first(self):
        agent = SingleAgent()
        number = agent.number_at("a-0")
        asks = [e for e in agent.datagram(1.0, number) if isinstance(e, SendPeer)]
        assert {ask.peer for ask in asks} == {"a-1", "a-2"}
        flow = flow_key(caller(number))
        ask = asks[0].message
        assert agent.flows.peer(1.0, "a-1", FlowAnswer(ask.number, flow, "")) == []
        effects = agent.flows.peer(1.0, "a-2", FlowAnswer(ask.number, flow, "a-2"))
        forward = ForwardDatagram("a-2", caller(number), ENTRY, b"x", 1)
        assert effects == [forward]

    def test_asks_are_repeated_and_time_out(self):
        agent = SingleAgent()
        number = agent.number_at("a-0")
        agent.datagram(1.0, number)
        again = [e for e in agent.flows.tick(1.15) if isinstance(e, SendPeer)]
        assert len(again) == 2
        effects = agent.flows.tick(1.6)
        assert Deliver(flow_key(caller(number)), caller(number), ENTRY, b"x") in effects

    def test_a_late_answer_to_an_older_ask_is_ignored(self):
        agent = SingleAgent()
        number = agent.number_at("a-0")
        agent.datagram(1.0, number)
        flow = flow_key(caller(number))
        assert agent.flows.peer(1.0, "a-1", FlowAnswer(99, flow, "a-1")) == []

    def test_hops_are_bounded(self):
        """Two agents must not forward a packet to each other forever.

        Each may hold a pointer to the other. Without a hop limit the traffic
        between them grows without any caller.
        """
        agent = SingleAgent()
        number = agent.number_at("a-1")
        flow = flow_key(caller(number))
        agent.flows.peer(0.0, "a-1", FlowPointers("a-1", 1, (flow,)))
        assert len(agent.datagram(0.0, number, hops=HOP_LIMIT - 1)) == 1
        assert agent.datagram(0.0, number, hops=HOP_LIMIT) == [Drop(Code.HOP_LIMIT)]

    def test_held_packets_are_bounded(self):
        agent = SingleAgent()
        number = agent.number_at("a-0")
        for _ in range(MAX_HELD_PACKETS):
            assert Drop(Code.FLOW_LIMIT) not in agent.datagram(1.0, number)
        assert agent.datagram(1.0, number) == [Drop(Code.FLOW_LIMIT)]
        dropped = sum(
            Drop(Code.FLOW_LIMIT) in agent.datagram(1.0, 1000 + n)
            for n in range(MAX_HELD_FLOWS * 2)
        )
        assert dropped >= MAX_HELD_FLOWS

    def test_an_idle_flow_ends_and_an_answered_one_does_not(self):
        agent = SingleAgent()
        first, second = 1, 2
        agent.datagram(0.0, first, handed_by="a-1")
        agent.datagram(0.0, second, handed_by="a-1")
        agent.flows.answered(20.0, flow_key(caller(second)))
        ended = [e for e in agent.flows.tick(31.0) if isinstance(e, EndFlow)]
        assert ended == [EndFlow(flow_key(caller(first)))]
        assert agent.flows.count == 1

    def test_a_leaving_home_refuses_when_no_agent_is_ready(self):
        agent = SingleAgent(names=("a-0",))
        agent.flows.leave()
        assert agent.datagram(100.0, 1) == [Drop(Code.LEAVING)]

    def test_answers_name_the_owner(self):
        agent = SingleAgent()
        agent.datagram(0.0, 1, handed_by="a-1")
        flow = flow_key(caller(1))
        answer = agent.flows.peer(0.0, "a-2", FlowAsk(5, flow))
        assert answer == [SendPeer("a-2", FlowAnswer(5, flow, "a-0"))]

    def test_pointers_of_a_former_incarnation_are_void(self):
        agent = SingleAgent()
        flow = flow_key(caller(1))
        agent.members[1] = member("a-1", incarnation=3)
        agent.learn(0.0, 2)
        assert agent.flows.peer(0.0, "a-1", FlowPointers("a-1", 2, (flow,))) == []


class TestOpenings:
    def busy(self):
        agent = SingleAgent(load=Load(4, 4, 3, 900, 0))
        for sequence in range(2):
            for name in ("a-1", "a-2"):
                heartbeat = Heartbeat(1, sequence, 1, Load(4, 0, 0, 100, 0))
                agent.placement.heartbeat(50.0, name, heartbeat)
        return agent

    def test_a_loaded_agent_hands_over_and_sticks_to_its_choice(self):
        agent = self.busy()
        first = agent.flows.opening(50.0, FlowOpening("feed", b"12345678", caller(1)))
        assert isinstance(first[0], HandOver)
        for _ in range(20):
            again = agent.flows.opening(
                50.1, FlowOpening("feed", b"12345678", caller(1))
            )
            assert again == [first[0]]

    def test_what_was_handed_over_is_taken(self):
        agent = self.busy()
        event = FlowOpening("feed", b"12345678", caller(1), handed_by="a-1")
        assert agent.flows.opening(50.0, event)[0] == AcceptFlow(b"12345678")

    def test_a_leaving_agent_takes_no_opening(self):
        agent = SingleAgent(names=("a-0",))
        agent.flows.leave()
        event = FlowOpening("feed", b"12345678", caller(1))
        assert agent.flows.opening(0.0, event) == [Drop(Code.LEAVING)]

    def test_a_closed_flow_is_no_longer_counted(self):
        agent = SingleAgent()
        event = FlowOpening("feed", b"12345678", caller(1), handed_by="a-1")
        agent.flows.opening(0.0, event)
        assert agent.flows.count == 1
        assert agent.flows.closed(b"12345678") == []
        assert agent.flows.count == 0


class TestPointers:
    def test_bounded_and_aged(self):
        table = Pointers(limit=10)
        for number in range(30):
            table.put(bytes((number,)), Pointer("a-1", 1, until=float(number)))
        assert len(table) == 10
        assert table.evicted == 20
        table.expire(25.0, 100)
        assert len(table) == 4
