"""Typed values of the packet service, and the ports that its cores use.

Flows of this service carry their own handshake: a target answers an opening
with a sequence number of its choice, and every later packet of the client
acknowledges numbers that follow it. So the packets themselves tell whether a
target can own a flow. All times are seconds of a monotonic clock.
"""

from __future__ import annotations

import enum
from typing import Any, Final, NamedTuple, Protocol

from .. import rendezvous

__all__ = [
    "Answer",
    "Heartbeat",
    "Codec",
    "Flag",
    "Links",
    "Log",
    "Packet",
    "Route",
    "Routes",
    "ServiceShare",
    "State",
    "Urgency",
    "route_key",
]

ROUTE_OFFSET = 6
"""Where a flow's key tells the service side: after the client's address (4
bytes) and port (2 bytes)."""


class Flag:
    """What a packet does to its flow.

    Plain numbers: each operation on members of an enumeration makes a new
    member, which took a fifth of the time that a packet costs.
    """

    OPENING: Final = 1
    ACKNOWLEDGES: Final = 2
    CLOSING: Final = 4
    RESET: Final = 8
    RETURNED: Final = 16
    """The target did not take it: full, or the flow isn't held there."""


class Answer:
    """How a target answers a request, as the beginning tells; plain numbers too."""

    UNREAD: Final = 0
    """The format doesn't tell."""

    DONE: Final = 1
    """Served, or refused by a mistake of the client's own."""

    FAILED: Final = 2
    REJECTED: Final = 3
    """The target has not run it, and says so."""


class Packet(NamedTuple):
    """One packet, with what decisions need of its head.

    ``flow`` is the same in both directions: the client's address and port,
    then the service's, 12 bytes in network order.
    """

    flow: bytes
    flags: int
    sequence: int
    acknowledged: int
    length: int
    raw: bytes

    @property
    def is_opening(self) -> bool:
        """Whether a client sends it to open the flow."""
        return bool(self.flags & Flag.OPENING) and not self.flags & Flag.ACKNOWLEDGES

    @property
    def is_bare(self) -> bool:
        """Whether it does nothing but acknowledge.

        It isn't worth a search. Its target repeats what isn't acknowledged, its
        agent sees that, and the owner is known. What goes wrong with a search:
        it is the last packet for a while, only other targets get it, and the
        flow seems to have strayed.
        """
        changes = Flag.OPENING | Flag.CLOSING | Flag.RESET
        return not self.length and not self.flags & changes

    @property
    def is_resettable(self) -> bool:
        """Whether a reset may answer it if nobody owns its flow.

        Data and closings wait for an answer, and their client repeats them until
        its time is over. One that merely acknowledges may be the last of a flow
        that has ended well, and a reset is never answered.
        """
        return bool(self.length or self.flags & Flag.CLOSING) and not (
            self.flags & Flag.RESET
        )

    @property
    def kind(self) -> str:
        """The name of what it does, for lines of the log."""
        if self.flags & Flag.RESET:
            return "reset"
        if self.flags & Flag.CLOSING:
            return "closing"
        if self.is_opening:
            return "opening"
        return "data" if self.length else "bare"


class State(enum.IntEnum):
    """What an agent says of itself and its target."""

    STARTING = 0
    """Nothing is known of the target yet; taken only if nobody is ready."""

    READY = 1
    LEAVING = 2
    """Keeps its flows, takes no openings."""

    DOWN = 3
    """The target doesn't answer."""

    ANSWERING = 4
    """The target answers packets, but hasn't told of itself yet."""

    ENDED = 5
    """The target has ended, or there is none: it holds no flows any more."""


class Heartbeat(NamedTuple):
    """A heartbeat of a target.

    ``warming`` is for how many seconds it stays slow, ``born`` the millisecond
    of its start by its own clock, None if it doesn't tell.
    """

    target: str
    service: str
    slots: int
    leaving: bool
    warming: float
    number: int
    born: int | None = None


class ServiceShare(NamedTuple):
    """A service that a route leads to, and its share of new flows."""

    service: str
    weight: float


class Urgency(NamedTuple):
    """How the requests of a route compare while some must wait.

    ``priority`` 0 goes first; ``goal`` is in how many seconds callers want their
    answers, infinite if the route doesn't tell.
    """

    priority: int = 0
    goal: float = float("inf")


class Route(NamedTuple):
    """Where new flows to one address and port go."""

    name: str
    shares: tuple[ServiceShare, ...]
    urgency: Urgency = Urgency()

    @property
    def names(self) -> frozenset[str]:
        """The services that it leads to, also those that get no new flows."""
        return frozenset(share.service for share in self.shares)

    def opens_at(self, service: str) -> bool:
        """Tell whether a service gets new flows of this route."""
        if len(self.shares) == 1:
            return self.shares[0].service == service
        return any(s.service == service and s.weight > 0 for s in self.shares)

    def services(self, flow: bytes) -> list[str]:
        """Return the services of the route, the one for a new flow first.

        One that gets no new flows comes last: it may still hold some.
        """
        if len(self.shares) == 1:
            return [self.shares[0].service]
        first = self._pick(flow)
        others = sorted(self.shares, key=lambda share: -share.weight)
        return [first, *(s.service for s in others if s.service != first)]

    def _pick(self, flow: bytes) -> str:
        total = sum(share.weight for share in self.shares)
        point = rendezvous.fraction(flow) * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[0].service


class Routes(NamedTuple):
    """One version of the configuration, as far as packets need it.

    ``by_address`` is keyed by the last six bytes of a flow's key;
    ``document`` is the text it was read from, given to other daemons as it is.
    ``cold_rates`` are the requests a second that a cold target bears, by service;
    services that tell none aren't in it.
    """

    version: int
    by_address: dict[bytes, Route]
    idle_timeout: float
    document: bytes
    cold_rates: dict[str, float] = {}

    @classmethod
    def none(cls) -> Routes:
        """Return what is known before the first configuration."""
        return cls(0, {}, 60.0, b"")


def route_key(flow: bytes) -> bytes:
    """Return the service side of a flow's key."""
    return flow[ROUTE_OFFSET:]


class Codec(Protocol):
    """The packet format that clients and targets speak."""

    def from_client(self, raw: bytes) -> Packet | None:
        """Read a packet that a client sent; None if it isn't one."""

    def from_target(self, raw: bytes) -> Packet | None:
        """Read what a target sent: a packet of its own, or one returned."""

    def cleared(self, raw: bytes) -> bytes:
        """Return a returned packet as its client wrote it."""

    def reset(self, flow: bytes, acknowledged: int) -> bytes:
        """Return the reset of a flow whose client has acknowledged so far."""

    def request(self, raw: bytes) -> str:
        """Return the id of the request that a client's packet begins, or ""."""

    def answer(self, raw: bytes) -> int:
        """Return how a packet that begins an answer tells that it went."""


class Links(Protocol):
    """How the cores send; nothing of it may wait or raise."""

    def to_peer(self, address: str, data: bytes) -> None:
        """Send a datagram to the daemon at an IP address."""

    def to_client(self, flow: bytes, raw: bytes) -> None:
        """Send a packet to the client of a flow."""

    def to_target(self, raw: bytes) -> None:
        """Give a packet to this agent's target."""

    def lookup(self, service: str) -> None:
        """Ask the store for the agents of a service."""

    def fetch(self, address: str) -> None:
        """Ask the daemon at an IP address for its newer configuration."""


class Log(Protocol):
    """Where decisions are told, and counted by name."""

    def event(self, name: str, **fields: Any) -> None:
        """Write a line about one decision, if the budget allows."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a time to a histogram."""
