"""The experiment tool behind ``make bench``.

Run scenario files from ``bench/``, print each figure with its bound and the
committed earlier figure, and fail if a bound is broken.
"""

from __future__ import annotations

import importlib
import json
import sys
import time
from pathlib import Path

import defopt

from .scenarios import Broken, Result, Scenario, load, run

__all__ = ["main"]

# Importing these modules registers the scenarios that they measure.
MEASURING_MODULES = (
    "changes",
    "connections",
    "decisions",
    "distributions",
    "experiments",
    "packets",
    "packetslopes",
    "rollout",
    "scaledesigns",
    "slopes",
    "splitcosts",
)
FOLDER = Path("bench")
RESULTS = FOLDER / "results"


def main(argv: list[str] | None = None) -> None:
    """Run the command line of the experiment tool."""
    sys.exit(defopt.run(bench, argv=argv))


def bench(*names: str, update: bool = False, folder: Path = FOLDER) -> int:
    """Measure scenarios and compare them with their bounds.

    Parameters
    ----------
    names : str
        Scenarios to run (file names without ``.toml``); all by default.
    update : bool
        Write the figures to ``results/`` beside the scenarios, to be committed.
    folder : Path
        Folder of the scenario files.
    """
    for module in MEASURING_MODULES:
        importlib.import_module(f"{__package__}.{module}")
    paths = [folder / f"{name}.toml" for name in names]
    failed = 0
    for path in paths or sorted(folder.glob("*.toml")):
        try:
            item = load(path)
        except (OSError, ValueError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 2
        failed += not _measure(item, folder / "results", update)
    return 1 if failed else 0


def _measure(item: Scenario, results: Path, update: bool) -> bool:
    started = time.monotonic()
    result, broken = run(item)
    earlier = _earlier(results / f"{item.name}.json")
    print(f"\n{item.name}: {item.about} ({time.monotonic() - started:.0f} s)")
    for line in _lines(item, result, earlier, broken):
        print(line)
    sys.stdout.flush()
    if update:
        results.mkdir(exist_ok=True)
        text = json.dumps(result, indent=2, sort_keys=True) + "\n"
        (results / f"{item.name}.json").write_text(text)
    return not broken


def _earlier(path: Path) -> dict[str, float]:
    if not path.exists():
        return {}
    return json.loads(path.read_text())["figures"]


def _lines(
    item: Scenario, result: Result, earlier: dict[str, float], broken: list[Broken]
) -> list[str]:
    limits_by_figure = {bound.figure: bound for bound in item.bounds}
    broken_names = {entry.figure for entry in broken}
    lines = []
    for name, value in result["figures"].items():
        bound = limits_by_figure.get(name)
        limit = ""
        if bound and bound.least is not None:
            limit += f" >= {bound.least:g}"
        if bound and bound.most is not None:
            limit += f" <= {bound.most:g}"
        verdict = "BROKEN" if name in broken_names else ("ok" if bound else "")
        before = f"{earlier[name]:.6g}" if name in earlier else "-"
        unit = result["units"][name]
        lines.append(
            f"  {name:<44} {value:>12.6g} {unit:<8} before {before:>10}{limit}"
            f" {verdict}"
        )
    lines += [
        f"  {entry.figure:<44} not measured BROKEN"
        for entry in broken
        if entry.value is None
    ]
    return lines


if __name__ == "__main__":
    main()
