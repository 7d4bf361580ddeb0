"""Log lines and counters of a process that must never block on its log.

If the reader of standard output stopped reading, the pipe would fill, and a blocking
write would halt the daemon with all its flows. Therefore a line that can't be written
at once is dropped and counted, and each event has a rate limit.
"""

from __future__ import annotations

import bisect
import json
import logging
import os
import time
from collections import defaultdict
from typing import Any

__all__ = ["BUCKET_BOUNDS_SECONDS", "Histogram", "Journal"]

LINES_PER_SECOND = 50.0
"""Log lines per second of one event; further ones are only counted."""

BURST_LINES = 200.0
MAX_LINE_BYTES = 4000
"""Bytes of a line. A write of up to 4,096 bytes to a pipe is atomic."""

BUCKET_BOUNDS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the histograms' buckets. They are closest around the time in which
callers expect an answer (0.2 to 0.5 s)."""

MAX_HISTOGRAMS = 256

_logger = logging.getLogger("zinniahook")

_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode
"""Shared by all lines: a new encoder per line doubles the time that a line takes."""

# No line contains these, and collecting them takes a third of a line's time.
logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


class _Budget:
    """The token bucket that limits the lines of one event."""

    __slots__ = ("omitted", "refilled_at", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.refilled_at = now
        self.omitted = 0

    def take(self, now: float) -> bool:
        self.tokens = min(
            BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_SECOND
        )
        self.refilled_at = now
        if self.tokens < 1:
            self.omitted += 1
            return False
        self.tokens -= 1
        return True


class _Writer(logging.Handler):
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        line = record.getMessage().encode()[:MAX_LINE_BYTES] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1


class Histogram:
    """Counts of durations by upper bounds."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


class Journal:
    """The log and the counters of one daemon.

    Parameters
    ----------
    name : str
        Name of the instance; each line contains it.
    descriptor : int
        File descriptor that lines are written to; standard output by default.
    """

    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.counters_by_name: defaultdict[str, int] = defaultdict(int)
        self.omitted = 0
        self.histograms_by_key: dict[tuple[str, tuple], Histogram] = {}
        self._name = name
        self._writer = _Writer(descriptor)
        self._budgets_by_event: dict[str, _Budget] = {}
        _logger.handlers[:] = [self._writer]
        _logger.propagate = False
        _logger.setLevel(logging.INFO)

    @property
    def dropped(self) -> int:
        """Lines that were dropped as they couldn't be written at once."""
        return self._writer.dropped

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters_by_name[name] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = name, tuple(labels.items())
        histogram = self.histograms_by_key.get(key)
        if histogram is None:
            if len(self.histograms_by_key) >= MAX_HISTOGRAMS:
                self.counters_by_name["histograms.refused"] += 1
                return
            histogram = self.histograms_by_key[key] = Histogram()
        histogram.add(seconds)

    def event(self, name: str, **fields: Any) -> None:
        """Count an event, and write a line if its rate limit allows."""
        self.counters_by_name[name] += 1
        now = time.monotonic()
        budget = self._budgets_by_event.get(name)
        if budget is None:
            budget = self._budgets_by_event[name] = _Budget(now)
        if not budget.take(now):
            self.omitted += 1
            return
        line = {"time": round(time.time(), 3), "instance": self._name, "event": name}
        if budget.omitted:
            line["omitted"] = budget.omitted
            budget.omitted = 0
        line.update((key, _loggable(value)) for key, value in fields.items())
        _logger.info(_encode(line))


def _loggable(value: Any) -> Any:
    """Return a value as JSON can represent it; a flow key as its addresses."""
    if isinstance(value, bytes):
        return _format_flow(value) if len(value) == 12 else value.hex()
    return value


def _format_flow(key: bytes) -> str:
    client = ".".join(map(str, key[:4]))
    service = ".".join(map(str, key[6:10]))
    client_port = int.from_bytes(key[4:6], "big")
    service_port = int.from_bytes(key[10:12], "big")
    return f"{client}:{client_port}>{service}:{service_port}"
