"""Measure what the packet service costs an entry and an agent.

The figures are for docs/CAPACITY.md. Real cores run in one process: memory is
measured by ``tracemalloc``, processor time by ``process_time``, and bytes by
counting what a core passes to its links.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from zinniahook_core.packets import Flag

from .packetendpoints import ClientFlow, PlainCodec, flow_key
from .packetsimulation import SERVICE_PORT, TICK_SECONDS, PacketSimulation
from .scenarios import Figure, scenario

__all__: list[str] = []

IP_AND_UDP_HEADERS = 28
FIRST = 1000
"""Initial sequence number of the measured targets."""


class _CountingLinks:
    """Links that count datagrams and deliver none."""

    def __init__(self) -> None:
        self.sent = 0
        self.datagrams = 0

    def to_peer(self, address: str, data: bytes) -> None:
        self.sent += len(data) + IP_AND_UDP_HEADERS
        self.datagrams += 1

    def to_client(self, flow: bytes, raw: bytes) -> None:
        """Don't count it: packets to clients aren't control traffic."""

    def to_target(self, raw: bytes) -> None:
        """Don't count it: the target runs on the agent's machine."""

    def lookup(self, service: str) -> None:
        """Do nothing."""

    def fetch(self, address: str) -> None:
        """Do nothing."""


def _memory(work: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    work()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def _keys(count: int) -> list[bytes]:
    return [
        flow_key(f"100.64.{n >> 14}.1", n & 0x3FFF, "198.18.0.1", SERVICE_PORT)
        for n in range(count)
    ]


def _open(agent: Any, now: float, keys: list[bytes]) -> None:
    """Open flows at an agent whose target isn't simulated."""
    codec = PlainCodec()
    both = Flag.OPENING | Flag.ACKNOWLEDGES
    for key in keys:
        answer = codec.write(key, both, FIRST, 1, to_client=True)
        agent.from_target(now, answer)
        flow = agent.flows.by_key[key]
        flow.client_first = 1
        flow.entry = "10.0.1.1"


def _microseconds_each(repeat: Callable[[], None], count: int) -> float:
    """Return the processor time per step in microseconds."""
    began = time.process_time()
    repeat()
    return (time.process_time() - began) / count * 1e6


@scenario("packet-service")
def packet_service(flows: int) -> list[Figure]:
    """Measure an entry and an agent of the packet service.

    Parameters
    ----------
    flows : int
        Number of open flows at each of them.
    """
    return [*_entry(flows), *_agent(flows), *_control()]


def _entry(flows: int) -> list[Figure]:
    sim = PacketSimulation(1)
    entry = next(iter(sim.entries_by_address.values()))
    entry.links = _CountingLinks()
    keys = _keys(flows)
    owner = next(iter(sim.agents_by_address))

    def remember() -> None:
        for key in keys:
            # A key that is read from a datagram is a new object, too.
            entry.hints_by_flow[bytes(bytearray(key))] = owner

    memory = _memory(remember)
    packets = [
        PlainCodec().write(key, Flag.ACKNOWLEDGES, 2, FIRST + 1, b"x" * 100)
        for key in keys
    ]

    def route() -> None:
        for packet in packets:
            entry.client(sim.now, packet)

    return [
        Figure("entry: bytes a flow", memory / flows, "B"),
        Figure("entry: processor a packet", _microseconds_each(route, flows), "us"),
    ]


def _agent(flows: int) -> list[Figure]:
    sim = PacketSimulation(1)
    agent = next(iter(sim.agents_by_address.values())).core
    agent.links = _CountingLinks()
    keys = _keys(flows)
    memory = _memory(lambda: _open(agent, sim.now, keys))
    return [
        Figure("agent: bytes a flow", memory / flows, "B"),
        Figure("agent: processor an opening", _openings(flows // 10), "us"),
    ]


def _openings(count: int) -> float:
    """Return the processor time of all cores for an opening and a request."""
    sim = PacketSimulation(2, {"tally": 7}, entries=1)
    for agent in sim.agents_by_address.values():
        agent.target.work = 0.001

    def open_all() -> None:
        for _ in range(count):
            flow: ClientFlow = sim.open_flow()
            sim.run(0.02)
            assert flow.state == "open", "an opening wasn't served"

    return _microseconds_each(open_all, count)


def _control() -> list[Figure]:
    figures = []
    for agents in (7, 45):
        sim = PacketSimulation(3, {"tally": agents}, entries=1)
        core = next(iter(sim.agents_by_address.values())).core
        core.links = counting = _CountingLinks()
        seconds = 10.0
        ticks = int(seconds / TICK_SECONDS)

        def tick_all(core=core, ticks=ticks, sim=sim) -> None:
            for number in range(ticks):
                for member in core.roster.by_address.values():
                    member.heard(sim.now + number * TICK_SECONDS)
                core.tick(sim.now + number * TICK_SECONDS)

        spent = _microseconds_each(tick_all, ticks)
        peers = agents - 1
        figures += [
            Figure(
                f"agent: bytes sent with {peers} peers", counting.sent / seconds, "B/s"
            ),
            Figure(f"agent: processor a tick with {peers} peers", spent, "us"),
        ]
    return figures
