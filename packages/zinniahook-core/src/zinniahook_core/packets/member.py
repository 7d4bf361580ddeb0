"""One agent, as another daemon knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .models import State
from .reports import HealthReport, decode_cold, decode_health
from .sections import Section
from .tunnel import Status

__all__ = ["TOLD_STATES", "Member", "Row"]

EMPTY_STATES = frozenset((State.STARTING, State.ENDED))
"""States of an agent that knows of no target."""

UNTOLD_STATES = frozenset((State.STARTING, State.ANSWERING))
"""States of an agent that has heard no heartbeat of its target yet."""

TOLD_STATES = frozenset((State.READY, State.LEAVING))
"""States of an agent that knows its target's slots from a heartbeat."""


ASIDE_BELOW = 0.1
"""Share of the usual openings below which a target counts as set aside: between
`health.PROBE_SHARE` and `health.RAMP_START_SHARE`."""

FAILING_MOST = 0.5
"""Share of failures up to which a target that was set aside is still used while no
other has a free slot: more is answered than lost, and waiting may lose it too."""


class Row(NamedTuple):
    """An agent as a roster tells of it.

    ``zone`` is the tag of its data centre, ``age`` how many seconds ago the
    teller heard it with a target, None if never.
    """

    address: str
    zone: int
    age: float | None


@dataclass(slots=True)
class Member:
    """One agent: what it last said and when it was heard.

    ``zone`` is the tag of its data centre, ``vouched_at`` when a peer last heard
    it, as far as that peer has told.

    ``answer_time`` is the mean time until an answer begins, in seconds.
    ``busy`` and ``slots`` count requests, ``flows`` open flows, ``placed``
    what this daemon has sent there since the last status, ``told_at`` when that
    was. ``waiting_since`` is since when it owes an answer, ``asked_at`` when it
    was last asked for it, ``probe_at`` and ``probe_pause`` when and how rarely
    it is asked while it is silent, ``known_at`` since when it is known here,
    ``since`` when its process was first heard, ``order`` after whom it joined,
    ``sections`` what features told with its last status, ``changed`` the
    roster's epoch in which it came, came back, or started again, ``health`` and
    ``cold`` what was read of the sections: how its target answers, and how much
    longer it takes while it is cold, None if that isn't told, ``told_members_at``
    when it last told whom it hears.
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
    vouched_at: float = float("-inf")
    confirmed: bool = False
    waiting_since: float | None = None
    asked_at: float = 0.0
    probe_at: float = 0.0
    probe_pause: float = 0.0
    known_at: float = 0.0
    told_at: float = float("-inf")
    since: float = 0.0
    order: int = 0
    sections: dict[int, bytes] = field(default_factory=dict)
    changed: int = 0
    health: HealthReport | None = None
    cold: float | None = None
    told_members_at: float = float("-inf")

    def take(self, status: Status, now: float) -> None:
        """Take what the member itself has just said."""
        if status.incarnation != self.incarnation:
            self.since = now
        self.incarnation = status.incarnation
        state = status.state
        if state not in UNTOLD_STATES or self.state is not State.LEAVING:
            # What goes wrong without the check: the agent of a leaving target
            # restarts, doesn't know that it leaves, and gets openings.
            self.state = state
        self.slots = max(1, status.slots)
        self.busy = status.busy
        self.flows = status.flows
        self.warming = status.warming
        self.answer_time = status.answer_time
        if self.sections or status.sections:
            self._read(status.sections)
        self.placed = 0.0
        self.told_at = now
        self.heard(now)

    def _read(self, sections: dict[int, bytes]) -> None:
        """Take what features tell."""
        self.sections = sections
        health = sections.get(Section.HEALTH)
        self.health = decode_health(health) if health is not None else None
        cold = sections.get(Section.CAPACITY)
        self.cold = decode_cold(cold) if cold is not None else None

    @property
    def trust(self) -> float:
        """The share of openings that it should get of what is usual."""
        return 1.0 if self.health is None else self.health.trust

    @property
    def is_aside(self) -> bool:
        """Whether its target was set aside by its answers."""
        return self.health is not None and self.health.trust < ASIDE_BELOW

    @property
    def is_lost(self) -> bool:
        """Whether it was set aside and fails more than it answers."""
        health = self.health
        return health is not None and self.is_aside and health.failing > FAILING_MOST

    @property
    def has_room(self) -> bool:
        """Whether a request that is sent there now needn't wait."""
        return self.busy + self.placed < self.slots

    @property
    def has_told(self) -> bool:
        """Whether a status of its own was heard."""
        return self.incarnation > 0

    @property
    def was_heard(self) -> bool:
        """Whether this daemon or a peer has ever heard it."""
        return self.confirmed or self.vouched_at > float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether it says that it hasn't seen a target yet, or not any more."""
        return self.has_told and self.state in EMPTY_STATES

    @property
    def may_serve_unseen(self) -> bool:
        """Whether its target may hold flows although it isn't heard any more.

        What goes wrong if one passes for empty that hasn't seen its target yet: every
        process starts again, this one ends before its target could show itself, and
        the flows that the target holds are reset. One that has found no process there
        says so.
        """
        return self.confirmed and self.state is not State.ENDED

    def heard(self, now: float) -> None:
        """Note a sign of life."""
        self.heard_at = now
        self.confirmed = True
        self.waiting_since = None
        self.probe_at = self.probe_pause = 0.0
