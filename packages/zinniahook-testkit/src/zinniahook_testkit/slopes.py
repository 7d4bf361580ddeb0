"""Slopes for docs/CAPACITY.md: the cost of control per service, member or flow.

Every slope is a linear fit over several sizes, measured on real cores in one
process: memory by ``tracemalloc``, processor time by ``process_time``, and bytes
by encoding each message that a core sends.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

from zinniahook_core.agents import AgentCore
from zinniahook_core.effects import SendPeer
from zinniahook_core.entries import EntryCore
from zinniahook_core.events import (
    ConfigurationChanged,
    FlowDatagram,
    PeerDatagram,
    RosterChanged,
    Tick,
)
from zinniahook_core.heartbeats import interval_for
from zinniahook_core.messages import Heartbeat
from zinniahook_core.models import (
    Address,
    AgentState,
    Configuration,
    Key,
    Load,
    Member,
    Protocol,
    RequestClass,
    Roster,
    Service,
)
from zinniahook_core.routing import ConnectionIds, Owner
from zinniahook_wire import peers
from zinniahook_wire.rosters import Rosters
from zinniahook_wire.tunnels import Tunnel, TunnelDatagram, TunnelKind

from .changes import SERVICE, SETTLE, World
from .scenarios import Figure, scenario

__all__ = ["AgentCost", "agent_cost", "configuration", "member", "roster"]

IP_AND_UDP_HEADER_BYTES = 28
TICKS_PER_SECOND = 10
UNSPECIFIED_ADDRESS = Address("0.0.0.0", 0)
SECRET = b"k" * 32
CLASSES_BY_NAME = {
    kind: RequestClass(kind, f"/{kind}") for kind in ("stream", "ticket", "export")
}


class AgentCost(NamedTuple):
    """The cost of control for one agent, in seconds and bytes per second."""

    processor: float
    sent: float
    messages: float


def member(name: str, number: int, state: AgentState = AgentState.READY) -> Member:
    """Return a member with addresses derived from ``number``."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Member(
        name,
        Address(host, 7000),
        Address(host, 7001),
        Address("127.0.0.1", 8080),
        f"dc-{number % 4}",
        1,
        state,
        4,
    )


def roster(service: str, size: int, first: int = 0, revision: int = 1) -> Roster:
    """Return a roster of ``size`` ready members."""
    names = [f"{service}-{index}" for index in range(size)]
    by_name = {name: member(name, first + i) for i, name in enumerate(names)}
    return Roster(service, revision, by_name)


def configuration(
    services: int, protocol: Protocol = Protocol.QUIC, generation: int = 1
) -> Configuration:
    """Return a configuration of ``services`` services with three classes each."""
    by_name = {}
    for number in range(1, services + 1):
        name = f"service-{number}"
        address = Address(f"10.200.{number >> 8}.{number & 255}", 443)
        by_name[name] = Service(name, number, address, protocol, CLASSES_BY_NAME)
    key = Key(1, SECRET)
    return Configuration(generation, by_name, {1: key}, {1: key}, 1, 1)


def agent_cost(peer_count: int, seconds: int = 20, seed: int = 1) -> AgentCost:
    """Run the control of one agent among ``peer_count`` peers for ``seconds``.

    Every heartbeat of each peer is decoded and handled, and every message that the
    core sends is encoded into a tunnel datagram.
    """
    service = "service-1"
    members = roster(service, peer_count + 1)
    own, *others = members.by_name.values()
    core = AgentCore(own, service, random.Random(seed))
    core.handle(0.0, ConfigurationChanged(configuration(1)))
    core.handle(0.0, RosterChanged(members))
    tunnel = Tunnel({1: Key(1, SECRET)}, 1)
    sent = messages = 0
    heartbeat_at = 0.0
    started = time.process_time()
    for tick in range(seconds * TICKS_PER_SECOND):
        now = tick / TICKS_PER_SECOND
        effects = core.handle(now, Tick())
        if now >= heartbeat_at:
            heartbeat_at += interval_for(peer_count)
            for peer in others:
                effects += _deliver_heartbeat(core, now, peer, tick, tunnel)
        for effect in effects:
            if isinstance(effect, SendPeer):
                sent += len(_sealed(tunnel, own.name, effect)) + IP_AND_UDP_HEADER_BYTES
                messages += 1
    spent = time.process_time() - started
    return AgentCost(spent / seconds, sent / seconds, messages / seconds)


def _deliver_heartbeat(
    core: AgentCore, now: float, peer: Member, sequence: int, tunnel: Tunnel
) -> list:
    heartbeat = Heartbeat(peer.incarnation, sequence, 1, Load(4, 1, 0, 2000, 500))
    data = _sealed(tunnel, peer.name, SendPeer("", heartbeat))
    payload = tunnel.decode(data).payload
    sender, message = peers.decode(payload)
    return list(core.handle(now, PeerDatagram(sender, message)))


def _sealed(tunnel: Tunnel, sender: str, effect: SendPeer) -> bytes:
    payload = peers.encode(sender, effect.message)
    return tunnel.encode(
        TunnelDatagram(
            TunnelKind.PEER,
            1,
            1,
            0,
            False,
            UNSPECIFIED_ADDRESS,
            UNSPECIFIED_ADDRESS,
            payload,
        )
    )


def held(build: Callable[[], object]) -> int:
    """Return the bytes that the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _slope(sizes: Sequence[int], values: Sequence[float]) -> tuple[float, float]:
    fit = statistics.linear_regression(sizes, values)
    return fit.slope, fit.intercept


@scenario("agent-control")
def measure_agent(peer_counts: Sequence[int], seconds: int = 20) -> list[Figure]:
    """Fit processor time, bytes and messages of one agent against its peers."""
    costs = [agent_cost(count, seconds) for count in peer_counts]
    per_peer, base = _slope(peer_counts, [cost.processor for cost in costs])
    figures = [
        Figure("processor per peer", per_peer, "s/s"),
        Figure("processor base", base, "s/s"),
    ]
    for count, cost in zip(peer_counts, costs, strict=True):
        figures += [
            Figure(f"processor at {count} peers", cost.processor, "s/s"),
            Figure(f"sent at {count} peers", cost.sent, "B/s"),
            Figure(f"messages at {count} peers", cost.messages, "1/s"),
        ]
    return figures


def _entry(services: int, members_each: int) -> EntryCore:
    """Return an entry's core as the daemon runs it, with all services in use."""
    rosters = Rosters()
    core = EntryCore(random.Random(1), rosters.get)
    core.handle(0.0, ConfigurationChanged(configuration(services)))
    for number in range(1, services + 1):
        value = roster(f"service-{number}", members_each, number * members_each)
        rosters.put(value)
        core.handle(0.0, RosterChanged(value))
        core.roster(value.service)
    return core


@scenario("entry-memory")
def measure_entry_memory(
    service_counts: Sequence[int],
    members_each: int,
    flow_counts: Sequence[int],
    seed: int = 1,
) -> list[Figure]:
    """Fit an entry's memory against services, members and open flows."""
    by_services = [
        held(lambda count=count: _entry(count, members_each))
        for count in service_counts
    ]
    with_none = [held(lambda count=count: _entry(count, 0)) for count in service_counts]
    whole, base = _slope(service_counts, by_services)
    bare, _ = _slope(service_counts, with_none)
    flows = [_flow_growth(count, seed) for count in flow_counts]
    per_flow, _ = _slope(flow_counts, flows)
    return [
        Figure("bytes per service", bare, "B"),
        Figure("bytes per member", (whole - bare) / members_each, "B"),
        Figure("bytes base", base, "B"),
        Figure("bytes per open flow", per_flow, "B"),
        Figure(f"growth at {flow_counts[-1]} flows", flows[-1], "B"),
        Figure(f"growth at {flow_counts[0]} flows", flows[0], "B"),
    ]


@scenario("entry-control")
def measure_entry_control(
    service_counts: Sequence[int], members_each: int, repeat: int = 20
) -> list[Figure]:
    """Fit an entry's processor time for changes and ticks against services."""
    costs = [_entry_costs(count, members_each, repeat) for count in service_counts]
    figures = []
    for index, name in enumerate(("tick", "configuration", "roster")):
        values = [cost[index] * 1e6 for cost in costs]
        slope, _ = _slope(service_counts, values)
        figures.append(Figure(f"{name} per service", slope, "µs"))
        figures.append(Figure(f"{name} at {service_counts[-1]}", values[-1], "µs"))
    return figures


def _entry_costs(
    services: int, members_each: int, repeat: int
) -> tuple[float, float, float]:
    """Return the seconds for a tick, a generation with one change, and a roster."""
    core = _entry(services, members_each)
    current = configuration(services)
    changed = current.services_by_name["service-1"]
    started = time.process_time()
    for _ in range(repeat):
        core.handle(1.0, Tick())
    ticked = time.process_time()
    for number in range(2, 2 + repeat):
        by_name = dict(current.services_by_name)
        by_name["service-1"] = changed._replace(drain=float(number))
        event = current._replace(generation=number, services_by_name=by_name)
        core.handle(1.0, ConfigurationChanged(event))
    configured = time.process_time()
    for revision in range(2, 2 + repeat):
        value = roster("service-1", members_each, revision=revision)
        core.handle(1.0, RosterChanged(value))
    learned = time.process_time()
    return (
        (ticked - started) / repeat,
        (configured - ticked) / repeat,
        (learned - configured) / repeat,
    )


def _flow_growth(count: int, seed: int) -> int:
    """Return the bytes that an entry keeps after routing ``count`` flows' packets."""
    core = _entry(1, 8)
    service = configuration(1).services_by_name["service-1"]
    rng = random.Random(seed)
    ids = ConnectionIds({1: Key(1, SECRET)}, 1, rng)
    owner = Owner(service.number, Address("10.0.0.1", 7000), 1)
    body = bytes(40)

    def route() -> EntryCore:
        for index in range(count):
            caller = Address("10.9.9.9", 1024 + index % 60000)
            packet = b"\x40" + ids.encode(owner) + body
            core.route(index * 1e-4, service, caller, packet)
        return core

    return held(route)


@scenario("agent-memory")
def measure_agent_memory(
    peer_counts: Sequence[int], flow_counts: Sequence[int], seed: int = 1
) -> list[Figure]:
    """Fit an agent core's memory against its peers and its plain UDP flows."""
    by_peers = [held(lambda n=n: _agent(n, seed)) for n in peer_counts]
    by_flows = [held(lambda n=n: _agent_with_flows(n, seed)) for n in flow_counts]
    per_peer, base = _slope(peer_counts, by_peers)
    per_flow, _ = _slope(flow_counts, by_flows)
    return [
        Figure("bytes per peer", per_peer, "B"),
        Figure("bytes base", base, "B"),
        Figure("bytes per UDP flow", per_flow, "B"),
    ]


def _agent(peer_count: int, seed: int) -> AgentCore:
    service = "service-1"
    members = roster(service, peer_count + 1)
    own, *others = members.by_name.values()
    core = AgentCore(own, service, random.Random(seed))
    core.handle(0.0, ConfigurationChanged(configuration(1, Protocol.UDP)))
    core.handle(0.0, RosterChanged(members))
    for peer in others:
        heartbeat = Heartbeat(peer.incarnation, 1, 1, Load(4, 1, 0, 2000, 500))
        core.handle(0.1, PeerDatagram(peer.name, heartbeat))
    return core


def _agent_with_flows(count: int, seed: int) -> World:
    """Return a world with a single ready agent that has open UDP flows."""
    world = World(agents=1, entries=1, seed=seed)
    world.run_until(SETTLE)
    (agent,) = world.agents_by_name.values()
    entry = Address("10.2.0.1", 7000)
    for index in range(count):
        caller = Address(f"10.8.{index >> 8}.{index & 255}", 1024)
        agent.feed(FlowDatagram(SERVICE, caller, entry, b"x" * 20))
    if len(world.owners_by_caller) != count:
        raise RuntimeError(f"{len(world.owners_by_caller)} of {count} flows opened")
    world.arrived.clear()
    world.owners_by_caller.clear()
    return world
