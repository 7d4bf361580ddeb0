"""JSON encoding of rosters and lists of daemons in the store."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

from zinniahook_core.codes import Code
from zinniahook_core.models import Address, AgentState, Member, Roster

from .compression import compress, decompress
from .values import (
    DIGEST_BYTES,
    MALFORMED_VALUE_ERRORS,
    OPERATIONS_KEPT,
    dump,
    invalid,
    load,
)

__all__ = [
    "DAEMONS_PREFIX",
    "ROSTER_PREFIX",
    "Daemon",
    "Rosters",
    "daemons_from_json",
    "daemons_key",
    "daemons_to_json",
    "revisions_digest",
    "roster_from_json",
    "roster_key",
    "roster_to_json",
]

ROSTER_PREFIX = "/zinniahook/roster/"
DAEMONS_PREFIX = "/zinniahook/daemons/"


class MemberValue(TypedDict):
    """A stored member of a roster."""

    tunnel: str
    control: str
    target: str
    data_centre: str
    incarnation: int
    state: int
    slots: int


class RosterValue(TypedDict):
    """The stored roster of a service."""

    members: dict[str, MemberValue]
    operations: list[str]


class Daemon(NamedTuple):
    """A daemon, as announced to operators and other daemons."""

    name: str
    role: str
    control: Address
    incarnation: int


def roster_key(service: str) -> str:
    """Return the store's key of the roster of a service."""
    return ROSTER_PREFIX + service


def daemons_key(data_centre: str) -> str:
    """Return the store's key of the daemons of a data centre."""
    return DAEMONS_PREFIX + data_centre


def roster_to_json(roster: Roster, operations: Iterable[str] = ()) -> bytes:
    """Encode a roster; ``operations`` are the ids of its writes, oldest first.

    Raises
    ------
    DocumentError
        ROSTER_TOO_LARGE, if the value would be too large.
    """
    value: RosterValue = {
        "members": {
            name: _member_value(member) for name, member in roster.by_name.items()
        },
        "operations": list(operations)[-OPERATIONS_KEPT:],
    }
    return dump(value, f"roster of {roster.service}", Code.ROSTER_TOO_LARGE)


def roster_from_json(service: str, revision: int, data: bytes) -> Roster:
    """Decode a roster that was stored at ``revision``.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data isn't a roster.
    """
    what = f"roster of {service}"
    value = load(data, what)
    try:
        members = {name: _member(name, item) for name, item in value["members"].items()}
    except MALFORMED_VALUE_ERRORS as error:
        raise invalid(what, error) from None
    return Roster(service, revision, members)


class CompressedRoster(NamedTuple):
    """A stored roster, compressed; ``value`` is empty if it was deleted."""

    revision: int
    value: bytes


class Rosters:
    """The latest known roster of each service, kept compressed.

    An entry has the rosters of all services, with tens of thousands of members, but
    routes to a few at a time. Decoded, they would take most of its memory.
    """

    def __init__(self) -> None:
        self._compressed_by_service: dict[str, CompressedRoster] = {}

    @property
    def revisions_by_service(self) -> Mapping[str, int]:
        """The store's revision of each roster."""
        return {
            service: packed.revision
            for service, packed in self._compressed_by_service.items()
        }

    def put(self, roster: Roster, value: bytes = b"", packed: bytes = b"") -> bool:
        """Store a roster if it is newer than the known one.

        Parameters
        ----------
        roster : Roster
            The decoded roster.
        value : bytes
            The stored value; empty if unavailable or deleted.
        packed : bytes
            The compressed value, if available.
        """
        known = self._compressed_by_service.get(roster.service)
        if known is not None and known.revision >= roster.revision:
            return False
        if not packed and not value and roster.by_name:
            value = roster_to_json(roster)
        if value and not packed:
            packed = compress(value)
        self._compressed_by_service[roster.service] = CompressedRoster(
            roster.revision, packed
        )
        return True

    def revision(self, service: str) -> int:
        """Return the revision of the known roster, or 0."""
        packed = self._compressed_by_service.get(service)
        return packed.revision if packed else 0

    def value(self, service: str) -> bytes:
        """Return the stored value of a roster; empty if it was deleted.

        Raises
        ------
        KeyError
            If the service is unknown.
        """
        packed = self.packed(service)
        return decompress(packed, f"roster of {service}") if packed else b""

    def packed(self, service: str) -> bytes:
        """Return the compressed value of a roster; empty if it was deleted.

        Raises
        ------
        KeyError
            If the service is unknown.
        """
        return self._compressed_by_service[service].value

    def get(self, service: str) -> Roster | None:
        """Return the decoded roster of a service, or None if unknown."""
        packed = self._compressed_by_service.get(service)
        if packed is None:
            return None
        value = self.value(service)
        if not value:
            return Roster(service, packed.revision, {})
        return roster_from_json(service, packed.revision, value)


def daemons_to_json(daemons: Iterable[Daemon], operations: Iterable[str]) -> bytes:
    """Encode the daemons of a data centre.

    Raises
    ------
    DocumentError
        ROSTER_TOO_LARGE, if the value would be too large.
    """
    value = {
        "daemons": {
            daemon.name: {
                "role": daemon.role,
                "control": str(daemon.control),
                "incarnation": daemon.incarnation,
            }
            for daemon in daemons
        },
        "operations": list(operations)[-OPERATIONS_KEPT:],
    }
    return dump(value, "list of daemons", Code.ROSTER_TOO_LARGE)


def daemons_from_json(data: bytes) -> dict[str, Daemon]:
    """Decode the daemons of a data centre, by name.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data isn't such a list.
    """
    value = load(data, "list of daemons")
    try:
        return {
            name: Daemon(
                name,
                str(item["role"]),
                Address.parse(item["control"]),
                int(item["incarnation"]),
            )
            for name, item in value["daemons"].items()
        }
    except MALFORMED_VALUE_ERRORS as error:
        raise invalid("list of daemons", error) from None


def revisions_digest(revisions_by_service: Mapping[str, int]) -> bytes:
    """Return a digest of roster revisions, to detect lost updates."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for service, revision in sorted(revisions_by_service.items()):
        digest.update(f"{service}\0{revision}\0".encode())
    return digest.digest()


def _member_value(member: Member) -> MemberValue:
    return {
        "tunnel": str(member.tunnel),
        "control": str(member.control),
        "target": str(member.target),
        "data_centre": member.data_centre,
        "incarnation": member.incarnation,
        "state": int(member.state),
        "slots": member.slots,
    }


def _member(name: str, value: MemberValue) -> Member:
    return Member(
        name,
        Address.parse(value["tunnel"]),
        Address.parse(value["control"]),
        Address.parse(value["target"]),
        str(value["data_centre"]),
        int(value["incarnation"]),
        AgentState(value["state"]),
        int(value["slots"]),
    )
