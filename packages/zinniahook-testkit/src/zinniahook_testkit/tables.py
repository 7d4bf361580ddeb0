"""The committed results of the scenarios as Markdown tables."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

from .scenarios import Bound, Result, Scenario, load

__all__ = ["results_table"]

SUMMED_KINDS = frozenset({"experiment"})
"""Kinds with one scenario per fault, which have a table of their own."""

IMBALANCE_SHOWN = ("to hashing", "lying to fresh")


def results_table(folder: Path) -> str:
    """Return a table with each figure of every scenario with a committed result.

    Parameters
    ----------
    folder : Path
        Folder of the scenario files; the results are in its ``results`` folder.
    """
    lines = ["| command | figure | value | bound |", "|---|---|---|---|"]
    for path in sorted(folder.glob("*.toml")):
        results = folder / "results" / f"{path.stem}.json"
        if not results.exists():
            continue
        item = load(path)
        if item.kind not in SUMMED_KINDS:
            lines += _rows(item, json.loads(results.read_text()))
    return "\n".join(lines)


def _rows(item: Scenario, result: Result) -> Iterable[str]:
    bounds_by_figure = {bound.figure: bound for bound in item.bounds}
    command = f"`make bench NAME={item.name}`"
    for name, value in result["figures"].items():
        if item.kind == "imbalance" and not name.endswith(IMBALANCE_SHOWN):
            continue
        bound = _text(bounds_by_figure.get(name))
        yield f"| {command} | {name} | {value:.4g} {result['units'][name]} | {bound} |"
        command = ""


def _text(bound: Bound | None) -> str:
    if bound is None:
        return ""
    parts = []
    if bound.least is not None:
        parts.append(f"at least {bound.least:g}")
    if bound.most is not None:
        parts.append(f"at most {bound.most:g}")
    return ", ".join(parts)
