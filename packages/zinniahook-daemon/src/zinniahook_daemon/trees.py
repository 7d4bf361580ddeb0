"""The tree by which the daemons of a data centre distribute the configuration.

Every daemon derives its own position from a list of control addresses that all of
them share. Positions are neither assigned nor stored.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from zinniahook_core import rendezvous

__all__ = ["TreePosition", "tree_position"]

ORDER_KEY = b"distribution"
"""Key of the rendezvous hash that orders the candidates. A daemon that joins or leaves
doesn't change the relative order of the others."""

MAX_PARENTS = 3
"""Parents that a daemon tries before the store."""


class TreePosition(NamedTuple):
    """The sources of a daemon.

    If ``watches_store`` is true, the daemon follows the store, and its parents
    only while the store doesn't answer. ``parents`` are control addresses, best
    first.
    """

    watches_store: bool
    parents: tuple[str, ...]


def tree_position(
    own: str, candidates: Collection[str], watchers: int, fan_out: int
) -> TreePosition:
    """Return the position of a daemon in the tree.

    Parameters
    ----------
    own : str
        Its control address. The daemon is a leaf if this isn't a candidate.
    candidates : collection of str
        Control addresses of the daemons that may be parents.
    watchers : int
        Number of candidates that follow the store.
    fan_out : int
        Number of children that a candidate should have among the candidates.

    Returns
    -------
    TreePosition
        Each parent precedes its children in the shared order, so daemons can't
        follow each other in a cycle.
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
