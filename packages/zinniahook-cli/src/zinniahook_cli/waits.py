"""Waiting until every daemon reports a generation as in force."""

from __future__ import annotations

import asyncio
import time

from zinniahook_core.models import Address
from zinniahook_store import StoreError
from zinniahook_wire.control_pb2 import StatusReply

from .answers import Answer, Status
from .contexts import Context
from .daemons import Progress, Survey, progress
from .fleets import Fleet, read_fleet

__all__ = ["wait_until_in_force"]

POLL_INTERVAL_SECONDS = 0.25
"""Seconds between two status requests to the lagging daemons."""

ROSTER_READ_INTERVAL_SECONDS = 2.0
"""Seconds between two reads of the rosters while daemons lag."""


async def wait_until_in_force(context: Context, generation: int) -> Answer:
    """Poll the daemons until each has the generation in force.

    After the ``patience`` of the settings, return an unfinished answer that names
    the lagging daemons. Only their own replies count, as the store doesn't show
    what has reached the daemons.
    """
    deadline = time.monotonic() + context.settings.patience
    poller = _ProgressPoller(context, generation)
    line = ""
    while True:
        found = await poller.poll()
        if line != _line(generation, found):
            line = _line(generation, found)
            context.on_progress(line)
        done = found is not None and found.everywhere
        if done or time.monotonic() >= deadline:
            break
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    data = {"in_force": [], "lagging": []}
    if found is not None:
        data = {"in_force": list(found.in_force), "lagging": list(found.lagging)}
    status = Status.OK if done else Status.UNFINISHED
    return Answer(line, data=data, status=status)


class _ProgressPoller:
    """Polls the daemons that don't have the generation in force yet.

    Daemons never go back to an older generation, so each is polled only until it
    has the generation. Among thousands, only the few that lag cost more than one
    call.
    """

    def __init__(self, context: Context, generation: int) -> None:
        self._context = context
        self._generation = generation
        self._fleet: Fleet | None = None
        self._read_at = -float("inf")
        self._done: dict[Address, StatusReply] = {}

    async def poll(self) -> Progress | None:
        """Return the progress; None if the list of daemons was never read."""
        await self._read()
        fleet = self._fleet
        if fleet is None:
            return None
        waiting = [control for control in fleet.controls if control not in self._done]
        survey = await self._context.daemons.survey(waiting)
        for control, reply in survey.answers_by_control.items():
            if reply.generation >= self._generation:
                self._done[control] = reply
        known = {
            control: self._done[control]
            for control in fleet.controls
            if control in self._done
        }
        answers = {**survey.answers_by_control, **known}
        self._fleet = fleet._replace(survey=Survey(answers, survey.unanswered))
        return progress(self._generation, self._fleet.survey, self._fleet.unlisted)

    async def _read(self) -> None:
        """Refresh the list of daemons at intervals; keep it during a store outage.

        Otherwise an outage just after a commit would turn the answer
        "committed" into an error, and the operator would repeat the change.
        """
        if time.monotonic() - self._read_at < ROSTER_READ_INTERVAL_SECONDS:
            return
        try:
            self._fleet = await read_fleet(
                self._context.store, self._context.daemons, ask=False
            )
        except StoreError:
            return
        self._read_at = time.monotonic()


def _line(generation: int, found: Progress | None) -> str:
    if found is None:
        return f"generation {generation}: the store doesn't return the list of daemons"
    total = len(found.in_force) + len(found.lagging)
    line = f"generation {found.generation}: in force on {len(found.in_force)} of "
    line += f"{total} daemons"
    if found.lagging:
        line += f"; lagging: {', '.join(found.lagging)}"
    return line
