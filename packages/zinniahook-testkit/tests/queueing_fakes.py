"""An agent whose target is controlled by the tests."""

import itertools
import random

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
from zinniahook_core.packets.queueing import EXTRA_REQUESTS
from zinniahook_core.packets.tunnel import Head, Kind, Mark, tag
from zinniahook_testkit.packetendpoints import PlainCodec, flow_key
from zinniahook_testkit.packetparts import RecordingLog
from zinniahook_testkit.packetsimulation import route_address

SERVICE = "tally"
ENTRY = "10.1.0.1"
FIRST = 1000
GOAL = 0.4
FEED, EDIT = 1, 2
BUSY = 1 + EXTRA_REQUESTS
"""Requests that a target of one slot gets before further ones wait."""

CLIENT_FIRST = (1 << 32) - 40
"""Initial number of clients; it wraps around within the first requests."""


class AgentHarness:
    """An agent whose target is controlled by the tests."""

    def __init__(self, wanted=None, goal=GOAL, slots=1):
        self.now = 100.0
        self.codec, self.log = PlainCodec(), RecordingLog()
        self.delivered, self.to_clients = [], []
        target = Target(SERVICE, 1.0)
        features = Features(request_order=wanted)
        rng = random.Random(1)
        self.core = Agent(
            "10.0.0.1", "a", self.codec, self, self.log, rng, target, 1, None, features
        )
        self.core.start(self.now)
        share = (ServiceShare(SERVICE, 1.0),)
        by_address = {
            route_address(FEED): Route("feed", share, Urgency(2, goal)),
            route_address(EDIT): Route("edit", share, Urgency(1, goal)),
        }
        self.core.configure(self.now, Routes(1, by_address, 60.0, b""))
        self.numbers = itertools.count(1)
        self.slots = slots
        self.sent, self.target_sent = {}, {}
        self.wait(2.0)

    def send_heartbeat(self, **changes):
        beat = Heartbeat("t-1", SERVICE, self.slots, False, 0.0, next(self.numbers), 1)
        self.core.heartbeat(self.now, beat._replace(**changes))

    def wait(self, seconds, beats=True):
        """Advance the clock with ticks and heartbeats."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.core.freshness.confirmed(self.now)
            self.core.evacuate(self.now, 1, frozenset())
            if beats:
                self.send_heartbeat()
            self.core.tick(self.now)

    def to_peer(self, address, data):
        pass

    def to_client(self, flow, raw):
        self.to_clients.append((flow, self.codec.from_target(raw)))

    def to_target(self, raw):
        self.delivered.append(raw)

    def lookup(self, service):
        pass

    def fetch(self, address):
        pass

    def client(self, flow, flags, sequence, acknowledged, data=b""):
        """Send a packet from a client; return it."""
        raw = self.codec.write(flow, flags, sequence, acknowledged, data)
        marks = Mark.PLACED if flags == Flag.OPENING else Mark.NONE
        head = Head(Kind.FORWARD, marks, service=tag(SERVICE), entry=ENTRY)
        self.core._forwarded(self.now, ENTRY, head, raw)
        return raw

    def target(self, flow, flags, data=b""):
        """Send a packet from the target."""
        sequence = FIRST + self.target_sent[flow]
        raw = self.codec.write(flow, flags, sequence, self.sent[flow], data)
        self.target_sent[flow] += len(data)
        self.core.from_target(self.now, raw)

    def open(self, port, route=FEED):
        """Open a flow whose first request is answered."""
        flow = flow_key("100.64.0.1", port, f"198.18.0.{route}", 8443)
        self.target_sent[flow], self.sent[flow] = 0, CLIENT_FIRST + 1
        self.client(flow, Flag.OPENING, CLIENT_FIRST, 0)
        self.target(flow, Flag.OPENING | Flag.ACKNOWLEDGES)
        self.target_sent[flow] = 1
        self.ask(flow, b"first")
        self.answer(flow)
        return flow

    def ask(self, flow, data=b"request"):
        """Send a request of one packet from a client; return the packet."""
        raw = self.piece(flow, 0, data)
        self.sent[flow] += len(data)
        return raw

    def piece(self, flow, offset, data, flags=Flag.ACKNOWLEDGES):
        """Send data from a client at an offset from its next byte."""
        sequence = self.sent[flow] + offset
        return self.client(flow, flags, sequence, FIRST + self.target_sent[flow], data)

    def answer(self, flow):
        self.target(flow, Flag.ACKNOWLEDGES, b"answer")

    def busy(self, count=BUSY):
        """Give the target as many requests as it may get; return their flows."""
        flows = [self.open(5000 + number) for number in range(count)]
        for flow in flows:
            self.ask(flow)
        return flows

    @property
    def held(self):
        return len(self.core.queue)

    @property
    def reset(self):
        """The flows whose clients got a reset."""
        return {flow for flow, packet in self.to_clients if packet.flags & Flag.RESET}
