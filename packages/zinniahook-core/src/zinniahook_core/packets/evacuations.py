"""Which data centres the operator has evacuated, as one daemon knows it.

The store lists the evacuated data centres. Whoever looks at it learns all of
them and the store's revision in one read, so every set that is told comes with
a revision at which it was certainly the whole truth. Sets are ordered by it: a
daemon never goes back to an older one, however late an answer or a datagram
arrives, and also if an order is given, taken back and given again.
"""

from __future__ import annotations

import json
import zlib
from typing import NamedTuple

from .tunnel import zone_tag

__all__ = ["Evacuations", "Stamp"]

ASK_EVERY = 0.05
"""Seconds between two questions for a newer set: each datagram of a daemon that
has one shows it, a hundred in the moment after an order."""

NOTHING = 0
"""Digest of the empty set, which needn't be asked for."""


class Stamp(NamedTuple):
    """What each datagram shows of its sender's set.

    ``revision`` is one at which the set was in force, 0 if it isn't known;
    ``digest`` tells different sets apart.
    """

    revision: int = 0
    digest: int = 0


class Evacuations:
    """The evacuated data centres.

    ``names`` are those in force, ``tags`` their short tags.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self.tags: frozenset[int] = frozenset()
        self.stamp = Stamp()
        # The latest revision at which the set in force is known to hold.
        self._confirmed = 0
        self._newest = 0
        self._asked_at = float("-inf")

    @property
    def is_certain(self) -> bool:
        """Whether the set is known, and nobody has shown a newer one.

        What goes wrong without: a daemon that has just started, or has slept,
        gives a flow to a target of a data centre that was evacuated meanwhile.
        """
        return self.stamp.revision > 0 and self._newest <= self._confirmed

    def read(self, revision: int, names: frozenset[str]) -> bool:
        """Take what the store had at a revision; return whether it changes the set.

        An answer that was overtaken by a newer one changes nothing.
        """
        revision = max(1, revision)
        if revision < self._confirmed:
            return False
        if self.stamp.revision and names == self.names:
            self._confirmed = revision
            return False
        return self._install(revision, names)

    def shown(self, stamp: Stamp) -> bool:
        """Take what a datagram shows; return whether its sender has a newer set."""
        if stamp.revision <= self.stamp.revision:
            return False
        if stamp.digest == self.stamp.digest and self.stamp.revision:
            self.stamp = stamp
            self._confirmed = max(self._confirmed, stamp.revision)
            return False
        if stamp.digest == NOTHING and not self.stamp.revision:
            self._install(stamp.revision, frozenset())
            return False
        if stamp.revision <= self._confirmed:
            # This daemon's set is the newer one. What goes wrong without: others
            # keep the older one, as its stamp is above the one told here.
            self.stamp = self.stamp._replace(revision=self._confirmed)
            return False
        self._newest = max(self._newest, stamp.revision)
        return True

    def agrees(self, stamp: Stamp) -> bool:
        """Tell whether a daemon that shows a stamp has the same set."""
        return stamp.revision > 0 and stamp.digest == self.stamp.digest

    def may_ask(self, now: float) -> bool:
        """Tell whether it is time to ask for a newer set, and note that it is done."""
        if now - self._asked_at < ASK_EVERY:
            return False
        self._asked_at = now
        return True

    def told(self, body: bytes) -> bool | None:
        """Take a whole set of another daemon; return whether it changes this one.

        None if the body is malformed.
        """
        decoded = _decode(body)
        if decoded is None:
            return None
        revision, names = decoded
        if revision <= self._confirmed:
            return False
        return self._install(revision, names)

    def encode(self) -> bytes:
        """Return the set as it is told to other daemons."""
        rows = [self.stamp.revision, *sorted(self.names)]
        return json.dumps(rows, separators=(",", ":")).encode()

    def _install(self, revision: int, names: frozenset[str]) -> bool:
        changed = names != self.names
        self.names = names
        self.tags = frozenset(zone_tag(name) for name in names)
        self.stamp = Stamp(revision, _digest(names))
        self._confirmed = revision
        return changed


def _digest(names: frozenset[str]) -> int:
    return zlib.crc32("\n".join(sorted(names)).encode())


def _decode(body: bytes) -> tuple[int, frozenset[str]] | None:
    try:
        match json.loads(body):
            case [int(revision), *names] if all(isinstance(n, str) for n in names):
                return revision, frozenset(names)
    except ValueError:
        return None
    return None
