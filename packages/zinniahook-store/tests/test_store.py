"""The store's client against a test double that runs as a real process."""

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
"""Time after which a scenario fails."""

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
    """Return a key prefix for each test, as the tests share the process."""
    return f"/{request.node.name}/"


def run(scenario):
    """Run a scenario within the timeout."""
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
        """Guards against a change that silently replaces another one.

        Two operators read the same revision, and both write. A write must compare the
        revision.
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

    def test_lease_expires(self, server, prefix):
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
        """Guards against an unsent write with an unknown outcome.

        The connection is refused because the store is down. Such a failure must not be
        handled like a lost answer, which has to be settled by reading.
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
        """Guards against a caller that waits forever or assumes an unsuccessful write.

        The store accepts the request but doesn't answer. A timeout is needed, and must
        not be handled like a refusal.
        """
        server.set_faults(outage="hang")

        async def scenario():
            outcome = await client(server, 0.3).put(prefix + "key", b"x")
            assert isinstance(outcome, AnswerLost)
            assert outcome.failure.code is Code.STORE_ANSWER_LOST

        run(scenario())

    def test_next_endpoint_is_used(self, server, prefix):
        """Guards against a client that keeps using a failed endpoint.

        One of two endpoints refuses connections, and half of the calls would fail.
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
        """Guards against a change that is reported as failed although it is in force.

        The write takes effect, and the connection ends before the answer. A missing
        answer doesn't mean that nothing was written.
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
        """Guards against a change that takes effect after it was reported as failed.

        The answer is lost, a read returns the old value, and then the write takes
        effect. The read isn't final while the key still has the compared revision.
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
        """Guards against a repeated write that runs twice or conflicts with itself.

        Several answers in a row are lost, and the write is repeated. The conflict of
        the second copy must not be attributed to another writer.
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
        """Return a store and its watch, which has reported one value."""
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
        """Guards against a configuration that never comes into force at a daemon.

        The watch stays open without messages while values change. Silence doesn't mean
        that nothing has changed.
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
        """Guards against changes that are lost around an outage.

        The connection ends, the store recovers, and a value is written. The new watch
        must start where the old one ended instead of at the current revision.
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
        """Guards against a watch that is refused forever.

        During an outage there are changes, a deletion and a compaction; then the watch
        resumes. Its revision no longer exists, so it must read the stored items again.
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
        """Guards against a watch that is silent although the store has it open.

        A device on the path drops answers on the open connection, while new connections
        work. Neither end is notified.
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
        """Guards against open watches that accumulate at the store.

        The reader closes a watch, but its connection stays open.
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
