"""The plain UDP flows that one agent owns, and which homes it told of them."""

from __future__ import annotations

from dataclasses import dataclass

from .effects import SendPeer
from .homes import Home, Homes
from .messages import FlowAnswer
from .pointers import PointerSender

__all__ = ["OwnedFlow", "OwnedFlows"]

RENEWALS_PER_IDLE_TIME = 3
FLOWS_PER_SWEEP = 1000


@dataclass(slots=True)
class OwnedFlow:
    """One flow; ``home`` is whom it was last notified_at to, as of ``epoch``."""

    opened: float
    seen: float
    epoch: int = -1
    home: Home | None = None
    notified_at: float = 0.0


class OwnedFlows:
    """Owned flows by their key; sees to it that each one's home knows.

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
        """Return the flow if it is owned here."""
        return self._by_flow.get(flow)

    def add(self, now: float, flow: bytes, known_by: str = "") -> None:
        """Own ``flow``; its home is notified_at, unless it is ``known_by``."""
        owned = OwnedFlow(opened=now, seen=now)
        self._by_flow[flow] = owned
        self._update_home(now, flow, owned, known_by)

    def notify_home(self, flow: bytes) -> None:
        """Tell the present home of an owned flow."""
        owned = self._by_flow.get(flow)
        if owned is not None and owned.home is not None:
            self._sender.enqueue(owned.home, flow)

    def forget(self, flow: bytes) -> None:
        """Own ``flow`` no longer."""
        owned = self._by_flow.pop(flow, None)
        if owned is not None and owned.home is not None:
            self._sender.forget(owned.home, flow)

    def confirmed(self, sender: str, message: FlowAnswer) -> None:
        """Take a home's confirmation of what it was told."""
        self._sender.confirmed(sender, message)

    def sweep(self, now: float, idle: float) -> list[bytes]:
        """Look over the next SWEEP flows; return those that went idle.

        A slice at a time, so that a change of roster with many flows does
        not hold up the packets.
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
        """Own nothing."""
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
        # Entries send straight to the owner while their hints last, so the
        # home sees no packet for hours; without a renewal its pointer would
        # run out, and the flow break when an entry is replaced.
        if owned.home is None or owned.home.name == self._homes.name:
            return
        if now - owned.notified_at >= idle / RENEWALS_PER_IDLE_TIME:
            owned.notified_at = now
            self._sender.enqueue(owned.home, flow)
