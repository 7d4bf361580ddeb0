"""Which agents know each other: designs for a service of any size, compared.

An abstract model without packets. Requests come to homes, homes place them by
what agents have told of their load; then agents join, leave and are replaced,
and the owners of open flows are searched for. Every design is measured in the
same run on the same chance.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from .scenarios import Figure, scenario

__all__: list[str] = []

SLOTS = 2
USED = 0.6
"""Share of the slots that the load takes."""

WORK = 0.06
STATUS_EVERY = 0.2
STATUS_BUDGET = 100.0
STATUSES_LOST = 5
CELL = 12
REACH = 6
WINDOW = 4
FIRST = 8
LOAD_KEPT = 0.1
JITTER = 0.1
NORMAL_95 = 1.96


class Design(NamedTuple):
    """Who knows whom, for one set of agents.

    ``near`` tells by agent whose load it knows, ``home`` the home of a key,
    ``peers`` to how many a status goes, ``asks`` whether loads are asked for
    when needed instead.
    """

    near: dict[int, list[int]]
    home: Callable[[int], int]
    peers: float
    asks: bool = False

    @property
    def interval(self) -> float:
        """Seconds between two statuses of an agent."""
        return max(STATUS_EVERY, self.peers / STATUS_BUDGET)


_designs_by_name: dict[str, Callable[[list[int]], Design]] = {}


def _design(name: str) -> Callable:
    def register(make: Callable[[list[int]], Design]) -> Callable:
        _designs_by_name[name] = make
        return make

    return register


def _point(number: int, salt: int = 0) -> int:
    return xxh3_64_intdigest(number.to_bytes(8, "big"), salt)


def _best(key: int, agents: list[int]) -> int:
    return max(agents, key=lambda agent: _point(key, agent + 1))


@_design("everybody")
def _everybody(agents: list[int]) -> Design:
    near = dict.fromkeys(agents, agents)
    return Design(near, lambda key: _best(key, agents), len(agents) - 1)


@_design("cells")
def _cells(agents: list[int]) -> Design:
    count = 1
    while len(agents) / count > CELL * 1.4:
        count *= 2
    by_cell: dict[int, list[int]] = {}
    for agent in agents:
        by_cell.setdefault(_point(agent) % count, []).append(agent)
    near = {a: by_cell[_point(a) % count] for a in agents}
    # A flow goes to a cell in proportion to its agents.
    return Design(
        near, lambda key: _best(key, agents), statistics.mean(map(len, near.values()))
    )


@_design("ring")
def _ring(agents: list[int]) -> Design:
    ring = sorted(agents, key=_point)
    points = [_point(agent) for agent in ring]
    size = len(ring)
    near = {}
    for at, agent in enumerate(ring):
        places = {(at + step) % size for step in range(-REACH, REACH + 1)}
        near[agent] = [ring[place] for place in sorted(places)]

    def home(key: int) -> int:
        start = _bisect(points, _point(key, 7))
        window = {ring[(start + i) % size] for i in range(min(WINDOW, size))}
        return _best(key, sorted(window))

    return Design(near, home, min(size - 1, 2 * REACH))


@_design("first of each flow")
def _first(agents: list[int]) -> Design:
    # The agents that a flow may live at are drawn anew for each one.
    near = dict.fromkeys(agents, agents)
    return Design(near, lambda key: _best(key, agents), 0.0, asks=True)


def _bisect(points: list[int], point: int) -> int:
    low, high = 0, len(points)
    while low < high:
        middle = (low + high) // 2
        if points[middle] < point:
            low = middle + 1
        else:
            high = middle
    return low % len(points)


def _takers(design: Design, key: int, home: int) -> list[int]:
    if not design.asks:
        return design.near[home]
    agents = design.near[home]
    return heapq.nlargest(FIRST, agents, key=lambda a: _point(key, a + 1))


# Placing


class _Load:
    """What agents work on, and what homes believe of it."""

    def __init__(self, design: Design, rng: random.Random) -> None:
        self._design = design
        self._rng = rng
        self._done_by_agent: dict[int, list[float]] = {a: [] for a in design.near}
        self._told: dict[tuple[int, int], tuple[float, float]] = {}
        self._placed: dict[tuple[int, int], float] = {}
        self._phase = {a: rng.random() for a in design.near}

    def busy(self, now: float, agent: int) -> float:
        """Return the requests in progress at a moment."""
        done = self._done_by_agent[agent]
        while done and done[0] <= now:
            heapq.heappop(done)
        return len(done)

    def believed(self, now: float, home: int, agent: int) -> float:
        """Return the load of an agent as a home knows it."""
        interval = LOAD_KEPT if self._design.asks else self._design.interval
        at = (now // interval + self._phase[agent]) * interval
        at -= interval if at > now else 0.0
        told = self._told.get((home, agent))
        if told is None or told[0] < at:
            # All homes hear the same status; the first that needs it works it out.
            load = self.busy(now, agent)
            self._told[home, agent] = (at, load)
            self._placed[home, agent] = 0.0
            return load
        return told[1] + self._placed[home, agent]

    def place(self, now: float, home: int, takers: list[int]) -> tuple[int, float]:
        """Place a request; return its agent and how long it waits."""
        chosen = min(
            takers,
            key=lambda agent: (
                self.believed(now, home, agent) + JITTER * self._rng.random()
            ),
        )
        self._placed[home, chosen] += 1
        done = self._done_by_agent[chosen]
        self.busy(now, chosen)
        free_at = heapq.nlargest(SLOTS, done)[-1] if len(done) >= SLOTS else now
        heapq.heappush(done, free_at + self._rng.expovariate(1 / WORK))
        return chosen, free_at - now


class _Placed(NamedTuple):
    busiest: float
    waited: float


def _place(design: Design, seed: int, requests_each: int) -> _Placed:
    rng = random.Random(seed)
    agents = list(design.near)
    load = _Load(design, rng)
    rate = len(agents) * SLOTS * USED / WORK
    counts = dict.fromkeys(agents, 0)
    waits = []
    now = 0.0
    for key in range(requests_each * len(agents)):
        now += rng.expovariate(rate)
        home = design.home(key + seed * 1_000_003)
        chosen, waited = load.place(now, home, _takers(design, key, home))
        counts[chosen] += 1
        waits.append(waited)
    mean = statistics.mean(counts.values())
    waits.sort()
    return _Placed(max(counts.values()) / mean, waits[len(waits) * 99 // 100])


# Finding


class Change(NamedTuple):
    """Shares of the agents that join and that are gone."""

    joined: float
    gone: float


CHANGES = {
    "restart of everything": Change(0.0, 0.0),
    "half joined": Change(0.5, 0.0),
    "half left": Change(0.0, 0.5),
    "half replaced": Change(0.5, 0.5),
    "tripled": Change(2.0, 0.0),
}


def _scope(design: Design, home: int, key: int) -> set[int]:
    return set(_takers(design, key, home))


def _wide(make: Callable, agents: list[int], home: int) -> set[int]:
    """Return whom the second stage asks: the near ones of the near ones."""
    design = make(agents)
    near = design.near[home]
    return {far for agent in near for far in design.near[agent]}


def _missed(
    make: Callable, size: int, change: Change, seed: int, flows: int
) -> tuple[float, float]:
    """Return the shares of owners outside the first stage, and the second."""
    rng = random.Random(seed)
    former = list(range(size))
    gone = set(rng.sample(former, round(size * change.gone)))
    joined = list(range(size, size + round(size * change.joined)))
    now = [agent for agent in former if agent not in gone] + joined
    before, after = make(former), make(now)
    missed = lost = found = 0
    for key in range(flows):
        owner = rng.choice(_takers(before, key, before.home(key)))
        if owner in gone:
            continue
        found += 1
        home = after.home(key)
        if owner in _scope(after, home, key):
            continue
        missed += 1
        lost += owner not in _wide(lambda agents: after, now, home)
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
        Numbers of agents of one service.
    seeds : int
        Runs of each; figures are their means.
    requests_each : int
        Requests that are placed, for each agent.
    flows : int
        Flows that are searched for.
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
    design = make(list(range(size)))
    placed = [_place(design, seed, requests_each) for seed in range(seeds)]
    busiest = [each.busiest for each in placed]
    asked = FIRST if design.asks else statistics.mean(map(len, design.near.values()))
    noticed = 0.8 if design.asks else STATUSES_LOST * design.interval
    figures = [
        Figure(f"statuses a second, {about}", design.peers / design.interval, ""),
        Figure(f"dead noticed, {about}", noticed, "s"),
        Figure(f"busiest/mean, {about}", statistics.mean(busiest), "ratio"),
        Figure(f"busiest/mean +-, {about}", _half_width(busiest), "ratio"),
        Figure(
            f"99th wait, {about}", statistics.mean(p.waited for p in placed) * 1e3, "ms"
        ),
        Figure(f"asked, {about}", asked, ""),
    ]
    for what, change in CHANGES.items():
        pairs = [_missed(make, size, change, seed, flows) for seed in range(seeds)]
        first, second = zip(*pairs, strict=True)
        figures.append(
            Figure(f"not in first, {what}, {about}", statistics.mean(first), "share")
        )
        figures.append(
            Figure(f"not in second, {what}, {about}", statistics.mean(second), "share")
        )
    return figures
