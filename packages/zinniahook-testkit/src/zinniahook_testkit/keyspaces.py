"""The data of the fake store: revisions, transactions and leases."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

__all__ = ["Compare", "CompactedError", "Event", "Keyspace", "Lease", "Version"]

MAX_EVENTS = 50_000
"""Events kept for watches; beyond that, the older half is compacted."""


class Version(NamedTuple):
    """The state of a key from ``revision`` on; a ``value`` of None is a deletion."""

    value: bytes | None
    revision: int
    created: int
    number: int
    lease: int


class Event(NamedTuple):
    """One change of one key."""

    key: bytes
    version: Version


class Compare(NamedTuple):
    """A condition of a transaction, with ``target`` and ``result`` as in etcd."""

    key: bytes
    target: str
    result: str
    operand: int | bytes


class Lease(NamedTuple):
    """A lease; ``expires`` is a time of the clock that the caller passes in."""

    number: int
    seconds: int
    expires: float


class CompactedError(Exception):
    """The requested revision has been compacted."""


class Keyspace:
    """Keys and their versions since the last compaction.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    compacted : int
        Lowest revision that can still be read.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 1
        self.leases_by_number: dict[int, Lease] = {}
        self._keys: list[bytes] = []
        self._versions_by_key: dict[bytes, list[Version]] = {}
        self._events: list[Event] = []
        self._lease_numbers = itertools.count(1000)
        self._listeners: list[Callable[[Sequence[Event]], None]] = []

    def on_change(self, listener: Callable[[Sequence[Event]], None]) -> None:
        """Register a callback that gets the events of each revision."""
        self._listeners.append(listener)

    def read(
        self, start: bytes, end: bytes, revision: int = 0
    ) -> list[tuple[bytes, Version]]:
        """Return the keys from ``start`` to ``end``, or ``start`` if that is empty.

        Raises
        ------
        CompactedError
            If the revision has been compacted.
        """
        if revision and revision < self.compacted:
            raise CompactedError
        found = []
        for key in self._between(start, end):
            version = self._version(key, revision or self.revision)
            if version is not None and version.value is not None:
                found.append((key, version))
        return found

    def holds(self, compare: Compare) -> bool:
        """Return whether a condition holds at the latest revision."""
        version = self._version(compare.key, self.revision)
        if version is None or version.value is None:
            version = Version(b"", 0, 0, 0, 0)
        actual = {
            "MOD": version.revision,
            "VERSION": version.number,
            "CREATE": version.created,
            "LEASE": version.lease,
            "VALUE": version.value,
        }[compare.target]
        return {
            "EQUAL": actual == compare.operand,
            "NOT_EQUAL": actual != compare.operand,
            "GREATER": actual > compare.operand,
            "LESS": actual < compare.operand,
        }[compare.result]

    def write(
        self,
        puts: Iterable[tuple[bytes, bytes, int]] = (),
        deletes: Iterable[tuple[bytes, bytes]] = (),
    ) -> int:
        """Apply all changes at one revision; return the number of deleted keys.

        Each of ``puts`` is a key, a value and a lease; each of ``deletes`` is a range.
        """
        events = []
        revision = self.revision + 1
        gone = [key for span in deletes for key, _ in self.read(*span)]
        for key in gone:
            events.append(Event(key, Version(None, revision, 0, 0, 0)))
        for key, value, lease in puts:
            last = self._version(key, self.revision)
            if last is None or last.value is None:
                version = Version(value, revision, revision, 1, lease)
            else:
                version = Version(value, revision, last.created, last.number + 1, lease)
            events.append(Event(key, version))
        if events:
            self._apply(revision, events)
        return len(gone)

    def since(self, revision: int, start: bytes, end: bytes) -> list[Event]:
        """Return the events of a range from ``revision`` on.

        Raises
        ------
        CompactedError
            If some of them have been compacted.
        """
        if revision < self.compacted:
            raise CompactedError
        first = bisect.bisect_left(
            self._events, revision, key=lambda event: event.version.revision
        )
        return [
            event for event in self._events[first:] if within(event.key, start, end)
        ]

    def compact(self, revision: int) -> None:
        """Remove the versions before ``revision``."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        first = bisect.bisect_left(
            self._events, self.compacted, key=lambda event: event.version.revision
        )
        del self._events[:first]
        for key in list(self._keys):
            versions = self._versions_by_key[key]
            index = _index(versions, self.compacted)
            del versions[: max(index, 0)]
            if len(versions) == 1 and versions[0].value is None:
                del self._versions_by_key[key]
                self._keys.remove(key)

    def grant(self, seconds: int, now: float) -> Lease:
        """Create a lease."""
        lease = Lease(next(self._lease_numbers), seconds, now + seconds)
        self.leases_by_number[lease.number] = lease
        return lease

    def keep_alive(self, number: int, now: float) -> int:
        """Renew a lease and return its seconds, or 0 if it doesn't exist."""
        lease = self.leases_by_number.get(number)
        if lease is None:
            return 0
        self.leases_by_number[number] = lease._replace(expires=now + lease.seconds)
        return lease.seconds

    def revoke(self, number: int) -> None:
        """Revoke a lease and delete its keys."""
        if self.leases_by_number.pop(number, None) is None:
            return
        owned = [
            (key, b"")
            for key in self._keys
            if (version := self._versions_by_key[key][-1]).lease == number
            and version.value is not None
        ]
        self.write(deletes=owned)

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired."""
        for lease in list(self.leases_by_number.values()):
            if lease.expires <= now:
                self.revoke(lease.number)

    def _between(self, start: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [start] if start in self._versions_by_key else []
        first = bisect.bisect_left(self._keys, start)
        if end == b"\0":
            return self._keys[first:]
        return self._keys[first : bisect.bisect_left(self._keys, end)]

    def _version(self, key: bytes, revision: int) -> Version | None:
        versions = self._versions_by_key.get(key, ())
        index = _index(versions, revision)
        return versions[index] if index >= 0 else None

    def _apply(self, revision: int, events: list[Event]) -> None:
        self.revision = revision
        for event in events:
            if event.key not in self._versions_by_key:
                bisect.insort(self._keys, event.key)
                self._versions_by_key[event.key] = []
            self._versions_by_key[event.key].append(event.version)
        self._events.extend(events)
        if len(self._events) > MAX_EVENTS:
            self.compact(self._events[MAX_EVENTS // 2].version.revision)
        for listener in self._listeners:
            listener(events)


def within(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range, as defined by `Keyspace.read`."""
    if not end:
        return key == start
    return start <= key and (end == b"\0" or key < end)


def _index(versions: Sequence[Version], revision: int) -> int:
    """Return the index of the version that is current at a revision, or -1."""
    place = bisect.bisect_right(versions, revision, key=lambda item: item.revision)
    return place - 1
