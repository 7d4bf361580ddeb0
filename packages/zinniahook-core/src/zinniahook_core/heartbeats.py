"""Timing and numbering of an agent's heartbeats."""

from __future__ import annotations

import random

__all__ = ["HEARTBEAT_INTERVAL_SECONDS", "HeartbeatSchedule", "interval_for"]

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Longest interval between heartbeats, used by large services."""

MIN_INTERVAL_SECONDS = 0.25
HEARTBEAT_BYTES = 126
"""Size of a heartbeat on the wire, including IP and UDP headers."""

HEARTBEAT_BYTES_PER_SECOND = 4000
"""Bandwidth limit for heartbeats at intervals shorter than the longest."""

JITTER = 0.2
URGENT_HEARTBEATS = 5
URGENT_INTERVAL_SECONDS = 0.2


def interval_for(peers: int) -> float:
    """Return the seconds between heartbeats for this many peers.

    Placement is better when the load reports of peers are fresher. Small services,
    which are the most common, therefore send as often as the bandwidth limit
    allows.
    """
    wanted = peers * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return min(HEARTBEAT_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, wanted))


class HeartbeatSchedule:
    """Schedules the heartbeats of one incarnation.

    Parameters
    ----------
    rng : random.Random
        Adds jitter, so that agents that started together don't stay in step.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sequence = 0
        self._due_at = 0.0
        self._urgent_left = 0

    def due(self, now: float, peers: int) -> int | None:
        """Return the sequence number of the heartbeat due now, or None."""
        if now < self._due_at:
            return None
        self._urgent_left = max(0, self._urgent_left - 1)
        interval = URGENT_INTERVAL_SECONDS if self._urgent_left else interval_for(peers)
        self._due_at = now + interval * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._sequence += 1
        return self._sequence

    def expedite(self, now: float) -> None:
        """Send several heartbeats in quick succession.

        If only one announced that the agent leaves, its loss would let new work
        continue to arrive.
        """
        self._urgent_left = URGENT_HEARTBEATS
        self._due_at = now

    def restart(self) -> None:
        """Restart the numbering for a new incarnation."""
        self._sequence = 0
