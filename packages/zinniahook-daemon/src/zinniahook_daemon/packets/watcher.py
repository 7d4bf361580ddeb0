"""Polling of the store, and the announcement of an agent in it.

Only a few daemons poll the store. A daemon starts to poll when it has received no
fresh confirmation for a while, and stops when confirmations of another watcher
arrive. See `zinniahook_core.packets.freshness`.
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
"""Seconds between reads of the store's revision. A long-polling watch would cost as
many calls, and a store that has just compacted its history answers watches with
"nothing new" for a second although changes are made."""

MIN_IDLE_SECONDS = 0.1
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.5
"""Longest pause between retries while the store is down. A change must be in force
3 s after the store is back, and each call is billed."""

RENEWAL_DELAY_SECONDS = 2.0
"""Seconds between a restore of the store and the first renewed announcements. By
then every daemon knows of the restore, and the store has answered the watchers."""

RENEWAL_JITTER_SECONDS = 5.0
"""Seconds over which agents spread their renewed announcements. 300 agents make 60
writes a second, a sixth of what a small store takes. Only daemons that start in this
time read them."""


class Backoff:
    """Exponential backoff with jitter between retries."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause = MIN_RETRY_SECONDS

    def reset(self) -> None:
        """Return to the shortest pause."""
        self._pause = MIN_RETRY_SECONDS

    async def wait(self) -> None:
        """Sleep for the next pause, and double it for the next call."""
        pause = self._pause * (0.5 + self._rng.random())
        self._pause = min(MAX_RETRY_SECONDS, self._pause * 2)
        await asyncio.sleep(pause)


class Watcher:
    """Polls the store while no other daemon does.

    Parameters
    ----------
    node : Node
        The core that receives configurations and evacuations.
    store : Store
        The platform's store.
    journal : Journal
        Records when the store becomes unreachable and reachable.
    """

    def __init__(self, node: Node, store: Store, journal: Journal) -> None:
        self._node = node
        self._store = store
        self._journal = journal
        self._recorder = Recorder(node, store, journal)
        self._backoff = Backoff(node.rng)
        self._is_connected: bool | None = None

    async def run(self) -> None:
        """Poll the store whenever it is needed, without end."""
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
        """Poll the store until another watcher's confirmations arrive."""
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
            # Announce the confirmation at once. Otherwise, while no client sends,
            # it is half a second old when another watcher receives it. That watcher
            # then doesn't yield, and a third of the entries keep polling.
            self._node.show(time.monotonic())
            self._recorder.update(watching_since, latest.era)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._journal.event("watch.ended", other=freshness.watcher)

    async def _poll(
        self, latest: EvacuationSnapshot | None
    ) -> EvacuationSnapshot | None:
        """Read the evacuations, and the configuration if anything has changed.

        Evacuations are read first, in the call that returns the revision. With the
        configuration first, a starting daemon would route openings to targets of
        an evacuated data centre until it had read the evacuations.

        Returns
        -------
        EvacuationSnapshot or None
            What the store listed; None if the store was restored during the call.
            The answer then belongs to the former history and confirms nothing.
        """
        position = self._node.evacuations.position
        snapshot = await self._store.evacuation_snapshot()
        self._check_era(snapshot.era, era_of(position))
        if position_of(snapshot.era, max(1, snapshot.revision)) < position:
            # The store has lost changes without reporting a new era. If the answer
            # were taken as fresh, orders that no daemon has installed would be
            # considered known everywhere.
            raise StoreUnavailableError(
                "store: answered with an older revision than before"
            )
        self._node.evacuate(time.monotonic(), *snapshot)
        if snapshot.era < self._node.evacuations.era:
            return None
        if snapshot == latest:
            return latest
        routes, _ = await self._store.configuration()
        self._node.configure(time.monotonic(), routes)
        return snapshot

    def _check_era(self, era: int, known: int) -> None:
        """Raise an error if an answer's era is below the one known at the request."""
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
    """Announces an agent in the store, and withdraws it when the agent ends.

    The agent is written once, and again in each later era: a restored store may lack
    the earlier write.
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
        """Announce the agent, and retry until the store has accepted it."""
        async with self._lock:
            await self._announce()

    def needs_renewal(self, era: int) -> bool:
        """Return whether the agent was last written in an earlier era."""
        return self._last_write is not None and self._last_write.era < era

    async def renew(self, era: int) -> bool:
        """Announce the agent again in a later era; return whether it was needed.

        A random delay spreads the writes. Otherwise all agents would write within a
        second, and the store would refuse most of them.
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
        """Withdraw the agent. It is tried once, as no process depends on it.

        ``era`` is the store's latest era. If the agent was last written in an earlier
        era, the delete is conditioned on the key's present revision: this process
        still holds its address, so no other process has written the key. A revision
        of a former era could by chance equal that of a later process's key.
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
