"""Whom a flow concerns, among the agents of a service.

However many there are, a flow concerns only a few: those that follow its key on
a circle of hashes. They alone are its homes, may open it, and are asked for it.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterator

from .member import Member
from .models import State
from .ring import HashRing

__all__ = [
    "CANDIDATES",
    "LOST_AFTER_SECONDS",
    "WIDE_FACTOR",
    "ZONE_CANDIDATES",
    "CandidateSets",
]

CANDIDATES = 8
"""Agents that a flow belongs to. In the model of placing, the least loaded of
four of them keeps 99 of 100 requests from waiting for more than 35 ms; with
fewer to choose from the one that a loss makes busy has nobody beside it."""

ZONE_CANDIDATES = 4
"""Agents of the client's own data centre that may open its flow besides: among
eight drawn of five data centres there often is none, and each byte between
them is paid for."""

WIDE_FACTOR = 4
"""How many times more agents are asked for a flow that the first ones don't
have. While half of all are away, flows are opened by agents as far as 30
behind their key; while the service grows by half, the first eight become
twelve."""

LOST_AFTER_SECONDS = 4.5
"""Seconds of silence after which nobody waits for a member's flows: longer
than any pause that an agent outlives in service (4 s)."""


class CandidateSets:
    """The circles of a service's agents: one of all, one a data centre.

    Parameters
    ----------
    by_address : dict
        The agents, kept by their roster.
    is_silent : callable
        Tells whether an agent must be taken as gone at a moment.
    """

    def __init__(
        self,
        by_address: dict[str, Member],
        is_silent: Callable[[float, Member], bool],
    ) -> None:
        self._by_address = by_address
        self._is_silent = is_silent
        self._ring = HashRing()
        self._rings_by_zone: dict[int, HashRing] = {}

    def add(self, member: Member) -> None:
        """Give a member its places."""
        self._ring.add(member.address)
        self._rings_by_zone.setdefault(member.zone, HashRing()).add(member.address)

    def drop(self, member: Member) -> None:
        """Take a member's places away."""
        self._ring.drop(member.address)
        self._rings_by_zone[member.zone].drop(member.address)

    def is_lost(self, now: float, member: Member) -> bool:
        """Tell whether a member has been silent for too long to hold flows.

        What goes wrong if one that has said its end counts for as long as nobody
        asks it: entries never do, so for them it keeps its place for ever, and they
        send packets to other homes than the owners tell.
        """
        silent_for = now - max(member.heard_at, member.heard_by_peer_at)
        if silent_for <= LOST_AFTER_SECONDS:
            return False
        return member.state is State.ENDED or self._is_silent(now, member)

    def on_ring(self, now: float) -> set[str]:
        """Return the members that take a place among those of a flow.

        All flows belong to everybody in a small service. In a larger one a flow
        belongs to others as soon as one of its members comes or is lost, also
        one that is no home itself. What goes wrong if that goes unnoticed: an
        agent becomes the home of flows that nobody tells it of, and searches for
        each of them.
        """
        if len(self._by_address) <= CANDIDATES:
            return set()
        heard_after = now - LOST_AFTER_SECONDS
        return {
            member.address
            for member in self._by_address.values()
            # Most were heard a moment ago; no need to look closer.
            if member.heard_at >= heard_after or not self.is_lost(now, member)
        }

    def _following(
        self, now: float, ring: HashRing, flow: bytes, most: int
    ) -> Iterator[Member]:
        """Return the members that a flow belongs to.

        They are ``most`` of those that aren't lost, and more if few of them are
        there: a flow must have somebody who opens it.
        """
        found = here = 0
        for address in ring.after(flow):
            member = self._by_address[address]
            if self.is_lost(now, member):
                continue
            found += 1
            here += not self._is_silent(now, member)
            yield member
            if found >= WIDE_FACTOR * most or (found >= most and 2 * here >= most):
                return

    def for_flow(self, now: float, flow: bytes, most: int = CANDIDATES) -> list[Member]:
        """Return the members that a flow belongs to, for whichever client."""
        if len(self._by_address) <= most:
            return list(self._by_address.values())
        return list(self._following(now, self._ring, flow, most))

    def for_zone(self, now: float, flow: bytes, zone: int) -> list[Member]:
        """Return the members that may have opened a flow of one data centre."""
        members = self.for_flow(now, flow)
        ring = self._rings_by_zone.get(zone)
        if ring is None or len(members) == len(self._by_address):
            return members
        known = {member.address for member in members}
        local = self._following(now, ring, flow, ZONE_CANDIDATES)
        return members + [m for m in local if m.address not in known]

    def widened(self, now: float, flow: bytes) -> list[Member]:
        """Return the members that may have opened a flow, as others saw it.

        What goes wrong without: clients move to another data centre, agents
        join, or many were away as the flow was opened; its owner isn't among
        those that it belongs to now, and the flow is reset.
        """
        by_address = {
            m.address: m for m in self.for_flow(now, flow, WIDE_FACTOR * CANDIDATES)
        }
        if len(by_address) == len(self._by_address):
            return list(by_address.values())
        rings = [(self._ring, CANDIDATES)]
        rings += [(ring, 2 * ZONE_CANDIDATES) for ring in self._rings_by_zone.values()]
        for ring, most in rings:
            for member in self._ever_following(now, ring, flow, most):
                by_address[member.address] = member
        return list(by_address.values())

    def _ever_following(
        self, now: float, ring: HashRing, flow: bytes, most: int
    ) -> Iterator[Member]:
        """Return the members that a flow may ever have belonged to.

        A member that joined after another one never stood before it in the eyes
        of a flow that was opened until then; only those that joined earlier
        count. So of a service that has grown a few more are asked, not all.
        """
        orders: list[int] = []
        for address in ring.after(flow):
            member = self._by_address[address]
            if self.is_lost(now, member):
                continue
            if bisect.bisect_right(orders, member.order) < most:
                yield member
            bisect.insort(orders, member.order)
