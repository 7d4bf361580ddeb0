"""Which peers of a service are alive, by their heartbeats.

What goes wrong: a peer dies, or the way to it is cut, and work keeps being
handed to it. One notices it by its silence. Silence alone does not tell a
dead peer from a cut path or from a pause of one's own, so two answers differ:
``live`` reacts to a short silence and costs nothing if wrong, ``overdue``
waits longer, names one marker at a time and is capped, for a mark makes an
agent that is in fact alive drop its flows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from . import rendezvous
from .heartbeats import HEARTBEAT_INTERVAL, interval_for
from .messages import Heartbeat
from .models import AgentState, Load, Member, Roster

__all__ = ["MARK_DOWN_AFTER", "Liveness"]

SILENT_BEATS = 2.5
SILENT_AT_LEAST = 1.5
MARK_DOWN_AFTER = 5.0
LONGEST_SILENCE = 20.0
FALSE_MARK = 1e-9
"""How likely a run of lost heartbeats may be before it counts as a death."""
LOSS_WEIGHT = 0.02
LOSS_PRIOR = 0.05
"""What is taken for the loss of a path before its heartbeats tell."""
MARKER_STEP = 1.5
"""How long each next marker in rank waits for the one before it."""
ALONE_FACTOR = 3.0
LONGEST_PATIENCE = 64
PRESUMED_AFTER = 15.0
"""Silence after which a mark is missing because the store is down."""
MARK_WINDOW = 30.0
MARKED_SHARE = 0.5


@dataclass(slots=True)
class Sighting:
    """The last that was heard of one incarnation of a peer."""

    incarnation: int
    at: float
    sequence: int = -1
    load: Load | None = None
    leaving: bool = False
    loss: float = LOSS_PRIOR

    def take(self, now: float, heartbeat: Heartbeat) -> None:
        """Take a heartbeat that is newer than the last."""
        lost = heartbeat.sequence - self.sequence - 1 if self.sequence >= 0 else 0
        self.loss = 1.0 - (1.0 - self.loss) * (1.0 - LOSS_WEIGHT) ** lost
        self.loss *= 1.0 - LOSS_WEIGHT
        self.at = now
        self.sequence = heartbeat.sequence
        self.load = heartbeat.load
        self.leaving = self.leaving or heartbeat.leaving

    def patience(self, interval: float) -> float:
        """Return how long a silence, in seconds, chance alone doesn't explain.

        What goes wrong: on a path that loses every third heartbeat, runs of
        five lost ones are common, and each would cut the flows of an agent
        that is alive. One notices the loss by gaps in the sequence.
        """
        run = math.log(FALSE_MARK) / math.log(self.loss)
        return min(LONGEST_SILENCE, max(MARK_DOWN_AFTER, run * interval))


class Liveness:
    """Judges the peers of one agent.

    Parameters
    ----------
    name : str
        The agent's own name; it is never judged.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._sightings_by_name: dict[str, Sighting] = {}
        self._patience_by_name: dict[str, int] = {}
        self._down_since_by_name: dict[str, float] = {}
        self._own_patience = 1
        self._interval = HEARTBEAT_INTERVAL

    def learn(self, now: float, roster: Roster) -> None:
        """Take over a roster: new incarnations start with a fresh clock."""
        former = self._sightings_by_name
        self._sightings_by_name = {
            member.name: self._sighting(now, member, former.get(member.name))
            for member in roster.by_name.values()
            if member.name != self._name and member.state is not AgentState.DOWN
        }
        self._interval = interval_for(len(self._sightings_by_name))
        down = [m.name for m in roster.by_name.values() if m.state is AgentState.DOWN]
        since = self._down_since_by_name
        self._down_since_by_name = {name: since.get(name, now) for name in down}
        patience = self._patience_by_name
        self._patience_by_name = {
            name: count for name, count in patience.items() if name in roster.by_name
        }
        for name in set(down) - since.keys():
            # Marked, back, marked again without a sound in between: it is
            # likely the path between us that is cut. Each round waits twice
            # as long, so that its flows are not cut over and over.
            doubled = 2 * self._patience_by_name.get(name, 1)
            self._patience_by_name[name] = min(LONGEST_PATIENCE, doubled)

    def hear(self, now: float, sender: str, heartbeat: Heartbeat) -> bool:
        """Note a heartbeat; return whether the roster knows its sender.

        Duplicates and late ones of an older incarnation change nothing.
        """
        sighting = self._sightings_by_name.get(sender)
        if sighting is None or heartbeat.incarnation > sighting.incarnation:
            return False
        if heartbeat.incarnation < sighting.incarnation:
            return True
        if heartbeat.sequence <= sighting.sequence:
            return True
        sighting.take(now, heartbeat)
        self._patience_by_name.pop(sender, None)
        self._own_patience = 1
        return True

    def forgive(self, now: float) -> None:
        """Start every silence afresh, after a pause of this agent's own."""
        for sighting in self._sightings_by_name.values():
            sighting.at = max(sighting.at, now)

    def marked(self) -> None:
        """Note that peers marked this agent down: judge them more slowly."""
        self._own_patience = min(LONGEST_PATIENCE, 2 * self._own_patience)

    def silent(self, now: float, name: str) -> bool:
        """Tell whether nothing came from a peer for a short while."""
        sighting = self._sightings_by_name.get(name)
        limit = max(SILENT_AT_LEAST, SILENT_BEATS * self._interval)
        return sighting is None or now - sighting.at > limit

    def leaving(self, name: str) -> bool:
        """Tell whether a peer's own heartbeats said that it leaves."""
        sighting = self._sightings_by_name.get(name)
        return sighting is not None and sighting.leaving

    def live(self, now: float) -> set[str]:
        """Return the peers that are not silent, whatever their state."""
        return {name for name in self._sightings_by_name if not self.silent(now, name)}

    def loads(self, now: float) -> dict[str, tuple[Load, float]]:
        """Return the last load of each peer with its age in seconds."""
        return {
            name: (sighting.load, now - sighting.at)
            for name, sighting in self._sightings_by_name.items()
            if sighting.load is not None
        }

    def overdue(self, now: float, roster: Roster) -> list[Member]:
        """Return the members that this agent has to mark down now."""
        allowance = self._allowance(now, roster)
        if allowance <= 0:
            return []
        due = [m for m in roster.by_name.values() if self._has_to_mark(now, m)]
        return due[:allowance]

    def presumed(self, now: float, roster: Roster) -> frozenset[str]:
        """Return the members that would be marked if the store were up.

        Nobody is presumed dead by an agent that hears nobody, and at most
        the share that may be marked at once.
        """
        if not self.live(now):
            return frozenset()
        silent = [
            name
            for name, sighting in self._sightings_by_name.items()
            if now - sighting.at > PRESUMED_AFTER
        ]
        most = max(1, int(len(roster.by_name) * MARKED_SHARE))
        return frozenset(silent[:most])

    def expired(self, now: float, names: Iterable[str], retention: float) -> list[str]:
        """Return those of ``names`` that were marked down long enough ago."""
        since = self._down_since_by_name
        return [name for name in names if now - since.get(name, now) > retention]

    def _sighting(
        self, now: float, member: Member, former: Sighting | None
    ) -> Sighting:
        if former is None or former.incarnation != member.incarnation:
            return Sighting(member.incarnation, now)
        return former

    def _has_to_mark(self, now: float, member: Member) -> bool:
        sighting = self._sightings_by_name.get(member.name)
        # Fenced by the incarnation: what was silent may have come back.
        if sighting is None or sighting.incarnation != member.incarnation:
            return False
        silence = now - sighting.at
        patience = sighting.patience(self._interval)
        if silence <= patience:
            return False
        markers = {self._name, *self.live(now)}
        wait = patience * self._patience_by_name.get(member.name, 1)
        if len(markers) == 1:
            # Who hears nobody may be the one that is cut off. If it is, the
            # others mark it down first and its own write then conflicts.
            wait *= ALONE_FACTOR * self._own_patience
        key = f"{member.name}/{member.incarnation}".encode()
        turn = rendezvous.rank(key, markers).index(self._name)
        return silence > wait + turn * MARKER_STEP

    def _allowance(self, now: float, roster: Roster) -> int:
        since = self._down_since_by_name
        recent = sum(now - at <= MARK_WINDOW for at in since.values())
        before = len(roster.by_name) - len(since) + recent
        return max(1, int(before * MARKED_SHARE)) - recent
