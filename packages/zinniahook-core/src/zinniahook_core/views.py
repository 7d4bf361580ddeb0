"""Conclusions about claims from the rosters that one agent has seen.

The owner of a claim is the highest ranked ready member for its key. When ownership
moves, the new owner has no records. It must know whether an older claim may exist
(``may_have_moved``) and how many members may have died with all records of a claim
(``losses``).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .models import AgentState, Member, Roster
from .records import KEY_LIFETIME_SECONDS
from .rendezvous import best, rank

__all__ = ["MembershipView"]

MAX_STALENESS_SECONDS = 30.0
"""How much older than this agent's roster another member's roster may be."""

HOLDING_STATES = (AgentState.READY, AgentState.LEAVING)
"""States in which a member holds records."""


@dataclass(slots=True)
class Loss:
    """A member that left without a graceful drain.

    ``repairing`` are the members that haven't yet declared new copies of the
    records that they held together with it. ``gone`` are those, by name and
    incarnation, that were lost before they did, which no copying can repair.
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
        """Whether every surviving record has two holders again."""
        was_alone = self.alone_at > -math.inf
        return not (self.repairing or self.gone or was_alone)


class LastAlone(NamedTuple):
    """The time and revision at which a member was last seen alone."""

    at: float
    revision: int


class MembershipView:
    """The members of a service as one agent has recently seen them.

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
        self._observing_since = math.inf
        self._first_roster_at = math.inf
        self._seen_by_name: dict[str, float] = {}
        self._losses: list[Loss] = []
        self._alone_by_name: dict[str, LastAlone] = {}
        self._declared_by_name: dict[str, int] = {}
        self._ready_since_by_name: dict[str, float] = {}

    def learn(self, now: float, roster: Roster) -> bool:
        """Adopt a roster and return whether it is newer than the current one."""
        if roster.revision <= self.revision:
            return False
        self._observing_since = min(self._observing_since, now)
        self._first_roster_at = min(self._first_roster_at, now)
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
        """Start observing again, since others may have been owners during a pause."""
        self._observing_since = now

    def owner(self, key: bytes) -> str | None:
        """Return the name of the claim owner of ``key``."""
        if self.ready:
            return best(key, self.ready)
        return self.name if self.name in self.members_by_name else None

    def partners(self, key: bytes) -> list[str]:
        """Return the other ready members, highest ranked first."""
        return rank(key, (name for name in self.ready if name != self.name))

    def incarnation_of(self, name: str) -> int:
        """Return the incarnation of a member, or 0 if it is unknown."""
        member = self.members_by_name.get(name)
        return member.incarnation if member else 0

    def current(self, name: str, incarnation: int) -> bool:
        """Return whether a member isn't down and still has this incarnation."""
        member = self.members_by_name.get(name)
        if member is None or member.state is AgentState.DOWN:
            return False
        return member.incarnation == incarnation

    def valid(self, name: str, incarnation: int) -> bool:
        """Return whether a message of a member may be acted on.

        The member may know a newer incarnation of itself than the roster.
        """
        member = self.members_by_name.get(name)
        if member is None or member.state is AgentState.DOWN:
            return False
        return member.incarnation <= incarnation

    def may_have_moved(self, now: float, key: bytes) -> bool:
        """Return whether another member may have owned ``key`` recently.

        Every member seen within the lifetime of a key counts, in any state, since
        it may have been ready between two rosters that this agent has seen.
        """
        if now - self._observing_since < KEY_LIFETIME_SECONDS:
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

        Two members hold each claim, so a single loss hides none. A member that was
        alone held its claims by itself, so its loss counts twice. ``silent``
        members count as lost. Of two holders, one was the owner of ``key`` when
        they became its holders. If no lost member can have been the owner, nothing
        is hidden.
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
        """Return whether this agent has seen every loss within ``window``."""
        return now - self._first_roster_at >= window

    def declare(self, name: str, revision: int) -> None:
        """Record that all records of ``name`` had two holders at ``revision``.

        Holders that were lost after that revision are not included.
        """
        known = self._declared_by_name.get(name, 0)
        self._declared_by_name[name] = max(known, revision)
        if revision > self.revision:
            # The copies may be at members that this agent doesn't know yet and so
            # wouldn't ask. The declaration applies once the roster arrives.
            return
        for loss in self._losses:
            if revision >= loss.revision:
                loss.repairing.discard(name)
        alone = self._alone_by_name.get(name)
        if alone is not None and revision > alone.revision:
            del self._alone_by_name[name]

    def remember(self, name: str, since: int) -> None:
        """Record that ``name`` has kept its records since incarnation ``since``.

        It was paused or cut off, not dead, so its losses since then don't count.
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
            seen = LastAlone(now, self.revision)
            self._alone_by_name.update(dict.fromkeys(alone, seen))

    def _note_losses(self, now: float, former: dict[str, Member]) -> None:
        lost = {name for name, member in former.items() if self._is_lost(member)}
        left = {name for name in former if name not in self.members_by_name} - lost
        for loss in self._losses:
            loss.repairing -= left
        if not lost:
            return
        ids = {(name, former[name].incarnation) for name in lost}
        # A member that is lost before it has copied the records that it shared with
        # an earlier loss takes the last copy with it. Both losses then stay.
        cut_short = {
            (loss.name, loss.incarnation)
            for loss in self._losses
            if loss.repairing & lost
        }
        for loss in self._losses:
            loss.gone |= {entry for entry in ids if entry[0] in loss.repairing}
            loss.repairing -= lost
        for name, incarnation in ids:
            alone = self._alone_by_name.get(name, LastAlone(-math.inf, 0))
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
    """Return whether ``name`` may have owned ``key`` after ``start``.

    It can't have if a member that wasn't lost, and was ready from ``start`` to the
    loss of ``name``, ranks higher for the key.
    """
    steady = [
        other
        for other, since in lost[name].items()
        if other not in lost and since <= start - MAX_STALENESS_SECONDS
    ]
    return best(key, [*steady, name]) == name
