"""The kinds of load: tickets, exports, feeds and plain UDP flows."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from typing import Any

from zinniahook_caller import CallerError, Event, Feed, OutcomeError, Session

from .loads import LONGEST, MICROSECONDS, Load, Record, load_kind

__all__ = ["ExportLoad", "FeedLoad", "FeedRecord", "FlowLoad", "TicketLoad"]

OPENING_SPREAD = 1.0
"""Seconds over which the feeds and flows of a load are opened."""

LATEST = 10.0
"""Seconds after which an event that hasn't arrived is considered missing.

A caller detects a silent connection after 7 s and then reopens its feed."""


@load_kind("tickets")
class TicketLoad(Load):
    """Non-idempotent requests, each filed once under its own key."""

    async def run(self) -> None:
        """File tickets."""
        sessions = [self.session() for _ in range(self.plan.get("callers", 1))]
        prefix = f"{self.plan['service']}-{self._rng.getrandbits(32):08x}"

        async def file(number: int, due: float) -> None:
            session = sessions[number % len(sessions)]
            await self._file(session, f"{prefix}-{number}", due)

        await self.arrivals(file)

    async def _file(self, session: Session, ticket: str, due: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            answer = await session.post(self.plan["path"], json={"ticket": ticket})
        except OutcomeError as error:
            seconds = loop.time() - due
            outcome = error.outcome.value
            detail = str(error)
            self.record(Record(ticket, outcome, seconds, error.attempts, detail=detail))
            return
        seconds = loop.time() - due
        if answer.status != 200:
            detail = f"status {answer.status}"
            self.record(
                Record(ticket, "failed", seconds, answer.attempts, detail=detail)
            )
            return
        body = answer.json()
        self.record(
            Record(
                ticket,
                "done",
                seconds,
                answer.attempts,
                body["service"],
                body["target"],
                body["ticket"] == ticket,
            )
        )


@load_kind("exports")
class ExportLoad(Load):
    """Large answers, whose size and digest are checked."""

    async def run(self) -> None:
        """Pull exports."""
        sessions = [self.session() for _ in range(self.plan.get("callers", 1))]

        async def pull(number: int, due: float) -> None:
            await self._pull(sessions[number % len(sessions)], str(number), due)

        await self.arrivals(pull)

    async def _pull(self, session: Session, name: str, due: float) -> None:
        loop = asyncio.get_running_loop()
        path = f"{self.plan['path']}?size={self.plan['size']}"
        digest, size = hashlib.sha256(), 0
        try:
            async with session.stream("GET", path) as answer:
                async for chunk in answer.iter_content():
                    digest.update(chunk)
                    size += len(chunk)
        except OutcomeError as error:
            kind, detail = error.outcome.value, str(error)
            seconds = loop.time() - due
            self.record(Record(name, kind, seconds, error.attempts, detail=detail))
            return
        except CallerError as error:
            self.record(Record(name, "cut", loop.time() - due, detail=str(error)))
            return
        fields = answer.headers
        whole = size == self.plan["size"] and digest.hexdigest() == fields.get(
            "x-digest"
        )
        self.record(
            Record(
                name,
                "done" if answer.status == 200 else "failed",
                loop.time() - due,
                answer.attempts,
                fields.get("x-service", ""),
                fields.get("x-target", ""),
                whole,
            )
        )


@load_kind("feeds")
class FeedLoad(Load):
    """Long-lived feeds that must get each event in order until they are stopped.

    The latency of an event counts from its due time, which follows from its id.
    """

    async def run(self) -> None:
        """Hold the feeds open."""
        count = self.plan["callers"]
        await asyncio.gather(*(self._hold(number) for number in range(count)))

    async def _hold(self, number: int) -> None:
        if await self.stopped_within(self._rng.random() * OPENING_SPREAD):
            return
        feed = FeedRecord(f"feed-{number}")
        loop = asyncio.get_running_loop()
        began = loop.time()
        reading = loop.create_task(self._read(feed))
        stopping = loop.create_task(self.stopping.wait())
        await asyncio.wait({reading, stopping}, return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        outcome = "done"
        if reading.done():
            outcome = "cut"
        else:
            reading.cancel()
            if feed.stands_still(self.plan["every"]):
                feed.fault = feed.fault or "stands still"
        await asyncio.gather(reading, return_exceptions=True)
        self.counts["feed_lines"] += feed.lines
        self.counts["feeds_opened"] += feed.lines > 0
        if feed.events is not None:
            self.counts["feeds_reopened"] += feed.events.reopened
            self.counts["doubles_dropped"] += feed.events.doubles
        self.records.append(
            Record(
                feed.name,
                outcome,
                loop.time() - began,
                feed.attempts,
                feed.service,
                feed.target,
                not feed.fault,
                feed.fault,
            )
        )
        self.counts[outcome] += 1

    async def _read(self, feed: FeedRecord) -> None:
        every = self.plan["every"]
        try:
            async with self.session().events(
                f"{self.plan['path']}?every={every}"
            ) as events:
                feed.events = events
                async for event in events:
                    feed.take(event)
                    late = time.time() - int(event.id) * every
                    micros = int(late * MICROSECONDS)
                    self.histogram.record_value(max(1, min(micros, LONGEST)))
            feed.fault = feed.fault or "ended"
        except CallerError as error:
            feed.fault = feed.fault or f"{type(error).__name__}: {error}"


class FeedRecord:
    """A caller's record of its feed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.events: Feed | None = None
        self.lines = 0
        self.service = ""
        self.target = ""
        self.fault = ""
        self._last = 0

    @property
    def attempts(self) -> int:
        """The number of answers that the feed used, 0 if it never began."""
        return 0 if self.events is None else 1 + self.events.reopened

    def take(self, event: Event) -> None:
        """Check that an event has the same service and the next number.

        It may come from any target.
        """
        message = json.loads(event.data)
        self.lines += 1
        number = int(event.id)
        if self.lines == 1:
            self.service = message["service"]
        elif number != self._last + 1 and not self.fault:
            self.fault = f"{message['target']} sent {number} after {self._last}"
        if message["service"] != self.service and not self.fault:
            self.fault = f"{message['service']} after {self.service}"
        self.target = message["target"]
        self._last = number

    def stands_still(self, every: float) -> bool:
        """Return whether events stopped without an error."""
        return self.lines > 0 and time.time() - self._last * every > LATEST


@load_kind("flows")
class FlowLoad(Load):
    """Plain UDP flows that must stay at one target, which must keep their state."""

    async def run(self) -> None:
        """Hold the flows open."""
        count = self.plan["callers"]
        await asyncio.gather(*(self._hold(number) for number in range(count)))

    async def _hold(self, number: int) -> None:
        if await self.stopped_within(self._rng.random() * OPENING_SPREAD):
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        host, _, port = self.plan["address"].rpartition(":")
        transport, flow = await loop.create_datagram_endpoint(
            _Flow, remote_addr=(host, int(port))
        )
        while not await self.stopped_within(self.plan["every"]):
            flow.send()
        transport.close()
        self.counts["flows_opened"] += 1
        self.counts["datagrams_sent"] += flow.sent
        self.counts["datagrams_answered"] += flow.answered
        outcome = "cut" if flow.fault else "done"
        self.counts[outcome] += 1
        self.records.append(
            Record(
                f"flow-{number}",
                outcome,
                loop.time() - began,
                1,
                flow.service,
                flow.target,
                not flow.fault,
                flow.fault,
            )
        )


class _Flow(asyncio.DatagramProtocol):
    """One UDP flow of numbered datagrams."""

    REORDERED = 8
    """Tolerated step back of an answer's number; more means that state was lost."""

    def __init__(self) -> None:
        self.sent = 0
        self.answered = 0
        self.service = ""
        self.target = ""
        self.fault = ""
        self._highest = 0

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def send(self) -> None:
        """Send the next datagram."""
        self.sent += 1
        self._transport.sendto(b"%d" % self.sent)

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Check that an answer has the same service and target, and no reset number."""
        service, target, number, _ = data.decode().split()
        self.answered += 1
        if not self.target:
            self.service, self.target = service, target
        if (service, target) != (self.service, self.target):
            self.fault = f"{service} {target} after {self.service} {self.target}"
        if int(number) < self._highest - self.REORDERED:
            self.fault = f"number {number} after {self._highest}"
        self._highest = max(self._highest, int(number))
