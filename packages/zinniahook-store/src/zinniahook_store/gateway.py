"""JSON calls to the store over HTTP, with failover between its endpoints."""

from __future__ import annotations

import asyncio
import base64
import collections
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from .resolvers import AddressResolver

__all__ = [
    "CONNECT_TIMEOUT_SECONDS",
    "MALFORMED_ANSWER_ERRORS",
    "Gateway",
    "GatewayError",
    "Stream",
    "encode_key",
    "prefix_end",
]

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout to connect to an endpoint before the next one is tried."""

MAX_CONCURRENT_CALLS = 64
"""Further calls wait in a queue."""

BACKOFF_BASE_SECONDS = 0.1
BACKOFF_LIMIT_SECONDS = 2.0
"""Bounds of the backoff before a call is repeated."""

SERVER_ERROR = 500
COMPACTED_TEXT = "compacted"

MALFORMED_ANSWER_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
"""Exceptions raised when an answer of the wrong shape is read."""

_FETCH_ERRORS = (OSError, HTTPError, HTTPInputError)


class GatewayError(Exception):
    """A call that failed or whose answer is unusable.

    Attributes
    ----------
    sent : bool
        Whether the request may have reached the store.
    compacted : bool
        Whether the store refused the request because its revision was compacted.
    """

    def __init__(self, reason: str, *, sent: bool, compacted: bool = False) -> None:
        super().__init__(reason)
        self.sent = sent
        self.compacted = compacted


class Gateway:
    """Calls one of several endpoints of the store.

    Attributes
    ----------
    calls_by_kind, failures_by_kind : Counter
        Calls sent and calls that failed, by kind.
    """

    def __init__(
        self, addresses: Sequence[object], timeout: float, rng: random.Random
    ) -> None:
        if not addresses:
            raise ValueError("addresses is empty, expected at least one of the store")
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.failures_by_kind: collections.Counter[str] = collections.Counter()
        self.timeout = timeout
        self.rng = rng
        self._endpoints = [f"http://{address}" for address in addresses]
        # Instances that start together shouldn't all call the same endpoint.
        rng.shuffle(self._endpoints)
        self._current = 0
        self._client: SimpleAsyncHTTPClient | None = None

    async def call(
        self, kind: str, path: str, body: dict[str, Any], *, repeat: bool
    ) -> dict[str, Any]:
        """Call the store and return its answer.

        Parameters
        ----------
        kind : str
            Kind under which the call is counted.
        path : str
            Path of the method, such as ``/v3/kv/range``.
        body : dict
            The request.
        repeat : bool
            Whether the request may run twice. If so, the next endpoint is tried even
            if the previous one may have run the request.

        Raises
        ------
        GatewayError
            If no endpoint gave a usable answer. ``sent`` is true if any endpoint may
            have run the request.
        """
        sent = False
        for _ in self._endpoints:
            try:
                return await self._call_endpoint(kind, path, body)
            except GatewayError as error:
                self.failures_by_kind[kind] += 1
                failure = error
                sent = sent or error.sent
                if error.compacted:
                    break
                self.use_next_endpoint()
                if error.sent and not repeat:
                    break
        raise GatewayError(str(failure), sent=sent, compacted=failure.compacted)

    def open(self, kind: str, path: str, body: dict[str, Any]) -> Stream:
        """Start a call whose answer is a stream of JSON lines."""
        self.calls_by_kind[kind] += 1
        return Stream(self._endpoints[self._current] + path, json.dumps(body))

    def use_next_endpoint(self) -> None:
        """Switch to the next endpoint."""
        self._current = (self._current + 1) % len(self._endpoints)

    def pause(self, failures: int) -> float:
        """Return the seconds to wait after a number of consecutive failures.

        The wait is random over the whole range. Otherwise instances that lost the
        store would all reconnect at the same time.
        """
        limit = min(
            BACKOFF_LIMIT_SECONDS, BACKOFF_BASE_SECONDS * 2 ** min(failures, 10)
        )
        return self.rng.uniform(BACKOFF_BASE_SECONDS / 2, limit)

    def close(self) -> None:
        """Close the client. Calls in progress end with their timeout."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def _call_endpoint(
        self, kind: str, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        if self._client is None:
            self._client = SimpleAsyncHTTPClient(
                force_instance=True,
                max_clients=MAX_CONCURRENT_CALLS,
                resolver=AddressResolver(),
            )
        self.calls_by_kind[kind] += 1
        content = _RequestBody(json.dumps(body))
        request = HTTPRequest(
            self._endpoints[self._current] + path,
            method="POST",
            headers=content.headers,
            body_producer=content.produce,
            connect_timeout=min(CONNECT_TIMEOUT_SECONDS, self.timeout),
            request_timeout=self.timeout,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except _FETCH_ERRORS as error:
            reason = f"{request.url}: {error or type(error).__name__}"
            raise GatewayError(reason, sent=content.started) from error
        return _answer(response)


class Stream:
    """The streamed answer of a call. Aborting it closes the connection.

    Parameters
    ----------
    url : str
        URL of the call.
    body : str
        The request, as JSON.
    """

    def __init__(self, url: str, body: str) -> None:
        self._client = _AbortableClient(
            force_instance=True, max_clients=1, resolver=AddressResolver()
        )
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._partial_line = b""
        content = _RequestBody(body)
        self._fetch = asyncio.ensure_future(
            self._client.fetch(
                HTTPRequest(
                    url,
                    method="POST",
                    headers=content.headers,
                    body_producer=content.produce,
                    streaming_callback=self._receive,
                    connect_timeout=CONNECT_TIMEOUT_SECONDS,
                    request_timeout=0,
                ),
                raise_error=False,
            )
        )
        self._fetch.add_done_callback(self._end)

    async def read(self) -> dict[str, Any] | None:
        """Return the next message, or None at the end of the stream.

        Raises
        ------
        GatewayError
            If the message isn't a JSON object.
        """
        line = await self._lines.get()
        if line is None:
            return None
        return _parse(line)

    def abort(self) -> None:
        """Close the connection, even if the store no longer responds."""
        self._client.abort()

    def _receive(self, chunk: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        for line in filter(None, lines):
            self._lines.put_nowait(line)

    def _end(self, fetch: asyncio.Future[HTTPResponse]) -> None:
        # The reader opens a new stream, whatever ended this one.
        fetch.exception()
        self._client.close()
        self._lines.put_nowait(None)


class _RequestBody:
    """A request body that records whether sending it has started.

    This distinguishes a failed connection from a lost answer. Otherwise a write that
    certainly never ran would have to be settled by reading. The producer is called
    only once the connection is established.
    """

    def __init__(self, text: str) -> None:
        self._data = text.encode()
        self.started = False
        self.headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(self._data)),
        }

    async def produce(self, write: Callable[[bytes], Awaitable[None]]) -> None:
        self.started = True
        await write(self._data)


class _TrackingTcpClient(TCPClient):
    """A TCP client that keeps its streams, so that they can be closed."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._streams: list[IOStream] = []
        self._aborted = False

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        stream = await super().connect(*args, **kwargs)
        self._streams.append(stream)
        if self._aborted:
            stream.close()
        return stream

    def abort(self) -> None:
        self._aborted = True
        for stream in self._streams:
            stream.close()


class _AbortableClient(SimpleAsyncHTTPClient):
    """An HTTP client whose request can be aborted.

    Otherwise each watch that became silent would leak a connection.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self.tcp_client = _TrackingTcpClient(resolver=self.resolver)

    def abort(self) -> None:
        self.tcp_client.abort()


def encode_key(key: str) -> str:
    """Encode a key as in the JSON of the gateway."""
    return base64.b64encode(key.encode()).decode()


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _answer(response: HTTPResponse) -> dict[str, Any]:
    if response.code >= SERVER_ERROR:
        # The store may have run the request but failed to answer, for example after
        # a timeout between its replicas.
        raise GatewayError(_reason(response), sent=True)
    if response.code >= 400:
        reason = _reason(response)
        raise GatewayError(reason, sent=False, compacted=COMPACTED_TEXT in reason)
    return _parse(response.body)


def _reason(response: HTTPResponse) -> str:
    text = response.body[:200].decode(errors="replace").strip()
    return f"{response.request.url}: status {response.code}: {text}"


def _parse(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except ValueError:
        raise GatewayError("the answer isn't JSON", sent=True) from None
    if not isinstance(value, dict):
        raise GatewayError("the answer isn't a JSON object", sent=True)
    return value
