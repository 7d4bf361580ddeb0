"""The home of flows: places openings and finds owners that aren't known.

Each flow has a home, the best ranked present agent of its service. Owners
tell their flows to the best two homes, so that a home that dies leaves its
pointers with the next one. A home that knows nothing asks every agent of the
service by passing the packet itself; the owner delivers it, and the others
deny. Nobody is asked once the owner is known.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from . import placement, tunnel
from .members import Member, Roster
from .models import Packet, State
from .node import HOP_LIMIT, Node
from .tunnel import Head, Kind, Mark, Reason

__all__ = ["Home", "Taken"]

POINTERS_LIMIT = 65536
PLACEMENTS_KEPT = 5.0
"""Seconds a placement is remembered: a client repeats its opening for 1.4 s,
and may use a port again after seconds."""

COPY_PATIENCE = 0.15
"""Seconds within which a repeated opening goes to the same agent again: it is
a duplicate of the network, not a client that waited for 0.2 s."""

SEARCH_LONGEST = 5.0
"""Seconds for a search: above the time for which a silent agent may still hold
flows. A search that ended sooner would leave the client to its next packet,
which comes up to 1.6 s later."""

SEARCH_REPEAT = 0.06
"""Seconds until those that haven't answered are asked again: above the time in
which a target returns a packet. What goes wrong without: the question to the
owner gets lost, and only other targets have seen the packet."""

WAVE_PATIENCE = 0.12
"""Seconds until more are asked although some haven't answered: above the time
in which an agent finds out that its target kept the packet (0.05 s and a tick).
What goes wrong without: the owner is just about to claim the flow, and three
more targets get its packet."""

SEARCH_HURRY = 0.5
"""Seconds of a search after which the silent are asked at longer pauses: most
of them are gone."""

SEARCH_REPEAT_LATE = 0.3

HELD_LIMIT = 16
"""Packets kept for a search: what a client may have in flight."""

WAVE = 2
"""Agents asked at a time: after a restart of all agents each one asked has to
try the packet at its target, and a flow counts as broken if three others get
packets and its own target none. A wave takes 3 ms."""

WAVES = 8
"""Waves in which even a large service is asked."""

SEARCHES_LIMIT = 4096

RELAY_AFTER = 0.1
"""Seconds of a search after which agents that haven't answered are asked by way
of a peer: two questions got lost, or the link to them is cut."""

RELAYS = 2
"""Agents asked so at a time; each costs two datagrams."""


class Taken(enum.Enum):
    """What this agent itself says to an opening or a search."""

    YES = "yes"
    NO = "no"
    OPEN = "open"
    """It gave the packet to its target and will know in a moment."""


@dataclass(slots=True)
class Placement:
    """Where the copies of one opening were sent."""

    sequence: int
    at: float
    tried: list[str] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Search:
    """A search for the owner of a flow."""

    begun: float
    ask_at: float
    may_conclude: bool
    head: Head
    packet: Packet
    waved_at: float = float("-inf")
    waiting: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    held: list[tuple[Head, Packet]] = field(default_factory=list)


class Home:
    """The part of an agent that serves flows of other agents.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    roster : Roster
        The agents of the service.
    open_here : callable
        Offers an opening to this agent's own target.
    search_here : callable
        Tries a packet at this agent's own target, if it might own the flow.
    """

    def __init__(
        self,
        node: Node,
        roster: Roster,
        open_here: Callable[[float, str, Head, Packet], Reason],
        search_here: Callable[[float, Head, Packet], Taken],
    ) -> None:
        self.node = node
        self.roster = roster
        self._open_here = open_here
        self._search_here = search_here
        self.volumes = placement.Volumes()
        self._pointers: dict[bytes, str] = {}
        self._placements: dict[bytes, Placement] = {}
        self._searches: dict[bytes, Search] = {}

    @property
    def pointers(self) -> int:
        """The number of flows whose owner is known here."""
        return len(self._pointers)

    # Openings

    def place(self, now: float, head: Head, packet: Packet) -> None:
        """Choose the agent that opens a flow."""
        made = self._placements.get(packet.flow)
        if made is None or made.sequence != packet.sequence:
            made = Placement(packet.sequence, now)
            self._placements[packet.flow] = made
        if made.tried and self._still_good(now, made):
            self._offer(now, head, packet, made, made.tried[-1])
            return
        self._place_elsewhere(now, head, packet, made)

    def _still_good(self, now: float, made: Placement) -> bool:
        """Tell whether a copy goes to the agent that has the opening already.

        One that has been heard since is alive and may let it wait; a second
        agent would only serve it twice.
        """
        again = made.tried[-1]
        if again in made.refused or again not in self.roster.present(now):
            return False
        if now - made.at < COPY_PATIENCE or again == self.node.address:
            return True
        member = self.roster.by_address[again]
        return member.heard_at > made.at and member.state is not State.DOWN

    def move(
        self, now: float, head: Head, packet: Packet, free: list[Member]
    ) -> list[Member]:
        """Hand an opening that waits here to a peer; return who is still free."""
        chosen = self._choose(free, head, packet)
        if chosen is None or head.hops >= HOP_LIMIT:
            return []
        made = Placement(packet.sequence, now, [chosen.address])
        self._placements[packet.flow] = made
        self._tell(packet, made, chosen, free)
        self._offer(now, head, packet, made, chosen.address)
        return [member for member in free if member.has_room]

    def refused(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        """Place an opening again that an agent gave back."""
        made = self._placements.get(packet.flow)
        if made is None or made.sequence != packet.sequence:
            made = Placement(packet.sequence, now, [sender])
            self._placements[packet.flow] = made
        made.refused[sender] = head.reason
        if head.hops >= HOP_LIMIT:
            self._give_up(packet, made)
            return
        self._place_elsewhere(now, head, packet, made)

    def _place_elsewhere(
        self, now: float, head: Head, packet: Packet, made: Placement
    ) -> None:
        takers = self.roster.takers(now, {*made.tried, *made.refused})
        if not takers:
            # All were tried; one whose answer got lost may take a copy.
            takers = self.roster.takers(now, made.refused)
        chosen = self._choose(takers, head, packet)
        if chosen is None:
            self._give_up(packet, made)
            return
        made.tried.append(chosen.address)
        made.at = now
        self._tell(packet, made, chosen, takers)
        self._offer(now, head, packet, made, chosen.address)

    def _choose(
        self, takers: list[Member], head: Head, packet: Packet
    ) -> Member | None:
        remote = self.volumes.remote_cost(packet.flow)
        return placement.choose(takers, head.zone, remote, self.node.rng)

    def _tell(
        self, packet: Packet, made: Placement, chosen: Member, takers: list[Member]
    ) -> None:
        self.node.log.event(
            "flow.placed",
            flow=packet.flow,
            opening=packet.sequence,
            agent=chosen.address,
            copy=packet.acknowledged,
            tried=len(made.tried),
            busy=chosen.busy,
            placed=chosen.placed,
            takers=len(takers),
        )

    def _offer(
        self, now: float, head: Head, packet: Packet, made: Placement, address: str
    ) -> None:
        if address != self.node.address:
            self.node.send(
                now,
                address,
                Kind.FORWARD,
                packet.raw,
                marks=Mark.PLACED,
                hops=head.hops + 1,
                service=head.service,
                like=head,
            )
            return
        reason = self._open_here(now, address, head, packet)
        if reason is not Reason.NONE:
            made.refused[address] = reason
            self._place_elsewhere(now, head, packet, made)

    def _give_up(self, packet: Packet, made: Placement) -> None:
        """End an opening that certainly can't be served, at once.

        Only if every agent tried was full: one that is restarting or whose
        target has just died may take the client's next copy.
        """
        reasons = set(made.refused.values())
        full = bool(reasons) and reasons <= {Reason.FULL, Reason.LEAVING}
        ended = full and Reason.FULL in reasons
        self.node.log.event(
            "reset.full" if ended else "drop.no_taker",
            flow=packet.flow,
            opening=packet.sequence,
            tried=made.tried,
            refused=made.refused,
        )
        if ended:
            reset = self.node.codec.reset(packet.flow, packet.acknowledged)
            self.node.links.to_client(packet.flow, reset)

    # Packets of open flows

    def learn(self, now: float, owner: str, flows: list[bytes]) -> None:
        """Take what an agent tells of its flows."""
        for flow in flows:
            self._pointers.pop(flow, None)
            self._pointers[flow] = owner
            search = self._searches.pop(flow, None)
            if search is not None:
                for head, packet in search.held:
                    self._point(now, head, packet, owner)
        while len(self._pointers) > POINTERS_LIMIT:
            del self._pointers[next(iter(self._pointers))]

    def forget(self, flow: bytes, owner: str) -> None:
        """Forget a pointer that turned out to be wrong."""
        if self._pointers.get(flow) == owner:
            del self._pointers[flow]
        made = self._placements.get(flow)
        if made is not None and owner in made.tried:
            made.tried.remove(owner)

    def locate(self, now: float, head: Head, packet: Packet) -> None:
        """Bring a packet of a flow that isn't owned here to its owner."""
        flow = packet.flow
        if head.hops >= HOP_LIMIT:
            self.node.log.event("drop.hop_limit", flow=flow, hops=head.hops)
            return
        owner = self._owner(flow)
        if owner not in (None, self.node.address):
            # Also if it is silent: it may be back at any moment, and the
            # packet must reach no other target.
            self._point(now, head, packet, owner)
            return
        search = self._searches.get(flow)
        if search is not None:
            if len(search.held) < HELD_LIMIT:
                search.held.append((head, packet))
            return
        home = self.roster.home(now, flow)
        if home not in (None, self.node.address) and not head.marks & Mark.POINTED:
            self._pass(now, head, packet, home, head.marks & Mark.SHARED)
            return
        self._search(now, head, packet)

    def denied(self, now: float, sender: str, flows: list[bytes]) -> None:
        """Take that an agent doesn't own flows."""
        for flow in flows:
            self.forget(flow, sender)
            search = self._searches.get(flow)
            if search is None:
                continue
            search.waiting.discard(sender)
            search.denied.add(sender)
            # The own target may be the one that doesn't answer.
            if not search.waiting - {self.node.address}:
                self._go_on(now, flow, search)

    def tick(self, now: float) -> None:
        """End what is overdue."""
        for flow, search in list(self._searches.items()):
            if now >= search.begun + SEARCH_LONGEST:
                del self._searches[flow]
                self.node.log.event(
                    "search.timeout", flow=flow, silent=sorted(search.waiting)
                )
            elif now >= search.ask_at:
                self._ask_again(now, flow, search)
        for flow, made in list(self._placements.items())[:64]:
            if now - made.at <= PLACEMENTS_KEPT:
                break
            del self._placements[flow]

    def _owner(self, flow: bytes) -> str | None:
        """Return the owner of a flow, or who was asked last to open it."""
        owner = self._pointers.get(flow)
        if owner is None and (made := self._placements.get(flow)) is not None:
            owner = made.tried[-1] if made.tried else None
        return owner

    def _point(self, now: float, head: Head, packet: Packet, owner: str) -> None:
        self._pass(now, head, packet, owner, Mark.POINTED | head.marks & Mark.SHARED)

    def _pass(
        self, now: float, head: Head, packet: Packet, address: str, marks: int
    ) -> None:
        self.node.log.count("packets.passed_on")
        self.node.send(
            now,
            address,
            Kind.FORWARD,
            packet.raw,
            marks=marks,
            hops=head.hops + 1,
            service=head.service,
            like=head,
        )

    def _search(self, now: float, head: Head, packet: Packet) -> None:
        if len(self._searches) >= SEARCHES_LIMIT:
            self.node.log.count("searches.refused")
            return
        here = self._search_here(now, head, packet)
        if here is Taken.YES:
            return
        # A packet without data may be the last of a flow that has ended well.
        sure = not head.marks & Mark.SHARED and packet.length > 0
        ask_at = now + SEARCH_REPEAT
        search = Search(now, ask_at, sure, head, packet)
        self._searches[packet.flow] = search
        agents = len(self.roster.present(now)) - 1
        self.node.log.event("search", flow=packet.flow, agents=agents)
        if here is Taken.OPEN:
            search.waiting.add(self.node.address)
            return
        self._go_on(now, packet.flow, search)

    def _ask_again(self, now: float, flow: bytes, search: Search) -> None:
        """Ask those that haven't answered, and take note of who has gone.

        An agent that went silent is asked again if it comes back; until then
        the search waits for as long as it may hold the flow.
        """
        hurry = now < search.begun + SEARCH_HURRY
        search.ask_at = now + (SEARCH_REPEAT if hurry else SEARCH_REPEAT_LATE)
        search.waiting &= {*self.roster.present(now), self.node.address}
        self._ask(now, search, search.waiting - {self.node.address})
        if now - search.begun >= RELAY_AFTER:
            self._ask_by_peers(now, search)
        if now - search.waved_at >= WAVE_PATIENCE:
            self._go_on(now, flow, search)

    def _ask_by_peers(self, now: float, search: Search) -> None:
        """Ask those that can't be reached from here by way of a peer.

        The owner tells the entry, so that the flow goes on though its home and
        its owner are cut off from each other; and the peer tells whether it
        hears them.
        """
        missing = search.waiting | set(self.roster.absent(now)) - search.denied
        missing.discard(self.node.address)
        present = self.roster.present(now)
        peers = [n for n in present if n not in missing and n != self.node.address]
        if not missing or not peers:
            return
        peer = self.node.rng.choice(peers)
        self.node.hello(now, peer)
        for name in self.node.rng.sample(sorted(missing), min(RELAYS, len(missing))):
            self.node.send(
                now,
                peer,
                Kind.RELAY,
                tunnel.relay(name, search.packet.raw),
                hops=search.head.hops + 1,
                service=search.head.service,
                like=search.head,
            )

    def _go_on(self, now: float, flow: bytes, search: Search) -> None:
        """Ask the next few agents; end the search if none is left to ask."""
        asked = search.waiting | search.denied | {self.node.address}
        left = [name for name in self.roster.present(now) if name not in asked]
        width = max(WAVE, len(self.roster.by_address) // WAVES)
        wave = self.node.rng.sample(left, min(width, len(left)))
        search.waved_at = now
        self._ask(now, search, wave)
        if search.waiting:
            return
        # An agent that is silent may be cut off from here only and hold it.
        if search.may_conclude and self.roster.may_hold_unseen(now):
            return
        self._conclude(now, flow, search)

    def _ask(self, now: float, search: Search, names: Iterable[str]) -> None:
        for name in names:
            search.waiting.add(name)
            self._pass(now, search.head, search.packet, name, Mark.SEARCH)

    def _conclude(self, now: float, flow: bytes, search: Search) -> None:
        """End a flow that nobody holds: its target is gone.

        What goes wrong without: the client repeats its packets until its
        time is over, instead of trying anew at another target.
        """
        del self._searches[flow]
        self.node.log.event(
            "reset.no_owner" if search.may_conclude else "drop.no_owner",
            flow=flow,
            present=len(self.roster.present(now)),
        )
        if search.may_conclude:
            reset = self.node.codec.reset(flow, search.packet.acknowledged)
            self.node.links.to_client(flow, reset)
