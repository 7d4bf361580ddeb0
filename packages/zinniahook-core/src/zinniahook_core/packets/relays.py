"""Forwards packets of a search to agents that the searching home can't reach."""

from __future__ import annotations

from typing import NamedTuple

from . import tunnel
from .members import Roster
from .node import HOP_LIMIT, Node
from .tunnel import Head, Kind, Mark

__all__ = ["Relays"]

RELAYED_LIMIT = 4096
RELAY_EXPIRY_SECONDS = 2.0
"""Seconds for which the asking home is notified of an owner. A trial at a target that
doesn't answer lasts 1.5 s."""


class _Relayed(NamedTuple):
    """The home that asked for a packet to be forwarded, and when."""

    home: str
    at: float


class Relays:
    """Packets that one agent forwards for homes that can't reach another agent.

    Parameters
    ----------
    node : Node
        The agent; sends.
    roster : Roster
        The agents of the service.
    """

    def __init__(self, node: Node, roster: Roster) -> None:
        self._node = node
        self._roster = roster
        self._by_flow: dict[bytes, _Relayed] = {}

    def forward(self, now: float, sender: str, head: Head, body: bytes) -> None:
        """Forward a searched packet to the agent that the body names.

        It must be a member of the service: other daemons have nothing to deny.
        """
        decoded = tunnel.decode_relay(body)
        packet = self._node.codec.from_client(decoded[1]) if decoded else None
        if decoded is None or packet is None or head.hops >= HOP_LIMIT:
            self._node.log.count("datagrams.malformed")
            return
        address, raw = decoded
        if address == self._node.address or address not in self._roster.by_address:
            return
        self._note(packet.flow, _Relayed(sender, now))
        self._node.send(
            now,
            address,
            Kind.FORWARD,
            raw,
            marks=Mark.SEARCH,
            hops=head.hops + 1,
            service=head.service,
            origin=head,
        )

    def _note(self, flow: bytes, relayed: _Relayed) -> None:
        self._by_flow.pop(flow, None)
        self._by_flow[flow] = relayed
        while len(self._by_flow) > RELAYED_LIMIT:
            del self._by_flow[next(iter(self._by_flow))]

    def found(self, now: float, owner: str, flows: list[bytes]) -> None:
        """Notify the homes that asked through this agent of the owner of flows.

        Otherwise the owner can't notify a home that it is cut off from, and the flow is
        searched for in other services.
        """
        for flow in flows:
            relayed = self._by_flow.pop(flow, None)
            if relayed is not None and now - relayed.at < RELAY_EXPIRY_SECONDS:
                body = tunnel.encode_owner(owner, [flow])
                service = tunnel.tag(self._roster.service)
                self._node.send(now, relayed.home, Kind.OWNER, body, service=service)
