"""Which data centres the operator has evacuated, as one daemon knows it.

The store lists the evacuated data centres. Whoever looks at it learns all of
them and the store's revision in one read, so every set that is told comes with
a position in the store's history (see `eras`) at which it was certainly the
whole truth. Sets are ordered by it: a daemon never goes back to an older one,
however late an answer or a datagram arrives, and also if an order is given,
taken back and given again.

A store that comes back from an older copy may lack orders that it had
confirmed. Those in force here stay in force for a while beside what it lists.
"""

from __future__ import annotations

import json
import zlib
from typing import NamedTuple

from .eras import POSITION_LIMIT, era_of, position_of
from .tunnel import zone_tag

__all__ = ["Evacuations", "Stamp"]

REQUEST_INTERVAL_SECONDS = 0.05
"""Seconds between two questions for a newer set: each datagram of a daemon that
has one shows it, a hundred in the moment after an order."""

CLAIM_EXPIRY_SECONDS = 1.0
"""Seconds for which a newer set that a datagram showed is waited for. Its sender may
have died since, and nobody else has it: whoever looks at the store next does so
within 1.5 s, well below the seconds in which orders must be in force. What goes
wrong without an end: this daemon gives its target nothing ever again."""

CLAIM_WAIT_SECONDS = 0.4
"""Seconds without the newer set after which this daemon looks at the store itself:
eight questions got no answer."""

RETAINED_SECONDS = 15.0
"""Seconds for which orders of a former era stay in force if the restored store
lacks them. Its operator finds them gone and writes them again: some seconds of
outage, a slow call and a second try. Too short, and flows are opened where power
is about to be cut; too long, and a data centre whose order was taken back right
then is spared for as long, while the others serve."""

NO_CENTRES: frozenset[str] = frozenset()
"""The set that needn't be asked for: its digest tells it."""


class Stamp(NamedTuple):
    """What each datagram shows of its sender's set.

    ``position`` is one of the store's at which the set was in force, 0 if it
    isn't known; ``digest`` tells different sets apart, and different eras.
    """

    position: int = 0
    digest: int = 0


class Evacuations:
    """The evacuated data centres.

    ``names`` are those in force, ``tags`` their short tags, ``retained`` those
    among them that a restored store doesn't list.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = NO_CENTRES
        self.tags: frozenset[int] = frozenset()
        self.retained: frozenset[str] = NO_CENTRES
        self.stamp = Stamp()
        # What the store lists, which is what others are told.
        self._listed: frozenset[str] = NO_CENTRES
        self._retained_until: float | None = None
        # The latest position at which the listed set is known to hold.
        self._confirmed = 0
        # The newest position that was shown here, and since when and until when.
        self._claimed = 0
        self._claimed_since = float("-inf")
        self._claimed_at = float("-inf")
        self._asked_at = float("-inf")

    @property
    def position(self) -> int:
        """The latest position of the store that is known here; 0 if none is."""
        return self._confirmed

    @property
    def era(self) -> int:
        """The latest era of the store that is known here."""
        return era_of(self._confirmed)

    def is_certain(self, now: float) -> bool:
        """Tell whether the set is known, and nobody has just shown a newer one.

        What goes wrong without: a daemon that has just started, or has slept,
        gives a flow to a target of a data centre that was evacuated meanwhile.
        """
        return self.stamp.position > 0 and not self._is_behind(now)

    def must_read(self, now: float) -> bool:
        """Tell whether this daemon should look at the store for a newer set."""
        return self._is_behind(now) and now - self._claimed_since > CLAIM_WAIT_SECONDS

    def _is_behind(self, now: float) -> bool:
        newer = self._claimed > self._confirmed
        return newer and now - self._claimed_at <= CLAIM_EXPIRY_SECONDS

    def read(self, revision: int, names: frozenset[str], era: int = 0) -> bool:
        """Take what the store had at a revision; return whether it changes the set.

        An answer that was overtaken by a newer one changes nothing, and so does
        one of a former era.
        """
        position = position_of(era, max(1, revision))
        if position < self._confirmed:
            return False
        if self.stamp.position and names == self._listed and era == self.era:
            self._confirmed = position
            return False
        return self._install(position, names)

    def compare(self, now: float, stamp: Stamp) -> bool:
        """Take what a datagram shows; return whether its sender has a newer set."""
        if not self.stamp.position < stamp.position < POSITION_LIMIT:
            return False
        if self.stamp.position and self._is_listed(stamp):
            self._confirmed = max(self._confirmed, stamp.position)
            self.stamp = stamp
            return False
        if not self.stamp.position and stamp.digest == _digest(
            NO_CENTRES, stamp.position
        ):
            self._install(stamp.position, NO_CENTRES)
            return False
        if stamp.position <= self._confirmed:
            # This daemon's set is the newer one. What goes wrong without: others
            # keep the older one, as its stamp is above the one told here.
            self.stamp = self.stamp._replace(position=self._confirmed)
            return False
        if not self._is_behind(now):
            self._claimed_since = now
        self._claimed = max(self._claimed, stamp.position)
        self._claimed_at = now
        return True

    def _is_listed(self, stamp: Stamp) -> bool:
        """Tell whether a stamp is that of the listed set, in whichever era."""
        if era_of(stamp.position) == era_of(self.stamp.position):
            return stamp.digest == self.stamp.digest
        return stamp.digest == _digest(self._listed, stamp.position)

    def agrees(self, stamp: Stamp) -> bool:
        """Tell whether a daemon that shows a stamp has the same set."""
        return stamp.position > 0 and stamp.digest == self.stamp.digest

    def may_request(self, now: float) -> bool:
        """Tell whether it is time to ask for a newer set, and note that it is done."""
        if now - self._asked_at < REQUEST_INTERVAL_SECONDS:
            return False
        self._asked_at = now
        return True

    def merge(self, body: bytes) -> bool | None:
        """Take a whole set of another daemon; return whether it changes this one.

        None if the body is malformed.
        """
        decoded = _decode(body)
        if decoded is None:
            return None
        position, names = decoded
        if position <= self._confirmed:
            return False
        return self._install(position, names)

    def encode(self) -> bytes:
        """Return the set as it is told to other daemons."""
        rows = [self.stamp.position, *sorted(self._listed)]
        return json.dumps(rows, separators=(",", ":")).encode()

    def expire(self, now: float) -> bool:
        """Drop retained orders whose time is over; return whether any was.

        Their time begins with the first call after the store was restored.
        """
        if not self.retained:
            return False
        if self._retained_until is None:
            self._retained_until = now + RETAINED_SECONDS
        if now < self._retained_until:
            return False
        self.retained = NO_CENTRES
        self._enforce()
        return True

    def _install(self, position: int, names: frozenset[str]) -> bool:
        former = self.names
        if self.stamp.position and era_of(position) > self.era:
            self.retained = former
            self._retained_until = None
        # Once the store lists one again, it also tells the end of it.
        self.retained -= names
        self._listed = names
        self.stamp = Stamp(position, _digest(names, position))
        self._confirmed = position
        self._enforce()
        return self.names != former

    def _enforce(self) -> None:
        self.names = self._listed | self.retained
        self.tags = frozenset(zone_tag(name) for name in self.names)


def _digest(names: frozenset[str], position: int) -> int:
    """Return what tells a set apart from others, and from itself in another era.

    What goes wrong without the era: a daemon of a version that knows none takes
    a set from others, refuses all that it reads in the new era as older, and goes
    on confirming the set; everybody else takes the confirmation and nobody reads
    the next order.
    """
    text = "\n".join(sorted(names))
    era = era_of(position)
    return zlib.crc32((f"{era}\n{text}" if era else text).encode())


def _decode(body: bytes) -> tuple[int, frozenset[str]] | None:
    try:
        match json.loads(body):
            case [int(position), *names] if 0 < position < POSITION_LIMIT:
                if all(isinstance(name, str) for name in names):
                    return position, frozenset(names)
    except ValueError:
        return None
    return None
