"""HTTP/3 sessions on callers' connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Protocol

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import (
    ErrorCode,
    FrameType,
    H3Connection,
    HeadersState,
    encode_frame,
    stream_is_request_response,
)
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamDataReceived,
    StreamReset,
)
from zinniahook_core.codes import Code, Outcome, OutcomeKind

from .exchanges import BODY_METHODS, Exchange, Head, Headers, outcome_answer
from .heads import MAX_BODY_BYTES, read_head, refusal_code
from .quic import ServerConnection

__all__ = ["CallerExchange", "Http3Session", "RequestHandler"]

MAX_HEADER_BYTES = 16 * 1024
"""Largest encoded header block of a request."""

HIGH_WATER_BYTES = 256 * 1024
"""Unacknowledged bytes of an answer at which its source has to pause."""

LOW_WATER_BYTES = HIGH_WATER_BYTES // 2

READY_BODY_BYTES = 64 * 1024
"""Bytes of a body that a request waits for before it runs, unless the body is
shorter."""

BODY_TIMEOUT_SECONDS = 60.0
"""Seconds in which a caller must send `READY_BODY_BYTES` or the complete body."""

LAST_STREAM_ID = (1 << 62) - 4
"""Largest id of a request stream. A GOAWAY with it rejects no request yet."""


class RequestHandler(Protocol):
    """The methods of an agent that a session calls."""

    def classify(self, path: str) -> str:
        """Return the request class of a path, or empty."""

    def arrived(self, exchange: Exchange) -> None:
        """Handle a new request."""

    def cancelled(self, exchange: Exchange) -> None:
        """Handle the cancellation of a request by its caller."""

    def refused(self, code: Code) -> None:
        """Count a request that was refused as invalid."""


class _Http3(H3Connection):
    """An HTTP/3 connection without a dynamic QPACK table.

    With a table, a few bytes of a caller could expand to megabytes of headers, a lost
    packet could block other requests, and every open connection would use more
    memory.
    """

    _max_table_capacity = property(lambda self: 0, lambda self, value: None)
    _blocked_streams = property(lambda self: 0, lambda self, value: None)

    def go_away(self, stream_id: int) -> None:
        """Send a GOAWAY, which rejects requests from ``stream_id`` on."""
        self._quic.send_stream_data(
            self._local_control_stream_id,
            encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id)),
        )

    def buffered(self, stream_id: int) -> int:
        """Return the bytes of an incomplete frame that are or will be buffered."""
        stream = self._stream.get(stream_id)
        if stream is None:
            return 0
        announced = 0
        if stream.frame_type == FrameType.HEADERS:
            announced = stream.frame_size or 0
        return max(len(stream.buffer), announced)

    def awaits_head(self, stream_id: int) -> bool:
        """Return whether the head of a request hasn't been received."""
        stream = self._stream.get(stream_id)
        return stream is not None and stream.headers_recv_state == HeadersState.INITIAL

    def forget(self, stream_id: int) -> None:
        """Discard the state of a stream."""
        self._stream.pop(stream_id, None)


class CallerExchange(Exchange):
    """A request on an HTTP/3 stream of a caller."""

    def __init__(
        self, session: Http3Session, stream_id: int, head: Head, kind: str, now: float
    ) -> None:
        super().__init__(head, kind, now)
        self.session = session
        self.stream_id = stream_id
        self.is_announced = False
        self.drained: asyncio.Future[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether enough of the request was received to run it.

        A field device may take seconds to send a ticket. If the request ran as soon
        as its head is received, it would occupy a slot of the target all that time.
        """
        if self.head.method not in BODY_METHODS or self.head.get(b"expect"):
            return True
        return self.body.ended or self.body.size >= READY_BODY_BYTES

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        pairs = [(b":status", b"%d" % status), *headers]
        self.session.send_headers(self.stream_id, pairs)

    def send_piece(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a piece; return a future if the caller has fallen behind."""
        self.session.send_data(self.stream_id, data, end=False)
        if self.session.connection.unsent(self.stream_id) < HIGH_WATER_BYTES:
            return None
        self.drained = asyncio.get_running_loop().create_future()
        self.session.waiting[self.stream_id] = self
        return self.drained

    def send_end(self) -> None:
        """End the answer."""
        self.session.send_data(self.stream_id, b"", end=True)
        self.session.done(self)

    def send_reset(self) -> None:
        """Reset the answer's stream."""
        self.session.reset(self.stream_id, ErrorCode.H3_INTERNAL_ERROR)
        self.session.done(self)

    def body_taken(self, size: int) -> None:
        """Let the caller send more of the body."""
        self.session.taken(self.stream_id, size)

    def release(self) -> None:
        """Resume a source that waits for this caller."""
        if self.drained is not None and not self.drained.done():
            self.drained.set_result(None)
        self.drained = None


class Http3Session:
    """The HTTP/3 requests of one connection.

    Parameters
    ----------
    connection : ServerConnection
        The connection on which the requests arrive.
    handler : RequestHandler
        Handles the requests: the agent.
    touch : callable
        Called after data was passed to the connection to send.
    """

    def __init__(
        self,
        connection: ServerConnection,
        handler: RequestHandler,
        touch: Callable[[ServerConnection], None],
    ) -> None:
        self.connection = connection
        self.by_stream: dict[int, CallerExchange] = {}
        self.waiting: dict[int, CallerExchange] = {}
        self.is_going_away = False
        self._has_sent_go_away = False
        self._pending_go_away: bool | None = None
        self._handler = handler
        self._touch = touch
        self._http: _Http3 | None = None
        self._rejected_from = LAST_STREAM_ID + 4
        self._next_stream = 0
        self._ignored_streams: set[int] = set()

    @property
    def busy(self) -> bool:
        """Whether a request is open."""
        return bool(self.by_stream)

    def handle(self, event: QuicEvent) -> None:
        """Handle an event of the connection."""
        if isinstance(event, HandshakeCompleted):
            self._http = _Http3(self.connection)
            if self._pending_go_away is not None:
                self.go_away(self._pending_go_away)
            return
        if self._http is None:
            return
        if isinstance(event, StreamDataReceived):
            self._data(event)
        elif isinstance(event, StreamReset | StopSendingReceived):
            self._reset(event)

    def flushed(self) -> None:
        """Resume sources whose callers have caught up."""
        for stream_id, exchange in list(self.waiting.items()):
            if self.connection.unsent(stream_id) <= LOW_WATER_BYTES:
                del self.waiting[stream_id]
                exchange.release()

    def expire(self, now: float) -> None:
        """Refuse requests whose bodies aren't received in time."""
        for exchange in list(self.by_stream.values()):
            late = now - exchange.arrived_at > BODY_TIMEOUT_SECONDS
            if late and not exchange.is_announced:
                self._handler.refused(Code.DEADLINE_EXPIRED)
                exchange.refuse(Outcome(OutcomeKind.NOT_RUN, Code.DEADLINE_EXPIRED))

    def ended(self) -> None:
        """Cancel all requests, as the connection has ended."""
        self._http = None
        for exchange in list(self.by_stream.values()):
            self._cancel(exchange)

    def go_away(self, final: bool) -> None:
        """Send a GOAWAY, which asks the caller to open a new connection.

        The first GOAWAY rejects nothing; requests that crossed it are still accepted.
        The ``final`` one rejects later requests, which HTTP/3 defines as not
        processed.
        """
        if self._http is None:
            # During a handshake the GOAWAY can't be sent yet. If it were dropped, the
            # caller would never reconnect, and its feed would delay the leaving agent.
            self._pending_go_away = final
            return
        self._has_sent_go_away = True
        if final:
            self.is_going_away = True
            self._rejected_from = self._next_stream
        self._http.go_away(self._next_stream if final else LAST_STREAM_ID)
        self._touch(self.connection)

    def notify_leaving(self, peers: Collection[str]) -> None:
        """Ask the caller to reconnect if one of its requests runs at ``peers``.

        A leaving peer waits for the feeds that it runs for callers of this agent.
        Without this GOAWAY those callers wouldn't learn that it leaves.
        """
        running = (exchange.relayed_to for exchange in self.by_stream.values())
        if not self._has_sent_go_away and any(peer in peers for peer in running):
            self.go_away(final=False)

    # Methods that exchanges call

    def send_headers(self, stream_id: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer."""
        if self._http is not None:
            self._http.send_headers(stream_id, headers)
            self._touch(self.connection)

    def send_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a piece of an answer."""
        if self._http is not None:
            self._http.send_data(stream_id, data, end)
            self._touch(self.connection)

    def reset(self, stream_id: int, error_code: int) -> None:
        """Reset a stream."""
        if self._http is not None:
            self.connection.reset_stream(stream_id, error_code)
            self._touch(self.connection)

    def taken(self, stream_id: int, size: int) -> None:
        """Advance a stream's flow-control window by consumed bytes."""
        unread = self.connection.unread_by_stream
        if stream_id in unread:
            unread[stream_id] -= size
            self._touch(self.connection)

    def done(self, exchange: CallerExchange) -> None:
        """Remove an exchange whose answer has ended."""
        stream_id = exchange.stream_id
        self.by_stream.pop(stream_id, None)
        self.waiting.pop(stream_id, None)
        self.connection.unread_by_stream.pop(stream_id, None)
        exchange.release()
        if not exchange.body.ended and self._http is not None:
            self._ignore(stream_id, ErrorCode.H3_NO_ERROR)

    # Events of the caller's streams

    def _data(self, event: StreamDataReceived) -> None:
        stream_id = event.stream_id
        if stream_id in self._ignored_streams:
            if event.end_stream:
                self._ignored_streams.discard(stream_id)
            return
        if stream_is_request_response(stream_id):
            if stream_id >= self._rejected_from:
                self._handler.refused(Code.LEAVING)
                self._abort(stream_id, ErrorCode.H3_REQUEST_REJECTED)
                return
            self._next_stream = max(self._next_stream, stream_id + 4)
        for http_event in self._http.handle_event(event):
            self._http_event(http_event)
        # Bound the buffer of a frame whose end hasn't arrived.
        if self._http is None or self._http.buffered(stream_id) <= MAX_HEADER_BYTES:
            return
        if self._http.awaits_head(stream_id):
            self._refuse(stream_id, Code.HEADER_TOO_LARGE)
        else:
            self.connection.close(ErrorCode.H3_EXCESSIVE_LOAD)

    def _http_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            exchange = self.by_stream.get(event.stream_id)
            if exchange is None:
                self._request(event)
            elif event.stream_ended:
                exchange.body.feed(b"", end=True)
                self._announce(exchange)
        elif isinstance(event, DataReceived):
            self._body(event)

    def _request(self, event: HeadersReceived) -> None:
        head = read_head(event.headers)
        if head is None:
            self._abort(event.stream_id, ErrorCode.H3_MESSAGE_ERROR)
            self._handler.refused(Code.DATAGRAM_MALFORMED)
            return
        kind = self._handler.classify(head.path)
        code = refusal_code(head)
        if code is not None:
            self._refuse(event.stream_id, code)
            return
        now = asyncio.get_running_loop().time()
        exchange = CallerExchange(self, event.stream_id, head, kind, now)
        self.by_stream[event.stream_id] = exchange
        self.connection.unread_by_stream[event.stream_id] = 0
        if event.stream_ended:
            exchange.body.feed(b"", end=True)
        self._announce(exchange)

    def _announce(self, exchange: CallerExchange) -> None:
        if exchange.is_ready and not exchange.is_announced:
            exchange.is_announced = True
            self._handler.arrived(exchange)

    def _body(self, event: DataReceived) -> None:
        exchange = self.by_stream.get(event.stream_id)
        if exchange is None:
            return
        if exchange.body.size + len(event.data) > MAX_BODY_BYTES:
            exchange.refuse(Outcome(OutcomeKind.UNKNOWN, Code.BODY_TOO_LARGE))
            exchange.body.abort()
            self._handler.cancelled(exchange)
            return
        self.connection.unread_by_stream[event.stream_id] += len(event.data)
        exchange.body.feed(event.data, event.stream_ended)
        self._announce(exchange)

    def _reset(self, event: StreamReset | StopSendingReceived) -> None:
        self._http.handle_event(event)
        self._ignored_streams.discard(event.stream_id)
        exchange = self.by_stream.get(event.stream_id)
        if exchange is None:
            return
        self.connection.reset_stream(event.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        self._cancel(exchange)

    def _cancel(self, exchange: CallerExchange) -> None:
        exchange.finished = True
        self.done(exchange)
        exchange.body.abort()
        if exchange.is_announced:
            self._handler.cancelled(exchange)

    def _refuse(self, stream_id: int, code: Code) -> None:
        self._handler.refused(code)
        answer = outcome_answer(Outcome(OutcomeKind.NOT_RUN, code))
        pairs = [(b":status", b"%d" % answer.status), *answer.headers]
        self._http.send_headers(stream_id, pairs)
        self._http.send_data(stream_id, answer.body, end_stream=True)
        self._ignore(stream_id, ErrorCode.H3_NO_ERROR)
        self._touch(self.connection)

    def _abort(self, stream_id: int, error_code: int) -> None:
        """Reset a request's stream without an answer."""
        self.connection.reset_stream(stream_id, error_code)
        self._ignore(stream_id, error_code)
        self._touch(self.connection)

    def _ignore(self, stream_id: int, error_code: int) -> None:
        """Discard further data of a stream, and ask the caller to stop sending."""
        self._http.forget(stream_id)
        if self.connection.stop_receiving(stream_id, error_code):
            self._ignored_streams.add(stream_id)
