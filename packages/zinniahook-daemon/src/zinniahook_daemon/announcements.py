"""The list of the running entries of a data centre, kept in the store.

Entries announce themselves in the list, as no roster contains them; agents are
in the roster of their service. Operators use the list to find daemons, and the
daemons derive the distribution tree from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from zinniahook_core.codes import ZinniahookError
from zinniahook_store import Item, Store, StoreError, Written
from zinniahook_wire import documents
from zinniahook_wire.documents import Daemon

if TYPE_CHECKING:
    from .node import Node

__all__ = ["Announcement", "read_daemons"]

MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 10.0
"""Pause between attempts, doubled after each, as many daemons may start at once."""

WITHDRAW_TIMEOUT_SECONDS = 1.0
"""Time that a stopping daemon spends on removing itself from the list."""

PROBE_INTERVAL_SECONDS = 10.0
"""Time between probes; each goes to one random daemon of the list."""

PROBE_TIMEOUT_SECONDS = 2.0

MAX_FAILED_PROBES = 3
"""Consecutive failures after which a daemon is removed from the list.

A killed daemon can't remove itself. If it stayed in the list, it would keep its
position in the distribution tree, and each of its children would try it first.
"""

Daemons = dict[str, Daemon]
Change = Callable[[Daemons], bool]


async def read_daemons(store: Store, data_centre: str) -> Daemons:
    """Return the announced daemons of a data centre by name.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer or the value can't be read.
    """
    item = await store.get(documents.daemons_key(data_centre))
    return documents.daemons_from_json(item.value) if item else {}


class Announcement:
    """Keeps this daemon in the list, and removes dead daemons from it.

    Parameters
    ----------
    node : Node
        A started node.

    Attributes
    ----------
    announced : bool
        Whether this daemon has been added to the list.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._key = documents.daemons_key(node.settings.data_centre)
        self._daemon = Daemon(
            node.settings.name,
            node.settings.role,
            node.control_address,
            int(time.time()),
        )
        self._failures_by_name: dict[str, int] = {}
        self.announced = False
        self._check_requested = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to announce this daemon."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Remove this daemon from the list, if the store answers in time."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        if not self.announced:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_TIMEOUT_SECONDS):
                await self._update_with_retries(self._withdraw)

    def check(self) -> None:
        """Schedule a check that this daemon is still in the list.

        It may have been removed while it was paused or cut off. In both cases it
        also loses its source, so this is called whenever all sources have failed.
        """
        self._check_requested.set()

    async def _run(self) -> None:
        await self._update_with_retries(self._announce)
        self.announced = True
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    PROBE_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
                ):
                    await self._check_requested.wait()
            if self._check_requested.is_set():
                self._check_requested.clear()
                await self._update_with_retries(self._announce)
            # Only the few watchers of the store probe: each probe reads the
            # list, which grows with the data centre.
            elif self._node.distribution.selector.watches_store:
                await self._probe_one()

    async def _update_with_retries(self, change: Change) -> None:
        """Change the list, with a retry after each conflict or failed call."""
        pause = MIN_RETRY_SECONDS
        while not await self._try_update(change):
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(MAX_RETRY_SECONDS, pause * 2)

    async def _try_update(self, change: Change) -> bool:
        """Try to change the list; return False if a retry is needed.

        A lost answer of the store needs no special handling: the next attempt
        finds the change made, or makes it.
        """
        store = self._node.store
        try:
            item = await store.get(self._key)
            daemons, operations = _decode(item)
            if not change(daemons):
                return True
            operation = secrets.token_hex(8)
            value = documents.daemons_to_json(
                daemons.values(), (*operations, operation)
            )
        except StoreError:
            return False
        except ZinniahookError as error:
            self._node.distribution.log_unusable(self._key, error)
            return False
        revision = item.revision if item else 0
        outcome = await store.compare_and_swap(self._key, revision, value)
        return isinstance(outcome, Written)

    def _announce(self, daemons: Daemons) -> bool:
        if daemons.get(self._daemon.name) == self._daemon:
            return False
        daemons[self._daemon.name] = self._daemon
        return True

    def _withdraw(self, daemons: Daemons) -> bool:
        # A new process of the same name may already have announced itself.
        if daemons.get(self._daemon.name) != self._daemon:
            return False
        del daemons[self._daemon.name]
        return True

    async def _probe_one(self) -> None:
        """Probe another daemon, and remove it from the list if it is gone."""
        try:
            daemons = await read_daemons(
                self._node.store, self._node.settings.data_centre
            )
        except ZinniahookError:
            return
        others = [
            daemon for daemon in daemons.values() if daemon.name != self._daemon.name
        ]
        if not others:
            return
        other = random.choice(others)
        failures = self._failures_by_name
        if await _accepts_connections(other):
            failures.pop(other.name, None)
            return
        failures[other.name] = failures.get(other.name, 0) + 1
        if failures[other.name] < MAX_FAILED_PROBES:
            return

        def remove(daemons: Daemons) -> bool:
            return daemons.get(other.name) == other and bool(
                daemons.pop(other.name, None)
            )

        await self._try_update(remove)
        del failures[other.name]
        self._node.log("daemon-removed", daemon=other.name)


def _decode(item: Item | None) -> tuple[Daemons, tuple[str, ...]]:
    if item is None:
        return {}, ()
    return (
        documents.daemons_from_json(item.value),
        documents.operations_of(item.value),
    )


async def _accepts_connections(daemon: Daemon) -> bool:
    """Return whether a daemon's control address accepts connections."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(*daemon.control)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
