"""Lookups by which a new claim owner learns whether a key was claimed before.

When the owner of a claim dies or a member joins, ownership moves, and the new owner
has no record of a request that already ran. Without a lookup it would run twice,
which shows as a doubled ticket. A new owner therefore asks all other live members
and grants the claim only if all of them deny it under the same roster revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import ClaimAnswer, ClaimAsk, ClaimIntent, ClaimState

__all__ = ["Finding", "Lookup", "Lookups", "REPEAT_AFTER_SECONDS"]

REPEAT_AFTER_SECONDS = 0.2
LOOKUP_TIMEOUT_SECONDS = 0.5
"""How long a lookup waits for a member before it is counted as lost."""

SILENT_TIMEOUT_SECONDS = 0.1
"""The timeout for members that let a lookup time out and haven't sent since."""

LOOKUP_LIFETIME_SECONDS = 5.0
LOOKUPS_LIMIT = 1024


class Finding(NamedTuple):
    """An answer to a LOOK and the member that sent it."""

    name: str
    answer: ClaimAnswer


@dataclass(slots=True)
class Lookup:
    """The lookup of a key for one asker."""

    number: int
    sender: str
    ask: ClaimAsk
    revision: int
    waiting: set[str]
    begun_at: float
    sent_at: float = field(default=0.0)
    answers_by_name: dict[str, ClaimAnswer] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Whether further answers can't change the result."""
        states = (answer.state for answer in self.answers_by_name.values())
        return not self.waiting or ClaimState.FINISHED in states

    def losses(self, own: int, covers: bool) -> int:
        """Count the lost and silent members that may hide a claim.

        A member that has seen every roster for long enough knows every loss, and
        which of them are repaired. Other members know only some losses. The lowest
        count of a member that covers the time is therefore decisive. Without such a
        member, the highest count of any member is used.

        Parameters
        ----------
        own : int
            The owner's own count, silent members included.
        covers : bool
            Whether the owner itself has seen every roster.
        """
        silent = len(self.waiting)
        answers = self.answers_by_name.values()
        covering = [answer.losses + silent for answer in answers if answer.covers]
        if covers:
            covering.append(own)
        if covering:
            return min(covering)
        return max([own, *(answer.losses + silent for answer in answers)])

    def add_answer(self, sender: str, answer: ClaimAnswer) -> None:
        """Record the answer of a member."""
        if sender in self.waiting:
            self.waiting.discard(sender)
            self.answers_by_name[sender] = answer

    def finding(self) -> Finding | None:
        """Return the most significant answer, or None if no member knows a claim."""
        findings = [
            Finding(name, answer) for name, answer in self.answers_by_name.items()
        ]
        best = max(findings, key=self._weight, default=None)
        return best if best is not None and self._weight(best) else None

    def _weight(self, finding: Finding) -> int:
        """Return the significance of an answer.

        Without this order, an owner that was cut off with an unused grant would
        return with a record that overrides what happened to the key meanwhile. The
        answer of the runner itself therefore weighs more, even if it doesn't know
        the grant.
        """
        name, answer = finding
        if answer.state is ClaimState.RUNNING:
            if answer.runner == name:
                return 4
            denied = answer.runner in (self.sender, *self.answers_by_name)
            return 0 if denied else 2
        return _WEIGHT_BY_STATE[answer.state]


_WEIGHT_BY_STATE = {
    ClaimState.FINISHED: 5,
    ClaimState.UNKNOWN: 3,
    ClaimState.REFUSED: 1,
    ClaimState.NONE: 0,
    ClaimState.GRANTED: 0,
}


class Lookups:
    """The lookups of one agent, at most one per key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, Lookup] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: bytes) -> bool:
        return key in self._by_key

    def begin(self, lookup: Lookup) -> bool:
        """Start a lookup and return False if there are too many."""
        if len(self._by_key) >= LOOKUPS_LIMIT:
            return False
        self._by_key[lookup.ask.key] = lookup
        return True

    def add_answer(self, sender: str, answer: ClaimAnswer) -> Lookup | None:
        """Record an answer and return the lookup that it completes, or None."""
        self._silent.discard(sender)
        lookup = self._by_key.get(answer.key)
        if lookup is None or lookup.number != answer.number:
            return None
        lookup.add_answer(sender, answer)
        if not lookup.complete:
            return None
        return self._by_key.pop(answer.key)

    def renumber(self, sender: str, ask: ClaimAsk) -> None:
        """Replace an ask by a repetition of the same asker."""
        lookup = self._by_key[ask.key]
        same = lookup.sender == sender and lookup.ask.intent is ask.intent
        # Members were asked about this attempt. A refusal that they reported must
        # not be applied to a later one.
        same = same and lookup.ask.attempt == ask.attempt
        if same and ask.number > lookup.ask.number:
            lookup.ask = ask

    def drop_all(self) -> None:
        """Drop all lookups when the roster that they were made under is replaced."""
        self._by_key.clear()
        self._silent.clear()

    def overdue(self, now: float) -> list[Lookup]:
        """Return the lookups whose silent members may be counted as lost.

        Without the shorter timeout for silent members, every lookup would wait for
        a dead member until it is marked down, which would add half a second to each
        request of the service.
        """
        for lookup in self._by_key.values():
            if now - lookup.begun_at >= LOOKUP_TIMEOUT_SECONDS:
                self._silent |= lookup.waiting
        return [
            lookup
            for lookup in self._by_key.values()
            if now - lookup.begun_at >= self._timeout(lookup)
        ]

    def _timeout(self, lookup: Lookup) -> float:
        return (
            SILENT_TIMEOUT_SECONDS
            if lookup.waiting <= self._silent
            else LOOKUP_TIMEOUT_SECONDS
        )

    def end(self, lookup: Lookup) -> None:
        """Remove a lookup that needs no more answers."""
        self._by_key.pop(lookup.ask.key, None)

    def due(self, now: float) -> list[Lookup]:
        """Return the lookups to repeat, and drop those past their lifetime."""
        for key, lookup in list(self._by_key.items()):
            if now - lookup.begun_at > LOOKUP_LIFETIME_SECONDS:
                del self._by_key[key]
        due = [
            lookup
            for lookup in self._by_key.values()
            if now - lookup.sent_at >= REPEAT_AFTER_SECONDS
        ]
        for lookup in due:
            lookup.sent_at = now
        return due

    @staticmethod
    def message(lookup: Lookup, name: str, incarnation: int) -> ClaimAsk:
        """Return the message that is sent to the members."""
        ask = lookup.ask
        return ClaimAsk(
            lookup.number,
            ask.key,
            ClaimIntent.LOOK,
            ask.attempt,
            name,
            incarnation,
            lookup.revision,
        )
