"""Baseline policies for placing flows, to compare the system's placement with.

Like plain load balancers they choose at the entries, once for each flow. The
product uses none of them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from zinniahook_core.models import Load
from zinniahook_core.rendezvous import best

__all__ = ["BASELINES_BY_NAME", "Baseline", "Hashing", "LeastReported", "Uniform"]


class Baseline(Protocol):
    """Chooses a target for each new flow."""

    def choose(self, flow: bytes, reports_by_name: Mapping[str, Load]) -> str:
        """Return the name of the target for ``flow``."""


Factory = Callable[[Sequence[str], random.Random], Baseline]

BASELINES_BY_NAME: dict[str, Factory] = {}


def _baseline(name: str) -> Callable[[Factory], Factory]:
    def register(factory: Factory) -> Factory:
        BASELINES_BY_NAME[name] = factory
        return factory

    return register


@_baseline("hashing")
class Hashing:
    """Plain consistent hashing of the flow, independent of load."""

    def __init__(self, names: Sequence[str], rng: random.Random) -> None:
        self._names = tuple(names)

    def choose(self, flow: bytes, reports_by_name: Mapping[str, Load]) -> str:
        """Return the best ranked target."""
        return best(flow, self._names)


@_baseline("random")
class Uniform:
    """A random target for each flow."""

    def __init__(self, names: Sequence[str], rng: random.Random) -> None:
        self._names = tuple(names)
        self._rng = rng

    def choose(self, flow: bytes, reports_by_name: Mapping[str, Load]) -> str:
        """Return any target."""
        return self._rng.choice(self._names)


@_baseline("least-reported")
class LeastReported:
    """The target whose latest own report, however old, shows the least load."""

    def __init__(self, names: Sequence[str], rng: random.Random) -> None:
        self._names = tuple(names)
        self._rng = rng

    def choose(self, flow: bytes, reports_by_name: Mapping[str, Load]) -> str:
        """Return the least loaded target by report, ties at random."""
        return min(
            self._names,
            key=lambda name: (_share(reports_by_name.get(name)), self._rng.random()),
        )


def _share(load: Load | None) -> float:
    return (load.busy + load.queued) / load.slots if load else 0.0
