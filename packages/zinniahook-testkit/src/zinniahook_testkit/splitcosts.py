"""Measure what packets of a split route cost after a power failure.

All targets and daemons stop and start again. The flows are lost, and each client
continues to send until its flow is reset. The scenario counts, for services of
different sizes, the datagrams between daemons that carry or answer packets of
clients.
"""

from __future__ import annotations

import time
from collections import Counter

from zinniahook_core.packets import Route, Routes, ServiceShare
from zinniahook_core.packets.tunnel import Kind

from .packetendpoints import flow_key
from .packetsimulation import SERVICE_PORT, PacketSimulation
from .scenarios import Figure, scenario

__all__: list[str] = []

OUTAGE_SECONDS = 1.0
PACKET_KINDS = (Kind.FORWARD, Kind.RETURN, Kind.DENIAL, Kind.OWNER, Kind.RELAY)


class _SplitSimulation(PacketSimulation):
    """A simulation whose only route sends three of four flows to the first service."""

    def __init__(self, seed: int, services: dict[str, int], entries: int) -> None:
        self.sent: Counter[Kind] = Counter()
        self.client_packets = 0
        super().__init__(seed, services, entries)

    def make_routes(self, version: int, services: dict[str, int]) -> Routes:
        """Return only the split route."""
        address = flow_key("0.0.0.0", 0, "198.18.0.1", SERVICE_PORT)[6:]
        weights = zip(services, (3.0, 1.0), strict=True)
        shares = tuple(ServiceShare(name, weight) for name, weight in weights)
        return Routes(version, {address: Route("split", shares)}, 60.0, b"")

    def send_peer(self, sender: str, address: str, data: bytes) -> None:
        """Count a datagram and send it."""
        self.sent[Kind(data[0] & 0x0F)] += 1
        super().send_peer(sender, address, data)

    def from_client(self, raw: bytes) -> None:
        """Count a packet of a client and send it."""
        self.client_packets += 1
        super().from_client(raw)

    def lose_power(self) -> None:
        """Stop all targets and daemons, and start them again."""
        for agent in self.agents_by_address.values():
            agent.core = None
            agent.target.alive = False
        self.run(OUTAGE_SECONDS)
        for address in self.entries_by_address:
            self.start_entry(address)
        for agent in self.agents_by_address.values():
            self.start_target(agent)
            self.start_agent(agent)


@scenario("split-searches")
def split_searches(sizes: list[int], flows_each: int, seconds: float) -> list[Figure]:
    """Measure services of several sizes.

    Parameters
    ----------
    sizes : list of int
        Numbers of agents; three of four serve the first service.
    flows_each : int
        Number of open flows for each agent.
    seconds : float
        How long clients are observed after the power failure.
    """
    return [
        figure for size in sizes for figure in _after_loss(size, flows_each, seconds)
    ]


def _after_loss(size: int, flows_each: int, seconds: float) -> list[Figure]:
    services = {"floor": size - size // 4, "docs": size // 4}
    sim = _SplitSimulation(1, services, entries=max(3, size // 4))
    flows = [sim.open_flow() for _ in range(size * flows_each)]
    sim.run(2.0)
    for flow in flows:
        sim.ask(flow)
    sim.lose_power()
    sim.sent.clear()
    sim.client_packets = 0
    searches = sim.log.counts["search"]
    began = time.process_time()
    sim.run(seconds)
    spent = time.process_time() - began
    datagrams = sum(sim.sent[kind] for kind in PACKET_KINDS)
    ended = sum(flow.state == "reset" for flow in flows)
    begun = sim.log.counts["search"] - searches
    return [
        Figure(
            f"datagrams a flow, {size} agents",
            datagrams / len(flows),
            "",
        ),
        Figure(f"searches a flow, {size} agents", begun / len(flows), ""),
        Figure(
            f"processor of all a flow, {size} agents",
            spent / len(flows) * 1e6,
            "us",
        ),
        Figure(f"flows ended, {size} agents", ended / len(flows), ""),
    ]
