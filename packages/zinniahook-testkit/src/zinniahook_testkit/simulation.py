"""Agents of one service, their callers and a faulty network on a fake clock.

Real ``Requests`` cores exchange claim messages over a network that loses,
duplicates and delays them, while agents crash, pause, join and leave. `atmostonce`
measures the outcomes of the requests.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.effects import (
    CancelRequest,
    Count,
    FinishRequest,
    JoinRequest,
    Relay,
    Replay,
    Run,
    SendPeer,
)
from zinniahook_core.events import (
    DrainRequested,
    PeerDatagram,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    RosterChanged,
    Tick,
)
from zinniahook_core.models import (
    Address,
    AgentState,
    Member,
    RequestClass,
    Roster,
    Service,
)
from zinniahook_core.requests import Requests

from .participants import Agent, Caller, Copy, Faults, TwoChoices

__all__ = ["WARM_UP_SECONDS", "CoreFactory", "Simulation"]

SERVICE = "tally"
SLOTS = 4
PLACEHOLDER_ADDRESS = Address("127.0.0.1", 1)
TICK_SECONDS = 0.1
WARM_UP_SECONDS = 4000.0
"""Traffic starts once every agent has run for the lifetime of a key."""

FENCE_AFTER_SECONDS = 3.0
MARK_DOWN_AFTER_SECONDS = 5.0
CALLER_TIMEOUT_SECONDS = 3.0
DEADLINE_SECONDS = 10.0
ANSWER = b"ticket filed"
CoreFactory = Callable[[str, Service, random.Random, Any], Requests]


class Simulation:
    """The simulated clock, network, roster, targets and callers of the cores."""

    def __init__(
        self, agents: int, faults: Faults, seed: int, make_core: CoreFactory
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.now = 0.0
        self.make_core = make_core
        self.service = Service(
            SERVICE,
            1,
            PLACEHOLDER_ADDRESS,
            classes_by_name={"ticket": RequestClass("ticket", "/tickets", queue=8)},
        )
        self.revision = 0
        self.members_by_name: dict[str, Member] = {}
        self.agents_by_name: dict[str, Agent] = {}
        self.counts: Counter[str] = Counter()
        self.runs_by_key: Counter[bytes] = Counter()
        self.run_attempt_by_key: dict[bytes, int] = {}
        self.refused_attempt_by_key: dict[bytes, int] = {}
        self.false_refusals: set[bytes] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._request_numbers = itertools.count(1)
        self._names = itertools.count()
        for _ in range(agents):
            self.join()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after some seconds."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def run_until(self, end: float) -> None:
        """Advance the clock to ``end`` and run the actions that become due."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # Roster and lifecycle of agents

    def join(self, name: str = "", incarnation: int = 1) -> None:
        """Start an agent, which becomes ready 0.5 s later."""
        name = name or f"agent-{next(self._names)}"
        placement = TwoChoices(self, name, 0.1)
        core = self.make_core(name, self.service, self.rng, placement)
        agent = Agent(name, core, incarnation)
        agent.seen_at = self.now
        self.agents_by_name[name] = agent
        if self.revision:
            self._deliver_roster(agent, Roster(SERVICE, self.revision, self._members()))
        self.set_member(agent, AgentState.STARTING)
        self.after(0.5, lambda: self._when_alive(agent, self._become_ready))
        self.after(TICK_SECONDS * self.rng.random(), lambda: self._tick(agent))

    def set_member(self, agent: Agent, state: AgentState | None) -> None:
        """Update the roster and push it to every agent, each after a random delay."""
        if state is None:
            self.members_by_name.pop(agent.name, None)
        else:
            self.members_by_name[agent.name] = Member(
                agent.name,
                PLACEHOLDER_ADDRESS,
                PLACEHOLDER_ADDRESS,
                PLACEHOLDER_ADDRESS,
                "thies-1",
                agent.incarnation,
                state,
                SLOTS,
            )
        self.revision += 1
        roster = Roster(SERVICE, self.revision, self._members())
        for receiver in list(self.agents_by_name.values()):
            self._push(receiver, roster)

    def crash(self, agent: Agent) -> None:
        """Crash an agent with all its state; it starts again later."""
        agent.alive = False
        del self.agents_by_name[agent.name]
        for copy in agent.copies_by_request.values():
            self._break_relay(copy)
        self.after(MARK_DOWN_AFTER_SECONDS, lambda: self._mark_down(agent))
        back = self.rng.uniform(1.0, 2 * MARK_DOWN_AFTER_SECONDS)
        self.after(back, lambda: self.join(agent.name, agent.incarnation + 1))

    def pause(self, agent: Agent, seconds: float) -> None:
        """Pause an agent; messages to it are delivered when it resumes."""
        agent.paused_until = self.now + seconds
        self.after(MARK_DOWN_AFTER_SECONDS, lambda: self._mark_down_if_paused(agent))

    def leave(self, agent: Agent) -> None:
        """Drain an agent; another agent joins in its place."""
        agent.leaving = True
        self.set_member(agent, AgentState.LEAVING)
        self.handle(agent, DrainRequested(30.0))
        self.join()

    def _members(self) -> dict[str, Member]:
        return dict(self.members_by_name)

    def _push(self, agent: Agent, roster: Roster) -> None:
        delay = self.rng.uniform(0.005, 1.0)
        self.after(delay, lambda: self._deliver_roster(agent, roster))

    def _deliver_roster(self, agent: Agent, roster: Roster) -> None:
        if self._deferred_if_paused(agent, lambda: self._deliver_roster(agent, roster)):
            return
        if agent.roster is not None and agent.roster.revision >= roster.revision:
            return
        agent.roster = roster
        self.handle(agent, RosterChanged(roster))
        own = roster.by_name.get(agent.name)
        if own is None or own.incarnation != agent.incarnation:
            return
        if own.state is AgentState.DOWN:
            self._fence(agent)
        else:
            agent.fenced = False
            agent.core.confirm(self.now, agent.incarnation)

    def _become_ready(self, agent: Agent) -> None:
        if not agent.leaving:
            self.set_member(agent, AgentState.READY)

    def _when_alive(self, agent: Agent, action: Callable[[Agent], None]) -> None:
        if agent.alive and not self._deferred_if_paused(agent, lambda: action(agent)):
            action(agent)

    def _mark_down(self, agent: Agent) -> None:
        stored = self.members_by_name.get(agent.name)
        if stored is not None and stored.incarnation == agent.incarnation:
            self.members_by_name[agent.name] = stored._replace(state=AgentState.DOWN)
            self.revision += 1
            roster = Roster(SERVICE, self.revision, self._members())
            for receiver in list(self.agents_by_name.values()):
                self._push(receiver, roster)

    def _mark_down_if_paused(self, agent: Agent) -> None:
        if agent.alive and self.now < agent.paused_until:
            self._mark_down(agent)

    def _fence(self, agent: Agent) -> None:
        agent.incarnation += 1
        agent.fenced = True
        for copy in agent.copies_by_request.values():
            self._break_relay(copy)
        effects = agent.core.restart(self.now, agent.incarnation)
        self._execute(agent, effects)
        agent.copies_by_request.clear()
        state = AgentState.LEAVING if agent.leaving else AgentState.READY
        self.after(0.05, lambda: self._when_alive(agent, self._announcer(state)))

    def _announcer(self, state: AgentState) -> Callable[[Agent], None]:
        return lambda agent: self.set_member(agent, state)

    def _deferred_if_paused(self, agent: Agent, again: Callable[[], None]) -> bool:
        if not agent.alive:
            return True
        if self.now < agent.paused_until:
            self.after(agent.paused_until - self.now, again)
            return True
        return False

    # Cores and their effects

    def handle(self, agent: Agent, event: Any) -> None:
        """Pass an event to a core; first fence the agent if it was paused too long."""
        self._wake(agent)
        self._execute(agent, agent.core.handle(self.now, event))

    def _wake(self, agent: Agent) -> None:
        gap = self.now - agent.seen_at
        agent.seen_at = self.now
        if gap > FENCE_AFTER_SECONDS and agent.roster is not None:
            self._fence(agent)

    def _tick(self, agent: Agent) -> None:
        if not agent.alive:
            return
        if self._deferred_if_paused(agent, lambda: self._tick(agent)):
            return
        self.handle(agent, Tick())
        if agent.leaving and agent.core.idle and not agent.fenced:
            agent.alive = False
            self.agents_by_name.pop(agent.name, None)
            self.set_member(agent, None)
            return
        idle = self.now < WARM_UP_SECONDS - 10
        self.after(
            FENCE_AFTER_SECONDS * 0.9 if idle else TICK_SECONDS,
            lambda: self._tick(agent),
        )

    def _execute(self, agent: Agent, effects: list[Any]) -> None:
        for effect in effects:
            _EXECUTORS_BY_EFFECT.get(type(effect), _ignore)(self, agent, effect)

    def _send(self, agent: Agent, effect: SendPeer) -> None:
        faults = self.faults
        copies = 1 + (self.rng.random() < faults.duplication)
        for _ in range(copies):
            if self.rng.random() < faults.loss:
                continue
            delay = self.rng.uniform(0.001, 0.004)
            if self.rng.random() < faults.lateness:
                delay += self.rng.uniform(0.0, faults.latest)
            event = PeerDatagram(agent.name, effect.message)
            self.after(delay, lambda event=event: self._receive(effect.peer, event))

    def _receive(self, name: str, event: PeerDatagram) -> None:
        agent = self.agents_by_name.get(name)
        if agent is None or self._deferred_if_paused(
            agent, lambda: self._receive(name, event)
        ):
            return
        self.handle(agent, event)

    def _run(self, agent: Agent, effect: Run) -> None:
        copy = agent.copies_by_request[effect.request]
        key = copy.caller.key
        self.runs_by_key[key] += 1
        # Copies of a key at one agent share a run, which counts for the latest attempt.
        attempt = max(
            other.attempt
            for other in agent.copies_by_request.values()
            if other.caller is copy.caller
        )
        self.run_attempt_by_key[key] = attempt
        if attempt <= self.refused_attempt_by_key.get(key, 0):
            self.false_refusals.add(key)
        seconds = self.rng.uniform(0.02, 0.2)
        incarnation = agent.incarnation
        self.after(
            seconds, lambda: self._target_ends(agent, incarnation, effect.request)
        )

    def _target_ends(self, agent: Agent, incarnation: int, request: int) -> None:
        again = lambda: self._target_ends(agent, incarnation, request)  # noqa: E731
        if self._deferred_if_paused(agent, again) or agent.incarnation != incarnation:
            return
        done = Outcome(OutcomeKind.DONE, Code.OK)
        self.handle(agent, RequestFinished(request, done, True, ANSWER))
        self._done(agent, request)

    def _done(self, agent: Agent, request: int) -> None:
        copy = agent.copies_by_request.pop(request, None)
        if copy is None:
            return
        for joined in copy.joined:
            self._done(agent, joined)
        self._answer(copy, Outcome(OutcomeKind.DONE, Code.OK))

    def _finish(self, agent: Agent, effect: FinishRequest) -> None:
        copy = agent.copies_by_request.pop(effect.request, None)
        if copy is None:
            return
        if effect.outcome.kind is OutcomeKind.NOT_RUN and copy.origin is None:
            self._note_refusal(copy)
        self._answer(copy, effect.outcome)

    def _note_refusal(self, copy: Copy) -> None:
        key = copy.caller.key
        self.counts["refusals"] += 1
        # A caller that has sent a later attempt ignores the answer to this one. A
        # refusal of this attempt says nothing about a later one, which may run.
        if self.run_attempt_by_key.get(key, math.inf) <= copy.attempt:
            self.false_refusals.add(key)
        known = self.refused_attempt_by_key.get(key, 0)
        self.refused_attempt_by_key[key] = max(known, copy.attempt)

    def _replay(self, agent: Agent, effect: Replay) -> None:
        self._done(agent, effect.request)

    def _join(self, agent: Agent, effect: JoinRequest) -> None:
        copy = agent.copies_by_request.get(effect.running)
        if copy is not None and effect.request not in copy.joined:
            copy.joined.append(effect.request)

    def _relay(self, agent: Agent, effect: Relay) -> None:
        copy = agent.copies_by_request[effect.request]
        peer = self.agents_by_name.get(effect.peer)
        origin = (agent, effect.request)
        if peer is None:
            self.after(0.5, lambda: self._relay_broke(origin))
            return
        relayed = Copy(copy.caller, copy.attempt, copy.first, origin)
        number = next(self._request_numbers)
        copy.relayed_to = (peer, number)
        self.after(0.002, lambda: self._arrive(peer, number, relayed))

    def _relay_broke(self, origin: tuple[Agent, int]) -> None:
        agent, request = origin
        if self._deferred_if_paused(agent, lambda: self._relay_broke(origin)):
            return
        lost = Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST)
        self.handle(agent, RequestFinished(request, lost, True))

    def _break_relay(self, copy: Copy) -> None:
        if copy.origin is not None:
            self.after(0.5, lambda: self._relay_broke(copy.origin))
        if copy.relayed_to is not None:
            peer, number = copy.relayed_to
            self.after(0.5, lambda: self._cancel(peer, number))

    def _cancel(self, agent: Agent, request: int) -> None:
        if not self._deferred_if_paused(agent, lambda: self._cancel(agent, request)):
            self.handle(agent, RequestCancelled(request))

    def _cancel_request(self, agent: Agent, effect: CancelRequest) -> None:
        copy = agent.copies_by_request.get(effect.request)
        if copy is None:
            return
        # A cancelled request sends no answer, not even to copies that joined it.
        copy.joined.clear()
        if copy.relayed_to is not None:
            peer, number = copy.relayed_to
            self.after(0.002, lambda: self._cancel(peer, number))
        self.after(0.002, lambda: self._cancelled(agent, effect.request))

    def _cancelled(self, agent: Agent, request: int) -> None:
        if self._deferred_if_paused(agent, lambda: self._cancelled(agent, request)):
            return
        cancelled = Outcome(OutcomeKind.CANCELLED_AFTER, Code.CANCELLED_AFTER)
        self.handle(agent, RequestFinished(request, cancelled, True))

    def _count(self, agent: Agent, effect: Count) -> None:
        self.counts[effect.name] += effect.amount

    # Callers

    def call(self, caller: Caller) -> None:
        """Send the next attempt and, with some probability, a late copy of it."""
        if caller.ended:
            return
        caller.attempt += 1
        attempt = caller.attempt
        self._send_copy(Copy(caller, attempt, first=True))
        if self.rng.random() < self.faults.copies:
            late = self.rng.uniform(0.0, self.faults.latest_copy)
            copy = Copy(caller, attempt, first=False)
            self.after(late, lambda: self._send_copy(copy))
        self.after(CALLER_TIMEOUT_SECONDS, lambda: self._time_out(caller, attempt))

    def _send_copy(self, copy: Copy) -> None:
        agents = [agent for agent in self.agents_by_name.values() if agent.roster]
        agent = self.rng.choice(agents)
        number = next(self._request_numbers)
        self.after(0.002, lambda: self._arrive(agent, number, copy))

    def _arrive(self, agent: Agent, number: int, copy: Copy) -> None:
        if not agent.alive:
            self._break_relay(copy)
            return
        if self._deferred_if_paused(agent, lambda: self._arrive(agent, number, copy)):
            return
        self._wake(agent)
        agent.copies_by_request[number] = copy
        relayed_by = copy.origin[0].name if copy.origin else ""
        event = RequestArrived(
            number,
            "ticket",
            False,
            copy.caller.key,
            copy.attempt,
            self.now + DEADLINE_SECONDS,
            relayed_by,
        )
        if agent.fenced:
            kind = OutcomeKind.NOT_RUN if relayed_by else OutcomeKind.UNKNOWN
            outcome = Outcome(kind, Code.FENCED, 1.0)
            self._finish(agent, FinishRequest(number, outcome))
            return
        self.handle(agent, event)

    def _time_out(self, caller: Caller, attempt: int) -> None:
        if not caller.ended and caller.attempt == attempt:
            self.call(caller)

    def _answer(self, copy: Copy, outcome: Outcome) -> None:
        if copy.origin is not None:
            self.after(0.002, lambda: self._relay_answered(copy.origin, outcome))
            return
        caller = copy.caller
        if caller.ended or not copy.first or copy.attempt != caller.attempt:
            return
        if outcome.kind is OutcomeKind.DONE:
            caller.ended = "done"
            return
        if outcome.kind is OutcomeKind.UNKNOWN:
            caller.tries_left -= 1
            if caller.tries_left == 0:
                caller.ended = "unknown"
                return
        attempt = caller.attempt
        wait = max(0.2, outcome.retry_after)
        self.after(wait, lambda: self._time_out(caller, attempt))

    def _relay_answered(self, origin: tuple[Agent, int], outcome: Outcome) -> None:
        agent, request = origin
        if self._deferred_if_paused(
            agent, lambda: self._relay_answered(origin, outcome)
        ):
            return
        if request not in agent.copies_by_request:
            return
        started = outcome.kind is not OutcomeKind.NOT_RUN
        self.handle(agent, RequestFinished(request, outcome, started))
        if outcome.kind is OutcomeKind.DONE:
            self._done(agent, request)


def _ignore(sim: Simulation, agent: Agent, effect: Any) -> None:
    """Ignore an effect that this measurement doesn't need."""


_EXECUTORS_BY_EFFECT: dict[type, Callable[[Simulation, Agent, Any], None]] = {
    SendPeer: Simulation._send,
    Run: Simulation._run,
    FinishRequest: Simulation._finish,
    Replay: Simulation._replay,
    JoinRequest: Simulation._join,
    Relay: Simulation._relay,
    CancelRequest: Simulation._cancel_request,
    Count: Simulation._count,
}
