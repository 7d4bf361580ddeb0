"""The store of a simulated deployment, which can be restored from older copies."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from zinniahook_core.packets import Agent, Entry, Routes
from zinniahook_core.packets.formers import Record, merged

from .packetparts import SimulatedAgent

if TYPE_CHECKING:
    from .packetsimulation import PacketSimulation

__all__ = ["Announced", "SimulatedStore"]

OPERATOR_DELAY_SECONDS = 1.0
"""Seconds until the operator repeats the changes that a restored store lacks."""

RECORD_REWRITE_SECONDS = 1.5
"""Seconds until a daemon that ran during a restore rewrites the record."""

MIN_RENEW_SECONDS = 2.0
MAX_RENEW_SECONDS = 7.0
"""Bounds of the time from a restore to an agent's next announcement."""

MAX_READ_SECONDS = 0.3
"""Seconds until every daemon has read what the operator wrote again."""

Announced = tuple[str, str, str]


class Contents(NamedTuple):
    """The contents of a store; ``record_era`` is the era that marks its record."""

    revision: int
    routes: Routes
    evacuated: frozenset[str]
    announced: tuple[Announced, ...]
    record: Record
    record_era: int


class SimulatedStore:
    """Holds what the operator and the daemons of a simulation have written."""

    def __init__(self, sim: PacketSimulation) -> None:
        self.era = 0
        self.revision = 1
        self.routes = Routes.none()
        self.evacuated: frozenset[str] = frozenset()
        self.announced: list[Announced] = []
        self.record = Record({})
        self.record_era = 0
        self._sim = sim
        self._copies: list[tuple[float, Contents]] = []

    # Writing

    def apply_order(self) -> None:
        """Store the routes and evacuations that the operator wants now."""
        self.routes, self.evacuated = self._sim.routes, self._sim.evacuated
        self._changed()

    def announce(self, agent: Announced) -> None:
        """Add an agent unless it is listed."""
        if agent not in self.announced:
            self.announced.append(agent)
            self._changed()

    def write_record(self) -> None:
        """Store the record of a daemon that has seen every change."""
        sim = self._sim
        self.record = Record.of(sim.now, sim.routes, sim.formers)
        self._changed()

    def _changed(self) -> None:
        self.revision += 1
        contents = Contents(
            self.revision,
            self.routes,
            self.evacuated,
            tuple(self.announced),
            self.record,
            self.record_era,
        )
        self._copies.append((self._sim.now, contents))

    # Reading

    def configure(self, core: Entry | Agent) -> None:
        """Pass the whole contents to a daemon that starts."""
        former = self.record.formers(self.routes)
        whole = self.record_era >= self.era
        core.configure(self._sim.now, self.routes, former, whole)

    # Restoring

    def forget_copies(self) -> None:
        """Keep only the latest copy, as copies from the setup are incomplete."""
        self._copies = self._copies[-1:]

    def restore(self, seconds: float) -> None:
        """Restore a copy that is ``seconds`` old.

        The operator, the agents and a daemon with a complete record write again
        what still applies.
        """
        sim, at = self._sim, self._sim.now - seconds
        self._copies = [c for c in self._copies if c[0] <= at] or self._copies[:1]
        copy = self._copies[-1][1]
        self.era += 1
        self.revision, self.routes, self.evacuated = copy[:3]
        self.announced = list(copy.announced)
        self.record, self.record_era = copy.record, copy.record_era
        sim.at(OPERATOR_DELAY_SECONDS, self._reapply_order)
        sim.at(RECORD_REWRITE_SECONDS, self._rewrite_record)
        for agent in sim.agents_by_address.values():
            delay = sim.rng.uniform(MIN_RENEW_SECONDS, MAX_RENEW_SECONDS)
            sim.at(delay, lambda agent=agent: self._renew(agent))

    def _reapply_order(self) -> None:
        """Store the operator's changes again; every daemon reads them soon after."""
        self.apply_order()
        sim, routes = self._sim, self.routes
        for core in sim.cores():
            delay = MAX_READ_SECONDS * sim.rng.random()
            sim.at(delay, lambda core=core: core.configure(sim.now, routes))

    def _renew(self, agent: SimulatedAgent) -> None:
        if agent.core is not None:
            self.announce((agent.service, agent.address, agent.centre))

    def _rewrite_record(self) -> None:
        """Let a daemon with a complete record write it, if any runs."""
        sim = self._sim
        whole = [core for core in sim.cores() if core.formers.is_complete]
        if whole and self.record_era < self.era:
            core = sim.rng.choice(whole)
            known = Record.of(sim.now, core.routes, core.formers)
            self.record = merged([self.record, known])
            self.record_era = self.era
            self._changed()
