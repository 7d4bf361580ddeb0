"""Limit on the openings that a cold target gets.

The targets of a data centre may return at the same moment, after an evacuation or a
power failure, and receive openings from every entry. A service may state how many
requests a second a cold target can serve. The agent on the target's machine sees every
opening, so the openings it passes in any second are all that the target gets.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ["ColdLimit", "Pacer"]

WINDOW_SECONDS = 1.1
"""Seconds in which openings are counted: the guaranteed second, and a tenth for
openings that the network brings closer together."""


class ColdLimit(NamedTuple):
    """The operators' limit for a cold target in one second.

    It is ``excess`` times the rate that its service states, plus ``burst`` requests.
    """

    excess: float
    burst: float

    def openings(self, rate: float) -> int:
        """Return the maximum number of openings in a second."""
        return int(rate * self.excess + self.burst)


class Pacer:
    """Counts the openings that one target gets.

    Parameters
    ----------
    limit : ColdLimit, optional
        Limit for a cold target; unlimited by default.
    """

    def __init__(self, limit: ColdLimit | None = None) -> None:
        self._limit = limit
        self._offered: deque[float] = deque()
        self._closed_until = float("-inf")

    def start(self, now: float) -> None:
        """Note that this process starts, and block openings for one window.

        The process before it may have just passed as many openings as a cold target can
        serve in a second, and this one would pass as many again.
        """
        self._closed_until = now + WINDOW_SECONDS

    def offered(self, now: float) -> None:
        """Note an opening that the target received."""
        if self._limit is not None:
            self._offered.append(now)
            self._forget(now)

    def allows(self, now: float, rate: float) -> bool:
        """Return whether a cold target may get another opening.

        ``rate`` is how many requests a second it can serve; a service that states none
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
