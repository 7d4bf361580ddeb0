"""The home of flows: places openings and finds owners that aren't known.

Each flow has a home, the best ranked present agent of its service. Owners
tell their flows to the best two homes, so that a home that dies leaves its
pointers with the next one. A home that knows nothing searches among the agents
of the service; see `searches`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from . import placement, tunnel
from .attempts import Attempts
from .features import Switch
from .forecasts import Forecast
from .inquiries import Inquiries, Inquiry, freshest
from .member import Member
from .members import Roster
from .models import Packet, State, Urgency, route_key
from .node import HOP_LIMIT, Node
from .overload import Overload
from .rejections import Rejections
from .searches import ASKED, Searches, Taken
from .tunnel import Head, Kind, Mark, Reason

__all__ = ["Home"]

POINTERS_LIMIT = 65536
HANDED_PER_TICK = 90
"""Pointers handed on in a tick by a home that leaves: 1,800 a second, in
datagrams that no link splits."""

HOMES_NEXT = 3
"""Homes of a flow, the best first, that a pointer is handed on to: one more than
owners tell, as this agent is one of them."""

PLACEMENTS_KEPT = 5.0
"""Seconds a placement is remembered: a client repeats its opening for 1.4 s,
and may use a port again after seconds."""

ROOM_KEPT = 0.25
"""Seconds for which a peer's free slot is believed when an opening that waits
here could go there; a status to each peer of a small service comes in 0.2 s."""

HOME_HEARD_WITHIN = 0.4
"""Seconds since a home was heard for which packets go there unasked."""

COPY_PATIENCE = 0.15
"""Seconds within which a repeated opening goes to the same agent again: it is
a duplicate of the network, not a client that waited for 0.2 s."""

BUSY = frozenset((Reason.FULL, Reason.LEAVING, Reason.EVACUATED))
"""Reasons for which an agent won't take the client's next copy either."""

NO_TAKER = "drop.no_taker"


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
    ask : callable
        Asks a peer for its status.
    work : Forecast
        What this agent has learned of flows, by route.
    """

    def __init__(
        self,
        node: Node,
        roster: Roster,
        open_here: Callable[[float, str, Head, Packet], Reason],
        search_here: Callable[[float, Head, Packet], Taken],
        ask: Callable[[float, str], None],
        work: Forecast,
    ) -> None:
        self.node = node
        self.roster = roster
        self._open_here = open_here
        self._ask = ask
        self._searches = Searches(node, roster, search_here)
        self._inquiries = Inquiries(node.address, node.rng, ask, self._loads_told)
        self.volumes = placement.Volumes()
        self._overload = Overload(node, roster)
        self.room = self._overload.load
        self._work = work
        self._rejections = Rejections(self.room, node.rng, self._first_takers)
        features = node.features
        self._expects_work = Switch(features, features.expected_work)
        self._pointers: dict[bytes, str] = {}
        self._to_hand_on: list[bytes] = []
        self._placements: dict[bytes, Attempts] = {}

    @property
    def pointers(self) -> int:
        """The number of flows whose owner is known here."""
        return len(self._pointers)

    @property
    def verdicts(self) -> int:
        """The number of flows of which it is remembered that nobody owns them."""
        return self._searches.verdicts

    @property
    def openings_held(self) -> int:
        """The number of openings that are held to be rejected."""
        return len(self._rejections)

    # Openings

    def place(self, now: float, head: Head, packet: Packet) -> None:
        """Choose the agent that opens a flow."""
        self._searches.opened(packet.flow)
        made = self._placements.get(packet.flow)
        if made is None or made.sequence != packet.sequence:
            made = Attempts(packet.sequence, now)
            self._placements[packet.flow] = made
            self._inquiries.forget(packet.flow)
            self._rejections.forget(packet.flow)
        if packet.flow in self._inquiries:
            return
        if packet.flow in self._rejections or made.rejected:
            if not packet.acknowledged:
                # The network doubled it.
                return
            # Its client has got no reset.
            self._rejections.forget(packet.flow)
        if made.tried and self._still_good(now, made):
            self._offer(now, head, packet, made, made.tried[-1])
            return
        self._place_elsewhere(now, head, packet, made)

    def _still_good(self, now: float, made: Attempts) -> bool:
        """Tell whether a copy goes to the agent that has the opening already.

        One that has been heard since is alive and may let it wait; a second
        agent would only serve it twice.
        """
        again = made.tried[-1]
        if again in made.refused or not self.roster.is_here(now, again):
            return False
        if now - made.at < COPY_PATIENCE or again == self.node.address:
            return True
        member = self.roster.by_address[again]
        return member.heard_at > made.at and member.state is not State.DOWN

    def move(self, now: float, head: Head, packet: Packet) -> bool:
        """Hand an opening that waits here to a peer that surely has a free slot."""
        own = (self.node.address,)
        free = [
            member
            for member in self.roster.takers(now, packet.flow, head.zone, own)
            if member.has_room
            and now - member.told_at <= ROOM_KEPT
            and not member.is_lost
        ]
        chosen = self._choose(free, head, packet)
        if chosen is None:
            return False
        made = Attempts(packet.sequence, now, [chosen.address])
        self._placements[packet.flow] = made
        self._tell(packet, made, chosen, free)
        self._offer(now, head, packet, made, chosen.address)
        return True

    def refused(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        """Place an opening again that an agent gave back."""
        made = self._placements.get(packet.flow)
        if made is None or made.sequence != packet.sequence:
            made = Attempts(packet.sequence, now, [sender])
            self._placements[packet.flow] = made
        made.refused[sender] = head.reason
        if head.hops >= HOP_LIMIT:
            self._give_up(now, packet, made)
            return
        self._place_elsewhere(now, head, packet, made)

    def _place_elsewhere(
        self, now: float, head: Head, packet: Packet, made: Attempts
    ) -> None:
        takers = self._takers(now, head, packet, made)
        if not self._inquiries.begin(now, head, packet, takers):
            self._place_among(now, head, packet, made, takers)

    def _takers(
        self, now: float, head: Head, packet: Packet, made: Attempts
    ) -> list[Member]:
        flow, zone, tried = packet.flow, head.zone, {*made.tried, *made.refused}
        takers = self.roster.takers(now, flow, zone, tried)
        # If all were tried, one whose answer got lost may take a copy.
        return takers or self.roster.takers(now, flow, zone, made.refused)

    def _loads_told(self, now: float, inquiry: Inquiry) -> None:
        """Place an opening whose takers have told their loads."""
        head, packet = inquiry.head, inquiry.packet
        made = self._placements.get(packet.flow)
        if made is None or made.sequence != packet.sequence:
            return
        takers = self._takers(now, head, packet, made)
        self._place_among(now, head, packet, made, takers)

    def _place_among(
        self,
        now: float,
        head: Head,
        packet: Packet,
        made: Attempts,
        takers: list[Member],
    ) -> None:
        if self._hold(now, head, packet, made):
            return
        self._place_at_one(now, head, packet, made, takers)

    def _place_at_one(
        self,
        now: float,
        head: Head,
        packet: Packet,
        made: Attempts,
        takers: list[Member],
    ) -> None:
        takers = freshest(now, self.node.address, takers)
        chosen = self._choose(takers, head, packet)
        if chosen is None:
            self._give_up(now, packet, made)
            return
        made.tried.append(chosen.address)
        made.at = now
        self._tell(packet, made, chosen, takers)
        self._offer(now, head, packet, made, chosen.address)

    def _choose(
        self, takers: Sequence[Member], head: Head, packet: Packet
    ) -> Member | None:
        if self.node.features.target_health:
            takers = placement.usable(takers, self.node.rng)
        remote = self.volumes.remote_cost(packet.flow)
        later = None
        if self._expects_work.is_on(self.node.routes, self.roster.service):
            later = self._work.later(route_key(packet.flow))
        return placement.choose(takers, head.zone, remote, self.node.rng, later)

    # Room of the service

    def _hold(self, now: float, head: Head, packet: Packet, made: Attempts) -> bool:
        """Hold an opening that the service has no room for; return whether it did.

        Only one that was certainly placed nowhere: a copy may follow one that
        another home has placed, and whose target has answered.
        """
        if self.room.since is None or made.tried or made.refused or made.rejected:
            return False
        if packet.acknowledged:
            return False
        route = self.node.routes.by_address.get(route_key(packet.flow))
        urgency = route.urgency if route is not None else Urgency()
        return self._rejections.hold(now, head, packet, urgency)

    def _first_takers(self, now: float, head: Head, packet: Packet) -> list[Member]:
        """Return who may take an opening that was offered to nobody yet."""
        return self.roster.takers(now, packet.flow, head.zone)

    def _end_holding(self, now: float) -> None:
        """Reject what was held, or place it if there is room after all."""
        for held, is_excess in self._rejections.due(now):
            made = self._placements.get(held.packet.flow)
            if made is None or made.sequence != held.packet.sequence:
                continue
            if is_excess:
                made.rejected = True
                self._overload.reject(held)
            else:
                takers = self._takers(now, held.head, held.packet, made)
                self._place_at_one(now, held.head, held.packet, made, takers)

    def _tell(
        self, packet: Packet, made: Attempts, chosen: Member, takers: list[Member]
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
        self, now: float, head: Head, packet: Packet, made: Attempts, address: str
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

    def _give_up(self, now: float, packet: Packet, made: Attempts) -> None:
        """End an opening that certainly can't be served, at once.

        Only if every agent tried was full, or all are evacuated: one that is
        restarting or whose target has just died may take the client's next copy.
        """
        outcome = self._outcome(now, packet, made)
        self.node.log.event(
            outcome,
            flow=packet.flow,
            opening=packet.sequence,
            tried=made.tried,
            refused=made.refused,
        )
        if outcome != NO_TAKER:
            reset = self.node.codec.reset(packet.flow, packet.acknowledged)
            self.node.links.to_client(packet.flow, reset)

    def _outcome(self, now: float, packet: Packet, made: Attempts) -> str:
        """Return how an opening that nobody takes ends."""
        reasons = set(made.refused.values())
        if Reason.FULL in reasons and reasons <= BUSY:
            return "reset.full"
        # A copy may follow one that another home has placed, and whose target
        # has answered: a reset would end an open flow.
        first = not made.tried and not packet.acknowledged
        certain = self.node.evacuations.is_certain(now)
        if first and certain and self.roster.is_closed(now):
            return "reset.evacuated"
        return NO_TAKER

    # Packets of open flows

    def learn(self, now: float, owner: str, flows: list[bytes]) -> None:
        """Take what an agent tells of its flows."""
        for flow in flows:
            self._pointers.pop(flow, None)
            self._pointers[flow] = owner
            for head, packet in self._searches.found(flow):
                self._point(now, head, packet, owner)
        while len(self._pointers) > POINTERS_LIMIT:
            del self._pointers[next(iter(self._pointers))]

    def hand_on(self) -> None:
        """Begin to hand the pointers on: this agent leaves.

        Owners tell the best two homes and notice after a while who comes next.
        What goes wrong without: agents leave one after the other, and the third
        home of a flow searches for it among the service.
        """
        self._to_hand_on = list(self._pointers)

    def _hand_on_some(self, now: float) -> None:
        some = self._to_hand_on[-HANDED_PER_TICK:]
        del self._to_hand_on[-HANDED_PER_TICK:]
        flows_by_way: dict[tuple[str, str], list[bytes]] = {}
        for flow in some:
            owner = self._pointers.get(flow)
            if owner is None or self.roster.has_ended(owner):
                continue
            homes = self.roster.homes(now, flow, HOMES_NEXT)
            for home in homes:
                if home not in (owner, self.node.address):
                    flows_by_way.setdefault((home, owner), []).append(flow)
        service = tunnel.tag(self.roster.service)
        for (home, owner), flows in flows_by_way.items():
            body = tunnel.owner(owner, flows)
            self.node.send(now, home, Kind.OWNER, body, service=service)

    def handed(self, now: float, owner: str, flows: list[bytes]) -> None:
        """Take pointers of a home that leaves, of flows not known here yet."""
        self.learn(now, owner, [flow for flow in flows if flow not in self._pointers])

    def ended(self, now: float, owner: str, flows: list[tunnel.Ended]) -> None:
        """Note that flows have ended together with their owner's target."""
        for flow, acknowledged in flows:
            if self._pointers.get(flow, owner) == owner:
                self.forget(flow, owner)
                # It may have been offered to others before.
                self._placements.pop(flow, None)
                self._searches.ended(now, flow, acknowledged)

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
        if flow in self._searches:
            self._searches.wait(now, head, packet)
            return
        if self._searches.recall_end(now, head, packet):
            return
        home = self.roster.home(now, flow)
        if home not in (None, self.node.address) and not head.marks & Mark.POINTED:
            self._pass_to_home(now, head, packet, home)
        elif self._searches.recall(now, head, packet):
            return
        elif head.marks & Mark.KNOWN:
            self._searches.give_back(now, head, packet, Mark.UNSURE)
        elif packet.is_bare:
            self.node.log.count("packets.not_searched")
        else:
            self._searches.begin(now, head, packet)

    def _pass_to_home(self, now: float, head: Head, packet: Packet, home: str) -> None:
        """Send a packet to a better home, and make sure that it is there.

        What goes wrong without the question: in a large service a home that has
        died is noticed after seconds, and until then each packet that the next
        one gets in its place is sent to it.
        """
        if now - self.roster.by_address[home].heard_at > HOME_HEARD_WITHIN:
            self._ask(now, home)
        self.node.pass_on(now, head, packet, home, head.marks & ASKED)

    def told(self, now: float, sender: str) -> None:
        """Take note that a peer has told its load."""
        self._inquiries.heard(now, sender)

    def denied(self, now: float, sender: str, flows: list[bytes]) -> None:
        """Note that an agent doesn't own flows."""
        for flow in flows:
            self.forget(flow, sender)
            self._searches.denied(now, sender, flow)

    def tick(self, now: float) -> None:
        """End what is overdue."""
        self._searches.tick(now)
        self._inquiries.tick(now)
        if self._to_hand_on:
            self._hand_on_some(now)
        self._overload.review(now)
        self._end_holding(now)
        for flow, made in list(self._placements.items())[:64]:
            if now - made.at <= PLACEMENTS_KEPT:
                break
            del self._placements[flow]

    def _owner(self, flow: bytes) -> str | None:
        """Return the owner of a flow, or who was asked last to open it.

        One whose target has ended owns nothing any more.
        """
        owner = self._pointers.get(flow)
        if owner is None and (made := self._placements.get(flow)) is not None:
            owner = made.tried[-1] if made.tried else None
        if owner is not None and self.roster.has_ended(owner):
            self.forget(flow, owner)
            return None
        return owner

    def _point(self, now: float, head: Head, packet: Packet, owner: str) -> None:
        if not self.roster.is_here(now, owner):
            # The entry's way to it may be open.
            self._tell_entry(now, head, packet.flow, owner)
        self.node.pass_on(now, head, packet, owner, Mark.POINTED | head.marks & ASKED)

    def _tell_entry(self, now: float, head: Head, flow: bytes, owner: str) -> None:
        body = tunnel.owner(owner, [flow])
        self.node.send(now, head.entry, Kind.OWNER, body, service=head.service)
