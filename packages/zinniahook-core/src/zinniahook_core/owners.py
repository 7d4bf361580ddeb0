"""Plain UDP flows that an agent owns, and the homes that have pointers to them."""

from __future__ import annotations

from dataclasses import dataclass

from .effects import SendPeer
from .homes import Home, Homes
from .messages import FlowAnswer
from .pointers import PointerSender

__all__ = ["OwnedFlow", "OwnedFlows"]

RENEWALS_PER_IDLE_TIME = 3
"""How often a pointer is renewed within the idle time of a flow."""
FLOWS_PER_SWEEP = 1000


@dataclass(slots=True)
class OwnedFlow:
    """An owned flow.

    ``home`` is the home that was last notified, as of ranking epoch ``epoch``.
    """

    opened: float
    seen: float
    epoch: int = -1
    home: Home | None = None
    notified_at: float = 0.0


class OwnedFlows:
    """Owned flows by key. Keeps the home of each flow informed.

    Parameters
    ----------
    homes : Homes
        The ranking, which the caller keeps up to date.
    """

    def __init__(self, homes: Homes) -> None:
        self._homes = homes
        self._by_flow: dict[bytes, OwnedFlow] = {}
        self._sender = PointerSender(homes.name)
        self._to_sweep: list[bytes] = []

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def get(self, flow: bytes) -> OwnedFlow | None:
        """Return the flow if this agent owns it."""
        return self._by_flow.get(flow)

    def add(self, now: float, flow: bytes, known_by: str = "") -> None:
        """Own ``flow`` and notify its home, unless the home is ``known_by``."""
        owned = OwnedFlow(opened=now, seen=now)
        self._by_flow[flow] = owned
        self._update_home(now, flow, owned, known_by)

    def notify_home(self, flow: bytes) -> None:
        """Send a pointer to the current home of an owned flow."""
        owned = self._by_flow.get(flow)
        if owned is not None and owned.home is not None:
            self._sender.enqueue(owned.home, flow)

    def forget(self, flow: bytes) -> None:
        """Stop owning ``flow``."""
        owned = self._by_flow.pop(flow, None)
        if owned is not None and owned.home is not None:
            self._sender.forget(owned.home, flow)

    def confirmed(self, sender: str, message: FlowAnswer) -> None:
        """Handle the confirmation of a batch of pointers."""
        self._sender.confirmed(sender, message)

    def sweep(self, now: float, idle: float) -> list[bytes]:
        """Check the next ``FLOWS_PER_SWEEP`` flows and return the idle ones.

        Checking a slice at a time keeps a roster change with many flows from
        delaying packets.
        """
        if not self._to_sweep:
            self._to_sweep = list(self._by_flow)
        ended = []
        for flow in self._to_sweep[-FLOWS_PER_SWEEP:]:
            owned = self._by_flow.get(flow)
            if owned is None:
                continue
            if now - owned.seen >= idle:
                self.forget(flow)
                ended.append(flow)
                continue
            self._renew_pointer(now, flow, owned, idle)
        del self._to_sweep[-FLOWS_PER_SWEEP:]
        return ended

    def messages(self, now: float, incarnation: int) -> list[SendPeer]:
        """Return the batches of pointers that are due."""
        return self._sender.send(now, incarnation)

    def clear(self) -> None:
        """Forget all flows."""
        self._by_flow.clear()
        self._sender.clear()

    def _update_home(
        self, now: float, flow: bytes, owned: OwnedFlow, known_by: str = ""
    ) -> None:
        home = self._homes.home(flow)
        owned.epoch = self._homes.epoch
        if home == owned.home:
            return
        if owned.home is not None:
            self._sender.forget(owned.home, flow)
        owned.home = home
        owned.notified_at = now
        if home is not None and home.name not in (self._homes.name, known_by):
            self._sender.enqueue(home, flow)

    def _renew_pointer(
        self, now: float, flow: bytes, owned: OwnedFlow, idle: float
    ) -> None:
        if owned.epoch != self._homes.epoch:
            self._update_home(now, flow, owned)
        # Entries send directly to the owner while their hints last, so the home may
        # see no packet for hours. Without a renewal its pointer would expire, and
        # the flow would break when an entry is replaced.
        if owned.home is None or owned.home.name == self._homes.name:
            return
        if now - owned.notified_at >= idle / RENEWALS_PER_IDLE_TIME:
            owned.notified_at = now
            self._sender.enqueue(owned.home, flow)
