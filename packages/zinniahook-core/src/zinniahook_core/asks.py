"""Packets that wait while their flow's owner is asked for."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from .effects import SendPeer
from .events import FlowDatagram
from .messages import FlowAsk

__all__ = ["Asks", "Held", "StandIns"]

ASK_TIMEOUT = 0.5
ASK_REPEAT = 0.1
STAND_IN_REPEAT = 0.5
HELD_FLOWS = 1024
HELD_PACKETS = 16
HELD_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class Held:
    """A flow whose owner is asked for, with its packets so far."""

    flow: bytes
    number: int
    since: float
    asked: tuple[str, ...]
    repeat_at: float
    denied: set[str] = field(default_factory=set)
    packets: list[FlowDatagram] = field(default_factory=list)

    def restart(self, now: float, asked: tuple[str, ...]) -> None:
        """Ask anew under another roster; earlier denials are void."""
        self.since = now
        self.asked = asked
        self.denied.clear()

    def messages(self) -> list[SendPeer]:
        """Return the asks to those that have not answered yet."""
        ask = FlowAsk(self.number, self.flow)
        return [SendPeer(name, ask) for name in self.asked if name not in self.denied]


class Asks:
    """The held flows, bounded in flows, packets of one flow, and bytes.

    A caller gets no answer while its packets are held, so a flood of new
    flows in an overlap window would otherwise grow the process without end.
    """

    def __init__(self) -> None:
        self._held_by_flow: dict[bytes, Held] = {}
        self._bytes = 0
        self._number = 0

    def __iter__(self) -> Iterator[Held]:
        return iter(self._held_by_flow.values())

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._held_by_flow

    def start(self, now: float, flow: bytes, asked: tuple[str, ...]) -> Held | None:
        """Begin to ask for ``flow``; None if too many flows are held."""
        if len(self._held_by_flow) >= HELD_FLOWS:
            return None
        self._number += 1
        held = Held(flow, self._number, now, asked, now + ASK_REPEAT)
        self._held_by_flow[flow] = held
        return held

    def hold(self, flow: bytes, packet: FlowDatagram) -> bool:
        """Keep a packet of a held flow; False if there is no room."""
        held = self._held_by_flow[flow]
        size = len(packet.payload)
        if len(held.packets) >= HELD_PACKETS or self._bytes + size > HELD_BYTES:
            return False
        held.packets.append(packet)
        self._bytes += size
        return True

    def match(self, flow: bytes, number: int) -> Held | None:
        """Return the flow that an answer is for, unless the ask is over."""
        held = self._held_by_flow.get(flow)
        return held if held is not None and held.number == number else None

    def release(self, flow: bytes) -> list[FlowDatagram]:
        """Stop asking for ``flow`` and return its packets in order."""
        held = self._held_by_flow.pop(flow, None)
        if held is None:
            return []
        self._bytes -= sum(len(packet.payload) for packet in held.packets)
        return held.packets

    def overdue(self, now: float) -> list[Held]:
        """Return the flows whose asks have timed out."""
        return [
            held
            for held in self._held_by_flow.values()
            if now - held.since >= ASK_TIMEOUT
        ]

    def repeats(self, now: float) -> list[SendPeer]:
        """Return the asks to send again; any message may get lost."""
        messages: list[SendPeer] = []
        for held in self._held_by_flow.values():
            if now >= held.repeat_at:
                held.repeat_at = now + ASK_REPEAT
                messages += held.messages()
        return messages

    def clear(self) -> None:
        """Forget every held flow and packet."""
        self._held_by_flow.clear()
        self._bytes = 0


class StandIns:
    """Flows opened elsewhere than at their home, since the home was silent.

    What goes wrong: a home that was paused, or whose answers got lost, owns
    the flow already, and one caller's packets are spread over two targets for
    good. One notices two owners. So the home is asked until it answers, and
    the flow goes to the owner that it names.
    """

    def __init__(self) -> None:
        self._number_by_flow: dict[bytes, int] = {}
        self._next_round = 0.0

    def add(self, flow: bytes, number: int) -> None:
        """Ask for ``flow`` from the next round on, under ``number``."""
        self._number_by_flow[flow] = number

    def number(self, flow: bytes) -> int | None:
        """Return the number of the ask for ``flow``, if there is one."""
        return self._number_by_flow.get(flow)

    def drop(self, flow: bytes) -> None:
        """Ask no more for ``flow``."""
        self._number_by_flow.pop(flow, None)

    def due(self, now: float) -> list[tuple[bytes, int]]:
        """Return what is to be asked now, once a round."""
        if now < self._next_round:
            return []
        self._next_round = now + STAND_IN_REPEAT
        return list(self._number_by_flow.items())

    def clear(self) -> None:
        """Ask for nothing."""
        self._number_by_flow.clear()
