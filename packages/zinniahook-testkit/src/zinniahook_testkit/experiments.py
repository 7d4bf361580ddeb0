"""Experiments: a deployment under load with scheduled faults.

All figures come from the records of callers and targets.
"""

from __future__ import annotations

import asyncio
import math
import statistics
import tempfile
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from .checks import Evidence, check, checks_by_rule
from .clusters import Cluster
from .deployments import DEPLOYMENTS_BY_NAME, Deployment, ServicePlan
from .injections import Stage, injections_by_name
from .load import LoadPlan
from .scenarios import Figure, scenario

__all__ = ["ScheduledFault", "measure", "scale_down"]

WARMUP_SECONDS = 5.0
"""Time before the load, as new targets get little work at first."""

RECOVERY_SECONDS = 8.0
"""Minimum time of load after the last fault. A caller gives up a connection after
7 s of silence, and only then is its feed considered cut."""

INJECTION_TIMEOUT_SECONDS = 60.0


class ScheduledFault(NamedTuple):
    """One line of a schedule; ``at`` in seconds from the start of the load."""

    at: float
    fault: str
    arguments: Mapping[str, Any]


@scenario("experiment")
def measure(
    deployment: str,
    faults: Sequence[Sequence[Any]] = (),
    seconds: float = 10.0,
    scale: float = 0.6,
    rate: float = 1.0,
    loads: Sequence[str] = ("feeds", "tickets", "exports"),
    seed: int = 1,
) -> list[Figure]:
    """Run a deployment under load through a schedule of faults.

    Parameters
    ----------
    deployment : str
        ``thies`` or ``nairobi``.
    faults : sequence
        For each fault, its time in seconds, its name and its arguments.
    seconds : float
        Minimum duration of the load.
    scale : float
        Factor on the deployment's numbers of targets and callers and its rates.
    rate : float
        Additional factor on the rates of tickets and exports.
    loads : sequence of str
        The kinds of load to run.
    seed : int
        Seed of load, targets and fabric.

    Raises
    ------
    ValueError
        If a fault is unknown.
    """
    schedule = [ScheduledFault(*item) for item in faults]
    unknown = {item.fault for item in schedule} - injections_by_name.keys()
    if unknown:
        raise ValueError(f"unknown fault {min(unknown)!r}")
    plan = scale_down(DEPLOYMENTS_BY_NAME[deployment], scale, rate, loads)
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(plan, Path(folder), seed, seconds, schedule))


def scale_down(
    deployment: Deployment, scale: float, rate: float, loads: Iterable[str]
) -> Deployment:
    """Return a smaller deployment with the given kinds of load."""
    kinds = set(loads)
    services = tuple(
        service._replace(
            targets=max(2, math.floor(service.targets * scale)),
            loads=tuple(
                _scale_load(load, scale, rate)
                for load in service.loads
                if load["kind"] in kinds
            ),
        )
        for service in deployment.services
    )
    return deployment._replace(services=services)


def _scale_load(load: LoadPlan, scale: float, rate: float) -> LoadPlan:
    scaled: LoadPlan = {**load, "callers": max(2, round(load["callers"] * scale))}
    if "rate" in load:
        scaled["rate"] = load["rate"] * scale * rate
    return scaled


async def _run(
    deployment: Deployment,
    folder: Path,
    seed: int,
    seconds: float,
    schedule: Sequence[ScheduledFault],
) -> list[Figure]:
    async with Cluster(deployment, folder, seed) as cluster:
        await asyncio.sleep(WARMUP_SECONDS)
        loads = [
            await cluster.run_loads([service.name]) for service in deployment.services
        ]
        stage = Stage(cluster)
        await asyncio.gather(
            asyncio.sleep(seconds), *(_inject(stage, item) for item in schedule)
        )
        results = [result for load in loads for result in await load.finish()]
        await stage.end()
        ledgers = [*await cluster.ledgers(), *stage.ledgers_of_killed]
    evidence = Evidence(tuple(ledgers), tuple(results))
    return [
        *_violation_figures(evidence),
        *_stage_figures(stage),
        *_load_figures(evidence, stage),
    ]


async def _inject(stage: Stage, item: ScheduledFault) -> None:
    await asyncio.sleep(item.at)
    async with asyncio.timeout(INJECTION_TIMEOUT_SECONDS):
        await injections_by_name[item.fault](stage, **item.arguments)
    await asyncio.sleep(RECOVERY_SECONDS)


def _violation_figures(evidence: Evidence) -> list[Figure]:
    """Return the number of violations of each invariant, including zeros."""
    found = Counter(violation.rule for violation in check(evidence))
    return [Figure(rule, found[rule], "count") for rule in checks_by_rule]


def _stage_figures(stage: Stage) -> list[Figure]:
    figures = []
    if stage.last_work_by_leaving:
        last = max(stage.last_work_by_leaving.values())
        figures.append(Figure("last new work on a leaving target", last, "s"))
    if stage.seconds_to_in_force:
        slowest = max(stage.seconds_to_in_force)
        figures.append(Figure("slowest change to in force", slowest, "s"))
    if stage.changes_refused or stage.changes_lost:
        figures.append(Figure("racing changes refused", stage.changes_refused, "count"))
        figures.append(Figure("accepted changes lost", stage.changes_lost, "count"))
    return figures


def _load_figures(evidence: Evidence, stage: Stage) -> list[Figure]:
    """Return the figures of the first service, which the faults affect."""
    service = stage.cluster.deployment.services[0]
    records = [
        record for name, record in evidence.records("tickets") if name == service.name
    ]
    outcomes = Counter(record.outcome for record in records)
    counts: Counter[str] = Counter()
    for result in evidence.results:
        counts.update(result["counts"])
    total = max(1, len(records))
    refused = outcomes["not-run"] + outcomes["cancelled-before"]
    unknown = outcomes["unknown"] + outcomes["in-progress"]
    return [
        Figure("tickets", len(records), "count"),
        Figure("feeds", counts["feeds_opened"], "count"),
        Figure("feeds reopened", counts["feeds_reopened"], "count"),
        Figure("attempts cut", counts["cut_attempts"], "count"),
        Figure("refused share", refused / total, "share"),
        Figure("unknown share", unknown / total, "share"),
        *_latencies(evidence, service),
        *_imbalance(evidence, service, stage.affected_targets),
    ]


def _latencies(evidence: Evidence, service: ServicePlan) -> list[Figure]:
    path = next(load["path"] for load in service.loads if load["kind"] == "tickets")
    quantiles = next(
        result["quantiles"]
        for result in evidence.results
        if (result["service"], result["path"]) == (service.name, path)
    )
    return [Figure(f"ticket {q}", quantiles[q], "s") for q in ("p50", "p99", "p100")]


def _imbalance(evidence: Evidence, service: ServicePlan, hit: set[str]) -> list[Figure]:
    """Compare the slot-seconds and feeds of the targets without a fault."""
    ledgers = [
        ledger
        for ledger in evidence.ledgers
        if ledger["service"] == service.name and ledger["target"] not in hit
    ]
    work = [ledger["work"] for ledger in ledgers]
    feeds = [ledger["counts"].get("started_feed", 0) for ledger in ledgers]
    figures = []
    for name, values in (("work", work), ("feeds", feeds)):
        mean = statistics.fmean(values) if values else 0.0
        if mean:
            peak, deviation = max(values) / mean, statistics.pstdev(values) / mean
            figures.append(Figure(f"{name} max/mean", peak, "ratio"))
            figures.append(Figure(f"{name} variation", deviation, "cv"))
    return figures
