"""Non-blocking UDP sockets on the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from zinniahook_core.models import Address

__all__ = ["UdpSocket"]

MAX_READS_PER_WAKEUP = 64
"""Datagrams read per wake-up, so that a flood can't block the event loop."""

BUFFER_BYTES = 4 << 20
"""Kernel buffer to request for each direction; the kernel may grant less."""

MAX_DATAGRAM_BYTES = 65_535


class UdpSocket:
    """A bound UDP socket whose datagrams go to a callback.

    Parameters
    ----------
    address : Address
        Address to bind; port 0 selects a free port.
    receive : callable
        Called with each datagram (bytes) and its source, a tuple that starts
        with host and port. It must not raise.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    # An entry has a socket for each of thousands of services.
    __slots__ = ("_loop", "_receive", "_socket", "address")

    def __init__(
        self, address: Address, receive: Callable[[bytes, tuple], None]
    ) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._receive = receive
        self._loop = asyncio.get_running_loop()
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            self._socket.bind(tuple(address))
        except OSError:
            self._socket.close()
            raise
        self.address = Address(*self._socket.getsockname()[:2])
        self._loop.add_reader(self._socket.fileno(), self._read)

    def send(self, data: bytes, destination: tuple) -> bool:
        """Send one datagram without blocking.

        Returns
        -------
        bool
            False if the kernel's buffer is full or it refused the destination. The
            datagram is then lost, as it may be anywhere on its path.
        """
        try:
            self._socket.sendto(data, destination)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _read(self) -> None:
        """Read waiting datagrams, at most `MAX_READS_PER_WAKEUP`."""
        receive_from = self._socket.recvfrom
        receive = self._receive
        # An earlier datagram that reached a closed port is reported here as
        # ECONNREFUSED. It isn't a fault of this socket, but the exception would make
        # the event loop remove the reader. BlockingIOError ends the batch.
        with contextlib.suppress(OSError):
            for _ in range(MAX_READS_PER_WAKEUP):
                data, source = receive_from(MAX_DATAGRAM_BYTES)
                receive(data, source)
