"""Run both deployments under load with a fault and planned changes: ``make demo``.

Each deployment has its current size. While feeds, tickets and exports
run, an entry is killed, a target of each service drains and the configuration
changes. The figures come from the records of targets and callers. The exit status
is 1 if an invariant was violated.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import defopt
from zinniahook_core.configuration import Document

from .checks import Evidence, Summary, Violation, check, summarize
from .clusters import Cluster, NotSettledError
from .deployments import DEPLOYMENTS_BY_NAME, Deployment
from .processes import Process

__all__ = ["Report", "main", "run"]

WARMUP_SECONDS = 6.0
"""Time before the load, as new targets get little work at first."""

STEADY_LOAD_SECONDS = 3.0
"""Time of load before the first change."""

CHANGE_INTERVAL_SECONDS = 1.5
"""Time between two changes."""

NO_NEW_WORK_SECONDS = 4.0
"""Time after which a leaving target must receive no new work."""

MAX_IN_FORCE_SECONDS = 5.0
"""Time within which a change must be in force on every daemon."""

QUANTILE_NAMES = ("p50", "p99", "p100")

MAX_LOG_CHARACTERS = 2000
"""Length of the end of the log that is shown after a failure."""


class Report(NamedTuple):
    """The results of one deployment's run."""

    summaries: tuple[Summary, ...]
    violations: tuple[Violation, ...]
    generation: int
    in_force: float
    seconds: float


async def run(deployment: Deployment, folder: Path, seed: int) -> Report:
    """Run one deployment with its fault and changes.

    Parameters
    ----------
    deployment : Deployment
        The deployment to run.
    folder : Path
        An empty folder for certificates, settings and records.
    seed : int
        Seed of load and faults.
    """
    began = time.monotonic()
    async with Cluster(deployment, folder, seed) as cluster:
        await asyncio.sleep(WARMUP_SECONDS)
        loads = [
            await cluster.run_loads([service.name]) for service in deployment.services
        ]
        await asyncio.sleep(STEADY_LOAD_SECONDS)
        await cluster.kill_entry("entry-1")
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
        leaving = [f"{service.name}-1" for service in deployment.services]
        agents = [cluster.drain_agent(name) for name in leaving]
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
        changed_at = time.monotonic()
        generation = await cluster.change(_longer_queues)
        await cluster.wait_for_generation(generation)
        in_force = time.monotonic() - changed_at
        await asyncio.sleep(
            max(0.0, NO_NEW_WORK_SECONDS - CHANGE_INTERVAL_SECONDS - in_force)
        )
        left = {name: await cluster.ledger(name) for name in leaving}
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
        # Feeds still run at other targets; no load may delay a leaving target.
        staying = await _still_running(cluster, dict(zip(leaving, agents, strict=True)))
        results = [result for load in loads for result in await load.finish()]
        ledgers = await cluster.ledgers()
    evidence = Evidence(tuple(ledgers), tuple(results), left)
    violations = check(evidence)
    violations += [
        Violation("a drained target ends", name, "still running") for name in staying
    ]
    if in_force > MAX_IN_FORCE_SECONDS:
        detail = f"generation {generation} took {in_force:.1f} s"
        violations.append(
            Violation("an accepted configuration is in force soon", "all", detail)
        )
    return Report(
        tuple(summarize(evidence, service.name) for service in deployment.services),
        tuple(violations),
        generation,
        in_force,
        time.monotonic() - began,
    )


async def _still_running(cluster: Cluster, agents: dict[str, Process]) -> list[str]:
    """Return the names of the drained agents that don't end in time."""

    async def ended() -> bool:
        return not any(agent.running for agent in agents.values())

    with contextlib.suppress(NotSettledError):
        await cluster.until(ended, "the drained agents have ended")
    return [name for name, agent in agents.items() if agent.running]


def main(*deployments: str, seed: int = 1) -> None:
    """Run the demonstration.

    Parameters
    ----------
    *deployments : str
        Names of the deployments to run; all of them if none is named.
    seed : int
        Seed of load and faults.
    """
    broken = False
    for name in deployments or DEPLOYMENTS_BY_NAME:
        deployment = DEPLOYMENTS_BY_NAME[name]
        print(f"{name}: {_sizes(deployment)}", flush=True)
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "daemons.log"
            with _standard_error_to(log):
                report = asyncio.run(run(deployment, Path(folder), seed))
            _print(report)
            _print_errors(log)
        broken = broken or bool(report.violations)
    sys.exit(1 if broken else 0)


@contextlib.contextmanager
def _standard_error_to(log: Path) -> Iterator[None]:
    """Redirect the standard error of this process and its children to a file.

    The daemons' many log lines would hide the figures.
    """
    kept = os.dup(sys.stderr.fileno())
    with log.open("wb") as file:
        os.dup2(file.fileno(), sys.stderr.fileno())
    try:
        yield
    except BaseException:
        os.write(kept, log.read_bytes()[-MAX_LOG_CHARACTERS:])
        raise
    finally:
        os.dup2(kept, sys.stderr.fileno())
        os.close(kept)


def _print_errors(log: Path) -> None:
    lines = log.read_text(errors="replace").splitlines()
    errors = [line for line in lines if '"level": "error"' in line]
    if errors:
        print(f"  the daemons logged {len(errors)} errors, such as")
        print(f"    {errors[-1][-MAX_LOG_CHARACTERS:]}")


def _longer_queues(document: Document) -> Document:
    """Return the document with the queue limit of every class doubled."""
    services = {
        name: service._replace(
            classes_by_name={
                key: each._replace(queue=each.queue * 2)
                for key, each in service.classes_by_name.items()
            }
        )
        for name, service in document.services_by_name.items()
    }
    return document._replace(services_by_name=services)


def _sizes(deployment: Deployment) -> str:
    services = ", ".join(
        f"{service.name} {service.targets} x {service.slots} slots"
        for service in deployment.services
    )
    return f"{deployment.entries} entries, {services}"


def _streams(summary: Summary) -> str:
    if not summary.streams_max_to_mean:
        return ""
    return (
        f"; streams: max/mean {summary.streams_max_to_mean:.2f},"
        f" {summary.feeds_reopened} opened anew elsewhere"
    )


def _print(report: Report) -> None:
    for summary in report.summaries:
        print(
            f"  {summary.service}: flows opened {summary.flows_opened},"
            f" broken {summary.broken}, requests run {summary.run},"
            f" run twice {summary.run_twice}, refused {summary.refused},"
            f" unknown {summary.unknown}"
        )
        print(
            f"    work: max/mean {summary.work_max_to_mean:.2f},"
            f" variation {summary.work_variation:.2f}{_streams(summary)}"
        )
        for path, quantiles in summary.quantiles_by_path.items():
            figures = " ".join(f"{q} {quantiles[q] * 1000:.1f}" for q in QUANTILE_NAMES)
            print(f"    {path}: latency in ms {figures}")
    print(
        f"  generation {report.generation} in force everywhere after"
        f" {report.in_force:.2f} s; whole run {report.seconds:.1f} s"
    )
    for violation in report.violations:
        print(f"  BROKEN {violation.rule}: {violation.service}: {violation.detail}")
    if not report.violations:
        print("  every invariant held", flush=True)


if __name__ == "__main__":
    defopt.run(main)
