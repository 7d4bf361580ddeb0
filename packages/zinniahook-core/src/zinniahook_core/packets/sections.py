"""Optional sections of a status, one for each feature that reports something.

A status has the same few bytes in every deployment. A feature appends a section: a
number, a length, and bytes that only that feature decodes. A daemon skips sections that
it doesn't know, so daemons of different versions understand each other during a rolling
upgrade.
"""

from __future__ import annotations

from typing import Final

__all__ = ["SECTION_MAX_BYTES", "Section", "decode_sections", "encode_sections"]

SECTION_HEAD_BYTES = 2
SECTION_MAX_BYTES: Final = 255


class Section:
    """The section numbers; plain integers, as in `Flag`."""

    DEMAND: Final = 1
    """Demand and capacity of the sender's target, by kind."""

    HEALTH: Final = 2
    """How the sender's target answers."""

    CAPACITY: Final = 3
    """The measured capacity of the sender's target."""

    WORK: Final = 4
    """The work that the open flows of the sender's target are expected to bring."""


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
    """Decode what follows a status; return None if it is truncated."""
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
