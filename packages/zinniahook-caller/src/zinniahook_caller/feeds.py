"""Feeds of server-sent events that go on when their server leaves.

A feed lasts for hours; no target does. Each event carries an id, and a new
answer is asked for with ``Last-Event-ID`` to begin after it, so that the
reader sees every event once and in order, whichever target sent it.
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
"""Events that may wait unread before the sender must stop."""

MAX_EVENT_BYTES = 1 << 20
"""Bytes that one event may take."""

NO_CONTENT = 204
SERVER_ERROR = 500


class Event(NamedTuple):
    """One server-sent event; ``id`` is empty if it has none of its own."""

    id: str
    kind: str
    data: str


class Spread(NamedTuple):
    """Seconds over which feeds that lose their server are opened anew.

    Each feed draws its own time. All feeds of a leaving server hear of it in
    the same moment, and 2,000 of them at once would overload the six others;
    over twenty seconds they are 17 a second for each. What was ``lost`` comes
    back sooner, as its reader is waiting.
    """

    leaving: float = 20.0
    lost: float = 1.0


class EventParser:
    """Server-sent events out of chunks of a body.

    The format is that of the HTML standard, section 9.2, without ``retry``:
    the waits of the session hold.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._size = 0
        self._reset()

    def feed(self, chunk: bytes) -> list[Event]:
        """Take a chunk and return the events that it completes.

        Raises
        ------
        FeedRefusedError
            If an event is larger than 1 MiB.
        """
        text = self._buffer + chunk
        # The second half of a line end may still be on its way.
        ends_with_cr = text.endswith(b"\r")
        lines = text.replace(b"\r\n", b"\n")
        lines = (lines[:-1] if ends_with_cr else lines).replace(b"\r", b"\n")
        *complete_lines, rest = lines.split(b"\n")
        self._buffer = rest + b"\r" if ends_with_cr else rest
        events = [event for line in complete_lines if (event := self._parse_line(line))]
        if self._size + len(self._buffer) > MAX_EVENT_BYTES:
            raise FeedRefusedError(f"an event larger than {MAX_EVENT_BYTES} bytes")
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
    """An answer that has begun."""

    exchange: Exchange
    status: int
    headers: dict[str, str]


class Feed:
    """Events without a gap or a double, over as many answers as it takes.

    Iterate over it once. Events that have no id of their own are passed on
    as they come: nothing tells a double of those.

    Parameters
    ----------
    send : callable
        Sends the request for the events after an id (empty at first), and
        returns the answer once it has begun.
    spread : Spread
        When to open a feed anew.
    backoff : Backoff
        Waits between attempts to do so.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    last_id : str
        Id of the last event that was passed on.
    reopened, cuts, doubles : int
        How often it was opened anew; how often because the answer before had
        been cut; and events that were dropped as seen before.
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
            If the deadline of the call expires before.
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
        doubles: set[str] = set()
        try:
            while exchange is not None:
                exchange = await self._read_until_reopened(exchange, doubles)
                doubles, self._overlap_ids = self._overlap_ids or set(), None
                self.reopened += exchange is not None
        except Exception as error:
            # Whoever iterates has to learn of it, not the log of the loop.
            end = error
        await self._queue.put(end)

    async def _read_until_reopened(
        self, exchange: Exchange, doubles: set[str]
    ) -> Exchange | None:
        """Read an answer until the next one has begun; return that.

        What goes wrong: a server that leaves would cut the feed, or the feed
        would hold it up for hours. The caller gets a GOAWAY; the old answer
        is read on until the new one is there, so nobody waits for it.
        """
        reading = asyncio.create_task(self._read(exchange, doubles))
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

    async def _read(self, exchange: Exchange, doubles: set[str]) -> None:
        parser = EventParser()
        async for chunk in exchange.chunks():
            for event in parser.feed(chunk):
                await self._deliver(event, doubles)

    async def _deliver(self, event: Event, doubles: set[str]) -> None:
        if event.id and event.id in doubles:
            self.doubles += 1
            return
        # Only what the queue has taken counts as seen: a reader that is
        # ended here leaves the event to the next answer.
        await self._queue.put(event)
        if not event.id:
            return
        doubles.clear()
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
        """Open the feed after the last id, however long that takes."""
        attempt = 0
        while True:
            # Until the new answer takes over, the old one may still bring
            # events that the new one will bring as well.
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
                # An answer that began before any id was known says nothing
                # of what the old one has brought meanwhile: ask again.
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
