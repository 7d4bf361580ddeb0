"""When an agent's heartbeats are due, and how they are numbered."""

from __future__ import annotations

import random

__all__ = ["HEARTBEAT_INTERVAL_SECONDS", "HeartbeatSchedule", "interval_for"]

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Longest interval, in seconds; a service of many agents has this one."""

MIN_INTERVAL_SECONDS = 0.25
HEARTBEAT_BYTES = 126
"""Bytes of one heartbeat on the wire, headers of IP and UDP included."""

HEARTBEAT_BYTES_PER_SECOND = 4000
"""Bytes a second that heartbeats may take while that shortens the interval."""

JITTER = 0.2
URGENT_HEARTBEATS = 5
URGENT_INTERVAL_SECONDS = 0.2


def interval_for(peers: int) -> float:
    """Return the seconds between heartbeats to this many peers.

    Placement is the better the fresher the peers' counts are, so a small
    service, as nearly all are, spends on that what its bytes allow.
    """
    wanted = peers * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return min(HEARTBEAT_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, wanted))


class HeartbeatSchedule:
    """Spaces the heartbeats of one incarnation.

    Parameters
    ----------
    rng : random.Random
        Jitter, so that agents that started together don't stay in step.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sequence = 0
        self._due_at = 0.0
        self._urgent_left = 0

    def due(self, now: float, peers: int) -> int | None:
        """Return the number of the heartbeat that is due now, if one is."""
        if now < self._due_at:
            return None
        self._urgent_left = max(0, self._urgent_left - 1)
        interval = URGENT_INTERVAL_SECONDS if self._urgent_left else interval_for(peers)
        self._due_at = now + interval * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._sequence += 1
        return self._sequence

    def expedite(self, now: float) -> None:
        """Send several soon: the loss of one must not keep new work coming."""
        self._urgent_left = URGENT_HEARTBEATS
        self._due_at = now

    def restart(self) -> None:
        """Start numbering again, under a new incarnation."""
        self._sequence = 0
