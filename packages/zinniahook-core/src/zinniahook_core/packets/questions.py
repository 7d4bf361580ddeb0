"""Which services an entry asks for the owner of a flow, one at a time.

A flow of a split route, or of one that was changed, may live at any of several
services. A packet goes to one of them only: first to each home in turn that may
know the owner, and if none does, to each in turn to search its agents. What a
service has denied isn't asked again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .flows import ACKNOWLEDGED_WINDOW_BYTES, SEQUENCE_SPAN
from .models import Packet
from .tunnel import Mark

__all__ = ["Question", "Questions"]

KNOWN_PATIENCE = 0.15
"""Seconds until another home is asked first though one hasn't answered: below the
0.2 s after which a client repeats its packet. No answer doesn't mean that it
doesn't know: it has passed the packet on, and the way to the owner may be cut.
What goes wrong if it does: the other services are searched, and their targets
get packets of a flow whose owner is known."""

SEARCH_PATIENCE = 0.35
"""The same for a search: above the 0.2 s in which an agent finds out that its
target holds a flow, below the 0.6 s of a client's second repetition. What goes
wrong without: a home that waits for a silent agent keeps every packet from the
service that owns the flow."""

TURN_WITHIN = 2.0
"""Seconds after which a service's silence says nothing more: above the 1.6 s at
which a client repeats a packet at the longest."""

UNKNOWING_KEPT = 0.1
"""Seconds for which a home that doesn't know the owner isn't asked again: it may
learn it at any moment. What goes wrong with more: a search has found the owner
long since, and other targets get the packet."""

KEPT = 4.0
"""Seconds for which answers count: as long as agents keep what they denied."""

LIMIT = 65536


class Question(NamedTuple):
    """Whom to ask with a packet, and how."""

    service: str
    marks: int


class Turn(NamedTuple):
    """The service that was asked last, and when."""

    service: str
    at: float


NOBODY = Turn("", float("-inf"))


@dataclass(slots=True)
class _Asked:
    """What the services have answered for one flow."""

    begun: float
    acknowledged: int
    unknowing: dict[str, float] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    unsure: set[str] = field(default_factory=set)
    last_known: Turn = NOBODY
    last_search: Turn = NOBODY

    def unknowing_at(self, now: float) -> set[str]:
        """Return the services whose homes have just not known the owner."""
        return {s for s, at in self.unknowing.items() if now - at < UNKNOWING_KEPT}


class Questions:
    """The questions of one entry, by flow."""

    def __init__(self) -> None:
        self._by_flow: dict[bytes, _Asked] = {}

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def forget(self, flow: bytes) -> None:
        """Forget what was asked for a flow: its owner is known, or it is new."""
        self._by_flow.pop(flow, None)

    def next(self, now: float, packet: Packet, services: list[str]) -> Question | None:
        """Return whom to ask with a packet, None if nobody is left."""
        asked = self._get(now, packet)
        if len(services) > 1:
            known = self._left(services, asked.unknowing_at(now) | asked.denied)
            if known:
                asked.last_known = _turn(now, asked.last_known, known, KNOWN_PATIENCE)
                return Question(asked.last_known.service, Mark.SHARED | Mark.KNOWN)
        left = self._left(services, asked.denied | asked.unsure)
        if not left:
            return None
        asked.last_search = _turn(now, asked.last_search, left, SEARCH_PATIENCE)
        return Question(asked.last_search.service, Mark.SHARED)

    def unowned(self, now: float, packet: Packet, service: str, marks: int) -> None:
        """Note that a service has given a packet back."""
        asked = self._get(now, packet)
        if not marks & Mark.UNSURE:
            asked.denied.add(service)
            asked.unsure.discard(service)
        elif marks & Mark.KNOWN:
            asked.unknowing[service] = now
        else:
            asked.unsure.add(service)

    def is_sure(self, flow: bytes) -> bool:
        """Tell whether every answer was certain."""
        asked = self._by_flow.get(flow)
        return asked is not None and not asked.unsure

    def unsure(self, flow: bytes) -> list[str]:
        """Return the services that couldn't tell for sure."""
        asked = self._by_flow.get(flow)
        return sorted(asked.unsure) if asked is not None else []

    def _left(self, services: list[str], answered: set[str]) -> list[str]:
        return [service for service in services if service not in answered]

    def _get(self, now: float, packet: Packet) -> _Asked:
        asked = self._by_flow.get(packet.flow)
        if asked is None or now - asked.begun > KEPT or not _same(asked, packet):
            asked = _Asked(now, packet.acknowledged)
            self._by_flow.pop(packet.flow, None)
            self._by_flow[packet.flow] = asked
            while len(self._by_flow) > LIMIT:
                del self._by_flow[next(iter(self._by_flow))]
        return asked


def _turn(now: float, last: Turn, left: list[str], patience: float) -> Turn:
    """Return whom to ask: the same again for a while, then the next in turn."""
    silent_for = now - last.at
    if last.service not in left or silent_for >= TURN_WITHIN:
        return Turn(left[0], now)
    if silent_for < patience:
        return last
    return Turn(left[(left.index(last.service) + 1) % len(left)], now)


def _same(asked: _Asked, packet: Packet) -> bool:
    """Tell whether a packet is of the same flow, not of a later one of its port."""
    ahead = (packet.acknowledged - asked.acknowledged) % SEQUENCE_SPAN
    return min(ahead, SEQUENCE_SPAN - ahead) <= ACKNOWLEDGED_WINDOW_BYTES
