"""HTTP/1.1 client for the target on loopback.

For each failed request it must be known whether it may have run. A request didn't run
if no byte of it was sent, or if the target answers with status 503 and
``zinniahook-outcome: not-run``. Any other failed request may have run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from typing import NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPOutputError,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.events import TargetReported
from zinniahook_core.models import Address, Load

from .exchanges import BODY_METHODS, BodyAborted, Exchange, Headers

__all__ = ["Result", "Target"]

CONNECT_TIMEOUT_SECONDS = 2.0
PROBE_TIMEOUT_SECONDS = 1.0

MAX_IDLE_CONNECTIONS = 4
MAX_IDLE_SECONDS = 3.0
"""Seconds after which an idle connection isn't reused."""

CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
UNBOUNDED = 1 << 62

SHED_RETRY_AFTER_SECONDS = 0.5
"""Retry-After of a target that shed a request without a valid one of its own."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

OWN_HEADERS = frozenset(
    {"zinniahook-attempt", "zinniahook-code", "zinniahook-deadline"}
    | {"zinniahook-outcome", "zinniahook-retry-after"}
)

PARAMETERS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_header_size=MAX_HEADER_BYTES, max_body_size=UNBOUNDED
)


class Result(NamedTuple):
    """The result of a request; ``started`` is False if it certainly didn't run."""

    outcome: Outcome
    started: bool


DONE = Result(Outcome(OutcomeKind.DONE, Code.OK), True)
FAILED = Result(Outcome(OutcomeKind.UNKNOWN, Code.TARGET_FAILED), True)
UNREACHABLE_TARGET = Result(
    Outcome(OutcomeKind.NOT_RUN, Code.TARGET_FAILED, SHED_RETRY_AFTER_SECONDS), False
)


class _Idle(NamedTuple):
    """An idle connection, and the time since which it is idle."""

    stream: IOStream
    since: float


class _Reader(HTTPMessageDelegate):
    """Forwards the target's answer to an exchange."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.shed: float | None = None
        self.finished = False
        self.keeps_open = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Forward the head, unless the request was shed."""
        if start_line.code < 200:
            return
        self.keeps_open = (
            start_line.version == "HTTP/1.1"
            and headers.get("connection", "").lower() != "close"
        )
        if start_line.code == 503 and headers.get("zinniahook-outcome") == "not-run":
            self.shed = _seconds(headers.get("retry-after", ""))
            return
        self.exchange.begin(start_line.code, _answer_headers(headers))

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Forward a piece; a returned future pauses the target until it is done."""
        return None if self.shed is not None else self.exchange.write(chunk)

    def finish(self) -> None:
        """Record that the answer is complete."""
        self.finished = True

    def on_connection_close(self) -> None:
        """Do nothing: `_verdict` decides after the read has ended."""


class Target:
    """The target of this agent, on the same instance.

    Parameters
    ----------
    address : Address
        Address on which the target listens.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._client = TCPClient()
        self._idle: deque[_Idle] = deque()
        self._loop = asyncio.get_running_loop()

    async def run(self, exchange: Exchange) -> Result:
        """Run a request and stream its answer.

        Cancelling the task that awaits this closes the connection, which signals
        the cancellation to the target. ``exchange.started`` is set before the first
        byte is sent.
        """
        # A target may close an idle connection while a request is sent on it, and
        # then it is unknown whether the request ran. So only idempotent requests
        # reuse a connection.
        stream = self._reuse() if exchange.idempotent else None
        if stream is not None:
            result = await self._run_on(stream, exchange)
            if result is not FAILED or exchange.status or exchange.body.taken:
                return result
        try:
            stream = await asyncio.wait_for(
                self._client.connect(*self.address), CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, StreamClosedError, TimeoutError):
            return UNREACHABLE_TARGET
        return await self._run_on(stream, exchange)

    async def probe(self) -> TargetReported:
        """Query the target's health and load endpoints."""
        health = await self._fetch("/health")
        if health is None:
            return TargetReported(None, None, await self._accepts())
        load = await self._fetch("/load")
        return TargetReported(health is not False, _load(load), True)

    async def _accepts(self) -> bool:
        """Return whether the target's port accepts a connection."""
        try:
            stream = await asyncio.wait_for(
                self._client.connect(*self.address), CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, StreamClosedError, TimeoutError):
            return False
        stream.close()
        return True

    async def _fetch(self, path: str) -> object:
        """Return the JSON at ``path``; None if unanswered, False if not status 200."""
        url = f"http://{self.address}{path}"
        try:
            answer = await AsyncHTTPClient().fetch(
                url,
                request_timeout=PROBE_TIMEOUT_SECONDS,
                connect_timeout=PROBE_TIMEOUT_SECONDS,
                raise_error=False,
            )
            if answer.code == 599:
                return None
            return json.loads(answer.body) if answer.code == 200 else False
        except (HTTPClientError, OSError, ValueError):
            return None

    def _reuse(self) -> IOStream | None:
        while self._idle:
            stream, since = self._idle.pop()
            if not stream.closed() and self._loop.time() - since < MAX_IDLE_SECONDS:
                return stream
            stream.close()
        return None

    def _keep(self, stream: IOStream) -> None:
        self._idle.append(_Idle(stream, self._loop.time()))
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.popleft().stream.close()

    async def _run_on(self, stream: IOStream, exchange: Exchange) -> Result:
        stream.set_nodelay(True)
        connection = HTTP1Connection(stream, True, PARAMETERS)
        reader = _Reader(exchange)
        exchange.started = True
        sender = asyncio.ensure_future(self._send(connection, exchange))
        try:
            # A target may answer before it has read the whole body.
            await connection.read_response(reader)
        except (StreamClosedError, HTTPInputError):
            pass
        finally:
            sent = sender.done() and not sender.cancelled()
            sender.cancel()
            if sent and reader.finished and reader.keeps_open and not stream.closed():
                self._keep(stream)
            else:
                stream.close()
        return _verdict(reader, exchange)

    async def _send(self, connection: HTTP1Connection, exchange: Exchange) -> None:
        head = exchange.head
        start_line = RequestStartLine(head.method, head.path, "HTTP/1.1")
        headers = _request_headers(exchange, self._loop.time())
        try:
            await connection.write_headers(start_line, headers)
            if head.method in BODY_METHODS or "content-length" in headers:
                async for piece in exchange.body:
                    await connection.write(piece)
            connection.finish()
        except (StreamClosedError, HTTPOutputError, ValueError, BodyAborted):
            # Closing ends the read of the answer, which decides the result.
            connection.close()


def _verdict(reader: _Reader, exchange: Exchange) -> Result:
    if reader.shed is not None:
        outcome = Outcome(OutcomeKind.NOT_RUN, Code.TARGET_SHED, reader.shed)
        return Result(outcome, False)
    if reader.finished and exchange.status:
        exchange.finish()
        return DONE
    if exchange.status:
        exchange.fail()
    return FAILED


def _request_headers(exchange: Exchange, now: float) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, value in exchange.head.headers:
        text = name.decode("latin-1")
        if text in HOP_BY_HOP or text in OWN_HEADERS:
            continue
        headers.add(text, value.decode("latin-1"))
    if exchange.deadline is not None:
        headers["zinniahook-deadline"] = f"{max(0.0, exchange.deadline - now):.3f}"
    empty = exchange.body.ended and not exchange.body.size
    if exchange.head.method in BODY_METHODS and empty:
        headers["content-length"] = "0"
    return headers


def _answer_headers(headers: HTTPHeaders) -> Headers:
    return tuple(
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.get_all()
        if name.lower() not in HOP_BY_HOP and name.lower() not in OWN_HEADERS
    )


def _seconds(text: str) -> float:
    with contextlib.suppress(ValueError):
        return min(max(float(text), 0.0), 60.0)
    return SHED_RETRY_AFTER_SECONDS


def _load(document: object) -> Load | None:
    """Return the load in a target's report, or None if it is malformed."""
    if not isinstance(document, dict):
        return None
    try:
        return Load(
            slots=int(document["slots"]),
            busy=int(document["busy"]),
            queued=int(document.get("queued", 0)),
            flows=int(document.get("flows", 0)),
            streams=int(document.get("streams", 0)),
            cold=float(document.get("cold", 0.0)),
        )
    except (KeyError, TypeError, ValueError):
        return None
