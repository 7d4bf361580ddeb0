"""Which request of an open flow gets the next free slot of its target.

Openings are ordered otherwise, see `waiting`. A kind is all requests of one
priority. Those go first that can still be answered within their route's goal: by
the route's priority, and of equal ones whose time is over first. What can't be in
time any more takes the slots that nobody else wants. A kind that others go before
gets one slot in `GUARANTEED_SLOT_INTERVAL` while it can be in time, so that a
flood of urgent requests leaves the rest a share.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .models import Urgency

__all__ = ["Rank", "Scheduler", "rank"]

GUARANTEED_SLOT_INTERVAL = 4
"""Slots of which a kind that waits gets one at least; the more urgent kinds keep
the others."""


class Rank(NamedTuple):
    """How soon something that waits gets a slot; the least goes first."""

    is_late: bool
    priority: int
    deadline: float
    begun: float


def rank(now: float, answer_time: float, begun: float, urgency: Urgency) -> Rank:
    """Return the rank of what began at a time.

    ``answer_time`` is how many seconds an answer takes lately.
    """
    deadline = begun + urgency.goal
    return Rank(now + answer_time >= deadline, urgency.priority, deadline, begun)


class Scheduler:
    """Counts how often each kind was passed over in favour of more urgent ones."""

    def __init__(self) -> None:
        self._passed_by_priority: dict[int, int] = {}

    def choose(self, ranks: Iterable[Rank]) -> Rank | None:
        """Return which of those that wait gets the next slot, None if none waits."""
        waiting = sorted(ranks)
        if not waiting:
            return None
        passed = self._passed_by_priority
        in_time = [each for each in waiting if not each.is_late]
        due = [
            r
            for r in in_time
            if passed.get(r.priority, 0) >= GUARANTEED_SLOT_INTERVAL - 1
        ]
        chosen = (due or waiting)[0]
        passed.pop(chosen.priority, None)
        for priority in {r.priority for r in in_time if r.priority > chosen.priority}:
            passed[priority] = passed.get(priority, 0) + 1
        return chosen
