"""The stored record of the services that routes have led to.

Daemons that poll the store write the record. A daemon that starts reads it after it
has read its first configuration. See `zinniahook_core.packets.formers`.
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
"""Seconds between retries while the store fails; each call is billed."""

SETTLE_SECONDS = 1.0
"""Seconds for which a daemon polls the store before it writes. After a restart of all
processes every daemon polls for a moment, and each would write the same."""

REREAD_SECONDS = 2.0
"""Seconds until a possibly incomplete record is read again. A daemon that was running
during the restore writes it again within `SETTLE_SECONDS`."""

CHECKED_ERA_NAME = "era"
"""Name of the value that holds the latest era in which a daemon with complete
knowledge has written or checked the record."""

ERA_DIGITS = 7
"""Digits of the highest era."""


class Recorder:
    """Reads and writes the record for one daemon.

    Parameters
    ----------
    node : Node
        The core whose former services are read and recorded.
    store : Store
        The platform's store.
    journal : Journal
        Records reads and writes of the record.
    """

    def __init__(self, node: Node, store: Store, journal: Journal) -> None:
        self._node = node
        self._store = store
        self._journal = journal
        self._values_by_name: dict[str, StoredValue] = {}
        self._recorded = Record({})
        # The era of the revisions read, and the era stored as `CHECKED_ERA_NAME`.
        self._era = 0
        self._checked_era = 0
        self._last_recorded: tuple[int, int] | None = None
        self._task: asyncio.Task | None = None
        self._retry_at = float("-inf")

    def update(self, watching_since: float, era: int = 0) -> None:
        """Start a read and write of the record in the background, if one is due.

        ``watching_since`` is when this daemon started to poll the store, ``era`` the
        era that the store has just reported. Polling doesn't wait for the task:
        otherwise, while the store accepts no writes, changes of the configuration
        would be noticed late.
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
        """Read the former services from the record, if any may be unknown here.

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
        """Whether the record contains everything that was written into it.

        Guards against this failure: the store is restored, and all processes restart
        before any daemon has written the record again. A flow at a service that was
        recorded in the lost seconds would then be considered one without an owner.
        """
        return not self._values_by_name or self._checked_era >= self._era

    async def write(self, watching_since: float, era: int = 0) -> None:
        """Record the services of the configuration in force, if the record lacks any.

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
            # This is the era's first write. Keep what other daemons have recorded.
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
        self._update_checked_era()

    async def _write_missing(self, wanted: Record) -> bool:
        """Write the parts that the store lacks.

        Return False if another daemon wrote concurrently or the store was restored.
        """
        changes = []
        if not self._recorded.covers(wanted):
            changes = _missing_parts(wanted, self._values_by_name)
        must_mark = self._checked_era < self._era and self._node.formers.is_complete
        if must_mark and len(changes) < BUCKETS:
            # Otherwise at the next update: a transaction takes `BUCKETS` parts at most.
            former = self._values_by_name.get(
                CHECKED_ERA_NAME, StoredValue(CHECKED_ERA_NAME, b"", 0)
            )
            changes.append(former._replace(value=str(self._era).encode()))
        if not changes:
            return True
        written = await self._store.write_values(changes)
        if written is None or written.era != self._era:
            # Read again at the next update. In another era the conditions compared
            # revisions of an abandoned history.
            self._values_by_name.clear()
            return False
        for change in changes:
            self._values_by_name[change.name] = change._replace(
                revision=written.revision, era=written.era
            )
        self._recorded = formers.merged([self._recorded, wanted])
        self._update_checked_era()
        self._journal.event("record.written", parts=len(changes), era=self._era)
        return True

    def _update_checked_era(self) -> None:
        """Parse the stored checked era; 0 if it is absent or another writer's.

        An era that the store hasn't reached would make every later record seem
        complete.
        """
        stored = self._values_by_name.get(CHECKED_ERA_NAME, NO_CHECKED_ERA).value
        era = int(stored) if stored.isdigit() and len(stored) <= ERA_DIGITS else 0
        self._checked_era = era if era <= self._era else 0


NO_CHECKED_ERA = StoredValue(CHECKED_ERA_NAME, b"0", 0)


def _missing_parts(
    wanted: Record, by_name: dict[str, StoredValue]
) -> list[StoredValue]:
    """Return the parts of the record that must be written."""
    changes = []
    for number in range(BUCKETS):
        name, part = str(number), wanted.bucket(number)
        former = by_name.get(name, StoredValue(name, b"", 0))
        if part.services_by_address and not formers.decode(former.value).covers(part):
            changes.append(StoredValue(name, formers.encode(part), former.revision))
    return changes
