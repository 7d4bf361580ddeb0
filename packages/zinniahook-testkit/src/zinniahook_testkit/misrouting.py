"""Which flows strayed: only other targets got their packets for a while."""

from __future__ import annotations

__all__ = ["misrouted_flows"]

MISROUTED_SECONDS = 2.0
MISROUTED_PACKETS = 3

Arrival = tuple[float, bytes]
"""When a packet arrived, and the key of its flow."""


def misrouted_flows(
    now: float, held: set[bytes], foreign: list[Arrival], owned: list[Arrival]
) -> list[str]:
    """Return the flows whose packets only other targets got for two seconds.

    Parameters
    ----------
    now : float
        Until when packets were recorded.
    held : set of bytes
        Keys of the flows that living targets hold.
    foreign, owned : list of Arrival
        Packets at targets that don't hold their flow, and at those that do.
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
            found.append(f"flow strayed: {key.hex()} from {start:.2f}")
    return found


def _misrouted_since(now: float, times: list[float], own: list[float]) -> float | None:
    """Return when a flow began to stray, None if it didn't."""
    for start in times:
        end = start + MISROUTED_SECONDS
        if end > now:
            # Its own target may still get the next packet in time.
            return None
        window = [at for at in times if start <= at <= end]
        quiet = not any(start <= at <= end for at in own)
        if len(window) >= MISROUTED_PACKETS and quiet:
            return start
    return None
