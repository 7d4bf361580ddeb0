"""The room of a service as a whole, as one daemon sees it.

Loads: demand above the capacity of every target for seconds, from one data centre
or of one kind of request. Agents whose openings wait tell how much by data centre
and priority; from the last of these counts each home works out the same shares,
without asking anyone. See ``docs/design/room.md``.
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
"""Priorities above are counted with this one."""

MAX_WAITING = 0xFF
MAX_UINT16 = 0xFFFF
MAX_ROWS = 16
"""Rows that an agent tells, 6 bytes each: four data centres and four priorities."""

MAX_COUNTS_AGE_SECONDS = 2.0
"""Seconds for which counts are used. In a large service statuses come more rarely,
and it is judged by the members that were heard within that time."""

MIN_SAMPLE_SHARE = 0.25
"""Share of the ready members whose counts must be known. What goes wrong without:
a daemon that is cut off from most sees two full agents and rejects for all."""

OVERLOAD_FULL_SHARE = 0.9
"""Share of the slots at which openings must wait for an overload to begin: the
others are too few to reach all of a flow's takers."""

RELIEF_FULL_SHARE = 0.7
"""The same below which it ends. What goes wrong with one bound for both: each
status that tells of an empty queue turns rejecting off, and the next one on."""

RELIEF_DEMAND = 0.9
"""Demand, in capacities, below which an overload ends."""

FLOOR_SHARE = 0.5
"""Part of an even share that each kind of each data centre gets before weights
count, so that the least urgent one isn't left without any."""

PRIORITY_WEIGHT_RATIO = 0.5
"""Weight of a priority in that of the next more urgent one."""

MIN_REVIEW_INTERVAL_SECONDS = 0.2
MEMBERS_REVIEWED_PER_SECOND = 1600
"""Seconds between two looks at the members, and members looked at in a second."""

REJECT_AFTER_SECONDS = 4.2
"""Seconds that an overload must have lasted before anything is rejected: three
tries of a client that hears nothing. What goes wrong without: a client that is
rejected at once uses up its tries within a second, while one that hears nothing
would have been served at its last try, after a short overload."""

MIN_ANSWER_SECONDS = 0.001
"""Seconds that an answer is taken to need at least: members that have answered
nothing yet tell 0, and no wait would follow from any number of openings."""


class TrafficClass(NamedTuple):
    """One kind of request of one data centre: the tag of it and the priority."""

    zone: int
    priority: int


class Count(NamedTuple):
    """Requests of one cell at one agent: in progress, and openings that wait."""

    busy: float
    waiting: int


class Allocation(NamedTuple):
    """How a service's slots are shared.

    ``demand`` and ``capacity`` are in slots, ``full`` is the share of the slots at
    members where openings wait, ``slots_by_class`` are slots, and ``waits_by_class``
    seconds.
    """

    demand: float
    capacity: float
    full: float
    slots_by_class: dict[TrafficClass, float]
    waits_by_class: dict[TrafficClass, float]

    def shares_by_priority(self) -> dict[int, float]:
        """Return the slots of each priority, of all data centres together."""
        by_priority: dict[int, float] = {}
        for traffic_class, share in self.slots_by_class.items():
            by_priority[traffic_class.priority] = (
                by_priority.get(traffic_class.priority, 0.0) + share
            )
        return by_priority


def encode_counts(counts_by_class: Mapping[TrafficClass, Count]) -> bytes:
    """Return what an agent tells of its requests, the largest cells first."""
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
    """Read what an agent told; nothing if it is malformed."""
    if len(body) % ROW_FORMAT.size:
        return {}
    counts: dict[TrafficClass, Count] = {}
    for at in range(0, len(body), ROW_FORMAT.size):
        zone, priority, busy, waiting = ROW_FORMAT.unpack_from(body, at)
        counts[TrafficClass(zone, priority)] = Count(busy / BUSY_UNITS, waiting)
    return counts


def max_min(
    wants: Sequence[float], weights: Sequence[float], capacity: float
) -> list[float]:
    """Divide a capacity: nobody gets more than wanted, the rest goes by weight."""
    given = [0.0] * len(wants)
    left = capacity
    # Who wants least for its weight is satisfied first.
    order = sorted(range(len(wants)), key=lambda i: wants[i] / weights[i])
    weight_left = sum(weights)
    for index in order:
        # Weights that differ by more than a number holds leave nothing at the end.
        share = left * weights[index] / weight_left if weight_left > 0 else left
        given[index] = min(wants[index], max(0.0, share))
        left -= given[index]
        weight_left -= weights[index]
    return given


def divide_slots(
    demand_by_class: Mapping[TrafficClass, float], capacity: float
) -> dict[TrafficClass, float]:
    """Return the slots of each cell: a floor for each, the rest by priority."""
    classes = sorted(demand_by_class)
    if not classes:
        return {}
    ranks = sorted({traffic_class.priority for traffic_class in classes})
    weights = [
        PRIORITY_WEIGHT_RATIO ** ranks.index(traffic_class.priority)
        for traffic_class in classes
    ]
    wants = [demand_by_class[traffic_class] for traffic_class in classes]
    even = FLOOR_SHARE * capacity / len(classes)
    floors = [min(want, even) for want in wants]
    wanted = [want - floor for want, floor in zip(wants, floors, strict=True)]
    rest = max_min(wanted, weights, capacity - sum(floors))
    return {
        traffic_class: floor + more
        for traffic_class, floor, more in zip(classes, floors, rest, strict=True)
    }


@dataclass(slots=True)
class _Totals:
    """What the members of a sample tell together."""

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
        # Members tell counts only while openings wait, their load always.
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
    """Return how members share their slots; None if too little is known.

    ``members`` are those that may open flows. All numbers are of those that have
    told lately: parts of the whole that compare as the whole does.
    """
    total, heard, known = 0, 0, _Totals()
    for member in members:
        if member.state is not State.READY:
            continue
        total += 1
        if now - member.told_at <= MAX_COUNTS_AGE_SECONDS:
            heard += 1
            known.add(member, decode_counts(member.sections.get(Section.ROOM, b"")))
    if not heard or heard < MIN_SAMPLE_SHARE * total:
        return None
    wants = {c: n.busy + n.waiting for c, n in known.counts_by_class.items()}
    by_class = divide_slots(wants, known.slots)
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
        """Return what the agent tells; ``waiting`` are the openings by cell."""
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
    """What one home believes of its service's room.

    ``since`` is since when the service is overloaded, None if it isn't,
    ``allocation`` what was worked out last.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.allocation: Allocation | None = None
        self._reviewed_at = float("-inf")

    def is_due(self, now: float, members: int) -> bool:
        """Tell whether the members should be looked over again."""
        pause = max(MIN_REVIEW_INTERVAL_SECONDS, members / MEMBERS_REVIEWED_PER_SECOND)
        return now - self._reviewed_at >= pause

    def clear(self) -> None:
        """Forget everything, as the part is off."""
        self.since = self.allocation = None

    def review(self, now: float, members: Iterable[Member]) -> bool:
        """Look over the members; return whether an overload began or ended."""
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
        """Return what a scrape tells, in slots; nothing if nothing is known."""
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
        """Return what a line of the log tells, of one cell or of all."""
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
        """Return the share of a cell's new openings that can't be served.

        Those are the ones that would wait until they are given up. It is 0 until
        the overload has lasted for longer than callers want to wait and than a
        client tries, and it grows from 0: a small error of the counts changes
        little.
        """
        if self.since is None or self.allocation is None:
            return 0.0
        if now - self.since <= max(goal, REJECT_AFTER_SECONDS):
            return 0.0
        wait = self.allocation.waits_by_class.get(traffic_class, 0.0)
        return 1.0 - MAX_WAIT_SECONDS / wait if wait > MAX_WAIT_SECONDS else 0.0


def all_wait(now: float, takers: Iterable[Member]) -> bool:
    """Tell whether openings wait at every one of some members, for sure.

    One whose counts are old may have a free slot.
    """
    for member in takers:
        if now - member.told_at > MAX_COUNTS_AGE_SECONDS or member.has_room:
            return False
        counts = decode_counts(member.sections.get(Section.ROOM, b""))
        if not any(count.waiting for count in counts.values()):
            return False
    return True
