"""The examples of Hypothesis in this project's tests."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
SCRIPT = """
import conftest
{imports}
from hypothesis import given, strategies

drawn = []

@given(strategies.tuples(strategies.integers(), strategies.text()))
def draw(example):
    drawn.append(example)

draw()
print(drawn)
"""


def examples(imports: str) -> str:
    """Return the examples of a process that imports some modules."""
    script = SCRIPT.format(imports=imports)
    command = [sys.executable, "-c", script]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return done.stdout


class TestExamples:
    def test_are_the_same_whatever_else_is_imported(self):
        """Guards against a verdict that depends on which tests a process has run."""
        first = examples("")
        assert first.count("(") >= 100
        assert examples("import zinniahook_core.packets, zinniahook_wire") == first
