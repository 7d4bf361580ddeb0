"""Limits on retries: a retry budget and a schedule of Retry-After times.

Without them, callers that never give up keep the queues full with retries, and
an overload continues after its cause has ended (a metastable failure). The rate
of arrivals then stays high while few requests are first attempts.
"""

from __future__ import annotations

import random

__all__ = ["RetryBudget", "RetrySchedule"]

FIRST_ATTEMPT_CREDIT = 0.2
"""Tokens added for each first attempt."""

SUCCESS_CREDIT = 0.1
"""Tokens added for each answered request."""

MAX_BUDGET_TOKENS = 20.0

RETRY_CAPACITY_SHARE = 0.5
"""Fraction of the service rate that scheduled retries may use."""

MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0

RETRY_AFTER_JITTER = 0.25
"""Largest relative change of a Retry-After, up or down."""


class RetryBudget:
    """A token bucket for retries that have to wait for a slot.

    First attempts and successes fill it, so queued retries stay a bounded
    fraction of useful work, however callers behave.
    """

    def __init__(self) -> None:
        self._tokens = MAX_BUDGET_TOKENS

    @property
    def tokens(self) -> float:
        """Number of retries that may be queued now."""
        return self._tokens

    def credit_first_attempt(self) -> None:
        """Add the credit of a first attempt."""
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + FIRST_ATTEMPT_CREDIT)

    def credit_success(self) -> None:
        """Add the credit of an answered request."""
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + SUCCESS_CREDIT)

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetrySchedule:
    """Retry times for refused callers, spaced according to the service rate.

    Each refusal reserves the next free time. Callers that follow Retry-After
    then arrive at a rate that can be served beside new work, and Retry-After
    grows with the number of refusals.

    Parameters
    ----------
    rng : random.Random
        Draws the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._reserved_until = 0.0

    def reserve(self, now: float, drain: float, capacity: float) -> float:
        """Return the Retry-After of one refusal.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        drain : float
            Expected seconds until the queue has been served.
        capacity : float
            Requests per second that the class can serve.

        Returns
        -------
        float
            Seconds from now, between MIN_RETRY_AFTER_SECONDS and
            MAX_RETRY_AFTER_SECONDS before the jitter.
        """
        step = 1.0 / max(RETRY_CAPACITY_SHARE * capacity, 1e-3)
        self._reserved_until = max(self._reserved_until, now + drain) + step
        self._reserved_until = min(self._reserved_until, now + MAX_RETRY_AFTER_SECONDS)
        delay = max(MIN_RETRY_AFTER_SECONDS, self._reserved_until - now)
        return delay * (1.0 + RETRY_AFTER_JITTER * (2.0 * self._rng.random() - 1.0))
