"""Openings that are rejected as their service is overloaded.

An opening that would wait until it is given up costs its client 1.4 s of silence.
One that is rejected at once lets it try again, or tell its caller. That must be
true, so only the first copy of an opening is rejected that was placed nowhere,
and only while openings wait at every agent that could take it. It is held for a
moment before: a slot that becomes free meanwhile takes it, and clients that were
rejected together don't come back together.
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
"""Seconds that an opening is held at most. With the wait for loads, a tick and
the ways it is decided before 0.2 s, when the client sends a copy: whoever gets
that one can't know any more that the opening was placed nowhere."""

MAX_LATENESS_SECONDS = 0.05
"""Seconds after its time, a tick, for which a held opening may still be rejected.
What goes wrong without: the process stood still, and a copy was placed elsewhere."""

MAX_HELD_OPENINGS = 1024
"""Openings held at most; further ones are placed at once."""


@dataclass(slots=True)
class HeldOpening:
    """An opening that is held.

    ``draw`` is a random number from 0 to 1; the opening is rejected if the excess
    of its cell is above it.
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
        What is believed of the service's room.
    rng : random.Random
        Source of chance.
    takers : callable
        Returns the members that may take an opening.
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
        """Hold an opening that can't be served, if so; return whether it did."""
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
        """End the holding of an opening."""
        self._by_flow.pop(flow, None)

    def due(self, now: float) -> list[tuple[HeldOpening, bool]]:
        """Return those whose time is over, and whether each is rejected."""
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
