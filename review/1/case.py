"""A heartbeat of another writer, which names no endpoint, reaches an agent.

The agent takes it for a new target of another service: requests of that service run at
the wrong endpoint, and the open flows of the right endpoint are reset.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, Deployment, Record, Route, call, run_case

SETTLE_SECONDS = 5.0
CALM_SECONDS = 8.0
WATCHED_SECONDS = 8.0
ROUTES = (
    Route("r-tally", "tally", 8443, "safe", "GET", "/tally", True),
    Route("r-ticket", "tally", 8080, "unsafe", "POST", "/tickets", False),
    Route("r-ledger", "ledger", 9443, "download", "GET", "/ledger", False),
)


async def play(folder: Path, record: Record, trouble: bool) -> int:
    """Run the case; return 1 if ROUTE was broken, 0 if it held."""
    fleet = Deployment(folder, record, [("tally", 3), ("ledger", 2)], ROUTES)
    fleet.store.configure(fleet.document(7))
    try:
        await fleet.open()
        record.write("ready")
        await asyncio.sleep(SETTLE_SECONDS)
        until = time.monotonic() + CALM_SECONDS + WATCHED_SECONDS
        clients = [Client(fleet, ROUTES[0], 0.2) for _ in range(12)]
        clients += [Client(fleet, ROUTES[1], 0.5) for _ in range(6)]
        clients += [Client(fleet, ROUTES[2], 0.3) for _ in range(8)]
        work = [asyncio.ensure_future(client.run(until)) for client in clients]
        await asyncio.sleep(CALM_SECONDS)
        if trouble:
            await send_foreign(fleet, record)
        await asyncio.gather(*work)
        asked = sum(client.asked for client in clients)
        answered = sum(client.answered for client in clients)
        record.write("end", asked=asked, answered=answered, broken=len(fleet.broken))
        if not answered:
            return 2
        return 1 if fleet.is_broken("ROUTE") else 0
    finally:
        await fleet.close()


async def send_foreign(fleet: Deployment, record: Record) -> None:
    """Send one heartbeat without `addr`, `zone`, `version` and `warmup_left_ms`."""
    victim = fleet.endpoints[0]
    fields = {"service": "ledger", "concurrency": 4, "state": "ready", "seq": 1}
    path = "/instances/i-other-writer/heartbeat"
    answer = await call(f"{victim.ip}:{fleet.control}", "POST", path, fields)
    record.write("foreign.heartbeat", beside=victim.name, answer=answer and answer[0])


if __name__ == "__main__":
    run_case(play, Path(__file__).with_name("record.txt"))
