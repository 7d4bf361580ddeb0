"""Asks the daemons themselves, over gRPC with mutual TLS.

What a daemon has in force is only known from its own answer: the store tells
what was accepted, not what has arrived.
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
"""Calls at a time: a fleet of thousands must not exhaust our sockets."""


@dataclass(frozen=True, slots=True)
class NoReply:
    """A daemon that gave no answer.

    ``refused`` tells that nothing listens there any more, which a partition
    or a paused process doesn't look like.
    """

    control: Address
    reason: str
    refused: bool = False


class Survey(NamedTuple):
    """The answers of many daemons."""

    answers_by_control: dict[Address, StatusReply]
    unanswered: tuple[NoReply, ...]


class Progress(NamedTuple):
    """How far a generation has come, from the daemons' own answers."""

    generation: int
    in_force: tuple[str, ...]
    lagging: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every known daemon has it in force."""
        return not self.lagging


class Daemons:
    """Calls to daemons as the operator of the client's certificate.

    Parameters
    ----------
    settings : ClientSettings
        Certificate, key and authority; without them no daemon answers.
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
        """Ask every daemon for its status, many at a time."""
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
        """Ask one daemon to drain, or how far its drain is."""
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
        """Return the TLS context, made at first use."""
        if self._context is not None:
            return self._context
        settings = self._settings
        if not (settings.certificate and settings.key and settings.authority):
            raise ZinniahookError(
                "daemons answer only to a certificate: set certificate, key, authority",
                Code.SETTINGS_MISSING_KEY,
            )
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Daemons are reached by IP numbers, which certificates needn't name;
        # that the authority signed the certificate is what counts.
        context.check_hostname = False
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.set_alpn_protocols(["h2"])
        try:
            context.load_cert_chain(settings.certificate, settings.key)
            context.load_verify_locations(settings.authority)
        except (ssl.SSLError, OSError) as error:
            raise ZinniahookError(
                f"no usable certificate: {error}", Code.SETTINGS_FILE_MISSING
            ) from None
        self._context = context
        return context


def progress(generation: int, survey: Survey, unlisted: Iterable[str] = ()) -> Progress:
    """Sort the daemons by whether they have a generation in force.

    Parameters
    ----------
    generation : int
        The generation asked for; a later one counts as in force too.
    survey : Survey
        What the daemons answered.
    unlisted : iterable of str
        Names of daemons that can't be asked; they count as lagging.
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
