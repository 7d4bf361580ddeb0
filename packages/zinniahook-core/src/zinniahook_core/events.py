"""Events: the inputs of a core, passed to ``handle(now, event)``.

Events and effects are plain named tuples without sockets, QUIC or tornado, so
that daemons, tests and external benchmarks can drive the same decisions.
"""

from __future__ import annotations

from typing import NamedTuple

from .codes import Code, Outcome
from .messages import PeerMessage
from .models import Address, Configuration, Load, Roster

__all__ = [
    "AgentEvent",
    "AnswerSeen",
    "CallerDatagram",
    "ConfigurationChanged",
    "DrainRequested",
    "EntryEvent",
    "FlowClosed",
    "FlowDatagram",
    "FlowOpening",
    "PeerDatagram",
    "RequestArrived",
    "RequestCancelled",
    "RequestFinished",
    "RosterChanged",
    "RosterWritten",
    "TargetReported",
    "Tick",
]


class Tick(NamedTuple):
    """Time has passed; sent at least ten times a second."""


class ConfigurationChanged(NamedTuple):
    """A configuration arrived from the store or from another process."""

    configuration: Configuration


class RosterChanged(NamedTuple):
    """A roster value arrived from the store or from another process."""

    roster: Roster


class CallerDatagram(NamedTuple):
    """At an entry: a datagram of a caller on a service address."""

    service: str
    caller: Address
    payload: bytes


class AnswerSeen(NamedTuple):
    """At an entry: an agent answered a caller, which hints at the flow's owner."""

    service: str
    caller: Address
    agent: Address


class FlowOpening(NamedTuple):
    """At an agent: a QUIC Initial for a connection this agent doesn't have.

    ``flow`` is the caller's first destination connection id. ``handed_by``
    is the peer that handed it over, or empty if it came from an entry.
    """

    service: str
    flow: bytes
    caller: Address
    handed_by: str = ""


class FlowDatagram(NamedTuple):
    """At an agent: a datagram of a plain UDP flow, received through ``entry``."""

    service: str
    caller: Address
    entry: Address
    payload: bytes
    hops: int = 0
    handed_by: str = ""


class FlowClosed(NamedTuple):
    """At an agent: a flow ended by close or idle timeout."""

    flow: bytes


class PeerDatagram(NamedTuple):
    """At an agent: an authenticated message from a peer of the same service."""

    sender: str
    message: PeerMessage


class RosterWritten(NamedTuple):
    """The answer to a ``WriteRoster`` effect.

    ``code`` is OK, CONFLICT (``roster`` is the stored value), STORE_DOWN
    (certainly not written) or STORE_ANSWER_LOST (read the roster to find out).
    """

    operation: str
    code: Code
    roster: Roster | None


class DrainRequested(NamedTuple):
    """Accept no new work and finish running work within ``seconds``."""

    seconds: float


class RequestArrived(NamedTuple):
    """At an agent: the header of a request is complete.

    ``key`` is the Idempotency-Key or empty. ``attempt`` is the caller's attempt
    number from 1, or 0 if it gave none. ``deadline`` is an absolute monotonic
    time. ``idempotent`` follows HTTP's definition of the method. ``relayed_by``
    is the peer agent that relayed the request, or empty.
    """

    request: int
    kind: str
    idempotent: bool
    key: bytes
    attempt: int
    deadline: float
    relayed_by: str = ""


class RequestFinished(NamedTuple):
    """At an agent: a request ended at the target or at the peer that ran it.

    ``answer`` is the encoded answer if it is small enough to store, else empty.
    ``started`` is false if the target certainly never received the request.
    """

    request: int
    outcome: Outcome
    started: bool
    answer: bytes = b""


class RequestCancelled(NamedTuple):
    """At an agent: the caller reset the stream or its connection ended."""

    request: int


class TargetReported(NamedTuple):
    """At an agent: a report from the target's own health and load endpoint.

    It may be late or wrong, so it only counts as evidence with an age.
    ``healthy`` is None if there was no answer, ``accepts`` is whether the
    target's port accepted a connection.
    """

    healthy: bool | None
    load: Load | None
    accepts: bool = False


EntryEvent = Tick | ConfigurationChanged | RosterChanged | CallerDatagram | AnswerSeen

AgentEvent = (
    Tick
    | ConfigurationChanged
    | RosterChanged
    | FlowOpening
    | FlowDatagram
    | FlowClosed
    | PeerDatagram
    | RosterWritten
    | DrainRequested
    | RequestArrived
    | RequestFinished
    | RequestCancelled
    | TargetReported
)
