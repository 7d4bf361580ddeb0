"""The agent, which owns the flows of one target and runs its requests.

It passes every event to the core and executes the effects that the core returns. The
agent itself only does I/O: QUIC with callers, HTTP/1.1 with the target, gRPC and
datagrams with peers.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from zinniahook_core import effects
from zinniahook_core.agents import AgentCore
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.effects import AgentEffect
from zinniahook_core.events import (
    AgentEvent,
    ConfigurationChanged,
    DrainRequested,
    FlowClosed,
    RosterChanged,
    TargetReported,
    Tick,
)
from zinniahook_core.models import (
    AgentState,
    Configuration,
    Member,
    Protocol,
    Roster,
    Service,
)

from .relays import serve_relay
from .runs import Runs
from .traffic import Traffic

__all__ = ["Agent", "serve"]

TICK_SECONDS = 0.1
PROBE_INTERVAL_SECONDS = 1.0
"""Seconds between probes of the target's health endpoint."""

KEEP_ALIVE_INTERVAL_SECONDS = 1.0
"""Seconds between checks for silent connections."""

FINAL_GO_AWAY_SECONDS = 1.0
"""Seconds from the first GOAWAY, which only asks callers to reconnect, to the final
one, after which new requests are rejected."""

CLOSING_SECONDS = 0.2
"""Seconds in which the last datagrams are sent before the process stops."""

Handler = Callable[["Agent", Any], None]

_HANDLERS_BY_EFFECT: dict[type, Handler] = {}

_logger = logging.getLogger(__name__)


async def serve(node: Any) -> None:
    """Serve as an agent until it is drained.

    Parameters
    ----------
    node : Node
        A started node.
    """
    await node.ready()
    agent = Agent(node)
    node.announce(service=node.settings.agent.service)
    stopping = asyncio.ensure_future(node.stopping.wait())
    drained = asyncio.ensure_future(agent.drained.wait())
    await asyncio.wait((stopping, drained), return_when=asyncio.FIRST_COMPLETED)
    agent.drain(agent.service.drain)
    await drained
    await agent.close()


def _executes(effect_type: type) -> Callable[[Handler], Handler]:
    """Register the decorated method as the handler of an effect type."""

    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EFFECT[effect_type] = handler
        return handler

    return register


class Agent:
    """Runs the core of an agent and its I/O.

    Parameters
    ----------
    node : Node
        A started node that has a configuration.
    """

    def __init__(self, node: Any) -> None:
        settings = node.settings.agent
        self.node = node
        self.name = node.settings.name
        self.drained = asyncio.Event()
        self.rng = random.Random()
        self.roster = Roster(settings.service, 0, {})
        self.service = Service(settings.service, 0, settings.target)
        self.leaving = False
        self.identity = Member(
            name=self.name,
            tunnel=node.tunnel_address,
            control=node.control_address,
            target=settings.target,
            data_centre=node.settings.data_centre,
            incarnation=int(time.time()),
            state=AgentState.STARTING,
            slots=settings.slots,
        )
        self.core = AgentCore(self.identity, settings.service, self.rng)
        self.runs = Runs(self)
        self.traffic = Traffic(self)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._events: deque[AgentEvent] = deque()
        self._is_feeding = False
        self._is_probing = False
        node.on_configuration(self._configure)
        node.on_roster(self._learn_roster)
        node.on_relay(self._serve_relay)
        node.on_drain(self.drain)
        node.on_status(self._status)
        node.on_reload(self.traffic.reload)
        node.every(TICK_SECONDS, self._tick)
        node.every(PROBE_INTERVAL_SECONDS, self._start_probe)
        node.every(KEEP_ALIVE_INTERVAL_SECONDS, self.traffic.keep_alive)

    # Events and effects

    def feed(self, event: AgentEvent) -> None:
        """Pass an event to the core and execute the effects that it returns.

        Events that arise from effects are queued and handled after those effects, so
        that the core sees events in the order in which they happened.
        """
        self._events.append(event)
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._is_feeding = False

    def _decide(self, event: AgentEvent) -> None:
        try:
            for effect in self.core.handle(self.node.now(), event):
                self._execute(effect)
        except Exception:
            # An exception would otherwise propagate to the caller of `feed`, and
            # stop a timer or the reading of other flows' datagrams.
            _logger.exception("decision failed")
            self.node.count("agent.faults")

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and keep a reference to the task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def drain(self, seconds: float) -> None:
        """Drain within ``seconds``; 0 means the service's own setting."""
        self.feed(DrainRequested(seconds or self.service.drain))
        if self.leaving:
            return
        self.leaving = True
        self.traffic.go_away(final=False)
        loop = asyncio.get_running_loop()
        loop.call_later(FINAL_GO_AWAY_SECONDS, self.traffic.go_away, True)

    async def close(self) -> None:
        """Close the remaining connections, and cancel running requests."""
        self.traffic.close()
        self.runs.cancel_all()
        await asyncio.sleep(CLOSING_SECONDS)
        self.runs.relays.close()

    def _execute(self, effect: AgentEffect) -> None:
        handler = _HANDLERS_BY_EFFECT.get(type(effect))
        if handler is not None:
            handler(self, effect)
        elif not self.runs.execute(effect):
            self.traffic.execute(effect)

    def _tick(self) -> None:
        self.feed(Tick())
        if self.core.state is AgentState.STARTING:
            self._start_probe()
        if self.leaving:
            self.traffic.close_idle()

    def _configure(self, configuration: Configuration) -> None:
        service = configuration.services_by_name.get(self.service.name)
        if service is None:
            self.node.log("service-unknown", service=self.service.name)
            self.node.count("agent.refused", code=Code.SERVICE_UNKNOWN.name)
            return
        self.service = service
        self.traffic.configure(configuration)
        self.feed(ConfigurationChanged(configuration))

    def _learn_roster(self, roster: Roster) -> None:
        if roster.service != self.service.name:
            return
        self.feed(RosterChanged(roster))
        self.roster = self.core.roster
        members = self.roster.by_name.values()
        self.traffic.notify_leaving(
            {one.name for one in members if one.state is AgentState.LEAVING}
        )
        self.runs.relays.keep(
            {
                member.control
                for member in self.roster.by_name.values()
                if member.state is not AgentState.DOWN
            }
        )

    def _start_probe(self) -> None:
        if not self._is_probing:
            self._is_probing = True
            self.spawn(self._probe())

    async def _probe(self) -> None:
        try:
            await self._probe_target()
        finally:
            self._is_probing = False

    async def _probe_target(self) -> None:
        if self.service.protocol is Protocol.UDP:
            # A plain UDP target has no health endpoint.
            self.feed(TargetReported(not self.traffic.flows.refused, None, True))
            return
        self.feed(await self.runs.target.probe())

    async def _serve_relay(self, stream: Any) -> None:
        await serve_relay(stream, self.runs.arrived, self.runs.cancelled)

    def _status(self) -> dict[str, Any]:
        load = self.core.load(self.node.now())
        return {
            "service": self.service.name,
            "state": self.core.state.name.lower(),
            "incarnation": self.core.identity.incarnation,
            "busy": load.busy,
            "slots": load.slots,
            "queued": load.queued,
            "flows": load.flows,
            "streams": load.streams,
        }

    # Lifecycle of the agent

    @_executes(effects.Restart)
    def _restart(self, effect: effects.Restart) -> None:
        # Peers may have taken over this agent's flows while it was paused. No event
        # from before the restart may reach the core. Exchanges are forgotten first,
        # so that the ends of their tasks and connections cause no events.
        exchanges = self.runs.forget_all()
        self._events.clear()
        self.traffic.restart()
        for exchange in exchanges:
            kind = OutcomeKind.UNKNOWN if exchange.started else OutcomeKind.NOT_RUN
            exchange.refuse(Outcome(kind, Code.FENCED, 1.0))

    @_executes(effects.Drained)
    def _finish_drain(self, effect: effects.Drained) -> None:
        self.drained.set()

    @_executes(effects.WriteRoster)
    def _write_roster(self, effect: effects.WriteRoster) -> None:
        self.spawn(self._write(effect))

    async def _write(self, effect: effects.WriteRoster) -> None:
        self.feed(await self.node.write_roster(effect))

    @_executes(effects.ReadRoster)
    def _read_roster(self, effect: effects.ReadRoster) -> None:
        self.spawn(self._read(effect))

    async def _read(self, effect: effects.ReadRoster) -> None:
        roster = await self.node.read_roster(effect.service)
        if roster is not None:
            self._learn_roster(roster)

    @_executes(effects.Count)
    def _count(self, effect: effects.Count) -> None:
        self.node.count(effect.name, effect.amount)

    @_executes(effects.Log)
    def _log(self, effect: effects.Log) -> None:
        self.node.log(effect.event, **dict(effect.fields))

    @_executes(effects.Drop)
    def _drop(self, effect: effects.Drop) -> None:
        self.node.count("agent.dropped", code=effect.code.name)

    def closed(self, flow: bytes) -> None:
        """Notify the core that a flow has ended."""
        self.feed(FlowClosed(flow))
