"""Plain UDP flows, each with its own socket to the target."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from zinniahook_core.models import Address

__all__ = ["UdpFlows"]

MAX_FLOWS = 16 * 1024
"""Flows that an agent holds at a time; each uses a socket."""

MAX_READS_PER_WAKEUP = 32
"""Datagrams read from one flow per wake-up."""

MAX_DATAGRAM_BYTES = 65_535

REFUSED_SECONDS = 3.0
"""Seconds for which a refused datagram indicates that the target is down."""


class _Flow:
    """A flow's socket, its caller, and the entry to which answers go."""

    __slots__ = ("caller", "entry", "socket")

    def __init__(self, connected: socket.socket, caller: Address) -> None:
        self.socket = connected
        self.caller = caller
        self.entry = caller


class UdpFlows:
    """The plain UDP flows of an agent.

    Parameters
    ----------
    target : Address
        Address to which payloads are sent.
    answer : callable
        Called with the flow, caller, entry and payload of each answer.
    """

    def __init__(
        self, target: Address, answer: Callable[[bytes, Address, Address, bytes], None]
    ) -> None:
        self._target = target
        self._answer = answer
        self._by_flow: dict[bytes, _Flow] = {}
        self._loop = asyncio.get_running_loop()
        self._refused_at = float("-inf")

    def __len__(self) -> int:
        return len(self._by_flow)

    @property
    def refused(self) -> bool:
        """Whether the target's port was closed within `REFUSED_SECONDS`."""
        return self._loop.time() - self._refused_at < REFUSED_SECONDS

    def deliver(
        self, flow: bytes, caller: Address, entry: Address, payload: bytes
    ) -> bool:
        """Send a payload to the target; return False if it is lost."""
        found = self._by_flow.get(flow) or self._open(flow, caller)
        if found is None:
            return False
        found.entry = entry
        try:
            found.socket.send(payload)
        except ConnectionRefusedError:
            # An earlier payload reached a closed port; this one wasn't sent.
            self._refused_at = self._loop.time()
            return False
        except OSError:
            return False
        return True

    def end(self, flow: bytes) -> None:
        """Close a flow's socket."""
        found = self._by_flow.pop(flow, None)
        if found is not None:
            self._loop.remove_reader(found.socket.fileno())
            found.socket.close()

    def close(self) -> None:
        """Close the sockets of all flows."""
        for flow in list(self._by_flow):
            self.end(flow)

    def _open(self, flow: bytes, caller: Address) -> _Flow | None:
        if len(self._by_flow) >= MAX_FLOWS:
            return None
        family = socket.AF_INET6 if ":" in self._target.host else socket.AF_INET
        try:
            connected = socket.socket(family, socket.SOCK_DGRAM)
        except OSError:
            return None
        try:
            connected.setblocking(False)
            # A connected socket receives datagrams from the target only, and
            # reports a closed port.
            connected.connect(tuple(self._target))
        except OSError:
            connected.close()
            return None
        found = self._by_flow[flow] = _Flow(connected, caller)
        self._loop.add_reader(connected.fileno(), self._read, flow)
        return found

    def _read(self, flow: bytes) -> None:
        found = self._by_flow.get(flow)
        if found is None:
            return
        try:
            for _ in range(MAX_READS_PER_WAKEUP):
                payload = found.socket.recv(MAX_DATAGRAM_BYTES)
                self._answer(flow, found.caller, found.entry, payload)
        except ConnectionRefusedError:
            self._refused_at = self._loop.time()
        except OSError:
            # BlockingIOError ends the batch. Other errors count as packet loss.
            return
