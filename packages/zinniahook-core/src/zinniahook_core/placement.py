"""Placement of new work: the better of two random peers, by reported load.

Each agent compares its own load with the load that its peers last reported. It
hands work to the better of two random peers, and only if that gains by a margin.
docs/design/placement.md has the variants and their measurements.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .events import TargetReported
from .messages import Heartbeat
from .models import AgentState, Load, Roster, Service
from .routing import may_serve

__all__ = ["Health", "Placement", "coldness"]

REPORT_MAX_AGE_SECONDS = 3.0
IN_FLIGHT_SECONDS = 0.02
"""How long handed over work may be missing from a new report."""
BUCKET_SECONDS = 0.01
CHOICES = 2
"""Number of random peers whose work is compared."""
MAX_COMPARED = 16
"""Limit of the peers that one choice considers."""
FLOW_MARGIN = 0.05
"""How much better a peer must be, as a fraction of the mean."""
UTILIZATION_WEIGHT = 0.2
"""Weight of the utilization in the choice for flows and streams."""
LOCAL_UTILIZATION_LIMIT = 0.5
"""Utilization up to which an agent runs its requests itself."""
TRUST_SECONDS = 1.0
"""Time constant with which a report loses weight."""
WARM_UP_SECONDS = 10.0
COLD_CAPACITY_SHARE = 0.2
"""Usable share of the slots of a target that has just started."""
HEALTH_HALF_LIFE_SECONDS = 15.0
HEALTH_PRIOR = 2.0
"""Weight of the assumption that a target is healthy, in requests."""
MIN_HEALTH = 0.05
UNHEALTHY_REPORT_SECONDS = 3.0
"""How long a report of the target that it is unhealthy applies."""
UNHEALTHY_PRIOR = 0.5
"""Replaces ``HEALTH_PRIOR`` while the target reports that it is unhealthy."""
FAILURE_WEIGHT = 4.0
"""Added to the utilization of a target that fails all requests."""
MIN_SLOTS = 0.1
NO_LOAD = Load(1, 0, 0, 0, 0)


def coldness(now: float, started: float) -> float:
    """Return ``Load.cold`` for a target that started at ``started``."""
    return min(1.0, max(0.0, 1.0 - (now - started) / WARM_UP_SECONDS))


class Health:
    """The share of its target's slots that an agent can rely on.

    A target that fails fast has few requests in progress. By load alone it looks
    like the best choice and attracts all work, whatever its health endpoint
    reports. The failures that the agent itself sees lower the share, and a report
    that the target is healthy never raises it. A report that it is unhealthy only
    makes failures count sooner. If such a report counted by itself, a false alarm
    would keep away the requests whose success refutes it. Failures and successes
    decay, so that a repaired target is tried again.
    """

    def __init__(self) -> None:
        self._failures = 0.0
        self._successes = 0.0
        self._updated = 0.0
        self._unhealthy_at = -math.inf

    def finished(self, now: float, failed: bool) -> None:
        """Record how a request ended at the target."""
        self._decay(now)
        if failed:
            self._failures += 1.0
        else:
            self._successes += 1.0

    def reported(self, now: float, report: TargetReported) -> None:
        """Record the target's report of its own health."""
        self._unhealthy_at = -math.inf if report.healthy else now

    def share(self, now: float) -> float:
        """Return the usable share of the slots, from MIN_HEALTH to 1."""
        self._decay(now)
        reported_unhealthy = now - self._unhealthy_at < UNHEALTHY_REPORT_SECONDS
        prior = UNHEALTHY_PRIOR if reported_unhealthy else HEALTH_PRIOR
        seen = self._failures + self._successes + prior
        return max(MIN_HEALTH, 1.0 - self._failures / seen)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated) / HEALTH_HALF_LIFE_SECONDS)
        self._failures *= factor
        self._successes *= factor
        self._updated = now


@dataclass(slots=True)
class HandedWork:
    """Work handed to a peer within one interval of BUCKET_SECONDS."""

    at: float
    slots: int
    flows: int


class Work(NamedTuple):
    """The estimated work in progress at an agent, and its usable slots."""

    flows: float
    streams: float
    busy: float
    slots: float
    share: float
    age: float

    @property
    def utilization(self) -> float:
        """Running and queued requests per slot, increased if the target fails."""
        return self.busy / self.slots + FAILURE_WEIGHT * (1.0 - self.share)


@dataclass(slots=True)
class Peer:
    """The last report of a peer and the work handed to it since."""

    slots: int = 1
    ready: bool = False
    leaving: bool = False
    incarnation: int = 0
    sequence: int = -1
    reported_at: float = -math.inf
    load: Load = NO_LOAD
    handed: list[HandedWork] = field(default_factory=list)

    @property
    def accepts_new(self) -> bool:
        """Whether the peer may be given new work."""
        return self.ready and not self.leaving

    def work(self, now: float) -> Work:
        """Return the last report plus the work handed over since."""
        flows = sum(item.flows for item in self.handed)
        slots = sum(item.slots for item in self.handed)
        load = self.load
        return Work(
            load.flows + flows,
            load.streams + flows,
            load.busy + load.queued + slots,
            _usable_slots(self.slots, load.cold),
            min(1.0, load.slots / max(1, self.slots)),
            now - self.reported_at,
        )


class Placement:
    """Chooses between this agent and its peers for new work.

    Parameters
    ----------
    name : str
        This agent's own name, which is never chosen.
    rng : random.Random
        Draws the peers that are compared.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._service: Service | None = None
        self._roster: Roster | None = None
        self._peers_by_name: dict[str, Peer] = {}
        self.health = Health()

    def configure(self, service: Service) -> None:
        """Adopt the service's rules on which members may serve it."""
        self._service = service
        if self._roster is not None:
            self.roster(0.0, self._roster)

    def roster(self, now: float, roster: Roster) -> None:
        """Replace the peers. Reports of former incarnations are discarded."""
        former = self._peers_by_name
        self._roster = roster
        self._peers_by_name = {}
        for name, member in roster.by_name.items():
            if name == self._name:
                continue
            peer = former.get(name, Peer())
            if member.incarnation > peer.incarnation:
                peer = Peer(incarnation=member.incarnation)
            allowed = self._service is None or may_serve(self._service, member)
            peer.slots = member.slots
            peer.ready = member.state is AgentState.READY and allowed
            self._peers_by_name[name] = peer

    def heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        """Record the load that a peer reports unless a later report is known."""
        peer = self._peers_by_name.get(sender)
        if peer is None or heartbeat.incarnation < peer.incarnation:
            return
        if heartbeat.incarnation > peer.incarnation:
            peer.incarnation = heartbeat.incarnation
            peer.sequence = -1
        # A late or duplicated report must not look fresh.
        if heartbeat.sequence <= peer.sequence:
            return
        peer.sequence = heartbeat.sequence
        peer.leaving = heartbeat.leaving
        peer.load = heartbeat.load
        peer.reported_at = now
        peer.handed = [
            item for item in peer.handed if now - item.at < IN_FLIGHT_SECONDS
        ]

    def handed(self, now: float, peer: str, slots: int = 1, flows: int = 0) -> None:
        """Record work handed to ``peer`` that no report includes yet."""
        known = self._peers_by_name.get(peer)
        if known is None:
            return
        if known.handed and now - known.handed[-1].at < BUCKET_SECONDS:
            known.handed[-1].slots += slots
            known.handed[-1].flows += flows
            return
        known.handed = [
            item for item in known.handed if now - item.at < REPORT_MAX_AGE_SECONDS
        ]
        known.handed.append(HandedWork(now, slots, flows))

    def reported(self, now: float, load: Load) -> Load:
        """Return ``load`` for a heartbeat, reduced to the usable slots.

        Peers know the number of slots from the roster and derive the health from
        the ratio.
        """
        return load._replace(slots=round(load.slots * self.health.share(now)))

    def choose_for_flow(
        self, now: float, local: Load, forced: bool = False
    ) -> str | None:
        """Choose the peer that should own a new flow, or None for this agent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        local : Load
            This agent's own load.
        forced : bool
            Whether this agent can't take the flow because it is leaving. None then
            means that no peer is ready.
        """
        return self._choose_by(now, local, forced, lambda work: work.flows)

    def choose_for_request(
        self, now: float, slots_needed: int, local: Load, forced: bool = False
    ) -> str | None:
        """Choose the peer that should run a request, or None for this agent.

        ``slots_needed`` is 0 for a long-lived stream, which is placed by the number
        of streams in progress.
        """
        if slots_needed == 0:
            return self._choose_by(now, local, forced, lambda work: work.streams)
        own = self._own_work(now, local)
        utilization = own.utilization + slots_needed / own.slots
        if utilization <= LOCAL_UTILIZATION_LIMIT and not forced:
            return None
        work_by_name = self._peers_work(now)
        if not work_by_name:
            return self._any_ready() if forced else None
        mean = sum(work.utilization for work in work_by_name.values()) / len(
            work_by_name
        )
        scored = []
        for name in self._sample_peers(work_by_name):
            work = work_by_name[name]
            # A report of short requests loses meaning with age and is pulled
            # towards the mean. Otherwise the last peer to report idle would attract
            # a burst of requests.
            trust = math.exp(-work.age / TRUST_SECONDS)
            expected = mean + (work.utilization - mean) * trust
            scored.append((expected + slots_needed / work.slots, name))
        score, name = min(scored)
        return name if forced or score < utilization else None

    def _choose_by(
        self,
        now: float,
        local: Load,
        forced: bool,
        count: Callable[[Work], float],
    ) -> str | None:
        """Choose by a count of long-lived items and, with less weight, by requests."""
        work_by_name = self._peers_work(now)
        if not work_by_name:
            return self._any_ready() if forced else None
        own = self._own_work(now, local)
        all_work = [own, *work_by_name.values()]
        total = sum(count(work) for work in all_work)
        mean = max(total, 1.0) / sum(work.slots for work in all_work)

        def score(work: Work) -> float:
            usable = max(MIN_SLOTS, work.slots * work.share)
            return count(work) / usable / mean + UTILIZATION_WEIGHT * work.utilization

        best = min(
            self._sample_peers(work_by_name), key=lambda name: score(work_by_name[name])
        )
        gains = score(work_by_name[best]) + FLOW_MARGIN < score(own)
        return best if forced or gains else None

    def _sample_peers(self, work_by_name: Mapping[str, Work]) -> list[str]:
        return self._rng.sample(list(work_by_name), min(CHOICES, len(work_by_name)))

    def _own_work(self, now: float, local: Load) -> Work:
        return Work(
            local.flows,
            local.streams,
            local.busy + local.queued,
            _usable_slots(local.slots, local.cold),
            self.health.share(now),
            age=0.0,
        )

    def _peers_work(self, now: float) -> dict[str, Work]:
        """Return the work of ready peers with a recent report."""
        fresh = [
            (name, peer)
            for name, peer in self._peers_by_name.items()
            if peer.accepts_new and now - peer.reported_at <= REPORT_MAX_AGE_SECONDS
        ]
        if len(fresh) > MAX_COMPARED:
            fresh = self._rng.sample(fresh, MAX_COMPARED)
        return {name: peer.work(now) for name, peer in fresh}

    def _any_ready(self) -> str | None:
        ready = [name for name, peer in self._peers_by_name.items() if peer.accepts_new]
        return self._rng.choice(ready) if ready else None


def _usable_slots(slots: int, cold: float) -> float:
    """Return the slots that a target can use, which are fewer while it is cold."""
    return max(MIN_SLOTS, slots * (1.0 - cold * (1.0 - COLD_CAPACITY_SHARE)))
