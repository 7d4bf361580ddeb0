"""The numbers by which a packet is judged to belong to a flow."""

import random

import pytest
from zinniahook_core.packets import Packet
from zinniahook_core.packets.flows import Flow, FlowState
from zinniahook_core.packets.sequences import SEQUENCE_SPAN

KEY = bytes(12)
PACKET_BYTES = 60_000
IN_FLIGHT_BYTES = 16 * 1200
CLIENT_ISN = 7


def open_flow(first, client_isn=CLIENT_ISN):
    """Return a flow whose opening its agent has seen."""
    flow = Flow(KEY, FlowState.OFFERED, 0.0, "", client_isn=client_isn)
    flow.accepted(first)
    assert flow.matches((first + 1) % SEQUENCE_SPAN)
    flow.state = FlowState.OPEN
    return flow


def learned_flow():
    """Return a flow that is older than its agent."""
    return Flow(KEY, FlowState.OPEN, 0.0, "")


def send(flow, number, length=PACKET_BYTES):
    """Let the target send data from a number; return whether it counts as a repeat."""
    number %= SEQUENCE_SPAN
    return flow.note_sent(Packet(KEY, 0, number, 0, length, b""))


def transfer(flow, first, size):
    """Send data whose client acknowledges each packet; return the next number."""
    sent = 1
    while sent < size:
        assert not send(flow, first + sent)
        sent += PACKET_BYTES
        assert flow.matches((first + sent) % SEQUENCE_SPAN), f"after {sent} bytes"
    return first + sent


class TestLargeFlows:
    """Packets of a flow are rejected once its target has sent a certain volume."""

    @pytest.mark.parametrize("first", [0, (1 << 32) - 1, 1 << 31])
    def test_go_on_beyond_the_span_of_the_numbers(self, first):
        transfer(open_flow(first), first, (1 << 32) + (1 << 27))

    def test_go_on_if_they_are_older_than_their_agent(self):
        flow, first = learned_flow(), 1 << 31
        send(flow, first + 1)
        transfer(flow, first + PACKET_BYTES, 1 << 27)

    @pytest.mark.parametrize("size", [1 << 20, 1 << 25, (1 << 32) + 5])
    def test_keep_their_numbers_if_the_answer_to_the_opening_is_repeated(self, size):
        flow = open_flow(5)
        number = transfer(flow, 5, size)
        flow.accepted(5)
        assert flow.matches(number % SEQUENCE_SPAN)
        assert flow.matches((number - IN_FLIGHT_BYTES) % SEQUENCE_SPAN)

    def test_keep_their_numbers_if_their_agent_first_sees_a_repeated_answer(self):
        """An agent that has been restarted may see a copy of an opening answered."""
        flow, first = learned_flow(), 5
        number = transfer(flow, first, 1 << 27)
        flow.accepted(first)
        assert flow.matches(number % SEQUENCE_SPAN)


class TestLatePackets:
    """A late packet is taken for another flow's, and the living flow is reset."""

    @pytest.mark.parametrize("size", [1 << 20, 1 << 25, (1 << 32) + 5])
    def test_belong_to_their_flow(self, size):
        flow = open_flow(5)
        number = transfer(flow, 5, size)
        for behind in (IN_FLIGHT_BYTES, 1 << 20, min(size, 1 << 25)):
            assert flow.matches((number - behind) % SEQUENCE_SPAN)

    def test_of_targets_do_not_move_the_numbers_back(self):
        flow = open_flow(5)
        number = transfer(flow, 5, 1 << 25)
        assert send(flow, 5 + PACKET_BYTES)
        assert flow.matches(number)

    def test_of_targets_are_where_the_agent_begins(self):
        """The client has received all that the target repeats, and more."""
        flow = learned_flow()
        send(flow, 1 << 20)
        assert flow.matches((1 << 20) + (1 << 25))


class TestOtherTargets:
    """A flow is reset because a packet of another target's flow matches it."""

    @pytest.mark.parametrize(
        ("size", "most"), [(1 << 16, 1), (1 << 25, 20), (1 << 28, 40), (1 << 33, 40)]
    )
    def test_match_no_more_often_than_the_volume_explains(self, size, most):
        rng = random.Random(1)
        flow = open_flow(5)
        transfer(flow, 5, size)
        numbers = [rng.randrange(SEQUENCE_SPAN) for _ in range(2000)]
        assert sum(flow.matches(number) for number in numbers) <= most

    def test_do_not_match_an_opening(self):
        flow = Flow(KEY, FlowState.OFFERED, 0.0, "", client_isn=CLIENT_ISN)
        assert not flow.matches(1)
        flow.accepted(1 << 20)
        for distance in (-1, 1 << 12, 1 << 20, 1 << 24):
            assert not flow.matches((1 << 20) + distance)

    def test_do_not_move_the_numbers(self):
        """A target repeats data of a former flow with the same key."""
        flow = open_flow(5)
        number = transfer(flow, 5, 1 << 20)
        send(flow, number + (1 << 30))
        assert flow.matches(number)
        assert not flow.matches(number + (1 << 30))

    def test_replace_the_numbers_if_they_accept_the_flow(self):
        flow = open_flow(5)
        flow.accepted(1 << 30)
        assert flow.matches((1 << 30) + 1)
        assert not flow.matches(6)
