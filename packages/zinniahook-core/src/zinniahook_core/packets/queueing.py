"""Requests of open flows that wait at the agent for a slot of its target.

A target serves its requests in order of arrival, and most requests arrive in flows that
are already open. An agent that orders only openings would leave most of the work in
order of arrival. Here a request waits before it has begun, while the target already
works on as many as it can, and only until one of them is done. Its packets are then
forwarded unchanged, in sequence order, and nothing else of a flow waits. See
``docs/design/queueing.md``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .backlog import EXTRA_OPENINGS, MAX_WAIT_SECONDS
from .flows import Flow, Flows, FlowState
from .membership import Membership
from .models import Flag, Packet, Routes, State, Urgency, route_key
from .node import Node
from .requests import Requests
from .scheduling import Scheduler, rank
from .sequences import HALF_SEQUENCE_SPAN, SEQUENCE_SPAN, is_after
from .target import Target

__all__ = ["HeldRequest", "RequestQueue"]

MAX_HOLD_SECONDS = MAX_WAIT_SECONDS
"""Maximum seconds that a request waits, as for openings. This is shorter than the time
for which a target repeats data that a waiting packet acknowledges, and than the time
a client waits."""

MAX_HOLD_GOALS = 3.0
"""Maximum wait in multiples of the route's goal: callers that want their answers soon
give up soon."""

EXTRA_REQUESTS = EXTRA_OPENINGS + 1
"""Requests that a target may have above its slots before others wait here: one more
than for openings. An opening can go to another target, but a request of an open flow
only to this one, and each opening brings further requests."""

MAX_HELD_REQUESTS = 64
"""Maximum number of waiting requests; above it, the oldest is let through."""

MAX_HELD_PACKETS = 16
"""Maximum packets of one waiting request: as many as an endpoint may have in flight."""

MAX_IDLE_SHARE = 0.5
"""Share of the idle timeout after which a flow's request doesn't wait. Otherwise the
target would close the flow as idle while its request waits here."""


@dataclass(slots=True)
class HeldRequest:
    """A request that waits; ``begun`` is when its first packet arrived here."""

    flow: Flow
    begun: float
    urgency: Urgency
    packets: dict[int, Packet] = field(default_factory=dict)

    @property
    def until(self) -> float:
        """When it is let through, whether or not a slot is free."""
        return self.begun + min(MAX_HOLD_GOALS * self.urgency.goal, MAX_HOLD_SECONDS)

    @property
    def is_whole(self) -> bool:
        """Whether its first packet is here, as far as is known.

        Without this, a slot would be kept for a request that the target can't begin
        until its client has repeated a lost packet.
        """
        return (
            self.flow.received_until is None or self.flow.received_until in self.packets
        )

    def in_order(self) -> list[Packet]:
        """Return its packets in sequence order, also across the wrap-around."""
        middle = self.flow.received_until
        if middle is None:
            middle = next(iter(self.packets))
        start = middle - HALF_SEQUENCE_SPAN
        numbers = sorted(self.packets, key=lambda n: (n - start) % SEQUENCE_SPAN)
        return [self.packets[number] for number in numbers]


class RequestQueue:
    """The requests of open flows that wait at one agent.

    Parameters
    ----------
    node : Node
        The agent; sends, logs, knows routes and features.
    target : Target
        State of the target.
    flows : Flows
        Counts what the target works on.
    membership : Membership
        Tells whether the target is certainly working.
    requests : Requests
        Records the requests that the target receives.
    """

    def __init__(
        self,
        node: Node,
        target: Target,
        flows: Flows,
        membership: Membership,
        requests: Requests,
    ) -> None:
        self._node = node
        self._target = target
        self._flows = flows
        self._membership = membership
        self._requests = requests
        self._by_flow: dict[bytes, HeldRequest] = {}
        self._turns = Scheduler()
        self._is_enabled = False
        self._enabled_for: Routes | None = None
        self._enabled_service = ""

    def __len__(self) -> int:
        return len(self._by_flow)

    def longest(self, now: float) -> float:
        """Return for how many seconds the oldest has waited, 0 if none waits."""
        first = next(iter(self._by_flow.values()), None)
        return now - first.begun if first is not None else 0.0

    @property
    def is_on(self) -> bool:
        """Whether requests of this service wait at all.

        It is computed when the configuration or the service changes. When queueing is
        switched on, sequence numbers noted before it was last off are discarded.
        """
        node, service = self._node, self._target.service
        if node.routes is not self._enabled_for or service != self._enabled_service:
            self._enabled_for, self._enabled_service = node.routes, service
            wanted = node.features.request_order
            was_on = self._is_enabled
            self._is_enabled = node.features.is_on(wanted, node.routes, service)
            if self._is_enabled and not was_on:
                self._flows.forget_numbers()
        return self._is_enabled

    # Packets of clients

    def deliver(self, now: float, flow: Flow, packet: Packet) -> None:
        """Send a packet of an open flow to the target, or let it wait."""
        if self._by_flow:
            held = self._by_flow.get(packet.flow)
            if held is not None and self._join(now, held, flow, packet):
                return
        if self.is_on and self._must_wait(now, flow, packet):
            self._hold(now, flow, packet)
        elif self._is_repeated(flow, packet):
            # No new work: the target only acknowledges it again.
            self._target.note_given(now)
            self._node.links.to_target(packet.raw)
        else:
            self._forward(now, flow, packet)

    def _must_wait(self, now: float, flow: Flow, packet: Packet) -> bool:
        """Return whether a packet begins a request that the target can't work on.

        Data of a request that has begun never waits, nor does an opening's first
        request, because its opening has already waited for a slot.
        """
        if not packet.length or packet.flags & (Flag.RESET | Flag.CLOSING):
            return False
        if flow.state is not FlowState.OPEN or flow.requested_at is not None:
            return False
        if (
            self._is_repeated(flow, packet)
            or self.has_capacity
            or not self._may_hold(now)
        ):
            return False
        idle = self._node.routes.idle_timeout
        return now - flow.last_seen < min(
            MAX_IDLE_SHARE * idle, idle - MAX_HOLD_SECONDS
        )

    @property
    def has_capacity(self) -> bool:
        """Whether the target may receive another request.

        Offered openings don't count, as they don't use a slot yet.
        """
        return self._flows.working < self._target.usable_slots + EXTRA_REQUESTS

    def _may_hold(self, now: float) -> bool:
        """Return whether the target is known to be working and not to be leaving.

        Otherwise requests would wait for a slot of a target whose number of slots isn't
        known, or that ends in the meantime.
        """
        if not self.is_on or not self._target.slots:
            return False
        return self._membership.state(now) is State.READY

    def _is_repeated(self, flow: Flow, packet: Packet) -> bool:
        """Return whether the target has received and answered all data of a packet."""
        if (
            flow.requested_at is not None
            or flow.received_until is None
            or not packet.length
        ):
            return False
        return not is_after(packet.sequence + packet.length, flow.received_until)

    def _hold(self, now: float, flow: Flow, packet: Packet) -> None:
        route = self._node.routes.by_address.get(route_key(flow.key))
        urgency = route.urgency if route is not None else Urgency()
        held = HeldRequest(flow, now, urgency, {packet.sequence: packet})
        self._by_flow[flow.key] = held
        self._node.log.event(
            "request.held",
            request=self._node.codec.request(packet.raw),
            flow=flow.key,
            working=self._flows.working,
            held=len(self._by_flow),
        )
        if len(self._by_flow) > MAX_HELD_REQUESTS:
            self._let_through(now, next(iter(self._by_flow.values())), "many")

    def _join(self, now: float, held: HeldRequest, flow: Flow, packet: Packet) -> bool:
        """Add another packet of a waiting flow; return whether it waits too.

        A closing packet goes on immediately, after the packets before it, and a reset
        withdraws the request. Otherwise the target would consider the flow closed and
        answer the data that follows with a reset.
        """
        if held.flow is not flow:
            self._forget(held)
            return False
        if packet.flags & Flag.RESET:
            self._node.log.count("requests.withdrawn")
            self._forget(held)
            return False
        if packet.flags & Flag.CLOSING:
            self._let_through(now, held, "closing")
            return False
        if not packet.length or self._is_repeated(flow, packet):
            return False
        if packet.sequence in held.packets:
            # The later copy acknowledges more of what its client has received.
            self._node.log.count("packets.repeated_while_held")
        held.packets[packet.sequence] = packet
        if len(held.packets) >= MAX_HELD_PACKETS:
            self._let_through(now, held, "many")
        elif held.is_whole and self.has_capacity:
            self._release(now, held)
        return True

    def _forward(
        self, now: float, flow: Flow, packet: Packet, waited: float = 0.0
    ) -> None:
        if packet.length:
            self._requests.begun(now, flow, packet, waited)
            if self._is_enabled:
                self._flows.began(flow)
                end = (packet.sequence + packet.length) % SEQUENCE_SPAN
                if flow.received_until is None or is_after(end, flow.received_until):
                    flow.received_until = end
        self._node.links.to_target(packet.raw)

    # Packets of the target

    def acknowledged(self, flow: Flow, packet: Packet) -> None:
        """Note what the target acknowledges; drop a waiting request it already has.

        Without this, after a restart of this process a copy of data that the target
        already has would count as another request and occupy a slot until the client
        sends its next one.
        """
        if not packet.length or not packet.flags & Flag.ACKNOWLEDGES:
            return
        if flow.received_until is None or is_after(
            packet.acknowledged, flow.received_until
        ):
            flow.received_until = packet.acknowledged
        held = self._by_flow.get(flow.key)
        if held is None:
            return
        last = held.in_order()[-1]
        if not is_after(last.sequence + last.length, packet.acknowledged):
            self._forget(held)

    def ended(self, now: float, flow: Flow) -> None:
        """Let a waiting request through, as the target ends its flow."""
        held = self._by_flow.get(flow.key)
        if held is not None:
            self._let_through(now, held, "ended")

    # Releasing

    def admit(self, now: float) -> None:
        """Send waiting requests to the target while it has capacity."""
        while self._by_flow and self.has_capacity:
            answer_time = self._target.answer_time
            held_by_rank = {
                rank(now, answer_time, held.begun, held.urgency): held
                for held in self._by_flow.values()
                if held.is_whole
            }
            chosen = self._turns.choose(held_by_rank)
            if chosen is None:
                return
            self._release(now, held_by_rank[chosen])

    def _release(self, now: float, held: HeldRequest) -> None:
        """Send a request that waited to the target."""
        self._forget(held)
        if self._flows.get(held.flow.key) is not held.flow:
            # Its flow has ended; its client has been told, or is silent.
            self._node.log.count("requests.held_flow_ended")
            return
        waited = now - held.begun
        route = self._node.routes.by_address.get(route_key(held.flow.key))
        name = route.name if route else "none"
        self._node.log.observe("held_seconds", waited, route=name)
        for packet in held.in_order():
            self._forward(now, held.flow, packet, waited)

    def tick(self, now: float) -> None:
        """Let through requests that have waited too long or that can't be served."""
        if not self._by_flow:
            return
        may_hold = self._may_hold(now)
        for held in list(self._by_flow.values()):
            if self._flows.get(held.flow.key) is not held.flow:
                self._release(now, held)
            elif not may_hold:
                self._let_through(now, held, "target")
            elif now >= held.until:
                self._let_through(now, held, "overdue")
        self.admit(now)

    def _let_through(self, now: float, held: HeldRequest, reason: str) -> None:
        """Send a request to the target although no slot is known to be free."""
        self._node.log.count(f"requests.let_through_{reason}")
        self._release(now, held)

    def _forget(self, held: HeldRequest) -> None:
        if self._by_flow.get(held.flow.key) is held:
            del self._by_flow[held.flow.key]
