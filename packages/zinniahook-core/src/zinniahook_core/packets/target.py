"""An agent's view of its target, from heartbeats and from packets."""

from __future__ import annotations

from .capacity import Capacity
from .features import Features
from .flows import Flows
from .health import Health
from .incarnations import HeartbeatOrigin, Incarnations
from .models import Heartbeat, Log, State

__all__ = ["Target"]

ANSWER_TIMEOUT_SECONDS = 0.1
"""Seconds for the answer to an opening. It comes from the same machine in about 0.3 ms;
a client repeats the opening after 0.2 s."""

MIN_UNANSWERED_PACKETS = 4
DEAD_SECONDS = 0.6
"""Packets in a row, and seconds since the first of them, without any answer after which
the target is dead. One packet in a hundred may be lost, and a client repeats after
0.2 s, so a live target misses four once in 10^8."""

MISSED_HEARTBEATS = 3.0
"""Heartbeats that may be missing before the target is considered down."""

HEARTBEAT_DELAY_SECONDS = 1.0
"""Seconds that a heartbeat may be in transit; its sender gives up then."""

REFUSAL_SECONDS = 0.3
"""Seconds for which a target that returned an opening counts as busier than it appears.
A crashed target returns all openings and works on nothing."""

FIRST_HEARTBEAT_NUMBER = 1
"""Number of a target's first heartbeat."""

FIRST_HEARTBEAT_INTERVALS = 1.5
"""Heartbeat intervals within which a new target sends its first heartbeat."""

ANSWER_WEIGHT = 0.1
"""Weight of a new answer time in the mean: about the last ten count."""


class Target:
    """The target of one agent.

    Parameters
    ----------
    service : str
        The service it should belong to.
    beat_interval : float
        Seconds between its heartbeats.

    ``slots`` is 0 until the first heartbeat. ``health`` and ``capacity`` are derived
    from its answers, None where they are switched off.
    """

    def __init__(self, service: str, beat_interval: float) -> None:
        self.service = service
        self.name = ""
        self.slots = 0
        self.leaving = False
        self.gone = False
        self._is_absent = False
        self.answer_time = 0.0
        self.former_until = float("-inf")
        self.health: Health | None = None
        self.capacity: Capacity | None = None
        self._refused_at = float("-inf")
        self._heartbeat_interval = beat_interval
        self._incarnations = Incarnations(beat_interval, service)
        self._known_since = float("-inf")
        self._seen_from_start = False
        self._outlived_target = False
        self._since = float("-inf")
        self._has_answered = False
        self._warm_at = 0.0
        self._doubted_at = float("-inf")
        self._heartbeat_at = float("-inf")
        self._heard_at = float("-inf")
        self._silent_since: float | None = None
        self._unanswered_count = 0
        self._unanswered_since = 0.0

    def enable_measurement(self, features: Features, log: Log, flows: Flows) -> None:
        """Track health and capacity from the target's answers, where switched on."""
        if features.target_health:
            self.health = Health(log, flows)
        if features.learned_capacity:
            self.capacity = Capacity()

    def start(self, now: float) -> None:
        """Note when the agent began to observe the target."""
        self._since = now
        self.suspect_cold(now)

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> HeartbeatOrigin:
        """Apply a heartbeat; return its origin.

        Only heartbeats of the known start or a later one are applied. Others would end
        the flows of the running target, or make a leaving target ready again.
        """
        origin = self._incarnations.classify(now, heartbeat)
        if origin is HeartbeatOrigin.STARTED:
            self._started(now, heartbeat)
        elif origin is not HeartbeatOrigin.CURRENT:
            return origin
        self.name = heartbeat.target
        self.service = heartbeat.service
        self.slots = max(1, heartbeat.slots)
        self.leaving = heartbeat.leaving
        self.gone = False
        self._is_absent = False
        self._warm_at = now + heartbeat.warming
        self._heartbeat_at = now
        self.heard(now)
        return origin

    def _started(self, now: float, heartbeat: Heartbeat) -> None:
        """Note that the target of a heartbeat has started.

        It is younger than this agent if its predecessor was seen running. Without this
        check, a late heartbeat of an earlier target could be the first one after a
        restart of the agent. The next heartbeat would seem to come from a new target,
        and the agent would deny flows that the target holds.
        """
        seen_running = (
            self._heartbeat_at - self._known_since > HEARTBEAT_DELAY_SECONDS / 2
        )
        if self.name:
            # A predecessor that sent a single heartbeat may have ended before: flows
            # that were accepted earlier may be those of the target that runs now.
            self.former_until = (
                self._heartbeat_at - HEARTBEAT_DELAY_SECONDS
                if seen_running
                else float("-inf")
            )
            self._forget_answers()
            self._outlived_target |= seen_running
            self._seen_from_start = self._outlived_target
        elif self._is_first(now, heartbeat):
            self._seen_from_start = True
        self._known_since = now

    def _forget_answers(self) -> None:
        if self.health is not None:
            self.health.renew()
        if self.capacity is not None:
            self.capacity.renew()

    @property
    def usable_slots(self) -> int:
        """Requests that it works on at a time, as reported or as measured."""
        if self.capacity is None or not self.slots:
            return self.slots
        return self.capacity.slots(self.slots)

    def _is_first(self, now: float, heartbeat: Heartbeat) -> bool:
        """Return whether a target has certainly started while this agent ran.

        The number alone isn't enough: a target may accept flows before its first
        heartbeat. If its agent restarts in that time and receives number 1, it would
        deny the flows that it didn't see.
        """
        long_enough = (
            now - self._since > FIRST_HEARTBEAT_INTERVALS * self._heartbeat_interval
        )
        return heartbeat.number <= FIRST_HEARTBEAT_NUMBER and long_enough

    @property
    def may_be_older(self) -> bool:
        """Whether the target may have run before this agent.

        It hasn't if its very first heartbeat arrived here, or if it replaced another
        target that this agent knew.
        """
        return not self._seen_from_start

    def note_ended(self, target: str, born: int | None = None) -> bool:
        """Note that a target reports its end; return whether it is the known one.

        Reports of earlier starts and of other writers change nothing. Otherwise other
        agents would reset flows that the running target holds.
        """
        is_known = self._incarnations.end(target, born)
        if is_known:
            self.note_vanished()
        return is_known

    def may_have_ended(self, target: str, born: int | None) -> bool:
        """Return whether an end that wasn't believed may still be the target's.

        No heartbeat has arrived yet, or the report lacks the start time.
        """
        return not self.name or (target == self.name and born is None)

    def note_vanished(self) -> None:
        """Note that the target holds no flows any more."""
        self.leaving = True
        self.gone = True

    @property
    def is_known(self) -> bool:
        """Whether the target has sent a heartbeat or any data."""
        return bool(self.name) or self._has_answered

    def note_absent(self) -> None:
        """Note that no process runs where the target should."""
        if not self.is_known:
            self.leaving = True
            self.gone = True
            self._is_absent = True

    def note_appeared(self) -> None:
        """Note that a process runs where none did; it has sent no heartbeat yet."""
        if self._is_absent:
            self.leaving = False
            self.gone = False
            self._is_absent = False

    def heard(self, now: float) -> None:
        """Note any packet or heartbeat of the target."""
        self._heard_at = now
        self._silent_since = None
        self._unanswered_count = 0

    def note_working(self, now: float) -> None:
        """Note an answer to an opening, or data, which only a working target sends."""
        self._has_answered = True
        self.note_appeared()
        self.heard(now)

    def heard_since(self, moment: float) -> bool:
        """Return whether the target has sent anything after ``moment``."""
        return self._heard_at > moment

    def refused(self, now: float) -> None:
        """Note that the target returned an opening; it may have just started."""
        self._refused_at = now
        self.suspect_cold(now)

    def refused_recently(self, now: float) -> bool:
        """Return whether the target returned an opening recently.

        If it has done nothing else yet, it may be no target at all and counts as
        refusing until a heartbeat arrives.
        """
        if not self.name and not self._has_answered:
            return self._refused_at > float("-inf")
        return now - self._refused_at < REFUSAL_SECONDS

    def note_given(self, now: float) -> None:
        """Note that the target was sent a packet that it must answer."""
        if not self._unanswered_count:
            self._unanswered_since = now
        self._unanswered_count += 1

    def is_dead(self, now: float) -> bool:
        """Return whether the target certainly doesn't run.

        It is on the same machine and acknowledges openings and data in about a
        millisecond, however busy it is. Without this, the clients of its flows would
        wait for their timeout.
        """
        silent = self._unanswered_count >= MIN_UNANSWERED_PACKETS
        return silent and now - self._unanswered_since >= DEAD_SECONDS

    def unanswered(self, now: float, since: float) -> None:
        """Note that an opening sent to the target at ``since`` has no answer."""
        if self._heard_at < since and self._silent_since is None:
            self._silent_since = now
            self.suspect_cold(now)

    def answered(self, seconds: float) -> None:
        """Record the time that a request took until its answer began."""
        if not self.answer_time:
            self.answer_time = seconds
        self.answer_time += ANSWER_WEIGHT * (seconds - self.answer_time)

    def warming(self, now: float) -> float:
        """Return the seconds for which the target stays slow."""
        return max(0.0, self._warm_at - now)

    def suspect_cold(self, now: float) -> None:
        """Note that the target may have become cold without reporting it yet."""
        self._doubted_at = now

    def may_be_cold(self, now: float) -> bool:
        """Return whether the target may be slow for now.

        Its heartbeats alone aren't enough: if it has just started, or its data centre
        is back in use, it would count as warm until its next heartbeat.
        """
        return self._heartbeat_at <= self._doubted_at or self.warming(now) > 0

    def state(self, now: float) -> State:
        """Return the state to report for the target."""
        if self.leaving:
            return State.LEAVING
        if self._silent_since is not None or self.is_dead(now):
            return State.DOWN
        if not self.name:
            return State.ANSWERING if self._has_answered else State.STARTING
        if now - self._heard_at > MISSED_HEARTBEATS * self._heartbeat_interval:
            return State.DOWN
        return State.READY
