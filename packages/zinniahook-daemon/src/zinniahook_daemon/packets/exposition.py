"""Counters, histograms and gauges in the Prometheus text exposition format.

The usual client library takes 50 ms to import and needs a registry of its own, so the
few loops that are needed are written here.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping

from .journal import BUCKET_BOUNDS_SECONDS, Journal

__all__ = ["render"]

PREFIX = "zinniahook"


def render(journal: Journal, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics of a process, one sample a line."""
    lines = [*_counters(journal), *_histograms(journal), *_gauges(gauges)]
    return ("\n".join(lines) + "\n").encode()


def _counters(journal: Journal) -> Iterator[str]:
    yield f"# TYPE {PREFIX}_events counter"
    for name, value in sorted(journal.counters_by_name.items()):
        yield f'{PREFIX}_events_total{{event="{name}"}} {value}'
    yield f"# TYPE {PREFIX}_log_lines_dropped counter"
    yield f"{PREFIX}_log_lines_dropped_total {journal.dropped}"
    yield f"# TYPE {PREFIX}_log_lines_omitted counter"
    yield f"{PREFIX}_log_lines_omitted_total {journal.omitted}"


def _histograms(journal: Journal) -> Iterator[str]:
    for name in sorted({name for name, _ in journal.histograms_by_key}):
        yield f"# TYPE {PREFIX}_{name} histogram"
    for (name, labels), histogram in journal.histograms_by_key.items():
        text = ",".join(f'{key}="{value}"' for key, value in labels)
        counts = itertools.accumulate(histogram.counts)
        for bound, count in zip([*BUCKET_BOUNDS_SECONDS, "+Inf"], counts, strict=True):
            yield f'{PREFIX}_{name}_bucket{{{text},le="{bound}"}} {count}'
        yield f"{PREFIX}_{name}_sum{{{text}}} {histogram.total:.4f}"
        yield f"{PREFIX}_{name}_count{{{text}}} {sum(histogram.counts)}"


def _gauges(gauges: Mapping[str, float]) -> Iterator[str]:
    for name, value in sorted(gauges.items()):
        yield f"# TYPE {PREFIX}_{name} gauge"
        yield f"{PREFIX}_{name} {value}"
