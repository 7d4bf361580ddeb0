"""Datagrams between daemons of the packet service.

Every datagram starts with the same head, which also shows the version and the freshness
of its sender's configuration: a daemon that hears from any other is never far behind.
Control bodies are JSON or fixed records.
"""

from __future__ import annotations

import enum
import functools
import json
import math
import struct
import zlib
from typing import Any, Final, NamedTuple

from .models import State
from .sections import decode_sections, encode_sections

__all__ = [
    "FLOW_SIZE",
    "VERSION_LIMIT",
    "Head",
    "Kind",
    "Mark",
    "Reason",
    "Status",
    "HelloRequest",
    "encode_rosters",
    "decode",
    "decode_rosters",
    "decode_ended",
    "decode_owner",
    "decode_relay",
    "decode_status",
    "Ended",
    "encode",
    "encode_status",
    "encode_ended",
    "encode_owner",
    "encode_relay",
    "is_address",
    "tag",
    "zone_tag",
]

HEAD = struct.Struct("!BBBBIHHI4s4sQI")
WIDE_HEAD = struct.Struct("!BBBBQHHI4s4sQI")
"""The head with a version of 8 bytes. It is sent only for versions that need it, so
that daemons of an older release understand all other datagrams."""

STATUS = struct.Struct("!QBHHHBH")
ENDED = struct.Struct("!12sI")
FLOW_SIZE = 12
ADDRESS_SIZE = 4
ADDRESS_PART_DIGITS = 3
AGE_UNIT = 0.01
"""Seconds per unit of an age in a datagram; two bytes reach 655 s."""

BYTE_MAX = 0xFF
SHORT_MAX = 0xFFFF
BUSY_UNITS = 100
WARMING_UNITS = 10
TIME_UNITS = 1000
"""Units per request and units per second of the numbers in a status."""

STATES = {int(state): state for state in State}
NO_ADDRESS = "0.0.0.0"
AGE_UNKNOWN = 0xFFFF
ADDRESSES_CACHED = 65536
"""IP addresses cached in both forms; a daemon has fewer peers than that."""

MAGIC = 0x50
WIDE_MAGIC = 0x60
"""Upper half of the first byte, which foreign datagrams rarely have."""

HEADS_BY_MAGIC = {MAGIC: HEAD, WIDE_MAGIC: WIDE_HEAD}
NARROW_VERSION_LIMIT = 1 << 32
VERSION_LIMIT = 1 << 63
"""Readers in other languages decode 8 bytes as a signed number."""


class Kind(enum.IntEnum):
    """The kind of a datagram."""

    FORWARD = 1
    """A client's packet on its way to the agent that owns or opens its flow."""

    RETURN = 2
    """A client's packet back to its sender; ``reason`` says why."""

    STATUS = 3
    """The state of an agent; needs no answer."""

    HELLO = 4
    """Shows the sender's versions; ``reason`` is a `HelloRequest`."""

    OWNER = 5
    """Notifies an entry or a home of the agent that owns flows."""

    DENIAL = 6
    """The sender was asked about flows and certainly doesn't own them."""

    ROSTER = 7
    """Lists agents, by service."""

    RELAY = 8
    """A client's packet for an agent that its sender can't reach itself."""

    EVACUATIONS = 9
    """Lists the evacuated data centres."""

    ENDED = 10
    """Notifies a home of flows that ended together with the sender's target."""


KINDS = {int(kind): kind for kind in Kind}


class Mark:
    """How a forwarded packet was sent; bits as in `Flag`."""

    NONE: Final = 0
    PLACED: Final = 1
    """The home chose this agent to open the flow."""

    SEARCH: Final = 2
    """The home searches; an agent that doesn't own the flow must deny it."""

    POINTED: Final = 4
    """A home has a pointer to this agent as the owner."""

    HINTED: Final = 8
    """The entry already has this agent as the owner."""

    SHARED: Final = 16
    """Several services may own the flow, so no home may conclude that it has no owner.
    """

    KNOWN: Final = 32
    """Only for a home with a pointer to the owner; others begin no search."""

    UNSURE: Final = 64
    """The returned packet's flow may still have an owner in the service."""


class Reason(enum.IntEnum):
    """Why a packet is returned."""

    NONE = 0
    FULL = 1
    LEAVING = 2
    SILENT = 3
    WRONG_SERVICE = 4
    STALE = 5
    UNOWNED = 6
    """No agent of the service is known to own the flow."""

    EVACUATED = 7
    """The agent's data centre is evacuated."""


class HelloRequest(enum.IntEnum):
    """What a hello asks for; sent in place of a reason."""

    STATUS = 0
    MEMBERS = 1
    """The status, and the roster."""

    NOTHING = 2
    """Nothing: it only shows its sender's versions."""

    EVACUATIONS = 3
    """The evacuated data centres."""


class Head(NamedTuple):
    """The fixed part of every datagram.

    ``entry`` is the address of the entry that the client's packet came to, ``zone`` the
    tag of that entry's data centre, and ``service`` the tag of the service that the
    packet is for. ``age`` is how many seconds ago ``watcher`` confirmed ``version`` as
    the newest, None if never. ``evacuated_at`` and ``evacuated`` are the stamp of the
    sender's set of evacuated data centres; see `evacuations`. The first is a position
    in the store's history, and so also shows the store's era to daemons that don't read
    the store.
    """

    kind: Kind
    marks: int = 0
    hops: int = 0
    reason: int = 0
    version: int = 0
    age: float | None = None
    zone: int = 0
    service: int = 0
    entry: str = NO_ADDRESS
    watcher: str = NO_ADDRESS
    evacuated_at: int = 0
    evacuated: int = 0


@functools.lru_cache(maxsize=ADDRESSES_CACHED)
def _pack_address(address: str) -> bytes:
    return bytes(map(int, address.split(".")))


@functools.lru_cache(maxsize=ADDRESSES_CACHED)
def _unpack_address(packed: bytes) -> str:
    return ".".join(map(str, packed))


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address in the only form used in datagrams."""
    parts = text.split(".")
    return len(parts) == ADDRESS_SIZE and all(
        part.isascii()
        and part.isdigit()
        and len(part) <= ADDRESS_PART_DIGITS
        and str(int(part)) == part
        and int(part) <= BYTE_MAX
        for part in parts
    )


@functools.lru_cache(maxsize=ADDRESSES_CACHED)
def tag(name: str) -> int:
    """Return a short tag of a service's name, the same in every daemon."""
    return zlib.crc32(name.encode())


def zone_tag(name: str) -> int:
    """Return an even shorter tag of a data centre's name; there are few of them."""
    return zlib.crc32(name.encode()) & 0xFFFF


def encode(head: Head, body: bytes = b"") -> bytes:
    """Return a datagram."""
    units = AGE_UNKNOWN
    if head.age is not None:
        # Rounded up, plus one unit for the transfer. A rounded-down age would
        # become younger with each daemon that passes it on, and a version that
        # was not confirmed for seconds would seem fresh everywhere.
        units = min(AGE_UNKNOWN - 1, math.ceil(max(0.0, head.age) / AGE_UNIT) + 1)
    is_wide = head.version >= NARROW_VERSION_LIMIT
    packed = (WIDE_HEAD if is_wide else HEAD).pack(
        (WIDE_MAGIC if is_wide else MAGIC) | head.kind,
        head.marks,
        head.hops,
        head.reason,
        head.version,
        units,
        head.zone,
        head.service,
        _pack_address(head.entry),
        _pack_address(head.watcher),
        head.evacuated_at,
        head.evacuated,
    )
    return packed + body


def decode(data: bytes) -> tuple[Head, bytes] | None:
    """Return the head and the body of a datagram, or None if it is malformed."""
    layout = HEADS_BY_MAGIC.get(data[0] & 0xF0) if data else None
    if layout is None or len(data) < layout.size:
        return None
    (
        first,
        marks,
        hops,
        reason,
        version,
        units,
        zone,
        service,
        entry,
        watcher,
        evacuated_at,
        evacuated,
    ) = layout.unpack_from(data)
    kind = first & 0x0F
    if kind not in KINDS:
        return None
    age = None if units == AGE_UNKNOWN else units * AGE_UNIT
    head = Head(
        KINDS[kind],
        marks,
        hops,
        reason,
        version,
        age,
        zone,
        service,
        _unpack_address(entry),
        _unpack_address(watcher),
        evacuated_at,
        evacuated,
    )
    return head, data[layout.size :]


class Status(NamedTuple):
    """The state of an agent; see `Member` for the fields."""

    incarnation: int
    state: State
    slots: int
    busy: float
    flows: int
    warming: float
    answer_time: float
    sections: dict[int, bytes] = {}


def encode_status(status: Status) -> bytes:
    """Return the body of a status: 18 bytes, sent several times a second.

    The sections of features that are on follow it.
    """
    return STATUS.pack(
        status.incarnation,
        status.state,
        min(SHORT_MAX, status.slots),
        min(SHORT_MAX, round(status.busy * BUSY_UNITS)),
        min(SHORT_MAX, status.flows),
        min(BYTE_MAX, math.ceil(status.warming * WARMING_UNITS)),
        min(SHORT_MAX, round(status.answer_time * TIME_UNITS)),
    ) + encode_sections(status.sections)


def decode_status(body: bytes) -> Status | None:
    """Decode the body of a status; return None if it is malformed."""
    if len(body) < STATUS.size:
        return None
    incarnation, state, slots, busy, flows, warming, time = STATUS.unpack_from(body)
    sections = decode_sections(body[STATUS.size :])
    if state not in STATES or sections is None:
        return None
    return Status(
        incarnation,
        STATES[state],
        slots,
        busy / BUSY_UNITS,
        flows,
        warming / WARMING_UNITS,
        time / TIME_UNITS,
        sections,
    )


def encode_rosters(fields: dict[str, Any]) -> bytes:
    """Return the body of a roster."""
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_rosters(body: bytes) -> dict[str, Any] | None:
    """Decode the body of a roster; return None if it is malformed."""
    try:
        fields = json.loads(body) if body else {}
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def encode_relay(address: str, raw: bytes) -> bytes:
    """Return the body that asks for a packet to be forwarded to an address."""
    return _pack_address(address) + raw


def decode_relay(body: bytes) -> tuple[str, bytes] | None:
    """Return the address and the packet, or None if the body is malformed."""
    if len(body) <= ADDRESS_SIZE:
        return None
    return _unpack_address(body[:ADDRESS_SIZE]), body[ADDRESS_SIZE:]


def encode_owner(address: str, flows: list[bytes]) -> bytes:
    """Return the body that names the owner of flows."""
    return _pack_address(address) + b"".join(flows)


def decode_owner(body: bytes) -> tuple[str, list[bytes]] | None:
    """Return the owner's address and the flows, or None if malformed."""
    if len(body) < ADDRESS_SIZE or (len(body) - ADDRESS_SIZE) % FLOW_SIZE:
        return None
    starts = range(ADDRESS_SIZE, len(body), FLOW_SIZE)
    return _unpack_address(body[:ADDRESS_SIZE]), [
        body[at : at + FLOW_SIZE] for at in starts
    ]


class Ended(NamedTuple):
    """A flow that has ended together with its target.

    ``acknowledged`` is what its client had acknowledged; it distinguishes the flow from
    a later one that uses the same port.
    """

    flow: bytes
    acknowledged: int


def encode_ended(flows: list[Ended]) -> bytes:
    """Return the body that lists flows that have ended."""
    return b"".join(ENDED.pack(*each) for each in flows)


def decode_ended(body: bytes) -> list[Ended] | None:
    """Return the flows that have ended, or None if the body is malformed."""
    if len(body) % ENDED.size:
        return None
    return [Ended(flow, number) for flow, number in ENDED.iter_unpack(body)]
