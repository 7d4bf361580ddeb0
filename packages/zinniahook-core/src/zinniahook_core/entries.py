"""Routing decisions of an entry: which agent gets a caller's datagram.

An entry holds no authoritative state per flow. A connection id names its owner.
A plain UDP flow is routed by the rank of the agents for its key; the cache of
owners only holds hints and may be lost at any time. The agent that receives the
datagram makes the final decision.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from . import rendezvous
from .codes import Code
from .effects import Count, Drop, EntryEffect, Log, ToAgent
from .events import (
    AnswerSeen,
    CallerDatagram,
    ConfigurationChanged,
    EntryEvent,
    RosterChanged,
    Tick,
)
from .models import (
    Address,
    AgentState,
    Configuration,
    Member,
    Protocol,
    Roster,
    Service,
)
from .routing import ConnectionIds, Owner, destination_of, flow_key, may_serve
from .suspensions import Suspensions

__all__ = ["EntryCore"]

MAX_OWNER_HINTS = 16384
"""UDP flows whose last answering agent is remembered."""

MAX_SERVICE_VIEWS = 1024
"""Services held at a time if rosters can be read again."""

HINT_TIMEOUT_SECONDS = 3.0
"""How long a hint is used while its agent doesn't answer."""


@dataclass(slots=True)
class OwnerHint:
    """The agent that answered a flow last.

    ``waiting_since`` is the time of the first packet after that answer.
    """

    agent: Address
    waiting_since: float | None = None


@dataclass(slots=True)
class ServiceView:
    """The agents of one service as an entry sees them."""

    suspensions: Suspensions
    roster: Roster
    address_by_name: dict[str, Address] = field(default_factory=dict)
    live: frozenset[Address] = frozenset()
    fallback: tuple[str, ...] = ()


class EntryCore:
    """Routes callers' datagrams to agents.

    Parameters
    ----------
    rng : random.Random
        The only source of randomness.
    find_roster : callable, optional
        Returns the newest roster of a service, or None if there is none. If
        given, only the MAX_SERVICE_VIEWS most recently used services are held;
        others are read again when needed. Otherwise all received are held.
    """

    def __init__(
        self,
        rng: random.Random,
        find_roster: Callable[[str], Roster | None] | None = None,
    ) -> None:
        self._rng = rng
        self._find_roster = find_roster
        self._configuration: Configuration | None = None
        self._connection_ids: ConnectionIds | None = None
        self._views_by_service: OrderedDict[str, ServiceView] = OrderedDict()
        # Services with openings that wait for an answer. A tick over thousands
        # of services would cost more than the packets.
        self._waiting_by_service: dict[str, Suspensions] = {}
        self._hints_by_flow: OrderedDict[tuple[str, Address], OwnerHint] = OrderedDict()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration of the highest generation received."""
        return self._configuration

    @property
    def generation(self) -> int:
        """The generation in force at this entry; 0 before the first."""
        return self._configuration.generation if self._configuration else 0

    def roster(self, service: str) -> Roster | None:
        """Return the newest roster received for ``service``."""
        view = self._view(service)
        return view.roster if view else None

    def suspended(self, service: str) -> tuple[str, ...]:
        """Return the agents that get no new flows from this entry for now."""
        view = self._views_by_service.get(service)
        return view.suspensions.suspended if view else ()

    def handle(self, now: float, event: EntryEvent) -> list[EntryEffect]:
        """Handle one event and return the effects, to be executed in order."""
        if isinstance(event, CallerDatagram):
            return self._datagram(now, event)
        if isinstance(event, AnswerSeen):
            return self.answered(now, event.service, event.caller, event.agent)
        if isinstance(event, Tick):
            return self._tick(now)
        if isinstance(event, ConfigurationChanged):
            return self._configure(event.configuration)
        if isinstance(event, RosterChanged):
            return self._replace_roster(event.roster)
        raise TypeError(f"not an event of an entry: {event!r}")

    def route(
        self, now: float, service: Service, caller: Address, payload: bytes
    ) -> Address | Code:
        """Choose the agent for a datagram; called for each datagram.

        Returns
        -------
        Address
            The tunnel address of the agent.
        Code
            The reason why the datagram is dropped.
        """
        if service.protocol is Protocol.UDP:
            return self._route_udp(now, service, caller)
        destination = destination_of(payload)
        if isinstance(destination, Code):
            return destination
        is_long, connection_id = destination
        agent = self.route_established(service, connection_id)
        if agent is Code.CONNECTION_ID_UNKNOWN and is_long:
            return self._route_opening(now, service, caller, connection_id)
        return agent

    def route_established(
        self, service: Service, connection_id: bytes
    ) -> Address | Code:
        """Return the agent that issued a connection id, from the id alone.

        Returns
        -------
        Address
            The tunnel address of the agent.
        Code
            The reason why the datagram is dropped; CONNECTION_ID_UNKNOWN if no
            agent issued the id.
        """
        if self._connection_ids is None:
            return Code.SERVICE_UNKNOWN
        owner = self._connection_ids.decode(connection_id)
        if not isinstance(owner, Owner):
            return owner
        # A packet of one service must never reach a target of another, so an
        # id that was issued for another service is dropped.
        if owner.service != service.number:
            return Code.SERVICE_MISMATCH
        return owner.agent

    def answered(
        self, now: float, service: str, caller: Address, agent: Address
    ) -> list[EntryEffect]:
        """Record an answer of ``agent`` to ``caller``; reinstate the agent if due."""
        view = self._views_by_service.get(service)
        if view is None or agent not in view.live:
            return []
        if self._is_udp(service):
            self._store_hint(service, caller, agent)
        reinstated = view.suspensions.answered(now, caller)
        if reinstated is None:
            return []
        return [_log("agent-reinstated", service, reinstated)]

    def _datagram(self, now: float, event: CallerDatagram) -> list[EntryEffect]:
        configuration = self._configuration
        service = configuration and configuration.services_by_name.get(event.service)
        if not service:
            return [Drop(Code.SERVICE_UNKNOWN)]
        routed = self.route(now, service, event.caller, event.payload)
        return [Drop(routed) if isinstance(routed, Code) else ToAgent(routed)]

    def _route_udp(
        self, now: float, service: Service, caller: Address
    ) -> Address | Code:
        flow = (service.name, caller)
        hint = self._hints_by_flow.get(flow)
        if hint is None:
            return self._route_opening(now, service, caller, flow_key(caller))
        view = self._view(service.name)
        if view is not None and hint.agent in view.live and _is_fresh(now, hint):
            self._hints_by_flow.move_to_end(flow)
            return hint.agent
        del self._hints_by_flow[flow]
        return self._route_opening(now, service, caller, flow_key(caller))

    def _route_opening(
        self, now: float, service: Service, caller: Address, key: bytes
    ) -> Address | Code:
        view = self._view(service.name)
        if view is None:
            return Code.NO_AGENT
        name = view.suspensions.choose(now, key)
        if name is None:
            return self._fallback(view, key)
        view.suspensions.opened(now, name, caller)
        self._waiting_by_service[service.name] = view.suspensions
        return view.address_by_name[name]

    def _fallback(self, view: ServiceView, key: bytes) -> Address | Code:
        # No agent is ready, but a leaving one may still own this UDP flow, or
        # refuse a new one with a Retry-After.
        if not view.fallback:
            return Code.NO_AGENT
        return view.address_by_name[rendezvous.best(key, view.fallback)]

    def _store_hint(self, service: str, caller: Address, agent: Address) -> None:
        hints = self._hints_by_flow
        flow = (service, caller)
        hints[flow] = OwnerHint(agent)
        hints.move_to_end(flow)
        if len(hints) > MAX_OWNER_HINTS:
            hints.popitem(last=False)

    def _is_udp(self, name: str) -> bool:
        if self._configuration is None:
            return False
        service = self._configuration.services_by_name.get(name)
        return service is not None and service.protocol is Protocol.UDP

    def _tick(self, now: float) -> list[EntryEffect]:
        effects: list[EntryEffect] = []
        for name, suspensions in list(self._waiting_by_service.items()):
            for agent in suspensions.expire(now):
                effects.append(Count("entry.suspended"))
                effects.append(_log("agent-suspended", name, agent))
            if not suspensions.waiting:
                del self._waiting_by_service[name]
        return effects

    def _configure(self, configuration: Configuration) -> list[EntryEffect]:
        # Messages may arrive out of order. Without this check a late copy of
        # an old generation would silently revert an accepted change.
        if configuration.generation <= self.generation:
            return [Count("entry.configuration_ignored")]
        before = self._configuration.services_by_name if self._configuration else {}
        self._configuration = configuration
        self._connection_ids = ConnectionIds(
            configuration.flow_keys_by_number, configuration.flow_key, self._rng
        )
        for name, view in self._views_by_service.items():
            if before.get(name) != configuration.services_by_name.get(name):
                self._refresh(view, view.roster)
        fields = (("generation", configuration.generation),)
        return [Log("configuration-in-force", fields)]

    def _replace_roster(self, roster: Roster) -> list[EntryEffect]:
        view = self._views_by_service.get(roster.service)
        if view is None and self._find_roster is not None:
            return []
        if view is None:
            self._add_view(roster)
        elif roster.revision <= view.roster.revision:
            return [Count("entry.roster_ignored")]
        else:
            self._refresh(view, roster)
        fields = (("service", roster.service), ("revision", roster.revision))
        return [Log("roster-learned", fields)]

    def _view(self, service: str) -> ServiceView | None:
        view = self._views_by_service.get(service)
        if view is not None:
            self._views_by_service.move_to_end(service)
            return view
        roster = self._find_roster(service) if self._find_roster else None
        if roster is None:
            return None
        if len(self._views_by_service) >= MAX_SERVICE_VIEWS:
            self._views_by_service.popitem(last=False)
        return self._add_view(roster)

    def _add_view(self, roster: Roster) -> ServiceView:
        view = ServiceView(Suspensions(self._rng), roster)
        self._views_by_service[roster.service] = view
        self._refresh(view, roster)
        return view

    def _refresh(self, view: ServiceView, roster: Roster) -> None:
        former = view.roster.by_name
        members = roster.by_name.values()
        live = [member for member in members if member.state is not AgentState.DOWN]
        restarted = [
            member.name
            for member in live
            if member.name in former
            and former[member.name].incarnation != member.incarnation
        ]
        ready = [
            member.name
            for member in live
            if member.state is AgentState.READY and self._may_serve(roster, member)
        ]
        view.roster = roster
        view.address_by_name = {member.name: member.tunnel for member in live}
        view.live = frozenset(view.address_by_name.values())
        view.fallback = tuple(
            member.name for member in live if member.state is AgentState.LEAVING
        )
        view.suspensions.replace(ready, restarted)

    def _may_serve(self, roster: Roster, member: Member) -> bool:
        if self._configuration is None:
            return True
        service = self._configuration.services_by_name.get(roster.service)
        return service is None or may_serve(service, member)


def _is_fresh(now: float, hint: OwnerHint) -> bool:
    # If the owner stops while the store is down, no roster reports it, and the
    # flow's packets would be lost until the store is back. Missing answers
    # reveal it. The flow's home then finds the owner or opens the flow again.
    if hint.waiting_since is None:
        hint.waiting_since = now
    return now - hint.waiting_since <= HINT_TIMEOUT_SECONDS


def _log(event: str, service: str, agent: str) -> Log:
    return Log(event, (("service", service), ("agent", agent)))
