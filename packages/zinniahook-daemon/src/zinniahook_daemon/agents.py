"""The agent: owns the flows of one target and runs its requests.

It feeds everything that happens to the core and carries out what the core
decides. What it adds itself is I/O: QUIC towards callers, HTTP/1.1 towards
the target, gRPC and datagrams towards peers.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from zinniahook_core import effects as todo
from zinniahook_core.agents import AgentCore
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.effects import AgentEffect
from zinniahook_core.events import (
    AgentEvent,
    ConfigurationChanged,
    DrainRequested,
    FlowClosed,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
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

from .exchanges import Exchange, classify, decode_answer
from .relays import Relays, serve_relay
from .targets import FAILED, Result, Target
from .traffic import Traffic

__all__ = ["Agent", "serve"]

TICK = 0.1
PROBE = 1.0
"""Seconds between questions to the target's own health endpoint."""

KEEP_ALIVE = 1.0
"""Seconds between looks for silent connections."""

FINAL_GO_AWAY = 1.0
"""Seconds from the GOAWAY that asks to the one that rejects."""

CLOSING = 0.2
"""Seconds left to the last datagrams before the process ends."""

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
    """Register what carries out one type of effect."""

    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EFFECT[effect_type] = handler
        return handler

    return register


class Agent:
    """Drives the core of an agent.

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
        self.target = Target(settings.target)
        self.relays = Relays(node.certificates.client, self.name, settings.service)
        self.traffic = Traffic(self)
        self._exchanges_by_number: dict[int, Exchange] = {}
        self._tasks_by_number: dict[int, asyncio.Task[None]] = {}
        self._joined_by_number: dict[int, list[Exchange]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._events: deque[AgentEvent] = deque()
        self._feeding = False
        node.on_configuration(self._configure)
        node.on_roster(self._learn_roster)
        node.on_relay(self._serve_relay)
        node.on_drain(self.drain)
        node.on_status(self._status)
        node.on_reload(self.traffic.reload)
        node.every(TICK, self._tick)
        node.every(PROBE, lambda: self.spawn(self._probe()))
        node.every(KEEP_ALIVE, self.traffic.keep_alive)

    # Events and effects

    def feed(self, event: AgentEvent) -> None:
        """Give an event to the core and carry out what it decides.

        Events that effects cause are handled after those effects, so that
        the core never sees an order that didn't happen.
        """
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._feeding = False

    def _decide(self, event: AgentEvent) -> None:
        try:
            for effect in self.core.handle(self.node.now(), event):
                self._execute(effect)
        except Exception:
            # A fault in one decision would otherwise end the read of other
            # flows' datagrams, or a timer, wherever it was fed from.
            _logger.exception("decision failed")
            self.node.count("agent.faults")

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine on its own and keep it alive."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def drain(self, seconds: float) -> None:
        """Leave within so many seconds; 0 for the service's own setting."""
        self.feed(DrainRequested(seconds or self.service.drain))
        if self.leaving:
            return
        self.leaving = True
        self.traffic.go_away(final=False)
        loop = asyncio.get_running_loop()
        loop.call_later(FINAL_GO_AWAY, self.traffic.go_away, True)

    async def close(self) -> None:
        """End what is left."""
        self.traffic.close()
        for task in list(self._tasks_by_number.values()):
            task.cancel()
        await asyncio.sleep(CLOSING)
        self.relays.close()

    def _execute(self, effect: AgentEffect) -> None:
        handler = _HANDLERS_BY_EFFECT.get(type(effect))
        if handler is not None:
            handler(self, effect)
        else:
            self.traffic.execute(effect)

    def _tick(self) -> None:
        self.feed(Tick())
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
        self.relays.keep(
            {
                member.control
                for member in self.roster.by_name.values()
                if member.state is not AgentState.DOWN
            }
        )

    async def _probe(self) -> None:
        if self.service.protocol is Protocol.UDP:
            # A plain UDP target has no endpoint that could be asked.
            self.feed(TargetReported(not self.traffic.flows.refused, None, True))
            return
        self.feed(await self.target.probe())

    async def _serve_relay(self, stream: Any) -> None:
        await serve_relay(stream, self.arrived, self.cancelled)

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

    # Requests

    def classify(self, path: str) -> str:
        """Return the request class of a path, or empty."""
        return classify(self.service, path)

    def arrived(self, exchange: Exchange) -> None:
        """Take a new request."""
        self._exchanges_by_number[exchange.number] = exchange
        self.node.count("agent.requests")
        self.feed(
            RequestArrived(
                exchange.number,
                exchange.kind,
                exchange.idempotent,
                exchange.key,
                exchange.attempt,
                exchange.deadline or 0.0,
                exchange.relayed_by,
            )
        )

    def cancelled(self, exchange: Exchange) -> None:
        """Learn that the caller does not want an answer any more."""
        if exchange.number not in self._exchanges_by_number:
            return
        self.node.count("agent.cancelled")
        self.feed(RequestCancelled(exchange.number))
        if exchange.number not in self._tasks_by_number:
            self._forget(exchange)

    def refused(self, code: Code) -> None:
        """Count a request that was refused for its form."""
        self.node.count("agent.refused", code=code.name)

    def _start(self, exchange: Exchange, work: Coroutine[Any, Any, Result]) -> None:
        task = asyncio.ensure_future(self._supervise(exchange, work))
        self._tasks_by_number[exchange.number] = task

    async def _supervise(
        self, exchange: Exchange, work: Coroutine[Any, Any, Result]
    ) -> None:
        try:
            result = await work
        except asyncio.CancelledError:
            result = _cancelled(exchange)
        except Exception:
            # A fault here must not leave a request without an end: its slot
            # would never be free again.
            _logger.exception("request failed")
            self.node.count("agent.faults")
            exchange.fail()
            result = FAILED
        if self._tasks_by_number.get(exchange.number) is asyncio.current_task():
            del self._tasks_by_number[exchange.number]
        self._ended(exchange, result)

    def _ended(self, exchange: Exchange, result: Result) -> None:
        if exchange.number not in self._exchanges_by_number:
            return
        done = result.outcome.kind is OutcomeKind.DONE
        answer = exchange.kept if done else b""
        if not done:
            self.node.count("agent.failed", code=result.outcome.code.name)
        else:
            self._record(exchange)
            self._answer_joined(exchange, answer)
            self._forget(exchange)
        self.feed(
            RequestFinished(exchange.number, result.outcome, result.started, answer)
        )
        # The core has nothing more to say to a caller that is gone.
        if exchange.finished and exchange.number not in self._tasks_by_number:
            self._forget(exchange)

    def _answer_joined(self, exchange: Exchange, answer: bytes) -> None:
        for joined in self._joined_by_number.pop(exchange.number, ()):
            self._reply(joined, answer)

    def _reply(self, exchange: Exchange, answer: bytes) -> None:
        """Answer with a kept answer, if there is one."""
        if answer:
            exchange.replay(decode_answer(answer))
        else:
            exchange.refuse(Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST))
        self._forget(exchange)

    def _record(self, exchange: Exchange) -> None:
        seconds = self.node.now() - exchange.arrived_at
        kind = exchange.kind or "default"
        self.node.histogram(self.service.name, kind).record(seconds)
        self.node.count("agent.finished")

    def _forget(self, exchange: Exchange) -> None:
        self._exchanges_by_number.pop(exchange.number, None)
        self._joined_by_number.pop(exchange.number, None)

    @_executes(todo.Run)
    def _run(self, effect: todo.Run) -> None:
        exchange = self._startable(effect.request)
        if exchange is not None:
            self._start(exchange, self.target.run(exchange))

    @_executes(todo.Relay)
    def _relay(self, effect: todo.Relay) -> None:
        exchange = self._startable(effect.request)
        if exchange is None:
            return
        peer = self.core.roster.by_name.get(effect.peer)
        if peer is None:
            outcome = Outcome(OutcomeKind.NOT_RUN, Code.NO_AGENT, 1.0)
            self.feed(RequestFinished(exchange.number, outcome, False))
            return
        self.node.count("agent.relayed")
        self._start(exchange, self.relays.run(exchange, peer.control))

    def _startable(self, request: int) -> Exchange | None:
        """Return a request that an attempt can still answer whole.

        For any other the core is told at once; it would hold a slot for good.
        """
        exchange = self._exchanges_by_number.get(request)
        if exchange is None:
            outcome = Outcome(OutcomeKind.CANCELLED_BEFORE, Code.CANCELLED_BEFORE)
            self.feed(RequestFinished(request, outcome, False))
            return None
        if exchange.status or exchange.body.taken:
            outcome = Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST)
            self.feed(RequestFinished(request, outcome, True))
            return None
        exchange.started = False
        return exchange

    @_executes(todo.JoinRequest)
    def _join(self, effect: todo.JoinRequest) -> None:
        exchange = self._exchanges_by_number.get(effect.request)
        if exchange is not None:
            self._joined_by_number.setdefault(effect.running, []).append(exchange)

    @_executes(todo.Replay)
    def _replay(self, effect: todo.Replay) -> None:
        exchange = self._exchanges_by_number.get(effect.request)
        if exchange is not None:
            self._reply(exchange, effect.answer)

    @_executes(todo.FinishRequest)
    def _finish(self, effect: todo.FinishRequest) -> None:
        exchange = self._exchanges_by_number.get(effect.request)
        if exchange is None:
            return
        self.node.count("agent.outcome", kind=effect.outcome.kind.value)
        self.node.count("agent.refused", code=effect.outcome.code.name)
        exchange.refuse(effect.outcome)
        self._forget(exchange)

    @_executes(todo.CancelRequest)
    def _cancel(self, effect: todo.CancelRequest) -> None:
        task = self._tasks_by_number.get(effect.request)
        if task is not None:
            task.cancel()

    # The life of the agent

    @_executes(todo.Restart)
    def _restart(self, effect: todo.Restart) -> None:
        # Peers may have taken over what this agent owned while it was paused.
        # Nothing from before may reach the core: exchanges are forgotten
        # first, so that the ends of their tasks and connections are not news.
        exchanges = list(self._exchanges_by_number.values())
        self._exchanges_by_number.clear()
        self._joined_by_number.clear()
        self._events.clear()
        self.traffic.restart()
        for exchange in exchanges:
            kind = OutcomeKind.UNKNOWN if exchange.started else OutcomeKind.NOT_RUN
            exchange.refuse(Outcome(kind, Code.FENCED, 1.0))

    @_executes(todo.Drained)
    def _end(self, effect: todo.Drained) -> None:
        self.drained.set()

    @_executes(todo.WriteRoster)
    def _write_roster(self, effect: todo.WriteRoster) -> None:
        self.spawn(self._write(effect))

    async def _write(self, effect: todo.WriteRoster) -> None:
        self.feed(await self.node.write_roster(effect))

    @_executes(todo.ReadRoster)
    def _read_roster(self, effect: todo.ReadRoster) -> None:
        self.spawn(self._read(effect))

    async def _read(self, effect: todo.ReadRoster) -> None:
        roster = await self.node.read_roster(effect.service)
        if roster is not None:
            self._learn_roster(roster)

    @_executes(todo.Count)
    def _count(self, effect: todo.Count) -> None:
        self.node.count(effect.name, effect.amount)

    @_executes(todo.Log)
    def _log(self, effect: todo.Log) -> None:
        self.node.log(effect.event, **dict(effect.fields))

    @_executes(todo.Drop)
    def _drop(self, effect: todo.Drop) -> None:
        self.node.count("agent.dropped", code=effect.code.name)

    def closed(self, flow: bytes) -> None:
        """Learn that a flow has ended."""
        self.feed(FlowClosed(flow))


def _cancelled(exchange: Exchange) -> Result:
    exchange.fail()
    if exchange.started:
        outcome = Outcome(OutcomeKind.CANCELLED_AFTER, Code.CANCELLED_AFTER)
    else:
        outcome = Outcome(OutcomeKind.CANCELLED_BEFORE, Code.CANCELLED_BEFORE)
    return Result(outcome, exchange.started)
