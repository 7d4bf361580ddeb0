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

from .flows import Flows
from .member import Member
from .models import Routes, State, route_key
from .placement import WARMING_FACTOR
from .sections import Section
from .waiting import PATIENCE

__all__ = [
    "PRIORITY_MOST",
    "Cell",
    "Census",
    "Count",
    "Room",
    "Sharing",
    "all_wait",
    "decode_counts",
    "encode_counts",
    "max_min",
    "shares",
    "sharing",
]

ROW = struct.Struct("!HBHB")
BUSY_UNITS = 100
PRIORITY_MOST = 0xFF
"""Priorities above are counted with this one."""

WAITING_MOST = 0xFF
SHORT = 0xFFFF
ROWS_MOST = 16
"""Rows that an agent tells, 6 bytes each: four data centres and four priorities."""

COUNTS_KEPT = 2.0
"""Seconds for which counts are used. In a large service statuses come more rarely,
and it is judged by the members that were heard within that time."""

SAMPLE_LEAST = 0.25
"""Share of the ready members whose counts must be known. What goes wrong without:
a daemon that is cut off from most sees two full agents and rejects for all."""

FULL_SHARE = 0.9
"""Share of the slots at which openings must wait for an overload to begin: the
others are too few to reach all of a flow's takers."""

RELIEVED_SHARE = 0.7
"""The same below which it ends. What goes wrong with one bound for both: each
status that tells of an empty queue turns rejecting off, and the next one on."""

RELIEVED_DEMAND = 0.9
"""Demand, in capacities, below which an overload ends."""

FLOOR = 0.5
"""Part of an even share that each kind of each data centre gets before weights
count, so that the least urgent one isn't left without any."""

WEIGHT_STEP = 0.5
"""Weight of a priority in that of the next more urgent one."""

REVIEWED_EVERY = 0.2
REVIEWED_PER_SECOND = 1600
"""Seconds between two looks at the members, and members looked at in a second."""

REJECT_AFTER = 4.2
"""Seconds that an overload must have lasted before anything is rejected: three
tries of a client that hears nothing. What goes wrong without: a client that is
rejected at once uses up its tries within a second, while one that hears nothing
would have been served at its last try, after a short overload."""

ANSWER_TIME_LEAST = 0.001
"""Seconds that an answer is taken to need at least: members that have answered
nothing yet tell 0, and no wait would follow from any number of openings."""


class Cell(NamedTuple):
    """One kind of request of one data centre: the tag of it and the priority."""

    zone: int
    priority: int


class Count(NamedTuple):
    """Requests of one cell at one agent: in progress, and openings that wait."""

    busy: float
    waiting: int


class Sharing(NamedTuple):
    """How a service's slots are shared.

    ``demand`` and ``capacity`` are in slots, ``full`` is the share of the slots at
    members where openings wait, ``shares_by_cell`` are slots, and ``waits_by_cell``
    seconds.
    """

    demand: float
    capacity: float
    full: float
    shares_by_cell: dict[Cell, float]
    waits_by_cell: dict[Cell, float]

    def shares_by_priority(self) -> dict[int, float]:
        """Return the slots of each priority, of all data centres together."""
        by_priority: dict[int, float] = {}
        for cell, share in self.shares_by_cell.items():
            by_priority[cell.priority] = by_priority.get(cell.priority, 0.0) + share
        return by_priority


def encode_counts(counts_by_cell: Mapping[Cell, Count]) -> bytes:
    """Return what an agent tells of its requests, the largest cells first."""
    rows = sorted(
        counts_by_cell.items(),
        key=lambda item: (-item[1].waiting, -item[1].busy, item[0]),
    )
    return b"".join(
        ROW.pack(
            cell.zone,
            max(0, min(PRIORITY_MOST, cell.priority)),
            min(SHORT, round(count.busy * BUSY_UNITS)),
            min(WAITING_MOST, count.waiting),
        )
        for cell, count in rows[:ROWS_MOST]
    )


def decode_counts(body: bytes) -> dict[Cell, Count]:
    """Read what an agent told; nothing if it is malformed."""
    if len(body) % ROW.size:
        return {}
    counts: dict[Cell, Count] = {}
    for at in range(0, len(body), ROW.size):
        zone, priority, busy, waiting = ROW.unpack_from(body, at)
        counts[Cell(zone, priority)] = Count(busy / BUSY_UNITS, waiting)
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


def shares(wants_by_cell: Mapping[Cell, float], capacity: float) -> dict[Cell, float]:
    """Return the slots of each cell: a floor for each, the rest by priority."""
    cells = sorted(wants_by_cell)
    if not cells:
        return {}
    ranks = sorted({cell.priority for cell in cells})
    weights = [WEIGHT_STEP ** ranks.index(cell.priority) for cell in cells]
    wants = [wants_by_cell[cell] for cell in cells]
    even = FLOOR * capacity / len(cells)
    floors = [min(want, even) for want in wants]
    wanted = [want - floor for want, floor in zip(wants, floors, strict=True)]
    rest = max_min(wanted, weights, capacity - sum(floors))
    return {
        cell: floor + more
        for cell, floor, more in zip(cells, floors, rest, strict=True)
    }


@dataclass(slots=True)
class _Sum:
    """What the members of a sample tell together."""

    busy: float = 0.0
    waiting: int = 0
    slots: float = 0.0
    full_slots: float = 0.0
    answer_time_by_slots: float = 0.0
    counts_by_cell: dict[Cell, Count] = field(default_factory=dict)

    def add(self, member: Member, counts: dict[Cell, Count]) -> None:
        """Add a member."""
        waiting = sum(count.waiting for count in counts.values())
        slots = member.slots / (WARMING_FACTOR if member.warming > 0 else 1.0)
        self.slots += slots
        self.full_slots += slots if waiting else 0.0
        # Members tell counts only while openings wait, their load always.
        self.busy += min(member.busy, member.slots) if not waiting else 0.0
        self.waiting += waiting
        self.answer_time_by_slots += member.answer_time * slots
        for cell, count in counts.items():
            self.busy += count.busy
            known = self.counts_by_cell.get(cell, Count(0.0, 0))
            self.counts_by_cell[cell] = Count(
                known.busy + count.busy, known.waiting + count.waiting
            )


def sharing(now: float, members: Iterable[Member]) -> Sharing | None:
    """Return how members share their slots; None if too little is known.

    ``members`` are those that may open flows. All numbers are of those that have
    told lately: parts of the whole that compare as the whole does.
    """
    total, heard, known = 0, 0, _Sum()
    for member in members:
        if member.state is not State.READY:
            continue
        total += 1
        if now - member.status_received_at <= COUNTS_KEPT:
            heard += 1
            known.add(member, decode_counts(member.sections.get(Section.DEMAND, b"")))
    if not heard or heard < SAMPLE_LEAST * total:
        return None
    wants = {c: n.busy + n.waiting for c, n in known.counts_by_cell.items()}
    by_cell = shares(wants, known.slots)
    mean = known.answer_time_by_slots / known.slots
    answer_time = max(ANSWER_TIME_LEAST, mean)
    waits = {
        cell: count.waiting * answer_time / by_cell[cell] if by_cell[cell] else 0.0
        for cell, count in known.counts_by_cell.items()
    }
    demand = known.busy + known.waiting
    full = known.full_slots / known.slots
    return Sharing(demand, known.slots, full, by_cell, waits)


class Census:
    """Counts the requests at one target by data centre and priority.

    Parameters
    ----------
    flows : Flows
        The flows of the target.
    """

    def __init__(self, flows: Flows) -> None:
        self._flows = flows
        self._at = float("-inf")
        self._busy: Counter[Cell] = Counter()

    def section(
        self, now: float, routes: Routes, waiting: Mapping[tuple[int, int], int]
    ) -> bytes:
        """Return what the agent tells; ``waiting`` are the openings by cell."""
        if now - self._at >= REVIEWED_EVERY:
            self._at = now
            self._count(routes)
        counts = {cell: Count(float(busy), 0) for cell, busy in self._busy.items()}
        for (zone, priority), number in waiting.items():
            if number:
                cell = Cell(zone, priority)
                counts[cell] = Count(float(self._busy[cell]), number)
        return encode_counts(counts)

    def _count(self, routes: Routes) -> None:
        self._busy = Counter()
        for flow in self._flows.by_key.values():
            if flow.asked_at is not None:
                route = routes.by_address.get(route_key(flow.key))
                priority = route.urgency.priority if route else 0
                self._busy[Cell(flow.zone, priority)] += 1


class Room:
    """What one home believes of its service's room.

    ``since`` is since when the service is overloaded, None if it isn't,
    ``sharing`` what was worked out last.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.sharing: Sharing | None = None
        self._reviewed_at = float("-inf")

    def is_due(self, now: float, members: int) -> bool:
        """Tell whether the members should be looked over again."""
        pause = max(REVIEWED_EVERY, members / REVIEWED_PER_SECOND)
        return now - self._reviewed_at >= pause

    def clear(self) -> None:
        """Forget everything, as the part is off."""
        self.since = self.sharing = None

    def review(self, now: float, members: Iterable[Member]) -> bool:
        """Look over the members; return whether an overload began or ended."""
        self._reviewed_at = now
        self.sharing = sharing(now, members)
        former = self.since is not None
        if not self._is_overloaded(former):
            self.since = None
        elif not former:
            self.since = now
        return former != (self.since is not None)

    def _is_overloaded(self, former: bool) -> bool:
        known = self.sharing
        if known is None:
            return False
        if former:
            demanded = known.demand >= RELIEVED_DEMAND * known.capacity
            return demanded and known.full >= RELIEVED_SHARE
        return known.demand > known.capacity and known.full >= FULL_SHARE

    def gauges(self) -> dict[str, float]:
        """Return what a scrape tells, in slots; nothing if nothing is known."""
        known = self.sharing
        if known is None:
            return {}
        shares_by_priority = known.shares_by_priority()
        return {
            "room_overloaded": float(self.since is not None),
            "room_demand": known.demand,
            "room_capacity": known.capacity,
            **{f"room_share_{p}": share for p, share in shares_by_priority.items()},
        }

    def log_fields(self, cell: Cell | None = None) -> dict[str, Any]:
        """Return what a line of the log tells, of one cell or of all."""
        known = self.sharing
        if known is None:
            return {}
        fields: dict[str, Any] = {
            "demand": round(known.demand, 1),
            "capacity": round(known.capacity, 1),
            "full": round(known.full, 2),
        }
        if cell is None:
            fields["shares"] = {
                priority: round(share, 1)
                for priority, share in known.shares_by_priority().items()
            }
            return fields
        fields["zone"], fields["priority"] = cell
        fields["share"] = round(known.shares_by_cell.get(cell, 0.0), 2)
        fields["wait"] = round(known.waits_by_cell.get(cell, 0.0), 2)
        return fields

    def excess(self, now: float, cell: Cell, goal: float) -> float:
        """Return the share of a cell's new openings that can't be served.

        Those are the ones that would wait until they are given up. It is 0 until
        the overload has lasted for longer than callers want to wait and than a
        client tries, and it grows from 0: a small error of the counts changes
        little.
        """
        if self.since is None or self.sharing is None:
            return 0.0
        if now - self.since <= max(goal, REJECT_AFTER):
            return 0.0
        wait = self.sharing.waits_by_cell.get(cell, 0.0)
        return 1.0 - PATIENCE / wait if wait > PATIENCE else 0.0


def all_wait(now: float, takers: Iterable[Member]) -> bool:
    """Tell whether openings wait at every one of some members, for sure.

    One whose counts are old may have a free slot.
    """
    for member in takers:
        if now - member.status_received_at > COUNTS_KEPT or member.has_free_slot:
            return False
        counts = decode_counts(member.sections.get(Section.DEMAND, b""))
        if not any(count.waiting for count in counts.values()):
            return False
    return True
