"""Choice of the request of an open flow that gets its target's next free slot.

Openings are ordered differently, see `backlog`. Requests that can still be answered
within their route's goal go first: by the route's priority, and among equal ones by the
earliest deadline. Late requests get the slots that no other request needs. A priority
that others precede gets one slot in `GUARANTEED_SLOT_INTERVAL` while it can be in time,
so that a flood of urgent requests leaves the rest a share.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .models import Urgency

__all__ = ["Rank", "Scheduler", "rank"]

GUARANTEED_SLOT_INTERVAL = 4
"""A waiting priority gets at least one slot in this many; more urgent ones get the
others."""


class Rank(NamedTuple):
    """The order in which waiting requests get a slot; the smallest goes first."""

    is_late: bool
    priority: int
    deadline: float
    begun: float


def rank(now: float, answer_time: float, begun: float, urgency: Urgency) -> Rank:
    """Return the rank of a request that began at ``begun``.

    ``answer_time`` is how many seconds an answer takes recently.
    """
    deadline = begun + urgency.goal
    return Rank(now + answer_time >= deadline, urgency.priority, deadline, begun)


class Scheduler:
    """Counts how often each priority was passed over for more urgent ones."""

    def __init__(self) -> None:
        self._passed_by_priority: dict[int, int] = {}

    def choose(self, ranks: Iterable[Rank]) -> Rank | None:
        """Return which waiting request gets the next slot, None if none waits."""
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
