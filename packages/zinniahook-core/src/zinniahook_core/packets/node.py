"""The common base of entries and agents of the packet service."""

from __future__ import annotations

import random
from typing import Any

from . import tunnel
from .eras import revision_of
from .evacuations import Evacuations, Stamp
from .features import Features
from .formers import FormerService, FormerServices
from .freshness import Freshness
from .member import RosterRow
from .models import Codec, Links, Log, Packet, Routes, route_key
from .tunnel import Head, HelloRequest, Kind, zone_tag

__all__ = ["HOP_LIMIT", "Node"]

HOP_LIMIT = 6
"""Daemons that a packet may pass: an entry, a former home, the home, two agents that
can't accept it, and one to spare. Without a limit, two daemons with different rosters
would pass a packet back and forth for ever."""


AGE_MAX_SECONDS = 1e6
"""Largest age accepted in a roster, above the lifetime of any relevant process."""

ANNOUNCEMENT_FANOUT = 8
"""Daemons notified at once of a new configuration. Each notifies as many others, so one
in 3,000 gets no such hello; it sees the version in the next datagram."""


class Node:
    """A daemon: its address, its configuration, and how it sends.

    Parameters
    ----------
    address : str
        IP address, which identifies the daemon.
    data_centre : str
        Where it runs.
    codec : Codec
        The format of the clients' packets.
    links : Links
        Sends datagrams.
    log : Log
        Records decisions.
    rng : random.Random
        Source of randomness.
    features : Features, optional
        The optional parts that the settings switch on or off.
    """

    def __init__(
        self,
        address: str,
        data_centre: str,
        codec: Codec,
        links: Links,
        log: Log,
        rng: random.Random,
        features: Features = Features(),  # noqa: B008 - immutable
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.codec = codec
        self.links = links
        self.log = log
        self.rng = rng
        self.features = features
        self.routes = Routes.none()
        self.freshness = Freshness(address, rng)
        self.formers = FormerServices()
        self.evacuations = Evacuations()
        self.zone = zone_tag(data_centre)
        self.data_centres: frozenset[str] = frozenset()
        """All data centres of the deployment; empty if the settings name none."""

    def configure(
        self,
        now: float,
        routes: Routes,
        reported: list[FormerService] | None = None,
        whole: bool = True,
    ) -> bool:
        """Apply a configuration unless it is older than the present one.

        ``reported`` are the former services that the sender knows, None if it reports
        none; ``whole`` is whether they are complete.

        Without the version check, a slow answer of the store that is overtaken by a
        push brings back a route that was removed.
        """
        if reported is not None:
            self.formers.learn(now, reported, whole)
        if routes.version <= self.routes.version:
            return False
        former = self.routes.version
        self.formers.replaced(now, self.routes, routes)
        self.routes = routes
        self.freshness.installed(routes.version)
        self.log.event(
            "configuration.installed",
            version=routes.version,
            former=former,
            routes=len(routes.by_address),
        )
        self.announce(now)
        return True

    @property
    def may_lack_routes(self) -> bool:
        """Whether the configuration may come from an older copy of the store.

        A process that starts doesn't know a newer one until a peer reports it, or
        reports that the record belongs to the store's present era.
        """
        return self.evacuations.era > 0 and not self.formers.is_complete

    def announce(self, now: float) -> None:
        """Announce this daemon's versions to a few daemons, which do the same."""
        others = self.neighbours(now)
        for address in self.rng.sample(others, min(ANNOUNCEMENT_FANOUT, len(others))):
            self.hello(now, address, HelloRequest.NOTHING)

    def evacuate(
        self, now: float, revision: int, names: frozenset[str], era: int = 0
    ) -> None:
        """Apply the evacuated data centres that the store lists at a revision."""
        changed = self.evacuations.read(revision, names, era)
        if self.evacuations.expire(now) or changed:
            self._evacuations_changed(now)

    def _evacuations_changed(self, now: float) -> None:
        """Log and announce a new set of evacuated data centres."""
        self.log.event(
            "evacuations.installed",
            centres=sorted(self.evacuations.names),
            retained=sorted(self.evacuations.retained),
            era=self.evacuations.era,
            revision=revision_of(self.evacuations.stamp.position),
            unknown=self._unknown_centres(),
        )
        self.announce(now)

    def _unknown_centres(self) -> list[str]:
        """Return the evacuated data centres that the deployment doesn't have.

        Otherwise, when an operator mistypes a name, the order seems to be in force
        while the intended data centre still gets flows.
        """
        if not self.data_centres:
            return []
        return sorted(self.evacuations.names - self.data_centres)

    def candidates(self, now: float, flow: bytes) -> list[str]:
        """Return the services that may own a flow, the most likely first."""
        route = self.routes.by_address.get(route_key(flow))
        if route is None:
            return []
        services = route.services(flow)
        former = self.formers.at(now, flow)
        return services + [name for name in former if name not in services]

    def neighbours(self, now: float) -> list[str]:
        """Return the daemons to notify of a new configuration."""
        raise NotImplementedError

    def hello(
        self, now: float, address: str, request: HelloRequest = HelloRequest.STATUS
    ) -> None:
        """Announce this daemon's versions to another one and ask for something."""
        self.send(now, address, Kind.HELLO, reason=request)

    def send(
        self,
        now: float,
        address: str,
        kind: Kind,
        body: bytes = b"",
        *,
        marks: int = 0,
        hops: int = 0,
        reason: int = 0,
        service: int = 0,
        origin: Head | None = None,
    ) -> None:
        """Send a datagram; ``origin`` is the head of the client's packet, if any."""
        freshness = self.freshness
        head = Head(
            kind,
            marks,
            hops,
            reason,
            self.routes.version,
            freshness.age(now),
            origin.zone if origin else self.zone,
            service,
            origin.entry if origin else self.address,
            freshness.watcher,
            *self.evacuations.stamp,
        )
        self.links.to_peer(address, tunnel.encode(head, body))

    def pass_on(
        self, now: float, head: Head, packet: Packet, address: str, marks: int
    ) -> None:
        """Send a client's packet on to another daemon."""
        self.log.count("packets.passed_on")
        self.send(
            now,
            address,
            Kind.FORWARD,
            packet.raw,
            marks=marks,
            hops=head.hops + 1,
            service=head.service,
            origin=head,
        )

    def receive(self, now: float, sender: str, data: bytes) -> None:
        """Handle a datagram from another daemon."""
        decoded = tunnel.decode(data)
        if decoded is None:
            self.log.count("datagrams.malformed")
            return
        head, body = decoded
        self._compare_versions(now, sender, head)
        if head.kind is Kind.EVACUATIONS:
            self._receive_evacuations(now, body)
        elif head.kind is Kind.HELLO and head.reason == HelloRequest.EVACUATIONS:
            self.send(now, sender, Kind.EVACUATIONS, self.evacuations.encode())
        else:
            self.handle(now, sender, head, body)

    def _compare_versions(self, now: float, sender: str, head: Head) -> None:
        """Ask the sender of a datagram for what it has newer than this daemon.

        Its confirmation covers both the configuration and the evacuations, so it counts
        only if both daemons have the same evacuations.
        """
        stamp = Stamp(head.evacuated_at, head.evacuated)
        if self.evacuations.compare(now, stamp) and self.evacuations.may_request(now):
            self.hello(now, sender, HelloRequest.EVACUATIONS)
        if self.evacuations.expire(now):
            self._evacuations_changed(now)
        age = head.age if self.evacuations.agrees(stamp) else None
        if self.freshness.heard(now, head.watcher, head.version, age):
            self.links.fetch(sender)

    def _receive_evacuations(self, now: float, body: bytes) -> None:
        changed = self.evacuations.merge(body)
        if changed is None:
            self.log.count("datagrams.malformed")
        elif self.evacuations.expire(now) or changed:
            self._evacuations_changed(now)

    def handle(self, now: float, sender: str, head: Head, body: bytes) -> None:
        """Handle a datagram whose head was decoded."""
        raise NotImplementedError

    def read_rosters(self, body: bytes) -> dict[str, list[RosterRow]]:
        """Decode the body of a roster; malformed parts are counted and skipped."""
        fields = tunnel.decode_rosters(body)
        if fields is None:
            self.log.count("datagrams.malformed")
            return {}
        rows_by_service: dict[str, list[RosterRow]] = {}
        for service, rows in fields.items():
            read = (
                [_decode_row(row) for row in rows] if isinstance(rows, list) else [None]
            )
            rows_by_service[service] = [row for row in read if row is not None]
            if None in read:
                self.log.count("datagrams.malformed")
        return rows_by_service


def _decode_row(fields: Any) -> RosterRow | None:
    """Decode a row of a roster; return None if it is malformed.

    Otherwise rows of another shape, from a daemon of another version, would raise an
    exception with each of its datagrams.
    """
    match fields:
        case [str(address), int(zone), age] if tunnel.is_address(address) and _is_age(
            age
        ):
            return RosterRow(address, zone, age)
    return None


def _is_age(age: Any) -> bool:
    """Return whether a value is None or a valid age; NaN compares false."""
    return age is None or (isinstance(age, int | float) and 0 <= age < AGE_MAX_SECONDS)
