"""Which peers of a service are alive, by their heartbeats.

What goes wrong: a peer dies, or the way to it is cut, and work keeps being
handed to it. One notices it by its silence. Silence alone does not tell a
dead peer from a cut path or from a pause of one's own, so two answers differ:
``live`` reacts to a short silence and costs nothing if wrong, ``members_to_mark``
waits longer, names one marker at a time and is capped, for a mark makes an
agent that is in fact alive drop its flows.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from . import rendezvous
from .heartbeats import HEARTBEAT_INTERVAL_SECONDS, interval_for
from .messages import Heartbeat
from .models import AgentState, Load, Member, Roster

__all__ = ["MARK_DOWN_AFTER_SECONDS", "Liveness"]

SILENT_INTERVALS = 2.5
MIN_SILENCE_SECONDS = 1.5
MARK_DOWN_AFTER_SECONDS = 5.0
MAX_MARK_DOWN_SECONDS = 20.0
FALSE_MARK_PROBABILITY = 1e-9
"""How likely a run of lost heartbeats may be before it counts as a death."""
LOSS_WEIGHT = 0.02
INITIAL_LOSS = 0.05
"""What is taken for the loss of a path before its heartbeats tell."""
MARKER_STEP_SECONDS = 1.5
"""How long each next marker in rank waits for the one before it."""
ISOLATED_FACTOR = 3.0
MAX_TIMEOUT_FACTOR = 64
PRESUMED_DOWN_SECONDS = 15.0
"""Silence after which a mark is missing because the store is down."""
MARK_WINDOW_SECONDS = 30.0
MAX_MARKED_SHARE = 0.5


@dataclass(slots=True)
class PeerStatus:
    """The last that was heard of one incarnation of a peer."""

    incarnation: int
    heard_at: float
    sequence: int = -1
    load: Load | None = None
    leaving: bool = False
    loss: float = INITIAL_LOSS

    def update(self, now: float, heartbeat: Heartbeat) -> None:
        """Take a heartbeat that is newer than the last."""
        lost = heartbeat.sequence - self.sequence - 1 if self.sequence >= 0 else 0
        self.loss = 1.0 - (1.0 - self.loss) * (1.0 - LOSS_WEIGHT) ** lost
        self.loss *= 1.0 - LOSS_WEIGHT
        self.heard_at = now
        self.sequence = heartbeat.sequence
        self.load = heartbeat.load
        self.leaving = self.leaving or heartbeat.leaving

    def timeout(self, interval: float) -> float:
        """Return how long a silence, in seconds, chance alone doesn't explain.

        What goes wrong: on a path that loses every third heartbeat, runs of
        five lost ones are common, and each would cut the flows of an agent
        that is alive. One notices the loss by gaps in the sequence.
        """
        run = math.log(FALSE_MARK_PROBABILITY) / math.log(self.loss)
        return min(MAX_MARK_DOWN_SECONDS, max(MARK_DOWN_AFTER_SECONDS, run * interval))


class Liveness:
    """Judges the peers of one agent.

    Parameters
    ----------
    name : str
        The agent's own name; it is never judged.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._status_by_name: dict[str, PeerStatus] = {}
        self._timeout_factor_by_name: dict[str, int] = {}
        self._down_since_by_name: dict[str, float] = {}
        self._own_timeout_factor = 1
        self._interval = HEARTBEAT_INTERVAL_SECONDS

    def learn(self, now: float, roster: Roster) -> None:
        """Take over a roster: new incarnations start with a fresh clock."""
        former = self._status_by_name
        self._status_by_name = {
            member.name: self._status_for(now, member, former.get(member.name))
            for member in roster.by_name.values()
            if member.name != self._name and member.state is not AgentState.DOWN
        }
        self._interval = interval_for(len(self._status_by_name))
        down = [m.name for m in roster.by_name.values() if m.state is AgentState.DOWN]
        since = self._down_since_by_name
        self._down_since_by_name = {name: since.get(name, now) for name in down}
        factors = self._timeout_factor_by_name
        self._timeout_factor_by_name = {
            name: factor for name, factor in factors.items() if name in roster.by_name
        }
        for name in set(down) - since.keys():
            # Marked, back, marked again without a sound in between: it is
            # likely the path between us that is cut. Each round waits twice
            # as long, so that its flows are not cut over and over.
            doubled = 2 * self._timeout_factor_by_name.get(name, 1)
            self._timeout_factor_by_name[name] = min(MAX_TIMEOUT_FACTOR, doubled)

    def note_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> bool:
        """Note a heartbeat; return whether the roster knows its sender.

        Duplicates and late ones of an older incarnation change nothing.
        """
        status = self._status_by_name.get(sender)
        if status is None or heartbeat.incarnation > status.incarnation:
            return False
        if heartbeat.incarnation < status.incarnation:
            return True
        if heartbeat.sequence <= status.sequence:
            return True
        status.update(now, heartbeat)
        self._timeout_factor_by_name.pop(sender, None)
        self._own_timeout_factor = 1
        return True

    def restart_timers(self, now: float) -> None:
        """Start every silence afresh, after a pause of this agent's own."""
        for status in self._status_by_name.values():
            status.heard_at = max(status.heard_at, now)

    def note_own_mark(self) -> None:
        """Note that peers marked this agent down: judge them more slowly."""
        self._own_timeout_factor = min(MAX_TIMEOUT_FACTOR, 2 * self._own_timeout_factor)

    def silent(self, now: float, name: str) -> bool:
        """Tell whether nothing came from a peer for a short while."""
        status = self._status_by_name.get(name)
        limit = max(MIN_SILENCE_SECONDS, SILENT_INTERVALS * self._interval)
        return status is None or now - status.heard_at > limit

    def leaving(self, name: str) -> bool:
        """Tell whether a peer's own heartbeats said that it leaves."""
        status = self._status_by_name.get(name)
        return status is not None and status.leaving

    def live(self, now: float) -> set[str]:
        """Return the peers that are not silent, whatever their state."""
        return {name for name in self._status_by_name if not self.silent(now, name)}

    def loads(self, now: float) -> dict[str, tuple[Load, float]]:
        """Return the last load of each peer with its age in seconds."""
        return {
            name: (status.load, now - status.heard_at)
            for name, status in self._status_by_name.items()
            if status.load is not None
        }

    def members_to_mark(self, now: float, roster: Roster) -> list[Member]:
        """Return the members that this agent has to mark down now."""
        allowance = self._mark_allowance(now, roster)
        if allowance <= 0:
            return []
        due = [m for m in roster.by_name.values() if self._should_mark(now, m)]
        return due[:allowance]

    def presumed_down(self, now: float, roster: Roster) -> frozenset[str]:
        """Return the members that would be marked if the store were up.

        Nobody is presumed dead by an agent that hears nobody, and at most
        the share that may be marked at once.
        """
        if not self.live(now):
            return frozenset()
        silent = [
            name
            for name, status in self._status_by_name.items()
            if now - status.heard_at > PRESUMED_DOWN_SECONDS
        ]
        most = max(1, int(len(roster.by_name) * MAX_MARKED_SHARE))
        return frozenset(silent[:most])

    def expired(self, now: float, names: Iterable[str], retention: float) -> list[str]:
        """Return those of ``names`` that were marked down long enough ago."""
        since = self._down_since_by_name
        return [name for name in names if now - since.get(name, now) > retention]

    def _status_for(
        self, now: float, member: Member, former: PeerStatus | None
    ) -> PeerStatus:
        if former is None or former.incarnation != member.incarnation:
            return PeerStatus(member.incarnation, now)
        return former

    def _should_mark(self, now: float, member: Member) -> bool:
        status = self._status_by_name.get(member.name)
        # Fenced by the incarnation: what was silent may have come back.
        if status is None or status.incarnation != member.incarnation:
            return False
        silence = now - status.heard_at
        timeout = status.timeout(self._interval)
        if silence <= timeout:
            return False
        markers = {self._name, *self.live(now)}
        wait = timeout * self._timeout_factor_by_name.get(member.name, 1)
        if len(markers) == 1:
            # Who hears nobody may be the one that is cut off. If it is, the
            # others mark it down first and its own write then conflicts.
            wait *= ISOLATED_FACTOR * self._own_timeout_factor
        key = f"{member.name}/{member.incarnation}".encode()
        turn = rendezvous.rank(key, markers).index(self._name)
        return silence > wait + turn * MARKER_STEP_SECONDS

    def _mark_allowance(self, now: float, roster: Roster) -> int:
        since = self._down_since_by_name
        recent = sum(now - at <= MARK_WINDOW_SECONDS for at in since.values())
        before = len(roster.by_name) - len(since) + recent
        return max(1, int(before * MAX_MARKED_SHARE)) - recent
