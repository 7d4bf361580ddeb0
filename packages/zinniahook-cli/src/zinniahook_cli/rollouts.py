"""Commits in stages, and waits until a generation is in force everywhere."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from zinniahook_core import configuration
from zinniahook_core.codes import Code
from zinniahook_core.configuration import Document
from zinniahook_store import configurations
from zinniahook_store.configurations import Committed, Outcome, Refused, Stage, Stored

from .answers import Answer, Status
from .changes import changed_settings
from .daemons import Progress, progress
from .fleets import Fleet, read_fleet

if TYPE_CHECKING:
    from .sessions import Session

__all__ = ["Broken", "broken_flows", "commit", "stages", "until_everywhere"]

LOOK_EVERY = 0.25
"""Seconds between two questions to the daemons that lag."""

BROKEN_COUNTERS = ("flows.broken", "requests.broken")
OPENED_COUNTERS = ("flows.opened", "requests.arrived")
MIN_OPENED = 20
"""Flows below which one broken flow says nothing about the change."""


class Broken(NamedTuple):
    """Flows opened and broken, as the daemons counted them."""

    opened: int
    broken: int

    def since(self, earlier: Broken) -> float:
        """Return the share of flows that broke since ``earlier``."""
        opened = self.opened - earlier.opened
        broken = max(0, self.broken - earlier.broken)
        return broken / max(opened, broken, MIN_OPENED)


async def until_everywhere(
    session: Session, generation: int, within: Stage | None = None
) -> Answer:
    """Ask the daemons until each has the generation in force.

    Gives up after the session's patience and names those that lag, from their
    own answers: what the store holds says nothing of what has arrived.
    """
    deadline = time.monotonic() + session.settings.patience
    said: Progress | None = None
    while True:
        fleet = await read_fleet(session.store, session.daemons)
        found = _progress(generation, fleet, within)
        if found != said:
            session.say(_line(found))
            said = found
        if found.everywhere or time.monotonic() >= deadline:
            break
        await asyncio.sleep(LOOK_EVERY)
    return Answer(
        _line(found),
        facts={"in_force": list(found.in_force), "lagging": list(found.lagging)},
        status=Status.OK if found.everywhere else Status.UNFINISHED,
    )


async def commit(
    session: Session,
    base: Stored,
    document: Document,
    author: str,
    operation: str,
    *,
    take_over: bool = False,
) -> Outcome:
    """Commit everywhere at once, or in stages if a risky setting changes."""
    plan = [] if take_over else await _plan(session, base, document)
    if not plan:
        return await configurations.commit(
            session.store, base, document, author, operation, take_over=take_over
        )
    first, *later = plan
    before = await broken_flows(session)
    outcome = await configurations.commit(
        session.store, base, document, author, operation, stage=first
    )
    if not isinstance(outcome, Committed):
        return outcome
    for stage in [*later, None]:
        stopped = await _watched(session, base, outcome.generation, before)
        if stopped is not None:
            return await _take_back(session, base, author, stopped)
        moved = await configurations.move_stage(
            session.store, outcome.generation, stage
        )
        if not isinstance(moved, Committed):
            return moved
        session.say(f"rollout: {_where(stage)}")
    return outcome


def stages(
    order: Iterable[str], instances: list[str], data_centres: list[str], previous: int
) -> list[Stage]:
    """Return the stages before the last one, which is everywhere."""
    found = []
    stage = Stage(previous)
    for name in order:
        if name == "instance" and instances:
            # A stage includes the earlier ones: no daemon may go back.
            stage = stage._replace(instances=(instances[0],))
            found.append(stage)
        elif name == "data-centre" and len(data_centres) > 1:
            stage = stage._replace(data_centres=(data_centres[0],))
            found.append(stage)
    return found


async def broken_flows(session: Session) -> Broken:
    """Add up what the daemons count as opened and broken."""
    fleet = await read_fleet(session.store, session.daemons, counters=True)
    opened = broken = 0
    for reply in fleet.survey.answers_by_control.values():
        counters = reply.counters_by_name
        opened += sum(counters.get(name, 0) for name in OPENED_COUNTERS)
        broken += sum(counters.get(name, 0) for name in BROKEN_COUNTERS)
    return Broken(opened, broken)


async def _plan(session: Session, base: Stored, document: Document) -> list[Stage]:
    rollout = document.rollout
    risky = set(rollout.risky)
    services = {
        name
        for name, key in changed_settings(base.document, document)
        if key in risky and name in base.document.services_by_name
    }
    if not services or base.generation == 0:
        return []
    fleet = await read_fleet(session.store, session.daemons)
    replies = fleet.survey.answers_by_control.values()
    serving = [reply for reply in replies if reply.service in services]
    chosen = serving or list(replies)
    return stages(
        rollout.stages,
        sorted(reply.name for reply in chosen),
        sorted({reply.data_centre for reply in chosen}),
        base.generation,
    )


async def _watched(
    session: Session, base: Stored, generation: int, before: Broken
) -> str | None:
    """Watch one stage; return why it must stop, or None."""
    rollout = base.document.rollout
    deadline = time.monotonic() + rollout.pause
    while True:
        share = (await broken_flows(session)).since(before)
        if share > rollout.broken_flows:
            return (
                f"{share:.2%} of flows broke since generation {generation}, "
                f"{rollout.broken_flows:.2%} are allowed"
            )
        left = deadline - time.monotonic()
        if left <= 0:
            return None
        await asyncio.sleep(min(LOOK_EVERY, left))


async def _take_back(
    session: Session, base: Stored, author: str, reason: str
) -> Outcome:
    """Commit the old content anew: a lower generation would not be taken."""
    session.say(f"rollout stopped: {reason}")
    now = await configurations.read(session.store)
    operation = configurations.new_operation()
    document = configuration.retire(base.document, now.document)
    outcome = await configurations.commit(
        session.store, now, document, author, operation, take_over=True
    )
    if isinstance(outcome, Committed):
        reason += f"; generation {outcome.generation} has the old content"
    return Refused(Code.ROLLOUT_STOPPED, reason)


def _progress(generation: int, fleet: Fleet, within: Stage | None) -> Progress:
    if within is None:
        return progress(generation, fleet.survey, fleet.unlisted)
    answers = {
        control: reply
        for control, reply in fleet.survey.answers_by_control.items()
        if reply.name in within.instances or reply.data_centre in within.data_centres
    }
    return progress(generation, fleet.survey._replace(answers_by_control=answers))


def _line(found: Progress) -> str:
    total = len(found.in_force) + len(found.lagging)
    line = f"generation {found.generation}: in force on {len(found.in_force)} of "
    line += f"{total} daemons"
    if found.lagging:
        line += f"; lagging: {', '.join(found.lagging)}"
    return line


def _where(stage: Stage | None) -> str:
    if stage is None:
        return "everywhere"
    return f"on {', '.join((*stage.instances, *stage.data_centres))}"
