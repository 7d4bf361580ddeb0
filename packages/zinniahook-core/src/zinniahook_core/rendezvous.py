"""Rendezvous (highest random weight) hashing.

Every process that knows the same names ranks them in the same order for a key,
without state or coordination. When a name joins or leaves, only the keys that rank
it first move. After a join, the former first name of such a key is second.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ["best", "fraction", "rank"]

SEED_CACHE_SIZE = 65536


@functools.lru_cache(maxsize=SEED_CACHE_SIZE)
def _seed(name: str) -> int:
    """Return the cached hash of a name, so that a key needs only one more hash."""
    return xxh3_64_intdigest(name.encode())


def rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Rank ``names`` for ``key``, highest first.

    Parameters
    ----------
    key : bytes
        The key to place.
    names : iterable of str
        The candidates, in any order.

    Returns
    -------
    list of str
        Every name once. The order depends only on the set of names.
    """
    weighed = [(xxh3_64_intdigest(key, _seed(name)), name) for name in set(names)]
    weighed.sort(reverse=True)
    return [name for _, name in weighed]


def best(key: bytes, names: Iterable[str]) -> str:
    """Return the first of ``rank(key, names)`` without sorting.

    Raises
    ------
    ValueError
        If there are no names.
    """
    chosen = max(
        ((xxh3_64_intdigest(key, _seed(name)), name) for name in names), default=None
    )
    if chosen is None:
        raise ValueError("no names to choose from")
    return chosen[1]


def fraction(key: bytes) -> float:
    """Return a number from 0 to 1 that depends only on ``key``."""
    return xxh3_64_intdigest(key) / 2.0**64
