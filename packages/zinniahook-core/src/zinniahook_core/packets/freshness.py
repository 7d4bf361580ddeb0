"""How new the configuration of a daemon certainly is.

One daemon looks at the store a few times a second and everyone else learns
from the datagrams that flow anyway how long ago the newest version was
confirmed. Whoever hears nothing fresh for a while looks for itself; that
covers a watcher that died, was cut off, is turned away by the store or hangs.
"""

from __future__ import annotations

import random

__all__ = ["Freshness"]

READ_AFTER_SECONDS = 0.9
"""Seconds without a fresh confirmation until a daemon looks for itself. A
watcher confirms each 0.4 s, and a change must be everywhere in 3 s: 0.9 s, the
spread, a slow answer (0.25 s) and two hops (0.5 s) fit in."""

READ_SPREAD_SECONDS = 0.6
"""Seconds over which daemons spread, so that few look at the same time."""

YIELD_WITHIN_SECONDS = 0.5
"""A watcher stops for another of a lower address that confirmed so lately."""


class Freshness:
    """The version in force here, and when it was last known to be the newest.

    Parameters
    ----------
    own : str
        Address of this daemon.
    rng : random.Random
        Spreads the daemons.
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
        """Give others time to tell, at the start of a daemon that isn't asked.

        An agent does without a configuration as long as entries have one.
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
        """Take what a datagram tells; return whether its sender has a newer one.

        ``watcher`` is the daemon that saw it in the store: what it confirmed
        comes back to it through others and must not make it stop.

        Only confirmations of the version in force here count: of a newer one
        they prove that this daemon is behind.
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
        """Tell whether this daemon should look at the store itself."""
        if now < self.wait_until:
            return False
        return now - self.confirmed_at > self._read_after

    def seconds_until_read(self, now: float) -> float:
        """Return for how many seconds this daemon needn't look for sure."""
        return max(self.wait_until, self.confirmed_at + self._read_after) - now

    def may_yield(self, now: float) -> bool:
        """Tell whether another daemon is watching, so this one need not."""
        return now - self._other_watcher_at < YIELD_WITHIN_SECONDS
