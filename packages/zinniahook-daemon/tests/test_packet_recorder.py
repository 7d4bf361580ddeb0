"""The stored record of routes' services: its writes, reads and format."""

import asyncio
import random
import zlib

import pytest
from zinniahook_core.packets import Route, Routes, ServiceShare, formers
from zinniahook_core.packets.formers import FormerService, FormerServices, Record
from zinniahook_daemon.packets import recorder as recorders
from zinniahook_daemon.packets.ports import (
    StoredValue,
    StoreUnavailableError,
    WritePosition,
)
from zinniahook_daemon.packets.recorder import Recorder

FLOOR = bytes((198, 18, 0, 1, 1, 187))
DOCS = bytes((198, 18, 0, 2, 1, 187))


def routes(version, **names_by_route):
    by_address = {"floor": FLOOR, "docs": DOCS}
    return Routes(
        version,
        {
            by_address[name]: Route(name, tuple(ServiceShare(n, 1.0) for n in names))
            for name, names in names_by_route.items()
        },
        60.0,
        b"",
    )


class KeepingStore:
    """Stores values with revisions; the next ``failures`` calls are refused."""

    def __init__(self):
        self.by_name = {}
        self.revision = 5
        self.era = 0
        self.failures = 0
        self.calls = []

    def _call(self, name):
        self.calls.append(name)
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("refused")

    async def stored_values(self):
        self._call("stored_values")
        return [kept._replace(era=self.era) for kept in self.by_name.values()]

    async def write_values(self, values):
        self._call("write_values")
        for kept in values:
            former = self.by_name.get(kept.name, StoredValue(kept.name, b"", 0))
            if former.revision != kept.revision:
                return None
        self.revision += 1
        for kept in values:
            self.by_name[kept.name] = StoredValue(
                kept.name, kept.value, self.revision, self.era
            )
        return WritePosition(self.era, self.revision)


class Node:
    def __init__(self, known=True):
        self.rng = random.Random(1)
        self.routes = Routes.none()
        self.formers = FormerServices()
        self.formers.is_complete = known

    def configure(self, now, newer, rows=None, whole=True):
        if rows is not None:
            self.formers.learn(now, rows, whole)
        if newer.version > self.routes.version:
            self.formers.replaced(now, self.routes, newer)
            self.routes = newer


class Journal:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append(name)


def write_record(store, node):
    """Let a daemon that has polled the store for a long time write the record."""
    recorder = Recorder(node, store, Journal())
    asyncio.run(recorder.write(float("-inf")))
    return recorder


class TestRecord:
    """Guards against resets of flows at a former service after a full restart.

    A route is moved, and all processes are killed before any installs the change. After
    the restart no process knows the route's former service.
    """

    def test_a_starting_daemon_reads_former_services(self):
        store, node = KeepingStore(), Node()
        node.configure(0.0, routes(4, floor=["floor", "docs"], docs=["docs"]))
        write_record(store, node)
        fresh = Node(known=False)
        fresh.configure(0.0, routes(7, floor=["floor"], docs=["docs"]))
        asyncio.run(Recorder(fresh, store, Journal()).read())
        assert fresh.formers.is_complete
        rows = fresh.formers.rows(0.0)
        assert [(each.address, each.service) for each in rows] == [(FLOOR, "docs")]

    def test_a_former_service_stays_in_it_for_as_long_as_flows_live(self):
        store, node = KeepingStore(), Node()
        node.configure(0.0, routes(4, floor=["docs"]))
        write_record(store, node)
        node.formers.learn(0.0, [FormerService(FLOOR, "docs", 1e9)])
        node.configure(0.0, routes(5, floor=["floor"]))
        record = Record.of(1.0, node.routes, node.formers)
        assert record.services_by_address[FLOOR] == {"floor", "docs"}
        assert Record.of(61.0, node.routes, node.formers).services_by_address == {
            FLOOR: frozenset({"floor"})
        }

    def test_what_changes_no_service_costs_no_call(self):
        store, node = KeepingStore(), Node()
        node.configure(0.0, routes(4, floor=["floor"]))
        recorder = write_record(store, node)
        before = list(store.calls)
        node.configure(0.0, routes(5, floor=["floor"]))
        asyncio.run(recorder.write(float("-inf")))
        assert store.calls == before == ["stored_values", "write_values"]

    def test_concurrent_writers_lose_nothing(self):
        store = KeepingStore()
        nodes = [Node(), Node()]
        nodes[0].configure(0.0, routes(4, floor=["floor"]))
        nodes[1].configure(0.0, routes(5, floor=["docs"]))

        async def both():
            writers = [Recorder(node, store, Journal()) for node in nodes]
            for _ in range(2):
                await asyncio.gather(*(w.write(float("-inf")) for w in writers))

        asyncio.run(both())
        values = [formers.decode(kept.value) for kept in store.by_name.values()]
        assert formers.merged(values).services_by_address[FLOOR] >= {"docs"}

    def test_a_store_that_refuses_is_left_alone_for_a_while(self, monkeypatch):
        store, node, journal = KeepingStore(), Node(), Journal()
        store.failures = 1
        node.configure(0.0, routes(4, floor=["floor"]))

        async def update():
            recorder = Recorder(node, store, journal)
            for _ in range(3):
                recorder.update(float("-inf"))
                await asyncio.sleep(0)
                await asyncio.sleep(0)

        asyncio.run(update())
        assert store.calls == ["stored_values"]
        assert journal.events == ["record.failed"]
        monkeypatch.setattr(recorders, "RETRY_SECONDS", 0.0)
        asyncio.run(update())
        assert "write_values" in store.calls

    def test_a_change_writes_only_the_parts_that_change(self):
        store, node = KeepingStore(), Node()
        node.configure(0.0, routes(4, floor=["floor"], docs=["docs"]))
        recorder = write_record(store, node)
        former = dict(store.by_name)
        node.configure(0.0, routes(5, floor=["docs"], docs=["docs"]))
        asyncio.run(recorder.write(float("-inf")))
        changed = [n for n, kept in store.by_name.items() if former[n] != kept]
        assert store.calls == ["stored_values", "write_values", "write_values"]
        assert len(former) == 2
        assert len(changed) == 1


class TestStoredForm:
    def test_what_is_written_can_be_read(self):
        record = Record({FLOOR: frozenset({"a", "b"}), DOCS: frozenset({"b"})})
        assert formers.decode(formers.encode(record)) == record

    @pytest.mark.parametrize(
        "value",
        [b"", b"\xff", b"[]", b'{"zz":["a"]}', b'{"c612":["a"]}', b'{"c61200010bb":1}'],
    )
    def test_what_cannot_be_read_is_left_out(self, value):
        assert formers.decode(value) == Record({})
        assert formers.decode(zlib.compress(value)) == Record({})

    def test_rows_keep_the_remaining_time(self):
        rows = [FormerService(FLOOR, "docs", 12.5)]
        assert formers.decode_rows(formers.encode_rows(rows)) == rows

    @pytest.mark.parametrize("value", [b"", b"{", b"[1]", b'[["zz","a",1]]', b"3"])
    def test_rows_of_another_format_are_refused(self, value):
        assert formers.decode_rows(value) is None
