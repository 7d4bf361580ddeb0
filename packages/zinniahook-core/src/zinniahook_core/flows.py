"""Ownership of flows: opening, handover and changes of the home.

A QUIC flow is owned by the agent that its connection id names, so only its opening
is decided here. A plain UDP flow is identified only by the address of its caller.
Its home, the highest ranked ready agent, opens it, and all other agents ask for the
owner. See docs/design/flows.md for the alternatives.
"""

from __future__ import annotations

from collections.abc import Callable

from .codes import Code
from .effects import (
    AcceptFlow,
    AgentEffect,
    Count,
    Deliver,
    Drop,
    EndFlow,
    ForwardDatagram,
    HandOver,
    SendPeer,
)
from .events import FlowDatagram, FlowOpening
from .homes import Homes
from .messages import FlowAnswer, FlowAsk, FlowPointers, PeerMessage
from .models import Load, Roster, Service
from .owners import OwnedFlows
from .placement import Placement
from .pointers import Pointer, Pointers, confirmation
from .queries import OwnerQueries, OwnerQuery, ProvisionalFlows
from .routing import flow_key

__all__ = ["Flows"]

HOP_LIMIT = 4
FLOWS_LIMIT = 16384
IDLE_SECONDS = 120.0
HANDSHAKE_SECONDS = 10.0
"""How long packets of a QUIC handshake go to the peer chosen for it."""
HANDED_OVER_SECONDS = 3.0
"""How long forwarded datagrams are marked as a handover of the flow."""
REDIRECT_SECONDS = 2.0
"""How long packets go to the home of a flow that no agent owns."""
YOUNG_FLOW_SECONDS = 15.0
"""Age below which an agent yields a flow that another agent owns too."""
QUERY_WIDTH = 8
"""Number of agents that are asked for the owner of a flow."""
EXPIRED_PER_TICK = 1000

Effects = list[AgentEffect]


class Flows:
    """The flows of one agent.

    Parameters
    ----------
    name : str
        This agent's own name.
    placement : Placement
        Chooses the agent for a new flow.
    load : callable
        Returns this agent's own load at a given time.
    """

    def __init__(
        self, name: str, placement: Placement, load: Callable[[float], Load]
    ) -> None:
        self.name = name
        self.homes = Homes(name)
        self.leaving = False
        self._placement = placement
        self._load = load
        self._idle = IDLE_SECONDS
        self._incarnation = 0
        self._service: Service | None = None
        self._roster: Roster | None = None
        self._owned = OwnedFlows(self.homes)
        self._accepted: set[bytes] = set()
        self._pointers = Pointers()
        self._handshakes = Pointers()
        self._redirects = Pointers()
        self._queries = OwnerQueries()
        self._provisional = ProvisionalFlows()

    @property
    def count(self) -> int:
        """The number of flows owned here, of both protocols."""
        return len(self._owned) + len(self._accepted)

    @property
    def accepts_new(self) -> bool:
        """Whether this agent may open flows."""
        return self.homes.is_ready and not self.leaving

    def owns(self, flow: bytes) -> bool:
        """Return whether this agent owns ``flow``."""
        return flow in self._owned or flow in self._accepted

    def configure(self, now: float, service: Service) -> None:
        """Adopt the rules of the service."""
        self._service = service
        self._idle = service.idle
        if self._roster is not None:
            self.homes.update(now, self._roster, service)

    def roster(self, now: float, roster: Roster) -> None:
        """Adopt a roster unless it is older than the last one."""
        if self._roster is not None and roster.revision < self._roster.revision:
            return
        self._roster = roster
        own = roster.by_name.get(self.name)
        if own is not None:
            self._incarnation = own.incarnation
        self.homes.update(now, roster, self._service)
        for query in self._queries:
            query.restart(now, self.homes.others(query.flow, QUERY_WIDTH))

    def leave(self) -> None:
        """Stop opening flows. Owned flows continue."""
        self.leaving = True

    def clear(self) -> None:
        """Forget all flows after a fence, since other agents may own them now."""
        self._owned.clear()
        self._accepted.clear()
        self._pointers.clear()
        self._handshakes.clear()
        self._redirects.clear()
        self._queries.clear()
        self._provisional.clear()
        self.leaving = False

    def opening(self, now: float, event: FlowOpening) -> Effects:
        """Accept a QUIC opening or hand it over to a peer."""
        flow = event.flow
        if event.handed_by or flow in self._accepted:
            return self._accept_quic(flow)
        known = self._handshakes.get(flow)
        if known is not None and self._is_valid(now, known):
            return [HandOver(flow, known.owner)]
        peer = self._choose(now)
        if peer is not None:
            self._handshakes.put(flow, self._pointer_to(now, peer, HANDSHAKE_SECONDS))
            self._placement.handed(now, peer, slots=0, flows=1)
            return [HandOver(flow, peer), Count("flows.handed")]
        refusal = self._refusal()
        return [Drop(refusal)] if refusal else self._accept_quic(flow)

    def datagram(self, now: float, event: FlowDatagram) -> Effects:
        """Deliver, forward, hold or drop a datagram of a plain UDP flow."""
        flow = flow_key(event.caller)
        owned = self._owned.get(flow)
        if owned is not None:
            owned.seen = now
            return [Deliver(flow, event.caller, event.entry, event.payload)]
        if event.handed_by:
            return self._accept_handed(now, flow, event)
        pointer = self._pointers.get(flow)
        if pointer is not None and self._is_valid(now, pointer):
            return self._forward(now, flow, [event], pointer)
        if flow in self._queries:
            return self._hold(flow, event)
        redirect = self._redirects.get(flow)
        if redirect is not None and self._is_valid(now, redirect):
            return self._forward(now, flow, [event], redirect)
        # A home that has just taken over from another agent asks first, as the
        # packet may belong to a flow that was established at the former home.
        homes = self.homes
        if homes.is_home(flow) and not homes.had_other_home(now, flow):
            return self._open(now, flow, [event])
        return self._query_owner(now, flow, event)

    def answered(self, now: float, flow: bytes) -> None:
        """Record that the target sent to the caller, so the flow isn't idle."""
        owned = self._owned.get(flow)
        if owned is not None:
            owned.seen = now

    def closed(self, flow: bytes) -> Effects:
        """Forget a flow that the driver has ended."""
        self._accepted.discard(flow)
        self._owned.forget(flow)
        return []

    def peer(self, now: float, sender: str, message: PeerMessage) -> Effects:
        """Handle a peer message about flows and ignore others."""
        if isinstance(message, FlowAsk):
            return self._answer(sender, message)
        if isinstance(message, FlowAnswer):
            return self._learn_answer(now, sender, message)
        if isinstance(message, FlowPointers):
            return self._learn_pointers(now, sender, message)
        return []

    def tick(self, now: float) -> Effects:
        """Repeat and expire what is due. Call this at least ten times a second."""
        effects: Effects = []
        # Before its first roster an agent doesn't know which agents to ask. Entries
        # may already send to it, so their packets wait.
        for query in self._queries.overdue(now) if self.homes.is_known else []:
            effects.append(Count("flows.ask_timeout"))
            effects += self._conclude_query(now, query)
        effects += self._queries.repeats(now)
        effects += self._ask_homes(now)
        effects += [EndFlow(flow) for flow in self._owned.sweep(now, self._idle)]
        effects += self._owned.messages(now, self._incarnation)
        self._pointers.expire(now, EXPIRED_PER_TICK)
        self._handshakes.expire(now, EXPIRED_PER_TICK)
        self._redirects.expire(now, EXPIRED_PER_TICK)
        return effects

    # Opening

    def _choose(self, now: float) -> str | None:
        forced = not self.accepts_new or self.count >= FLOWS_LIMIT
        peer = self._placement.choose_for_flow(now, self._load(now), forced)
        # Nothing can be sent to a peer that isn't in this agent's roster.
        known = peer is not None and self.homes.incarnation(peer) is not None
        return peer if known else None

    def _refusal(self) -> Code | None:
        """Return why this agent can't own a new flow, or None if it can."""
        if self.leaving:
            return Code.LEAVING
        if not self.homes.is_ready:
            return Code.NO_AGENT
        return Code.FLOW_LIMIT if self.count >= FLOWS_LIMIT else None

    def _open(self, now: float, flow: bytes, packets: list[FlowDatagram]) -> Effects:
        peer = self._choose(now)
        if peer is not None:
            return self._hand_over(now, flow, packets, peer)
        refusal = self._refusal()
        if refusal is not None:
            return [Drop(refusal) for _ in packets]
        return self._accept(now, flow, packets)

    def _hand_over(
        self, now: float, flow: bytes, packets: list[FlowDatagram], peer: str
    ) -> Effects:
        pointer = self._pointer_to(now, peer, self._idle)
        pointer = pointer._replace(handed_until=now + HANDED_OVER_SECONDS)
        self._pointers.put(flow, pointer)
        self._placement.handed(now, peer, slots=0, flows=1)
        forwards = self._forward(now, flow, packets, pointer)
        return [Count("flows.handed"), *forwards]

    def _accept_handed(self, now: float, flow: bytes, event: FlowDatagram) -> Effects:
        packets = [event, *self._queries.release(flow)]
        if self.leaving and event.hops < HOP_LIMIT:
            # The peer handed the flow over before it knew that this agent leaves.
            peer = self._choose(now)
            if peer is not None:
                return self._hand_over(now, flow, packets, peer)
        return self._accept(now, flow, packets, event.handed_by)

    def _accept(
        self, now: float, flow: bytes, packets: list[FlowDatagram], handed_by: str = ""
    ) -> Effects:
        self._pointers.drop(flow)
        self._owned.add(now, flow, known_by=handed_by)
        delivers = [
            Deliver(flow, packet.caller, packet.entry, packet.payload)
            for packet in packets
        ]
        return [AcceptFlow(flow), Count("flows.opened"), *delivers]

    def _accept_quic(self, flow: bytes) -> Effects:
        if flow in self._accepted:
            return [AcceptFlow(flow)]
        self._accepted.add(flow)
        return [AcceptFlow(flow), Count("flows.opened")]

    # Pointers

    def _pointer_to(self, now: float, peer: str, age: float) -> Pointer:
        return Pointer(peer, self.homes.incarnation(peer) or 0, now + age)

    def _is_valid(self, now: float, pointer: Pointer) -> bool:
        if pointer.until <= now:
            return False
        return self.homes.is_live(pointer.owner, pointer.incarnation)

    def _forward(
        self, now: float, flow: bytes, packets: list[FlowDatagram], pointer: Pointer
    ) -> Effects:
        handed = now < pointer.handed_until
        effects: Effects = []
        for packet in packets:
            if packet.hops >= HOP_LIMIT:
                # Two agents that each consider the other the owner would forward
                # the packet forever. The next packet starts a new query.
                self._pointers.drop(flow)
                self._redirects.drop(flow)
                effects.append(Drop(Code.HOP_LIMIT))
                continue
            effects.append(
                ForwardDatagram(
                    pointer.owner,
                    packet.caller,
                    packet.entry,
                    packet.payload,
                    packet.hops + 1,
                    handed,
                )
            )
        return effects

    def _learn_pointers(
        self, now: float, sender: str, message: FlowPointers
    ) -> Effects:
        incarnation = self.homes.incarnation(message.owner)
        if incarnation is None or message.incarnation < incarnation:
            return []
        pointer = Pointer(message.owner, message.incarnation, now + self._idle)
        effects: Effects = [SendPeer(sender, confirmation(message))]
        for flow in message.flows:
            effects += self._learn_pointer(now, flow, pointer)
        return effects

    def _learn_pointer(self, now: float, flow: bytes, pointer: Pointer) -> Effects:
        owned = self._owned.get(flow)
        if owned is None:
            self._pointers.put(flow, pointer)
            return self._forward(now, flow, self._queries.release(flow), pointer)
        # Two agents opened the same flow because queries were lost or an agent was
        # silent for a while. The older owner has the history of the caller.
        home = self.homes.home(flow)
        if now - owned.opened < YOUNG_FLOW_SECONDS or (
            home and home.name == pointer.owner
        ):
            return self._yield(flow, pointer)
        if home and home.name == self.name:
            message = FlowPointers(self.name, self._incarnation, (flow,))
            return [SendPeer(pointer.owner, message)]
        return []

    def _yield(self, flow: bytes, pointer: Pointer) -> Effects:
        self._owned.forget(flow)
        self._pointers.put(flow, pointer)
        return [EndFlow(flow), Count("flows.yielded")]

    # Owner queries

    def _query_owner(self, now: float, flow: bytes, event: FlowDatagram) -> Effects:
        asked = self.homes.others(flow, QUERY_WIDTH)
        query = self._queries.start(now, flow, asked)
        if query is None:
            return [Drop(Code.FLOW_LIMIT)]
        effects = self._hold(flow, event)
        if not asked and self.homes.is_known:
            return effects + self._conclude_query(now, query)
        return [*effects, *query.messages(), Count("flows.asked")]

    def _hold(self, flow: bytes, event: FlowDatagram) -> Effects:
        return [] if self._queries.hold(flow, event) else [Drop(Code.FLOW_LIMIT)]

    def _answer(self, sender: str, ask: FlowAsk) -> Effects:
        flow = ask.flow
        owner = ""
        if flow in self._owned:
            owner = self.name
        elif pointer := self._pointers.get(flow):
            if self.homes.is_live(pointer.owner, pointer.incarnation):
                owner = pointer.owner
        elif flow in self._queries and self.homes.is_home(flow):
            # The owner isn't decided yet. An answer without an owner could make the
            # sender open the flow as well.
            return []
        return [SendPeer(sender, FlowAnswer(ask.number, flow, owner))]

    def _learn_answer(self, now: float, sender: str, answer: FlowAnswer) -> Effects:
        flow = answer.flow
        if not flow:
            self._owned.confirmed(sender, answer)
            return []
        query = self._queries.match(flow, answer.number)
        if query is None:
            return self._settle_provisional(now, sender, answer)
        if answer.owner == self.name:
            return self._accept(now, flow, self._queries.release(flow), sender)
        if self.homes.incarnation(answer.owner) is not None:
            pointer = self._pointer_to(now, answer.owner, self._idle)
            self._pointers.put(flow, pointer)
            return self._forward(now, flow, self._queries.release(flow), pointer)
        query.denied.add(sender)
        return self._conclude_query(now, query) if self._is_settled(query) else []

    def _is_settled(self, query: OwnerQuery) -> bool:
        home = self.homes.home(query.flow)
        if home is not None and home.name in query.denied:
            return True
        return query.denied.issuperset(query.asked)

    def _conclude_query(self, now: float, query: OwnerQuery) -> Effects:
        """Handle a flow for which no agent named an owner.

        Open it here or forward it to its home.
        """
        flow = query.flow
        packets = self._queries.release(flow)
        home = self.homes.home(flow)
        if home is None or home.name == self.name:
            return self._open(now, flow, packets)
        if home.name in query.denied:
            # Redirects are kept apart from pointers because they don't name the
            # owner of the flow.
            redirect = self._pointer_to(now, home.name, REDIRECT_SECONDS)
            self._redirects.put(flow, redirect)
            return self._forward(now, flow, packets, redirect)
        # The home is silent, and placement may not know yet that it is down.
        if self._refusal() is not None:
            return self._open(now, flow, packets)
        # Ask the home instead of sending it a pointer, since it may already own the
        # flow.
        self._provisional.add(flow, query.number)
        return self._accept(now, flow, packets, handed_by=home.name)

    def _ask_homes(self, now: float) -> Effects:
        effects: Effects = []
        for flow, number in self._provisional.due(now):
            home = self.homes.home(flow)
            if flow not in self._owned or home is None or home.name == self.name:
                self._provisional.drop(flow)
                continue
            effects.append(SendPeer(home.name, FlowAsk(number, flow)))
        return effects

    def _settle_provisional(
        self, now: float, sender: str, answer: FlowAnswer
    ) -> Effects:
        """Handle the late answer of a home to a query for its flow.

        The home was silent when this agent opened the flow.
        """
        flow = answer.flow
        home = self.homes.home(flow)
        known = self._provisional.number(flow) == answer.number
        if not known or home is None or home.name != sender:
            return []
        self._provisional.drop(flow)
        if flow not in self._owned or answer.owner == self.name:
            return []
        if self.homes.incarnation(answer.owner) is None:
            self._owned.notify_home(flow)
            return []
        return self._yield(flow, self._pointer_to(now, answer.owner, self._idle))
