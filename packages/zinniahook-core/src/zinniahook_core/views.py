"""What one agent may conclude about claims from the rosters it has seen.

The owner of a claim is the best ready member for its key. When ownership
moves, the new owner has no records, so it has to know whether an older claim
may exist (``fresh``) and how many members may have died with all records of
one (``losses``).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .models import AgentState, Member, Roster
from .records import KEY_LIFETIME_SECONDS
from .rendezvous import best, rank

__all__ = ["View"]

STALENESS = 30.0
"""A member may decide by a roster that is older than this agent's by so much."""

HOLDING_STATES = (AgentState.READY, AgentState.LEAVING)


@dataclass(slots=True)
class Loss:
    """A member has gone without a graceful leave.

    ``repairing`` are the members that haven't yet declared that they copied
    again what they held together with it, ``gone`` those (by name and
    incarnation) that were lost before they did: no copying makes that good.
    ``ready_since_by_name`` are the members that were ready at the time.
    """

    name: str
    incarnation: int
    at: float
    revision: int
    alone_at: float
    ready_since_by_name: dict[str, float]
    repairing: set[str]
    gone: set[tuple[str, int]] = field(default_factory=set)

    @property
    def repaired(self) -> bool:
        """Whether every record that survived has two holders again."""
        was_alone = self.alone_at > -math.inf
        return not (self.repairing or self.gone or was_alone)


class Alone(NamedTuple):
    """When and under which revision a member was last seen alone."""

    at: float
    revision: int


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
        self._seen_since = math.inf
        self._seen_by_name: dict[str, float] = {}
        self._losses: list[Loss] = []
        self._alone_by_name: dict[str, Alone] = {}
        self._declared_by_name: dict[str, int] = {}
        self._ready_since_by_name: dict[str, float] = {}

    def learn(self, now: float, roster: Roster) -> bool:
        """Take a roster; False if it isn't newer than the one held."""
        if roster.revision <= self.revision:
            return False
        self._since = min(self._since, now)
        self._seen_since = min(self._seen_since, now)
        self._note_alone(now)
        former, self.members_by_name = self.members_by_name, dict(roster.by_name)
        self.revision = roster.revision
        self.ready = self._names(AgentState.READY)
        live = self._names(*HOLDING_STATES)
        self.live = tuple(name for name in live if name != self.name)
        self._note_alone(now)
        self._note_losses(now, former)
        self._note_ready(now, former)
        for name, revision in list(self._declared_by_name.items()):
            self.declare(name, revision)
        others = (name for name in self.members_by_name if name != self.name)
        self._seen_by_name.update(dict.fromkeys(others, now))
        self._trim(now)
        return True

    def restart(self, now: float) -> None:
        """Start again: others may have been owners during a pause."""
        self._since = now

    def owner(self, key: bytes) -> str | None:
        """Return the name of the claim owner of ``key``."""
        if self.ready:
            return best(key, self.ready)
        return self.name if self.name in self.members_by_name else None

    def partners(self, key: bytes) -> list[str]:
        """Return the other ready members, best first."""
        return rank(key, (name for name in self.ready if name != self.name))

    def incarnation_of(self, name: str) -> int:
        """Return a member's incarnation, 0 if there is no such member."""
        member = self.members_by_name.get(name)
        return member.incarnation if member else 0

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
        if now - self._since < KEY_LIFETIME_SECONDS:
            return True
        seen = [
            name
            for name, at in self._seen_by_name.items()
            if now - at < KEY_LIFETIME_SECONDS or name in self.members_by_name
        ]
        return best(key, [*seen, self.name]) != self.name

    def losses(
        self, now: float, window: float, key: bytes, silent: Iterable[str] = ()
    ) -> int:
        """Count the losses within ``window`` seconds that may hide a claim.

        Two members hold each claim, so one loss hides none. A member that
        was alone held its claims by itself, so its loss counts twice.
        ``silent`` members count as lost. Of two holders one was the owner of
        ``key`` when they became its holders; if no lost member can have been
        the owner, nothing is hidden.
        """
        lost = {
            loss.name: loss.ready_since_by_name
            for loss in self._losses
            if now - loss.at < window and not loss.repaired
        }
        total = sum(
            2 if now - loss.alone_at < window else 1
            for loss in self._losses
            if now - loss.at < window and not loss.repaired
        )
        for name in silent:
            lost.setdefault(name, self._ready_since_by_name)
            total += 1
        if total <= 1:
            return total
        start = now - window
        if any(_may_have_owned(name, key, start, lost) for name in lost):
            return total
        return 1

    def covers(self, now: float, window: float) -> bool:
        """Tell whether no loss within ``window`` can have gone unseen here."""
        return now - self._seen_since >= window

    def declare(self, name: str, revision: int) -> None:
        """Note that all that ``name`` holds had two holders at ``revision``.

        Holders that were lost after that revision aside.
        """
        known = self._declared_by_name.get(name, 0)
        self._declared_by_name[name] = max(known, revision)
        if revision > self.revision:
            # The copies may be at members that this agent doesn't know of
            # yet, and so wouldn't ask. It counts once the roster is here.
            return
        for loss in self._losses:
            if revision >= loss.revision:
                loss.repairing.discard(name)
        alone = self._alone_by_name.get(name)
        if alone is not None and revision > alone.revision:
            del self._alone_by_name[name]

    def remember(self, name: str, since: int) -> None:
        """Note that ``name`` kept its records from incarnation ``since`` on.

        It was paused or cut off, not dead, so its losses since are none.
        """
        self._losses = [
            loss
            for loss in self._losses
            if loss.name != name or loss.incarnation < since
        ]
        for loss in self._losses:
            back = {gone for gone in loss.gone if gone[0] == name and gone[1] >= since}
            if back:
                loss.gone -= back
                loss.repairing.add(name)

    def _names(self, *states: AgentState) -> tuple[str, ...]:
        return tuple(
            name
            for name, member in self.members_by_name.items()
            if member.state in states
        )

    def _note_alone(self, now: float) -> None:
        alone = self.ready or self._names(*HOLDING_STATES)
        if len(alone) == 1 or not self.ready:
            seen = Alone(now, self.revision)
            self._alone_by_name.update(dict.fromkeys(alone, seen))

    def _note_losses(self, now: float, former: dict[str, Member]) -> None:
        lost = {name for name, member in former.items() if self._is_lost(member)}
        left = {name for name in former if name not in self.members_by_name} - lost
        for loss in self._losses:
            loss.repairing -= left
        if not lost:
            return
        ids = {(name, former[name].incarnation) for name in lost}
        # One that is lost while it still had to copy what it held with an
        # earlier loss takes the last copy along: both losses stay.
        cut_short = {
            (loss.name, loss.incarnation)
            for loss in self._losses
            if loss.repairing & lost
        }
        for loss in self._losses:
            loss.gone |= {entry for entry in ids if entry[0] in loss.repairing}
            loss.repairing -= lost
        for name, incarnation in ids:
            alone = self._alone_by_name.get(name, Alone(-math.inf, 0))
            gone = (ids | cut_short) - {(name, incarnation)}
            repairing = {*self.live, self.name} - lost
            loss = Loss(
                name,
                incarnation,
                now,
                self.revision,
                alone.at,
                dict(self._ready_since_by_name),
                repairing,
                gone,
            )
            self._losses.append(loss)

    def _note_ready(self, now: float, former: dict[str, Member]) -> None:
        kept = {
            name: since
            for name, since in self._ready_since_by_name.items()
            if self.incarnation_of(name) == former[name].incarnation
        }
        self._ready_since_by_name = {name: kept.get(name, now) for name in self.ready}

    def _is_lost(self, member: Member) -> bool:
        if member.state not in HOLDING_STATES:
            return False
        new = self.members_by_name.get(member.name)
        if new is None:
            return member.state is AgentState.READY
        return new.state is AgentState.DOWN or new.incarnation != member.incarnation

    def _trim(self, now: float) -> None:
        oldest = now - 2 * KEY_LIFETIME_SECONDS
        self._losses = [loss for loss in self._losses if loss.at > oldest]
        self._seen_by_name = {
            name: at for name, at in self._seen_by_name.items() if at > oldest
        }
        self._alone_by_name = {
            name: alone
            for name, alone in self._alone_by_name.items()
            if alone.at > oldest
        }


def _may_have_owned(
    name: str, key: bytes, start: float, lost: Mapping[str, Mapping[str, float]]
) -> bool:
    """Tell whether ``name`` may have been the owner of ``key`` after ``start``.

    It was not if a member that wasn't lost, and was ready all the time from
    ``start`` to the loss of ``name``, is better for the key.
    """
    steady = [
        other
        for other, since in lost[name].items()
        if other not in lost and since <= start - STALENESS
    ]
    return best(key, [*steady, name]) == name
