"""The platform's store of a simulated deployment, with copies to come back from."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from zinniahook_core.packets import Agent, Entry, Routes
from zinniahook_core.packets.formers import Record, merged

from .packetparts import SimulatedAgent

if TYPE_CHECKING:
    from .packetsimulation import PacketSimulation

__all__ = ["Announced", "SimulatedStore"]

OPERATOR_DELAY_SECONDS = 1.0
"""Seconds until the operator writes again what a restored store lacks."""

RECORD_REWRITE_SECONDS = 1.5
"""Seconds until a daemon that lived through a restore writes the record again."""

MIN_RENEW_SECONDS = 2.0
MAX_RENEW_SECONDS = 7.0
"""Seconds between a restore and the agents' second announcements."""

MAX_READ_SECONDS = 0.3
"""Seconds until the last daemon has what the operator wrote again."""

Announced = tuple[str, str, str]


class Contents(NamedTuple):
    """What a store holds; ``record_era`` is the one that its record is marked by."""

    revision: int
    routes: Routes
    evacuated: frozenset[str]
    announced: tuple[Announced, ...]
    record: Record
    record_era: int


class SimulatedStore:
    """Holds what the operator and the daemons of a world have written."""

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
        """Take what the operator wants now."""
        self.routes, self.evacuated = self._sim.routes, self._sim.evacuated
        self._changed()

    def announce(self, agent: Announced) -> None:
        """Take an agent, unless it is listed."""
        if agent not in self.announced:
            self.announced.append(agent)
            self._changed()

    def write_record(self) -> None:
        """Take the record of a daemon that has seen every change."""
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
        """Let a daemon that starts read everything."""
        former = self.record.formers(self.routes)
        whole = self.record_era >= self.era
        core.configure(self._sim.now, self.routes, former, whole)

    # Coming back

    def forget_copies(self) -> None:
        """Keep the latest copy only: a deployment is older than any of them."""
        self._copies = self._copies[-1:]

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is some seconds old.

        The operator, the agents and whoever looks at the store write again what
        they still mean.
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
        """Take again what the operator wants; daemons look and find it."""
        self.apply_order()
        sim, routes = self._sim, self.routes
        for core in sim.cores():
            delay = MAX_READ_SECONDS * sim.rng.random()
            sim.at(delay, lambda core=core: core.configure(sim.now, routes))

    def _renew(self, agent: SimulatedAgent) -> None:
        if agent.core is not None:
            self.announce((agent.service, agent.address, agent.centre))

    def _rewrite_record(self) -> None:
        """Let a daemon that lacks nothing write the record, if any runs."""
        sim = self._sim
        whole = [core for core in sim.cores() if core.formers.is_complete]
        if whole and self.record_era < self.era:
            core = sim.rng.choice(whole)
            known = Record.of(sim.now, core.routes, core.formers)
            self.record = merged([self.record, known])
            self.record_era = self.era
            self._changed()
