"""Registers an agent in its roster, fences it and removes it.

The roster in the store changes only by compare-and-swap. Each write is planned from
the newest roster known and from the state this agent wants now. Conflicts, lost
answers and store outages are therefore handled the same way: read the stored roster
and plan again. If the plan changes nothing, nothing is written.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from .codes import Code
from .effects import AgentEffect, Count, Drained, Log, ReadRoster, Restart, SendPeer
from .events import RosterWritten, TargetReported
from .heartbeats import HEARTBEAT_INTERVAL_SECONDS, HeartbeatSchedule
from .liveness import MARK_DOWN_AFTER_SECONDS, Liveness
from .messages import Heartbeat
from .models import AgentState, Load, Member, Roster
from .rosters import MAX_BACKOFF_SECONDS, RosterWriter, Settlement

__all__ = ["FENCE_AFTER_SECONDS", "Membership"]

FENCE_AFTER_SECONDS = 3.0
"""Length of a pause that fences the agent.

It is shorter than ``MARK_DOWN_AFTER_SECONDS``, so the agent notices its own absence
before any peer acts on it.
"""
assert FENCE_AFTER_SECONDS < MARK_DOWN_AFTER_SECONDS

TARGET_GRACE_SECONDS = 10.0
"""Time after which an open port is enough for a target to be ready."""
MIN_LEAVE_SECONDS = 3.0
"""Shortest time between a drain request and the removal of an idle agent."""
REMOVAL_GRACE_SECONDS = 1.0
"""How long past the drain deadline the agent waits for its removal."""
READ_INTERVAL_SECONDS = 5.0
"""Shortest interval between two reads of a roster that may be stale."""
DOWN_RETENTION_SECONDS = 300.0
"""How long members that are marked down stay in the roster."""
MEMBERS_LIMIT = 256


class Membership:
    """The membership of one agent in the roster of its service.

    Parameters
    ----------
    identity : Member
        What the agent announces. ``incarnation`` must grow with every start of
        the process, as wall-clock seconds do; ``state`` is ignored.
    service : str
        The service of the roster.
    rng : random.Random
        Adds jitter to heartbeats and retries.
    load : callable
        Returns the agent's own ``Load`` at a given time.

    Attributes
    ----------
    effective_roster : Roster
        The roster, with the members that are presumed down marked as such.
    """

    def __init__(
        self,
        identity: Member,
        service: str,
        rng: random.Random,
        load: Callable[[float], Load],
    ) -> None:
        self.identity = identity._replace(state=AgentState.STARTING)
        self.roster = Roster(service, 0, {})
        self.generation = 0
        self.effective_roster = self.roster
        self.drained = False
        self._presumed_down: frozenset[str] = frozenset()
        self._rng = rng
        self._load = load
        self._liveness = Liveness(identity.name)
        self._writer = RosterWriter(identity.name, rng)
        self._last_event_at: float | None = None
        self._started_at: float | None = None
        self._confirmed = False
        self._was_confirmed = False
        self._highest_incarnation = 0
        self._roster_full = False
        self._read_at = 0.0
        self._heartbeats = HeartbeatSchedule(rng)
        self._leave_since: float | None = None
        self._leave_deadline = 0.0
        self._departing = False

    @property
    def incarnation(self) -> int:
        """The current incarnation of this agent."""
        return self.identity.incarnation

    @property
    def state(self) -> AgentState:
        """The state that this agent announces."""
        return self.identity.state

    @property
    def leaving(self) -> bool:
        """Whether a drain was requested. It takes effect at once."""
        return self._leave_since is not None

    @property
    def fenced(self) -> bool:
        """Whether the newest known roster doesn't confirm this incarnation."""
        return not self._confirmed

    @property
    def accepting(self) -> bool:
        """Whether this agent may accept new work."""
        ready = self.state is AgentState.READY
        return ready and self._confirmed and not self.leaving

    @property
    def peers(self) -> dict[str, Member]:
        """The other members that aren't marked down, by name."""
        return {
            member.name: member
            for member in self.roster.by_name.values()
            if member.name != self.identity.name and member.state is not AgentState.DOWN
        }

    def live(self, now: float) -> set[str]:
        """Return this agent and the peers heard recently, in any state."""
        return self._liveness.live(now) | {self.identity.name}

    def accepting_members(self, now: float) -> set[str]:
        """Return the members that may be given new work."""
        live = self._liveness.live(now)
        names = {
            peer.name
            for peer in self.peers.values()
            if peer.state is AgentState.READY
            and peer.name in live
            and not self._liveness.leaving(peer.name)
        }
        return names | {self.identity.name} if self.accepting else names

    def isolated(self, now: float) -> bool:
        """Return whether this agent has peers but hears none of them.

        Peers may have marked this agent down without its knowledge. It must not
        make decisions then that only one agent may make.
        """
        return bool(self.peers) and not self._liveness.live(now)

    def loads(self, now: float) -> dict[str, tuple[Load, float]]:
        """Return the last reported load of each peer and its age in seconds."""
        return self._liveness.loads(now)

    def detect_pause(self, now: float) -> list[AgentEffect]:
        """Fence this agent if it was paused. Call this before every event.

        Otherwise a paused process resumes and acts on authority that its peers have
        taken over. A pause shows as a gap between two events, since ticks come ten
        times a second.
        """
        gap = 0.0 if self._last_event_at is None else now - self._last_event_at
        self._last_event_at = now
        if gap > HEARTBEAT_INTERVAL_SECONDS:
            # Messages that peers sent during the pause are still in the socket.
            self._liveness.restart_timers(now)
        if gap <= FENCE_AFTER_SECONDS or self.drained:
            return []
        return self._restart(now, "paused", self.incarnation + 1)

    def tick(self, now: float, busy: bool) -> list[AgentEffect]:
        """Send heartbeats, retry writes and complete a drain.

        ``busy`` is whether flows or requests are in progress here.
        """
        if self.drained:
            return []
        if self._started_at is None:
            self._started_at = now
        effects = self._send_heartbeats(now)
        if self._writer.expire(now, self.incarnation):
            effects += self._read_after_lost_answer()
        if self.isolated(now):
            # An agent that is marked down receives no more heartbeats, so silence
            # may mean that the roster is stale.
            effects += self._read_if_due(now)
        effects += self._leave(now, busy)
        self._update_effective_roster(now)
        return effects + self._reconcile(now)

    def note_heartbeat(
        self, now: float, sender: str, heartbeat: Heartbeat
    ) -> list[AgentEffect]:
        """Handle a heartbeat of a peer."""
        self._liveness.note_heartbeat(now, sender, heartbeat)
        stored = self.roster.by_name.get(sender)
        unknown = stored is None or stored.incarnation < heartbeat.incarnation
        if unknown or heartbeat.revision > self.roster.revision:
            # The push of a newer roster was lost.
            return self._read_if_due(now)
        return []

    def learn(self, now: float, roster: Roster) -> list[AgentEffect]:
        """Adopt a roster from the store or a peer unless it is older."""
        if roster.service != self.roster.service or self.drained:
            return []
        if roster.revision < self.roster.revision:
            return []
        return self._adopt(now, roster) + self._reconcile(now)

    def written(self, now: float, event: RosterWritten) -> list[AgentEffect]:
        """Handle the result of a write."""
        settlement = self._writer.settle(
            now, event, self.incarnation, self.roster.revision
        )
        if settlement is Settlement.LOST:
            return self._read_after_lost_answer()
        if settlement is Settlement.DOWN:
            return [Count("membership.store_down")]
        effects: list[AgentEffect] = []
        if settlement in (Settlement.CONFLICT, Settlement.SET_BACK):
            effects.append(Count("membership.conflicts"))
        stored = event.roster
        if settlement is Settlement.SET_BACK:
            stored = stored or Roster(self.roster.service, 0, {})
            return effects + self._adopt(now, stored) + self._reconcile(now)
        return effects + self.learn(now, stored) if stored else effects

    def drain(self, now: float, seconds: float) -> list[AgentEffect]:
        """Start a graceful leave, or shorten the deadline of the current one."""
        deadline = now + max(0.0, seconds)
        if self.leaving:
            self._leave_deadline = min(self._leave_deadline, deadline)
            return []
        self._leave_since = now
        self._leave_deadline = deadline
        self.identity = self.identity._replace(state=AgentState.LEAVING)
        self._heartbeats.expedite(now)
        log = self._log("agent-leaving", ("seconds", seconds))
        return [log, *self._send_heartbeats(now), *self._reconcile(now)]

    def target_reported(self, now: float, event: TargetReported) -> list[AgentEffect]:
        """Update the readiness of this agent from a report of its target.

        A target that reports itself healthy is ready at once. If its port accepts
        connections but its health endpoint fails or reports unhealthy, it is ready
        after ``TARGET_GRACE_SECONDS``, since the endpoint may be wrong.
        """
        if self.state is not AgentState.STARTING or self._started_at is None:
            return []
        waited = now - self._started_at >= TARGET_GRACE_SECONDS
        if not event.healthy and not (event.accepts and waited):
            return []
        self.identity = self.identity._replace(state=AgentState.READY)
        return [self._log("agent-ready"), *self._reconcile(now)]

    def _restart(self, now: float, cause: str, incarnation: int) -> list[AgentEffect]:
        self.identity = self.identity._replace(incarnation=incarnation)
        self._confirmed = False
        self._heartbeats.restart()
        self._writer.abandon(now)
        self._liveness.restart_timers(now)
        return [
            Restart(incarnation),
            Count("membership.restarts"),
            self._log("agent-fenced", ("cause", cause)),
        ]

    def _adopt(self, now: float, roster: Roster) -> list[AgentEffect]:
        former = self.roster
        self.roster = roster
        self._liveness.learn(now, roster)
        self._presumed_down = frozenset()
        self.effective_roster = roster
        return [*_log_new_marks(former, roster), *self._check_own(now)]

    def _update_effective_roster(self, now: float) -> None:
        """Mark the members that are presumed down in ``effective_roster``.

        Without this, when an agent dies while the store is down, no agent can mark
        it, and packets of plain UDP flows are forwarded to it until the store is
        back. Flows may move without a mark in the store; claims must not.
        """
        presumed = self._liveness.presumed_down(now, self.roster)
        if presumed == self._presumed_down:
            return
        self._presumed_down = presumed
        by_name = dict(self.roster.by_name)
        for name in presumed:
            by_name[name] = by_name[name]._replace(state=AgentState.DOWN)
        self.effective_roster = self.roster._replace(by_name=by_name)

    def _check_own(self, now: float) -> list[AgentEffect]:
        stored = self.roster.by_name.get(self.identity.name)
        if stored is None and self._highest_incarnation > self.incarnation:
            self._advance_incarnation(self._highest_incarnation)
        if stored is None or stored.incarnation < self.incarnation:
            return []
        self._highest_incarnation = stored.incarnation
        if self._is_foreign(stored):
            return self._resolve_name_conflict(now, stored)
        if stored.state is AgentState.DOWN:
            # Peers have taken over the work of this incarnation. Only a new one may
            # continue.
            self._liveness.note_own_mark()
            return self._restart(now, "marked down", self.incarnation + 1)
        if self._confirmed:
            return []
        self._confirmed = self._was_confirmed = True
        return [self._log("agent-announced")]

    def _is_foreign(self, stored: Member) -> bool:
        """Return whether another process of this name wrote the stored entry."""
        if stored.incarnation > self.incarnation:
            return True
        written = self._writer.may_have_written(self.incarnation)
        return not self._confirmed and not written

    def _resolve_name_conflict(self, now: float, stored: Member) -> list[AgentEffect]:
        # Of two processes with the same name, the later one wins permanently. If
        # each reclaimed the name in turn, they would cut each other's flows
        # forever.
        if self._was_confirmed and stored.state is not AgentState.DOWN:
            if not self._confirmed:
                return []
            return self._restart(now, "name taken over", self.incarnation)
        self._advance_incarnation(stored.incarnation)
        return []

    def _advance_incarnation(self, past: int) -> None:
        self.identity = self.identity._replace(incarnation=past + 1)

    def _reconcile(self, now: float) -> list[AgentEffect]:
        if self.drained or not self._writer.idle(now):
            return []
        members, marks = self._plan(now)
        if members == self.roster.by_name:
            return []
        for name in self._liveness.expired(now, list(members), DOWN_RETENTION_SECONDS):
            del members[name]
        if not _drop_marked_members(members):
            return self._report_full_roster(now)
        self._roster_full = False
        roster = self.roster._replace(by_name=members)
        write = self._writer.write(now, self.incarnation, roster)
        return [Count("membership.marks_planned", marks), write] if marks else [write]

    def _plan(self, now: float) -> tuple[dict[str, Member], int]:
        """Return the wanted members and the number of new down marks."""
        name = self.identity.name
        members = dict(self.roster.by_name)
        stored = members.get(name)
        if stored is None or stored.incarnation <= self.incarnation:
            members[name] = self.identity
            if self._departing:
                del members[name]
        if self.fenced or self._departing:
            return members, 0
        overdue = self._liveness.members_to_mark(now, self.roster)
        for peer in overdue:
            members[peer.name] = peer._replace(state=AgentState.DOWN)
        return members, len(overdue)

    def _report_full_roster(self, now: float) -> list[AgentEffect]:
        self._writer.delay(now, MAX_BACKOFF_SECONDS)
        if self._roster_full:
            return []
        self._roster_full = True
        return [self._log("roster-full", ("code", Code.ROSTER_TOO_LARGE.value))]

    def _leave(self, now: float, busy: bool) -> list[AgentEffect]:
        if self._leave_since is None:
            return []
        late = now >= self._leave_deadline
        # Entries with a stale roster still send openings here. Stay for a while to
        # hand them over.
        idle = not busy and now - self._leave_since >= MIN_LEAVE_SECONDS
        self._departing = self._departing or idle or late
        if not self._departing:
            return []
        stored = self.roster.by_name.get(self.identity.name)
        removed = stored is None or stored.incarnation > self.incarnation
        overtime = now - self._leave_deadline
        # If the store is down, the roster entry stays and peers mark it down later.
        if not removed and (
            overtime < 0
            or (overtime < REMOVAL_GRACE_SECONDS and not self._writer.store_failing)
        ):
            return []
        self.drained = True
        return [self._log("agent-drained"), Drained(AgentState.LEAVING)]

    def _send_heartbeats(self, now: float) -> list[AgentEffect]:
        sequence = self._heartbeats.due(now, len(self.peers))
        if sequence is None:
            return []
        heartbeat = Heartbeat(
            self.incarnation,
            sequence,
            self.generation,
            self._load(now),
            self.leaving,
            self.roster.revision,
        )
        return [SendPeer(peer, heartbeat) for peer in self.peers]

    def _read_after_lost_answer(self) -> list[AgentEffect]:
        # Reading the roster shows whether the write took effect. If the read fails
        # too, the comparison of the next write shows it.
        return [Count("membership.answers_lost"), ReadRoster(self.roster.service)]

    def _read_if_due(self, now: float) -> list[AgentEffect]:
        if now < self._read_at:
            return []
        self._read_at = now + READ_INTERVAL_SECONDS * (1.0 + self._rng.random())
        return [Count("membership.roster_stale"), ReadRoster(self.roster.service)]

    def _log(self, event: str, *fields: tuple[str, str | int | float]) -> Log:
        own = (("agent", self.identity.name), ("incarnation", self.incarnation))
        return Log(event, own + fields)


def _log_new_marks(former: Roster, roster: Roster) -> list[Log]:
    """Return a log line for each member that is newly marked down."""
    return [
        Log("agent-down", (("agent", name), ("incarnation", member.incarnation)))
        for name, member in roster.by_name.items()
        if member.state is AgentState.DOWN
        and name in former.by_name
        and former.by_name[name].state is not AgentState.DOWN
    ]


def _drop_marked_members(members: dict[str, Member]) -> bool:
    """Remove marked members while the roster is too large.

    Return whether the roster is then within ``MEMBERS_LIMIT``.
    """
    down = [m.name for m in members.values() if m.state is AgentState.DOWN]
    while len(members) > MEMBERS_LIMIT and down:
        del members[down.pop(0)]
    return len(members) <= MEMBERS_LIMIT
