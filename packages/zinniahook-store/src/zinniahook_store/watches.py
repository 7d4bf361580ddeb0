"""Watches that detect when their connection has become silent.

A watch only saves reads. A device between client and store may lose track of the
connection; the watch then waits forever while values change. After some seconds
without a message, a small read therefore compares the latest revision under the
prefix with the last one received, and missed changes are read. Values arrive even if
no watch of the store works at all.
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
"""Time without a message after which a watch is checked by a read."""

GRACE_SECONDS = 0.3
"""Time for a message that is already in transit to arrive."""

RESTORED_ATTEMPTS = 2
"""The first read reports that the store was restored, the second one its content."""

SILENCE_JITTER = 0.2
"""Fraction by which the silence varies, so that watches don't check simultaneously."""


class Reader(Protocol):
    """The reads that a watch needs.

    ``history`` counts how often the store was restored from an older copy.
    """

    history: int

    def observe(self, revision: int) -> None:
        """Record the revision of an answer."""

    async def newest(self, prefix: str) -> tuple[int, int]:
        """Return the latest revision under a prefix and the number of keys."""

    async def snapshot(self, prefix: str, after: int = 0) -> Snapshot:
        """Return the items under a prefix that were written after a revision."""


class Watch:
    """Async iterator over the changes under a prefix; never ends by itself.

    Within one history of the store, the reported revisions of a key only increase. Of
    several changes of a key while the watch is down, only the last one is reported. A
    deletion is reported if the watch has reported the key. If the store is restored
    from an older copy, its whole content is reported again.

    Attributes
    ----------
    heard : float
        Monotonic time of the store's last answer.
    revision : int
        Revision of the store up to which all changes were reported.
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
        """Yield changes from the stream until it ends or falls behind."""
        while True:
            message = await self._next_message(stream)
            if message is None:
                return
            try:
                changes = self._report(message["result"])
            except MALFORMED_ANSWER_ERRORS:
                # An error, or an unknown message.
                self._behind = True
                return
            self.heard = time.monotonic()
            for change in changes:
                yield change
            if self._behind:
                return

    async def _next_message(self, stream: Stream) -> dict[str, Any] | None:
        """Return the next message, or None if the stream is no longer usable."""
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
        """Return whether stored changes have not been received yet."""
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
        # A watch is also canceled if its revision was compacted. Only a read shows
        # what is stored now.
        self._behind = bool(result.get("canceled"))
        if int(result.get("header", {}).get("revision", self.revision)) < self.revision:
            # The message belongs to another history. Only a read shows what is
            # stored now.
            self._behind = True
            return []
        events = result.get("events", ())
        changes = [_change(event) for event in events]
        for change in changes:
            # The header's revision may be ahead of the events sent so far. The watch
            # must resume after the last event.
            self.revision = max(self.revision, change.revision)
        self._store.observe(self.revision)
        return [change for change in changes if self._record(change)]

    def _record(self, change: Change) -> bool:
        """Record a change; return False if a newer one was already reported."""
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
        """Switch to a new history of the store; return its whole content as changes.

        The revisions of the former history are dropped. Otherwise new writes would be
        considered older than the reported ones until their revisions are reached.
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
