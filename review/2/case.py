"""A late heartbeat of an endpoint that has crashed ends the flows of a living one.

An endpoint starts behind a cut and crashes before a heartbeat of it gets through.
Another one takes its place, and registers. Then the first one's heartbeat arrives.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, Deployment, Record, Route, run_case

SETTLE_SECONDS = 5.0
CALM_SECONDS = 4.0
CRASHED_SECONDS = 1.0
SHORT_LIFE_SECONDS = 1.1
"""Less than the time between two heartbeats: the endpoint sends one."""

DOWN_SECONDS = 4.5
FIRST_HEARTBEAT_SECONDS = 0.8
DELAY_SECONDS = 12.6
"""TCP repeats data after 0.2, 0.6, 1.4, 3, 6.2 and 12.6 s. A cut of 6.3 s holds up all
but the last copy."""

STABLE_SECONDS = 4.0
WATCHED_SECONDS = 20.0
FLOW_SECONDS = 5.0
ROUTES = (
    Route("r-tally", "tally", 8443, "safe", "GET", "/tally", True),
    Route("r-ticket", "tally", 8080, "unsafe", "POST", "/tickets", False),
)


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Run the case; return 1 if FLOW was broken, 0 if it held."""
    fleet = Deployment(folder, record, [("tally", 7)], ROUTES)
    fleet.store.configure(fleet.document(7))
    try:
        await fleet.open()
        record.write("ready")
        await asyncio.sleep(SETTLE_SECONDS)
        until = time.monotonic() + CALM_SECONDS + WATCHED_SECONDS
        clients = [Client(fleet, ROUTES[0], 0.5) for _ in range(56)]
        for client in clients:
            client.flow_seconds = FLOW_SECONDS
        clients += [Client(fleet, ROUTES[1], 0.5) for _ in range(14)]
        work = [asyncio.ensure_future(client.run(until)) for client in clients]
        await asyncio.sleep(CALM_SECONDS)
        await crash_twice(fleet, trouble)
        await asyncio.gather(*work)
        asked = sum(client.asked for client in clients)
        answered = sum(client.answered for client in clients)
        record.write("end", asked=asked, answered=answered, broken=len(fleet.broken))
        if not answered:
            return 2
        return 1 if fleet.is_broken("FLOW") else 0
    finally:
        await fleet.close()


async def crash_twice(fleet: Deployment, trouble: bool) -> None:
    """Crash an endpoint, and soon the one that follows it at its address."""
    first = fleet.endpoints[0]
    first.crash()
    await asyncio.sleep(CRASHED_SECONDS)
    delay = DELAY_SECONDS if trouble else 0.0
    second = await fleet.replace(first, "i-second", delay)
    await asyncio.sleep(SHORT_LIFE_SECONDS)
    second.crash()
    await asyncio.sleep(DOWN_SECONDS)
    # The cut ends 6.3 s after the second one's heartbeat, before this one's first.
    await fleet.replace(second, "i-third", 0.0, FIRST_HEARTBEAT_SECONDS)
    cut_until = time.monotonic() + FIRST_HEARTBEAT_SECONDS
    fleet.judged_from = cut_until + STABLE_SECONDS


if __name__ == "__main__":
    run_case(play, Path(__file__).with_name("record.txt"))
