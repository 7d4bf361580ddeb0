"""Learning from the store itself, and writing rosters to it."""

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
"""Prefix of every key; an entry watches it with one watch."""

FIRST_READ_SECONDS = 5.0
"""Seconds that the first read of a watch may take."""

AGE_INTERVAL_SECONDS = 0.5
"""Seconds between looks at when the watches last heard of the store."""

MIN_CATCH_UP_SECONDS = 0.5
MAX_CATCH_UP_SECONDS = 8.0
"""Seconds between attempts to read what a generation still lacks, doubled after
each that fails."""


class Origin(Source):
    """The store as a source.

    Parameters
    ----------
    distribution : Distribution
        Where what is learned goes.
    store : Store
        The client.
    """

    name = "store"

    def __init__(self, distribution: Distribution, store: Store) -> None:
        self._distribution = distribution
        self._store = store

    async def follow(self) -> None:
        """Learn from the store.

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
        """Return what to watch: for an agent little, for an entry all."""
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
            # Before its first answer a watch says that it never heard.
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
                    # One value that can't be read, or a read that failed:
                    # what is in force stays so until `_catch_up` succeeds.
                    self._distribution.log_unusable(change.key, error)

    async def _catch_up(self) -> None:
        """Try again to read what the pointer names.

        The watch tells a pointer once. If the reads that follow it fail, this
        daemon would keep the old generation until the next change, seen as
        one that lags behind for hours with the store up; and a peer's newer
        generation wouldn't wake it, as it holds the pointer already.
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
        """Whether all that the pointer names is held, and what is due in force."""
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
        """Read what the generations of the pointer still need."""
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
        # The rosters that came with the pointer are taken before the next
        # turn of the loop.
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
            If the store gives no answer or the value can't be read.
        """
        item = await self._store.get(documents.roster_key(service))
        return _roster(service, item)

    async def write_roster(self, effect: WriteRoster) -> RosterWritten:
        """Compare-and-swap a roster, and settle a lost answer if possible."""
        try:
            return await self._write_roster(effect.operation, effect.roster)
        except ZinniahookError as error:
            # Nothing has been sent to be written: only the read failed, or
            # the new value is too large.
            return RosterWritten(effect.operation, error.code, None)

    async def _write_roster(self, operation: str, roster: Roster) -> RosterWritten:
        service = roster.service
        key = documents.roster_key(service)
        # The ids of earlier writes have to be handed on in the value, or
        # their writers would take a lost answer for a write that failed.
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
