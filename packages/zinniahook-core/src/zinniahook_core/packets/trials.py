"""Trials that find out which flows a target older than its agent holds.

An agent that was restarted alone knows nothing of its target's flows. It sends one
packet of an unknown flow to the target. If the target doesn't hold the flow, it returns
the packet at once; otherwise the flow belongs to the target.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .flows import Flow, Flows, FlowState
from .models import Links, Packet
from .searches import Acceptance
from .target import Target
from .tunnel import Head

__all__ = ["Trials"]

TRIAL_SECONDS = 0.05
"""Seconds in which a target returns a packet of a flow that it doesn't hold; it takes
under 1 ms. If the target has sent anything since, the flow counts as owned."""

MAX_TRIAL_SECONDS = 1.5
"""Seconds after which a trial ends without a result: longer than the interval of
heartbeats, which a live target sends even if it receives nothing."""

MAX_REPEAT_SECONDS = 0.4
"""Seconds after which a target isn't sent a packet again: its client has repeated it by
then, or has its answer, and the target may be a different one that has just started.
An agent that still searches asks again."""

DENIAL_SECONDS = 4.0
"""Seconds for which a returned flow isn't tried again: twice the time after which a
flow counts as broken if only other targets get its packets."""

MAX_DENIALS = 16384
MAX_CHECKS_PER_TICK = 256

MAX_FLOW_SECONDS = 60.0
"""Seconds after which no flow can be older than this process."""


class _Trial(NamedTuple):
    """A packet that was sent to the target to see whether the target returns it."""

    begun: float
    given_at: float
    raw: bytes
    repeated: bool = False
    asker_notified: bool = False


class Trials:
    """The trials of one agent.

    Parameters
    ----------
    flows : Flows
        Flows of the agent, including those on trial.
    target : Target
        State of the target.
    links : Links
        Sends packets to the target.
    found : callable
        Called with the time and a flow that turned out to be owned.
    pending : callable
        Called with the time and an agent that asked for a flow on trial here.
    """

    def __init__(
        self,
        flows: Flows,
        target: Target,
        links: Links,
        found: Callable[[float, Flow], None],
        pending: Callable[[float, str], None],
    ) -> None:
        self._flows = flows
        self._target = target
        self._links = links
        self._found = found
        self._pending = pending
        self._started: float | None = None
        self._by_flow: dict[bytes, _Trial] = {}
        self._denied_until: dict[bytes, float] = {}

    def start(self, now: float) -> None:
        """Start; for a while, flows may be older than this process."""
        self._started = now

    def begin(
        self, now: float, head: Head, packet: Packet, asker: str = ""
    ) -> Acceptance:
        """Try a packet if its flow may be older than this agent.

        A flow already on trial is undecided. Otherwise, when another agent has asked
        for the flow and this agent searches for it as its home, all other agents would
        deny it, and this agent would reset a flow of its own target.
        """
        key = packet.flow
        known = self._flows.get(key)
        if known is not None:
            return Acceptance.OPEN if known.state is FlowState.TRIED else Acceptance.NO
        if not self._may_hold_unknown(now):
            return Acceptance.NO
        if now < self._denied_until.get(key, 0.0):
            return Acceptance.NO
        flow = Flow(key, FlowState.TRIED, now, head.entry, asker)
        flow.acknowledged = packet.acknowledged
        self._flows.add(flow)
        self._by_flow[key] = _Trial(now, now, packet.raw)
        self._links.to_target(packet.raw)
        return Acceptance.OPEN

    def denied(self, now: float, key: bytes) -> None:
        """Note that the target returned a packet; don't try its flow for a while.

        Otherwise, if the agent of the flow's target restarts too and can't answer yet,
        the client would repeat its packet, and other targets would get each copy of it.
        """
        self._by_flow.pop(key, None)
        denied = self._denied_until
        denied[key] = now + DENIAL_SECONDS
        while len(denied) > MAX_DENIALS:
            del denied[next(iter(denied))]

    def succeeded(self, now: float, flow: Flow) -> None:
        """Note that the target holds a flow."""
        flow.state = FlowState.OPEN
        flow.accepted_at = now
        self._by_flow.pop(flow.key, None)
        self._found(now, flow)

    def tick(self, now: float) -> None:
        """End trials whose packets the target has kept.

        Silence alone doesn't count. Otherwise the agent of a dead target would claim
        every flow that it is asked for, and later reset flows of others.
        """
        trials = list(self._by_flow.items())[:MAX_CHECKS_PER_TICK]
        self._notify_askers(now, trials)
        for key, trial in trials:
            if now - trial.given_at < TRIAL_SECONDS:
                continue
            flow = self._flows.get(key)
            if flow is None or flow.state is not FlowState.TRIED:
                del self._by_flow[key]
            elif (
                self._target.heard_since(trial.given_at)
                and now - trial.given_at <= MAX_REPEAT_SECONDS
            ):
                self._decide(now, flow, trial)
            elif now - trial.begun > MAX_TRIAL_SECONDS or self._target.heard_since(
                trial.given_at
            ):
                del self._by_flow[key]
                self._flows.drop(key)

    def _notify_askers(self, now: float, trials: list[tuple[bytes, _Trial]]) -> None:
        """Notify askers that this agent is running and will answer later."""
        askers: dict[str, None] = {}
        for key, trial in trials:
            flow = self._flows.get(key)
            if not trial.asker_notified and flow is not None and flow.asker:
                self._by_flow[key] = trial._replace(asker_notified=True)
                askers[flow.asker] = None
        for asker in askers:
            self._pending(now, asker)

    def _decide(self, now: float, flow: Flow, trial: _Trial) -> None:
        """Claim a flow whose packet a live target has kept twice.

        Once isn't enough. If the target was dead when it was sent the packet and
        another one has started since, the first packet of the new target would seem to
        come from a target that kept the packet.
        """
        if trial.repeated:
            self.succeeded(now, flow)
            return
        self._by_flow[flow.key] = trial._replace(
            given_at=now, repeated=True, asker_notified=True
        )
        self._links.to_target(trial.raw)

    def _may_hold_unknown(self, now: float) -> bool:
        if self._started is None or now - self._started > MAX_FLOW_SECONDS:
            return False
        return self._target.may_be_older
