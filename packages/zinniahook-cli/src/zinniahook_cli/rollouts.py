"""Commits to all daemons at once, or in monitored stages."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from zinniahook_core import configuration
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import Document
from zinniahook_store import configurations
from zinniahook_store.configurations import Committed, Outcome, Refused, Stage, Stored

from .changes import changed_settings
from .contexts import Context
from .fleets import read_fleet

__all__ = [
    "Paused",
    "Traffic",
    "failure_share",
    "commit",
    "read_traffic",
    "stages",
]

WATCH_INTERVAL_SECONDS = 1.0
"""Seconds between two readings of the counters during a stage."""

DROPPED_COUNTERS = tuple(
    f"entry.dropped.{code.name}"
    for code in (
        Code.CONNECTION_ID_UNKNOWN,
        Code.SERVICE_MISMATCH,
        Code.NO_AGENT,
        Code.SERVICE_UNKNOWN,
        Code.INCARNATION_STALE,
    )
)
FORWARDED_COUNTERS = ("entry.to_agents",)
UNKNOWN_COUNTERS = ("agent.outcome.unknown",)
REQUEST_COUNTERS = ("agent.requests",)
MIN_EVENT_COUNT = 1000
"""Smallest divisor of a failure share: with fewer datagrams or requests, a few
failures say nothing about the change."""


class Traffic(NamedTuple):
    """A daemon's counts of datagrams, requests and unknown outcomes."""

    forwarded: int
    dropped: int
    requests: int
    unknown: int
    data_centre: str = ""


TrafficByName = dict[str, Traffic]


@dataclass(frozen=True, slots=True)
class Paused:
    """A rollout that stopped with a generation in force in some stages only."""

    generation: int
    previous: int
    reason: str


def failure_share(before: TrafficByName, now: TrafficByName) -> float:
    """Return the larger of the shares of dropped datagrams and unknown requests.

    Daemons missing from either reading are ignored. The counters of a daemon that
    was restarted in between begin at 0 again and never count as negative.
    """
    sums = [0, 0, 0, 0]
    for name in before.keys() & now.keys():
        for position in range(len(sums)):
            sums[position] += max(0, now[name][position] - before[name][position])
    delta = Traffic(*sums)
    datagrams = delta.forwarded + delta.dropped
    return max(
        delta.dropped / max(datagrams, MIN_EVENT_COUNT),
        delta.unknown / max(delta.requests, MIN_EVENT_COUNT),
    )


async def commit(
    context: Context,
    base: Stored,
    document: Document,
    author: str,
    operation: str,
    *,
    take_over: bool = False,
) -> Outcome | Paused:
    """Commit to all daemons at once, or in stages if a risky setting changes.

    Parameters
    ----------
    context : Context
        The store, daemons and settings to use.
    base : Stored
        The generation that the change is based on.
    document : Document
        The new configuration.
    author : str
        Name of the operator.
    operation : str
        Id of the commit, by which a lost answer can be settled.
    take_over : bool
        Whether to end a rollout in progress and to commit without stages.

    Returns
    -------
    Outcome or Paused
        Paused if the rollout stopped at a stage.
    """
    plan = [] if take_over else await _plan(context, base, document)
    if not plan:
        return await configurations.commit(
            context.store, base, document, author, operation, take_over=take_over
        )
    first = plan[0]
    before = await read_traffic(context)
    outcome = await configurations.commit(
        context.store, base, document, author, operation, stage=first
    )
    if not isinstance(outcome, Committed):
        return outcome
    context.on_progress(f"rollout: {_describe(first)}")
    try:
        return await _advance_stages(context, base, author, outcome, plan, before)
    except ZinniahookError as error:
        # An error alone would hide that the change is already in force in part.
        return Paused(outcome.generation, base.generation, str(error))


async def _advance_stages(
    context: Context,
    base: Stored,
    author: str,
    committed: Committed,
    plan: list[Stage],
    before: TrafficByName,
) -> Outcome | Paused:
    """Advance through the stages, or revert the change if one fails."""
    generation = committed.generation
    current, *later = [*plan, None]
    for stage in later:
        stopped = await _watch_stage(context, base, generation, before, current)
        if stopped is not None:
            return await _revert(context, base, author, generation, stopped)
        moved = await configurations.move_stage(context.store, generation, stage)
        if not isinstance(moved, Committed):
            reason = getattr(moved, "reason", "the store's answer was lost")
            return Paused(generation, base.generation, reason)
        context.on_progress(f"rollout: {_describe(stage)}")
        current = stage
    return committed


def stages(
    order: Iterable[str], instances: list[str], data_centres: list[str], previous: int
) -> list[Stage]:
    """Return the stages that precede the rollout to all daemons.

    Parameters
    ----------
    order : iterable of str
        Kinds of stages: "instance" or "data-centre"; others are ignored.
    instances, data_centres : list of str
        Candidates; each stage uses the first name.
    previous : int
        The generation that stays in force on the other daemons.
    """
    found = []
    stage = Stage(previous)
    for name in order:
        if name == "instance" and instances:
            # A stage includes the earlier ones, as no daemon may go back.
            stage = stage._replace(instances=(instances[0],))
            found.append(stage)
        elif name == "data-centre" and len(data_centres) > 1:
            stage = stage._replace(data_centres=(data_centres[0],))
            found.append(stage)
    return found


async def read_traffic(context: Context) -> TrafficByName:
    """Return the traffic counters of every daemon that answers.

    Raises
    ------
    StoreError
        If the store doesn't answer.
    """
    fleet = await read_fleet(context.store, context.daemons, counters=True)
    groups = (FORWARDED_COUNTERS, DROPPED_COUNTERS, REQUEST_COUNTERS, UNKNOWN_COUNTERS)
    return {
        reply.name: Traffic(
            *(
                sum(reply.counters_by_name.get(name, 0) for name in names)
                for names in groups
            ),
            reply.data_centre,
        )
        for reply in fleet.survey.answers_by_control.values()
    }


async def _plan(context: Context, base: Stored, document: Document) -> list[Stage]:
    rollout = document.rollout
    risky = set(rollout.risky)
    services = {
        name
        for name, key in changed_settings(base.document, document)
        if key in risky and name in base.document.services_by_name
    }
    if not services or base.generation == 0:
        return []
    fleet = await read_fleet(context.store, context.daemons)
    if fleet.survey.unanswered and not fleet.survey.answers_by_control:
        raise ZinniahookError(
            "no daemon answers, so a risky change can't be monitored", Code.NOT_READY
        )
    replies = [
        reply
        for reply in fleet.survey.answers_by_control.values()
        if reply.role == "entry" or reply.service in services
    ]
    # An entry goes first: it shows failures soonest, and callers can use others.
    replies.sort(key=lambda reply: (reply.role != "entry", reply.name))
    return stages(
        rollout.stages,
        [reply.name for reply in replies],
        sorted({reply.data_centre for reply in replies}),
        base.generation,
    )


async def _watch_stage(
    context: Context,
    base: Stored,
    generation: int,
    before: TrafficByName,
    stage: Stage,
) -> str | None:
    """Monitor a stage; return why the rollout must stop, or None."""
    rollout = base.document.rollout
    deadline = time.monotonic() + rollout.pause
    while True:
        now = await read_traffic(context)
        # One instance among thousands hardly changes the share of all of them, so
        # the stage is also checked alone.
        share = max(
            failure_share(before, now),
            failure_share(before, _traffic_in_stage(stage, now)),
        )
        if share > rollout.broken_flows:
            return (
                f"{share:.2%} of datagrams or requests failed since generation "
                f"{generation} began, {rollout.broken_flows:.2%} are allowed"
            )
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return None
        await asyncio.sleep(min(WATCH_INTERVAL_SECONDS, remaining))


def _traffic_in_stage(stage: Stage, traffic_by_name: TrafficByName) -> TrafficByName:
    return {
        name: traffic
        for name, traffic in traffic_by_name.items()
        if name in stage.instances or traffic.data_centre in stage.data_centres
    }


async def _revert(
    context: Context, base: Stored, author: str, generation: int, reason: str
) -> Outcome | Paused:
    """Commit the old content as a new generation; daemons ignore a lower one."""
    context.on_progress(f"rollout stopped: {reason}")
    now = await configurations.read(context.store)
    operation = configurations.new_operation()
    document = configuration.retire(base.document, now.document)
    outcome = await configurations.commit(
        context.store, now, document, author, operation, take_over=True
    )
    if not isinstance(outcome, Committed):
        reason = f"{reason}; reverting it failed: {outcome}"
        return Paused(generation, base.generation, reason)
    reason += f"; generation {outcome.generation} has the old content"
    return Refused(Code.ROLLOUT_STOPPED, reason)


def _describe(stage: Stage | None) -> str:
    if stage is None:
        return "everywhere"
    return f"on {', '.join((*stage.instances, *stage.data_centres))}"
