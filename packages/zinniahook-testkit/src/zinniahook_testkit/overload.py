"""Measure goodput under overload, and the time to recover from it.

One agent's real ``Requests`` core with a fake clock serves callers that never give
up: some obey Retry-After, some retry at once. The baseline is an unbounded
first-in-first-out queue that ignores cancellations and deadlines.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.effects import FinishRequest, Run
from zinniahook_core.events import (
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

__all__ = ["Goodput", "Result", "measure"]

SLOTS = 4
MEAN_SERVICE_SECONDS = 0.05
CAPACITY_PER_SECOND = SLOTS / MEAN_SERVICE_SECONDS
CALLER_TIMEOUT_SECONDS = 2.0
"""Time after which a caller considers an attempt lost and sends another."""

IMPATIENT_RETRY_SECONDS = (0.05, 0.5)
"""Range of the delay after which a caller that ignores Retry-After retries."""

WARMUP_SECONDS = 30.0
SETTLE_SECONDS = 5.0
ANY_ADDRESS = Address("127.0.0.1", 1)


class Goodput(NamedTuple):
    """Answers per second that reached a caller still waiting for them."""

    at_capacity: float
    overloaded: float
    recovery: float
    """Seconds after the overload until new requests are answered again."""

    @property
    def kept(self) -> float:
        """Goodput under overload as a share of that at capacity."""
        return self.overloaded / self.at_capacity


class Result(NamedTuple):
    """The results of the core and of the baseline."""

    core: Goodput
    baseline: Goodput


class Server(Protocol):
    """The interface that callers use."""

    def arrive(self, now: float, number: int, attempt: int) -> None:
        """Handle one attempt."""

    def cancel(self, now: float, number: int) -> None:
        """Handle the cancellation of an attempt."""


@dataclass(slots=True)
class Caller:
    """One request that is retried until it is answered."""

    arrived_at: float
    obeys: bool
    attempt: int = 0
    number: int = 0
    answered_at: float | None = None


@dataclass(slots=True)
class Clock:
    """A fake clock that runs scheduled actions."""

    rng: random.Random
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: Any = field(default_factory=itertools.count)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (time, next(self.order), action))

    def until(self, end: float) -> None:
        """Run the scheduled actions up to a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()


class CoreServer:
    """The core with a target that runs ``SLOTS`` requests at once."""

    def __init__(self, clock: Clock, answer: Callable[[int, Outcome], None]) -> None:
        self._clock = clock
        self._answer = answer
        rule = RequestClass(
            "ledger", "/ledger", queue=16, deadline=CALLER_TIMEOUT_SECONDS
        )
        service = Service("ledger", 1, ANY_ADDRESS, classes_by_name={"ledger": rule})
        self._core = Requests("agent-1", service, clock.rng)
        member = Member(
            "agent-1",
            ANY_ADDRESS,
            ANY_ADDRESS,
            ANY_ADDRESS,
            "dc",
            1,
            AgentState.READY,
            SLOTS,
        )
        roster = Roster("ledger", 1, {"agent-1": member})
        self._handle(clock.now, RosterChanged(roster))
        self._tick()

    def arrive(self, now: float, number: int, attempt: int) -> None:
        """Pass one attempt to the core."""
        deadline = now + CALLER_TIMEOUT_SECONDS
        event = RequestArrived(number, "ledger", True, b"", attempt, deadline)
        self._handle(now, event)

    def cancel(self, now: float, number: int) -> None:
        """Pass the cancellation to the core."""
        self._handle(now, RequestCancelled(number))

    def _tick(self) -> None:
        self._handle(self._clock.now, Tick())
        self._clock.at(self._clock.now + 0.1, self._tick)

    def _handle(self, now: float, event: Any) -> None:
        for effect in self._core.handle(now, event):
            if isinstance(effect, Run):
                seconds = self._clock.rng.uniform(0.5, 1.5) * MEAN_SERVICE_SECONDS
                number = effect.request
                self._clock.at(now + seconds, lambda number=number: self._ended(number))
            elif isinstance(effect, FinishRequest):
                self._answer(effect.request, effect.outcome)

    def _ended(self, number: int) -> None:
        done = Outcome(OutcomeKind.DONE, Code.OK)
        self._handle(self._clock.now, RequestFinished(number, done, True))
        self._answer(number, done)


class QueueServer:
    """The baseline: attempts run in order, even if their callers have given up."""

    def __init__(self, clock: Clock, answer: Callable[[int, Outcome], None]) -> None:
        self._clock = clock
        self._answer = answer
        self._waiting: deque[int] = deque()
        self._busy = 0

    def arrive(self, now: float, number: int, attempt: int) -> None:
        """Queue one attempt."""
        self._waiting.append(number)
        self._start()

    def cancel(self, now: float, number: int) -> None:
        """Ignore the cancellation."""

    def _start(self) -> None:
        while self._waiting and self._busy < SLOTS:
            number = self._waiting.popleft()
            self._busy += 1
            seconds = self._clock.rng.uniform(0.5, 1.5) * MEAN_SERVICE_SECONDS
            self._clock.at(
                self._clock.now + seconds, lambda number=number: self._ended(number)
            )

    def _ended(self, number: int) -> None:
        self._busy -= 1
        self._answer(number, Outcome(OutcomeKind.DONE, Code.OK))
        self._start()


class Callers:
    """Callers that arrive at a changing rate and never give up."""

    def __init__(self, clock: Clock, server: type, obeying: float) -> None:
        self._clock = clock
        self._obeying = obeying
        self._numbers = itertools.count(1)
        self._by_number: dict[int, Caller] = {}
        self._server: Server = server(clock, self._answered)
        self.callers: list[Caller] = []
        self.answered: list[float] = []

    def offer(self, start: float, end: float, rate: float) -> None:
        """Schedule new callers at ``rate`` per second."""
        time = start
        while (time := time + self._clock.rng.expovariate(rate)) < end:
            caller = Caller(time, self._clock.rng.random() < self._obeying)
            self.callers.append(caller)
            self._clock.at(time, lambda caller=caller: self._try(caller))

    def _try(self, caller: Caller) -> None:
        if caller.answered_at is not None:
            return
        caller.attempt += 1
        caller.number = next(self._numbers)
        self._by_number[caller.number] = caller
        number = caller.number
        self._clock.at(
            self._clock.now + CALLER_TIMEOUT_SECONDS, lambda: self._timed_out(number)
        )
        self._server.arrive(self._clock.now, number, caller.attempt)

    def _timed_out(self, number: int) -> None:
        caller = self._by_number.pop(number, None)
        if caller is None:
            return
        self._server.cancel(self._clock.now, number)
        self._try(caller)

    def _answered(self, number: int, outcome: Outcome) -> None:
        caller = self._by_number.pop(number, None)
        if caller is None:
            return
        now = self._clock.now
        if outcome.kind is OutcomeKind.DONE:
            caller.answered_at = now
            self.answered.append(now)
            return
        wait = (
            outcome.retry_after
            if caller.obeys
            else self._clock.rng.uniform(*IMPATIENT_RETRY_SECONDS)
        )
        self._clock.at(now + wait, lambda: self._try(caller))


def measure(
    factor: float = 3.0,
    overload: float = 30.0,
    after: float = 60.0,
    obeying: float = 0.7,
    seed: int = 1,
) -> Result:
    """Compare the core with the baseline during and after one overload.

    Parameters
    ----------
    factor : float
        Offered load during the overload, relative to capacity; 0.7 otherwise.
    overload, after : float
        Seconds of overload, and seconds measured after it.
    obeying : float
        Share of callers that obey Retry-After; the others retry at once.
    seed : int
        Seed of all random choices.
    """
    return Result(
        _measure(CoreServer, factor, overload, after, obeying, seed),
        _measure(QueueServer, factor, overload, after, obeying, seed),
    )


def _measure(
    server: type,
    factor: float,
    overload: float,
    after: float,
    obeying: float,
    seed: int,
) -> Goodput:
    at_capacity = _goodput(server, 1.0, overload, obeying, seed)
    clock = Clock(random.Random(seed))
    callers = Callers(clock, server, obeying)
    start, end = WARMUP_SECONDS, WARMUP_SECONDS + overload
    callers.offer(0.0, start, 0.7 * CAPACITY_PER_SECOND)
    callers.offer(start, end, factor * CAPACITY_PER_SECOND)
    callers.offer(end, end + after, 0.7 * CAPACITY_PER_SECOND)
    clock.until(end + after)
    overloaded = _rate(callers.answered, start + SETTLE_SECONDS, end)
    return Goodput(at_capacity, overloaded, _recovery(callers, end, after))


def _goodput(
    server: type, factor: float, seconds: float, obeying: float, seed: int
) -> float:
    clock = Clock(random.Random(seed))
    callers = Callers(clock, server, obeying)
    callers.offer(0.0, WARMUP_SECONDS, 0.7 * CAPACITY_PER_SECOND)
    callers.offer(
        WARMUP_SECONDS, WARMUP_SECONDS + seconds, factor * CAPACITY_PER_SECOND
    )
    clock.until(WARMUP_SECONDS + seconds)
    return _rate(
        callers.answered, WARMUP_SECONDS + SETTLE_SECONDS, WARMUP_SECONDS + seconds
    )


def _rate(times: list[float], start: float, end: float) -> float:
    return sum(start <= time < end for time in times) / (end - start)


def _recovery(callers: Callers, end: float, after: float) -> float:
    """Return the time until new callers are served again, in seconds after ``end``.

    This is the first second from which on, in every window of five seconds, 90 %
    of the new callers got an answer within the timeout of their first attempt.
    Return ``after`` if there is no such second.
    """
    window = 5
    good = [0] * int(after)
    total = [0] * int(after)
    for caller in callers.callers:
        second = int(caller.arrived_at - end)
        if caller.arrived_at < end or second >= len(total):
            continue
        total[second] += 1
        answered = caller.answered_at
        good[second] += (
            answered is not None
            and answered - caller.arrived_at <= CALLER_TIMEOUT_SECONDS
        )
    # The last callers didn't have enough time to get an answer.
    last = int(after) - window - int(CALLER_TIMEOUT_SECONDS)
    recovered = after
    for second in range(last, -1, -1):
        share = sum(good[second : second + window])
        if share < 0.9 * sum(total[second : second + window]):
            break
        recovered = float(second)
    return recovered
