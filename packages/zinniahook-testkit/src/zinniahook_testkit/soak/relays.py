"""Relays between daemons that delay, drop, duplicate and reorder datagrams.

Other daemons reach a daemon at its own IP address and the relays' port. The
relays forward datagrams from the sender's IP address, so that they seem to come
directly from the sender.
"""

from __future__ import annotations

import asyncio
import random
import socket
from typing import NamedTuple

__all__ = ["Disturbance", "Relays"]

MAX_DATAGRAM_BYTES = 65_536
DATAGRAMS_PER_READ = 64
"""Limit for one socket, so that the other sockets don't have to wait for long."""


class Disturbance(NamedTuple):
    """Faults of the datagrams between two daemons.

    ``lost`` and ``duplicated`` are shares; ``delay`` is the maximum delay in
    seconds. The delay is drawn for each datagram, so datagrams are reordered.
    """

    lost: float = 0.0
    duplicated: float = 0.0
    delay: float = 0.0


class Relays:
    """The relays of one deployment.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    port : int
        Port at which daemons reach each other.
    inner_port : int
        Port at which the daemons listen.
    out_port : int
        Source port of forwarded datagrams, at the sender's address. It is fixed,
        as a port picked by the system could be one that a daemon needs.
    """

    def __init__(
        self, rng: random.Random, port: int, inner_port: int, out_port: int
    ) -> None:
        self.disturbance = Disturbance()
        self.cut: set[tuple[str, str]] = set()
        """Pairs of sender and receiver whose datagrams are dropped, one way."""

        self._rng = rng
        self.port = port
        self._inner_port = inner_port
        self._out_port = out_port
        self._out_by_sender: dict[str, socket.socket] = {}
        self._sockets: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []

    async def add(self, address: str) -> None:
        """Start to relay to the daemon at an address."""
        opened = self._bind(address, self.port)
        asyncio.get_running_loop().add_reader(opened, self._read, opened, address)

        async def connected(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._forward_connection(reader, writer, address)

        server = await asyncio.start_server(connected, address, self.port)
        self._servers.append(server)

    def close(self) -> None:
        """Stop relaying."""
        for server in self._servers:
            server.close()
        for each in self._sockets:
            asyncio.get_running_loop().remove_reader(each)
            each.close()

    def _bind(self, address: str, port: int) -> socket.socket:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind((address, port))
        self._sockets.append(opened)
        return opened

    def _read(self, opened: socket.socket, address: str) -> None:
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data, (sender, _) = opened.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._disturb(sender, address, data)

    def _disturb(self, sender: str, address: str, data: bytes) -> None:
        now = self.disturbance
        if (sender, address) in self.cut or self._rng.random() < now.lost:
            return
        for _ in range(2 if self._rng.random() < now.duplicated else 1):
            delay = now.delay * self._rng.random()
            asyncio.get_running_loop().call_later(
                delay, self._forward, sender, address, data
            )

    def _forward(self, sender: str, address: str, data: bytes) -> None:
        out = self._out_by_sender.get(sender)
        if out is None:
            out = self._out_by_sender[sender] = self._bind(sender, self._out_port)
        try:
            out.sendto(data, (address, self._inner_port))
        except OSError:
            # No process listens at the address; a network would drop it too.
            return

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: str
    ) -> None:
        """Forward the bytes of a connection in both directions."""
        try:
            onward = await asyncio.open_connection(address, self._inner_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(_copy(reader, onward[1]), _copy(onward[0], writer))


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(MAX_DATAGRAM_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        return
    finally:
        writer.close()
