"""Requests on their way from a caller to a target, and answers back.

An `Exchange` is one request at this agent, wherever it came from: an HTTP/3
stream of a caller (`http3`) or a peer agent (`relays`). Whatever runs it (the
target or a relay) reads its `body` and writes its answer; both sides wait for
each other, so nothing large is ever held.
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
"""Bytes of body up to which an answer is kept for a second copy."""

MAX_KEY_BYTES = 128
"""Longest Idempotency-Key."""

BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
"""Methods whose body counts though no content-length announces it."""

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
    """What a caller asks; header names are in lower case."""

    method: str
    path: str
    headers: Headers

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, or nothing."""
        return next((value for key, value in self.headers if key == name), b"")

    def number(self, name: bytes) -> float | None:
        """Return a header that is a finite number from 0, or None."""
        try:
            value = float(self.get(name))
        except ValueError:
            return None
        return value if math.isfinite(value) and value >= 0 else None


class Answer(NamedTuple):
    """A whole answer, small enough to keep."""

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
    """Decode what `encode_answer` made.

    Raises
    ------
    ValueError
        If it is something else.
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
    """Return the answer that tells a caller of an outcome."""
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
        Told how many bytes were taken, so that the caller may send more.
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
        """Tell the reader that the rest will not come, if there is a rest."""
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
        The core's name for the request.
    head : Head
    kind : str
        Name of the request class.
    key : bytes
        Idempotency-Key, or empty.
    deadline : float or None
        Monotonic time that the caller gave, if it gave one.
    body : Body
    status : int
        Of the answer, 0 until it was begun.
    finished : bool
        The answer is complete, or can't be completed any more.
    started : bool
        Bytes of the request went out to the target or a peer.
    given_up : bool
        The caller does not want the answer any more.
    relayed_by : str
        The peer that passed the request on, or empty.
    relayed_to : str
        The peer that it was passed to, or empty.
    """

    given_up = False
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
        """Whether HTTP says that the method may be repeated."""
        return self.head.method in IDEMPOTENT_METHODS

    @property
    def kept(self) -> bytes:
        """The whole answer, encoded, or empty if it is too large to keep."""
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
        """Send a piece of the answer; wait for the future if there is one."""
        if self._kept is not None:
            # Also when the caller is gone: it may come back for its answer.
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
        """Break the answer off, so that the caller can't take it for whole."""
        if not self.finished:
            self.finished = True
            self._kept = None
            self.send_reset()

    def replay(self, answer: Answer) -> None:
        """Send a whole answer."""
        self.begin(answer.status, answer.headers)
        self.write(answer.body)
        self.finish()

    def refuse(self, outcome: Outcome) -> None:
        """Answer with an outcome, or break off an answer already begun."""
        if self.status:
            self.fail()
            return
        self._kept = None
        self.replay(outcome_answer(outcome))

    # How the answer goes out, and how the body comes in

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        raise NotImplementedError

    def send_piece(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a piece; return a future if the other side is behind."""
        raise NotImplementedError

    def send_end(self) -> None:
        """End the answer."""
        raise NotImplementedError

    def send_reset(self) -> None:
        """Break the answer off."""
        raise NotImplementedError

    def body_taken(self, size: int) -> None:
        """Let the caller send more of the body."""
        raise NotImplementedError
