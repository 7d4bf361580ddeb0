"""Common parts of all loads: plans, records, open-loop arrivals, the registry.

Calls start at the times of a seeded Poisson process, whether or not earlier calls
have ended. Latency counts from the time when a call was due, so that a slow answer
can't hide the delay of the calls behind it (coordinated omission).
"""

from __future__ import annotations

import abc
import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram
from zinniahook_caller import Http3Adapter, Session, Spread

__all__ = [
    "LONGEST",
    "MICROSECONDS",
    "Load",
    "LoadPlan",
    "LoadResult",
    "Plan",
    "Record",
    "load_kind",
    "loads_by_kind",
]

MICROSECONDS = 1_000_000
LONGEST = 600 * MICROSECONDS
SIGNIFICANT_FIGURES = 3
SPREAD = 2.0


class LoadPlan(TypedDict, total=False):
    """One load: which requests to send to which service, and how often.

    ``rate`` is the calls per second of all ``callers`` together; ``every`` the
    seconds between the events of a feed or the datagrams of a flow; ``size`` the
    bytes of an export; ``spread`` the seconds over which callers reopen the feeds
    of a leaving target, 2 by default.
    """

    kind: str
    service: str
    address: str
    path: str
    callers: int
    rate: float
    every: float
    size: int
    deadline: float
    spread: float


class Plan(TypedDict):
    """The plan of a load process; ``result`` is the file for its records."""

    ca: str
    seed: int
    result: str
    loads: list[LoadPlan]


class Record(NamedTuple):
    """The result of one call, as its caller saw it.

    ``outcome`` is a value of ``OutcomeKind``, or ``cut`` for a feed, flow or
    export that broke. ``seconds`` count from when the call was due.
    """

    ticket: str
    outcome: str
    seconds: float
    attempts: int = 0
    service: str = ""
    target: str = ""
    whole: bool = True
    detail: str = ""


class LoadResult(TypedDict):
    """The records of one load and their summary; quantiles in seconds."""

    kind: str
    service: str
    path: str
    records: list[list[Any]]
    counts: dict[str, int]
    quantiles: dict[str, float]
    histogram: str


class Load(abc.ABC):
    """Callers of one kind.

    Parameters
    ----------
    plan : LoadPlan
        The load to run.
    ca : str
        PEM file of the authority of the services.
    rng : random.Random
        Source of the random arrivals and jitter.
    """

    def __init__(self, plan: LoadPlan, ca: str, rng: random.Random) -> None:
        self.plan = plan
        self.records: list[Record] = []
        self.counts: Counter[str] = Counter()
        self.histogram = HdrHistogram(1, LONGEST, SIGNIFICANT_FIGURES)
        self.stopping = asyncio.Event()
        self._ca = ca
        self._rng = rng
        self._sessions: list[Session] = []

    @abc.abstractmethod
    async def run(self) -> None:
        """Make calls until ``stopping`` is set, then finish the due calls."""

    def result(self) -> LoadResult:
        """Return the records."""
        for session in self._sessions:
            self._count_session(session)
        quantiles = {
            f"p{q:g}": self.histogram.get_value_at_percentile(q) / MICROSECONDS
            for q in (50, 90, 99, 99.9, 100)
        }
        return {
            "kind": self.plan["kind"],
            "service": self.plan["service"],
            "path": self.plan.get("path", ""),
            "records": [list(record) for record in self.records],
            "counts": dict(self.counts),
            "quantiles": quantiles,
            "histogram": self.histogram.encode().decode(),
        }

    def session(self) -> Session:
        """Open a session with the service."""
        plan = self.plan
        session = Session(
            plan["address"],
            ca=self._ca,
            deadline=plan.get("deadline", 10.0),
            spread=Spread(plan.get("spread", SPREAD)),
            rng=random.Random(self._rng.random()),
        )
        self._sessions.append(session)
        return session

    def record(self, record: Record) -> None:
        """Store the record of a call and count its latency."""
        self.records.append(record)
        self.counts[record.outcome] += 1
        micros = int(record.seconds * MICROSECONDS)
        self.histogram.record_value(max(1, min(micros, LONGEST)))

    async def arrivals(self, call: Callable[[int, float], Any]) -> None:
        """Start ``call(number, due)`` at Poisson times until stopped."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        number = 0
        running: set[asyncio.Task[None]] = set()
        while True:
            due += self._rng.expovariate(self.plan["rate"])
            if await self.stopped_within(due - loop.time()):
                break
            number += 1
            task = loop.create_task(call(number, due))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def stopped_within(self, seconds: float) -> bool:
        """Sleep, and return whether the load has been stopped."""
        if seconds <= 0:
            return self.stopping.is_set()
        try:
            await asyncio.wait_for(self.stopping.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Close the sessions."""
        for session in self._sessions:
            await session.close()

    def _count_session(self, session: Session) -> None:
        self.counts["cut_attempts"] += session.cuts
        adapter = session.adapter
        if isinstance(adapter, Http3Adapter):
            self.counts["flows_opened"] += adapter.opened
            self.counts["flows_moved"] += adapter.moves


loads_by_kind: dict[str, type[Load]] = {}


def load_kind(kind: str) -> Callable[[type[Load]], type[Load]]:
    """Register a class as the load of ``kind``."""

    def register(cls: type[Load]) -> type[Load]:
        loads_by_kind[kind] = cls
        return cls

    return register
