"""Failure detection for the peers of a service, from their heartbeats.

Without this, work keeps going to a peer that is dead or unreachable. Silence alone
doesn't distinguish a dead peer from a broken path or from a pause of this process,
so there are two levels. ``live`` reacts to a short silence and costs nothing if
wrong. ``members_to_mark`` waits longer, lets one marker act at a time and limits
the number of marks, because a mark makes an agent that is still alive drop its
flows.
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
"""Heartbeat intervals without a heartbeat after which a peer is silent."""
MIN_SILENCE_SECONDS = 1.5
"""Shortest silence after which a peer is silent."""
MARK_DOWN_AFTER_SECONDS = 5.0
"""Shortest silence after which a peer may be marked down."""
MAX_MARK_DOWN_SECONDS = 20.0
"""Longest silence that heartbeat loss on the path is allowed to explain."""
FALSE_MARK_PROBABILITY = 1e-9
"""Probability below which a run of lost heartbeats is treated as a failure."""
LOSS_WEIGHT = 0.02
"""Weight of one heartbeat in the moving average of the loss."""
INITIAL_LOSS = 0.05
"""Assumed loss of a path before its heartbeats show the actual loss."""
MARKER_STEP_SECONDS = 1.5
"""How long each marker waits for the marker ranked before it."""
ISOLATED_FACTOR = 3.0
"""Factor on the timeout of an agent that hears no peer."""
MAX_TIMEOUT_FACTOR = 64
"""Limit of the factor that grows when marks prove wrong."""
PRESUMED_DOWN_SECONDS = 15.0
"""Silence after which a missing mark means that the store is down."""
MARK_WINDOW_SECONDS = 30.0
"""Window over which marks are counted against ``MAX_MARKED_SHARE``."""
MAX_MARKED_SHARE = 0.5
"""Largest share of the members that may be marked within the window."""


@dataclass(slots=True)
class PeerStatus:
    """Heartbeat state of one incarnation of a peer."""

    incarnation: int
    heard_at: float
    sequence: int = -1
    load: Load | None = None
    leaving: bool = False
    loss: float = INITIAL_LOSS

    def update(self, now: float, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that is newer than the last one."""
        lost = heartbeat.sequence - self.sequence - 1 if self.sequence >= 0 else 0
        self.loss = 1.0 - (1.0 - self.loss) * (1.0 - LOSS_WEIGHT) ** lost
        self.loss *= 1.0 - LOSS_WEIGHT
        self.heard_at = now
        self.sequence = heartbeat.sequence
        self.load = heartbeat.load
        self.leaving = self.leaving or heartbeat.leaving

    def timeout(self, interval: float) -> float:
        """Return the silence, in seconds, that loss alone doesn't explain.

        On a path that loses every third heartbeat, runs of five lost heartbeats are
        common, and with a fixed timeout each of them would cut the flows of an
        agent that is alive. The loss is estimated from gaps in the sequence
        numbers.
        """
        run = math.log(FALSE_MARK_PROBABILITY) / math.log(self.loss)
        return min(MAX_MARK_DOWN_SECONDS, max(MARK_DOWN_AFTER_SECONDS, run * interval))


class Liveness:
    """Detects failed peers of one agent.

    Parameters
    ----------
    name : str
        The agent's own name, which is never checked.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._status_by_name: dict[str, PeerStatus] = {}
        self._timeout_factor_by_name: dict[str, int] = {}
        self._down_since_by_name: dict[str, float] = {}
        self._own_timeout_factor = 1
        self._interval = HEARTBEAT_INTERVAL_SECONDS

    def learn(self, now: float, roster: Roster) -> None:
        """Adopt a roster. The silence of a new incarnation starts at zero."""
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
            # A member that was marked, came back and is marked again without a
            # heartbeat in between probably has a broken path to this agent. Double
            # its timeout each time, so that its flows aren't cut repeatedly.
            doubled = 2 * self._timeout_factor_by_name.get(name, 1)
            self._timeout_factor_by_name[name] = min(MAX_TIMEOUT_FACTOR, doubled)

    def note_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat and return whether the roster knows its sender.

        Duplicates and late heartbeats of an older incarnation have no effect.
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
        """Restart all silence timers after a pause of this process."""
        for status in self._status_by_name.values():
            status.heard_at = max(status.heard_at, now)

    def note_own_mark(self) -> None:
        """Wait longer before marking peers, since they marked this agent down."""
        self._own_timeout_factor = min(MAX_TIMEOUT_FACTOR, 2 * self._own_timeout_factor)

    def silent(self, now: float, name: str) -> bool:
        """Return whether a peer has been silent for a short time."""
        status = self._status_by_name.get(name)
        limit = max(MIN_SILENCE_SECONDS, SILENT_INTERVALS * self._interval)
        return status is None or now - status.heard_at > limit

    def leaving(self, name: str) -> bool:
        """Return whether a peer has announced in a heartbeat that it leaves."""
        status = self._status_by_name.get(name)
        return status is not None and status.leaving

    def live(self, now: float) -> set[str]:
        """Return the peers that aren't silent, in any state."""
        return {name for name in self._status_by_name if not self.silent(now, name)}

    def loads(self, now: float) -> dict[str, tuple[Load, float]]:
        """Return the last load of each peer and its age in seconds."""
        return {
            name: (status.load, now - status.heard_at)
            for name, status in self._status_by_name.items()
            if status.load is not None
        }

    def members_to_mark(self, now: float, roster: Roster) -> list[Member]:
        """Return the members that this agent must mark down now."""
        allowance = self._mark_allowance(now, roster)
        if allowance <= 0:
            return []
        due = [m for m in roster.by_name.values() if self._should_mark(now, m)]
        return due[:allowance]

    def presumed_down(self, now: float, roster: Roster) -> frozenset[str]:
        """Return the members that would be marked down if the store were up.

        An agent that hears no peer presumes none down. The number is limited to the
        share that may be marked at once.
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
        """Return those of ``names`` that have been down longer than ``retention``."""
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
        # A newer incarnation may have replaced the silent one.
        if status is None or status.incarnation != member.incarnation:
            return False
        silence = now - status.heard_at
        timeout = status.timeout(self._interval)
        if silence <= timeout:
            return False
        markers = {self._name, *self.live(now)}
        wait = timeout * self._timeout_factor_by_name.get(member.name, 1)
        if len(markers) == 1:
            # An agent that hears no peer may itself be cut off. In that case the
            # others mark it down first and its own write conflicts.
            wait *= ISOLATED_FACTOR * self._own_timeout_factor
        key = f"{member.name}/{member.incarnation}".encode()
        turn = rendezvous.rank(key, markers).index(self._name)
        return silence > wait + turn * MARKER_STEP_SECONDS

    def _mark_allowance(self, now: float, roster: Roster) -> int:
        since = self._down_since_by_name
        recent = sum(now - at <= MARK_WINDOW_SECONDS for at in since.values())
        before = len(roster.by_name) - len(since) + recent
        return max(1, int(before * MAX_MARKED_SHARE)) - recent
