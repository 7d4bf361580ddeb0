"""QUIC connections of one agent: ids, timers, datagrams in and out.

aioquic is used without its own sockets. What is overridden here are private
parts of it, so its version is pinned and test_connections.py holds each of
them to what this module expects.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
import os
from collections.abc import Callable, Iterator
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
from aioquic.quic.events import (
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
)
from aioquic.quic.packet import QuicFrameType, QuicProtocolVersion
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketNumberWindow, QuicPacketSpace
from aioquic.quic.stream import QuicStream
from zinniahook_core.models import Address
from zinniahook_core.routing import CONNECTION_ID_LENGTH

__all__ = [
    "Connections",
    "PacketWindow",
    "ServerConnection",
    "Session",
    "make_configuration",
]

IDLE_TIMEOUT = 45.0
"""Seconds without a packet after which a connection has ended."""

KEEP_ALIVE = 15.0
"""Seconds between PINGs while a request is open, so that silence is noticed."""

HANDSHAKE_TIMEOUT = 10.0
HANDSHAKES = 512
"""Connections that may be in their handshake at a time."""

CONNECTION_IDS = 4
"""Ids kept ready for a caller, so that it can change its address."""

STREAM_WINDOW = 128 * 1024
"""Bytes that a caller may send on a stream ahead of what was taken."""

STREAMS = 64
"""Requests that a caller may have open on one connection."""

WINDOW_BITS = 256

logging.getLogger("quic").setLevel(logging.ERROR)


class Session(Protocol):
    """What a connection carries; `Connections` calls it."""

    busy: bool
    """Whether a request is open, so that the connection must be kept alive."""

    def handle(self, event: QuicEvent) -> None:
        """Take an event of the connection."""

    def flushed(self) -> None:
        """Go on sending: datagrams left and acknowledgements came."""

    def ended(self) -> None:
        """Learn that the connection has ended; nothing can be sent any more."""


def make_configuration(certificate: str, key: str) -> QuicConfiguration:
    """Read the certificate and key that callers see.

    Every connection shares the object; a reload makes a new one.

    Raises
    ------
    OSError, ValueError
        If a file can't be read or is not PEM.
    """
    configuration = QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=False,
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=IDLE_TIMEOUT,
        max_stream_data=STREAM_WINDOW,
        # Each further version costs a handshake three more key derivations.
        supported_versions=[QuicProtocolVersion.VERSION_1],
    )
    configuration.load_cert_chain(certificate, key)
    return configuration


class PacketWindow(QuicPacketNumberWindow):
    """The packet numbers received lately, as the bits of one integer.

    aioquic keeps them in a set, which grows to about 40 KB a connection.
    """

    def __init__(self) -> None:
        self._highest = -1
        self._bits = 0

    def add(self, packet_number: int) -> None:
        """Note that a packet was received."""
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
    """Stands in for the TLS context of a connection whose handshake is over.

    A TLS 1.3 client sends no handshake message after its Finished.
    """

    state = tls.State.SERVER_POST_HANDSHAKE

    def handle_message(self, data: bytes, buffers: object) -> None:
        """Refuse whatever comes."""
        raise tls.AlertUnexpectedMessage("no handshake message was expected")


_FINISHED_HANDSHAKE = _FinishedHandshake()
_NO_EARLY_KEYS = CryptoPair()


class _FrameHandlers:
    """The frame handlers of one connection, bound when they are looked up."""

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
    """A QUIC connection whose ids name this agent as its owner.

    Parameters
    ----------
    configuration : QuicConfiguration
        Shared by all connections.
    flow : bytes
        The caller's first destination connection id.
    issue : callable
        Draws a new connection id and registers it for this connection.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        flow: bytes,
        issue: Callable[[ServerConnection], bytes],
    ) -> None:
        super().__init__(
            configuration=configuration, original_destination_connection_id=flow
        )
        self.flow = flow
        self.number = 0
        self.entry = Address("", 0)
        self.caller = Address("", 0)
        self.is_switched = False
        self.session: Session | None = None
        self.wake_at: float | None = None
        self.opened_at = 0.0
        self.heard_at = 0.0
        self.handshaking = True
        self.unread_by_stream: dict[int, int] = {}
        self._issue = issue
        # Nothing was fed yet, so the caller has seen no id of ours.
        first = issue(self)
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first
        self._local_max_streams_bidi.value = STREAMS
        self._local_max_streams_bidi.sent = STREAMS

    @property
    def _QuicConnection__frame_handlers(self) -> _FrameHandlers:  # noqa: N802
        return _FrameHandlers(self)

    @_QuicConnection__frame_handlers.setter
    def _QuicConnection__frame_handlers(self, handlers: dict[int, Any]) -> None:  # noqa: N802
        # A dictionary of 33 bound methods, each with its own set, would cost
        # every open connection 12 KB.
        if not _FrameHandlers.by_type:
            _FrameHandlers.by_type = {
                frame_type: (handler.__func__, epochs)
                for frame_type, (handler, epochs) in handlers.items()
            }

    @property
    def is_over(self) -> bool:
        """Whether nothing can be sent or received any more."""
        return self._state in END_STATES

    @property
    def probes(self) -> int:
        """How often in a row a probe went unanswered."""
        return self._loss._pto_count

    @property
    def connection_ids(self) -> list[bytes]:
        """Every id of ours that the caller may use."""
        return [host.cid for host in self._host_cids]

    def unsent(self, stream_id: int) -> int:
        """Return how many bytes of a stream the caller hasn't acknowledged."""
        stream = self._streams.get(stream_id)
        return len(stream.sender._buffer) if stream else 0

    def stop_receiving(self, stream_id: int, error_code: int) -> bool:
        """Ask the caller to send no more; False if it has sent everything."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.receiver.is_finished:
            return False
        stream.receiver.stop(error_code)
        return True

    def release_handshake(self) -> None:
        """Free what only the handshake needed, about 60 KB."""
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
        # aioquic tears the 0-RTT keys down when the first 1-RTT packet comes.
        self._cryptos[tls.Epoch.ZERO_RTT] = _NO_EARLY_KEYS
        self._spaces = {tls.Epoch.ONE_RTT: application}
        self._loss.spaces = [application]

    def _replenish_connection_ids(self) -> None:
        limit = min(CONNECTION_IDS, self._remote_active_connection_id_limit)
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
        # aioquic doubles the window whatever was done with the data. A target
        # that reads slower than its caller sends would then make the agent
        # hold the whole body. The window moves with what was taken instead.
        if not stream.max_stream_data_local or stream.receiver.is_finished:
            return
        unread = self.unread_by_stream.get(stream.stream_id, 0)
        limit = stream.receiver.highest_offset - unread + STREAM_WINDOW
        if limit - stream.max_stream_data_local >= STREAM_WINDOW // 2:
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


class Connections:
    """All QUIC connections of an agent, by each of their ids.

    Parameters
    ----------
    configuration : QuicConfiguration
        For new connections; may be replaced at any time.
    issue : callable
        Draws a connection id that names this agent.
    send : callable
        Sends a datagram of a connection to a caller's address.
    begin : callable
        Makes the session of a new connection.
    closed : callable
        Told of each connection that has ended.
    unanswered : callable
        Told of a connection whose answers get no acknowledgement, each time
        that one more probe went unanswered.

    One heap of timers serves all of them, and datagrams are built once a
    turn of the loop for the connections that were touched in it.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        issue: Callable[[], bytes],
        send: Callable[[ServerConnection, bytes, Address], None],
        begin: Callable[[ServerConnection], Session],
        closed: Callable[[ServerConnection], None],
        unanswered: Callable[[ServerConnection], None],
    ) -> None:
        self.configuration = configuration
        self.by_id: dict[bytes, ServerConnection] = {}
        self.by_number: dict[int, ServerConnection] = {}
        self.failures = 0
        self._issue_id = issue
        self._send = send
        self._begin = begin
        self._closed = closed
        self._unanswered = unanswered
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._handshaking: dict[int, ServerConnection] = {}
        self._touched: dict[int, ServerConnection] = {}
        self._timers: list[tuple[float, int]] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[ServerConnection]:
        return iter(list(self.by_number.values()))

    def open(self, flow: bytes) -> ServerConnection | None:
        """Make the connection of an opening.

        Returns
        -------
        ServerConnection or None
            None if too many are in their handshake.
        """
        if len(self._handshaking) >= HANDSHAKES:
            return None
        connection = ServerConnection(self.configuration, flow, self._issue)
        connection.number = next(self._numbers)
        connection.opened_at = self._loop.time()
        connection.session = self._begin(connection)
        self.by_number[connection.number] = connection
        self._handshaking[connection.number] = connection
        # Until the handshake is over the caller may still use the id it drew.
        self.by_id[flow] = connection
        return connection

    def receive(
        self,
        connection: ServerConnection,
        payload: bytes,
        caller: Address,
        entry: Address,
    ) -> None:
        """Feed a datagram that came by way of ``entry``."""
        if payload[0] & 0x80 and not connection.handshaking:
            return
        now = self._loop.time()
        if not connection.is_switched:
            connection.entry = entry
        connection.caller = caller
        connection.heard_at = now
        try:
            connection.receive_datagram(payload, caller, now)
            self._deliver(connection)
        except Exception:
            self._fail(connection)
            return
        self.touch(connection)

    def touch(self, connection: ServerConnection) -> None:
        """Build datagrams for a connection at the end of this turn."""
        if not self._touched:
            self._loop.call_soon(self._flush)
        self._touched[connection.number] = connection

    def drop(self, connection: ServerConnection) -> None:
        """Forget a connection without a word to its caller."""
        if self.by_number.pop(connection.number, None) is None:
            return
        self._handshaking.pop(connection.number, None)
        for connection_id in (*connection.connection_ids, connection.flow):
            if self.by_id.get(connection_id) is connection:
                del self.by_id[connection_id]
        self._closed(connection)
        session, connection.session = connection.session, None
        if session is not None:
            session.ended()

    def close(self, connection: ServerConnection, error_code: int, reason: str) -> None:
        """Tell the caller that the connection ends, and end it."""
        connection.close(error_code=error_code, reason_phrase=reason)
        self.touch(connection)

    def keep_alive(self) -> None:
        """Ping connections with an open request; drop stuck handshakes.

        Without PINGs a caller whose flow some middle box has forgotten would
        wait for good on an answer; with them both ends find an idle timeout.
        """
        now = self._loop.time()
        for connection in list(self._handshaking.values()):
            if now - connection.opened_at > HANDSHAKE_TIMEOUT:
                self.drop(connection)
        for connection in self.by_number.values():
            silent = now - connection.heard_at > KEEP_ALIVE
            if silent and not connection.handshaking and connection.session.busy:
                connection.send_ping(0)
                self.touch(connection)

    def _fail(self, connection: ServerConnection) -> None:
        # A caller's bytes reached a fault in a parser. Without this the error
        # would end the turn of all other connections; it shows in the log and
        # the counter, and only this connection pays.
        logging.getLogger(__name__).exception("connection failed")
        self.failures += 1
        self.drop(connection)

    def _issue(self, connection: ServerConnection) -> bytes:
        connection_id = self._issue_id()
        while connection_id in self.by_id:
            connection_id = self._issue_id()
        self.by_id[connection_id] = connection
        return connection_id

    def _deliver(self, connection: ServerConnection) -> None:
        while connection.session is not None:
            event = connection.next_event()
            if event is None:
                return
            if isinstance(event, HandshakeCompleted):
                self._settle(connection)
            elif isinstance(event, ConnectionIdRetired):
                self.by_id.pop(event.connection_id, None)
                continue
            elif isinstance(event, ConnectionTerminated):
                continue
            connection.session.handle(event)

    def _settle(self, connection: ServerConnection) -> None:
        connection.release_handshake()
        self._handshaking.pop(connection.number, None)
        if self.by_id.get(connection.flow) is connection:
            del self.by_id[connection.flow]

    def _flush(self) -> None:
        touched, self._touched = self._touched, {}
        now = self._loop.time()
        for connection in touched.values():
            if connection.number not in self.by_number:
                continue
            try:
                self._flush_connection(connection, now)
            except Exception:
                self._fail(connection)

    def _flush_connection(self, connection: ServerConnection, now: float) -> None:
        for datagram, caller in connection.datagrams_to_send(now):
            self._send(connection, datagram, caller)
        self._deliver(connection)
        if connection.is_over:
            self.drop(connection)
            return
        if connection.session is not None:
            connection.session.flushed()
        self._schedule(connection)

    def _schedule(self, connection: ServerConnection) -> None:
        at = connection.get_timer()
        if at is None or (connection.wake_at is not None and connection.wake_at <= at):
            return
        connection.wake_at = at
        heapq.heappush(self._timers, (at, connection.number))
        self._arm()

    def _arm(self) -> None:
        if not self._timers:
            return
        at = self._timers[0][0]
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._wake)

    def _time_out(self, connection: ServerConnection, now: float) -> None:
        before = connection.probes
        connection.handle_timer(now)
        # One lost packet costs one probe; two in a row are no accident.
        if connection.probes > max(before, 1) and not connection.handshaking:
            self._unanswered(connection)
        self.touch(connection)

    def _wake(self) -> None:
        self._timer = None
        now = self._loop.time()
        while self._timers and self._timers[0][0] <= now:
            at, number = heapq.heappop(self._timers)
            connection = self.by_number.get(number)
            # An earlier timer has taken the place of this one.
            if connection is None or connection.wake_at != at:
                continue
            connection.wake_at = None
            if connection.get_timer() <= now:
                self._time_out(connection, now)
            else:
                self._schedule(connection)
        self._arm()
