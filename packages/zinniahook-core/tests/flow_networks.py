"""A simulated network of agents and entries with flows, for tests."""

import heapq
import random
from collections import defaultdict

from zinniahook_core.effects import Deliver, EndFlow, ForwardDatagram, SendPeer, ToAgent
from zinniahook_core.entries import EntryCore
from zinniahook_core.events import (
    AnswerSeen,
    CallerDatagram,
    ConfigurationChanged,
    FlowDatagram,
    RosterChanged,
    Tick,
)
from zinniahook_core.flows import Flows
from zinniahook_core.messages import Heartbeat
from zinniahook_core.models import (
    Address,
    AgentState,
    Configuration,
    Key,
    Load,
    Member,
    Protocol,
    Roster,
    Service,
)
from zinniahook_core.placement import Placement
from zinniahook_core.routing import flow_key

KEYS = {1: Key(1, bytes(32))}
FEED = Service("feed", 9, Address("10.0.0.3", 900), Protocol.UDP, idle=30.0)
CONFIGURATION = Configuration(1, {"feed": FEED}, KEYS, KEYS, 1, 1)
ENTRY = Address("10.2.0.1", 7000)
TICK = 0.1


def member(name, state=AgentState.READY, incarnation=1):
    tunnel = Address("10.1.0.1", 7000 + int(name.split("-")[1]))
    return Member(name, tunnel, tunnel, tunnel, "thies-1", incarnation, state, 4)


def roster(revision, members):
    return Roster("feed", revision, {one.name: one for one in members})


def caller(number):
    return Address(f"10.7.{number >> 8}.{number & 255}", 5000)


class Network:
    """Agents and entries whose messages may be lost, duplicated or late."""

    def __init__(self, seed, agents, loss=0.0, doubled=0.0, latency=0.02, entries=3):
        self.rng = random.Random(seed)
        self.loss, self.doubled, self.latency = loss, doubled, latency
        self.now = 0.0
        self.queue, self.order = [], 0
        self.members = {
            f"a-{number}": member(f"a-{number}") for number in range(agents)
        }
        self.flows_by_name, self.placements_by_name = {}, {}
        self.dead = set()
        self.revision = 0
        self.delivered = defaultdict(list)
        self.entries = [self.new_entry() for _ in range(entries)]
        for name in self.members:
            self.start(name)
        self.publish(delay=0.0)
        self.run(0.1)

    def new_entry(self):
        core = EntryCore(random.Random(self.rng.random()))
        core.handle(self.now, ConfigurationChanged(CONFIGURATION))
        if self.revision:
            core.handle(self.now, RosterChanged(self.current()))
        return core

    def current(self):
        return roster(self.revision, self.members.values())

    def start(self, name):
        placement = Placement(name, random.Random(self.rng.random()))
        load = Load(4, 0, 0, 0, 0)
        flows = Flows(name, placement, lambda now: load._replace(flows=flows.count))
        flows.configure(self.now, FEED)
        self.flows_by_name[name], self.placements_by_name[name] = flows, placement
        self.dead.discard(name)

    def join(self, *names, delay=2.0):
        for name in names:
            self.members[name] = member(name)
            self.start(name)
        self.publish(delay)

    def leave(self, name, delay=2.0):
        self.flows_by_name[name].leave()
        self.members[name] = self.members[name]._replace(state=AgentState.LEAVING)
        self.publish(delay)

    def publish(self, delay=2.0):
        """Deliver the current roster to each agent and entry at a random time."""
        self.revision += 1
        for name in self.flows_by_name:
            late = delay * self.rng.random()
            self.post(late, ("roster", name, self.current()))
        for entry in self.entries:
            late = delay * self.rng.random()
            self.post(late, ("entry-roster", entry, self.current()))

    def post(self, late, item):
        self.order += 1
        heapq.heappush(self.queue, (self.now + late, self.order, item))

    def transmit(self, item):
        copies = 2 if self.rng.random() < self.doubled else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self.post(self.latency * self.rng.random(), item)

    def send(self, number, payload=b"x"):
        """Send a datagram of a caller through a random entry."""
        entry = self.rng.choice(self.entries)
        event = CallerDatagram("feed", caller(number), payload)
        for effect in entry.handle(self.now, event):
            if isinstance(effect, ToAgent):
                name = f"a-{effect.agent.port - 7000}"
                self.post(0.001, ("datagram", name, entry, number, payload, 0, ""))

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            boundary = min(until, self.now + TICK)
            while self.queue and self.queue[0][0] <= boundary:
                self.now, _, item = heapq.heappop(self.queue)
                self.step(item)
            self.now = boundary
            self.tick()

    def tick(self):
        for entry in self.entries:
            entry.handle(self.now, Tick())
        for name, flows in self.flows_by_name.items():
            if name not in self.dead:
                self.apply(name, None, flows.tick(self.now))
                self.send_heartbeats(name, flows)

    def send_heartbeats(self, name, flows):
        load = Load(4, 0, 0, flows.count, 0)
        sequence = round(self.now / TICK)
        heartbeat = Heartbeat(1, sequence, 1, load, flows.leaving)
        for peer, placement in self.placements_by_name.items():
            if peer != name:
                placement.heartbeat(self.now, name, heartbeat)

    def step(self, item):
        kind, name, *rest = item
        if kind == "entry-roster":
            name.handle(self.now, RosterChanged(rest[0]))
            return
        if name in self.dead or name not in self.flows_by_name:
            return
        flows = self.flows_by_name[name]
        if kind == "roster":
            flows.roster(self.now, rest[0])
            self.placements_by_name[name].roster(self.now, rest[0])
        elif kind == "message":
            self.apply(name, None, flows.peer(self.now, *rest))
        else:
            entry, number, payload, hops, handed_by = rest
            event = FlowDatagram(
                "feed", caller(number), ENTRY, payload, hops, handed_by
            )
            self.apply(name, (entry, number), flows.datagram(self.now, event))

    def apply(self, name, origin, effects):
        for effect in effects:
            if isinstance(effect, SendPeer):
                self.transmit(("message", effect.peer, name, effect.message))
            elif isinstance(effect, Deliver):
                self.deliver(name, effect)
            elif isinstance(effect, ForwardDatagram):
                self.forward(name, effect)
            elif isinstance(effect, EndFlow):
                self.flows_by_name[name].closed(effect.flow)

    def forward(self, name, effect):
        number = self.number(effect.caller)
        handed_by = name if effect.handed else ""
        rest = (None, number, effect.payload, effect.hops, handed_by)
        self.post(self.latency * self.rng.random(), ("datagram", effect.peer, *rest))

    def deliver(self, name, effect):
        self.delivered[self.number(effect.caller)].append(name)
        entry = self.rng.choice(self.entries)
        tunnel = self.members[name].tunnel
        entry.handle(self.now, AnswerSeen("feed", effect.caller, tunnel))

    def number(self, address):
        parts = address.host.split(".")
        return int(parts[2]) * 256 + int(parts[3])

    def open(self, count):
        for number in range(count):
            self.send(number)
        self.run(3.0)
        assert all(len(self.delivered[number]) == 1 for number in range(count))
        return {number: self.delivered[number][0] for number in range(count)}

    def send_repeatedly(self, count, seconds=5.0, pause=0.5):
        """Let every caller send at regular intervals, and return how often."""
        sent = 0
        while seconds > 0:
            for number in range(count):
                self.send(number)
            sent += 1
            self.run(pause)
            seconds -= pause
        return sent

    def moved(self, owners):
        return [
            number
            for number, owner in owners.items()
            if set(self.delivered[number]) != {owner}
        ]


class SingleAgent:
    """A single agent whose peers exist only in the roster."""

    def __init__(self, names=("a-0", "a-1", "a-2"), load=None):
        self.load = load or Load(4, 0, 0, 0, 0)
        self.placement = Placement("a-0", random.Random(1))
        self.flows = Flows("a-0", self.placement, lambda now: self.load)
        self.flows.configure(0.0, FEED)
        self.members = [member(name) for name in names]
        self.learn(0.0, 1)

    def learn(self, now, revision):
        known = roster(revision, self.members)
        self.flows.roster(now, known)
        self.placement.roster(now, known)

    def number_at(self, name):
        homes = self.flows.homes
        return next(
            n for n in range(1000) if homes.home(flow_key(caller(n))).name == name
        )

    def datagram(self, now, number, payload=b"x", hops=0, handed_by=""):
        event = FlowDatagram("feed", caller(number), ENTRY, payload, hops, handed_by)
        return self.flows.datagram(now, event)
