"""Claim records of one agent, bounded by count, bytes and age."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from .messages import ClaimAsk, ClaimRecord, ClaimState

__all__ = [
    "KEY_LIFETIME_SECONDS",
    "MAX_LATENESS_SECONDS",
    "Record",
    "Records",
    "SMALL_ANSWER_BYTES",
    "UNNUMBERED_TOMBSTONE_SECONDS",
    "granted",
    "refused",
]

KEY_LIFETIME_SECONDS = 3600.0
"""Longest time after the first attempt in which a caller retries a key."""

MAX_LATENESS_SECONDS = 20.0
"""Longest time from sending a copy of an attempt to the ask for its claim.

A copy may wait at an agent for half of it; the rest is for its transport."""

TOMBSTONE_LIFETIME_SECONDS = 60.0
"""How long the refusal of a numbered attempt is kept."""

UNNUMBERED_TOMBSTONE_SECONDS = 5.0
"""How long the refusal of an attempt without a number is kept.

Without attempt numbers, the next attempt can't be distinguished from a late copy
of the refused one. So the caller's Retry-After is at least this long."""

MAX_RECORDS = 20_000

MAX_ANSWERS_BYTES = 4 << 20
"""Limit on the total size of stored answers."""

SMALL_ANSWER_BYTES = 900
"""Largest answer that a claim message carries."""

MAX_EXPIRED_PER_CALL = 256
"""Limit on the work of one call of ``Records.expire``."""

_PRECEDENCE = {
    ClaimState.REFUSED: 1,
    ClaimState.GRANTED: 2,
    ClaimState.RUNNING: 2,
    ClaimState.UNKNOWN: 3,
    ClaimState.FINISHED: 4,
}


@dataclass(slots=True)
class Record:
    """The record of the claim of one key.

    ``recorded_at`` is when it was first recorded and ``expires_at`` when it is
    forgotten, in monotonic seconds. ``other_holder`` is a member that holds the
    record too, besides this agent and the runner. ``checked_revision`` is the
    roster revision under which this agent, as the owner, last made sure that it
    is right, and ``ask_number`` the number of the ask that it granted then.
    ``highest_refused_attempt`` is the highest attempt that was refused before.
    """

    state: ClaimState
    runner: str
    incarnation: int
    attempt: int
    recorded_at: float
    expires_at: float
    answer: bytes = b""
    other_holder: str = ""
    other_holder_incarnation: int = 0
    checked_revision: int = 0
    ask_number: int = 0
    highest_refused_attempt: int = 0

    @property
    def ran(self) -> bool:
        """Whether the target may have received the request."""
        return self.state is not ClaimState.REFUSED

    def outdates(self, ask: ClaimAsk) -> bool:
        """Return whether the runner sent an ask before the one that was granted.

        A runner may ask to refuse a request and then to run a later attempt.
        If the first ask is delayed and arrives while the request runs, it must
        not be read as the runner returning its grant.
        """
        if (self.runner, self.incarnation) != (ask.runner, ask.incarnation):
            return False
        return ask.number < self.ask_number or ask.revision < self.checked_revision

    def message(self, now: float, key: bytes) -> ClaimRecord:
        """Return the record as a message for a peer."""
        answer = self.answer if len(self.answer) <= SMALL_ANSWER_BYTES else b""
        age = max(0.0, now - self.recorded_at)
        return ClaimRecord(
            key, self.state, self.runner, self.incarnation, self.attempt, age, answer
        )


def granted(now: float, runner: str, incarnation: int, attempt: int) -> Record:
    """Return the record of a grant: ``runner`` may run the key."""
    until = now + KEY_LIFETIME_SECONDS
    return Record(ClaimState.GRANTED, runner, incarnation, attempt, now, until)


def refused(now: float, refuser: str, incarnation: int, attempt: int) -> Record:
    """Return the tombstone of a refused attempt."""
    until = now + _lifetime_seconds(ClaimState.REFUSED, attempt)
    return Record(ClaimState.REFUSED, refuser, incarnation, attempt, now, until)


def _lifetime_seconds(state: ClaimState, attempt: int) -> float:
    if state is not ClaimState.REFUSED:
        return KEY_LIFETIME_SECONDS
    return TOMBSTONE_LIFETIME_SECONDS if attempt else UNNUMBERED_TOMBSTONE_SECONDS


class Records:
    """Records by key, of which the oldest are evicted first.

    ``eviction_horizon`` is the creation time of the newest record that was
    evicted before it expired; ``evicted`` counts such records. Without this
    time, a key whose record was evicted would look as if it had never run.
    """

    def __init__(
        self, limit: int = MAX_RECORDS, answers_limit_bytes: int = MAX_ANSWERS_BYTES
    ) -> None:
        self._limit = limit
        self._answers_limit_bytes = answers_limit_bytes
        self._by_key: OrderedDict[bytes, Record] = OrderedDict()
        self._answered: OrderedDict[bytes, None] = OrderedDict()
        self.answer_bytes = 0
        self.eviction_horizon = -math.inf
        self.evicted = 0
        self.evicted_answers = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[tuple[bytes, Record]]:
        return iter(list(self._by_key.items()))

    def newest_first(self) -> list[bytes]:
        """Return all keys, the most recently stored first."""
        return list(reversed(self._by_key))

    def get(self, now: float, key: bytes) -> Record | None:
        """Return the record of a key, or None if it is missing or expired."""
        record = self._by_key.get(key)
        if record is None or record.expires_at <= now:
            return None
        return record

    def put(self, now: float, key: bytes, record: Record) -> None:
        """Store a record in place of the present one of its key."""
        known = self._by_key.get(key)
        if known is not None:
            refused_attempt = 0 if known.ran else known.attempt
            record.highest_refused_attempt = max(
                record.highest_refused_attempt,
                known.highest_refused_attempt,
                refused_attempt,
            )
        if known is not None and not (known.ran or record.ran):
            record.attempt = max(record.attempt, known.attempt)
            record.expires_at = max(record.expires_at, known.expires_at)
        self.remove(key)
        self._by_key[key] = record
        if record.answer:
            self._answered[key] = None
            self.answer_bytes += len(record.answer)
        self._evict(now)

    def remove(self, key: bytes) -> None:
        """Remove the record of a key; this doesn't count as an eviction."""
        record = self._by_key.pop(key, None)
        if record is not None and record.answer:
            del self._answered[key]
            self.answer_bytes -= len(record.answer)

    def merge(
        self, now: float, message: ClaimRecord, sender: str, incarnation: int
    ) -> bool:
        """Store a record from a peer; return False if it contradicts one held here.

        ``incarnation`` is that of the sender, which holds the record too.
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
            at + _lifetime_seconds(message.state, message.attempt),
            message.answer,
            sender,
            incarnation,
        )
        self.put(now, message.key, record)
        return True

    def expire(self, now: float) -> None:
        """Remove some of the expired records, the oldest first."""
        for _ in range(MAX_EXPIRED_PER_CALL):
            key = next(iter(self._by_key), None)
            if key is None or self._by_key[key].expires_at > now:
                return
            self.remove(key)

    def _evict(self, now: float) -> None:
        while self.answer_bytes > self._answers_limit_bytes:
            key, _ = self._answered.popitem(last=False)
            record = self._by_key[key]
            self.answer_bytes -= len(record.answer)
            record.answer = b""
            self.evicted_answers += 1
        while len(self._by_key) > self._limit:
            key = next(iter(self._by_key))
            record = self._by_key[key]
            if record.expires_at > now and record.ran:
                self.eviction_horizon = max(self.eviction_horizon, record.recorded_at)
                self.evicted += 1
            self.remove(key)


def _supersedes(known: Record, message: ClaimRecord) -> bool:
    old, new = _PRECEDENCE[known.state], _PRECEDENCE.get(message.state, 0)
    if message.state is ClaimState.REFUSED and known.ran:
        # A runner may return its grant unless it got a later one since. Without
        # attempt numbers these cases can't be distinguished.
        given_back = known.runner == message.runner and message.attempt > 0
        unused = known.state is ClaimState.GRANTED
        return given_back and unused and message.attempt >= known.attempt
    if old != new:
        return new > old
    if message.state is ClaimState.REFUSED:
        return message.attempt >= known.attempt
    return not known.answer and bool(message.answer)
