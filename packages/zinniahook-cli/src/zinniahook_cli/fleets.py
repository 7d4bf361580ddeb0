"""All known daemons, from rosters, the store's lists and the daemons' replies."""

from __future__ import annotations

from typing import NamedTuple

from zinniahook_core.models import Address, AgentState, Member, Roster
from zinniahook_store import Store
from zinniahook_wire import documents
from zinniahook_wire.control_pb2 import StatusReply
from zinniahook_wire.documents import Daemon

from .daemons import Daemons, Survey

__all__ = ["Agent", "Fleet", "count_other_ready", "read_fleet", "read_rosters"]


class Agent(NamedTuple):
    """A roster member and its service."""

    service: str
    member: Member


class Fleet(NamedTuple):
    """A snapshot of all known daemons and their replies."""

    rosters_by_service: dict[str, Roster]
    daemons_by_name: dict[str, Daemon]
    data_centres_by_name: dict[str, str]
    controls: tuple[Address, ...]
    survey: Survey

    @property
    def agents(self) -> tuple[Agent, ...]:
        """All members of all rosters."""
        return tuple(
            Agent(service, member)
            for service, roster in sorted(self.rosters_by_service.items())
            for _, member in sorted(roster.by_name.items())
        )

    @property
    def unlisted(self) -> tuple[str, ...]:
        """Control addresses of daemons that subscribe to others but are in no list."""
        replies = self.survey.answers_by_control.values()
        known = set(map(str, self.controls))
        known.update(str(member.control) for _, member in self.agents)
        named = {control for reply in replies for control in reply.subscribers}
        return tuple(sorted(named - known))

    def reply(self, control: Address) -> StatusReply | None:
        """Return the reply of the daemon at ``control``, or None."""
        return self.survey.answers_by_control.get(control)


async def read_rosters(store: Store) -> dict[str, Roster]:
    """Read the roster of every service.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer.
    """
    rosters = {}
    for item in await store.range(documents.ROSTER_PREFIX):
        service = item.key.removeprefix(documents.ROSTER_PREFIX)
        rosters[service] = documents.roster_from_json(
            service, item.revision, item.value
        )
    return rosters


async def read_fleet(
    store: Store, daemons: Daemons, *, counters: bool = False, ask: bool = True
) -> Fleet:
    """Read the list of daemons from the store and query each of them.

    Parameters
    ----------
    store : Store
        Holds the rosters and the lists of daemons.
    daemons : Daemons
        Client for the daemons.
    counters : bool
        Whether the replies include counters.
    ask : bool
        Whether to query the daemons at all.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer.
    """
    rosters = await read_rosters(store)
    daemons_by_name: dict[str, Daemon] = {}
    data_centres = {}
    for item in await store.range(documents.DAEMONS_PREFIX):
        found = documents.daemons_from_json(item.value)
        daemons_by_name.update(found)
        centre = item.key.removeprefix(documents.DAEMONS_PREFIX)
        data_centres.update(dict.fromkeys(found, centre))
    controls = [
        member.control
        for roster in rosters.values()
        for member in roster.by_name.values()
        if member.state is not AgentState.DOWN
    ]
    controls += [daemon.control for daemon in daemons_by_name.values()]
    survey = Survey({}, ())
    if ask:
        survey = await daemons.survey(controls, counters=counters)
    addresses = tuple(dict.fromkeys(controls))
    return Fleet(rosters, daemons_by_name, data_centres, addresses, survey)


def count_other_ready(roster: Roster, leaving: set[str]) -> int:
    """Return the number of ready members that aren't in ``leaving``."""
    return sum(
        member.state is AgentState.READY
        for name, member in roster.by_name.items()
        if name not in leaving
    )
