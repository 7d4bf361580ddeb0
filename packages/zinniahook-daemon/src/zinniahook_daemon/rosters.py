"""The rosters that a daemon knows, packed until one is asked for."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import NamedTuple

from zinniahook_core.models import Roster
from zinniahook_wire import documents

__all__ = ["Rosters"]


class Packed(NamedTuple):
    """A roster as stored, compressed."""

    revision: int
    value: bytes


class Rosters:
    """The newest roster known of each service.

    An entry knows those of all services, tens of thousands of members, and
    routes to a few at a time: unpacked they would be most of its memory.
    """

    def __init__(self) -> None:
        self._packed_by_service: dict[str, Packed] = {}

    @property
    def revisions_by_service(self) -> Mapping[str, int]:
        """The store's revision of each roster."""
        return {
            service: packed.revision
            for service, packed in self._packed_by_service.items()
        }

    def put(self, roster: Roster, value: bytes = b"") -> bool:
        """Keep a roster if it is newer than the one known.

        Parameters
        ----------
        roster : Roster
            As decoded.
        value : bytes
            As stored; empty if it isn't at hand or was deleted.
        """
        known = self._packed_by_service.get(roster.service)
        if known is not None and known.revision >= roster.revision:
            return False
        if not value and roster.by_name:
            value = documents.roster_to_json(roster)
        packed = Packed(roster.revision, zlib.compress(value))
        self._packed_by_service[roster.service] = packed
        return True

    def revision(self, service: str) -> int:
        """Return the revision known of a roster, 0 if none."""
        packed = self._packed_by_service.get(service)
        return packed.revision if packed else 0

    def value(self, service: str) -> bytes:
        """Return a roster as stored; empty if it was deleted.

        Raises
        ------
        KeyError
            If none is known.
        """
        return zlib.decompress(self._packed_by_service[service].value)

    def get(self, service: str) -> Roster | None:
        """Return a roster; None if none is known."""
        packed = self._packed_by_service.get(service)
        if packed is None:
            return None
        value = zlib.decompress(packed.value)
        if not value:
            return Roster(service, packed.revision, {})
        return documents.roster_from_json(service, packed.revision, value)
