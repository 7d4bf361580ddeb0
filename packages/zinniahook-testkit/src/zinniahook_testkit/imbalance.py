"""Imbalance across targets: placement compared with the baselines.

A seeded event model of one service's targets, which drives real ``Placement``
objects and passes them their peers' counts as a network would. Flows open and
close and send requests at uneven rates; a target runs as many requests as it has
slots and queues the others. Routing, membership and transport are not modelled.
"""

from __future__ import annotations

import enum
import heapq
import math
import random
import statistics
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from zinniahook_core.events import TargetReported
from zinniahook_core.heartbeats import interval_for
from zinniahook_core.messages import Heartbeat
from zinniahook_core.models import Address, AgentState, Load, Member, Roster
from zinniahook_core.placement import Placement
from zinniahook_core.rendezvous import best

from .baselines import BASELINES_BY_NAME, Baseline

__all__ = [
    "POLICIES",
    "SIZES",
    "Imbalance",
    "Reports",
    "Size",
    "compare",
    "measure",
]


class Size(NamedTuple):
    """Targets of one service; ``seconds`` is the mean run time of a request."""

    name: str
    targets: int
    slots: int
    seconds: float


SIZES = (
    Size("tally", 7, 4, 0.4),
    Size("ledger", 3, 4, 8.0),
    Size("loan", 7, 3, 0.4),
    Size("catalogue", 4, 3, 8.0),
    Size("large", 64, 4, 2.0),
)


class Reports(enum.StrEnum):
    """The accuracy of the targets' reports.

    With STALE, the targets' own reports are five seconds old; with SPARSE, the
    agents also send heartbeats only every five seconds. With LYING, a third of
    the targets claims to be idle and healthy, and another third claims to be
    unhealthy. FAILING is LYING, and the first target also fails FAILING_SHARE of
    its requests at once while it claims to be healthy.
    """

    FRESH = "fresh"
    STALE = "stale"
    SPARSE = "sparse"
    LYING = "lying"
    FAILING = "failing"


class Imbalance(NamedTuple):
    """The figures of one run.

    ``deviation`` is the coefficient of variation of busy slots over targets and
    ``peak`` the busiest target over the mean, both averaged over instants.
    ``window_deviation`` and ``window_peak`` are the same for each target's mean
    over WINDOW_SECONDS. ``flow_deviation`` is the coefficient of variation of open
    flows at instants. ``waiting`` is the mean time in queue in seconds, ``moved``
    the share of requests that ran at another target than their flow's, ``failed``
    the share that a failing target failed.
    """

    size: str
    policy: str
    reports: Reports
    deviation: float
    peak: float
    window_deviation: float
    window_peak: float
    flow_deviation: float
    waiting: float
    moved: float
    failed: float


UTILIZATION = 0.7
FLOWS_PER_TARGET = 200
MEAN_FLOW_SECONDS = 60.0
RATE_SPREAD = 1.0
LATENCY_SECONDS = 0.001
WARMUP_SECONDS = 60.0
SAMPLE_INTERVAL_SECONDS = 0.25
WINDOW_SECONDS = 10.0
REPORT_INTERVAL_SECONDS = 1.0
STALE_REPORT_SECONDS = 5.0
FAILING_SHARE = 0.8
FAILED_REQUEST_SECONDS = 0.01
IDEAL = "ideal"
"""Lower bound: each request goes to the least loaded target, known without delay."""
POLICIES = (*BASELINES_BY_NAME, "placement-flows", "placement", IDEAL)


@dataclass(slots=True)
class Target:
    """A target and its agent."""

    name: str
    slots: int
    placement: Placement | None
    busy: int = 0
    flows: int = 0
    sequence: int = 0
    queue: deque[tuple[float, float]] = field(default_factory=deque)
    reports: deque[tuple[float, Load]] = field(default_factory=deque)
    samples: list[int] = field(default_factory=list)
    flow_samples: list[int] = field(default_factory=list)
    fails: bool = False

    def filled(self) -> float:
        """Return the running and queued requests per slot."""
        return (self.busy + len(self.queue)) / self.slots

    def load(self) -> Load:
        """Return the current load."""
        return Load(self.slots, self.busy, len(self.queue), self.flows, 0)


class Model:
    """One run of one policy."""

    def __init__(self, size: Size, policy: str, reports: Reports, seed: int) -> None:
        self._size = size
        self._reports = reports
        self._rng = random.Random(f"{seed} {size.name}")
        self._now = 0.0
        self._order = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        names = [f"{size.name}-{number}" for number in range(size.targets)]
        self._baseline: Baseline | None = None
        if policy in BASELINES_BY_NAME or policy == IDEAL:
            chooser = random.Random(f"{seed} {policy}")
            name = "random" if policy == IDEAL else policy
            self._baseline = BASELINES_BY_NAME[name](names, chooser)
        self._moves_requests = policy == "placement"
        self._ideal = policy == IDEAL
        self._ties = random.Random(f"{seed} ties")
        self._targets_by_name = {
            name: Target(name, size.slots, self._placement(name, seed))
            for name in names
        }
        self._names = names
        self._reports_by_name: dict[str, Load] = {}
        self._rate = self._mean_rate()
        self.waits: list[float] = []
        self.moved = 0
        self.failed = 0
        self.requests = 0

    def run(self, seconds: float) -> list[Target]:
        """Run the model and return the targets with their samples."""
        self._start()
        until = WARMUP_SECONDS + seconds
        while self._events and self._events[0][0] <= until:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return list(self._targets_by_name.values())

    def _placement(self, name: str, seed: int) -> Placement | None:
        if self._baseline is not None:
            return None
        return Placement(name, random.Random(f"{seed} {name}"))

    def _mean_rate(self) -> float:
        size = self._size
        served = UTILIZATION * size.slots / size.seconds
        return served / FLOWS_PER_TARGET / math.exp(RATE_SPREAD**2 / 2)

    def _start(self) -> None:
        first = self._targets_by_name[self._names[0]]
        first.fails = self._reports is Reports.FAILING
        members = {
            name: Member(
                name,
                Address("127.0.0.1", 1),
                Address("127.0.0.1", 1),
                Address("127.0.0.1", 1),
                "thies-1",
                1,
                AgentState.READY,
                self._size.slots,
            )
            for name in self._names
        }
        roster = Roster(self._size.name, 1, members)
        for target in self._targets_by_name.values():
            if target.placement is not None:
                target.placement.roster(0.0, roster)
                self._after(
                    self._period() * self._rng.random(), self._send_heartbeat, target
                )
            self._after(0.0, self._report, target)
        for _ in range(FLOWS_PER_TARGET * len(self._names)):
            self._after(WARMUP_SECONDS / 4 * self._rng.random(), self._open)
        self._after(WARMUP_SECONDS, self._sample)

    def _after(self, delay: float, action: Callable[..., None], *arguments) -> None:
        self._order += 1
        item = (self._now + delay, self._order, action, arguments)
        heapq.heappush(self._events, item)

    def _period(self) -> float:
        if self._reports is Reports.SPARSE:
            return STALE_REPORT_SECONDS
        return interval_for(self._size.targets - 1)

    # Flows

    def _open(self) -> None:
        flow = self._rng.randbytes(8)
        life = self._rng.expovariate(1 / MEAN_FLOW_SECONDS)
        rate = self._rate * self._rng.lognormvariate(0.0, RATE_SPREAD)
        ends = self._now + life
        target = self._owner(flow)
        target.flows += 1
        self._after(life, self._close, target)
        self._after(self._rng.expovariate(rate), self._request, target, rate, ends)

    def _owner(self, flow: bytes) -> Target:
        if self._baseline is not None:
            name = self._baseline.choose(flow, self._reports_by_name)
            return self._targets_by_name[name]
        home = self._targets_by_name[best(flow, self._names)]
        peer = home.placement.choose_for_flow(self._now, home.load())
        if peer is None:
            return home
        home.placement.handed(self._now, peer, slots=0, flows=1)
        return self._targets_by_name[peer]

    def _close(self, target: Target) -> None:
        target.flows -= 1
        self._open()

    # Requests

    def _request(self, target: Target, rate: float, ends: float) -> None:
        if self._now >= ends:
            return
        self._after(self._rng.expovariate(rate), self._request, target, rate, ends)
        seconds = self._rng.expovariate(1 / self._size.seconds)
        self.requests += 1
        if self._ideal:
            self._arrive(self._least_filled(), seconds)
            return
        peer = None
        if self._moves_requests:
            load = target.load()
            peer = target.placement.choose_for_request(self._now, 1, load)
        if peer is None:
            self._arrive(target, seconds)
            return
        self.moved += 1
        target.placement.handed(self._now, peer)
        self._after(LATENCY_SECONDS, self._arrive, self._targets_by_name[peer], seconds)

    def _least_filled(self) -> Target:
        targets = list(self._targets_by_name.values())
        # A separate generator keeps the callers the same for every policy.
        self._ties.shuffle(targets)
        return min(targets, key=Target.filled)

    def _arrive(self, target: Target, seconds: float) -> None:
        if target.busy >= target.slots:
            target.queue.append((self._now, seconds))
            return
        self._run(target, self._now, seconds)

    def _run(self, target: Target, arrived: float, seconds: float) -> None:
        target.busy += 1
        if self._now >= WARMUP_SECONDS:
            self.waits.append(self._now - arrived)
        fails = target.fails and self._rng.random() < FAILING_SHARE
        self.failed += fails
        self._after(
            FAILED_REQUEST_SECONDS if fails else seconds, self._finish, target, fails
        )

    def _finish(self, target: Target, failed: bool) -> None:
        target.busy -= 1
        if target.placement is not None:
            target.placement.health.finished(self._now, failed)
        if target.queue:
            self._run(target, *target.queue.popleft())

    # Reports

    def _send_heartbeat(self, target: Target) -> None:
        self._after(self._period(), self._send_heartbeat, target)
        target.sequence += 1
        load = target.placement.reported(self._now, target.load())
        heartbeat = Heartbeat(1, target.sequence, 1, load)
        for peer in self._targets_by_name.values():
            if peer is not target:
                self._after(
                    LATENCY_SECONDS,
                    peer.placement.heartbeat,
                    self._now,
                    target.name,
                    heartbeat,
                )

    def _report(self, target: Target) -> None:
        self._after(REPORT_INTERVAL_SECONDS, self._report, target)
        load, healthy = target.load(), True
        if self._reports in (Reports.LYING, Reports.FAILING):
            number = self._names.index(target.name)
            load = load._replace(busy=0, queued=0) if number % 3 == 0 else load
            healthy = number % 3 != 1
        stale = self._reports in (Reports.STALE, Reports.SPARSE)
        lag = STALE_REPORT_SECONDS if stale else 0.0
        target.reports.append((self._now, load))
        while target.reports[0][0] <= self._now - lag:
            _, self._reports_by_name[target.name] = target.reports.popleft()
            if not target.reports:
                break
        if target.placement is not None:
            report = TargetReported(healthy, load)
            target.placement.health.reported(self._now, report)

    def _sample(self) -> None:
        self._after(SAMPLE_INTERVAL_SECONDS, self._sample)
        for target in self._targets_by_name.values():
            target.samples.append(target.busy)
            target.flow_samples.append(target.flows)


def measure(
    size: Size, policy: str, reports: Reports, seed: int = 1, seconds: float = 120.0
) -> Imbalance:
    """Run one policy at one size.

    Parameters
    ----------
    size : Size
        The targets and their request times.
    policy : str
        One of POLICIES: a baseline, ``placement-flows`` (openings only) or
        ``placement`` (openings and requests).
    reports : Reports
        The accuracy of the targets' reports.
    seed : int
        The same seed gives the same callers for every policy and the same result.
    seconds : float
        Modelled time after the warm-up.

    Returns
    -------
    Imbalance
        The figures of this run.
    """
    model = Model(size, policy, reports, seed)
    targets = model.run(seconds)
    samples = [target.samples for target in targets]
    windows = [list(_windows(series)) for series in samples]
    return Imbalance(
        size.name,
        policy,
        reports,
        *_spread(samples),
        *_spread(windows),
        _spread([target.flow_samples for target in targets])[0],
        statistics.fmean(model.waits),
        model.moved / model.requests,
        model.failed / model.requests,
    )


def _windows(samples: list[int]) -> Iterable[float]:
    length = round(WINDOW_SECONDS / SAMPLE_INTERVAL_SECONDS)
    for start in range(0, len(samples) - length + 1, length):
        yield statistics.fmean(samples[start : start + length])


def _spread(series: list[list[float]]) -> tuple[float, float]:
    """Return the coefficient of variation and the peak, each averaged over time."""
    rows = [row for row in zip(*series, strict=True) if sum(row)]
    deviation = statistics.fmean(_deviation(row) for row in rows)
    peak = statistics.fmean(max(row) / statistics.fmean(row) for row in rows)
    return deviation, peak


def _deviation(values: Iterable[float]) -> float:
    values = list(values)
    return statistics.pstdev(values) / statistics.fmean(values)


def compare(
    sizes: Iterable[Size] = SIZES,
    policies: Iterable[str] = POLICIES,
    reports: Iterable[Reports] = tuple(Reports),
    seed: int = 1,
    seconds: float = 120.0,
) -> list[Imbalance]:
    """Measure every combination, in the order of the arguments."""
    policies, reports = tuple(policies), tuple(reports)
    return [
        measure(size, policy, kind, seed, seconds)
        for size in sizes
        for kind in reports
        for policy in policies
    ]
