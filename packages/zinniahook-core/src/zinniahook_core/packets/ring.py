"""Names on a circle of hashes: which of many a key belongs to.

Each name stands at several points of the circle, and a key belongs to the
names that follow it. Every daemon that knows the same names walks them in the
same order; one name more or less moves only what lies just before its points.
Unlike a rank of all names, a walk costs the same among ten and among a
thousand.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

__all__ = ["HashRing"]

POINTS_PER_NAME = 16
"""Points of one name. Shares of the circle then differ by a quarter; with one
point each some names would own five times as much as others."""


class HashRing:
    """Names around a circle."""

    def __init__(self) -> None:
        self._points: list[int] = []
        self._names: list[str] = []

    def add(self, name: str) -> None:
        """Add a name that isn't there yet."""
        for point in _points(name):
            at = bisect.bisect_left(self._points, point)
            self._points.insert(at, point)
            self._names.insert(at, name)

    def drop(self, name: str) -> None:
        """Remove a name that is there."""
        for point in _points(name):
            at = bisect.bisect_left(self._points, point)
            while self._names[at] != name:
                at += 1
            del self._points[at]
            del self._names[at]

    def after(self, key: bytes) -> Iterator[str]:
        """Return every name once, in the order in which they follow a key."""
        names = self._names
        start = bisect.bisect_left(self._points, xxh3_64_intdigest(key))
        passed: set[str] = set()
        for at in range(start, start + len(names)):
            name = names[at % len(names)]
            if name not in passed:
                passed.add(name)
                yield name


def _points(name: str) -> list[int]:
    encoded = name.encode()
    return [xxh3_64_intdigest(encoded, seed) for seed in range(POINTS_PER_NAME)]
