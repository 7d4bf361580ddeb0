"""Asks agents that a search can't reach, through peers."""

from __future__ import annotations

from collections.abc import Callable

from . import tunnel
from .candidates import LOST_SECONDS
from .member import Member
from .members import Roster
from .node import Node
from .search import Search
from .tunnel import HelloRequest, Kind

__all__ = ["IndirectQueries"]

ROSTER_REQUEST_INTERVAL_SECONDS = 0.25
"""Seconds between two requests to peers for the agents that they hear."""

CONFIRMING_PEERS = 2
"""Peers that must report their rosters before an agent that none of them has heard is
considered gone: a single peer may have missed it as well."""

RELAYS_AT_ONCE = 2
"""Agents asked through a peer at a time; each costs two datagrams."""


class IndirectQueries:
    """The questions of one home that go through peers.

    Parameters
    ----------
    node : Node
        The agent; sends.
    roster : Roster
        The agents of the service.
    candidates : callable
        Returns the members that may own a search's flow.
    """

    def __init__(
        self,
        node: Node,
        roster: Roster,
        candidates: Callable[[float, Search], list[Member]],
    ) -> None:
        self._node = node
        self._roster = roster
        self._candidates = candidates
        self._roster_requested_at = float("-inf")

    def request_rosters(self, now: float, search: Search) -> None:
        """Ask a peer which agents it hears, while another service is asked.

        Otherwise, if the owner is cut off only from here, the search ends without it as
        soon as it continues.
        """
        silent, heard = self._silent_and_heard(now, search)
        if silent and heard:
            self._request_roster(now, self._node.rng.choice(heard))

    def unconfirmed(self, now: float, search: Search) -> list[str]:
        """Return the silent agents that may have run unheard, until peers report.

        Otherwise, if an agent runs for a moment and its only datagram to this one is
        lost, the flows of its target are reset here.
        """
        candidates = self._candidates(now, search)
        unheard = [
            address
            for address in self._roster.absent(now, candidates)
            if self._may_have_run_unheard(now, address)
        ]
        if not unheard:
            return []
        _, heard = self._silent_and_heard(now, search)
        received = self._roster.rosters_received_since(search.begun)
        if received >= min(CONFIRMING_PEERS, len(heard)):
            return []
        if now - self._roster_requested_at >= ROSTER_REQUEST_INTERVAL_SECONDS:
            self._roster_requested_at = now
            for peer in self._node.rng.sample(heard, min(CONFIRMING_PEERS, len(heard))):
                self._node.hello(now, peer, HelloRequest.MEMBERS)
        return unheard

    def _may_have_run_unheard(self, now: float, address: str) -> bool:
        # A search may still refer to a member that was forgotten.
        member = self._roster.by_address.get(address)
        if member is None or member.was_heard:
            return False
        return now - member.heard_at < LOST_SECONDS

    def _silent_and_heard(
        self, now: float, search: Search
    ) -> tuple[list[str], list[str]]:
        """Return the agents that don't answer a search, and the peers heard."""
        candidates = self._candidates(now, search)
        absent = set(self._roster.absent(now, candidates))
        own = {self._node.address}
        silent = (search.waiting.keys() | absent) - search.denied - own
        heard = {m.address for m in candidates} - absent - silent - own
        return sorted(silent), sorted(heard)

    def ask(self, now: float, search: Search) -> None:
        """Ask agents that don't answer through a peer.

        The owner reports itself to the entry, so that the flow continues although its
        home and its owner are cut off from each other. The peer also reports whether it
        hears them.
        """
        silent, heard = self._silent_and_heard(now, search)
        if not silent or not heard:
            return
        peer = self._node.rng.choice(heard)
        self._request_roster(now, peer)
        due = [name for name in silent if search.is_relay_due(now, name)]
        for name in self._node.rng.sample(due, min(RELAYS_AT_ONCE, len(due))):
            search.relayed[name] = now
            self._node.send(
                now,
                peer,
                Kind.RELAY,
                tunnel.encode_relay(name, search.packet.raw),
                hops=search.head.hops + 1,
                service=search.head.service,
                origin=search.head,
            )

    def _request_roster(self, now: float, peer: str) -> None:
        if now - self._roster_requested_at >= ROSTER_REQUEST_INTERVAL_SECONDS:
            self._roster_requested_at = now
            self._node.hello(now, peer, HelloRequest.MEMBERS)
