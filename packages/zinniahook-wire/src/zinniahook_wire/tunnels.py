"""Authenticated datagrams between zinniahook processes.

Layout, in network byte order::

    key id 1 | kind 1 | version and flags 1 | hops 1 | service 2 |
    generation 4 | caller 18 | entry 18 | tag 16 | payload

An address is 16 bytes of IPv6, or of IPv4 mapped into it, and a port. The tag
is a keyed BLAKE2b of the header and, where the flags say so, of the payload.
A QUIC packet is authenticated end to end, so a second tag over its bytes would only
cost time. All other payloads are covered. This is the packet path, where every call
counts. Measure the modules that call it after each change.
"""

from __future__ import annotations

import enum
import functools
import hashlib
import hmac
import socket
import struct
from collections.abc import Mapping
from typing import NamedTuple

from zinniahook_core.codes import Code
from zinniahook_core.models import Address, Key

__all__ = [
    "NO_ADDRESS",
    "OVERHEAD",
    "Tunnel",
    "TunnelDatagram",
    "TunnelKind",
    "make_address",
]

NO_ADDRESS = Address("0.0.0.0", 0)
"""Placeholder for an absent address."""

_HEADER = struct.Struct("!BBBBHI18s18s")
_PREFIX = struct.Struct("!BBBBHI")
_FLAGS_OFFSET = 2
_TAG_BYTES = 16
_PAYLOAD_OFFSET = _HEADER.size + _TAG_BYTES

OVERHEAD = _PAYLOAD_OFFSET
"""Bytes that a datagram adds to its payload."""

_VERSION = 0x10
_HANDED_FLAG = 0x01
_HEADER_ONLY_FLAG = 0x02
"""The tag covers the header only."""

_KNOWN_FLAGS = _HANDED_FLAG | _HEADER_ONLY_FLAG
_IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
_PACKED_NO_ADDRESS = _IPV4_MAPPED_PREFIX + bytes(6)


class TunnelKind(enum.IntEnum):
    """Direction of a tunnel datagram."""

    TO_AGENT = 1
    TO_CALLER = 2
    PEER = 3


class TunnelDatagram(NamedTuple):
    """One datagram between an entry and an agent, or between two agents.

    Attributes
    ----------
    kind : TunnelKind
        Direction of the datagram.
    service : int
        Number of the service, 0 to 65535.
    generation : int
        Configuration generation in force at the sender, as 32 bits.
    hops : int
        Number of agents that have forwarded the datagram, 0 to 255.
    handed : bool
        Whether the receiver owns the flow from now on.
    caller, entry : Address
        The caller, and the entry that sends the answers.
    payload : bytes
        The caller's or target's datagram, or an encoded peer message.
    covered : bool
        Whether the tag covers the payload too. False only if the payload is a QUIC
        packet, which is authenticated end to end.
    """

    kind: TunnelKind
    service: int
    generation: int
    hops: int
    handed: bool
    caller: Address
    entry: Address
    payload: bytes
    covered: bool = True


_KINDS_BY_NUMBER = {int(kind): kind for kind in TunnelKind}

# Like TunnelDatagram._make, but without its checks, which take 0.4 us a datagram.
_make_datagram = functools.partial(tuple.__new__, TunnelDatagram)
make_address = functools.partial(tuple.__new__, Address)
"""Creates an `Address` from the pair that a socket returns, without checks."""


def _pack_address(address: tuple[str, int]) -> bytes:
    host, port = address
    if ":" in host:
        # A scope ("%eth0") is only meaningful on this machine.
        packed = socket.inet_pton(socket.AF_INET6, host.partition("%")[0])
        return packed + port.to_bytes(2, "big")
    # Packed addresses aren't cached: with many open flows, a cache only misses.
    return (
        _IPV4_MAPPED_PREFIX
        + socket.inet_pton(socket.AF_INET, host)
        + port.to_bytes(2, "big")
    )


def _unpack_address(packed: bytes) -> Address:
    port = int.from_bytes(packed[16:], "big")
    if packed.startswith(_IPV4_MAPPED_PREFIX):
        return make_address((socket.inet_ntoa(packed[12:16]), port))
    return Address(socket.inet_ntop(socket.AF_INET6, packed[:16]), port)


class Tunnel:
    """Encodes and decodes tunnel datagrams with a set of keys.

    Parameters
    ----------
    keys_by_number : Mapping[int, Key]
        Accepted keys, with numbers from 0 to 255 and secrets up to 64 bytes.
    key : int
        Number of the key used for encoding.

    Raises
    ------
    ValueError
        If ``key`` is not among the keys, or a number or a secret is out of
        range.
    """

    def __init__(self, keys_by_number: Mapping[int, Key], key: int) -> None:
        if key not in keys_by_number:
            raise ValueError(f"tunnel key {key} is not among the keys")
        for number in keys_by_number:
            if not 0 <= number <= 0xFF:
                raise ValueError(f"tunnel key number out of range: {number}")
        # Hashing the key for each datagram would double the cost of a short one.
        # Copying the keyed state doesn't.
        self._keyed_copies_by_number = {
            number: hashlib.blake2b(digest_size=_TAG_BYTES, key=key.secret).copy
            for number, key in keys_by_number.items()
        }
        self._keyed_copy = self._keyed_copies_by_number[key]
        self.key = key

    def encode(self, datagram: TunnelDatagram) -> bytes:
        """Encode and authenticate a datagram.

        Raises
        ------
        ValueError
            If a number is out of range or an address is not an IP address.
        """
        kind, service, generation, hops, handed, caller, entry, payload, covered = (
            datagram
        )
        if not covered and kind is TunnelKind.PEER:
            raise ValueError("cannot be encoded: a peer message must be covered")
        flags = (
            _VERSION
            | (_HANDED_FLAG if handed else 0)
            | (0 if covered else _HEADER_ONLY_FLAG)
        )
        try:
            header = _HEADER.pack(
                self.key,
                kind,
                flags,
                hops,
                service,
                generation,
                _pack_address(caller),
                _pack_address(entry),
            )
        except (struct.error, OSError, OverflowError) as error:
            raise ValueError(f"cannot be encoded: {error}") from None
        digest = self._keyed_copy()
        digest.update(header)
        if covered:
            digest.update(payload)
        return b"".join((header, digest.digest(), payload))

    def prefix(self, kind: TunnelKind, service: int, generation: int) -> bytes:
        """Encode the common start of headers that `encode_header` completes."""
        return _PREFIX.pack(
            self.key, kind, _VERSION | _HEADER_ONLY_FLAG, 0, service, generation
        )

    def encode_header(self, prefix: bytes, caller: tuple[str, int]) -> bytes:
        """Encode the header and tag of a datagram whose payload isn't covered.

        Followed by the payload, the result equals that of `encode` with ``covered``
        False and no entry. This is the packet path of an entry; ``caller`` is an
        address as returned by a socket.
        """
        header = prefix + _pack_address(caller) + _PACKED_NO_ADDRESS
        digest = self._keyed_copy()
        digest.update(header)
        return header + digest.digest()

    def decode(self, data: bytes) -> TunnelDatagram | Code:
        """Verify and decode a datagram; never raises, whatever the data.

        Returns
        -------
        TunnelDatagram or Code
            TUNNEL_MALFORMED, TUNNEL_KEY_UNKNOWN or TUNNEL_UNAUTHENTICATED
            if the datagram can't be trusted.
        """
        if len(data) < _PAYLOAD_OFFSET:
            return Code.TUNNEL_MALFORMED
        copy = self._keyed_copies_by_number.get(data[0])
        if copy is None:
            return Code.TUNNEL_KEY_UNKNOWN
        payload = data[_PAYLOAD_OFFSET:]
        digest = copy()
        digest.update(data[: _HEADER.size])
        header_only = data[_FLAGS_OFFSET] & _HEADER_ONLY_FLAG
        if not header_only:
            digest.update(payload)
        if not hmac.compare_digest(
            digest.digest(), data[_HEADER.size : _PAYLOAD_OFFSET]
        ):
            return Code.TUNNEL_UNAUTHENTICATED
        (_, number, flags, hops, service, generation, caller, entry) = (
            _HEADER.unpack_from(data)
        )
        kind = _KINDS_BY_NUMBER.get(number)
        if kind is None or flags & ~_KNOWN_FLAGS != _VERSION:
            return Code.TUNNEL_MALFORMED
        if header_only and kind is TunnelKind.PEER:
            # A message between agents is protected by the tag alone.
            return Code.TUNNEL_UNAUTHENTICATED
        return _make_datagram(
            (
                kind,
                service,
                generation,
                hops,
                bool(flags & _HANDED_FLAG),
                _unpack_address(caller),
                NO_ADDRESS if entry == _PACKED_NO_ADDRESS else _unpack_address(entry),
                payload,
                not header_only,
            )
        )
