"""Statistics of targets' answers by route, and their comparison."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from typing import NamedTuple

from .member import Member
from .models import route_key
from .reports import RouteRow

__all__ = [
    "Counts",
    "Peers",
    "summarize_peers",
    "route_tag_of",
    "lower_bound",
    "route_tag",
]

MEMORY_ANSWERS = 40
"""Answers that count: with fewer, a fifth of failures can't be told from chance; with
more, a target that begins to fail is detected only after as many more failures."""

FADE_SECONDS = 20.0
"""Seconds in which an answer's weight falls to a third, where answers are rare. A
peer's report is used for as long."""

DEVIATIONS = 3.0
"""Standard deviations of the bound: a target that fails no more often than allowed
exceeds it by chance in one of 700 evaluations of new answers."""

TAG_MASK = 0xFFFF


def lower_bound(bad: float, total: float) -> float:
    """Return the lower bound of a share, by Wilson's interval."""
    if total <= 0:
        return 0.0
    square = DEVIATIONS * DEVIATIONS
    share = bad / total
    spread = math.sqrt(share * (1 - share) / total + square / (4 * total * total))
    middle = share + square / (2 * total)
    return max(0.0, (middle - DEVIATIONS * spread) / (1 + square / total))


def route_tag(route: bytes) -> int:
    """Return a short tag of a route's key, as used in statuses."""
    return zlib.crc32(route) & TAG_MASK


def route_tag_of(flow: bytes) -> int:
    """Return the tag of a flow's route."""
    return route_tag(route_key(flow))


class Counts:
    """Answers on one route; older ones have less weight."""

    __slots__ = ("at", "bad", "failed", "seconds", "total")

    def __init__(self, now: float) -> None:
        self.at = now
        self.total = 0.0
        self.bad = 0.0
        self.failed = 0.0
        self.seconds = 0.0

    def fade(self, now: float, kept: float = 1.0) -> None:
        """Reduce the weight of earlier answers."""
        kept *= math.exp(min(0.0, self.at - now) / FADE_SECONDS)
        self.at = now
        self.total *= kept
        self.bad *= kept
        self.failed *= kept
        self.seconds *= kept

    def add(self, now: float, took: float, bad: bool, failed: bool) -> None:
        """Count one answer; a slow one is bad without being a failure."""
        self.fade(now, 1 - 1 / MEMORY_ANSWERS)
        self.total += 1
        self.bad += bad
        self.failed += failed
        if not bad:
            self.seconds += took

    @property
    def answer_time(self) -> float:
        """The mean time of good answers, 0 if there were none."""
        good = self.total - self.bad
        return self.seconds / good if good > 0.5 else 0.0


class Peers(NamedTuple):
    """The peers' answers on one route."""

    total: float
    bad: float
    answer_time: float

    @property
    def share(self) -> float:
        """The share of bad answers; never 0, as any peer may see some failures."""
        return (self.bad + 0.5) / (self.total + 1)


def summarize_peers(now: float, members: Iterable[Member]) -> dict[int, Peers]:
    """Add up the peers' recent reports, by route."""
    rows_by_tag: dict[int, list[RouteRow]] = {}
    for member in members:
        if member.health is None or now - member.status_received_at > FADE_SECONDS:
            continue
        for row in member.health.rows:
            rows_by_tag.setdefault(row.tag, []).append(row)
    return {tag: _sum_rows(rows) for tag, rows in rows_by_tag.items()}


def _sum_rows(rows: list[RouteRow]) -> Peers:
    """Add up one route; the median of times, as some peers may be slow too."""
    times = sorted(row.answer_time for row in rows if row.answer_time)
    answer_time = times[len(times) // 2] if times else 0.0
    return Peers(sum(r.total for r in rows), sum(r.bad for r in rows), answer_time)
