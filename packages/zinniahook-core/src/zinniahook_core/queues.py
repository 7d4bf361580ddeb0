"""A bounded queue of requests, earliest deadline first."""

from __future__ import annotations

import bisect
from typing import NamedTuple

__all__ = ["DeadlineQueue", "QueuedRequest"]


class QueuedRequest(NamedTuple):
    """One queued request; sorts by deadline, then by arrival."""

    deadline: float
    arrival: int
    request: int


class DeadlineQueue:
    """Requests that wait for a slot, earliest deadline first.

    It is kept short (tens of requests), so a sorted list serves better than
    a heap: the last one and the place of any one are at hand.
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
        """Count the requests that go before one with ``deadline``."""
        return bisect.bisect_right(self._waiting, (deadline, self._arrivals + 1))

    def push(self, deadline: float, request: int) -> None:
        """Add a request at its place."""
        self._arrivals += 1
        bisect.insort(self._waiting, QueuedRequest(deadline, self._arrivals, request))

    def pop(self) -> QueuedRequest:
        """Remove and return the request with the earliest deadline."""
        return self._waiting.pop(0)

    def remove(self, request: int) -> bool:
        """Remove a request; False if it isn't queued."""
        for place, waiting in enumerate(self._waiting):
            if waiting.request == request:
                del self._waiting[place]
                return True
        return False
