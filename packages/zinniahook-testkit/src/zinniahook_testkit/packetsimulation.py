"""Entries, agents, targets and clients of the packet service on a fake clock.

The real cores exchange datagrams over a network with delays, losses and cut links.
`PacketSimulation.findings` reports which guarantees of the service were violated,
as far as clients and targets can observe it.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from zinniahook_core.packets import (
    Agent,
    ColdLimit,
    Entry,
    Features,
    Heartbeat,
    Route,
    Routes,
    ServiceShare,
    Target,
)
from zinniahook_core.packets.formers import FormerServices

from .misrouting import misrouted_flows
from .packetendpoints import ClientFlow, PlainCodec, SimulatedTarget, flow_key
from .packetparts import POLL_SECONDS, RecordingLog, SimulatedAgent, SimulatedLinks
from .packetstores import Announced, SimulatedStore

__all__ = ["PacketSimulation", "SimulatedAgent", "route_address"]

TICK_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.0
NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.001
"""Minimum delay of a datagram between data centres; `NEAR_SECONDS` within one."""
CLIENT_DELAY_SECONDS = 0.001
SERVICE_PORT = 8443
DRAIN_SECONDS = 3.0
WATCH_SECONDS = 0.4
DATA_CENTRES = ("a", "b", "c")

MAX_APPLY_SECONDS = 0.3
"""Seconds until every daemon has applied a change."""

RECORD_DELAY_SECONDS = 0.05
"""Seconds from a change until the store's record includes it."""

AGENT_LEAD_SECONDS = 3.0
"""Seconds for which a new instance's agent has run when its target starts."""


def route_address(number: int) -> bytes:
    """Return the address and port of the route with a number."""
    return flow_key("0.0.0.0", 0, f"198.18.0.{number}", SERVICE_PORT)[6:]


class PacketSimulation:
    """A deployment of one or more services.

    Parameters
    ----------
    seed : int
        Seed of all random draws.
    services : dict
        Number of agents by service name.
    entries : int
        Number of entries.
    loss : float
        Share of lost datagrams between daemons.
    cold_limit : ColdLimit, optional
        Limit of openings at cold targets.
    features : Features, optional
        Optional features that the settings of agents switch on or off.
    """

    def __init__(
        self,
        seed: int,
        services: dict[str, int] | None = None,
        entries: int = 3,
        loss: float = 0.0,
        cold_limit: ColdLimit | None = None,
        features: Features | None = None,
    ) -> None:
        self.now = 100.0
        self.features = features or Features()
        self.cold_limit = cold_limit
        self.rng = random.Random(seed)
        self.loss = loss
        self.log = RecordingLog()
        self.codec = PlainCodec()
        self.entries_by_address: dict[str, Entry | None] = {}
        self.agents_by_address: dict[str, SimulatedAgent] = {}
        self.flows_by_key: dict[bytes, ClientFlow] = {}
        self.resets: list[tuple[float, bytes, bool]] = []
        self.foreign: list[tuple[float, bytes]] = []
        self.owned: list[tuple[float, bytes]] = []
        self.late_openings: list[bytes] = []
        self.cut: set[frozenset[str]] = set()
        self.store = SimulatedStore(self)
        self.evacuated: frozenset[str] = frozenset()
        self.store_readers: set[str] | None = None
        self.evacuated_openings: list[tuple[float, str, bytes]] = []
        self.formers = FormerServices()
        self._heartbeats_from = 0.0
        self._ids = itertools.count(1)
        self._hosts = itertools.count(1)
        self._ports = itertools.count(1024)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._centres: dict[str, str] = {}
        services = services or {"tally": 6}
        self.routes = self.make_routes(1, services)
        self.store.apply_order()
        self.store.write_record()
        for service, count in services.items():
            for _ in range(count):
                self.add_agent(service)
        for _ in range(entries):
            self.add_entry()
        self.run(1.5)
        self.store.forget_copies()

    @property
    def announced(self) -> list[Announced]:
        """The agents that the store lists."""
        return self.store.announced

    @announced.setter
    def announced(self, agents: list[Announced]) -> None:
        self.store.announced = agents

    # Building

    def make_routes(self, version: int, services: dict[str, Any]) -> Routes:
        """Return routes with one address for each service."""
        by_address = {
            route_address(number): Route(service, (ServiceShare(service, 1.0),))
            for number, service in enumerate(services, 1)
        }
        return Routes(version, by_address, 60.0, b"")

    def _free_address(self, block: int) -> str:
        number = next(self._hosts)
        return f"10.{number >> 8}.{block}.{number & 0xFF}"

    def add_entry(self) -> str:
        """Add an entry; return its address."""
        address = self._free_address(1)
        self._centres[address] = DATA_CENTRES[len(self._centres) % 3]
        self.entries_by_address[address] = None
        self.start_entry(address)
        self._repeat(TICK_SECONDS, lambda: self._tick(self.entries_by_address[address]))
        return address

    def start_entry(self, address: str) -> None:
        """Start or restart the process of an entry."""
        entry = Entry(address, self._centres[address], *self._ports_of(address))
        self.entries_by_address[address] = entry
        for agent in self.announced:
            entry.members(self.now, *agent)
        self._configure(entry)

    def add_agent(self, service: str, address: str | None = None) -> SimulatedAgent:
        """Add a machine with a target."""
        address = address or self._free_address(2)
        centre = DATA_CENTRES[len(self._centres) % 3]
        self._centres[address] = centre
        agent = SimulatedAgent(address, centre, service)
        self.agents_by_address[address] = agent
        self.start_target(agent)
        self.start_agent(agent)
        agent.core.target.start(self.now - AGENT_LEAD_SECONDS)
        self._repeat(TICK_SECONDS, lambda: self._tick(agent.core))
        self._repeat(HEARTBEAT_SECONDS, lambda: self._send_due_heartbeat(agent))
        return agent

    def start_agent(self, agent: SimulatedAgent, configured: bool = True) -> None:
        """Start or restart the process of an agent.

        If ``configured`` is false, it must fetch the configuration from peers.
        """
        target = Target(agent.service, HEARTBEAT_SECONDS)
        # A confirmation by the former process doesn't count for this one.
        agent.leaving_reported_at = None
        agent.core = Agent(
            agent.address,
            agent.centre,
            *self._ports_of(agent.address),
            target,
            next(self._ids),
            self.cold_limit,
            self.features,
        )
        agent.core.start(self.now)
        self.store.announce((agent.service, agent.address, agent.centre))
        for order, announced in enumerate(self.announced):
            agent.core.members(self.now, *announced, order)
        agent.core.formers.begin(self.now)
        self.at(POLL_SECONDS, lambda core=agent.core: self._poll_target(agent, core))
        if configured:
            self._configure(agent.core)

    def _poll_target(self, agent: SimulatedAgent, core: Agent) -> None:
        """Poll for an agent's target, as the daemon does."""
        if agent.core is core and not agent.poll_target(self.now):
            self.at(POLL_SECONDS, lambda: self._poll_target(agent, core))

    def start_target(self, agent: SimulatedAgent) -> None:
        """Start a target that holds none of the flows of the former one."""
        if agent.target is not None:
            agent.target.alive = False
        agent.target = SimulatedTarget(f"t-{next(self._ids)}", 4, self.rng)
        agent.heartbeats = 0
        agent.born = round(self.now * 1000)
        agent.leaving_reported_at = None

    def _ports_of(self, address: str) -> tuple:
        rng = random.Random(self.rng.random())
        return self.codec, SimulatedLinks(self, address), self.log, rng

    # Time

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after some seconds."""
        event = (self.now + delay, next(self._ids), call)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advance the clock and run the calls that become due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def _repeat(self, every: float, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.at(every, again)

        self.at(every * self.rng.random(), again)

    def _tick(self, core: Entry | Agent | None) -> None:
        if core is not None:
            # In place of the watcher: the store confirms the configuration.
            if core.routes.version:
                core.freshness.confirmed(self.now)
                self._read_evacuations(core)
            core.tick(self.now)

    def suspend_heartbeats(self, seconds: float) -> None:
        """Suspend the periodic heartbeats for some seconds."""
        self._heartbeats_from = self.now + seconds

    def _send_due_heartbeat(self, agent: SimulatedAgent) -> None:
        if self.now >= self._heartbeats_from:
            self.send_heartbeat(agent)

    def send_heartbeat(self, agent: SimulatedAgent) -> None:
        """Send a heartbeat from a target to its agent."""
        target = agent.target
        if agent.core is None or target is None or not target.alive or target.silent:
            return
        agent.heartbeats += 1
        heartbeat = Heartbeat(
            target.name,
            agent.service,
            target.slots,
            target.leaving,
            max(0.0, agent.warm_at - self.now),
            agent.heartbeats,
            agent.born,
        )
        agent.core.heartbeat(self.now, heartbeat)
        if target.leaving and agent.leaving_reported_at is None:
            agent.leaving_reported_at = self.now

    # Network

    def _is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut

    def send_peer(self, sender: str, address: str, data: bytes) -> None:
        """Deliver a datagram to another daemon, unless it is lost."""
        if self._is_cut(sender, address) or self.rng.random() < self.loss:
            return
        near = self._centres.get(sender) == self._centres.get(address)
        delay = (NEAR_SECONDS if near else FAR_SECONDS) * (1 + self.rng.random())
        self.at(delay, lambda: self._to_daemon(sender, address, data))

    def _to_daemon(self, sender: str, address: str, data: bytes) -> None:
        core = self.entries_by_address.get(address)
        if core is None and address in self.agents_by_address:
            core = self.agents_by_address[address].core
        if core is not None:
            core.receive(self.now, sender, data)

    def send_target(self, address: str, raw: bytes) -> None:
        """Deliver a packet to the target of an agent."""
        self.at(0.0001, lambda: self._to_target(self.agents_by_address[address], raw))

    def _to_target(self, agent: SimulatedAgent, raw: bytes) -> None:
        target = agent.target
        if target is None or not target.alive:
            return
        before = len(target.foreign), len(target.openings)
        answers = target.receive(self.now, raw)
        packet = self.codec.from_client(raw)
        if len(target.foreign) > before[0]:
            if not self._is_agent_down(packet.flow):
                self.foreign.append((self.now, packet.flow))
        elif not packet.is_opening:
            self.owned.append((self.now, packet.flow))
        if len(target.openings) > before[1]:
            if agent.centre in self.evacuated:
                opened = (self.now, agent.address, packet.flow)
                self.evacuated_openings.append(opened)
            reported_at = agent.leaving_reported_at
            if reported_at is not None and self.now - reported_at > DRAIN_SECONDS:
                self.late_openings.append(packet.flow)
        for delay, answer in answers:
            self.at(delay, lambda raw=answer: self._from_target(agent, target, raw))

    def _from_target(self, agent: SimulatedAgent, target: SimulatedTarget, raw: bytes):
        if target.alive and agent.core is not None and not target.is_acknowledged(raw):
            agent.core.from_target(self.now, raw)

    def send_client(self, sender: str, flow: bytes, raw: bytes) -> None:
        """Deliver a packet to a client."""
        self.at(CLIENT_DELAY_SECONDS, lambda: self._to_client(flow, raw))

    def _to_client(self, key: bytes, raw: bytes) -> None:
        flow = self.flows_by_key.get(key)
        if flow is None:
            return
        if flow.state == "open" and raw[12] & 8:
            self.resets.append((self.now, key, self.is_held(flow)))
        for packet in flow.receive(self.now, raw):
            self.from_client(packet)
        self._schedule_wake(flow)

    def lookup(self, address: str, service: str) -> None:
        """Send an entry the agents that the store lists for a service."""
        entry = self.entries_by_address.get(address)
        for agent in self.announced if entry else ():
            if agent[0] == service:
                self.at(0.004, lambda agent=agent: entry.members(self.now, *agent))

    def fetch(self, address: str, source: str) -> None:
        """Send the configuration of ``source`` to another daemon."""
        core, peer = self._core(address), self._core(source)
        if core is None or peer is None:
            return
        known = peer.formers
        rows = known.rows(self.now) if known.is_complete else None
        routes = peer.routes
        self.at(0.002, lambda: core.configure(self.now, routes, rows))

    def _core(self, address: str) -> Entry | Agent | None:
        entry = self.entries_by_address.get(address)
        return entry or self.agents_by_address[address].core

    # Configuration

    def set_shares(self, number: int, weights: dict[str, float]) -> None:
        """Change the services of a route, as an operator does.

        Each running daemon applies the change after a delay of its own; the record
        in the store is updated `RECORD_DELAY_SECONDS` later.
        """
        shares = tuple(ServiceShare(name, weight) for name, weight in weights.items())
        self.set_route(number, Route(f"route-{number}", shares))

    def set_route(self, number: int, route: Route) -> None:
        """Change the route of an address, as an operator does."""
        self._install({**self.routes.by_address, route_address(number): route})

    def drop_route(self, number: int) -> None:
        """Remove the route of an address, as an operator does."""
        kept = dict(self.routes.by_address)
        del kept[route_address(number)]
        self._install(kept)

    def set_cold_rate(self, service: str, rate: float) -> None:
        """Set the rate of openings that cold targets of a service can take."""
        self.routes = self.routes._replace(cold_rates={service: rate})
        self._install(self.routes.by_address)

    def _install(self, by_address: dict[bytes, Route]) -> None:
        former = self.routes
        self.routes = former._replace(version=former.version + 1, by_address=by_address)
        self.formers.replaced(self.now, former, self.routes)
        self.store.apply_order()
        routes = self.routes
        for core in self.cores():
            delay = MAX_APPLY_SECONDS * self.rng.random()
            self.at(delay, lambda core=core: core.configure(self.now, routes))
        self.at(RECORD_DELAY_SECONDS, self.store.write_record)

    def cores(self) -> list[Entry | Agent]:
        """Return the running daemons."""
        cores: list[Entry | Agent] = [e for e in self.entries_by_address.values() if e]
        return cores + [a.core for a in self.agents_by_address.values() if a.core]

    def evacuate(self, *centres: str) -> None:
        """Evacuate these data centres and no others, as an operator does."""
        self.evacuated = frozenset(centres)
        self.store.apply_order()

    def _read_evacuations(self, core: Entry | Agent) -> None:
        """Pass the stored evacuations to a daemon, if it can read the store."""
        if self.store_readers is None or core.address in self.store_readers:
            store = self.store
            core.evacuate(self.now, store.revision, store.evacuated, store.era)

    def _configure(self, core: Entry | Agent) -> None:
        """Configure a daemon that starts from the store."""
        core.formers.begin(self.now)
        self._read_evacuations(core)
        self.store.configure(core)

    # Clients

    def open_flow(self, service: int = 1) -> ClientFlow:
        """Open a flow, whose client then sends its first request."""
        port = next(self._ports)
        key = flow_key("100.64.0.1", port, f"198.18.0.{service}", SERVICE_PORT)
        flow = ClientFlow(key, self.rng.randrange(1 << 32), self.now)
        self.flows_by_key[key] = flow
        self.from_client(flow.open(self.now))
        self._schedule_wake(flow)
        return flow

    def ask(self, flow: ClientFlow) -> None:
        """Send the next request of an open flow, unless one is unanswered."""
        if flow.state == "open" and flow.asked_at is None:
            self.from_client(flow.ask(self.now))
            self._schedule_wake(flow)

    def from_client(self, raw: bytes) -> None:
        """Send a packet to a random running entry, as routers do."""
        running = [entry for entry in self.entries_by_address.values() if entry]
        if running:
            entry = self.rng.choice(running)
            self.at(CLIENT_DELAY_SECONDS, lambda: entry.client(self.now, raw))

    def _schedule_wake(self, flow: ClientFlow) -> None:
        due = flow.due
        if due > self.now:
            self.at(due - self.now, lambda: self._wake(flow, due))

    def _wake(self, flow: ClientFlow, due: float) -> None:
        if flow.due != due:
            return
        packet = flow.wake(self.now)
        if packet is not None:
            self.from_client(packet)
            self._schedule_wake(flow)

    # Checks

    def is_held(self, flow: ClientFlow) -> bool:
        """Return whether a running target holds a client's flow."""
        return self._holder(flow) is not None

    def _holder(self, flow: ClientFlow) -> SimulatedAgent | None:
        for agent in self.agents_by_address.values():
            if agent.target is None or not agent.target.alive:
                continue
            held = agent.target.by_flow.get(flow.key)
            if held is not None and held.open and held.first == flow.server_first:
                return agent
        return None

    def _is_agent_down(self, key: bytes) -> bool:
        """Return whether the agent of the target that holds a flow is down.

        No daemon can deliver a packet to it then, and the service doesn't promise it.
        """
        holder = self._holder(self.flows_by_key[key])
        return holder is not None and holder.core is None

    def findings(self) -> list[str]:
        """Return a line for each violated guarantee."""
        found = [
            f"reset of a flow whose target lives: {key.hex()} at {at:.2f}"
            for at, key, held in self.resets
            if held
        ]
        found += [f"opening at a leaving target: {k.hex()}" for k in self.late_openings]
        keys = {key for _, key in self.foreign}
        held = {key for key in keys if self.is_held(self.flows_by_key[key])}
        misrouted = misrouted_flows(self.now, held, self.foreign, self.owned)
        return found + misrouted
