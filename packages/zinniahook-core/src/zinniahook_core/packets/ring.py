"""A consistent hash ring of names.

Each name has several points on the ring, and a key belongs to the names that follow it.
Every daemon that knows the same names finds them in the same order, and adding or
removing a name affects only the keys just before its points. Unlike a ranking of all
names, a walk along the ring costs the same with ten names and with a thousand.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

__all__ = ["HashRing"]

POINTS_PER_NAME = 16
"""Points per name. With 16, the shares of the ring differ by a quarter; with one, some
names would own five times as much as others."""


class HashRing:
    """A hash ring of names."""

    def __init__(self) -> None:
        self._points: list[int] = []
        self._names: list[str] = []

    def add(self, name: str) -> None:
        """Add a name that isn't on the ring yet."""
        for point in _points(name):
            at = bisect.bisect_left(self._points, point)
            self._points.insert(at, point)
            self._names.insert(at, name)

    def drop(self, name: str) -> None:
        """Remove a name that is on the ring."""
        for point in _points(name):
            at = bisect.bisect_left(self._points, point)
            while self._names[at] != name:
                at += 1
            del self._points[at]
            del self._names[at]

    def after(self, key: bytes) -> Iterator[str]:
        """Yield every name once, in the order in which they follow a key."""
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
