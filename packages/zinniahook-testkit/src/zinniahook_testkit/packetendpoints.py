"""Simulated clients and targets of packet flows, and a simple packet format.

Clients and targets do no I/O: they take packets and return packets, so they work
in a simulation as well as on real sockets.
"""

from __future__ import annotations

import heapq
import random
import struct
from dataclasses import dataclass, field
from typing import Protocol

from zinniahook_core.packets import Answer, Codec, Flag, Packet

__all__ = ["ClientFlow", "EndpointCodec", "PlainCodec", "SimulatedTarget", "flow_key"]

HEADER = struct.Struct("!12sBIIH")
SEQUENCE_RANGE = 1 << 32
OPENING_RETRY_SECONDS = (0.2, 0.6)
"""Seconds since its opening after which a client repeats it."""

OPEN_TIMEOUT_SECONDS = 1.4
RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"
RESET_WINDOW_BYTES = 76_800
"""Distance from its last acknowledged number within which a client accepts a reset."""

REPEAT_LIMIT = 8
"""Times that a target repeats unacknowledged data before it gives up."""

FAILURE_SECONDS = 0.001
FAILURE = b"HTTP/1.1 500 NO\r\n\r\n"


def flow_key(client: str, port: int, service: str, service_port: int) -> bytes:
    """Return the key of a flow from its addresses and ports."""
    return (
        bytes(map(int, client.split(".")))
        + port.to_bytes(2, "big")
        + bytes(map(int, service.split(".")))
        + service_port.to_bytes(2, "big")
    )


class EndpointCodec(Codec, Protocol):
    """A packet format that clients and targets can also write."""

    def write(
        self,
        flow: bytes,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
        *,
        to_client: bool = False,
    ) -> bytes:
        """Return a packet."""

    def returned(self, raw: bytes) -> bytes:
        """Return a client's packet as a target returns it."""


class PlainCodec:
    """The packet format of simulations: flow, flags, numbers, length and data."""

    def write(
        self,
        flow: bytes,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
        *,
        to_client: bool = False,
    ) -> bytes:
        """Return a packet; both directions have the same format."""
        numbers = sequence % SEQUENCE_RANGE, acknowledged % SEQUENCE_RANGE
        return HEADER.pack(flow, flags, *numbers, len(data)) + data

    def from_client(self, raw: bytes) -> Packet | None:
        """Read a packet of a client."""
        packet = self.from_target(raw)
        return None if packet and packet.flags & Flag.RETURNED else packet

    def from_target(self, raw: bytes) -> Packet | None:
        """Read a packet of a target."""
        if len(raw) < HEADER.size:
            return None
        flow, flags, sequence, acknowledged, length = HEADER.unpack_from(raw)
        if length != len(raw) - HEADER.size:
            return None
        return Packet(flow, flags, sequence, acknowledged, length, raw)

    def cleared(self, raw: bytes) -> bytes:
        """Return a returned packet as its client sent it."""
        return raw[:12] + bytes((raw[12] & ~Flag.RETURNED,)) + raw[13:]

    def returned(self, raw: bytes) -> bytes:
        """Return a client's packet as a target returns it."""
        return raw[:12] + bytes((raw[12] | Flag.RETURNED,)) + raw[13:]

    def request(self, raw: bytes) -> str:
        """Return an empty id, as these requests have none."""
        return ""

    def answer(self, raw: bytes) -> int:
        """Return the kind of an answer by its first bytes."""
        if raw.startswith(FAILURE, HEADER.size):
            return Answer.FAILED
        return Answer.DONE if raw.startswith(ANSWER, HEADER.size) else Answer.UNREAD

    def reset(self, flow: bytes, acknowledged: int) -> bytes:
        """Return a reset."""
        return self.write(flow, Flag.RESET, acknowledged, 0)


@dataclass
class _TargetFlow:
    """The state of a flow at a target."""

    first: int
    client_first: int
    open: bool = False
    sent: int = 1
    taken: int = 0
    done_at: float = 0.0
    packets_left: int = 0
    acknowledged: int = 0


class SimulatedTarget:
    """A target that answers each request after its processing time.

    Parameters
    ----------
    name : str
        Its id; each start has a new one.
    slots : int
        Number of requests processed at a time; others queue in order of arrival.
    rng : random.Random
        Source of initial sequence numbers.
    codec : EndCodec
        The packet format.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        rng: random.Random,
        codec: EndpointCodec | None = None,
    ) -> None:
        self.name = name
        self.slots = slots
        self.alive = True
        self.leaving = False
        self.full = False
        self.silent = False
        """Sends no heartbeats."""

        self.resets_unknown = False
        """Resets packets of unknown flows, as a target does while it starts."""

        self.fails = False
        """Answers each request immediately with a failure."""

        self.ends_first = False
        """Closes each flow after an answer; the closing overtakes the answer."""

        self.answer_packets = 1
        """Packets of each answer; the next one is sent once the last is acknowledged.
        With more than one, data is repeated until it is acknowledged."""

        self.packet_bytes = len(ANSWER)
        self.work = 0.06
        self._free_at = [0.0] * slots
        self.ran: list[bytes] = []
        self.openings: list[tuple[float, bytes]] = []
        self.foreign: list[tuple[float, bytes]] = []
        self.by_flow: dict[bytes, _TargetFlow] = {}
        self._codec = codec or PlainCodec()
        self._rng = rng

    def receive(self, now: float, raw: bytes) -> list[tuple[float, bytes]]:
        """Take a packet; return the packets to send, each with a delay in seconds."""
        if not self.alive:
            return []
        packet = self._codec.from_client(raw)
        if packet is None:
            raise AssertionError("a target received a packet that no client wrote")
        if packet.is_opening:
            return self._receive_opening(now, packet)
        held = self.by_flow.get(packet.flow)
        if held is None or (not held.open and not self._confirm_opening(held, packet)):
            self.foreign.append((now, packet.flow))
            if self.resets_unknown:
                return [(0.0, self._codec.reset(packet.flow, packet.acknowledged))]
            return [(0.0, self._codec.returned(raw))]
        held.acknowledged = packet.acknowledged
        return self._receive_data(now, packet, held)

    def _receive_opening(self, now: float, packet: Packet) -> list[tuple[float, bytes]]:
        if self.full:
            return [(0.0, self._codec.returned(packet.raw))]
        held = self.by_flow.get(packet.flow)
        if held is None or held.client_first != packet.sequence:
            self.openings.append((now, packet.flow))
            held = _TargetFlow(self._rng.randrange(SEQUENCE_RANGE), packet.sequence)
            self.by_flow[packet.flow] = held
        flags = Flag.OPENING | Flag.ACKNOWLEDGES
        answer = self._codec.write(
            packet.flow, flags, held.first, packet.sequence + 1, to_client=True
        )
        return [(0.0003, answer)]

    def _confirm_opening(self, held: _TargetFlow, packet: Packet) -> bool:
        held.open = packet.acknowledged == (held.first + 1) % SEQUENCE_RANGE
        return held.open

    def _receive_data(
        self, now: float, packet: Packet, held: _TargetFlow
    ) -> list[tuple[float, bytes]]:
        if not packet.length:
            return self._continue_answer(packet, held)
        number = (packet.sequence - held.client_first) % SEQUENCE_RANGE
        again = number <= held.taken
        if not again:
            held.taken = number
            self.ran.append(packet.flow)
        start = held.first + held.sent - (self.packet_bytes if again else 0)
        if not again:
            held.sent += self.packet_bytes
            held.packets_left = self.answer_packets - 1
        acknowledged = packet.sequence + packet.length
        body = FAILURE if self.fails else ANSWER
        body = body.ljust(self.packet_bytes, b"x")
        answer = self._write_data(packet.flow, start, acknowledged, body)
        if again:
            # Repeating a request doesn't complete it sooner.
            return [(0.001, answer)] if now >= held.done_at else []
        held.done_at = self._completion_time(now)
        took = held.done_at - now
        if self.answer_packets > 1:
            return self._repeating(took, answer)
        # Acknowledgements aren't tracked, so each answer is repeated once.
        sent = [(took, answer), (took + RETRY_SECONDS, answer)]
        return [(took, self._closing(packet, held)), *sent] if self.ends_first else sent

    def _continue_answer(
        self, packet: Packet, held: _TargetFlow
    ) -> list[tuple[float, bytes]]:
        """Return the next packet of an answer whose last one is acknowledged."""
        start = held.first + held.sent
        if not held.packets_left or packet.acknowledged != start % SEQUENCE_RANGE:
            return []
        held.packets_left -= 1
        held.sent += self.packet_bytes
        body = b"x" * self.packet_bytes
        data = self._write_data(packet.flow, start, packet.sequence, body)
        return self._repeating(0.0, data)

    def _write_data(
        self, flow: bytes, start: int, acknowledged: int, body: bytes
    ) -> bytes:
        flags = Flag.ACKNOWLEDGES
        return self._codec.write(flow, flags, start, acknowledged, body, to_client=True)

    def _repeating(self, delay: float, data: bytes) -> list[tuple[float, bytes]]:
        """Return a packet and its repeats, which `is_acknowledged` may withdraw."""
        sent, interval = [(delay, data)], RETRY_SECONDS
        for _ in range(REPEAT_LIMIT):
            delay += interval
            interval = min(MAX_RETRY_SECONDS, 2 * interval)
            sent.append((delay, data))
        return sent

    def is_acknowledged(self, raw: bytes) -> bool:
        """Return whether a packet to be sent repeats data that is acknowledged."""
        packet = self._codec.from_target(raw)
        if self.answer_packets == 1 or packet is None or not packet.length:
            return False
        if packet.flags & Flag.RETURNED:
            return False
        held = self.by_flow[packet.flow]
        ahead = (held.acknowledged - packet.sequence) % SEQUENCE_RANGE
        return 0 < ahead < SEQUENCE_RANGE // 2

    def _closing(self, packet: Packet, held: _TargetFlow) -> bytes:
        """Return the closing packet that follows the answer."""
        return self._codec.write(
            packet.flow,
            Flag.ACKNOWLEDGES | Flag.CLOSING,
            held.first + held.sent,
            packet.sequence + packet.length,
            to_client=True,
        )

    def _completion_time(self, now: float) -> float:
        """Reserve the slot that is free first; return when the request is done."""
        if self.fails:
            return now + FAILURE_SECONDS
        start = max(now, heapq.heappop(self._free_at))
        heapq.heappush(self._free_at, start + self.work)
        return start + self.work


@dataclass
class ClientFlow:
    """One flow of a client, which opens it and then sends requests one by one.

    ``due`` is the time of the next call of `wake`. If ``acknowledges`` is set, the
    client acknowledges the opening with a separate packet before its first request.
    """

    key: bytes
    first: int
    begun: float
    copies: int = 0
    acknowledges: bool = False
    state: str = "opening"
    due: float = 0.0
    server_first: int = 0
    taken: int = 0
    sent: int = 1
    asked_at: float | None = None
    repeats: int = 0
    answers: list[float] = field(default_factory=list)
    answer_packets: int = 1
    packets_taken: int = 0
    codec: EndpointCodec = field(default_factory=PlainCodec)

    def open(self, now: float) -> bytes:
        """Return the opening or a copy of it."""
        following = [*OPENING_RETRY_SECONDS, OPEN_TIMEOUT_SECONDS][self.copies]
        self.due = self.begun + following
        return self.codec.write(self.key, Flag.OPENING, self.first, self.copies)

    def ask(self, now: float) -> bytes:
        """Return the next request, or repeat the unanswered one."""
        if self.asked_at is None:
            self.asked_at = now
            self.repeats = 0
        self.due = now + min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**self.repeats)
        return self.codec.write(
            self.key,
            Flag.ACKNOWLEDGES,
            self.first + self.sent,
            self.server_first + 1 + self.taken,
            REQUEST,
        )

    def wake(self, now: float) -> bytes | None:
        """Return the packet that is due: a copy, a repeated request, or None."""
        if self.state == "opening":
            self.copies += 1
            if self.copies > len(OPENING_RETRY_SECONDS):
                self.state = "timeout"
                return None
            return self.open(now)
        if self.state == "open" and self.asked_at is not None:
            self.repeats += 1
            return self.ask(now)
        return None

    def receive(self, now: float, raw: bytes) -> list[bytes]:
        """Take a packet; return the packets to send immediately."""
        packet = self.codec.from_target(raw)
        if packet is None:
            raise AssertionError("a client received a packet that no target wrote")
        if packet.flags & Flag.RESET:
            if self._accepts_reset(packet.sequence):
                self.state = "reset"
            return []
        if packet.flags & Flag.OPENING:
            if self.state == "opening":
                self.state = "open"
                self.server_first = packet.sequence
                first = [self._acknowledgement()] if self.acknowledges else []
                return [*first, self.ask(now)]
            return []
        expected = (self.server_first + 1 + self.taken) % SEQUENCE_RANGE
        if self.state == "open" and packet.length and packet.sequence == expected:
            self.taken += packet.length
            self.packets_taken += 1
            if self.packets_taken % self.answer_packets:
                return [self._continue_reading()]
            if self.answer_packets == 1:
                self.sent += len(REQUEST)
            if self.asked_at is not None:
                self.answers.append(now - self.asked_at)
            self.asked_at = None
        return [self._acknowledgement()] if self.state == "open" else []

    def _accepts_reset(self, number: int) -> bool:
        """Return whether a reset ends the flow: late ones and forged ones don't."""
        if self.state != "open":
            return self.state == "opening"
        ahead = (number - self.server_first - 1 - self.taken) % SEQUENCE_RANGE
        return min(ahead, SEQUENCE_RANGE - ahead) <= RESET_WINDOW_BYTES

    def _continue_reading(self) -> bytes:
        """Return the acknowledgement of a packet that isn't the answer's last one."""
        if self.packets_taken % self.answer_packets == 1:
            # The target has the request, so it isn't repeated.
            self.sent += len(REQUEST)
            self.due = 0.0
        return self._acknowledgement()

    def _acknowledgement(self) -> bytes:
        return self.codec.write(
            self.key,
            Flag.ACKNOWLEDGES,
            self.first + self.sent,
            self.server_first + 1 + self.taken,
        )
