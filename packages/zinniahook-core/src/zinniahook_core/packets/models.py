"""Typed values of the packet service, and the interfaces that its cores use.

Flows of this service have their own handshake: a target answers an opening with a
sequence number of its choice, and every later packet of the client acknowledges numbers
that follow it. So the packets themselves show whether a target can own a flow. All
times are seconds of a monotonic clock.
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
"""Where the service side begins in a flow's key: after the client's address (4 bytes)
and port (2 bytes)."""


class Flag:
    """The effects of a packet on its flow, as bits.

    They are plain integers: each operation on members of an enumeration creates a new
    member, which took a fifth of the time that a packet costs.
    """

    OPENING: Final = 1
    ACKNOWLEDGES: Final = 2
    CLOSING: Final = 4
    RESET: Final = 8
    RETURNED: Final = 16
    """The target didn't accept the packet: it is full or doesn't hold the flow."""


class Answer:
    """The outcome that the beginning of an answer shows; plain integers as well."""

    UNREAD: Final = 0
    """The packet format doesn't show it."""

    DONE: Final = 1
    """Served, or refused because of a mistake of the client."""

    FAILED: Final = 2
    REJECTED: Final = 3
    """The target reports that it hasn't run the request."""


class Packet(NamedTuple):
    """One packet, with the parts of its head that decisions need.

    ``flow`` is the same in both directions: the client's address and port, then the
    service's, 12 bytes in network order.
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

        Such a packet isn't searched for. Its target repeats what isn't acknowledged,
        its agent sees that, and the owner becomes known. With a search, if it were the
        last packet for a while, only other targets would get it, and the flow would
        seem misrouted.
        """
        changes = Flag.OPENING | Flag.CLOSING | Flag.RESET
        return not self.length and not self.flags & changes

    @property
    def is_resettable(self) -> bool:
        """Whether a reset may answer it if its flow has no owner.

        Data and closings need an answer, as their client repeats them until it times
        out. A bare acknowledgement may be the last packet of a flow that ended
        normally, and a reset is never answered.
        """
        return bool(self.length or self.flags & Flag.CLOSING) and not (
            self.flags & Flag.RESET
        )

    @property
    def kind(self) -> str:
        """The name of its effect, for log lines."""
        if self.flags & Flag.RESET:
            return "reset"
        if self.flags & Flag.CLOSING:
            return "closing"
        if self.is_opening:
            return "opening"
        return "data" if self.length else "bare"


class State(enum.IntEnum):
    """The state of an agent and its target, as the agent reports it."""

    STARTING = 0
    """Nothing is known of the target yet; used only if no agent is ready."""

    READY = 1
    LEAVING = 2
    """It keeps its flows and accepts no openings."""

    DOWN = 3
    """The target doesn't answer."""

    ANSWERING = 4
    """The target answers packets but hasn't sent a heartbeat yet."""

    ENDED = 5
    """The target has ended, or there is none: it holds no flows any more."""


class Heartbeat(NamedTuple):
    """A heartbeat of a target.

    ``warming`` is for how many seconds it stays slow. ``born`` is its start in
    milliseconds of its own clock, None if it isn't reported. ``age`` is the seconds
    since then by the clock of the agent's instance, None if unknown.
    """

    target: str
    service: str
    slots: int
    leaving: bool
    warming: float
    number: int
    born: int | None = None
    age: float | None = None


class ServiceShare(NamedTuple):
    """A service that a route leads to, and its share of new flows."""

    service: str
    weight: float


class Urgency(NamedTuple):
    """The rank of a route's requests while some of them must wait.

    ``priority`` 0 goes first. ``goal`` is the number of seconds within which callers
    want their answers, infinite if the route has none.
    """

    priority: int = 0
    goal: float = float("inf")


class Route(NamedTuple):
    """The services that flows to one address and port go to."""

    name: str
    shares: tuple[ServiceShare, ...]
    urgency: Urgency = Urgency()

    @property
    def names(self) -> frozenset[str]:
        """The services of the route, including those that get no new flows."""
        return frozenset(share.service for share in self.shares)

    def opens_at(self, service: str) -> bool:
        """Return whether a service gets new flows of this route."""
        if len(self.shares) == 1:
            return self.shares[0].service == service
        return any(s.service == service and s.weight > 0 for s in self.shares)

    def services(self, flow: bytes) -> list[str]:
        """Return the services of the route, the one for a new flow first.

        Services that get no new flows come last; they may still hold some.
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

    ``by_address`` is keyed by the last six bytes of a flow's key. ``document`` is the
    text that the version was read from, passed unchanged to other daemons.
    ``cold_rates`` are the requests per second that a cold target can serve, by service;
    services without one are absent.
    """

    version: int
    by_address: dict[bytes, Route]
    idle_timeout: float
    document: bytes
    cold_rates: dict[str, float] = {}

    @classmethod
    def none(cls) -> Routes:
        """Return the state before the first configuration."""
        return cls(0, {}, 60.0, b"")

    def names_service(self, service: str) -> bool:
        """Return whether any route leads to a service."""
        return any(service in route.names for route in self.by_address.values())


def route_key(flow: bytes) -> bytes:
    """Return the service side of a flow's key."""
    return flow[ROUTE_OFFSET:]


class Codec(Protocol):
    """The packet format of clients and targets."""

    def from_client(self, raw: bytes) -> Packet | None:
        """Decode a packet from a client; return None if it is malformed."""

    def from_target(self, raw: bytes) -> Packet | None:
        """Decode a packet from a target: its own, or one that it returned."""

    def cleared(self, raw: bytes) -> bytes:
        """Return a returned packet as its client sent it."""

    def reset(self, flow: bytes, acknowledged: int) -> bytes:
        """Return the reset for a client that has acknowledged so far."""

    def request(self, raw: bytes) -> str:
        """Return the id of the request that a client's packet begins, or ""."""

    def answer(self, raw: bytes) -> int:
        """Return the outcome shown by a packet that begins an answer."""


class Links(Protocol):
    """Sends datagrams and packets for the cores; it must not block or raise."""

    def to_peer(self, address: str, data: bytes) -> None:
        """Send a datagram to the daemon at an IP address."""

    def to_client(self, flow: bytes, raw: bytes) -> None:
        """Send a packet to the client of a flow."""

    def to_target(self, raw: bytes) -> None:
        """Pass a packet to this agent's target."""

    def lookup(self, service: str) -> None:
        """Ask the store for the agents of a service."""

    def fetch(self, address: str) -> None:
        """Ask the daemon at an IP address for its newer configuration."""


class Log(Protocol):
    """Records decisions and counts them by name."""

    def event(self, name: str, **fields: Any) -> None:
        """Write a line about one decision, if the log budget allows."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a time to a histogram."""
