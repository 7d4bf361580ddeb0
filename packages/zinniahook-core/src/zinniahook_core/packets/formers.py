"""Services that routes have led to lately, where open flows may still live.

A new configuration leaves open flows where they are, so a flow may live at a
service that its route no longer leads to, for as long as a flow may be old.
Each daemon keeps what it saw change; one that starts is told by its peers, or
reads the record in the store. A service too many costs a question, one too few
costs a flow.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from typing import Any, NamedTuple

from .models import Routes, route_key

__all__ = [
    "BUCKETS",
    "FLOW_MAX_AGE_SECONDS",
    "FormerService",
    "FormerServices",
    "Record",
    "decode",
    "decode_rows",
    "encode",
    "encode_rows",
    "merged",
]

FLOW_MAX_AGE_SECONDS = 60.0
"""Seconds that a flow may be old, and so that a former service counts."""

ADDRESS_SIZE = 6


class FormerService(NamedTuple):
    """A service that a route led to, and for how many seconds it counts yet."""

    address: bytes
    service: str
    left: float


class FormerServices:
    """What one daemon knows of former services.

    ``is_complete`` tells whether nothing older than this daemon is missing. As
    long as something may be, nobody can say that a flow has no owner.
    """

    def __init__(self) -> None:
        self.is_complete = True
        self._until_by_address: dict[bytes, dict[str, float]] = {}
        self._begun = float("-inf")

    def begin(self, now: float) -> None:
        """Note that this daemon has just started and knows nothing."""
        self.is_complete = False
        self._begun = now

    def replaced(self, now: float, former: Routes, newer: Routes) -> None:
        """Note what a new configuration has changed.

        A route that it drops ends its flows, and so leaves nothing here.
        """
        self._expire(now)
        for address, route in former.by_address.items():
            kept = newer.by_address.get(address)
            if kept is None:
                self._until_by_address.pop(address, None)
            elif kept.shares != route.shares:
                for service in route.names - kept.names:
                    self._add(address, service, now + FLOW_MAX_AGE_SECONDS)

    def learn(self, now: float, told: list[FormerService], whole: bool = True) -> None:
        """Take what a peer or the record tells; nothing older is missing then.

        Unless it isn't ``whole``, as the record of a restored store may not be.
        """
        for former in told:
            left = min(FLOW_MAX_AGE_SECONDS, max(0.0, former.left))
            self._add(former.address, former.service, now + left)
        self.is_complete = self.is_complete or whole

    def rows(self, now: float) -> list[FormerService]:
        """Return what is known, for others to learn from."""
        return [
            FormerService(address, service, until - now)
            for address, untils in self._until_by_address.items()
            for service, until in untils.items()
            if until > now
        ]

    def at(self, now: float, flow: bytes) -> list[str]:
        """Return the former services of a flow's route, the latest first."""
        untils = self._until_by_address.get(route_key(flow))
        if not untils:
            return []
        here = [(until, name) for name, until in untils.items() if until > now]
        return [name for _, name in sorted(here, reverse=True)]

    def services(self) -> set[str]:
        """Return every former service."""
        return {name for untils in self._until_by_address.values() for name in untils}

    def tick(self, now: float) -> None:
        """Note the time: no flow is older than this daemon after a while."""
        if not self.is_complete and now - self._begun > FLOW_MAX_AGE_SECONDS:
            self.is_complete = True

    def _add(self, address: bytes, service: str, until: float) -> None:
        untils = self._until_by_address.setdefault(address, {})
        untils[service] = max(until, untils.get(service, until))

    def _expire(self, now: float) -> None:
        for address, untils in list(self._until_by_address.items()):
            for service in [name for name, until in untils.items() if until <= now]:
                del untils[service]
            if not untils:
                del self._until_by_address[address]


BUCKETS = 16
"""Parts of the record, each under a key of its own: a change writes one of them
instead of the whole."""


class Record(NamedTuple):
    """What the store keeps for daemons that start: where routes have led.

    What goes wrong without: every process is killed just after a change, nobody
    remembers the configuration before it, and flows at the former service are
    searched among the new one's agents and reset.
    """

    services_by_address: dict[bytes, frozenset[str]]

    @classmethod
    def of(cls, now: float, routes: Routes, formers: FormerServices) -> Record:
        """Return what a daemon would write."""
        known: dict[bytes, set[str]] = {
            address: set(route.names) for address, route in routes.by_address.items()
        }
        for former in formers.rows(now):
            known.setdefault(former.address, set()).add(former.service)
        return cls({address: frozenset(names) for address, names in known.items()})

    def formers(self, routes: Routes) -> list[FormerService]:
        """Return the former services of routes that are in force.

        The record tells no times, as clocks may jump: each counts in full.
        """
        return [
            FormerService(address, service, FLOW_MAX_AGE_SECONDS)
            for address, names in self.services_by_address.items()
            if address in routes.by_address
            for service in names - routes.by_address[address].names
        ]

    def covers(self, other: Record) -> bool:
        """Tell whether nothing that ``other`` has is missing here."""
        return all(
            names <= self.services_by_address.get(address, frozenset())
            for address, names in other.services_by_address.items()
        )

    def bucket(self, number: int) -> Record:
        """Return one part of the record."""
        return Record(
            {
                address: names
                for address, names in self.services_by_address.items()
                if sum(address) % BUCKETS == number
            }
        )


def encode_rows(rows: list[FormerService]) -> bytes:
    """Return former services as daemons tell each other."""
    return json.dumps(
        [[row.address.hex(), row.service, round(row.left, 1)] for row in rows],
        separators=(",", ":"),
    ).encode()


def decode_rows(value: bytes) -> list[FormerService] | None:
    """Read what another daemon tells; None if it is malformed."""
    try:
        rows = json.loads(value)
        return [
            FormerService(bytes.fromhex(address), str(service), float(left))
            for address, service, left in rows
        ]
    except (ValueError, TypeError):
        return None


def encode(record: Record) -> bytes:
    """Return a record as it is stored, compressed."""
    fields = {
        address.hex(): sorted(names)
        for address, names in sorted(record.services_by_address.items())
    }
    return zlib.compress(json.dumps(fields, separators=(",", ":")).encode())


def decode(value: bytes) -> Record:
    """Read a stored record; what can't be read is left out."""
    try:
        fields = json.loads(zlib.decompress(value))
    except (ValueError, zlib.error, RecursionError):
        return Record({})
    if not isinstance(fields, dict):
        return Record({})
    rows = [_row(address, names) for address, names in fields.items()]
    return Record(dict(row for row in rows if row is not None))


def _row(address: str, names: Any) -> tuple[bytes, frozenset[str]] | None:
    try:
        key = bytes.fromhex(address)
    except ValueError:
        return None
    if len(key) != ADDRESS_SIZE or not isinstance(names, list):
        return None
    return key, frozenset(name for name in names if isinstance(name, str))


def merged(records: Iterable[Record]) -> Record:
    """Return what any of several records has."""
    whole: dict[bytes, frozenset[str]] = {}
    for record in records:
        for address, names in record.services_by_address.items():
            whole[address] = whole.get(address, frozenset()) | names
    return Record(whole)
