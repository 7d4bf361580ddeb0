"""How a new claim owner finds out whether a key was claimed before.

What goes wrong: the owner of a claim dies or another member joins, ownership
moves, and the new owner has no record of a request that already ran. It would
show as a doubled ticket. So a new owner asks every other live member first,
and grants only if all of them deny it under the same roster revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import ClaimAnswer, ClaimAsk, ClaimIntent, ClaimState

__all__ = ["Finding", "Lookup", "Lookups", "REPEAT_AFTER_SECONDS"]

REPEAT_AFTER_SECONDS = 0.2
LOOKUP_TIMEOUT_SECONDS = 0.5
"""How long a member may be silent before it counts as lost, in seconds."""

SILENT_TIMEOUT_SECONDS = 0.1
"""The same for one that has let a lookup time out and said nothing since."""

LOOKUP_LIFETIME_SECONDS = 5.0
LOOKUPS_LIMIT = 1024


class Finding(NamedTuple):
    """An answer to a LOOK and who gave it."""

    name: str
    answer: ClaimAnswer


@dataclass(slots=True)
class Lookup:
    """One key being looked up for one asker."""

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
        """Whether nothing more is to be learned."""
        states = (answer.state for answer in self.answers_by_name.values())
        return not self.waiting or ClaimState.FINISHED in states

    def losses(self, own: int, covers: bool) -> int:
        """Count the losses and silent members that may hide a claim.

        Whoever has seen every roster for long enough knows of every loss, and
        knows which are repaired; the others know some. So one that covers
        the time decides, and without one the worst that any member knows.

        Parameters
        ----------
        own : int
            The owner's own count, silent members included.
        covers : bool
            Whether the owner itself has seen every roster.
        """
        silent = len(self.waiting)
        answers = self.answers_by_name.values()
        sure = [answer.losses + silent for answer in answers if answer.covers]
        if covers:
            sure.append(own)
        if sure:
            return min(sure)
        return max([own, *(answer.losses + silent for answer in answers)])

    def add_answer(self, sender: str, answer: ClaimAnswer) -> None:
        """Note one member's answer."""
        if sender in self.waiting:
            self.waiting.discard(sender)
            self.answers_by_name[sender] = answer

    def finding(self) -> Finding | None:
        """Return the answer that tells most, None if none tells anything."""
        findings = [
            Finding(name, answer) for name, answer in self.answers_by_name.items()
        ]
        best = max(findings, key=self._weight, default=None)
        return best if best is not None and self._weight(best) else None

    def _weight(self, finding: Finding) -> int:
        """Return how much an answer tells.

        What goes wrong without the order: a grant that was never used stays
        at its owner, which is cut off; when it is back, its record must not
        outdo what became of the key meanwhile. So the word of the runner
        itself counts for more, also if it knows nothing of the grant.
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
    """The lookups of one agent, at most one a key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, Lookup] = {}
        self._silent: set[str] = set()

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: bytes) -> bool:
        return key in self._by_key

    def begin(self, lookup: Lookup) -> bool:
        """Start a lookup; False if there are too many already."""
        if len(self._by_key) >= LOOKUPS_LIMIT:
            return False
        self._by_key[lookup.ask.key] = lookup
        return True

    def add_answer(self, sender: str, answer: ClaimAnswer) -> Lookup | None:
        """Note an answer; return the lookup that it completes."""
        self._silent.discard(sender)
        lookup = self._by_key.get(answer.key)
        if lookup is None or lookup.number != answer.number:
            return None
        lookup.add_answer(sender, answer)
        if not lookup.complete:
            return None
        return self._by_key.pop(answer.key)

    def renumber(self, sender: str, ask: ClaimAsk) -> None:
        """Let the same asker's repeated ask replace its earlier one."""
        lookup = self._by_key[ask.key]
        same = lookup.sender == sender and lookup.ask.intent is ask.intent
        # Members were asked about this very attempt; a refusal that they told
        # of must not be taken for one of a later attempt.
        same = same and lookup.ask.attempt == ask.attempt
        if same and ask.number > lookup.ask.number:
            lookup.ask = ask

    def drop_all(self) -> None:
        """Forget every lookup: the roster that they were made under is old."""
        self._by_key.clear()
        self._silent.clear()

    def overdue(self, now: float) -> list[Lookup]:
        """Return the lookups whose silent members may be counted as lost.

        What goes wrong: a member has died, and until it is marked down each
        new key waits for it as long as the first one did. It would show as
        half a second more for every request of the service.
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
        """Forget a lookup that needs no more answers."""
        self._by_key.pop(lookup.ask.key, None)

    def due(self, now: float) -> list[Lookup]:
        """Return the lookups to be repeated; overdue ones are dropped."""
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
        """Return what the members are asked."""
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
