"""Forecast of the requests that open flows will send to their target.

Most requests arrive on flows that are already open, and each goes to the target that
was chosen at the flow's opening. The agent samples its flows and learns, by route, for
which share of a flow's life a request is in progress and how many more requests an open
flow brings. Agents exchange these shares and use the mean of all. The requests expected
of an agent's flows are part of its status, beside its present load; see
``docs/design/room.md``.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator

from .flows import Flow, Flows, FlowState
from .models import route_key
from .outcomes import route_tag

__all__ = [
    "DEFAULT_BUSY_SHARE",
    "Forecast",
    "decode_expected_busy",
    "encode_expected_busy",
]

EXPECTED_FORMAT = struct.Struct("!H")
SHARE_FORMAT = struct.Struct("!HH")
SHARE_SCALE = 10_000
MAX_REPORTED_ROUTES = 8
"""Routes whose shares an agent reports, those with most flows: 4 bytes each."""

POOL_INTERVAL_SECONDS = 1.0
"""Seconds between two updates of the shares from other agents."""

EXPECTED_SCALE = 100
MAX_UINT16 = 0xFFFF

DEFAULT_BUSY_SHARE = 0.01
"""Requests in progress that an open flow counts as until its route is known: a client
that pauses for a hundred times as long as its requests take."""

DEFAULT_LATER_REQUESTS = 1.0
MAX_LATER_REQUESTS = 8.0
"""Later requests of a flow, the default for an unknown route and the maximum: other
placements see later requests too, and no free slot is kept free for them."""

MIN_SAMPLES = 50
"""Samples of open flows from which a route counts as known: a share of a tenth is then
known to within half of its value."""

SWEEP_DECAY = 0.98
"""Weight that earlier sweeps over the flows keep after a sweep. The last fifty count:
ten seconds with few flows, minutes with thousands."""

SAMPLE_INTERVAL_SECONDS = 0.2
FLOWS_PER_SAMPLE = 200
"""Flows sampled each time, 1,000 a second: a sweep over many flows takes longer and its
numbers are older, but no tick takes longer."""

MAX_ROUTES = 1024


class _RouteSample:
    """Samples of one route's open flows: all, busy ones, and requests so far.

    ``open`` counts those of the present sweep.
    """

    __slots__ = ("busy", "flows", "open", "request_count")

    def __init__(self) -> None:
        self.flows = 0.0
        self.busy = 0.0
        self.request_count = 0.0
        self.open = 0

    @property
    def is_known(self) -> bool:
        """Whether enough flows were sampled."""
        return self.flows >= MIN_SAMPLES


class Forecast:
    """What one agent learns of its flows.

    Parameters
    ----------
    flows : Flows
        The flows.
    """

    def __init__(self, flows: Flows) -> None:
        self.expected_busy = 0.0
        self._flows = flows
        self._by_route: dict[bytes, _RouteSample] = {}
        self._sweep: Iterator[bytes] = iter(())
        self._sampled_at = float("-inf")
        self._pooled_at = float("-inf")
        self._shares_by_tag: dict[int, float] = {}
        self._section = encode_expected_busy(0.0)

    def tick(self, now: float) -> None:
        """Sample some flows if it is time."""
        if now - self._sampled_at < SAMPLE_INTERVAL_SECONDS:
            return
        self._sampled_at = now
        for _ in range(FLOWS_PER_SAMPLE):
            key = next(self._sweep, None)
            if key is None:
                self._end_sweep()
                return
            flow = self._flows.get(key)
            if flow is not None and flow.state is FlowState.OPEN:
                self._sample(flow)

    def share(self, route: bytes) -> float:
        """Return the share of its life in which a flow of a route has a request."""
        pooled = self._shares_by_tag.get(route_tag(route))
        if pooled is not None:
            return pooled
        seen = self._by_route.get(route)
        return seen.busy / seen.flows if seen and seen.is_known else DEFAULT_BUSY_SHARE

    def later(self, route: bytes) -> float:
        """Return how many requests follow the first one of a flow.

        This equals the requests that open flows have sent so far, as a sample finds a
        flow at any point of its life with the same probability.
        """
        seen = self._by_route.get(route)
        if seen is None or not seen.is_known:
            return DEFAULT_LATER_REQUESTS
        return min(MAX_LATER_REQUESTS, max(0.0, seen.request_count / seen.flows - 1.0))

    def is_due(self, now: float) -> bool:
        """Return whether the other agents' shares should be read again."""
        return now - self._pooled_at >= POOL_INTERVAL_SECONDS

    def pool(self, now: float, sections: Iterable[bytes]) -> None:
        """Use the mean of the shares that all agents, including this one, report.

        With its own shares alone, an agent whose few flows are busier than usual for a
        while would consider them busy flows. It would report as much expected work as
        the others, and its next flows would go elsewhere.
        """
        self._pooled_at = now
        sums: dict[int, float] = {}
        counts: dict[int, int] = {}
        for body in sections:
            for tag, share in _shares(body):
                sums[tag] = sums.get(tag, 0.0) + share
                counts[tag] = counts.get(tag, 0) + 1
        self._shares_by_tag = {tag: sums[tag] / counts[tag] for tag in sums}

    def section(self) -> bytes:
        """Return the agent's report on its open flows, as of the last sweep."""
        return self._section

    def _encode_section(self) -> bytes:
        known = [
            (seen.flows, route, seen)
            for route, seen in self._by_route.items()
            if seen.is_known
        ]
        known.sort(key=lambda row: (-row[0], row[1]))
        rows = [
            SHARE_FORMAT.pack(
                route_tag(route), round(SHARE_SCALE * seen.busy / seen.flows)
            )
            for _, route, seen in known[:MAX_REPORTED_ROUTES]
        ]
        return encode_expected_busy(self.expected_busy) + b"".join(rows)

    def _sample(self, flow: Flow) -> None:
        route = route_key(flow.key)
        seen = self._by_route.get(route)
        if seen is None:
            if len(self._by_route) >= MAX_ROUTES:
                return
            seen = self._by_route[route] = _RouteSample()
        seen.flows += 1
        seen.request_count += max(1, flow.request_count)
        seen.open += 1
        if flow.requested_at is not None:
            seen.busy += 1

    def _end_sweep(self) -> None:
        """End a sweep over all flows and begin the next one."""
        self.expected_busy = sum(
            seen.open * self.share(route) for route, seen in self._by_route.items()
        )
        self._section = self._encode_section()
        for route, seen in list(self._by_route.items()):
            seen.flows *= SWEEP_DECAY
            seen.busy *= SWEEP_DECAY
            seen.request_count *= SWEEP_DECAY
            seen.open = 0
            if seen.flows < 1:
                del self._by_route[route]
        self._sweep = iter(list(self._flows.by_key))


def _shares(body: bytes) -> Iterator[tuple[int, float]]:
    """Decode the shares that an agent reported; none if they are malformed."""
    rows = body[EXPECTED_FORMAT.size :]
    if len(rows) % SHARE_FORMAT.size:
        return
    for tag, units in SHARE_FORMAT.iter_unpack(rows):
        yield tag, units / SHARE_SCALE


def encode_expected_busy(expected_busy: float) -> bytes:
    """Encode the requests expected of an agent's open flows."""
    return EXPECTED_FORMAT.pack(min(MAX_UINT16, round(expected_busy * EXPECTED_SCALE)))


def decode_expected_busy(body: bytes) -> float | None:
    """Decode the expected requests; None if malformed."""
    if len(body) < EXPECTED_FORMAT.size:
        return None
    expected_busy: int = EXPECTED_FORMAT.unpack_from(body)[0]
    return expected_busy / EXPECTED_SCALE
