"""Test helpers: an agent's connections between an HTTP/3 client and a target."""

from __future__ import annotations

import asyncio
import itertools
import ssl

import tornado.web
from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import StreamReset
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from zinniahook_core.codes import Code, OutcomeKind
from zinniahook_core.models import Address
from zinniahook_core.routing import destination_of
from zinniahook_daemon.connections import Connections
from zinniahook_daemon.http3 import Http3Session
from zinniahook_daemon.sockets import UdpSocket
from zinniahook_daemon.targets import Result, Target

TIMEOUT_SECONDS = 20.0
NOWHERE = Address("0.0.0.0", 0)


@tornado.web.stream_request_body
class Echo(tornado.web.RequestHandler):
    """Records requests; ``gate`` pauses the reading of bodies."""

    def initialize(self, seen: dict) -> None:
        self.seen = seen
        self.size = 0

    async def data_received(self, chunk: bytes) -> None:
        self.size += len(chunk)
        self.seen["body"] = self.size
        await self.seen["gate"].wait()

    def on_connection_close(self) -> None:
        self.seen["gone"].set()

    def post(self) -> None:
        self.seen["headers"] = self.request.headers
        self.write({"size": self.size})

    async def get(self) -> None:
        self.seen["headers"] = self.request.headers
        size = int(self.get_query_argument("size", "5"))
        self.set_header("Content-Length", str(size))
        self.set_header("Connection", "close")
        for offset in range(0, size, 65536):
            self.write(bytes(min(65536, size - offset)))
            await self.flush()
            self.seen["sent"] = offset
        self.seen["whole"] = True

    async def delete(self) -> None:
        self.seen["deleting"].set()
        await self.seen["gone"].wait()

    def put(self) -> None:
        self.set_status(503)
        self.set_header("Retry-After", "0.25")
        self.set_header("zinniahook-outcome", "not-run")


class Owner:
    """A request handler that runs each request at the target at once."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self.results: asyncio.Queue[Result] = asyncio.Queue()
        self.codes: list[Code] = []
        self.tasks_by_number: dict[int, asyncio.Task] = {}

    def classify(self, path: str) -> str:
        return ""

    def arrived(self, exchange) -> None:
        task = asyncio.ensure_future(self.run(exchange))
        self.tasks_by_number[exchange.number] = task

    async def run(self, exchange) -> None:
        result = await self.target.run(exchange)
        if result.outcome.kind is not OutcomeKind.DONE:
            exchange.refuse(result.outcome)
        self.results.put_nowait(result)

    def cancelled(self, exchange) -> None:
        self.tasks_by_number[exchange.number].cancel()

    def refused(self, code: Code) -> None:
        self.codes.append(code)


class PlainClient(QuicConnectionProtocol):
    """An HTTP/3 client that uses aioquic's classes only."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.http = H3Connection(self._quic)
        self.events: asyncio.Queue = asyncio.Queue()

    def quic_event_received(self, event) -> None:
        if isinstance(event, StreamReset):
            self.events.put_nowait(event)
        for http_event in self.http.handle_event(event):
            self.events.put_nowait(http_event)

    def ask(self, method: str, path: str, *headers, end: bool = True) -> int:
        stream_id = self._quic.get_next_available_stream_id()
        pairs = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"localhost"),
            (b":path", path.encode()),
            *headers,
        ]
        self.http.send_headers(stream_id, pairs, end_stream=end)
        self.transmit()
        return stream_id

    async def answer(self) -> tuple[dict[bytes, bytes], bytes]:
        headers, body = {}, bytearray()
        while True:
            event = await asyncio.wait_for(self.events.get(), TIMEOUT_SECONDS)
            if isinstance(event, HeadersReceived):
                headers = dict(event.headers)
            elif isinstance(event, DataReceived):
                body += event.data
            if event.stream_ended:
                return headers, bytes(body)


class Bench:
    """An agent's connections on a UDP socket, and a target."""

    def __init__(self, configuration: QuicConfiguration) -> None:
        self.seen = {
            "gate": asyncio.Event(),
            "gone": asyncio.Event(),
            "deleting": asyncio.Event(),
            "sent": 0,
        }
        self.seen["gate"].set()
        application = tornado.web.Application([("/.*", Echo, {"seen": self.seen})])
        self.server = HTTPServer(application)
        (listener,) = bind_sockets(0, "127.0.0.1")
        self.server.add_socket(listener)
        self.target = Target(Address(*listener.getsockname()))
        self.owner = Owner(self.target)
        self.socket = UdpSocket(Address("127.0.0.1", 0), self.receive)
        numbers = itertools.count()
        self.connections = Connections(
            configuration,
            lambda: next(numbers).to_bytes(17, "big"),
            lambda connection, data, caller: self.socket.send(data, caller),
            lambda connection: Http3Session(
                connection, self.owner, self.connections.touch
            ),
            lambda connection: None,
            lambda connection: None,
        )

    def receive(self, datagram: bytes, source: tuple) -> None:
        _, connection_id = destination_of(datagram)
        connection = self.connections.by_id.get(connection_id)
        if connection is None:
            connection = self.connections.open(connection_id)
        self.connections.receive(connection, datagram, Address(*source), NOWHERE)

    def client(self):
        configuration = QuicConfiguration(
            alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
        )
        return connect(
            *self.socket.address,
            configuration=configuration,
            create_protocol=PlainClient,
        )

    @property
    def session(self) -> Http3Session:
        (connection,) = self.connections
        return connection.session
