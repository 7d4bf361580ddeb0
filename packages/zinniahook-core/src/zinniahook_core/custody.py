"""Keeping each record of a claim at two members.

It takes copies from peers, copies again what was held together with a member
that is lost, and tells the others once that is done.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .effects import AgentEffect, Count, SendPeer
from .handovers import Handover
from .messages import ClaimFinished, ClaimRecords, ClaimState
from .records import KEY_LIFETIME_SECONDS, SMALL_ANSWER_BYTES, Record, Records
from .views import View

__all__ = ["Custody"]

ANNOUNCE_AGAIN = 1.0
DECLARE_INTERVAL = 1.0


@dataclass(slots=True)
class Declaration:
    """What the others are being told: nothing is held by this agent alone."""

    number: int
    revision: int
    sent_at: float = -math.inf
    acknowledged: set[str] = field(default_factory=set)


class Custody:
    """The records that this agent holds, and what it owes to other holders.

    Parameters
    ----------
    view : View
        The members as this agent sees them.
    records : Records
        What this agent remembers.
    effects : list of AgentEffect
        Where messages and counts are put.
    next_number : callable
        Returns a fresh number for a message.

    Attributes
    ----------
    leaving : bool
        Two others have to hold each record, for this agent will not.
    remembers : int
        The first incarnation of this process; it has forgotten nothing since.
    """

    def __init__(
        self,
        view: View,
        records: Records,
        effects: list[AgentEffect],
        next_number: Callable[[], int],
    ) -> None:
        self._view = view
        self._records = records
        self._effects = effects
        self._next_number = next_number
        self._announcements: deque[tuple[float, bytes]] = deque()
        self._handover: Handover | None = None
        self._declared: Declaration | None = None
        self.leaving = False
        self.remembers = 0

    @property
    def handed_over(self) -> bool:
        """Whether others hold all that is held here."""
        return self._handover is None or self._handover.done

    def finished(self, now: float, key: bytes, answer: bytes) -> None:
        """Keep the answer of what ran here and tell the other holders."""
        self._end(now, key, ClaimState.FINISHED, answer)
        self._announce(now, key)
        self._announcements.append((now + ANNOUNCE_AGAIN, key))

    def failed(self, now: float, key: bytes) -> None:
        """Note that nobody can tell what became of what ran here."""
        self._end(now, key, ClaimState.UNKNOWN, b"")

    def acknowledged(self, now: float, sender: str, number: int) -> bool:
        """Note an acknowledgement; False if it is of something else."""
        if self._declared is not None and number == self._declared.number:
            self._declared.acknowledged.add(sender)
            return True
        handover = self._handover
        return handover is not None and handover.acknowledged(now, sender, number)

    def tick(self, now: float) -> None:
        """Send what is due."""
        while self._announcements and self._announcements[0][0] <= now:
            self._announce(now, self._announcements.popleft()[1])
        if self._handover is not None:
            self._effects += self._handover.send(now)
        self._declare(now)

    def _end(self, now: float, key: bytes, state: ClaimState, answer: bytes) -> None:
        record = self._records.get(now, key)
        attempt = record.attempt if record else 0
        incarnation = record.incarnation if record else self._view.incarnation
        until = now + KEY_LIFETIME_SECONDS
        ended = Record(state, self._view.name, incarnation, attempt, now, until, answer)
        if record is not None:
            ended.other_holder = record.other_holder
            ended.other_holder_incarnation = record.other_holder_incarnation
        self._records.put(now, key, ended)

    def _announce(self, now: float, key: bytes) -> None:
        record = self._records.get(now, key)
        if record is None or record.state is not ClaimState.FINISHED:
            return
        answer = record.answer if len(record.answer) <= SMALL_ANSWER_BYTES else b""
        message = ClaimFinished(key, self._view.name, record.incarnation, True, answer)
        holders = self._view.partners(key)
        if self._view.owner(key) == self._view.name or self.leaving:
            holders = holders[:2]
        else:
            holders = holders[:1]
        self._effects += [SendPeer(name, message) for name in holders]

    def told_finished(self, now: float, sender: str, message: ClaimFinished) -> None:
        """Learn that a peer has finished a request, and keep its answer."""
        if message.runner != sender or not message.started:
            return
        record = Record(
            ClaimState.FINISHED,
            sender,
            message.incarnation,
            0,
            now,
            now + KEY_LIFETIME_SECONDS,
            message.answer,
        )
        told = record.message(now, message.key)
        self._records.merge(now, told, sender, message.incarnation)

    def told_records(self, now: float, sender: str, message: ClaimRecords) -> None:
        """Take a peer's records or its declaration, and acknowledge them."""
        if not self._view.valid(sender, message.incarnation):
            return
        if not message.records:
            current = self._view.current(sender, message.incarnation)
            if not current or sender not in self._view.live:
                # A new life of that name must not speak for the one whose
                # death this agent hasn't heard of yet; and whoever isn't asked
                # in lookups can't stand for what it holds.
                return
            if message.remembers:
                self._view.remember(sender, message.remembers)
            self._view.declare(sender, message.revision)
        elif not self._take_records(now, sender, message):
            return
        reply = ClaimRecords(
            self._view.name, self._view.incarnation, message.number, ()
        )
        self._effects.append(SendPeer(sender, reply))

    def _take_records(self, now: float, sender: str, message: ClaimRecords) -> bool:
        """Hold a peer's records; False if they must not count as held."""
        if 0 < message.revision < self._view.revision:
            # Ownership may have moved since, and this agent may have told the
            # new owner that it knows of no claim.
            self._effects.append(Count("claims.view_stale"))
            return False
        taken = [
            self._records.merge(now, record, sender, message.incarnation)
            for record in message.records
        ]
        if message.revision and not all(taken):
            self._effects.append(Count("claims.contradictions"))
            return False
        return True

    def hand_over(self) -> None:
        """Start to copy whatever has too few holders."""
        holders = 2 if self.leaving else 1
        self._handover = Handover(self._view, self._records, self._next_number, holders)

    def _declare(self, now: float) -> None:
        """Tell the others once a handover is complete.

        They may then disregard the losses that it made good.
        """
        handover = self._handover
        if handover is not None and handover.done and handover.has_takers:
            if self.remembers:
                self._view.remember(self._view.name, self.remembers)
            self._view.declare(self._view.name, handover.revision)
            known = self._declared
            if known is None or known.revision != handover.revision:
                number = self._next_number()
                self._declared = Declaration(number, handover.revision)
            if not self.leaving:
                self._handover = None
        declared = self._declared
        if declared is None or now - declared.sent_at < DECLARE_INTERVAL:
            return
        declared.sent_at = now
        message = ClaimRecords(
            self._view.name,
            self._view.incarnation,
            declared.number,
            (),
            acknowledge=True,
            revision=declared.revision,
            remembers=self.remembers,
        )
        self._effects += [
            SendPeer(name, message)
            for name in self._view.live
            if name not in declared.acknowledged
        ]
