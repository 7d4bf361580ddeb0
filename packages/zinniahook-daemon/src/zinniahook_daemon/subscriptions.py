"""Updates to the daemons that subscribe to this one."""

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
"""Time between digests, by which a subscriber detects lost updates."""

UPDATE_SIZE_BYTES = 256 * 1024
"""Size of the values in an update after which the update is sent."""

SEND_TIMEOUT_SECONDS = 10.0
"""Time that a subscriber may take to accept an update.

A subscriber that is paused or silently cut off accepts nothing more. Without this
limit it would be kept, with all pending changes, for as long as TCP retransmits.
"""


class Subscription:
    """A subscriber and the updates that it still has to receive.

    Services whose rosters change while an update is being sent are collected in a
    set, so a slow subscriber uses a bounded amount of memory and skips outdated
    revisions.

    Parameters
    ----------
    distribution : Distribution
        The state to send.
    request : SubscribeRequest
        What the subscriber holds and needs.
    stream : Stream
        The stream to the subscriber.
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
        # The next manifest is sent as a change against this one.
        self._subscriber_manifest = distribution.generations.stored(request.manifest)
        self._sent_pointer = b""
        self._closing = False
        self._wakeup = asyncio.Event()
        self._changed_services: set[str] = set()

    def close(self) -> None:
        """End the stream, so that the subscriber switches to another source at once."""
        self._closing = True
        self._wakeup.set()

    def notify_configuration(self) -> None:
        """Schedule an update of the configuration."""
        self._wakeup.set()

    def notify_roster(self, service: str) -> None:
        """Schedule an update of a roster."""
        if self._wants(service):
            self._changed_services.add(service)
            self._wakeup.set()

    async def run(self) -> None:
        """Send updates until `close` is called.

        Raises
        ------
        GRPCError
            If this daemon doesn't hold all services that the subscriber needs.
        TimeoutError
            If the subscriber doesn't accept an update in time.
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
        """Send the pointer and the generations that it refers to."""
        generations = self._distribution.generations
        pointer = generations.pointer_value
        if pointer == self._sent_pointer:
            return
        # The pointer is sent only once its generations are complete here.
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
                    Status.FAILED_PRECONDITION,
                    "holds fewer services than wanted",
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
            False if a newer generation arrived meanwhile and values of this one
            were dropped.
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
        """Return an update with the manifest, as a change where possible."""
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
