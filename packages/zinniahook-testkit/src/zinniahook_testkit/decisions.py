"""Scenarios of placement, overload and requests that run at most once."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from . import atmostonce, imbalance, overload
from .imbalance import SIZES, Imbalance, Reports
from .scenarios import Figure, scenario

__all__ = ["measure_at_most_once", "measure_imbalance", "measure_overload"]

HASHING = "hashing"
OURS = "placement"


@scenario("imbalance")
def measure_imbalance(
    seconds_by_size: Mapping[str, float], policies: Sequence[str], seed: int = 1
) -> list[Figure]:
    """Compare placement with the baselines for several sizes and kinds of report.

    Ratios compare the coefficients of variation of busy slots over the targets.
    They use each target's mean over ten seconds, or values at instants where the
    name says so.
    """
    figures = []
    for size in SIZES:
        if size.name not in seconds_by_size:
            continue
        seconds = seconds_by_size[size.name]
        runs_by_reports = {
            reports: {
                policy: imbalance.measure(size, policy, reports, seed, seconds)
                for policy in policies
            }
            for reports in (Reports.FRESH, Reports.STALE, Reports.LYING)
        }
        figures += _of_size(size.name, runs_by_reports)
    return figures


def _of_size(
    size: str, runs_by_reports: dict[Reports, dict[str, Imbalance]]
) -> list[Figure]:
    figures = []
    for reports, runs in runs_by_reports.items():
        ours = runs[OURS]
        for policy, run in runs.items():
            name = f"{size} {reports.value} {policy}"
            figures.append(Figure(f"{name} deviation", run.window_deviation, "cv"))
            figures.append(Figure(f"{name} peak", run.window_peak, "max/mean"))
            figures.append(Figure(f"{name} instant deviation", run.deviation, "cv"))
        plain = runs[HASHING]
        ratio = ours.window_deviation / plain.window_deviation
        figures.append(Figure(f"{size} {reports.value} to hashing", ratio, "ratio"))
        instant = ours.deviation / plain.deviation
        figures.append(
            Figure(f"{size} {reports.value} instant to hashing", instant, "ratio")
        )
    fresh = runs_by_reports[Reports.FRESH][OURS]
    lying = runs_by_reports[Reports.LYING][OURS]
    figures.append(
        Figure(
            f"{size} lying to fresh",
            lying.window_deviation / fresh.window_deviation,
            "ratio",
        )
    )
    return figures


@scenario("overload")
def measure_overload(**parameters: float) -> list[Figure]:
    """Measure goodput under overload and the time to recover from it."""
    result = overload.measure(**parameters)
    return [
        Figure("goodput kept", result.core.kept, "ratio"),
        Figure("recovery", result.core.recovery, "s"),
        Figure("goodput kept, unbounded queue", result.baseline.kept, "ratio"),
        Figure("recovery, unbounded queue", result.baseline.recovery, "s"),
    ]


@scenario("at-most-once")
def measure_at_most_once(
    requests: int, agents: int, rate: float, seeds: Sequence[int]
) -> list[Figure]:
    """Count repeated and falsely refused requests under faults, over all seeds."""
    results = [atmostonce.measure(requests, agents, rate, seed) for seed in seeds]

    def total(name: str) -> int:
        return sum(getattr(result, name) for result in results)

    names = (
        "requests",
        "doubled",
        "falsely_refused",
        "open",
        "refusals",
        "crashes",
        "pauses",
        "leaves",
    )
    figures = [Figure(name.replace("_", " "), total(name), "count") for name in names]
    share = total("unknown") / total("requests")
    return [*figures, Figure("unknown share", share, "share")]
