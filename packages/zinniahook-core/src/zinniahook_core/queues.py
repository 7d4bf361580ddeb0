"""A queue of requests, ordered by deadline."""

from __future__ import annotations

import bisect
from typing import NamedTuple

__all__ = ["DeadlineQueue", "QueuedRequest"]


class QueuedRequest(NamedTuple):
    """A queued request, ordered by deadline and then by arrival."""

    deadline: float
    arrival: int
    request: int


class DeadlineQueue:
    """Requests that wait for a slot, earliest deadline first.

    The queue is short (tens of requests). A sorted list suits it better than a
    heap, since the last request and the position of any request are easy to find.
    """

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self):
        return iter(tuple(self._waiting))

    @property
    def last(self) -> QueuedRequest:
        """The request with the latest deadline."""
        return self._waiting[-1]

    def ahead(self, deadline: float) -> int:
        """Return how many requests precede one with ``deadline``."""
        return bisect.bisect_right(self._waiting, (deadline, self._arrivals + 1))

    def push(self, deadline: float, request: int) -> None:
        """Add a request in order."""
        self._arrivals += 1
        bisect.insort(self._waiting, QueuedRequest(deadline, self._arrivals, request))

    def pop(self) -> QueuedRequest:
        """Remove and return the request with the earliest deadline."""
        return self._waiting.pop(0)

    def remove(self, request: int) -> bool:
        """Remove a request and return whether it was queued."""
        for place, waiting in enumerate(self._waiting):
            if waiting.request == request:
                del self._waiting[place]
                return True
        return False
