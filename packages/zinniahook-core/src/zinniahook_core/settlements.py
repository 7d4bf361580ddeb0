"""Handling of claimed requests once their claim is settled or they end.

A registry holds one function for each claim state. The claim owner's answer
selects the function; see docs/design/requests.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .admission import Admission, Decision, Verdict
from .claims import Claims, Settled
from .codes import Code, Outcome, OutcomeKind
from .effects import AgentEffect, Replay, Run
from .events import RequestFinished
from .messages import ClaimState
from .openrequests import OpenRequest, Stage
from .outcomes import outcome_of

__all__ = ["RequestAgent", "finish", "settle"]

MAX_RELAYS = 2
"""Relays of a request to a peer, after which its answer counts as lost."""


class RequestAgent(Protocol):
    """Interface to the agent that handles a request, as in `requests.Requests`.

    It isn't the claim owner, the member that keeps the claim of the key.
    """

    name: str
    leaving: bool
    effects: list[AgentEffect]
    claims: Claims
    admission: Admission

    def relay(self, now: float, item: OpenRequest, peer: str) -> None:
        """Relay a request to a peer."""

    def refuse(self, now: float, item: OpenRequest, refusal: Decision) -> None:
        """Refuse a request that has certainly not run."""

    def conclude(self, item: OpenRequest, outcome: Outcome) -> None:
        """Send a request and its followers their final answer."""

    def close_all(self, item: OpenRequest) -> None:
        """Close a request and its followers."""

    def join_followers(self, item: OpenRequest) -> None:
        """Attach the followers of a request to its answer."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""


Handler = Callable[[RequestAgent, float, OpenRequest, Settled], None]

_HANDLERS_BY_STATE: dict[ClaimState, Handler] = {}


def _settles(*states: ClaimState) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_STATE.update(dict.fromkeys(states, handler))
        return handler

    return register


def settle(
    agent: RequestAgent, now: float, item: OpenRequest, settled: Settled
) -> None:
    """Continue with a request whose claim owner has answered."""
    handler = _HANDLERS_BY_STATE.get(settled.state)
    if handler is not None:
        handler(agent, now, item, settled)


@_settles(ClaimState.GRANTED)
def _granted(
    agent: RequestAgent, now: float, item: OpenRequest, settled: Settled
) -> None:
    if item.stage is Stage.PARKED:
        _unpark(agent, now, item)
        return
    item.stage = Stage.RUNNING
    agent.effects.append(Run(item.number))
    agent.join_followers(item)


def _unpark(agent: RequestAgent, now: float, item: OpenRequest) -> None:
    kind = item.event.kind
    agent.claims.unstarted(now, item.event.key)
    if agent.leaving:
        # Otherwise a claim that is granted seconds late, for example by an
        # owner that was paused, would give a leaving target new work.
        agent.refuse(now, item, agent.admission.refuse(now, kind, Code.LEAVING))
        return
    item.stage = Stage.QUEUED
    agent.admission.requeue(now, item.number, kind, item.deadline)


@_settles(ClaimState.RUNNING, ClaimState.FINISHED)
def _claimed_elsewhere(
    agent: RequestAgent, now: float, item: OpenRequest, settled: Settled
) -> None:
    agent.admission.release(now, item.number, answered=False)
    if settled.answer:
        agent.count("requests.replayed")
        for number in (item.number, *item.followers):
            agent.effects.append(Replay(number, settled.answer))
        agent.close_all(item)
        return
    if settled.runner == agent.name or item.relays >= MAX_RELAYS:
        agent.conclude(item, Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST))
        return
    agent.relay(now, item, settled.runner)


@_settles(ClaimState.REFUSED)
def _refused(
    agent: RequestAgent, now: float, item: OpenRequest, settled: Settled
) -> None:
    agent.admission.release(now, item.number, answered=False)
    refusal = item.refusal
    code = refusal.code if refusal else Code.NOT_RUN
    retry_after = refusal.retry_after if refusal else settled.retry_after
    agent.conclude(item, Outcome(OutcomeKind.NOT_RUN, code, retry_after))


@_settles(ClaimState.UNKNOWN)
def _unknown(
    agent: RequestAgent, now: float, item: OpenRequest, settled: Settled
) -> None:
    agent.admission.release(now, item.number, answered=False)
    agent.count("requests.unknown")
    agent.conclude(item, Outcome(OutcomeKind.UNKNOWN, settled.code))


def finish(
    agent: RequestAgent,
    now: float,
    item: OpenRequest,
    event: RequestFinished,
    was_relayed: bool,
) -> None:
    """Finish a claimed request that ran here or at a peer, or couldn't run."""
    key = item.event.key
    if event.outcome.kind is OutcomeKind.DONE:
        if not was_relayed:
            agent.claims.finished(now, key, event.answer)
        agent.close_all(item)
    elif was_relayed:
        _finish_relayed(agent, now, item, event)
    elif event.started:
        agent.claims.failed(now, key)
        agent.conclude(item, outcome_of(item, event))
    else:
        agent.claims.unstarted(now, key)
        refusal = agent.admission.refuse(now, item.event.kind, event.outcome.code)
        agent.refuse(now, item, refusal)


def _finish_relayed(
    agent: RequestAgent, now: float, item: OpenRequest, event: RequestFinished
) -> None:
    # A broken relay doesn't show whether the peer ran the request. Only the
    # claim owner's tombstone makes "not run" certain.
    outcome = event.outcome
    refusal = Decision(Verdict.REFUSED, outcome.code, outcome.retry_after)
    if outcome.retry_after <= 0:
        refusal = agent.admission.refuse(now, item.event.kind, outcome.code)
    agent.refuse(now, item, refusal)
