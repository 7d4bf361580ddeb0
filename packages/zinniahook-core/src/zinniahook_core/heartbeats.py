"""When an agent's heartbeats are due, and how they are numbered."""

from __future__ import annotations

import random

__all__ = ["HEARTBEAT_INTERVAL", "HeartbeatSchedule", "interval_for"]

HEARTBEAT_INTERVAL = 1.0
"""Longest interval, in seconds; a service of many agents has this one."""

SHORTEST_INTERVAL = 0.25
HEARTBEAT_SIZE = 126
"""Bytes of one heartbeat on the wire, headers of IP and UDP included."""

HEARTBEAT_RATE = 4000
"""Bytes a second that heartbeats may take while that shortens the interval."""

JITTER = 0.2
URGENT_BEATS = 5
URGENT_INTERVAL = 0.2


def interval_for(peers: int) -> float:
    """Return the seconds between heartbeats to this many peers.

    Placement is the better the fresher the peers' counts are, so a small
    service, as nearly all are, spends on that what its bytes allow.
    """
    wanted = peers * HEARTBEAT_SIZE / HEARTBEAT_RATE
    return min(HEARTBEAT_INTERVAL, max(SHORTEST_INTERVAL, wanted))


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
        self._urgent = 0

    def due(self, now: float, peers: int) -> int | None:
        """Return the number of the heartbeat that is due now, if one is."""
        if now < self._due_at:
            return None
        self._urgent = max(0, self._urgent - 1)
        interval = URGENT_INTERVAL if self._urgent else interval_for(peers)
        self._due_at = now + interval * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._sequence += 1
        return self._sequence

    def hurry(self, now: float) -> None:
        """Send several soon: the loss of one must not keep new work coming."""
        self._urgent = URGENT_BEATS
        self._due_at = now

    def restart(self) -> None:
        """Start numbering again, under a new incarnation."""
        self._sequence = 0
