"""Openings at the agent chosen for them: offered, waiting or refused."""

from __future__ import annotations

from typing import Protocol

from .backlog import EXTRA_OPENINGS, Backlog, Opening
from .flows import Flow, Flows, FlowState
from .membership import Membership
from .models import Flag, Packet, State, Urgency, route_key
from .node import Node
from .outcomes import route_tag_of
from .pacing import Pacer
from .queueing import RequestQueue
from .target import ANSWER_TIMEOUT_SECONDS, Target
from .tunnel import Head, Kind, Reason, tag

__all__ = ["Openings", "Placer", "initial_state"]

MAX_CHECKS_PER_TICK = 256
MAX_MOVE_HOPS = 2
"""Daemons that an opening may have passed and still be moved: its entry and home."""

MAX_UNMOVED_PER_TICK = 8
"""Waiting openings without a free peer that are checked in one tick."""


RETAINING_REASONS = frozenset((Reason.LEAVING, Reason.EVACUATED))
"""Reasons for which an agent accepts no new flows but keeps its existing ones."""


class Placer(Protocol):
    """The home of this agent, which places openings that the agent can't accept."""

    def refused(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        """Place an opening again that an agent returned."""

    def move(self, now: float, head: Head, packet: Packet) -> bool:
        """Move a waiting opening to a peer with a free slot, if there is one."""


class Openings:
    """The openings of one agent.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    target : Target
        State of the target.
    flows : Flows
        Flows of the agent, including offered ones.
    membership : Membership
        Tells whether this agent accepts openings.
    pacer : Pacer
        Limits the openings that a cold target receives.
    queue : RequestQueue
        Requests of open flows that wait for the same slots.
    """

    home: Placer

    def __init__(
        self,
        node: Node,
        target: Target,
        flows: Flows,
        membership: Membership,
        pacer: Pacer,
        queue: RequestQueue,
    ) -> None:
        self.waiting = Backlog()
        self._node = node
        self._target = target
        self._flows = flows
        self._membership = membership
        self._pacer = pacer
        self._queue = queue
        self._offered_at: dict[bytes, float] = {}

    def take(self, now: float, home: str, head: Head, packet: Packet) -> Reason:
        """Offer an opening to the target or queue it; return why it is refused.

        It also waits while this agent may lack an order to evacuate its data centre.
        The agent makes the final decision, as the home may know less.
        """
        flow = self._flows.get(packet.flow)
        known = flow is not None and _is_copy(flow, packet)
        reason = self._refusal_reason(now)
        # A copy of an opening that the target has answered is no new work. Sent
        # elsewhere, it would open the same flow at two targets.
        answered = known and flow is not None and flow.target_isn is not None
        if reason is not Reason.NONE and not (reason in RETAINING_REASONS and answered):
            return reason
        if flow is None or not known:
            if not self._may_offer(now):
                urgency = self._urgency(packet)
                self.waiting.add(now, home, head, packet, urgency)
                return Reason.NONE
            flow = self._add(now, head, packet)
        flow.client_isn = packet.sequence
        flow.asker = home
        flow.entry = head.entry
        flow.opening = packet.raw
        if flow.target_isn is None:
            self._offered_at[packet.flow] = now
        self._target.note_given(now)
        self._node.links.to_target(packet.raw)
        return Reason.NONE

    def answered(self, flow: Flow) -> None:
        """Note that the target answered an opening, or that a client used it."""
        self._offered_at.pop(flow.key, None)

    def returned(self, now: float, packet: Packet) -> None:
        """Handle an opening that the target returned."""
        flow = self._flows.get(packet.flow)
        if flow is None or flow.state is not FlowState.OFFERED:
            return
        self._flows.drop(flow.key)
        self._offered_at.pop(flow.key, None)
        self._target.refused(now)
        self._record_refusal(now, flow)
        if flow.asker:
            self._refuse_flow(now, flow, packet, Reason.FULL)

    def admit(self, now: float) -> None:
        """Send waiting requests, then openings, while the target has capacity."""
        self._queue.admit(now)
        while self._may_offer(now):
            opening = self._next(now)
            if opening is None:
                return
            reason = self.take(now, opening.home, opening.head, opening.packet)
            if reason is not Reason.NONE:
                self._refuse_waiting(now, opening, reason)

    def tick(self, now: float) -> None:
        """Return openings that can't be accepted and drop those that are too old."""
        self._check_offered(now)
        for opening in self.waiting.expire(now):
            self._node.log.event(
                "drop.waited", flow=opening.packet.flow, busy=self._flows.busy
            )
        if not len(self.waiting):
            return
        reason = self._refusal_reason(now)
        if reason is not Reason.NONE:
            for opening in self.waiting.clear():
                self._refuse_waiting(now, opening, reason)
            return
        self.admit(now)
        self._move(now)

    def _refusal_reason(self, now: float) -> Reason:
        """Return why no opening is accepted, `Reason.NONE` if there is no reason."""
        if self._membership.is_evacuated:
            return Reason.EVACUATED
        state = self._membership.state(now)
        if state in (State.LEAVING, State.ENDED):
            return Reason.LEAVING
        if state is State.DOWN:
            return Reason.SILENT
        return Reason.NONE

    def is_throttled(self, now: float) -> bool:
        """Return whether the cold limit holds openings back for now."""
        if not self._target.may_be_cold(now):
            return False
        rate = self._node.routes.cold_rates.get(self._target.service, 0.0)
        return not self._pacer.allows(now, rate)

    def _may_offer(self, now: float) -> bool:
        """Return whether the target may receive an opening now."""
        certain = self._node.evacuations.is_certain(now)
        return self._has_capacity and certain and not self.is_throttled(now)

    @property
    def _has_capacity(self) -> bool:
        return self._flows.busy < self._membership.slots + EXTRA_OPENINGS

    def _add(self, now: float, head: Head, packet: Packet) -> Flow:
        flow = Flow(
            packet.flow,
            FlowState.OFFERED,
            now,
            head.entry,
            client_isn=packet.sequence,
            zone=head.zone,
        )
        self._flows.add(flow)
        self._flows.asked(now, flow)
        self._pacer.offered(now)
        return flow

    def _move(self, now: float) -> None:
        """Move waiting openings to peers that have free slots.

        An opening is moved only once. Otherwise, in overload each opening would be
        moved again and again, and each lost datagram would cost a client one of its
        tries.
        """
        stay: list[Opening] = []
        while len(stay) < MAX_UNMOVED_PER_TICK:
            opening = self._next(now)
            if opening is None:
                break
            head, packet = opening.head, opening.packet
            if head.hops >= MAX_MOVE_HOPS or not self.home.move(now, head, packet):
                stay.append(opening)
        for opening in stay:
            self.waiting.put(opening)

    def _next(self, now: float) -> Opening | None:
        return self.waiting.take(now, self._target.answer_time)

    def _check_offered(self, now: float) -> None:
        """Place openings elsewhere that the target hasn't answered in time."""
        for key, offered_at in list(self._offered_at.items())[:MAX_CHECKS_PER_TICK]:
            if now - offered_at < ANSWER_TIMEOUT_SECONDS:
                break
            del self._offered_at[key]
            flow = self._flows.get(key)
            if flow is None or flow.target_isn is not None:
                continue
            self._flows.drop(key)
            self._target.unanswered(now, offered_at)
            self._record_refusal(now, flow)
            packet = self._node.codec.from_client(flow.opening)
            if packet is not None:
                self._refuse_flow(now, flow, packet, Reason.SILENT)

    def _record_refusal(self, now: float, flow: Flow) -> None:
        """Count a refused opening in the target's health, if it had capacity for it."""
        if self._target.health is not None:
            load = (self._flows.busy + 1) / self._membership.slots
            self._target.health.refused(now, route_tag_of(flow.key), load)

    def _refuse_flow(
        self, now: float, flow: Flow, packet: Packet, reason: Reason
    ) -> None:
        head = Head(
            Kind.RETURN,
            hops=1,
            zone=flow.zone,
            service=tag(self._target.service),
            entry=flow.entry,
        )
        self._refuse(now, flow.asker, head, packet, reason)

    def _urgency(self, packet: Packet) -> Urgency:
        route = self._node.routes.by_address.get(route_key(packet.flow))
        return route.urgency if route is not None else Urgency()

    def _refuse_waiting(self, now: float, opening: Opening, reason: Reason) -> None:
        self._refuse(now, opening.home, opening.head, opening.packet, reason)

    def _refuse(
        self, now: float, home: str, head: Head, packet: Packet, reason: Reason
    ) -> None:
        if home == self._node.address:
            self.home.refused(now, home, head._replace(reason=reason), packet)
        else:
            self.send_back(now, home, head, packet, reason)

    def send_back(
        self, now: float, address: str, head: Head, packet: Packet, reason: Reason
    ) -> None:
        """Return a packet to the daemon that sent it here."""
        self._node.log.event(
            "returned", flow=packet.flow, to=address, reason=reason.name
        )
        self._node.send(
            now,
            address,
            Kind.RETURN,
            packet.raw,
            hops=head.hops + 1,
            reason=reason,
            service=tag(self._target.service),
            origin=head,
        )


def _is_copy(flow: Flow, packet: Packet) -> bool:
    """Return whether an opening is a copy of one that the target already has.

    This also holds if this agent has abandoned it in the meantime and the target
    answers it now, in which case the client's number was never seen. Without this, the
    copy would count as another opening, the target's number would be forgotten, and the
    client's first data would find no owner.
    """
    if flow.client_isn is None:
        return flow.state is FlowState.OFFERED
    return flow.client_isn == packet.sequence


def initial_state(packet: Packet) -> FlowState:
    """Return the state of an unknown flow, given a packet the target sent in it.

    If the answer to an opening counted as an open flow, this target would swallow the
    packets of a client that may have chosen another target.
    """
    opens = packet.flags & Flag.OPENING
    return FlowState.OFFERED if opens else FlowState.OPEN
