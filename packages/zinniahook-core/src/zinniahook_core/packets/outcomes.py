"""Answers of targets by kind of route, and how shares of them compare."""

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
"""Answers that count: fewer can't tell a fifth of failures from chance, and with
more it takes as many failures again to find the one that begins to fail."""

FADE_SECONDS = 20.0
"""Seconds in which an answer's weight falls to a third, where few come. What a peer
told is used as long."""

DEVIATIONS = 3.0
"""Standard deviations of the bound: a target passes it by chance once in 700
looks at new answers, if it fails as often as what is left to it."""

TAG_MASK = 0xFFFF


def lower_bound(bad: float, total: float) -> float:
    """Return what a share is at least: the lower end of Wilson's interval."""
    if total <= 0:
        return 0.0
    square = DEVIATIONS * DEVIATIONS
    share = bad / total
    spread = math.sqrt(share * (1 - share) / total + square / (4 * total * total))
    middle = share + square / (2 * total)
    return max(0.0, (middle - DEVIATIONS * spread) / (1 + square / total))


def route_tag(route: bytes) -> int:
    """Return a short tag of a route's key, as statuses tell it."""
    return zlib.crc32(route) & TAG_MASK


def route_tag_of(flow: bytes) -> int:
    """Return the tag of the route that a flow came by."""
    return route_tag(route_key(flow))


class Counts:
    """Answers of one kind, older ones with less weight."""

    __slots__ = ("at", "bad", "failed", "seconds", "total")

    def __init__(self, now: float) -> None:
        self.at = now
        self.total = 0.0
        self.bad = 0.0
        self.failed = 0.0
        self.seconds = 0.0

    def fade(self, now: float, kept: float = 1.0) -> None:
        """Lower the weight of what was counted."""
        kept *= math.exp(min(0.0, self.at - now) / FADE_SECONDS)
        self.at = now
        self.total *= kept
        self.bad *= kept
        self.failed *= kept
        self.seconds *= kept

    def add(self, now: float, took: float, bad: bool, failed: bool) -> None:
        """Count one answer; one may be bad without being a failure: slow."""
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
    """What the peers' answers of one kind were like."""

    total: float
    bad: float
    answer_time: float

    @property
    def share(self) -> float:
        """The share of bad ones; never 0, as some failure may come to anybody."""
        return (self.bad + 0.5) / (self.total + 1)


def summarize_peers(now: float, members: Iterable[Member]) -> dict[int, Peers]:
    """Add up what peers told lately, by kind of route."""
    rows_by_tag: dict[int, list[RouteRow]] = {}
    for member in members:
        if member.health is None or now - member.told_at > FADE_SECONDS:
            continue
        for row in member.health.rows:
            rows_by_tag.setdefault(row.tag, []).append(row)
    return {tag: _sum_rows(rows) for tag, rows in rows_by_tag.items()}


def _sum_rows(rows: list[RouteRow]) -> Peers:
    """Add up one kind; the median of times, as some peers may be slow too."""
    times = sorted(row.answer_time for row in rows if row.answer_time)
    answer_time = times[len(times) // 2] if times else 0.0
    return Peers(sum(r.total for r in rows), sum(r.bad for r in rows), answer_time)
