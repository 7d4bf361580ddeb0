"""Overload of a home's service, and the rejection of openings."""

from __future__ import annotations

from .allocation import ServiceLoad
from .features import FeatureSwitch
from .members import Roster
from .node import Node
from .rejections import HeldOpening

__all__ = ["Overload"]


class Overload:
    """Watches the load of one home's service.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    roster : Roster
        The agents of the service.
    """

    def __init__(self, node: Node, roster: Roster) -> None:
        self.load = ServiceLoad()
        self._node = node
        self._roster = roster
        self._switch = FeatureSwitch(node.features, bool(node.features.shared_room))

    def review(self, now: float) -> None:
        """Review the load of the service if it is time."""
        service = self._roster.service
        if not self._switch.is_on(self._node.routes, service):
            self.load.clear()
            return
        if not self.load.is_due(now, len(self._roster.by_address)):
            return
        if self.load.review(now, self._roster.openers(now)):
            begun = self.load.since is not None
            event = "room.overloaded" if begun else "room.relieved"
            self._node.log.event(event, service=service, **self.load.log_fields())

    def reject(self, held: HeldOpening) -> None:
        """Reset an opening, so that its client knows that no target has accepted it."""
        packet = held.packet
        self._node.log.count("openings.rejected")
        self._node.log.event(
            "opening.rejected",
            flow=packet.flow,
            opening=packet.sequence,
            **self.load.log_fields(held.traffic_class),
        )
        reset = self._node.codec.reset(packet.flow, packet.acknowledged)
        self._node.links.to_client(packet.flow, reset)
