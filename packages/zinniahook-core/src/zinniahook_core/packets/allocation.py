"""The load of a service as a whole and the allocation of its slots.

This handles demand above the capacity of all targets for seconds, from one data centre
or of one kind of request. Agents with waiting openings report their counts by data
centre and priority. From the latest counts, each home computes the same shares without
asking any other daemon. See ``docs/design/room.md``.
"""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .backlog import MAX_WAIT_SECONDS
from .flows import Flows
from .member import Member
from .models import Routes, State, route_key
from .placement import WARMING_FACTOR
from .sections import Section

__all__ = [
    "MAX_PRIORITY",
    "TrafficClass",
    "RequestCounter",
    "Count",
    "ServiceLoad",
    "Allocation",
    "all_wait",
    "decode_counts",
    "encode_counts",
    "max_min",
    "divide_slots",
    "allocate",
]

ROW_FORMAT = struct.Struct("!HBHB")
BUSY_UNITS = 100
MAX_PRIORITY = 0xFF
"""Higher priorities are counted as this one."""

MAX_WAITING = 0xFF
MAX_UINT16 = 0xFFFF
MAX_ROWS = 16
"""Rows in an agent's report, 6 bytes each: four data centres and four priorities."""

MAX_COUNTS_AGE_SECONDS = 2.0
"""Maximum age of counts in seconds. In a large service statuses come less often, and
the service is judged by the members heard within that time."""

MIN_SAMPLE_SHARE = 0.25
"""Share of the ready members whose counts must be known. Otherwise a daemon that is cut
off from most agents would see two full ones and reject openings for all."""

OVERLOAD_FULL_SHARE = 0.9
"""Share of the slots, at members with waiting openings, at which an overload begins:
the other slots are too few to reach all candidates of a flow."""

RELIEF_FULL_SHARE = 0.7
"""Share of such slots below which an overload ends. With one threshold for both, each
status that reports an empty queue would turn rejecting off, and the next one on."""

RELIEF_DEMAND = 0.9
"""Demand as a share of capacity below which an overload ends."""

FLOOR_SHARE = 0.5
"""Part of an even share that each traffic class gets before weights count, so that the
least urgent class always gets some slots."""

PRIORITY_WEIGHT_RATIO = 0.5
"""Weight of a priority relative to the next more urgent one."""

MIN_REVIEW_INTERVAL_SECONDS = 0.2
MEMBERS_REVIEWED_PER_SECOND = 1600
"""Minimum seconds between two reviews of the members, and members reviewed a second."""

REJECT_AFTER_SECONDS = 4.2
"""Seconds that an overload must have lasted before openings are rejected: three tries
of a client that gets no answer. In a short overload, a client that is rejected
immediately uses up its tries within a second, while one that gets no answer would
have been served at its last try."""

MIN_ANSWER_SECONDS = 0.001
"""Assumed minimum for the answer time: members that have answered nothing yet report 0,
and no number of openings would then lead to a wait."""


class TrafficClass(NamedTuple):
    """The requests of one data centre, given by its tag, with one priority."""

    zone: int
    priority: int


class Count(NamedTuple):
    """Requests of one class at one agent: in progress, and openings that wait."""

    busy: float
    waiting: int


class Allocation(NamedTuple):
    """How a service's slots are shared.

    Attributes
    ----------
    demand, capacity : float
        In slots.
    full : float
        Share of the slots at members with waiting openings.
    slots_by_class : dict
        Slots allocated to each class.
    waits_by_class : dict
        Seconds that an opening of each class waits.
    """

    demand: float
    capacity: float
    full: float
    slots_by_class: dict[TrafficClass, float]
    waits_by_class: dict[TrafficClass, float]

    def shares_by_priority(self) -> dict[int, float]:
        """Return the slots of each priority, summed over all data centres."""
        by_priority: dict[int, float] = {}
        for traffic_class, share in self.slots_by_class.items():
            by_priority[traffic_class.priority] = (
                by_priority.get(traffic_class.priority, 0.0) + share
            )
        return by_priority


def encode_counts(counts_by_class: Mapping[TrafficClass, Count]) -> bytes:
    """Encode the counts of an agent's requests, the largest classes first."""
    rows = sorted(
        counts_by_class.items(),
        key=lambda item: (-item[1].waiting, -item[1].busy, item[0]),
    )
    return b"".join(
        ROW_FORMAT.pack(
            traffic_class.zone,
            max(0, min(MAX_PRIORITY, traffic_class.priority)),
            min(MAX_UINT16, round(count.busy * BUSY_UNITS)),
            min(MAX_WAITING, count.waiting),
        )
        for traffic_class, count in rows[:MAX_ROWS]
    )


def decode_counts(body: bytes) -> dict[TrafficClass, Count]:
    """Decode the counts that an agent reported; empty if malformed."""
    if len(body) % ROW_FORMAT.size:
        return {}
    counts: dict[TrafficClass, Count] = {}
    for at in range(0, len(body), ROW_FORMAT.size):
        zone, priority, busy, waiting = ROW_FORMAT.unpack_from(body, at)
        counts[TrafficClass(zone, priority)] = Count(busy / BUSY_UNITS, waiting)
    return counts


def max_min(
    demands: Sequence[float], weights: Sequence[float], capacity: float
) -> list[float]:
    """Divide a capacity by max-min fairness, in proportion to the weights.

    No share exceeds what is wanted.
    """
    granted = [0.0] * len(demands)
    remaining = capacity
    # The smallest demand relative to its weight is satisfied first.
    order = sorted(range(len(demands)), key=lambda i: demands[i] / weights[i])
    weight_left = sum(weights)
    for index in order:
        # Weights that differ by more than a float holds may leave no weight at the end.
        share = (
            remaining * weights[index] / weight_left if weight_left > 0 else remaining
        )
        granted[index] = min(demands[index], max(0.0, share))
        remaining -= granted[index]
        weight_left -= weights[index]
    return granted


def divide_slots(
    demand_by_class: Mapping[TrafficClass, float], capacity: float
) -> dict[TrafficClass, float]:
    """Return the slots of each class: a floor for each, the rest by priority."""
    classes = sorted(demand_by_class)
    if not classes:
        return {}
    ranks = sorted({traffic_class.priority for traffic_class in classes})
    weights = [
        PRIORITY_WEIGHT_RATIO ** ranks.index(traffic_class.priority)
        for traffic_class in classes
    ]
    demands = [demand_by_class[traffic_class] for traffic_class in classes]
    even = FLOOR_SHARE * capacity / len(classes)
    floors = [min(demand, even) for demand in demands]
    remaining_demands = [
        demand - floor for demand, floor in zip(demands, floors, strict=True)
    ]
    rest = max_min(remaining_demands, weights, capacity - sum(floors))
    return {
        traffic_class: floor + extra
        for traffic_class, floor, extra in zip(classes, floors, rest, strict=True)
    }


@dataclass(slots=True)
class _Totals:
    """Sums over the members of a sample."""

    busy: float = 0.0
    waiting: int = 0
    slots: float = 0.0
    full_slots: float = 0.0
    answer_time_by_slots: float = 0.0
    counts_by_class: dict[TrafficClass, Count] = field(default_factory=dict)

    def add(self, member: Member, counts: dict[TrafficClass, Count]) -> None:
        """Add a member."""
        waiting = sum(count.waiting for count in counts.values())
        slots = member.slots / (WARMING_FACTOR if member.warming > 0 else 1.0)
        self.slots += slots
        self.full_slots += slots if waiting else 0.0
        # Members report counts only while openings wait, but their load always.
        self.busy += min(member.busy, member.slots) if not waiting else 0.0
        self.waiting += waiting
        self.answer_time_by_slots += member.answer_time * slots
        for traffic_class, count in counts.items():
            self.busy += count.busy
            known = self.counts_by_class.get(traffic_class, Count(0.0, 0))
            self.counts_by_class[traffic_class] = Count(
                known.busy + count.busy, known.waiting + count.waiting
            )


def allocate(now: float, members: Iterable[Member]) -> Allocation | None:
    """Return how members share their slots; None if too few have reported.

    ``members`` are those that may open flows. All numbers cover only the members that
    have reported recently; their proportions are those of the whole service.
    """
    total, heard, known = 0, 0, _Totals()
    for member in members:
        if member.state is not State.READY:
            continue
        total += 1
        if now - member.status_received_at <= MAX_COUNTS_AGE_SECONDS:
            heard += 1
            known.add(member, decode_counts(member.sections.get(Section.DEMAND, b"")))
    if not heard or heard < MIN_SAMPLE_SHARE * total:
        return None
    demands = {c: n.busy + n.waiting for c, n in known.counts_by_class.items()}
    by_class = divide_slots(demands, known.slots)
    mean = known.answer_time_by_slots / known.slots
    answer_time = max(MIN_ANSWER_SECONDS, mean)
    waits = {
        traffic_class: count.waiting * answer_time / by_class[traffic_class]
        if by_class[traffic_class]
        else 0.0
        for traffic_class, count in known.counts_by_class.items()
    }
    demand = known.busy + known.waiting
    full = known.full_slots / known.slots
    return Allocation(demand, known.slots, full, by_class, waits)


class RequestCounter:
    """Counts the requests at one target by data centre and priority.

    Parameters
    ----------
    flows : Flows
        The flows of the target.
    """

    def __init__(self, flows: Flows) -> None:
        self._flows = flows
        self._at = float("-inf")
        self._busy: Counter[TrafficClass] = Counter()

    def section(
        self, now: float, routes: Routes, waiting: Mapping[tuple[int, int], int]
    ) -> bytes:
        """Return the agent's report; ``waiting`` are the openings by class."""
        if now - self._at >= MIN_REVIEW_INTERVAL_SECONDS:
            self._at = now
            self._count(routes)
        counts = {
            traffic_class: Count(float(busy), 0)
            for traffic_class, busy in self._busy.items()
        }
        for (zone, priority), number in waiting.items():
            if number:
                traffic_class = TrafficClass(zone, priority)
                counts[traffic_class] = Count(float(self._busy[traffic_class]), number)
        return encode_counts(counts)

    def _count(self, routes: Routes) -> None:
        self._busy = Counter()
        for flow in self._flows.by_key.values():
            if flow.requested_at is not None:
                route = routes.by_address.get(route_key(flow.key))
                priority = route.urgency.priority if route else 0
                self._busy[TrafficClass(flow.zone, priority)] += 1


class ServiceLoad:
    """A home's view of its service's load.

    Attributes
    ----------
    since : float or None
        When the current overload began, None if there is none.
    allocation : Allocation or None
        The last allocation computed.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.allocation: Allocation | None = None
        self._reviewed_at = float("-inf")

    def is_due(self, now: float, members: int) -> bool:
        """Return whether the members should be reviewed again."""
        pause = max(MIN_REVIEW_INTERVAL_SECONDS, members / MEMBERS_REVIEWED_PER_SECOND)
        return now - self._reviewed_at >= pause

    def clear(self) -> None:
        """Discard all state, as the feature is off."""
        self.since = self.allocation = None

    def review(self, now: float, members: Iterable[Member]) -> bool:
        """Review the members; return whether an overload began or ended."""
        self._reviewed_at = now
        self.allocation = allocate(now, members)
        former = self.since is not None
        if not self._is_overloaded(former):
            self.since = None
        elif not former:
            self.since = now
        return former != (self.since is not None)

    def _is_overloaded(self, former: bool) -> bool:
        known = self.allocation
        if known is None:
            return False
        if former:
            demanded = known.demand >= RELIEF_DEMAND * known.capacity
            return demanded and known.full >= RELIEF_FULL_SHARE
        return known.demand > known.capacity and known.full >= OVERLOAD_FULL_SHARE

    def gauges(self) -> dict[str, float]:
        """Return the gauges for a scrape, in slots; empty if nothing is known."""
        known = self.allocation
        if known is None:
            return {}
        shares_by_priority = known.shares_by_priority()
        return {
            "room_overloaded": float(self.since is not None),
            "room_demand": known.demand,
            "room_capacity": known.capacity,
            **{f"room_share_{p}": share for p, share in shares_by_priority.items()},
        }

    def log_fields(self, traffic_class: TrafficClass | None = None) -> dict[str, Any]:
        """Return the fields for a log line, of one class or of all classes."""
        known = self.allocation
        if known is None:
            return {}
        fields: dict[str, Any] = {
            "demand": round(known.demand, 1),
            "capacity": round(known.capacity, 1),
            "full": round(known.full, 2),
        }
        if traffic_class is None:
            fields["shares"] = {
                priority: round(share, 1)
                for priority, share in known.shares_by_priority().items()
            }
            return fields
        fields["zone"], fields["priority"] = traffic_class
        fields["share"] = round(known.slots_by_class.get(traffic_class, 0.0), 2)
        fields["wait"] = round(known.waits_by_class.get(traffic_class, 0.0), 2)
        return fields

    def excess(self, now: float, traffic_class: TrafficClass, goal: float) -> float:
        """Return the share of a class's new openings that can't be served.

        These are the openings that would wait until their clients give up. The share is
        0 until the overload has lasted longer than the route's goal and than a client's
        tries, and it grows from 0, so that a small error of the counts has little
        effect.
        """
        if self.since is None or self.allocation is None:
            return 0.0
        if now - self.since <= max(goal, REJECT_AFTER_SECONDS):
            return 0.0
        wait = self.allocation.waits_by_class.get(traffic_class, 0.0)
        return 1.0 - MAX_WAIT_SECONDS / wait if wait > MAX_WAIT_SECONDS else 0.0


def all_wait(now: float, takers: Iterable[Member]) -> bool:
    """Return whether openings certainly wait at every given member.

    A member whose counts are old may have a free slot.
    """
    for member in takers:
        if (
            now - member.status_received_at > MAX_COUNTS_AGE_SECONDS
            or member.has_free_slot
        ):
            return False
        counts = decode_counts(member.sections.get(Section.DEMAND, b""))
        if not any(count.waiting for count in counts.values()):
            return False
    return True
