"""How many openings a cold target may get.

Loads: the targets of a data centre come back at the same moment, after an
evacuation or a loss of power, and meet the openings of everybody. A service may
tell how many requests a second a cold target bears. The agent beside the target
sees every opening, so what it lets pass in any second is what the target gets.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ["ColdLimit", "Pacer"]

WINDOW_SECONDS = 1.1
"""Seconds in which openings are counted: the second that is promised, and a
tenth for openings that the network brings closer together."""


class ColdLimit(NamedTuple):
    """What operators allow a cold target in one second.

    It is ``excess`` times the rate that its service tells, and ``burst`` requests
    more.
    """

    excess: float
    burst: float

    def openings(self, rate: float) -> int:
        """Return how many openings a second hold at most."""
        return int(rate * self.excess + self.burst)


class Pacer:
    """Counts the openings that one target gets.

    Parameters
    ----------
    limit : ColdLimit, optional
        What a cold target may get; without, any number.
    """

    def __init__(self, limit: ColdLimit | None = None) -> None:
        self._limit = limit
        self._offered: deque[float] = deque()
        self._closed_until = float("-inf")

    def start(self, now: float) -> None:
        """Note that this process begins.

        What goes wrong without: the process before it has just let pass what a
        cold target bears in a second, and this one lets pass as much again.
        """
        self._closed_until = now + WINDOW_SECONDS

    def offered(self, now: float) -> None:
        """Note an opening that the target got."""
        if self._limit is not None:
            self._offered.append(now)
            self._forget(now)

    def allows(self, now: float, rate: float) -> bool:
        """Tell whether a cold target may get another opening.

        ``rate`` is how many requests a second it bears; a service that tells none
        has no limit.
        """
        if self._limit is None or rate <= 0:
            return True
        if now < self._closed_until:
            return False
        self._forget(now)
        return len(self._offered) < self._limit.openings(rate)

    def _forget(self, now: float) -> None:
        while self._offered and now - self._offered[0] > WINDOW_SECONDS:
            self._offered.popleft()
