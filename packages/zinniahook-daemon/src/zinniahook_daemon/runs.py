"""The open requests of an agent, the tasks that run them, and joined repeats."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from functools import partial
from typing import TYPE_CHECKING, Any

from zinniahook_core import effects
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.events import RequestArrived, RequestCancelled, RequestFinished

from .exchanges import Exchange, classify, decode_answer
from .relays import Relays
from .targets import FAILED, Result, Target

if TYPE_CHECKING:
    from .agents import Agent

__all__ = ["Runs"]

Handler = Callable[["Runs", Any], None]

_HANDLERS_BY_EFFECT: dict[type, Handler] = {}

_logger = logging.getLogger(__name__)


def _executes(effect_type: type) -> Callable[[Handler], Handler]:
    """Register the decorated method as the handler of an effect type."""

    def register(handler: Handler) -> Handler:
        _HANDLERS_BY_EFFECT[effect_type] = handler
        return handler

    return register


class Runs:
    """The requests that are open at one agent.

    Parameters
    ----------
    agent : Agent
        Passes events of requests to the core, which decides on them.
    """

    def __init__(self, agent: Agent) -> None:
        settings = agent.node.settings.agent
        context = agent.node.certificates.client
        self.target = Target(settings.target)
        self.relays = Relays(context, agent.name, settings.service)
        self._agent = agent
        self._node = agent.node
        self._feed = agent.feed
        self._exchanges_by_number: dict[int, Exchange] = {}
        self._tasks_by_number: dict[int, asyncio.Task[Result]] = {}
        self._joined_by_number: dict[int, list[Exchange]] = {}

    def __len__(self) -> int:
        return len(self._exchanges_by_number)

    def execute(self, effect: effects.AgentEffect) -> bool:
        """Execute an effect on requests; return False for other effects."""
        handler = _HANDLERS_BY_EFFECT.get(type(effect))
        if handler is None:
            return False
        handler(self, effect)
        return True

    def forget_all(self) -> list[Exchange]:
        """Remove and return all requests, without cancelling running tasks."""
        exchanges = list(self._exchanges_by_number.values())
        self._exchanges_by_number.clear()
        self._joined_by_number.clear()
        return exchanges

    def cancel_all(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks_by_number.values()):
            task.cancel()

    def classify(self, path: str) -> str:
        """Return the request class of a path, or empty."""
        return classify(self._agent.service, path)

    def arrived(self, exchange: Exchange) -> None:
        """Register a new request, and pass it to the core."""
        self._exchanges_by_number[exchange.number] = exchange
        self._node.count("agent.requests")
        self._feed(
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
        """Handle the cancellation of a request by its caller."""
        if exchange.number not in self._exchanges_by_number:
            return
        exchange.is_cancelled = True
        self._node.count("agent.cancelled")
        self._feed(RequestCancelled(exchange.number))
        if exchange.number not in self._tasks_by_number:
            self._forget(exchange)

    def refused(self, code: Code) -> None:
        """Count a request that was refused as invalid."""
        self._node.count("agent.refused", code=code.name)

    def _start(self, exchange: Exchange, work: Coroutine[Any, Any, Result]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks_by_number[exchange.number] = task
        # A task that is cancelled before its first step runs none of its own code.
        # A callback also sees the end of such a task.
        task.add_done_callback(partial(self._task_done, exchange))

    def _task_done(self, exchange: Exchange, task: asyncio.Task[Result]) -> None:
        if self._tasks_by_number.get(exchange.number) is task:
            del self._tasks_by_number[exchange.number]
        if task.cancelled():
            self._ended(exchange, _cancelled(exchange))
            return
        error = task.exception()
        if error is None:
            self._ended(exchange, task.result())
            return
        # The request must end even after a fault; otherwise its slot would never
        # become free.
        _logger.error("request failed", exc_info=error)
        self._node.count("agent.faults")
        exchange.fail()
        self._ended(exchange, FAILED)

    def _ended(self, exchange: Exchange, result: Result) -> None:
        if exchange.number not in self._exchanges_by_number:
            return
        done = result.outcome.kind is OutcomeKind.DONE
        answer = exchange.kept if done else b""
        if not done:
            self._node.count("agent.failed", code=result.outcome.code.name)
            if exchange.status and not exchange.is_cancelled:
                self._log_cut(exchange, result.outcome.code)
        else:
            self._record(exchange)
            self._answer_joined(exchange, answer)
            self._forget(exchange)
        self._feed(
            RequestFinished(exchange.number, result.outcome, result.started, answer)
        )
        # The core sends nothing more to a caller that has gone.
        if exchange.finished and exchange.number not in self._tasks_by_number:
            self._forget(exchange)

    def _log_cut(self, exchange: Exchange, code: Code) -> None:
        """Log an answer that its caller receives incompletely."""
        self._node.log(
            "answer-cut",
            request_class=exchange.kind,
            code=code.name,
            relayed_to=exchange.relayed_to,
            relayed_by=exchange.relayed_by,
            seconds=round(self._node.now() - exchange.arrived_at, 3),
        )

    def _answer_joined(self, exchange: Exchange, answer: bytes) -> None:
        for joined in self._joined_by_number.pop(exchange.number, ()):
            self._reply(joined, answer)

    def _reply(self, exchange: Exchange, answer: bytes) -> None:
        """Replay a kept answer; without one, refuse the request as unknown."""
        if answer:
            exchange.replay(decode_answer(answer))
        else:
            exchange.refuse(Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST))
        self._forget(exchange)

    def _record(self, exchange: Exchange) -> None:
        seconds = self._node.now() - exchange.arrived_at
        kind = exchange.kind or "default"
        self._node.histogram(self._agent.service.name, kind).record(seconds)
        self._node.count("agent.finished")

    def _forget(self, exchange: Exchange) -> None:
        self._exchanges_by_number.pop(exchange.number, None)
        self._joined_by_number.pop(exchange.number, None)

    @_executes(effects.Run)
    def _run(self, effect: effects.Run) -> None:
        exchange = self._startable(effect.request)
        if exchange is not None:
            self._start(exchange, self.target.run(exchange))

    @_executes(effects.Relay)
    def _relay(self, effect: effects.Relay) -> None:
        exchange = self._startable(effect.request)
        if exchange is None:
            return
        peer = self._agent.core.roster.by_name.get(effect.peer)
        if peer is None:
            outcome = Outcome(OutcomeKind.NOT_RUN, Code.NO_AGENT, 1.0)
            self._feed(RequestFinished(exchange.number, outcome, False))
            return
        self._node.count("agent.relayed")
        exchange.relayed_to = effect.peer
        self._start(exchange, self.relays.run(exchange, peer.control))

    def _startable(self, request: int) -> Exchange | None:
        """Return a request that an attempt can still answer completely.

        Otherwise return None, and report to the core at once that the request has
        finished; its slot would stay taken for good.
        """
        exchange = self._exchanges_by_number.get(request)
        if exchange is None:
            outcome = Outcome(OutcomeKind.CANCELLED_BEFORE, Code.CANCELLED_BEFORE)
            self._feed(RequestFinished(request, outcome, False))
            return None
        if exchange.status or exchange.body.taken:
            outcome = Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST)
            self._feed(RequestFinished(request, outcome, True))
            return None
        exchange.started = False
        return exchange

    @_executes(effects.JoinRequest)
    def _join(self, effect: effects.JoinRequest) -> None:
        exchange = self._exchanges_by_number.get(effect.request)
        if exchange is not None:
            self._joined_by_number.setdefault(effect.running, []).append(exchange)

    @_executes(effects.Replay)
    def _replay(self, effect: effects.Replay) -> None:
        exchange = self._exchanges_by_number.get(effect.request)
        if exchange is not None:
            self._reply(exchange, effect.answer)

    @_executes(effects.FinishRequest)
    def _finish(self, effect: effects.FinishRequest) -> None:
        exchange = self._exchanges_by_number.get(effect.request)
        if exchange is None:
            return
        self._node.count("agent.outcome", kind=effect.outcome.kind.value)
        self._node.count("agent.refused", code=effect.outcome.code.name)
        if exchange.status and not exchange.finished:
            self._log_cut(exchange, effect.outcome.code)
        exchange.refuse(effect.outcome)
        self._forget(exchange)

    @_executes(effects.CancelRequest)
    def _cancel(self, effect: effects.CancelRequest) -> None:
        task = self._tasks_by_number.get(effect.request)
        if task is not None:
            task.cancel()


def _cancelled(exchange: Exchange) -> Result:
    exchange.fail()
    if exchange.started:
        outcome = Outcome(OutcomeKind.CANCELLED_AFTER, Code.CANCELLED_AFTER)
    else:
        outcome = Outcome(OutcomeKind.CANCELLED_BEFORE, Code.CANCELLED_BEFORE)
    return Result(outcome, exchange.started)
