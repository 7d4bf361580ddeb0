"""Packets that wait while their flow's owner is asked for."""

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
MAX_HELD_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class OwnerQuery:
    """A flow whose owner is asked for, with its packets so far."""

    flow: bytes
    number: int
    since: float
    asked: tuple[str, ...]
    repeat_at: float
    denied: set[str] = field(default_factory=set)
    packets: list[FlowDatagram] = field(default_factory=list)

    def restart(self, now: float, asked: tuple[str, ...]) -> None:
        """Ask anew under another roster; earlier denials are void."""
        self.since = now
        self.asked = asked
        self.denied.clear()

    def messages(self) -> list[SendPeer]:
        """Return the asks to those that have not answered yet."""
        ask = FlowAsk(self.number, self.flow)
        return [SendPeer(name, ask) for name in self.asked if name not in self.denied]


class OwnerQueries:
    """The held flows, bounded in flows, packets of one flow, and bytes.

    A caller gets no answer while its packets are held, so a flood of new
    flows in an overlap window would otherwise grow the process without end.
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
        """Begin to ask for ``flow``; None if too many flows are held."""
        if len(self._queries_by_flow) >= MAX_HELD_FLOWS:
            return None
        self._number += 1
        query = OwnerQuery(flow, self._number, now, asked, now + QUERY_REPEAT_SECONDS)
        self._queries_by_flow[flow] = query
        return query

    def hold(self, flow: bytes, packet: FlowDatagram) -> bool:
        """Keep a packet of a held flow; False if there is no room."""
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
        """Return the flow that an answer is for, unless the ask is over."""
        query = self._queries_by_flow.get(flow)
        return query if query is not None and query.number == number else None

    def release(self, flow: bytes) -> list[FlowDatagram]:
        """Stop asking for ``flow`` and return its packets in order."""
        query = self._queries_by_flow.pop(flow, None)
        if query is None:
            return []
        self._bytes -= sum(len(packet.payload) for packet in query.packets)
        return query.packets

    def overdue(self, now: float) -> list[OwnerQuery]:
        """Return the flows whose asks have timed out."""
        return [
            query
            for query in self._queries_by_flow.values()
            if now - query.since >= QUERY_TIMEOUT_SECONDS
        ]

    def repeats(self, now: float) -> list[SendPeer]:
        """Return the asks to send again; any message may get lost."""
        messages: list[SendPeer] = []
        for query in self._queries_by_flow.values():
            if now >= query.repeat_at:
                query.repeat_at = now + QUERY_REPEAT_SECONDS
                messages += query.messages()
        return messages

    def clear(self) -> None:
        """Forget every held flow and packet."""
        self._queries_by_flow.clear()
        self._bytes = 0


class ProvisionalFlows:
    """Flows opened elsewhere than at their home, since the home was silent.

    What goes wrong: a home that was paused, or whose answers got lost, owns
    the flow already, and one caller's packets are spread over two targets for
    good. One notices two owners. So the home is asked until it answers, and
    the flow goes to the owner that it names.
    """

    def __init__(self) -> None:
        self._number_by_flow: dict[bytes, int] = {}
        self._next_round = 0.0

    def add(self, flow: bytes, number: int) -> None:
        """Ask for ``flow`` from the next round on, under ``number``."""
        self._number_by_flow[flow] = number

    def number(self, flow: bytes) -> int | None:
        """Return the number of the ask for ``flow``, if there is one."""
        return self._number_by_flow.get(flow)

    def drop(self, flow: bytes) -> None:
        """Ask no more for ``flow``."""
        self._number_by_flow.pop(flow, None)

    def due(self, now: float) -> list[tuple[bytes, int]]:
        """Return what is to be asked now, once a round."""
        if now < self._next_round:
            return []
        self._next_round = now + PROVISIONAL_REPEAT_SECONDS
        return list(self._number_by_flow.items())

    def clear(self) -> None:
        """Ask for nothing."""
        self._number_by_flow.clear()
