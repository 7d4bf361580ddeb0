"""The compiled core of the packet service behaves like its source."""

import os
import pathlib
import subprocess
import sys

import pytest

COMPILED = pathlib.Path(__file__).parents[3] / "target" / "core" / "src"
SEEDS = range(1, 7)

SCRIPT = """
import sys
from zinniahook_core.packets import agent
from zinniahook_testkit.packetsimulation import PacketSimulation
sim = PacketSimulation(int(sys.argv[1]), {"tally": 12, "ledger": 5}, loss=0.02)
flows = [sim.open_flow() for _ in range(40)]
sim.run(1.0)
for each in list(sim.agents_by_address.values())[::2]:
    sim.start_agent(each)
for flow in flows:
    sim.ask(flow)
sim.run(3.0)
print(agent.__file__, file=sys.stderr)
print(sim.findings())
print([(name, str(fields)) for name, fields in sim.log.lines])
"""


class TestCompiledCore:
    """A fault occurs only on machines with a C compiler, or only without.

    The compiler treats a construct differently from the interpreter, so the same
    events have different results. A pattern with alternatives once raised an
    UnboundLocalError.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_logs_the_same_as_its_source(self, seed):
        if not any(COMPILED.glob("*__mypyc*.so")):
            pytest.skip("not compiled: no C compiler")
        plain, plain_file = self._run(seed, {})
        compiled, compiled_file = self._run(seed, {"PYTHONPATH": str(COMPILED)})
        assert plain_file.endswith(".py") and compiled_file.endswith(".so")
        assert compiled == plain
        assert len(plain) > 1000

    def _run(self, seed, variables):
        environment = {**os.environ, "PYTHONPATH": "", "PYTHONHASHSEED": "1"}
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT, str(seed)],
            env={**environment, **variables},
            capture_output=True,
            check=True,
            text=True,
        )
        return done.stdout, done.stderr.strip()
