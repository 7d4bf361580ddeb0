"""Who learns from whom among many daemons.

Every daemon derives its own place from a list of control addresses that all
of them share; nobody assigns places, and none is set aside.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from zinniahook_core import rendezvous

__all__ = ["TreePosition", "tree_position"]

ORDER_KEY = b"distribution"
"""Key of the rank that orders a list. A joining or leaving daemon doesn't
change the order of the others."""

MAX_PARENTS = 3
"""Parents a daemon tries before it turns to the store."""


class TreePosition(NamedTuple):
    """What a daemon follows.

    ``watches_store`` tells that it follows the store, and others only while the
    store doesn't answer. ``parents`` are control addresses, best first.
    """

    watches_store: bool
    parents: tuple[str, ...]


def tree_position(
    own: str, candidates: Collection[str], watchers: int, fan_out: int
) -> TreePosition:
    """Return the place of a daemon.

    Parameters
    ----------
    own : str
        Its control address; a leaf if it isn't among the candidates.
    candidates : collection of str
        Control addresses of the daemons that serve others.
    watchers : int
        How many of them follow the store.
    fan_out : int
        How many children each of them should have among the candidates.

    Returns
    -------
    Place
        Each parent stands before its children in the common order, so no
        daemons can learn from each other in a ring.
    """
    order = rendezvous.rank(ORDER_KEY, candidates)
    if own not in candidates:
        parents = rendezvous.rank(own.encode(), order)
        return TreePosition(not order, tuple(parents[:MAX_PARENTS]))
    position = order.index(own)
    if position < watchers:
        others = [name for name in order[:watchers] if name != own]
        return TreePosition(True, tuple(others[:MAX_PARENTS]))
    parent_index = (position - watchers) // fan_out
    eligible = order[: max(parent_index, watchers)]
    others = rendezvous.rank(own.encode(), set(eligible) - {order[parent_index]})
    return TreePosition(False, (order[parent_index], *others[: MAX_PARENTS - 1]))
