"""Resets of flows that an agent's target doesn't hold any more."""

from __future__ import annotations

from .flows import Flow, Flows, FlowState
from .models import Packet
from .node import Node
from .target import Target

__all__ = ["Resets"]

ENDING_STATES = frozenset((FlowState.OPEN, FlowState.CLOSED))
"""Flows that end together with their target; a client that has closed its own flow
isn't sent a reset."""


class Resets:
    """The resets of one agent.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    target : Target
        State of the target.
    flows : Flows
        The flows that may have ended.
    """

    def __init__(self, node: Node, target: Target, flows: Flows) -> None:
        self._node = node
        self._target = target
        self._flows = flows

    def end_all(self, why: str, until: float) -> list[Flow]:
        """Reset the flows that a target accepted until it ended; return them.

        No target holds them any more, and their clients may retry immediately. The time
        is needed because a new target accepts flows before its first heartbeat: they
        would be reset as if they were the former target's.
        """
        ended = [
            flow
            for flow in self._flows.by_key.values()
            if flow.state in ENDING_STATES and flow.accepted_at <= until
        ]
        opened = [flow for flow in ended if flow.state is FlowState.OPEN]
        for flow in ended:
            self._flows.drop(flow.key)
        if opened:
            self._node.log.event(
                "reset.all", why=why, flows=len(opened), target=self._target.name
            )
        for flow in opened:
            self._node.log.event(
                "reset.target_ended", flow=flow.key, request=flow.request, why=why
            )
            self.reset(flow.key, flow.acknowledged)
        return ended

    def lost(self, flow: Flow, packet: Packet) -> None:
        """End a flow that the target held and has lost.

        The target has crashed and restarted; the client may retry immediately instead
        of waiting for its timeout. If the target had closed the flow, the client may
        already have received everything.
        """
        if flow.state is FlowState.CLOSED and not packet.is_resettable:
            return
        self._node.log.event(
            "reset.lost_by_target",
            flow=flow.key,
            request=flow.request,
            target=self._target.name,
        )
        self.reset(flow.key, packet.acknowledged)

    def reset(self, key: bytes, acknowledged: int) -> None:
        """Reset one flow, whose client has acknowledged data up to ``acknowledged``."""
        self._node.log.count("resets")
        self._node.links.to_client(key, self._node.codec.reset(key, acknowledged))
