"""The clock of a daemon."""

from __future__ import annotations

import asyncio
import time

__all__ = ["BoottimeEventLoop", "now"]


def now() -> float:
    """Return seconds that never go back and go on while the machine sleeps.

    What goes wrong: a virtual machine is suspended for a minute, its peers
    mark the agent down and take over, and after the resumption it goes on as
    if nothing had happened, since the monotonic clock of Linux stands still
    meanwhile. It would show as a request that runs twice. With the time since
    boot the fence sees the gap.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop on that clock, so that deadlines and timers agree."""

    def time(self) -> float:
        """Return what `now` returns."""
        return now()
