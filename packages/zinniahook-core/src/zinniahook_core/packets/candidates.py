"""The agents of a service that a flow may belong to.

However many agents a service has, a flow belongs to a few candidates only: those that
follow its key on a hash ring. Only they are its homes, may open it, and are asked for
it.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterator

from .member import Member
from .models import State
from .ring import HashRing

__all__ = [
    "CANDIDATES",
    "LOST_SECONDS",
    "WIDE_FACTOR",
    "ZONE_CANDIDATES",
    "CandidateSets",
]

CANDIDATES = 8
"""Agents that a flow belongs to. In the placement model, choosing the least loaded of
four of them keeps 99 of 100 requests from waiting longer than 35 ms. With fewer
candidates, an agent that gets busy after a loss has no other agent beside it."""

ZONE_CANDIDATES = 4
"""Additional agents of the client's own data centre that may open its flow. Among eight
agents of five data centres there often is none, and traffic between data centres is
paid by the byte."""

WIDE_FACTOR = 4
"""How many times more agents are asked for a flow that the first candidates don't own.
While half of all agents are down, flows are opened by agents as far as 30 places behind
their key; while a service grows by half, the first eight become twelve."""

LOST_SECONDS = 4.5
"""Seconds of silence after which no agent waits for a member's flows any more. It is
longer than any pause that an agent survives in service (4 s)."""


class CandidateSets:
    """The hash rings of a service's agents: one of all, and one per data centre.

    Parameters
    ----------
    by_address : dict
        The members by address, shared with their roster.
    is_silent : callable
        Returns whether a member must be considered gone at a given time.
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
        """Add a member to the rings."""
        self._ring.add(member.address)
        self._rings_by_zone.setdefault(member.zone, HashRing()).add(member.address)

    def drop(self, member: Member) -> None:
        """Remove a member from the rings."""
        self._ring.drop(member.address)
        self._rings_by_zone[member.zone].drop(member.address)

    def is_lost(self, now: float, member: Member) -> bool:
        """Return whether a member has been silent for too long to hold flows.

        After that time, a member whose target has ended is lost even if it isn't
        considered silent. Entries never ask such a member, so for them it would never
        be silent and keep its place on the rings for ever; they would send packets to
        other homes than those that the owners notify.
        """
        silent_for = now - max(member.heard_at, member.heard_by_peer_at)
        if silent_for <= LOST_SECONDS:
            return False
        return member.state is State.ENDED or self._is_silent(now, member)

    def on_ring(self, now: float) -> set[str]:
        """Return the members that count when the candidates of a flow are chosen.

        In a small service every member is a candidate of every flow, so the set is
        empty. In a larger service the candidates of a flow change as soon as one of
        them joins or is lost, even if it is no home. If that went unnoticed, an agent
        would become the home of flows that no owner reports to it, and would search for
        each of them.
        """
        if len(self._by_address) <= CANDIDATES:
            return set()
        heard_after = now - LOST_SECONDS
        return {
            member.address
            for member in self._by_address.values()
            # Most members were heard a moment ago, so this test is the cheaper one.
            if member.heard_at >= heard_after or not self.is_lost(now, member)
        }

    def _following(
        self, now: float, ring: HashRing, flow: bytes, limit: int
    ) -> Iterator[Member]:
        """Yield the candidates of a flow.

        They are the first ``limit`` members on the ring that aren't lost, and more if
        few of them are present: some agent must be able to open the flow.
        """
        found = present = 0
        for address in ring.after(flow):
            member = self._by_address[address]
            if self.is_lost(now, member):
                continue
            found += 1
            present += not self._is_silent(now, member)
            yield member
            if found >= WIDE_FACTOR * limit or (
                found >= limit and 2 * present >= limit
            ):
                return

    def for_flow(
        self, now: float, flow: bytes, limit: int = CANDIDATES
    ) -> list[Member]:
        """Return the candidates of a flow, for clients of any data centre."""
        if len(self._by_address) <= limit:
            return list(self._by_address.values())
        return list(self._following(now, self._ring, flow, limit))

    def for_zone(self, now: float, flow: bytes, zone: int) -> list[Member]:
        """Return the members that may own a flow from one data centre."""
        members = self.for_flow(now, flow)
        ring = self._rings_by_zone.get(zone)
        if ring is None or len(members) == len(self._by_address):
            return members
        known = {member.address for member in members}
        local = self._following(now, ring, flow, ZONE_CANDIDATES)
        return members + [m for m in local if m.address not in known]

    def widened(self, now: float, flow: bytes) -> list[Member]:
        """Return the members that may own a flow opened under another roster.

        The owner may not be among the present candidates if its client has moved to
        another data centre, agents have joined, or many were down when the flow was
        opened. Without the wider set, the flow would be reset.
        """
        by_address = {
            m.address: m for m in self.for_flow(now, flow, WIDE_FACTOR * CANDIDATES)
        }
        if len(by_address) == len(self._by_address):
            return list(by_address.values())
        rings = [(self._ring, CANDIDATES)]
        rings += [(ring, 2 * ZONE_CANDIDATES) for ring in self._rings_by_zone.values()]
        for ring, limit in rings:
            for member in self._ever_following(now, ring, flow, limit):
                by_address[member.address] = member
        return list(by_address.values())

    def _ever_following(
        self, now: float, ring: HashRing, flow: bytes, limit: int
    ) -> Iterator[Member]:
        """Yield the members that may ever have been candidates of a flow.

        A flow that was opened before a member joined never had that member before its
        other candidates. So a member counts if fewer than ``limit`` members that joined
        no later than it precede it on the ring. In a service that has grown, a few more
        members are asked, not all.
        """
        orders: list[int] = []
        for address in ring.after(flow):
            member = self._by_address[address]
            if self.is_lost(now, member):
                continue
            if bisect.bisect_right(orders, member.order) < limit:
                yield member
            bisect.insort(orders, member.order)
