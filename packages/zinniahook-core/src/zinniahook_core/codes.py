"""Result codes: numbers used by operators, logs and counters.

Every refusal, drop and failure has one number. A test keeps
docs/result-codes.md consistent with this module.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Code", "Failure", "Outcome", "OutcomeKind", "ZinniahookError"]


class Code(enum.IntEnum):
    """A numbered result; the hundreds digit gives the area."""

    OK = 0
    # 1xx: datagrams at an entry or agent
    DATAGRAM_MALFORMED = 100
    DATAGRAM_TOO_LONG = 101
    CONNECTION_ID_UNKNOWN = 102
    SERVICE_MISMATCH = 103
    TUNNEL_UNAUTHENTICATED = 104
    TUNNEL_KEY_UNKNOWN = 105
    TUNNEL_MALFORMED = 106
    HOP_LIMIT = 107
    NO_AGENT = 108
    SERVICE_UNKNOWN = 109
    INCARNATION_STALE = 110
    AMPLIFICATION_LIMIT = 111
    FLOW_LIMIT = 112
    SOCKET_FULL = 113
    # 2xx: requests
    NOT_RUN = 200
    IN_PROGRESS = 201
    UNKNOWN = 202
    CANCELLED_BEFORE = 203
    CANCELLED_AFTER = 204
    QUEUE_FULL = 205
    DEADLINE_EXPIRED = 206
    LEAVING = 207
    RETRY_BUDGET_SPENT = 208
    TARGET_FAILED = 209
    TARGET_SHED = 210
    HEADER_TOO_LARGE = 211
    BODY_TOO_LARGE = 212
    CLASS_UNKNOWN = 213
    KEY_TOO_LONG = 214
    ANSWER_LOST = 215
    # 3xx: membership and the store
    CONFLICT = 300
    STORE_DOWN = 301
    STORE_ANSWER_LOST = 302
    FENCED = 303
    ROSTER_TOO_LARGE = 304
    NOT_READY = 305
    STORE_RESTORED = 306
    STORE_ERA_FELL = 307
    STORE_ERA_UNKNOWN = 308
    # 4xx: configuration
    CONFIGURATION_INVALID = 400
    GENERATION_STALE = 401
    GENERATION_UNKNOWN = 402
    ROLLOUT_STOPPED = 403
    WOULD_EMPTY_SERVICE = 404
    NOT_PERMITTED = 405
    # 5xx: settings and the command line
    SETTINGS_UNREADABLE = 500
    SETTINGS_UNKNOWN_KEY = 501
    SETTINGS_TYPE = 502
    SETTINGS_ADDRESS = 503
    SETTINGS_FILE_MISSING = 504
    SETTINGS_MISSING_KEY = 505
    COMMAND_SYNTAX = 510
    COMMAND_UNKNOWN_NAME = 511


class OutcomeKind(enum.Enum):
    """All outcomes of a request that may be reported to its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    CANCELLED_BEFORE = "cancelled-before"
    CANCELLED_AFTER = "cancelled-after"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The final result of a request.

    ``retry_after`` is the time in seconds after which the caller may retry;
    0 means that a retry is useless.
    """

    kind: OutcomeKind
    code: Code
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure of an operation that isn't a request, with its result code."""

    code: Code
    reason: str


class ZinniahookError(Exception):
    """Base class of all errors of zinniahook; carries a result code."""

    code: Code = Code.CONFIGURATION_INVALID

    def __init__(self, reason: str, code: Code | None = None) -> None:
        super().__init__(reason)
        if code is not None:
            self.code = code

    @property
    def failure(self) -> Failure:
        """The error as a `Failure`."""
        return Failure(self.code, str(self))
