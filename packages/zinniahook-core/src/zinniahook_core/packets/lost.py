"""Members that a roster has forgotten after a long silence, and that may come back.

While two data centres are cut off from each other, their agents forget each other. When
the cut has ended, nobody would send the first datagram: each home would search among
its own half of the service, and reset the flows of the other half.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LostMembers"]

PROBE_INTERVAL_SECONDS = 4.0
"""Seconds between two probes of a lost member: shorter than the time after a cut that
its two sides have to find each other."""

PROBES_PER_SECOND = 10.0
"""Probes of all lost members together; with more than 40 of them, each is probed less
often. A probe has about 70 bytes."""

LOST_EXPIRY_SECONDS = 3600.0
"""Seconds for which a lost member is probed: far longer than a cut lasts."""

LOST_LIMIT = 1024


class _Lost(NamedTuple):
    since: float
    order: int


class LostMembers:
    """The lost members of one service, by address."""

    def __init__(self) -> None:
        self._by_address: dict[str, _Lost] = {}
        self._rotation: list[str] = []
        self._probes_due = 0.0
        self._counted_at = float("-inf")

    def __len__(self) -> int:
        return len(self._by_address)

    def __contains__(self, address: str) -> bool:
        return address in self._by_address

    def add(self, now: float, address: str, order: int) -> None:
        """Add a member that was forgotten; ``order`` is when it had joined."""
        self._by_address.pop(address, None)
        self._by_address[address] = _Lost(now, order)
        while len(self._by_address) > LOST_LIMIT:
            del self._by_address[next(iter(self._by_address))]

    def take(self, address: str) -> int | None:
        """Remove a member that is back; return its order, None if it wasn't lost."""
        lost = self._by_address.pop(address, None)
        return lost.order if lost is not None else None

    def due(self, now: float) -> list[str]:
        """Return the members to probe now; those lost for too long are dropped."""
        for address, lost in list(self._by_address.items()):
            if now - lost.since <= LOST_EXPIRY_SECONDS:
                break
            del self._by_address[address]
        count = len(self._by_address)
        if not count:
            return []
        passed = min(now - self._counted_at, PROBE_INTERVAL_SECONDS)
        self._counted_at = now
        rate = min(count / PROBE_INTERVAL_SECONDS, PROBES_PER_SECOND)
        self._probes_due = min(self._probes_due + rate * passed, float(count))
        due: list[str] = []
        while self._probes_due >= 1.0:
            self._probes_due -= 1.0
            if not self._rotation:
                self._rotation = list(self._by_address)
            address = self._rotation.pop()
            if address in self._by_address:
                due.append(address)
        return due
