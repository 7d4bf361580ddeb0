"""TCP proxy that injects faults between two processes.

Run ``python -m zinniahook_testkit.faults UPSTREAM``. When ready it prints
``{"ready": {"address": ..., "admin": ...}}``. The admin address takes::

    POST /faults    any fields of `ProxyFaults`; the others stay unchanged
    POST /silence   {"direction": "up", "down" or "both"}: open connections
                    forward no more bytes this way, for good; new ones work
    POST /cut       reset the open connections
    GET  /state     faults, accepted and open connections, bytes forwarded each way

"up" is from the connecting side to the upstream. `start` runs it as a process
for tests.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from typing import Any, NamedTuple

import defopt
import tornado.web
from zinniahook_core.models import Address

from . import processes, standins

__all__ = ["ProxyFaults", "ProxyProcess", "main", "start"]

READ_BYTES = 65536
MAX_QUEUED_CHUNKS = 64
"""Limit on the chunks in transit in one direction; reading stops at it."""

DIRECTIONS = {"up": {"up"}, "down": {"down"}, "both": {"up", "down"}, "": set()}

LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends a reset."""


class ProxyFaults(NamedTuple):
    """The injected faults of the proxy.

    Attributes
    ----------
    delay : float
        Delay of each chunk in each direction, in seconds.
    hang : bool
        Chunks are held back while this is set, and forwarded afterwards.
    refuse : bool
        New connections are refused.
    silent : str
        Direction in which connections opened while this is set forward nothing,
        for good.
    """

    delay: float = 0.0
    hang: bool = False
    refuse: bool = False
    silent: str = ""


class Connection:
    """One connection and its two directions."""

    def __init__(self, proxy: Proxy, down: asyncio.StreamWriter) -> None:
        self.silent = set(DIRECTIONS[proxy.faults.silent])
        self._proxy = proxy
        self._writers = [down]

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Forward bytes until either side ends the connection."""
        host, port = self._proxy.upstream
        try:
            upstream, writer = await asyncio.open_connection(host, port)
        except OSError:
            self.reset()
            return
        self._writers.append(writer)
        forwarding = [
            asyncio.ensure_future(self._forward("up", reader, writer)),
            asyncio.ensure_future(self._forward("down", upstream, self._writers[0])),
        ]
        try:
            await asyncio.gather(*forwarding)
        except OSError:
            self.reset()
        finally:
            for task in forwarding:
                task.cancel()
            for writer in self._writers:
                writer.close()

    def reset(self) -> None:
        """End both sides with a reset."""
        for writer in self._writers:
            end = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    async def _forward(
        self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # With a queue between reading and writing, a delay applies to each
        # chunk without limiting the number of chunks in transit.
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        writing = asyncio.ensure_future(self._write(direction, chunks, writer))
        try:
            while True:
                data = await reader.read(READ_BYTES)
                due = asyncio.get_running_loop().time() + self._proxy.faults.delay
                await chunks.put((due, data))
                if not data:
                    break
            await writing
        finally:
            writing.cancel()

    async def _write(
        self,
        direction: str,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await chunks.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            await self._proxy.unblocked.wait()
            if direction in self.silent:
                # The end of the stream is dropped too, as the other side must
                # not notice that the connection is dead.
                if not data:
                    await asyncio.Event().wait()
                continue
            if not data:
                writer.write_eof()
                return
            self._proxy.bytes_by_direction[direction] += len(data)
            writer.write(data)
            await writer.drain()


class Proxy:
    """The listening socket with its faults and connections."""

    def __init__(self, upstream: Address, host: str, port: int) -> None:
        self.upstream = upstream
        self.faults = ProxyFaults()
        self.address = Address(host, port)
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.bytes_by_direction = {"up": 0, "down": 0}
        self.unblocked = asyncio.Event()
        self.unblocked.set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections, always on the same address."""
        host, port = self.address
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    async def set_faults(self, faults: ProxyFaults) -> None:
        """Set the faults and apply their effects."""
        self.faults = faults
        if faults.hang:
            self.unblocked.clear()
        else:
            self.unblocked.set()
        if faults.refuse and self._server is not None:
            self._server.close()
            self._server = None
        elif not faults.refuse and self._server is None:
            await self.listen()

    def silence(self, direction: str) -> None:
        """Make the open connections silent for good."""
        for connection in self.connections:
            connection.silent |= DIRECTIONS[direction]

    def cut(self) -> None:
        """Reset the open connections."""
        for connection in list(self.connections):
            connection.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(self, writer)
        self.accepted += 1
        self.connections.add(connection)
        try:
            await connection.run(reader)
        except asyncio.CancelledError:
            # Tasks are cancelled only when the process ends; asyncio's streams
            # would then print a traceback for each connection.
            pass
        finally:
            self.connections.discard(connection)


class AdminHandler(tornado.web.RequestHandler):
    """Controls the proxy over HTTP."""

    def initialize(self, proxy: Proxy) -> None:
        """Store the proxy to control."""
        self.proxy = proxy

    def get(self, action: str) -> None:
        """Return the state."""
        proxy = self.proxy
        self.finish(
            {
                "faults": proxy.faults._asdict(),
                "open": len(proxy.connections),
                "taken": proxy.accepted,
                "bytes": proxy.bytes_by_direction,
            }
        )

    async def post(self, action: str) -> None:
        """Change the faults, or silence or reset the open connections."""
        fields = json.loads(self.request.body)
        try:
            if action == "faults":
                await self._set_faults(fields)
            elif action == "silence":
                self.proxy.silence(fields.get("direction", "both"))
            elif action == "cut":
                self.proxy.cut()
        except (KeyError, ValueError) as error:
            raise tornado.web.HTTPError(400, str(error)) from None
        self.get(action)

    async def _set_faults(self, fields: dict[str, Any]) -> None:
        faults = self.proxy.faults._replace(**fields)
        if faults.silent not in DIRECTIONS:
            raise ValueError(f"no direction: {faults.silent}")
        await self.proxy.set_faults(faults)


class ProxyProcess(processes.StandIn):
    """A process of the proxy, controlled by tests."""

    def __init__(self, process: processes.Process) -> None:
        super().__init__(process)
        self.address: str = process.ready["address"]

    def set_faults(self, **fields: Any) -> None:
        """Change some fields of `ProxyFaults`."""
        self.post("faults", **fields)

    def silence(self, direction: str = "both") -> None:
        """Make the open connections silent for good."""
        self.post("silence", direction=direction)

    def cut(self) -> None:
        """Reset the open connections."""
        self.post("cut")


def start(upstream: str) -> ProxyProcess:
    """Run a proxy in front of ``upstream`` (host:port) as a process."""
    return ProxyProcess(processes.start("zinniahook_testkit.faults", upstream))


async def serve(upstream: Address, host: str, port: int) -> None:
    """Serve until SIGTERM."""
    proxy = Proxy(upstream, host, port)
    await proxy.listen()
    routes = [(r"/(faults|silence|cut|state)", AdminHandler, {"proxy": proxy})]
    await standins.serve(routes, host, address=str(proxy.address))
    proxy.cut()


def main(upstream: str, *, host: str = "127.0.0.1", port: int = 0) -> None:
    """Run a TCP proxy that injects faults.

    Parameters
    ----------
    upstream : str
        Where connections go to, as host:port.
    host : str
        Loopback address to listen on.
    port : int
        Port to listen on; 0 lets the system choose.
    """
    asyncio.run(serve(Address.parse(upstream), host, port))


if __name__ == "__main__":
    defopt.run(main)
