"""Replication of claim records, so that two members hold each of them.

An agent takes copies from its peers, makes new copies of the records that it held
together with a lost member, and declares to the others when that is done.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .effects import AgentEffect, Count, SendPeer
from .messages import ClaimFinished, ClaimRecords, ClaimState
from .records import KEY_LIFETIME_SECONDS, SMALL_ANSWER_BYTES, Record, Records
from .transfers import RecordTransfer
from .views import MembershipView

__all__ = ["Replication"]

ANNOUNCE_REPEAT_SECONDS = 1.0
"""Delay of the second announcement of a finished request."""
DECLARE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class Declaration:
    """A declaration that this agent holds no record alone, sent to the others."""

    number: int
    revision: int
    sent_at: float = -math.inf
    acknowledged: set[str] = field(default_factory=set)


class Replication:
    """The records that this agent holds, and their copies at other members.

    Parameters
    ----------
    view : MembershipView
        The members as this agent sees them.
    records : Records
        The records of this agent.
    effects : list of AgentEffect
        The list that messages and counts are appended to.
    next_number : callable
        Returns a new number for a message.

    Attributes
    ----------
    leaving : bool
        Whether two others must hold each record because this agent leaves.
    remembers : int
        The first incarnation since which this process has lost no records.
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
        self._announcements: deque[tuple[float, bytes]] = deque()
        self._transfer: RecordTransfer | None = None
        self._declared: Declaration | None = None
        self.leaving = False
        self.remembers = 0

    @property
    def handed_over(self) -> bool:
        """Whether other members hold all records of this agent."""
        return self._transfer is None or self._transfer.done

    def finished(self, now: float, key: bytes, answer: bytes) -> None:
        """Store the answer of a request that ran here and announce it."""
        self._end(now, key, ClaimState.FINISHED, answer)
        self._announce(now, key)
        self._announcements.append((now + ANNOUNCE_REPEAT_SECONDS, key))

    def failed(self, now: float, key: bytes) -> None:
        """Record that the outcome of a request that ran here is unknown."""
        self._end(now, key, ClaimState.UNKNOWN, b"")

    def acknowledged(self, now: float, sender: str, number: int) -> bool:
        """Handle an acknowledgement and return whether it was expected."""
        if self._declared is not None and number == self._declared.number:
            self._declared.acknowledged.add(sender)
            return True
        transfer = self._transfer
        return transfer is not None and transfer.acknowledged(now, sender, number)

    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        while self._announcements and self._announcements[0][0] <= now:
            self._announce(now, self._announcements.popleft()[1])
        if self._transfer is not None:
            self._effects += self._transfer.send(now)
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

    def learn_finished(self, now: float, sender: str, message: ClaimFinished) -> None:
        """Record the answer of a request that a peer has finished."""
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
        finished_record = record.message(now, message.key)
        self._records.merge(now, finished_record, sender, message.incarnation)

    def learn_records(self, now: float, sender: str, message: ClaimRecords) -> None:
        """Handle records or a declaration of a peer and acknowledge them."""
        if not self._view.valid(sender, message.incarnation):
            return
        if not message.records:
            current = self._view.current(sender, message.incarnation)
            if not current or sender not in self._view.live:
                # A new incarnation of that name must not declare for the one whose
                # death this agent hasn't learned of yet. A member that isn't asked
                # in lookups can't vouch for its records either.
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
        """Store records of a peer and return whether they count as held."""
        if 0 < message.revision < self._view.revision:
            # Ownership may have moved since, and this agent may have answered the
            # new owner that it knows no claim.
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

    def start_transfer(self) -> None:
        """Start to copy the records that have too few holders."""
        holders = 2 if self.leaving else 1
        self._transfer = RecordTransfer(
            self._view, self._records, self._next_number, holders
        )

    def _declare(self, now: float) -> None:
        """Declare to the others that a transfer is complete.

        They may then ignore the losses that it has repaired.
        """
        transfer = self._transfer
        if transfer is not None and transfer.done and transfer.has_recipients:
            if self.remembers:
                self._view.remember(self._view.name, self.remembers)
            self._view.declare(self._view.name, transfer.revision)
            known = self._declared
            if known is None or known.revision != transfer.revision:
                number = self._next_number()
                self._declared = Declaration(number, transfer.revision)
            if not self.leaving:
                self._transfer = None
        declared = self._declared
        if declared is None or now - declared.sent_at < DECLARE_INTERVAL_SECONDS:
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
