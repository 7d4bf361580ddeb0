"""Distribution to many daemons through few watches on a store."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from zinniahook_core.models import Address, Service
from zinniahook_daemon import announcements, selection
from zinniahook_daemon.announcements import read_daemons
from zinniahook_daemon.trees import tree_position
from zinniahook_store import Store, configurations
from zinniahook_testkit import stores
from zinniahook_wire import documents
from zinniahook_wire.documents import Daemon

TALLY = Service("tally", 1, Address("127.0.0.1", 7001))
WATCHERS = 2
DAEMONS = 9


@pytest.fixture
def store_process():
    with stores.start() as process:
        yield process


async def commit(store: Store, *services: Service) -> int:
    base = await configurations.read(store)
    document = base.document._replace(
        services_by_name={service.name: service for service in services}
    )
    outcome = await configurations.commit(
        store, base, document, "operator", configurations.new_operation()
    )
    return outcome.generation


class TestTreePositions:
    CANDIDATES = frozenset(f"10.0.0.{number}:9000" for number in range(200))

    def positions(self):
        return {
            own: tree_position(own, self.CANDIDATES, 2, 4) for own in self.CANDIDATES
        }

    def test_few_watch(self):
        watching = [
            own for own, position in self.positions().items() if position.watches_store
        ]
        assert len(watching) == 2

    def test_every_path_leads_to_a_watcher(self):
        """Guards against daemons that follow only each other.

        Each daemon selects its parents by itself from the same list. Without a
        common order, three of them may form a cycle.
        """
        positions = self.positions()
        for own in self.CANDIDATES:
            seen = set()
            frontier = {own}
            while frontier:
                assert not frontier & seen or frontier <= seen
                seen |= frontier
                frontier = {
                    parent
                    for address in frontier
                    if not positions[address].watches_store
                    for parent in positions[address].parents
                } - seen
            assert any(positions[address].watches_store for address in seen)

    def test_children_are_bounded(self):
        children: dict[str, int] = {}
        for position in self.positions().values():
            if not position.watches_store:
                children[position.parents[0]] = children.get(position.parents[0], 0) + 1
        assert max(children.values()) <= 4

    def test_leaves_spread(self):
        first = {
            tree_position(f"10.1.0.{number}:9000", self.CANDIDATES, 2, 4).parents[0]
            for number in range(200)
        }
        assert len(first) > 100


class TestTree:
    def test_a_watcher_is_replaced(self, nodes, store_process, eventually):
        """Guards against daemons that miss every change after a watcher stops.

        A change reaches all daemons through two watchers, one of them stops, and
        another change is made. Otherwise its children would wait for it, and no
        daemon would replace it.
        """

        async def run():
            store = Store([store_process.address])
            await commit(store, TALLY)
            options = {
                "store": Address.parse(store_process.address),
                "watchers": WATCHERS,
                "fan_out": 2,
            }
            async with contextlib.AsyncExitStack() as stack:
                exits = {}
                running = []
                for number in range(DAEMONS):
                    start = nodes.start(f"entry-{number}", **options)
                    node = await stack.enter_async_context(start)
                    exits[node] = start
                    running.append(node)
                    await eventually(lambda node=node: node.announcement.announced)
                generation = await commit(store, TALLY._replace(drain=10.0))
                await eventually(
                    lambda: all(node.generation == generation for node in running)
                )
                # The first daemons followed the store until others were announced.
                watcher = next(
                    node for node in running if node.distribution.selector.watches_store
                )
                await watcher.stop()
                running.remove(watcher)
                generation = await commit(store, TALLY._replace(drain=20.0))
                await eventually(
                    lambda: all(node.generation == generation for node in running)
                )
                daemons = await read_daemons(store, "thies-1")
                assert set(daemons) == {node.settings.name for node in running}

        asyncio.run(run())

    def test_few_watch_after_a_simultaneous_start(
        self, nodes, store_process, eventually, monkeypatch
    ):
        """Guards against store calls that grow with the fleet after a mass restart.

        All daemons start at once, and none finds another one in the list. Each
        would then consider itself one of the few watchers.
        """
        monkeypatch.setattr(selection, "POSITION_CHECK_SECONDS", 0.5)

        async def run():
            store = Store([store_process.address])
            await commit(store, TALLY)
            options = {
                "store": Address.parse(store_process.address),
                "watchers": WATCHERS,
                "fan_out": 2,
            }
            async with contextlib.AsyncExitStack() as stack:
                starts = [nodes.start(f"entry-{n}", **options) for n in range(DAEMONS)]
                running = await asyncio.gather(
                    *(stack.enter_async_context(start) for start in starts)
                )
                await eventually(lambda: all(node.generation == 1 for node in running))
                await eventually(lambda: store_process.state()["watches"] == WATCHERS)
                generation = await commit(store, TALLY._replace(drain=10.0))
                await eventually(
                    lambda: all(node.generation == generation for node in running)
                )

        asyncio.run(run())

    def test_few_watches_are_open(self, nodes, store_process, eventually):
        async def run():
            store = Store([store_process.address])
            await commit(store, TALLY)
            options = {
                "store": Address.parse(store_process.address),
                "watchers": WATCHERS,
                "fan_out": 2,
            }
            async with contextlib.AsyncExitStack() as stack:
                first = [
                    await stack.enter_async_context(
                        nodes.start(f"entry-{number}", **options)
                    )
                    for number in range(WATCHERS)
                ]
                await eventually(
                    lambda: all(node.announcement.announced for node in first)
                )
                rest = [
                    await stack.enter_async_context(
                        nodes.start(f"a-{number}", service="tally", **options)
                    )
                    for number in range(DAEMONS)
                ]
                await eventually(lambda: all(node.generation == 1 for node in rest))
                # The depth arrives with the digest, after the generation.
                await eventually(
                    lambda: all(node.distribution.depth == 2 for node in rest)
                )
                subscribers = [len(node.distribution.subscribers) for node in first]
                assert sum(subscribers) == DAEMONS
                assert store_process.state()["watches"] == WATCHERS

        asyncio.run(run())


class TestAnnouncements:
    def test_a_killed_daemon_is_removed(
        self, nodes, store_process, eventually, monkeypatch
    ):
        """Guards against daemons that keep trying an entry killed long ago.

        A killed entry can't withdraw. Without probes, no other daemon would remove
        it from the list.
        """
        monkeypatch.setattr(announcements, "PROBE_INTERVAL_SECONDS", 0.05)

        async def run():
            store = Store([store_process.address])
            await commit(store, TALLY)
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                gone = Daemon("gone", "entry", Address(*probe.getsockname()), 1)
            key = documents.daemons_key("thies-1")
            await store.put(key, documents.daemons_to_json([gone], ()))
            address = Address.parse(store_process.address)
            async with nodes.start("entry-1", store=address):
                async with asyncio.timeout(20):
                    while set(await read_daemons(store, "thies-1")) != {"entry-1"}:
                        await asyncio.sleep(0.05)
            assert await read_daemons(store, "thies-1") == {}

        asyncio.run(run())

    def test_a_removed_daemon_announces_itself_again(
        self, nodes, store_process, eventually
    ):
        """Guards against a running daemon that operators don't see.

        The daemon is paused, removed from the list as dead, and resumed. Without
        the check, it would announce itself only at its start.
        """

        async def run():
            store = Store([store_process.address])
            await commit(store, TALLY)
            address = Address.parse(store_process.address)
            async with nodes.start("entry-1", store=address) as node:
                await eventually(lambda: node.announcement.announced)
                key = documents.daemons_key("thies-1")
                await store.put(key, documents.daemons_to_json([], ()))
                node.announcement.check()
                async with asyncio.timeout(20):
                    while not await read_daemons(store, "thies-1"):
                        await asyncio.sleep(0.05)

        asyncio.run(run())
