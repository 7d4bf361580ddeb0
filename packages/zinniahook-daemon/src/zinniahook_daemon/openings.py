"""Checks of callers' first datagrams, version negotiation and Retry."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from typing import NamedTuple

from aioquic.buffer import Buffer
from aioquic.quic.packet import (
    QuicHeader,
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from zinniahook_core.codes import Code
from zinniahook_core.models import Address, Key
from zinniahook_core.routing import CONNECTION_ID_LENGTH

__all__ = ["Opening", "Openings", "RetryTokens"]

MIN_INITIAL_BYTES = 1200
"""Smallest datagram that may open a connection."""

RETRY_HANDSHAKES = 64
"""Handshakes in progress from which callers must validate their address first."""

TOKEN_KEY_BYTES = 16


class Opening(NamedTuple):
    """A first datagram that may open a connection.

    ``flow`` is its destination connection id. After a Retry, ``original`` is the
    destination connection id before the Retry, and ``retry_source`` equals ``flow``.
    """

    flow: bytes
    original: bytes
    retry_source: bytes | None = None


class RetryTokens(QuicRetryTokenHandler):
    """Retry tokens that every agent with the same key accepts.

    An opening may be handed to a peer after its caller got a Retry, so a key of a
    single process, as aioquic generates it, isn't sufficient.

    Parameters
    ----------
    key : Key
        A flow key of the configuration.
    """

    def __init__(self, key: Key) -> None:
        secret = hashlib.blake2b(
            b"retry", key=key.secret, digest_size=TOKEN_KEY_BYTES
        ).digest()
        self._aead = AESGCM(secret)


class Openings:
    """Checks first datagrams, without state per caller.

    Parameters
    ----------
    versions : list of int
        Supported QUIC versions.
    issue : callable
        Generates a connection id that encodes this agent.
    answer : callable
        Sends a datagram to a caller's address.
    """

    def __init__(
        self,
        versions: list[int],
        issue: Callable[[], bytes],
        answer: Callable[[bytes, Address], None],
    ) -> None:
        self.tokens: RetryTokens | None = None
        self._versions = versions
        self._issue = issue
        self._answer = answer

    def check(
        self, payload: bytes, caller: Address, handshakes: int, handed: bool
    ) -> Opening | Code:
        """Return the opening in a datagram that belongs to no connection.

        Parameters
        ----------
        payload : bytes
            The datagram, which has a long header.
        caller : Address
            Source address of the datagram.
        handshakes : int
            Number of handshakes in progress at this agent.
        handed : bool
            Whether a peer has handed the opening to this agent.

        Returns
        -------
        Opening or Code
            The code if the datagram opens no connection.
        """
        if len(payload) < MIN_INITIAL_BYTES:
            return Code.CONNECTION_ID_UNKNOWN
        try:
            buffer = Buffer(data=payload)
            header = pull_quic_header(buffer, host_cid_length=CONNECTION_ID_LENGTH)
        except ValueError:
            return Code.DATAGRAM_MALFORMED
        if header.version not in self._versions:
            self._negotiate(header, caller)
            return Code.DATAGRAM_MALFORMED
        if header.packet_type is not QuicPacketType.INITIAL:
            return Code.CONNECTION_ID_UNKNOWN
        if header.token:
            return self._check_token(header, caller)
        if handshakes >= RETRY_HANDSHAKES and not handed and self.tokens is not None:
            self._retry(header, caller)
            return Code.FLOW_LIMIT
        return Opening(header.destination_cid, header.destination_cid)

    def _negotiate(self, header: QuicHeader, caller: Address) -> None:
        # Version 0 is itself a negotiation packet. If it were answered, two servers
        # could answer each other without end.
        if not header.version:
            return
        answer = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=self._versions,
        )
        self._answer(answer, caller)

    def _retry(self, header: QuicHeader, caller: Address) -> None:
        # Openings with forged addresses would otherwise use up the handshakes and
        # keep genuine callers out. A token costs no memory here, and only the
        # receiver of the Retry can return it.
        source = self._issue()
        token = self.tokens.create_token(
            address=caller,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=source,
            now=time.time(),
        )
        answer = encode_quic_retry(
            version=header.version,
            source_cid=source,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=token,
        )
        self._answer(answer, caller)

    def _check_token(self, header: QuicHeader, caller: Address) -> Opening | Code:
        if self.tokens is None:
            return Code.NOT_READY
        try:
            original = self.tokens.validate_token(
                address=caller,
                destination_cid=header.destination_cid,
                token=header.token,
                now=time.time(),
            )
        except ValueError:
            return Code.CONNECTION_ID_UNKNOWN
        return Opening(header.destination_cid, original, header.destination_cid)
