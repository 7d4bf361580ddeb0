"""What a datagram says of its own way: connection ids and flow keys.

A connection id is one clear byte, the key id, and one AES block::

    service 2 | IPv4 address 4 | port 2 | incarnation 2 | random 3 | zeros 3

Whoever knows the key routes an established connection to its owner and needs
no table. The three zero bytes tell ours from ids that callers drew at random.
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
OWNER_CACHE_SIZE = 16384

LONG_HEADER_BIT = 0x80
MIN_LONG_HEADER_BYTES = 7
MAX_CONNECTION_ID_BYTES = 20
INCARNATION_MASK = 0xFFFF
RANDOM_BITS = 24

BLOCK = struct.Struct("!H4sHH3s3s")
OWNER_BYTES = 10
CHECK_BYTES = bytes(3)
CHECK_OFFSET = 13


class Owner(NamedTuple):
    """Who owns a connection; ``incarnation`` is the low 16 bits."""

    service: int
    agent: Address
    incarnation: int


class ConnectionIds:
    """Encode and decode the connection ids of all services.

    Parameters
    ----------
    keys_by_number : mapping of int to Key
        Every key that is accepted.
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
        # One block a call: an ECB context keeps no state between blocks.
        self._decrypt_by_number = {
            number: cipher.decryptor().update
            for number, cipher in ciphers_by_number.items()
        }
        self._encrypt = ciphers_by_number[key].encryptor().update
        self._prefix = bytes((key,))
        self._rng = rng
        self._owners_by_block: dict[bytes, Owner] = {}

    def encode(self, owner: Owner) -> bytes:
        """Draw a new id of 17 bytes for a connection of ``owner``.

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
        """Return the owner, or CONNECTION_ID_UNKNOWN if the id isn't ours."""
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
        # Only ids under our key get here, so a flood of random ids fills
        # nothing, and there are as many owners as agents, not as flows.
        if len(self._owners_by_block) >= OWNER_CACHE_SIZE:
            self._owners_by_block.clear()
        self._owners_by_block[block[:OWNER_BYTES]] = owner
        return owner


def destination_of(datagram: bytes) -> tuple[bool, bytes] | Code:
    """Parse the header of a QUIC datagram as far as RFC 8999 fixes it.

    Returns
    -------
    tuple of bool and bytes
        Whether the header is long, and the destination connection id; a
        short header is taken to carry an id of 17 bytes.
    Code
        DATAGRAM_MALFORMED if it is too short for its own header.
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
    """Return the key of a plain UDP flow: the caller's address, packed.

    6 bytes for IPv4 and 18 for IPv6. Within one service the caller's address
    is all of the 5-tuple that differs.

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
    """Tell whether the configuration lets ``member`` take new work."""
    if service.data_centres and member.data_centre not in service.data_centres:
        return False
    return any(fnmatchcase(member.name, pattern) for pattern in service.targets)
