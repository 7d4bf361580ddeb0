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
from .ports import Store, StoredValue

__all__ = ["Recorder"]

RETRY_SECONDS = 1.0
"""Seconds until the next try after the store has failed; each is paid for."""

SETTLE_SECONDS = 1.0
"""Seconds of looking at the store after which this daemon writes: after a start
of everything all look for a moment, and each would write the same."""

REREAD_SECONDS = 2.0
"""Seconds until a record that may lack something is read again: a daemon that has
lived through the restore writes it again within the time to settle."""

CHECKED_ERA_NAME = "era"
"""Under it stands the latest era in which a daemon that lacked nothing has written
or checked the record."""


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
        self._values_by_name: dict[str, StoredValue] = {}
        self._recorded = Record({})
        # The era of the revisions read, and the latest one under `CHECKED_ERA_NAME`.
        self._era = 0
        self._checked_era = 0
        self._last_recorded: tuple[int, int] | None = None
        self._task: asyncio.Task | None = None
        self._retry_at = float("-inf")

    def update(self, watching_since: float, era: int = 0) -> None:
        """Read and write what is due, beside the look at the configuration.

        ``watching_since`` is when this daemon began to look at the store, ``era`` the
        store's as it has just told. What goes
        wrong if the look waits for it: the store takes no writes for a while,
        and changes of the configuration are seen late.
        """
        busy = self._task is not None and not self._task.done()
        if not busy and time.monotonic() >= self._retry_at:
            self._task = asyncio.ensure_future(
                self._read_and_write(watching_since, era)
            )

    async def _read_and_write(self, watching_since: float, era: int) -> None:
        try:
            await self.read(era)
            await self.write(watching_since, era)
        except ZinniahookError as error:
            self._retry_at = time.monotonic() + RETRY_SECONDS
            self._journal.event("record.failed", error=str(error))

    async def read(self, era: int = 0) -> None:
        """Learn former services, if this daemon may lack any.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        node = self._node
        if node.formers.is_complete or not node.routes.version:
            return
        await self._read(era)
        rows = self._recorded.formers(node.routes)
        whole = self._is_complete
        node.configure(time.monotonic(), node.routes, rows, whole)
        if not whole:
            self._retry_at = time.monotonic() + REREAD_SECONDS
        self._journal.event("record.read", former=len(rows), whole=whole)

    @property
    def _is_complete(self) -> bool:
        """Whether the record lacks nothing that was written into it.

        What goes wrong without: the store is restored, everything restarts before
        anybody has written the record again, and a flow at a service recorded in
        the lost seconds passes for one that nobody owns.
        """
        return not self._values_by_name or self._checked_era >= self._era

    async def write(self, watching_since: float, era: int = 0) -> None:
        """Record what the configuration in force leads to, if that is new.

        Raises
        ------
        StoreUnavailableError
            If the store doesn't answer.
        """
        node, now = self._node, time.monotonic()
        if (
            node.routes.version,
            era,
        ) == self._last_recorded or now - watching_since < SETTLE_SECONDS:
            return
        wanted = Record.of(now, node.routes, node.formers)
        if not self._values_by_name or era > self._era:
            await self._read(era)
        if self._checked_era < self._era:
            # The first to write in an era: others may know what this one doesn't.
            wanted = formers.merged([self._recorded, wanted])
        if not await self._write_missing(wanted):
            return
        if node.formers.is_complete and self._checked_era >= self._era:
            self._last_recorded = node.routes.version, self._era

    async def _read(self, era: int) -> None:
        kept = await self._store.stored_values()
        self._era = max([era, *(each.era for each in kept)])
        self._values_by_name = {each.name: each for each in kept}
        self._recorded = formers.merged(formers.decode(each.value) for each in kept)
        stored_era = self._values_by_name.get(CHECKED_ERA_NAME)
        self._checked_era = _parse_number(stored_era.value) if stored_era else 0

    async def _write_missing(self, wanted: Record) -> bool:
        """Write what is missing.

        Return False if somebody else wrote meanwhile or the store was restored.
        """
        changes = []
        if not self._recorded.covers(wanted):
            changes = _missing_parts(wanted, self._values_by_name)
        must_mark = self._checked_era < self._era and self._node.formers.is_complete
        if must_mark and len(changes) < BUCKETS:
            # Else at the next look: a transaction takes no more parts.
            former = self._values_by_name.get(
                CHECKED_ERA_NAME, StoredValue(CHECKED_ERA_NAME, b"", 0)
            )
            changes.append(former._replace(value=str(self._era).encode()))
        if not changes:
            return True
        written = await self._store.write_values(changes)
        if written is None or written.era != self._era:
            # Read again at the next look. In another era the conditions meant
            # revisions of a history that is over.
            self._values_by_name.clear()
            return False
        for change in changes:
            self._values_by_name[change.name] = change._replace(
                revision=written.revision, era=written.era
            )
        self._recorded = formers.merged([self._recorded, wanted])
        self._checked_era = _parse_number(
            self._values_by_name.get(CHECKED_ERA_NAME, NO_CHECKED_ERA).value
        )
        self._journal.event("record.written", parts=len(changes), era=self._era)
        return True


NO_CHECKED_ERA = StoredValue(CHECKED_ERA_NAME, b"0", 0)


def _parse_number(value: bytes) -> int:
    """Read a stored number; 0 if it isn't one."""
    return int(value) if value.isdigit() else 0


def _missing_parts(
    wanted: Record, by_name: dict[str, StoredValue]
) -> list[StoredValue]:
    """Return the parts of the record that lack something."""
    changes = []
    for number in range(BUCKETS):
        name, part = str(number), wanted.bucket(number)
        former = by_name.get(name, StoredValue(name, b"", 0))
        if part.services_by_address and not formers.decode(former.value).covers(part):
            changes.append(StoredValue(name, formers.encode(part), former.revision))
    return changes
