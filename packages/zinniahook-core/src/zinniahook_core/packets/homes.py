"""The home of flows: places openings and finds unknown owners.

Each flow has a home, the best ranked present agent of its service. Owners report their
flows to the best two homes, so that the next home has the pointers when one dies. A
home without a pointer searches among the service's agents; see `searches`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from . import placement, tunnel
from .attempts import Attempts
from .features import FeatureSwitch
from .forecasts import Forecast
from .member import Member
from .members import Roster
from .models import Packet, State, Urgency, route_key
from .node import HOP_LIMIT, Node
from .overload import Overload
from .polls import LoadPoll, LoadPolls, with_known_load
from .rejections import Rejections
from .searches import ENTRY_MARKS, Acceptance, Searches
from .tunnel import Head, Kind, Mark, Reason

__all__ = ["Home"]

POINTERS_LIMIT = 65536
POINTERS_HANDED_OVER_PER_TICK = 90
"""Pointers that a leaving home hands over per tick: 1,800 a second, in datagrams that
no link fragments."""

HANDOVER_HOMES = 3
"""Homes of a flow, the best first, that get a pointer in a handover: one more than
owners notify, as this agent is one of them."""

PLACEMENT_EXPIRY_SECONDS = 5.0
"""Seconds for which a placement is remembered. A client repeats its opening for 1.4 s,
and may use the same port again after some seconds."""

FREE_SLOT_TRUST_SECONDS = 0.25
"""Seconds for which a peer's reported free slot counts when a waiting opening could go
there. In a small service each peer gets a status every 0.2 s."""

HOME_HEARD_WITHIN_SECONDS = 0.4
"""Seconds since a home was heard in which packets go there without a check."""

DUPLICATE_WITHIN_SECONDS = 0.15
"""Seconds within which a repeated opening goes to the same agent again: the network has
duplicated it, as a client repeats after 0.2 s."""

LASTING_REASONS = frozenset((Reason.FULL, Reason.LEAVING, Reason.EVACUATED))
"""Reasons for which an agent won't accept the client's next copy either."""

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
        The work that flows are expected to bring, by route.
    """

    def __init__(
        self,
        node: Node,
        roster: Roster,
        open_here: Callable[[float, str, Head, Packet], Reason],
        search_here: Callable[[float, Head, Packet], Acceptance],
        ask: Callable[[float, str], None],
        work: Forecast,
    ) -> None:
        self.node = node
        self.roster = roster
        self._open_here = open_here
        self._ask = ask
        self._searches = Searches(node, roster, search_here)
        self._load_polls = LoadPolls(node.address, node.rng, ask, self._loads_received)
        self.volumes = placement.Volumes()
        self._overload = Overload(node, roster)
        self.room = self._overload.load
        self._work = work
        self._rejections = Rejections(self.room, node.rng, self._first_takers)
        features = node.features
        self._expects_work = FeatureSwitch(features, features.expected_work)
        self._pointers: dict[bytes, str] = {}
        self._to_hand_over: list[bytes] = []
        self._placements: dict[bytes, Attempts] = {}

    @property
    def pointers(self) -> int:
        """The number of flows to whose owner a pointer is kept."""
        return len(self._pointers)

    @property
    def verdicts(self) -> int:
        """The number of flows remembered as having no owner."""
        return self._searches.verdicts

    @property
    def openings_held(self) -> int:
        """The number of openings held for a possible rejection."""
        return len(self._rejections)

    # Openings

    def place(self, now: float, head: Head, packet: Packet) -> None:
        """Choose the agent that opens a flow, and send it the opening."""
        self._searches.opened(packet.flow)
        attempt = self._placements.get(packet.flow)
        if attempt is None or attempt.sequence != packet.sequence:
            attempt = Attempts(packet.sequence, now)
            self._placements[packet.flow] = attempt
            self._load_polls.forget(packet.flow)
            self._rejections.forget(packet.flow)
        if packet.flow in self._load_polls:
            return
        if packet.flow in self._rejections or attempt.rejected:
            if not packet.acknowledged:
                # The network duplicated it.
                return
            # The client repeats its opening, so the reset was lost.
            self._rejections.forget(packet.flow)
        if attempt.tried and self._is_at_same_agent(now, attempt):
            self._offer(now, head, packet, attempt, attempt.tried[-1])
            return
        self._place_elsewhere(now, head, packet, attempt)

    def _is_at_same_agent(self, now: float, attempt: Attempts) -> bool:
        """Return whether a copy goes to the agent that already has the opening.

        An agent heard since may be queueing it, and a second one would serve it twice.
        """
        former = attempt.tried[-1]
        if former in attempt.refused or not self.roster.is_reachable(now, former):
            return False
        if now - attempt.at < DUPLICATE_WITHIN_SECONDS or former == self.node.address:
            return True
        member = self.roster.by_address[former]
        return member.heard_at > attempt.at and member.state is not State.DOWN

    def move(self, now: float, head: Head, packet: Packet) -> bool:
        """Hand a waiting opening to a peer that surely has a free slot."""
        own = (self.node.address,)
        free = [
            member
            for member in self.roster.takers(now, packet.flow, head.zone, own)
            if member.has_free_slot
            and now - member.status_received_at <= FREE_SLOT_TRUST_SECONDS
            and not member.fails_mostly
        ]
        chosen = self._choose(free, head, packet)
        if chosen is None:
            return False
        attempt = Attempts(packet.sequence, now, [chosen.address])
        self._placements[packet.flow] = attempt
        self._log_placed(packet, attempt, chosen, free)
        self._offer(now, head, packet, attempt, chosen.address)
        return True

    def refused(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        """Place an opening again after an agent has given it back."""
        attempt = self._placements.get(packet.flow)
        if attempt is None or attempt.sequence != packet.sequence:
            attempt = Attempts(packet.sequence, now, [sender])
            self._placements[packet.flow] = attempt
        attempt.refused[sender] = head.reason
        if head.hops >= HOP_LIMIT:
            self._give_up(now, packet, attempt)
            return
        self._place_elsewhere(now, head, packet, attempt)

    def _place_elsewhere(
        self, now: float, head: Head, packet: Packet, attempt: Attempts
    ) -> None:
        takers = self._takers(now, head, packet, attempt)
        if not self._load_polls.begin(now, head, packet, takers):
            self._place_among(now, head, packet, attempt, takers)

    def _takers(
        self, now: float, head: Head, packet: Packet, attempt: Attempts
    ) -> list[Member]:
        flow, zone, tried = packet.flow, head.zone, {*attempt.tried, *attempt.refused}
        takers = self.roster.takers(now, flow, zone, tried)
        # If all were tried, an agent whose answer was lost may accept a copy.
        return takers or self.roster.takers(now, flow, zone, attempt.refused)

    def _loads_received(self, now: float, poll: LoadPoll) -> None:
        """Place an opening whose load poll has ended."""
        head, packet = poll.head, poll.packet
        attempt = self._placements.get(packet.flow)
        if attempt is None or attempt.sequence != packet.sequence:
            return
        takers = self._takers(now, head, packet, attempt)
        self._place_among(now, head, packet, attempt, takers)

    def _place_among(
        self,
        now: float,
        head: Head,
        packet: Packet,
        attempt: Attempts,
        takers: list[Member],
    ) -> None:
        if self._hold(now, head, packet, attempt):
            return
        self._place_at_best(now, head, packet, attempt, takers)

    def _place_at_best(
        self,
        now: float,
        head: Head,
        packet: Packet,
        attempt: Attempts,
        takers: list[Member],
    ) -> None:
        takers = with_known_load(now, self.node.address, takers)
        chosen = self._choose(takers, head, packet)
        if chosen is None:
            self._give_up(now, packet, attempt)
            return
        attempt.tried.append(chosen.address)
        attempt.at = now
        self._log_placed(packet, attempt, chosen, takers)
        self._offer(now, head, packet, attempt, chosen.address)

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

    # Overload

    def _hold(self, now: float, head: Head, packet: Packet, attempt: Attempts) -> bool:
        """Hold an opening while the service is overloaded; return whether it is held.

        It must never have been placed. A copy may follow an opening that another home
        has placed and whose target has answered.
        """
        if (
            self.room.since is None
            or attempt.tried
            or attempt.refused
            or attempt.rejected
        ):
            return False
        if packet.acknowledged:
            return False
        route = self.node.routes.by_address.get(route_key(packet.flow))
        urgency = route.urgency if route is not None else Urgency()
        return self._rejections.hold(now, head, packet, urgency)

    def _first_takers(self, now: float, head: Head, packet: Packet) -> list[Member]:
        """Return the agents that may open a flow not yet offered to any agent."""
        return self.roster.takers(now, packet.flow, head.zone)

    def _release_held(self, now: float) -> None:
        """Reject held openings, or place them if there is capacity after all."""
        for held, is_excess in self._rejections.due(now):
            attempt = self._placements.get(held.packet.flow)
            if attempt is None or attempt.sequence != held.packet.sequence:
                continue
            if is_excess:
                attempt.rejected = True
                self._overload.reject(held)
            else:
                takers = self._takers(now, held.head, held.packet, attempt)
                self._place_at_best(now, held.head, held.packet, attempt, takers)

    def _log_placed(
        self, packet: Packet, attempt: Attempts, chosen: Member, takers: list[Member]
    ) -> None:
        self.node.log.event(
            "flow.placed",
            flow=packet.flow,
            opening=packet.sequence,
            agent=chosen.address,
            copy=packet.acknowledged,
            tried=len(attempt.tried),
            busy=chosen.busy,
            placed=chosen.placed,
            takers=len(takers),
        )

    def _offer(
        self, now: float, head: Head, packet: Packet, attempt: Attempts, address: str
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
                origin=head,
            )
            return
        reason = self._open_here(now, address, head, packet)
        if reason is not Reason.NONE:
            attempt.refused[address] = reason
            self._place_elsewhere(now, head, packet, attempt)

    def _give_up(self, now: float, packet: Packet, attempt: Attempts) -> None:
        """Reset an opening at once if it certainly can't be served.

        That is so if every agent tried was full, or all are evacuated. One that
        restarts, or whose target has just died, may accept the client's next copy.
        """
        outcome = self._outcome(now, packet, attempt)
        self.node.log.event(
            outcome,
            flow=packet.flow,
            opening=packet.sequence,
            tried=attempt.tried,
            refused=attempt.refused,
        )
        if outcome != NO_TAKER:
            reset = self.node.codec.reset(packet.flow, packet.acknowledged)
            self.node.links.to_client(packet.flow, reset)

    def _outcome(self, now: float, packet: Packet, attempt: Attempts) -> str:
        """Return the log event of an opening that no agent accepts."""
        reasons = set(attempt.refused.values())
        if Reason.FULL in reasons and reasons <= LASTING_REASONS:
            return "reset.full"
        # A copy may follow an opening that another home has placed and whose target
        # has answered: a reset would end an open flow.
        first = not attempt.tried and not packet.acknowledged
        certain = self.node.evacuations.is_certain(now)
        if first and certain and self.roster.is_closed(now):
            return "reset.evacuated"
        return NO_TAKER

    # Packets of open flows

    def learn(self, now: float, owner: str, flows: list[bytes]) -> None:
        """Set the owner of flows, as reported by an agent."""
        for flow in flows:
            self._pointers.pop(flow, None)
            self._pointers[flow] = owner
            for head, packet in self._searches.found(flow):
                self._send_to_owner(now, head, packet, owner)
        while len(self._pointers) > POINTERS_LIMIT:
            del self._pointers[next(iter(self._pointers))]

    def hand_over(self) -> None:
        """Start to hand over the pointers, as this agent is leaving.

        Owners notify the best two homes and notice only later which one comes next.
        Without a handover, when agents leave in turn, a third home has to search.
        """
        self._to_hand_over = list(self._pointers)

    def _hand_over_some(self, now: float) -> None:
        batch = self._to_hand_over[-POINTERS_HANDED_OVER_PER_TICK:]
        del self._to_hand_over[-POINTERS_HANDED_OVER_PER_TICK:]
        flows_by_home_and_owner: dict[tuple[str, str], list[bytes]] = {}
        for flow in batch:
            owner = self._pointers.get(flow)
            if owner is None or self.roster.has_ended(owner):
                continue
            homes = self.roster.homes(now, flow, HANDOVER_HOMES)
            for home in homes:
                if home not in (owner, self.node.address):
                    flows_by_home_and_owner.setdefault((home, owner), []).append(flow)
        service = tunnel.tag(self.roster.service)
        for (home, owner), flows in flows_by_home_and_owner.items():
            body = tunnel.encode_owner(owner, flows)
            self.node.send(now, home, Kind.OWNER, body, service=service)

    def learn_handed_over(self, now: float, owner: str, flows: list[bytes]) -> None:
        """Add the pointers of a leaving home for flows that have none here."""
        self.learn(now, owner, [flow for flow in flows if flow not in self._pointers])

    def ended(self, now: float, owner: str, flows: list[tunnel.Ended]) -> None:
        """Note that flows have ended together with their owner's target."""
        for flow, acknowledged in flows:
            if self._pointers.get(flow, owner) == owner:
                self.forget(flow, owner)
                # The opening may have been offered to other agents before.
                self._placements.pop(flow, None)
                self._searches.ended(now, flow, acknowledged)

    def forget(self, flow: bytes, owner: str) -> None:
        """Drop a pointer that turned out to be wrong."""
        if self._pointers.get(flow) == owner:
            del self._pointers[flow]
        attempt = self._placements.get(flow)
        if attempt is not None and owner in attempt.tried:
            attempt.tried.remove(owner)

    def locate(self, now: float, head: Head, packet: Packet) -> None:
        """Send a packet of a flow that isn't owned here towards its owner."""
        flow = packet.flow
        if head.hops >= HOP_LIMIT:
            self.node.log.event("drop.hop_limit", flow=flow, hops=head.hops)
            return
        owner = self._owner(flow)
        if owner not in (None, self.node.address):
            # Even a silent owner gets the packet: it may be back at any moment,
            # and the packet must not reach another target.
            self._send_to_owner(now, head, packet, owner)
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
        """Send a packet to a better home, and check that the home is alive.

        Without the check, a dead home of a large service gets such packets for seconds.
        """
        if now - self.roster.by_address[home].heard_at > HOME_HEARD_WITHIN_SECONDS:
            self._ask(now, home)
        self.node.pass_on(now, head, packet, home, head.marks & ENTRY_MARKS)

    def load_reported(self, now: float, sender: str) -> None:
        """Note that a peer has reported its load."""
        self._load_polls.heard(now, sender)

    def denied(self, now: float, sender: str, flows: list[bytes]) -> None:
        """Note that an agent doesn't own flows."""
        for flow in flows:
            self.forget(flow, sender)
            self._searches.denied(now, sender, flow)

    def tick(self, now: float) -> None:
        """Handle everything that is due."""
        self._searches.tick(now)
        self._load_polls.tick(now)
        if self._to_hand_over:
            self._hand_over_some(now)
        self._overload.review(now)
        self._release_held(now)
        for flow, attempt in list(self._placements.items())[:64]:
            if now - attempt.at <= PLACEMENT_EXPIRY_SECONDS:
                break
            del self._placements[flow]

    def _owner(self, flow: bytes) -> str | None:
        """Return the owner of a flow, or the agent last asked to open it.

        An agent whose target has ended owns no flows.
        """
        owner = self._pointers.get(flow)
        if owner is None and (attempt := self._placements.get(flow)) is not None:
            owner = attempt.tried[-1] if attempt.tried else None
        if owner is not None and self.roster.has_ended(owner):
            self.forget(flow, owner)
            return None
        return owner

    def _send_to_owner(
        self, now: float, head: Head, packet: Packet, owner: str
    ) -> None:
        if not self.roster.is_reachable(now, owner):
            # The entry may still reach the owner directly.
            self._notify_entry(now, head, packet.flow, owner)
        self.node.pass_on(
            now, head, packet, owner, Mark.POINTED | head.marks & ENTRY_MARKS
        )

    def _notify_entry(self, now: float, head: Head, flow: bytes, owner: str) -> None:
        body = tunnel.encode_owner(owner, [flow])
        self.node.send(now, head.entry, Kind.OWNER, body, service=head.service)
