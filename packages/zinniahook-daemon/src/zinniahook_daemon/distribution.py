"""Distribution of the configuration and the rosters to and from a daemon.

A daemon follows one of its parents, or the store if it has no parent or none
answers. It serves what it received to the daemons that subscribe to it. A lower
generation or revision is never accepted, whatever the source.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from typing import TYPE_CHECKING

from grpclib.server import Stream
from zinniahook_core.codes import ZinniahookError
from zinniahook_core.effects import WriteRoster
from zinniahook_core.events import RosterWritten
from zinniahook_core.models import Configuration, Roster
from zinniahook_wire import documents
from zinniahook_wire.control_pb2 import SubscribeRequest, Update
from zinniahook_wire.rosters import Rosters

from .generations import Generations
from .origin import Origin
from .selection import MAX_STORE_AGE_SECONDS, SourceSelector
from .settings import Role
from .subscriptions import Subscription

if TYPE_CHECKING:
    from .node import Node

__all__ = ["Distribution"]

MIN_REPORT_INTERVAL_SECONDS = 2.0
"""Minimum time between two reports of a newer generation that are acted on; each
costs the source a call."""


class Distribution:
    """Receives, holds and passes on the configuration and the rosters.

    Parameters
    ----------
    node : Node
        The daemon.

    Attributes
    ----------
    configuration : Configuration or None
        The generation in force here.
    rosters : Rosters
        The newest known roster of each service that this daemon needs.
    generations : Generations
        The stored values that the configuration is compiled from.
    synchronized : asyncio.Event
        Set once a configuration is in force and the rosters have arrived.
    newer_generation_reported : asyncio.Event
        Set while another daemon is known to have a newer generation in force.
    depth : int
        Hops between this daemon and the store.
    selector : SourceSelector
        Chooses and follows the source.
    """

    def __init__(self, node: Node) -> None:
        settings = node.settings
        agent = settings.agent if settings.role is Role.AGENT else None
        services = frozenset({agent.service}) if agent else None
        self._node = node
        self.name = settings.name
        self.configuration: Configuration | None = None
        self.rosters = Rosters()
        self.generations = Generations(settings.name, settings.data_centre, services)
        self.synchronized = asyncio.Event()
        self.newer_generation_reported = asyncio.Event()
        self.depth = 0
        self.selector = SourceSelector(node, self)
        self.origin = Origin(self, node.store)
        self._store_contact_at = -float("inf")
        self._installed_at = 0.0
        self._reported_at = -float("inf")
        # Cached: each subscriber needs its digest once a second, and hashing
        # thousands of revisions takes milliseconds.
        self._digests_by_services: dict[frozenset[str] | None, bytes] = {}
        self._subscriptions: set[Subscription] = set()

    # State

    @property
    def age(self) -> float:
        """Seconds since the last contact with the store, direct or through parents.

        Infinite before the first contact.
        """
        return time.monotonic() - self._store_contact_at

    @property
    def lagging(self) -> bool:
        """Whether the configuration or the rosters may be out of date."""
        return (
            self.age > MAX_STORE_AGE_SECONDS
            or self._node.generation != self.generations.desired_generation
        )

    @property
    def in_force(self) -> float:
        """Seconds since the generation in force was installed; 0 without one."""
        return time.monotonic() - self._installed_at if self.configuration else 0.0

    @property
    def reason(self) -> str:
        """Why there is no configuration yet, with the last error of each source."""
        reason = self.selector.reason or "store not asked yet"
        return f"no configuration learned yet ({reason})"

    @property
    def control(self) -> str:
        """Control address of this daemon; identifies it to its parent."""
        return str(self._node.control_address)

    @property
    def subscribers(self) -> list[str]:
        """Control addresses of the daemons that subscribe to this one."""
        return sorted(each.subscriber for each in self._subscriptions)

    @property
    def client_context(self) -> ssl.SSLContext:
        """TLS context for calls to parents."""
        return self._node.certificates.client

    def wants(self, service: str) -> bool:
        """Return whether this daemon needs the roster of a service."""
        services = self.generations.services
        return services is None or service in services

    def rosters_digest(self, services: frozenset[str] | None) -> bytes:
        """Return the digest of the revisions of these services' rosters.

        Parameters
        ----------
        services : frozenset of str or None
            Names of the services; None for all.
        """
        found = self._digests_by_services.get(services)
        if found is None:
            found = documents.revisions_digest(
                {
                    name: revision
                    for name, revision in self.rosters.revisions_by_service.items()
                    if services is None or name in services
                }
            )
            self._digests_by_services[services] = found
        return found

    # Updates from sources

    def record_store_contact(self, age: float, depth: int) -> None:
        """Record that the followed source had contact with the store.

        Parameters
        ----------
        age : float
            Seconds since that contact.
        depth : int
            Hops between this daemon and the store by way of the source.

        Raises
        ------
        SourceError
            If the contact is too old and another source may be better.
        """
        self._store_contact_at = max(self._store_contact_at, time.monotonic() - age)
        self.depth = depth
        self.selector.check_age(age)

    def apply(self) -> None:
        """Put the desired generation in force if it is complete and newer.

        Raises
        ------
        ZinniahookError
            If one of its values can't be read.
        """
        generations = self.generations
        if generations.desired_generation > self._node.generation:
            configuration = generations.compile()
            if configuration is None:
                return
            self.configuration = configuration
            self._installed_at = time.monotonic()
            self._node.configuration_changed(configuration)
        self.newer_generation_reported.clear()
        for subscription in self._subscriptions:
            subscription.notify_configuration()

    def mark_synchronized(self) -> None:
        """Record that everything the followed source has was received.

        A daemon that reported ready with the configuration alone would drop new
        flows until the rosters arrived.
        """
        if self.configuration is not None:
            self.synchronized.set()

    def update_roster(
        self, roster: Roster, value: bytes = b"", packed: bytes = b""
    ) -> None:
        """Replace the known roster of a service by a newer one.

        Parameters
        ----------
        roster : Roster
            The decoded roster.
        value : bytes
            Its value as stored; empty if it is not available or was deleted.
        packed : bytes
            The same value compressed, if it was received compressed.
        """
        service = roster.service
        if not self.wants(service) or not self.rosters.put(roster, value, packed):
            return
        self._digests_by_services.clear()
        self._node.roster_changed(roster)
        for subscription in self._subscriptions:
            subscription.notify_roster(service)

    def log_unusable(self, what: str, error: ZinniahookError) -> None:
        """Count and log a stored value that can't be read."""
        self._node.count("distribution.unusable", code=error.code.name)
        self._node.log("value-unusable", value=what, reason=str(error))

    def report_generation(self, generation: int) -> None:
        """Record that another daemon has this generation in force.

        If it is newer than the known one, an update was lost on its way to this
        daemon or the source lags. The sender is authenticated, so the generation
        exists.
        """
        now = time.monotonic()
        if generation <= self.generations.pointer.generation:
            return
        if now - self._reported_at < MIN_REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        self._node.count("distribution.suspected")
        self.newer_generation_reported.set()

    # Lifecycle

    def start(self) -> None:
        """Start to follow sources."""
        self.selector.start()

    async def stop(self) -> None:
        """Stop following sources and serving subscribers."""
        for subscription in self._subscriptions:
            subscription.close()
        await self.selector.stop()

    # Serving

    async def serve(
        self, request: SubscribeRequest, stream: Stream[SubscribeRequest, Update]
    ) -> None:
        """Send updates to a subscriber until it disconnects."""
        subscription = Subscription(self, request, stream)
        self._subscriptions.add(subscription)
        try:
            await subscription.run()
        except TimeoutError:
            self._node.count("distribution.subscriber_slow")
        finally:
            self._subscriptions.discard(subscription)

    # Rosters in the store

    async def write_roster(self, effect: WriteRoster) -> RosterWritten:
        """Write a roster by compare-and-swap; a failure is in the result's code."""
        written = await self.origin.write_roster(effect)
        if written.roster is not None:
            self.update_roster(written.roster)
        self._node.count("roster.written", code=written.code.name)
        return written

    async def read_roster(self, service: str) -> Roster | None:
        """Return a roster read from the store; None if the read fails."""
        try:
            roster = await self.origin.read_roster(service)
        except ZinniahookError:
            return None
        if roster.revision:
            self.update_roster(roster)
        return roster
