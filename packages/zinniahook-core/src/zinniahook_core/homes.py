"""Which agent is the home of a plain UDP flow, now and a moment ago.

The home is the best rank among the ready agents. It serializes the opening of
its flows, so that packets that arrive by two entries open a flow once.
"""

from __future__ import annotations

from typing import NamedTuple

from . import rendezvous
from .models import AgentState, Member, Roster, Service
from .routing import may_serve

__all__ = ["Home", "Homes"]

OVERLAP_SECONDS = 30.0


class Home(NamedTuple):
    """An agent as a home; a new incarnation has forgotten its pointers."""

    name: str
    incarnation: int


class FormerCandidates(NamedTuple):
    """The ready agents of a roster that was replaced at ``until``."""

    until: float
    ready: tuple[str, ...]


class Homes:
    """Ranks the agents of one service as this agent's roster has them.

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
        """Whether any roster was learned yet."""
        return self._roster is not None

    @property
    def is_ready(self) -> bool:
        """Whether this agent may take new work by its roster."""
        return self.name in self.ready

    def update(self, now: float, roster: Roster, service: Service | None) -> None:
        """Take a roster, or the same one under changed rules."""
        members = roster.by_name.values()
        live = [member for member in members if member.state is not AgentState.DOWN]
        ready = tuple(
            member.name
            for member in live
            if member.state is AgentState.READY
            and (service is None or may_serve(service, member))
        )
        if self._roster is None:
            # Without a history, an agent that has just started can't know
            # that it was not the home before; it must ask.
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
        """Return the home of ``flow``, or None if nobody is ready."""
        if not self.ready:
            return None
        name = rendezvous.best(flow, self.ready)
        return Home(name, self._members_by_name[name].incarnation)

    def is_home(self, flow: bytes) -> bool:
        """Tell whether this agent is the home of ``flow``."""
        return bool(self.ready) and rendezvous.best(flow, self.ready) == self.name

    def had_other_home(self, now: float, flow: bytes) -> bool:
        """Tell whether another agent was the home within the overlap window.

        Rosters reach agents and entries at different times; the window is
        many times the few seconds that this takes.
        """
        return any(
            former.ready and rendezvous.best(flow, former.ready) != self.name
            for former in self._former_candidates
            if now - former.until < OVERLAP_SECONDS
        )

    def others(self, flow: bytes, width: int) -> tuple[str, ...]:
        """Return the ``width`` best ranked others that are not down."""
        names = [name for name in self._members_by_name if name != self.name]
        return tuple(rendezvous.rank(flow, names)[:width])

    def is_live(self, name: str, incarnation: int) -> bool:
        """Tell whether this incarnation of ``name`` is known and not down."""
        member = self._members_by_name.get(name)
        return member is not None and member.incarnation <= incarnation

    def incarnation(self, name: str) -> int | None:
        """Return the incarnation of an agent that is not down."""
        member = self._members_by_name.get(name)
        return None if member is None else member.incarnation
