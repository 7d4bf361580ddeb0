"""The kinds of load: tickets, exports, feeds and plain UDP flows."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import Any

from zinniahook_caller import CallerError, OutcomeError, Session

from .loads import MICROSECONDS, Load, Record, load_kind

__all__ = ["ExportLoad", "FeedLoad", "FlowLoad", "TicketLoad"]

OPENING_SPREAD = 1.0
"""Seconds over which the feeds and flows of a load are opened."""


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
    """Large answers, checked whole against their digest."""

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
    """Long-lived streams that must go on, line by line, until stopped."""

    async def run(self) -> None:
        """Hold the feeds open."""
        count = self.plan["callers"]
        await asyncio.gather(*(self._hold(number) for number in range(count)))

    async def _hold(self, number: int) -> None:
        if await self.stopped_within(self._rng.random() * OPENING_SPREAD):
            return
        feed = _Feed(f"feed-{number}")
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
        await asyncio.gather(reading, return_exceptions=True)
        self.counts["feed_lines"] += feed.lines
        self.counts["feeds_opened"] += feed.lines > 0
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

    async def _read(self, feed: _Feed) -> None:
        path = f"{self.plan['path']}?every={self.plan['every']}"
        loop = asyncio.get_running_loop()
        opened = loop.time()
        try:
            async with self.session().stream("GET", path) as answer:
                feed.attempts = answer.attempts
                self.histogram.record_value(
                    max(1, int((loop.time() - opened) * MICROSECONDS))
                )
                async for line in answer.iter_lines():
                    feed.take(line)
            feed.fault = feed.fault or "ended"
        except CallerError as error:
            feed.fault = feed.fault or f"{type(error).__name__}: {error}"


class _Feed:
    """What a caller knows of its feed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.attempts = 0
        self.lines = 0
        self.service = ""
        self.target = ""
        self.fault = ""

    def take(self, line: bytes) -> None:
        """Check a line: same service, same target, the next number."""
        message = json.loads(line)
        self.lines += 1
        if self.lines == 1:
            self.service, self.target = message["service"], message["target"]
        origin = (message["service"], message["target"], message["n"])
        if origin != (self.service, self.target, self.lines):
            self.fault = f"line {origin} after {self.target} {self.lines - 1}"


@load_kind("flows")
class FlowLoad(Load):
    """Plain UDP flows that must stay with one target that remembers them."""

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
    """How far back a number may be without meaning that the target forgot."""

    def __init__(self) -> None:
        self.sent = 0
        self.answered = 0
        self.service = ""
        self.target = ""
        self.fault = ""
        self._highest = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def send(self) -> None:
        """Send the next datagram."""
        self.sent += 1
        self._transport.sendto(b"%d" % self.sent)

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Check an answer: same service, same target, no new start."""
        service, target, number, _ = data.decode().split()
        self.answered += 1
        if not self.target:
            self.service, self.target = service, target
        if (service, target) != (self.service, self.target):
            self.fault = f"{service} {target} after {self.service} {self.target}"
        if int(number) < self._highest - self.REORDERED:
            self.fault = f"number {number} after {self._highest}"
        self._highest = max(self._highest, int(number))
