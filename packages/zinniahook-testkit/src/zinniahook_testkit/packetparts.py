"""Parts of a simulated deployment: logs, links, and machines with targets."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from zinniahook_core.packets import Agent

from .packetendpoints import SimulatedTarget

if TYPE_CHECKING:
    from .packetsimulation import PacketSimulation

__all__ = ["POLL_SECONDS", "RecordingLog", "SimulatedAgent", "SimulatedLinks"]

POLL_SECONDS = 0.05
"""Interval at which an agent checks whether its target runs."""


class RecordingLog:
    """Keeps the log lines of the cores and counts their events."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def event(self, name: str, **fields: Any) -> None:
        """Keep a log line and count its event."""
        self.counts[name] += 1
        self.lines.append((name, fields))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Count an observation; the time isn't kept."""
        self.counts[name] += 1


class SimulatedLinks:
    """The links of one daemon to the simulated network."""

    def __init__(self, sim: PacketSimulation, address: str) -> None:
        self._sim = sim
        self._address = address

    def to_peer(self, address: str, data: bytes) -> None:
        """Send a datagram to another daemon."""
        self._sim.send_peer(self._address, address, data)

    def to_client(self, flow: bytes, raw: bytes) -> None:
        """Send a packet to a client."""
        self._sim.send_client(self._address, flow, raw)

    def to_target(self, raw: bytes) -> None:
        """Deliver a packet to the target."""
        self._sim.send_target(self._address, raw)

    def lookup(self, service: str) -> None:
        """Read the agents of a service from the store."""
        self._sim.lookup(self._address, service)

    def fetch(self, address: str) -> None:
        """Fetch the configuration of another daemon."""
        self._sim.fetch(self._address, address)


class SimulatedAgent:
    """A machine with a target and its agent, which can end independently."""

    def __init__(self, address: str, centre: str, service: str) -> None:
        self.address = address
        self.centre = centre
        self.service = service
        self.core: Agent | None = None
        self.target: SimulatedTarget | None = None
        self.heartbeats = 0
        self.born = 0
        self.leaving_reported_at: float | None = None
        self.warm_at = 0.0

    def poll_target(self, now: float) -> bool:
        """Check whether the target runs; return whether polling can stop."""
        if self.core is None or self.core.target.is_known:
            return True
        if self.target is None or not self.target.alive:
            self.core.note_absent(now)
            return False
        self.core.note_appeared(now)
        return True
