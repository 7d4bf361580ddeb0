"""Openings that are rejected because their service is overloaded.

An opening that waits until its client gives up costs the client 1.4 s without an
answer. If it is rejected at once, the client can retry or inform its caller. A
rejection must be true, so only the first copy of an opening that was placed nowhere is
rejected, and only while openings wait at every agent that could accept it. It is held
briefly before: a slot that becomes free in that time takes it, and clients that were
rejected together don't return together.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from .allocation import MAX_PRIORITY, ServiceLoad, TrafficClass, all_wait
from .member import Member
from .models import Packet, Urgency
from .tunnel import Head

__all__ = ["HeldOpening", "Rejections"]

MAX_HOLD_SECONDS = 0.1
"""Maximum seconds that an opening is held. With the wait for loads, a tick and the
network delays, it is decided before 0.2 s, when the client sends a copy. An agent
that gets that copy can't know any more that the opening was placed nowhere."""

MAX_LATENESS_SECONDS = 0.05
"""Seconds past its time, a tick, for which a held opening may still be rejected. After
a longer stall of the process, a copy may have been placed elsewhere."""

MAX_HELD_OPENINGS = 1024
"""Maximum number of held openings; further ones are placed at once."""


@dataclass(slots=True)
class HeldOpening:
    """A held opening.

    ``draw`` is a random number from 0 to 1; the opening is rejected if the excess of
    its class is above it.
    """

    until: float
    draw: float
    goal: float
    traffic_class: TrafficClass
    head: Head
    packet: Packet


class Rejections:
    """The openings of one home that are held to be rejected.

    Parameters
    ----------
    load : ServiceLoad
        View of the service's load.
    rng : random.Random
        Source of randomness.
    takers : callable
        Returns the members that may accept an opening.
    """

    def __init__(
        self,
        load: ServiceLoad,
        rng: random.Random,
        takers: Callable[[float, Head, Packet], list[Member]],
    ) -> None:
        self._load = load
        self._rng = rng
        self._takers = takers
        self._by_flow: dict[bytes, HeldOpening] = {}

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def __len__(self) -> int:
        return len(self._by_flow)

    def hold(self, now: float, head: Head, packet: Packet, urgency: Urgency) -> bool:
        """Hold an opening if it can't be served; return whether it is held."""
        if self._load.since is None or len(self._by_flow) >= MAX_HELD_OPENINGS:
            return False
        traffic_class = TrafficClass(head.zone, min(MAX_PRIORITY, urgency.priority))
        draw = self._rng.random()
        until = now + MAX_HOLD_SECONDS * self._rng.random()
        held = HeldOpening(until, draw, urgency.goal, traffic_class, head, packet)
        if not self._is_excess(now, held):
            return False
        self._by_flow[packet.flow] = held
        return True

    def forget(self, flow: bytes) -> None:
        """Stop holding an opening."""
        self._by_flow.pop(flow, None)

    def due(self, now: float) -> list[tuple[HeldOpening, bool]]:
        """Return the openings whose time is over, and whether each is rejected."""
        due = [held for held in self._by_flow.values() if now >= held.until]
        for held in due:
            del self._by_flow[held.packet.flow]
        return [
            (
                held,
                now - held.until <= MAX_LATENESS_SECONDS and self._is_excess(now, held),
            )
            for held in due
        ]

    def _is_excess(self, now: float, held: HeldOpening) -> bool:
        if held.draw >= self._load.excess(now, held.traffic_class, held.goal):
            return False
        takers = self._takers(now, held.head, held.packet)
        return bool(takers) and all_wait(now, takers)
