"""The agents of one service, as one daemon sees them.

There is no list of agents anyone could trust: the store tells who announced
itself once, agents tell of their peers, and silence tells who is gone. A
roster merges the three. Nobody has to agree on it: a wrong guess costs a
longer way for a packet, never a flow.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from .. import rendezvous
from .candidates import CANDIDATES, LOST_AFTER_SECONDS, WIDE_FACTOR, CandidateSets
from .member import REPORTED_STATES, Member, RosterRow
from .models import State
from .tunnel import Status

__all__ = [
    "HELLO_RETRY_SECONDS",
    "LOGGED_NAMES_LIMIT",
    "ENTRY_ANSWER_TIMEOUT_SECONDS",
    "Changes",
    "Roster",
]

STATUS_INTERVAL_SECONDS = 0.2
"""Seconds between statuses to the peers of the service."""

STATUSES_PER_SECOND = 60.0
"""Statuses a second to all peers together, 70 bytes each with the heads of IP
and UDP: 4 KB/s. In a service of more than 13 agents each is heard less often;
who must know more of another asks it."""

MISSED_STATUSES_LIMIT = 5
"""Statuses in a row without which a peer is taken as gone, one second in a
small service: a frozen or restarting agent must stop being home for others
well within the 1.4 s that a client's opening lasts."""

PEER_ANSWER_TIMEOUT_SECONDS = 1.0
"""Seconds from the first question that a peer has left unanswered, asked again
meanwhile, after which it is taken as gone, however rarely statuses come."""

ENTRY_ANSWER_TIMEOUT_SECONDS = 0.8
"""The same at an entry, which hears an agent only in answer to its packets."""

HELLO_RETRY_SECONDS = 0.2
"""Seconds without an answer after which a member is asked outright. What goes
wrong without: one answer in a hundred gets lost, an agent that runs passes for
gone, and its flows change their homes to and fro."""

MEMBER_EXPIRY_SECONDS = 60.0
"""Seconds of silence after which a member is dropped: the longest that a flow
may live, so that no flow can still be held there."""

UNHEARD_LOST_AFTER_SECONDS = 1.2
"""The same for a member that was never heard: a killed process runs again after
0.7 s and tells of itself in the next 0.2 s."""

DEFAULT_SLOTS = 2
"""Slots of a target as long as none has told its own: few, as a target that
gets too much serves everything late."""

DISCOVERY_SECONDS = 5.0
"""Seconds in which a daemon that starts meets the members that there are."""

LATE_JOIN_ORDER = 1 << 62
ORDERS_PER_SECOND = 1000
"""Orders of those that join later: above any that the store tells."""

MEMBERS_REVIEWED_PER_SECOND = 320
"""Members looked over in a second: twenty times each in a service of 16."""

AGE_STEPS_PER_SECOND = 100
"""Steps a second of the ages told, rounded up so that none grows younger."""

PROBE_MIN_SECONDS = 0.5
PROBE_MAX_SECONDS = 8.0
"""Seconds between two hellos to a silent member: doubled each time, as most
stay away, and each daemon asks them all."""


ENDED_MARGIN_SECONDS = 0.5
"""Seconds after a member has told its end for which the word of a peer that heard
it may be from before: two statuses of a small service got lost."""

LOGGED_NAMES_LIMIT = 8
"""Agents that a line of the log names; a list of all would fill the log."""


class Changes(NamedTuple):
    """Who has come and gone since somebody looked.

    ``homes_changed`` tells whether others than before may be home of a flow.
    """

    arrived: list[str]
    departed: list[str]
    homes_changed: bool

    def log_fields(self) -> dict[str, Any]:
        """Return what a line of the log tells: some names, and how many more."""
        return {
            "come": self.arrived[:LOGGED_NAMES_LIMIT],
            "gone": self.departed[:LOGGED_NAMES_LIMIT],
            "more": max(
                0, len(self.arrived) + len(self.departed) - 2 * LOGGED_NAMES_LIMIT
            ),
        }


class Roster:
    """The members of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    own : str
        Address of this daemon, if it is a member itself; it is never silent.

    ``closed`` are the tags of data centres whose members open no flows,
    ``epoch`` counts the members that came, came back, or started again: whoever
    may own flows that nobody owned before.
    """

    def __init__(self, service: str, own: str = "") -> None:
        self.service = service
        self.by_address: dict[str, Member] = {}
        self._own = own
        self._is_peer = bool(own)
        self._discovery_begun_at = float("-inf")
        self._present: set[str] = set()
        self._with_target: set[str] = set()
        self._on_ring: set[str] = set()
        self.epoch = 0
        self._awaited: dict[str, None] = {}
        self._candidates = CandidateSets(self.by_address, self.is_silent)
        self._reviewed_at = float("-inf")
        self.last_joined_at = float("-inf")
        self.closed: frozenset[int] = frozenset()
        self._update_silence_limit()

    @property
    def status_interval(self) -> float:
        """Seconds between two statuses of a member to one of its peers."""
        return max(STATUS_INTERVAL_SECONDS, len(self.by_address) / STATUSES_PER_SECOND)

    def _update_silence_limit(self) -> None:
        self._silent_after = MISSED_STATUSES_LIMIT * self.status_interval

    # Who there is

    def add(
        self,
        now: float,
        address: str,
        zone: int,
        age: float = 0.0,
        order: int | None = None,
    ) -> Member:
        """Return the member at ``address``, a new one if there is none.

        One that others only told of, ``age`` seconds after they heard it, counts
        as present until it has been silent for too long. ``order`` grows with
        the moments at which members joined, None if that isn't known.
        """
        member = self.by_address.get(address)
        if member is None:
            member = Member(address, zone, heard_at=now - age, known_at=now)
            member.order = self._order_of_unreported(now) if order is None else order
            self.by_address[address] = member
            self.last_joined_at = now
            self._candidates.add(member)
            self._update_silence_limit()
            self._start_epoch(member)
        return member

    def _start_epoch(self, member: Member) -> None:
        """Note that a member may own flows that nobody owned before."""
        self.epoch += 1
        member.changed_epoch = self.epoch

    def _order_of_unreported(self, now: float) -> int:
        """Return the order of one that joined at a moment that nobody told.

        Those that are met while this daemon finds out who there is may be as old
        as any; later ones are the youngest.
        """
        if not self.by_address:
            self._discovery_begun_at = now
        during_discovery = now - self._discovery_begun_at < DISCOVERY_SECONDS
        return (
            0 if during_discovery else LATE_JOIN_ORDER + round(now * ORDERS_PER_SECOND)
        )

    def learn(self, now: float, address: str, zone: int, status: Status) -> bool:
        """Take a status; return whether its sender has just started."""
        member = self.add(now, address, zone)
        fresh = status.incarnation != member.incarnation
        # How long is silent changes with the number of members. What goes wrong
        # with that alone: one that was frozen comes back in a service that has
        # grown, what others denied for it still counts, and it isn't asked.
        silent = (
            self.is_silent(now, member) or now - member.heard_at > LOST_AFTER_SECONDS
        )
        former = member.state
        member.update(status, now)
        target_is_back = former is State.ENDED and member.state is not State.ENDED
        if fresh or silent or target_is_back:
            self._start_epoch(member)
        return fresh

    def drop(self, address: str) -> None:
        """Forget a member."""
        member = self.by_address.pop(address, None)
        if member is not None:
            self._candidates.drop(member)
            self._update_silence_limit()

    def is_silent(self, now: float, member: Member) -> bool:
        """Tell whether a member must be taken as gone."""
        waiting = member.waiting_since
        if not self._is_peer:
            return waiting is not None and now - waiting > ENTRY_ANSWER_TIMEOUT_SECONDS
        if member.address == self._own:
            return False
        if now - member.heard_at > self._silent_after:
            return True
        return waiting is not None and now - waiting > PEER_ANSWER_TIMEOUT_SECONDS

    def is_reachable(self, now: float, address: str) -> bool:
        """Tell whether a member can be asked and sent to."""
        member = self.by_address.get(address)
        return member is not None and not self.is_silent(now, member)

    def has_ended(self, address: str) -> bool:
        """Tell whether a member has said that its target has ended."""
        member = self.by_address.get(address)
        return member is not None and _has_surely_ended(member)

    def present(self, now: float) -> list[str]:
        """Return the addresses of those that can be asked and sent to."""
        return [name for name in self.by_address if self.is_reachable(now, name)]

    def is_due(self, now: float) -> bool:
        """Tell whether the members should be looked over again.

        Less often the more there are, so that a daemon that has nothing to do
        costs the same in a service of any size.
        """
        if now - self._reviewed_at < len(self.by_address) / MEMBERS_REVIEWED_PER_SECOND:
            return False
        self._reviewed_at = now
        return True

    def refresh(self, now: float) -> Changes:
        """Forget who is long gone; return what has changed since the last call."""
        present = [m for m in self.by_address.values() if not self.is_silent(now, m)]
        self._forget(now)
        with_target = [member for member in present if not member.has_no_target]
        former, former_with_target = self._present, self._with_target
        former_on_ring = self._on_ring
        self._present = {member.address for member in present}
        self._with_target = {member.address for member in with_target or present}
        self._on_ring = self._candidates.on_ring(now)
        arrived, departed = self._present - former, former - self._present
        homes_changed = (
            self._with_target != former_with_target or self._on_ring != former_on_ring
        )
        return Changes(sorted(arrived), sorted(departed), homes_changed)

    def _forget(self, now: float) -> None:
        for address, member in list(self.by_address.items()):
            if now - member.heard_at <= MEMBER_EXPIRY_SECONDS:
                continue
            if member.state is State.ENDED or self.is_silent(now, member):
                self.drop(address)

    # Whom to ask whether it is there

    def expect_answer(self, now: float, address: str) -> None:
        """Note that a member got something that it must answer."""
        member = self.by_address.get(address)
        if member is not None and member.waiting_since is None:
            member.waiting_since = now
            member.asked_at = now
            self._awaited[address] = None

    def hellos_due(self, now: float) -> list[str]:
        """Return the members that are due for a question once more."""
        due = []
        for address in list(self._awaited):
            member = self.by_address.get(address)
            if member is None or not _may_still_answer(now, member):
                del self._awaited[address]
            elif now - member.asked_at >= HELLO_RETRY_SECONDS:
                member.asked_at = now
                due.append(address)
        return due

    def probes_due(self, now: float) -> list[str]:
        """Return the silent members that are due for a hello."""
        due = []
        for member in self.by_address.values():
            if now < member.probe_at or not self.is_silent(now, member):
                continue
            member.probe_interval = min(PROBE_MAX_SECONDS, 2 * member.probe_interval)
            member.probe_interval = max(PROBE_MIN_SECONDS, member.probe_interval)
            member.probe_at = now + member.probe_interval
            due.append(member.address)
        return due

    # Whom a flow concerns

    def candidates(self, now: float, flow: bytes, zone: int) -> list[Member]:
        """Return the members that may have opened a flow of one data centre."""
        return self._candidates.for_zone(now, flow, zone)

    def wide_candidates(self, now: float, flow: bytes) -> list[Member]:
        """Return the members that may have opened a flow, as others saw it."""
        return self._candidates.widened(now, flow)

    def homes(self, now: float, flow: bytes, most: int = 2) -> list[str]:
        """Return the best ranked present members for a flow.

        What goes wrong if an agent without a target is one: it is new and its
        target comes in seconds, or none comes and the agent ends; each time a
        share of the flows changes its home, and the openings of a second are
        sent to an agent that is gone.
        """
        members = self._candidates.for_flow(now, flow)
        here = [member for member in members if not self.is_silent(now, member)]
        with_target = [m.address for m in here if not m.has_no_target]
        names = with_target or [m.address for m in here]
        if len(names) <= 1:
            return names
        return rendezvous.rank(flow, names)[:most]

    def home(self, now: float, flow: bytes) -> str | None:
        """Return the member that knows the owner of a flow, or places it."""
        homes = self.homes(now, flow, 1)
        return homes[0] if homes else None

    def takers(
        self, now: float, flow: bytes, zone: int, without: Iterable[str] = ()
    ) -> list[Member]:
        """Return the members that may open a flow, else those that might.

        One whose target has only answered may be leaving, so it takes openings
        if the others have no free slot; one whose target hasn't shown itself
        may have none yet, and then gets one at a time. What goes wrong without
        them: after a restart of every agent one target gets all openings until
        the heartbeats of the others, which takes up to a second.

        If none of those that the flow belongs to has a target, the next ones
        are asked: its searches reach as far.
        """
        takers = self._accepting(now, self.candidates(now, flow, zone), without)
        if takers:
            return takers
        return self._accepting(
            now, self._candidates.for_flow(now, flow, WIDE_FACTOR * CANDIDATES), without
        )

    def _accepting(
        self, now: float, members: list[Member], without: Iterable[str]
    ) -> list[Member]:
        here = [
            member
            for member in members
            if member.address not in without
            and member.zone not in self.closed
            and not self.is_silent(now, member)
        ]
        takers: list[Member] = []
        for state in (State.READY, State.ANSWERING):
            takers += [member for member in here if member.state is state]
            if any(member.has_free_slot for member in takers):
                return takers
        starting = [member for member in here if member.state is State.STARTING]
        if not takers:
            return starting
        return takers + [m for m in starting if m.has_free_slot and not m.placed]

    def openers(self, now: float) -> list[Member]:
        """Return the members that are here and may open flows."""
        return [
            member
            for member in self.by_address.values()
            if member.zone not in self.closed and not self.is_silent(now, member)
        ]

    def is_closed(self, now: float) -> bool:
        """Tell whether every member that is here stands in a closed data centre."""
        members = self.by_address.values()
        return bool(self.closed) and all(
            member.zone in self.closed or self.is_silent(now, member)
            for member in members
        )

    def absent(self, now: float, among: Iterable[Member]) -> list[str]:
        """Return those that are silent but may still hold flows."""
        return [m.address for m in among if self.is_silent(now, m)]

    def may_hold_unseen(self, now: float, among: list[Member] | None = None) -> bool:
        """Tell whether a silent member, of all or of some, may still serve flows."""
        return bool(self.unseen(now, among))

    def unseen(self, now: float, among: list[Member] | None = None) -> list[str]:
        """Return the silent members, of all or of some, that may still serve flows.

        One that nobody has heard for long is cut off from its clients as well,
        or gone; one that never knew a target has none to hold flows. If most are
        silent they are starting. What goes wrong without: an agent that runs a
        second before its peers takes all of them for gone, and resets flows.
        One that has said that its target has ended holds none. What goes wrong if
        it counts: for seconds after each planned end, no flow that lost its
        target is ended, and its client waits until its time is over.
        """
        among = list(self.by_address.values()) if among is None else among
        absent = self.absent(now, among)
        most = 2 * len(absent) > len(among)
        unknown_after = LOST_AFTER_SECONDS if most else UNHEARD_LOST_AFTER_SECONDS
        unseen = []
        for address in absent:
            # A search may still ask for one that was forgotten meanwhile.
            member = self.by_address.get(address)
            if member is None or _has_surely_ended(member):
                continue
            silent_for = now - max(member.heard_at, member.heard_by_peer_at)
            known = member.may_hold_flows or member.heard_by_peer_at > float("-inf")
            if silent_for < (LOST_AFTER_SECONDS if known else unknown_after):
                unseen.append(address)
        return unseen

    def median_slots(self) -> int:
        """Return the median of the slots that targets have told."""
        told = sorted(
            member.slots
            for member in self.by_address.values()
            if member.state in REPORTED_STATES
        )
        return told[len(told) // 2] if told else DEFAULT_SLOTS

    # What others are told

    def rows(self, now: float, since: float = float("-inf")) -> list[RosterRow]:
        """Return the members that are known since a moment, to tell others.

        Each is an address, the tag of the zone, and how many seconds ago it was
        heard, None if never or if its target has ended. Silent ones are among them
        if they may hold flows: a daemon that has just started would take them for
        gone.
        """
        rows = [
            (member, self._row(now, member))
            for member in self.by_address.values()
            if member.known_at > since
        ]
        return [
            row
            for member, row in rows
            if row.age is not None or not self.is_silent(now, member)
        ]

    def _row(self, now: float, member: Member) -> RosterRow:
        # What others have told isn't told on: of an agent that is gone each
        # would have heard from the next one for ever.
        known = member.has_reported and member.state is not State.ENDED
        silent_for = 0.0 if member.address == self._own else now - member.heard_at
        age = math.ceil(silent_for * AGE_STEPS_PER_SECOND) / AGE_STEPS_PER_SECOND
        return RosterRow(member.address, member.zone, age if known else None)

    def rosters_received_since(self, moment: float) -> int:
        """Return how many members have told whom they hear since a moment."""
        return sum(m.roster_received_at >= moment for m in self.by_address.values())

    def learn_heard_by_peer(self, now: float, address: str, age: float | None) -> None:
        """Note how long ago a peer has heard a member.

        What goes wrong without: a member that only this daemon is cut off from
        passes for gone, and a flow that its target holds is reset.
        """
        member = self.by_address.get(address)
        if member is None or age is None or now - age <= member.heard_by_peer_at:
            return
        if self.is_silent(now, member):
            self._start_epoch(member)
        member.heard_by_peer_at = now - age


def _has_surely_ended(member: Member) -> bool:
    """Tell whether a member's target has ended, as far as anybody has told.

    What goes wrong with its last word alone: another process starts at its address,
    cut off from this daemon only, and flows that it holds pass for lost.
    """
    back = member.heard_by_peer_at > member.heard_at + ENDED_MARGIN_SECONDS
    return member.state is State.ENDED and not back


def _may_still_answer(now: float, member: Member) -> bool:
    """Tell whether a member's answer may still come."""
    since = member.waiting_since
    return since is not None and now - since <= PEER_ANSWER_TIMEOUT_SECONDS
