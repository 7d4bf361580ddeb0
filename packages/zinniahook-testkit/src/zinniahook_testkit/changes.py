"""Flows during planned changes: real cores, a fake store and a network with delay.

Callers of a plain UDP service keep sending through entries while agents join and
leave, entries are replaced and the configuration changes. Each change begins
while the previous one still spreads. A flow is broken if one of its packets is
lost for good or reaches another target than the flow's owner.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from zinniahook_core import effects, events
from zinniahook_core.agents import AgentCore
from zinniahook_core.codes import Code
from zinniahook_core.effects import AgentEffect
from zinniahook_core.entries import EntryCore
from zinniahook_core.models import (
    Address,
    AgentState,
    Configuration,
    Key,
    Member,
    Protocol,
    Roster,
    Service,
)

from .scenarios import Figure, scenario

__all__ = ["Result", "measure"]

SERVICE = "pulse"
TICK = 0.1
LATENCY = (0.001, 0.02)
SPREAD = (0.05, 2.0)
"""Range of the delay in seconds until a roster or configuration reaches a process."""

PROBED = (0.5, 1.0)
"""Range of the delay in seconds until a new agent's target answers its first probe."""

SETTLE = 4.0
"""Seconds at the start until the first agents are ready."""

DRAIN = 36_000.0
"""Long enough that a leaving agent keeps its flows until their callers end."""

KEYS_BY_NUMBER = {1: Key(1, bytes(32))}


class Result(NamedTuple):
    """Counts of one run."""

    flows: int
    packets: int
    changes: int
    broken: int
    lost: int
    hops: int


class Agent:
    """An agent core with its address, which executes the core's effects."""

    def __init__(self, world: World, number: int, agents: int) -> None:
        self.world = world
        self.name = f"{SERVICE}-{number}"
        self.address = Address(f"10.1.{number >> 8}.{number & 255}", 7000)
        identity = Member(
            self.name,
            self.address,
            self.address,
            self.address,
            f"dc-{number % agents % 4}",
            1,
            AgentState.STARTING,
            4,
        )
        self.core = AgentCore(identity, SERVICE, random.Random(number))
        self.alive = True

    def feed(self, event: events.AgentEvent) -> None:
        """Pass an event to the core and execute its effects."""
        if not self.alive:
            return
        for effect in self.core.handle(self.world.now, event):
            self._execute(effect)

    def _execute(self, effect: AgentEffect) -> None:
        world = self.world
        if isinstance(effect, effects.SendPeer):
            peer = world.agents_by_name[effect.peer]
            event = events.PeerDatagram(self.name, effect.message)
            world.later(LATENCY, lambda: peer.feed(event))
        elif isinstance(effect, effects.AcceptFlow):
            world.last_accepted_by_name[self.name] = world.now
        elif isinstance(effect, effects.Deliver):
            world.delivered(self, effect)
        elif isinstance(effect, effects.ForwardDatagram):
            self._forward(effect)
        elif isinstance(effect, effects.WriteRoster):
            answer = world.write(effect)
            world.later(LATENCY, lambda: self.feed(answer))
        elif isinstance(effect, effects.ReadRoster):
            event = events.RosterChanged(world.roster)
            world.later(LATENCY, lambda: self.feed(event))

    def _forward(self, effect: effects.ForwardDatagram) -> None:
        peer = self.world.agents_by_name[effect.peer]
        event = events.FlowDatagram(
            SERVICE,
            effect.caller,
            effect.entry,
            effect.payload,
            effect.hops,
            self.name if effect.handed else "",
        )
        self.world.hops += 1
        self.world.last_forwarded_by_name[peer.name] = self.world.now
        self.world.later(LATENCY, lambda: peer.feed(event))


class World:
    """A fake clock, a fake store, and all processes."""

    def __init__(self, agents: int, entries: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.roster = Roster(SERVICE, 0, {})
        self.generation = 1
        self.agents_by_name: dict[str, Agent] = {}
        self.owners_by_caller: dict[Address, str] = {}
        self.arrived: set[tuple[Address, bytes]] = set()
        self.broken: set[Address] = set()
        self.hops = 0
        self.last_accepted_by_name: dict[str, float] = {}
        self.last_forwarded_by_name: dict[str, float] = {}
        self.last_routed_by_name: dict[str, float] = {}
        self._agents = agents
        self._numbers = itertools.count(1)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.entries = [self._new_entry() for _ in range(entries)]
        for _ in range(agents):
            self.join()

    def later(self, between: tuple[float, float], call: Callable[[], None]) -> None:
        """Schedule a call after a random delay in a range."""
        self.at(self.now + self.rng.uniform(*between), call)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self._queue, (when, next(self._order), call))

    def run_until(self, end: float) -> None:
        """Advance the clock to ``end``, with the ticks that a driver would send."""
        while self.now < end:
            until = self.now + TICK
            while self._queue and self._queue[0][0] <= until:
                self.now, _, call = heapq.heappop(self._queue)
                call()
            self.now = until
            for agent in list(self.agents_by_name.values()):
                agent.feed(events.Tick())
            for entry in self.entries:
                entry.handle(self.now, events.Tick())

    def configuration(self) -> Configuration:
        """Return the configuration of the current generation."""
        service = Service(
            SERVICE, 1, Address("10.9.0.1", 900), Protocol.UDP, {}, DRAIN, DRAIN
        )
        return Configuration(
            self.generation, {SERVICE: service}, KEYS_BY_NUMBER, KEYS_BY_NUMBER, 1, 1
        )

    # Planned changes

    def join(self) -> None:
        """Start a new agent."""
        agent = Agent(self, next(self._numbers), self._agents)
        self.agents_by_name[agent.name] = agent
        agent.feed(events.ConfigurationChanged(self.configuration()))
        agent.feed(events.RosterChanged(self.roster))
        report = events.TargetReported(True, None, True)
        self.later(PROBED, lambda: agent.feed(report))

    def leave(self) -> None:
        """Drain the oldest ready agent."""
        for agent in self.agents_by_name.values():
            if agent.core.state is AgentState.READY:
                agent.feed(events.DrainRequested(DRAIN))
                return

    def replace_entry(self) -> None:
        """Replace a random entry by a new one without any state of flows."""
        self.entries[self.rng.randrange(len(self.entries))] = self._new_entry()

    def configure(self) -> None:
        """Send a new generation to each process with its own delay."""
        self.generation += 1
        event = events.ConfigurationChanged(self.configuration())
        for process in (*self.agents_by_name.values(), *self.entries):
            self._spread(process, event)

    def _new_entry(self) -> EntryCore:
        entry = EntryCore(random.Random(self.rng.random()))
        entry.handle(self.now, events.ConfigurationChanged(self.configuration()))
        entry.handle(self.now, events.RosterChanged(self.roster))
        return entry

    def _spread(self, process: Agent | EntryCore, event: events.AgentEvent) -> None:
        if isinstance(process, Agent):
            self.later(SPREAD, lambda: process.feed(event))
        else:
            self.later(SPREAD, lambda: process.handle(self.now, event))

    # The store

    def write(self, effect: effects.WriteRoster) -> events.RosterWritten:
        """Compare and swap the roster, and send it to every process."""
        if effect.roster.revision != self.roster.revision:
            return events.RosterWritten(effect.operation, Code.CONFLICT, self.roster)
        self.roster = effect.roster._replace(revision=self.roster.revision + 1)
        event = events.RosterChanged(self.roster)
        for process in (*self.agents_by_name.values(), *self.entries):
            self._spread(process, event)
        return events.RosterWritten(effect.operation, Code.OK, self.roster)

    # Packets

    def send(self, caller: Address, payload: bytes) -> None:
        """Send a packet through a random entry."""
        entry = self.rng.choice(self.entries)
        service = self.configuration().services_by_name[SERVICE]
        agent = entry.route(self.now, service, caller, payload)
        if isinstance(agent, Code):
            return
        number = self.entries.index(entry)
        via = Address("10.2.0.1", 7000 + number)
        event = events.FlowDatagram(SERVICE, caller, via, payload)
        target = next(
            one for one in self.agents_by_name.values() if one.address == agent
        )
        self.last_routed_by_name[target.name] = self.now
        self.later(LATENCY, lambda: target.feed(event))

    def delivered(self, agent: Agent, effect: effects.Deliver) -> None:
        """Record the arrival of a packet, and send its answer through the entry."""
        caller = effect.caller
        self.arrived.add((caller, effect.payload))
        if self.owners_by_caller.setdefault(caller, agent.name) != agent.name:
            self.broken.add(caller)
        entry = self.entries[effect.entry.port - 7000]
        seen = events.AnswerSeen(SERVICE, caller, agent.address)
        self.later(LATENCY, lambda: entry.handle(self.now, seen))


@scenario("planned-changes")
def measure_figures(**parameters: int) -> list[Figure]:
    """Count the flows that planned changes break."""
    result = measure(**parameters)
    return [
        Figure("flows", result.flows, "count"),
        Figure("changes", result.changes, "count"),
        Figure("broken flows", result.broken, "count"),
        Figure("lost packets", result.lost, "count"),
        Figure("hops per packet", result.hops / result.packets, "1/packet"),
    ]


@scenario("lost-agent")
def measure_lost_agent(
    agents: int, entries: int, rate: float, seconds: float, seed: int = 1
) -> list[Figure]:
    """Measure for how long a dead and a leaving agent still get new flows.

    New flows open at ``rate`` per second, each with one packet that is sent once.
    """
    world = World(agents, entries, seed)
    world.run_until(SETTLE)
    dead, leaving = list(world.agents_by_name.values())[:2]
    numbers = itertools.count()

    def opening() -> None:
        number = next(numbers)
        caller = Address(f"10.8.{number >> 8 & 255}.{number >> 16}", number & 255)
        world.send(caller, number.to_bytes(4, "big"))

    def openings(length: float) -> None:
        for _ in range(round(rate * length)):
            world.at(world.now + world.rng.uniform(0.0, length), opening)
        world.run_until(world.now + length)

    openings(seconds)
    leaving.feed(events.DrainRequested(DRAIN))
    drained_at = world.now
    openings(seconds)
    accepted = world.last_accepted_by_name[leaving.name] - drained_at
    dead.alive = False
    died_at = world.now
    openings(seconds)
    routed = world.last_routed_by_name[dead.name] - died_at
    total = next(numbers)
    forwarded = world.last_forwarded_by_name.get(dead.name, died_at) - died_at
    return [
        Figure("last new flow at a leaving agent", max(0.0, accepted), "s"),
        Figure("last handed to a dead agent by peers", max(0.0, forwarded), "s"),
        Figure("last routed to a dead agent by entries", routed, "s"),
        Figure("openings", total, "count"),
        Figure("openings lost", total - len(world.arrived), "count"),
    ]


def measure(
    flows: int = 10_000,
    changes: int = 52,
    agents: int = 7,
    entries: int = 3,
    period: float = 4.0,
    seed: int = 1,
) -> Result:
    """Send packets of ``flows`` established flows during planned changes.

    Parameters
    ----------
    flows : int
        Number of flows established before the first change.
    changes : int
        Number of joins, leaves, replaced entries and configurations, in turn.
    agents, entries : int
        Number of processes at the start.
    period : float
        Seconds between two packets of a flow.
    seed : int
        Seed of all random choices.
    """
    world = World(agents, entries, seed)
    world.run_until(SETTLE)
    callers = [Address(f"10.8.{n >> 14}.1", 1024 + n % 16384) for n in range(flows)]
    packets = itertools.count()
    sent: list[tuple[Address, bytes]] = []

    def send(caller: Address) -> None:
        payload = next(packets).to_bytes(4, "big")
        sent.append((caller, payload))
        world.send(caller, payload)

    def round_of_packets() -> None:
        for caller in callers:
            when = world.now + world.rng.uniform(0.0, period)
            world.at(when, lambda caller=caller: send(caller))
        world.run_until(world.now + period)

    round_of_packets()
    kinds = (world.join, world.leave, world.replace_entry, world.configure)
    for number in range(changes):
        # Each kind comes twice in a row, so that it also overlaps with itself.
        kinds[number // 2 % len(kinds)]()
        round_of_packets()
    world.run_until(world.now + SETTLE)
    lost = sum(packet not in world.arrived for packet in sent)
    return Result(flows, len(sent), changes, len(world.broken), lost, world.hops)
