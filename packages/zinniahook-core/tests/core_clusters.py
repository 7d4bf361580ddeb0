"""A simulated cluster of agents, entries and callers on an unreliable network.

The cluster records what it observes; ``violated_promises`` checks the records
against the guarantees of the product.
"""

import heapq
import random

from core_fakes import KEYS, SERVICES, Execution, Node, Store, answer_of, configuration
from zinniahook_core import effects, events
from zinniahook_core.codes import OutcomeKind
from zinniahook_core.entries import EntryCore
from zinniahook_core.models import Address, Protocol
from zinniahook_core.routing import ConnectionIds, Owner

TICK = 0.1
LATE_SHARE = 0.03
MAX_LATE_SECONDS = 2.0


class Cluster:
    """Agents and entries on one fake clock."""

    def __init__(self, seed, agents_by_service, entries=2, loss=0.0, doubled=0.0):
        self.rng = random.Random(seed)
        self.loss, self.doubled = loss, doubled
        self.now, self.numbers = 0.0, 0
        self.configurations = [configuration(1)]
        self.queue = []
        self.cut = set()
        self.store = Store()
        self.nodes, self.violations = {}, []
        self.executions, self.reported, self.connections = [], [], []
        self.owner_by_flow = {}
        self.delivered_at = {}
        self.flows_expected = True
        self.restarts = 0
        self.connection_ids = ConnectionIds(KEYS, 1, self.rng)
        self.entries = [self.start_entry(number) for number in range(entries)]
        for service, count in agents_by_service.items():
            for _ in range(count):
                self.join(service)
        self.run(2.0)

    def at(self, seconds, function, *arguments):
        self.numbers += 1
        item = (self.now + seconds, self.numbers, function, arguments)
        heapq.heappush(self.queue, item)

    def later(self, function, *arguments):
        self.at(self.rng.uniform(0.001, 0.02), function, *arguments)

    def run(self, seconds):
        """Advance the clock tick by tick."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.step(self.now + TICK)

    def step(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)
        self.now = until
        for node in list(self.nodes.values()):
            if not node.paused:
                node.feed(events.Tick())
        for entry in self.entries:
            entry.handle(self.now, events.Tick())

    # Processes

    def start_entry(self, number):
        entry = EntryCore(random.Random(number))
        entry.address = Address("10.2.0.1", 7000 + number)
        entry.handle(self.now, events.ConfigurationChanged(self.configurations[-1]))
        for stored in self.store.by_service.values():
            entry.handle(self.now, events.RosterChanged(stored))
        return entry

    def replace_entry(self, number):
        self.entries[number] = self.start_entry(number)

    def join(self, service, name=None):
        """Start a process. Under a former name it is a restart with a new
        incarnation.
        """
        former = self.nodes.get(name)
        number = former.address.port if former else 7000 + len(self.nodes)
        name = name or f"{service}-{number}"
        incarnation = former.core.identity.incarnation + 100 if former else 1
        node = Node(self, name, service, number, incarnation)
        self.nodes[name] = node
        node.feed(events.ConfigurationChanged(self.configurations[-1]))
        if service in self.store.by_service and not self.store.down:
            node.feed(events.RosterChanged(self.store.by_service[service]))
        node.feed(events.Tick())
        self.at(0.2, node.feed, events.TargetReported(True, None, True))
        return node

    def live(self, service):
        return [
            node
            for node in self.nodes.values()
            if node.service == service and node.alive and not node.paused
        ]

    def drain(self, node, seconds=30.0):
        node.leaving_since = self.now
        node.feed(events.DrainRequested(seconds))

    def push_roster(self, service):
        if self.store.down:
            return
        event = events.RosterChanged(self.store.by_service[service])
        for node in self.nodes.values():
            if node.service == service:
                self.at(self.rng.uniform(0.01, 1.0), node.feed, event)
        for number in range(len(self.entries)):
            self.at(self.rng.uniform(0.01, 1.0), self.feed_entry, number, event)

    def feed_entry(self, number, event):
        entry = self.entries[number]
        before = entry.generation
        entry.handle(self.now, event)
        if entry.generation < before:
            self.violations.append(f"generation went down at entry {number}")

    def separate(self, *groups):
        """Cut all messages between nodes of different groups."""
        self.cut = {
            (one.name, other.name)
            for group in groups
            for one in group
            for rest in groups
            if rest is not group
            for other in rest
        }

    def set_store(self, down):
        self.store.down = down
        for service in () if down else self.store.by_service:
            self.push_roster(service)

    def configure(self, **services):
        """Install a new generation. Old copies may arrive late."""
        before = self.configurations[-1]
        by_name = {**before.services_by_name, **services}
        generation = before.generation + 1
        after = before._replace(generation=generation, services_by_name=by_name)
        self.configurations.append(after)
        for late in self.configurations[-1:-3:-1]:
            event = events.ConfigurationChanged(late)
            for node in self.nodes.values():
                self.at(self.rng.uniform(0.01, 2.0), node.feed, event)
            for number in range(len(self.entries)):
                self.at(self.rng.uniform(0.01, 2.0), self.feed_entry, number, event)

    def exclude(self, node):
        """Remove one agent from the allowed targets of its service."""
        service = self.configurations[-1].services_by_name[node.service]
        names = [name for name in self.nodes if name != node.name]
        self.configure(**{node.service: service._replace(targets=tuple(names))})

    # Messages

    def send_peer(self, sender, effect):
        peer = self.nodes[effect.peer]
        if (sender.name, effect.peer) in self.cut:
            return
        copies = 1 + (self.rng.random() < self.doubled)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                event = events.PeerDatagram(sender.name, effect.message)
                late = self.rng.random() < LATE_SHARE
                delay = self.rng.uniform(0.001, MAX_LATE_SECONDS if late else 0.02)
                self.at(delay, peer.feed, event)

    def route(self, service, caller, payload):
        """Send a datagram of a caller through a random entry."""
        entry = self.rng.choice(self.entries)
        event = events.CallerDatagram(service, caller, payload)
        for effect in entry.handle(self.now, event):
            if isinstance(effect, effects.ToAgent):
                return entry, self.by_address(service, effect.agent)
        return entry, None

    def by_address(self, service, address):
        node = next(n for n in self.nodes.values() if n.address == address)
        if node.service != service:
            self.violations.append(f"{service} packet at {node.name}")
        return node

    # Callers

    def connect(self, service):
        flow = self.rng.randbytes(8)
        initial = b"\xc0\x00\x00\x00\x01\x08" + flow + bytes(20)
        _, node = self.route(service, Address("10.7.0.1", 1), initial)
        if node:
            opening = events.FlowOpening(service, flow, Address("10.7.0.1", 1))
            self.later(node.feed, opening)
        return flow

    def request(self, connection, key, attempt, delay=0.0):
        service, _, connection_id, flow = connection
        self.at(delay, self.send_request, service, connection_id, flow, key, attempt)

    def send_request(self, service, connection_id, flow, key, attempt):
        payload = b"\x40" + connection_id + bytes(20)
        _, node = self.route(service, Address("10.7.0.1", 1), payload)
        if node:
            node.arrive(flow, key, attempt)

    def send(self, number):
        """Send a datagram of the plain UDP flow ``number``."""
        caller = Address("10.7.1.1", 1000 + number)
        entry, node = self.route("feed", caller, b"packet")
        if node:
            event = events.FlowDatagram("feed", caller, entry.address, b"packet")
            self.later(node.feed, event)

    # Observations

    def check_generation(self, node):
        if node.core.generation < node.generation:
            self.violations.append(f"generation went down at {node.name}")
        node.generation = node.core.generation

    def accepted(self, node, flow):
        since = node.leaving_since
        if since is not None and self.now - since > 3.0:
            self.violations.append(f"new flow at leaving {node.name}")
        if SERVICES[node.service].protocol is Protocol.UDP or flow in node.flows_by_id:
            return
        incarnation = node.core.identity.incarnation
        owner = Owner(SERVICES[node.service].number, node.address, incarnation)
        connection_id = self.connection_ids.encode(owner)
        node.flows_by_id[flow] = connection_id
        connection = (node.service, node.name, connection_id, flow)
        self.connections.append(connection)

    def delivered(self, node, effect):
        owner = (node.name, node.core.identity.incarnation)
        former = self.owner_by_flow.setdefault(effect.flow, owner)
        self.delivered_at[effect.flow] = self.now
        if former != owner and self.flows_expected:
            self.violations.append(f"flow moved from {former} to {owner}")
        for entry in self.entries:
            if entry.address == effect.entry:
                seen = events.AnswerSeen(node.service, effect.caller, node.address)
                entry.handle(self.now, seen)

    def executed(self, node, request):
        since = node.leaving_since
        if since is not None and request.arrived - since > 3.0:
            self.violations.append(f"new request at leaving {node.name}")
        # Copies of one request at one agent run as one, on behalf of the latest. An
        # older copy may stand for a retry that waits here.
        copies = (r.attempt for r in node.requests.values() if r.key == request.key)
        execution = Execution(request.key, max(copies), node.name)
        self.executions.append(execution)

    def stopped(self, node):
        """Stop expecting the flows of a node that has drained."""
        owners = self.owner_by_flow.items()
        kept = {flow: owner for flow, owner in owners if owner[0] != node.name}
        self.owner_by_flow = kept

    def settle(self):
        """Repair everything and wait until every request must be answered."""
        self.set_store(down=False)
        self.store.losing = False
        self.separate()
        self.loss = 0.0
        self.run(25.0)
        for node in self.nodes.values():
            for request in node.requests.values():
                if (
                    node.alive
                    and not request.cancelled
                    and self.now - request.arrived > 20.0
                ):
                    found = f"{request.key} {request.attempt} unanswered at {node.name}"
                    self.violations.append(found)

    def violated_promises(self):
        """Return all violated guarantees so far."""
        found = list(self.violations)
        attempts_by_key = {}
        for execution in self.executions:
            attempts_by_key.setdefault(execution.key, []).append(execution.attempt)
        found += [f"{key} ran twice" for key, ran in attempts_by_key.items() if ran[1:]]
        for outcome in self.reported:
            ran = attempts_by_key.get(outcome.key, ())
            # Without an attempt count a retry is indistinguishable from a late
            # copy.
            counted = outcome.kind is OutcomeKind.NOT_RUN and outcome.attempt > 0
            if counted and any(attempt <= outcome.attempt for attempt in ran):
                found.append(f"{outcome.key} ran, though told not")
            if outcome.kind is OutcomeKind.DONE and outcome.answer != answer_of(
                outcome.key
            ):
                found.append(f"{outcome.key} got another answer")
        return found
