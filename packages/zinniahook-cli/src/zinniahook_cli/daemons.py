"""Calls to the daemons, over gRPC with mutual TLS.

Only a daemon's own reply shows which generation it has in force. The store
shows what was accepted, not what has reached the daemons.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import NamedTuple

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address
from zinniahook_wire.control_grpc import ControlStub
from zinniahook_wire.control_pb2 import (
    DrainReply,
    DrainRequest,
    StatusReply,
    StatusRequest,
)

from .settings import ClientSettings

__all__ = ["Daemons", "Progress", "NoReply", "Survey", "progress"]

MAX_CONCURRENT_CALLS = 64
"""Limit of concurrent calls, so that thousands of daemons don't exhaust the sockets."""


@dataclass(frozen=True, slots=True)
class NoReply:
    """A failed call to a daemon.

    ``refused`` is True if the connection was refused: no process listens there.
    A partition or a paused process causes a timeout instead.
    """

    control: Address
    reason: str
    refused: bool = False


class Survey(NamedTuple):
    """The replies of several daemons, and the calls that failed."""

    answers_by_control: dict[Address, StatusReply]
    unanswered: tuple[NoReply, ...]


class Progress(NamedTuple):
    """Which daemons have a generation in force, from their own replies."""

    generation: int
    in_force: tuple[str, ...]
    lagging: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every known daemon has the generation in force."""
        return not self.lagging


class Daemons:
    """Client for the daemons' control interface, authenticated by certificate.

    Parameters
    ----------
    settings : ClientSettings
        Certificate, key and authority, which every daemon requires.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        self._context: ssl.SSLContext | None = None
        self._limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def survey(
        self,
        controls: Iterable[Address],
        *,
        counters: bool = False,
        rosters: bool = False,
    ) -> Survey:
        """Request the status of every daemon concurrently."""
        request = StatusRequest(counters=counters, rosters=rosters)
        wanted = list(dict.fromkeys(controls))
        replies = await asyncio.gather(
            *(self._status(control, request) for control in wanted)
        )
        answers = {}
        unanswered = []
        for control, reply in zip(wanted, replies, strict=True):
            if isinstance(reply, NoReply):
                unanswered.append(reply)
            else:
                answers[control] = reply
        return Survey(answers, tuple(unanswered))

    async def drain(
        self, control: Address, request: DrainRequest
    ) -> DrainReply | NoReply:
        """Ask a daemon to drain, or to report the progress of its drain."""
        return await self._call(control, "Drain", request)

    async def _status(
        self, control: Address, request: StatusRequest
    ) -> StatusReply | NoReply:
        return await self._call(control, "Status", request)

    async def _call(self, control: Address, method: str, request):
        async with self._limit, self._stub(control) as stub:
            try:
                return await getattr(stub, method)(
                    request, timeout=self._settings.timeout
                )
            except GRPCError as error:
                return NoReply(control, _reason(error))
            except ConnectionRefusedError:
                return NoReply(control, "connection refused", refused=True)
            except (OSError, StreamTerminatedError, TimeoutError) as error:
                return NoReply(control, str(error) or type(error).__name__)

    @asynccontextmanager
    async def _stub(self, control: Address) -> AsyncIterator[ControlStub]:
        channel = Channel(control.host, control.port, ssl=self._tls())
        try:
            yield ControlStub(channel)
        finally:
            channel.close()

    def _tls(self) -> ssl.SSLContext:
        """Return the TLS context, created on first use."""
        if self._context is not None:
            return self._context
        settings = self._settings
        if not (settings.certificate and settings.key and settings.authority):
            raise ZinniahookError(
                "daemons require a certificate: set certificate, key and authority",
                Code.SETTINGS_MISSING_KEY,
            )
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Daemons are reached by IP address, which their certificates needn't name.
        # The signature of the authority is checked instead.
        context.check_hostname = False
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.set_alpn_protocols(["h2"])
        try:
            context.load_cert_chain(settings.certificate, settings.key)
            context.load_verify_locations(settings.authority)
        except (ssl.SSLError, OSError) as error:
            raise ZinniahookError(
                f"can't load the certificate: {error}", Code.SETTINGS_FILE_MISSING
            ) from None
        self._context = context
        return context


def progress(generation: int, survey: Survey, unlisted: Iterable[str] = ()) -> Progress:
    """Split the daemons by whether they have a generation in force.

    Parameters
    ----------
    generation : int
        The generation to look for; a later one counts as in force too.
    survey : Survey
        The replies of the daemons.
    unlisted : iterable of str
        Daemons that can't be asked; they count as lagging.
    """
    in_force, lagging = [], []
    for reply in survey.answers_by_control.values():
        if reply.generation >= generation:
            in_force.append(reply.name)
        else:
            lagging.append(f"{reply.name} (at {reply.generation})")
    lagging += [
        f"{reply.control} (no answer: {reply.reason})" for reply in survey.unanswered
    ]
    lagging += [f"{name} (its address is unknown)" for name in unlisted]
    return Progress(generation, tuple(sorted(in_force)), tuple(sorted(lagging)))


def _reason(error: GRPCError) -> str:
    if error.status is Status.PERMISSION_DENIED:
        return f"not permitted: {error.message}"
    return error.message or error.status.name
