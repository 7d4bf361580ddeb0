"""Connection ids and flow keys, by which datagrams are routed.

A connection id is one byte in the clear, the key id, followed by one AES block::

    service 2 | IPv4 address 4 | port 2 | incarnation 2 | random 3 | zeros 3

Any process with the key routes an established connection to its owner without a
table. The three zero bytes distinguish these ids from ids that callers chose at
random.
"""

from __future__ import annotations

import ipaddress
import random
import socket
import struct
from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import NamedTuple

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

from .codes import Code
from .models import Address, Key, Member, Service

__all__ = [
    "CONNECTION_ID_LENGTH",
    "ConnectionIds",
    "Owner",
    "destination_of",
    "flow_key",
    "may_serve",
]

CONNECTION_ID_LENGTH = 17
SHORT_HEADER_BYTES = 1 + CONNECTION_ID_LENGTH
"""Length of a short header: the first byte and a connection id."""
OWNER_CACHE_SIZE = 16384

LONG_HEADER_BIT = 0x80
MIN_LONG_HEADER_BYTES = 7
MAX_CONNECTION_ID_BYTES = 20
INCARNATION_MASK = 0xFFFF
RANDOM_BITS = 24

BLOCK = struct.Struct("!H4sHH3s3s")
OWNER_BYTES = 10
"""Length of the part of the block that identifies the owner."""
CHECK_BYTES = bytes(3)
CHECK_OFFSET = 13


class Owner(NamedTuple):
    """The owner of a connection, with the low 16 bits of its incarnation."""

    service: int
    agent: Address
    incarnation: int


class ConnectionIds:
    """Encodes and decodes the connection ids of all services.

    Parameters
    ----------
    keys_by_number : mapping of int to Key
        All accepted keys.
    key : int
        The number of the key for new ids.
    rng : random.Random
        Makes the ids of one owner differ.
    """

    def __init__(
        self, keys_by_number: Mapping[int, Key], key: int, rng: random.Random
    ) -> None:
        ciphers_by_number = {
            number: Cipher(algorithms.AES(entry.secret), modes.ECB())
            for number, entry in keys_by_number.items()
        }
        # Each call processes one block, and an ECB context keeps no state between
        # blocks.
        self._decrypt_by_number = {
            number: cipher.decryptor().update
            for number, cipher in ciphers_by_number.items()
        }
        self._encrypt = ciphers_by_number[key].encryptor().update
        self._prefix = bytes((key,))
        self._rng = rng
        self._owners_by_block: dict[bytes, Owner] = {}

    def encode(self, owner: Owner) -> bytes:
        """Return a new id of 17 bytes for a connection of ``owner``.

        Raises
        ------
        ValueError
            If the agent's address is not an IPv4 address.
        """
        try:
            host = socket.inet_aton(owner.agent.host)
        except OSError as error:
            raise ValueError(f"not an IPv4 address: {owner.agent.host!r}") from error
        block = BLOCK.pack(
            owner.service,
            host,
            owner.agent.port,
            owner.incarnation & INCARNATION_MASK,
            self._rng.getrandbits(RANDOM_BITS).to_bytes(3, "big"),
            CHECK_BYTES,
        )
        return self._prefix + self._encrypt(block)

    def decode(self, connection_id: bytes) -> Owner | Code:
        """Return the owner, or CONNECTION_ID_UNKNOWN for a foreign id."""
        if len(connection_id) != CONNECTION_ID_LENGTH:
            return Code.CONNECTION_ID_UNKNOWN
        decrypt = self._decrypt_by_number.get(connection_id[0])
        if decrypt is None:
            return Code.CONNECTION_ID_UNKNOWN
        block = decrypt(connection_id[1:])
        if block[CHECK_OFFSET:] != CHECK_BYTES:
            return Code.CONNECTION_ID_UNKNOWN
        owner = self._owners_by_block.get(block[:OWNER_BYTES])
        return owner or self._unpack(block)

    def _unpack(self, block: bytes) -> Owner:
        service, host, port, incarnation, _, _ = BLOCK.unpack(block)
        owner = Owner(service, Address(socket.inet_ntoa(host), port), incarnation)
        # Only ids made with an accepted key get here, so a flood of random ids
        # doesn't fill the cache. It has an entry per agent, not per flow.
        if len(self._owners_by_block) >= OWNER_CACHE_SIZE:
            self._owners_by_block.clear()
        self._owners_by_block[block[:OWNER_BYTES]] = owner
        return owner


def destination_of(datagram: bytes) -> tuple[bool, bytes] | Code:
    """Parse the version-independent header of a QUIC datagram (RFC 8999).

    Returns
    -------
    tuple of bool and bytes
        Whether the header is long, and the destination connection id. The id
        of a short header is assumed to have 17 bytes.
    Code
        DATAGRAM_MALFORMED if the datagram is shorter than its header.
    """
    length = len(datagram)
    if length < MIN_LONG_HEADER_BYTES:
        return Code.DATAGRAM_MALFORMED
    if datagram[0] < LONG_HEADER_BIT:
        if length < SHORT_HEADER_BYTES:
            return Code.DATAGRAM_MALFORMED
        return False, datagram[1:SHORT_HEADER_BYTES]
    size = datagram[5]
    if size > MAX_CONNECTION_ID_BYTES or length < MIN_LONG_HEADER_BYTES + size:
        return Code.DATAGRAM_MALFORMED
    return True, datagram[6 : 6 + size]


def flow_key(caller: Address) -> bytes:
    """Return the key of a plain UDP flow: the packed address of the caller.

    The key has 6 bytes for IPv4 and 18 for IPv6. Within one service, flows differ
    only in the address of the caller.

    Raises
    ------
    ValueError
        If the host is not an IP address.
    """
    try:
        host = socket.inet_aton(caller.host)
    except OSError:
        host = ipaddress.IPv6Address(caller.host).packed
    return host + caller.port.to_bytes(2, "big")


def may_serve(service: Service, member: Member) -> bool:
    """Return whether the configuration allows ``member`` to take new work."""
    if service.data_centres and member.data_centre not in service.data_centres:
        return False
    return any(fnmatchcase(member.name, pattern) for pattern in service.targets)
