"""The core of one agent: routes each event to the part that decides it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from .effects import AcceptFlow, AgentEffect, Deliver, Run, WriteRoster
from .events import (
    AgentEvent,
    FlowDatagram,
    FlowOpening,
    RequestArrived,
    RosterChanged,
    RosterWritten,
    Tick,
)
from .models import Load, Member, Roster

__all__ = ["AgentCore"]

Handler = Callable[[Any, float, Any], Iterable[AgentEffect]]

_HANDLERS_BY_EVENT: dict[type, Handler] = {}


def _handles(event_type: type) -> Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EVENT[event_type] = handler
        return handler

    return register


class AgentCore:
    """The decisions of the agent beside one target.

    Parameters
    ----------
    identity
        What the agent announces about itself; ``incarnation`` and ``state``
        are set by the core.
    service
        The service that the target serves.
    rng
        The only source of randomness.
    """

    def __init__(self, identity: Member, service: str, rng: random.Random) -> None:
        self.identity = identity
        self.service = service
        self.rng = rng
        self.roster = Roster(service, 0, {})
        self._announced = False

    def handle(self, now: float, event: AgentEvent) -> list[AgentEffect]:
        """Decide on one event; the driver executes the effects in order."""
        handler = _HANDLERS_BY_EVENT.get(type(event))
        return list(handler(self, now, event)) if handler else []

    def load(self, now: float) -> Load:
        """Count what is in progress at this agent."""
        return Load(self.identity.slots, 0, 0, 0, 0)

    @_handles(Tick)
    def _tick(self, now: float, event: Tick) -> Iterable[AgentEffect]:
        if self._announced:
            return []
        self._announced = True
        by_name = {**self.roster.by_name, self.identity.name: self.identity}
        return [WriteRoster("announce", self.roster._replace(by_name=by_name))]

    @_handles(RosterChanged)
    def _learn_roster(self, now: float, event: RosterChanged) -> Iterable[AgentEffect]:
        if event.roster.revision >= self.roster.revision:
            self.roster = event.roster
        return []

    @_handles(RosterWritten)
    def _settle_roster(self, now: float, event: RosterWritten) -> Iterable[AgentEffect]:
        if event.roster is not None:
            self.roster = event.roster
        self._announced = self.identity.name in self.roster.by_name
        return []

    @_handles(FlowOpening)
    def _open_flow(self, now: float, event: FlowOpening) -> Iterable[AgentEffect]:
        return [AcceptFlow(event.flow)]

    @_handles(FlowDatagram)
    def _deliver(self, now: float, event: FlowDatagram) -> Iterable[AgentEffect]:
        flow = str(event.caller).encode()
        return [Deliver(flow, event.caller, event.entry, event.payload)]

    @_handles(RequestArrived)
    def _run(self, now: float, event: RequestArrived) -> Iterable[AgentEffect]:
        return [Run(event.request)]
