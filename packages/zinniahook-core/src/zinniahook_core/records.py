"""What one agent remembers of claims, bounded by count, bytes and age."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from .messages import ClaimAsk, ClaimRecord, ClaimState

__all__ = [
    "KEY_LIFETIME",
    "LATENESS",
    "Record",
    "Records",
    "SMALL_ANSWER",
    "UNNUMBERED_LIFETIME",
    "granted",
    "refused",
]

KEY_LIFETIME = 3600.0
"""A caller retries a key for at most this long after its first attempt."""

LATENESS = 20.0
"""A copy of an attempt asks for its claim at most this long after it was sent.

Half of it may be spent waiting at an agent, the rest on the way."""

TOMBSTONE_LIFETIME = 60.0

UNNUMBERED_LIFETIME = 5.0
"""Without attempt numbers the next attempt can't be told from a late copy of
the refused one, so the tombstone lapses after this long and the caller is told
to come back no earlier."""

RECORDS_LIMIT = 20_000
ANSWERS_LIMIT = 4 << 20
SMALL_ANSWER = 900
EXPIRED_PER_CALL = 256

_PRECEDENCE = {
    ClaimState.REFUSED: 1,
    ClaimState.GRANTED: 2,
    ClaimState.RUNNING: 2,
    ClaimState.UNKNOWN: 3,
    ClaimState.FINISHED: 4,
}


@dataclass(slots=True)
class Record:
    """What is known of one key.

    ``at`` is when it was first recorded and ``until`` when it is forgotten,
    in monotonic seconds. ``other`` is a member that holds the record too,
    besides this agent and the runner. ``checked`` is the roster revision under
    which this agent, as the owner, last made sure that it is right, and
    ``number`` that of the ask that it granted then. ``refused`` is the highest
    attempt that was refused before.
    """

    state: ClaimState
    runner: str
    incarnation: int
    attempt: int
    at: float
    until: float
    answer: bytes = b""
    other: str = ""
    other_incarnation: int = 0
    checked: int = 0
    number: int = 0
    refused: int = 0

    @property
    def ran(self) -> bool:
        """Whether the target may have seen the request."""
        return self.state is not ClaimState.REFUSED

    def outdates(self, ask: ClaimAsk) -> bool:
        """Tell whether the runner sent an ask before the one that was granted.

        What goes wrong: a runner asks to refuse a request, then to run a later
        attempt; the first ask is delayed, arrives while the request runs, and
        passes for the runner's word that it gives the grant back.
        """
        if (self.runner, self.incarnation) != (ask.runner, ask.incarnation):
            return False
        return ask.number < self.number or ask.revision < self.checked

    def message(self, now: float, key: bytes) -> ClaimRecord:
        """Return the record as it is sent to a peer."""
        answer = self.answer if len(self.answer) <= SMALL_ANSWER else b""
        age = max(0.0, now - self.at)
        return ClaimRecord(
            key, self.state, self.runner, self.incarnation, self.attempt, age, answer
        )


def granted(now: float, runner: str, incarnation: int, attempt: int) -> Record:
    """Return the record that ``runner`` may run a key."""
    until = now + KEY_LIFETIME
    return Record(ClaimState.GRANTED, runner, incarnation, attempt, now, until)


def refused(now: float, refuser: str, incarnation: int, attempt: int) -> Record:
    """Return the tombstone of a refused attempt."""
    until = now + _lifetime(ClaimState.REFUSED, attempt)
    return Record(ClaimState.REFUSED, refuser, incarnation, attempt, now, until)


def _lifetime(state: ClaimState, attempt: int) -> float:
    if state is not ClaimState.REFUSED:
        return KEY_LIFETIME
    return TOMBSTONE_LIFETIME if attempt else UNNUMBERED_LIFETIME


class Records:
    """Records by key, the oldest forgotten first.

    ``horizon`` is the creation time of the newest record that was forgotten
    before its time. It shows as ``evicted``: without it, a key whose record
    had to make room would look as if it had never run.
    """

    def __init__(
        self, limit: int = RECORDS_LIMIT, answers_limit: int = ANSWERS_LIMIT
    ) -> None:
        self._limit = limit
        self._answers_limit = answers_limit
        self._by_key: OrderedDict[bytes, Record] = OrderedDict()
        self._answered: OrderedDict[bytes, None] = OrderedDict()
        self.answer_bytes = 0
        self.horizon = -math.inf
        self.evicted = 0
        self.evicted_answers = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[tuple[bytes, Record]]:
        return iter(list(self._by_key.items()))

    def newest_first(self) -> list[bytes]:
        """Return all keys, the one recorded last first."""
        return list(reversed(self._by_key))

    def get(self, now: float, key: bytes) -> Record | None:
        """Return the record of a key unless its time is over."""
        record = self._by_key.get(key)
        if record is None or record.until <= now:
            return None
        return record

    def put(self, now: float, key: bytes, record: Record) -> None:
        """Keep a record in place of any other of its key."""
        known = self._by_key.get(key)
        if known is not None:
            told = 0 if known.ran else known.attempt
            record.refused = max(record.refused, known.refused, told)
        if known is not None and not (known.ran or record.ran):
            record.attempt = max(record.attempt, known.attempt)
            record.until = max(record.until, known.until)
        self.remove(key)
        self._by_key[key] = record
        if record.answer:
            self._answered[key] = None
            self.answer_bytes += len(record.answer)
        self._make_room(now)

    def remove(self, key: bytes) -> None:
        """Forget a key on purpose."""
        record = self._by_key.pop(key, None)
        if record is not None and record.answer:
            del self._answered[key]
            self.answer_bytes -= len(record.answer)

    def absorb(
        self, now: float, message: ClaimRecord, sender: str, incarnation: int
    ) -> bool:
        """Take a record from a peer; False if it contradicts one held here.

        ``incarnation`` is the sender's, who holds the record too.
        """
        known = self.get(now, message.key)
        if known is not None and not _supersedes(known, message):
            refusals = not known.ran and message.state is ClaimState.REFUSED
            return refusals or known.runner == message.runner
        at = now - message.age
        record = Record(
            message.state,
            message.runner,
            message.incarnation,
            message.attempt,
            at,
            at + _lifetime(message.state, message.attempt),
            message.answer,
            sender,
            incarnation,
        )
        self.put(now, message.key, record)
        return True

    def expire(self, now: float) -> None:
        """Forget some of the records whose time is over, the oldest first."""
        for _ in range(EXPIRED_PER_CALL):
            key = next(iter(self._by_key), None)
            if key is None or self._by_key[key].until > now:
                return
            self.remove(key)

    def _make_room(self, now: float) -> None:
        while self.answer_bytes > self._answers_limit:
            key, _ = self._answered.popitem(last=False)
            record = self._by_key[key]
            self.answer_bytes -= len(record.answer)
            record.answer = b""
            self.evicted_answers += 1
        while len(self._by_key) > self._limit:
            key = next(iter(self._by_key))
            record = self._by_key[key]
            if record.until > now and record.ran:
                self.horizon = max(self.horizon, record.at)
                self.evicted += 1
            self.remove(key)


def _supersedes(known: Record, message: ClaimRecord) -> bool:
    old, new = _PRECEDENCE[known.state], _PRECEDENCE.get(message.state, 0)
    if message.state is ClaimState.REFUSED and known.ran:
        # A runner may give its grant back, unless it got a later one since;
        # without attempt numbers that can't be told.
        given_back = known.runner == message.runner and message.attempt > 0
        unused = known.state is ClaimState.GRANTED
        return given_back and unused and message.attempt >= known.attempt
    if old != new:
        return new > old
    if message.state is ClaimState.REFUSED:
        return message.attempt >= known.attempt
    return not known.answer and bool(message.answer)
