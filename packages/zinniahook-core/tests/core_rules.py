"""Rules of the state machine: actions of callers and operators, and faults."""

from core_clusters import Cluster
from core_fakes import KEYLESS_SUFFIX
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

AGENTS = {"tally": 3, "ledger": 1, "feed": 3}
MAX_AGENTS = 6
FLOWS = 6
REQUEST_SERVICES = ("tally", "ledger")
TARGETS = ("sound", "refuses", "fails")
UNCOUNTED = b" uncounted"
DELAYS = (0.0, 0.02, 0.4, 3.0, 12.0)
index = st.integers(0, 1000)
delay = st.sampled_from(DELAYS)
service = st.sampled_from(REQUEST_SERVICES)
any_service = st.sampled_from(tuple(AGENTS))


class ClusterMachine(RuleBasedStateMachine):
    """A cluster whose promises are checked after every step."""

    planned_only = True

    @initialize(seed=index, loss=st.sampled_from((0.0, 0.1)))
    def start(self, seed, loss):
        self.cluster = Cluster(seed, AGENTS, loss=loss, doubled=0.1)
        self.attempts_by_key = {}
        for name in REQUEST_SERVICES * 2:
            self.cluster.connect(name)

    @invariant()
    def promises_hold(self):
        broken = self.cluster.violated_promises()
        assert not broken, broken
        cut = self.planned_only and self.cluster.restarts
        assert not cut, "a planned change cut every connection of an agent"

    def teardown(self):
        self.cluster.settle()
        self.promises_hold()

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 6.0)))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    def new_key(self, service):
        key = f"{service} {len(self.attempts_by_key)}".encode()
        self.attempts_by_key[key] = 2
        return key

    def send(self, which, key, attempt, seconds):
        service = key.decode().partition(" ")[0]
        connections = [c for c in self.cluster.connections if c[0] == service]
        if connections:
            connection = self.pick(connections, which)
            self.cluster.request(connection, key, attempt, seconds)

    @staticmethod
    def pick(items, which):
        return items[which % len(items)]


class Callers:
    """Requests and datagrams of callers, on time and late."""

    @rule(service=service)
    def connect(self, service):
        self.cluster.connect(service)
        self.cluster.run(0.1)

    @rule(which=index, service=service, first=delay, second=delay)
    def file_request(self, which, service, first, second):
        """Send a new request, and again before its answer is known."""
        key = self.new_key(service)
        self.send(which, key, 1, first)
        self.send(which + 1, key, 2, second)
        self.cluster.run(0.1)

    @rule(which=index, service=service, again=delay)
    def file_uncounted(self, which, service, again):
        """Send copies of a request by a caller that counts no attempts."""
        key = self.new_key(service) + UNCOUNTED
        for number, seconds in enumerate((0.0, again, 2 * again + 0.1)):
            self.send(which + number, key, 0, seconds)
        self.cluster.run(0.1)

    @rule(which=index, service=service)
    def file_without_key(self, which, service):
        """Send requests that the system must not try a second time."""
        for number in range(4):
            name = self.new_key(service) + KEYLESS_SUFFIX
            self.send(which + number, name, 1, 0.0)
        self.cluster.run(0.1)

    @rule(which=index, service=service, late=st.sampled_from((0.0, 3.0)))
    def flood(self, which, service, late):
        """Send more at once than one agent takes, the first copies late."""
        for _ in range(24):
            key = self.new_key(service)
            self.send(which, key, 1, late)
            self.send(which, key, 2, 0.1)
        self.cluster.run(0.5)

    @precondition(lambda self: self.attempts_by_key)
    @rule(which=index, over=index, delay=delay)
    def retry(self, which, over, delay):
        key = self.pick(tuple(self.attempts_by_key), which)
        self.attempts_by_key[key] += 1
        self.send(over, key, self.attempts_by_key[key], delay)
        self.cluster.run(0.1)

    @precondition(lambda self: self.attempts_by_key)
    @rule(which=index)
    def cancel(self, which):
        """Let a caller give up on a request in progress."""
        for node in self.cluster.live("tally") + self.cluster.live("ledger"):
            direct = [n for n, held in node.requests.items() if not held.origin]
            for number in direct[: which % 3]:
                node.cancel(number)

    @rule(which=index, address=any_service)
    def misdirect(self, which, address):
        """Send a packet of one service to the address of another."""
        connections = [c for c in self.cluster.connections if c[0] != address]
        if connections:
            _, _, connection_id, flow = self.pick(connections, which)
            self.cluster.send_request(address, connection_id, flow, b"astray", 1)


class Flows:
    """Plain UDP flows that are already established."""

    @rule()
    def send_on_flows(self):
        """Send on every flow until each had the time to get through."""
        cluster, sent = self.cluster, self.cluster.now
        established = dict(cluster.owner_by_flow)
        for _ in range(4):
            for number in range(FLOWS):
                cluster.send(number)
            cluster.run(0.8)
        kept = established.items() & cluster.owner_by_flow.items()
        cut = [flow for flow, _ in kept if cluster.delivered_at[flow] < sent]
        if cut and cluster.flows_expected:
            cluster.violations.append(f"no packet gets through on flows {cut}")


class Planned:
    """Actions of operators and the platform."""

    @rule(service=any_service)
    def join(self, service):
        if len(self.cluster.live(service)) < MAX_AGENTS:
            self.cluster.join(service)

    @rule(which=index, service=any_service, seconds=st.sampled_from((4.0, 30.0)))
    def drain(self, which, service, seconds):
        staying = [
            node
            for node in self.cluster.live(service)
            if node.leaving_since is None and node.core.membership.accepting
        ]
        if len(staying) > 1:
            self.cluster.drain(self.pick(staying, which), seconds)

    @rule(which=index)
    def replace_entry(self, which):
        self.cluster.replace_entry(which % len(self.cluster.entries))

    @rule()
    def configure(self):
        self.cluster.configure()

    @rule(which=index, service=any_service)
    def exclude(self, which, service):
        """Allow all targets of a service that are known now, but one."""
        nodes = self.cluster.live(service)
        if len(nodes) > 2:
            self.cluster.exclude(self.pick(nodes, which))


class Unplanned:
    """Failures of processes, paths and the store."""

    @rule(which=index, service=service, back=st.booleans())
    def crash(self, which, service, back):
        if nodes := self.cluster.live(service):
            node = self.pick(nodes, which)
            node.stop()
            if back:
                self.cluster.join(service, node.name)

    @rule(which=index, service=service, seconds=st.sampled_from((1.0, 4.0, 9.0)))
    def pause(self, which, service, seconds):
        if nodes := self.cluster.live(service):
            node = self.pick(nodes, which)
            node.paused = True
            self.cluster.at(seconds, node.resume)

    @rule(which=index)
    def crash_feed(self, which):
        if nodes := self.cluster.live("feed"):
            self.cluster.flows_expected = False
            node = self.pick(nodes, which)
            node.stop()
            self.cluster.join("feed", node.name)

    @rule(which=index, service=service, seconds=st.sampled_from((2.0, 8.0, 20.0)))
    def cut_off(self, which, service, seconds):
        """Separate one agent from its peers; callers still reach it."""
        if nodes := self.cluster.live(service):
            alone = self.pick(nodes, which)
            others = [node for node in nodes if node is not alone]
            self.cluster.separate([alone], others)
            self.cluster.at(seconds, self.cluster.separate)

    @rule(which=index)
    def break_target(self, which):
        """Let the requests of one target fail, before or after their start."""
        nodes = self.cluster.live("tally") + self.cluster.live("ledger")
        if nodes:
            self.pick(nodes, which).target = self.cluster.rng.choice(TARGETS)

    @rule(down=st.booleans())
    def store(self, down):
        self.cluster.set_store(down)

    @rule(losing=st.booleans())
    def lose_store_answers(self, losing):
        self.cluster.store.losing = losing
