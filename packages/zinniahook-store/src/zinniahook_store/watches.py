"""Watches that notice when they have gone silent.

A watch is a hint that saves reads. Something between the two ends may lose
track of its connection; the watch then waits for ever while the values move
on. So after some seconds without a message one small read compares the newest
revision under the prefix with the last one seen, and what the watch missed is
read. Values thus arrive also while no watch of the service works at all.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import AsyncIterator
from typing import Any, Protocol

from .gateway import (
    MALFORMED_ANSWER_ERRORS,
    Gateway,
    GatewayError,
    Stream,
    encode_key,
    prefix_end,
)
from .outcomes import Change, Snapshot, StoreError, StoreRestoredError

__all__ = ["SILENCE_SECONDS", "Watch"]

SILENCE_SECONDS = 2.0
"""Seconds without a message before a watch is checked."""

GRACE_SECONDS = 0.3
"""Seconds that a message already on its way has to arrive."""

RESTORED_ATTEMPTS = 2
"""Reads of a store that was restored: the first tells so, the second what it holds."""

SILENCE_JITTER = 0.2
"""Part by which the silence varies, so that watches don't check in step."""


class Reader(Protocol):
    """The reads by which a watch checks itself.

    ``history`` counts how often the store came back from an older copy.
    """

    history: int

    def observe(self, revision: int) -> None:
        """Note the revision of an answer."""

    async def newest(self, prefix: str) -> tuple[int, int]:
        """Return the revision of the last write under a prefix, and the count."""

    async def snapshot(self, prefix: str, after: int = 0) -> Snapshot:
        """Return the values under a prefix that were written after a revision."""


class Watch:
    """Async iterator over the changes under a prefix; never ends by itself.

    For each key the reported revisions only grow, in one history of the store.
    Changes that follow each other while the watch is down are reported as the
    last of them. A deletion is reported if the watch has seen the key. When the
    store comes back from an older copy, all that it holds is reported anew.

    Attributes
    ----------
    heard : float
        Monotonic time at which the store last answered.
    revision : int
        Revision of the store up to which everything was reported.
    """

    def __init__(
        self,
        store: Reader,
        gateway: Gateway,
        prefix: str,
        revision: int,
        silence: float,
    ) -> None:
        self.heard = float("-inf")
        self.revision = revision
        self._store = store
        self._gateway = gateway
        self._prefix = prefix
        self._silence = silence
        self._revisions_by_key: dict[str, int] = {}
        self._behind = True
        self._history = store.history
        self._changes = self._run()

    def __aiter__(self) -> Watch:
        return self

    async def __anext__(self) -> Change:
        return await anext(self._changes)

    async def aclose(self) -> None:
        """End the watch and close its connection."""
        await self._changes.aclose()

    async def _run(self) -> AsyncIterator[Change]:
        failures = 0
        for change in await self._read_initial():
            yield change
        while True:
            heard = self.heard
            stream = self._open()
            try:
                async for change in self._follow(stream):
                    yield change
            finally:
                stream.abort()
            if self._behind:
                for change in await self._read_with_retry():
                    yield change
            failures = 0 if self.heard > heard else failures + 1
            self._gateway.use_next_endpoint()
            await asyncio.sleep(self._gateway.pause(failures))

    def _open(self) -> Stream:
        create = {
            "key": encode_key(self._prefix),
            "range_end": encode_key(prefix_end(self._prefix)),
            "start_revision": str(self.revision + 1),
            "progress_notify": True,
        }
        return self._gateway.open("watch", "/v3/watch", {"create_request": create})

    async def _follow(self, stream: Stream) -> AsyncIterator[Change]:
        """Report what the stream brings until it ends or falls behind."""
        while True:
            message = await self._next_message(stream)
            if message is None:
                return
            try:
                changes = self._report(message["result"])
            except MALFORMED_ANSWER_ERRORS:
                # An error, or nothing that this client understands.
                self._behind = True
                return
            self.heard = time.monotonic()
            for change in changes:
                yield change
            if self._behind:
                return

    async def _next_message(self, stream: Stream) -> dict[str, Any] | None:
        """Return the next message, None if the stream is of no more use."""
        wait = self._silence
        while True:
            jitter = self._gateway.rng.uniform(1 - SILENCE_JITTER, 1)
            try:
                async with asyncio.timeout(wait * jitter):
                    return await stream.read()
            except GatewayError:
                return None
            except TimeoutError:
                if self._behind:
                    self._gateway.failures_by_kind["watch"] += 1
                    return None
            self._behind = await self._is_behind()
            wait = GRACE_SECONDS if self._behind else self._silence

    async def _is_behind(self) -> bool:
        """Compare what is stored with what was seen."""
        try:
            newest, count = await self._store.newest(self._prefix)
        except StoreRestoredError:
            return True
        except StoreError:
            return False
        self.heard = time.monotonic()
        if self._store.history != self._history:
            return True
        return newest > self.revision or count != len(self._revisions_by_key)

    def _report(self, result: dict[str, Any]) -> list[Change]:
        # Canceled also means that the revision was compacted away: only
        # reading tells what is stored now.
        self._behind = bool(result.get("canceled"))
        if int(result.get("header", {}).get("revision", self.revision)) < self.revision:
            # Of another history: only reading tells what is stored now.
            self._behind = True
            return []
        events = result.get("events", ())
        changes = [_change(event) for event in events]
        for change in changes:
            # The header's revision may be ahead of the events sent so far,
            # so only the events tell where to resume.
            self.revision = max(self.revision, change.revision)
        self._store.observe(self.revision)
        return [change for change in changes if self._record(change)]

    def _record(self, change: Change) -> bool:
        """Remember a change; False if it is older than what was reported."""
        if change.revision <= self._revisions_by_key.get(change.key, 0):
            return False
        if change.value is None:
            return self._revisions_by_key.pop(change.key, None) is not None
        self._revisions_by_key[change.key] = change.revision
        return True

    async def _read_initial(self) -> list[Change]:
        failures = 0
        while True:
            try:
                return await self._read_all()
            except StoreError:
                failures += 1
                await asyncio.sleep(self._gateway.pause(failures))

    async def _read_with_retry(self) -> list[Change]:
        for _ in range(RESTORED_ATTEMPTS):
            try:
                return await self._read_missed()
            except StoreRestoredError:
                continue
            except StoreError:
                return []
        return []

    async def _read_missed(self) -> list[Change]:
        if self._store.history != self._history:
            return await self._read_all()
        snapshot = await self._store.snapshot(self._prefix, after=self.revision)
        changes = [Change(*item) for item in snapshot.items_by_key.values()]
        reported = [change for change in changes if self._record(change)]
        if snapshot.count != len(self._revisions_by_key):
            return reported + await self._read_all()
        self._mark_caught_up(snapshot.revision)
        return reported

    async def _read_all(self) -> list[Change]:
        snapshot = await self._store.snapshot(self._prefix)
        if self._store.history != self._history:
            return self._restart_history(snapshot)
        gone = self._revisions_by_key.keys() - snapshot.items_by_key.keys()
        changes = [Change(key, None, snapshot.revision) for key in sorted(gone)]
        changes += [Change(*item) for item in snapshot.items_by_key.values()]
        since, self.revision = self.revision, max(self.revision, snapshot.revision)
        reported = [change for change in changes if self._record(change)]
        self._mark_caught_up(snapshot.revision)
        return [change for change in reported if change.revision > since]

    def _restart_history(self, snapshot: Snapshot) -> list[Change]:
        """Take another history of the store; return all that it holds.

        What goes wrong with the revisions of the former one: what is written
        now passes for older than what was reported, until they are reached.
        """
        gone = self._revisions_by_key.keys() - snapshot.items_by_key.keys()
        changes = [Change(key, None, snapshot.revision) for key in sorted(gone)]
        changes += [Change(*item) for item in snapshot.items_by_key.values()]
        self._history = self._store.history
        self._revisions_by_key = {
            item.key: item.revision for item in snapshot.items_by_key.values()
        }
        self.revision = snapshot.revision
        self._mark_caught_up(snapshot.revision)
        return changes

    def _mark_caught_up(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self.heard = time.monotonic()
        self._behind = False


def _change(event: dict[str, Any]) -> Change:
    stored = event["kv"]
    key = base64.b64decode(stored["key"]).decode()
    revision = int(stored["mod_revision"])
    if event.get("type") == "DELETE":
        return Change(key, None, revision)
    return Change(key, base64.b64decode(stored.get("value", "")), revision)
