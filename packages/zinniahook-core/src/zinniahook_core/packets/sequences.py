"""Arithmetic of sequence numbers, which have 32 bits and wrap around."""

from __future__ import annotations

__all__ = [
    "HALF_SEQUENCE_SPAN",
    "IN_FLIGHT_BYTES",
    "SEQUENCE_SPAN",
    "is_after",
    "is_near",
]

SEQUENCE_SPAN = 1 << 32
HALF_SEQUENCE_SPAN = SEQUENCE_SPAN // 2

IN_FLIGHT_BYTES = 1 << 16
"""More than an end has in flight: at most 16 packets of 1,200 bytes."""


def is_after(number: int, other: int) -> bool:
    """Return whether a number follows another one by less than half of the span."""
    return 0 < (number - other) % SEQUENCE_SPAN < HALF_SEQUENCE_SPAN


def is_near(number: int, other: int, limit: int) -> bool:
    """Return whether two numbers differ by at most ``limit``, in either direction."""
    ahead = (number - other) % SEQUENCE_SPAN
    return min(ahead, SEQUENCE_SPAN - ahead) <= limit
