"""Limits on callers that come back: a retry budget and a return schedule.

What goes wrong without them: callers that never give up retry what was
refused, the retries keep the queues full, and the overload goes on after its
cause has gone (a metastable failure). It shows as a rate of arrivals that
stays high while few requests are first attempts.
"""

from __future__ import annotations

import random

__all__ = ["RetryBudget", "ReturnSchedule"]

FIRST_ATTEMPT_CREDIT = 0.2
SUCCESS_CREDIT = 0.1
BUDGET_LIMIT = 20.0
RETRY_SHARE = 0.5
SHORTEST_RETURN = 0.1
LONGEST_RETURN = 30.0
JITTER = 0.25


class RetryBudget:
    """A token bucket that retries draw on while there is no free slot.

    First attempts and successes fill it, so retries in the queue stay a
    bounded part of useful work whatever the callers do.
    """

    def __init__(self) -> None:
        self._tokens = BUDGET_LIMIT

    @property
    def tokens(self) -> float:
        """Retries that may be queued right now."""
        return self._tokens

    def attempted(self) -> None:
        """Credit a first attempt."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + FIRST_ATTEMPT_CREDIT)

    def succeeded(self) -> None:
        """Credit a request that was answered."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + SUCCESS_CREDIT)

    def take(self) -> bool:
        """Draw one token; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ReturnSchedule:
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
        self._booked_until = 0.0

    def book(self, now: float, drain: float, capacity: float) -> float:
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
            Seconds from now, between SHORTEST_RETURN and LONGEST_RETURN,
            jitter aside.
        """
        step = 1.0 / max(RETRY_SHARE * capacity, 1e-3)
        self._booked_until = max(self._booked_until, now + drain) + step
        self._booked_until = min(self._booked_until, now + LONGEST_RETURN)
        delay = max(SHORTEST_RETURN, self._booked_until - now)
        return delay * (1.0 + JITTER * (2.0 * self._rng.random() - 1.0))
