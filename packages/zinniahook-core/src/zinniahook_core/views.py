"""What one agent may conclude about claims from the rosters it has seen.

The owner of a claim is the best ready member for its key. When ownership
moves, the new owner has no records, so it has to know whether an older claim
may exist (``fresh``) and how many holders of records may have died with them
(``losses``).
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .models import AgentState, Member, Roster
from .records import KEY_LIFETIME
from .rendezvous import best, rank

__all__ = ["View"]

HOLDING_STATES = (AgentState.READY, AgentState.LEAVING)


class Loss(NamedTuple):
    """A member left the roster without a graceful leave.

    ``alone_at`` is when it last was the only member to hold claims.
    """

    at: float
    alone_at: float


class View:
    """The members of a service as one agent has seen them lately.

    Parameters
    ----------
    name : str
        The agent's own name.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 0
        self.revision = 0
        self.members_by_name: dict[str, Member] = {}
        self.ready: tuple[str, ...] = ()
        self.live: tuple[str, ...] = ()
        self._since = math.inf
        self._seen_by_name: dict[str, float] = {}
        self._losses: list[Loss] = []
        self._sole_by_name: dict[str, float] = {}

    def learn(self, now: float, roster: Roster) -> bool:
        """Take a roster; False if it isn't newer than the one held."""
        if roster.revision <= self.revision:
            return False
        if self._since == math.inf:
            self._since = now
        self._note_alone(now)
        former, self.members_by_name = self.members_by_name, dict(roster.by_name)
        self.revision = roster.revision
        self._note_losses(now, former)
        self.ready = self._names(AgentState.READY)
        live = self._names(*HOLDING_STATES)
        self.live = tuple(name for name in live if name != self.name)
        others = (name for name in self.members_by_name if name != self.name)
        self._seen_by_name.update(dict.fromkeys(others, now))
        self._note_alone(now)
        self._trim(now)
        own = self.members_by_name.get(self.name)
        if own is not None and own.incarnation > self.incarnation:
            self.incarnation = own.incarnation
        return True

    def restart(self, now: float, incarnation: int) -> None:
        """Start again: what happened during a pause is unknown."""
        self.incarnation = incarnation
        self._since = now

    def owner(self, key: bytes) -> str | None:
        """Return the name of the claim owner of ``key``."""
        if self.ready:
            return best(key, self.ready)
        return self.name if self.name in self.members_by_name else None

    def partners(self, key: bytes) -> list[str]:
        """Return the other ready members, best first."""
        return rank(key, (name for name in self.ready if name != self.name))

    def current(self, name: str, incarnation: int) -> bool:
        """Tell whether a member lives and still has this incarnation."""
        member = self.members_by_name.get(name)
        if member is None or member.state is AgentState.DOWN:
            return False
        return member.incarnation == incarnation

    def valid(self, name: str, incarnation: int) -> bool:
        """Tell whether a message of a member may be acted on.

        The member may know a newer incarnation of itself than the roster.
        """
        member = self.members_by_name.get(name)
        if member is None or member.state is AgentState.DOWN:
            return False
        return member.incarnation <= incarnation

    def fresh(self, now: float, key: bytes) -> bool:
        """Tell whether another member may have owned ``key`` lately.

        Every member seen within the lifetime of a key counts, in whatever
        state: one that was ready only between two rosters seen here counts.
        """
        if now - self._since < KEY_LIFETIME:
            return True
        seen = [
            name
            for name, at in self._seen_by_name.items()
            if now - at < KEY_LIFETIME or name in self.members_by_name
        ]
        return best(key, [*seen, self.name]) != self.name

    def losses(self, now: float, window: float) -> int:
        """Count the losses within ``window`` seconds that may hide a claim.

        Two members hold each claim, so one loss hides none. A member that
        was alone held its claims by itself, so its loss counts twice.
        """
        recent = [loss for loss in self._losses if now - loss.at < window]
        return sum(2 if now - loss.alone_at < window else 1 for loss in recent)

    def healed(self, name: str) -> None:
        """Note that ``name`` holds no record alone any more."""
        if len(self.ready) > 1:
            self._sole_by_name.pop(name, None)

    def _names(self, *states: AgentState) -> tuple[str, ...]:
        return tuple(
            name
            for name, member in self.members_by_name.items()
            if member.state in states
        )

    def _note_alone(self, now: float) -> None:
        alone = self.ready or self._names(*HOLDING_STATES)
        if len(alone) == 1 or not self.ready:
            self._sole_by_name.update(dict.fromkeys(alone, now))

    def _note_losses(self, now: float, former: dict[str, Member]) -> None:
        first = not former
        for name, member in (self.members_by_name if first else former).items():
            if self._is_lost(name, member, first):
                alone_at = self._sole_by_name.get(name, -math.inf)
                self._losses.append(Loss(now, alone_at))

    def _is_lost(self, name: str, member: Member, first: bool) -> bool:
        if first:
            return member.state is AgentState.DOWN
        if member.state not in HOLDING_STATES:
            return False
        new = self.members_by_name.get(name)
        if new is None:
            return member.state is AgentState.READY
        return new.state is AgentState.DOWN or new.incarnation != member.incarnation

    def _trim(self, now: float) -> None:
        oldest = now - 2 * KEY_LIFETIME
        self._losses = [entry for entry in self._losses if entry.at > oldest]
        self._seen_by_name = {
            name: at for name, at in self._seen_by_name.items() if at > oldest
        }
        self._sole_by_name = {
            name: at for name, at in self._sole_by_name.items() if at > oldest
        }
