"""The common part of the packet service's processes: sockets, timers and store."""

from __future__ import annotations

import asyncio
import random
import re
import signal
import socket
import time
from collections.abc import Callable
from typing import Any

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address
from zinniahook_core.packets import Codec, formers
from zinniahook_core.packets.eras import era_of, revision_of
from zinniahook_core.packets.node import Node
from zinniahook_core.packets.tunnel import Wish

from ..sockets import UdpSocket
from . import exposition, web
from .differences import DifferenceError
from .documents import Documents, encode_request
from .journal import Journal
from .ports import Settings, Store, StoreUnavailableError
from .watcher import Backoff, Watcher

__all__ = ["Daemon"]

TICK_SECONDS = 0.05
"""Seconds between ticks of the core: half of its shortest time-out."""

FETCH_TIMEOUT_SECONDS = 0.5
FETCH_INTERVAL_SECONDS = 0.15
"""Seconds between fetches of a configuration from different peers. A change shows in
the datagrams of a hundred peers within milliseconds. Without a pause, the daemon would
fetch the same document from each of them."""

LOOKUP_INTERVAL_SECONDS = 1.0
"""Seconds between lookups of a service's agents while packets for it arrive and no
agent is known. Clients repeat an opening for 1.4 s."""

METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
FETCH_PATH = "/configuration"
FORMERS_PATH = "/formers"


class Daemon:
    """Base class of both roles. Subclasses create the core and open more sockets.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    store : Store
        The platform's store.
    codec : Codec
        The format of the clients' packets.
    journal : Journal, optional
        The log and counters; a new one if the caller doesn't share its own.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        codec: Codec,
        journal: Journal | None = None,
    ) -> None:
        self.settings = settings
        self.store = store
        self.codec = codec
        self.journal = journal or Journal(settings.name)
        self.rng = random.Random()
        self._peer_port = settings.peer_port or settings.inner_port
        self.stopping = asyncio.Event()
        self.has_failed = False
        self.core: Node = self.make_core()
        self.core.data_centres = frozenset(settings.data_centres)
        self.core.formers.begin(time.monotonic())
        self._client_addresses: dict[bytes, tuple[str, int]] = {}
        self._sockets: list[Any] = []
        self._tasks: set[asyncio.Task] = set()
        self._fetching_since: dict[str, float] = {}
        self._documents = Documents()
        self._looked_up_at: dict[str, float] = {}
        self._position = 0

    # For subclasses

    def make_core(self) -> Node:
        """Return a new core of the role."""
        raise NotImplementedError

    def open(self) -> None:
        """Open the sockets of the role."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Wait until the process may stop."""
        raise NotImplementedError

    def knows_peers(self, answered: bool) -> bool:
        """Return whether this daemon knows enough of its peers.

        ``answered`` is whether the store has just listed them.
        """
        raise NotImplementedError

    def needs_renewal(self, era: int) -> bool:
        """Return whether this daemon's last write was made in an earlier era.

        A daemon that starts around a restore may write in the former era, although
        the first era that it learns of is the new one. Without this check, its write
        would be lost for good.
        """
        return False

    def renewed_items(self) -> list[str]:
        """Return what this daemon writes again after a restore of the store."""
        return []

    async def renew(self, era: int, revision: int) -> None:
        """Write again what a restored store may lack.

        ``revision`` is the first revision of the new era that is known here.
        """

    # Lifecycle

    async def run(self) -> None:
        """Serve until the process receives a signal to stop, then drain."""
        settings = self.settings
        self.journal.event(
            "started", address=settings.address, service=settings.service
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._peer_socket = self.udp(
            Address(settings.address, settings.inner_port), self._from_peer
        )
        self.serve(
            Address(settings.address, settings.inner_port),
            [
                web.Route("GET", re.compile(FETCH_PATH), self._serve_configuration),
                web.Route("GET", re.compile(FORMERS_PATH), self._serve_formers),
            ],
        )
        self._serve_metrics()
        self.open()
        self.start(self._tick())
        self.start(Watcher(self.core, self.store, self.journal).run())
        self.start(self._discover_peers())
        await self.stopping.wait()
        self.journal.event("stopping")
        await self.drain()
        self.journal.event("stopped")

    def reload(self) -> None:
        """Log that a reload of the settings file was requested.

        The settings that the packet service reads from the file can't change at run
        time. The log line shows an operator that the signal was received.
        """
        self.journal.event("reload", outcome="nothing to change")

    def start(self, work: Any) -> None:
        """Run a coroutine as a task; its failure stops the process."""
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._task_ended)
        self._tasks.add(task)

    def _task_ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.journal.event("failed", error=repr(task.exception()))
            self.has_failed = True
            self.stopping.set()

    def udp(self, address: Address, receive: Callable) -> UdpSocket:
        """Open a UDP socket that passes each datagram to ``receive``."""
        opened = UdpSocket(address, receive)
        self._sockets.append(opened)
        return opened

    def serve(self, address: Address, routes: list[web.Route]) -> None:
        """Serve HTTP at an address."""
        self._sockets.append(web.Server(address, routes))

    def _serve_configuration(self, match: re.Match[str], body: bytes) -> web.Answer:
        """Return the configuration in force to another daemon."""
        return self._documents.answer(self.core.routes, body)

    def _serve_formers(self, match: re.Match[str], body: bytes) -> web.Answer:
        """Return the routes' former services to another daemon, if complete here."""
        known = self.core.formers
        if not known.is_complete:
            return web.Answer(web.NOT_FOUND)
        return web.Answer(web.OK, formers.encode_rows(known.rows(time.monotonic())))

    def _serve_metrics(self) -> None:
        """Serve metrics, if the port is free.

        If another process holds the port, the daemon runs without metrics. A missing
        metrics endpoint must not stop it from forwarding packets.
        """
        address = self.settings.metrics
        if address is None:
            return
        routes = [web.Route("GET", re.compile(METRICS_PATH), self._metrics)]
        try:
            self.serve(address, routes)
        except OSError as error:
            self.journal.event("metrics.unavailable", error=str(error))

    def _metrics(self, match: re.Match[str], body: bytes) -> web.Answer:
        text = exposition.render(self.journal, self.gauges(time.monotonic()))
        return web.Answer(web.OK, text, METRICS_CONTENT_TYPE)

    def gauges(self, now: float) -> dict[str, float]:
        """Return the gauges that are computed at each scrape."""
        age = self.core.freshness.age(now)
        return {
            "configuration_version": self.core.routes.version,
            "configuration_age_seconds": -1.0 if age is None else round(age, 3),
            "data_centres_evacuated": len(self.core.evacuations.names),
            "data_centres_retained": len(self.core.evacuations.retained),
            "store_era": self.core.evacuations.era,
        }

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.core.tick(time.monotonic())
            self._documents.keep(self.core.routes)
            self._check_restore()

    def _check_restore(self) -> None:
        """Renew this daemon's writes if the store's era has changed.

        The new era may come from the store or from any peer.
        """
        former, self._position = self._position, self.core.evacuations.position
        era, revision = era_of(self._position), revision_of(self._position)
        if era == era_of(former):
            return
        if former:
            self.journal.event(
                "store.restored",
                era=era,
                former_era=era_of(former),
                revision=revision,
                former_revision=revision_of(former),
                renewed=self.renewed_items(),
                code=int(Code.STORE_RESTORED),
            )
        elif not self.needs_renewal(era):
            return
        self.start(self.renew(era, revision))

    async def _discover_peers(self) -> None:
        """Discover peers from the seeds and the store, until enough are known."""
        backoff = Backoff(self.rng)
        while True:
            for seed in self.settings.seeds:
                if seed != self.settings.address:
                    self.core.hello(time.monotonic(), seed, Wish.MEMBERS)
            answered = await self._look_up(self.settings.service or None)
            if self.knows_peers(answered):
                return
            await backoff.wait()

    async def _look_up(self, service: str | None) -> bool:
        """Read a service's agents from the store; return whether it answered."""
        try:
            known = await self.store.announced_agents(service)
        except StoreUnavailableError as error:
            self.journal.event("lookup.failed", service=service, error=str(error))
            return False
        now = time.monotonic()
        for agent in known:
            self.core.members(now, *agent)
        return True

    # Callbacks of the core

    def to_peer(self, address: str, data: bytes) -> None:
        """Send a datagram to another daemon."""
        self._peer_socket.send(data, (address, self._peer_port))

    def to_client(self, flow: bytes, raw: bytes) -> None:
        """Send a packet to a client."""
        host = socket.inet_ntoa(flow[:4])
        self.client_socket.send(raw, (host, self.settings.client_port))

    def lookup(self, service: str) -> None:
        """Look up the agents of a service, at a limited rate."""
        now = time.monotonic()
        if (
            now - self._looked_up_at.get(service, float("-inf"))
            >= LOOKUP_INTERVAL_SECONDS
        ):
            self._looked_up_at[service] = now
            self.start(self._look_up(service))

    def fetch(self, address: str) -> None:
        """Start to fetch a newer configuration from another daemon."""
        now = time.monotonic()
        latest = max(self._fetching_since.values(), default=float("-inf"))
        if address in self._fetching_since or now - latest < FETCH_INTERVAL_SECONDS:
            return
        self._fetching_since[address] = now
        self.start(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        client = web.Client(Address(address, self._peer_port), FETCH_TIMEOUT_SECONDS)
        try:
            document = await self._fetch_document(client, address)
            if document:
                routes = self.store.routes(document)
                # Former services are fetched after the document, so that they cover
                # whatever the peer knew when it sent the document.
                answer = await client.call("GET", FORMERS_PATH)
                rows = (
                    formers.decode_rows(answer.body)
                    if answer.status == web.OK
                    else None
                )
                self.core.configure(time.monotonic(), routes, rows)
        except (web.ClientError, ZinniahookError) as error:
            self.journal.event("fetch.failed", peer=address, error=str(error))
        finally:
            client.close()
            self._fetching_since.pop(address, None)

    async def _fetch_document(self, client: web.Client, address: str) -> bytes:
        """Return another daemon's configuration, ``b""`` if it has none.

        If a difference can't be applied, the complete document is requested.
        Otherwise this daemon would stay at its version for as long as the peer sends
        differences that it can't apply.
        """
        own = self.core.routes
        answer = await client.call("GET", FETCH_PATH, encode_request(own))
        if answer.status != web.OK:
            return b""
        try:
            return self._documents.read(own, answer)
        except DifferenceError as error:
            self.journal.event(
                "fetch.difference_refused",
                peer=address,
                version=own.version,
                code=int(error.code),
                error=str(error),
            )
        answer = await client.call("GET", FETCH_PATH)
        return self._documents.read(own, answer) if answer.status == web.OK else b""

    def _from_peer(self, data: bytes, source: tuple) -> None:
        self.core.receive(time.monotonic(), source[0], data)
