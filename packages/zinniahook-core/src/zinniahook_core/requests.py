"""Handling of requests at one agent: admission, placement and claims.

A request first gets a slot, then a claim if it isn't idempotent, then it runs.
A request that can't be served gets its final answer at once.
docs/design/requests.md describes how non-idempotent requests run at most once.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from . import settlements
from .admission import Admission, Decision, Verdict
from .claims import Claims, Settled
from .codes import Code, Outcome, OutcomeKind
from .effects import (
    AgentEffect,
    CancelRequest,
    Count,
    FinishRequest,
    JoinRequest,
    Relay,
    Run,
)
from .events import (
    AgentEvent,
    ConfigurationChanged,
    DrainRequested,
    PeerDatagram,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    RosterChanged,
    Tick,
)
from .messages import ClaimIntent
from .models import AgentState, Load, Member, Service
from .openrequests import OpenRequest, OpenRequests, RequestPlacement, Stage
from .outcomes import (
    CANCEL_TIMEOUT_SECONDS,
    grace_after_deadline,
    may_join,
    may_retry,
    outcome_of,
)
from .placement import coldness
from .records import MAX_LATENESS_SECONDS, UNNUMBERED_TOMBSTONE_SECONDS

__all__ = ["Requests"]

MAX_KEY_BYTES = 128
REFUSE_TIMEOUT_SECONDS = 8.0
"""Limit on recording a refusal; longer than marking a dead claim owner down takes."""

CLAIM_TIMEOUT_SECONDS = MAX_LATENESS_SECONDS / 2
"""Longest wait of a claimed request at this agent. The other half of
``records.MAX_LATENESS_SECONDS`` is left for its transport."""

PARK_DELAY_SECONDS = 0.05
"""How long a request keeps its slot while it waits for its claim.

An answer takes a few milliseconds. With a longer delay, requests that wait for
a dead member would hold the slots of live ones."""

Handler = Callable[[Any, float, Any], None]

_HANDLERS_BY_EVENT: dict[type, Handler] = {}


def _handles(event_type: type) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EVENT[event_type] = handler
        return handler

    return register


class Requests:
    """Admits, places, claims and finishes the requests of one agent.

    Parameters
    ----------
    name : str
        The agent's own name.
    service : Service
        The service of its target.
    rng : random.Random
        The only source of randomness.
    placement : RequestPlacement, optional
        Chooses a peer for a request; without it every request runs here.
    """

    def __init__(
        self,
        name: str,
        service: Service,
        rng: random.Random,
        placement: RequestPlacement | None = None,
    ) -> None:
        self.name = name
        self._service = service
        self._placement = placement
        self._member: Member | None = None
        self.leaving = False
        self._ready_since: float | None = None
        self._open = OpenRequests()
        self.effects: list[AgentEffect] = []
        self.claims = Claims(name)
        self.admission = Admission(1, service.classes_by_name, rng)

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return self.admission.busy

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self.admission.queued

    @property
    def streams(self) -> int:
        """Number of long-lived streams in progress."""
        return self.admission.streams

    @property
    def idle(self) -> bool:
        """Whether no request is open and no claim record is left to hand over."""
        if len(self._open):
            return False
        return not self.leaving or self.claims.handed_over

    def handle(self, now: float, event: AgentEvent) -> list[AgentEffect]:
        """Handle one event and return the effects; ignore unrelated events."""
        handler = _HANDLERS_BY_EVENT.get(type(event))
        if handler is None:
            return []
        handler(self, now, event)
        self._process_pending(now)
        effects, self.effects = self.effects, []
        return effects

    def confirm(self, now: float, incarnation: int) -> None:
        """Record that the roster lists this process under ``incarnation``.

        No claim is made before the first call. Call it again after ``restart``;
        other repeated calls have no effect.
        """
        self.claims.confirm(now, incarnation)

    def restart(self, now: float, incarnation: int) -> list[AgentEffect]:
        """Fence this agent: drop waiting requests, cancel running unclaimed ones.

        A claimed request that already runs at the target continues there, but
        its record is set to unknown. ``incarnation`` is the next one and has to
        be confirmed by ``confirm``.
        """
        for item in self._open:
            if item.stage is Stage.RUNNING and item.needs_claim:
                self.claims.failed(now, item.event.key)
            elif item.stage in (Stage.RUNNING, Stage.RELAYED):
                self.effects.append(CancelRequest(item.number))
            self.claims.forget(item.number)
            self.admission.release(now, item.number, answered=False)
        self.count("requests.fenced", len(self._open))
        self._open.clear()
        self._ready_since = None
        self.claims.restart(now)
        effects, self.effects = self.effects, []
        return effects

    @_handles(ConfigurationChanged)
    def _configure(self, now: float, event: ConfigurationChanged) -> None:
        service = event.configuration.services_by_name.get(self._service.name)
        if service is None:
            return
        self._service = service
        self.admission.configure(self._slots, service.classes_by_name)

    @_handles(RosterChanged)
    def _learn_roster(self, now: float, event: RosterChanged) -> None:
        if event.roster.service != self._service.name:
            return
        self.claims.learn(now, event.roster)
        member = event.roster.by_name.get(self.name)
        if member is None:
            return
        former, self._member = self._member, member
        if member.state is AgentState.LEAVING and not _is_leaving(former):
            self.leaving = True
            self.claims.leave()
        if member.state is AgentState.READY and self._ready_since is None:
            self._ready_since = now
        self.admission.configure(self._slots, self._service.classes_by_name)

    @_handles(DrainRequested)
    def _drain(self, now: float, event: DrainRequested) -> None:
        self.leaving = True
        self.claims.leave()

    @_handles(PeerDatagram)
    def _receive(self, now: float, event: PeerDatagram) -> None:
        self.claims.receive(now, event.sender, event.message)

    @_handles(Tick)
    def _tick(self, now: float, event: Tick) -> None:
        if self._ready_since is not None:
            self.admission.set_coldness(coldness(now, self._ready_since))
        self.claims.tick(now)
        for item in self._open:
            if item.stage is Stage.CLAIMING and now - item.since > PARK_DELAY_SECONDS:
                self._park(now, item)
            elif item.stage in (Stage.RUNNING, Stage.RELAYED):
                self._enforce_deadline(now, item)

    @_handles(RequestArrived)
    def _arrive(self, now: float, event: RequestArrived) -> None:
        if event.request in self._open:
            return
        rule = self.admission.rule(event.kind)
        if rule is None:
            self._answer(event.request, OutcomeKind.NOT_RUN, Code.CLASS_UNKNOWN)
            return
        if len(event.key) > MAX_KEY_BYTES:
            self._answer(event.request, OutcomeKind.NOT_RUN, Code.KEY_TOO_LONG)
            return
        deadline = now + rule.deadline
        if event.deadline > 0:
            deadline = min(deadline, event.deadline)
        if event.key and not event.idempotent:
            deadline = min(deadline, now + CLAIM_TIMEOUT_SECONDS)
        item = OpenRequest(event, deadline, event.attempt, since=now)
        self._open.add(item)
        if item.needs_claim and self._join_copy(now, item):
            return
        self._place(now, item, rule.slots)

    @_handles(RequestFinished)
    def _finish(self, now: float, event: RequestFinished) -> None:
        item = self._open.get(event.request)
        if item is None:
            return
        if item.stage is Stage.JOINED:
            self._open.detach(item)
        if item.stage not in (Stage.RUNNING, Stage.RELAYED):
            return
        done = event.outcome.kind is OutcomeKind.DONE
        was_relayed = item.stage is Stage.RELAYED
        self.admission.release(now, item.number, answered=done)
        if item.needs_claim:
            settlements.finish(self, now, item, event, was_relayed)
            return
        if done:
            self._open.close(item)
            return
        if self._retry(now, item, event, was_relayed):
            return
        self.conclude(item, outcome_of(item, event))

    @_handles(RequestCancelled)
    def _cancel(self, now: float, event: RequestCancelled) -> None:
        item = self._open.get(event.request)
        if item is None:
            return
        if item.stage is Stage.RUNNING and item.needs_claim:
            # The caller may only have lost its connection. When it retries with
            # the same key, it needs the answer of this run.
            self.count("requests.orphaned")
            return
        if item.stage is Stage.JOINED:
            self._open.detach(item)
            return
        if item.stage in (Stage.RUNNING, Stage.RELAYED):
            self.effects.append(CancelRequest(item.number))
        self.claims.forget(item.number)
        self.admission.release(now, item.number, answered=False)
        followers = item.followers
        self._open.close(item)
        self._promote(now, followers)

    def _place(self, now: float, item: OpenRequest, slots: int) -> None:
        if self.leaving:
            peer = self._choose_peer(now, item, slots, forced=True)
            if peer is None:
                refusal = self.admission.refuse(now, item.event.kind, Code.LEAVING)
                self.refuse(now, item, refusal)
                return
            self.relay(now, item, peer)
            return
        peer = self._choose_peer(now, item, slots) if slots else None
        if peer is None:
            self._admit(now, item)
            return
        self.relay(now, item, peer)

    def _choose_peer(
        self, now: float, item: OpenRequest, slots: int, forced: bool = False
    ) -> str | None:
        if self._placement is None or item.event.relayed_by or item.relays:
            return None
        return self._placement.choose_for_request(now, slots, self._load(), forced)

    def relay(self, now: float, item: OpenRequest, peer: str) -> None:
        """Relay a request to a peer."""
        item.stage = Stage.RELAYED
        item.since = now
        item.relays += 1
        if self._placement is not None:
            self._placement.handed(now, peer)
        self.effects.append(Relay(item.number, peer))
        self.join_followers(item)

    def _enforce_deadline(self, now: float, item: OpenRequest) -> None:
        """Cancel a request that runs past the deadline set by its caller.

        Otherwise the requests at a target that hangs would hold their slots for
        ever: slots stay in use and no request finishes.
        """
        if item.event.deadline <= 0 or now < item.event.deadline + grace_after_deadline(
            item
        ):
            return
        if item.cancelled_at is None:
            item.cancelled_at = now
            self.count("requests.overdue")
            self.effects.append(CancelRequest(item.number))
        elif now - item.cancelled_at >= CANCEL_TIMEOUT_SECONDS:
            lost = Outcome(OutcomeKind.UNKNOWN, Code.DEADLINE_EXPIRED)
            self._finish(now, RequestFinished(item.number, lost, started=True))

    def join_followers(self, item: OpenRequest) -> None:
        """Attach the followers of a request to its answer."""
        self.effects += [JoinRequest(number, item.number) for number in item.followers]

    def _admit(self, now: float, item: OpenRequest) -> None:
        event = item.event
        decision = self.admission.offer(
            now, event.request, event.kind, event.attempt, item.deadline
        )
        if decision.verdict is Verdict.START:
            self._begin(now, item)
        elif decision.verdict is Verdict.QUEUED:
            item.stage = Stage.QUEUED
        else:
            self.refuse(now, item, decision)

    def _begin(self, now: float, item: OpenRequest) -> None:
        item.since = now
        if not item.needs_claim:
            item.stage = Stage.RUNNING
            self.effects.append(Run(item.number))
            return
        item.stage = Stage.CLAIMING
        self._claim(now, item, ClaimIntent.RUN, item.deadline)

    def _park(self, now: float, item: OpenRequest) -> None:
        # When a claim owner dies, the requests that wait for its answer would
        # hold every slot until it is marked down. A parked request gives its
        # slot back, keeps waiting, and queues again once its claim is granted.
        self.admission.release(now, item.number, answered=False)
        item.stage = Stage.PARKED
        self.count("requests.parked")

    def refuse(self, now: float, item: OpenRequest, refusal: Decision) -> None:
        """Refuse a request that has certainly not run."""
        self.count("requests.refused")
        item.refusal = refusal
        if not item.needs_claim:
            outcome = Outcome(OutcomeKind.NOT_RUN, refusal.code, refusal.retry_after)
            self.conclude(item, outcome)
            return
        # Without a tombstone, a late copy of this request could still run
        # after its caller was answered "not run".
        item.stage = Stage.REFUSING
        if not item.attempt:
            retry_after = max(refusal.retry_after, UNNUMBERED_TOMBSTONE_SECONDS)
            item.refusal = replace(refusal, retry_after=retry_after)
        self._claim(now, item, ClaimIntent.REFUSE, now + REFUSE_TIMEOUT_SECONDS)

    def _join_copy(self, now: float, item: OpenRequest) -> bool:
        """Attach a request to an open copy or the result of its key, if any."""
        key = item.event.key
        leader = self._open.leader(key)
        if leader is not None and may_join(item, leader):
            self._open.follow(item, leader)
            self._raise_attempt(now, leader, item.attempt)
            if leader.stage in (Stage.RUNNING, Stage.RELAYED):
                self.effects.append(JoinRequest(item.number, leader.number))
            return True
        self._open.set_leader(item)
        known = self.claims.local_result(now, key)
        if known is None:
            return False
        self._settle(now, known._replace(request=item.number))
        return True

    def _raise_attempt(self, now: float, leader: OpenRequest, attempt: int) -> None:
        """Raise the attempt number of a leader to that of a follower.

        Otherwise the tombstone would carry the leader's lower attempt: the
        follower is answered "not run", yet a copy of its attempt still runs.
        """
        if attempt <= leader.attempt:
            return
        leader.attempt = attempt
        if leader.stage in (Stage.CLAIMING, Stage.PARKED):
            self._claim(now, leader, ClaimIntent.RUN, leader.deadline)
        elif leader.stage is Stage.REFUSING:
            self._claim(now, leader, ClaimIntent.REFUSE, now + REFUSE_TIMEOUT_SECONDS)

    def _claim(
        self, now: float, item: OpenRequest, intent: ClaimIntent, until: float
    ) -> None:
        key = item.event.key
        self.claims.begin(now, item.number, key, item.attempt, intent, until)

    def _promote(self, now: float, followers: list[int]) -> None:
        items = [self._open.get(number) for number in followers]
        for item in items:
            self._open.close(item)
        for item in items:
            self._arrive(now, item.event)

    def _retry(
        self, now: float, item: OpenRequest, event: RequestFinished, was_relayed: bool
    ) -> bool:
        if not may_retry(now, item, event):
            return False
        if not self.admission.credit(item.event.kind):
            return False
        item.retries += 1
        self.count("requests.retried")
        peer = None
        rule = self.admission.rule(item.event.kind)
        if rule is not None and not was_relayed:
            peer = self._choose_peer(now, item, rule.slots, forced=True)
        if peer is not None:
            self.relay(now, item, peer)
            return True
        if self.leaving:
            # The peer refused it; a target that leaves takes no new work.
            return False
        self._admit(now, item)
        return True

    def _settle(self, now: float, settled: Settled) -> None:
        item = self._open.get(settled.request)
        if item is not None:
            settlements.settle(self, now, item, settled)

    def _process_pending(self, now: float) -> None:
        """Process settled claims, refusals and free slots until none is left."""
        while self._process_once(now):
            continue

    def _process_once(self, now: float) -> bool:
        effects, settled = self.claims.take()
        self.effects += effects
        for answer in settled:
            self._settle(now, answer)
        given_up = self.admission.refuse_infeasible(now)
        for number, refusal in given_up:
            self.refuse(now, self._open.get(number), refusal)
        started = self.admission.start(now)
        for number in started:
            self._begin(now, self._open.get(number))
        return bool(effects or settled or given_up or started)

    def conclude(self, item: OpenRequest, outcome: Outcome) -> None:
        """Send a request and its followers their final answer."""
        for number in (item.number, *item.followers):
            self.effects.append(FinishRequest(number, outcome))
        self.close_all(item)

    def _answer(self, request: int, kind: OutcomeKind, code: Code) -> None:
        self.effects.append(FinishRequest(request, Outcome(kind, code)))

    def close_all(self, item: OpenRequest) -> None:
        """Close a request and its followers."""
        self._open.close_all(item)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if amount:
            self.effects.append(Count(name, amount))

    @property
    def _slots(self) -> int:
        return self._member.slots if self._member else 1

    def _load(self) -> Load:
        return Load(self.admission.slots, self.busy, self.queued, 0, self.streams)


def _is_leaving(member: Member | None) -> bool:
    return member is not None and member.state is AgentState.LEAVING
