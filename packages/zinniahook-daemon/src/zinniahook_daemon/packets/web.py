"""A small HTTP/1.1 server and client for processes that must start fast.

After all processes were killed, callers wait until they run again, and most of that
time is spent on imports. An agent's imports take 103 ms with Tornado's HTTP classes,
and 71 ms with h11 on the event loop's own transports (processor time above that of the
bare interpreter, minimum of 25 starts).
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import h11
from zinniahook_core.models import Address

__all__ = ["Answer", "Client", "ClientError", "Handler", "Route", "Server"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
TOO_LARGE = 413

MAX_BODY_BYTES = 16 << 20
"""Largest body. The store's largest value is one megabyte, a page of its results is up
to as much, and base64 adds a third."""

BACKLOG = 128
"""Connections that may wait to be accepted; a daemon has fewer clients."""

READ_BYTES = 64 << 10
JSON = "application/json"


class Answer(NamedTuple):
    """A response, sent or received."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: Mapping[bytes, bytes] = MappingProxyType({})
    """Headers of a received response by their names in lower case."""


Handler = Callable[[re.Match[str], bytes], Answer]


class Route(NamedTuple):
    """A method, a pattern that must match the whole path, and the handler."""

    method: str
    path: re.Pattern[str]
    handler: Handler


class ClientError(Exception):
    """A call got no response: it was refused, reset, malformed, or timed out."""


class Server:
    """Serves HTTP routes at an address.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 picks a free one.
    routes : iterable of Route
        The routes to serve; any other request is answered with 404.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    def __init__(self, address: Address, routes: Iterable[Route]) -> None:
        self.connections: set[_Connection] = set()
        self._routes = tuple(routes)
        listener = socket.create_server(tuple(address), backlog=BACKLOG)
        self.address = Address(*listener.getsockname()[:2])
        loop = asyncio.get_running_loop()
        self._starting = asyncio.ensure_future(
            loop.create_server(lambda: _Connection(self), sock=listener)
        )

    def answer(self, method: str, path: str, body: bytes) -> Answer:
        """Return the response to a request."""
        for known, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match and known == method:
                return handler(match, body)
        return Answer(NOT_FOUND)

    async def close(self) -> None:
        """Stop listening, and close open connections."""
        (await self._starting).close()
        for connection in list(self.connections):
            connection.close()


class _Connection(asyncio.Protocol):
    """A server's connection, which handles one request after the other."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the server."""
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and answer complete requests."""
        self._http.receive_data(data)
        try:
            self._process_events()
        except h11.RemoteProtocolError:
            self._refuse(BAD_REQUEST)

    def close(self) -> None:
        """Close the connection after its buffered data is sent."""
        self._transport.close()

    def _process_events(self) -> None:
        while not self._transport.is_closing():
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    self._refuse(TOO_LARGE)
            elif isinstance(event, h11.EndOfMessage):
                self._respond()
            else:
                self.close()

    def _respond(self) -> None:
        method = self._request.method.decode("ascii")
        path = self._request.target.decode("ascii").partition("?")[0]
        body = bytes(self._body)
        self._body.clear()
        self._write(self._server.answer(method, path, body))
        if self._http.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            self._http.start_next_cycle()

    def _refuse(self, status: int) -> None:
        """Reject a request that can't be served, and close the connection."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(Answer(status))
        self.close()

    def _write(self, answer: Answer) -> None:
        headers = [("Content-Length", str(len(answer.body)))]
        if answer.body:
            headers.append(("Content-Type", answer.content_type))
        head = h11.Response(status_code=answer.status, headers=headers)
        parts = [self._http.send(head)]
        if answer.body:
            parts.append(self._http.send(h11.Data(data=answer.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))


class _Stream:
    """A connection of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    @property
    def is_open(self) -> bool:
        """Whether another call may use the connection."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    def close(self) -> None:
        """Close the connection, and discard unsent data."""
        self._writer.transport.abort()

    async def exchange(
        self, host: str, method: str, path: str, body: bytes
    ) -> Answer | None:
        """Make one call; return None if the response is incomplete or too large."""
        headers = [("Host", host), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", JSON))
        head = h11.Request(method=method, target=path, headers=headers)
        parts = [self._http.send(head)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._writer.write(b"".join(parts))
        answer = await self._read()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()
        return answer

    async def _read(self) -> Answer | None:
        status, chunks, size = 0, [], 0
        headers: dict[bytes, bytes] = {}
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                content_type = headers.get(b"content-type", b"").decode()
                return Answer(status, b"".join(chunks), content_type, headers)
            elif isinstance(event, h11.ConnectionClosed):
                return None


class Client:
    """Calls one server, and reuses idle connections.

    Parameters
    ----------
    address : Address
        IP address and port of the server.
    timeout : float
        Seconds for a whole call, connecting included.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        self._address = address
        self._timeout = timeout
        self._idle: list[_Stream] = []

    async def call(self, method: str, path: str, body: bytes = b"") -> Answer:
        """Make a call and return its response, whatever its status.

        A connection on which a call failed or timed out isn't used again.

        Raises
        ------
        ClientError
            If there is no complete response in time.
        """
        stream = self._take_idle()
        try:
            async with asyncio.timeout(self._timeout):
                stream = stream or _Stream(
                    *await asyncio.open_connection(*self._address)
                )
                answer = await stream.exchange(str(self._address), method, path, body)
        except (TimeoutError, OSError, h11.ProtocolError) as error:
            if stream is not None:
                stream.close()
            raise ClientError(f"{self._address}: {error!r}") from None
        if answer is None:
            stream.close()
            raise ClientError(f"{self._address}: incomplete or too large response")
        self._idle.append(stream)
        return answer

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> _Stream | None:
        while self._idle:
            stream = self._idle.pop()
            if stream.is_open:
                return stream
            stream.close()
        return None
