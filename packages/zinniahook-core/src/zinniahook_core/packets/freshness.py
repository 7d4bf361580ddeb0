"""How recently a daemon's configuration was confirmed as the newest.

One daemon, the watcher, reads the store a few times a second. Others learn from the
datagrams that are sent anyway how long ago the newest version was confirmed. A daemon
without a fresh confirmation reads the store itself; this covers a watcher that died,
hangs, was cut off, or is rejected by the store.
"""

from __future__ import annotations

import random

__all__ = ["Freshness"]

READ_AFTER_SECONDS = 0.9
"""Seconds without a fresh confirmation until a daemon reads the store itself. A watcher
confirms every 0.4 s, and a change must arrive everywhere in 3 s: 0.9 s, the random
spread, a slow answer (0.25 s) and two hops (0.5 s) fit in."""

READ_SPREAD_SECONDS = 0.6
"""Seconds over which the reads of daemons are spread, so that few read at once."""

YIELD_WITHIN_SECONDS = 0.5
"""A watcher stops if another one with a lower address confirmed within this time."""


class Freshness:
    """The version in force here, and when it was last confirmed as the newest.

    Parameters
    ----------
    own : str
        Address of this daemon.
    rng : random.Random
        Spreads the reads of daemons.
    """

    def __init__(self, own: str, rng: random.Random) -> None:
        self.version = 0
        self.confirmed_at = float("-inf")
        self.wait_until = float("-inf")
        self.watcher = own
        self._own = own
        self._read_after = READ_AFTER_SECONDS + READ_SPREAD_SECONDS * rng.random()
        self._other_watcher_at = float("-inf")

    def wait(self, now: float) -> None:
        """Give other daemons time to report, at the start of a daemon.

        An agent needs no configuration as long as entries have one.
        """
        self.wait_until = now + self._read_after

    def age(self, now: float) -> float | None:
        """Return how long ago the version was the newest, None if unknown."""
        age = now - self.confirmed_at
        return age if age < float("inf") else None

    def installed(self, version: int) -> None:
        """Note that a version is in force here."""
        if version > self.version:
            self.version = version

    def confirmed(self, now: float) -> None:
        """Note that the store has just shown this version as its newest."""
        self.confirmed_at = now
        self.watcher = self._own

    def heard(self, now: float, watcher: str, version: int, age: float | None) -> bool:
        """Apply a datagram's version; return whether its sender has a newer one.

        ``watcher`` is the daemon that read the version in the store. A daemon's own
        confirmation comes back to it through others and must not make it stop.

        Only confirmations of the version in force here count. That of a newer version
        means that this daemon is behind.
        """
        if version != self.version:
            return version > self.version
        if age is not None and now - age > self.confirmed_at:
            self.confirmed_at = now - age
            self.watcher = watcher
        if age is not None and age < YIELD_WITHIN_SECONDS and watcher < self._own:
            self._other_watcher_at = now - age
        return False

    def must_read(self, now: float) -> bool:
        """Return whether this daemon should read the store itself."""
        if now < self.wait_until:
            return False
        return now - self.confirmed_at > self._read_after

    def seconds_until_read(self, now: float) -> float:
        """Return the seconds for which this daemon surely needn't read."""
        return max(self.wait_until, self.confirmed_at + self._read_after) - now

    def may_yield(self, now: float) -> bool:
        """Return whether another daemon is watching, so that this one can stop."""
        return now - self._other_watcher_at < YIELD_WITHIN_SECONDS
