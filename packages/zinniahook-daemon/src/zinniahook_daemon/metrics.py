"""Counters, timings and histograms of a daemon.

All values are kept in memory, from which the Status call reads them. If a statsd
address is set, the differences are sent to it once a second in a few datagrams.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from .settings import MetricsSettings

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

__all__ = ["Histogram", "HistogramKey", "Metrics"]

MAX_TIME_MICROSECONDS = 86_400 * 1_000_000
"""Longest time that a histogram distinguishes: one day."""

SIGNIFICANT_DIGITS = 2
"""Significant digits of a histogram, which takes 26 KB of memory with 2 digits."""

MAX_UNSENT_TIMINGS = 50
"""Maximum number of single timings sent to statsd per histogram and flush."""


class HistogramKey(NamedTuple):
    """The service and the kind of time that a histogram measures.

    ``kind`` is for example a request class.
    """

    service: str
    kind: str


class Histogram:
    """An HDR histogram of times in microseconds."""

    def __init__(self) -> None:
        # Imported with the first histogram, as an entry may have none.
        from hdrh.histogram import HdrHistogram

        self.values: HdrHistogram = HdrHistogram(
            1, MAX_TIME_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self.unsent: list[float] = []

    def record(self, seconds: float) -> None:
        """Record a time in seconds."""
        self.values.record_value(
            max(1, min(MAX_TIME_MICROSECONDS, round(seconds * 1e6)))
        )
        if len(self.unsent) < MAX_UNSENT_TIMINGS:
            self.unsent.append(seconds)

    def encode(self) -> bytes:
        """Return the HDR histogram in its standard compressed form."""
        return self.values.encode()


class Metrics:
    """The counters and histograms of a daemon.

    Parameters
    ----------
    settings : MetricsSettings
        Address and prefix for statsd.
    name : str
        Name of the instance; it is part of each name sent to statsd.
    """

    def __init__(self, settings: MetricsSettings, name: str) -> None:
        self.counters_by_name: defaultdict[str, int] = defaultdict(int)
        self.histograms_by_key: dict[HistogramKey, Histogram] = {}
        self._sent_by_name: dict[str, int] = {}
        self._client = None
        if settings.statsd is not None:
            from statsd import StatsClient

            prefix = f"{settings.prefix}.{name}" if settings.prefix else name
            ipv6 = ":" in settings.statsd.host
            self._client = StatsClient(*settings.statsd, prefix=prefix, ipv6=ipv6)

    def count(self, name: str, amount: int = 1, **tags: object) -> None:
        """Add to a counter; the values of the tags are appended to its name."""
        if tags:
            name = ".".join((name, *map(str, tags.values())))
        self.counters_by_name[name] += amount

    def histogram(self, service: str, kind: str) -> Histogram:
        """Return the histogram of a service and kind, creating it if needed."""
        key = HistogramKey(service, kind)
        found = self.histograms_by_key.get(key)
        if found is None:
            found = self.histograms_by_key[key] = Histogram()
        return found

    def flush(self) -> None:
        """Send the differences since the last flush to statsd, if it is set."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, total in self.counters_by_name.items():
                if added := total - self._sent_by_name.get(name, 0):
                    pipeline.incr(name, added)
                    self._sent_by_name[name] = total
            for key, histogram in self.histograms_by_key.items():
                for seconds in histogram.unsent:
                    pipeline.timing(f"{key.service}.{key.kind}", seconds * 1000)
                histogram.unsent.clear()
