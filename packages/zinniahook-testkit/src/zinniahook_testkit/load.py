"""A process that generates open-loop load and records the callers' results.

Run ``python -m zinniahook_testkit.load '<plan as JSON>'``. It runs until SIGTERM,
finishes the due calls, and writes its records to the plan's ``result`` file.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

from . import callers as _callers  # noqa: F401 (registers the kinds of load)
from .loads import Load, LoadPlan, LoadResult, Plan, Record, loads_by_kind

__all__ = ["Load", "LoadPlan", "LoadResult", "Plan", "Record", "main", "serve"]


async def serve(plan: Plan) -> None:
    """Run the loads of a plan until SIGTERM or SIGINT."""
    rng = random.Random(plan["seed"])
    loads = [
        loads_by_kind[each["kind"]](each, plan["ca"], random.Random(rng.random()))
        for each in plan["loads"]
    ]
    loop = asyncio.get_running_loop()

    def stop() -> None:
        for load in loads:
            load.stopping.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    print(json.dumps({"ready": {}}), flush=True)
    await asyncio.gather(*(load.run() for load in loads))
    results = [load.result() for load in loads]
    for load in loads:
        await load.close()
    Path(plan["result"]).write_text(json.dumps(results))


def main() -> None:
    """Read the plan from the command line and run it."""
    asyncio.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
