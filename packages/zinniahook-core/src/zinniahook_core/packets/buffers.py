"""Packets for agents that an entry hasn't heard from yet.

When all processes start at once, an entry may run before the agents. Without this
buffer, packets that clients send in that time would be lost until they repeat them.
"""

from __future__ import annotations

from typing import NamedTuple

from .models import Packet

__all__ = ["PacketBuffer"]

MAX_HELD_SECONDS = 0.5
"""Maximum seconds that a packet for an unheard agent is held: a client repeats an
opening after 0.2 and 0.6 s itself."""

MIN_HELD_SECONDS = 0.02
"""Seconds that a packet must have been held to be routed again: a running agent sends a
status sooner. Otherwise an agent would get an opening twice, or another agent would
get it too, and the client's flow would be open at two targets."""

MAX_HELD_PACKETS = 1024
"""Packets held in all, 1.3 MB."""


class _Held(NamedTuple):
    at: float
    packet: Packet


class PacketBuffer:
    """The packets that one entry holds, by agent."""

    def __init__(self) -> None:
        self._held_by_agent: dict[str, list[_Held]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def addresses(self) -> list[str]:
        """The agents for which packets are held."""
        return list(self._held_by_agent)

    def add(self, now: float, address: str, packet: Packet) -> None:
        """Hold a packet until its agent has sent a status."""
        if self._count < MAX_HELD_PACKETS:
            self._count += 1
            self._held_by_agent.setdefault(address, []).append(_Held(now, packet))

    def release(self, now: float, address: str) -> list[Packet]:
        """Remove an agent's packets; return those that it can't have received."""
        held = self._held_by_agent.pop(address, [])
        self._count -= len(held)
        return [each.packet for each in held if now - each.at >= MIN_HELD_SECONDS]

    def expire(self, now: float) -> None:
        """Drop packets that were held for too long, as clients have repeated them."""
        for address, held in list(self._held_by_agent.items()):
            kept = [each for each in held if now - each.at <= MAX_HELD_SECONDS]
            self._count -= len(held) - len(kept)
            if kept:
                self._held_by_agent[address] = kept
            else:
                del self._held_by_agent[address]
