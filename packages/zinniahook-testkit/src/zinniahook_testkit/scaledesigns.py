"""Compare designs of which agents know each other, for services of any size.

An abstract model without packets. Requests come to homes, which place them by the
loads that agents have reported. Then agents join, leave and are replaced, and the
owners of open flows are searched for. All designs run with the same seeds.
"""

from __future__ import annotations

import bisect
import heapq
import random
import statistics
from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh3_64_intdigest
from zinniahook_core.packets import members
from zinniahook_core.packets.polls import (
    KNOWN_LOADS,
    LOAD_FRESH_SECONDS,
    POLL_TIMEOUT_SECONDS,
)

from .scenarios import Figure, scenario

__all__: list[str] = []

SLOTS = 2
UTILIZATION = 0.6
"""Share of the slots that the load uses."""

MEAN_WORK_SECONDS = 0.06
STATUS_INTERVAL_SECONDS = 0.2
STATUS_BUDGET = 100.0
MISSED_STATUSES = 5
CELL_SIZE = 12
NEIGHBOURS_PER_SIDE = 6
HOME_WINDOW = 4
JITTER = 0.1
NORMAL_95 = 1.96
MAX_REQUESTS = 6000
"""Limit for one run; with 1,000 agents, each gets six requests."""


class Design(NamedTuple):
    """The relations between the agents of one set.

    ``home`` returns the home of a key, ``near`` the agents known to the home that
    may open its flow, and ``far`` the agents to search if none of these has it.
    ``peers`` is the number of agents that get each status. ``polled`` is the
    number of agents whose load is polled for each request instead, 0 for none.
    """

    home: Callable[[int], int]
    near: Callable[[int], list[int]]
    far: Callable[[int], list[int]]
    peers: float
    polled: int = 0
    budget: float = STATUS_BUDGET

    @property
    def interval(self) -> float:
        """The seconds between two statuses of an agent."""
        return max(STATUS_INTERVAL_SECONDS, self.peers / self.budget)


_designs_by_name: dict[str, Callable[[list[int]], Design]] = {}


def _design(name: str) -> Callable:
    def register(make: Callable[[list[int]], Design]) -> Callable:
        _designs_by_name[name] = make
        return make

    return register


def _key(number: int) -> bytes:
    return number.to_bytes(8, "big")


def _point(number: int, salt: int = 0) -> int:
    return xxh3_64_intdigest(_key(number), salt)


def _best(key: int, agents: list[int]) -> int:
    return max(agents, key=lambda agent: _point(key, agent + 1))


@_design("everybody")
def _full_mesh(agents: list[int]) -> Design:
    def every(key: int) -> list[int]:
        return agents

    return Design(lambda key: _best(key, agents), every, every, len(agents) - 1)


@_design("cells")
def _cells(agents: list[int]) -> Design:
    count = 1
    while len(agents) / count > CELL_SIZE * 1.4:
        count *= 2
    by_cell: dict[int, list[int]] = {}
    for agent in agents:
        by_cell.setdefault(_point(agent) % count, []).append(agent)

    def near(key: int) -> list[int]:
        # The share of flows in a cell is proportional to its number of agents.
        return by_cell[_point(_best(key, agents)) % count]

    def far(key: int) -> list[int]:
        # The other cell held the flow before one merge or split of cells.
        cell = _point(_best(key, agents)) % count
        return near(key) + by_cell.get((cell + count // 2) % count, [])

    peers = statistics.mean(map(len, by_cell.values())) - 1
    return Design(lambda key: _best(key, near(key)), near, far, peers)


@_design("neighbours on a circle")
def _neighbours(agents: list[int]) -> Design:
    order = sorted(agents, key=_point)
    points = [_point(agent) for agent in order]
    size = len(order)

    def window(key: int, back: int, ahead: int) -> list[int]:
        start = bisect.bisect_left(points, _point(key, 7))
        places = {(start + step) % size for step in range(-back, ahead)}
        return [order[place] for place in sorted(places)]

    return Design(
        lambda key: _best(key, window(key, 0, HOME_WINDOW)),
        lambda key: window(key, NEIGHBOURS_PER_SIDE, NEIGHBOURS_PER_SIDE + 1),
        lambda key: window(key, 3 * NEIGHBOURS_PER_SIDE, 3 * NEIGHBOURS_PER_SIDE),
        min(size - 1, 2 * NEIGHBOURS_PER_SIDE),
    )


@_design("first eight")
def _first_eight(agents: list[int]) -> Design:
    roster = members.Roster("model")
    by_name = {str(agent): agent for agent in agents}
    for order, name in enumerate(by_name):
        roster.add(0.0, name, 0, order=order)

    def near(key: int) -> list[int]:
        return [by_name[m.address] for m in roster.candidates(0.0, _key(key), 1)]

    def far(key: int) -> list[int]:
        return [by_name[m.address] for m in roster.wide_candidates(0.0, _key(key))]

    return Design(
        lambda key: by_name[roster.home(0.0, _key(key))],
        near,
        far,
        len(agents) - 1,
        KNOWN_LOADS,
        members.STATUSES_PER_SECOND,
    )


# Placing


class _Load:
    """The requests in progress at agents, and their loads as homes know them."""

    def __init__(self, design: Design, agents: list[int], rng: random.Random) -> None:
        self._design = design
        self._rng = rng
        self._done_by_agent: dict[int, list[float]] = {a: [] for a in agents}
        self._reports: dict[tuple[int, int], tuple[float, float]] = {}
        self._placed: dict[tuple[int, int], float] = {}
        self._phase = {a: rng.random() for a in agents}

    def busy(self, now: float, agent: int) -> float:
        """Return the number of requests in progress at a time."""
        done = self._done_by_agent[agent]
        while done and done[0] <= now:
            heapq.heappop(done)
        return len(done)

    def known_load(self, now: float, home: int, agent: int) -> float:
        """Return the load of an agent as a home knows it."""
        interval = LOAD_FRESH_SECONDS if self._design.polled else self._design.interval
        at = (now // interval + self._phase[agent]) * interval
        at -= interval if at > now else 0.0
        report = self._reports.get((home, agent))
        if report is None or report[0] < at:
            # All homes get the same status. Its load is only computed when a
            # home first needs it.
            load = self.busy(now, agent)
            self._reports[home, agent] = (at, load)
            self._placed[home, agent] = 0.0
            return load
        return report[1] + self._placed[home, agent]

    def place(self, now: float, home: int, candidates: list[int]) -> tuple[int, float]:
        """Place a request and return its agent and its waiting time."""
        chosen = min(
            candidates,
            key=lambda agent: (
                self.known_load(now, home, agent) + JITTER * self._rng.random()
            ),
        )
        self._placed[home, chosen] += 1
        done = self._done_by_agent[chosen]
        self.busy(now, chosen)
        free_at = heapq.nlargest(SLOTS, done)[-1] if len(done) >= SLOTS else now
        heapq.heappush(done, free_at + self._rng.expovariate(1 / MEAN_WORK_SECONDS))
        return chosen, free_at - now


class _Placed(NamedTuple):
    busiest: float
    waited: float


def _place(design: Design, agents: list[int], seed: int, requests_each: int) -> _Placed:
    rng = random.Random(seed)
    load = _Load(design, agents, rng)
    rate = len(agents) * SLOTS * UTILIZATION / MEAN_WORK_SECONDS
    counts = dict.fromkeys(agents, 0)
    waits = []
    now = 0.0
    for key in range(min(MAX_REQUESTS, requests_each * len(agents))):
        now += rng.expovariate(rate)
        flow = key + seed * 1_000_003
        candidates = design.near(flow)
        if design.polled:
            candidates = rng.sample(candidates, min(design.polled, len(candidates)))
        chosen, waited = load.place(now, design.home(flow), candidates)
        counts[chosen] += 1
        waits.append(waited)
    mean = statistics.mean(counts.values())
    waits.sort()
    return _Placed(max(counts.values()) / mean, waits[len(waits) * 99 // 100])


# Finding


class Change(NamedTuple):
    """The shares of agents that join and that leave."""

    joined: float
    left: float


CHANGES = {
    "half joined": Change(0.5, 0.0),
    "half left": Change(0.0, 0.5),
    "half replaced": Change(0.5, 0.5),
    "tripled": Change(2.0, 0.0),
}


def _missed_owners(
    make: Callable, size: int, change: Change, seed: int, flows: int
) -> tuple[float, float]:
    """Return the shares of owners missed by the first search stage and by both."""
    rng = random.Random(seed)
    former = list(range(size))
    left = set(rng.sample(former, round(size * change.left)))
    joined = list(range(size, size + round(size * change.joined)))
    before = make(former)
    after = make([agent for agent in former if agent not in left] + joined)
    missed = lost = found = 0
    for key in range(flows):
        owner = rng.choice(before.near(key))
        if owner not in left:
            found += 1
            missed += owner not in after.near(key)
            lost += owner not in after.far(key)
    return missed / max(1, found), lost / max(1, found)


def _half_width(values: list[float]) -> float:
    if len(values) < 2:
        return 0.0
    return NORMAL_95 * statistics.stdev(values) / len(values) ** 0.5


@scenario("scale-designs")
def scale_designs(
    sizes: list[int], seeds: int, requests_each: int, flows: int
) -> list[Figure]:
    """Compare the designs at several sizes.

    Parameters
    ----------
    sizes : list of int
        Numbers of agents of a service.
    seeds : int
        Number of runs of each design and size; figures are their means.
    requests_each : int
        Number of placed requests per agent.
    flows : int
        Number of flows to search for.
    """
    figures: list[Figure] = []
    for name, make in _designs_by_name.items():
        for size in sizes:
            figures += _figures(name, make, size, seeds, requests_each, flows)
    return figures


def _figures(
    name: str, make: Callable, size: int, seeds: int, requests_each: int, flows: int
) -> list[Figure]:
    about = f"{name}, {size} agents"
    agents = list(range(size))
    design = make(agents)
    placed = [_place(design, agents, seed, requests_each) for seed in range(seeds)]
    busiest = [each.busiest for each in placed]
    waits = [each.waited * 1e3 for each in placed]
    first = statistics.mean(len(design.near(key)) for key in range(flows))
    wide = statistics.mean(len(design.far(key)) for key in range(flows))
    detected = (
        POLL_TIMEOUT_SECONDS if design.polled else MISSED_STATUSES * design.interval
    )
    figures = [
        Figure(f"statuses a second, {about}", design.peers / design.interval, ""),
        Figure(f"dead avoided, {about}", detected, "s"),
        Figure(f"busiest/mean, {about}", statistics.mean(busiest), "ratio"),
        Figure(f"busiest/mean +-, {about}", _half_width(busiest), "ratio"),
        Figure(f"99th wait, {about}", statistics.mean(waits), "ms"),
        Figure(f"99th wait +-, {about}", _half_width(waits), "ms"),
        Figure(f"searched first, {about}", first, ""),
        Figure(f"searched at most, {about}", wide, ""),
    ]
    for what, change in CHANGES.items():
        pairs = [
            _missed_owners(make, size, change, seed, flows) for seed in range(seeds)
        ]
        missed, lost = map(statistics.mean, zip(*pairs, strict=True))
        figures.append(Figure(f"not in first, {what}, {about}", missed, "share"))
        figures.append(Figure(f"not in any, {what}, {about}", lost, "share"))
    return figures
