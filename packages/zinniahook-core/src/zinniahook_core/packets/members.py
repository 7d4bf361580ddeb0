"""The agents of one service, as one daemon knows them.

No single list of agents can be trusted. The store lists the agents that have announced
themselves, peers report the agents that they hear, and an agent that stays silent is
considered gone. A roster merges the three sources. Rosters of different daemons need
not agree: a wrong guess sends a packet a longer way, but never loses a flow.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .. import rendezvous
from .candidates import CANDIDATES, LOST_SECONDS, WIDE_FACTOR, CandidateSets
from .lost import LostMembers
from .member import LOGGED_NAMES, REPORTED_STATES, Changes, Member, RosterRow
from .models import State
from .tunnel import Status

__all__ = [
    "HELLO_RETRY_SECONDS",
    "LOGGED_NAMES",
    "ENTRY_ANSWER_TIMEOUT_SECONDS",
    "Changes",
    "Roster",
]

STATUS_INTERVAL_SECONDS = 0.2
"""Seconds between statuses to the peers of a small service."""

STATUSES_PER_SECOND = 60.0
"""Statuses that an agent sends per second to all its peers together: 4 KB/s at 70 bytes
each, with the IP and UDP headers. With more than 13 agents each peer gets them less
often, and an agent that needs newer data about a peer asks it."""

MISSED_STATUSES_LIMIT = 5
"""Missing statuses in a row after which a peer is considered gone: one second in a
small service. A frozen or restarting agent must stop being a home well within the 1.4 s
for which a client repeats its opening."""

PEER_ANSWER_TIMEOUT_SECONDS = 1.0
"""Seconds after the first unanswered question, which is repeated meanwhile, until a
peer is considered gone, however rarely statuses are sent."""

ENTRY_ANSWER_TIMEOUT_SECONDS = 0.8
"""The same at an entry, which hears an agent only in answer to its packets."""

HELLO_RETRY_SECONDS = 0.2
"""Seconds without an answer until a member is sent a hello. Otherwise one lost answer
in a hundred makes an agent seem gone, and its flows change homes back and forth."""

MEMBER_EXPIRY_SECONDS = 60.0
"""Seconds of silence until a member is forgotten. This is the longest that a flow may
live, so the member can't hold a flow any more, unless it was cut off: then it holds
new flows once it is back, and it is probed until then."""

UNHEARD_LOST_SECONDS = 1.2
"""The same limit as `LOST_SECONDS` for a member that was never heard: a killed process
runs again after 0.7 s and sends its status within the next 0.2 s."""

DEFAULT_SLOTS = 2
"""Slots assumed for a target until any target has reported its own. The number is low
because a target with too many requests answers all of them late."""

DISCOVERY_SECONDS = 5.0
"""Seconds after its start in which a daemon learns of the existing members."""

LATE_ORDER = 1 << 62
ORDERS_PER_SECOND = 1000
"""Orders of members that join after the discovery, above any in the store."""

MEMBERS_REVIEWED_PER_SECOND = 320
"""Members reviewed per second: each one twenty times in a service of 16."""

AGE_STEPS_PER_SECOND = 100
"""Resolution of reported ages. They are rounded up, so that none becomes younger."""

PROBE_MIN_SECONDS = 0.5
PROBE_MAX_SECONDS = 8.0
"""Shortest and longest time between two hellos to a silent member. The time doubles
with each hello, as most silent members never return and every daemon probes them."""


ENDED_MARGIN_SECONDS = 0.5
"""Seconds after the status that a member's target has ended in which a peer may have
heard an earlier one. It covers two lost statuses in a small service."""


class Roster:
    """The members of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    own : str
        Address of this daemon if it is a member itself; it is never silent.

    ``closed`` are the tags of the data centres whose members accept no new flows.
    ``lost`` are the members that were forgotten and may come back.
    ``epoch`` grows whenever a member joins, comes back or restarts, since it may then
    own a flow for which no owner was found before.
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
        self.lost = LostMembers()
        self._update_silence_limit()

    @property
    def status_interval(self) -> float:
        """Seconds between two statuses from a member to one of its peers."""
        return max(STATUS_INTERVAL_SECONDS, len(self.by_address) / STATUSES_PER_SECOND)

    def _update_silence_limit(self) -> None:
        self._silent_after = MISSED_STATUSES_LIMIT * self.status_interval

    # Members

    def add(
        self,
        now: float,
        address: str,
        zone: int,
        age: float = 0.0,
        order: int | None = None,
    ) -> Member:
        """Return the member at ``address``; add it if it isn't known.

        A new member, heard by a peer ``age`` seconds ago, counts as present until it is
        silent for too long. ``order`` grows with the time of joining, None if unknown.
        """
        member = self.by_address.get(address)
        if member is None:
            former_order = self.lost.take(address)
            order = former_order if order is None else order
            member = Member(address, zone, heard_at=now - age, known_at=now)
            member.order = self._order_of_unreported(now) if order is None else order
            self.by_address[address] = member
            self.last_joined_at = now
            self._candidates.add(member)
            self._update_silence_limit()
            self._start_epoch(member)
        return member

    def _start_epoch(self, member: Member) -> None:
        """Start a new epoch: a member may own flows that had no owner."""
        self.epoch += 1
        member.changed_epoch = self.epoch

    def _order_of_unreported(self, now: float) -> int:
        """Return the order of a member whose time of joining isn't known.

        During discovery it may be as old as any other; later it is the youngest.
        """
        if not self.by_address:
            self._discovery_begun_at = now
        during_discovery = now - self._discovery_begun_at < DISCOVERY_SECONDS
        return 0 if during_discovery else LATE_ORDER + round(now * ORDERS_PER_SECOND)

    def learn(self, now: float, address: str, zone: int, status: Status) -> bool:
        """Apply a status; return whether its sender's process is new."""
        member = self.add(now, address, zone)
        fresh = status.incarnation != member.incarnation
        # The silence limit grows with the number of members. With that limit alone,
        # an agent that was frozen while the service grew isn't noticed to be back,
        # and earlier search results that lack its answer still count.
        silent = self.is_silent(now, member) or now - member.heard_at > LOST_SECONDS
        former = member.state
        member.update(status, now)
        target_is_back = former is State.ENDED and member.state is not State.ENDED
        if fresh or silent or target_is_back:
            self._start_epoch(member)
        return fresh

    def drop(self, address: str) -> None:
        """Forget a member for good."""
        self.lost.take(address)
        member = self.by_address.pop(address, None)
        if member is not None:
            self._candidates.drop(member)
            self._update_silence_limit()

    def is_silent(self, now: float, member: Member) -> bool:
        """Return whether a member must be considered gone."""
        waiting = member.waiting_since
        if not self._is_peer:
            return waiting is not None and now - waiting > ENTRY_ANSWER_TIMEOUT_SECONDS
        if member.address == self._own:
            return False
        if now - member.heard_at > self._silent_after:
            return True
        return waiting is not None and now - waiting > PEER_ANSWER_TIMEOUT_SECONDS

    def is_reachable(self, now: float, address: str) -> bool:
        """Return whether a member is known and not silent."""
        member = self.by_address.get(address)
        return member is not None and not self.is_silent(now, member)

    def has_ended(self, address: str) -> bool:
        """Return whether a member has reported that its target has ended."""
        member = self.by_address.get(address)
        return member is not None and _has_surely_ended(member)

    def present(self, now: float) -> list[str]:
        """Return the addresses of the members that aren't silent."""
        return [name for name in self.by_address if self.is_reachable(now, name)]

    def is_due(self, now: float) -> bool:
        """Return whether the members should be reviewed again.

        The more members there are, the less often they are reviewed, so that an idle
        daemon costs the same in a service of any size.
        """
        if now - self._reviewed_at < len(self.by_address) / MEMBERS_REVIEWED_PER_SECOND:
            return False
        self._reviewed_at = now
        return True

    def refresh(self, now: float) -> Changes:
        """Forget expired members and return the changes since the last call."""
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
                if member.state is not State.ENDED:
                    self.lost.add(now, address, member.order)

    # Liveness

    def expect_answer(self, now: float, address: str) -> None:
        """Note that a member was sent something that it must answer."""
        member = self.by_address.get(address)
        if member is not None and member.waiting_since is None:
            member.waiting_since = now
            member.asked_at = now
            self._awaited[address] = None

    def hellos_due(self, now: float) -> list[str]:
        """Return the members that haven't answered and must be sent another hello."""
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
        """Return the silent members that must be probed with a hello."""
        due = []
        for member in self.by_address.values():
            if now < member.probe_at or not self.is_silent(now, member):
                continue
            member.probe_interval = min(PROBE_MAX_SECONDS, 2 * member.probe_interval)
            member.probe_interval = max(PROBE_MIN_SECONDS, member.probe_interval)
            member.probe_at = now + member.probe_interval
            due.append(member.address)
        return due

    # Candidates, homes and agents that open flows

    def candidates(self, now: float, flow: bytes, zone: int) -> list[Member]:
        """Return the members that may own a flow from one data centre."""
        return self._candidates.for_zone(now, flow, zone)

    def wide_candidates(self, now: float, flow: bytes) -> list[Member]:
        """Return the members that may own a flow opened under another roster."""
        return self._candidates.widened(now, flow)

    def homes(self, now: float, flow: bytes, limit: int = 2) -> list[str]:
        """Return the best ranked present members for a flow.

        Agents without a target are skipped while others exist. Such an agent is new and
        soon gets its target, or gets none and ends. If it were a home, some flows would
        change homes each time, and for a second openings would go to an agent that is
        gone.
        """
        members = self._candidates.for_flow(now, flow)
        present = [member for member in members if not self.is_silent(now, member)]
        with_target = [m.address for m in present if not m.has_no_target]
        names = with_target or [m.address for m in present]
        if len(names) <= 1:
            return names
        return rendezvous.rank(flow, names)[:limit]

    def home(self, now: float, flow: bytes) -> str | None:
        """Return the home of a flow, which knows its owner or places it."""
        homes = self.homes(now, flow, 1)
        return homes[0] if homes else None

    def takers(
        self, now: float, flow: bytes, zone: int, without: Iterable[str] = ()
    ) -> list[Member]:
        """Return the members that may open a flow.

        Ready members come first. A target that has answered but sent no heartbeat may
        be leaving, so its agent is used only if the others have no free slot. An agent
        that doesn't know whether it has a target gets one opening at a time. Without
        these two, after a restart of every agent one target gets all openings for up to
        a second, until the heartbeats of the others.

        If none of the flow's candidates has a target, the next agents on the ring are
        used; searches for the flow reach as far.
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
        present = [
            member
            for member in members
            if member.address not in without
            and member.zone not in self.closed
            and not self.is_silent(now, member)
        ]
        takers: list[Member] = []
        for state in (State.READY, State.ANSWERING):
            takers += [member for member in present if member.state is state]
            if any(member.has_free_slot for member in takers):
                return takers
        starting = [member for member in present if member.state is State.STARTING]
        if not takers:
            return starting
        return takers + [m for m in starting if m.has_free_slot and not m.placed]

    def openers(self, now: float) -> list[Member]:
        """Return the present members that may open flows."""
        return [
            member
            for member in self.by_address.values()
            if member.zone not in self.closed and not self.is_silent(now, member)
        ]

    def is_closed(self, now: float) -> bool:
        """Return whether every present member is in a closed data centre."""
        members = self.by_address.values()
        return bool(self.closed) and all(
            member.zone in self.closed or self.is_silent(now, member)
            for member in members
        )

    def absent(self, now: float, among: Iterable[Member]) -> list[str]:
        """Return the addresses of the silent members."""
        return [m.address for m in among if self.is_silent(now, m)]

    def may_hold_unseen(self, now: float, among: list[Member] | None = None) -> bool:
        """Return whether a silent member may still serve flows."""
        return bool(self.unseen(now, among))

    def unseen(self, now: float, among: list[Member] | None = None) -> list[str]:
        """Return the silent members, of all or of some, that may still serve flows.

        A member that no agent has heard for long is gone or cut off from its clients
        too, and one that never had a target holds no flows. If most members are silent,
        they are assumed to be starting. Otherwise an agent that runs a second before
        its peers considers all of them gone and resets their flows.

        A member whose target has ended holds none. Otherwise, for seconds after each
        planned end, no flow that lost its target is reset, and its client waits.
        """
        among = list(self.by_address.values()) if among is None else among
        absent = self.absent(now, among)
        mostly_silent = 2 * len(absent) > len(among)
        unknown_after = LOST_SECONDS if mostly_silent else UNHEARD_LOST_SECONDS
        unseen = []
        for address in absent:
            # A search may still refer to a member that was forgotten.
            member = self.by_address.get(address)
            if member is None or _has_surely_ended(member):
                continue
            silent_for = now - max(member.heard_at, member.heard_by_peer_at)
            known = member.may_hold_flows or member.heard_by_peer_at > float("-inf")
            if silent_for < (LOST_SECONDS if known else unknown_after):
                unseen.append(address)
        return unseen

    def median_slots(self) -> int:
        """Return the median of the slots that targets have reported."""
        slots = sorted(
            member.slots
            for member in self.by_address.values()
            if member.state in REPORTED_STATES
        )
        return slots[len(slots) // 2] if slots else DEFAULT_SLOTS

    # Rosters for other daemons

    def rows(self, now: float, since: float = float("-inf")) -> list[RosterRow]:
        """Return the members that became known after ``since``, for other daemons.

        The age of a row is the time since the member was heard with a target, in
        seconds; it is None if it never was or if its target has ended. Silent members
        that may hold flows are included: a daemon that has just started would otherwise
        consider them gone.
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
        # Only what this daemon heard itself is reported. Otherwise daemons would
        # repeat each other's reports about an agent that is gone for ever.
        known = member.has_reported and member.state is not State.ENDED
        silent_for = 0.0 if member.address == self._own else now - member.heard_at
        age = math.ceil(silent_for * AGE_STEPS_PER_SECOND) / AGE_STEPS_PER_SECOND
        return RosterRow(member.address, member.zone, age if known else None)

    def rosters_received_since(self, moment: float) -> int:
        """Return how many members have sent a roster since a moment."""
        return sum(m.roster_received_at >= moment for m in self.by_address.values())

    def learn_heard_by_peer(self, now: float, address: str, age: float | None) -> None:
        """Note that a peer has heard a member ``age`` seconds ago.

        Otherwise a member that only this daemon is cut off from seems gone, and a flow
        that its target holds is reset.
        """
        member = self.by_address.get(address)
        if member is None or age is None or now - age <= member.heard_by_peer_at:
            return
        if self.is_silent(now, member):
            self._start_epoch(member)
        member.heard_by_peer_at = now - age


def _has_surely_ended(member: Member) -> bool:
    """Return whether a member's target has ended and no peer has heard it since.

    The last status isn't enough: another process may start at that address, cut off
    from this daemon only, and its flows would be considered lost.
    """
    back = member.heard_by_peer_at > member.heard_at + ENDED_MARGIN_SECONDS
    return member.state is State.ENDED and not back


def _may_still_answer(now: float, member: Member) -> bool:
    """Return whether a member's answer may still arrive."""
    since = member.waiting_since
    return since is not None and now - since <= PEER_ANSWER_TIMEOUT_SECONDS
