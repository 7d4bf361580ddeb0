"""Errors of the caller library; `CallerError` is the base of all."""

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
    """The arguments don't make a request."""


class FeedRefusedError(CallerError):
    """The answer is no feed of server-sent events that could be read."""


class OutcomeError(CallerError):
    """A request ended without an answer of the target.

    Parameters
    ----------
    reason : str
        Why, in one line.
    attempts : int
        How many times the request was sent.
    retry_after : float
        When it may be worth to come back, in seconds; 0 if nothing is known.
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
    """The request still runs; ask again with the same key."""

    outcome = OutcomeKind.IN_PROGRESS


class UnknownOutcomeError(OutcomeError):
    """Nobody can tell whether the request ran."""

    outcome = OutcomeKind.UNKNOWN


class RequestCancelledError(OutcomeError):
    """The request was cancelled; ``outcome`` tells before or after its start."""

    def __init__(self, reason: str, outcome: OutcomeKind, attempts: int = 0) -> None:
        super().__init__(reason, attempts)
        self.outcome = outcome


class AnswerCutError(CallerError):
    """The answer ended before it was whole."""


class ConnectError(CallerError):
    """No connection could be opened, so that nothing was sent."""


class ConnectionLostError(CallerError):
    """The connection ended or went silent while a request was out on it."""


class RequestRejectedError(CallerError):
    """The server says that it did not process this copy of the request."""
