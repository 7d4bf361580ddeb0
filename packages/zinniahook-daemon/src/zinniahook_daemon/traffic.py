"""An agent's datagrams: callers' flows, forwarded openings and peers' messages."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from aioquic.h3.connection import ErrorCode
from zinniahook_core import effects
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.events import FlowDatagram, FlowOpening, PeerDatagram
from zinniahook_core.models import Address, Configuration, Protocol
from zinniahook_core.paths import Paths
from zinniahook_core.routing import ConnectionIds, Owner, destination_of
from zinniahook_wire import peers
from zinniahook_wire.tunnels import NO_ADDRESS, TunnelDatagram, TunnelKind

from .connections import Connections
from .http3 import Http3Session
from .openings import Opening, Openings, RetryTokens
from .quic import ServerConnection, make_configuration
from .udpflows import UdpFlows

if TYPE_CHECKING:
    from .agents import Agent

__all__ = ["Traffic"]

Handler = Callable[["Traffic", Any], None]

_HANDLERS_BY_EFFECT: dict[type, Handler] = {}


def _executes(effect_type: type) -> Callable[[Handler], Handler]:
    """Register the decorated method as the handler of an effect type."""

    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EFFECT[effect_type] = handler
        return handler

    return register


class Traffic:
    """Receives and sends the datagrams of one agent.

    Parameters
    ----------
    agent : Agent
        Handles flows and events that aren't known here.
    """

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.node = agent.node
        settings = agent.node.settings.agent
        self._ids: ConnectionIds | None = None
        self._paths = Paths(agent.rng)
        self._restarting = False
        self._leaving: bool | None = None
        self._opening_datagram: TunnelDatagram | None = None
        self._checked_opening: Opening | None = None
        self.flows = UdpFlows(settings.target, self._answer_flow)
        self.connections = Connections(
            make_configuration(settings.certificate, settings.key),
            self._issue,
            self._send,
            self._make_session,
            self._closed,
            self._switch_entry,
        )
        self.openings = Openings(
            self.connections.configuration.supported_versions,
            self._issue,
            self._answer_opening,
        )
        agent.node.on_tunnel(self._receive)

    def configure(self, configuration: Configuration) -> None:
        """Use the keys of a new configuration."""
        self._ids = ConnectionIds(
            configuration.flow_keys_by_number, configuration.flow_key, self.agent.rng
        )
        key = configuration.flow_keys_by_number[configuration.flow_key]
        self.openings.tokens = RetryTokens(key)

    def reload(self) -> None:
        """Read the certificate again, for new connections.

        If it isn't usable, the old one stays in force.
        """
        settings = self.node.settings.agent
        try:
            self.connections.configuration = make_configuration(
                settings.certificate, settings.key
            )
        except ZinniahookError as error:
            self.node.log("certificate-refused", reason=str(error), code=error.code)

    def execute(self, effect: Any) -> None:
        """Execute an effect on flows or peers."""
        _HANDLERS_BY_EFFECT[type(effect)](self, effect)

    def keep_alive(self) -> None:
        """Check for silent connections."""
        self.connections.keep_alive()

    def go_away(self, final: bool) -> None:
        """Send every caller a GOAWAY, which asks for a new connection."""
        self._leaving = final
        for connection in self.connections:
            connection.session.go_away(final)

    def notify_leaving(self, peers: Collection[str]) -> None:
        """Ask callers to reconnect whose requests run at leaving peers."""
        for connection in self.connections:
            connection.session.notify_leaving(peers)

    def close_idle(self) -> None:
        """Close connections that got the final GOAWAY and have no open request."""
        for connection in self.connections:
            busy = connection.session.busy or connection.unacknowledged
            if connection.session.is_going_away and not busy:
                self.connections.close(connection, ErrorCode.H3_NO_ERROR, "leaving")

    def close(self) -> None:
        """Close every flow."""
        for connection in self.connections:
            self.connections.close(connection, ErrorCode.H3_NO_ERROR, "leaving")
        self.flows.close()

    def restart(self) -> None:
        """Drop every flow without notifying the core, which caused the restart."""
        self._restarting = True
        try:
            for connection in self.connections:
                # The close lets callers reconnect at once, instead of waiting
                # for an idle timeout.
                connection.close(error_code=ErrorCode.H3_INTERNAL_ERROR)
                now = self.agent.node.loop.time()
                for datagram, caller in connection.datagrams_to_send(now):
                    self._send(connection, datagram, caller)
                self.connections.drop(connection)
            self.flows.close()
        finally:
            self._restarting = False

    # Callbacks of connections

    def _issue(self) -> bytes:
        agent = self.agent
        incarnation = agent.core.identity.incarnation
        owner = Owner(agent.service.number, self.node.tunnel_address, incarnation)
        return self._ids.encode(owner)

    def _send(
        self, connection: ServerConnection, payload: bytes, caller: Address
    ) -> None:
        self._to_caller(caller, connection.entry, payload)
        # While no answer is acknowledged it is unknown which entry still works, so
        # the datagram goes out by two. To try one entry after the other, with a
        # doubling probe timer, takes longer than a caller waits. QUIC discards
        # duplicates.
        other = connection.other_entry
        if connection.probes and other is not None and other != connection.entry:
            self._to_caller(caller, other, payload)

    def _make_session(self, connection: ServerConnection) -> Http3Session:
        session = Http3Session(connection, self.agent.runs, self.connections.touch)
        if self._leaving is not None:
            session.go_away(self._leaving)
        return session

    def _switch_entry(self, connection: ServerConnection) -> None:
        """Answer by another entry, as answers by the present one are lost."""
        now = self.node.now()
        if not connection.is_switched:
            connection.is_switched = True
            self._paths.heard(now, connection.entry, connection.flow)
        entry = self._paths.switch_entry(now, connection.flow)
        if entry is not None and entry != connection.entry:
            connection.other_entry = connection.entry
            connection.entry = entry
            self.node.count("agent.switched")

    def _closed(self, connection: ServerConnection) -> None:
        if connection.is_switched:
            self._paths.forget(connection.flow)
        if not self._restarting:
            self.agent.closed(connection.flow)

    # Incoming datagrams

    def _receive(self, datagram: TunnelDatagram, source: Address) -> None:
        if datagram.service != self.agent.service.number:
            self._drop(Code.SERVICE_MISMATCH)
            return
        if datagram.kind is TunnelKind.PEER:
            self._receive_message(datagram)
            return
        if datagram.kind is not TunnelKind.TO_AGENT:
            self._drop(Code.TUNNEL_MALFORMED)
            return
        handed_by = ""
        if datagram.entry == NO_ADDRESS:
            datagram = datagram._replace(entry=source)
        elif datagram.handed:
            handed_by = self._peer_at(source)
        if self.agent.service.protocol is Protocol.UDP:
            self._receive_flow(datagram, handed_by)
        else:
            self._receive_quic(datagram, handed_by)

    def _receive_message(self, datagram: TunnelDatagram) -> None:
        decoded = peers.decode(datagram.payload)
        if isinstance(decoded, Code):
            self._drop(decoded)
            return
        self.agent.feed(PeerDatagram(*decoded))

    def _receive_flow(self, datagram: TunnelDatagram, handed_by: str) -> None:
        self.agent.feed(
            FlowDatagram(
                self.agent.service.name,
                datagram.caller,
                datagram.entry,
                datagram.payload,
                datagram.hops,
                handed_by,
            )
        )

    def _receive_quic(self, datagram: TunnelDatagram, handed_by: str) -> None:
        destination = destination_of(datagram.payload)
        if isinstance(destination, Code):
            self._drop(destination)
            return
        is_long, connection_id = destination
        connection = self.connections.by_id.get(connection_id)
        if connection is not None:
            self._note_path(connection, datagram.entry)
            self.connections.receive(
                connection, datagram.payload, datagram.caller, datagram.entry
            )
        elif is_long:
            self._open(datagram, handed_by)
        else:
            self._drop(Code.CONNECTION_ID_UNKNOWN)

    def _note_path(self, connection: ServerConnection, entry: Address) -> None:
        if connection.probes and entry != connection.entry:
            connection.other_entry = entry
        # Only a flow that has switched entries needs path state of its own.
        if not connection.is_switched:
            self._paths.heard(self.node.now(), entry)
            return
        now = self.node.now()
        self._paths.heard(now, entry, connection.flow)
        connection.entry = self._paths.for_flow(now, connection.flow) or entry

    def _open(self, datagram: TunnelDatagram, handed_by: str) -> None:
        self._opening_datagram = datagram
        opening = self.openings.check(
            datagram.payload,
            datagram.caller,
            self.connections.handshakes,
            bool(handed_by),
        )
        if isinstance(opening, Code):
            self._drop(opening)
            return
        # The core decides on an opening within `feed`, so one slot is enough.
        self._checked_opening = opening
        service = self.agent.service.name
        self.agent.feed(FlowOpening(service, opening.flow, datagram.caller, handed_by))

    def _answer_opening(self, payload: bytes, caller: Address) -> None:
        self._to_caller(caller, self._opening_datagram.entry, payload)

    # Effects

    @_executes(effects.AcceptFlow)
    def _accept(self, effect: effects.AcceptFlow) -> None:
        datagram, opening = self._opening_datagram, self._checked_opening
        if opening is None or opening.flow != effect.flow:
            return
        connection = self.connections.open(*opening)
        if connection is None:
            self._drop(Code.FLOW_LIMIT)
            self.agent.closed(effect.flow)
            return
        self.node.count("agent.flows")
        self.connections.receive(
            connection, datagram.payload, datagram.caller, datagram.entry
        )

    @_executes(effects.HandOver)
    def _hand_over(self, effect: effects.HandOver) -> None:
        datagram = self._opening_datagram
        if self._checked_opening is None or self._checked_opening.flow != effect.flow:
            return
        hops = datagram.hops + 1
        self._forward(effect.peer, datagram._replace(hops=hops, handed=True))

    @_executes(effects.Deliver)
    def _deliver(self, effect: effects.Deliver) -> None:
        if not self.flows.deliver(*effect):
            self._drop(Code.SOCKET_FULL)

    @_executes(effects.ForwardDatagram)
    def _forward_datagram(self, effect: effects.ForwardDatagram) -> None:
        datagram = TunnelDatagram(
            TunnelKind.TO_AGENT,
            self.agent.service.number,
            self.node.generation,
            effect.hops,
            effect.handed,
            effect.caller,
            effect.entry,
            effect.payload,
        )
        self._forward(effect.peer, datagram)

    @_executes(effects.EndFlow)
    def _end_flow(self, effect: effects.EndFlow) -> None:
        self.flows.end(effect.flow)

    @_executes(effects.SendPeer)
    def _send_peer(self, effect: effects.SendPeer) -> None:
        datagram = TunnelDatagram(
            TunnelKind.PEER,
            self.agent.service.number,
            self.node.generation,
            0,
            False,
            NO_ADDRESS,
            NO_ADDRESS,
            peers.encode(self.agent.name, effect.message),
        )
        self._forward(effect.peer, datagram)

    # Outgoing datagrams

    def _forward(self, peer: str, datagram: TunnelDatagram) -> None:
        member = self.agent.core.roster.by_name.get(peer)
        if member is None:
            self._drop(Code.NO_AGENT)
            return
        datagram = datagram._replace(generation=self.node.generation)
        self.node.send_tunnel(member.tunnel, datagram)

    def _to_caller(self, caller: Address, entry: Address, payload: bytes) -> None:
        datagram = TunnelDatagram(
            TunnelKind.TO_CALLER,
            self.agent.service.number,
            self.node.generation,
            0,
            False,
            caller,
            NO_ADDRESS,
            payload,
            self.agent.service.protocol is not Protocol.QUIC,
        )
        self.node.send_tunnel(entry, datagram)

    def _answer_flow(
        self, flow: bytes, caller: Address, entry: Address, payload: bytes
    ) -> None:
        self.agent.core.flows.answered(self.node.now(), flow)
        self._to_caller(caller, entry, payload)

    def _peer_at(self, source: Address) -> str:
        for member in self.agent.core.roster.by_name.values():
            if member.tunnel == source:
                return member.name
        return ""

    def _drop(self, code: Code) -> None:
        self.node.count("agent.dropped", code=code.name)
