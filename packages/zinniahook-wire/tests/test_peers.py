"""Peer messages: every type round-trips, and no data raises an exception."""

import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st
from zinniahook_core import messages
from zinniahook_core.codes import Code
from zinniahook_core.models import Address, Load
from zinniahook_wire import peers, peers_pb2

numbers = st.integers(0, 2**64 - 1)
counts = st.integers(0, 2**32 - 1)
times = st.floats(0, 1e9, allow_nan=False)
octets = st.binary(max_size=128)
texts = st.text(max_size=20)
states = st.sampled_from(messages.ClaimState)

STRATEGIES_BY_TYPE = {
    messages.Heartbeat: st.builds(
        messages.Heartbeat,
        numbers,
        numbers,
        numbers,
        st.builds(Load, counts, counts, counts, counts, counts, times),
        st.booleans(),
        numbers,
    ),
    messages.FlowAsk: st.builds(messages.FlowAsk, numbers, octets),
    messages.FlowAnswer: st.builds(messages.FlowAnswer, numbers, octets, texts),
    messages.FlowPointers: st.builds(
        messages.FlowPointers, texts, numbers, st.lists(octets).map(tuple)
    ),
    messages.Placed: st.builds(
        messages.Placed, octets, st.builds(Address, texts, counts)
    ),
    messages.ClaimAsk: st.builds(
        messages.ClaimAsk,
        numbers,
        octets,
        st.sampled_from(messages.ClaimIntent),
        counts,
        texts,
        numbers,
        numbers,
    ),
    messages.ClaimAnswer: st.builds(
        messages.ClaimAnswer,
        numbers,
        octets,
        states,
        texts,
        octets,
        times,
        st.sampled_from(Code),
        numbers,
        counts,
        st.booleans(),
    ),
    messages.ClaimFinished: st.builds(
        messages.ClaimFinished, octets, texts, numbers, st.booleans(), octets
    ),
    messages.ClaimRecords: st.builds(
        messages.ClaimRecords,
        texts,
        numbers,
        numbers,
        st.lists(
            st.builds(
                messages.ClaimRecord,
                octets,
                states,
                texts,
                numbers,
                counts,
                times,
                octets,
            ),
            max_size=5,
        ).map(tuple),
        st.booleans(),
        numbers,
        numbers,
    ),
}


class TestRoundTrip:
    def test_no_message_type_is_left_out(self):
        assert set(STRATEGIES_BY_TYPE) == set(typing.get_args(messages.PeerMessage))

    @given(texts, st.one_of(*STRATEGIES_BY_TYPE.values()))
    def test_message_comes_back(self, sender, message):
        data = peers.encode(sender, message)
        decoded = peers.decode(data)
        assert decoded == (sender, message)
        assert type(decoded[1]) is type(message)


class TestRefusal:
    @given(st.binary(max_size=300))
    def test_foreign_bytes_never_raise(self, data):
        decoded = peers.decode(data)
        assert decoded is Code.TUNNEL_MALFORMED or type(decoded) is tuple

    @given(st.one_of(*STRATEGIES_BY_TYPE.values()), st.data())
    def test_changed_bytes_never_raise(self, message, data):
        encoded = bytearray(peers.encode("tally-1", message))
        place = data.draw(st.integers(0, len(encoded) - 1))
        encoded[place] = data.draw(st.integers(0, 255))
        decoded = peers.decode(bytes(encoded))
        assert decoded is Code.TUNNEL_MALFORMED or type(decoded) is tuple

    @pytest.mark.parametrize(
        "message",
        [
            peers_pb2.PeerEnvelope(sender="tally-1"),
            peers_pb2.PeerEnvelope(claim_ask=peers_pb2.ClaimAsk(intent=99)),
            peers_pb2.PeerEnvelope(claim_answer=peers_pb2.ClaimAnswer(code=99999)),
        ],
        ids=["no message", "intent", "code"],
    )
    def test_unknown_values(self, message):
        data = message.SerializeToString()
        assert peers.decode(data) is Code.TUNNEL_MALFORMED

    def test_not_a_peer_message(self):
        with pytest.raises(TypeError, match="not a peer message"):
            peers.encode("tally-1", Address("10.0.0.1", 1))
