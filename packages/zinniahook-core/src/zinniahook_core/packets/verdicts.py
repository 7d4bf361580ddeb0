"""What was found out of flows that nobody owns, for as long as it holds.

A search asks a part of the service. What it has found out rests on who was there
and who answered: nothing changes it but an agent that comes, comes back, starts
again or hadn't answered, or an owner that tells of the flow. So a verdict keeps
the roster's epoch in which its search began, and whose answer is missing.
"""

from __future__ import annotations

from dataclasses import dataclass

from .flows import SEQUENCE_SPAN
from .formers import FLOW_MAX_AGE_SECONDS
from .models import Packet

__all__ = ["PERMANENT_EPOCH", "SearchVerdict", "Verdicts"]

VERDICTS_LIMIT = 16384
"""Verdicts kept, 4 MB; the oldest is forgotten, and its flow searched for again."""

PERMANENT_EPOCH = 1 << 62
"""Epoch of a verdict that no agent's coming changes: the flow has ended at its
own target."""

SAME_FLOW_BYTES = 1 << 16
"""Bytes around what the client acknowledged: more than a target has in flight.
What goes wrong with more: the client opens another flow from the same port, and
its packets are taken for those of the former one."""


@dataclass(slots=True)
class SearchVerdict:
    """What is known of one flow that nobody owns.

    ``epoch`` is the roster's as the search began, ``missing`` who was asked in
    vain or was silent; without any, certainly nobody owns the flow. ``until`` is
    when no flow can be as old any more.
    """

    until: float
    acknowledged: int
    epoch: int
    missing: frozenset[str] = frozenset()

    @property
    def has_ended(self) -> bool:
        """Whether the agent of the flow's own target has told its end."""
        return self.epoch == PERMANENT_EPOCH

    def covers(self, address: str, changed_epoch: int) -> bool:
        """Tell whether it rests on an answer of an agent as it is now.

        Parameters
        ----------
        address : str
            The agent's.
        changed_epoch : int
            Epoch in which it came, came back, or started again.
        """
        return changed_epoch <= self.epoch and address not in self.missing


class Verdicts:
    """The verdicts of one agent, by flow."""

    def __init__(self) -> None:
        self._by_flow: dict[bytes, SearchVerdict] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def get(self, now: float, packet: Packet) -> SearchVerdict | None:
        """Return the verdict on a packet's flow, None if there is none."""
        verdict = self._by_flow.get(packet.flow)
        if verdict is None or now >= verdict.until:
            return None
        ahead = (packet.acknowledged - verdict.acknowledged) % SEQUENCE_SPAN
        near = min(ahead, SEQUENCE_SPAN - ahead) <= SAME_FLOW_BYTES
        return verdict if near else None

    def keep(
        self,
        now: float,
        flow: bytes,
        acknowledged: int,
        epoch: int,
        missing: frozenset[str] = frozenset(),
    ) -> None:
        """Remember what a search has found out, in place of what was known."""
        self._by_flow.pop(flow, None)
        until = now + FLOW_MAX_AGE_SECONDS
        self._by_flow[flow] = SearchVerdict(until, acknowledged, epoch, missing)
        while len(self._by_flow) > VERDICTS_LIMIT:
            del self._by_flow[next(iter(self._by_flow))]

    def forget(self, flow: bytes) -> None:
        """Forget a verdict: the flow has an owner, or another one is opened."""
        self._by_flow.pop(flow, None)
