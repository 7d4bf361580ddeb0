"""Data types shared by all parts of zinniahook.

All times are seconds of a monotonic clock unless a name says otherwise, all
sizes are in bytes, and all shares are fractions from 0 to 1.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "Address",
    "AgentState",
    "Configuration",
    "Key",
    "Load",
    "Member",
    "Protocol",
    "RequestClass",
    "Roster",
    "Service",
]


class Address(NamedTuple):
    """An IP address in text form and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port`` or ``[host]:port``.

        Raises
        ------
        ValueError
            If the port is missing or is not a number from 0 to 65535.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise ValueError(f"{text!r} must have the form 'host:port'")
        number = int(port)
        if number > 0xFFFF:
            raise ValueError(f"the port of {text!r} must be from 0 to 65535")
        return cls(host.strip("[]"), number)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Protocol(enum.StrEnum):
    """The protocol between callers and a service."""

    QUIC = "quic"
    UDP = "udp"


class AgentState(enum.IntEnum):
    """The state that an agent announces; DOWN is announced by its peers."""

    STARTING = 1
    READY = 2
    LEAVING = 3
    DOWN = 4


class Member(NamedTuple):
    """One agent in the roster of a service.

    ``incarnation`` grows with every start and after every pause that is longer
    than the fence. Messages of an older incarnation are ignored.
    """

    name: str
    tunnel: Address
    control: Address
    target: Address
    data_centre: str
    incarnation: int
    state: AgentState
    slots: int


class Roster(NamedTuple):
    """The agents of one service as stored, with the store's ``revision``."""

    service: str
    revision: int
    by_name: Mapping[str, Member]


class RequestClass(NamedTuple):
    """Requests of a service that share limits.

    ``slots`` is the number of the target's slots that one request holds: 0 for
    long-lived streams, whose number ``limit`` bounds instead. ``share`` is the
    fraction of the slots that other classes may only borrow for a short time.
    """

    name: str
    prefix: str
    slots: int = 1
    share: float = 0.0
    limit: int = 4096
    queue: int = 16
    deadline: float = 10.0


class Service(NamedTuple):
    """The settings of one service.

    ``number`` is the service id on the wire (1 to 65535) and never reused.
    ``drain`` is the time in seconds that a leaving agent has to finish its work.
    The default is a day: the feed of a caller that ignores GOAWAY may last that
    long. A UDP flow ends after ``idle`` seconds without a packet. ``targets``
    are the name patterns of the members that may serve it.
    """

    name: str
    number: int
    address: Address
    protocol: Protocol = Protocol.QUIC
    classes_by_name: Mapping[str, RequestClass] = {}
    drain: float = 86400.0
    idle: float = 120.0
    targets: tuple[str, ...] = ("*",)
    data_centres: tuple[str, ...] = ()


class Key(NamedTuple):
    """A secret and its key id, which is sent before the protected data.

    The secret has 32 bytes. The ``repr`` leaves it out, so that no log line
    contains it.
    """

    number: int
    secret: bytes

    def __repr__(self) -> str:
        return f"Key(number={self.number})"


class Configuration(NamedTuple):
    """One generation of the whole configuration.

    ``flow_keys_by_number`` encrypt connection ids and ``tunnel_keys_by_number``
    authenticate tunnel datagrams. ``flow_key`` and ``tunnel_key`` are the
    numbers of the keys used for new ones. All other keys are only accepted.
    """

    generation: int
    services_by_name: Mapping[str, Service]
    flow_keys_by_number: Mapping[int, Key]
    tunnel_keys_by_number: Mapping[int, Key]
    flow_key: int
    tunnel_key: int


class Load(NamedTuple):
    """The load of a target as counted by its agent."""

    slots: int
    busy: int
    queued: int
    flows: int
    streams: int
    cold: float = 0.0
    """1 just after the target's start, 0 once it is warm."""
