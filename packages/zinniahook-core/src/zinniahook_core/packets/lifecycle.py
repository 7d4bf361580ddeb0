"""Applies what a target reports of itself to its agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .incarnations import HeartbeatOrigin
from .models import Heartbeat

if TYPE_CHECKING:
    from .agent import Agent

__all__ = ["Lifecycle"]


class Lifecycle:
    """The starts and the end of one agent's target.

    Parameters
    ----------
    agent : Agent
        The agent beside the target.
    """

    def __init__(self, agent: Agent) -> None:
        self._agent = agent

    def heartbeat(self, now: float, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return False if it isn't the target's.

        Whatever isn't applied must not be acknowledged: a target that reports that it
        is leaving relies on getting no further openings.
        """
        agent, target = self._agent, self._agent.target
        former, had_target = target.service, bool(target.name)
        is_other = bool(former) and heartbeat.service != former
        # Another writer may name a service that doesn't exist.
        if is_other and not agent.routes.names_service(heartbeat.service):
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
            self._end_former_flows(now)
        if target.service != former:
            agent.change_service()
        agent.membership.tick(now)
        return True

    def _reject(self, event: str, heartbeat: Heartbeat) -> None:
        self._agent.log.event(
            event,
            target=heartbeat.target,
            of=heartbeat.service,
            born=heartbeat.born,
            current=self._agent.target.name,
        )

    def _end_former_flows(self, now: float) -> None:
        agent = self._agent
        agent.flows.forget_work()
        ended = agent.resets.end_all("target.replaced", agent.target.former_until)
        agent.registry.announce_ended(now, ended)
        agent.queue.admit(now)

    def note_ended(self, now: float, target: str, born: int | None) -> bool:
        """Note that a target reports its end; return whether it is the known one."""
        agent = self._agent
        if not agent.target.note_ended(target, born):
            agent.log.event(
                "end.unconfirmed", target=target, born=born, current=agent.target.name
            )
            return False
        self._hand_over(now)
        return True

    def note_vanished(self, now: float) -> None:
        """Note that no process runs any more where the target did."""
        self._agent.target.note_vanished()
        self._hand_over(now)

    def _hand_over(self, now: float) -> None:
        self._agent.home.hand_over()
        self._agent.membership.tick(now)
