"""Assigns heartbeats to starts of a target.

A target may start again under the same name, and its sequence numbers then start anew.
A late heartbeat of an earlier start looks similar, and accepting it would make a
leaving target ready again. Name, start time and sequence number together distinguish
starts; where they don't, a start counts if its heartbeats continue.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from .models import Heartbeat

__all__ = ["Incarnations", "HeartbeatOrigin"]

FORMER_TARGETS_LIMIT = 64
"""Former target names remembered; late heartbeats come from the last few."""

NEW_START_SPACING = 0.5
"""Heartbeat intervals between two heartbeats that prove a new start by themselves.
Delayed heartbeats arrive all at once when a network cut ends."""


class HeartbeatOrigin(enum.Enum):
    """The start that a heartbeat comes from."""

    CURRENT = "current"
    STARTED = "started"
    """A later start than the known one."""

    LATE = "late"
    """An earlier start, or the known one but overtaken by a later heartbeat."""


class _Start(NamedTuple):
    """One start of a target, as its heartbeats describe it."""

    target: str
    born: int | None


class _Unconfirmed(NamedTuple):
    """A heartbeat that is late, or the first one of a new start."""

    start: _Start
    number: int
    at: float


class Incarnations:
    """The starts of one agent's target.

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

    def classify(self, now: float, heartbeat: Heartbeat) -> HeartbeatOrigin:
        """Record a heartbeat and return its origin."""
        start = _Start(heartbeat.target, heartbeat.born)
        current = self._current
        if current is None:
            return self._begin(start, heartbeat)
        if self._is_current(current, start) and heartbeat.number > self._number:
            self._number = heartbeat.number
            self._unconfirmed = None
            return HeartbeatOrigin.CURRENT
        if self._is_later(current, start) or self._persists(
            now, start, heartbeat.number
        ):
            self._retire(current)
            return self._begin(start, heartbeat)
        return HeartbeatOrigin.LATE

    def is_former(self, target: str, born: int | None) -> bool:
        """Return whether a target's report comes from an earlier start."""
        current = self._current
        if current is None or target != current.target:
            return target in self._born_by_former
        return _is_later(current.born, born)

    def _begin(self, start: _Start, heartbeat: Heartbeat) -> HeartbeatOrigin:
        self._current = start
        self._number = heartbeat.number
        self._unconfirmed = None
        return HeartbeatOrigin.STARTED

    def _is_current(self, current: _Start, start: _Start) -> bool:
        same = start.born == current.born or None in (start.born, current.born)
        return start.target == current.target and same

    def _is_later(self, current: _Start, start: _Start) -> bool:
        """Return whether a start is certainly later than the known one."""
        if start.target == current.target:
            return _is_later(start.born, current.born)
        if start.target not in self._born_by_former:
            return True
        former = self._born_by_former[start.target]
        return _is_later(start.born, former)

    def _persists(self, now: float, start: _Start, number: int) -> bool:
        """Return whether an unconfirmed start continues to send heartbeats.

        Otherwise, after a clock has jumped back, or if a target doesn't report its
        start time, a new start would be considered late, and the target silent for
        ever.
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
    """Return whether a start time is certainly after another; None is unknown."""
    return born is not None and other is not None and born > other
