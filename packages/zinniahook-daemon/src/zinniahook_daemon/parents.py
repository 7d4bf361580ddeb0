"""A source that follows another daemon by its Subscribe stream."""

from __future__ import annotations

import asyncio
import ssl
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from zinniahook_core.codes import ZinniahookError
from zinniahook_core.models import Address, Roster
from zinniahook_wire import documents
from zinniahook_wire.compression import decompress
from zinniahook_wire.control_grpc import ControlStub
from zinniahook_wire.control_pb2 import (
    ConfigurationUpdate,
    Digest,
    RosterUpdate,
    SubscribeRequest,
)
from zinniahook_wire.manifests import BaseError, ManifestChange

from .sources import Source, SourceError
from .subscriptions import DIGEST_INTERVAL_SECONDS

if TYPE_CHECKING:
    from .distribution import Distribution

__all__ = ["Parent"]

SILENCE_TIMEOUT_SECONDS = 3 * DIGEST_INTERVAL_SECONDS
"""Time without any update after which a parent is considered failed.

Its process may be paused, or the path may drop packets silently. TCP alone would
detect this only after many minutes.
"""

LAG_GRACE_SECONDS = 1.0
"""Time that a parent may lag behind a generation reported by another daemon."""

MAX_DEPTH = 8
"""Maximum number of hops to the store; a longer path is a loop of daemons."""

MAX_DIFFERENCES = 3
"""Consecutive digests that differ from this daemon's state before a parent is left."""

PARENT_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ZinniahookError,
    ssl.SSLError,
    OSError,
    TimeoutError,
)


class Parent(Source):
    """A parent daemon as a source.

    Parameters
    ----------
    distribution : Distribution
        Receives the updates.
    address : Address
        The parent's control address.
    """

    def __init__(self, distribution: Distribution, address: Address) -> None:
        self._distribution = distribution
        self.name = str(address)
        self._address = address
        self._differences = 0

    async def follow(self) -> None:
        """Apply the parent's updates until it fails or lags.

        Raises
        ------
        SourceError
            Why the parent can't be used now.
        """
        self._differences = 0
        host, port = self._address
        channel = Channel(host, port, ssl=self._distribution.client_context)
        try:
            await self._subscribe_with_fallback(channel)
        except PARENT_ERRORS as error:
            raise SourceError(f"{type(error).__name__}: {error}") from None
        finally:
            channel.close()

    async def _subscribe_with_fallback(self, channel: Channel) -> None:
        """Subscribe, and subscribe again without a base if a change doesn't apply.

        The two daemons may hold different manifests for the same generation,
        as after the store was emptied and the numbers were reused. Every change
        would then end the subscription, and this daemon would switch from parent
        to parent and lag behind. Without a base, the parent sends the whole
        manifest.
        """
        generations = self._distribution.generations
        generation = generations.pointer.generation
        known_generation = generation if generations.stored(generation) else 0
        try:
            await self._subscribe(channel, known_generation)
        except BaseError as error:
            self._distribution.log_unusable(self.name, error)
            await self._subscribe(channel, 0)

    async def _subscribe(self, channel: Channel, manifest: int) -> None:
        method = ControlStub(channel).Subscribe
        async with method.open() as stream:
            async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                await stream.send_message(self._request(manifest), end=True)
            while True:
                update = await self._receive(stream)
                if update is None:
                    raise SourceError("parent ended the stream")
                kind = update.WhichOneof("update")
                if kind == "configuration":
                    self._apply_configuration(update.configuration)
                elif kind == "roster":
                    self._apply_roster(update.roster)
                elif kind == "digest":
                    self._check_digest(update.digest)

    async def _receive(self, stream):
        """Wait for an update.

        The wait is shorter once another daemon has reported a newer generation.
        """
        newer_generation_reported = self._distribution.newer_generation_reported
        receive = asyncio.ensure_future(stream.recv_message())
        report = asyncio.ensure_future(newer_generation_reported.wait())
        try:
            done, _ = await asyncio.wait(
                (receive, report),
                timeout=SILENCE_TIMEOUT_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if receive not in done and report in done:
                done, _ = await asyncio.wait((receive,), timeout=LAG_GRACE_SECONDS)
                if not done:
                    raise SourceError("another daemon has a newer generation")
            if receive not in done:
                raise SourceError(f"no update for {SILENCE_TIMEOUT_SECONDS} s")
            return receive.result()
        finally:
            receive.cancel()
            report.cancel()

    def _request(self, manifest: int) -> SubscribeRequest:
        distribution = self._distribution
        services = distribution.generations.services
        revisions_by_service = dict.fromkeys(services or (), 0)
        revisions_by_service.update(distribution.rosters.revisions_by_service)
        return SubscribeRequest(
            subscriber=distribution.control,
            generation=distribution.generations.pointer.generation,
            digests=distribution.generations.digests,
            revisions_by_service=revisions_by_service,
            all_services=services is None,
            manifest=manifest,
        )

    def _apply_configuration(self, update: ConfigurationUpdate) -> None:
        distribution = self._distribution
        generations = distribution.generations
        if update.manifest:
            generations.add_manifest(decompress(update.manifest, "manifest"))
        if update.HasField("change"):
            generations.add_change(_decode_change(update))
        generations.add_compressed(update.values_by_digest)
        if update.last:
            generations.set_pointer(update.pointer)
            distribution.apply()

    def _apply_roster(self, update: RosterUpdate) -> None:
        service, revision = update.service, update.revision
        if update.value:
            value = decompress(update.value, f"roster of {service}")
            roster = documents.roster_from_json(service, revision, value)
        else:
            roster = Roster(service, revision, {})
        self._distribution.update_roster(roster, packed=update.value)

    def _check_digest(self, digest: Digest) -> None:
        """Compare the parent's state with the state received from it.

        Raises
        ------
        SourceError
            If the parent lags, or an update was lost on the way. A new
            subscription sends what is missing.
        """
        distribution = self._distribution
        generation = distribution.generations.pointer.generation
        if digest.generation == 0:
            raise SourceError("parent has no configuration yet")
        if digest.depth >= MAX_DEPTH:
            raise SourceError(
                f"parent is {digest.depth} hops from the store, maximum {MAX_DEPTH - 1}"
            )
        distribution.selector.source_answered(self)
        distribution.record_store_contact(digest.age, digest.depth + 1)
        # The parent sends a digest after all pending updates.
        distribution.mark_synchronized()
        services = distribution.generations.services
        same = digest.rosters == distribution.rosters_digest(services)
        if digest.generation == generation and same:
            self._differences = 0
            return
        # A single difference may be a change on its way, or a roster that this
        # daemon wrote itself and the parent hasn't received yet.
        self._differences += 1
        if self._differences >= MAX_DIFFERENCES:
            raise SourceError("parent lags, or an update was lost")


def _decode_change(update: ConfigurationUpdate) -> ManifestChange:
    change = update.change
    chunks_by_number = dict(change.chunks_by_number)
    return ManifestChange(change.base, change.digest, change.fields, chunks_by_number)
