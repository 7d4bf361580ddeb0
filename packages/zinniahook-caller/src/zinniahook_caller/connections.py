"""An HTTP/3 connection on aioquic that survives a silent network path."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, FrameType, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)
from aioquic.quic.packet import QuicFrameType

from .exceptions import (
    AnswerCutError,
    CallerError,
    ConnectionLostError,
    RequestRejectedError,
)
from .models import Request

__all__ = ["Exchange", "Http3Connection", "Silence", "WindowedQuicConnection"]

STREAM_WINDOW_BYTES = 1 << 20
"""Unread bytes of an answer after which the sender must pause."""

MAX_LIMIT_FRAME_BYTES = 1 + 8 + 8


class Silence(NamedTuple):
    """Timeouts for a connection with pending answers that receives no packets.

    All are in seconds since the last packet. After ``probe`` a PING is sent, after
    ``move`` the connection moves to a new local port, and after ``give_up`` it is
    closed. A move keeps the answers in progress if only the path has lost the
    state of the old port.
    """

    probe: float = 1.0
    move: float = 2.5
    give_up: float = 7.0


class WindowedQuicConnection(QuicConnection):
    """A QUIC connection whose stream limits follow the reader.

    aioquic doubles a stream's limit as data arrives, whether or not it is read, so
    a slow reader of a large export would hold all of it in memory. Here the limit
    grows only as data is read, and the sender waits.
    """

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.unread_by_stream: dict[int, int] = {}

    def _write_stream_limits(self, builder: Any, space: Any, stream: Any) -> None:
        unread = self.unread_by_stream.get(stream.stream_id)
        if unread is None:
            super()._write_stream_limits(builder=builder, space=space, stream=stream)
            return
        limit = stream.receiver.highest_offset - unread + STREAM_WINDOW_BYTES
        # Raise the limit by at least half a window: a frame for every chunk read
        # would cost more than the data.
        if limit - stream.max_stream_data_local >= STREAM_WINDOW_BYTES // 2:
            stream.max_stream_data_local = limit
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        buffer = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_LIMIT_FRAME_BYTES,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        buffer.push_uint_var(stream.stream_id)
        buffer.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local


class _Http3(H3Connection):
    """HTTP/3 connection that records GOAWAY frames, which aioquic ignores."""

    going_away = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.going_away = True


class Exchange:
    """A request and its answer on one stream.

    ``leaving`` is set once the server has sent GOAWAY.
    """

    def __init__(self, connection: Http3Connection, stream: int) -> None:
        self.stream = stream
        self._connection = connection
        self._head: asyncio.Future[tuple[int, dict[str, str]]] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: collections.deque[bytes] = collections.deque()
        self._changed = asyncio.Event()
        self._error: CallerError | None = None
        self.ended = False
        self.leaving = asyncio.Event()

    async def head(self) -> tuple[int, dict[str, str]]:
        """Wait for the status and the headers.

        Raises
        ------
        CallerError
            If they don't arrive; see `Http3Connection.start`.
        """
        return await asyncio.shield(self._head)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; an unread body pauses the sender.

        Raises
        ------
        CallerError
            If the answer is cut off.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._connection.taken(self.stream, len(chunk))
                yield chunk
            if self._error is not None:
                raise self._error
            if self.ended:
                return
            self._changed.clear()
            await self._changed.wait()

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([chunk async for chunk in self.chunks()])

    def cancel(self) -> None:
        """Cancel the request and reset its stream."""
        self._connection.cancel(self)

    def receive(self, event: H3Event) -> None:
        """Process an event of the stream."""
        if isinstance(event, HeadersReceived):
            self._receive_headers(event.headers)
        elif isinstance(event, DataReceived) and event.data:
            self._chunks.append(event.data)
        if getattr(event, "stream_ended", False):
            self.ended = True
            if not self._head.done():
                self.fail(AnswerCutError("the answer has no headers"))
        self._changed.set()

    def fail(self, error: CallerError) -> None:
        """End the exchange with an error, unless it has ended."""
        if self.ended or self._error is not None:
            return
        self._error = error
        if not self._head.done():
            self._head.set_exception(error)
            # Without a waiter, asyncio would log the exception as never retrieved.
            self._head.exception()
        self._changed.set()

    def _receive_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        fields = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in headers
        }
        status = fields.pop(":status", "")
        # 1xx answers are interim, and trailers have no status.
        if self._head.done() or status.startswith("1"):
            return
        if not status.isdecimal():
            self.fail(AnswerCutError("the answer has no status"))
            return
        self._head.set_result((int(status), fields))


class Http3Connection(QuicConnectionProtocol):
    """An HTTP/3 connection as a datagram protocol.

    Answers are matched to requests by stream, so they may arrive in any order.
    """

    def __init__(self, quic: WindowedQuicConnection, silence: Silence) -> None:
        super().__init__(quic)
        self.moves = 0
        self.lost = False
        self._connect_started = False
        self._h3 = _Http3(quic)
        self._silence = silence
        self._last_received_at = self._loop.time()
        self._moved_at: float | None = None
        self._pinged_at = 0.0
        self._exchanges_by_stream: dict[int, Exchange] = {}
        self._remote: tuple[str, int] | None = None
        self._watchdog: asyncio.TimerHandle | None = None
        self._move_task: asyncio.Task[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether new requests may go on this connection."""
        return not self.lost and not self._h3.going_away

    @property
    def busy(self) -> bool:
        """Whether answers are pending."""
        return bool(self._exchanges_by_stream)

    @property
    def local_port(self) -> int:
        """The local UDP port, 0 if there is none."""
        name = self._transport and self._transport.get_extra_info("sockname")
        return name[1] if name else 0

    async def open(self, remote: tuple[str, int]) -> None:
        """Connect.

        Raises
        ------
        ConnectionError
            If the server refuses.
        """
        self._remote = remote
        await self._bind()
        self.connect(remote)
        self._connect_started = True
        try:
            await self.wait_connected()
        except BaseException:
            # aioquic sets an error on the waiter when the connection ends later,
            # which asyncio would log as never retrieved.
            if self._connected_waiter is not None:
                self._connected_waiter.cancel()
                self._connected_waiter = None
            raise
        self._last_received_at = self._loop.time()
        self._check_silence()

    def start(self, request: Request, authority: str) -> Exchange:
        """Send a request.

        The exchange fails with `RequestRejectedError` if the server says
        that it did not process the request, with `AnswerCutError` if it
        resets the stream for any other reason, and with
        `ConnectionLostError` if the connection is lost.
        """
        quic = self._quic
        if not self._exchanges_by_stream:
            # No answer was pending before, so the silence begins now.
            self._last_received_at = self._loop.time()
        stream = quic.get_next_available_stream_id()
        exchange = Exchange(self, stream)
        self._exchanges_by_stream[stream] = exchange
        if self._h3.going_away:
            exchange.leaving.set()
        quic.unread_by_stream[stream] = 0
        headers = [
            (b":method", request.method.encode()),
            (b":scheme", b"https"),
            (b":authority", authority.encode()),
            (b":path", request.path.encode()),
        ]
        headers += [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in request.headers.items()
        ]
        self._h3.send_headers(stream, headers, end_stream=not request.body)
        if request.body:
            self._h3.send_data(stream, request.body, end_stream=True)
        self.transmit()
        return exchange

    def taken(self, stream: int, size: int) -> None:
        """Record that ``size`` bytes of an answer were read."""
        unread = self._quic.unread_by_stream
        if stream in unread:
            unread[stream] -= size
            self._transmit_soon()

    def cancel(self, exchange: Exchange) -> None:
        """Reset the stream of an exchange in both directions."""
        removed = self._exchanges_by_stream.pop(exchange.stream, None)
        self._quic.unread_by_stream.pop(exchange.stream, None)
        if removed is None or exchange.ended or self.lost:
            return
        exchange.fail(AnswerCutError("cancelled"))
        code = ErrorCode.H3_REQUEST_CANCELLED
        self._quic.reset_stream(exchange.stream, code)
        try:
            self._quic.stop_stream(exchange.stream, code)
        except ValueError:
            # The stream has ended in the meantime, so there is nothing to stop.
            pass
        self.transmit()

    def shut(self, reason: str = "closed") -> None:
        """Close the connection at once; pending answers fail.

        Before the handshake begins there is no path to send a close on. Without the
        check, the call would end with an IndexError of aioquic instead of a retry.
        """
        if self._watchdog is not None:
            self._watchdog.cancel()
        if self._connect_started and not self.lost:
            self.close()
        self._mark_lost(ConnectionLostError(reason))
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Process a datagram; any datagram shows that the path works."""
        self._last_received_at = self._loop.time()
        self._moved_at = None
        super().datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error: it may be forged, and retries handle real failures."""

    def quic_event_received(self, event: QuicEvent) -> None:
        """Pass an event to its exchange."""
        if isinstance(event, ConnectionTerminated):
            reason = event.reason_phrase or f"error {event.error_code:#x}"
            self._mark_lost(ConnectionLostError(f"connection closed: {reason}"))
            return
        was_usable = self.usable
        for http_event in self._h3.handle_event(event):
            self._dispatch(http_event)
        if was_usable and self._h3.going_away:
            for exchange in self._exchanges_by_stream.values():
                exchange.leaving.set()
        if isinstance(event, StreamReset | StopSendingReceived):
            self._receive_reset(event)

    def _dispatch(self, event: H3Event) -> None:
        exchange = self._exchanges_by_stream.get(getattr(event, "stream_id", -1))
        if exchange is None:
            return
        if isinstance(event, DataReceived):
            self._quic.unread_by_stream[exchange.stream] += len(event.data)
        exchange.receive(event)
        if exchange.ended:
            self._remove_exchange(exchange.stream)

    def _receive_reset(self, event: StreamReset | StopSendingReceived) -> None:
        rejected = event.error_code == ErrorCode.H3_REQUEST_REJECTED
        # The server may stop reading a request and still answer it, so only a
        # rejection ends the exchange.
        if isinstance(event, StopSendingReceived) and not rejected:
            return
        exchange = self._exchanges_by_stream.get(event.stream_id)
        if exchange is None:
            return
        if rejected:
            exchange.fail(RequestRejectedError("the server did not process it"))
        else:
            exchange.fail(AnswerCutError(f"stream reset: {event.error_code:#x}"))
        self._remove_exchange(event.stream_id)

    def _remove_exchange(self, stream: int) -> None:
        self._exchanges_by_stream.pop(stream, None)
        self._quic.unread_by_stream.pop(stream, None)

    def _mark_lost(self, error: ConnectionLostError) -> None:
        self.lost = True
        for exchange in list(self._exchanges_by_stream.values()):
            exchange.fail(error)
        self._exchanges_by_stream.clear()
        self._quic.unread_by_stream.clear()

    def _check_silence(self) -> None:
        """Act on silence while answers are pending.

        A device on the path may lose the state of a connection: answers then stop
        without an error. A few seconds without even the acknowledgement of a PING
        show this.
        """
        if self.lost:
            return
        interval = self._silence.probe / 2
        self._watchdog = self._loop.call_later(interval, self._check_silence)
        if not self._exchanges_by_stream:
            return
        now = self._loop.time()
        silent_seconds = now - self._last_received_at
        if silent_seconds >= self._silence.give_up:
            self.shut("connection went silent")
            return
        if silent_seconds >= self._silence.move and self._moved_at is None:
            self._moved_at = now
            self._move_task = self._loop.create_task(self._move())
        if silent_seconds >= self._silence.probe and now - self._pinged_at >= interval:
            self._pinged_at = now
            self._quic.send_ping(id(self))
            self.transmit()

    async def _move(self) -> None:
        """Move to a new local port; the connection id still leads to the owner."""
        old = self._transport
        await self._bind()
        if old is not None:
            old.close()
        self.moves += 1
        self.change_connection_id()
        self._quic.send_ping(id(self))
        self.transmit()

    async def _bind(self) -> None:
        host = self._remote[0] if self._remote else ""
        local = ("::", 0) if ":" in host else ("0.0.0.0", 0)
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=local)
