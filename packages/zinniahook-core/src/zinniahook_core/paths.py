"""The entry through which an agent answers each flow.

A device between an entry and the caller may lose track of a flow, or the entry's
outbound path may fail while its inbound path still works. Answers are then never
acknowledged while other flows continue. A new datagram of the caller doesn't help,
since it may arrive through the same entry. An entry that was given up for a flow is
therefore avoided for a while.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from .models import Address

__all__ = ["Paths"]

RECENT_SECONDS = 10.0
"""How recently an entry must have been heard to switch a flow to it."""
GIVEN_UP_SECONDS = 30.0
GIVEN_UP_LIMIT = 8
ENTRIES_LIMIT = 1024
FLOWS_LIMIT = 16384


@dataclass(slots=True)
class Path:
    """The entry in use for a flow, and until when other entries are avoided."""

    entry: Address
    given_up_until: dict[Address, float] = field(default_factory=dict)


class Paths:
    """The entries that one agent hears, and the entry in use for each flow.

    Memory is limited to 1,024 entries and 16,384 flows. The least recently used are
    evicted first. A forgotten flow is answered through the next entry heard.

    Parameters
    ----------
    rng : random.Random
        Chooses the entry that a flow switches to, so that the flows of a
        failing entry spread over all others.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._heard_by_entry: OrderedDict[Address, float] = OrderedDict()
        self._paths_by_flow: OrderedDict[bytes, Path] = OrderedDict()

    def __len__(self) -> int:
        return len(self._paths_by_flow)

    def heard(self, now: float, entry: Address, flow: bytes = b"") -> None:
        """Record an authenticated datagram that arrived through ``entry``.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        entry : Address
            The tunnel address of the entry.
        flow : bytes
            The flow of the datagram, or empty if it belongs to none.
        """
        _put(self._heard_by_entry, entry, now, ENTRIES_LIMIT)
        if not flow:
            return
        path = self._paths_by_flow.get(flow)
        if path is None:
            path = Path(entry)
        elif path.given_up_until.get(entry, now) <= now:
            path.entry = entry
        _put(self._paths_by_flow, flow, path, FLOWS_LIMIT)

    def for_flow(self, now: float, flow: bytes) -> Address | None:
        """Return the entry to answer through, or None if none was ever heard."""
        path = self._paths_by_flow.get(flow)
        if path is not None:
            return path.entry
        return next(reversed(self._heard_by_entry), None)

    def switch_entry(self, now: float, flow: bytes) -> Address | None:
        """Switch a flow whose answers aren't acknowledged to another entry.

        Returns
        -------
        Address or None
            The entry to use from now on. It stays the same if no other entry was
            heard recently.
        """
        current = self.for_flow(now, flow)
        if current is None:
            return None
        path = self._paths_by_flow.get(flow) or Path(current)
        path.given_up_until[current] = now + GIVEN_UP_SECONDS
        while len(path.given_up_until) > GIVEN_UP_LIMIT:
            del path.given_up_until[next(iter(path.given_up_until))]
        path.entry = self._choose_other(now, path)
        _put(self._paths_by_flow, flow, path, FLOWS_LIMIT)
        return path.entry

    def forget(self, flow: bytes) -> None:
        """Forget a flow that ended."""
        self._paths_by_flow.pop(flow, None)

    def _choose_other(self, now: float, path: Path) -> Address:
        recent = [
            entry
            for entry, at in self._heard_by_entry.items()
            if now - at <= RECENT_SECONDS and entry != path.entry
        ]
        if not recent:
            return path.entry
        given_up = path.given_up_until
        fresh = [entry for entry in recent if given_up.get(entry, now) <= now]
        if fresh:
            return self._rng.choice(fresh)
        # All entries were tried. The one given up longest ago may work again.
        return min(recent, key=given_up.__getitem__)


def _put(table: OrderedDict, key: object, value: object, limit: int) -> None:
    table[key] = value
    table.move_to_end(key)
    if len(table) > limit:
        table.popitem(last=False)
