"""Notifies homes and entries of the flows that an agent owns."""

from __future__ import annotations

from . import tunnel
from .flows import Flow, Flows, FlowState
from .homes import Home
from .membership import Membership
from .node import Node
from .relays import Relays
from .tunnel import Ended, Head, Kind

__all__ = ["Registry"]

KEYS_PER_DATAGRAM = 100
"""Flows in one datagram: 1,200 bytes, which no link fragments."""

ENDED_PER_DATAGRAM = 70

REGISTRATION_INTERVAL_SECONDS = 0.15
"""Seconds until the homes of a flow are notified again: less than the 0.2 s after which
a target first repeats what isn't acknowledged."""

REGISTERED_PER_TICK = 200
"""Flows checked for new homes in a tick, 4,000 a second. An agent has 3,200 at the
design size. A tick must stay far below the time-outs of other daemons."""


class Registry:
    """Announces the flows of one agent.

    Parameters
    ----------
    node : Node
        The agent; sends.
    membership : Membership
        The agents of the service.
    flows : Flows
        The flows.
    home : Home
        This agent's own pointers.
    """

    def __init__(
        self, node: Node, membership: Membership, flows: Flows, home: Home
    ) -> None:
        self._node = node
        self._membership = membership
        self._flows = flows
        self._home = home
        self.relays = Relays(node, membership.roster)
        self._pending: list[bytes] = []
        self._restarted: set[str] = set()

    def announce_owner(self, now: float, address: str, keys: list[bytes]) -> None:
        """Notify a daemon that this agent owns flows."""
        for start in range(0, len(keys), KEYS_PER_DATAGRAM):
            batch = keys[start : start + KEYS_PER_DATAGRAM]
            body = tunnel.encode_owner(self._node.address, batch)
            service = self._membership.service
            self._node.send(now, address, Kind.OWNER, body, service=service)

    def answer_search(self, now: float, asker: str, flow: Flow) -> None:
        """Report to a searching agent and to the flow's homes that it is owned here.

        The asker may not be one of its homes here. If it weren't notified, it would
        continue to search, and other targets would receive the packet.
        """
        if asker and asker != self._node.address:
            self.announce_owner(now, asker, [flow.key])
        self.register(now, flow, force=True)

    def disown(self, now: float, flow: Flow) -> None:
        """Report to the homes that a flow isn't owned here after all.

        If a target hung and kept the packets of a trial, its agent has claimed the
        flow. Homes would send every further packet here although the flow's owner is
        alive.
        """
        self._node.log.event("flow.disowned", flow=flow.key, homes=flow.homes)
        for home in dict.fromkeys((*flow.homes, self._node.address)):
            self.deny(now, home, flow.key)

    def register(self, now: float, flow: Flow, force: bool = False) -> None:
        """Notify a flow's homes if they have changed."""
        homes = tuple(self._membership.roster.homes(now, flow.key))
        if homes == flow.homes and not force:
            return
        flow.homes = homes
        flow.registered_at = now
        for home in homes:
            self._notify_home(now, home, [flow.key])

    def register_again(self, now: float, flow: Flow) -> None:
        """Notify a flow's homes again, as its target repeats unacknowledged data.

        The homes may have dropped their pointers, the oldest first, or may have missed
        the only notification. A packet that only acknowledges isn't searched for, so
        the client of a download could never reach the target again.
        """
        due = now - flow.registered_at >= REGISTRATION_INTERVAL_SECONDS
        if due and flow.is_awaited:
            self.register(now, flow, force=True)

    def register_all(self) -> None:
        """Check every flow again, some in each tick, as homes may have changed.

        Flows that are still to be checked come first. Otherwise, while homes change
        again and again, the flows opened first would never be reported.
        """
        waiting = dict.fromkeys(self._pending)
        checked = [key for key in self._flows.by_key if key not in waiting]
        self._pending = [*checked, *waiting]

    def peer_restarted(self, address: str) -> None:
        """Notify a restarted peer of every flow that it is a home of."""
        self._restarted.add(address)
        self.register_all()

    def tick(self, now: float) -> None:
        """Notify homes of some of the flows that are due."""
        batch = self._pending[-REGISTERED_PER_TICK:]
        del self._pending[-REGISTERED_PER_TICK:]
        keys_by_home: dict[str, list[bytes]] = {}
        for key in batch:
            flow = self._flows.get(key)
            if flow is None or not flow.is_awaited:
                continue
            for home in self._homes_to_notify(now, flow):
                keys_by_home.setdefault(home, []).append(key)
        for home, keys in keys_by_home.items():
            self._notify_home(now, home, keys)
        if not self._pending:
            self._restarted.clear()

    def _homes_to_notify(self, now: float, flow: Flow) -> list[str]:
        """Return the homes of a flow that don't know it, and store its homes.

        If every home were notified again whenever an agent joins or leaves, all agents
        would send each other all of their flows.
        """
        known = set(flow.homes) - self._restarted
        flow.homes = tuple(self._membership.roster.homes(now, flow.key))
        return [home for home in flow.homes if home not in known]

    def announce_ended(self, now: float, flows: list[Flow]) -> None:
        """Notify the homes of flows that have ended together with the target.

        Otherwise each of the two homes searches the whole service when the clients
        continue. Only flows that this process saw the target open are certain: other
        flows may live elsewhere.
        """
        ended_by_home: dict[str, list[Ended]] = {}
        for flow in flows:
            if flow.target_isn is None or flow.state is FlowState.OFFERED:
                continue
            ended_flow = Ended(flow.key, flow.acknowledged)
            for home in dict.fromkeys((*flow.homes, self._node.address)):
                ended_by_home.setdefault(home, []).append(ended_flow)
        for home, ended in ended_by_home.items():
            self._send_ended(now, home, ended)

    def _send_ended(self, now: float, home: str, ended: list[Ended]) -> None:
        if home == self._node.address:
            self._home.ended(now, home, ended)
            return
        service = self._membership.service
        for start in range(0, len(ended), ENDED_PER_DATAGRAM):
            body = tunnel.encode_ended(ended[start : start + ENDED_PER_DATAGRAM])
            self._node.send(now, home, Kind.ENDED, body, service=service)

    def _notify_home(self, now: float, home: str, keys: list[bytes]) -> None:
        if home != self._node.address:
            self.announce_owner(now, home, keys)
        else:
            self._home.learn(now, home, keys)

    def deny(self, now: float, asker: str, key: bytes) -> None:
        """Notify the asking agent that this agent doesn't own a flow."""
        if asker == self._node.address or not asker:
            self._home.denied(now, self._node.address, [key])
            return
        body = tunnel.encode_owner(self._node.address, [key])
        service = self._membership.service
        self._node.send(now, asker, Kind.DENIAL, body, service=service)

    def receive(self, now: float, sender: str, head: Head, body: bytes) -> None:
        """Handle a peer's datagram about flows."""
        if head.service != self._membership.service:
            self._node.log.count("datagrams.malformed")
        elif head.kind is Kind.ENDED:
            self._receive_ended(now, sender, body)
        else:
            self._receive_owner(now, sender, head, body)

    def _receive_ended(self, now: float, sender: str, body: bytes) -> None:
        ended = tunnel.decode_ended(body)
        if ended is None:
            self._node.log.count("datagrams.malformed")
            return
        self._home.ended(now, sender, ended)

    def _receive_owner(self, now: float, sender: str, head: Head, body: bytes) -> None:
        decoded = tunnel.decode_owner(body)
        if decoded is None:
            self._node.log.count("datagrams.malformed")
            return
        owner, flows = decoded
        if head.kind is not Kind.OWNER:
            self._home.denied(now, sender, flows)
        elif owner == sender:
            self._home.learn(now, owner, flows)
            self.relays.found(now, owner, flows)
        else:
            self._home.learn_handed_over(now, owner, flows)
