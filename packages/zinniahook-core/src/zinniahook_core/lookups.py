"""How a new claim owner finds out whether a key was claimed before.

What goes wrong: the owner of a claim dies or another member joins, ownership
moves, and the new owner has no record of a request that already ran. It would
show as a doubled ticket. So a new owner asks every other live member first,
and grants only if all of them deny it under the same roster revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .messages import ClaimAnswer, ClaimAsk, ClaimIntent, ClaimState

__all__ = ["Lookup", "Lookups", "REPEAT_AFTER"]

REPEAT_AFTER = 0.2
LOOKUP_LIFETIME = 5.0
LOOKUPS_LIMIT = 1024


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
    losses: int = 0
    found: ClaimAnswer | None = None

    @property
    def complete(self) -> bool:
        """Whether nothing more is to be learned."""
        if not self.waiting:
            return True
        return self.found is not None and self.found.state in (
            ClaimState.RUNNING,
            ClaimState.FINISHED,
        )

    def take(self, sender: str, answer: ClaimAnswer) -> None:
        """Note one member's answer."""
        if sender not in self.waiting:
            return
        self.waiting.discard(sender)
        self.losses = max(self.losses, answer.losses)
        if answer.state is ClaimState.NONE:
            return
        # FINISHED tells most; a refusal may be older than a run that it missed.
        order = (
            ClaimState.REFUSED,
            ClaimState.UNKNOWN,
            ClaimState.RUNNING,
            ClaimState.FINISHED,
        )
        if self.found is None or order.index(answer.state) > order.index(
            self.found.state
        ):
            self.found = answer


class Lookups:
    """The lookups of one agent, at most one a key."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, Lookup] = {}

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

    def take(self, sender: str, answer: ClaimAnswer) -> Lookup | None:
        """Note an answer; return the lookup that it completes."""
        lookup = self._by_key.get(answer.key)
        if lookup is None or lookup.number != answer.number:
            return None
        lookup.take(sender, answer)
        if not lookup.complete:
            return None
        return self._by_key.pop(answer.key)

    def renumber(self, sender: str, ask: ClaimAsk) -> None:
        """Let the same asker's repeated ask replace its earlier one."""
        lookup = self._by_key[ask.key]
        same = lookup.sender == sender and lookup.ask.intent is ask.intent
        if same and ask.number > lookup.ask.number:
            lookup.ask = ask

    def drop_all(self) -> None:
        """Forget every lookup: the roster that they were made under is old."""
        self._by_key.clear()

    def due(self, now: float) -> list[Lookup]:
        """Return the lookups to be repeated; overdue ones are dropped."""
        for key, lookup in list(self._by_key.items()):
            if now - lookup.begun_at > LOOKUP_LIFETIME:
                del self._by_key[key]
        due = [
            lookup
            for lookup in self._by_key.values()
            if now - lookup.sent_at >= REPEAT_AFTER
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
