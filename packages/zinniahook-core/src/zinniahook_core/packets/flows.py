"""The flows that a target holds, as its agent has seen them."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .models import Packet
from .sequences import IN_FLIGHT_BYTES, SEQUENCE_SPAN, is_after

__all__ = ["Flow", "Flows", "FlowState"]

LATE_BYTES = 1 << 26
"""How far the number that a late packet acknowledges may be behind what the target has
sent since. The random number of another target matches by chance in proportion to
what the target has sent, at most once in 64 times, or once in 32 if this process
hasn't seen the opening."""

MAX_ADVANCE_BYTES = 1 << 24
"""How far ahead of its last number a target's data may be. Data that is further ahead
belongs to a former flow with the same key."""

OPENING_WINDOW_BYTES = 1 << 10
"""The same until the client has chosen a target: a target sends nothing before, so the
client acknowledges only its initial number. Another target's number matches once in
four million times."""

IDLE_SLACK_SECONDS = 5.0
CLOSED_FLOW_SECONDS = 3.0
"""Seconds that a flow closed by both ends stays known, for repeated last packets: a
client repeats one after at most 1.6 s."""

MEAN_FADE_SECONDS = 0.4
"""Seconds over which the mean number of requests in progress fades: two statuses."""

ABANDONED_SECONDS = 3.0
"""Seconds after which a request without an answer no longer counts as work in progress:
its client has given up, or its answer was lost."""

UNUSED_OPENING_SECONDS = 0.3
"""The same for an opening that its client didn't use because another target was faster.
Two round trips to the client take 16 ms at most."""

HALF_OPEN_SECONDS = 3.0
"""Seconds that an unanswered opening is kept: a client gives up after 1.4 s."""


class FlowState(enum.Enum):
    """How certain an agent is that its target holds a flow."""

    OFFERED = "offered"
    """An opening was sent to the target; the client hasn't chosen this target yet."""

    OPEN = "open"
    """A packet of the client acknowledged the target's own number."""

    TRIED = "tried"
    """A packet was sent to the target to see whether the target returns it."""

    CLOSED = "closed"


@dataclass(slots=True)
class Flow:
    """One flow.

    Attributes
    ----------
    last_seen : float
        When its last packet passed.
    asker : str
        The daemon that sent the flow here.
    client_isn, target_isn : int or None
        Initial sequence numbers of the client and of the target, None if not seen.
    requested_at : float or None
        When the request in progress began, None if none is.
    acknowledged : int
        The highest number that the client has acknowledged, as far as is known.
    homes : tuple of str
        The agents that keep a pointer to this flow's owner.
    registered_at : float
        When they were last notified of it.
    zone : int
        Tag of the client's data centre.
    bytes_sent : int
        Bytes that the target has sent.
    accepted_at : float
        When the target accepted it.
    client_closed : bool
        Whether the client has closed it or was reset.
    request_count : int
        Requests seen so far.
    concurrency : int
        Requests in progress at the target when the last one began.
    request_begun_at : float
        When the first data of the last request came.
    awaits_answer : bool
        Whether that data is still unanswered.
    working : bool
        Whether the target has received a request that it hasn't answered.
    received_until : int or None
        Sequence number up to which the target has received data.
    sent_from, sent_until : int or None
        The target's sequence numbers that a client may acknowledge, None if this
        process hasn't seen any. Both advance as the target sends.

    ``working`` and ``received_until`` are kept only where requests wait for slots.
    """

    key: bytes
    state: FlowState
    last_seen: float
    entry: str
    asker: str = ""
    client_isn: int | None = None
    target_isn: int | None = None
    opening: bytes = b""
    acknowledged: int = 0
    requested_at: float | None = None
    homes: tuple[str, ...] = ()
    registered_at: float = float("-inf")
    request: str = ""
    zone: int = 0
    bytes_sent: int = 0
    accepted_at: float = float("inf")
    client_closed: bool = False
    request_count: int = 0
    concurrency: int = 0
    request_begun_at: float = 0.0
    awaits_answer: bool = False
    working: bool = False
    received_until: int | None = None
    sent_from: int | None = None
    sent_until: int | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether its client may still send anything.

        A flow that only its target has closed counts: its client closes it seconds
        later. If the flow were unknown by then, the service would be searched for each
        copy of the closing.
        """
        if self.state is FlowState.CLOSED:
            return not self.client_closed
        return self.state is FlowState.OPEN

    @property
    def is_proven(self) -> bool:
        """Whether this process has seen the target open it and the client choose it."""
        settled = self.state in (FlowState.OPEN, FlowState.CLOSED)
        return settled and self.target_isn is not None

    def matches(self, acknowledged: int) -> bool:
        """Return whether a client's packet can belong to this target's flow.

        Two targets may have answered copies of one opening. If the client chose the
        other one, this target would swallow its packets, or return them and seem to
        have lost the flow, which would then be reset.
        """
        if self.state is FlowState.OFFERED:
            return self.target_isn is not None and (
                (acknowledged - self.target_isn) % SEQUENCE_SPAN <= OPENING_WINDOW_BYTES
            )
        if self.sent_from is None or self.sent_until is None:
            return True
        # A process that hasn't seen the opening may first see the target send a late
        # repeat, far behind what the client has received.
        ahead = IN_FLIGHT_BYTES if self.client_isn is not None else LATE_BYTES
        valid = (self.sent_until + ahead - self.sent_from) % SEQUENCE_SPAN
        return (acknowledged - self.sent_from) % SEQUENCE_SPAN <= valid

    def accepted(self, number: int) -> None:
        """Note the target's initial number; a repeat of it changes nothing.

        If this process is younger than the flow, the number doesn't show how much the
        target has sent since.
        """
        if number == self.target_isn:
            return
        is_older = self.target_isn is None and self.state is not FlowState.OFFERED
        self.target_isn = number
        if not is_older:
            self.sent_from = number
            self.sent_until = self.acknowledged = (number + 1) % SEQUENCE_SPAN

    def note_acknowledged(self, number: int) -> None:
        """Note what the client acknowledges.

        A late packet changes nothing: clients ignore a reset whose number is far behind
        what they have acknowledged.
        """
        if is_after(number, self.acknowledged):
            self.acknowledged = number

    def note_sent(self, packet: Packet) -> bool:
        """Note the data that the target sends; return whether it is only a repeat.

        Before its client has chosen it, a target sends no data in a flow.
        """
        if not packet.length or self.state is FlowState.OFFERED:
            return False
        end = (packet.sequence + packet.length) % SEQUENCE_SPAN
        if self.sent_from is None or self.sent_until is None:
            self.sent_from = (end - LATE_BYTES) % SEQUENCE_SPAN
            self.sent_until = end
            return False
        if not is_after(end, self.sent_until):
            return True
        if (end - self.sent_until) % SEQUENCE_SPAN <= MAX_ADVANCE_BYTES:
            self.sent_until = end
            if (end - self.sent_from) % SEQUENCE_SPAN > LATE_BYTES:
                self.sent_from = (end - LATE_BYTES) % SEQUENCE_SPAN
        return False

    def is_unacknowledged(self, packet: Packet) -> bool:
        """Return whether the client, as far as is known, lacks a packet."""
        end = (packet.sequence + packet.length) % SEQUENCE_SPAN
        return is_after(end, self.acknowledged)

    def mismatch(self, packet: Packet) -> dict[str, Any]:
        """Return the log fields of a packet that doesn't belong to this flow.

        Only the numbers show whether another target answered the same opening, the
        client uses its port again, or the packet is rejected wrongly.
        """
        return {
            "flow": self.key,
            "packet": packet.kind,
            "state": self.state.value,
            "acknowledged": packet.acknowledged,
            "initial": self.target_isn,
            "sent_from": self.sent_from,
            "sent_until": self.sent_until,
        }


class Gauge:
    """A count and its fading mean."""

    __slots__ = ("_at", "_mean", "value")

    def __init__(self) -> None:
        self.value = 0
        self._mean = 0.0
        self._at = 0.0

    def mean(self, now: float) -> float:
        """Return the mean, in which older values fade."""
        if now > self._at:
            kept = math.exp((self._at - now) / MEAN_FADE_SECONDS)
            self._mean = self.value + (self._mean - self.value) * kept
            self._at = now
        return self._mean

    def add(self, now: float, amount: int) -> None:
        """Change the count."""
        self.mean(now)
        self.value += amount


class Flows:
    """The flows of one agent, by their keys.

    ``busy`` counts flows with a request in progress, including offered openings;
    ``working`` counts only those whose request the target has received, and only where
    requests wait for slots.
    """

    def __init__(self) -> None:
        self.by_key: dict[bytes, Flow] = {}
        self.working = 0
        self._busy = Gauge()
        self._sweep: Iterator[bytes] = iter(())

    def __len__(self) -> int:
        return len(self.by_key)

    @property
    def busy(self) -> int:
        """Requests in progress."""
        return self._busy.value

    def load(self, now: float) -> float:
        """Return the load: the mean of the requests in progress now and recently.

        With the present count alone, openings that arrive periodically would cause a
        status sent just before them to report an idle target each time, and every home
        would send its openings there.
        """
        return (self._busy.value + self._busy.mean(now)) / 2

    def get(self, key: bytes) -> Flow | None:
        """Return a flow, None if it isn't known."""
        return self.by_key.get(key)

    def add(self, flow: Flow) -> Flow:
        """Add a flow, replacing any with the same key."""
        self.drop(flow.key)
        self.by_key[flow.key] = flow
        return flow

    def drop(self, key: bytes) -> Flow | None:
        """Remove a flow and return it."""
        flow = self.by_key.pop(key, None)
        if flow is not None and flow.requested_at is not None:
            self._busy.add(flow.last_seen, -1)
        if flow is not None:
            self._done(flow)
        return flow

    def asked(self, now: float, flow: Flow) -> None:
        """Note that the client sends a request, or is about to.

        An opening counts already: its request follows in a few milliseconds, and the
        target would look idle until then.
        """
        if flow.requested_at is None:
            self._busy.add(now, 1)
            flow.request_count += 1
        if flow.requested_at is None or flow.state is FlowState.OFFERED:
            flow.requested_at = now

    def began(self, flow: Flow) -> None:
        """Note that the target has received a request, not only an opening."""
        if not flow.working:
            flow.working = True
            self.working += 1

    def forget_work(self) -> None:
        """Clear the work in progress of a target that was replaced.

        Otherwise requests would wait for slots that were lost with the former target.
        """
        for flow in self.by_key.values():
            self._done(flow)

    def forget_numbers(self) -> None:
        """Clear what clients have sent, which wasn't tracked for a while.

        Otherwise a request would seem to lack its first packet and would wait for a
        client that has nothing to repeat.
        """
        for flow in self.by_key.values():
            flow.received_until = None

    def _done(self, flow: Flow) -> None:
        if flow.working:
            flow.working = False
            self.working -= 1

    def answered(self, now: float, flow: Flow) -> float | None:
        """Note that the target answers; return the seconds since the request."""
        if flow.requested_at is None:
            return None
        took = now - flow.requested_at
        flow.requested_at = None
        flow.awaits_answer = False
        self._busy.add(now, -1)
        self._done(flow)
        return took

    def expire(self, now: float, idle: float, limit: int) -> int:
        """Remove ended flows among the next ``limit`` flows; return their number."""
        expired = 0
        for _ in range(limit):
            key = next(self._sweep, None)
            if key is None:
                self._sweep = iter(list(self.by_key))
                break
            flow = self.by_key.get(key)
            if flow is None:
                continue
            if flow.requested_at is not None and now - flow.requested_at > _stale(flow):
                self.answered(now, flow)
                # If its client continues it, it counts as work again.
                flow.received_until = None
            if now - flow.last_seen > _kept(flow, idle):
                self.drop(key)
                expired += 1
        return expired


def _stale(flow: Flow) -> float:
    return (
        UNUSED_OPENING_SECONDS if flow.state is FlowState.OFFERED else ABANDONED_SECONDS
    )


def _kept(flow: Flow, idle: float) -> float:
    if flow.state is FlowState.CLOSED and flow.client_closed:
        return CLOSED_FLOW_SECONDS
    if flow.state is FlowState.OFFERED:
        return HALF_OPEN_SECONDS
    return idle + IDLE_SLACK_SECONDS
