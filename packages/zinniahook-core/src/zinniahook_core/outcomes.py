"""Rules for requests that failed: retries, joins and reported outcomes."""

from __future__ import annotations

from .codes import Code, Outcome, OutcomeKind
from .events import RequestFinished
from .openrequests import OpenRequest, Stage

__all__ = [
    "CANCEL_TIMEOUT_SECONDS",
    "may_join",
    "may_retry",
    "outcome_of",
    "grace_after_deadline",
]

CLAIMED_GRACE_SECONDS = 10.0
"""How long a claimed request may run past its deadline.

Its caller may retry and get the answer; a cancelled request stays unknown."""

CANCEL_TIMEOUT_SECONDS = 1.0
"""Longest time that a cancelled request may take to end."""

MAX_RETRIES = 1


def outcome_of(item: OpenRequest, event: RequestFinished) -> Outcome:
    """Return the outcome to report to the caller of a failed request."""
    outcome = event.outcome
    if item.cancelled_at is not None:
        kind = OutcomeKind.UNKNOWN if event.started else OutcomeKind.NOT_RUN
        return Outcome(kind, Code.DEADLINE_EXPIRED)
    if event.started and outcome.kind is OutcomeKind.NOT_RUN:
        return Outcome(OutcomeKind.UNKNOWN, outcome.code)
    return outcome


def may_retry(now: float, item: OpenRequest, event: RequestFinished) -> bool:
    """Return whether a failed request may run again."""
    if event.outcome.kind not in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN):
        return False
    if event.started and not item.event.idempotent:
        return False
    return item.retries < MAX_RETRIES and now < item.deadline


def may_join(item: OpenRequest, leader: OpenRequest) -> bool:
    """Return whether a copy may wait for the answer of ``leader``.

    A relayed copy never joins a relayed request; the claim decides which copy
    runs. Otherwise, if two agents relay their copies of a request to each
    other, each copy joins the one that was relayed away and all wait for ever.
    """
    return not (item.event.relayed_by and leader.stage is Stage.RELAYED)


def grace_after_deadline(item: OpenRequest) -> float:
    """Return how long a request may run past its deadline, in seconds."""
    if not item.needs_claim:
        return 0.0
    # A peer that runs the relayed request gives up before this agent does.
    return CLAIMED_GRACE_SECONDS + (
        2 * CANCEL_TIMEOUT_SECONDS if item.stage is Stage.RELAYED else 0.0
    )
