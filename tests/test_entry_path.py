"""Entries that are killed, stopped, restarted and reconfigured, as real processes."""

from __future__ import annotations

import asyncio
import json
import socket
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from zinniahook_core.models import Address, Protocol, Service
from zinniahook_testkit.checks import Evidence, check
from zinniahook_testkit.clusters import Cluster
from zinniahook_testkit.deployments import DEPLOYMENTS_BY_NAME, Deployment
from zinniahook_testkit.load import LoadResult

TALLY = (
    DEPLOYMENTS_BY_NAME["thies"]
    .services_by_name["tally"]
    ._replace(
        targets=3,
        loads=(
            {"kind": "feeds", "path": "/tally/feed", "callers": 6, "every": 0.1},
            {"kind": "tickets", "path": "/tickets", "callers": 4, "rate": 20.0},
        ),
        behaviour={"service_time": 0.02},
    )
)
DEPLOYMENT = Deployment("small", ("thies-1", "thies-2"), 3, 0.0, (TALLY,))


class LearningCluster(Cluster):
    """A cluster whose daemons may get their configuration from earlier entries."""

    def _settings(self, name: str, role: str) -> dict[str, Any]:
        settings = super()._settings(name, role)
        settings["control"]["parents"] = [
            process.ready["control"] for process in self.entries_by_name.values()
        ]
        return settings

    async def store_faults(self, **faults: Any) -> None:
        """Set the store's injected faults."""
        admin = self.store_process.ready["admin"]
        request = urllib.request.Request(
            f"http://{admin}/faults", json.dumps(faults).encode()
        )
        await asyncio.to_thread(lambda: urllib.request.urlopen(request).close())


class TreeCluster(LearningCluster):
    """A cluster in which two entries watch the store on behalf of all daemons."""

    def _settings(self, name: str, role: str) -> dict[str, Any]:
        settings = super()._settings(name, role)
        settings["control"]["parents"] = []
        settings["control"]["watchers"] = 2
        return settings


def run_under_load(
    folder: Path,
    act: Callable[[LearningCluster], Awaitable[None]],
    kind: type[LearningCluster] = LearningCluster,
) -> list[LoadResult]:
    """Run ``act`` on a cluster under load and check the invariants."""

    async def run() -> list[LoadResult]:
        async with kind(DEPLOYMENT, folder) as cluster:
            load = await cluster.run_loads(["tally"])
            await wait_for_tickets(cluster)
            await act(cluster)
            results = await load.finish()
            ledgers = tuple(await cluster.ledgers())
            assert check(Evidence(ledgers, tuple(results))) == []
            return results

    return asyncio.run(run())


def assert_no_flow_cut(results: list[LoadResult]) -> None:
    """Assert that no flow was cut and every request was answered."""
    for result in results:
        counts = result["counts"]
        assert counts["cut_attempts"] == 0, result["path"]
        assert counts["flows_moved"] == 0, result["path"]
        assert counts["done"] == len(result["records"]) > 0


async def wait_for_tickets(cluster: Cluster) -> None:
    """Wait until the targets have run some tickets."""

    async def running() -> bool:
        return (
            sum(len(ledger["runs_by_ticket"]) for ledger in await cluster.ledgers())
            >= 5
        )

    await cluster.until(running, "callers at work")


class TestEntryDies:
    def test_kill_breaks_no_flow(self, tmp_path):
        """Feeds break and tickets fail when an entry is killed.

        Two of three entries are killed in turn under load, and one returns;
        the fabric keeps sending to a killed entry for a while. This fails if
        an entry holds state of a flow that no other process has.
        """

        async def act(cluster: LearningCluster) -> None:
            await cluster.kill_entry("entry-1")
            await cluster.kill_entry("entry-2")
            await cluster.start_entry("entry-1")
            await cluster.kill_entry("entry-3")

        assert_no_flow_cut(run_under_load(tmp_path, act))


class TestEntryStops:
    def test_sigterm_breaks_no_flow(self, tmp_path):
        """A planned stop of an entry loses answers.

        Every entry is stopped and started again under load. This fails if
        datagrams on their way to a stopping entry are lost.
        """

        async def act(cluster: LearningCluster) -> None:
            for name in ("entry-1", "entry-2", "entry-3"):
                assert await cluster.stop_entry(name) == 0
                await cluster.start_entry(name)

        assert_no_flow_cut(run_under_load(tmp_path, act))


class TestStoreDown:
    def test_a_new_entry_learns_from_another(self, tmp_path):
        """No entry can be replaced during an outage of the store.

        The store goes down under load, an entry is killed, and a new one must
        start and serve; the store comes back and a change is made. This fails
        if the new entry waits for the store.
        """

        async def act(cluster: LearningCluster) -> None:
            await cluster.store_faults(outage="refuse")
            await cluster.kill_entry("entry-1")
            process = await cluster.start_entry("entry-1")
            status = await cluster.status(process)
            assert status.generation == 1
            assert "tally" in status.revisions_by_service
            await cluster.kill_entry("entry-2")
            await cluster.store_faults(outage="")
            generation = await cluster.change(lambda document: document)
            await cluster.wait_for_generation(generation)

        assert_no_flow_cut(run_under_load(tmp_path, act))


class TestConfigurationChanges:
    def test_a_silent_watch_is_noticed(self, tmp_path):
        """An accepted change comes into force on no daemon.

        Every open watch goes silent for good, then a change is made. A dead
        connection looks like a store without changes.
        """

        async def act(cluster: LearningCluster) -> None:
            await cluster.store_faults(silent=True)
            generation = await cluster.change(lambda document: document)
            await cluster.wait_for_generation(generation)

        assert_no_flow_cut(run_under_load(tmp_path, act))

    def test_changes_go_through_few_watches(self, tmp_path):
        """Daemons that don't watch the store keep an old generation.

        Two entries watch for all daemons. One of them is killed, then the
        watches go silent, then the store is down for a while; a change follows
        each time. This fails if a daemon depends on a single source of
        configuration.
        """

        async def act(cluster: LearningCluster) -> None:
            await cluster.kill_entry("entry-1")
            await make_change(cluster)
            await cluster.start_entry("entry-1")
            await cluster.kill_entry("entry-2")
            await make_change(cluster)
            await cluster.store_faults(silent=True)
            await make_change(cluster)
            await cluster.store_faults(silent=False, outage="refuse")
            await cluster.store_faults(outage="")
            await make_change(cluster)

        assert_no_flow_cut(run_under_load(tmp_path, act, TreeCluster))

    def test_services_come_and_go(self, tmp_path):
        async def act(cluster: LearningCluster) -> None:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            extra = Service("extra", 9, Address("127.0.0.1", port), Protocol.UDP)
            generation = await cluster.change(
                lambda document: document._replace(
                    services_by_name={**document.services_by_name, "extra": extra}
                )
            )
            await cluster.wait_for_generation(generation)
            await assert_bound(cluster, port, True)
            generation = await cluster.change(
                lambda document: document._replace(
                    services_by_name={
                        name: service
                        for name, service in document.services_by_name.items()
                        if name != "extra"
                    },
                    retired_by_name={"extra": 9},
                )
            )
            await cluster.wait_for_generation(generation)
            await assert_bound(cluster, port, False)

        assert_no_flow_cut(run_under_load(tmp_path, act))


async def make_change(cluster: Cluster) -> None:
    """Commit a change and wait until it is in force on every daemon."""
    generation = await cluster.change(lambda document: document)
    await cluster.wait_for_generation(generation)


async def assert_bound(cluster: Cluster, port: int, expected: bool) -> None:
    """Assert whether the entries have bound a port on their own addresses."""
    for number in range(1, DEPLOYMENT.entries + 1):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((f"127.0.1.{number}", port))
                bound = False
            except OSError:
                bound = True
        assert bound is expected
