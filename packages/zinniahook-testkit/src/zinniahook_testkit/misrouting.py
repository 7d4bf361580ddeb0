"""Detection of misrouted flows, whose packets reach only other targets."""

from __future__ import annotations

__all__ = ["misrouted_flows"]

MISROUTED_SECONDS = 2.0
MISROUTED_PACKETS = 3

Arrival = tuple[float, bytes]
"""The arrival time of a packet and the key of its flow."""


def misrouted_flows(
    now: float, held: set[bytes], foreign: list[Arrival], owned: list[Arrival]
) -> list[str]:
    """Return a line for each flow whose packets reached only other targets.

    A flow is misrouted if at least three of its packets reach other targets within
    two seconds and none reaches its own.

    Parameters
    ----------
    now : float
        Time until which packets were recorded.
    held : set of bytes
        Keys of the flows that running targets hold.
    foreign, owned : list of Arrival
        Packets at targets that don't hold their flow, and at targets that do.
    """
    times_by_key: dict[bytes, list[float]] = {}
    for at, key in foreign:
        if key in held:
            times_by_key.setdefault(key, []).append(at)
    found = []
    for key, times in times_by_key.items():
        own = [at for at, owner in owned if owner == key]
        start = _misrouted_since(now, times, own)
        if start is not None:
            found.append(f"flow misrouted: {key.hex()} from {start:.2f}")
    return found


def _misrouted_since(now: float, times: list[float], own: list[float]) -> float | None:
    """Return the time from which a flow was misrouted, or None."""
    for start in times:
        end = start + MISROUTED_SECONDS
        if end > now:
            # Its own target may still receive a packet in time.
            return None
        window = [at for at in times if start <= at <= end]
        quiet = not any(start <= at <= end for at in own)
        if len(window) >= MISROUTED_PACKETS and quiet:
            return start
    return None
