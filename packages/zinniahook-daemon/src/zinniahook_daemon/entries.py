"""The entry, which forwards callers' datagrams to agents.

An entry keeps no state per flow. It may be killed at any moment, and any other entry
forwards the flow's next datagram. Callers are only sent what an authenticated agent
has answered, so an entry can't be used for amplification.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterable
from functools import partial
from time import monotonic
from typing import Any

from zinniahook_core.codes import Code
from zinniahook_core.effects import Count, EntryEffect, Log
from zinniahook_core.entries import EntryCore
from zinniahook_core.events import ConfigurationChanged, RosterChanged, Tick
from zinniahook_core.models import Address, Configuration, Protocol, Roster, Service
from zinniahook_core.routing import LONG_HEADER_BIT, SHORT_HEADER_BYTES
from zinniahook_wire.tunnels import (
    NO_ADDRESS,
    OVERHEAD,
    Tunnel,
    TunnelDatagram,
    TunnelKind,
    make_address,
)

from .control import StatusFields
from .node import Node
from .sockets import MAX_DATAGRAM_BYTES, MAX_READS_PER_WAKEUP, UdpSocket

__all__ = ["Entry", "serve"]

TO_AGENT = TunnelKind.TO_AGENT
TO_CALLER = TunnelKind.TO_CALLER

TICK_SECONDS = 0.1
"""Seconds between the ticks of the core."""

BIND_RETRY_SECONDS = 5.0
"""Seconds between attempts to bind an address that was in use."""

MAX_PAYLOAD_BYTES = 65_507 - OVERHEAD
"""Largest datagram that is accepted from a caller: one that fits into the tunnel."""


async def serve(node: Node) -> None:
    """Serve as an entry until the node is stopping, then drain.

    Parameters
    ----------
    node : Node
        A started node.
    """
    entry = Entry(node)
    await node.ready()
    node.announce(services=entry.addresses())
    await node.stopping.wait()
    # The network fabric sends datagrams here until it notices the drain. Without
    # the pause they would be lost, and each would cost a retransmission.
    node.log("entry-draining", seconds=node.settings.entry.drain)
    await asyncio.sleep(node.settings.entry.drain)
    entry.close()


class ServiceSocket(UdpSocket):
    """The socket that is bound to the address of one service.

    ``prefix`` is the common start of the tunnel headers of the service's QUIC
    packets; it is empty for other protocols.
    """

    __slots__ = ("_entry", "bound", "prefix", "service")

    def __init__(self, entry: Entry, service: Service, address: Address) -> None:
        self.service = service
        self.bound = address
        self.prefix = entry.prefix(service)
        self._entry = entry
        super().__init__(address, partial(entry.forward, self))

    def _read(self) -> None:
        """Read waiting datagrams; route short-header packets on a faster path."""
        entry = self._entry
        buffer = entry.payload_buffer
        receive_into = self._socket.recvfrom_into
        is_quic = bool(self.prefix)
        with contextlib.suppress(OSError):
            for _ in range(MAX_READS_PER_WAKEUP):
                size, source = receive_into(buffer)
                if (
                    is_quic
                    and size >= SHORT_HEADER_BYTES
                    and buffer[0] < LONG_HEADER_BIT
                ):
                    entry.forward_established(self, size, source)
                else:
                    entry.forward(self, bytes(buffer[:size]), source)


class Entry:
    """Routes between callers and agents.

    Parameters
    ----------
    node : Node
        A started node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._core = EntryCore(random.Random(), node.roster)
        self._counters = node.metrics.counters_by_name
        self._sockets_by_number: dict[int, ServiceSocket] = {}
        self._unbound: set[int] = set()
        self._send = node.tunnel_sender
        self._tunnel: Tunnel
        self._generation = 0
        self._forwarded = 0
        # Holds one datagram at a time. It is read behind the space for its tunnel
        # header, and sent from there without a copy.
        self._buffer = memoryview(bytearray(OVERHEAD + MAX_DATAGRAM_BYTES))
        self.payload_buffer = self._buffer[OVERHEAD:]
        node.on_tunnel(self._answer)
        node.on_configuration(self._configure)
        node.on_roster(self._learn_roster)
        node.on_status(self._status)
        node.every(TICK_SECONDS, self._tick)
        node.every(BIND_RETRY_SECONDS, self._retry_binding)

    def addresses(self) -> dict[str, str]:
        """Return the bound address of each service by its name."""
        return {
            each.service.name: str(each.address)
            for each in self._sockets_by_number.values()
        }

    def forward(self, socket: ServiceSocket, payload: bytes, source: tuple) -> None:
        """Route a caller's datagram to an agent."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            self._drop(Code.DATAGRAM_TOO_LONG)
            return
        caller = make_address(source[:2])
        service = socket.service
        agent = self._core.route(monotonic(), service, caller, payload)
        if isinstance(agent, Code):
            self._drop(agent)
            return
        if socket.prefix:
            data = self._tunnel.encode_header(socket.prefix, caller) + payload
        else:
            data = self._encode(service, caller, payload)
        self._to_agent(data, agent)

    def forward_established(
        self, socket: ServiceSocket, size: int, source: tuple
    ) -> None:
        """Route the short-header packet in the payload buffer to its owner."""
        if size > MAX_PAYLOAD_BYTES:
            self._drop(Code.DATAGRAM_TOO_LONG)
            return
        connection_id = self.payload_buffer[1:SHORT_HEADER_BYTES].tobytes()
        agent = self._core.route_established(socket.service, connection_id)
        if isinstance(agent, Code):
            self._drop(agent)
            return
        self._buffer[:OVERHEAD] = self._tunnel.encode_header(socket.prefix, source[:2])
        self._to_agent(self._buffer[: OVERHEAD + size], agent)

    def _to_agent(self, data: bytes | memoryview, agent: Address) -> None:
        if self._send(data, agent):
            self._forwarded += 1
        else:
            self._drop(Code.SOCKET_FULL)

    def prefix(self, service: Service) -> bytes:
        """Return the common prefix of the tunnel headers of a QUIC service."""
        if service.protocol is not Protocol.QUIC:
            return b""
        return self._tunnel.prefix(TO_AGENT, service.number, self._generation)

    def _encode(self, service: Service, caller: Address, payload: bytes) -> bytes:
        return self._tunnel.encode(
            TunnelDatagram(
                TO_AGENT,
                service.number,
                self._generation,
                0,
                False,
                caller,
                NO_ADDRESS,
                payload,
            )
        )

    def close(self) -> None:
        """Release every service address."""
        for socket in self._sockets_by_number.values():
            socket.close()
        self._sockets_by_number.clear()

    def _answer(self, datagram: TunnelDatagram, source: Address) -> None:
        """Send an agent's answer to the caller from the service's address."""
        if datagram.kind is not TO_CALLER:
            self._drop(Code.TUNNEL_MALFORMED)
            return
        socket = self._sockets_by_number.get(datagram.service)
        if socket is None:
            self._drop(Code.SERVICE_UNKNOWN)
            return
        if not socket.send(datagram.payload, datagram.caller):
            self._drop(Code.SOCKET_FULL)
            return
        self._counters["entry.to_callers"] += 1
        name = socket.service.name
        effects = self._core.answered(monotonic(), name, datagram.caller, source)
        if effects:
            self._execute(effects)

    def _drop(self, code: Code) -> None:
        self._counters[f"entry.dropped.{code.name}"] += 1

    def _configure(self, configuration: Configuration) -> None:
        # Cached for the packet path, where each attribute lookup costs time.
        self._tunnel = self._node.tunnel
        self._generation = configuration.generation
        self._handle(ConfigurationChanged(configuration))
        services_by_number = {
            service.number: service
            for service in configuration.services_by_name.values()
        }
        for number in list(self._sockets_by_number):
            service = services_by_number.get(number)
            socket = self._sockets_by_number[number]
            if service is socket.service:
                socket.prefix = self.prefix(service)
                continue
            if service is None or self._bind_address(service) != socket.bound:
                socket.close()
                del self._sockets_by_number[number]
            else:
                socket.service = service
                socket.prefix = self.prefix(service)
        self._unbound &= set(services_by_number)
        for number, service in services_by_number.items():
            if number not in self._sockets_by_number:
                self._bind(service)

    def _bind_address(self, service: Service) -> Address:
        host = self._node.settings.entry.bind_host or service.address.host
        return Address(host, service.address.port)

    def _bind(self, service: Service) -> None:
        """Bind a service's address; a failure doesn't affect other services."""
        try:
            socket = ServiceSocket(self, service, self._bind_address(service))
        except OSError as error:
            if service.number not in self._unbound:
                self._node.log(
                    "service-not-bound",
                    service=service.name,
                    address=str(self._bind_address(service)),
                    reason=error.strerror or str(error),
                )
            self._unbound.add(service.number)
            self._node.count("entry.not_bound")
            return
        self._unbound.discard(service.number)
        self._sockets_by_number[service.number] = socket

    def _retry_binding(self) -> None:
        configuration = self._node.configuration
        if not self._unbound or configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.number in self._unbound:
                self._bind(service)

    def _learn_roster(self, roster: Roster) -> None:
        self._handle(RosterChanged(roster))

    def _tick(self) -> None:
        self._counters["entry.to_agents"] += self._forwarded
        self._forwarded = 0
        self._handle(Tick())

    def _handle(self, event: Any) -> None:
        self._execute(self._core.handle(monotonic(), event))

    def _execute(self, effects: Iterable[EntryEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Count):
                self._node.count(effect.name, effect.amount)
            elif isinstance(effect, Log):
                self._node.log(effect.event, **dict(effect.fields))

    def _status(self) -> StatusFields:
        """Return the entry's fields of `Control.Status`."""
        reasons = []
        if self._unbound:
            reasons.append(f"{len(self._unbound)} service addresses not bound")
        for socket in self._sockets_by_number.values():
            name = socket.service.name
            if suspended := self._core.suspended(name):
                names = ", ".join(suspended)
                reasons.append(f"no new flows of {name} go to {names}")
        return StatusFields(reason="; ".join(reasons)) if reasons else StatusFields()
