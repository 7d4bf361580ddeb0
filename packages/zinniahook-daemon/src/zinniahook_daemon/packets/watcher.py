"""Keeps a daemon's configuration fresh, and its agent announced.

Few daemons look at the store: whoever heard no fresh confirmation for a while
does, until another one's confirmations arrive. See
`zinniahook_core.packets.freshness`.
"""

from __future__ import annotations

import asyncio
import random
import time

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.packets.eras import era_of, position_of
from zinniahook_core.packets.node import Node

from .journal import Journal
from .ports import (
    AgentRecord,
    EvacuationSnapshot,
    Store,
    StoreEraError,
    StoreUnavailableError,
    WritePosition,
)
from .recorder import Recorder

__all__ = ["Announcer", "Watcher"]

POLL_INTERVAL_SECONDS = 0.4
"""Seconds between reads of the store's revision. A waiting watch would cost as
many calls, and a store that has just dropped its history answers watches with
"nothing new" for a second while changes are made."""

MIN_IDLE_SECONDS = 0.1
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.5
"""Seconds between tries while the store is down: a change must be in force 3 s
after the store is back, and each try is paid for."""

RENEWAL_DELAY_SECONDS = 2.0
"""Seconds between a restore of the store and the first agents that announce
themselves again: all daemons have heard of it by then, and the store has answered
those that look at it."""

RENEWAL_JITTER_SECONDS = 5.0
"""Seconds over which agents announce themselves again. 300 of them are 60 writes a
second, a sixth of what a small store takes, and nobody but a daemon that starts
meanwhile reads them."""


class Backoff:
    """Growing, spread pauses between tries."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause = MIN_RETRY_SECONDS

    def reset(self) -> None:
        """Begin with short pauses again."""
        self._pause = MIN_RETRY_SECONDS

    async def wait(self) -> None:
        """Pause."""
        pause = self._pause * (0.5 + self._rng.random())
        self._pause = min(MAX_RETRY_SECONDS, self._pause * 2)
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
        self._is_connected: bool | None = None

    async def run(self) -> None:
        """Watch whenever needed, for ever."""
        while True:
            now = time.monotonic()
            if not self._must_poll(now):
                await asyncio.sleep(
                    max(MIN_IDLE_SECONDS, self._node.freshness.rest(now))
                )
                continue
            try:
                await self._watch()
            except ZinniahookError as error:
                self._record_contact(False, str(error))
                await self._backoff.wait()

    def _must_poll(self, now: float) -> bool:
        node = self._node
        return node.freshness.must_look(now) or node.evacuations.must_read(now)

    async def _watch(self) -> None:
        """Read what the store has, as long as nobody else does."""
        freshness = self._node.freshness
        latest: EvacuationSnapshot | None = None
        watching_since = time.monotonic()
        self._journal.event("watch.begun", age=freshness.age(time.monotonic()))
        while not freshness.may_yield(time.monotonic()):
            began = time.monotonic()
            snapshot = await self._poll(latest)
            self._record_contact(True, "")
            if snapshot is None:
                continue
            latest = snapshot
            freshness.confirmed(began)
            # What goes wrong without: while no client sends, confirmations are
            # half a second old before another watcher hears them, so it doesn't
            # yield, and a third of the entries go on reading the store.
            self._node.show(time.monotonic())
            self._recorder.update(watching_since, latest.era)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._journal.event("watch.ended", other=freshness.watcher)

    async def _poll(
        self, latest: EvacuationSnapshot | None
    ) -> EvacuationSnapshot | None:
        """Read what the operator wants; return what the store listed.

        None if the store was restored meanwhile: what came is of its former
        history and confirms nothing.

        The evacuations come first, in the call that tells the revision. What
        goes wrong the other way round: a daemon that starts routes openings to
        targets of an evacuated data centre until it knows better.
        """
        position = self._node.evacuations.position
        snapshot = await self._store.evacuation_snapshot()
        self._check_era(snapshot.era, era_of(position))
        if position_of(snapshot.era, max(1, snapshot.revision)) < position:
            # It lost what it had shown and doesn't say so. What goes wrong if it
            # counts as fresh: orders that aren't taken pass for known everywhere.
            raise StoreUnavailableError("store: older than what it has shown")
        self._node.evacuate(time.monotonic(), *snapshot)
        if snapshot.era < self._node.evacuations.era:
            return None
        if snapshot == latest:
            return latest
        routes, _ = await self._store.configuration()
        self._node.configure(time.monotonic(), routes)
        return snapshot

    def _check_era(self, era: int, known: int) -> None:
        """Refuse an answer of an era below the one known as it was asked for."""
        if era < known:
            self._journal.event(
                "store.era_fell", era=era, known=known, code=int(Code.STORE_ERA_FELL)
            )
            raise StoreEraError(f"store: era {era} after {known}")

    def _record_contact(self, is_connected: bool, why: str) -> None:
        if is_connected:
            self._backoff.reset()
        if is_connected is self._is_connected:
            return
        self._is_connected = is_connected
        name = "dependency.regained" if is_connected else "dependency.lost"
        self._journal.event(name, dependency="store", why=why)


class Announcer:
    """Writes an agent into the store, and takes it out at its end.

    Once, and once more in each later era of the store: a restored one may lack
    what it had taken.
    """

    def __init__(self, store: Store, agent: AgentRecord, rng: random.Random) -> None:
        self._store = store
        self._agent = agent
        self._rng = rng
        self._backoff = Backoff(rng)
        self._last_write: WritePosition | None = None
        self._is_withdrawn = False
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Announce the agent, trying until it is done."""
        async with self._lock:
            await self._announce()

    def needs_renewal(self, era: int) -> bool:
        """Tell whether the agent was written in an earlier era alone."""
        return self._last_write is not None and self._last_write.era < era

    async def renew(self, era: int) -> bool:
        """Announce the agent again in a later era; return whether it was needed.

        What goes wrong without the pause: all agents write within a second, and
        the store refuses most of them.
        """
        await asyncio.sleep(
            RENEWAL_DELAY_SECONDS + RENEWAL_JITTER_SECONDS * self._rng.random()
        )
        async with self._lock:
            if self._is_withdrawn or not self.needs_renewal(era):
                return False
            await self._announce()
            return True

    async def _announce(self) -> None:
        self._backoff.reset()
        while not self._is_withdrawn:
            try:
                self._last_write = await self._store.announce(self._agent)
                return
            except StoreUnavailableError:
                await self._backoff.wait()

    async def withdraw(self, era: int = 0) -> None:
        """Take the agent out; one try, since nobody relies on it.

        ``era`` is the store's latest one. If the agent wasn't written in it, the
        condition is what is there now: this process still has its address, so
        nobody else has written the key. What goes wrong with a revision of a
        former era: it may be that of a later process by chance.
        """
        self._is_withdrawn = True
        if self._last_write is None:
            return
        try:
            written: WritePosition | None = self._last_write
            if self._last_write.era < era:
                written = await self._store.last_write(self._agent)
            if written is not None:
                await self._store.withdraw(self._agent, written.revision)
        except ZinniahookError:
            return
