"""The store's client against the stand-in as a real process."""

import asyncio
import random
import socket

import pytest
from zinniahook_core.codes import Code
from zinniahook_store import (
    AnswerLost,
    Change,
    Conflict,
    NotWritten,
    Store,
    StoreError,
    Written,
)
from zinniahook_testkit import faults, stores

TIMEOUT_SECONDS = 20.0
"""Seconds after which a wait counts as failed."""

SILENCE_SECONDS = 0.3


@pytest.fixture(scope="module")
def process():
    with stores.start() as started:
        yield started


@pytest.fixture
def server(process):
    process.set_faults(**stores.StoreFaults()._asdict())
    process.reset()
    yield process
    process.set_faults(**stores.StoreFaults()._asdict())


@pytest.fixture
def prefix(request):
    """Keys of its own for each test, since the process is shared."""
    return f"/{request.node.name}/"


def run(scenario):
    """Run a scenario within the bound."""
    return asyncio.run(asyncio.wait_for(scenario, TIMEOUT_SECONDS))


def client(server, timeout=2.0):
    return Store([server.address], timeout, random.Random(1))


def contains(operation):
    return lambda value: operation in value


class TestReadsAndWrites:
    def test_values_come_back_in_pages_of_one_revision(self, server, prefix):
        async def scenario():
            store = client(server)
            values = {f"{prefix}{number:04d}": b"%d" % number for number in range(1100)}
            assert isinstance(await store.put_many(values), Written)
            found = await store.range(prefix)
            assert {item.key: item.value for item in found} == values
            assert [item.key for item in found] == sorted(values)
            many = await store.get_many([*values, prefix + "none"])
            assert {key: item.value for key, item in many.items()} == values

        run(scenario())
        calls = server.state()["calls"]
        assert calls == {"txn": 23, "range": 6}

    def test_transaction_is_all_or_nothing(self, server, prefix):
        async def scenario():
            store = client(server)
            pointer, chunk, old = (prefix + name for name in ("p", "c", "old"))
            await store.put(old, b"old")
            first = await store.transact({pointer: 0}, {pointer: b"1", chunk: b"1"})
            assert isinstance(first, Written)
            second = await store.transact(
                {pointer: 0}, {pointer: b"2", chunk: b"2"}, [old]
            )
            assert second == Conflict(await store.get(pointer))
            assert (await store.get(chunk)).value == b"1"
            third = await store.transact(
                {pointer: first.revision}, {pointer: b"3"}, [old]
            )
            assert isinstance(third, Written)
            assert await store.get(old) is None

        run(scenario())

    def test_racing_writers_of_one_revision(self, server, prefix):
        """Two operators change the same generation.

        Symptom: one change silently replaces the other. Sequence: both read
        revision r, both write. Cause: a write without comparing.
        """

        async def scenario():
            store = client(server)
            key = prefix + "pointer"
            outcomes = await asyncio.gather(
                *(store.compare_and_swap(key, 0, b"%d" % n) for n in range(8))
            )
            written = [outcome for outcome in outcomes if isinstance(outcome, Written)]
            conflicts = [each for each in outcomes if isinstance(each, Conflict)]
            assert (len(written), len(conflicts)) == (1, 7)
            current = await store.get(key)
            assert {conflict.current for conflict in conflicts} == {current}
            assert current.revision == written[0].revision

        run(scenario())

    def test_refused_write_is_certain(self, server, prefix):
        async def scenario():
            outcome = await client(server).put(prefix + "large", bytes(1_100_000))
            assert isinstance(outcome, NotWritten)
            assert "too large" in outcome.failure.reason

        run(scenario())

    def test_lease_lapses(self, server, prefix):
        async def scenario():
            store = client(server)
            lease = await store.grant(1)
            assert await store.keep_alive(lease) == 1
            await store.put(prefix + "leased", b"x", lease)
            watch = store.watch(prefix, silence=SILENCE_SECONDS)
            assert (await anext(watch)).value == b"x"
            assert (await anext(watch)).value is None
            assert await store.keep_alive(lease) == 0
            await watch.aclose()

        run(scenario())


class TestOutage:
    def test_refused_connection_means_not_written(self, server, prefix):
        """Store down before a write.

        Symptom: a write that never left is settled by reading, or reported
        as unknown. Sequence: connect is refused. Cause: every failure is
        taken for a lost answer.
        """
        server.set_faults(outage="refuse")

        async def scenario():
            store = client(server)
            outcome = await store.put(prefix + "key", b"x")
            assert isinstance(outcome, NotWritten)
            assert outcome.failure.code is Code.STORE_DOWN
            with pytest.raises(StoreError) as caught:
                await store.get(prefix + "key")
            assert caught.value.code is Code.STORE_DOWN
            server.set_faults(outage="")
            assert await store.get(prefix + "key") is None

        run(scenario())

    def test_hanging_store_leaves_the_write_open(self, server, prefix):
        """Store that takes calls and doesn't answer.

        Symptom: a caller waits for ever, or is told that nothing was
        written. Sequence: the request is sent, no answer comes. Cause: no
        timeout, or a timeout taken for a refusal.
        """
        server.set_faults(outage="hang")

        async def scenario():
            outcome = await client(server, 0.3).put(prefix + "key", b"x")
            assert isinstance(outcome, AnswerLost)
            assert outcome.failure.code is Code.STORE_ANSWER_LOST

        run(scenario())

    def test_next_endpoint_is_used(self, server, prefix):
        """One of several endpoints is gone.

        Symptom: half of the calls fail. Sequence: an endpoint refuses
        connections. Cause: the client stays with it.
        """
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            gone = "{}:{}".format(*unused.getsockname())

            async def scenario():
                for seed in range(4):
                    store = Store([gone, server.address], 2.0, random.Random(seed))
                    assert isinstance(await store.put(prefix + "key", b"x"), Written)
                    assert (await store.get(prefix + "key")).value == b"x"

            run(scenario())


class TestLostAnswer:
    def test_write_that_took_effect_is_settled(self, server, prefix):
        """Answer lost after the write took effect.

        Symptom: an operator is told that a change failed that is in force.
        Sequence: the write runs, the connection ends before the answer.
        Cause: no answer taken for no write.
        """

        async def scenario():
            store = client(server)
            key = prefix + "key"
            server.set_faults(lose=1, lose_prefix=prefix)
            lost = await store.compare_and_swap(key, 0, b"operation-1")
            assert isinstance(lost, AnswerLost)
            settled = await store.settle(key, 0, contains(b"operation-1"))
            assert settled == Written((await store.get(key)).revision)

        run(scenario())

    def test_write_that_lost_the_race_is_settled(self, server, prefix):
        async def scenario():
            store = client(server)
            key = prefix + "key"
            await store.put(key, b"operation-2")
            settled = await store.settle(key, 0, contains(b"operation-1"))
            assert settled == Conflict(await store.get(key))

        run(scenario())

    def test_write_that_may_still_arrive_stays_open(self, server, prefix):
        """Write that takes effect after its connection ended.

        Symptom: a change reported as not made comes into force later.
        Sequence: the answer is lost, a read shows the old value, then the
        write runs. Cause: the read is taken for the last word although the
        compared revision still stands.
        """

        async def scenario():
            store = client(server)
            key = prefix + "key"
            watch = store.watch(prefix, silence=SILENCE_SECONDS)
            server.set_faults(lose=1, lose_prefix=prefix, late=0.5)
            await store.compare_and_swap(key, 0, b"operation-1")
            early = await store.settle(key, 0, contains(b"operation-1"))
            assert isinstance(early, AnswerLost)
            change = await anext(watch)
            settled = await store.settle(key, 0, contains(b"operation-1"))
            assert settled == Written(change.revision)
            await watch.aclose()

        run(scenario())

    @pytest.mark.parametrize("late", [0.0, 30.0])
    def test_swap_makes_it_certain(self, server, prefix, late):
        """Lost answers in a row.

        Symptom: a write made again after a lost answer runs twice, or
        reports a conflict with itself. Sequence: write, lost, write again.
        Cause: the second copy's conflict is taken for another writer's.
        """

        async def scenario():
            store = client(server)
            key = prefix + "key"
            server.set_faults(lose=2, lose_prefix=prefix, late=late)
            outcome = await store.swap(key, 0, b"operation-1", contains(b"operation-1"))
            item = await store.get(key)
            assert outcome == Written(item.revision)
            assert item.value == b"operation-1"

        run(scenario())


class TestWatch:
    async def started(self, server, prefix, **options):
        """Return a watch that is open at the server and has read one value."""
        store = client(server)
        await store.put(prefix + "first", b"1")
        watch = store.watch(prefix, **options)
        assert (await anext(watch)).key == prefix + "first"
        return store, watch

    def test_changes_arrive_in_order(self, server, prefix):
        async def scenario():
            store, watch = await self.started(server, prefix)
            a = await store.put(prefix + "a", b"1")
            b = await store.put(prefix + "b", b"2")
            gone = await store.delete(prefix + "a")
            assert [await anext(watch) for _ in range(3)] == [
                Change(prefix + "a", b"1", a.revision),
                Change(prefix + "b", b"2", b.revision),
                Change(prefix + "a", None, gone.revision),
            ]
            await watch.aclose()

        run(scenario())

    def test_start_after_a_revision(self, server, prefix):
        async def scenario():
            store = client(server)
            before = await store.put(prefix + "a", b"1")
            after = await store.put(prefix + "b", b"2")
            watch = store.watch(prefix, before.revision)
            assert await anext(watch) == Change(prefix + "b", b"2", after.revision)
            await watch.aclose()

        run(scenario())

    def test_silent_watch_is_noticed(self, server, prefix):
        """Watch whose connection was lost track of.

        Symptom: a configuration never comes into force at one daemon.
        Sequence: the watch stays open and brings nothing, values change.
        Cause: silence is taken for quiet.
        """

        async def scenario():
            store, watch = await self.started(server, prefix, silence=SILENCE_SECONDS)
            server.set_faults(silent=True)
            written = await store.put(prefix + "a", b"1")
            assert await anext(watch) == Change(prefix + "a", b"1", written.revision)
            gone = await store.delete(prefix + "first")
            change = await anext(watch)
            assert (change.key, change.value) == (prefix + "first", None)
            assert change.revision >= gone.revision
            assert store.failures_by_kind["watch"] >= 2
            await watch.aclose()

        run(scenario())

    def test_outage_is_survived(self, server, prefix):
        """Store gone and back while a watch is open.

        Symptom: changes made around the outage are lost. Sequence: the
        connection ends, the store returns, a value is written. Cause: the
        new watch starts at the present instead of where the old one ended.
        """

        async def scenario():
            store, watch = await self.started(server, prefix, silence=SILENCE_SECONDS)
            pending = asyncio.ensure_future(anext(watch))
            server.set_faults(outage="refuse")
            while store.calls_by_kind["watch"] < 2:
                await asyncio.sleep(0.01)
            server.set_faults(outage="")
            written = await store.put(prefix + "a", b"1")
            assert await pending == Change(prefix + "a", b"1", written.revision)
            await watch.aclose()

        run(scenario())

    def test_compaction_while_down(self, server, prefix):
        """Revisions compacted while a watch was down.

        Symptom: the watch is refused for ever. Sequence: outage, changes and
        a deletion, compaction, the watch resumes. Cause: its revision is no
        longer kept, so what is stored has to be read anew.
        """

        async def scenario():
            with faults.start(server.address) as proxy:
                far = Store([proxy.address], 2.0, random.Random(1))
                store, near = client(server), prefix + "first"
                await store.put(near, b"1")
                watch = far.watch(prefix)
                await anext(watch)
                pending = asyncio.ensure_future(anext(watch))
                while server.state()["watches"] == 0:
                    await asyncio.sleep(0.01)
                proxy.set_faults(refuse=True)
                proxy.cut()
                written = await store.put(prefix + "a", b"1")
                await store.delete(near)
                server.compact()
                proxy.set_faults(refuse=False)
                changes = [await pending, await anext(watch)]
                assert Change(prefix + "a", b"1", written.revision) in changes
                assert (near, None) in [change[:2] for change in changes]
                await watch.aclose()

        run(scenario())

    def test_one_way_silence_on_the_path(self, server, prefix):
        """Connection that something between the ends has lost track of.

        Symptom: as with a silent watch, but the store sees an open one.
        Sequence: answers on the open connection stop, new ones work. Cause:
        no end of the connection is ever told.
        """

        async def scenario():
            with faults.start(server.address) as proxy:
                far = Store([proxy.address], 2.0, random.Random(1))
                store = client(server)
                await store.put(prefix + "first", b"1")
                watch = far.watch(prefix, silence=SILENCE_SECONDS)
                await anext(watch)
                pending = asyncio.ensure_future(anext(watch))
                while server.state()["watches"] == 0:
                    await asyncio.sleep(0.01)
                proxy.silence("down")
                written = await store.put(prefix + "a", b"1")
                assert await pending == Change(prefix + "a", b"1", written.revision)
                await watch.aclose()

        run(scenario())

    def test_closing_ends_the_call(self, server, prefix):
        """Abandoned watches.

        Symptom: the store's open watches grow. Sequence: a watch is closed
        by its reader. Cause: its connection stays open.
        """

        async def scenario():
            _, watch = await self.started(server, prefix)
            pending = asyncio.ensure_future(anext(watch))
            while server.state()["watches"] == 0:
                await asyncio.sleep(0.01)
            pending.cancel()
            await asyncio.wait([pending])
            while server.state()["watches"] > 0:
                await asyncio.sleep(0.01)

        run(scenario())
