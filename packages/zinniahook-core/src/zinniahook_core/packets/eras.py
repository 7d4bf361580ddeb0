"""Positions in the history of a store that may be restored from an older copy.

A restored store continues to count revisions from those of the copy, so one revision
may belong to two histories. The store therefore keeps an era that rises with each
restore. Era and revision together order everything that is read there. They are sent as
one integer, the era in the bits above the revision: comparing positions costs no more
than comparing revisions, and in the first era the position is the revision itself.
"""

from __future__ import annotations

__all__ = [
    "ERA_LIMIT",
    "POSITION_LIMIT",
    "REVISION_LIMIT",
    "era_of",
    "position_of",
    "revision_of",
]

REVISION_BITS = 44
REVISION_LIMIT = 1 << REVISION_BITS
"""More than a store counts to: 10,000 changes a second for 50 years."""

POSITION_LIMIT = 1 << 63
"""A datagram has 8 bytes for a position, which readers in other languages and older
versions decode as a signed number."""

ERA_LIMIT = POSITION_LIMIT >> REVISION_BITS


def position_of(era: int, revision: int) -> int:
    """Return the position of a revision of an era.

    Raises
    ------
    ValueError
        If either is out of range.
    """
    if not 0 <= era < ERA_LIMIT or not 0 <= revision < REVISION_LIMIT:
        raise ValueError(
            f"era {era}, revision {revision}: out of range, expected "
            f"0 <= era < {ERA_LIMIT} and 0 <= revision < {REVISION_LIMIT}"
        )
    return era << REVISION_BITS | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position, which is unique within its era only."""
    return position & (REVISION_LIMIT - 1)
