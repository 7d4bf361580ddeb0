"""Applies what a target reports of itself: its heartbeats and its end."""

from __future__ import annotations

from collections.abc import Callable

from .incarnations import HeartbeatOrigin
from .models import Heartbeat
from .node import Node
from .target import Target

__all__ = ["Lifecycle"]


class Lifecycle:
    """The starts and the end of one agent's target.

    Parameters
    ----------
    node : Node
        The agent; knows the routes and logs.
    target : Target
        State of the target.
    replaced : callable
        Called with the time when another target has started in its place.
    moved : callable
        Called when the target has started in another service.
    """

    def __init__(
        self,
        node: Node,
        target: Target,
        replaced: Callable[[float], None],
        moved: Callable[[], None],
    ) -> None:
        self._node = node
        self._target = target
        self._replaced = replaced
        self._moved = moved

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if it isn't the target's.

        Whatever isn't applied must not be acknowledged: a target that reports that it
        is leaving relies on getting no further openings.
        """
        target = self._target
        former, had_target = target.service, bool(target.name)
        is_other = bool(former) and heartbeat.service != former
        # Another writer may name a service that doesn't exist.
        if is_other and not self._node.routes.names_service(heartbeat.service):
            self._reject("heartbeat.foreign", heartbeat)
            return False
        origin = target.heartbeat(now, heartbeat)
        if origin is HeartbeatOrigin.UNCONFIRMED:
            self._reject("heartbeat.unconfirmed", heartbeat)
            return False
        if heartbeat.leaving and not target.leaving:
            # It was overtaken by a number that another writer sent.
            return False
        if origin is HeartbeatOrigin.STARTED and had_target:
            self._replaced(now)
        if target.service != former:
            self._moved()
        return True

    def _reject(self, event: str, heartbeat: Heartbeat) -> None:
        self._node.log.event(
            event,
            target=heartbeat.target,
            of=heartbeat.service,
            born=heartbeat.born,
            current=self._target.name,
        )

    def end(self, target: str, born: int | None) -> bool:
        """Note that a target reports its end; return whether it is the known one."""
        is_known = self._target.note_ended(target, born)
        if not is_known:
            self._node.log.event(
                "end.unconfirmed", target=target, born=born, current=self._target.name
            )
        return is_known
