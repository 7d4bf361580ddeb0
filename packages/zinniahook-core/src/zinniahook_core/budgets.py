"""Limits on callers that come back: a retry budget and a return schedule.

What goes wrong without them: callers that never give up retry what was
refused, the retries keep the queues full, and the overload goes on after its
cause has gone (a metastable failure). It shows as a rate of arrivals that
stays high while few requests are first attempts.
"""

from __future__ import annotations

import random

__all__ = ["RetryBudget", "RetrySchedule"]

FIRST_ATTEMPT_CREDIT = 0.2
SUCCESS_CREDIT = 0.1
MAX_BUDGET_TOKENS = 20.0
RETRY_CAPACITY_SHARE = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0
RETRY_AFTER_JITTER = 0.25


class RetryBudget:
    """A token bucket that retries draw on while there is no free slot.

    First attempts and successes fill it, so retries in the queue stay a
    bounded part of useful work whatever the callers do.
    """

    def __init__(self) -> None:
        self._tokens = MAX_BUDGET_TOKENS

    @property
    def tokens(self) -> float:
        """Retries that may be queued right now."""
        return self._tokens

    def credit_first_attempt(self) -> None:
        """Credit a first attempt."""
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + FIRST_ATTEMPT_CREDIT)

    def credit_success(self) -> None:
        """Credit a request that was answered."""
        self._tokens = min(MAX_BUDGET_TOKENS, self._tokens + SUCCESS_CREDIT)

    def take(self) -> bool:
        """Draw one token; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetrySchedule:
    """Times for refused callers to come back, spaced by the capacity.

    Each refusal books the next free place in the future, so those that obey
    arrive at a rate that can be served beside new work, and Retry-After grows
    with the pressure of refusals by itself.

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
            Expected seconds until what is queued has been served.
        capacity : float
            Requests a second that the class can serve.

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
