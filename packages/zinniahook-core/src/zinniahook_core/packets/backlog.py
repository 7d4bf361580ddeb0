"""Openings that wait at an agent until its target has capacity.

This handles all targets that return at the same moment, cold, and receive the openings
of seconds, and the loss of a third of the targets at the busiest time. A target refuses
what its own queue can't hold, which costs the client one of its three tries, and serves
the rest in order of arrival. After a backlog of one second, every request would be late
for as long as the load stays near the capacity. Here, the openings that can still be
answered within their route's goal go first, by the route's priority, and within each
priority the newest: it has the most time left, and an older one loses little by waiting
longer. The others follow in the same order.
"""

from __future__ import annotations

import bisect
from collections import Counter
from typing import NamedTuple

from .models import Packet, Urgency
from .tunnel import Head

__all__ = ["Opening", "Backlog"]

MAX_WAIT_SECONDS = 1.2
"""Seconds that an opening may wait: a client ends its try after 1.4 s, and the answer
to the opening needs some of them."""

COPY_AGES_SECONDS = (0.0, 0.2, 0.6)
"""Seconds since a client began, by the number of the opening's copy."""

MAX_OPENINGS = 512
"""Openings that wait at most; above it, the oldest is dropped."""

EXTRA_OPENINGS = 1
"""Requests that a target may have in progress above its slots. One keeps its slots busy
while the next opening takes its two trips to the client; each further one waits at
the target for a quarter of a request's time, in order of arrival."""


class Opening(NamedTuple):
    """An opening that waits, and the home that placed it.

    ``begun`` is when its client first sent it, as far as its copies show.
    """

    begun: float
    home: str
    head: Head
    packet: Packet
    urgency: Urgency


class Backlog:
    """The waiting openings of one agent, by priority and then by beginning."""

    def __init__(self) -> None:
        self._by_flow: dict[bytes, Opening] = {}
        self._flows_by_priority: dict[int, list[tuple[float, bytes]]] = {}
        self.counts: Counter[tuple[int, int]] = Counter()
        """Openings by tag of the client's data centre and priority."""

    def __len__(self) -> int:
        return len(self._by_flow)

    def add(
        self,
        now: float,
        home: str,
        head: Head,
        packet: Packet,
        urgency: Urgency,
    ) -> None:
        """Add an opening; a copy of a waiting opening changes nothing."""
        known = self._by_flow.get(packet.flow)
        if known is not None:
            if known.packet.sequence == packet.sequence:
                return
            self._drop(known)
        age = COPY_AGES_SECONDS[min(packet.acknowledged, len(COPY_AGES_SECONDS) - 1)]
        self.put(Opening(now - age, home, head, packet, urgency))
        if len(self._by_flow) > MAX_OPENINGS:
            self._drop(min(self._oldest(), key=lambda waiting: waiting.begun))

    def put(self, opening: Opening) -> None:
        """Add an opening, or put it back."""
        flow = opening.packet.flow
        self._by_flow[flow] = opening
        flows = self._flows_by_priority.setdefault(opening.urgency.priority, [])
        bisect.insort(flows, (opening.begun, flow))
        self.counts[opening.head.zone, opening.urgency.priority] += 1

    def take(self, now: float, answer_time: float) -> Opening | None:
        """Return the opening to serve next, None if none waits.

        ``answer_time`` is how many seconds an answer takes recently.
        """
        newest = [
            self._by_flow[flows[-1][1]]
            for _, flows in sorted(self._flows_by_priority.items())
        ]
        if not newest:
            return None
        in_time = [o for o in newest if now + answer_time < o.begun + o.urgency.goal]
        opening = (in_time or newest)[0]
        self._drop(opening)
        return opening

    def clear(self) -> list[Opening]:
        """Remove and return all openings, the newest first."""
        openings = sorted(self._by_flow.values(), key=lambda o: o.begun, reverse=True)
        self._by_flow.clear()
        self._flows_by_priority.clear()
        self.counts.clear()
        return openings

    def expire(self, now: float) -> list[Opening]:
        """Remove and return those that waited too long."""
        expired: list[Opening] = []
        while over := [o for o in self._oldest() if now - o.begun >= MAX_WAIT_SECONDS]:
            for opening in over:
                self._drop(opening)
            expired += over
        return expired

    def _oldest(self) -> list[Opening]:
        """Return the opening of each priority that began first."""
        return [self._by_flow[f[0][1]] for f in self._flows_by_priority.values()]

    def _drop(self, opening: Opening) -> None:
        flow, priority = opening.packet.flow, opening.urgency.priority
        del self._by_flow[flow]
        self.counts[opening.head.zone, priority] -= 1
        flows = self._flows_by_priority[priority]
        del flows[bisect.bisect_left(flows, (opening.begun, flow))]
        if not flows:
            del self._flows_by_priority[priority]
