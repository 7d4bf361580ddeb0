"""Stand-in for one target: feeds, tickets, exports and a UDP counter.

Run ``python -m zinniahook_testkit.target '<settings as JSON>'``. Callers are
served on one address; a second one (admin) changes the behaviour and returns the
ledger. The ledger counts what the target has run, independently of the system in
front of it, so that tests can detect that system's errors.

When ready it prints ``{"ready": {"target": ..., "admin": ..., "udp": ...}}``.
UDP and HTTP share a port, so that health checks of a UDP target reach it too.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from typing import Any

import tornado.web
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from .behaviours import Behaviour, Target, TargetSettings, export_block, export_digest

__all__ = ["Behaviour", "Target", "TargetSettings", "export_digest", "main"]

CHUNK_BYTES = 65536
MAX_BODY_BYTES = 1 << 20
EVENT_STREAM = "text/event-stream"
MAX_RESUMED_EVENTS = 10_000
"""Limit on the past events that a resumed feed repeats."""

BIND_ATTEMPTS = 20
LOOPBACK = "127.0.0.1"


class TargetHandler(tornado.web.RequestHandler):
    """Base class of the handlers for callers' requests."""

    def initialize(self, target: Target) -> None:
        """Store the target that serves the request."""
        self.target = target
        self.cancelled = asyncio.Event()

    def on_connection_close(self) -> None:
        """Mark the request as cancelled."""
        self.cancelled.set()

    def refuse(self, reason: str) -> None:
        """Answer that the request was not run."""
        self.target.counts[reason] += 1
        self.set_status(503)
        self.set_header("Retry-After", str(self.target.behaviour["retry_after"]))
        self.set_header("zinniahook-outcome", "not-run")
        self.finish({"error": reason})

    async def admit(self) -> bool:
        """Take a slot, unless the request is shed, cancelled or expired."""
        if self.target.shed():
            self.refuse("shed")
            return False
        deadline = float(self.request.headers.get("zinniahook-deadline", "inf"))
        arrived = time.monotonic()
        await self.target.take_slot()
        if self.cancelled.is_set():
            self.target.free_slot()
            self.target.counts["cancelled_before"] += 1
            return False
        if time.monotonic() - arrived > deadline:
            self.target.free_slot()
            self.refuse("expired")
            return False
        return True

    async def work_for(self, seconds: float) -> bool:
        """Work for some seconds; return False if the request was cancelled."""
        began = time.monotonic()
        try:
            await asyncio.wait_for(self.cancelled.wait(), seconds)
        except TimeoutError:
            return True
        finally:
            self.target.work += time.monotonic() - began
        return False


class TicketHandler(TargetHandler):
    """Non-idempotent work: load tickets, loans and renewals.

    The body is a JSON object; ``ticket`` identifies the piece of business, so that
    a second run is detected even under another Idempotency-Key.
    """

    async def post(self, kind: str) -> None:
        """Run one ticket."""
        try:
            ticket = str(json.loads(self.request.body)["ticket"])
        except (ValueError, KeyError, TypeError) as error:
            raise tornado.web.HTTPError(400, "no ticket") from error
        if not await self.admit():
            return
        target = self.target
        try:
            target.counts[f"started_{kind}"] += 1
            target.runs_by_ticket[ticket] += 1
            key = self.request.headers.get("Idempotency-Key", "")
            if key:
                target.runs_by_key[key] += 1
            if not await self.work_for(target.service_time()):
                target.counts["cancelled_after"] += 1
                return
            target.finished_by_ticket[ticket] += 1
            target.counts[f"finished_{kind}"] += 1
        finally:
            target.free_slot()
        self.finish(
            {
                "ticket": ticket,
                "run": target.runs_by_ticket[ticket],
                "service": target.service,
                "target": target.name,
            }
        )


class FeedHandler(TargetHandler):
    """A long-lived stream, as server-sent events or as numbered JSON lines.

    Clients that accept ``text/event-stream`` get events. Their ids come from the
    clock that all targets share: event n is due ``n * every`` seconds after the
    epoch. So any target can continue after any ``Last-Event-ID``.
    """

    async def get(self) -> None:
        """Send an event or a line every ``every`` seconds.

        Lines end after ``count``, or never if it is 0; events never end.
        """
        every = float(self.get_query_argument("every", "0.5"))
        count = int(self.get_query_argument("count", "0"))
        target = self.target
        target.counts["started_feed"] += 1
        target.feeds += 1
        try:
            if EVENT_STREAM in self.request.headers.get("Accept", ""):
                await self._send_events(every)
            else:
                await self._send_lines(every, count)
        except StreamClosedError:
            pass
        finally:
            target.feeds -= 1

    async def _send_events(self, every: float) -> None:
        self.set_header("Content-Type", EVENT_STREAM)
        await self.flush()
        now = int(time.time() / every)
        last = self.request.headers.get("Last-Event-ID", "")
        number = max(int(last), now - MAX_RESUMED_EVENTS) if last.isdecimal() else now
        while not self.cancelled.is_set():
            number += 1
            await self._pause(number * every - time.time())
            line = json.dumps(self._line(number))
            self.write(f"id: {number}\ndata: {line}\n\n")
            await self.flush()

    async def _send_lines(self, every: float, count: int) -> None:
        self.set_header("Content-Type", "application/x-ndjson")
        number = 0
        while not self.cancelled.is_set():
            number += 1
            self.write(json.dumps(self._line(number)) + "\n")
            await self.flush()
            if number == count:
                self.target.counts["finished_feed"] += 1
                return
            await self._pause(every)

    def _line(self, number: int) -> dict[str, Any]:
        target = self.target
        return {"service": target.service, "target": target.name, "n": number}

    async def _pause(self, seconds: float) -> None:
        if seconds <= 0:
            return
        try:
            await asyncio.wait_for(self.cancelled.wait(), seconds)
        except TimeoutError:
            pass


class ExportHandler(TargetHandler):
    """A large export, written only as fast as the client reads."""

    async def get(self, _: str) -> None:
        """Send ``size`` bytes; the header ``x-digest`` is their SHA-256."""
        size = int(self.get_query_argument("size", str(CHUNK_BYTES)))
        if not await self.admit():
            return
        target = self.target
        target.counts["started_export"] += 1
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(size))
        self.set_header("x-digest", export_digest(target.service, size))
        self.set_header("x-target", target.name)
        self.set_header("x-service", target.service)
        began = time.monotonic()
        try:
            await self._send(size)
            target.counts["finished_export"] += 1
        except StreamClosedError:
            target.counts["cancelled_after"] += 1
        finally:
            target.work += time.monotonic() - began
            target.free_slot()

    async def _send(self, size: int) -> None:
        block = export_block(self.target.service)
        rate = self.target.behaviour["export_rate"]
        for offset in range(0, size, CHUNK_BYTES):
            part = block[: size - offset]
            self.write(part)
            await self.flush()
            self.target.counts["export_bytes"] += len(part)
            if rate:
                await asyncio.sleep(len(part) / rate)


class HealthHandler(TargetHandler):
    """The health and load endpoints, which may report old or false values."""

    def get(self, kind: str) -> None:
        """Return health or load according to the behaviour."""
        if self.target.behaviour[kind] == "failing":
            raise tornado.web.HTTPError(503)
        self.finish({"healthy": True} if kind == "health" else self.target.load())


class AdminHandler(TargetHandler):
    """``GET /ledger-of-runs``, ``POST /behaviour`` and ``POST /die``."""

    def get(self, action: str) -> None:
        """Return the ledger."""
        if action != "ledger-of-runs":
            raise tornado.web.HTTPError(404)
        self.finish(self.target.ledger())

    def post(self, action: str) -> None:
        """Change the behaviour, or return the ledger and exit."""
        if action == "die":
            # Both in one step: work that finished between the ledger and the
            # exit would look like an answer without a run.
            self.finish(self.target.ledger())
            os._exit(1)
        if action != "behaviour":
            raise tornado.web.HTTPError(404)
        try:
            self.target.change(json.loads(self.request.body))
        except (KeyError, ValueError) as error:
            raise tornado.web.HTTPError(400, str(error)) from error
        self.finish(dict(self.target.behaviour))


class UdpCounter(asyncio.DatagramProtocol):
    """Answers each datagram with service, target, its number and its payload.

    Numbers count the datagrams of one source, so a flow starts again at 1 if it
    changes its target or the target loses its state.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.count_by_source: Counter[Any] = Counter()

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Answer a datagram."""
        if source not in self.count_by_source:
            self.target.counts["started_flow"] += 1
        self.count_by_source[source] += 1
        self.target.counts["datagrams"] += 1
        head = f"{self.target.service} {self.target.name} "
        number = self.count_by_source[source]
        self.transport.sendto(f"{head}{number} ".encode() + data, source)


def application(target: Target) -> tornado.web.Application:
    """Return the web application for callers."""
    arguments = {"target": target}
    return tornado.web.Application(
        [
            (r"/(tickets|loans|renewals)", TicketHandler, arguments),
            (r"/(?:tally|loans|requests)/feed", FeedHandler, arguments),
            (r"/(ledger|catalogue)", ExportHandler, arguments),
            (r"/(health|load)", HealthHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


def _bind_tcp_and_udp() -> tuple[socket.socket, socket.socket]:
    """Return a listening TCP socket and a UDP socket on the same port."""
    for _ in range(BIND_ATTEMPTS):
        (public,) = bind_sockets(0, LOOPBACK, socket.AF_INET)
        counter = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        counter.setblocking(False)
        try:
            counter.bind(public.getsockname())
        except OSError:
            # Another process uses this UDP port: try another one.
            public.close()
            counter.close()
            continue
        return public, counter
    raise OSError("no port is free for both TCP and UDP")


async def serve(settings: TargetSettings) -> None:
    """Run a target until SIGTERM or SIGINT."""
    target = Target(
        settings["service"],
        settings["name"],
        settings.get("slots", 4),
        random.Random(settings.get("seed", 0)),
        **settings.get("behaviour", {}),
    )
    public, counter = _bind_tcp_and_udp()
    HTTPServer(application(target), max_body_size=MAX_BODY_BYTES).add_sockets([public])
    admin = bind_sockets(0, LOOPBACK, socket.AF_INET)
    routes = [(r"/([a-z-]+)", AdminHandler, {"target": target})]
    HTTPServer(
        tornado.web.Application(routes, log_function=lambda handler: None)
    ).add_sockets(admin)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: UdpCounter(target), sock=counter)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    ready = {
        "target": "{}:{}".format(*public.getsockname()),
        "admin": "{}:{}".format(*admin[0].getsockname()),
        "udp": "{}:{}".format(*counter.getsockname()),
    }
    print(json.dumps({"ready": ready}), flush=True)
    await stopped.wait()


def main() -> None:
    """Read the settings from the command line and run a target."""
    asyncio.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
