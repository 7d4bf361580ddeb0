"""Effects: named tuples that instruct the driver of a core."""

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
    """At an entry: send the caller's datagram to an agent through the tunnel."""

    agent: Address


class Drop(NamedTuple):
    """Drop the datagram or opening of the event and count it under ``code``."""

    code: Code


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    amount: int = 1


class Log(NamedTuple):
    """Log a change of state in one line; the driver sorts ``fields``."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


class SendPeer(NamedTuple):
    """Send a message to the named peer agent; it may get lost."""

    peer: str
    message: PeerMessage


class AcceptFlow(NamedTuple):
    """Accept a new flow as its owner: create its connection or socket."""

    flow: bytes


class HandOver(NamedTuple):
    """Pass a QUIC opening's datagram to ``peer``, marked as handed over."""

    flow: bytes
    peer: str


class Deliver(NamedTuple):
    """Deliver a plain UDP payload to this agent's target."""

    flow: bytes
    caller: Address
    entry: Address
    payload: bytes


class ForwardDatagram(NamedTuple):
    """Forward a plain UDP payload to ``peer`` with a hop count.

    If ``handed`` is true, the peer owns the flow from now on.
    """

    peer: str
    caller: Address
    entry: Address
    payload: bytes
    hops: int
    handed: bool = False


class EndFlow(NamedTuple):
    """Release the resources that the driver holds for a flow."""

    flow: bytes


class WriteRoster(NamedTuple):
    """Compare-and-swap a roster value; answer with ``RosterWritten``.

    ``roster.revision`` is the revision to replace; 0 means that no value may
    exist.
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
    """Relay the request to ``peer`` and stream its answer back."""

    request: int
    peer: str


class JoinRequest(NamedTuple):
    """Send ``request`` a full copy of the answer of ``running``."""

    request: int
    running: int


class Replay(NamedTuple):
    """Answer the request with a stored answer."""

    request: int
    answer: bytes


class FinishRequest(NamedTuple):
    """Answer the request with ``outcome``, at once."""

    request: int
    outcome: Outcome


class CancelRequest(NamedTuple):
    """Cancel the request at the target or at the peer it was relayed to."""

    request: int


class Restart(NamedTuple):
    """Drop every connection and all queued input: the core fenced itself.

    ``incarnation`` is the next incarnation. No event queued before this effect
    may reach the core.
    """

    incarnation: int


class Drained(NamedTuple):
    """Stop the process: the drain is over and no work is in progress."""

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
