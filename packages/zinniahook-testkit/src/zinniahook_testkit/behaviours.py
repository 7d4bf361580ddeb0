"""The behaviour of a stand-in target and its record of the requests that it ran."""

from __future__ import annotations

import asyncio
import functools
import hashlib
import random
import time
from collections import Counter
from typing import Any, TypedDict

__all__ = ["Behaviour", "Target", "TargetSettings", "export_block", "export_digest"]

CHUNK_BYTES = 65536
MAX_LOAD_HISTORY = 256


class TargetSettings(TypedDict, total=False):
    """Settings of a target process, as JSON on its command line."""

    service: str
    name: str
    slots: int
    seed: int
    behaviour: Behaviour


class Behaviour(TypedDict, total=False):
    """How the target behaves; every key may be changed while it runs.

    ``service_time`` (s) is the mean of an Erlang-4 distribution, multiplied
    by ``slowness``, and by ``cold_factor`` during the first ``cold`` seconds.
    ``shed_share`` is the share of requests shed at once, ``shed_queue`` the
    number of waiting requests above which all are shed. ``health`` and ``load``
    are ``honest``, ``lagging`` (by ``lag`` seconds), ``lying`` (always healthy and
    idle) or ``failing``. ``export_rate`` (B/s) limits one export, 0 for no limit.
    """

    service_time: float
    slowness: float
    cold: float
    cold_factor: float
    shed_share: float
    shed_queue: int
    retry_after: float
    health: str
    load: str
    lag: float
    export_rate: float


DEFAULT_BEHAVIOUR: Behaviour = {
    "service_time": 0.02,
    "slowness": 1.0,
    "cold": 0.0,
    "cold_factor": 4.0,
    "shed_share": 0.0,
    "shed_queue": 1 << 30,
    "retry_after": 0.2,
    "health": "honest",
    "load": "honest",
    "lag": 5.0,
    "export_rate": 0.0,
}


@functools.cache
def export_block(service: str) -> bytes:
    """Return the block that an export of ``service`` repeats."""
    return random.Random(service).randbytes(CHUNK_BYTES)


@functools.lru_cache(maxsize=64)
def export_digest(service: str, size: int) -> str:
    """Return the SHA-256 of an export of ``size`` bytes, in hexadecimal."""
    digest = hashlib.sha256()
    block = export_block(service)
    for _ in range(size // CHUNK_BYTES):
        digest.update(block)
    digest.update(block[: size % CHUNK_BYTES])
    return digest.hexdigest()


class Target:
    """The state of one target: its slots, its behaviour and its ledger."""

    def __init__(
        self, service: str, name: str, slots: int, rng: random.Random, **behaviour: Any
    ) -> None:
        self.service = service
        self.name = name
        self.slots = slots
        self.behaviour: Behaviour = {**DEFAULT_BEHAVIOUR}
        self.change(behaviour)
        self.started_at = time.monotonic()
        self.busy = 0
        self.waiting = 0
        self.feeds = 0
        self.counts: Counter[str] = Counter()
        self.runs_by_ticket: Counter[str] = Counter()
        self.finished_by_ticket: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self.work = 0.0
        self._semaphore = asyncio.Semaphore(slots)
        self._rng = rng
        self._history: list[tuple[float, dict[str, Any]]] = []

    def change(self, behaviour: dict[str, Any]) -> None:
        """Change the behaviour.

        Raises
        ------
        KeyError
            If a key is not one of `Behaviour`.
        """
        for key, value in behaviour.items():
            if key not in DEFAULT_BEHAVIOUR:
                raise KeyError(key)
            self.behaviour[key] = value

    def shed(self) -> bool:
        """Decide whether to shed a request before it takes a slot."""
        behaviour = self.behaviour
        if self.waiting > behaviour["shed_queue"]:
            return True
        return self._rng.random() < behaviour["shed_share"]

    async def take_slot(self) -> None:
        """Wait for a free slot, which the caller must release by `free_slot`."""
        self.waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1

    def free_slot(self) -> None:
        """Release a slot taken by `take_slot`."""
        self.busy -= 1
        self._semaphore.release()

    def service_time(self) -> float:
        """Draw the service time of one ticket, in seconds."""
        behaviour = self.behaviour
        mean = behaviour["service_time"] * behaviour["slowness"]
        if time.monotonic() - self.started_at < behaviour["cold"]:
            mean *= behaviour["cold_factor"]
        return self._rng.gammavariate(4, mean / 4)

    def load(self) -> dict[str, Any]:
        """Return the answer of the load endpoint according to the behaviour."""
        now = time.monotonic()
        truth = {
            "slots": self.slots,
            "busy": self.busy,
            "queued": self.waiting,
            "flows": self.feeds,
            "streams": self.feeds,
            "cold": float(now - self.started_at < self.behaviour["cold"]),
        }
        self._history.append((now, truth))
        del self._history[:-MAX_LOAD_HISTORY]
        mode = self.behaviour["load"]
        if mode == "lying":
            return {**truth, "busy": 0, "queued": 0}
        if mode == "lagging":
            limit = now - self.behaviour["lag"]
            old = [load for at, load in self._history if at <= limit]
            return old[-1] if old else self._history[0][1]
        return truth

    def ledger(self) -> dict[str, Any]:
        """Return the target's own record of the requests that it ran."""
        return {
            "service": self.service,
            "target": self.name,
            "slots": self.slots,
            "counts": dict(self.counts),
            "work": self.work,
            "feeds": self.feeds,
            "runs_by_ticket": dict(self.runs_by_ticket),
            "finished_by_ticket": dict(self.finished_by_ticket),
            "runs_by_key": dict(self.runs_by_key),
        }
