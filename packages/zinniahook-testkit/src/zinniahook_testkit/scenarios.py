"""Scenarios of the experiment tool: a registry, figures and their bounds.

A scenario file is TOML: ``kind`` names a registered function, ``parameters``
are its keyword arguments, and ``bounds`` limit its figures. Bounds apply to
ratios, counts and shares from a single run, never to the speed of the machine.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple, TypedDict

__all__ = ["Bound", "Broken", "Figure", "Result", "Scenario", "load", "run", "scenario"]


class Figure(NamedTuple):
    """One measured value with its unit (``ratio``, ``count``, ``B``, ``s``...)."""

    name: str
    value: float
    unit: str


class Bound(NamedTuple):
    """The minimum and maximum of a figure, None for no limit."""

    figure: str
    least: float | None = None
    most: float | None = None


class Scenario(NamedTuple):
    """One scenario file."""

    name: str
    kind: str
    about: str
    parameters: Mapping[str, object]
    bounds: tuple[Bound, ...]


class Result(TypedDict):
    """The result of a run, as written to JSON."""

    name: str
    kind: str
    parameters: dict[str, object]
    figures: dict[str, float]
    units: dict[str, str]


class Broken(NamedTuple):
    """A bound that a run broke; ``value`` is None if it wasn't measured."""

    figure: str
    value: float | None
    bound: Bound


Measure = Callable[..., list[Figure]]
_measures_by_kind: dict[str, Measure] = {}


def scenario(kind: str) -> Callable[[Measure], Measure]:
    """Register a function that measures scenarios of ``kind``."""

    def register(measure: Measure) -> Measure:
        _measures_by_kind[kind] = measure
        return measure

    return register


def load(path: Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    ValueError
        If the file is not TOML or a part is missing or unknown.
    """
    with path.open("rb") as file:
        document = tomllib.load(file)
    unknown = set(document) - {"kind", "about", "parameters", "bounds"}
    if unknown:
        raise ValueError(f"{path.name}: unknown key {sorted(unknown)[0]!r}")
    if "kind" not in document:
        raise ValueError(f"{path.name}: missing key 'kind'")
    bounds = tuple(
        Bound(figure, limits.get("least"), limits.get("most"))
        for figure, limits in document.get("bounds", {}).items()
    )
    return Scenario(
        path.stem,
        document["kind"],
        document.get("about", ""),
        document.get("parameters", {}),
        bounds,
    )


def run(item: Scenario) -> tuple[Result, list[Broken]]:
    """Measure one scenario and compare its figures with its bounds.

    Raises
    ------
    ValueError
        If no function is registered for the scenario's kind.
    """
    measure = _measures_by_kind.get(item.kind)
    if measure is None:
        known = ", ".join(sorted(_measures_by_kind))
        raise ValueError(f"{item.name}: unknown kind {item.kind!r}; known: {known}")
    figures = measure(**item.parameters)
    result: Result = {
        "name": item.name,
        "kind": item.kind,
        "parameters": dict(item.parameters),
        "figures": {figure.name: figure.value for figure in figures},
        "units": {figure.name: figure.unit for figure in figures},
    }
    return result, broken_bounds(item.bounds, result["figures"])


def broken_bounds(
    bounds: tuple[Bound, ...], figures: Mapping[str, float]
) -> list[Broken]:
    """Return the bounds that ``figures`` break; a missing figure breaks its bound."""
    broken = []
    for bound in bounds:
        value = figures.get(bound.figure)
        if value is None:
            broken.append(Broken(bound.figure, None, bound))
            continue
        too_low = bound.least is not None and value < bound.least
        too_high = bound.most is not None and value > bound.most
        if too_low or too_high:
            broken.append(Broken(bound.figure, value, bound))
    return broken
