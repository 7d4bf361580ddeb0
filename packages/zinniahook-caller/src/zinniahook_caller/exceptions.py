"""Errors of the caller library, all derived from `CallerError`."""

from __future__ import annotations

from .models import OutcomeKind

__all__ = [
    "AnswerCutError",
    "CallerError",
    "ConnectError",
    "ConnectionLostError",
    "FeedRefusedError",
    "InProgressError",
    "InvalidRequestError",
    "NotRunError",
    "OutcomeError",
    "RequestCancelledError",
    "RequestRejectedError",
    "UnknownOutcomeError",
]


class CallerError(Exception):
    """Base of every error of this library."""


class InvalidRequestError(CallerError, ValueError):
    """The arguments don't form a valid request."""


class FeedRefusedError(CallerError):
    """The answer is no readable feed of server-sent events."""


class OutcomeError(CallerError):
    """A request ended without an answer from the target.

    Parameters
    ----------
    reason : str
        Why the request ended, in one line.
    attempts : int
        Number of times the request was sent.
    retry_after : float
        Seconds to wait before a retry; 0 if unknown.
    """

    outcome: OutcomeKind

    def __init__(
        self, reason: str, attempts: int = 0, retry_after: float = 0.0
    ) -> None:
        super().__init__(reason)
        self.attempts = attempts
        self.retry_after = retry_after


class NotRunError(OutcomeError):
    """The request was certainly not run."""

    outcome = OutcomeKind.NOT_RUN


class InProgressError(OutcomeError):
    """The request is still running; retry with the same key."""

    outcome = OutcomeKind.IN_PROGRESS


class UnknownOutcomeError(OutcomeError):
    """It is unknown whether the request ran."""

    outcome = OutcomeKind.UNKNOWN


class RequestCancelledError(OutcomeError):
    """The request was cancelled; ``outcome`` says whether it had started."""

    def __init__(self, reason: str, outcome: OutcomeKind, attempts: int = 0) -> None:
        super().__init__(reason, attempts)
        self.outcome = outcome


class AnswerCutError(CallerError):
    """The answer was cut off before its end."""


class ConnectError(CallerError):
    """No connection could be opened, so nothing was sent."""


class ConnectionLostError(CallerError):
    """The connection ended or went silent while a request was pending."""


class RequestRejectedError(CallerError):
    """The server reported that it did not process this attempt."""
