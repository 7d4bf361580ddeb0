"""Optional parts of a status, one for each feature that tells something.

A status is the same few bytes in every deployment. What a feature adds follows
it as a section: a number, a length, and bytes that only the feature reads. A
daemon that doesn't know a section passes over it, so daemons of unlike versions
understand each other during a rolling upgrade.
"""

from __future__ import annotations

from typing import Final

__all__ = ["SECTION_MAX_BYTES", "Section", "decode_sections", "encode_sections"]

SECTION_HEAD_BYTES = 2
SECTION_MAX_BYTES: Final = 255


class Section:
    """The sections that exist; plain numbers as with `Flag`."""

    DEMAND: Final = 1
    """Demand and capacity of the sender's target, by kind."""

    HEALTH: Final = 2
    """How the sender's target answers."""

    CAPACITY: Final = 3
    """What the sender's target was measured to bear."""

    WORK: Final = 4
    """What the open flows of the sender's target are going to ask."""


def encode_sections(by_kind: dict[int, bytes]) -> bytes:
    """Return sections as they follow a status.

    Raises
    ------
    ValueError
        If one is longer than `SECTION_MAX_BYTES` bytes.
    """
    return b"".join(
        bytes((kind, len(body))) + body for kind, body in sorted(by_kind.items())
    )


def decode_sections(data: bytes) -> dict[int, bytes] | None:
    """Read what follows a status; None if it is cut off."""
    by_kind: dict[int, bytes] = {}
    at = 0
    while at < len(data):
        if len(data) - at < SECTION_HEAD_BYTES:
            return None
        kind, length = data[at], data[at + 1]
        at += SECTION_HEAD_BYTES
        if len(data) - at < length:
            return None
        by_kind[kind] = data[at : at + length]
        at += length
    return by_kind
