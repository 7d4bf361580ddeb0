"""Which agent opens a flow.

Loads: a calm day at 40 to 60 % of the slots, a target that is slow or cold,
several that come back at the same moment. The home compares all ready members
by the requests that each has in progress for its slots. What it placed itself
since a member's last status counts too, or it would send every opening of
0.2 s to the member that was idle at the last status.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from .flows import Flow
from .forecasts import DEFAULT_BUSY_SHARE, decode_expected_busy
from .member import Member
from .models import route_key
from .sections import Section

__all__ = ["Volumes", "choose", "cost", "usable"]

REMOTE_COST = 0.5
"""What another data centre costs for a flow of `TYPICAL_VOLUME_BYTES`, in the unit of
`cost`: half of the slots busy. Up to there a request waits for nobody."""

TYPICAL_VOLUME_BYTES = 40_000.0
"""Bytes of an export, and of a stream in 20 answers of 2,000."""

MIN_REMOTE_COST = 0.1
MAX_REMOTE_COST = 1.0
VOLUME_WEIGHT = 0.02
"""Weight of a packet in the mean volume of a route's flows."""

MAX_ROUTES = 8192

WARMING_FACTOR = 1.6
"""How much longer a target works while it warms up."""

MAX_ADVANTAGE = 0.25
"""Requests a slot by which a target that was promised less work than the others
is preferred at most. What goes wrong without: targets are replaced one after the
other, and the flows of each come back as a wave that goes to the newest alone."""

JITTER = 0.1
"""Spreads homes that see the same loads; below the cost of one slot of four."""

FORECAST_JITTER = 0.02
"""The same among promises, which change slowly: a tenth would hide who was
promised a fifth more than the others."""

SLOW_FACTOR = 2.0
"""How much longer than usual the answers of a slow target take; loads of
different clients alone differ by less than two."""

PLACED_WEIGHT = 1.0
"""Requests in progress that a placed opening counts as, until the next
status."""

MAX_EJECTED_SHARE = 0.5
"""Share of the targets for a flow that may be set aside. If more fail, it is no
longer one of them that is bad, and the rest couldn't bear it."""


class Volumes:
    """How much the target sends in a flow, by route.

    What a flow sends is what its distance costs: a ticket of 600 bytes may go
    to the other data centre for a shorter queue, an export may not.
    """

    def __init__(self) -> None:
        self._means: dict[bytes, float] = {}

    def add(self, flow: Flow, length: int) -> None:
        """Count a packet of a flow."""
        flow.bytes_sent += length
        route = route_key(flow.key)
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) < MAX_ROUTES:
                self._means[route] = float(flow.bytes_sent)
            return
        self._means[route] = mean + VOLUME_WEIGHT * (flow.bytes_sent - mean)

    def remote_cost(self, key: bytes) -> float:
        """Return what another data centre costs for a new flow."""
        mean = self._means.get(route_key(key), TYPICAL_VOLUME_BYTES)
        share = mean / TYPICAL_VOLUME_BYTES * REMOTE_COST
        return min(MAX_REMOTE_COST, max(MIN_REMOTE_COST, share))


class ExpectedLoad(NamedTuple):
    """The work to come: requests after the first, and what a member is promised."""

    later: float
    expected_busy: float

    def mean(self, busy: float, slots: int) -> float:
        """Return the load that the requests of a flow meet on average.

        The first one meets that of now, the others what the flows that are open
        will bring. Where the first one must wait, it waits for whoever is above
        the slots. What goes wrong with the load of now alone: it changes in each
        tenth of a second, and which target it favours says nothing of the minute
        that a flow lasts.
        """
        ahead = max(0.0, busy + 1 - slots)
        return (busy + self.later * (self.expected_busy + ahead)) / (1 + self.later)


def expected_busy(member: Member) -> float:
    """Return the requests in progress that a member's open flows are to bring."""
    told = decode_expected_busy(member.sections.get(Section.WORK, b""))
    return member.flows * DEFAULT_BUSY_SHARE if told is None else told


def expected_loads(members: Sequence[Member], later: float) -> dict[str, ExpectedLoad]:
    """Return what members are promised, for a flow that ``later`` requests follow.

    One that was promised less than the others counts as promised `MAX_ADVANTAGE` less
    at most, and as the others while it is cold.
    """
    found = [expected_busy(member) for member in members]
    slots = sum(member.slots for member in members)
    usual = sum(found) / max(1, slots)
    least = [
        usual * m.slots if m.warming > 0 else (usual - MAX_ADVANTAGE) * m.slots
        for m in members
    ]
    return {
        member.address: ExpectedLoad(later, max(one, low))
        for member, one, low in zip(members, found, least, strict=True)
    }


def cost(
    member: Member,
    zone: int,
    usual: float,
    remote: float,
    expected: ExpectedLoad | None = None,
) -> float:
    """Return how unfavourable a member is for an opening.

    ``zone`` is the tag of the client's data centre, ``usual`` the
    usual time until an answer begins, ``remote`` what another zone costs,
    ``expected`` the work to come, None if nothing tells.
    """
    busy = member.busy + member.placed * PLACED_WEIGHT
    if expected is None:
        busy += member.flows * DEFAULT_BUSY_SHARE
    else:
        busy = expected.mean(busy, member.slots)
    load = busy / max(1, member.slots)
    if member.warming > 0:
        factor = member.cold or WARMING_FACTOR
        load = load * factor + factor - 1
    if usual and member.answer_time > SLOW_FACTOR * usual:
        load = (load + 1) * member.answer_time / usual
    return load + (remote if zone != member.zone else 0.0)


def choose(
    members: Sequence[Member],
    zone: int,
    remote: float,
    rng: random.Random,
    later: float | None = None,
) -> Member | None:
    """Return the member that should open a flow, None if there is none.

    ``later`` is how many requests follow the first one of the flow, None if
    flows aren't placed by what they bring.
    """
    if not members:
        return None
    times = sorted(member.answer_time for member in members)
    usual = times[(len(times) - 1) // 2]
    expected = expected_loads(members, later) if later is not None else {}
    # If no request follows the first, promises count for nothing: see `mean`.
    jitter = FORECAST_JITTER if later else JITTER
    chosen = min(
        members,
        key=lambda member: (
            cost(member, zone, usual, remote, expected.get(member.address))
            + jitter * rng.random()
        ),
    )
    chosen.placed += 1
    return chosen


def usable(members: Sequence[Member], rng: random.Random) -> Sequence[Member]:
    """Return those that an opening may go to, as their answers are trusted.

    Those set aside get a trickle and no more while others have free slots. What
    goes wrong without the last: the rest can't bear the load, every request is
    late, and targets that would answer half of them stand idle.
    """
    if all(member.trust >= 1 for member in members):
        return members
    aside = [member for member in members if member.is_aside]
    tried = _draw_probed(aside, len(members), rng)
    if tried is not None:
        return [tried]
    aside.sort(key=lambda member: member.health.failing if member.health else 0.0)
    too_many = max(0, len(aside) - int(MAX_EJECTED_SHARE * len(members)))
    others = [member for member in members if not member.is_aside]
    used = [m for m in others if m.trust >= 1 or rng.random() < m.trust]
    used += aside[:too_many]
    if any(member.has_room for member in used):
        return used
    returning = [m for m in others if m not in used]
    spare = [m for m in aside[too_many:] if m.has_room and not m.is_lost]
    return [*used, *returning, *spare] or members


def _draw_probed(aside: list[Member], size: int, rng: random.Random) -> Member | None:
    """Draw whether an opening goes to a target that was set aside, and to which.

    One that works on something is left alone until that is done: it may hang.
    """
    drawn = rng.random() * size
    for member in aside:
        drawn -= member.trust
        if drawn < 0:
            return member if member.busy + member.placed < 1 else None
    return None
