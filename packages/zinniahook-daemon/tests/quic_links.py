"""Test helpers: callers and an agent's connections in one process."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from zinniahook_core.codes import Code
from zinniahook_core.models import Address, Key
from zinniahook_core.routing import ConnectionIds, Owner, destination_of
from zinniahook_daemon.connections import Connections
from zinniahook_daemon.openings import Openings, RetryTokens
from zinniahook_daemon.quic import ServerConnection

TIMEOUT_SECONDS = 20.0
ENTRY = Address("127.0.1.1", 4433)
OWNER = Owner(7, Address("10.1.2.3", 4000), 99)


class RecordingSession:
    """A session that records its events and sends nothing."""

    busy = False

    def __init__(self) -> None:
        self.events: list[events.QuicEvent] = []
        self.has_ended = False

    def handle(self, event: events.QuicEvent) -> None:
        self.events.append(event)

    def flushed(self) -> None:
        pass

    def expire(self, now: float) -> None:
        pass

    def ended(self) -> None:
        self.has_ended = True


class Caller:
    """aioquic's own client; its datagrams come from ``address``."""

    def __init__(self, link: Link, address: Address) -> None:
        configuration = QuicConfiguration(
            alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE, server_name="localhost"
        )
        self.link = link
        self.quic = QuicConnection(configuration=configuration)
        self.address = address
        self.events: list[events.QuicEvent] = []
        self.quic.connect(("service", 443), link.now())
        self.send()

    def send(self) -> None:
        for datagram, _ in self.quic.datagrams_to_send(self.link.now()):
            self.link.to_agent(datagram, self.address)

    def receive(self, datagram: bytes) -> None:
        self.quic.receive_datagram(datagram, ("service", 443), self.link.now())
        while (event := self.quic.next_event()) is not None:
            self.events.append(event)
        self.send()

    def has(self, kind: type) -> bool:
        return any(isinstance(event, kind) for event in self.events)


class Link:
    """Delivers datagrams between callers and `Connections` in one process."""

    def __init__(self, configuration: QuicConfiguration) -> None:
        key = Key(3, bytes(range(32)))
        self.ids = ConnectionIds({3: key}, 3, random.Random(5))
        self.loop = asyncio.get_running_loop()
        self.callers: list[Caller] = []
        self.sent_by_address: dict[Address, int] = {}
        self.received_by_address: dict[Address, int] = {}
        self.destinations: set[bytes] = set()
        self.silent = False
        self.handshakes = 0
        self.openings = Openings(
            configuration.supported_versions,
            lambda: self.ids.encode(OWNER),
            self.answer,
        )
        self.openings.tokens = RetryTokens(key)
        self.refusals: list[Code] = []
        self.closed: list[ServerConnection] = []
        self.unanswered: list[ServerConnection] = []
        self._moved = asyncio.Event()
        self.connections = Connections(
            configuration,
            lambda: self.ids.encode(OWNER),
            self.to_caller,
            lambda connection: RecordingSession(),
            self.closed.append,
            self.unanswered.append,
        )

    def now(self) -> float:
        return self.loop.time()

    def call(self, port: int = 5000) -> Caller:
        caller = Caller(self, Address("127.0.0.9", port))
        self.callers.append(caller)
        return caller

    def to_agent(self, datagram: bytes, source: Address) -> None:
        self._moved.set()
        size = self.received_by_address.get(source, 0) + len(datagram)
        self.received_by_address[source] = size
        _, connection_id = destination_of(datagram)
        self.destinations.add(connection_id)
        connection = self.connections.by_id.get(connection_id)
        if connection is None:
            opening = self.openings.check(datagram, source, self.handshakes, False)
            if isinstance(opening, Code):
                self.refusals.append(opening)
                return
            connection = self.connections.open(*opening)
        self.connections.receive(connection, datagram, source, ENTRY)

    def to_caller(
        self, connection: ServerConnection, datagram: bytes, address: Address
    ) -> None:
        self.answer(datagram, address)

    def answer(self, datagram: bytes, address: Address) -> None:
        size = self.sent_by_address.get(address, 0) + len(datagram)
        self.sent_by_address[address] = size
        self._moved.set()
        for caller in self.callers:
            if not self.silent and caller.address == address:
                self.loop.call_soon(caller.receive, datagram)

    async def until(self, condition: Callable[[], bool]) -> None:
        deadline = self.now() + TIMEOUT_SECONDS
        while not condition():
            assert self.now() < deadline, "the condition didn't come true"
            self._moved.clear()
            timers = [caller.quic.get_timer() for caller in self.callers]
            wait = max(0.0, min(filter(None, [*timers, deadline])) - self.now())
            try:
                await asyncio.wait_for(self._moved.wait(), wait)
            except TimeoutError:
                for caller in self.callers:
                    caller.quic.handle_timer(self.now())
                    caller.send()

    async def connect(self, port: int = 5000) -> tuple[Caller, ServerConnection]:
        caller = self.call(port)
        await self.until(lambda: caller.quic._handshake_confirmed)
        (connection,) = (
            each for each in self.connections if each.caller == caller.address
        )
        return caller, connection


def run(configuration: QuicConfiguration, scenario) -> None:
    async def main() -> None:
        await scenario(Link(configuration))

    asyncio.run(main())
