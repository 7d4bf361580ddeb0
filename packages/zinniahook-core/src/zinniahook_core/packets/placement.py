"""Choice of the agent that opens a flow.

This handles normal operation at 40 to 60 % of the slots, a slow or cold target, and
several targets that return at the same moment. The home compares all ready members by
their requests in progress per slot. Openings that it has placed since a member's last
status count too. Otherwise it would send all openings of 0.2 s to the member that was
idle at the last status.
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
"""Cost of another data centre for a flow of `TYPICAL_VOLUME_BYTES`, in the unit of
`cost`: half of the slots busy. Up to that load no request has to wait."""

TYPICAL_VOLUME_BYTES = 40_000.0
"""Bytes of an export, or of a stream with 20 answers of 2,000 bytes."""

MIN_REMOTE_COST = 0.1
MAX_REMOTE_COST = 1.0
VOLUME_WEIGHT = 0.02
"""Weight of a packet in the mean volume of a route's flows."""

MAX_ROUTES = 8192

WARMING_FACTOR = 1.6
"""How many times longer a target works while it warms up."""

MAX_ADVANTAGE = 0.25
"""Maximum preference, in requests per slot, for a target with less expected work than
the others. Otherwise, when targets are replaced one after the other, the flows of
each would return in a wave that goes to the newest target only."""

JITTER = 0.1
"""Spreads the choices of homes that see the same loads; below the cost of one slot of
four."""

FORECAST_JITTER = 0.02
"""The same for expected loads, which change slowly: with a tenth, the jitter would hide
a target whose expected load is a fifth above the others'."""

SLOW_FACTOR = 2.0
"""Ratio to the usual answer time from which a target is slow; through their different
clients alone, targets differ by less than a factor of two."""

PLACED_WEIGHT = 1.0
"""Requests in progress that a placed opening counts as, until the next status."""

MAX_EJECTED_SHARE = 0.5
"""Maximum share of a flow's targets that may be ejected. If more of them fail, the
fault isn't that of single targets, and the rest couldn't carry the load."""


class Volumes:
    """How much the target sends in a flow, by route.

    The volume of a flow determines the cost of distance: a ticket of 600 bytes may go
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
        """Return the cost of another data centre for a new flow."""
        mean = self._means.get(route_key(key), TYPICAL_VOLUME_BYTES)
        share = mean / TYPICAL_VOLUME_BYTES * REMOTE_COST
        return min(MAX_REMOTE_COST, max(MIN_REMOTE_COST, share))


class ExpectedLoad(NamedTuple):
    """Expected load: requests after the first, and the expected busy requests."""

    later: float
    expected_busy: float

    def mean(self, busy: float, slots: int) -> float:
        """Return the load that the requests of a flow meet on average.

        The first request meets the present load, the later ones the load that the open
        flows are expected to bring. Requests above the slots delay the first request.
        With the present load alone, the choice would depend on a value that changes
        every tenth of a second and says nothing about the minute that a flow lasts.
        """
        ahead = max(0.0, busy + 1 - slots)
        return (busy + self.later * (self.expected_busy + ahead)) / (1 + self.later)


def expected_busy(member: Member) -> float:
    """Return the requests in progress expected from a member's open flows."""
    reported = decode_expected_busy(member.sections.get(Section.WORK, b""))
    return member.flows * DEFAULT_BUSY_SHARE if reported is None else reported


def expected_loads(members: Sequence[Member], later: float) -> dict[str, ExpectedLoad]:
    """Return each member's expected load, for a flow with ``later`` more requests.

    A member with a lower expected load than the others counts as at most
    `MAX_ADVANTAGE` below them, and as equal to them while it is cold.
    """
    loads = [expected_busy(member) for member in members]
    slots = sum(member.slots for member in members)
    usual = sum(loads) / max(1, slots)
    minimums = [
        usual * m.slots if m.warming > 0 else (usual - MAX_ADVANTAGE) * m.slots
        for m in members
    ]
    return {
        member.address: ExpectedLoad(later, max(load, minimum))
        for member, load, minimum in zip(members, loads, minimums, strict=True)
    }


def cost(
    member: Member,
    zone: int,
    usual: float,
    remote: float,
    expected: ExpectedLoad | None = None,
) -> float:
    """Return the cost of placing an opening at a member.

    ``zone`` is the tag of the client's data centre, ``usual`` the usual time until an
    answer begins, ``remote`` the cost of another data centre, ``expected`` the expected
    load, None if unknown.
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

    ``later`` is how many requests follow the first one of the flow, None if flows
    aren't placed by their expected requests.
    """
    if not members:
        return None
    times = sorted(member.answer_time for member in members)
    usual = times[(len(times) - 1) // 2]
    expected = expected_loads(members, later) if later is not None else {}
    # If no request follows the first, expected loads have no weight: see `mean`.
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
    """Return the members that an opening may go to, given the trust in their answers.

    Ejected members get only their probe share while others have free slots. They get
    more when no other has one: otherwise the rest couldn't carry the load, every
    request would be late, and targets that would answer half of them would be idle.
    """
    if all(member.trust >= 1 for member in members):
        return members
    ejected = [member for member in members if member.is_ejected]
    probed = _draw_probed(ejected, len(members), rng)
    if probed is not None:
        return [probed]
    ejected.sort(key=lambda member: member.health.failing if member.health else 0.0)
    excess = max(0, len(ejected) - int(MAX_EJECTED_SHARE * len(members)))
    others = [member for member in members if not member.is_ejected]
    used = [m for m in others if m.trust >= 1 or rng.random() < m.trust]
    used += ejected[:excess]
    if any(member.has_free_slot for member in used):
        return used
    returning = [m for m in others if m not in used]
    spare = [m for m in ejected[excess:] if m.has_free_slot and not m.fails_mostly]
    return [*used, *returning, *spare] or members


def _draw_probed(ejected: list[Member], size: int, rng: random.Random) -> Member | None:
    """Draw the ejected member that a probe goes to, None for no probe.

    A member with a request in progress gets no other probe until that is done, as it
    may hang.
    """
    drawn = rng.random() * size
    for member in ejected:
        drawn -= member.trust
        if drawn < 0:
            return member if member.busy + member.placed < 1 else None
    return None
