"""The gRPC server of a daemon: for other daemons and for operators."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, TypedDict

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from h2.exceptions import H2Error
from zinniahook_core.codes import Code
from zinniahook_core.configuration import Operator
from zinniahook_core.models import Address, AgentState
from zinniahook_wire.control_grpc import ControlBase
from zinniahook_wire.control_pb2 import (
    DrainReply,
    DrainRequest,
    Histogram,
    StatusReply,
    StatusRequest,
    SubscribeRequest,
    Update,
)

from . import permissions
from .metrics import HistogramKey
from .settings import Role

if TYPE_CHECKING:
    from .node import Node

__all__ = ["ControlServer", "StatusFields"]

DISCONNECT_ERRORS = (StreamTerminatedError, ConnectionError, H2Error)
"""Exceptions that a call raises once its caller has disconnected."""

SERVING = "serving"
STOPPING = "stopping"
NOT_READY = "not-ready"

MICROSECONDS_PER_SECOND = 1e6


class StatusFields(TypedDict, total=False):
    """Fields that a role adds to the reply of Status.

    The names are those of ``StatusReply``, except for ``left`` (in seconds) and
    ``safe``, which are part of the replies of Drain.
    """

    service: str
    state: str
    reason: str
    code: int
    incarnation: int
    slots: int
    busy: int
    queued: int
    flows: int
    streams: int
    left: float
    safe: bool


LOAD_FIELDS = ("slots", "busy", "queued", "flows", "streams")
OTHER_FIELDS = ("service", "state", "reason", "code", "incarnation")


class ControlServer:
    """Serves ``Control`` on the control address with mutual TLS.

    Parameters
    ----------
    node : Node
        The daemon to serve.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._server: Server | None = None

    async def start(self) -> Address:
        """Start to listen, and return the bound address.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        node = self._node
        self._server = Server([_Control(node)])
        host, port = node.settings.control.address
        await self._server.start(host, port, ssl=node.certificates.server)
        # grpclib has no public API for the port that the system picked.
        return Address(*self._server._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close the listener and all calls."""
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()


class _Control(ControlBase):
    """Implementation of the calls of ``Control``."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._started = time.monotonic()

    async def Subscribe(  # noqa: N802 (named by the protocol)
        self, stream: Stream[SubscribeRequest, Update]
    ) -> None:
        """Send configuration and rosters until the subscriber disconnects."""
        request = await stream.recv_message()
        if request is None:
            return
        self._check_daemon(stream)
        try:
            await self._node.distribution.serve(request, stream)
        except DISCONNECT_ERRORS:
            return

    async def Status(  # noqa: N802
        self, stream: Stream[StatusRequest, StatusReply]
    ) -> None:
        """Report the state of this daemon and its configuration."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._status(request))

    async def Drain(  # noqa: N802
        self, stream: Stream[DrainRequest, DrainReply]
    ) -> None:
        """Start a graceful shutdown, or report its progress."""
        request = await stream.recv_message()
        if request is not None:
            name = permissions.common_name(stream)
            await stream.send_message(self._drain(request, name))

    async def Relay(self, stream: Stream) -> None:  # noqa: N802
        """Pass a peer's request to the agent."""
        self._check_daemon(stream)
        handler = self._node.relay_handler
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, "this daemon serves no target")
        await handler(stream)

    def _fields(self) -> StatusFields:
        """Return the fields of every daemon, overridden by those of its role."""
        node = self._node
        fields = StatusFields(state=SERVING)
        if node.configuration is None:
            fields = StatusFields(
                state=NOT_READY,
                reason=node.distribution.reason,
                code=int(Code.NOT_READY),
            )
        if node.stopping.is_set():
            fields["state"] = STOPPING
        if node.status_handler is not None:
            fields.update(node.status_handler())
        return fields

    def _status(self, request: StatusRequest) -> StatusReply:
        node = self._node
        distribution = node.distribution
        fields = self._fields()
        reply = StatusReply(
            name=node.settings.name,
            role=node.settings.role,
            data_centre=node.settings.data_centre,
            generation=node.generation,
            uptime=time.monotonic() - self._started,
            has_load="busy" in fields,
            lagging=distribution.lagging,
            age=distribution.age,
            depth=distribution.depth,
            in_force=distribution.in_force,
            subscribers=distribution.subscribers,
            **{name: fields[name] for name in LOAD_FIELDS if name in fields},
            **{name: fields[name] for name in OTHER_FIELDS if name in fields},
        )
        if request.counters:
            self._add_counters(reply)
        if request.rosters:
            for service, revision in distribution.rosters.revisions_by_service.items():
                reply.revisions_by_service[service] = revision
        return reply

    def _add_counters(self, reply: StatusReply) -> None:
        metrics = self._node.metrics
        for name, total in metrics.counters_by_name.items():
            reply.counters_by_name[name] = total
            code = Code.__members__.get(name.rpartition(".")[2])
            if code is not None:
                reply.drops_by_code[code] += total
        for key, histogram in metrics.histograms_by_key.items():
            reply.histograms.append(_histogram_message(key, histogram))

    def _check_daemon(self, stream: Stream) -> None:
        """Reject an operator's call to a method that is meant for daemons."""
        name = permissions.common_name(stream)
        if not permissions.may_act_as_daemon(self._operators(), name):
            self._node.count("control.refused", code=Code.NOT_PERMITTED.name)
            raise GRPCError(Status.PERMISSION_DENIED, f"{name} is an operator")

    def _operators(self) -> Mapping[str, Operator]:
        return self._node.distribution.generations.operators_by_name

    def _drain(self, request: DrainRequest, name: str) -> DrainReply:
        node = self._node
        if not request.look:
            agent = node.settings.agent
            service = agent.service if agent else ""
            if not permissions.may_drain(self._operators(), name, service):
                node.count("control.refused", code=Code.NOT_PERMITTED.name)
                return DrainReply(
                    code=int(Code.NOT_PERMITTED),
                    reason=f"{name!r} may not drain {service or 'an entry'}",
                    state=self._fields()["state"],
                )
            if not request.force and self._is_last_ready():
                return DrainReply(
                    code=int(Code.WOULD_EMPTY_SERVICE),
                    reason="the service would be left without a ready target",
                    state=self._fields()["state"],
                )
            node.log("drain-requested", seconds=request.seconds)
            if node.drain_handler is not None:
                node.drain_handler(request.seconds)
            else:
                node.stopping.set()
        fields = self._fields()
        return DrainReply(
            state=fields["state"],
            flows=fields.get("flows", 0),
            requests=fields.get("busy", 0) + fields.get("queued", 0),
            left=fields.get("left", 0.0),
            safe=fields.get("safe", False),
        )

    def _is_last_ready(self) -> bool:
        """Return whether no other agent of the service is ready."""
        settings = self._node.settings
        if settings.role is not Role.AGENT or settings.agent is None:
            return False
        roster = self._node.distribution.rosters.get(settings.agent.service)
        members = roster.by_name.values() if roster else ()
        return not any(
            member.state is AgentState.READY and member.name != settings.name
            for member in members
        )


def _histogram_message(key: HistogramKey, histogram: Any) -> Histogram:
    """Return the protocol message of a histogram, with times in seconds."""
    values = histogram.values
    return Histogram(
        service=key.service,
        request_class=key.kind,
        name="time",
        encoded=histogram.encode(),
        count=values.get_total_count(),
        p50=values.get_value_at_percentile(50) / MICROSECONDS_PER_SECOND,
        p99=values.get_value_at_percentile(99) / MICROSECONDS_PER_SECOND,
        maximum=values.get_max_value() / MICROSECONDS_PER_SECOND,
    )
