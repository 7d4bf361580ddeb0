"""Exporters keep their flows open for many downloads."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import BOUNDS, TROUBLE, CaseError, Client, Lab, run

FOLDER = Path(__file__).resolve().parent
ROUTE = ("127.18.0.1", 8443)
SERVICE = "ledger-svc"
EXPORTERS = 5
LEDGERS = 440
LEDGER_BYTES = 40_000
TALLY_BYTES = 2_000
TALLIES_STEP = 5
"""Exporter n begins with n times as many small answers, so that the exporters are at
different places of an answer when their flows have carried the same volume."""

PAUSE_SECONDS = 0.03
DEADLINE_SECONDS = 5.0


async def export(lab: Lab, client: Client, exporter: int) -> tuple[int, bool]:
    """Download ledgers; return how many were answered, and whether a reset broke."""
    sizes = [TALLY_BYTES] * (TALLIES_STEP * exporter) + [LEDGER_BYTES] * LEDGERS
    flow, answered, volume = client.flow(ROUTE), 0, 0
    for number, size in enumerate(sizes):
        # Without the trouble, each request has a flow of its own.
        if number == 0 or not TROUBLE:
            flow = client.flow(ROUTE)
            if not await flow.open():
                raise CaseError(f"exporter {exporter}, flow {number}: {flow.state}")
        name = f"ledger-{exporter}-{number}"
        outcome = await flow.request(name, size, DEADLINE_SECONDS)
        holders = [e.machine.name for e in lab.endpoints.values() if e.holds(flow.key)]
        lab.record.line("ledger", name=name, outcome=outcome, held_by=holders)
        is_young = time.monotonic() - flow.opened_at < BOUNDS["flow_ttl_s"]
        if flow.reset_by_system_at is not None and holders and is_young:
            lab.record.line(
                "reset", flow=flow.key, by="system", held_by=holders, volume=volume
            )
            return answered, True
        if outcome != "answered":
            lab.record.line("lost", flow=flow.key, outcome=outcome, volume=volume)
            return answered, False
        answered += 1
        volume += size
        if not TROUBLE:
            flow.close()
        await asyncio.sleep(PAUSE_SECONDS)
    return answered, False


async def play(lab: Lab) -> bool:
    """Let exporters download; return whether the system reset an open flow."""
    lab.configure({ROUTE: SERVICE}, 7)
    entries = [lab.machine("entry", zone) for zone in lab.zones[:2]]
    agents = [lab.machine("agent", zone, SERVICE) for zone in lab.zones]
    for machine in agents:
        await lab.serve(machine, work=0.0057)
    for machine in (*agents, *entries):
        await lab.start(machine, bootstrap=True)
    await lab.until_ready()
    await asyncio.sleep(4.0)
    client = lab.client(lab.zones[0])
    done = await asyncio.gather(*(export(lab, client, n) for n in range(EXPORTERS)))
    resets = sum(broken for _, broken in done)
    lab.record.line("end", answered=[n for n, _ in done], reset=resets)
    if not TROUBLE and min(n for n, _ in done) < LEDGERS:
        raise CaseError("ledgers are missing without the trouble")
    return resets > 0


run(play, lambda: Lab(FOLDER, ["thies-a", "thies-b", "thies-c"]))
