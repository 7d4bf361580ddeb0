"""Callers that compete for the slots of a few targets, without a network.

Each target has a real agent core, and between agents and callers there is only a
delay. Callers reuse open flows or open new ones, repeat packets that aren't
acknowledged, give up, and try again.
"""

import collections
import heapq
import itertools
import math
import random
from typing import NamedTuple

from zinniahook_core.packets import (
    Agent,
    Features,
    Flag,
    Heartbeat,
    Route,
    Routes,
    ServiceShare,
    Target,
    Urgency,
)
from zinniahook_core.packets.tunnel import Head, Kind, tag
from zinniahook_testkit.packetendpoints import PlainCodec, flow_key
from zinniahook_testkit.packetparts import RecordingLog
from zinniahook_testkit.packetsimulation import route_address

SERVICE = "tally"
DELAY = 0.002
REPEATS = (0.2, 0.6, 1.4, 3.0)
OPEN_TIMEOUT_SECONDS = 1.4
TRIES = 3
TICK_SECONDS = 0.05
CHECK_SECONDS = 0.005


class RequestKind(NamedTuple):
    """The properties of the requests of one route."""

    name: str
    share: float
    work: float
    worth: float
    urgency: Urgency
    patience: float


FEED = RequestKind("feed", 0.78, 0.047, 1.0, Urgency(2, 0.4), 5.0)
EDIT = RequestKind("edit", 0.22, 0.061, 2.0, Urgency(1, 0.4), 6.0)
KINDS = (FEED, EDIT)


class Node:
    """A target and its agent, and the links of the agent."""

    def __init__(self, load, number, slots, features):
        self.load, self.slots = load, slots
        self.address = f"10.0.0.{number + 1}"
        self.alive, self.slow = True, 1.0
        self.working, self.queue, self.idle_for = 0, [], 0
        self.heartbeats, self.starts = 0, 1
        rng = random.Random(load.rng.random())
        target = Target(SERVICE, 1.0)
        self.core = Agent(
            self.address,
            "a",
            load.codec,
            self,
            load.log,
            rng,
            target,
            1,
            None,
            features,
        )
        self.core.start(load.now)
        self.core.configure(load.now, load.routes)
        self.by_flow = {}

    def tick(self):
        now = self.load.now
        self.core.freshness.confirmed(now)
        self.core.evacuate(now, 1, frozenset())
        self.core.tick(now)

    def send_heartbeat(self):
        if self.alive:
            self.heartbeats += 1
            name, number = f"{self.address}-{self.starts}", self.heartbeats
            beat = Heartbeat(name, SERVICE, self.slots, False, 0.0, number, self.starts)
            self.core.heartbeat(self.load.now, beat)

    def to_peer(self, address, data):
        pass

    def lookup(self, service):
        pass

    def fetch(self, address):
        pass

    def to_client(self, flow, raw):
        caller = self.load.caller_by_flow.get(flow)
        if caller is not None:
            self.load.at(DELAY, lambda: caller.receive(raw))

    def to_target(self, raw):
        self.load.at(0.0003, lambda: self.take(raw))

    def take(self, raw):
        """Receive a packet at the target."""
        if not self.alive:
            return
        packet = self.load.codec.from_client(raw)
        self.load.delivered(raw, packet)
        if packet.is_opening:
            self.by_flow[packet.flow] = packet.sequence + 1
            flags = Flag.OPENING | Flag.ACKNOWLEDGES
            self.send(packet.flow, flags, 1000, packet.sequence + 1)
            return
        expected = self.by_flow.get(packet.flow)
        if expected is None:
            raw = self.load.codec.returned(raw)
            self.core.from_target(self.load.now, raw)
            return
        end = packet.sequence + packet.length
        self.send(packet.flow, Flag.ACKNOWLEDGES, 1001, end)
        if packet.sequence != expected:
            return
        self.by_flow[packet.flow] = end
        if self.working < self.slots:
            self.work(packet)
        elif len(self.queue) < self.load.queue_limit:
            self.queue.append(packet)
        else:
            self.load.rejected += 1
            self.load.at(0.001, lambda: self.answer(packet, b"503"))

    def work(self, packet):
        self.working += 1
        took = self.load.caller_by_flow[packet.flow].work * self.slow
        self.load.at(took, lambda: self.done(packet))

    def done(self, packet):
        if not self.alive:
            return
        self.working -= 1
        self.answer(packet, b"200")
        if self.queue:
            self.work(self.queue.pop(0))

    def answer(self, packet, data):
        caller = self.load.caller_by_flow.get(packet.flow)
        if caller is not None and self.alive:
            end = packet.sequence + packet.length
            self.send(
                packet.flow, Flag.ACKNOWLEDGES, caller.answered(packet), end, data
            )

    def send(self, flow, flags, sequence, acknowledged, data=b""):
        raw = self.load.codec.write(flow, flags, sequence, acknowledged, data)
        self.core.from_target(self.load.now, raw)

    def crash(self):
        self.alive, self.working, self.queue = False, 0, []
        self.by_flow = {}

    def start(self):
        self.alive, self.heartbeats = True, 0
        self.starts += 1
        self.send_heartbeat()

    def check_held(self):
        """Record the longest wait, and a request that waits while a slot is free."""
        longest = self.core.queue.longest(self.load.now)
        self.load.longest_hold = max(self.load.longest_hold, longest)
        free = self.alive and self.slots > self.working + len(self.queue)
        self.idle_for = self.idle_for + 1 if free and len(self.core.queue) else 0
        self.load.needlessly_held += self.idle_for > 1

    @property
    def reported_load(self):
        return self.core.flows.busy + self.core.membership.waiting


class Caller:
    """A request and its attempts, on an open flow or a new one."""

    def __init__(self, load, kind):
        self.load, self.kind = load, kind
        self.begun, self.tries, self.done = load.now, 0, None
        spread = load.rng.lognormvariate(-0.125, 0.5)
        self.work = kind.work * spread * (7 if load.rng.random() < 0.03 else 1) / 1.18
        self.begin(load.rng.random() < load.reuse)

    def begin(self, reuse=False):
        load = self.load
        if self.tries == TRIES or load.now - self.begun > self.kind.patience:
            return
        self.tries += 1
        idle = load.idle_by_kind[self.kind.name]
        if reuse and idle:
            self.node, self.flow, self.sent, self.got = idle.pop(
                load.rng.randrange(len(idle))
            )
            load.caller_by_flow[self.flow] = self
            self.ask(self.tries, 0)
            return
        number = 1 + KINDS.index(self.kind)
        self.flow = flow_key("100.64.0.1", next(load.ports), f"198.18.0.{number}", 8443)
        load.caller_by_flow[self.flow] = self
        self.sent, self.got = 1, 0
        running = [node for node in load.nodes if node.alive] or load.nodes
        pair = load.rng.sample(running, min(2, len(running)))
        self.node = min(pair, key=lambda node: node.reported_load)
        self.opened = False
        self.open(self.tries, 0)
        tries = self.tries
        load.at(OPEN_TIMEOUT_SECONDS, lambda: self.give_up(tries))

    def give_up(self, tries):
        if tries == self.tries and not self.opened:
            self.begin()

    def open(self, tries, copy):
        if tries != self.tries or self.opened or copy > 2:
            return
        self.send(Flag.OPENING, 0, copy)
        self.load.at(REPEATS[copy], lambda: self.open(tries, copy + 1))

    def ask(self, tries, copy):
        if tries != self.tries or self.done or copy >= len(REPEATS):
            return
        self.asking = True
        if self.load.now - self.begun <= self.kind.patience:
            self.send(Flag.ACKNOWLEDGES, self.sent, 1001 + self.got, b"request")
            tries, sent = self.tries, self.sent
            wait = REPEATS[copy] - (REPEATS[copy - 1] if copy else 0)
            self.load.at(wait, lambda: sent == self.sent and self.ask(tries, copy + 1))

    def send(self, flags, sequence, acknowledged, data=b""):
        load, node = self.load, self.node
        raw = load.codec.write(self.flow, flags, sequence, acknowledged, data)
        load.sent_by_raw[raw] += 1
        load.at(DELAY, lambda: load.arrive(node, raw))

    def answered(self, packet):
        return 1001 + self.got

    def receive(self, raw):
        packet = self.load.codec.from_target(raw)
        if packet.flow != self.flow or self.done:
            return
        if packet.flags & Flag.RESET:
            self.opened = True
            self.begin()
        elif packet.flags & Flag.OPENING and not self.opened:
            self.opened = True
            self.ask(self.tries, 0)
        elif packet.length and packet.sequence == 1001 + self.got:
            self.got += packet.length
            self.sent += len(b"request")
            if packet.raw.endswith(b"503"):
                self.load.at(0.01, self.begin)
                return
            self.done = self.load.now
            row = (self.node, self.flow, self.sent, self.got)
            self.load.idle_by_kind[self.kind.name].append(row)

    @property
    def took(self):
        return math.inf if self.done is None else self.done - self.begun

    @property
    def earned(self):
        """The earned share of the request's worth."""
        if self.took <= self.kind.urgency.goal:
            return 1.0
        return 0.3 if self.took <= self.kind.patience else 0.0


class Load:
    """Callers and targets on a shared clock."""

    def __init__(self, seed, wanted, nodes=6, slots=3, queue_limit=12, reuse=0.7):
        self.now, self.rng = 100.0, random.Random(seed)
        self.reuse, self.queue_limit = reuse, queue_limit
        self.codec, self.log = PlainCodec(), RecordingLog()
        self.rejected = self.needlessly_held = self.misdelivered = 0
        self.longest_hold = 0.0
        self.sent_by_raw, self.numbers_by_flow = collections.Counter(), {}
        self.ports = itertools.count(1024)
        self.callers, self.caller_by_flow = [], {}
        self.idle_by_kind = {kind.name: [] for kind in KINDS}
        self.ids, self.events = itertools.count(), []
        share = (ServiceShare(SERVICE, 1.0),)
        by_address = {
            route_address(number): Route(kind.name, share, kind.urgency)
            for number, kind in enumerate(KINDS, 1)
        }
        self.routes = Routes(1, by_address, 60.0, b"")
        features = Features(request_order=wanted)
        self.nodes = [Node(self, n, slots, features) for n in range(nodes)]
        self.capacity = nodes * slots / sum(kind.share * kind.work for kind in KINDS)
        for node in self.nodes:
            self.every(TICK_SECONDS, node.tick)
            self.every(1.0, node.send_heartbeat)
            self.every(CHECK_SECONDS, node.check_held)
        self.run(2.0)

    def at(self, delay, call):
        heapq.heappush(self.events, (self.now + delay, next(self.ids), call))

    def every(self, period, call):
        def again():
            call()
            self.at(period, again)

        self.at(period * self.rng.random(), again)

    def delivered(self, raw, packet):
        """Check a packet that a target gets.

        It must not arrive more often than its client sent it, nor after a packet of a
        later request.
        """
        self.sent_by_raw[raw] -= 1
        former = self.numbers_by_flow.get(packet.flow, packet.sequence)
        early = not packet.is_opening and packet.sequence < former
        self.misdelivered += self.sent_by_raw[raw] < 0 or early
        self.numbers_by_flow[packet.flow] = packet.sequence

    def arrive(self, node, raw):
        packet = self.codec.from_client(raw)
        head = Head(Kind.FORWARD, service=tag(SERVICE), entry="10.1.0.1")
        if packet.is_opening:
            node.core.openings.take(self.now, node.address, head, packet)
        else:
            node.core._forwarded(self.now, "10.1.0.1", head, raw)

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def run_load(self, seconds, rate):
        """Start callers at ``rate(second)`` times the capacity of the targets."""
        start, until = self.now, self.now + seconds
        while self.now < until:
            wanted = self.capacity * rate(self.now - start)
            self.run(self.rng.expovariate(wanted))
            kind = FEED if self.rng.random() < FEED.share else EDIT
            self.callers.append(Caller(self, kind))

    def shares(self, since=0.0):
        """Return the earned share of the requested worth, in all and by kind."""
        shares = []
        for kinds in (KINDS, (FEED,), (EDIT,)):
            some = [c for c in self.callers if c.kind in kinds and c.begun >= since]
            owed = sum(c.kind.worth for c in some)
            shares.append(sum(c.kind.worth * c.earned for c in some) / max(1, owed))
        return shares


def wave(at):
    """Return a load that swings by 55 % around half of the capacity."""
    return 0.5 * (1 + 0.55 * math.sin(2 * math.pi * at / 17))


def burst(at):
    """Return the load of `wave`, multiplied by 1.7 for 3 s at its peak."""
    return wave(at) * (1.7 if 3.0 <= at < 6.0 else 1.0)


def swing(load):
    load.run_load(17.0, wave)


def burst_run(load):
    load.run_load(10.0, burst)


def half_lost(load):
    load.run_load(3.0, wave)
    half = load.nodes[::2]
    for node in half:
        node.crash()
    load.run_load(4.5, lambda at: wave(at + 3))
    for node in half:
        node.start()
    load.run_load(4.0, lambda at: wave(at + 7.5))


def power_lost(load):
    load.run_load(2.0, wave)
    for node in load.nodes:
        node.crash()
    load.run_load(0.7, lambda at: 0.7)
    for node in load.nodes:
        node.slow = 1.6
        node.start()
    load.run_load(2.0, lambda at: 0.7)
    for node in load.nodes:
        node.slow = 1.0
    load.run_load(5.0, lambda at: 0.7)
