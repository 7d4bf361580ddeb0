"""Waits until a generation is in force everywhere, by the daemons' own answers."""

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
"""Seconds between two questions to the daemons that lag."""

ROSTER_READ_INTERVAL_SECONDS = 2.0
"""Seconds between two reads of the rosters while daemons lag."""


async def wait_until_in_force(context: Context, generation: int) -> Answer:
    """Ask the daemons until each has the generation in force.

    Gives up after the operator's patience and names those that lag, from their
    own answers: what the store holds says nothing of what has arrived.
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
    """Asks the daemons again and again, but only those that lagged.

    No daemon goes back, so one that has the generation needn't be asked again;
    among thousands only the few that lag cost more than one call.
    """

    def __init__(self, context: Context, generation: int) -> None:
        self._context = context
        self._generation = generation
        self._fleet: Fleet | None = None
        self._read_at = -float("inf")
        self._done: dict[Address, StatusReply] = {}

    async def poll(self) -> Progress | None:
        """Return how far the generation is; None if no daemon is known."""
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
        """Read now and then who there is; keep to what is known in an outage.

        Otherwise an outage just after a commit would turn the answer
        "committed" into an error, and the operator would make it again.
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
        return (
            f"generation {generation}: the store doesn't tell which daemons there are"
        )
    total = len(found.in_force) + len(found.lagging)
    line = f"generation {found.generation}: in force on {len(found.in_force)} of "
    line += f"{total} daemons"
    if found.lagging:
        line += f"; lagging: {', '.join(found.lagging)}"
    return line
