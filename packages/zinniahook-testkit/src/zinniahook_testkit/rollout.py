"""Time until a change is in force, its calls to the store, and its stored size.

The daemons are real processes. Each daemon reports how many seconds ago a
generation came into force, so that late or slow queries don't add to the figure.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import linear_regression, quantiles
from typing import NamedTuple

from zinniahook_core.configuration import Document
from zinniahook_core.models import Address, AgentState, Member, Roster, Service
from zinniahook_core.models import RequestClass as Class
from zinniahook_store.configurations import new_keys
from zinniahook_wire import documents
from zinniahook_wire.rosters import OPERATIONS_KEPT

from .clusters import Cluster
from .deployments import Deployment, ServicePlan
from .scenarios import Figure, scenario
from .stores import StoreProcess

__all__ = ["Rollout", "Sizes", "measure", "measure_sizes"]

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform's service accepts."""

DAEMONS_PER_ENTRY = 2
"""Number of daemons per entry among them; the others are agents, each of which
also needs a target process."""


WATCHERS_TIMEOUT_SECONDS = 120.0
"""Limit for the daemons to settle on the few that watch the store."""


class Rollout(NamedTuple):
    """The cost of changes with ``daemons`` daemons.

    ``seconds`` holds, for each change and daemon, the time from the start of the
    commit until it was in force on the daemon. ``calls`` is the number of calls
    to the store for one change by all daemons and the operator, without watches.
    """

    daemons: int
    seconds: tuple[float, ...]
    calls: float
    operator_calls: float

    @property
    def p50(self) -> float:
        """Return the median."""
        return quantiles(self.seconds, n=100)[49]

    @property
    def p99(self) -> float:
        """Return the 99th percentile."""
        return quantiles(self.seconds, n=100)[98]


class Sizes(NamedTuple):
    """Bytes of the largest value of each kind, and of all values together."""

    chunk: int
    manifest: int
    roster: int
    whole: int
    values_by_change: int

    @property
    def largest(self) -> int:
        """Return the size of the largest value of all."""
        return max(self.chunk, self.manifest, self.roster)


def measure(
    daemons: int, changes: int, delay: float = 0.0, watchers: int = 0
) -> Rollout:
    """Commit changes and measure when they are in force on each daemon.

    Parameters
    ----------
    daemons : int
        Number of agents and entries together, at least 2.
    changes : int
        Number of changes, made in turn.
    delay : float
        Seconds by which the store delays each call and each message.
    watchers : int
        Daemons of each data centre that watch the store; all of them if 0.
    """
    return asyncio.run(_measure(daemons, changes, delay, watchers))


def measure_sizes(services: int, targets: int) -> Sizes:
    """Return the sizes of a configuration's values and of its rosters."""
    document = Document(
        {one.name: one for one in map(_service, range(1, services + 1))}
    )
    keys = new_keys()
    parts = _split(document, keys, 1)
    edited = document.services_by_name["service-1"]._replace(drain=31.0)
    changed = {**document.services_by_name, edited.name: edited}
    after = _split(Document(changed), keys, 2)
    each = -(-targets // services)
    roster = Roster("service-1", 1, {f"target-{n}": _member(n) for n in range(each)})
    sizes = [len(value) for value in parts.values_by_key.values()]
    manifest = len(documents.manifest_to_json(parts.manifest))
    return Sizes(
        max(sizes),
        manifest,
        len(documents.roster_to_json(roster, ["0" * 16] * OPERATIONS_KEPT)),
        sum(sizes) + manifest,
        len(after.values_by_key.keys() - parts.values_by_key.keys()) + 2,
    )


async def _measure(daemons: int, changes: int, delay: float, watchers: int) -> Rollout:
    entries = max(1, daemons // DAEMONS_PER_ENTRY)
    plan = ServicePlan("tally", 1, daemons - entries, 4, (Class("all", "/"),))
    deployment = Deployment("rollout", ("east", "west"), entries, 0.0, (plan,))
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(deployment, Path(folder))
        cluster.watchers = watchers
        async with cluster:
            await cluster.change(_set_drain(1.5))
            await _in_force(cluster, 2)
            if watchers:
                await _wait_for_watchers(
                    cluster, watchers * len(deployment.data_centres)
                )
            store = StoreProcess(cluster.store_process)
            await asyncio.to_thread(store.set_faults, delay=delay)
            return await _commit_all(cluster, store, daemons, changes)


async def _commit_all(
    cluster: Cluster, store: StoreProcess, daemons: int, changes: int
) -> Rollout:
    before = await _calls(store)
    own_before = sum(cluster.store.calls_by_kind.values())
    seconds: list[float] = []
    for number in range(changes):
        began = time.monotonic()
        generation = await cluster.change(_set_drain(2.0 + number))
        seconds += [
            in_force_at - began for in_force_at in await _in_force(cluster, generation)
        ]
    own = sum(cluster.store.calls_by_kind.values()) - own_before
    calls = await _calls(store) - before
    return Rollout(daemons, tuple(seconds), calls / changes, own / changes)


async def _calls(store: StoreProcess) -> int:
    """Return the number of calls to the store, without watches."""
    state = await asyncio.to_thread(store.state)
    return sum(count for kind, count in state["calls"].items() if kind != "watch")


async def _in_force(cluster: Cluster, generation: int) -> list[float]:
    """Return when the generation came into force on each daemon, by the local clock."""
    times: list[float] = []

    async def everywhere() -> bool:
        replies = await cluster.statuses()
        now = time.monotonic()
        times[:] = [now - reply.in_force for reply in replies]
        return all(reply.generation >= generation for reply in replies)

    await cluster.until(everywhere, f"generation {generation} everywhere")
    return times


async def _wait_for_watchers(cluster: Cluster, watchers: int) -> None:
    """Wait until at most ``watchers`` daemons watch the store.

    Daemons that start together all watch it at first.
    """
    async with asyncio.timeout(WATCHERS_TIMEOUT_SECONDS):
        while True:
            replies = await cluster.statuses()
            if sum(reply.depth <= 1 for reply in replies) <= watchers:
                return
            await asyncio.sleep(1.0)


def _set_drain(seconds: float):
    def edit(document: Document) -> Document:
        service = document.services_by_name["tally"]._replace(drain=seconds)
        return document._replace(services_by_name={"tally": service})

    return edit


def _split(document: Document, keys, generation: int) -> documents.Parts:
    return documents.split(
        document,
        keys,
        generation=generation,
        parent=generation - 1,
        author="an-operator",
        time=1.8e9,
        operation="0" * 16,
    )


def _service(number: int) -> Service:
    classes = {name: Class(name, f"/{name}") for name in ("stream", "ticket", "export")}
    address = Address(f"10.200.{number >> 8}.{number & 255}", 443)
    name = f"service-{number}"
    return Service(
        name,
        number,
        address,
        classes_by_name=classes,
        targets=(f"{name}-*",),
        data_centres=("thies-1", "thies-2", "thies-3"),
    )


def _member(number: int) -> Member:
    host = f"10.100.{number >> 8}.{number & 255}"
    return Member(
        f"service-1-{number}",
        Address(host, 65535),
        Address(host, 65534),
        Address("127.0.0.1", 65533),
        "thies-1",
        1_800_000_000,
        AgentState.READY,
        64,
    )


@scenario("rollout")
def measure_rollout(
    daemon_counts: Sequence[int], changes: int, delay: float = 0.0, watchers: int = 0
) -> list[Figure]:
    """Measure the time until in force, and the slope of the store's calls."""
    results = [measure(count, changes, delay, watchers) for count in daemon_counts]
    slope, base = linear_regression(daemon_counts, [one.calls for one in results])
    last = results[-1]
    at = f"at {last.daemons} daemons"
    return [
        Figure(f"p50 to in force {at}", last.p50, "s"),
        Figure(f"p99 to in force {at}", last.p99, "s"),
        Figure(f"longest to in force {at}", max(last.seconds), "s"),
        Figure("changes", changes, "count"),
        Figure(f"calls a change {at}", last.calls, "count"),
        Figure("calls a change of the operator", last.operator_calls, "count"),
        Figure("calls a change per daemon", slope, "count"),
        Figure("calls a change base", base, "count"),
    ]


@scenario("configuration-size")
def measure_configuration_size(services: int, targets: int) -> list[Figure]:
    """Measure the stored values of a full-size configuration."""
    sizes = measure_sizes(services, targets)
    return [
        Figure("largest chunk", sizes.chunk, "B"),
        Figure("manifest", sizes.manifest, "B"),
        Figure("roster", sizes.roster, "B"),
        Figure("largest value of the limit", sizes.largest / MAX_VALUE_BYTES, "ratio"),
        Figure("whole configuration", sizes.whole, "B"),
        Figure(
            "values written by a change of one service", sizes.values_by_change, "count"
        ),
    ]
