"""Backoff between attempts, and the outcome headers of answers."""

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

        ``least`` is the wait that the server asked for. The jitter is added to it, as
        callers that were refused together would otherwise retry together.
        """
        # The exponent is bounded, as unlimited retries would overflow the float
        # after about 1,000 attempts.
        growth = min(self.limit, self.base * 2 ** min(attempt - 1, 16))
        return least + rng.random() * growth


def outcome_of(status: int, headers: Mapping[str, str]) -> OutcomeKind:
    """Return the outcome that an answer states.

    An answer without the header comes from the target itself, so the request is
    done. Outcomes that this library doesn't know count as unknown.
    """
    value = headers.get(OUTCOME_HEADER)
    if value is None:
        return OutcomeKind.DONE
    try:
        return OutcomeKind(value)
    except ValueError:
        return OutcomeKind.UNKNOWN


def retry_after(headers: Mapping[str, str]) -> float:
    """Return the seconds that an answer asks to wait, or 0 if it doesn't.

    A date in Retry-After isn't supported and counts as 0; the backoff still
    applies.
    """
    text = headers.get(EXACT_RETRY_HEADER) or headers.get("retry-after", "0")
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    # "nan", "inf" and negative numbers are valid floats, but no times to wait.
    return seconds if 0.0 < seconds < float("inf") else 0.0
