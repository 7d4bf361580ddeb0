"""The evacuated data centres, as one daemon knows them.

The store lists the evacuated data centres. A daemon that reads the list also gets the
store's revision, so every set comes with a position in the store's history (see `eras`)
at which it was certainly complete. Sets are ordered by position: a daemon never returns
to an older one, however late an answer or a datagram arrives, even if an order is
given, withdrawn and given again.

A store that is restored from an older copy may lack orders that it had confirmed.
Orders that are in force here are then retained for a while, beside those that it lists.
"""

from __future__ import annotations

import json
import zlib
from typing import NamedTuple

from .eras import POSITION_LIMIT, era_of, position_of
from .tunnel import zone_tag

__all__ = ["Evacuations", "Stamp"]

REQUEST_INTERVAL_SECONDS = 0.05
"""Seconds between two requests for a newer set. Each datagram from a daemon that has
one shows its stamp: a hundred in the moment after an order."""

CLAIM_EXPIRY_SECONDS = 1.0
"""Seconds for which a newer set is waited for after a datagram has shown its stamp. Its
sender may have died since as the only daemon that had it. The next daemon reads the
store within 1.5 s, well below the seconds in which orders must be in force. Without a
limit, this daemon would never give its target a flow again."""

CLAIM_WAIT_SECONDS = 0.4
"""Seconds of waiting for a newer set until this daemon reads the store itself: eight
requests have got no answer."""

RETAINED_SECONDS = 15.0
"""Seconds for which orders of a former era stay in force if the restored store lacks
them. In this time the operator can notice the loss and write them again: some seconds
of outage, a slow call and a second try. If it is too short, flows are opened where
power is about to be cut. If it is too long, a data centre whose order was withdrawn
just then gets no flows for as long, while the others serve."""

NO_CENTRES: frozenset[str] = frozenset()
"""The empty set, which a daemon recognises by its digest without a request."""


class Stamp(NamedTuple):
    """Identifies the set of a datagram's sender.

    ``position`` is a position of the store at which the set was in force, 0 if none is
    known. ``digest`` differs for different sets and different eras.
    """

    position: int = 0
    digest: int = 0


class Evacuations:
    """The evacuated data centres.

    ``names`` are those in force and ``tags`` their short tags; ``retained`` are those
    among them that a restored store doesn't list.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = NO_CENTRES
        self.tags: frozenset[int] = frozenset()
        self.retained: frozenset[str] = NO_CENTRES
        self.stamp = Stamp()
        # The set that the store lists, which is sent to others.
        self._listed: frozenset[str] = NO_CENTRES
        self._retained_until: float | None = None
        # The latest position at which the listed set is known to hold.
        self._confirmed = 0
        # The newest position that a datagram showed, and when it did first and last.
        self._claimed = 0
        self._claimed_since = float("-inf")
        self._claimed_at = float("-inf")
        self._asked_at = float("-inf")

    @property
    def position(self) -> int:
        """The latest known position of the store, 0 if none is known."""
        return self._confirmed

    @property
    def era(self) -> int:
        """The latest known era of the store."""
        return era_of(self._confirmed)

    def is_certain(self, now: float) -> bool:
        """Return whether the set is known and no newer one was recently shown.

        Otherwise a daemon that has just started, or was suspended, opens a flow in a
        data centre that was evacuated meanwhile.
        """
        return self.stamp.position > 0 and not self._is_behind(now)

    def must_read(self, now: float) -> bool:
        """Return whether this daemon should read the store for a newer set."""
        return self._is_behind(now) and now - self._claimed_since > CLAIM_WAIT_SECONDS

    def _is_behind(self, now: float) -> bool:
        newer = self._claimed > self._confirmed
        return newer and now - self._claimed_at <= CLAIM_EXPIRY_SECONDS

    def read(self, revision: int, names: frozenset[str], era: int = 0) -> bool:
        """Apply the set that the store had at a revision; return whether it changes.

        An answer that was overtaken by a newer one changes nothing, nor does one of a
        former era.
        """
        position = position_of(era, max(1, revision))
        if position < self._confirmed:
            return False
        if self.stamp.position and names == self._listed and era == self.era:
            self._confirmed = position
            return False
        return self._install(position, names)

    def compare(self, now: float, stamp: Stamp) -> bool:
        """Compare a datagram's stamp; return whether its sender has a newer set."""
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
            # This daemon's set is the newer one. Its stamp is raised, as others would
            # otherwise keep the older set, whose stamp is higher.
            self.stamp = self.stamp._replace(position=self._confirmed)
            return False
        if not self._is_behind(now):
            self._claimed_since = now
        self._claimed = max(self._claimed, stamp.position)
        self._claimed_at = now
        return True

    def _is_listed(self, stamp: Stamp) -> bool:
        """Return whether a stamp is that of the listed set, in any era."""
        if era_of(stamp.position) == era_of(self.stamp.position):
            return stamp.digest == self.stamp.digest
        return stamp.digest == _digest(self._listed, stamp.position)

    def agrees(self, stamp: Stamp) -> bool:
        """Return whether a stamp is that of the same set."""
        return stamp.position > 0 and stamp.digest == self.stamp.digest

    def may_request(self, now: float) -> bool:
        """Return whether a request may be sent now, and note that it is."""
        if now - self._asked_at < REQUEST_INTERVAL_SECONDS:
            return False
        self._asked_at = now
        return True

    def merge(self, body: bytes) -> bool | None:
        """Apply another daemon's set; return whether it changes this one.

        None is returned if the body is malformed.
        """
        decoded = _decode(body)
        if decoded is None:
            return None
        position, names = decoded
        if position <= self._confirmed:
            return False
        return self._install(position, names)

    def encode(self) -> bytes:
        """Return the listed set as it is sent to other daemons."""
        rows = [self.stamp.position, *sorted(self._listed)]
        return json.dumps(rows, separators=(",", ":")).encode()

    def expire(self, now: float) -> bool:
        """Drop retained orders that have expired; return whether any was dropped.

        Their time starts with the first call after the store was restored.
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
        # Once the store lists an order again, the store also shows when it ends.
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
    """Return the digest of a set, which also depends on the era.

    Without the era, a daemon of a version that knows no eras would take a set of the
    new era from others, reject everything that it reads there as older, and go on
    confirming the set. Other daemons would accept the confirmation, and none would read
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
