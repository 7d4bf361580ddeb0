"""Random schedules of the faults of a soak."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ["Fault", "draw", "shrink"]

FAULTS_PER_SECOND = 0.7
"""High enough that most faults overlap with another one."""

OUTAGE_SECONDS = (0.0, 0.05, 0.3, 1.0, 2.5)
"""Durations of a fault; flows may be lost after 4 s of silence."""


class Fault(NamedTuple):
    """One scheduled fault.

    ``at`` is in seconds from the start of the soak, ``place`` selects one of the
    possible targets of this kind, and ``duration`` is in seconds.
    """

    at: float
    kind: str
    place: int
    duration: float


def draw(seed: int, seconds: float, kinds: Sequence[str]) -> list[Fault]:
    """Return the faults of a seed in order of time."""
    rng = random.Random(seed)
    faults = []
    at = rng.expovariate(FAULTS_PER_SECOND)
    while at < seconds:
        place, duration = rng.randrange(1 << 16), rng.choice(OUTAGE_SECONDS)
        faults.append(Fault(round(at, 3), rng.choice(kinds), place, duration))
        at += rng.expovariate(FAULTS_PER_SECOND)
    return faults


def shrink(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Return a minimal failing list of faults.

    Leaves out parts of the list for which ``fails`` still holds, halving the
    size of the parts each time.
    """
    size = len(faults) // 2
    while size:
        at = 0
        while at < len(faults):
            rest = faults[:at] + faults[at + size :]
            if fails(rest):
                faults = rest
            else:
                at += size
        size //= 2
    return faults
