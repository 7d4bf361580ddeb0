"""Tells homes and entries which flows an agent owns."""

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
"""Flows told in one datagram: 1,200 bytes, which no link splits."""

ENDED_PER_DATAGRAM = 70

REGISTERED_PER_TICK = 200
"""Flows told again to new homes in a tick, 4,000 a second: an agent has 3,200
at the size designed for. A tick must stay far below the time-outs of others."""


class Registry:
    """The telling of one agent's flows.

    Parameters
    ----------
    node : Node
        The agent; sends.
    membership : Membership
        Whom to tell.
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

    def tell_owner(self, now: float, address: str, keys: list[bytes]) -> None:
        """Tell a daemon that this agent owns flows."""
        for start in range(0, len(keys), KEYS_PER_DATAGRAM):
            some = keys[start : start + KEYS_PER_DATAGRAM]
            body = tunnel.owner(self._node.address, some)
            service = self._membership.service
            self._node.send(now, address, Kind.OWNER, body, service=service)

    def register(self, now: float, flow: Flow, force: bool = False) -> None:
        """Tell a flow's homes, if they don't know it."""
        homes = tuple(self._membership.roster.homes(now, flow.key))
        if homes == flow.homes and not force:
            return
        flow.homes = homes
        for home in homes:
            self._tell_home(now, home, [flow.key])

    def register_all(self) -> None:
        """Look at every flow again, some in each tick: homes may have changed."""
        self._pending = list(self._flows.by_key)

    def restarted(self, address: str) -> None:
        """Tell a peer that has just started every flow that it is a home of."""
        self._restarted.add(address)
        self.register_all()

    def tick(self, now: float) -> None:
        """Tell some of the flows that are due."""
        some = self._pending[-REGISTERED_PER_TICK:]
        del self._pending[-REGISTERED_PER_TICK:]
        keys_by_home: dict[str, list[bytes]] = {}
        for key in some:
            flow = self._flows.get(key)
            if flow is None or not flow.is_awaited:
                continue
            for home in self._untold(now, flow):
                keys_by_home.setdefault(home, []).append(key)
        for home, keys in keys_by_home.items():
            self._tell_home(now, home, keys)
        if not self._pending:
            self._restarted.clear()

    def _untold(self, now: float, flow: Flow) -> list[str]:
        """Return the homes of a flow that don't know it; take note of them.

        What goes wrong if every home is told again: one agent comes or goes, and
        all of them tell each other all flows.
        """
        known = set(flow.homes) - self._restarted
        flow.homes = tuple(self._membership.roster.homes(now, flow.key))
        return [home for home in flow.homes if home not in known]

    def tell_ended(self, now: float, flows: list[Flow]) -> None:
        """Tell the homes of flows that they have ended together with the target.

        What goes wrong without: each of the two searches the whole service for
        them as soon as their clients go on. Only flows that this process saw the
        target open are certain: others may live elsewhere.
        """
        ended_by_home: dict[str, list[Ended]] = {}
        for flow in flows:
            if flow.target_isn is None or flow.state is FlowState.OFFERED:
                continue
            ended = Ended(flow.key, flow.acknowledged)
            for home in dict.fromkeys((*flow.homes, self._node.address)):
                ended_by_home.setdefault(home, []).append(ended)
        for home, told in ended_by_home.items():
            self._tell_home_ended(now, home, told)

    def _tell_home_ended(self, now: float, home: str, ended: list[Ended]) -> None:
        if home == self._node.address:
            self._home.ended(now, home, ended)
            return
        service = self._membership.service
        for start in range(0, len(ended), ENDED_PER_DATAGRAM):
            body = tunnel.ended(ended[start : start + ENDED_PER_DATAGRAM])
            self._node.send(now, home, Kind.ENDED, body, service=service)

    def _tell_home(self, now: float, home: str, keys: list[bytes]) -> None:
        if home != self._node.address:
            self.tell_owner(now, home, keys)
        else:
            self._home.learn(now, home, keys)

    def deny(self, now: float, asker: str, key: bytes) -> None:
        """Tell who asked that this agent doesn't own a flow."""
        if asker == self._node.address or not asker:
            self._home.denied(now, self._node.address, [key])
            return
        body = tunnel.owner(self._node.address, [key])
        service = self._membership.service
        self._node.send(now, asker, Kind.DENIAL, body, service=service)

    def told(self, now: float, sender: str, head: Head, body: bytes) -> None:
        """Take what a peer tells of flows."""
        if head.service != self._membership.service:
            self._node.log.count("datagrams.malformed")
        elif head.kind is Kind.ENDED:
            self._ended_told(now, sender, body)
        else:
            self._owner_told(now, sender, head, body)

    def _ended_told(self, now: float, sender: str, body: bytes) -> None:
        ended = tunnel.decode_ended(body)
        if ended is None:
            self._node.log.count("datagrams.malformed")
            return
        self._home.ended(now, sender, ended)

    def _owner_told(self, now: float, sender: str, head: Head, body: bytes) -> None:
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
            self._home.handed(now, owner, flows)
