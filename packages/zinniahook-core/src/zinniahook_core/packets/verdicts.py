"""Remembers flows for which a search has found no owner.

A search asks only some agents, so its result depends on the agents that were present
and answered. It stays valid until an agent joins, comes back, restarts or gives a
missing answer, or until an owner reports the flow. A verdict therefore records the
roster's epoch at the start of its search and the agents whose answers are missing.
"""

from __future__ import annotations

from dataclasses import dataclass

from .formers import FLOW_MAX_AGE_SECONDS
from .models import Packet
from .sequences import IN_FLIGHT_BYTES, is_near

__all__ = ["PERMANENT_EPOCH", "SearchVerdict", "Verdicts"]

VERDICTS_LIMIT = 16384
"""Verdicts kept, 4 MB. When the oldest is dropped, its flow is searched for again."""

PERMANENT_EPOCH = 1 << 62
"""Epoch of a verdict that stays valid whatever agents join: the flow has ended at its
own target."""

SAME_FLOW_BYTES = IN_FLIGHT_BYTES
"""Distance from the acknowledged number within which a packet belongs to the same flow:
a flow without an owner gets no further. With a larger one, packets of a new flow that
the client opens from the same port would be considered those of the former flow."""


@dataclass(slots=True)
class SearchVerdict:
    """The result of a search that found no owner of a flow.

    ``epoch`` is that of the roster when the search began. ``missing`` are the agents
    that were silent or didn't answer; if there are none, the flow certainly has no
    owner. ``until`` is when the flow exceeds its maximum age.
    """

    until: float
    acknowledged: int
    epoch: int
    missing: frozenset[str] = frozenset()

    @property
    def has_ended(self) -> bool:
        """Whether the agent of the flow's own target has reported its end."""
        return self.epoch == PERMANENT_EPOCH

    def covers(self, address: str, changed_epoch: int) -> bool:
        """Return whether the verdict includes the answer of an agent.

        Parameters
        ----------
        address : str
            Address of the agent.
        changed_epoch : int
            Epoch in which it joined, came back or restarted.
        """
        return changed_epoch <= self.epoch and address not in self.missing


class Verdicts:
    """The verdicts of one agent, by flow."""

    def __init__(self) -> None:
        self._by_flow: dict[bytes, SearchVerdict] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def get(self, now: float, packet: Packet) -> SearchVerdict | None:
        """Return the verdict on a packet's flow, or None."""
        verdict = self._by_flow.get(packet.flow)
        if verdict is None or now >= verdict.until:
            return None
        is_same = is_near(packet.acknowledged, verdict.acknowledged, SAME_FLOW_BYTES)
        return verdict if is_same else None

    def keep(
        self,
        now: float,
        flow: bytes,
        acknowledged: int,
        epoch: int,
        missing: frozenset[str] = frozenset(),
    ) -> None:
        """Store the result of a search, in place of an earlier one."""
        self._by_flow.pop(flow, None)
        until = now + FLOW_MAX_AGE_SECONDS
        self._by_flow[flow] = SearchVerdict(until, acknowledged, epoch, missing)
        while len(self._by_flow) > VERDICTS_LIMIT:
            del self._by_flow[next(iter(self._by_flow))]

    def forget(self, flow: bytes) -> None:
        """Drop a verdict: the flow has an owner, or its key is used again."""
        self._by_flow.pop(flow, None)
