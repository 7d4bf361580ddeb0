"""Tunnel datagrams: encoded ones round-trip, and all others are rejected."""

import ipaddress

import pytest
from hypothesis import given
from hypothesis import strategies as st
from zinniahook_core.codes import Code
from zinniahook_core.models import Address, Key
from zinniahook_wire.tunnels import (
    NO_ADDRESS,
    OVERHEAD,
    Tunnel,
    TunnelDatagram,
    TunnelKind,
)

OLD = Key(1, b"o" * 32)
NEW = Key(2, b"n" * 32)
FOREIGN = Key(2, b"f" * 32)
REFUSALS = {
    Code.TUNNEL_MALFORMED,
    Code.TUNNEL_KEY_UNKNOWN,
    Code.TUNNEL_UNAUTHENTICATED,
}


def is_plain(address):
    """Return whether the text form is unique (IPv4-mapped ones decode as IPv4)."""
    return address.version == 4 or address.ipv4_mapped is None


hosts = st.ip_addresses().filter(is_plain).map(str)
addresses = st.builds(Address, hosts, st.integers(0, 0xFFFF))
datagrams = st.builds(
    TunnelDatagram,
    st.sampled_from(TunnelKind),
    st.integers(0, 0xFFFF),
    st.integers(0, 0xFFFFFFFF),
    st.integers(0, 0xFF),
    st.booleans(),
    addresses,
    addresses,
    st.binary(max_size=1500),
    st.just(True),
)
header_only_datagrams = st.builds(
    TunnelDatagram,
    st.sampled_from([TunnelKind.TO_AGENT, TunnelKind.TO_CALLER]),
    st.integers(0, 0xFFFF),
    st.integers(0, 0xFFFFFFFF),
    st.integers(0, 0xFF),
    st.booleans(),
    addresses,
    addresses,
    st.binary(max_size=1500),
    st.just(False),
)


def example(**changes):
    """Return an ordinary datagram with some fields changed."""
    caller = Address("10.1.2.3", 4000)
    entry = Address("2001:db8::1", 9)
    datagram = TunnelDatagram(
        TunnelKind.TO_AGENT, 7, 41, 1, True, caller, entry, b"payload"
    )
    return datagram._replace(**changes)


class TestRoundTrip:
    @given(datagrams)
    def test_every_field_comes_back(self, datagram):
        tunnel = Tunnel({2: NEW}, 2)
        data = tunnel.encode(datagram)
        assert len(data) == OVERHEAD + len(datagram.payload)
        assert tunnel.decode(data) == datagram

    def test_types_come_back(self):
        tunnel = Tunnel({2: NEW}, 2)
        decoded = tunnel.decode(tunnel.encode(example()))
        assert isinstance(decoded.kind, TunnelKind)
        assert isinstance(decoded.caller, Address)
        assert ipaddress.ip_address(decoded.caller.host).version == 4

    @pytest.mark.parametrize(
        "changes",
        [
            {"hops": 256},
            {"service": 65536},
            {"generation": -1},
            {"caller": Address("tally.example", 1)},
            {"entry": Address("10.0.0.1", 70000)},
        ],
    )
    def test_out_of_range_values_are_refused(self, changes):
        with pytest.raises(ValueError, match="cannot be encoded"):
            Tunnel({2: NEW}, 2).encode(example(**changes))


class TestHeaderOnlyTag:
    """Datagrams with a QUIC packet as payload, which the tag doesn't cover."""

    @given(header_only_datagrams)
    def test_every_field_comes_back(self, datagram):
        tunnel = Tunnel({2: NEW}, 2)
        assert tunnel.decode(tunnel.encode(datagram)) == datagram

    @given(addresses, st.binary(max_size=1500))
    def test_header_is_the_encoded_one(self, caller, payload):
        tunnel = Tunnel({2: NEW}, 2)
        datagram = TunnelDatagram(
            TunnelKind.TO_AGENT, 7, 41, 0, False, caller, NO_ADDRESS, payload, False
        )
        prefix = tunnel.prefix(TunnelKind.TO_AGENT, 7, 41)
        assert tunnel.encode_header(prefix, caller) + payload == tunnel.encode(datagram)

    @given(header_only_datagrams, st.integers(0, OVERHEAD * 8 - 1))
    def test_one_changed_bit_of_the_header(self, datagram, bit):
        tunnel = Tunnel({2: NEW}, 2)
        encoded = bytearray(tunnel.encode(datagram))
        encoded[bit // 8] ^= 1 << bit % 8
        assert tunnel.decode(bytes(encoded)) in REFUSALS

    def test_a_message_between_agents_is_covered_whole(self):
        """Guards against forged peer messages, such as a claim without a request.

        An authentic header is captured and sent again with another payload. Only the
        tag over the payload protects a message between agents.
        """
        tunnel = Tunnel({2: NEW}, 2)
        header_only = example(kind=TunnelKind.PEER, covered=False)
        with pytest.raises(ValueError, match="cannot be encoded"):
            tunnel.encode(header_only)
        encoded = bytearray(tunnel.encode(example(covered=False)))
        prefix = tunnel.prefix(TunnelKind.PEER, 7, 41)
        forged = tunnel.encode_header(prefix, example().caller) + b"payload"
        assert tunnel.decode(forged) is Code.TUNNEL_UNAUTHENTICATED
        assert isinstance(tunnel.decode(bytes(encoded)), TunnelDatagram)


class TestKeys:
    def test_old_key_is_accepted_during_rotation(self):
        """Guards against dropped datagrams during a key rotation.

        The key in use changes on one side first. A process that accepts only the newest
        key drops datagrams of processes that don't have it yet.
        """
        before = Tunnel({1: OLD}, 1)
        between = Tunnel({1: OLD, 2: NEW}, 1)
        after = Tunnel({1: OLD, 2: NEW}, 2)
        assert after.decode(before.encode(example())) == example()
        assert between.decode(after.encode(example())) == example()

    def test_key_in_use_must_be_known(self):
        with pytest.raises(ValueError, match="not among"):
            Tunnel({1: OLD}, 2)

    def test_retired_key_is_refused(self):
        data = Tunnel({1: OLD}, 1).encode(example())
        assert Tunnel({2: NEW}, 2).decode(data) is Code.TUNNEL_KEY_UNKNOWN


class TestRefusal:
    @given(st.binary(max_size=200))
    def test_foreign_bytes(self, data):
        assert Tunnel({2: NEW}, 2).decode(data) in REFUSALS

    @given(st.binary(max_size=120))
    def test_foreign_bytes_with_a_known_key_id(self, data):
        decoded = Tunnel({2: NEW}, 2).decode(b"\x02" + data)
        assert decoded in REFUSALS

    @given(datagrams, st.data())
    def test_one_changed_bit(self, datagram, data):
        tunnel = Tunnel({2: NEW}, 2)
        encoded = bytearray(tunnel.encode(datagram))
        bit = data.draw(st.integers(0, len(encoded) * 8 - 1))
        encoded[bit // 8] ^= 1 << bit % 8
        assert tunnel.decode(bytes(encoded)) in REFUSALS

    @given(datagrams, st.integers(1, 2000))
    def test_cut_short(self, datagram, amount):
        tunnel = Tunnel({2: NEW}, 2)
        encoded = tunnel.encode(datagram)
        assert tunnel.decode(encoded[:-amount]) in REFUSALS

    def test_same_key_id_with_another_secret(self):
        data = Tunnel({2: FOREIGN}, 2).encode(example())
        assert Tunnel({2: NEW}, 2).decode(data) is Code.TUNNEL_UNAUTHENTICATED

    def test_unknown_version_of_an_authentic_sender(self):
        """Guards against fields that are read at the wrong offsets.

        A newer release with the same key sends another layout. The tag authenticates
        the sender, not the layout.
        """
        tunnel = Tunnel({2: NEW}, 2)
        copied = tunnel._keyed_copy
        encoded = bytearray(tunnel.encode(example()))
        encoded[2] = 0x20
        digest = copied()
        digest.update(encoded[: OVERHEAD - 16] + encoded[OVERHEAD:])
        encoded[OVERHEAD - 16 : OVERHEAD] = digest.digest()
        assert tunnel.decode(bytes(encoded)) is Code.TUNNEL_MALFORMED
