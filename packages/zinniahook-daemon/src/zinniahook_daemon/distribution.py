"""What a daemon knows of the configuration and the rosters, and from whom.

A daemon learns from its parents, or from the store if it has none or none
answers. What it learned is served to daemons that subscribe here. Whatever
the source, a lower generation or revision is never taken.
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
"""Seconds between two suspicions taken up; each costs the source a call."""


class Distribution:
    """Learns, keeps and passes on configuration and rosters.

    Parameters
    ----------
    node : Node
        The daemon.

    Attributes
    ----------
    configuration : Configuration or None
        The generation in force here.
    rosters : Rosters
        The newest roster known of each service that matters here.
    generations : Generations
        The values that the configuration was made from.
    synchronized : asyncio.Event
        Set once a configuration is in force and the rosters have come.
    newer_generation_reported : asyncio.Event
        Set while another daemon is known to have a newer generation.
    depth : int
        Steps between this daemon and the store.
    selector : Learner
        Chooses whom to learn from.
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
        # Each subscriber asks once a second, and thousands of revisions take
        # milliseconds.
        self._digests_by_services: dict[frozenset[str] | None, bytes] = {}
        self._subscriptions: set[Subscription] = set()

    # What is known

    @property
    def age(self) -> float:
        """Seconds since the store was last heard of; infinite if never."""
        return time.monotonic() - self._store_contact_at

    @property
    def lagging(self) -> bool:
        """Whether what is known may be out of date."""
        return (
            self.age > MAX_STORE_AGE_SECONDS
            or self._node.generation != self.generations.desired_generation
        )

    @property
    def in_force(self) -> float:
        """Seconds since the generation in force was put so."""
        return time.monotonic() - self._installed_at if self.configuration else 0.0

    @property
    def reason(self) -> str:
        """Why there is no configuration yet: what each source answered."""
        reason = self.selector.reason or "store not asked yet"
        return f"no configuration learned yet ({reason})"

    @property
    def control(self) -> str:
        """Control address of this daemon, by which its parent knows it."""
        return str(self._node.control_address)

    @property
    def subscribers(self) -> list[str]:
        """Control addresses of the daemons that learn from this one."""
        return sorted(each.subscriber for each in self._subscriptions)

    @property
    def client_context(self) -> ssl.SSLContext:
        """TLS context for calls to parents."""
        return self._node.certificates.client

    def wants(self, service: str) -> bool:
        """Whether the roster of a service matters here."""
        services = self.generations.services
        return services is None or service in services

    def rosters_digest(self, services: frozenset[str] | None) -> bytes:
        """Return the digest of the revisions of these services' rosters."""
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

    # What sources tell

    def record_store_contact(self, age: float, depth: int) -> None:
        """Note that the followed source heard of the store ``age`` seconds ago.

        Raises
        ------
        SourceError
            If that is too long ago, and another source may be better.
        """
        self._store_contact_at = max(self._store_contact_at, time.monotonic() - age)
        self.depth = depth
        self.selector.check_age(age)

    def apply(self) -> None:
        """Put the wanted generation in force if it is whole and newer.

        Raises
        ------
        ZinniahookError
            If a value of it can't be read.
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
        """Note that all that the followed source knew has come in.

        A daemon that was ready with its configuration alone would drop new
        flows until the rosters came.
        """
        if self.configuration is not None:
            self.synchronized.set()

    def update_roster(
        self, roster: Roster, value: bytes = b"", packed: bytes = b""
    ) -> None:
        """Take a roster if it is newer than the one known.

        Parameters
        ----------
        roster : Roster
            As decoded.
        value : bytes
            As stored; empty if it isn't at hand or was deleted.
        packed : bytes
            The same compressed, if it came so.
        """
        service = roster.service
        if not self.wants(service) or not self.rosters.put(roster, value, packed):
            return
        self._digests_by_services.clear()
        self._node.roster_changed(roster)
        for subscription in self._subscriptions:
            subscription.notify_roster(service)

    def log_unusable(self, what: str, error: ZinniahookError) -> None:
        """Note a stored value that couldn't be read."""
        self._node.count("distribution.unusable", code=error.code.name)
        self._node.log("value-unusable", value=what, reason=str(error))

    def report_generation(self, generation: int) -> None:
        """Note that another daemon has this generation in force.

        An update may have been lost on its way here, or the source lags; the
        sender is authenticated, so its generation exists.
        """
        now = time.monotonic()
        if generation <= self.generations.pointer.generation:
            return
        if now - self._reported_at < MIN_REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        self._node.count("distribution.suspected")
        self.newer_generation_reported.set()

    # Learning

    def start(self) -> None:
        """Start to learn."""
        self.selector.start()

    async def stop(self) -> None:
        """Stop to learn and to serve."""
        for subscription in self._subscriptions:
            subscription.close()
        await self.selector.stop()

    # Serving

    async def serve(
        self, request: SubscribeRequest, stream: Stream[SubscribeRequest, Update]
    ) -> None:
        """Push to a subscriber until it is gone."""
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
        """Compare-and-swap a roster; never raises for what the store does."""
        written = await self.origin.write_roster(effect)
        if written.roster is not None:
            self.update_roster(written.roster)
        self._node.count("roster.written", code=written.code.name)
        return written

    async def read_roster(self, service: str) -> Roster | None:
        """Read a roster from the store; None if the store doesn't answer."""
        try:
            roster = await self.origin.read_roster(service)
        except ZinniahookError:
            return None
        if roster.revision:
            self.update_roster(roster)
        return roster
