"""Former services of routes, where open flows may still live.

A new configuration doesn't move open flows, so a flow may live at a service that its
route no longer leads to, until it reaches its maximum age. Each daemon remembers the
changes that it saw. A daemon that starts learns them from its peers or from the record
in the store. A service too many costs a question, a missing one costs a flow.
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
"""Longest lifetime of a flow in seconds, for which a former service counts."""

ADDRESS_SIZE = 6


class FormerService(NamedTuple):
    """A former service of a route, and the seconds for which it still counts."""

    address: bytes
    service: str
    left: float


class FormerServices:
    """The former services that one daemon knows.

    ``is_complete`` is whether nothing from before this daemon's start is missing. Until
    then no daemon can conclude that a flow has no owner.
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
        """Note the changes of a new configuration.

        A route that is removed ends its flows, so it has no former services.
        """
        self._expire(now)
        for address, route in former.by_address.items():
            kept = newer.by_address.get(address)
            if kept is None:
                self._until_by_address.pop(address, None)
            elif kept.shares != route.shares:
                for service in route.names - kept.names:
                    self._add(address, service, now + FLOW_MAX_AGE_SECONDS)

    def learn(
        self, now: float, reported: list[FormerService], whole: bool = True
    ) -> None:
        """Add the former services of a peer or of the record.

        Then nothing older is missing, unless ``whole`` is false, as for the record of a
        restored store.
        """
        for former in reported:
            left = min(FLOW_MAX_AGE_SECONDS, max(0.0, former.left))
            self._add(former.address, former.service, now + left)
        self.is_complete = self.is_complete or whole

    def rows(self, now: float) -> list[FormerService]:
        """Return the known former services, for other daemons."""
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
        valid = [(until, name) for name, until in untils.items() if until > now]
        return [name for _, name in sorted(valid, reverse=True)]

    def services(self) -> set[str]:
        """Return all former services."""
        return {name for untils in self._until_by_address.values() for name in untils}

    def tick(self, now: float) -> None:
        """Set the data complete once no flow is older than this daemon."""
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


RECORD_LIMIT_BYTES = 8 << 20
"""Largest size of a decompressed part. Another writer's megabyte could otherwise become
a gigabyte."""

BUCKETS = 16
"""Parts of the record, each under its own key, so that a change writes one of them
instead of the whole record."""


class Record(NamedTuple):
    """The services that routes have led to, kept in the store for new daemons.

    Otherwise, if every process is killed just after a change, none remembers the former
    configuration. Flows at the former service are then searched for among the new
    service's agents, and reset.
    """

    services_by_address: dict[bytes, frozenset[str]]

    @classmethod
    def of(cls, now: float, routes: Routes, formers: FormerServices) -> Record:
        """Return the record of a daemon's routes and former services."""
        known: dict[bytes, set[str]] = {
            address: set(route.names) for address, route in routes.by_address.items()
        }
        for former in formers.rows(now):
            known.setdefault(former.address, set()).add(former.service)
        return cls({address: frozenset(names) for address, names in known.items()})

    def formers(self, routes: Routes) -> list[FormerService]:
        """Return the former services of the present routes.

        The record has no times, as clocks may jump: each service counts in full.
        """
        return [
            FormerService(address, service, FLOW_MAX_AGE_SECONDS)
            for address, names in self.services_by_address.items()
            if address in routes.by_address
            for service in names - routes.by_address[address].names
        ]

    def covers(self, other: Record) -> bool:
        """Return whether the record includes all of ``other``."""
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
    """Return former services as daemons exchange them."""
    return json.dumps(
        [[row.address.hex(), row.service, round(row.left, 1)] for row in rows],
        separators=(",", ":"),
    ).encode()


def decode_rows(value: bytes) -> list[FormerService] | None:
    """Decode another daemon's former services; return None if malformed."""
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
    """Decode a stored record; unreadable parts are skipped."""
    try:
        fields = json.loads(zlib.decompressobj().decompress(value, RECORD_LIMIT_BYTES))
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
    return key, frozenset(name for name in names if _is_name(name))


def _is_name(value: Any) -> bool:
    """Return whether a value is a text that can be encoded, and not empty."""
    return isinstance(value, str) and bool(value) and value.isprintable()


def merged(records: Iterable[Record]) -> Record:
    """Return the union of several records."""
    whole: dict[bytes, frozenset[str]] = {}
    for record in records:
        for address, names in record.services_by_address.items():
            whole[address] = whole.get(address, frozenset()) | names
    return Record(whole)
