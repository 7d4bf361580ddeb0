"""Faults that an experiment injects into a running cluster, by name.

Each is an `Injection`: a coroutine function that takes the `Stage` and the
arguments from the schedule. It returns when the fault is over, or at once if the
fault is permanent.
"""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from grpclib.exceptions import GRPCError, StreamTerminatedError
from zinniahook_core.configuration import Document
from zinniahook_store import configurations
from zinniahook_store.configurations import Committed
from zinniahook_wire import documents

from .clusters import Cluster
from .stores import StoreProcess

__all__ = ["Injection", "Stage", "injection", "injections_by_name"]

WATCH_INTERVAL_SECONDS = 0.1


class Stage:
    """A cluster under load, and the records of the injections.

    Parameters
    ----------
    cluster : Cluster
        The running cluster.

    Attributes
    ----------
    hit : set of str
        Targets whose figures a fault distorts.
    ledgers_of_killed : list of dict
        Final ledgers of killed targets.
    last_work_by_leaving : dict of str to float
        Seconds from the drain of a target to the last work that it started.
    seconds_to_in_force : list of float
        For each change of the configuration, the time until it was in force.
    changes_refused, changes_lost : int
        Concurrent changes that were refused, and accepted changes that aren't
        stored afterwards.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.affected_targets: set[str] = set()
        self.ledgers_of_killed: list[dict[str, Any]] = []
        self.last_work_by_leaving: dict[str, float] = {}
        self.seconds_to_in_force: list[float] = []
        self.changes_refused = 0
        self.changes_lost = 0
        self._watchers: list[asyncio.Task[None]] = []

    def name(self, service: str, number: int) -> str:
        """Return the name of a target, by default of the first service."""
        return f"{service or self.cluster.deployment.services[0].name}-{number}"

    def watch_leaving(self, target: str) -> None:
        """Start to record when a leaving target last started work."""
        self.affected_targets.add(target)
        self._watchers.append(asyncio.create_task(self._watch(target)))

    async def set_store_faults(self, **fields: Any) -> None:
        """Change the store's faults."""
        store = StoreProcess(self.cluster.store_process)
        await asyncio.to_thread(store.set_faults, **fields)

    async def end(self) -> None:
        """Stop to watch the leaving targets."""
        for watcher in self._watchers:
            watcher.cancel()
        results = await asyncio.gather(*self._watchers, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise RuntimeError(f"a target could not be watched: {result}")

    async def _watch(self, target: str) -> None:
        left_at = time.monotonic()
        self.last_work_by_leaving[target] = 0.0
        started = None
        while True:
            ledger = await self.cluster.ledger(target)
            count = _started(ledger)
            if started is not None and count > started:
                self.last_work_by_leaving[target] = time.monotonic() - left_at
            started = count
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)


Injection = Callable[..., Awaitable[None]]

injections_by_name: dict[str, Injection] = {}


def injection(name: str) -> Callable[[Injection], Injection]:
    """Register a fault under a name."""

    def register(function: Injection) -> Injection:
        injections_by_name[name] = function
        return function

    return register


# Entries and agents


@injection("entry-killed")
async def _kill_entry(stage: Stage, number: int = 1) -> None:
    await stage.cluster.kill_entry(f"entry-{number}")


@injection("entry-joins")
async def _join_entry(stage: Stage, number: int = 0) -> None:
    number = number or stage.cluster.deployment.entries + 1
    await stage.cluster.start_entry(f"entry-{number}")


@injection("agent-killed")
async def _kill_agent(
    stage: Stage, service: str = "", number: int = 1, back: float = 0.0
) -> None:
    """Kill an agent; restart it after ``back`` seconds, or never if 0."""
    name = stage.name(service, number)
    stage.affected_targets.add(name)
    await asyncio.to_thread(stage.cluster.agents_by_name.pop(name).kill)
    if back:
        await asyncio.sleep(back)
        await stage.cluster.start_agent(name)


@injection("agent-paused")
async def _pause_agent(
    stage: Stage, service: str = "", number: int = 1, seconds: float = 5.0
) -> None:
    name = stage.name(service, number)
    stage.affected_targets.add(name)
    process = stage.cluster.agents_by_name[name]
    process.pause()
    await asyncio.sleep(seconds)
    process.resume()


@injection("agents-restarted")
async def _restart_agents(stage: Stage, service: str = "") -> None:
    cluster = stage.cluster
    prefix = stage.name(service, 0).rpartition("-")[0]
    names = [name for name in cluster.agents_by_name if name.startswith(prefix)]
    for name in names:
        process = cluster.drain_agent(name)
        await asyncio.to_thread(process.wait, 30.0)
        await cluster.start_agent(name)
        await cluster.settle()


# Targets


@injection("target-drains")
async def _drain_target(stage: Stage, service: str = "", number: int = 1) -> None:
    name = stage.name(service, number)
    stage.watch_leaving(name)
    stage.cluster.drain_agent(name)


@injection("target-killed")
async def _kill_target(stage: Stage, service: str = "", number: int = 1) -> None:
    name = stage.name(service, number)
    stage.affected_targets.add(name)
    stage.ledgers_of_killed.append(await stage.cluster.kill_target(name))


@injection("target-behaves")
async def _change_target(
    stage: Stage,
    service: str = "",
    number: int = 1,
    seconds: float = 4.0,
    **behaviour: Any,
) -> None:
    """Change a target's behaviour, such as its speed or shedding, for a while."""
    name = stage.name(service, number)
    stage.affected_targets.add(name)
    await stage.cluster.control_target(name, **behaviour)
    await asyncio.sleep(seconds)
    usual = {"slowness": 1.0, "shed_share": 0.0, "health": "honest", "load": "honest"}
    await stage.cluster.control_target(name, **usual)


# Configuration and store


@injection("configuration-changed")
async def _change_configuration(stage: Stage, times: int = 2) -> None:
    for _ in range(times):
        began = time.monotonic()
        generation = await stage.cluster.change(_longer_queues)
        await _wait_for_generation(stage, generation)
        stage.seconds_to_in_force.append(time.monotonic() - began)


async def _wait_for_generation(stage: Stage, generation: int) -> None:
    while True:
        try:
            await stage.cluster.wait_for_generation(generation)
            return
        except (OSError, GRPCError, StreamTerminatedError):
            # Another fault has just killed a queried daemon.
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)


@injection("operators-race")
async def _race(stage: Stage, operators: int = 4, rounds: int = 3) -> None:
    for number in range(rounds):
        await _race_once(stage, [f"{number}-{one}" for one in range(operators)])


async def _race_once(stage: Stage, marks: Iterable[str]) -> None:
    store = stage.cluster.store
    base = await configurations.read(store)
    outcomes = await asyncio.gather(
        *(
            configurations.commit(
                store,
                base,
                _change_drain(base.document, f"raced-{mark}"),
                mark,
                configurations.new_operation(),
            )
            for mark in marks
        )
    )
    accepted = [each for each in outcomes if isinstance(each, Committed)]
    stage.changes_refused += len(outcomes) - len(accepted)
    stored = await configurations.read(store)
    # All changes have the same base: of two accepted ones, one is lost.
    stage.changes_lost += sum(each.generation != stored.generation for each in accepted)
    await _wait_for_generation(stage, stored.generation)


@injection("store-out")
async def _break_store(
    stage: Stage, seconds: float = 5.0, outage: str = "refuse"
) -> None:
    await stage.set_store_faults(outage=outage)
    await asyncio.sleep(seconds)
    await stage.set_store_faults(outage="")


@injection("store-slow")
async def _slow_store(stage: Stage, seconds: float = 5.0, delay: float = 1.0) -> None:
    await stage.set_store_faults(delay=delay)
    await asyncio.sleep(seconds)
    await stage.set_store_faults(delay=0.0)


@injection("store-answer-lost")
async def _lose_answer(stage: Stage) -> None:
    """Lose the answer to the write that puts a change in force."""
    await stage.set_store_faults(lose=1, lose_prefix=documents.POINTER_KEY)
    await _change_configuration(stage, times=1)


# The path between callers and entries


@injection("flows-silent")
async def _silence_flows(stage: Stage, count: int = 4) -> None:
    await stage.cluster.control_fabric("silence", {"count": count})


@injection("packets-lost")
async def _lose_packets(
    stage: Stage,
    seconds: float = 5.0,
    loss: float = 0.02,
    duplication: float = 0.02,
    reordering: float = 0.1,
) -> None:
    usual = {"latency": stage.cluster.deployment.latency}
    faults = {"loss": loss, "duplication": duplication, "reordering": reordering}
    await stage.cluster.control_fabric("faults", {**usual, **faults})
    await asyncio.sleep(seconds)
    await stage.cluster.control_fabric("faults", usual)


def _started(ledger: dict[str, Any]) -> int:
    counts = ledger["counts"].items()
    return sum(count for name, count in counts if name.startswith("started_"))


def _longer_queues(document: Document) -> Document:
    services = {
        name: service._replace(
            classes_by_name={
                key: each._replace(queue=each.queue + 1)
                for key, each in service.classes_by_name.items()
            }
        )
        for name, service in document.services_by_name.items()
    }
    return document._replace(services_by_name=services)


def _change_drain(document: Document, mark: str) -> Document:
    """Return a document whose drain time differs between operators' marks."""
    drain = float(60 + zlib.crc32(mark.encode()) % 1000)
    services = {
        name: service._replace(drain=drain)
        for name, service in document.services_by_name.items()
    }
    return document._replace(services_by_name=services)
