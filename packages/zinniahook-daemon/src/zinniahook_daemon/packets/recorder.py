"""Keeps the record of where routes have led, for daemons that start.

Whoever looks at the store writes it, and whoever has read its first
configuration there reads it; see `zinniahook_core.packets.formers`.
"""

from __future__ import annotations

import asyncio
import time

from zinniahook_core.codes import ZinniahookError
from zinniahook_core.packets import formers
from zinniahook_core.packets.formers import BUCKETS, Record
from zinniahook_core.packets.node import Node

from .journal import Journal
from .ports import Kept, Store

__all__ = ["Recorder"]

RETRY_AFTER = 1.0
"""Seconds until the next try after the store has failed; each is paid for."""

SETTLED_AFTER = 1.0
"""Seconds of looking at the store after which this daemon writes: after a start
of everything all look for a moment, and each would write the same."""


class Recorder:
    """Reads and writes the record for one daemon.

    Parameters
    ----------
    node : Node
        The core whose former services are told and recorded.
    store : Store
        The platform's store.
    journal : Journal
        For what was read and written.
    """

    def __init__(self, node: Node, store: Store, journal: Journal) -> None:
        self._node = node
        self._store = store
        self._journal = journal
        self._kept_by_name: dict[str, Kept] = {}
        self._recorded = Record({})
        self._version = 0
        self._task: asyncio.Task | None = None
        self._rest_until = float("-inf")

    def look(self, began: float) -> None:
        """Read and write what is due, beside the look at the configuration.

        ``began`` is when this daemon began to look at the store. What goes
        wrong if the look waits for it: the store takes no writes for a while,
        and changes of the configuration are seen late.
        """
        busy = self._task is not None and not self._task.done()
        if not busy and time.monotonic() >= self._rest_until:
            self._task = asyncio.ensure_future(self._work(began))

    async def _work(self, began: float) -> None:
        try:
            await self.read()
            await self.write(began)
        except ZinniahookError as error:
            self._rest_until = time.monotonic() + RETRY_AFTER
            self._journal.event("record.failed", error=str(error))

    async def read(self) -> None:
        """Learn former services, if this daemon may lack any.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        node = self._node
        if node.formers.is_complete or not node.routes.version:
            return
        await self._read()
        rows = self._recorded.formers(node.routes)
        node.configure(time.monotonic(), node.routes, rows)
        self._journal.event("record.read", former=len(rows))

    async def write(self, began: float) -> None:
        """Record what the configuration in force leads to, if that is new.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        node, now = self._node, time.monotonic()
        if node.routes.version == self._version or now - began < SETTLED_AFTER:
            return
        wanted = Record.of(now, node.routes, node.formers)
        if not self._kept_by_name:
            await self._read()
        if not self._recorded.covers(wanted) and not await self._change(wanted):
            return
        self._version = node.routes.version

    async def _read(self) -> None:
        kept = await self._store.kept()
        self._kept_by_name = {each.name: each for each in kept}
        self._recorded = formers.merged(formers.decode(each.value) for each in kept)

    async def _change(self, wanted: Record) -> bool:
        """Write what is missing; return False if somebody else wrote meanwhile."""
        changes = _changes(wanted, self._kept_by_name)
        revision = await self._store.keep(changes)
        if not revision:
            # Read again at the next look.
            self._kept_by_name.clear()
            return False
        for change in changes:
            self._kept_by_name[change.name] = change._replace(revision=revision)
        self._recorded = formers.merged([self._recorded, wanted])
        self._journal.event("record.written", parts=len(changes))
        return True


def _changes(wanted: Record, by_name: dict[str, Kept]) -> list[Kept]:
    """Return the parts of the record that lack something."""
    changes = []
    for number in range(BUCKETS):
        name, part = str(number), wanted.bucket(number)
        former = by_name.get(name, Kept(name, b"", 0))
        if part.services_by_address and not formers.decode(former.value).covers(part):
            changes.append(Kept(name, formers.encode(part), former.revision))
    return changes
