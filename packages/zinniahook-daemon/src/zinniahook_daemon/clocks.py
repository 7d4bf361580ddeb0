"""The clock of a daemon."""

from __future__ import annotations

import asyncio
import time

__all__ = ["BoottimeEventLoop", "now"]


def now() -> float:
    """Return the seconds since boot, including time that the machine is suspended.

    The monotonic clock of Linux stops during a suspension. With that clock, an agent
    whose virtual machine is suspended for a minute would resume as if no time had
    passed, although its peers have marked it down and taken over, and a request
    would run twice. With the time since boot, the fence detects the gap.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop that uses `now`, so that deadlines and timers agree."""

    def time(self) -> float:
        """Return the seconds since boot, as `now` does."""
        return now()
