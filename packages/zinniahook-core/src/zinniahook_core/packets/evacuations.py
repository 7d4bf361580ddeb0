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

CLAIM_KEPT = 1.0
"""Seconds for which a newer set that a datagram showed is waited for. Its sender may
have died since, and nobody else has it: whoever looks at the store next does so
within 1.5 s, well below the seconds in which orders must be in force. What goes
wrong without an end: this daemon gives its target nothing ever again."""

DOUBT_LONGEST = 0.4
"""Seconds without the newer set after which this daemon looks at the store itself:
eight questions got no answer."""

REVISION_LIMIT = 1 << 63
"""Above what any store counts to; a datagram has 8 bytes for it."""

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
        # The newest revision that was shown here, and since when and until when.
        self._claimed = 0
        self._claimed_since = float("-inf")
        self._claimed_at = float("-inf")
        self._asked_at = float("-inf")

    def is_certain(self, now: float) -> bool:
        """Tell whether the set is known, and nobody has just shown a newer one.

        What goes wrong without: a daemon that has just started, or has slept,
        gives a flow to a target of a data centre that was evacuated meanwhile.
        """
        return self.stamp.revision > 0 and not self._is_behind(now)

    def must_read(self, now: float) -> bool:
        """Tell whether this daemon should look at the store for a newer set."""
        return self._is_behind(now) and now - self._claimed_since > DOUBT_LONGEST

    def _is_behind(self, now: float) -> bool:
        newer = self._claimed > self._confirmed
        return newer and now - self._claimed_at <= CLAIM_KEPT

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

    def shown(self, now: float, stamp: Stamp) -> bool:
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
        if not self._is_behind(now):
            self._claimed_since = now
        self._claimed = max(self._claimed, stamp.revision)
        self._claimed_at = now
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
            case [int(revision), *names] if 0 < revision < REVISION_LIMIT:
                if all(isinstance(name, str) for name in names):
                    return revision, frozenset(names)
    except ValueError:
        return None
    return None
