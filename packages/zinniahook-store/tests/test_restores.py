"""A store whose revision goes back because it was restored from an older copy."""

import asyncio
import base64

import pytest
from zinniahook_core.codes import Code
from zinniahook_store import AnswerLost, Store, StoreRestoredError, Written

TIMEOUT_SECONDS = 20.0
PREFIX = "/zinniahook/roster/"
KEY = f"{PREFIX}tally"


class Gateway:
    """A gateway that answers from memory instead of over HTTP."""

    def __init__(self, store):
        self.revision = 10
        self.values_by_key = {KEY: (b"ten", 10)}
        self.rng = store._gateway.rng
        self.failures_by_kind = store.failures_by_kind
        self.before_answer = lambda: None
        store._gateway = self

    def restore(self, revision, value):
        self.revision = revision
        self.values_by_key = {KEY: (value, revision)} if value else {}

    async def call(self, kind, path, body, *, repeat):
        answer = {"header": {"revision": str(self.revision)}, "succeeded": True}
        answer["kvs"] = [
            {
                "key": base64.b64encode(key.encode()).decode(),
                "value": base64.b64encode(value).decode(),
                "mod_revision": str(revision),
            }
            for key, (value, revision) in self.values_by_key.items()
        ]
        answer["count"] = str(len(self.values_by_key))
        self.before_answer()
        return answer

    def open(self, kind, path, body):
        return SilentStream()

    def use_next_endpoint(self):
        pass

    def pause(self, failures):
        return 0.0


class SilentStream:
    """A watch stream without messages."""

    async def read(self):
        await asyncio.Event().wait()

    def abort(self):
        pass


def run_scenario(scenario):
    async def run():
        store = Store(["127.0.0.1:9"])
        return await scenario(store, Gateway(store))

    return asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))


class TestCalls:
    """Guards against values of an obsolete history that are considered the newest.

    The store is restored from a copy and reuses revisions. The client must not compare
    revisions of two histories.
    """

    def test_a_revision_that_falls_is_an_error_once(self):
        async def scenario(store, gateway):
            await store.get(KEY)
            gateway.restore(4, b"four")
            with pytest.raises(StoreRestoredError) as error:
                await store.get(KEY)
            assert error.value.code is Code.STORE_RESTORED
            assert store.failures_by_kind["restored"] == 1
            return await store.get(KEY), store.history

        item, history = run_scenario(scenario)
        assert (item.value, item.revision, history) == (b"four", 4, 1)

    def test_a_late_answer_of_the_former_history_is_refused(self):
        async def scenario(store, gateway):
            await store.get(KEY)

            def restored_meanwhile():
                store.history += 1
                store._latest_revision = 4

            gateway.before_answer = restored_meanwhile
            with pytest.raises(StoreRestoredError):
                await store.get(KEY)
            return store._latest_revision

        assert run_scenario(scenario) == 4

    def test_a_write_may_have_taken_effect(self):
        async def scenario(store, gateway):
            await store.get(KEY)
            gateway.restore(4, b"four")
            lost = await store.compare_and_swap(KEY, 10, b"x")
            return lost, await store.compare_and_swap(KEY, 4, b"x")

        lost, written = run_scenario(scenario)
        assert isinstance(lost, AnswerLost)
        assert lost.failure.code is Code.STORE_RESTORED
        assert written == Written(4)

    def test_the_same_revision_is_no_restore(self):
        async def scenario(store, gateway):
            await store.get(KEY)
            await store.get(KEY)
            return store.history

        assert run_scenario(scenario) == 0


class TestWatches:
    """Guards against a watch that reports no changes after a restore.

    Changes in the restored store are considered older than the reported ones until the
    store reaches the former revision, which may take hours.
    """

    def followed(self, value):
        async def scenario(store, gateway):
            watch = store.watch(PREFIX, silence=0.01)
            first = await anext(watch)
            gateway.restore(4, value)
            second = await anext(watch)
            revision = watch.revision
            gateway.values_by_key[KEY] = (b"five", 5)
            gateway.revision = 5
            third = await anext(watch)
            await watch.aclose()
            return first, second, revision, third

        return run_scenario(scenario)

    def test_what_the_copy_holds_is_reported_and_what_follows(self):
        first, second, revision, third = self.followed(b"four")
        assert first[1:] == (b"ten", 10)
        assert second[1:] == (b"four", 4)
        assert revision == 4
        assert third[1:] == (b"five", 5)

    def test_a_key_that_the_copy_lacks_is_reported_as_deleted(self):
        _, second, _, third = self.followed(None)
        assert second == (KEY, None, 4)
        assert third[1:] == (b"five", 5)

    def test_each_watch_reads_again(self):
        """Guards against watches that miss the restore.

        Only the first read fails because the revision went back. The other watches must
        notice the restore too.
        """

        async def scenario(store, gateway):
            watches = [store.watch(PREFIX, silence=0.01) for _ in range(3)]
            for watch in watches:
                await anext(watch)
            gateway.restore(4, b"four")
            changes = [await anext(watch) for watch in watches]
            for watch in watches:
                await watch.aclose()
            return changes, store.history

        changes, history = run_scenario(scenario)
        assert [change.value for change in changes] == [b"four"] * 3
        assert history == 1

    def test_a_message_of_a_lower_revision_is_ignored(self):
        async def scenario(store, gateway):
            watch = store.watch(PREFIX, silence=0.01)
            await anext(watch)
            header = {"header": {"revision": "4"}, "events": [{"kv": {}}]}
            assert watch._report(header) == []
            return watch._behind

        assert run_scenario(scenario)
