"""Charts of latency histograms and of the imbalance over time."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from pathlib import Path
from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from zinniahook_core.codes import Code
from zinniahook_wire.control_pb2 import Histogram

from .answers import Answer
from .contexts import Context
from .fleets import Fleet, read_fleet
from .grammar import CommandError
from .statements import Report
from .tables import Table

if TYPE_CHECKING:
    from matplotlib.axes import Axes

__all__ = ["Sample", "draw", "imbalance", "merge_histograms", "report"]

DEFAULT_DURATION_SECONDS = 10
MAX_DURATION_SECONDS = 3600
SAMPLE_INTERVAL_SECONDS = 1.0
MAX_LATENCY_MICROSECONDS = 86_400 * 1_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1e6


class Sample(NamedTuple):
    """The imbalance of each service, ``moment`` seconds after the start."""

    moment: float
    imbalance_by_service: dict[str, float]


async def report(context: Context, statement: Report) -> Answer:
    """Sample the daemons once a second, then draw the charts."""
    seconds = _seconds(statement)
    started = time.monotonic()
    samples = []
    while True:
        fleet = await read_fleet(context.store, context.daemons, counters=True)
        samples.append(Sample(time.monotonic() - started, imbalance(fleet)))
        if time.monotonic() - started >= seconds:
            break
        await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
    histograms = [
        histogram
        for reply in fleet.survey.answers_by_control.values()
        for histogram in reply.histograms
    ]
    values_by_key = merge_histograms(histograms)
    try:
        draw(Path(statement.file.text), values_by_key, samples)
    except (OSError, ValueError) as error:
        raise CommandError(
            f"can't draw: {error}", Code.SETTINGS_UNREADABLE, statement.file
        ) from None
    return Answer(f"drawn to {statement.file}", _summary(values_by_key))


def imbalance(fleet: Fleet) -> dict[str, float]:
    """Return the maximum over the mean of the targets' busy shares, by service."""
    shares_by_service: dict[str, list[float]] = defaultdict(list)
    for service, member in fleet.agents:
        reply = fleet.reply(member.control)
        if reply is not None and reply.has_load:
            shares_by_service[service].append(reply.busy / max(1, reply.slots))
    return {
        service: max(shares) / fmean(shares) if any(shares) else 1.0
        for service, shares in shares_by_service.items()
    }


def merge_histograms(histograms: list[Histogram]) -> dict[tuple[str, str], object]:
    """Merge the daemons' histograms by service and class."""
    from hdrh.histogram import HdrHistogram

    values_by_key: dict[tuple[str, str], HdrHistogram] = {}
    for item in histograms:
        key = (item.service, item.request_class)
        if key not in values_by_key:
            values_by_key[key] = HdrHistogram(
                1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        values_by_key[key].add(HdrHistogram.decode(item.encoded))
    return values_by_key


def draw(file: Path, values_by_key: dict, samples: list[Sample]) -> None:
    """Draw both charts into an image file.

    Parameters
    ----------
    file : Path
        Output file; its suffix selects the format.
    values_by_key : dict
        Histograms by service and class.
    samples : list of Sample
        The imbalance of each service over time.

    Raises
    ------
    OSError
        If the file can't be written.
    ValueError
        If its suffix is no supported image format.
    """
    # Imported on use, as the import takes longer than most statements.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 8), layout="constrained")
    upper, lower = figure.subplots(2, 1)
    _draw_histograms(upper, values_by_key)
    _draw_imbalance(lower, samples)
    figure.savefig(file)


def _draw_histograms(axes: Axes, values_by_key: dict) -> None:
    for (service, kind), values in sorted(values_by_key.items()):
        items = list(values.get_recorded_iterator())
        if not items:
            continue
        times = [item.value_iterated_to / MICROSECONDS_PER_SECOND for item in items]
        counts = [item.count_added_in_this_iter_step for item in items]
        axes.step(times, counts, where="mid", label=f"{service} {kind}")
    axes.set(title="Times by service and class", xlabel="seconds", ylabel="count")
    axes.set_xscale("log")
    _legend(axes)


def _draw_imbalance(axes: Axes, samples: list[Sample]) -> None:
    services = sorted(
        {name for sample in samples for name in sample.imbalance_by_service}
    )
    for service in services:
        points = [
            (sample.moment, sample.imbalance_by_service[service])
            for sample in samples
            if service in sample.imbalance_by_service
        ]
        axes.plot(*zip(*points, strict=True), label=service)
    axes.set(title="Imbalance of busy slots", xlabel="seconds", ylabel="most over mean")
    # An even load is 1 everywhere; without this margin the axis would be empty.
    axes.set_ylim(bottom=1.0, top=max(1.1, axes.get_ylim()[1]))
    _legend(axes)


def _legend(axes: Axes) -> None:
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize="small")


def _summary(values_by_key: dict) -> Table:
    rows = tuple(
        (
            service,
            kind,
            values.get_total_count(),
            values.get_value_at_percentile(50) / MICROSECONDS_PER_SECOND,
            values.get_value_at_percentile(99) / MICROSECONDS_PER_SECOND,
            values.get_max_value() / MICROSECONDS_PER_SECOND,
        )
        for (service, kind), values in sorted(values_by_key.items())
    )
    return Table(("service", "class", "count", "p50", "p99", "longest"), rows)


def _seconds(statement: Report) -> int:
    if statement.seconds is None:
        return DEFAULT_DURATION_SECONDS
    text = statement.seconds.text
    if not text.isdecimal() or not 0 < int(text) <= MAX_DURATION_SECONDS:
        raise CommandError(
            f"seconds are a whole number from 1 to {MAX_DURATION_SECONDS}",
            word=statement.seconds,
        )
    return int(text)
