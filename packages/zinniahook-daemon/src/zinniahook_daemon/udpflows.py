"""Plain UDP flows: one socket towards the target for each."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from zinniahook_core.models import Address

from .sockets import UdpSocket

__all__ = ["UdpFlows"]

FLOWS = 16 * 1024
"""Flows an agent holds at a time; each is a socket of the process."""


class _Flow:
    """One flow and the way its answers go."""

    __slots__ = ("caller", "entry", "socket")

    def __init__(self, socket: UdpSocket, caller: Address) -> None:
        self.socket = socket
        self.caller = caller
        self.entry = caller


class UdpFlows:
    """The plain UDP flows of an agent.

    Parameters
    ----------
    target : Address
        Where payloads go.
    answer : callable
        Called with flow, caller, entry and payload of each answer.
    """

    def __init__(
        self, target: Address, answer: Callable[[bytes, Address, Address, bytes], None]
    ) -> None:
        self._target = target
        self._answer = answer
        self._by_flow: dict[bytes, _Flow] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def deliver(
        self, flow: bytes, caller: Address, entry: Address, payload: bytes
    ) -> bool:
        """Give a payload to the target; False if there is no socket for it."""
        found = self._by_flow.get(flow) or self._open(flow, caller)
        if found is None:
            return False
        found.entry = entry
        return found.socket.send(payload, self._target)

    def end(self, flow: bytes) -> None:
        """Release a flow."""
        found = self._by_flow.pop(flow, None)
        if found is not None:
            found.socket.close()

    def close(self) -> None:
        """Release every flow."""
        for flow in list(self._by_flow):
            self.end(flow)

    def _open(self, flow: bytes, caller: Address) -> _Flow | None:
        if len(self._by_flow) >= FLOWS:
            return None
        host = "::" if ":" in self._target.host else "0.0.0.0"
        try:
            socket = UdpSocket(Address(host, 0), partial(self._receive, flow))
        except OSError:
            return None
        found = self._by_flow[flow] = _Flow(socket, caller)
        return found

    def _receive(self, flow: bytes, payload: bytes, source: tuple) -> None:
        found = self._by_flow.get(flow)
        # The port is open to the whole machine; only the target may answer.
        if found is None or Address(source[0], source[1]) != self._target:
            return
        self._answer(flow, found.caller, found.entry, payload)
