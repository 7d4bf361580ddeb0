"""Selection of the source that a daemon follows.

Every daemon follows one source at a time: the store, or a parent derived from
the list of daemons. When the source fails, the next candidate is tried. A daemon
whose parents all fail falls back to the store, and a daemon that watches the
store falls back to other daemons.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

from zinniahook_core import rendezvous
from zinniahook_core.codes import ZinniahookError
from zinniahook_core.models import Address

from . import trees
from .announcements import read_daemons
from .parents import Parent
from .settings import Role
from .sources import Source, SourceError, cancel_and_wait
from .trees import TreePosition

if TYPE_CHECKING:
    from .distribution import Distribution
    from .node import Node

__all__ = ["MAX_STORE_AGE_SECONDS", "SourceSelector"]

MAX_STORE_AGE_SECONDS = 6.0
"""Time that a source may be cut off from the store before others are tried."""

MIN_STAY_SECONDS = 2.0
MAX_STAY_SECONDS = 320.0
"""Time that a daemon stays with a source that is cut off, doubled after each round in
which every source was cut off. While the store is down no source is better, and
switching between them would only cost calls."""

MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 3.0
"""Pause between two rounds over all sources, doubled after each round."""

PARENT_RETRY_SECONDS = 30.0
"""Time after which a daemon that fell back to the store tries its parents again."""

STORE_RETRY_SECONDS = 5.0
"""Time after which a daemon that should watch the store tries it again. Two watchers
that followed each other for longer would receive no change."""

POSITION_CHECK_SECONDS = 30.0
"""Time between checks whether a daemon should still watch the store. Daemons that
start at the same time know of few others, so all of them watch it at first."""


class SourceSelector:
    """Selects and follows the sources of a distribution.

    Parameters
    ----------
    node : Node
        The daemon.
    distribution : Distribution
        Receives the updates; its ``origin`` is the store.

    Attributes
    ----------
    watches_store : bool
        Whether this daemon should follow the store rather than other daemons.
    """

    def __init__(self, node: Node, distribution: Distribution) -> None:
        self.watches_store = True
        self._node = node
        self._distribution = distribution
        self._has_alternatives = False
        self._stay_seconds = 0.0
        self._followed_at = 0.0
        self._candidates: frozenset[str] = frozenset()
        self._failures_by_source: dict[str, str] = {}
        self._task: asyncio.Task | None = None

    @property
    def reason(self) -> str:
        """The last error of each source that failed."""
        return "; ".join(
            f"{name}: {reason}" for name, reason in self._failures_by_source.items()
        )

    def start(self) -> None:
        """Start to follow sources."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop following sources."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def source_answered(self, source: Source) -> None:
        """Record that a source answered."""
        if self._failures_by_source.pop(source.name, None) is not None:
            self._node.log("source-back", source=source.name)

    def check_age(self, age: float) -> None:
        """Check the age of the followed source's last contact with the store.

        Parameters
        ----------
        age : float
            Seconds since that contact.

        Raises
        ------
        SourceError
            If the contact is too old and another source may be better.
        """
        if age <= MAX_STORE_AGE_SECONDS:
            self._stay_seconds = 0.0
            return
        followed_seconds = time.monotonic() - self._followed_at
        if self._has_alternatives and followed_seconds > self._stay_seconds:
            raise SourceError("cut off from the store")

    async def _run(self) -> None:
        pause = MIN_BACKOFF_SECONDS
        while True:
            sources = await self._sources()
            self._has_alternatives = len(sources) > 1
            for source, limit in sources:
                await self._follow(source, limit)
            if self._node.announcement is not None:
                self._node.announcement.check()
            if self._distribution.age <= MAX_STORE_AGE_SECONDS:
                pause = MIN_BACKOFF_SECONDS
            else:
                doubled = max(MIN_STAY_SECONDS, self._stay_seconds * 2)
                self._stay_seconds = min(MAX_STAY_SECONDS, doubled)
            # Jitter: otherwise all daemons that lost the same parent would
            # reconnect at once.
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(MAX_BACKOFF_SECONDS, pause * 2)

    async def _sources(self) -> list[tuple[Source, float | None]]:
        """Return the sources to try in order.

        Each comes with the seconds to follow it, or None for no limit.
        """
        position = await self._tree_position()
        self.watches_store = position.watches_store
        distribution = self._distribution
        parents = [
            Parent(distribution, Address.parse(text)) for text in position.parents
        ]
        if position.watches_store:
            return [
                (distribution.origin, None),
                *((parent, STORE_RETRY_SECONDS) for parent in parents),
            ]
        return [
            *((parent, None) for parent in parents),
            (distribution.origin, PARENT_RETRY_SECONDS),
        ]

    async def _tree_position(self) -> TreePosition:
        """Return the position of this daemon in the distribution tree."""
        control = self._node.settings.control
        own = self._distribution.control
        if control.watchers:
            candidates = await self._read_candidates()
            return trees.tree_position(
                own, candidates, control.watchers, control.fan_out
            )
        if not control.parents:
            return TreePosition(True, ())
        others = {str(address) for address in control.parents} - {own}
        name = self._distribution.name.encode()
        return TreePosition(False, tuple(rendezvous.rank(name, others)))

    async def _read_candidates(self) -> frozenset[str]:
        """Return the control addresses of the daemons that may be parents.

        If the list can't be read, return those of the last read.
        """
        settings = self._node.settings
        if settings.control.parents:
            return frozenset(map(str, settings.control.parents))
        try:
            daemons = await read_daemons(self._node.store, settings.data_centre)
        except ZinniahookError:
            return self._candidates
        found = {str(daemon.control) for daemon in daemons.values()}
        if settings.role is Role.ENTRY:
            # This entry is about to be announced. If it left itself out, it
            # could choose a parent that in turn chooses it.
            found.add(self._distribution.control)
        self._candidates = frozenset(found)
        return self._candidates

    async def _follow(self, source: Source, limit: float | None) -> None:
        """Follow a source until it fails or the limit in seconds is reached."""
        self._distribution.newer_generation_reported.clear()
        self._followed_at = time.monotonic()
        reason = "time limit reached, trying the other sources again"
        try:
            async with asyncio.timeout(limit):
                await self._follow_while_due(source, limit)
        except SourceError as error:
            reason = str(error)
        except TimeoutError:
            pass
        except Exception as error:
            # A bug in the handling of an update would otherwise silently end
            # this task, and the daemon would keep an old generation forever.
            # Another source may send the update in a form that works.
            reason = f"{type(error).__name__}: {error}"
            self._node.count("distribution.source_failed")
        self._node.count("distribution.source_left")
        if self._failures_by_source.get(source.name) != reason:
            self._failures_by_source[source.name] = reason
            self._node.log("source-left", source=source.name, reason=reason)

    async def _follow_while_due(self, source: Source, limit: float | None) -> None:
        """Follow a source; the store only while this daemon should watch it."""
        if limit is not None or source is not self._distribution.origin:
            await source.follow()
            return
        review = asyncio.ensure_future(self._wait_until_not_watcher())
        follow = asyncio.ensure_future(source.follow())
        try:
            await asyncio.wait((review, follow), return_when=asyncio.FIRST_COMPLETED)
            if review.done():
                raise SourceError("enough other daemons watch the store")
            follow.result()
        finally:
            await cancel_and_wait({review, follow})

    async def _wait_until_not_watcher(self) -> None:
        """Return once this daemon should follow a parent instead of the store."""
        while True:
            await asyncio.sleep(POSITION_CHECK_SECONDS * random.uniform(0.5, 1.5))
            if not (await self._tree_position()).watches_store:
                return
