"""Slots of a target and its slowdown while cold, learned from answer times.

This handles a target whose heartbeats report more slots than it has, so that requests
queue inside it while others are idle; one that reports too few and is half idle; and
one that warms up slowly or quickly. The agent knows from its own counts how long
answers take at each number of requests in progress. With `c` slots and `n` requests in
progress, an answer takes `max(1, n / c)` times as long as with a single request
(Little's law: the throughput is `c` divided by the time of one request). The `c` that
fits the times best is learned if it fits clearly better than the number in the
heartbeat.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ["Capacity"]

MEMORY_ANSWERS = 400
"""Answers that count at each number of requests in progress: their mean is off by a
fortieth, and one slot more or less changes it by more."""

FADE_SECONDS = 60.0
"""Seconds in which an answer's weight falls to a third."""

MIN_ANSWERS = 20.0
"""Answers required for a mean: the times of one route vary by half of their mean, so
the mean of 20 is off by a tenth."""

MIN_GAIN = 16.0
"""Gain in the sum of squares, in units of the variance, from which a number other than
the reported one is used: four standard deviations, as a fit may follow each answer."""

MAX_RATIO = 4
"""The learned number is at least a quarter of the reported one and at most four times
it: beyond that, the counts are wrong."""

FIT_INTERVAL_SECONDS = 1.0
"""Seconds between two fits, each of which costs as much as a hundred packets."""

MAX_CONCURRENCY = 256
MAX_ROUTES = 256

MAX_COLD_FACTOR = 10.0
"""Factor above which a target isn't cold but failing."""

MIN_VARIANCE = 0.5
"""Minimum variance of the time of single answers, in squares of their mean."""


class Tally:
    """Times of answers relative to unloaded ones; older ones weigh less."""

    __slots__ = ("at", "count", "expected", "seconds", "squares")

    def __init__(self) -> None:
        self.at = float("-inf")
        self.count = 0.0
        self.seconds = 0.0
        self.expected = 0.0
        self.squares = 0.0

    def add(self, now: float, took: float, expected: float) -> None:
        """Count an answer that takes ``expected`` seconds on an idle target."""
        kept = (1 - 1 / MEMORY_ANSWERS) * math.exp(
            min(0.0, self.at - now) / FADE_SECONDS
        )
        self.at = now
        self.count = self.count * kept + 1
        self.seconds = self.seconds * kept + took
        self.expected = self.expected * kept + expected
        self.squares = self.squares * kept + (took / expected) ** 2

    @property
    def ratio(self) -> float:
        """How many times longer answers take than on an idle target."""
        return self.seconds / self.expected

    @property
    def variance(self) -> float:
        """The variance of that ratio for one answer."""
        return max(MIN_VARIANCE, self.squares / self.count - self.ratio**2)

    @property
    def is_known(self) -> bool:
        """Whether enough answers were counted."""
        return self.count >= MIN_ANSWERS


class Sample(NamedTuple):
    """How many times longer answers take with ``concurrency`` requests in progress."""

    concurrency: int
    ratio: float
    weight: float


class Capacity:
    """The measured capacity of a target."""

    def __init__(self) -> None:
        self._unloaded_by_tag: dict[int, Tally] = {}
        self._by_concurrency: dict[int, Tally] = {}
        self._cold = Tally()
        self._reported = 0
        self._learned = 0
        self._fitted_at = float("-inf")

    def renew(self) -> None:
        """Forget a former target's slots, but not how long a request takes unloaded."""
        self._by_concurrency.clear()
        self._learned = 0

    def answered(
        self, now: float, tag: int, took: float, concurrency: int, cold: bool
    ) -> None:
        """Record a good answer, begun with ``concurrency`` requests in progress."""
        if not 0 < concurrency < MAX_CONCURRENCY or took <= 0:
            return
        unloaded = self._unloaded_by_tag.get(tag)
        if unloaded is None:
            if len(self._unloaded_by_tag) >= MAX_ROUTES:
                return
            unloaded = self._unloaded_by_tag[tag] = Tally()
        if cold:
            self._add_cold(now, unloaded, took, concurrency)
            return
        if concurrency == 1:
            unloaded.add(now, took, 1.0)
        if not unloaded.is_known:
            return
        tally = self._by_concurrency.setdefault(concurrency, Tally())
        tally.add(now, took, unloaded.ratio)
        if now - self._fitted_at >= FIT_INTERVAL_SECONDS:
            self._fitted_at = now
            self._learned = 0

    def _add_cold(
        self, now: float, unloaded: Tally, took: float, concurrency: int
    ) -> None:
        if unloaded.is_known:
            queued = max(1.0, concurrency / max(1, self._reported))
            self._cold.add(now, took, unloaded.ratio * queued)

    @property
    def cold(self) -> float | None:
        """How many times longer it takes while it is cold, None if not measured."""
        if not self._cold.is_known:
            return None
        return min(MAX_COLD_FACTOR, max(1.0, self._cold.ratio))

    def slots(self, reported: int) -> int:
        """Return how many requests it works on at once, reported or learned.

        The reported number holds until enough answers were counted, including those to
        a single request in progress.
        """
        if reported != self._reported:
            self._reported = reported
            self._learned = 0
        if not self._learned:
            self._learned = self._fitted(reported)
        return self._learned

    def _fitted(self, reported: int) -> int:
        samples = self._samples()
        if not samples or not 0 < reported < MAX_CONCURRENCY:
            return reported
        lowest, highest = (
            max(1, reported // MAX_RATIO),
            min(MAX_CONCURRENCY, reported * MAX_RATIO),
        )
        errors = {c: _error(samples, c) for c in range(lowest, highest + 1)}
        best = min(errors, key=lambda c: (round(errors[c], 6), c))
        return best if errors[reported] - errors[best] > MIN_GAIN else reported

    def _samples(self) -> list[Sample]:
        """Return the samples that can be compared."""
        first = self._by_concurrency.get(1)
        if first is None or not first.is_known:
            return []
        base_variance = first.variance / first.count
        return [
            _sample(concurrency, tally, first.ratio, base_variance)
            for concurrency, tally in self._by_concurrency.items()
            if concurrency > 1 and tally.is_known
        ]


def _sample(
    concurrency: int, tally: Tally, unloaded: float, base_variance: float
) -> Sample:
    """Compare the times at one concurrency with the unloaded ones.

    ``base_variance`` is the variance of the unloaded mean.
    """
    ratio = tally.ratio / unloaded
    variance = tally.variance / tally.count + base_variance * ratio * ratio
    return Sample(concurrency, ratio, 1 / variance)


def _error(samples: list[Sample], slots: int) -> float:
    """Return the weighted squared error of the times for a number of slots."""
    return sum(
        weight * (ratio - max(1.0, concurrency / slots)) ** 2
        for concurrency, ratio, weight in samples
    )
