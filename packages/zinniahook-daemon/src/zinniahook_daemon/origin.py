"""The store as a source of configurations and rosters, and writes of rosters."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.effects import WriteRoster
from zinniahook_core.events import RosterWritten
from zinniahook_core.models import Roster
from zinniahook_store import (
    AnswerLost,
    Change,
    Conflict,
    Item,
    NotWritten,
    Store,
    Watch,
    Written,
)
from zinniahook_wire import documents

from .sources import Source, SourceError, cancel_and_wait

if TYPE_CHECKING:
    from .distribution import Distribution

__all__ = ["Origin"]

ALL_KEYS_PREFIX = "/zinniahook/"
"""Prefix of all keys; an entry watches it with a single watch."""

FIRST_READ_SECONDS = 5.0
"""Seconds that a watch may take to answer for the first time."""

AGE_INTERVAL_SECONDS = 0.5
"""Seconds between updates of the time since the store's last answer."""

MIN_CATCH_UP_SECONDS = 0.5
MAX_CATCH_UP_SECONDS = 8.0
"""Longest pause between attempts to read missing values of a generation. The pause
doubles after each failure."""


class Origin(Source):
    """The store as a source.

    Parameters
    ----------
    distribution : Distribution
        Receives what is read from the store.
    store : Store
        The store's client.
    """

    name = "store"

    def __init__(self, distribution: Distribution, store: Store) -> None:
        self._distribution = distribution
        self._store = store

    async def follow(self) -> None:
        """Follow the store until it fails.

        Raises
        ------
        SourceError
            If the store doesn't answer.
        """
        try:
            await self._store.get(documents.POINTER_KEY)
        except ZinniahookError as error:
            raise SourceError(str(error)) from None
        self._distribution.selector.source_answered(self)
        self._distribution.record_store_contact(0.0, depth=1)
        watches = [self._store.watch(prefix) for prefix in self._prefixes()]
        readers = [asyncio.create_task(self._read(watch)) for watch in watches]
        readers.append(asyncio.create_task(self._catch_up()))
        try:
            await self._note_age(watches, readers)
        finally:
            await cancel_and_wait(set(readers))

    def _prefixes(self) -> list[str]:
        """Return the prefixes to watch: an agent's few keys, or all for an entry."""
        services = self._distribution.generations.services
        if services is None:
            return [ALL_KEYS_PREFIX]
        return [documents.POINTER_KEY, *map(documents.roster_key, sorted(services))]

    async def _note_age(
        self, watches: list[Watch], readers: list[asyncio.Task]
    ) -> None:
        started = time.monotonic()
        while True:
            heard = min(watch.heard for watch in watches)
            # Before its first answer a watch reports the time 0.
            if heard > 0 or time.monotonic() - started > FIRST_READ_SECONDS:
                self._distribution.record_store_contact(
                    time.monotonic() - heard, depth=1
                )
            for reader in readers:
                if reader.done():
                    reader.result()
            await asyncio.sleep(AGE_INTERVAL_SECONDS)

    async def _read(self, watch: Watch) -> None:
        async with contextlib.aclosing(watch):
            async for change in watch:
                try:
                    await self._apply_change(change)
                except ZinniahookError as error:
                    # A value is invalid, or a read failed. The configuration in
                    # force stays until `_catch_up` succeeds.
                    self._distribution.log_unusable(change.key, error)

    async def _catch_up(self) -> None:
        """Retry the reads of the generations that the pointer names.

        The watch reports a pointer once. If the reads that follow it failed and
        weren't retried, this daemon would keep the old generation until the next
        change, for hours although the store is up. A peer's newer generation
        wouldn't trigger the reads either, as the daemon already has the pointer.
        """
        pause = MIN_CATCH_UP_SECONDS
        while True:
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            if self._is_complete():
                pause = MIN_CATCH_UP_SECONDS
                continue
            try:
                await self._complete()
            except ZinniahookError as error:
                self._distribution.log_unusable(documents.POINTER_KEY, error)
                pause = min(MAX_CATCH_UP_SECONDS, pause * 2)

    def _is_complete(self) -> bool:
        """Return whether the pointer's generations are complete and in force."""
        generations = self._distribution.generations
        configuration = self._distribution.configuration
        in_force = configuration.generation if configuration else 0
        return in_force >= generations.desired_generation and not any(
            generations.missing_digests(generation) != []
            for generation in generations.named_generations()
        )

    async def _apply_change(self, change: Change) -> None:
        key, value = change.key, change.value
        generations = self._distribution.generations
        if key.startswith(documents.ROSTER_PREFIX):
            self._apply_roster(change)
        elif value is None:
            return
        elif key == documents.POINTER_KEY:
            generations.set_pointer(value)
            await self._complete()
        elif key.startswith(documents.GENERATION_PREFIX):
            generations.add_manifest(value)
        elif key.startswith(documents.CONFIGURATION_PREFIX):
            generations.add_values({key.rpartition("/")[2]: value})

    def _apply_roster(self, change: Change) -> None:
        service = change.key.removeprefix(documents.ROSTER_PREFIX)
        if not self._distribution.wants(service):
            return
        if change.value is None:
            roster = Roster(service, change.revision, {})
        else:
            roster = documents.roster_from_json(service, change.revision, change.value)
        self._distribution.update_roster(roster, change.value or b"")

    async def _complete(self) -> None:
        """Read the missing values of the pointer's generations, and apply them."""
        generations = self._distribution.generations
        for generation in generations.named_generations():
            if generations.stored(generation) is None:
                key = documents.generation_key(generation)
                item = await self._store.get(key)
                if item is None:
                    reason = f"{key} is not stored"
                    raise ZinniahookError(reason, Code.GENERATION_UNKNOWN)
                generations.add_manifest(item.value)
            await self._read_values(generations.missing_digests(generation))
        self._distribution.apply()
        # The rosters that came with the pointer are applied before the next
        # iteration of the event loop.
        asyncio.get_running_loop().call_soon(self._distribution.mark_synchronized)

    async def _read_values(self, digests: list[str]) -> None:
        if not digests:
            return
        keys = [documents.chunk_key(digest) for digest in digests]
        keys += [documents.keys_key(digest) for digest in digests]
        found = await self._store.get_many(keys)
        self._distribution.generations.add_values(
            {key.rpartition("/")[2]: item.value for key, item in found.items()}
        )

    # Rosters

    async def read_roster(self, service: str) -> Roster:
        """Return a roster as stored, of revision 0 if there is none.

        Raises
        ------
        ZinniahookError
            If the store doesn't answer or the value is invalid.
        """
        item = await self._store.get(documents.roster_key(service))
        return _roster(service, item)

    async def write_roster(self, effect: WriteRoster) -> RosterWritten:
        """Compare-and-swap a roster, and resolve a lost answer if possible."""
        try:
            return await self._write_roster(effect.operation, effect.roster)
        except ZinniahookError as error:
            # No write was sent: the read failed, or the new value is too large.
            return RosterWritten(effect.operation, error.code, None)

    async def _write_roster(self, operation: str, roster: Roster) -> RosterWritten:
        service = roster.service
        key = documents.roster_key(service)
        # The value must keep the ids of earlier writes. Otherwise their writers
        # would consider a write with a lost answer as failed.
        item = await self._store.get(key)
        stored = _roster(service, item)
        if stored.revision != roster.revision:
            return RosterWritten(operation, Code.CONFLICT, stored)
        operations = documents.operations_of(item.value) if item else ()
        value = documents.roster_to_json(roster, (*operations, operation))

        def contains(data: bytes) -> bool:
            return operation in documents.operations_of(data)

        outcome = await self._store.swap(key, roster.revision, value, contains)
        if isinstance(outcome, AnswerLost):
            outcome = await self._store.settle(key, roster.revision, contains)
        match outcome:
            case Written(revision):
                written = roster._replace(revision=revision)
                return RosterWritten(operation, Code.OK, written)
            case Conflict(current):
                stored = _roster(service, current)
                return RosterWritten(operation, Code.CONFLICT, stored)
            case NotWritten(failure) | AnswerLost(failure):
                return RosterWritten(operation, failure.code, None)


def _roster(service: str, item: Item | None) -> Roster:
    if item is None:
        return Roster(service, 0, {})
    return documents.roster_from_json(service, item.revision, item.value)
