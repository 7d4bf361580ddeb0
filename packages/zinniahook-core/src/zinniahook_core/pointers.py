"""Pointers from the home of a flow to its owner.

When an agent joins or leaves, the home of an established flow moves. Without
pointers the new home would open the flow again at another target, and the caller's
stream would restart. Each owner therefore sends pointers to the new home, in
batches that are repeated until confirmed.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from xxhash import xxh32_intdigest

from .effects import SendPeer
from .homes import Home
from .messages import FlowAnswer, FlowPointers

__all__ = ["Pointer", "PointerSender", "Pointers", "confirmation"]

POINTERS_LIMIT = 65536
BATCH_BYTES = 1000
FLOW_OVERHEAD_BYTES = 2
BATCHES_PER_ROUND = 4
ROUND_SECONDS = 0.5


class Pointer(NamedTuple):
    """The owner of a flow, valid until ``until``.

    The opening itself may have been lost before ``handed_until``, so until then
    forwarded datagrams are marked as handed over again.
    """

    owner: str
    incarnation: int
    until: float
    handed_until: float = 0.0


class Pointers:
    """A bounded table of pointers that evicts the least recently renewed."""

    def __init__(self, limit: int = POINTERS_LIMIT) -> None:
        self._limit = limit
        self._by_flow: OrderedDict[bytes, Pointer] = OrderedDict()
        self.evicted = 0

    def __len__(self) -> int:
        return len(self._by_flow)

    def get(self, flow: bytes) -> Pointer | None:
        """Return the pointer of ``flow``, or None."""
        return self._by_flow.get(flow)

    def put(self, flow: bytes, pointer: Pointer) -> None:
        """Set or renew the pointer of ``flow``."""
        self._by_flow[flow] = pointer
        self._by_flow.move_to_end(flow)
        if len(self._by_flow) > self._limit:
            self._by_flow.popitem(last=False)
            self.evicted += 1

    def drop(self, flow: bytes) -> None:
        """Remove the pointer of ``flow``, if any."""
        self._by_flow.pop(flow, None)

    def expire(self, now: float, limit: int) -> None:
        """Remove up to ``limit`` expired pointers, oldest first."""
        for _ in range(min(limit, len(self._by_flow))):
            flow, pointer = next(iter(self._by_flow.items()))
            if pointer.until > now:
                return
            del self._by_flow[flow]

    def clear(self) -> None:
        """Remove every pointer."""
        self._by_flow.clear()


def confirmation(message: FlowPointers) -> FlowAnswer:
    """Return the confirmation of ``message``: an answer that names no flow."""
    return FlowAnswer(_digest(message.flows), b"", message.owner)


def _digest(flows: tuple[bytes, ...]) -> int:
    return xxh32_intdigest(b"".join(flows))


@dataclass(slots=True)
class UnconfirmedFlows:
    """Flows whose pointers one home hasn't confirmed yet."""

    flows: dict[bytes, None] = field(default_factory=dict)
    batches_by_digest: dict[int, tuple[bytes, ...]] = field(default_factory=dict)


class PointerSender:
    """Sends pointers to homes until they are confirmed.

    Parameters
    ----------
    owner : str
        The name of this agent, which owns the flows.
    """

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._unconfirmed_by_home: dict[Home, UnconfirmedFlows] = {}
        self._next_round = 0.0

    def enqueue(self, home: Home, flow: bytes) -> None:
        """Queue a pointer of ``flow`` for ``home``."""
        self._unconfirmed_by_home.setdefault(home, UnconfirmedFlows()).flows[flow] = (
            None
        )

    def forget(self, home: Home, flow: bytes) -> None:
        """Drop the pointer of a flow that ended or has another home now."""
        unconfirmed = self._unconfirmed_by_home.get(home)
        if unconfirmed is None:
            return
        unconfirmed.flows.pop(flow, None)
        if not unconfirmed.flows:
            del self._unconfirmed_by_home[home]

    def confirmed(self, sender: str, message: FlowAnswer) -> None:
        """Handle the confirmation of a batch."""
        for home, unconfirmed in list(self._unconfirmed_by_home.items()):
            if home.name != sender:
                continue
            for flow in unconfirmed.batches_by_digest.pop(message.number, ()):
                unconfirmed.flows.pop(flow, None)
            if not unconfirmed.flows:
                del self._unconfirmed_by_home[home]

    def send(self, now: float, incarnation: int) -> list[SendPeer]:
        """Return the batches that are due. Call this on every tick."""
        if now < self._next_round or not self._unconfirmed_by_home:
            return []
        self._next_round = now + ROUND_SECONDS
        effects: list[SendPeer] = []
        for home, unconfirmed in self._unconfirmed_by_home.items():
            unconfirmed.batches_by_digest = {}
            for flows in _batches(unconfirmed.flows)[:BATCHES_PER_ROUND]:
                unconfirmed.batches_by_digest[_digest(flows)] = flows
                message = FlowPointers(self._owner, incarnation, flows)
                effects.append(SendPeer(home.name, message))
        return effects

    def clear(self) -> None:
        """Drop all queued pointers."""
        self._unconfirmed_by_home.clear()


def _batches(flows: dict[bytes, None]) -> list[tuple[bytes, ...]]:
    batches: list[list[bytes]] = []
    free_bytes = 0
    for flow in flows:
        size = len(flow) + FLOW_OVERHEAD_BYTES
        if size > free_bytes:
            batches.append([])
            free_bytes = BATCH_BYTES
        batches[-1].append(flow)
        free_bytes -= size
    return [tuple(batch) for batch in batches]
