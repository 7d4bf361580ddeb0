"""Feeds of server-sent events that survive the stop of their server.

A feed lasts for hours, while targets are restarted in between. Each event carries
an id, and a new request resumes the feed after it with ``Last-Event-ID``. The
reader gets every event once and in order, whichever target sends it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from .connections import Exchange
from .exceptions import CallerError, FeedRefusedError, OutcomeError
from .retries import Backoff

__all__ = ["EVENT_STREAM", "Event", "EventParser", "Feed", "Spread"]

EVENT_STREAM = "text/event-stream"

MAX_QUEUED_EVENTS = 64
"""Unread events after which the sender must pause."""

MAX_EVENT_BYTES = 1 << 20
"""Limit of the size of an event, in bytes."""

NO_CONTENT = 204
SERVER_ERROR = 500


class Event(NamedTuple):
    """A server-sent event; ``id`` is empty if the event has none."""

    id: str
    kind: str
    data: str


class Spread(NamedTuple):
    """Seconds over which feeds that lose their server are reopened.

    Each feed waits for a random part of the interval. All feeds of a leaving server
    get its GOAWAY at the same time, and 2,000 of them at once would overload the
    other six servers; over 20 s each server gets 17 a second. A ``lost`` feed is
    reopened sooner, as its reader is waiting.
    """

    leaving: float = 20.0
    lost: float = 1.0


class EventParser:
    """Incremental parser of server-sent events.

    The format is that of the HTML standard, section 9.2, without ``retry``; the
    backoff of the session applies instead.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._size = 0
        self._reset()

    def feed(self, chunk: bytes) -> list[Event]:
        """Parse a chunk of the body and return the events that it completes.

        Raises
        ------
        FeedRefusedError
            If an event is larger than 1 MiB.
        """
        text = self._buffer + chunk
        # The LF of a CRLF may be in the next chunk.
        ends_with_cr = text.endswith(b"\r")
        lines = text.replace(b"\r\n", b"\n")
        lines = (lines[:-1] if ends_with_cr else lines).replace(b"\r", b"\n")
        *complete_lines, rest = lines.split(b"\n")
        self._buffer = rest + b"\r" if ends_with_cr else rest
        events = [event for line in complete_lines if (event := self._parse_line(line))]
        if self._size + len(self._buffer) > MAX_EVENT_BYTES:
            raise FeedRefusedError(f"event larger than {MAX_EVENT_BYTES} bytes")
        return events

    def _reset(self) -> None:
        self._id = ""
        self._kind = ""
        self._data: list[str] = []
        self._size = 0

    def _parse_line(self, line: bytes) -> Event | None:
        if not line:
            return self._dispatch()
        self._size += len(line)
        name, _, value = line.decode("utf-8", "replace").partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "event":
            self._kind = value
        elif name == "id" and "\0" not in value:
            self._id = value
        return None

    def _dispatch(self) -> Event | None:
        event = None
        if self._data:
            event = Event(self._id, self._kind or "message", "\n".join(self._data))
        self._reset()
        return event


class Opened(NamedTuple):
    """An answer whose status and headers have arrived."""

    exchange: Exchange
    status: int
    headers: dict[str, str]


class Feed:
    """Events without gaps or duplicates, across several answers.

    A feed can be iterated once. Events without an id are passed on as they arrive,
    as their duplicates can't be recognised.

    Parameters
    ----------
    send : callable
        Requests the events after an id (empty at first) and returns the answer
        once its headers have arrived.
    spread : Spread
        Intervals over which to reopen the feed.
    backoff : Backoff
        Waits between attempts to reopen the feed.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    last_id : str
        Id of the last event queued for the reader.
    reopened, cuts, doubles : int
        How often the feed was reopened; how often because an answer had been cut
        off; and the number of duplicate events dropped.
    """

    def __init__(
        self,
        send: Callable[[str], Awaitable[Opened]],
        spread: Spread,
        backoff: Backoff,
        rng: random.Random,
        last_id: str = "",
    ) -> None:
        self.last_id = last_id
        self.reopened = 0
        self.cuts = 0
        self.doubles = 0
        self._send = send
        self._spread = spread
        self._backoff = backoff
        self._rng = rng
        self._queue: asyncio.Queue[Event | BaseException | None] = asyncio.Queue(
            MAX_QUEUED_EVENTS
        )
        self._overlap_ids: set[str] | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Open the first answer.

        Raises
        ------
        OutcomeError
            If the deadline of the call expires first.
        FeedRefusedError
            If the answer is no feed.
        """
        exchange = _accept(await self._send(self.last_id))
        self._task = asyncio.create_task(self._run(exchange))

    async def close(self) -> None:
        """End the feed."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def __aiter__(self) -> AsyncIterator[Event]:
        while True:
            item = await self._queue.get()
            if item is None:
                return
            if isinstance(item, BaseException):
                raise item
            yield item

    async def _run(self, exchange: Exchange | None) -> None:
        end: BaseException | None = None
        duplicate_ids: set[str] = set()
        try:
            while exchange is not None:
                exchange = await self._read_until_reopened(exchange, duplicate_ids)
                duplicate_ids, self._overlap_ids = self._overlap_ids or set(), None
                self.reopened += exchange is not None
        except Exception as error:
            # The error is raised where the feed is iterated, instead of being
            # logged by the event loop.
            end = error
        await self._queue.put(end)

    async def _read_until_reopened(
        self, exchange: Exchange, duplicate_ids: set[str]
    ) -> Exchange | None:
        """Read an answer until the next one has begun, and return the next.

        After a GOAWAY, the old answer is read until the new one has begun. Otherwise
        a leaving server would cut off the feed, or the feed would delay the server's
        stop for hours.
        """
        reading = asyncio.create_task(self._read(exchange, duplicate_ids))
        leaving = asyncio.create_task(exchange.leaving.wait())
        try:
            await asyncio.wait({reading, leaving}, return_when="FIRST_COMPLETED")
            if not reading.done():
                wait = self._rng.random() * self._spread.leaving
                await asyncio.wait({reading}, timeout=wait)
            if reading.done():
                self._check_read_result(reading)
                await asyncio.sleep(self._rng.random() * self._spread.lost)
            return await self._reopen()
        finally:
            reading.cancel()
            leaving.cancel()
            await asyncio.gather(reading, leaving, return_exceptions=True)
            exchange.cancel()

    async def _read(self, exchange: Exchange, duplicate_ids: set[str]) -> None:
        parser = EventParser()
        async for chunk in exchange.chunks():
            for event in parser.feed(chunk):
                await self._deliver(event, duplicate_ids)

    async def _deliver(self, event: Event, duplicate_ids: set[str]) -> None:
        if event.id and event.id in duplicate_ids:
            self.doubles += 1
            return
        # Only events in the queue count as seen. If this task is cancelled while it
        # waits here, the next answer delivers the event.
        await self._queue.put(event)
        if not event.id:
            return
        duplicate_ids.clear()
        self.last_id = event.id
        if self._overlap_ids is not None:
            self._overlap_ids.add(event.id)

    def _check_read_result(self, reading: asyncio.Task[None]) -> None:
        error = reading.exception()
        if isinstance(error, FeedRefusedError):
            raise error
        if error is not None and not isinstance(error, CallerError):
            raise error
        self.cuts += error is not None

    async def _reopen(self) -> Exchange | None:
        """Reopen the feed after the last id, with unlimited retries."""
        attempt = 0
        while True:
            # Until the new answer begins, the old one may deliver events that the
            # new one repeats.
            self._overlap_ids = {self.last_id}
            attempt += 1
            least = 0.0
            after_id = self.last_id
            try:
                opened = await self._send(after_id)
            except OutcomeError as error:
                least = error.retry_after
            else:
                if opened.status == NO_CONTENT:
                    opened.exchange.cancel()
                    return None
                # An answer requested without an id doesn't begin after the events
                # that the old one has delivered since, so it is requested again.
                stale = not after_id and self.last_id
                if opened.status < SERVER_ERROR and not stale:
                    return _accept(opened)
                opened.exchange.cancel()
            await asyncio.sleep(self._backoff.wait(attempt, least, self._rng))


def _accept(opened: Opened) -> Exchange:
    kind = opened.headers.get("content-type", "").partition(";")[0].strip()
    if opened.status == 200 and kind == EVENT_STREAM:
        return opened.exchange
    opened.exchange.cancel()
    raise FeedRefusedError(f"no feed: status {opened.status}, {kind or 'no type'}")
