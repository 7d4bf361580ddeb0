"""Passive suspension of silent agents at an entry.

When an agent dies or becomes unreachable, every new flow that ranks it first is
lost until its peers have marked it down. This shows as openings that no agent
answers. The entry stops sending new flows to the agent on its own evidence and
probes it with single openings at growing intervals.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from . import rendezvous
from .models import Address

__all__ = ["Suspensions"]

ANSWER_TIMEOUT_SECONDS = 1.0
CALLERS_TO_SUSPEND = 3
"""An agent is suspended after this many callers got no answer."""
FAILURES_TO_SUSPEND = 8
"""An agent is suspended after this many failures, even of fewer callers.

Few callers may rank the agent first, and they would wait forever for a third.
"""

MAX_SUSPENDED_SHARE = 0.5
EVIDENCE_MAX_AGE_SECONDS = 10.0
INITIAL_PROBE_SECONDS = 1.0
MAX_PROBE_SECONDS = 30.0
PROBE_JITTER = 0.2
PENDING_LIMIT = 1024


@dataclass(slots=True)
class AgentRecord:
    """Answers and failures of one agent as an entry has seen them."""

    answered: float = float("-inf")
    failed_callers: set[Address] = field(default_factory=set)
    failures: int = 0
    suspended: bool = False
    backoff: float = INITIAL_PROBE_SECONDS
    probe_at: float = 0.0


class Suspensions:
    """The suspended agents of one service at one entry.

    Parameters
    ----------
    rng : random.Random
        Spreads the probes of different entries over time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: tuple[str, ...] = ()
        self._records_by_name: dict[str, AgentRecord] = {}
        # Dicts keep insertion order, so the oldest opening comes first.
        self._pending_by_caller: dict[Address, tuple[str, float]] = {}

    @property
    def suspended(self) -> tuple[str, ...]:
        """The agents that get no new flows now, in roster order."""
        return tuple(
            name for name in self._names if self._records_by_name[name].suspended
        )

    @property
    def waiting(self) -> bool:
        """Whether an opening waits for its answer."""
        return bool(self._pending_by_caller)

    def replace(self, names: Sequence[str], restarted: Iterable[str] = ()) -> None:
        """Set the agents that may get new flows.

        ``restarted`` are the names with a new incarnation. The record of the former
        incarnation is discarded.
        """
        fresh = set(restarted)
        former = self._records_by_name
        self._names = tuple(names)
        self._records_by_name = {
            name: former[name]
            if name in former and name not in fresh
            else AgentRecord()
            for name in names
        }
        self._enforce_cap()

    def choose(self, now: float, key: bytes) -> str | None:
        """Choose the agent for an opening, or return None if there is none."""
        if not self._names:
            return None
        name = rendezvous.best(key, self._names)
        record = self._records_by_name[name]
        if not record.suspended:
            return name
        if now >= record.probe_at:
            self._schedule_probe(now, record)
            return name
        records = self._records_by_name
        return rendezvous.best(
            key, [other for other in self._names if not records[other].suspended]
        )

    def opened(self, now: float, name: str, caller: Address) -> None:
        """Record that an opening of ``caller`` was sent to ``name``."""
        pending = self._pending_by_caller
        if caller in pending or len(pending) >= PENDING_LIMIT:
            return
        pending[caller] = (name, now)

    def answered(self, now: float, caller: Address) -> str | None:
        """Record an answer to ``caller`` and return the agent that it reinstates.

        The answer counts for the agent that got the opening, whichever agent sent
        it, since an agent that hands openings over is alive.
        """
        name, _ = self._pending_by_caller.pop(caller, (None, 0.0))
        record = self._records_by_name.get(name) if name else None
        if record is None:
            return None
        reinstated = record.suspended
        record.answered = now
        record.failed_callers.clear()
        record.failures = 0
        record.suspended = False
        record.backoff = INITIAL_PROBE_SECONDS
        return name if reinstated else None

    def expire(self, now: float) -> list[str]:
        """Count overdue openings as failures and return newly suspended agents."""
        overdue = []
        for caller, (name, sent) in self._pending_by_caller.items():
            if now - sent < ANSWER_TIMEOUT_SECONDS:
                break
            overdue.append((caller, name))
        for caller, name in overdue:
            del self._pending_by_caller[caller]
            record = self._records_by_name.get(name)
            if record is None:
                continue
            record.failures += 1
            if len(record.failed_callers) < CALLERS_TO_SUSPEND:
                record.failed_callers.add(caller)
        return [name for _, name in overdue if self._suspend(now, name)]

    def _suspend(self, now: float, name: str) -> bool:
        record = self._records_by_name.get(name)
        if record is None or record.suspended:
            return False
        few_callers = len(record.failed_callers) < CALLERS_TO_SUSPEND
        if few_callers and record.failures < FAILURES_TO_SUSPEND:
            return False
        if not self._others_answer(now, name) or not self._below_cap():
            return False
        record.suspended = True
        self._schedule_probe(now, record)
        return True

    def _others_answer(self, now: float, name: str) -> bool:
        # If the protocol of the service never answers, or the entry itself is cut
        # off, all agents are silent. Suspending one then only narrows the choice.
        return any(
            now - record.answered < EVIDENCE_MAX_AGE_SECONDS
            for other, record in self._records_by_name.items()
            if other != name
        )

    def _below_cap(self) -> bool:
        # Without a cap, an entry with a broken path would send all new flows to the
        # last agent left and overload it.
        return len(self.suspended) + 1 <= len(self._names) * MAX_SUSPENDED_SHARE

    def _enforce_cap(self) -> None:
        suspended = list(self.suspended)
        while len(suspended) > len(self._names) * MAX_SUSPENDED_SHARE:
            self._records_by_name[suspended.pop()].suspended = False

    def _schedule_probe(self, now: float, record: AgentRecord) -> None:
        jitter = 1.0 + PROBE_JITTER * self._rng.random()
        record.probe_at = now + record.backoff * jitter
        record.backoff = min(MAX_PROBE_SECONDS, record.backoff * 2)
