"""Requests, responses and outcomes."""

from __future__ import annotations

import enum
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

__all__ = ["OutcomeKind", "Request", "Response"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
"""Methods that RFC 9110, section 9.2.2, defines as idempotent."""


class OutcomeKind(enum.Enum):
    """All possible outcomes of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    CANCELLED_BEFORE = "cancelled-before"
    CANCELLED_AFTER = "cancelled-after"


class Request(NamedTuple):
    """A request as it is sent; header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""

    @property
    def key(self) -> str:
        """The Idempotency-Key, or an empty string."""
        return self.headers.get("idempotency-key", "")

    @property
    def repeatable(self) -> bool:
        """Whether the request can be repeated safely after it may have run."""
        return self.method in IDEMPOTENT_METHODS or bool(self.key)


class Response:
    """A complete answer.

    Attributes
    ----------
    status : int
        Status code.
    headers : dict of str to str
        Header fields, names in lower case.
    content : bytes
        The body.
    attempts : int
        Number of times the request was sent, including the last.
    """

    def __init__(
        self, status: int, headers: dict[str, str], content: bytes, attempts: int
    ) -> None:
        self.status = status
        self.headers = headers
        self.content = content
        self.attempts = attempts

    @property
    def ok(self) -> bool:
        """Whether the status is below 400."""
        return self.status < 400

    @property
    def text(self) -> str:
        """The body, decoded as UTF-8."""
        return self.content.decode()

    def json(self) -> Any:
        """Return the body, decoded from JSON.

        Raises
        ------
        ValueError
            If the body isn't valid JSON.
        """
        return json.loads(self.content)

    def __repr__(self) -> str:
        return f"<Response [{self.status}]>"
