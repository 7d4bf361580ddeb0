"""Passive suspension of silent agents at an entry.

What goes wrong: an agent dies or the way to it is cut, and until its peers
have marked it down every new flow that ranks it first is lost. One notices
it by openings that get no answer from anybody. The entry then leaves the
agent out for new flows, by its own evidence alone, and tries it again with
single openings at growing intervals.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from . import rendezvous
from .models import Address

__all__ = ["Suspensions"]

ANSWER_TIMEOUT = 1.0
CALLERS_TO_SUSPEND = 3
FAILURES_TO_SUSPEND = 8
"""Of fewer callers: few may rank the agent first, and they would wait for
ever for a third one."""

SUSPENDED_SHARE = 0.5
EVIDENCE_AGE = 10.0
PROBE_FIRST = 1.0
PROBE_LONGEST = 30.0
PROBE_JITTER = 0.2
PENDING_LIMIT = 1024


@dataclass(slots=True)
class Standing:
    """What an entry has seen of one agent."""

    answered: float = float("-inf")
    failed_callers: set[Address] = field(default_factory=set)
    failures: int = 0
    suspended: bool = False
    backoff: float = PROBE_FIRST
    probe_at: float = 0.0


class Suspensions:
    """The suspended agents of one service, as one entry sees them.

    Parameters
    ----------
    rng : random.Random
        Spreads the probes of several entries.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: tuple[str, ...] = ()
        self._standings_by_name: dict[str, Standing] = {}
        # A dict keeps insertion order, so the oldest opening stands first.
        self._pending_by_caller: dict[Address, tuple[str, float]] = {}

    @property
    def suspended(self) -> tuple[str, ...]:
        """The names that get no new flows now, in order of the roster."""
        return tuple(
            name for name in self._names if self._standings_by_name[name].suspended
        )

    @property
    def waiting(self) -> bool:
        """Whether an opening waits for its answer."""
        return bool(self._pending_by_caller)

    def replace(self, names: Sequence[str], restarted: Iterable[str] = ()) -> None:
        """Set the agents that may get new flows.

        ``restarted`` names those with a new incarnation; what was seen of
        the former one says nothing of them.
        """
        fresh = set(restarted)
        former = self._standings_by_name
        self._names = tuple(names)
        self._standings_by_name = {
            name: former[name] if name in former and name not in fresh else Standing()
            for name in names
        }
        self._lift_over_cap()

    def choose(self, now: float, key: bytes) -> str | None:
        """Choose the agent for an opening, or None if there is none."""
        if not self._names:
            return None
        name = rendezvous.best(key, self._names)
        standing = self._standings_by_name[name]
        if not standing.suspended:
            return name
        if now >= standing.probe_at:
            self._plan_probe(now, standing)
            return name
        standings = self._standings_by_name
        return rendezvous.best(
            key, [other for other in self._names if not standings[other].suspended]
        )

    def opened(self, now: float, name: str, caller: Address) -> None:
        """Note that an opening of ``caller`` was sent to ``name``."""
        pending = self._pending_by_caller
        if caller in pending or len(pending) >= PENDING_LIMIT:
            return
        pending[caller] = (name, now)

    def answered(self, now: float, caller: Address) -> str | None:
        """Note an answer to ``caller``; return the agent it reinstates.

        It counts for the agent that got the opening, whoever answers: an
        agent that hands openings over is alive.
        """
        name, _ = self._pending_by_caller.pop(caller, (None, 0.0))
        standing = self._standings_by_name.get(name) if name else None
        if standing is None:
            return None
        reinstated = standing.suspended
        standing.answered = now
        standing.failed_callers.clear()
        standing.failures = 0
        standing.suspended = False
        standing.backoff = PROBE_FIRST
        return name if reinstated else None

    def expire(self, now: float) -> list[str]:
        """Judge overdue openings; return the agents newly suspended."""
        overdue = []
        for caller, (name, sent) in self._pending_by_caller.items():
            if now - sent < ANSWER_TIMEOUT:
                break
            overdue.append((caller, name))
        for caller, name in overdue:
            del self._pending_by_caller[caller]
            standing = self._standings_by_name.get(name)
            if standing is None:
                continue
            standing.failures += 1
            if len(standing.failed_callers) < CALLERS_TO_SUSPEND:
                standing.failed_callers.add(caller)
        return [name for _, name in overdue if self._suspend(now, name)]

    def _suspend(self, now: float, name: str) -> bool:
        standing = self._standings_by_name.get(name)
        if standing is None or standing.suspended:
            return False
        few_callers = len(standing.failed_callers) < CALLERS_TO_SUSPEND
        if few_callers and standing.failures < FAILURES_TO_SUSPEND:
            return False
        if not self._others_answer(now, name) or not self._below_cap():
            return False
        standing.suspended = True
        self._plan_probe(now, standing)
        return True

    def _others_answer(self, now: float, name: str) -> bool:
        # A service whose protocol never answers, or an entry that is itself
        # cut off, sees silence everywhere; suspending anyone then only
        # narrows the choice.
        return any(
            now - standing.answered < EVIDENCE_AGE
            for other, standing in self._standings_by_name.items()
            if other != name
        )

    def _below_cap(self) -> bool:
        # Without a cap, one entry with a bad path of its own would send all
        # new flows to the last agent left and overload it.
        return len(self.suspended) + 1 <= len(self._names) * SUSPENDED_SHARE

    def _lift_over_cap(self) -> None:
        suspended = list(self.suspended)
        while len(suspended) > len(self._names) * SUSPENDED_SHARE:
            self._standings_by_name[suspended.pop()].suspended = False

    def _plan_probe(self, now: float, standing: Standing) -> None:
        jitter = 1.0 + PROBE_JITTER * self._rng.random()
        standing.probe_at = now + standing.backoff * jitter
        standing.backoff = min(PROBE_LONGEST, standing.backoff * 2)
