"""Learning from another daemon by its Subscribe stream."""

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
"""Seconds without any update after which a parent is given up.

Its process may be paused, or the path may drop packets without a word: TCP
alone would tell after many minutes.
"""

LAG_GRACE_SECONDS = 1.0
"""Seconds that a parent may lag behind what another daemon told of."""

MAX_DEPTH = 8
"""Most steps to the store; a longer way is a loop of daemons."""

MAX_DIFFERENCES = 3
"""Digests in a row that may differ from what is known here."""

PARENT_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ZinniahookError,
    ssl.SSLError,
    OSError,
    TimeoutError,
)


class Parent(Source):
    """A daemon to learn from.

    Parameters
    ----------
    distribution : Distribution
        Where what is learned goes.
    address : Address
        The parent's control address.
    """

    def __init__(self, distribution: Distribution, address: Address) -> None:
        self._distribution = distribution
        self.name = str(address)
        self._address = address
        self._differences = 0

    async def follow(self) -> None:
        """Learn until the parent fails or lags.

        Raises
        ------
        SourceError
            Why this parent is of no use now.
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
        """Subscribe, and once more if a change came against another manifest.

        The two ends may differ about what this one holds, as after the store
        was emptied and numbers were given anew. Every change would then end
        the subscription, seen as a daemon that goes from parent to parent and
        lags behind; asked for the whole, the parent sends what always fits.
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
                    raise SourceError("the parent ended the stream")
                kind = update.WhichOneof("update")
                if kind == "configuration":
                    self._apply_configuration(update.configuration)
                elif kind == "roster":
                    self._apply_roster(update.roster)
                elif kind == "digest":
                    self._check_digest(update.digest)

    async def _receive(self, stream):
        """Wait for an update, but less long once the parent is suspected."""
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
                    raise SourceError("others have a newer generation")
            if receive not in done:
                raise SourceError(f"silent for {SILENCE_TIMEOUT_SECONDS} s")
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
        """Compare what the parent has with what came from it.

        Raises
        ------
        SourceError
            If the parent lags, or an update was lost on the way; a new
            subscription brings what is missing.
        """
        distribution = self._distribution
        generation = distribution.generations.pointer.generation
        if digest.generation == 0:
            raise SourceError("the parent has learned nothing yet")
        if digest.depth >= MAX_DEPTH:
            raise SourceError(f"too far from the store: {digest.depth} steps")
        distribution.selector.source_answered(self)
        distribution.record_store_contact(digest.age, digest.depth + 1)
        # A digest is sent after all that the parent has to tell.
        distribution.mark_synchronized()
        services = distribution.generations.services
        same = digest.rosters == distribution.rosters_digest(services)
        if digest.generation == generation and same:
            self._differences = 0
            return
        # One difference may be a change on its way, or a roster that this
        # daemon wrote itself and the parent hasn't heard of yet.
        self._differences += 1
        if self._differences >= MAX_DIFFERENCES:
            raise SourceError("lags, or an update was lost")


def _decode_change(update: ConfigurationUpdate) -> ManifestChange:
    change = update.change
    chunks_by_number = dict(change.chunks_by_number)
    return ManifestChange(change.base, change.digest, change.fields, chunks_by_number)
