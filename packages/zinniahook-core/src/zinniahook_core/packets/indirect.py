"""Asks agents that a search can't reach by way of peers."""

from __future__ import annotations

from collections.abc import Callable

from . import tunnel
from .candidates import LOST_AFTER_SECONDS
from .member import Member
from .members import Roster
from .node import Node
from .search import Search
from .tunnel import HelloRequest, Kind

__all__ = ["IndirectQueries"]

ROSTER_REQUEST_INTERVAL_SECONDS = 0.25
"""Seconds between two questions to peers whether they hear who is silent."""

CONFIRMING_PEERS = 2
"""Peers that have to tell whom they hear before one that nobody has heard counts as
gone: one of them may have missed it as well."""

RELAYS_AT_ONCE = 2
"""Agents asked so at a time; each costs two datagrams."""


class IndirectQueries:
    """The questions of one home that go by way of peers.

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
        """Find out who else runs, while another service is asked.

        What goes wrong without: the owner is cut off from here only, and the search
        concludes without it as soon as it goes on.
        """
        silent, heard = self._silent_and_heard(now, search)
        if silent and heard:
            self._request_roster(now, self._node.rng.choice(heard))

    def unconfirmed(self, now: float, search: Search) -> list[str]:
        """Return the silent agents that nobody has heard yet, until peers confirm it.

        What goes wrong without: an agent runs for a moment, its only datagram to this
        one gets lost, and the flows of its target are reset here.
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
        # A search may still ask for one that was forgotten meanwhile.
        member = self._roster.by_address.get(address)
        if member is None or member.was_heard:
            return False
        return now - member.heard_at < LOST_AFTER_SECONDS

    def _silent_and_heard(
        self, now: float, search: Search
    ) -> tuple[list[str], list[str]]:
        """Return who doesn't answer a search, and the peers that are heard."""
        candidates = self._candidates(now, search)
        absent = set(self._roster.absent(now, candidates))
        own = {self._node.address}
        silent = (search.waiting.keys() | absent) - search.denied - own
        heard = {m.address for m in candidates} - absent - silent - own
        return sorted(silent), sorted(heard)

    def ask(self, now: float, search: Search) -> None:
        """Ask those that can't be reached from here by way of a peer.

        The owner tells the entry, so that the flow goes on though its home and
        its owner are cut off from each other; and the peer tells whether it
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
