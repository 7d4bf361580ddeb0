"""Which start of a target a heartbeat comes from.

A target may start again under the name that it had; its numbers begin anew then.
A late heartbeat of an earlier start looks much the same, and believing it would
make a leaving target ready again. Names, times of start and numbers together
tell them apart, and where they don't, persistence does.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from .models import Heartbeat

__all__ = ["Incarnations", "HeartbeatOrigin"]

FORMER_TARGETS_LIMIT = 64
"""Names of earlier targets that are remembered; late heartbeats are of the last
few."""

NEW_START_SPACING = 0.5
"""Intervals between two heartbeats that prove a start by themselves. Delayed
ones come all at once when a cut ends."""


class HeartbeatOrigin(enum.Enum):
    """What a heartbeat is."""

    CURRENT = "current"
    STARTED = "started"
    """Of a start that is later than what was known."""

    LATE = "late"
    """Of an earlier start, or overtaken by a later one."""


class _Start(NamedTuple):
    """One start of a target, as far as heartbeats have told."""

    target: str
    born: int | None


class _Unconfirmed(NamedTuple):
    """A heartbeat that may be late, or the first of a start."""

    start: _Start
    number: int
    at: float


class Incarnations:
    """The starts of the target beside one agent.

    Parameters
    ----------
    beat_interval : float
        Seconds between heartbeats.
    """

    def __init__(self, beat_interval: float) -> None:
        self._beat_interval = beat_interval
        self._current: _Start | None = None
        self._number = -1
        self._born_by_former: dict[str, int | None] = {}
        self._unconfirmed: _Unconfirmed | None = None

    def classify(self, now: float, beat: Heartbeat) -> HeartbeatOrigin:
        """Take a heartbeat and tell what it is."""
        start = _Start(beat.target, beat.born)
        current = self._current
        if current is None:
            return self._begin(start, beat)
        if self._is_current(current, start) and beat.number > self._number:
            self._number = beat.number
            self._unconfirmed = None
            return HeartbeatOrigin.CURRENT
        if self._is_later(current, start) or self._persists(now, start, beat.number):
            self._retire(current)
            return self._begin(start, beat)
        return HeartbeatOrigin.LATE

    def is_former(self, target: str, born: int | None) -> bool:
        """Tell whether what a target says of itself is of an earlier start."""
        current = self._current
        if current is None or target != current.target:
            return target in self._born_by_former
        return _is_later(current.born, born)

    def _begin(self, start: _Start, beat: Heartbeat) -> HeartbeatOrigin:
        self._current = start
        self._number = beat.number
        self._unconfirmed = None
        return HeartbeatOrigin.STARTED

    def _is_current(self, current: _Start, start: _Start) -> bool:
        same = start.born == current.born or None in (start.born, current.born)
        return start.target == current.target and same

    def _is_later(self, current: _Start, start: _Start) -> bool:
        """Tell whether a start is surely later than the one known."""
        if start.target == current.target:
            return _is_later(start.born, current.born)
        if start.target not in self._born_by_former:
            return True
        former = self._born_by_former[start.target]
        return _is_later(start.born, former)

    def _persists(self, now: float, start: _Start, number: int) -> bool:
        """Tell whether a doubtful start goes on by itself.

        What goes wrong without: a clock that jumped back, or a target that
        doesn't tell when it was born, starts again, passes for late, and counts
        as silent for ever.
        """
        unconfirmed = self._unconfirmed
        if (
            unconfirmed is None
            or unconfirmed.start != start
            or number <= unconfirmed.number
        ):
            self._unconfirmed = _Unconfirmed(start, number, now)
            return False
        return now - unconfirmed.at >= NEW_START_SPACING * self._beat_interval

    def _retire(self, former: _Start) -> None:
        self._born_by_former.pop(former.target, None)
        self._born_by_former[former.target] = former.born
        while len(self._born_by_former) > FORMER_TARGETS_LIMIT:
            del self._born_by_former[next(iter(self._born_by_former))]


def _is_later(born: int | None, other: int | None) -> bool:
    """Tell whether one birth is surely after another; either may not be told."""
    return born is not None and other is not None and born > other
