"""The agents of one service, as one daemon sees them.

There is no list of agents anyone could trust: the store tells who announced
itself once, agents tell of their peers, and silence tells who is gone. A
roster merges the three. Nobody has to agree on it: a wrong guess costs a
longer way for a packet, never a flow.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .. import rendezvous
from .models import State
from .tunnel import Status

__all__ = ["UNANSWERED_AFTER", "Member", "Roster"]

STATUS_EVERY = 0.2
"""Seconds between statuses to the peers of the service."""

STATUS_BUDGET = 100.0
"""Statuses a second to all peers together, 70 bytes each with the heads of IP
and UDP: 7 KB/s. In a service of more than 20 agents each is heard less
often."""

STATUSES_LOST = 5
"""Statuses in a row without which a peer is taken as gone, one second in a
small service: a frozen or restarting agent must stop being home for others
well within the 1.4 s that a client's opening lasts."""

UNANSWERED_AFTER = 0.8
"""The same at an entry, which hears an agent only in answer to its packets:
seconds from the first unanswered packet on. An agent answers after 0.6 s at
the latest, as it answers no entry more often than each 0.4 s."""

FORGET_AFTER = 60.0
"""Seconds of silence after which a member is dropped: the longest that a flow
may live, so that no flow can still be held there."""

LOST_AFTER = 4.5
"""Seconds of silence after which nobody waits for a member's flows: longer
than any pause that an agent outlives in service (4 s)."""

UNKNOWN_LOST_AFTER = 1.2
"""The same for a member that was never heard with a target: a killed process
runs again after 0.7 s and tells of itself in the next 0.2 s."""

USUAL_SLOTS = 2
"""Slots of a target as long as none has told its own: few, as a target that
gets too much serves everything late."""

UNTOLD_STATES = frozenset((State.STARTING, State.ANSWERING))
"""States of an agent that has heard no heartbeat of its target yet."""

TOLD_STATES = frozenset((State.READY, State.LEAVING))
"""States of an agent that knows its target's slots from a heartbeat."""

PROBE_EVERY = 0.5
"""Seconds between two hellos to a silent member."""


@dataclass(slots=True)
class Member:
    """One agent: what it last said and when it was heard.

    ``zone`` is the tag of its data centre, ``vouched_at`` when a peer last heard
    it, as far as that peer has told.

    ``answer_time`` is the mean time until an answer begins, in seconds.
    ``busy`` and ``slots`` count requests, ``flows`` open flows, ``placed``
    what this daemon has sent there since the last status.
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
    probed_at: float = 0.0

    def take(self, status: Status, now: float) -> None:
        """Take what the member itself has just said."""
        self.incarnation = status.incarnation
        state = State(status.state)
        if state not in UNTOLD_STATES or self.state is not State.LEAVING:
            # What goes wrong without the check: the agent of a leaving target
            # restarts, doesn't know that it leaves, and gets openings.
            self.state = state
        self.slots = max(1, status.slots)
        self.busy = status.busy
        self.flows = status.flows
        self.warming = status.warming
        self.answer_time = status.answer_time
        self.placed = 0.0
        self.heard(now)

    @property
    def has_room(self) -> bool:
        """Whether a request that is sent there now needn't wait."""
        return self.busy + self.placed < self.slots

    @property
    def has_told(self) -> bool:
        """Whether a status of its own was heard."""
        return self.incarnation > 0

    @property
    def is_empty(self) -> bool:
        """Whether it says that it hasn't seen a target yet."""
        return self.has_told and self.state is State.STARTING

    def heard(self, now: float) -> None:
        """Note a sign of life."""
        self.heard_at = now
        self.confirmed = True
        self.waiting_since = None


class Roster:
    """The members of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    own : str
        Address of this daemon, if it is a member itself; it is never silent.
    """

    def __init__(self, service: str, own: str = "") -> None:
        self.service = service
        self.by_address: dict[str, Member] = {}
        self._own = own
        self._present: tuple[str, ...] | None = None
        self._candidates: tuple[str, ...] = ()
        self._is_peer = bool(own)

    @property
    def status_interval(self) -> float:
        """Seconds between two statuses of a member to its peers."""
        return max(STATUS_EVERY, len(self.by_address) / STATUS_BUDGET)

    def add(self, now: float, address: str, zone: int, age: float = 0.0) -> Member:
        """Return the member at ``address``, a new one if there is none.

        One that others only told of, ``age`` seconds after they heard it, counts
        as present until it has been silent for too long.
        """
        member = self.by_address.get(address)
        if member is None:
            member = Member(address, zone, heard_at=now - age)
            self.by_address[address] = member
            self._present = None
        return member

    def learn(self, now: float, address: str, zone: int, status: Status) -> bool:
        """Take a status; return whether its sender has just started."""
        member = self.add(now, address, zone)
        fresh = status.incarnation != member.incarnation
        member.take(status, now)
        self._present = None if fresh else self._present
        return fresh

    def drop(self, address: str) -> None:
        """Forget a member."""
        if self.by_address.pop(address, None) is not None:
            self._present = None

    def sent(self, now: float, address: str) -> None:
        """Note at an entry that a packet went to a member."""
        member = self.by_address.get(address)
        if member is not None and member.waiting_since is None:
            member.waiting_since = now

    def is_silent(self, now: float, member: Member) -> bool:
        """Tell whether a member must be taken as gone."""
        if member.address == self._own:
            return False
        if self._is_peer:
            return now - member.heard_at > STATUSES_LOST * self.status_interval
        waiting = member.waiting_since
        return waiting is not None and now - waiting > UNANSWERED_AFTER

    def refresh(self, now: float) -> bool:
        """Judge silence again; return whether who is present has changed."""
        for address, member in list(self.by_address.items()):
            if now - member.heard_at > FORGET_AFTER and self.is_silent(now, member):
                self.drop(address)
        former = self._present, self._candidates
        here = [m for m in self.by_address.values() if not self.is_silent(now, m)]
        self._present = tuple(sorted(member.address for member in here))
        seated = tuple(sorted(m.address for m in here if not m.is_empty))
        self._candidates = seated or self._present
        return former != (self._present, self._candidates)

    def present(self, now: float) -> tuple[str, ...]:
        """Return the addresses of those that can be asked and sent to."""
        if self._present is None:
            self.refresh(now)
        return self._present or ()

    def _home_candidates(self, now: float) -> tuple[str, ...]:
        """Return the addresses of those that may be home.

        What goes wrong if an agent without a target is one: it is new and its
        target comes in seconds, or none comes and the agent ends; each time a
        share of the flows changes its home, and the openings of a second are
        sent to an agent that is gone.
        """
        self.present(now)
        return self._candidates

    def absent(self, now: float) -> list[str]:
        """Return those that are silent but may still hold flows."""
        return [
            address
            for address, member in self.by_address.items()
            if self.is_silent(now, member)
        ]

    def may_hold_unseen(self, now: float) -> bool:
        """Tell whether a silent member may still serve flows.

        One that nobody has heard for long is cut off from its clients as well,
        or gone; one that never knew a target has none to hold flows. If most are
        silent they are starting. What goes wrong without: an agent that runs a
        second before its peers takes all of them for gone, and resets flows.
        """
        absent = self.absent(now)
        most = 2 * len(absent) > len(self.by_address)
        unknown_after = LOST_AFTER if most else UNKNOWN_LOST_AFTER
        for address in absent:
            member = self.by_address[address]
            silent_for = now - max(member.heard_at, member.vouched_at)
            known = member.confirmed and member.state is not State.STARTING
            known = known or member.vouched_at > float("-inf")
            if silent_for < (LOST_AFTER if known else unknown_after):
                return True
        return False

    def homes(self, now: float, flow: bytes, most: int = 2) -> list[str]:
        """Return the best ranked present members for a flow."""
        candidates = self._home_candidates(now)
        if len(candidates) <= 1:
            return list(candidates)
        return rendezvous.rank(flow, candidates)[:most]

    def home(self, now: float, flow: bytes) -> str | None:
        """Return the member that knows the owner of a flow, or places it."""
        candidates = self._home_candidates(now)
        return rendezvous.best(flow, candidates) if candidates else None

    def usual_slots(self) -> int:
        """Return the median of the slots that targets have told."""
        told = sorted(
            member.slots
            for member in self.by_address.values()
            if member.state in TOLD_STATES
        )
        return told[len(told) // 2] if told else USUAL_SLOTS

    def takers(self, now: float, without: Iterable[str] = ()) -> list[Member]:
        """Return the members that may open flows, else those that might.

        One whose target has only answered may be leaving, so it takes openings
        if the others have no free slot; one whose target hasn't shown itself
        may have none yet, and then gets one at a time. What goes wrong without
        them: after a restart of every agent one target gets all openings until
        the heartbeats of the others, which takes up to a second.
        """
        here = [
            self.by_address[address]
            for address in self.present(now)
            if address not in without
        ]
        takers: list[Member] = []
        for state in (State.READY, State.ANSWERING):
            takers += [member for member in here if member.state is state]
            if any(member.has_room for member in takers):
                return takers
        starting = [member for member in here if member.state is State.STARTING]
        if not takers:
            return starting
        return takers + [m for m in starting if m.has_room and not m.placed]

    def probes(self, now: float) -> list[str]:
        """Return the silent members that are due for a hello."""
        due = []
        for address in self.absent(now):
            member = self.by_address[address]
            if now - member.probed_at >= PROBE_EVERY:
                member.probed_at = now
                due.append(address)
        return due

    def rows(self, now: float) -> list[tuple[str, int, float | None]]:
        """Return the members, for others to learn from.

        Each is an address, the tag of the zone, and how many seconds ago it was
        heard with a target, None if never. Silent ones are among them if they
        may hold flows: a daemon that has just started would take them for gone.
        """
        present = self.present(now)
        rows = [self._row(now, member) for member in self.by_address.values()]
        return [row for row in rows if row[0] in present or row[2] is not None]

    def _row(self, now: float, member: Member) -> tuple[str, int, float | None]:
        # What others have told isn't told on: of an agent that is gone each
        # would have heard from the next one for ever.
        known = member.has_told and not member.is_empty
        silent_for = 0.0 if member.address == self._own else now - member.heard_at
        return member.address, member.zone, silent_for if known else None

    def vouch(self, now: float, address: str, age: float | None) -> None:
        """Note how long ago a peer has heard a member.

        What goes wrong without: a member that only this daemon is cut off from
        passes for gone, and a flow that its target holds is reset.
        """
        member = self.by_address.get(address)
        if member is not None and age is not None:
            member.vouched_at = max(member.vouched_at, now - age)
