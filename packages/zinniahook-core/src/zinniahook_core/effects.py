"""What a core asks its driver to do, as plain named tuples."""

from __future__ import annotations

from typing import NamedTuple

from .codes import Code, Outcome
from .messages import PeerMessage
from .models import Address, AgentState, Roster

__all__ = [
    "AcceptFlow",
    "AgentEffect",
    "CancelRequest",
    "Count",
    "Deliver",
    "Drained",
    "Drop",
    "EndFlow",
    "EntryEffect",
    "FinishRequest",
    "ForwardDatagram",
    "HandOver",
    "JoinRequest",
    "Log",
    "ReadRoster",
    "Relay",
    "Replay",
    "Restart",
    "Run",
    "SendPeer",
    "ToAgent",
    "WriteRoster",
]


class ToAgent(NamedTuple):
    """At an entry: send the caller's datagram through the tunnel."""

    agent: Address


class Drop(NamedTuple):
    """Drop what the event carried and count it under ``code``."""

    code: Code


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    amount: int = 1


class Log(NamedTuple):
    """One line on a change of state; ``fields`` are sorted by the driver."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


class SendPeer(NamedTuple):
    """Send a message to the named peer agent; it may get lost."""

    peer: str
    message: PeerMessage


class AcceptFlow(NamedTuple):
    """Own the new flow: create its connection or socket."""

    flow: bytes


class HandOver(NamedTuple):
    """Pass a QUIC opening's datagram to ``peer``, marked as handed over."""

    flow: bytes
    peer: str


class Deliver(NamedTuple):
    """Give a plain UDP payload to this agent's target."""

    flow: bytes
    caller: Address
    entry: Address
    payload: bytes


class ForwardDatagram(NamedTuple):
    """Pass a plain UDP payload on to ``peer`` with a hop count.

    ``handed`` tells the peer that it owns the flow from now on.
    """

    peer: str
    caller: Address
    entry: Address
    payload: bytes
    hops: int
    handed: bool = False


class EndFlow(NamedTuple):
    """Release what the driver holds for a flow."""

    flow: bytes


class WriteRoster(NamedTuple):
    """Compare-and-swap a roster value; answer with ``RosterWritten``.

    ``roster.revision`` is the revision it replaces (0: it must not exist).
    """

    operation: str
    roster: Roster


class ReadRoster(NamedTuple):
    """Read a roster from the store; answer with ``RosterChanged``."""

    service: str


class Run(NamedTuple):
    """Start the request at this agent's target now."""

    request: int


class Relay(NamedTuple):
    """Pass the request to ``peer`` and stream its answer back."""

    request: int
    peer: str


class JoinRequest(NamedTuple):
    """Give ``request`` a whole copy of the answer of ``running``."""

    request: int
    running: int


class Replay(NamedTuple):
    """Answer the request with the kept answer."""

    request: int
    answer: bytes


class FinishRequest(NamedTuple):
    """Answer the request with ``outcome``, at once."""

    request: int
    outcome: Outcome


class CancelRequest(NamedTuple):
    """Cancel the request at the target or the relaying peer."""

    request: int


class Restart(NamedTuple):
    """The core fenced itself: drop every connection and queued input.

    The next incarnation is ``incarnation``; nothing queued from before may
    be fed to the core.
    """

    incarnation: int


class Drained(NamedTuple):
    """Nothing is in progress any more; the process may stop."""

    state: AgentState


EntryEffect = ToAgent | Drop | Count | Log

AgentEffect = (
    Drop
    | Count
    | Log
    | SendPeer
    | AcceptFlow
    | HandOver
    | Deliver
    | ForwardDatagram
    | EndFlow
    | WriteRoster
    | ReadRoster
    | Run
    | Relay
    | JoinRequest
    | Replay
    | FinishRequest
    | CancelRequest
    | Restart
    | Drained
)
