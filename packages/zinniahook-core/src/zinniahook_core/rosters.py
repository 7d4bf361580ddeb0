"""Writes of a roster, one at a time, with retries.

A write may take effect while its answer is lost, and when the store is down, every
agent of every service would retry at the same moment. The first case shows as
STORE_ANSWER_LOST or as no answer at all, the second as STORE_DOWN. Each write names
the revision that it replaces, so a retry can't undo another agent's change. Retries
are spread by a backoff with jitter.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from .codes import Code
from .effects import WriteRoster
from .events import RosterWritten
from .models import Roster

__all__ = ["RosterWriter", "Settlement"]

WRITE_TIMEOUT_SECONDS = 5.0
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


class Settlement(enum.Enum):
    """What is known about a write after its answer."""

    FOREIGN = "not the write that is waited for"
    WRITTEN = "stored"
    CONFLICT = "certainly not stored; another write came first"
    SET_BACK = "as a conflict, and the store holds an older roster than before"
    DOWN = "certainly not stored; the store is down"
    LOST = "stored or not, or still on its way"


class Pending(NamedTuple):
    """A write without an answer."""

    operation: str
    base: int
    sent: float


class RosterWriter:
    """Schedules the writes of one agent to the roster of its service.

    Parameters
    ----------
    name : str
        The agent's name, which starts every operation id.
    rng : random.Random
        Adds jitter to retries.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._pending: Pending | None = None
        self._operations = 0
        self._retry_at = 0.0
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._stored_incarnation: int | None = None

    @property
    def store_failing(self) -> bool:
        """Whether the last write got no valid answer from the store."""
        return self._backoff > INITIAL_BACKOFF_SECONDS

    def idle(self, now: float) -> bool:
        """Return whether a write may be sent now."""
        return self._pending is None and now >= self._retry_at

    def may_have_written(self, incarnation: int) -> bool:
        """Return whether the store may hold a write of ``incarnation``."""
        return self._pending is not None or self._stored_incarnation == incarnation

    def write(self, now: float, incarnation: int, roster: Roster) -> WriteRoster:
        """Return a write that replaces the revision named in ``roster``."""
        self._operations += 1
        operation = f"{self._name}/{incarnation}/{self._operations}"
        self._pending = Pending(operation, roster.revision, now)
        return WriteRoster(operation, roster)

    def settle(
        self, now: float, event: RosterWritten, incarnation: int, revision: int
    ) -> Settlement:
        """Handle the answer to a write; ``revision`` is the newest known."""
        pending = self._pending
        if pending is None or event.operation != pending.operation:
            return Settlement.FOREIGN
        self._pending = None
        if event.code is Code.OK:
            self._backoff = INITIAL_BACKOFF_SECONDS
            self._stored_incarnation = incarnation
            return Settlement.WRITTEN
        if event.code is Code.CONFLICT:
            self._backoff = INITIAL_BACKOFF_SECONDS
            self.delay(now, INITIAL_BACKOFF_SECONDS * self._rng.random())
            stored = event.roster.revision if event.roster else 0
            if pending.base == revision and stored < revision:
                return Settlement.SET_BACK
            return Settlement.CONFLICT
        self._back_off(now)
        if event.code is Code.STORE_DOWN:
            return Settlement.DOWN
        self._stored_incarnation = incarnation
        return Settlement.LOST

    def expire(self, now: float, incarnation: int) -> bool:
        """Stop waiting for an overdue answer and return whether there was one."""
        if self._pending is None or now - self._pending.sent < WRITE_TIMEOUT_SECONDS:
            return False
        self._pending = None
        self._stored_incarnation = incarnation
        self._back_off(now)
        return True

    def abandon(self, now: float) -> None:
        """Forget the pending write of an incarnation that has ended."""
        self._pending = None
        self._stored_incarnation = None
        self._retry_at = min(self._retry_at, now)

    def delay(self, now: float, seconds: float) -> None:
        """Send no write for ``seconds``."""
        self._retry_at = now + seconds

    def _back_off(self, now: float) -> None:
        self.delay(now, self._backoff * (0.5 + self._rng.random()))
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
