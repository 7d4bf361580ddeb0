"""What may be done with, and said of, a request that didn't end well."""

from __future__ import annotations

from .codes import Code, Outcome, OutcomeKind
from .events import RequestFinished
from .openrequests import OpenRequest, Stage

__all__ = ["CANCEL_WAIT", "may_join", "may_try_again", "outcome_of", "overtime"]

OVERTIME = 10.0
"""How long a claimed request may run on past its deadline: its caller may come
back for the answer, while a cancelled one stays unknown."""

CANCEL_WAIT = 1.0
"""How long a cancelled request may take to end."""

RETRIES_LIMIT = 1


def outcome_of(item: OpenRequest, event: RequestFinished) -> Outcome:
    """Return what the caller may be told of a request that failed."""
    outcome = event.outcome
    if item.cancelled_at is not None:
        kind = OutcomeKind.UNKNOWN if event.started else OutcomeKind.NOT_RUN
        return Outcome(kind, Code.DEADLINE_EXPIRED)
    if event.started and outcome.kind is OutcomeKind.NOT_RUN:
        return Outcome(OutcomeKind.UNKNOWN, outcome.code)
    return outcome


def may_try_again(now: float, item: OpenRequest, event: RequestFinished) -> bool:
    """Tell whether a request that failed may be run once more."""
    if event.outcome.kind not in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN):
        return False
    if event.started and not item.event.idempotent:
        return False
    return item.retries < RETRIES_LIMIT and now < item.deadline


def may_join(item: OpenRequest, leader: OpenRequest) -> bool:
    """Tell whether a copy may wait for the answer of ``leader``.

    What goes wrong: two agents each relay their copy of one request to the
    other, each copy joins the one that was relayed away, and all of them
    wait for ever. So a relayed copy never joins a relayed one; the claim
    decides which of the copies runs.
    """
    return not (item.event.relayed_by and leader.stage is Stage.RELAYED)


def overtime(item: OpenRequest) -> float:
    """Return how long a request may run past its deadline, in seconds."""
    if not item.needs_claim:
        return 0.0
    # A peer to which the request was relayed gives up first.
    return OVERTIME + (2 * CANCEL_WAIT if item.stage is Stage.RELAYED else 0.0)
