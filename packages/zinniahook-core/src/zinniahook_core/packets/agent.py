"""The agent, which owns the flows of the target on its machine.

Every packet to and from the target passes through the agent, so the agent knows which
flows the target has accepted. It makes the final decision on a packet and passes what
it doesn't own to the flow's home.
"""

from __future__ import annotations

import random

from .features import Features
from .flows import Flow, Flows, FlowState
from .homes import Home
from .lifecycle import Lifecycle
from .members import Roster
from .membership import Membership
from .models import Codec, Flag, Heartbeat, Links, Log, Packet, route_key
from .node import Node
from .openings import Openings, initial_state
from .pacing import ColdLimit, Pacer
from .queueing import RequestQueue
from .registry import Registry
from .requests import Requests
from .resets import Resets
from .searches import Acceptance
from .target import Target
from .trials import Trials
from .tunnel import Head, Kind, Mark, Reason, tag, zone_tag

__all__ = ["Agent"]

EXPIRY_INTERVAL_SECONDS = 0.2
FLOWS_PER_EXPIRY = 800
"""Flows checked each time: 4,000 a second, for 3,200 flows at the designed size."""


class Agent(Node):
    """One agent.

    Parameters
    ----------
    target : Target
        State of the target.
    incarnation : int
        Number of this process, higher than that of the previous process.
    cold_limit : ColdLimit, optional
        Limit on openings to a cold target; unlimited by default.

    The other parameters are those of `Node`.
    """

    def __init__(
        self,
        address: str,
        data_centre: str,
        codec: Codec,
        links: Links,
        log: Log,
        rng: random.Random,
        target: Target,
        incarnation: int,
        cold_limit: ColdLimit | None = None,
        features: Features = Features(),  # noqa: B008 - immutable
    ) -> None:
        super().__init__(address, data_centre, codec, links, log, rng, features)
        self.target = target
        self.flows = Flows()
        target.enable_measurement(features, log, self.flows)
        self.resets = Resets(self, target, self.flows)
        self._expire_at = float("-inf")
        self.membership = Membership(self, target, self.flows, incarnation)
        self.requests = Requests(self, target, self.flows)
        self.trials = Trials(
            self.flows, target, links, self._found, self.membership.send_status
        )
        self._pacer = Pacer(cold_limit)
        self.queue = RequestQueue(
            self, target, self.flows, self.membership, self.requests
        )
        self.openings = Openings(
            self, target, self.flows, self.membership, self._pacer, self.queue
        )
        self.membership.openings_waiting = self.openings.waiting
        self._lifecycle = Lifecycle(
            self, target, self._target_replaced, self._change_service
        )
        self._make_home()

    def start(self, now: float) -> None:
        """Start; for a while, flows may be older than this process."""
        self.target.start(now)
        self._pacer.start(now)
        self.trials.start(now)
        self.freshness.wait(now)

    @property
    def roster(self) -> Roster:
        """The agents of the service."""
        return self.membership.roster

    def members(
        self,
        now: float,
        service: str,
        address: str,
        centre: str,
        order: int | None = None,
    ) -> None:
        """Add an agent that announced itself in the store.

        ``order`` gives the order of the announcements.
        """
        if service == self.target.service:
            self.membership.learn_member(now, address, zone_tag(centre), order)

    def _evacuations_changed(self, now: float) -> None:
        self.roster.closed = self.evacuations.tags
        self.target.suspect_cold(now)
        super()._evacuations_changed(now)
        self.openings.tick(now)
        self.membership.tick(now)

    def neighbours(self, now: float) -> list[str]:
        """Return the peers, then the entries that send to this agent."""
        peers = [name for name in self.roster.present(now) if name != self.address]
        return [*peers, *self.membership.entries]

    def leave(self, now: float) -> None:
        """Stop accepting openings and announce it immediately."""
        self.membership.leaving = True
        self.home.hand_over()
        self.log.event("leaving", flows=len(self.flows), busy=self.flows.busy)
        self.queue.tick(now)
        self.membership.tick(now)

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if it isn't the target's."""
        is_applied = self._lifecycle.heartbeat(now, heartbeat)
        if is_applied:
            self.membership.tick(now)
        return is_applied

    def _target_replaced(self, now: float) -> None:
        """End the flows that the former target held."""
        self.flows.forget_work()
        ended = self.resets.end_all("target.replaced", self.target.former_until)
        self.registry.announce_ended(now, ended)
        self.queue.admit(now)

    def note_ended(self, now: float, target: str, born: int | None = None) -> bool:
        """Note that a target reports its end; return whether it is the known one."""
        is_known = self._lifecycle.end(target, born)
        if is_known:
            self._hand_over(now)
        return is_known

    def note_vanished(self, now: float) -> None:
        """Note that no process runs any more where the target did."""
        self.target.note_vanished()
        self._hand_over(now)

    def _hand_over(self, now: float) -> None:
        self.home.hand_over()
        self.membership.tick(now)

    def note_absent(self, now: float) -> None:
        """Note that no target runs on this instance, if none has been seen."""
        self.target.note_absent()
        self.membership.tick(now)

    def note_appeared(self, now: float) -> None:
        """Note that a process now runs where none did."""
        self.target.note_appeared()
        self.membership.tick(now)

    def announce_end(self, now: float) -> None:
        """Announce the end of this process, and of an ended target's flows."""
        if self.target.gone:
            self.registry.announce_ended(now, list(self.flows.by_key.values()))
        self.membership.announce_end(now)

    def handle(self, now: float, sender: str, head: Head, body: bytes) -> None:
        """Handle a datagram of another daemon."""
        if head.kind is Kind.FORWARD:
            self._forwarded(now, sender, head, body)
        elif head.kind is Kind.STATUS:
            if self.membership.learn(now, sender, head.service, head.zone, body):
                self.registry.peer_restarted(sender)
            self.home.load_reported(now, sender)
        elif head.kind is Kind.ROSTER:
            rows = self.read_rosters(body).get(self.target.service, [])
            self.membership.learn_members(now, sender, rows)
        elif head.kind is Kind.HELLO:
            self.membership.answer_hello(now, sender, head.reason)
        elif head.kind is Kind.RETURN:
            packet = self.codec.from_client(body)
            if packet is not None:
                self.home.refused(now, sender, head, packet)
        elif head.kind is Kind.RELAY:
            self.registry.relays.forward(now, sender, head, body)
        else:
            self.registry.receive(now, sender, head, body)

    def tick(self, now: float) -> None:
        """Do all periodic work; call this about twenty times a second."""
        self.formers.tick(now)
        self.openings.tick(now)
        if self.target.is_dead(now) and len(self.flows):
            ended = self.resets.end_all("target.silent", now)
            self.registry.announce_ended(now, ended)
        self.queue.tick(now)
        self.trials.tick(now)
        self.home.tick(now)
        self.membership.waiting = len(self.openings.waiting) + len(self.queue)
        self.membership.held_back = self.openings.is_throttled(now)
        self.membership.tick(now)
        if self.roster.is_due(now):
            self._review_roster(now)
        self.registry.tick(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_SECONDS
            self.flows.expire(now, self.routes.idle_timeout, FLOWS_PER_EXPIRY)

    def _review_roster(self, now: float) -> None:
        """Refresh the roster; register flows again if their homes have changed."""
        changes = self.roster.refresh(now)
        if changes.arrived or changes.departed:
            self.log.event("roster", **changes.log_fields())
        if changes.homes_changed:
            self.registry.register_all()

    def _change_service(self) -> None:
        """Switch to the target's service and discard all state of the former one."""
        self.log.event("service.changed", service=self.target.service)
        self.membership.restart()
        self._make_home()

    def _make_home(self) -> None:
        self.home = Home(
            self,
            self.roster,
            self.openings.take,
            self.trials.begin,
            self.membership.ask,
            self.membership.work,
        )
        self.openings.home = self.home
        self.registry = Registry(self, self.membership, self.flows, self.home)

    # Packets of clients

    def _forwarded(self, now: float, sender: str, head: Head, raw: bytes) -> None:
        packet = self.codec.from_client(raw)
        if packet is None:
            self.log.count("packets.malformed")
            return
        self.membership.note_entry(now, head.entry)
        if not self._is_routed(now, sender, head, packet):
            return
        if packet.is_opening:
            self._opening(now, sender, head, packet)
            return
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.state is FlowState.TRIED:
            self._wait_for_trial(now, head, packet)
            return
        if flow is not None and flow.matches(packet.acknowledged):
            self._deliver(now, head, packet, flow)
            if head.marks & Mark.SEARCH:
                self.registry.answer_search(now, sender, flow)
            return
        if flow is not None:
            self.log.event("flow.mismatched", **flow.mismatch(packet))
        self._misrouted(now, sender, head, packet)

    def _wait_for_trial(self, now: float, head: Head, packet: Packet) -> None:
        """Handle a packet of a flow that is on trial here.

        One packet is enough for a trial; more packets would only reach a target that
        may not hold the flow. As the home, this agent keeps asking the others.
        """
        if head.marks & (Mark.SEARCH | Mark.POINTED):
            self.log.count("packets.waiting_for_trial")
        else:
            self.home.locate(now, head, packet)

    def _is_routed(self, now: float, sender: str, head: Head, packet: Packet) -> bool:
        """Return whether the packet may go to this service.

        The daemon with the higher configuration version decides. Without this check, a
        ticket reaches the ledger's target when an address is reused, or an entry with
        an old configuration restores a route. A new agent without a configuration
        accepts what entries forward.
        """
        if head.service != tag(self.target.service):
            self.openings.send_back(now, sender, head, packet, Reason.WRONG_SERVICE)
            return False
        if not self.routes.version or head.version > self.routes.version:
            return True
        route = self.routes.by_address.get(route_key(packet.flow))
        if route is None and self.may_lack_routes:
            self.log.count("packets.before_configuration")
            return False
        if route is None:
            self.log.event(
                "reset.no_route", flow=packet.flow, version=self.routes.version
            )
            self.resets.reset(packet.flow, packet.acknowledged)
            return False
        if packet.is_opening and not route.opens_at(self.target.service):
            self.log.event("drop.stale_route", flow=packet.flow, version=head.version)
            return False
        return True

    def _opening(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        if not head.marks & Mark.PLACED:
            self.home.place(now, head, packet)
            return
        reason = self.openings.take(now, sender, head, packet)
        if reason is not Reason.NONE:
            self.openings.send_back(now, sender, head, packet, reason)

    def _deliver(self, now: float, head: Head, packet: Packet, flow: Flow) -> None:
        self.queue.deliver(now, flow, packet)
        flow.last_seen = now
        flow.note_acknowledged(packet.acknowledged)
        if packet.flags & Flag.CLOSING:
            flow.client_closed = True
        if flow.state is FlowState.OFFERED:
            self._note_opened(now, flow)
        if flow.entry != head.entry or not head.marks & Mark.HINTED:
            flow.entry = head.entry
            self.registry.announce_owner(now, head.entry, [flow.key])

    def _note_opened(self, now: float, flow: Flow) -> None:
        flow.state = FlowState.OPEN
        flow.opening = b""
        self.openings.answered(flow)
        self.log.event("flow.opened", flow=flow.key, opening=flow.client_isn)
        self.registry.register(now, flow)

    def _misrouted(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        """Handle a packet of a flow that this agent isn't known to own."""
        asked = head.marks & (Mark.SEARCH | Mark.POINTED)
        if not asked:
            self.home.locate(now, head, packet)
            return
        taken = self.trials.begin(now, head, packet, sender)
        if taken is not Acceptance.NO:
            return
        self.registry.deny(now, sender, packet.flow)
        if head.marks & Mark.POINTED:
            self.home.forget(packet.flow, self.address)
            self.home.locate(now, head, packet)

    # Packets of the target

    def from_target(self, now: float, raw: bytes) -> None:
        """Handle a packet that the target sent."""
        packet = self.codec.from_target(raw)
        if packet is None:
            self.log.count("packets.malformed")
            return
        if packet.flags & Flag.RETURNED:
            self.target.heard(now)
            self._returned(now, packet)
            return
        flow = self.flows.get(packet.flow)
        reset = bool(packet.flags & Flag.RESET)
        if reset and flow is not None and flow.state is FlowState.TRIED:
            self._reset_on_trial(now, flow)
            return
        if packet.flags & Flag.OPENING or packet.length:
            self.target.note_working(now)
        else:
            # Resets and acknowledgements also arrive when no target works any more. If
            # they counted, an instance whose target has ended would reappear for a
            # moment as a holder of flows, and no agent would end a flow for seconds
            # after it has gone.
            self.target.heard(now)
        self.links.to_client(packet.flow, raw)
        self._answered(now, packet)

    def _reset_on_trial(self, now: float, flow: Flow) -> None:
        """Treat a reset of a flow on trial as a denial, and don't pass it on.

        A target that is just starting, or that has finished an earlier flow from the
        same port, resets a flow it doesn't hold instead of returning it. Passed on, the
        reset would end the client's flow at the target that holds it.
        """
        self.target.heard(now)
        self.log.event("trial.reset", flow=flow.key, asker=flow.asker)
        self._deny_trial(now, flow)

    def _deny_trial(self, now: float, flow: Flow) -> None:
        self.flows.drop(flow.key)
        self.trials.denied(now, flow.key)
        self.registry.deny(now, flow.asker, flow.key)
        self.home.denied(now, self.address, [flow.key])

    def _answered(self, now: float, packet: Packet) -> None:
        flow = self.flows.get(packet.flow)
        if flow is None:
            # This process is younger than the flow, or has abandoned its opening.
            flow = Flow(packet.flow, initial_state(packet), now, "", accepted_at=now)
            flow.acknowledged = packet.sequence
            self.flows.add(flow)
            self.registry.register(now, flow)
        flow.last_seen = now
        if packet.flags & Flag.OPENING:
            self._accepted(now, flow, packet)
            return
        if packet.length:
            self.home.volumes.add(flow, packet.length)
        if flow.state is FlowState.TRIED:
            self.trials.succeeded(now, flow)
        ends = packet.flags & (Flag.RESET | Flag.CLOSING)
        repeated = not packet.flags & Flag.RESET and flow.note_sent(packet)
        if repeated and flow.is_unacknowledged(packet):
            self.registry.register_again(now, flow)
        self.queue.acknowledged(flow, packet)
        freed = self._note_answer(now, flow, packet, repeated)
        if ends:
            flow.state = FlowState.CLOSED
            flow.client_closed |= bool(packet.flags & Flag.RESET)
            self.queue.ended(now, flow)
        if freed:
            self.openings.admit(now)

    def _note_answer(
        self, now: float, flow: Flow, packet: Packet, repeated: bool
    ) -> bool:
        """Note an answer of the target; return whether a request was in progress.

        The target repeats the end of its last answer until it is acknowledged, and the
        packet that acknowledges it may be waiting here. Where requests wait, a repeat
        must not count as the answer to the request that has just been sent.
        """
        if packet.flags & Flag.RESET:
            return self.requests.aborted(now, flow)
        if not packet.length and not packet.flags & Flag.CLOSING:
            return False
        if repeated and self.queue.is_on:
            return False
        # The end of a short answer may arrive before its data.
        return self.requests.answered(now, flow, packet)

    def _accepted(self, now: float, flow: Flow, packet: Packet) -> None:
        flow.accepted(packet.sequence)
        flow.accepted_at = min(flow.accepted_at, now)
        self.openings.answered(flow)
        if flow.entry:
            # The client's next packet arrives in a few milliseconds.
            self.registry.announce_owner(now, flow.entry, [flow.key])

    def _returned(self, now: float, packet: Packet) -> None:
        cleared = self.codec.cleared(packet.raw)
        packet = packet._replace(raw=cleared)
        flow = self.flows.get(packet.flow)
        if packet.is_opening:
            self.openings.returned(now, packet)
            return
        if flow is None:
            return
        if flow.state is FlowState.TRIED:
            self._deny_trial(now, flow)
            return
        self.flows.drop(flow.key)
        if flow.is_proven:
            self.resets.lost(flow, packet)
            self.registry.announce_ended(now, [flow])
        else:
            self.trials.denied(now, flow.key)
            self.registry.disown(now, flow)
        self.queue.admit(now)

    def _found(self, now: float, flow: Flow) -> None:
        self.log.event("flow.found", flow=flow.key, asker=flow.asker)
        # Also if this agent isn't its home: otherwise a search started here would
        # continue and send the packet to other targets.
        self.home.learn(now, self.address, [flow.key])
        if flow.entry:
            self.registry.announce_owner(now, flow.entry, [flow.key])
        self.registry.answer_search(now, flow.asker, flow)
