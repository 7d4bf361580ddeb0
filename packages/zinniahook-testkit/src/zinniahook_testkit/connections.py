"""Cost of open and new QUIC connections at an agent.

The same callers open the same connections to an agent, through a fabric and an
entry, and to a server built on aioquic's classes alone. Each connection requests
a small answer and stays open. Memory is the growth of the serving process, and
work is its processor time. Run ``python -m zinniahook_testkit.connections plain
CERTIFICATE KEY`` for the plain server alone.
"""

from __future__ import annotations

import asyncio
import json
import ssl
import sys
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import serve
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import QuicEvent
from zinniahook_core.models import Address, RequestClass

from .clusters import Cluster
from .deployments import Deployment, ServicePlan
from .processes import Process, start
from .scenarios import Figure, scenario

__all__ = ["Cost", "Stream", "measure", "measure_streams"]

PATH = "/ledger?size=1000"
MAX_CONCURRENT_OPENS = 8
WARMUP_CONNECTIONS = 16
IDLE_TIMEOUT_SECONDS = 300.0

PLAN = ServicePlan(
    name="ledger",
    number=1,
    targets=1,
    slots=64,
    classes=(RequestClass("export", "/ledger", queue=1024),),
)
DEPLOYMENT = Deployment("connections", ("thies-1",), 1, 0.0, (PLAN,))


class Cost(NamedTuple):
    """Cost of one connection: bytes while open, and processor seconds."""

    memory: float
    processor: float


class Client(QuicConnectionProtocol):
    """An ordinary HTTP/3 client."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._http = H3Connection(self._quic)
        self._ended = asyncio.Event()
        self._status = b""
        self.received = 0

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle an event of the connection."""
        for http_event in self._http.handle_event(event):
            if isinstance(http_event, HeadersReceived):
                self._status = dict(http_event.headers)[b":status"]
            elif isinstance(http_event, DataReceived):
                self.received += len(http_event.data)
            if http_event.stream_ended:
                self._ended.set()

    async def get(self, path: str = PATH) -> bytes:
        """Send a request and return the status of its answer."""
        names = {":method": "GET", ":scheme": "https", ":authority": "localhost"}
        headers = {**names, ":path": path}.items()
        stream_id = self._quic.get_next_available_stream_id()
        pairs = [(name.encode(), value.encode()) for name, value in headers]
        self._http.send_headers(stream_id, pairs, end_stream=True)
        self.transmit()
        await self._ended.wait()
        return self._status


class PlainServer(QuicConnectionProtocol):
    """Answers each request with the number of bytes that its path gives."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._http: H3Connection | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        """Answer a request."""
        self._http = self._http or H3Connection(self._quic)
        for http_event in self._http.handle_event(event):
            if isinstance(http_event, HeadersReceived):
                stream_id = http_event.stream_id
                self._http.send_headers(stream_id, [(b":status", b"200")])
                path = dict(http_event.headers)[b":path"]
                size = int(path.rpartition(b"=")[2])
                self._http.send_data(stream_id, bytes(size), end_stream=True)
                self.transmit()


async def _open(address: Address, count: int, stack: AsyncExitStack) -> None:
    """Open connections that last until the stack closes."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_OPENS)
    configuration = QuicConfiguration(
        alpn_protocols=["h3"],
        verify_mode=ssl.CERT_NONE,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
    )

    async def open_one() -> None:
        async with limit:
            client = await stack.enter_async_context(
                connect(*address, configuration=configuration, create_protocol=Client)
            )
            status = await client.get()
            if status != b"200":
                raise RuntimeError(f"a request ended with status {status!r}")

    await asyncio.gather(*(open_one() for _ in range(count)))


async def cost(process: Process, address: Address, count: int) -> Cost:
    """Return the cost per connection of a process over ``count`` new connections."""
    async with AsyncExitStack() as stack:
        await _open(address, WARMUP_CONNECTIONS, stack)
        memory, processor = process.resident(), process.processor_time()
        await _open(address, count, stack)
        return Cost(
            (process.resident() - memory) / count,
            (process.processor_time() - processor) / count,
        )


async def _measure(count: int) -> tuple[Cost, Cost]:
    with tempfile.TemporaryDirectory() as folder:
        async with Cluster(DEPLOYMENT, Path(folder)) as cluster:
            address = Address.parse(cluster.addresses_by_service[PLAN.name])
            agent = await cost(cluster.agents_by_name["ledger-1"], address, count)
            files = cluster.authority.issue("plain")
        arguments = ("plain", files.certificate, files.key)
        with start("zinniahook_testkit.connections", *arguments) as process:
            address = Address.parse(process.ready["address"])
            return agent, await cost(process, address, count)


@scenario("agent-connections")
def measure(count: int = 300) -> list[Figure]:
    """Compare an agent's connections with those of a plain aioquic server."""
    agent, plain = asyncio.run(_measure(count))
    return [
        Figure("bytes per open connection", agent.memory, "B"),
        Figure("bytes per open connection, plain aioquic", plain.memory, "B"),
        Figure("memory against plain aioquic", agent.memory / plain.memory, "ratio"),
        Figure("processor per connection", agent.processor, "s"),
        Figure("new connections on one core", 1 / agent.processor, "1/s"),
        Figure(
            "processor against plain aioquic",
            agent.processor / plain.processor,
            "ratio",
        ),
    ]


class Stream(NamedTuple):
    """One long answer: bytes per second, and processor seconds of the server."""

    rate: float
    processor: float


async def stream(process: Process, address: Address, size: int) -> Stream:
    """Measure one answer of ``size`` bytes.

    Raises
    ------
    RuntimeError
        If the answer is incomplete.
    """
    configuration = QuicConfiguration(
        alpn_protocols=["h3"],
        verify_mode=ssl.CERT_NONE,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
    )
    async with connect(
        *address, configuration=configuration, create_protocol=Client
    ) as client:
        processor, started = process.processor_time(), time.monotonic()
        await client.get(f"/ledger?size={size}")
        seconds = time.monotonic() - started
        if client.received != size:
            raise RuntimeError(f"{client.received} of {size} bytes came")
        return Stream(size / seconds, process.processor_time() - processor)


async def _measure_streams(size: int) -> tuple[Stream, Stream]:
    with tempfile.TemporaryDirectory() as folder:
        async with Cluster(DEPLOYMENT, Path(folder)) as cluster:
            address = Address.parse(cluster.addresses_by_service[PLAN.name])
            agent = await stream(cluster.agents_by_name["ledger-1"], address, size)
            files = cluster.authority.issue("plain")
        arguments = ("plain", files.certificate, files.key)
        with start("zinniahook_testkit.connections", *arguments) as process:
            address = Address.parse(process.ready["address"])
            return agent, await stream(process, address, size)


@scenario("agent-stream")
def measure_streams(size: int = 20_000_000) -> list[Figure]:
    """Compare a long answer through the whole path with one from plain aioquic."""
    agent, plain = asyncio.run(_measure_streams(size))
    return [
        Figure("bytes a second through the path", agent.rate, "B/s"),
        Figure("bytes a second, plain aioquic", plain.rate, "B/s"),
        Figure("rate against plain aioquic", agent.rate / plain.rate, "ratio"),
        Figure(
            "processor against plain aioquic",
            agent.processor / plain.processor,
            "ratio",
        ),
    ]


async def _serve_plain(certificate: str, key: str) -> None:
    configuration = QuicConfiguration(
        alpn_protocols=["h3"], is_client=False, idle_timeout=IDLE_TIMEOUT_SECONDS
    )
    configuration.load_cert_chain(certificate, key)
    server = await serve(
        "127.0.0.1", 0, configuration=configuration, create_protocol=PlainServer
    )
    host, port = server._transport.get_extra_info("sockname")[:2]
    print(json.dumps({"ready": {"address": f"{host}:{port}"}}), flush=True)
    await asyncio.Event().wait()


def main(arguments: Sequence[str]) -> None:
    """Run the plain server, or print the figures."""
    if arguments[:1] == ["plain"]:
        asyncio.run(_serve_plain(*arguments[1:]))
        return
    for figure in measure():
        print(f"{figure.name}: {figure.value:.4g} {figure.unit}")


if __name__ == "__main__":
    main(sys.argv[1:])
