"""Which promises were broken, from what clients and targets saw alone.

A promise with a time holds only where nothing unplanned has happened lately: a
daemon that was killed, paused or cut off may know too little for some seconds.
Planned work is no excuse.
"""

from __future__ import annotations

from typing import NamedTuple

from ..misrouting import misrouted_flows

__all__ = ["Judge", "Touch"]

CALM_TIME = 4.0
"""Seconds after the end of a fault in which daemons may know too little."""

EVACUATED_AFTER = 5.0
DRAINED_AFTER = 3.0
"""Seconds in which an order, or a target that leaves, is known everywhere."""


class Touch(NamedTuple):
    """That something unplanned happened to a daemon, "" for all of them."""

    address: str
    begun: float
    ended: float


class Reset(NamedTuple):
    """A reset that a client got on an open flow, and where it came from."""

    at: float
    flow: bytes
    sender: str
    holder: str


class Opening(NamedTuple):
    """An opening that a target took."""

    at: float
    flow: bytes
    address: str


class Closed(NamedTuple):
    """That nothing new may come to a target from some moment on, and why."""

    address: str
    begun: float
    ended: float
    why: str


class Judge:
    """The records of one soak."""

    def __init__(self) -> None:
        self.touches: list[Touch] = []
        self.resets: list[Reset] = []
        self.openings: list[Opening] = []
        self.foreign: list[tuple[float, bytes, str]] = []
        self.owned: list[tuple[float, bytes]] = []
        self.closed: list[Closed] = []
        self.other_findings: list[str] = []

    def touched(self, address: str, begun: float, ended: float) -> None:
        """Note that something unplanned happened."""
        self.touches.append(Touch(address, begun, ended))

    def reset(self, at: float, flow: bytes, sender: str, holder: str) -> None:
        """Note that a client got a reset though a target holds its flow."""
        self.resets.append(Reset(at, flow, sender, holder))

    def opened(self, at: float, flow: bytes, address: str) -> None:
        """Note that a target took an opening."""
        self.openings.append(Opening(at, flow, address))

    def left(self, address: str, begun: float, ended: float) -> None:
        """Note for how long a target was there that had said that it leaves."""
        known = begun + DRAINED_AFTER
        self.closed.append(Closed(address, known, ended, "leaving target"))

    def evacuated(self, address: str, begun: float, ended: float) -> None:
        """Note for how long a target's data centre was evacuated."""
        known = begun + EVACUATED_AFTER
        self.closed.append(Closed(address, known, ended, "evacuated data centre"))

    def found(self, what: str) -> None:
        """Note a broken promise that needs no further judgement."""
        self.other_findings.append(what)

    def is_untouched(self, at: float, *addresses: str) -> bool:
        """Tell whether nothing unplanned happened to daemons of late."""
        return not any(
            touch.begun <= at <= touch.ended + CALM_TIME
            for touch in self.touches
            if touch.address in addresses or not touch.address
        )

    def findings(self, now: float, holders_by_flow: dict[bytes, str]) -> list[str]:
        """Return which promises were broken.

        ``holders_by_flow`` tells at which address a living target holds a flow.
        """
        return [
            *self.other_findings,
            *self._resets(),
            *self._late_openings(),
            *self._strays(now, holders_by_flow),
        ]

    def _resets(self) -> list[str]:
        return [
            f"reset of an open flow: {r.flow.hex()} at {r.at:.2f} by {r.sender}"
            for r in self.resets
            if self.is_untouched(r.at, r.sender, r.holder)
        ]

    def _late_openings(self) -> list[str]:
        return [
            f"opening at a {closed.why}: {closed.address} at {opening.at:.2f}"
            for opening in self.openings
            for closed in self.closed
            if opening.address == closed.address
            and closed.begun <= opening.at < closed.ended
            and self.is_untouched(opening.at, opening.address)
        ]

    def _strays(self, now: float, holders_by_flow: dict[bytes, str]) -> list[str]:
        foreign = [
            (at, flow)
            for at, flow, address in self.foreign
            if flow in holders_by_flow
            and self.is_untouched(at, address, holders_by_flow[flow])
        ]
        return misrouted_flows(now, set(holders_by_flow), foreign, self.owned)
