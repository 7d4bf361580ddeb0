"""Agents that the copies of openings were sent to."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Attempts"]


@dataclass(slots=True)
class Attempts:
    """Agents that the copies of one opening were sent to, or its rejection."""

    sequence: int
    at: float
    tried: list[str] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)
    rejected: bool = False
