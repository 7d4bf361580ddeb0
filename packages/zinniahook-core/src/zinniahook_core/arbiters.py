"""The claim owner's decisions: which agent may run or refuse a key.

An owner answers from its records. If it may have become the owner recently, it
looks the key up at every other live member before it grants it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .codes import Code
from .effects import AgentEffect, Count, SendPeer
from .lookups import Finding, Lookup, Lookups
from .messages import ClaimAnswer, ClaimAsk, ClaimIntent, ClaimState
from .records import (
    KEY_LIFETIME_SECONDS,
    MAX_LATENESS_SECONDS,
    SMALL_ANSWER_BYTES,
    Record,
    Records,
    granted,
    refused,
)
from .views import MembershipView

__all__ = ["Arbiter", "answer_from_record"]

UNPROVABLE_LOSSES = 2
"""Losses of records after which a missing claim proves nothing.

Two members hold each claim, so a single loss leaves one record."""


def answer_from_record(
    now: float, view: MembershipView, ask: ClaimAsk, record: Record
) -> ClaimAnswer:
    """Return the answer from a record to an asker that isn't its runner."""
    state = record.state
    if state is ClaimState.GRANTED:
        state = ClaimState.RUNNING
    answer = record.answer if len(record.answer) <= SMALL_ANSWER_BYTES else b""
    needs_runner = state is ClaimState.RUNNING or (
        state is ClaimState.FINISHED and not answer
    )
    if needs_runner and not view.current(record.runner, record.incarnation):
        state = ClaimState.UNKNOWN
    code = Code.ANSWER_LOST if state is ClaimState.UNKNOWN else Code.OK
    retry_after = record.expires_at - now if state is ClaimState.REFUSED else 0.0
    return ClaimAnswer(
        ask.number,
        ask.key,
        state,
        record.runner,
        answer,
        min(retry_after, MAX_LATENESS_SECONDS),
        code,
        record.incarnation,
    )


class Arbiter:
    """Decides on asks and looks up earlier claims at other members.

    Parameters
    ----------
    view : MembershipView
        The members as this agent sees them.
    records : Records
        The claim records that this agent holds.
    effects : list of AgentEffect
        The list to which messages and counts are added.
    next_number : callable
        Returns a fresh number for a lookup.
    """

    def __init__(
        self,
        view: MembershipView,
        records: Records,
        effects: list[AgentEffect],
        next_number: Callable[[], int],
    ) -> None:
        self._view = view
        self._records = records
        self._effects = effects
        self._next_number = next_number
        self._lookups = Lookups()

    def decide(self, now: float, sender: str, ask: ClaimAsk) -> ClaimAnswer | None:
        """Answer an ask; return None if it has to wait or isn't for this agent."""
        if ask.revision > self._view.revision:
            self._effects.append(Count("claims.view_stale"))
            return None
        if self._view.owner(ask.key) != self._view.name:
            return None
        if ask.key in self._lookups:
            self._lookups.renumber(sender, ask)
            return None
        record = self._records.get(now, ask.key)
        if record is not None and record.outdates(ask):
            return None
        if self._needs_lookup(now, ask.key, record):
            return self._begin_lookup(now, sender, ask)
        missing = self._count_evicted(now, ask.attempt)
        return self._decide(now, sender, ask, record, missing)

    def look(self, now: float, sender: str, ask: ClaimAsk) -> ClaimAnswer | None:
        """Answer a new owner's LOOK; return None if the rosters differ.

        Under an older roster than the owner's, this agent could still grant or
        run the key after it reported no claim. Under a newer one it never does.
        """
        if ask.revision != self._view.revision:
            self._effects.append(Count("claims.view_stale"))
            return None
        record = self._records.get(now, ask.key)
        if self._is_evidence(ask, record):
            answer = answer_from_record(now, self._view, ask, record)
        else:
            answer = ClaimAnswer(ask.number, ask.key, ClaimState.NONE, "")
        losses = self._count_losses(now, ask)
        covers = self._view.covers(now, _claim_window(ask.attempt))
        return answer._replace(losses=losses, covers=covers)

    def receive_look_answer(
        self, now: float, sender: str, answer: ClaimAnswer
    ) -> tuple[str, ClaimAnswer] | None:
        """Handle the answer to a LOOK.

        Returns
        -------
        (str, ClaimAnswer) or None
            The asker and the answer to its ask, once that is decided.
        """
        lookup = self._lookups.add_answer(sender, answer)
        return self._conclude(now, lookup) if lookup else None

    def tick(self, now: float) -> list[tuple[str, ClaimAnswer]]:
        """Repeat unanswered lookups and conclude overdue ones.

        A silent member counts as one loss: of the two holders of a claim, the
        other one has answered. Return pairs of asker and answer.
        """
        concluded = []
        for lookup in self._lookups.overdue(now):
            if self._count_missing(now, lookup) >= UNPROVABLE_LOSSES:
                continue
            self._lookups.end(lookup)
            concluded.append(self._conclude(now, lookup))
        for lookup in self._lookups.due(now):
            self._send_look(lookup)
        return concluded

    def reset(self) -> None:
        """Drop the lookups made under an older roster; the askers ask again."""
        self._lookups.drop_all()

    def _is_evidence(self, ask: ClaimAsk, record: Record | None) -> bool:
        """Return whether a record is evidence of a claim in a lookup.

        An unused grant to this agent is none: it was asked for under an older
        roster and is void. Counted as a run, it would override a later refusal.
        """
        if record is None:
            return False
        if record.state is ClaimState.GRANTED and record.runner == self._view.name:
            return False
        return record.ran or _is_late(ask, record)

    def _count_missing(self, now: float, lookup: Lookup) -> int:
        """Count the losses and silent members that may hide a claim."""
        own = self._count_losses(now, lookup.ask, lookup.waiting)
        covers = self._view.covers(now, _claim_window(lookup.ask.attempt))
        return lookup.losses(own, covers)

    def _needs_lookup(self, now: float, key: bytes, record: Record | None) -> bool:
        """Return whether other members may know more of a key than this owner."""
        if record is not None and record.state is ClaimState.FINISHED:
            return False
        # A refusal never counts as checked: another member may know one of a
        # later attempt.
        checked = record is not None and record.ran
        if checked and record.checked_revision == self._view.revision:
            return False
        return self._view.may_have_moved(now, key)

    def _conclude(self, now: float, lookup: Lookup) -> tuple[str, ClaimAnswer]:
        ask = lookup.ask
        missing = self._count_missing(now, lookup)
        own = self._records.get(now, ask.key)
        if self._is_evidence(ask, own):
            own_answer = answer_from_record(now, self._view, ask, own)
        else:
            own_answer = ClaimAnswer(ask.number, ask.key, ClaimState.NONE, "")
        lookup.answers_by_name[self._view.name] = own_answer
        finding = lookup.finding()
        if finding is None:
            if own is not None and own.ran:
                self._records.remove(ask.key)
        elif finding.name != self._view.name:
            self._record_finding(now, ask, finding)
        record = self._records.get(now, ask.key)
        return lookup.sender, self._decide(now, lookup.sender, ask, record, missing)

    def _decide(
        self,
        now: float,
        sender: str,
        ask: ClaimAsk,
        record: Record | None,
        missing: int,
    ) -> ClaimAnswer:
        if record is not None and record.ran:
            return self._decide_claimed(now, sender, ask, record)
        return self._decide_unclaimed(now, sender, ask, missing)

    def _decide_claimed(
        self, now: float, sender: str, ask: ClaimAsk, record: Record
    ) -> ClaimAnswer:
        own = (record.runner, record.incarnation) == (sender, ask.incarnation)
        runs = ask.intent is ClaimIntent.RUN
        if own and runs and 0 < ask.attempt <= record.highest_refused_attempt:
            # An unused grant is void after a later refusal of the same attempt.
            return ClaimAnswer(ask.number, ask.key, ClaimState.REFUSED, sender)
        if own and record.state in (ClaimState.GRANTED, ClaimState.RUNNING):
            # The runner asks again only if it hasn't run the request.
            return self._grant(now, sender, ask)
        return answer_from_record(now, self._view, ask, record)

    def _decide_unclaimed(
        self, now: float, sender: str, ask: ClaimAsk, losses: int
    ) -> ClaimAnswer:
        if losses >= UNPROVABLE_LOSSES:
            self._effects.append(Count("claims.unprovable"))
            return ClaimAnswer(
                ask.number, ask.key, ClaimState.UNKNOWN, "", code=Code.ANSWER_LOST
            )
        record = self._records.get(now, ask.key)
        late = record is not None and _is_late(ask, record)
        if late and ask.intent is ClaimIntent.RUN:
            return answer_from_record(now, self._view, ask, record)
        return self._grant(now, sender, ask)

    def _grant(self, now: float, sender: str, ask: ClaimAsk) -> ClaimAnswer:
        make = granted if ask.intent is ClaimIntent.RUN else refused
        record = make(now, sender, ask.incarnation, ask.attempt)
        record.checked_revision = self._view.revision
        record.ask_number = ask.number
        self._records.put(now, ask.key, record)
        return ClaimAnswer(ask.number, ask.key, record.state, sender)

    def _count_losses(
        self, now: float, ask: ClaimAsk, silent: Iterable[str] = ()
    ) -> int:
        """Count the losses and ``silent`` members that may hide a claim."""
        window = _claim_window(ask.attempt)
        losses = self._view.losses(now, window, ask.key, silent)
        return losses + self._count_evicted(now, ask.attempt)

    def _count_evicted(self, now: float, attempt: int) -> int:
        """Return UNPROVABLE_LOSSES if a relevant record may have been evicted."""
        return (
            UNPROVABLE_LOSSES
            if self._records.eviction_horizon > now - _claim_window(attempt)
            else 0
        )

    def _begin_lookup(
        self, now: float, sender: str, ask: ClaimAsk
    ) -> ClaimAnswer | None:
        waiting = {name for name in self._view.live if name != sender}
        if not waiting:
            record = self._records.get(now, ask.key)
            return self._decide(now, sender, ask, record, self._count_losses(now, ask))
        lookup = Lookup(
            self._next_number(), sender, ask, self._view.revision, waiting, now, now
        )
        if self._lookups.begin(lookup):
            self._send_look(lookup)
        return None

    def _send_look(self, lookup: Lookup) -> None:
        view = self._view
        message = self._lookups.message(lookup, view.name, view.incarnation)
        self._effects += [SendPeer(name, message) for name in sorted(lookup.waiting)]

    def _record_finding(self, now: float, ask: ClaimAsk, finding: Finding) -> None:
        name, found = finding
        state = found.state
        if state is ClaimState.RUNNING:
            state = ClaimState.GRANTED
        refusal = state is ClaimState.REFUSED
        lifetime = found.retry_after if refusal else KEY_LIFETIME_SECONDS
        record = Record(
            state,
            found.runner,
            found.incarnation,
            ask.attempt,
            now,
            now + lifetime,
            found.answer,
            name,
            self._view.incarnation_of(name),
            self._view.revision,
        )
        self._records.put(now, ask.key, record)


def _claim_window(attempt: int) -> float:
    """Return how long before an ask a run of its key may have begun, in seconds.

    A copy of a first attempt is at most MAX_LATENESS_SECONDS old, and so is any
    run under its key.
    """
    return MAX_LATENESS_SECONDS if attempt == 1 else KEY_LIFETIME_SECONDS


def _is_late(ask: ClaimAsk, record: Record) -> bool:
    """Return whether an ask is for a copy of an attempt that was refused."""
    if not record.attempt or not ask.attempt:
        return True
    return ask.attempt <= record.attempt
