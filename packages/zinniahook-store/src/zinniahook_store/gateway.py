"""JSON calls to the platform's service, over HTTP with failover."""

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
"""Seconds to connect to one endpoint before the next is tried."""

MAX_CONCURRENT_CALLS = 64
"""Calls in progress at once; more of them wait in order."""

BACKOFF_BASE_SECONDS = 0.1
BACKOFF_LIMIT_SECONDS = 2.0
"""Bounds in seconds of the pause before a call is repeated."""

SERVER_ERROR = 500
COMPACTED_TEXT = "compacted"

MALFORMED_ANSWER_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
"""What reading an answer of the wrong shape raises."""

_FETCH_ERRORS = (OSError, HTTPError, HTTPInputError)


class GatewayError(Exception):
    """A call without a usable answer.

    Attributes
    ----------
    sent : bool
        Whether the request may have reached the service.
    compacted : bool
        Whether the service refused it because the revision is gone.
    """

    def __init__(self, reason: str, *, sent: bool, compacted: bool = False) -> None:
        super().__init__(reason)
        self.sent = sent
        self.compacted = compacted


class Gateway:
    """Calls one of several endpoints of the service.

    Attributes
    ----------
    calls_by_kind, failures_by_kind : Counter
        Calls sent by kind, and those without a usable answer.
    """

    def __init__(
        self, addresses: Sequence[object], timeout: float, rng: random.Random
    ) -> None:
        if not addresses:
            raise ValueError("the store needs an address")
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.failures_by_kind: collections.Counter[str] = collections.Counter()
        self.timeout = timeout
        self.rng = rng
        self._endpoints = [f"http://{address}" for address in addresses]
        # A fleet that starts together shouldn't all call the same endpoint.
        rng.shuffle(self._endpoints)
        self._current = 0
        self._client: SimpleAsyncHTTPClient | None = None

    async def call(
        self, kind: str, path: str, body: dict[str, Any], *, repeat: bool
    ) -> dict[str, Any]:
        """Call the service and return its answer.

        Parameters
        ----------
        kind : str
            Under what the call is counted.
        path : str
            Path of the method, such as ``/v3/kv/range``.
        body : dict
            The request.
        repeat : bool
            Whether the request may run twice: if so, the next endpoint is
            tried even after one that may have run it.

        Raises
        ------
        GatewayError
            If no endpoint gave a usable answer; ``sent`` tells whether any
            may have run it.
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
        """Go on with the next endpoint."""
        self._current = (self._current + 1) % len(self._endpoints)

    def pause(self, failures: int) -> float:
        """Return how long to wait after this many failures in a row.

        The whole range is drawn from, so that a fleet that lost the store
        doesn't come back to it in step.
        """
        limit = min(
            BACKOFF_LIMIT_SECONDS, BACKOFF_BASE_SECONDS * 2 ** min(failures, 10)
        )
        return self.rng.uniform(BACKOFF_BASE_SECONDS / 2, limit)

    def close(self) -> None:
        """Release the client; calls in progress end by their timeout."""
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
    """The answer of one streaming call; aborting it closes the connection.

    Parameters
    ----------
    url : str
        Where to call.
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
        """Close the connection, also one that is silent for good."""
        self._client.abort()

    def _receive(self, chunk: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        for line in filter(None, lines):
            self._lines.put_nowait(line)

    def _end(self, fetch: asyncio.Future[HTTPResponse]) -> None:
        # How it ended doesn't matter to the reader, who opens it again.
        fetch.exception()
        self._client.close()
        self._lines.put_nowait(None)


class _RequestBody:
    """A request body that remembers whether any of it was handed out.

    Without that, a failed connect and a lost answer would look alike, and a
    write that certainly never ran would have to be settled by reading. The
    producer is called only once the connection is up.
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
    """Remembers its streams, so that they can be closed."""

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
    """An HTTP client whose request can be ended from outside.

    Without that, each watch that went silent would leave a connection behind.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self.tcp_client = _TrackingTcpClient(resolver=self.resolver)

    def abort(self) -> None:
        self.tcp_client.abort()


def encode_key(key: str) -> str:
    """Return a key as the gateway's JSON carries it."""
    return base64.b64encode(key.encode()).decode()


def prefix_end(prefix: str) -> str:
    """Return the end of the range of keys that start with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _answer(response: HTTPResponse) -> dict[str, Any]:
    if response.code >= SERVER_ERROR:
        # The service may have run it and failed to tell, e.g. on a timeout
        # among its own replicas.
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
