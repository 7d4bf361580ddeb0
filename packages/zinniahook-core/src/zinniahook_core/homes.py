"""Current and recent homes of plain UDP flows.

The home of a flow is the highest ranked ready agent. It serializes the opening of
its flows, so a flow whose packets arrive through two entries is opened only once.
"""

from __future__ import annotations

from typing import NamedTuple

from . import rendezvous
from .models import AgentState, Member, Roster, Service
from .routing import may_serve

__all__ = ["Home", "Homes"]

OVERLAP_SECONDS = 30.0
"""How long after a roster change the former home is still considered."""


class Home(NamedTuple):
    """An agent as a home. A new incarnation has lost its pointers."""

    name: str
    incarnation: int


class FormerCandidates(NamedTuple):
    """The ready agents of a roster that was replaced at ``until``."""

    until: float
    ready: tuple[str, ...]


class Homes:
    """Ranks the agents of one service by this agent's roster.

    Parameters
    ----------
    name : str
        This agent's own name.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.epoch = 0
        self.ready: tuple[str, ...] = ()
        self._roster: Roster | None = None
        self._members_by_name: dict[str, Member] = {}
        self._former_candidates: list[FormerCandidates] = []

    @property
    def is_known(self) -> bool:
        """Whether a roster is known."""
        return self._roster is not None

    @property
    def is_ready(self) -> bool:
        """Whether this agent may accept new work according to its roster."""
        return self.name in self.ready

    def update(self, now: float, roster: Roster, service: Service | None) -> None:
        """Adopt a roster, or the same roster under changed service rules."""
        members = roster.by_name.values()
        live = [member for member in members if member.state is not AgentState.DOWN]
        ready = tuple(
            member.name
            for member in live
            if member.state is AgentState.READY
            and (service is None or may_serve(service, member))
        )
        if self._roster is None:
            # An agent that has just started has no history and can't tell whether
            # another agent was the home before. It must ask.
            others = tuple(name for name in ready if name != self.name)
            self._former_candidates.append(FormerCandidates(now, others))
        elif set(ready) != set(self.ready):
            self._former_candidates.append(FormerCandidates(now, self.ready))
        self._former_candidates = [
            item
            for item in self._former_candidates
            if now - item.until < OVERLAP_SECONDS
        ]
        self._roster = roster
        self._members_by_name = {member.name: member for member in live}
        self.ready = ready
        self.epoch += 1

    def home(self, flow: bytes) -> Home | None:
        """Return the home of ``flow``, or None if no agent is ready."""
        if not self.ready:
            return None
        name = rendezvous.best(flow, self.ready)
        return Home(name, self._members_by_name[name].incarnation)

    def is_home(self, flow: bytes) -> bool:
        """Return whether this agent is the home of ``flow``."""
        return bool(self.ready) and rendezvous.best(flow, self.ready) == self.name

    def had_other_home(self, now: float, flow: bytes) -> bool:
        """Return whether another agent was the home within the overlap window.

        Rosters reach agents and entries at different times, up to a few seconds
        apart. The window is many times longer.
        """
        return any(
            former.ready and rendezvous.best(flow, former.ready) != self.name
            for former in self._former_candidates
            if now - former.until < OVERLAP_SECONDS
        )

    def others(self, flow: bytes, width: int) -> tuple[str, ...]:
        """Return the ``width`` highest ranked other agents that aren't down."""
        names = [name for name in self._members_by_name if name != self.name]
        return tuple(rendezvous.rank(flow, names)[:width])

    def is_live(self, name: str, incarnation: int) -> bool:
        """Return whether this incarnation of ``name`` is known and not down."""
        member = self._members_by_name.get(name)
        return member is not None and member.incarnation <= incarnation

    def incarnation(self, name: str) -> int | None:
        """Return the incarnation of an agent, or None if it is unknown or down."""
        member = self._members_by_name.get(name)
        return None if member is None else member.incarnation
