"""Serving the daemons that learn from this one."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from zinniahook_wire.compression import compress
from zinniahook_wire.control_pb2 import (
    ConfigurationUpdate,
    Digest,
    ManifestChange,
    RosterUpdate,
    SubscribeRequest,
    Update,
)

if TYPE_CHECKING:
    from .distribution import Distribution
    from .generations import StoredGeneration

__all__ = ["DIGEST_INTERVAL_SECONDS", "Subscription"]

DIGEST_INTERVAL_SECONDS = 1.0
"""Seconds between digests, by which a subscriber finds what it lost."""

UPDATE_SIZE_BYTES = 256 * 1024
"""Bytes of values put into one update, about."""

SEND_TIMEOUT_SECONDS = 10.0
"""Seconds that a subscriber may take for one update.

A subscriber that is paused or cut off without a word takes nothing more; it
would be kept, with all that changes meanwhile, for as long as TCP tries.
"""


class Subscription:
    """One subscriber and what it still has to be told.

    What changes while an update is on its way is gathered in a set, so a slow
    subscriber costs a bounded amount of memory and skips what is outdated.

    Parameters
    ----------
    distribution : Distribution
        What is known here.
    request : SubscribeRequest
        What the subscriber has and wants.
    stream : Stream
        Where to send.
    """

    def __init__(
        self,
        distribution: Distribution,
        request: SubscribeRequest,
        stream: Stream[SubscribeRequest, Update],
    ) -> None:
        self.subscriber = request.subscriber
        self._distribution = distribution
        self._stream = stream
        self._services = (
            None if request.all_services else frozenset(request.revisions_by_service)
        )
        self._revisions_by_service = dict(request.revisions_by_service)
        self._digests = set(request.digests)
        # The manifest that the subscriber holds; the next is told as a change.
        self._subscriber_manifest = distribution.generations.stored(request.manifest)
        self._sent_pointer = b""
        self._closing = False
        self._wakeup = asyncio.Event()
        self._changed_services: set[str] = set()

    def close(self) -> None:
        """End the stream, so that the subscriber turns to others at once."""
        self._closing = True
        self._wakeup.set()

    def notify_configuration(self) -> None:
        """Note that the configuration changed."""
        self._wakeup.set()

    def notify_roster(self, service: str) -> None:
        """Note that a roster changed."""
        if self._wants(service):
            self._changed_services.add(service)
            self._wakeup.set()

    async def run(self) -> None:
        """Push until the subscriber is gone or `close` was called.

        Raises
        ------
        GRPCError
            If this daemon doesn't hold what the subscriber wants.
        """
        known = self._distribution.rosters.revisions_by_service
        self._changed_services.update(filter(self._wants, known))
        while not self._closing:
            self._wakeup.clear()
            await self._send_configuration()
            await self._send_rosters()
            await self._send(Update(digest=self._digest()))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DIGEST_INTERVAL_SECONDS):
                    await self._wakeup.wait()

    def _wants(self, service: str) -> bool:
        return self._services is None or service in self._services

    async def _send_configuration(self) -> None:
        """Send the pointer and what its generations need."""
        generations = self._distribution.generations
        pointer = generations.pointer_value
        if pointer == self._sent_pointer:
            return
        # Before its pointer is sent, a generation must be whole here.
        numbers = generations.named_generations()
        held = [generations.stored(number) for number in numbers]
        if not all(held):
            return
        for stored in held:
            number = stored.manifest.generation
            if not generations.is_complete(number, self._services):
                if generations.missing_digests(number):
                    return
                raise GRPCError(
                    Status.FAILED_PRECONDITION, "holds fewer services than wanted"
                )
            if not await self._send_generation(pointer, stored):
                return
        self._digests = {
            digest for stored in held for digest in stored.digests(self._services)
        }
        self._sent_pointer = pointer

    async def _send_generation(self, pointer: bytes, stored: StoredGeneration) -> bool:
        """Send one generation in updates of a bounded size.

        Returns
        -------
        bool
            False if a newer one came meanwhile and this one is not whole now.
        """
        generations = self._distribution.generations
        wanted = stored.digests(self._services)
        update = self._manifest_update(stored)
        self._subscriber_manifest = stored
        size = 0
        for digest in wanted:
            if digest in self._digests:
                continue
            try:
                value = generations.compressed(digest)
            except KeyError:
                return False
            update.values_by_digest[digest] = value
            size += len(value)
            if size >= UPDATE_SIZE_BYTES:
                await self._send_values(update)
                update, size = ConfigurationUpdate(), 0
        update.pointer = pointer
        update.last = True
        await self._send_values(update)
        return True

    def _manifest_update(self, stored: StoredGeneration) -> ConfigurationUpdate:
        """Return an update with the manifest, as a change if that will do."""
        change = None
        if self._subscriber_manifest is not None:
            change = self._distribution.generations.change(
                self._subscriber_manifest, stored
            )
        if change is None:
            return ConfigurationUpdate(manifest=compress(stored.value))
        return ConfigurationUpdate(change=ManifestChange(**change._asdict()))

    async def _send_values(self, update: ConfigurationUpdate) -> None:
        await self._send(Update(configuration=update))
        self._digests.update(update.values_by_digest)

    async def _send_rosters(self) -> None:
        while self._changed_services:
            service = self._changed_services.pop()
            rosters = self._distribution.rosters
            revision = rosters.revision(service)
            if revision <= self._revisions_by_service.get(service, 0):
                continue
            update = RosterUpdate(
                service=service, revision=revision, value=rosters.packed(service)
            )
            await self._send(Update(roster=update))
            self._revisions_by_service[service] = revision

    def _digest(self) -> Digest:
        distribution = self._distribution
        return Digest(
            generation=distribution.generations.pointer.generation,
            rosters=distribution.rosters_digest(self._services),
            age=min(distribution.age, 1e9),
            depth=distribution.depth,
        )

    async def _send(self, update: Update) -> None:
        async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
            await self._stream.send_message(update)
