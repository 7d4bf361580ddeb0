"""Invariants, checked against the records of targets and callers.

The system under test is never queried: its state could be consistent although
it has run a ticket twice.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from .loads import LoadResult, Record

__all__ = [
    "Evidence",
    "Summary",
    "Violation",
    "check",
    "checks_by_rule",
    "invariant",
    "summarize",
]

Ledger = Mapping[str, Any]


class Evidence(NamedTuple):
    """The records of a run.

    ``ledgers`` are those of the targets at the end. ``left_by_target`` holds the
    ledgers of leaving targets at the time from which no new work was allowed.
    """

    ledgers: tuple[Ledger, ...]
    results: tuple[LoadResult, ...]
    left_by_target: Mapping[str, Ledger] = {}

    def records(self, *kinds: str) -> Iterable[tuple[str, Record]]:
        """Yield (service, record) of the loads of the given kinds, or of all."""
        for result in self.results:
            if kinds and result["kind"] not in kinds:
                continue
            for fields in result["records"]:
                yield result["service"], Record(*fields)

    def runs_by_ticket(self, field: str = "runs_by_ticket") -> Counter[str]:
        """Return the sum of a ledger field over all targets, by ticket."""
        total: Counter[str] = Counter()
        for ledger in self.ledgers:
            total.update(ledger[field])
        return total


class Violation(NamedTuple):
    """A broken invariant."""

    rule: str
    service: str
    detail: str


Check = Callable[[Evidence], Iterable[tuple[str, str]]]

checks_by_rule: dict[str, Check] = {}


def invariant(rule: str) -> Callable[[Check], Check]:
    """Register a check that yields (service, detail) for each violation."""

    def register(function: Check) -> Check:
        checks_by_rule[rule] = function
        return function

    return register


def check(evidence: Evidence) -> list[Violation]:
    """Return every violation of every invariant."""
    return [
        Violation(rule, service, detail)
        for rule, function in checks_by_rule.items()
        for service, detail in function(evidence)
    ]


@invariant("a non-idempotent request runs at most once")
def _ran_twice(evidence: Evidence) -> Iterable[tuple[str, str]]:
    for ticket, runs in evidence.runs_by_ticket().items():
        if runs > 1:
            yield ticket.rpartition("-")[0], f"{ticket} ran {runs} times"


@invariant("what was told as not run was not run")
def _not_run_but_ran(evidence: Evidence) -> Iterable[tuple[str, str]]:
    runs = evidence.runs_by_ticket()
    for service, record in evidence.records("tickets"):
        told = record.outcome in ("not-run", "cancelled-before")
        if told and runs[record.ticket]:
            yield service, f"{record.ticket}: {record.detail}"


@invariant("what was told as done was finished")
def _done_but_not_run(evidence: Evidence) -> Iterable[tuple[str, str]]:
    finished = evidence.runs_by_ticket("finished_by_ticket")
    for service, record in evidence.records("tickets"):
        if record.outcome == "done" and not finished[record.ticket]:
            yield service, record.ticket


@invariant("a packet reaches only its own service")
def _wrong_service(evidence: Evidence) -> Iterable[tuple[str, str]]:
    for service, record in evidence.records():
        if record.service not in ("", service):
            yield service, f"{record.ticket} was served by {record.service}"


@invariant("a caller receives the whole answer to its own request")
def _not_whole(evidence: Evidence) -> Iterable[tuple[str, str]]:
    for service, record in evidence.records("tickets", "exports"):
        if not record.whole or record.outcome in ("cut", "failed"):
            yield service, f"{record.ticket}: {record.outcome} {record.detail}"


@invariant("an established flow survives")
def _broken_flow(evidence: Evidence) -> Iterable[tuple[str, str]]:
    for service, record in evidence.records("feeds", "flows"):
        if record.outcome == "cut" or not record.whole:
            yield service, f"{record.ticket}: {record.detail}"


@invariant("a leaving target receives no new work")
def _work_after_leaving(evidence: Evidence) -> Iterable[tuple[str, str]]:
    ledgers_by_target = {ledger["target"]: ledger for ledger in evidence.ledgers}
    for target, before in evidence.left_by_target.items():
        after = _started(ledgers_by_target[target])
        for kind, count in after.items():
            more = count - _started(before).get(kind, 0)
            if more:
                yield before["service"], f"{target}: {more} more {kind}"


def _started(ledger: Ledger) -> dict[str, int]:
    return {
        name: count
        for name, count in ledger["counts"].items()
        if name.startswith("started_")
    }


class Summary(NamedTuple):
    """The figures of one service.

    The figures of work (slot-seconds) and streams compare the targets that
    didn't leave: the maximum over the mean, and the coefficient of variation.
    """

    service: str
    flows_opened: int
    broken: int
    run: int
    run_twice: int
    refused: int
    unknown: int
    work_max_to_mean: float
    work_variation: float
    streams_max_to_mean: float
    feeds_reopened: int
    quantiles_by_path: Mapping[str, Mapping[str, float]]


def summarize(evidence: Evidence, service: str) -> Summary:
    """Return the figures of one service."""
    results = [each for each in evidence.results if each["service"] == service]
    counts: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    for result in results:
        counts.update(result["counts"])
        outcomes.update(record[1] for record in result["records"])
    ledgers = [each for each in evidence.ledgers if each["service"] == service]
    runs_by_ticket: Counter[str] = Counter()
    for ledger in ledgers:
        runs_by_ticket.update(ledger["runs_by_ticket"])
    stayed = [each for each in ledgers if each["target"] not in evidence.left_by_target]
    work = [each["work"] for each in stayed]
    streams = [each["counts"].get("started_feed", 0) for each in stayed]
    return Summary(
        service=service,
        flows_opened=counts["flows_opened"],
        broken=outcomes["cut"] + counts["cut_attempts"],
        run=sum(sum(_started(each).values()) for each in ledgers),
        run_twice=sum(runs > 1 for runs in runs_by_ticket.values()),
        refused=outcomes["not-run"] + outcomes["cancelled-before"],
        unknown=outcomes["unknown"] + outcomes["in-progress"],
        work_max_to_mean=_max_to_mean(work),
        work_variation=_variation(work),
        streams_max_to_mean=_max_to_mean(streams),
        feeds_reopened=counts["feeds_reopened"],
        quantiles_by_path={each["path"]: each["quantiles"] for each in results},
    )


def _max_to_mean(values: list[float]) -> float:
    mean = statistics.fmean(values) if values else 0.0
    return max(values) / mean if mean else 0.0


def _variation(values: list[float]) -> float:
    mean = statistics.fmean(values) if values else 0.0
    return statistics.pstdev(values) / mean if mean else 0.0
