"""Verify the guarantees of a soak from the records of clients and targets alone.

A guarantee with a time limit holds only where no unplanned fault has occurred
lately: a daemon that was killed, paused or cut off may lack information for some
seconds. Planned operations are no exception to a guarantee.
"""

from __future__ import annotations

from typing import NamedTuple

from ..misrouting import misrouted_flows

__all__ = ["Verifier", "Disruption"]

RECOVERY_SECONDS = 4.0
"""Time after the end of a fault in which daemons may lack information."""

EVACUATION_SPREAD_SECONDS = 5.0
DRAIN_SPREAD_SECONDS = 3.0
"""Time until every daemon knows of an evacuation, or of a target that leaves."""


class Disruption(NamedTuple):
    """An unplanned fault of the daemon at an address, or of all if it is ""."""

    address: str
    begun: float
    ended: float


class Reset(NamedTuple):
    """A reset that a client received on an open flow, and its sender."""

    at: float
    flow: bytes
    sender: str
    holder: str


class Opening(NamedTuple):
    """An opening that a target accepted."""

    at: float
    flow: bytes
    address: str


class Exclusion(NamedTuple):
    """A period in which a target may get no new flow, and the reason."""

    address: str
    begun: float
    ended: float
    why: str


class Verifier:
    """The records of one soak."""

    def __init__(self) -> None:
        self.disruptions: list[Disruption] = []
        self.resets: list[Reset] = []
        self.openings: list[Opening] = []
        self.foreign: list[tuple[float, bytes, str]] = []
        self.owned: list[tuple[float, bytes]] = []
        self.exclusions: list[Exclusion] = []
        self.other_violations: list[str] = []

    def record_disruption(self, address: str, begun: float, ended: float) -> None:
        """Record an unplanned fault."""
        self.disruptions.append(Disruption(address, begun, ended))

    def record_reset(self, at: float, flow: bytes, sender: str, holder: str) -> None:
        """Record that a client got a reset although a target holds its flow."""
        self.resets.append(Reset(at, flow, sender, holder))

    def record_opening(self, at: float, flow: bytes, address: str) -> None:
        """Record that a target accepted an opening."""
        self.openings.append(Opening(at, flow, address))

    def record_leaving(self, address: str, begun: float, ended: float) -> None:
        """Record from when to when a target ran after announcing that it leaves."""
        known = begun + DRAIN_SPREAD_SECONDS
        self.exclusions.append(Exclusion(address, known, ended, "leaving target"))

    def record_evacuation(self, address: str, begun: float, ended: float) -> None:
        """Record from when to when a target's data centre was evacuated."""
        known = begun + EVACUATION_SPREAD_SECONDS
        self.exclusions.append(
            Exclusion(address, known, ended, "evacuated data centre")
        )

    def record_violation(self, what: str) -> None:
        """Record a violation that needs no further check."""
        self.other_violations.append(what)

    def is_undisrupted(self, at: float, *addresses: str) -> bool:
        """Return whether the daemons had no unplanned fault recently."""
        return not any(
            disruption.begun <= at <= disruption.ended + RECOVERY_SECONDS
            for disruption in self.disruptions
            if disruption.address in addresses or not disruption.address
        )

    def violations(self, now: float, holders_by_flow: dict[bytes, str]) -> list[str]:
        """Return every violated guarantee.

        ``holders_by_flow`` maps each flow that a running target holds to the
        target's address.
        """
        return [
            *self.other_violations,
            *self._resets(),
            *self._late_openings(),
            *self._misrouted_flows(now, holders_by_flow),
        ]

    def _resets(self) -> list[str]:
        return [
            f"reset of an open flow: {r.flow.hex()} at {r.at:.2f} by {r.sender}"
            for r in self.resets
            if self.is_undisrupted(r.at, r.sender, r.holder)
        ]

    def _late_openings(self) -> list[str]:
        return [
            f"opening at a {excluded.why}: {excluded.address} at {opening.at:.2f}"
            for opening in self.openings
            for excluded in self.exclusions
            if opening.address == excluded.address
            and excluded.begun <= opening.at < excluded.ended
            and self.is_undisrupted(opening.at, opening.address)
        ]

    def _misrouted_flows(
        self, now: float, holders_by_flow: dict[bytes, str]
    ) -> list[str]:
        foreign = [
            (at, flow)
            for at, flow, address in self.foreign
            if flow in holders_by_flow
            and self.is_undisrupted(at, address, holders_by_flow[flow])
        ]
        return misrouted_flows(now, set(holders_by_flow), foreign, self.owned)
