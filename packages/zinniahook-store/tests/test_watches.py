"""A watch ends up with what is stored, whatever happened on the way."""

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
    """Applies what a watch reports, and checks its promise."""

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
    """Draws faults on the watch's path and at the store."""

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
        """Faults in random order on the path of a watch.

        Symptom: a daemon keeps an old roster for ever, or goes back to one.
        Sequence: writes and deletions between cuts, silences, refusals and
        compactions. Cause: a change that no watch brought is never read, or
        an old one is reported after a newer one.
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
    def test_comes_through_together_with_a_message(self, turns):
        """Symptom: a daemon that was told to stop goes on watching for ever.

        Sequence: a message arrives, and the reader is cancelled within the
        next turns of the loop.
        Cause: `asyncio.wait_for` of Python 3.11 returns the message and drops
        the cancellation.
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
