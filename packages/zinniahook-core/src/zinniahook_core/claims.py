"""Claims: which agent runs a non-idempotent request, at most once.

The claim owner of a key is the ready member that ranks first for it. An agent
asks the owner before it runs or refuses a request with that key, and two
members hold the record before the request runs. docs/design/requests.md gives
the reasoning.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from .arbiters import Arbiter, answer_from_record
from .codes import Code
from .effects import AgentEffect, SendPeer
from .lookups import REPEAT_AFTER_SECONDS
from .messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimFinished,
    ClaimIntent,
    ClaimRecords,
    ClaimState,
)
from .models import Roster
from .records import Record, Records, granted, refused
from .replication import Replication
from .views import MembershipView

__all__ = ["Claims", "Settled"]

GRANT_LIFETIME_SECONDS = 2.0
"""Validity of a grant, counted from its ask; later, another member may hold it."""

TRIES_PER_PARTNER = 3
"""Attempts to replicate a record to one partner before the next one is used."""

Handler = Callable[[Any, float, str, Any], None]

_HANDLERS_BY_MESSAGE: dict[type, Handler] = {}


def _receives(message_type: type) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_MESSAGE[message_type] = handler
        return handler

    return register


class Settled(NamedTuple):
    """The result of the claim of one local request."""

    request: int
    state: ClaimState
    runner: str
    answer: bytes = b""
    retry_after: float = 0.0
    code: Code = Code.OK


@dataclass(slots=True)
class PendingAsk:
    """A claim that a local request waits for.

    ``until`` is when the ask is given up. ``partner`` is set only if this agent
    is the owner: it names the second member that has to store the record first.
    """

    request: int
    key: bytes
    attempt: int
    intent: ClaimIntent
    until: float
    number: int = 0
    owner: str | None = None
    first_sent_at: float = 0.0
    sent_at: float = 0.0
    partner: str = ""
    tries: int = 0


class Claims:
    """Claims of one agent, in the roles of asker, runner, owner and record holder.

    Parameters
    ----------
    name : str
        The agent's own name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._numbers = itertools.count(1)
        self._effects: list[AgentEffect] = []
        self._settled: list[Settled] = []
        self._asks_by_request: dict[int, PendingAsk] = {}
        self._asks_by_number: dict[int, PendingAsk] = {}
        self._confirmed = False
        self.view = MembershipView(name)
        self.records = Records()
        parts = (self.view, self.records, self._effects, self._next_number)
        self._arbiter = Arbiter(*parts)
        self._replication = Replication(*parts)

    @property
    def handed_over(self) -> bool:
        """Whether, after ``leave``, other members hold all records held here."""
        return self._replication.leaving and self._replication.handed_over

    def take(self) -> tuple[list[AgentEffect], list[Settled]]:
        """Return and clear the effects and results since the last call."""
        effects = list(self._effects)
        self._effects.clear()
        settled, self._settled = self._settled, []
        return effects, settled

    def local_result(self, now: float, key: bytes) -> Settled | None:
        """Return the result of ``key`` if this agent ran it, else None."""
        record = self.records.get(now, key)
        if record is None or record.runner != self._name:
            return None
        if record.state in (ClaimState.GRANTED, ClaimState.REFUSED):
            return None
        code = Code.ANSWER_LOST if record.state is ClaimState.UNKNOWN else Code.OK
        return Settled(0, record.state, self._name, record.answer, code=code)

    def begin(
        self,
        now: float,
        request: int,
        key: bytes,
        attempt: int,
        intent: ClaimIntent,
        until: float,
    ) -> None:
        """Ask the owner for a key; ``take`` returns the result.

        Parameters
        ----------
        now, until : float
            Monotonic seconds; without an answer by ``until``, the result is
            UNKNOWN.
        request : int
            The driver's number of the request.
        attempt : int
            The caller's attempt number, or 0 if it gave none.
        key : bytes
            The idempotency key.
        intent : ClaimIntent
            RUN or REFUSE.
        """
        self.forget(request)
        ask = PendingAsk(request, key, attempt, intent, until)
        self._asks_by_request[request] = ask
        self._restart_ask(now, ask)

    def forget(self, request: int) -> None:
        """Drop the ask of a request; a grant that arrives later is ignored."""
        ask = self._asks_by_request.pop(request, None)
        if ask is not None:
            self._asks_by_number.pop(ask.number, None)

    def finished(self, now: float, key: bytes, answer: bytes) -> None:
        """Store the answer of a request that ran here and notify other holders."""
        self._replication.finished(now, key, answer)

    def failed(self, now: float, key: bytes) -> None:
        """Record that the result of a request that ran here is unknown."""
        self._replication.failed(now, key)

    def unstarted(self, now: float, key: bytes) -> None:
        """Record that the target never received a request granted to this agent."""
        record = self.records.get(now, key)
        if record is not None and record.runner == self._name:
            record.state = ClaimState.GRANTED

    def leave(self) -> None:
        """Hand all records over; see ``handed_over``.

        Call it again once the roster lists this agent as leaving: until then
        it may still have granted claims as their owner.
        """
        self._replication.leaving = True
        self._replication.start_transfer()

    def confirm(self, now: float, incarnation: int) -> None:
        """Start to take part: the roster lists this process as ``incarnation``.

        Otherwise a process restarted under the name of a crashed one would take
        the old roster entry for its own and vouch for records that are lost.
        """
        if self._confirmed:
            return
        self._confirmed = True
        self._replication.remembers = self._replication.remembers or incarnation
        self.view.incarnation = incarnation
        self._replication.start_transfer()
        for ask in list(self._asks_by_request.values()):
            self._restart_ask(now, ask)

    def restart(self, now: float) -> None:
        """Drop all asks and take no part until confirmed again.

        Records are kept: they describe what already happened.
        """
        self._confirmed = False
        self._asks_by_request.clear()
        self._asks_by_number.clear()
        self._arbiter.reset()
        self.view.restart(now)

    def learn(self, now: float, roster: Roster) -> None:
        """Apply a newer roster.

        Every ask restarts under a new number. Otherwise a late grant of the
        former owner could be used beside a grant of the new owner, which has
        looked here and found no run.
        """
        if not self.view.learn(now, roster):
            return
        self._arbiter.reset()
        self._replication.start_transfer()
        for ask in list(self._asks_by_request.values()):
            self._restart_ask(now, ask)

    def receive(self, now: float, sender: str, message: object) -> None:
        """Handle a message from a peer."""
        handler = _HANDLERS_BY_MESSAGE.get(type(message))
        if handler is not None and self._confirmed:
            handler(self, now, sender, message)

    def tick(self, now: float) -> None:
        """Repeat unanswered asks and give up overdue ones."""
        for ask in list(self._asks_by_request.values()):
            if now >= ask.until:
                self.forget(ask.request)
                self._settled.append(
                    Settled(ask.request, ClaimState.UNKNOWN, "", code=Code.UNKNOWN)
                )
            elif now - ask.sent_at >= REPEAT_AFTER_SECONDS:
                self._repeat(now, ask)
        self.records.expire(now)
        if not self._confirmed:
            return
        for asker, answer in self._arbiter.tick(now):
            self._reply(now, asker, answer)
        self._replication.tick(now)

    # As asker and runner

    def _restart_ask(self, now: float, ask: PendingAsk) -> None:
        self._renumber(now, ask)
        self._send(now, ask)

    def _renumber(self, now: float, ask: PendingAsk) -> None:
        self._asks_by_number.pop(ask.number, None)
        ask.number = self._next_number()
        ask.owner = self.view.owner(ask.key)
        ask.partner = ""
        ask.first_sent_at = ask.sent_at = now
        self._asks_by_number[ask.number] = ask

    def _repeat(self, now: float, ask: PendingAsk) -> None:
        if now - ask.first_sent_at >= GRANT_LIFETIME_SECONDS:
            self._restart_ask(now, ask)
        elif ask.partner:
            self._replicate(now, ask)
        else:
            self._send(now, ask)

    def _send(self, now: float, ask: PendingAsk) -> None:
        ask.sent_at = now
        if ask.owner is None or not self._confirmed:
            return
        message = self._message(ask)
        if ask.owner != self._name:
            self._effects.append(SendPeer(ask.owner, message))
            return
        answer = self._arbiter.decide(now, self._name, message)
        if answer is not None:
            self._receive_answer(now, self._name, answer)

    def _message(self, ask: PendingAsk) -> ClaimAsk:
        return ClaimAsk(
            ask.number,
            ask.key,
            ask.intent,
            ask.attempt,
            self._name,
            self.view.incarnation,
            self.view.revision,
        )

    @_receives(ClaimAnswer)
    def _receive_answer(self, now: float, sender: str, answer: ClaimAnswer) -> None:
        ask = self._asks_by_number.get(answer.number)
        if ask is None:
            self._receive_look_answer(now, sender, answer)
            return
        if ask.key != answer.key or ask.owner != sender or ask.partner:
            return
        if now - ask.first_sent_at >= GRANT_LIFETIME_SECONDS:
            # This process may have been paused while the grant waited in its
            # socket, and the key may belong to another member by now. Using
            # the grant would run the request twice, so the owner is asked again.
            self._restart_ask(now, ask)
            return
        if answer.state not in (ClaimState.GRANTED, ClaimState.REFUSED):
            self._settle(ask, self._settled_from(ask, answer))
            return
        if self._settle_by_own_record(now, ask):
            return
        if answer.state is ClaimState.REFUSED and ask.intent is ClaimIntent.RUN:
            self._settle(ask, self._settled_from(ask, answer))
        elif ask.owner == self._name:
            self._replicate(now, ask)
        else:
            self._record_decision(now, ask)
            self._conclude(now, ask)

    def _settle_by_own_record(self, now: float, ask: PendingAsk) -> bool:
        """Settle an ask by a contradicting record held here, if there is one.

        The owner's lookup leaves the asker out, so the asker checks itself.
        Return whether the ask was settled.
        """
        record = self.records.get(now, ask.key)
        if record is None or not _forbids(record, ask, self._name):
            return False
        answer = answer_from_record(now, self.view, self._message(ask), record)
        self._settle(ask, self._settled_from(ask, answer))
        return True

    def _record_decision(self, now: float, ask: PendingAsk) -> None:
        """Store a grant or refusal at the asker."""
        make = granted if ask.intent is ClaimIntent.RUN else refused
        record = make(now, self._name, self.view.incarnation, ask.attempt)
        record.other_holder = ask.owner or ""
        record.other_holder_incarnation = self.view.incarnation_of(record.other_holder)
        self.records.put(now, ask.key, record)

    def _replicate(self, now: float, ask: PendingAsk) -> None:
        """Replicate a record to a second member before this owner uses it.

        Otherwise the only record would be lost if an agent that both owns the
        claim and runs the request dies. After this single failure the next
        owner would run the request again.
        """
        partners = self.view.partners(ask.key)
        if not partners:
            self._conclude(now, ask)
            return
        record = self.records.get(now, ask.key)
        if not self._still_stored(record, ask):
            # Ask again at a later tick. Asking at once would loop for ever
            # while this owner keeps making decisions that aren't stored.
            self._renumber(now, ask)
            return
        ask.partner = partners[ask.tries // TRIES_PER_PARTNER % len(partners)]
        ask.tries += 1
        ask.sent_at = now
        message = ClaimRecords(
            self._name,
            self.view.incarnation,
            ask.number,
            (record.message(now, ask.key),),
            acknowledge=True,
            revision=self.view.revision,
        )
        self._effects.append(SendPeer(ask.partner, message))

    def _still_stored(self, record: Record | None, ask: PendingAsk) -> bool:
        """Return whether the decision of this owner is still on record.

        A later attempt may have been granted the key while this agent waited
        for the second member.
        """
        if record is None or record.runner != self._name:
            return False
        return record.ran == (ask.intent is ClaimIntent.RUN)

    def _conclude(self, now: float, ask: PendingAsk) -> None:
        record = self.records.get(now, ask.key)
        if ask.intent is ClaimIntent.REFUSE:
            self._settle(ask, Settled(ask.request, ClaimState.REFUSED, ""))
            return
        if record is not None:
            record.state = ClaimState.RUNNING
        self._settle(ask, Settled(ask.request, ClaimState.GRANTED, self._name))

    def _settled_from(self, ask: PendingAsk, answer: ClaimAnswer) -> Settled:
        return Settled(
            ask.request,
            answer.state,
            answer.runner,
            answer.answer,
            answer.retry_after,
            answer.code,
        )

    def _settle(self, ask: PendingAsk, settled: Settled) -> None:
        self.forget(ask.request)
        self._settled.append(settled)

    # As owner

    @_receives(ClaimAsk)
    def _receive_ask(self, now: float, sender: str, ask: ClaimAsk) -> None:
        if ask.runner != sender or not self.view.valid(sender, ask.incarnation):
            return
        look = ask.intent is ClaimIntent.LOOK
        decide = self._arbiter.look if look else self._arbiter.decide
        answer = decide(now, sender, ask)
        if answer is not None:
            self._effects.append(SendPeer(sender, answer))

    def _receive_look_answer(
        self, now: float, sender: str, answer: ClaimAnswer
    ) -> None:
        reply = self._arbiter.receive_look_answer(now, sender, answer)
        if reply is None:
            return
        self._reply(now, *reply)

    def _reply(self, now: float, asker: str, answer: ClaimAnswer) -> None:
        if asker == self._name:
            self._receive_answer(now, self._name, answer)
        else:
            self._effects.append(SendPeer(asker, answer))

    # As holder of a copy

    @_receives(ClaimFinished)
    def _receive_finished(
        self, now: float, sender: str, message: ClaimFinished
    ) -> None:
        self._replication.learn_finished(now, sender, message)

    @_receives(ClaimRecords)
    def _receive_records(self, now: float, sender: str, message: ClaimRecords) -> None:
        if message.acknowledge:
            self._replication.learn_records(now, sender, message)
        elif not self._replication.acknowledged(now, sender, message.number):
            self._receive_acknowledgement(now, sender, message.number)

    def _receive_acknowledgement(self, now: float, sender: str, number: int) -> None:
        ask = self._asks_by_number.get(number)
        if ask is None or ask.partner != sender:
            return
        if now - ask.first_sent_at >= GRANT_LIFETIME_SECONDS:
            self._restart_ask(now, ask)
            return
        record = self.records.get(now, ask.key)
        if not self._still_stored(record, ask):
            # Ask again at a later tick. Asking at once would loop for ever
            # while this owner keeps making decisions that aren't stored.
            self._renumber(now, ask)
            return
        record.other_holder = sender
        record.other_holder_incarnation = self.view.incarnation_of(sender)
        self._conclude(now, ask)

    def _next_number(self) -> int:
        # Late answers to an earlier incarnation must not match a current ask.
        return (self.view.incarnation & 0xFFFFFFFF) << 32 | next(self._numbers)


def _forbids(record: Record, ask: PendingAsk, name: str) -> bool:
    """Return whether the asker's own record forbids what the owner allowed.

    An agent may refuse a request as the claim owner, after which ownership
    moves and a late copy of the refused attempt arrives. The new owner knows no
    tombstone. Without this check the request would run after its caller was
    answered "not run".
    """
    if record.ran:
        return record.runner != name
    if ask.intent is not ClaimIntent.RUN:
        return False
    unnumbered = not record.attempt or not ask.attempt
    return unnumbered or ask.attempt <= record.attempt
