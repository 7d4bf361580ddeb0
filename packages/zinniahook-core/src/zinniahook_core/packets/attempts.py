"""Where the copies of openings were sent."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Attempts"]


@dataclass(slots=True)
class Attempts:
    """Where the copies of one opening were sent, or that it was rejected."""

    sequence: int
    at: float
    tried: list[str] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)
    rejected: bool = False
