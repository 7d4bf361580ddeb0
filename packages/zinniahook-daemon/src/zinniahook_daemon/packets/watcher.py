"""Keeps a daemon's configuration fresh, and its agent announced.

Few daemons look at the store: whoever heard no fresh confirmation for a while
does, until another one's confirmations arrive. See
`zinniahook_core.packets.freshness`.
"""

from __future__ import annotations

import asyncio
import random
import time

from zinniahook_core.codes import ZinniahookError
from zinniahook_core.packets.node import Node

from .journal import Journal
from .ports import Announced, Store, StoreUnavailableError
from .recorder import Recorder

__all__ = ["Announcer", "Watcher"]

LOOK_EVERY = 0.4
"""Seconds between reads of the store's revision. A waiting watch would cost as
many calls, and a store that has just dropped its history answers watches with
"nothing new" for a second while changes are made."""

IDLE_TIME = 0.1
RETRY_FIRST = 0.2
RETRY_LONGEST = 1.5
"""Seconds between tries while the store is down: a change must be in force 3 s
after the store is back, and each try is paid for."""


class Backoff:
    """Growing, spread pauses between tries."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause = RETRY_FIRST

    def reset(self) -> None:
        """Begin with short pauses again."""
        self._pause = RETRY_FIRST

    async def wait(self) -> None:
        """Pause."""
        pause = self._pause * (0.5 + self._rng.random())
        self._pause = min(RETRY_LONGEST, self._pause * 2)
        await asyncio.sleep(pause)


class Watcher:
    """Looks at the store when this daemon must.

    Parameters
    ----------
    node : Node
        The core whose configuration is kept.
    store : Store
        The platform's store.
    journal : Journal
        For lost and regained contact.
    """

    def __init__(self, node: Node, store: Store, journal: Journal) -> None:
        self._node = node
        self._store = store
        self._journal = journal
        self._recorder = Recorder(node, store, journal)
        self._backoff = Backoff(node.rng)
        self._in_touch: bool | None = None

    async def run(self) -> None:
        """Watch whenever needed, for ever."""
        while True:
            now = time.monotonic()
            if not self._must_look(now):
                await asyncio.sleep(max(IDLE_TIME, self._node.freshness.rest(now)))
                continue
            try:
                await self._watch()
            except ZinniahookError as error:
                self._touched(False, str(error))
                await self._backoff.wait()

    def _must_look(self, now: float) -> bool:
        node = self._node
        return node.freshness.must_look(now) or node.evacuations.must_read(now)

    async def _watch(self) -> None:
        """Read what the store has, as long as nobody else does."""
        freshness = self._node.freshness
        seen: int | None = None
        looked_since = time.monotonic()
        self._journal.event("watch.begun", age=freshness.age(time.monotonic()))
        while not freshness.may_yield(time.monotonic()):
            began = time.monotonic()
            seen = await self._look(seen)
            self._touched(True, "")
            freshness.confirmed(began)
            # What goes wrong without: while no client sends, confirmations are
            # half a second old before another watcher hears them, so it doesn't
            # yield, and a third of the entries go on reading the store.
            self._node.show(time.monotonic())
            self._recorder.look(looked_since)
            await asyncio.sleep(LOOK_EVERY)
        self._journal.event("watch.ended", other=freshness.watcher)

    async def _look(self, seen: int | None) -> int:
        """Read what the operator wants; return the revision of the configuration.

        The evacuations come first, in the call that tells the revision. What
        goes wrong the other way round: a daemon that starts routes openings to
        targets of an evacuated data centre until it knows better.
        """
        evacuated = await self._store.evacuated()
        self._node.evacuate(time.monotonic(), *evacuated)
        if evacuated.revision == seen:
            return seen
        routes, seen = await self._store.configuration()
        self._node.configure(time.monotonic(), routes)
        return seen

    def _touched(self, in_touch: bool, why: str) -> None:
        if in_touch:
            self._backoff.reset()
        if in_touch is self._in_touch:
            return
        self._in_touch = in_touch
        name = "dependency.regained" if in_touch else "dependency.lost"
        self._journal.event(name, dependency="store", why=why)


class Announcer:
    """Writes an agent into the store once, and takes it out at its end."""

    def __init__(self, store: Store, own: Announced, rng: random.Random) -> None:
        self._store = store
        self._own = own
        self._backoff = Backoff(rng)
        self._revision = 0

    async def run(self) -> None:
        """Announce the agent, trying until it is done."""
        while True:
            try:
                self._revision = await self._store.announce(self._own)
                return
            except StoreUnavailableError:
                await self._backoff.wait()

    async def withdraw(self) -> None:
        """Take the agent out; one try, since nobody relies on it."""
        if not self._revision:
            return
        try:
            await self._store.withdraw(self._own, self._revision)
        except ZinniahookError:
            return
