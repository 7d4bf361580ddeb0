"""Sessions, which retry calls without running a request twice."""

from __future__ import annotations

import asyncio
import json as jsonlib
import random
import uuid
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Any

from .adapters import Adapter, Options, adapters_by_scheme
from .connections import Exchange, Silence
from .exceptions import (
    AnswerCutError,
    CallerError,
    ConnectError,
    ConnectionLostError,
    InProgressError,
    InvalidRequestError,
    NotRunError,
    OutcomeError,
    RequestCancelledError,
    RequestRejectedError,
    UnknownOutcomeError,
)
from .feeds import EVENT_STREAM, Feed, Opened, Spread
from .models import OutcomeKind, Request, Response
from .retries import Backoff, outcome_of, retry_after

__all__ = ["Session", "StreamedResponse"]

DEFAULT_DEADLINE_SECONDS = 30.0
MAX_KEY_BYTES = 128


class Call:
    """The state of a call across its attempts."""

    def __init__(self, request: Request, expires: float, streamed: bool) -> None:
        self.request = request
        self.expires = expires
        self.streamed = streamed
        self.attempts = 0
        self.maybe_started = False
        self.in_progress = False
        self.retry_after = 0.0

    def attempt(self, now: float) -> Request:
        """Return the request for the next attempt, with the same key."""
        self.attempts += 1
        headers = {
            **self.request.headers,
            "zinniahook-attempt": str(self.attempts),
        }
        # The service cancels requests that run past their deadline. The deadline
        # of a stream only covers the headers of the answer, so sending it would cut
        # off the feed.
        if not self.streamed:
            headers["zinniahook-deadline"] = f"{max(0.0, self.expires - now):.3f}"
        return self.request._replace(headers=headers)

    def error(self, reason: str) -> OutcomeError:
        """Return the error for what is known about the call's outcome."""
        kind: type[OutcomeError] = NotRunError
        if self.in_progress:
            kind = InProgressError
        elif self.maybe_started:
            kind = UnknownOutcomeError
        return kind(reason, self.attempts, self.retry_after)


class StreamedResponse:
    """An answer whose body is read while it arrives."""

    def __init__(
        self, status: int, headers: dict[str, str], exchange: Exchange, attempts: int
    ) -> None:
        self.status = status
        self.headers = headers
        self.attempts = attempts
        self._exchange = exchange

    def iter_content(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive; an unread body pauses the sender."""
        return self._exchange.chunks()

    async def iter_lines(self) -> AsyncIterator[bytes]:
        """Yield the lines of the body, without their ends."""
        rest = b""
        async for chunk in self._exchange.chunks():
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                yield line
        if rest:
            yield rest

    async def read(self) -> bytes:
        """Return the whole body."""
        return await self._exchange.read()


class Session:
    """A client of one service.

    Parameters
    ----------
    address : str
        ``host:port`` of the service, the host as an IP address.
    ca : str, optional
        PEM file of the authorities to trust.
    server_name : str, optional
        Name that the service's certificate must have; defaults to the host.
    verify : bool
        Whether to check the certificate.
    scheme : str
        Name of a registered adapter.
    deadline : float
        Default for the seconds that a call may take with all its retries.
    backoff : Backoff, optional
        Waits between attempts.
    spread : Spread, optional
        Intervals over which feeds are reopened.
    silence : Silence, optional
        Timeouts after which a silent connection is moved and closed.
    rng : random.Random, optional
        Source of the jitter.

    Attributes
    ----------
    cuts : int
        Number of attempts whose answer was cut off or connection lost.

    Examples
    --------
    >>> async with Session("127.0.0.1:4433", ca="ca.pem") as session:
    ...     response = await session.post("/tickets", json={"ticket": "17"})
    """

    def __init__(
        self,
        address: str,
        *,
        ca: str | None = None,
        server_name: str | None = None,
        verify: bool = True,
        scheme: str = "h3",
        deadline: float = DEFAULT_DEADLINE_SECONDS,
        backoff: Backoff | None = None,
        silence: Silence | None = None,
        spread: Spread | None = None,
        rng: random.Random | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal():
            raise InvalidRequestError(f"address must be host:port, not {address!r}")
        if scheme not in adapters_by_scheme:
            raise InvalidRequestError(f"no adapter is registered for scheme {scheme!r}")
        options = Options(
            host.strip("[]"), int(port), ca, server_name, verify, silence or Silence()
        )
        self.adapter: Adapter = adapters_by_scheme[scheme](options)
        self.deadline = deadline
        self.cuts = 0
        self._backoff = backoff or Backoff()
        self._spread = spread or Spread()
        self._rng = rng or random.Random()

    async def get(self, path: str, **kwargs: Any) -> Response:
        """Send a GET; see `request`."""
        return await self.request("GET", path, **kwargs)

    async def post(self, path: str, **kwargs: Any) -> Response:
        """Send a POST, with a new Idempotency-Key unless one is given."""
        return await self.request("POST", path, **kwargs)

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        data: bytes = b"",
        json: Any = None,
        key: str | None = None,
        deadline: float | None = None,
    ) -> Response:
        """Send a request until it has an outcome, and return the answer.

        Parameters
        ----------
        method : str
            The method, in upper case.
        path : str
            Path and query string.
        headers : mapping, optional
            Additional header fields.
        data : bytes
            The body.
        json : object, optional
            The body, to be encoded as JSON.
        key : str, optional
            Idempotency-Key. If None, a POST gets a random key. An empty string
            sends no key; the request is then not retried once it may have run.
        deadline : float, optional
            Seconds for all attempts together.

        Raises
        ------
        NotRunError
            The request was certainly not run.
        UnknownOutcomeError
            It may have run.
        InProgressError
            It is still running.
        RequestCancelledError
            It was cancelled.
        """
        request = _prepare(method, path, headers, data, json, key)
        call = self._call(request, deadline, streamed=False)
        while True:
            exchange, status, fields = await self._send(call)
            try:
                async with asyncio.timeout_at(call.expires):
                    content = await exchange.read()
            except TimeoutError:
                raise call.error("deadline expired") from None
            except CallerError as error:
                await self._retry(call, error)
                continue
            finally:
                exchange.cancel()
            return Response(status, fields, content, call.attempts)

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        data: bytes = b"",
        json: Any = None,
        key: str | None = None,
        deadline: float | None = None,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and read its answer as it arrives.

        The deadline covers the time until the headers arrive. Reading a body that is
        cut off raises `AnswerCutError` or `ConnectionLostError`.
        """
        request = _prepare(method, path, headers, data, json, key)
        call = self._call(request, deadline, streamed=True)
        exchange, status, fields = await self._send(call)
        try:
            yield StreamedResponse(status, fields, exchange, call.attempts)
        finally:
            exchange.cancel()

    @asynccontextmanager
    async def events(
        self,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        last_id: str = "",
        deadline: float | None = None,
    ) -> AsyncIterator[Feed]:
        """Follow a feed of server-sent events across restarts of its servers.

        When the server leaves, or the connection is lost or goes silent, the feed is
        reopened with ``Last-Event-ID`` and resumes after the last event. Reopening
        is retried without limit; status 204 ends the feed.

        Parameters
        ----------
        path : str
            Path and query string.
        headers : mapping, optional
            Additional header fields.
        last_id : str, optional
            Id of the event after which to begin.
        deadline : float, optional
            Seconds that opening the feed may take with all its attempts.

        Raises
        ------
        OutcomeError
            If the first answer doesn't begin before the deadline.
        FeedRefusedError
            If the answer is no feed.

        Examples
        --------
        >>> async with session.events("/tally/feed") as feed:
        ...     async for event in feed:
        ...         print(event.id, event.data)
        """
        fields = {**(headers or {}), "accept": EVENT_STREAM}

        async def send(after: str) -> Opened:
            named_headers = {**fields, "last-event-id": after} if after else fields
            request = _prepare("GET", path, named_headers, b"", None, None)
            return Opened(*await self._send(self._call(request, deadline, True)))

        feed = Feed(send, self._spread, self._backoff, self._rng, last_id)
        try:
            await feed.open()
            yield feed
        finally:
            await feed.close()
            self.cuts += feed.cuts

    async def close(self) -> None:
        """Close the connections."""
        await self.adapter.close()

    async def __aenter__(self) -> Session:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    def _call(self, request: Request, deadline: float | None, streamed: bool) -> Call:
        seconds = self.deadline if deadline is None else deadline
        expires = asyncio.get_running_loop().time() + seconds
        return Call(request, expires, streamed)

    async def _send(self, call: Call) -> tuple[Exchange, int, dict[str, str]]:
        """Send attempts until an answer of the target begins."""
        while True:
            exchange = None
            answered = False
            try:
                async with asyncio.timeout_at(call.expires):
                    request = call.attempt(asyncio.get_running_loop().time())
                    exchange = await self.adapter.open(request)
                    status, fields = await exchange.head()
                answered = outcome_of(status, fields) is OutcomeKind.DONE
                if answered:
                    return exchange, status, fields
            except TimeoutError:
                call.maybe_started |= exchange is not None
                raise call.error("deadline expired") from None
            except CallerError as error:
                await self._retry(call, error)
                continue
            finally:
                if exchange is not None and not answered:
                    exchange.cancel()
            await self._handle_refusal(call, status, fields)

    async def _retry(self, call: Call, error: CallerError) -> None:
        """Wait after a failed attempt, or raise if it must not be repeated."""
        if isinstance(error, AnswerCutError | ConnectionLostError):
            self.cuts += 1
            call.maybe_started = True
            call.in_progress = False
            if not call.request.repeatable:
                raise call.error(str(error)) from error
        elif not isinstance(error, ConnectError | RequestRejectedError):
            raise error
        await self._wait(call, 0.0, str(error))

    async def _handle_refusal(
        self, call: Call, status: int, fields: dict[str, str]
    ) -> None:
        """Wait after an answer of the load balancer, or raise if it is final."""
        kind = outcome_of(status, fields)
        wait = retry_after(fields)
        call.retry_after = wait
        call.in_progress = kind is OutcomeKind.IN_PROGRESS
        reason = f"{kind.value}, code {fields.get('zinniahook-code', '-')}"
        if kind is OutcomeKind.NOT_RUN:
            # With a key, the answer covers all earlier attempts too; without one,
            # it covers this attempt only.
            call.maybe_started &= not call.request.key
        elif kind is OutcomeKind.IN_PROGRESS:
            call.maybe_started = True
        elif kind is OutcomeKind.UNKNOWN:
            call.maybe_started = True
            if call.request.method == "POST":
                raise call.error(reason)
        else:
            raise RequestCancelledError(reason, kind, call.attempts)
        await self._wait(call, wait, reason)

    async def _wait(self, call: Call, least: float, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        wait = self._backoff.wait(call.attempts, least, self._rng)
        if now + wait >= call.expires:
            raise call.error(reason)
        await asyncio.sleep(wait)


def _prepare(
    method: str,
    path: str,
    headers: Mapping[str, str] | None,
    data: bytes,
    json: Any,
    key: str | None,
) -> Request:
    """Check the arguments of a call and return its request."""
    if not path.startswith("/"):
        raise InvalidRequestError(f"path must begin with a slash, not {path!r}")
    fields = {name.lower(): value for name, value in (headers or {}).items()}
    if json is not None:
        if data:
            raise InvalidRequestError("both data and json are given")
        data = jsonlib.dumps(json).encode()
        fields.setdefault("content-type", "application/json")
    if key is None and method == "POST":
        key = fields.get("idempotency-key") or uuid.uuid4().hex
    if key:
        if len(key.encode("latin-1", "replace")) > MAX_KEY_BYTES:
            raise InvalidRequestError(f"key must have at most {MAX_KEY_BYTES} bytes")
        fields["idempotency-key"] = key
    if data:
        fields.setdefault("content-length", str(len(data)))
    return Request(method, path, fields, data)
