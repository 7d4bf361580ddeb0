"""Packets that an entry keeps until a service has reported their flows' owners."""

from __future__ import annotations

from typing import NamedTuple

from .models import Packet

__all__ = ["KNOWN_REPEAT_SECONDS", "REPEAT_SECONDS", "PendingLookup", "PendingLookups"]

REPEAT_SECONDS = 0.3
"""Seconds without a certain answer after which an entry asks again for a flow's owner:
longer than a search takes to return packets. If the question to the service that
owns the flow is lost, the client repeats the packet only after 1.6 s, and until then
only other targets would have seen it."""

KNOWN_REPEAT_SECONDS = 0.1
"""The same for a home that only reports known owners: it answers at once."""

MAX_REPEAT_SECONDS = 1.6
"""Seconds for which an entry asks with one packet: its client repeats it then."""

MAX_REPEATS_PER_TICK = 256
MAX_LOOKUPS = 4096


class PendingLookup(NamedTuple):
    """A packet with which a service was asked for its flow's owner."""

    begun: float
    due: float
    packet: Packet


class PendingLookups:
    """The packets of one entry whose owners aren't known yet, one per flow."""

    def __init__(self) -> None:
        self._by_flow: dict[bytes, PendingLookup] = {}

    def keep(self, now: float, packet: Packet, after: float) -> None:
        """Keep a packet, to ask with it again after a while.

        A packet without data doesn't replace the packet before it: the owner isn't
        known, and no service searches with the new packet.
        """
        if packet.is_bare:
            return
        former = self.take(packet.flow)
        begun = former.begun if former else now
        if len(self._by_flow) < MAX_LOOKUPS:
            self._by_flow[packet.flow] = PendingLookup(begun, now + after, packet)

    def take(self, flow: bytes) -> PendingLookup | None:
        """Remove and return the packet kept for a flow."""
        return self._by_flow.pop(flow, None)

    def due(self, now: float) -> list[PendingLookup]:
        """Remove and return the packets that should be asked with again."""
        due = [asked for asked in self._by_flow.values() if now >= asked.due]
        for asked in due[:MAX_REPEATS_PER_TICK]:
            del self._by_flow[asked.packet.flow]
        return [
            asked
            for asked in due[:MAX_REPEATS_PER_TICK]
            if now - asked.begun < MAX_REPEAT_SECONDS
        ]

    def restore_begun(self, asked: PendingLookup) -> None:
        """Restore the time at which the packet was first asked with."""
        again = self._by_flow.get(asked.packet.flow)
        if again is not None:
            self._by_flow[asked.packet.flow] = again._replace(begun=asked.begun)
