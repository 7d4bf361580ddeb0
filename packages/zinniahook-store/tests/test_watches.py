"""A watch converges to the stored items whatever faults occur."""

import asyncio
import random
import types

import pytest
from zinniahook_store import Store, Written
from zinniahook_testkit import faults, stores

TIMEOUT_SECONDS = 30.0
SILENCE_SECONDS = 0.15
KEYS = 6
STEPS = 30
PREFIX = "/zinniahook/roster/"


class Follower:
    """Applies the changes that a watch reports, and checks that revisions increase."""

    def __init__(self, watch):
        self.values_by_key = {}
        self.revisions_by_key = {}
        self.watch = watch
        self.last = None

    async def follow(self):
        async for change in self.watch:
            assert change.revision > self.revisions_by_key.get(change.key, 0)
            self.revisions_by_key[change.key] = change.revision
            self.values_by_key[change.key] = change.value
            if change.value is None:
                del self.values_by_key[change.key]


class Faults:
    """Injects random faults on the watch's path and at the store."""

    def __init__(self, rng, server, proxy):
        self.rng = rng
        self.server = server
        self.proxy = proxy

    def draw(self):
        actions = [
            self.proxy.cut,
            self.proxy.silence,
            self.server.compact,
            lambda: self.proxy.silence("down"),
            lambda: self.proxy.set_faults(refuse=self.rng.random() < 0.5),
            lambda: self.proxy.set_faults(hang=self.rng.random() < 0.5),
            lambda: self.server.set_faults(silent=self.rng.random() < 0.5),
        ]
        self.rng.choice(actions)()

    def clear(self):
        self.proxy.set_faults(refuse=False, hang=False)
        self.server.set_faults(silent=False)


async def change_something(rng, store, step):
    key = f"{PREFIX}{rng.randrange(KEYS)}"
    if rng.random() < 0.2:
        outcome = await store.delete(key)
    else:
        outcome = await store.put(key, b"%d" % step)
    assert isinstance(outcome, Written)


class TestConvergence:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_random_faults(self, seed):
        """Guards against a daemon that keeps an old roster or returns to one.

        Writes and deletions happen between cuts, silences, refusals and compactions. A
        change that no watch delivered must be read, and an old one must not be reported
        after a newer one.
        """

        async def scenario():
            rng = random.Random(seed)
            with stores.start() as server, faults.start(server.address) as proxy:
                near = Store([server.address], 2.0, random.Random(seed))
                far = Store([proxy.address], 0.5, random.Random(seed))
                follower = Follower(far.watch(PREFIX, silence=SILENCE_SECONDS))
                following = asyncio.ensure_future(follower.follow())
                trouble = Faults(rng, server, proxy)
                for step in range(STEPS):
                    await change_something(rng, near, step)
                    if rng.random() < 0.4:
                        trouble.draw()
                    await asyncio.sleep(rng.uniform(0, SILENCE_SECONDS))
                trouble.clear()
                stored = {item.key: item.value for item in await near.range(PREFIX)}
                while follower.values_by_key != stored:
                    assert not following.done(), following.exception()
                    await asyncio.sleep(0.02)
                following.cancel()
                await asyncio.wait([following])

        asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_SECONDS))


class TestCancellation:
    @pytest.mark.parametrize("turns", range(4))
    def test_takes_effect_together_with_a_message(self, turns):
        """Guards against a stopped daemon that continues to watch forever.

        A message arrives, and the reader is cancelled within the next turns of the
        loop. `asyncio.wait_for` of Python 3.11 returns the message and drops the
        cancellation.
        """

        async def scenario():
            store = Store(["127.0.0.1:9"])
            watch = store.watch(PREFIX, silence=TIMEOUT_SECONDS)
            messages = asyncio.Queue()
            stream = types.SimpleNamespace(read=messages.get)
            reader = asyncio.ensure_future(watch._next_message(stream))
            while not messages._getters:
                await asyncio.sleep(0)
            messages.put_nowait({"result": {}})
            for _ in range(turns):
                await asyncio.sleep(0)
            if reader.cancel():
                await asyncio.wait([reader])
                assert reader.cancelled()
            store.close()

        asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_SECONDS))
