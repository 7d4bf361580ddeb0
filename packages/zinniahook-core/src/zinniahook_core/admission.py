"""Admission control: start, queue or refuse requests to one target.

A request holds its slots before any work is done for it. Classes share the
slots by weight, so that no class starves, and may borrow unused slots of other
classes. docs/design/admission.md compares the alternatives with figures.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from .budgets import RetryBudget, RetrySchedule
from .codes import Code
from .models import RequestClass
from .queues import DeadlineQueue

__all__ = ["Admission", "Decision", "Verdict"]

INITIAL_MEAN_SECONDS = 0.05
"""Assumed service time of a class before its first sample."""

MEAN_SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of service times."""

LONG_SERVICE_SECONDS = 1.0
"""Classes with a mean service time from here on may not borrow guaranteed slots."""

MIN_CLASS_WEIGHT = 0.05
"""Lower bound of a class's weight."""

COLD_SLOT_SHARE = 0.25
"""Fraction of the slots that a target offers just after its start."""


class Verdict(enum.Enum):
    """The decision on a request that asks for a slot."""

    START = "start"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict; a refusal has a code and a retry delay in seconds."""

    verdict: Verdict
    code: Code = Code.OK
    retry_after: float = 0.0


@dataclass(slots=True)
class ClassState:
    """Running and queued requests of one class, and their service time.

    ``guaranteed`` is the number of slots reserved by the class's share.
    ``virtual_time`` grows with the service received, divided by ``weight``; the
    class with the lowest value starts next (weighted fair queueing).
    ``mean_seconds`` is the moving average of the service time.
    """

    rule: RequestClass
    retry_schedule: RetrySchedule
    budget: RetryBudget = field(default_factory=RetryBudget)
    queue: DeadlineQueue = field(default_factory=DeadlineQueue)
    started_by_request: dict[int, float] = field(default_factory=dict)
    weight: float = 1.0
    guaranteed: int = 0
    virtual_time: float = 0.0
    mean_seconds: float = INITIAL_MEAN_SECONDS
    sampled: bool = False

    @property
    def slots_per_request(self) -> int:
        """Number of slots that one request holds."""
        return self.rule.slots

    @property
    def in_use(self) -> int:
        """Number of slots that this class holds."""
        return self.slots_per_request * len(self.started_by_request)

    @property
    def active(self) -> bool:
        """Whether the class competes for slots."""
        return self.slots_per_request > 0 and bool(
            self.started_by_request or len(self.queue)
        )

    def sample(self, seconds: float) -> None:
        """Add one measured service time to the moving average."""
        weight = MEAN_SAMPLE_WEIGHT if self.sampled else 1.0
        self.mean_seconds += weight * (max(seconds, 1e-4) - self.mean_seconds)
        self.sampled = True


class Admission:
    """Shares the slots of one target between request classes.

    Parameters
    ----------
    slots : int
        Number of slots of the target.
    classes_by_name : mapping of str to RequestClass
        The classes of the service; if empty, all requests form one class.
    rng : random.Random
        Draws the jitter of Retry-After.
    """

    def __init__(
        self,
        slots: int,
        classes_by_name: Mapping[str, RequestClass],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._slots = slots
        self._cold = 0.0
        self._classes_by_name: dict[str, ClassState] = {}
        self._class_by_request: dict[int, ClassState] = {}
        self._displaced: list[int] = []
        self.configure(slots, classes_by_name)

    @property
    def slots(self) -> int:
        """Upper limit of slots in use, lower while the target is cold."""
        share = 1.0 - self._cold * (1.0 - COLD_SLOT_SHARE)
        return max(1, math.floor(self._slots * share + 1e-9))

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return sum(state.in_use for state in self._classes_by_name.values())

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(len(state.queue) for state in self._classes_by_name.values())

    @property
    def streams(self) -> int:
        """Number of long-lived streams in progress."""
        return sum(
            len(state.started_by_request)
            for state in self._classes_by_name.values()
            if state.slots_per_request == 0
        )

    def configure(
        self, slots: int, classes_by_name: Mapping[str, RequestClass]
    ) -> None:
        """Apply new rules, also to running and queued requests.

        A removed class keeps its requests until they end and admits no new
        ones.
        """
        self._slots = slots
        rules = classes_by_name or {"": RequestClass("", "")}
        for name, rule in rules.items():
            state = self._classes_by_name.get(name)
            if state is None:
                state = ClassState(rule, RetrySchedule(self._rng))
                self._classes_by_name[name] = state
            state.rule = rule
        for name in [name for name in self._classes_by_name if name not in rules]:
            state = self._classes_by_name[name]
            if not state.started_by_request and not len(state.queue):
                del self._classes_by_name[name]
        self._rules = rules
        self._update_weights()

    def set_coldness(self, cold: float) -> None:
        """Set the coldness of the target: 1 just after its start, 0 when warm."""
        self._cold = min(1.0, max(0.0, cold))

    def rule(self, kind: str) -> RequestClass | None:
        """Return the rule for a class of requests, or None if there is none."""
        return self._rules.get(kind, self._rules.get(""))

    def free(self, kind: str) -> bool:
        """Return whether a request of this class would start at once."""
        state = self._state(kind)
        return state is not None and self._fits(state)

    def offer(
        self, now: float, request: int, kind: str, attempt: int, deadline: float
    ) -> Decision:
        """Decide on a new request.

        Parameters
        ----------
        now, deadline : float
            Monotonic seconds; after ``deadline`` an answer is useless.
        request : int
            The number that identifies the request in later calls.
        kind : str
            The name of its class.
        attempt : int
            The attempt number from 1, or 0 if it is unknown.
        """
        state = self._state(kind)
        if state is None:
            return Decision(Verdict.REFUSED, Code.CLASS_UNKNOWN)
        if attempt <= 1:
            state.budget.credit_first_attempt()
        if deadline <= now:
            return self._refuse(now, state, Code.DEADLINE_EXPIRED)
        if not len(state.queue) and self._fits(state):
            self._start(now, state, request)
            return Decision(Verdict.START)
        return self._enqueue(now, state, request, attempt, deadline)

    def requeue(self, now: float, request: int, kind: str, deadline: float) -> None:
        """Queue a request that gave its slot back, even if the queue is full.

        It was admitted before, so refusing it now would waste the work done.
        """
        state = self._state(kind)
        if state is None:
            return
        self._class_by_request[request] = state
        state.queue.push(deadline, request)

    def start(self, now: float) -> list[int]:
        """Give free slots to queued requests and return these requests."""
        started = []
        while state := self._next_class():
            request = state.queue.pop().request
            self._start(now, state, request)
            started.append(request)
        return started

    def refuse_infeasible(self, now: float) -> list[tuple[int, Decision]]:
        """Remove displaced requests and those that can't meet their deadline.

        They are refused at once, so that the caller can use the remaining time
        for a retry. Return pairs of request and refusal.
        """
        refused_requests = [
            (request, self._refuse(now, self._class_by_request[request]))
            for request in self._displaced
        ]
        self._displaced.clear()
        for state in self._classes_by_name.values():
            for place, waiting in enumerate(state.queue):
                if self._feasible(now, state, place, waiting.deadline):
                    continue
                state.queue.remove(waiting.request)
                refusal = self._refuse(now, state, Code.DEADLINE_EXPIRED)
                refused_requests.append((waiting.request, refusal))
        for request, _ in refused_requests:
            self._class_by_request.pop(request, None)
        return refused_requests

    def refuse(self, now: float, kind: str, code: Code) -> Decision:
        """Return a refusal with the given code and a Retry-After."""
        state = self._state(kind)
        if state is None:
            return Decision(Verdict.REFUSED, code)
        return self._refuse(now, state, code)

    def release(self, now: float, request: int, answered: bool) -> None:
        """Free the slots or the queue entry of a request.

        ``answered`` means that it ran to its end. Only then its time is added
        to the mean and its success to the retry budget.
        """
        state = self._class_by_request.pop(request, None)
        if state is None:
            return
        if state.queue.remove(request):
            return
        started = state.started_by_request.pop(request, None)
        if started is None:
            return
        held = now - started
        state.virtual_time += (
            state.slots_per_request * (held - state.mean_seconds) / state.weight
        )
        if answered:
            state.sample(held)
            state.budget.credit_success()

    def credit(self, kind: str) -> bool:
        """Take a token for an agent's own retry from the budget of ``kind``."""
        state = self._state(kind)
        return state is not None and state.budget.take()

    def drop_queue(self) -> list[int]:
        """Remove and return all queued and displaced requests."""
        dropped = list(self._displaced)
        self._displaced.clear()
        for state in self._classes_by_name.values():
            while len(state.queue):
                dropped.append(state.queue.pop().request)
        for request in dropped:
            self._class_by_request.pop(request, None)
        return dropped

    def _state(self, kind: str) -> ClassState | None:
        name = kind if kind in self._rules else ""
        return self._classes_by_name.get(name) if name in self._rules else None

    def _update_weights(self) -> None:
        states = [s for s in self._classes_by_name.values() if s.slots_per_request > 0]
        shared = sum(state.rule.share for state in states)
        open_states = [state for state in states if state.rule.share <= 0]
        rest = max(0.0, 1.0 - shared) / max(1, len(open_states))
        left = self._slots
        for state in states:
            state.weight = max(MIN_CLASS_WEIGHT, state.rule.share or rest)
            wanted = math.ceil(state.rule.share * self._slots - 1e-9)
            state.guaranteed = min(left, wanted)
            left -= state.guaranteed

    def _fits(self, state: ClassState) -> bool:
        if state.slots_per_request == 0:
            return len(state.started_by_request) < state.rule.limit
        busy = self.busy
        if busy and busy + state.slots_per_request > self.slots:
            return False
        return self._may_borrow(state)

    def _may_borrow(self, state: ClassState) -> bool:
        # Otherwise exports that take minutes would borrow every slot while no
        # ticket is open, and the next tickets would wait for minutes. So only
        # a class with short requests may borrow slots guaranteed to others.
        if state.sampled and state.mean_seconds < LONG_SERVICE_SECONDS:
            return True
        others = sum(
            other.guaranteed
            for other in self._classes_by_name.values()
            if other is not state and other.slots_per_request > 0
        )
        own = max(state.guaranteed, self.slots - others)
        return state.in_use == 0 or state.in_use + state.slots_per_request <= own

    def _start(self, now: float, state: ClassState, request: int) -> None:
        self._class_by_request[request] = state
        if state.slots_per_request > 0:
            self._charge(state)
        state.started_by_request[request] = now

    def _charge(self, state: ClassState) -> None:
        # An idle class earns no credit for the time in which it had no work.
        active = [s.virtual_time for s in self._classes_by_name.values() if s.active]
        if not state.started_by_request and active:
            state.virtual_time = max(state.virtual_time, min(active))
        state.virtual_time += (
            state.slots_per_request * state.mean_seconds / state.weight
        )

    def _next_class(self) -> ClassState | None:
        ready = [
            state
            for state in self._classes_by_name.values()
            if len(state.queue) and self._fits(state)
        ]
        return min(ready, key=lambda state: state.virtual_time, default=None)

    def _enqueue(
        self,
        now: float,
        state: ClassState,
        request: int,
        attempt: int,
        deadline: float,
    ) -> Decision:
        if state.slots_per_request == 0:
            return self._refuse(now, state)
        ahead = state.queue.ahead(deadline)
        if not self._feasible(now, state, ahead, deadline):
            return self._refuse(now, state)
        full = len(state.queue) >= state.rule.queue
        if full and (not len(state.queue) or state.queue.last.deadline <= deadline):
            return self._refuse(now, state)
        if attempt > 1 and not state.budget.take():
            return self._refuse(now, state, Code.RETRY_BUDGET_SPENT)
        if full:
            self._displace(state)
        self._class_by_request[request] = state
        state.queue.push(deadline, request)
        return Decision(Verdict.QUEUED)

    def _displace(self, state: ClassState) -> None:
        last = state.queue.last.request
        state.queue.remove(last)
        self._displaced.append(last)

    def _fair_slots(self, state: ClassState) -> float:
        """Return the class's weighted share of the slots, as a float."""
        others = sum(
            other.weight
            for other in self._classes_by_name.values()
            if other.active and other is not state
        )
        return self.slots * state.weight / (state.weight + others)

    def _requests_per_second(self, state: ClassState) -> float:
        """Return the requests per second that the class's share can serve."""
        return self._fair_slots(state) / (
            max(1, state.slots_per_request) * state.mean_seconds
        )

    def _feasible(
        self, now: float, state: ClassState, ahead: int, deadline: float
    ) -> bool:
        wait = (ahead + 1) / self._requests_per_second(state)
        return now + wait + state.mean_seconds <= deadline

    def _refuse(
        self, now: float, state: ClassState, code: Code = Code.QUEUE_FULL
    ) -> Decision:
        capacity = self._requests_per_second(state)
        drain = (len(state.queue) + 1) / capacity
        return Decision(
            Verdict.REFUSED, code, state.retry_schedule.reserve(now, drain, capacity)
        )
