"""The core of one agent: dispatches each event to the part that handles it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from .codes import Code, Outcome, OutcomeKind
from .effects import (
    AgentEffect,
    Count,
    Drop,
    FinishRequest,
    ForwardDatagram,
    HandOver,
    Restart,
    Run,
)
from .events import (
    AgentEvent,
    ConfigurationChanged,
    DrainRequested,
    FlowClosed,
    FlowDatagram,
    FlowOpening,
    PeerDatagram,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    RosterChanged,
    RosterWritten,
    TargetReported,
    Tick,
)
from .flows import HOP_LIMIT, Flows
from .membership import Membership
from .messages import Heartbeat
from .models import Address, AgentState, Configuration, Load, Member, Roster, Service
from .placement import Placement, coldness
from .requests import Requests

__all__ = ["AgentCore"]

FENCED_RETRY_AFTER_SECONDS = 1.0
"""Retry-After that a fenced agent sends."""

TARGET_FAULT_CODES = frozenset({Code.TARGET_FAILED, Code.TARGET_SHED, Code.ANSWER_LOST})
"""Codes of finished requests that count as failures of the target.

A target that sheds has few requests in progress by the agent's counts, so it
would attract the work that it refuses."""

Handler = Callable[[Any, float, Any], Iterable[AgentEffect]]

_HANDLERS_BY_EVENT: dict[type, Handler] = {}


def _handles(event_type: type) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EVENT[event_type] = handler
        return handler

    return register


class AgentCore:
    """State machine of the agent beside one target.

    Parameters
    ----------
    identity : Member
        The entry that the agent announces. ``incarnation`` has to grow with
        each start of the process; ``state`` is set here.
    service : str
        The service that the target serves.
    rng : random.Random
        The only source of randomness.
    """

    def __init__(self, identity: Member, service: str, rng: random.Random) -> None:
        self.service = service
        self.configuration: Configuration | None = None
        self.membership = Membership(identity, service, rng, self._reported_load)
        self.placement = Placement(identity.name, rng)
        self.flows = Flows(identity.name, self.placement, self.load)
        unknown = Service(service, 0, Address("0.0.0.0", 0))
        self.requests = Requests(identity.name, unknown, rng, self.placement)
        self._applied_roster = self.membership.roster
        self._applied_believed = self.membership.effective_roster
        self._ready_since: float | None = None
        self._running: set[int] = set()

    @property
    def identity(self) -> Member:
        """The entry that the agent currently announces."""
        return self.membership.identity

    @property
    def state(self) -> AgentState:
        """The state that this agent announces."""
        return self.membership.state

    @property
    def roster(self) -> Roster:
        """The newest roster received."""
        return self.membership.roster

    @property
    def generation(self) -> int:
        """The generation in force at this agent; 0 before the first."""
        return self.configuration.generation if self.configuration else 0

    def handle(self, now: float, event: AgentEvent) -> list[AgentEffect]:
        """Handle one event and return the effects, to be executed in order.

        Raises
        ------
        TypeError
            If ``event`` is not an event of an agent.
        """
        handler = _HANDLERS_BY_EVENT.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of an agent: {event!r}")
        effects = self._apply_membership(now, self.membership.detect_pause(now))
        effects += handler(self, now, event)
        self._track_running(effects)
        return effects

    def load(self, now: float) -> Load:
        """Return the load of this agent: slots, requests, flows and streams."""
        requests = self.requests
        cold = 1.0 if self._ready_since is None else coldness(now, self._ready_since)
        return Load(
            self.identity.slots,
            requests.busy,
            requests.queued,
            self.flows.count,
            requests.streams,
            cold,
        )

    def _reported_load(self, now: float) -> Load:
        return self.placement.reported(now, self.load(now))

    def _apply_membership(
        self, now: float, effects: list[AgentEffect]
    ) -> list[AgentEffect]:
        """Apply the effects of membership to the other parts of the agent."""
        followed: list[AgentEffect] = []
        for effect in effects:
            followed.append(effect)
            if isinstance(effect, Restart):
                self.flows.clear()
                self._running.clear()
                followed += self.requests.restart(now, effect.incarnation)
        if self._applied_believed is not self.membership.effective_roster:
            self._applied_believed = self.membership.effective_roster
            self.flows.roster(now, self._applied_believed)
        if self._applied_roster is not self.membership.roster:
            self._applied_roster = self.membership.roster
            self.placement.roster(now, self._applied_roster)
            followed += self.requests.handle(now, RosterChanged(self._applied_roster))
        if not self.membership.fenced:
            self.requests.confirm(now, self.membership.incarnation)
        if self._ready_since is None and self.state is AgentState.READY:
            self._ready_since = now
        # An agent that leaves, or whose work peers may have taken over, starts
        # no new work. Flows that it handed over are still forwarded.
        self.flows.leaving = self.membership.leaving or self.membership.fenced
        return followed

    def _track_running(self, effects: list[AgentEffect]) -> None:
        self._running.update(e.request for e in effects if isinstance(e, Run))

    def _has_work(self) -> bool:
        return self.flows.count > 0 or not self.requests.idle

    @_handles(Tick)
    def _tick(self, now: float, event: Tick) -> Iterable[AgentEffect]:
        effects = self._apply_membership(
            now, self.membership.tick(now, self._has_work())
        )
        return [*effects, *self.flows.tick(now), *self.requests.handle(now, event)]

    @_handles(ConfigurationChanged)
    def _configure(
        self, now: float, event: ConfigurationChanged
    ) -> Iterable[AgentEffect]:
        # Pushes may arrive out of order; an accepted change must never revert.
        if event.configuration.generation <= self.generation:
            return [Count("agent.configuration_ignored")]
        self.configuration = event.configuration
        self.membership.generation = self.generation
        service = event.configuration.services_by_name.get(self.service)
        if service is not None:
            self.flows.configure(now, service)
            self.placement.configure(service)
        return self.requests.handle(now, event)

    @_handles(RosterChanged)
    def _learn_roster(self, now: float, event: RosterChanged) -> Iterable[AgentEffect]:
        return self._apply_membership(now, self.membership.learn(now, event.roster))

    @_handles(RosterWritten)
    def _receive_roster_write(
        self, now: float, event: RosterWritten
    ) -> Iterable[AgentEffect]:
        return self._apply_membership(now, self.membership.written(now, event))

    @_handles(TargetReported)
    def _receive_report(
        self, now: float, event: TargetReported
    ) -> Iterable[AgentEffect]:
        self.placement.health.reported(now, event)
        return self._apply_membership(now, self.membership.target_reported(now, event))

    @_handles(DrainRequested)
    def _drain(self, now: float, event: DrainRequested) -> Iterable[AgentEffect]:
        effects = self._apply_membership(now, self.membership.drain(now, event.seconds))
        return [*effects, *self.requests.handle(now, event)]

    @_handles(PeerDatagram)
    def _receive(self, now: float, event: PeerDatagram) -> Iterable[AgentEffect]:
        sender, message = event
        if isinstance(message, Heartbeat):
            self.placement.heartbeat(now, sender, message)
            return self._apply_membership(
                now, self.membership.note_heartbeat(now, sender, message)
            )
        flows = self.flows.peer(now, sender, message)
        return [*flows, *self.requests.handle(now, event)]

    @_handles(FlowOpening)
    def _open_flow(self, now: float, event: FlowOpening) -> Iterable[AgentEffect]:
        if event.service != self.service:
            return [Drop(Code.SERVICE_MISMATCH)]
        if not self.membership.fenced:
            return self.flows.opening(now, event)
        peer = self._choose_peer(now)
        return [HandOver(event.flow, peer)] if peer else [Drop(Code.FENCED)]

    @_handles(FlowDatagram)
    def _deliver(self, now: float, event: FlowDatagram) -> Iterable[AgentEffect]:
        if event.service != self.service:
            return [Drop(Code.SERVICE_MISMATCH)]
        if not self.membership.fenced:
            return self.flows.datagram(now, event)
        peer = self._choose_peer(now) if event.hops < HOP_LIMIT else None
        if peer is None:
            return [Drop(Code.FENCED)]
        caller, entry, payload, hops = event[1:5]
        return [ForwardDatagram(peer, caller, entry, payload, hops + 1)]

    def _choose_peer(self, now: float) -> str | None:
        return self.placement.choose_for_flow(now, self.load(now), forced=True)

    @_handles(FlowClosed)
    def _close_flow(self, now: float, event: FlowClosed) -> Iterable[AgentEffect]:
        return self.flows.closed(event.flow)

    @_handles(RequestArrived)
    def _arrive(self, now: float, event: RequestArrived) -> Iterable[AgentEffect]:
        if not self.membership.fenced:
            return self.requests.handle(now, event)
        # This copy doesn't run here, but a fenced agent can't know whether
        # another copy ran. For a relayed request NOT_RUN is safe: the relaying
        # peer holds the claim and decides.
        certain = event.idempotent or not event.key or event.relayed_by
        kind = OutcomeKind.NOT_RUN if certain else OutcomeKind.UNKNOWN
        return [
            FinishRequest(
                event.request, Outcome(kind, Code.FENCED, FENCED_RETRY_AFTER_SECONDS)
            )
        ]

    @_handles(RequestFinished)
    def _finish(self, now: float, event: RequestFinished) -> Iterable[AgentEffect]:
        if event.request in self._running:
            self._running.discard(event.request)
            failed = event.outcome.code in TARGET_FAULT_CODES
            self.placement.health.finished(now, failed)
        return self.requests.handle(now, event)

    @_handles(RequestCancelled)
    def _cancel(self, now: float, event: RequestCancelled) -> Iterable[AgentEffect]:
        return self.requests.handle(now, event)
