"""Assigns heartbeats to starts of a target.

A target may start again under the same name, and its sequence numbers then start anew.
A late heartbeat of an earlier start looks similar. Accepting it would end the flows of
the running target, or make a leaving target ready again. A start is later than another
one if its start time is, unless it started before the other one's last heartbeat. Where
that doesn't hold, a start counts once it continues to send heartbeats while the other
one has stopped. Where targets report no times, a new name counts as soon as the known
target is overdue.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from .models import Heartbeat

__all__ = ["HeartbeatOrigin", "Incarnations"]

STARTS_LIMIT = 64
"""Starts remembered of each kind, former and unconfirmed; late heartbeats come from the
last few."""

CONFIRMATION_SPACING = 0.5
"""Heartbeat intervals between two heartbeats that confirm a start by themselves.
Delayed heartbeats arrive all at once when a network cut ends."""

SILENT_INTERVALS = 2.0
"""Heartbeat intervals without a heartbeat after which the known start has stopped, so
that another one may be confirmed. Delayed heartbeats also arrive one by one, as each is
retransmitted on a connection of its own."""

OVERDUE_INTERVALS = 1.5
"""Heartbeat intervals after which the next heartbeat of a running target is overdue."""

CLOCK_TOLERANCE_SECONDS = 1.0
"""A heartbeat may be in transit for this long; its sender gives up then."""

UNKNOWN_START_TIME = -1


class HeartbeatOrigin(enum.Enum):
    """The start that a heartbeat comes from."""

    CURRENT = "current"
    STARTED = "started"
    """A later start than the known one, or the first one."""

    OVERTAKEN = "overtaken"
    """The known start, which has sent a later heartbeat or has ended."""

    UNCONFIRMED = "unconfirmed"
    """Another start, not known to be later than the known one."""


class _Start(NamedTuple):
    """One start of a target, as its heartbeats describe it."""

    target: str
    born: int | None
    service: str


class _FirstSeen(NamedTuple):
    """The first heartbeat of a start that must be confirmed."""

    number: int
    at: float


class Incarnations:
    """The starts of one agent's target.

    Parameters
    ----------
    beat_interval : float
        Seconds between heartbeats.
    service : str
        The service that the target should belong to, "" if any.
    """

    def __init__(self, beat_interval: float, service: str = "") -> None:
        self._beat_interval = beat_interval
        self._service = service
        self._current: _Start | None = None
        self._number = -1
        self._has_ended = False
        self._last_seen_at = float("-inf")
        self._latest_start_time = UNKNOWN_START_TIME
        self._known_targets: dict[str, None] = {}
        self._first_seen_by_start: dict[_Start, _FirstSeen] = {}

    def classify(self, now: float, heartbeat: Heartbeat) -> HeartbeatOrigin:
        """Record a heartbeat and return its origin."""
        start = _Start(heartbeat.target, heartbeat.born, heartbeat.service)
        if start == self._current:
            return self._classify_current(now, start, heartbeat.number)
        if self._is_later(now, start, heartbeat.age) or self._is_confirmed(
            now, start, heartbeat.number
        ):
            self._begin(now, start, heartbeat.number)
            return HeartbeatOrigin.STARTED
        return HeartbeatOrigin.UNCONFIRMED

    def _classify_current(
        self, now: float, start: _Start, number: int
    ) -> HeartbeatOrigin:
        """Return the origin of a heartbeat that names the known start.

        Lower numbers that are confirmed belong to the same start if it reports its
        start time: a number that another writer sent was too high, and the target still
        holds its flows.
        """
        follows = number > self._number and not self._has_ended
        if not follows and not self._is_confirmed(now, start, number):
            return HeartbeatOrigin.OVERTAKEN
        self._accept(now, number)
        if follows or start.born is not None:
            return HeartbeatOrigin.CURRENT
        return HeartbeatOrigin.STARTED

    def _begin(self, now: float, start: _Start, number: int) -> None:
        self._current = start
        self._service = start.service
        self._latest_start_time = max(self._latest_start_time, _start_time(start))
        self._known_targets.pop(start.target, None)
        self._known_targets[start.target] = None
        if len(self._known_targets) > STARTS_LIMIT:
            del self._known_targets[next(iter(self._known_targets))]
        self._accept(now, number)

    def _accept(self, now: float, number: int) -> None:
        self._number = number
        self._has_ended = False
        self._last_seen_at = now
        self._first_seen_by_start.clear()

    def _is_later(self, now: float, start: _Start, age: float | None) -> bool:
        """Return whether a start is certainly later than all known ones.

        A target that reports its start time always does. A start in another service
        must be confirmed in any case: requests of that service would come here.
        """
        if self._service and start.service != self._service:
            return False
        latest = self._latest_start_time
        if self._current is None:
            return True
        if latest == UNKNOWN_START_TIME and start.born is None:
            return start.target not in self._known_targets and self._is_overdue(now)
        return _start_time(start) > latest and self._may_follow(now, age)

    def _may_follow(self, now: float, age: float | None) -> bool:
        """Return whether a target of some age can have replaced the known one.

        It must have started after the known one's last heartbeat. Otherwise, if a clock
        was set back, a delayed heartbeat of an earlier target would count as later.
        """
        if age is None:
            return True
        started_at = now - age
        earliest = self._last_seen_at - CLOCK_TOLERANCE_SECONDS
        return earliest <= started_at <= now + CLOCK_TOLERANCE_SECONDS

    def _is_overdue(self, now: float) -> bool:
        """Return whether the known start has ended or should have sent a heartbeat."""
        silence = now - self._last_seen_at
        return self._has_ended or silence > OVERDUE_INTERVALS * self._beat_interval

    def _is_confirmed(self, now: float, start: _Start, number: int) -> bool:
        """Return whether a start goes on while the known one has stopped.

        Otherwise, after a clock was set back, or if a target doesn't report its start
        time, a new start would be considered late, and the target silent for ever.
        """
        first = self._first_seen_by_start.get(start)
        if first is None or number <= first.number:
            self._first_seen_by_start[start] = _FirstSeen(number, now)
            if len(self._first_seen_by_start) > STARTS_LIMIT:
                del self._first_seen_by_start[next(iter(self._first_seen_by_start))]
            return False
        continues = now - first.at >= CONFIRMATION_SPACING * self._beat_interval
        silence = now - self._last_seen_at
        return continues and silence >= SILENT_INTERVALS * self._beat_interval

    def end(self, target: str, born: int | None) -> bool:
        """Record that a target reports its end; return whether it is the known start.

        Heartbeats of that start that arrive later were delayed.
        """
        current = self._current
        if current is None or (target, born) != (current.target, current.born):
            return False
        self._has_ended = True
        return True


def _start_time(start: _Start) -> int:
    return UNKNOWN_START_TIME if start.born is None else start.born
