"""QUIC connections whose ids encode the agent that owns them.

This module overrides private parts of aioquic. Its version is therefore pinned, and
test_connections.py checks that these parts exist as expected.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from aioquic import tls
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import (
    END_STATES,
    MAX_STREAM_DATA_FRAME_CAPACITY,
    QuicConnection,
    QuicConnectionId,
)
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.events import QuicEvent
from aioquic.quic.packet import QuicFrameType, QuicProtocolVersion
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketNumberWindow, QuicPacketSpace
from aioquic.quic.stream import QuicStream
from cryptography.exceptions import UnsupportedAlgorithm
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address
from zinniahook_core.routing import CONNECTION_ID_LENGTH

__all__ = ["PacketWindow", "ServerConnection", "Session", "make_configuration"]

IDLE_TIMEOUT_SECONDS = 30.0
"""Seconds without a packet after which a connection ends."""

ACTIVE_CONNECTION_IDS = 4
"""Connection ids issued to a caller, so that it can migrate to a new address."""

STREAM_WINDOW_BYTES = 128 * 1024
"""Bytes that a caller may send on a stream beyond those consumed."""

MAX_OPEN_REQUESTS = 64
"""Requests that a caller may have open on one connection."""

WINDOW_BITS = 256
"""Packet numbers up to the highest for which duplicates are recognised."""

# aioquic logs each connection at INFO, and any caller can cause its warnings.
logging.getLogger("quic").setLevel(logging.ERROR)


class Session(Protocol):
    """The application on a connection; its methods are called by `Connections`."""

    busy: bool
    """Whether a request is open, so that the connection must be kept alive."""

    def handle(self, event: QuicEvent) -> None:
        """Handle an event of the connection."""

    def flushed(self) -> None:
        """Resume sending, after datagrams were sent or acknowledgements received."""

    def expire(self, now: float) -> None:
        """Refuse requests that have waited too long; called about once a second."""

    def ended(self) -> None:
        """Handle the end of the connection; nothing can be sent any more."""


def make_configuration(certificate: Path, key: Path) -> QuicConfiguration:
    """Return a server configuration with the certificate and key that callers see.

    All connections share the object; a reload creates a new one.

    Raises
    ------
    ZinniahookError
        If a file can't be read or isn't PEM, or the key doesn't match.
    """
    configuration = QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=False,
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        max_stream_data=STREAM_WINDOW_BYTES,
        # Each further version adds three key derivations to a handshake.
        supported_versions=[QuicProtocolVersion.VERSION_1],
    )
    try:
        configuration.load_cert_chain(certificate, key)
        own = configuration.certificate.public_key()
        matching = own == configuration.private_key.public_key()
    except (OSError, ValueError, TypeError, UnsupportedAlgorithm) as error:
        raise _unusable(certificate, key, str(error)) from None
    if not matching:
        # Otherwise every handshake would fail, and only callers would see why.
        raise _unusable(certificate, key, "the key is not the certificate's")
    return configuration


def _unusable(certificate: Path, key: Path, reason: str) -> ZinniahookError:
    return ZinniahookError(
        f"no usable certificate in {certificate}, {key}: {reason}",
        Code.SETTINGS_FILE_MISSING,
    )


class PacketWindow(QuicPacketNumberWindow):
    """The recently received packet numbers, as the bits of one integer.

    aioquic keeps them in a set, which grows to about 40 KB per connection.
    """

    def __init__(self) -> None:
        self._highest = -1
        self._bits = 0

    def add(self, packet_number: int) -> None:
        """Record a received packet number."""
        ahead = packet_number - self._highest
        if ahead > 0:
            shifted = self._bits << ahead if ahead < WINDOW_BITS else 0
            self._bits = (shifted | 1) & ((1 << WINDOW_BITS) - 1)
            self._highest = packet_number
        elif ahead > -WINDOW_BITS:
            self._bits |= 1 << -ahead

    def __contains__(self, packet_number: int) -> bool:
        behind = self._highest - packet_number
        if behind < 0:
            return False
        return behind >= WINDOW_BITS or bool(self._bits >> behind & 1)


class _FinishedHandshake:
    """Replaces the TLS context of a connection after its handshake.

    A TLS 1.3 client sends no handshake message after its Finished.
    """

    state = tls.State.SERVER_POST_HANDSHAKE

    def handle_message(self, data: bytes, buffers: object) -> None:
        """Raise an error for any message."""
        raise tls.AlertUnexpectedMessage("no handshake message was expected")


_FINISHED_HANDSHAKE = _FinishedHandshake()
_NO_EARLY_KEYS = CryptoPair()


class _FrameHandlers:
    """The frame handlers of one connection, which are bound at lookup."""

    __slots__ = ("_connection",)

    by_type: dict[int, tuple[Callable[..., None], frozenset[tls.Epoch]]] = {}

    def __init__(self, connection: QuicConnection) -> None:
        self._connection = connection

    def __getitem__(
        self, frame_type: int
    ) -> tuple[Callable[..., None], frozenset[tls.Epoch]]:
        handler, epochs = self.by_type[frame_type]
        return handler.__get__(self._connection), epochs


class ServerConnection(QuicConnection):
    """A QUIC connection whose ids encode this agent as its owner.

    Parameters
    ----------
    configuration : QuicConfiguration
        Shared by all connections.
    flow : bytes
        The caller's first destination connection id.
    issue : callable
        Generates a new connection id and registers it for this connection.
    original, retry_source : bytes
        After a Retry, the original destination connection id and the Retry's
        source connection id.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        flow: bytes,
        issue: Callable[[ServerConnection], bytes],
        original: bytes = b"",
        retry_source: bytes | None = None,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original or flow,
            retry_source_connection_id=retry_source,
        )
        self.flow = flow
        self.number = 0
        self.entry = Address("", 0)
        self.other_entry: Address | None = None
        self.caller = Address("", 0)
        self.is_switched = False
        self.session: Session | None = None
        self.timer_at: float | None = None
        self.opened_at = 0.0
        self.received_at = 0.0
        self.handshaking = True
        self.unread_by_stream: dict[int, int] = {}
        self._issue = issue
        # No datagram was processed yet, so the caller knows no id of this server.
        first = issue(self)
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first
        self._local_max_streams_bidi.value = MAX_OPEN_REQUESTS
        self._local_max_streams_bidi.sent = MAX_OPEN_REQUESTS

    @property
    def _QuicConnection__frame_handlers(self) -> _FrameHandlers:  # noqa: N802
        return _FrameHandlers(self)

    @_QuicConnection__frame_handlers.setter
    def _QuicConnection__frame_handlers(self, handlers: dict[int, Any]) -> None:  # noqa: N802
        # aioquic's dictionary of 33 bound methods, each with its own set, takes
        # 12 KB per open connection.
        if not _FrameHandlers.by_type:
            _FrameHandlers.by_type = {
                frame_type: (handler.__func__, epochs)
                for frame_type, (handler, epochs) in handlers.items()
            }

    @property
    def is_over(self) -> bool:
        """Whether the connection can neither send nor receive any more."""
        return self._state in END_STATES

    @property
    def probes(self) -> int:
        """The number of consecutive unanswered probes."""
        return self._loss._pto_count

    @property
    def connection_ids(self) -> list[bytes]:
        """The connection ids of this server that the caller may use."""
        return [host.cid for host in self._host_cids]

    def unsent(self, stream_id: int) -> int:
        """Return how many bytes of a stream the caller hasn't acknowledged."""
        stream = self._streams.get(stream_id)
        return len(stream.sender._buffer) if stream else 0

    @property
    def unacknowledged(self) -> bool:
        """Whether the caller may not have received some answer completely.

        An exchange may have ended here while its last bytes are in transit. If a
        leaving agent closed the connection then, the caller would see it close in
        the middle of an answer. Requests use the streams whose ids are multiples
        of four.
        """
        return any(
            stream.sender.highest_offset > 0 and not stream.sender.is_finished
            for number, stream in self._streams.items()
            if number % 4 == 0
        )

    def stop_receiving(self, stream_id: int, error_code: int) -> bool:
        """Ask the caller to stop sending; False if nothing more can arrive."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.receiver.is_finished:
            return False
        stream.receiver.stop(error_code)
        return True

    def release_handshake(self) -> None:
        """Free the state that only the handshake needs, about 60 KB."""
        self.handshaking = False
        application = self._spaces[tls.Epoch.ONE_RTT]
        window = PacketWindow()
        for packet_number in sorted(application.received_packets._received):
            window.add(packet_number)
        application.received_packets = window
        self.tls = _FINISHED_HANDSHAKE
        self._crypto_buffers = {}
        self._cryptos_initial = {}
        self._crypto_streams = {
            tls.Epoch.ONE_RTT: self._crypto_streams[tls.Epoch.ONE_RTT]
        }
        self._cryptos = {tls.Epoch.ONE_RTT: self._cryptos[tls.Epoch.ONE_RTT]}
        # aioquic discards the 0-RTT keys at the first 1-RTT packet, so an entry
        # must exist.
        self._cryptos[tls.Epoch.ZERO_RTT] = _NO_EARLY_KEYS
        self._spaces = {tls.Epoch.ONE_RTT: application}
        self._loss.spaces = [application]

    def _replenish_connection_ids(self) -> None:
        limit = min(ACTIVE_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(
                QuicConnectionId(
                    cid=self._issue(self),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(16),
                )
            )
            self._host_cid_seq += 1

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        # aioquic extends the window whether or not the data was consumed. If a
        # target read slower than its caller sends, the agent would buffer the whole
        # body. Here the window follows the consumed bytes instead.
        if not stream.max_stream_data_local or stream.receiver.is_finished:
            return
        unread = self.unread_by_stream.get(stream.stream_id, 0)
        limit = stream.receiver.highest_offset - unread + STREAM_WINDOW_BYTES
        if limit - stream.max_stream_data_local >= STREAM_WINDOW_BYTES // 2:
            stream.max_stream_data_local = limit
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        buffer = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        buffer.push_uint_var(stream.stream_id)
        buffer.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local
