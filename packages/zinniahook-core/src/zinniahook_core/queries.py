"""Queries for the owner of a flow, and the packets held meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .effects import SendPeer
from .events import FlowDatagram
from .messages import FlowAsk

__all__ = ["OwnerQueries", "OwnerQuery", "ProvisionalFlows"]

QUERY_TIMEOUT_SECONDS = 0.5
QUERY_REPEAT_SECONDS = 0.1
PROVISIONAL_REPEAT_SECONDS = 0.5
MAX_HELD_FLOWS = 1024
MAX_HELD_PACKETS = 16
"""Limit of the held packets of one flow."""
MAX_HELD_BYTES = 4 * 1024 * 1024
"""Limit of the held payload of all flows."""


@dataclass(slots=True)
class OwnerQuery:
    """A query for the owner of a flow, with the packets held so far."""

    flow: bytes
    number: int
    since: float
    asked: tuple[str, ...]
    repeat_at: float
    denied: set[str] = field(default_factory=set)
    packets: list[FlowDatagram] = field(default_factory=list)

    def restart(self, now: float, asked: tuple[str, ...]) -> None:
        """Restart the query under another roster and discard earlier denials."""
        self.since = now
        self.asked = asked
        self.denied.clear()

    def messages(self) -> list[SendPeer]:
        """Return the messages to agents that haven't answered yet."""
        ask = FlowAsk(self.number, self.flow)
        return [SendPeer(name, ask) for name in self.asked if name not in self.denied]


class OwnerQueries:
    """Pending queries, limited in flows, packets of a flow and bytes.

    A caller gets no answer while its packets are held. Without limits, a flood of
    new flows in an overlap window would grow the process without bound.
    """

    def __init__(self) -> None:
        self._queries_by_flow: dict[bytes, OwnerQuery] = {}
        self._bytes = 0
        self._number = 0

    def __iter__(self) -> Iterator[OwnerQuery]:
        return iter(self._queries_by_flow.values())

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._queries_by_flow

    def start(
        self, now: float, flow: bytes, asked: tuple[str, ...]
    ) -> OwnerQuery | None:
        """Start a query for ``flow``, or return None if too many flows are held."""
        if len(self._queries_by_flow) >= MAX_HELD_FLOWS:
            return None
        self._number += 1
        query = OwnerQuery(flow, self._number, now, asked, now + QUERY_REPEAT_SECONDS)
        self._queries_by_flow[flow] = query
        return query

    def hold(self, flow: bytes, packet: FlowDatagram) -> bool:
        """Hold a packet and return whether it fits into the limits."""
        query = self._queries_by_flow[flow]
        size = len(packet.payload)
        if (
            len(query.packets) >= MAX_HELD_PACKETS
            or self._bytes + size > MAX_HELD_BYTES
        ):
            return False
        query.packets.append(packet)
        self._bytes += size
        return True

    def match(self, flow: bytes, number: int) -> OwnerQuery | None:
        """Return the pending query that an answer belongs to, or None."""
        query = self._queries_by_flow.get(flow)
        return query if query is not None and query.number == number else None

    def release(self, flow: bytes) -> list[FlowDatagram]:
        """End the query for ``flow`` and return its packets in order."""
        query = self._queries_by_flow.pop(flow, None)
        if query is None:
            return []
        self._bytes -= sum(len(packet.payload) for packet in query.packets)
        return query.packets

    def overdue(self, now: float) -> list[OwnerQuery]:
        """Return the queries that have timed out."""
        return [
            query
            for query in self._queries_by_flow.values()
            if now - query.since >= QUERY_TIMEOUT_SECONDS
        ]

    def repeats(self, now: float) -> list[SendPeer]:
        """Return the messages to send again, since any message may be lost."""
        messages: list[SendPeer] = []
        for query in self._queries_by_flow.values():
            if now >= query.repeat_at:
                query.repeat_at = now + QUERY_REPEAT_SECONDS
                messages += query.messages()
        return messages

    def clear(self) -> None:
        """Drop all queries and held packets."""
        self._queries_by_flow.clear()
        self._bytes = 0


class ProvisionalFlows:
    """Flows opened by an agent that isn't their home, as the home was silent.

    A home that was paused or whose answers were lost may own such a flow already.
    The packets of one caller would then be spread over two targets permanently. The
    home is therefore asked until it answers, and the flow goes to the owner that it
    names.
    """

    def __init__(self) -> None:
        self._number_by_flow: dict[bytes, int] = {}
        self._next_round = 0.0

    def add(self, flow: bytes, number: int) -> None:
        """Ask about ``flow`` under ``number`` from the next round on."""
        self._number_by_flow[flow] = number

    def number(self, flow: bytes) -> int | None:
        """Return the query number for ``flow``, or None."""
        return self._number_by_flow.get(flow)

    def drop(self, flow: bytes) -> None:
        """Stop asking about ``flow``."""
        self._number_by_flow.pop(flow, None)

    def due(self, now: float) -> list[tuple[bytes, int]]:
        """Return the flows and query numbers to ask about now, once per round."""
        if now < self._next_round:
            return []
        self._next_round = now + PROVISIONAL_REPEAT_SECONDS
        return list(self._number_by_flow.items())

    def clear(self) -> None:
        """Drop all flows."""
        self._number_by_flow.clear()
