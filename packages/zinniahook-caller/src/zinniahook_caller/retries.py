"""When to send a request again, and what its answers mean for that."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import NamedTuple

from .models import OutcomeKind

__all__ = ["Backoff", "outcome_of", "retry_after"]

OUTCOME_HEADER = "zinniahook-outcome"
EXACT_RETRY_HEADER = "zinniahook-retry-after"


class Backoff(NamedTuple):
    """Exponential backoff with full jitter; times in seconds."""

    base: float = 0.05
    limit: float = 5.0

    def wait(self, attempt: int, least: float, rng: random.Random) -> float:
        """Return how long to wait after ``attempt`` (from 1) has failed.

        ``least`` is what the server asked for. The jitter is added to it:
        callers that were refused together would else come back together.
        """
        # The exponent is bounded: a caller that never gives up would reach
        # an overflow after about a thousand attempts.
        growth = min(self.limit, self.base * 2 ** min(attempt - 1, 16))
        return least + rng.random() * growth


def outcome_of(status: int, headers: Mapping[str, str]) -> OutcomeKind:
    """Return what an answer says; an answer of the target itself is done.

    An outcome that this library doesn't know counts as unknown.
    """
    value = headers.get(OUTCOME_HEADER)
    if value is None:
        return OutcomeKind.DONE
    try:
        return OutcomeKind(value)
    except ValueError:
        return OutcomeKind.UNKNOWN


def retry_after(headers: Mapping[str, str]) -> float:
    """Return the seconds that an answer asks to wait, 0 if it doesn't.

    A date in Retry-After is not understood and counts as 0; the backoff
    holds anyway.
    """
    text = headers.get(EXACT_RETRY_HEADER) or headers.get("retry-after", "0")
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    # "nan" and negative numbers parse; neither is a time to wait.
    return seconds if 0.0 < seconds < float("inf") else 0.0
