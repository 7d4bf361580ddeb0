"""HTTP/3 caller library that retries safely.

A call keeps one Idempotency-Key over all its attempts, honours Retry-After,
deadlines and GOAWAY, and recovers from connections that go silent.
"""

from .adapters import Adapter, Http3Adapter, Options, adapter, adapters_by_scheme
from .connections import Silence
from .exceptions import (
    AnswerCutError,
    CallerError,
    ConnectError,
    ConnectionLostError,
    FeedRefusedError,
    InProgressError,
    InvalidRequestError,
    NotRunError,
    OutcomeError,
    RequestCancelledError,
    RequestRejectedError,
    UnknownOutcomeError,
)
from .feeds import Event, Feed, Spread
from .models import OutcomeKind, Request, Response
from .retries import Backoff
from .sessions import Session, StreamedResponse

__all__ = [
    "Adapter",
    "AnswerCutError",
    "Backoff",
    "CallerError",
    "ConnectError",
    "ConnectionLostError",
    "Event",
    "Feed",
    "FeedRefusedError",
    "Http3Adapter",
    "InProgressError",
    "InvalidRequestError",
    "NotRunError",
    "Options",
    "OutcomeError",
    "OutcomeKind",
    "Request",
    "RequestCancelledError",
    "RequestRejectedError",
    "Response",
    "Session",
    "Silence",
    "Spread",
    "StreamedResponse",
    "UnknownOutcomeError",
    "adapter",
    "adapters_by_scheme",
]
