"""Who of a service's agents takes new work: two choices by own counts.

Each agent compares its own load with what its peers last counted themselves.
Work is handed to the better of two random peers, and only when that gains by
a margin. Measured variants and figures are in docs/design/placement.md.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .events import TargetReported
from .messages import Heartbeat
from .models import AgentState, Load, Roster, Service
from .routing import may_serve

__all__ = ["Health", "Placement", "coldness"]

REPORT_AGE = 3.0
IN_FLIGHT = 0.02
BUCKET = 0.01
FLOW_MARGIN = 0.02
REQUEST_MARGIN = 0.25
WARM_UP = 10.0
COLD_SHARE = 0.2
HEALTH_HALF_LIFE = 5.0
HEALTH_PRIOR = 2.0
HEALTH_FLOOR = 0.05
CLAIM_AGE = 3.0
CLAIM_SHARE = 0.5
SUCCESS_AGE = 2.0
LEAST_SLOTS = 0.1
NO_LOAD = Load(1, 0, 0, 0, 0)


def coldness(now: float, started: float) -> float:
    """Return ``Load.cold`` for a target that started at ``started``."""
    return min(1.0, max(0.0, 1.0 - (now - started) / WARM_UP))


class Health:
    """How much of its target's slots an agent may count on.

    A target that fails fast has few requests in progress, so by load alone it
    looks like the best place and draws in all the work, whatever its health
    endpoint claims. The failures that the agent itself saw lower its share;
    a healthy claim never raises it. An unhealthy claim counts only while no
    request succeeds, so that a wrong alarm takes nothing out of service.
    """

    def __init__(self) -> None:
        self._failures = 0.0
        self._successes = 0.0
        self._updated = 0.0
        self._succeeded_at = -math.inf
        self._unhealthy_at = -math.inf

    def finished(self, now: float, failed: bool) -> None:
        """Note how the target ended a request."""
        self._decay(now)
        if failed:
            self._failures += 1.0
            return
        self._successes += 1.0
        self._succeeded_at = now

    def reported(self, now: float, report: TargetReported) -> None:
        """Note what the target says of itself."""
        self._unhealthy_at = -math.inf if report.healthy else now

    def share(self, now: float) -> float:
        """Return the usable part of the slots, from HEALTH_FLOOR to 1."""
        self._decay(now)
        seen = self._failures + self._successes + HEALTH_PRIOR
        share = 1.0 - self._failures / seen
        claimed = now - self._unhealthy_at < CLAIM_AGE
        if claimed and now - self._succeeded_at > SUCCESS_AGE:
            share *= CLAIM_SHARE
        return max(HEALTH_FLOOR, share)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated) / HEALTH_HALF_LIFE)
        self._failures *= factor
        self._successes *= factor
        self._updated = now


@dataclass(slots=True)
class Handed:
    """Work handed to a peer within one BUCKET of time."""

    at: float
    slots: int
    flows: int


@dataclass(slots=True)
class Peer:
    """What is known of one peer: its last report and what was handed since."""

    ready: bool = False
    leaving: bool = False
    incarnation: int = 0
    sequence: int = -1
    reported_at: float = -math.inf
    load: Load = NO_LOAD
    handed: list[Handed] = field(default_factory=list)


Score = Callable[[Load, float, int, int], float]


class Placement:
    """Chooses between this agent and its peers for new work.

    Parameters
    ----------
    name : str
        This agent's own name, which is never chosen.
    rng : random.Random
        Draws the two choices.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._service: Service | None = None
        self._roster: Roster | None = None
        self._peers_by_name: dict[str, Peer] = {}
        self.health = Health()

    def configure(self, service: Service) -> None:
        """Take the service's rules on who may serve it."""
        self._service = service
        if self._roster is not None:
            self.roster(0.0, self._roster)

    def roster(self, now: float, roster: Roster) -> None:
        """Replace the peers; reports of a former incarnation are void."""
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
            peer.ready = member.state is AgentState.READY and allowed
            self._peers_by_name[name] = peer

    def heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        """Take a peer's own counts, unless a later report is known."""
        peer = self._peers_by_name.get(sender)
        if peer is None or heartbeat.incarnation < peer.incarnation:
            return
        if heartbeat.incarnation > peer.incarnation:
            peer.incarnation = heartbeat.incarnation
            peer.sequence = -1
        # A late or doubled report must not look fresh.
        if heartbeat.sequence <= peer.sequence:
            return
        peer.sequence = heartbeat.sequence
        peer.leaving = heartbeat.leaving
        peer.load = heartbeat.load
        peer.reported_at = now
        peer.handed = [item for item in peer.handed if now - item.at < IN_FLIGHT]

    def handed(self, now: float, peer: str, slots: int = 1, flows: int = 0) -> None:
        """Note that work was handed to ``peer`` and is in no report yet."""
        known = self._peers_by_name.get(peer)
        if known is None:
            return
        if known.handed and now - known.handed[-1].at < BUCKET:
            known.handed[-1].slots += slots
            known.handed[-1].flows += flows
            return
        known.handed = [item for item in known.handed if now - item.at < REPORT_AGE]
        known.handed.append(Handed(now, slots, flows))

    def reported(self, now: float, load: Load) -> Load:
        """Return ``load`` as peers may count on it, for a heartbeat."""
        share = self.health.share(now)
        return load._replace(slots=max(1, round(load.slots * share)))

    def choose_for_flow(
        self, now: float, local: Load, forced: bool = False
    ) -> str | None:
        """Choose the peer that should own a new flow, or None for this agent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        local : Load
            This agent's own counts.
        forced : bool
            This agent may not take it (it is leaving); None then means that
            no peer is ready.
        """
        return self._choose(now, local, forced, _flow_score, FLOW_MARGIN, 0)

    def choose_for_request(
        self, now: float, slots_needed: int, local: Load, forced: bool = False
    ) -> str | None:
        """Choose the peer that should run a request, or None for this agent.

        ``slots_needed`` is 0 for a long-lived stream, which is weighed by
        the streams in progress.
        """
        if slots_needed == 0:
            return self._choose(now, local, forced, _stream_score, FLOW_MARGIN, 0)
        if not forced and local.busy + local.queued + slots_needed <= local.slots / 2:
            return None
        return self._choose(
            now, local, forced, _request_score, REQUEST_MARGIN, slots_needed
        )

    def _choose(
        self,
        now: float,
        local: Load,
        forced: bool,
        score: Score,
        margin: float,
        needed: int,
    ) -> str | None:
        fresh = [
            name
            for name, peer in self._peers_by_name.items()
            if peer.ready and not peer.leaving and now - peer.reported_at <= REPORT_AGE
        ]
        if not fresh:
            return self._any_ready() if forced else None
        pair = self._rng.sample(fresh, 2) if len(fresh) > 1 else fresh
        scored = [(self._score_peer(name, score, needed), name) for name in pair]
        peer_score, name = min(scored)
        if forced:
            return name
        own = score(local, self.health.share(now), 0, needed)
        return name if peer_score + margin < own else None

    def _any_ready(self) -> str | None:
        ready = [
            name
            for name, peer in self._peers_by_name.items()
            if peer.ready and not peer.leaving
        ]
        return self._rng.choice(ready) if ready else None

    def _score_peer(self, name: str, score: Score, needed: int) -> float:
        peer = self._peers_by_name[name]
        slots = sum(item.slots for item in peer.handed)
        flows = sum(item.flows for item in peer.handed)
        extra = flows if score is not _request_score else slots
        return score(peer.load, 1.0, extra, needed)


def _slots(load: Load, share: float) -> float:
    """Weigh the slots by health and, while the target is cold, by warm-up."""
    warm = 1.0 - load.cold * (1.0 - COLD_SHARE)
    return max(LEAST_SLOTS, load.slots * share * warm)


def _flow_score(load: Load, share: float, extra: int, needed: int) -> float:
    return (load.flows + load.streams + extra) / _slots(load, share)


def _stream_score(load: Load, share: float, extra: int, needed: int) -> float:
    return (load.streams + extra) / _slots(load, share)


def _request_score(load: Load, share: float, extra: int, needed: int) -> float:
    return (load.busy + load.queued + extra + needed) / _slots(load, share)
