"""One agent, as another daemon knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .models import State
from .reports import HealthReport, decode_cold, decode_health
from .sections import Section
from .tunnel import Status

__all__ = ["LOGGED_NAMES", "REPORTED_STATES", "Changes", "Member", "RosterRow"]

NO_TARGET_STATES = frozenset((State.STARTING, State.ENDED))
"""States of an agent that knows of no target."""

UNREPORTED_STATES = frozenset((State.STARTING, State.ANSWERING))
"""States of an agent that has received no heartbeat from its target yet."""

REPORTED_STATES = frozenset((State.READY, State.LEAVING))
"""States of an agent that knows its target's slots from a heartbeat."""


EJECTED_BELOW_SHARE = 0.1
"""Share of the usual openings below which a target counts as ejected. It lies between
`health.PROBE_SHARE` and `health.RAMP_START_SHARE`."""

EJECTED_FAILURES_LIMIT = 0.5
"""Share of failures up to which an ejected target is still used while no other target
has a free slot: it answers more requests than it loses, and waiting may lose them too.
"""


LOGGED_NAMES = 8
"""Names of agents in one log line. A full list would fill the log."""


class Changes(NamedTuple):
    """Members that have appeared or disappeared since the last review.

    ``homes_changed`` is whether the homes of any flow may have changed.
    """

    arrived: list[str]
    departed: list[str]
    homes_changed: bool

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of a log line: some names, and the number of the others."""
        return {
            "come": self.arrived[:LOGGED_NAMES],
            "gone": self.departed[:LOGGED_NAMES],
            "more": max(0, len(self.arrived) + len(self.departed) - 2 * LOGGED_NAMES),
        }


class RosterRow(NamedTuple):
    """An agent as listed in a roster.

    ``zone`` is the tag of its data centre. ``age`` is how many seconds ago the sender
    of the roster heard it with a target, None if never.
    """

    address: str
    zone: int
    age: float | None


@dataclass(slots=True)
class Member:
    """An agent, with its last status and the times at which it was heard.

    Times are seconds of the monotonic clock.

    Attributes
    ----------
    address : str
        IP address of the agent.
    zone : int
        Tag of its data centre.
    incarnation : int
        Number of its process; 0 until a status of its own was received.
    state : State
        State that it last reported.
    slots : int
        Requests that its target works on at a time.
    busy : float
        Requests in progress.
    flows : int
        Open flows.
    warming : float
        Seconds for which its target stays slow.
    answer_time : float
        Mean time until an answer begins, in seconds.
    placed : float
        Requests that this daemon has sent there since the last status.
    heard_at : float
        When this daemon last heard it. Until it has, when a peer had heard it.
    heard_by_peer_at : float
        When a peer last heard it, as far as that peer has reported.
    confirmed : bool
        Whether this daemon has ever heard it.
    waiting_since, asked_at : float
        Since when it owes an answer, None if it owes none, and when it was last
        asked for one.
    probe_at, probe_interval : float
        When it is probed next while it is silent, and seconds between probes.
    known_at : float
        Since when this daemon knows it.
    status_received_at, roster_received_at : float
        When its last status and its last roster were received.
    process_heard_at : float
        When its current process was first heard.
    order : int
        Grows with the moment at which it joined.
    sections : dict
        Optional sections of its last status.
    changed_epoch : int
        Epoch of the roster in which it joined, came back or restarted.
    health : HealthReport or None
        How its target answers, None if it doesn't report that.
    cold : float or None
        How much longer a request takes while its target is cold, None if it
        doesn't report that.
    """

    address: str
    zone: int
    incarnation: int = 0
    state: State = State.STARTING
    slots: int = 1
    busy: float = 0.0
    flows: int = 0
    warming: float = 0.0
    answer_time: float = 0.0
    placed: float = 0.0
    heard_at: float = 0.0
    heard_by_peer_at: float = float("-inf")
    confirmed: bool = False
    waiting_since: float | None = None
    asked_at: float = 0.0
    probe_at: float = 0.0
    probe_interval: float = 0.0
    known_at: float = 0.0
    status_received_at: float = float("-inf")
    process_heard_at: float = 0.0
    order: int = 0
    sections: dict[int, bytes] = field(default_factory=dict)
    changed_epoch: int = 0
    health: HealthReport | None = None
    cold: float | None = None
    roster_received_at: float = float("-inf")

    def update(self, status: Status, now: float) -> None:
        """Apply a status of the member itself."""
        if status.incarnation != self.incarnation:
            self.process_heard_at = now
        self.incarnation = status.incarnation
        state = status.state
        if state not in UNREPORTED_STATES or self.state is not State.LEAVING:
            # Otherwise the agent of a leaving target that restarts, and doesn't
            # know yet that the target is leaving, gets openings.
            self.state = state
        self.slots = max(1, status.slots)
        self.busy = status.busy
        self.flows = status.flows
        self.warming = status.warming
        self.answer_time = status.answer_time
        if self.sections or status.sections:
            self._read(status.sections)
        self.placed = 0.0
        self.status_received_at = now
        self.heard(now)

    def _read(self, sections: dict[int, bytes]) -> None:
        """Decode the optional sections of a status."""
        self.sections = sections
        health = sections.get(Section.HEALTH)
        self.health = decode_health(health) if health is not None else None
        cold = sections.get(Section.CAPACITY)
        self.cold = decode_cold(cold) if cold is not None else None

    @property
    def trust(self) -> float:
        """The share of the usual openings that it should get."""
        return 1.0 if self.health is None else self.health.trust

    @property
    def is_ejected(self) -> bool:
        """Whether its target was ejected because of its answers."""
        return self.health is not None and self.health.trust < EJECTED_BELOW_SHARE

    @property
    def fails_mostly(self) -> bool:
        """Whether its target was ejected and fails more requests than it answers."""
        health = self.health
        return (
            health is not None
            and self.is_ejected
            and health.failing > EJECTED_FAILURES_LIMIT
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether a request sent there now is served without waiting."""
        return self.busy + self.placed < self.slots

    @property
    def has_reported(self) -> bool:
        """Whether a status of its own was received."""
        return self.incarnation > 0

    @property
    def was_heard(self) -> bool:
        """Whether this daemon or a peer has ever heard it."""
        return self.confirmed or self.heard_by_peer_at > float("-inf")

    @property
    def has_no_target(self) -> bool:
        """Whether it reports that it has seen no target yet, or that it ended."""
        return self.has_reported and self.state in NO_TARGET_STATES

    @property
    def may_hold_flows(self) -> bool:
        """Whether its target may hold flows while the member is silent.

        An agent that hasn't seen its target yet may have one. Otherwise, if every
        process restarts and this one ends before its target has answered, the flows
        that the target holds are reset. An agent that has found no process there
        reports that its target has ended.
        """
        return self.confirmed and self.state is not State.ENDED

    def heard(self, now: float) -> None:
        """Note that a datagram of the member has arrived."""
        self.heard_at = now
        self.confirmed = True
        self.waiting_since = None
        self.probe_at = self.probe_interval = 0.0
