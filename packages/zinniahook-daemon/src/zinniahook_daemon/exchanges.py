"""Requests from a caller to a target, and their answers.

An `Exchange` is one request at this agent. It comes from an HTTP/3 stream of a caller
(`http3`) or from a peer agent (`relays`). The target or the relay that runs it reads
its `body` and writes its answer. Back-pressure in both directions bounds the bytes that
are buffered.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.models import Service
from zinniahook_wire.control_pb2 import Header, RelayAnswer

__all__ = [
    "Answer",
    "BODY_METHODS",
    "Body",
    "BodyAborted",
    "Exchange",
    "Head",
    "Headers",
    "outcome_answer",
    "classify",
    "decode_answer",
    "encode_answer",
]

Headers = tuple[tuple[bytes, bytes], ...]

MAX_KEPT_ANSWER_BYTES = 32 * 1024
"""Largest body of an answer that is kept for a repeat of its request."""

MAX_KEY_BYTES = 128
"""Longest accepted Idempotency-Key."""

BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
"""Methods whose body is forwarded even without a content-length header."""

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})

STATUS_BY_KIND = {
    OutcomeKind.DONE: 200,
    OutcomeKind.NOT_RUN: 503,
    OutcomeKind.IN_PROGRESS: 409,
    OutcomeKind.UNKNOWN: 502,
    OutcomeKind.CANCELLED_BEFORE: 499,
    OutcomeKind.CANCELLED_AFTER: 499,
}

STATUS_BY_CODE = {
    Code.RETRY_BUDGET_SPENT: 429,
    Code.HEADER_TOO_LARGE: 431,
    Code.BODY_TOO_LARGE: 413,
    Code.CLASS_UNKNOWN: 404,
    Code.KEY_TOO_LONG: 400,
}

_numbers = itertools.count(1)


class Head(NamedTuple):
    """Method, path and headers of a request; header names are in lower case."""

    method: str
    path: str
    headers: Headers

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes."""
        return next((value for key, value in self.headers if key == name), b"")

    def number(self, name: bytes) -> float | None:
        """Return a header as a finite, non-negative number, or None."""
        try:
            value = float(self.get(name))
        except ValueError:
            return None
        return value if math.isfinite(value) and value >= 0 else None


class Answer(NamedTuple):
    """A complete answer, small enough to keep."""

    status: int
    headers: Headers
    body: bytes


def encode_answer(answer: Answer) -> bytes:
    """Encode a kept answer: the length of its head, the head, the body."""
    head = RelayAnswer(
        status=answer.status,
        headers=[Header(name=name, value=value) for name, value in answer.headers],
    ).SerializeToString()
    return len(head).to_bytes(4, "big") + head + answer.body


def decode_answer(data: bytes) -> Answer:
    """Decode the result of `encode_answer`.

    Raises
    ------
    ValueError
        If ``data`` has another format.
    """
    size = int.from_bytes(data[:4], "big")
    head = RelayAnswer()
    try:
        head.ParseFromString(data[4 : 4 + size])
    except Exception as error:
        raise ValueError(f"not a kept answer: {error}") from None
    if len(data) < 4 + size or not 100 <= head.status <= 999:
        raise ValueError("not a kept answer")
    headers = tuple((header.name, header.value) for header in head.headers)
    return Answer(head.status, headers, data[4 + size :])


def outcome_answer(outcome: Outcome) -> Answer:
    """Return the answer that reports an outcome to a caller."""
    status = STATUS_BY_CODE.get(outcome.code) or STATUS_BY_KIND[outcome.kind]
    headers = [
        (b"zinniahook-outcome", outcome.kind.value.encode()),
        (b"zinniahook-code", b"%d" % outcome.code),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    if outcome.retry_after > 0:
        seconds = b"%d" % math.ceil(outcome.retry_after)
        headers.append((b"retry-after", seconds))
        headers.append((b"zinniahook-retry-after", b"%.3f" % outcome.retry_after))
    body = f"{outcome.kind.value}: {outcome.code.name} ({outcome.code:d})\n".encode()
    headers.append((b"content-length", b"%d" % len(body)))
    return Answer(status, tuple(headers), body)


def classify(service: Service, path: str) -> str:
    """Return the request class with the longest prefix of ``path``, or empty."""
    classes = service.classes_by_name.values()
    fitting = [entry for entry in classes if path.startswith(entry.prefix)]
    if not fitting:
        return ""
    return max(fitting, key=lambda entry: len(entry.prefix)).name


class BodyAborted(Exception):  # noqa: N818
    """The caller will not send the rest of its body."""


class Body:
    """A request body as an asynchronous iterator of pieces.

    Parameters
    ----------
    taken : callable
        Called with the number of consumed bytes, so that the caller may send more.
    """

    def __init__(self, taken: Callable[[int], None]) -> None:
        self.size = 0
        self.taken = 0
        self.ended = False
        self.aborted = False
        self._on_taken = taken
        self._pieces: deque[bytes] = deque()
        self._more: asyncio.Future[None] | None = None

    def feed(self, data: bytes, end: bool = False) -> None:
        """Add a piece that the caller has sent."""
        if data:
            self.size += len(data)
            self._pieces.append(data)
        self.ended = self.ended or end
        self._wake()

    def abort(self) -> None:
        """Make the reader raise `BodyAborted`, unless the body is complete."""
        if self.ended:
            return
        self.aborted = True
        self._pieces.clear()
        self._wake()

    def _wake(self) -> None:
        if self._more is not None and not self._more.done():
            self._more.set_result(None)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            while self._pieces:
                piece = self._pieces.popleft()
                self.taken += len(piece)
                yield piece
                self._on_taken(len(piece))
            if self.aborted:
                raise BodyAborted
            if self.ended:
                return
            self._more = asyncio.get_running_loop().create_future()
            await self._more


class Exchange:
    """One request at this agent and its answer.

    Attributes
    ----------
    number : int
        The number by which the core refers to the request.
    head : Head
    kind : str
        Name of the request class.
    key : bytes
        Idempotency-Key, or empty.
    deadline : float or None
        Monotonic time by which the caller wants the answer, if it set one.
    body : Body
    status : int
        Status of the answer; 0 until the answer has begun.
    finished : bool
        The answer is complete, or can no longer be completed.
    started : bool
        Bytes of the request were sent to the target or a peer.
    is_cancelled : bool
        The caller has cancelled the request.
    relayed_by : str
        The peer that relayed the request to this agent, or empty.
    relayed_to : str
        The peer that the request was relayed to, or empty.
    """

    is_cancelled = False
    relayed_by = ""
    relayed_to = ""

    def __init__(self, head: Head, kind: str, now: float) -> None:
        self.number = next(_numbers)
        self.head = head
        self.kind = kind
        self.key = head.get(b"idempotency-key")
        self.attempt = int(head.number(b"zinniahook-attempt") or 0)
        seconds = head.number(b"zinniahook-deadline")
        self.deadline = None if seconds is None else now + seconds
        self.arrived_at = now
        self.body = Body(self.body_taken)
        self.status = 0
        self.started = False
        self.finished = False
        self._headers: Headers = ()
        self._kept: bytearray | None = None
        if self.key and not self.idempotent:
            self._kept = bytearray()

    @property
    def idempotent(self) -> bool:
        """Whether HTTP defines the method as idempotent."""
        return self.head.method in IDEMPOTENT_METHODS

    @property
    def kept(self) -> bytes:
        """The complete encoded answer, or empty if it is too large to keep."""
        if self._kept is None or not self.status:
            return b""
        return encode_answer(Answer(self.status, self._headers, bytes(self._kept)))

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        if self.status:
            return
        self.status = status
        self._headers = headers
        if not self.finished:
            self.send_head(status, headers)

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a piece; if a future is returned, await it before the next piece."""
        if self._kept is not None:
            # Kept even if the caller has gone: it may retry to get its answer.
            self._kept += data
            if len(self._kept) > MAX_KEPT_ANSWER_BYTES:
                self._kept = None
        if self.finished or not data:
            return None
        return self.send_piece(data)

    def finish(self) -> None:
        """End the answer."""
        if not self.finished:
            self.finished = True
            self.send_end()

    def fail(self) -> None:
        """Reset the answer, so that the caller doesn't consider it complete."""
        if not self.finished:
            self.finished = True
            self._kept = None
            self.send_reset()

    def replay(self, answer: Answer) -> None:
        """Send a complete answer."""
        self.begin(answer.status, answer.headers)
        self.write(answer.body)
        self.finish()

    def refuse(self, outcome: Outcome) -> None:
        """Answer with an outcome, or reset an answer that has begun."""
        if self.status:
            self.fail()
            return
        self._kept = None
        self.replay(outcome_answer(outcome))

    # Transport, implemented by subclasses

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        raise NotImplementedError

    def send_piece(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a piece; return a future if the receiver has fallen behind."""
        raise NotImplementedError

    def send_end(self) -> None:
        """End the answer."""
        raise NotImplementedError

    def send_reset(self) -> None:
        """Reset the answer's stream."""
        raise NotImplementedError

    def body_taken(self, size: int) -> None:
        """Let the caller send more of the body."""
        raise NotImplementedError
