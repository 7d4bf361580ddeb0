"""The requests that one target works on, as its agent observes them."""

from __future__ import annotations

from .flows import Flow, Flows
from .models import Packet, Urgency, route_key
from .node import Node
from .outcomes import route_tag_of
from .target import Target

__all__ = ["Requests"]


class Requests:
    """The requests in progress at one target.

    Parameters
    ----------
    node : Node
        The agent; logs, and knows the routes.
    target : Target
        State of the target, including its answer times.
    flows : Flows
        Counts requests in progress.
    """

    def __init__(self, node: Node, target: Target, flows: Flows) -> None:
        self._node = node
        self._target = target
        self._flows = flows

    def begun(
        self, now: float, flow: Flow, packet: Packet, waited: float = 0.0
    ) -> None:
        """Note data of a client, which begins or continues a request.

        ``waited`` is for how many seconds it waited here for a slot.
        """
        self._target.note_given(now)
        self._flows.asked(now, flow)
        if not flow.awaits_answer:
            self._measure(now, flow)
        request = self._node.codec.request(packet.raw)
        if request and request != flow.request:
            flow.request = request
            more = {"waited": round(waited, 4)} if waited else {}
            self._node.log.event(
                "request.begun",
                request=request,
                flow=flow.key,
                opening=flow.client_isn,
                busy=self._flows.busy,
                version=self._node.routes.version,
                **more,
            )

    def _measure(self, now: float, flow: Flow) -> None:
        """Note the load that a new request meets at the target.

        A request begins with its first data: an earlier packet without data only opened
        the flow, and that work was counted with the opening.
        """
        flow.awaits_answer = True
        flow.concurrency = max(1, self._flows.busy)
        flow.request_begun_at = now
        if self._target.health is not None:
            route = self._node.routes.by_address.get(route_key(flow.key))
            goal = route.urgency.goal if route else Urgency().goal
            load = flow.concurrency / max(1, self._target.usable_slots)
            tag = route_tag_of(flow.key)
            self._target.health.begun(now, flow.key, tag, goal, load)

    def answered(self, now: float, flow: Flow, packet: Packet) -> bool:
        """Note that the target has begun its answer; return whether one was due.

        The time of a failed request doesn't count. Otherwise a target that fails
        immediately would look like the fastest of all and get the openings of others.
        """
        took = self._flows.answered(now, flow)
        if self._target.health is not None:
            self._record_outcome(now, flow, packet)
        elif took is not None:
            self._served(now, flow, took)
        if took is None:
            return False
        route = self._node.routes.by_address.get(route_key(flow.key))
        name = route.name if route else "none"
        self._node.log.observe("answer_seconds", took, route=name)
        self._log_end("request.answered", flow, took)
        return True

    def _record_outcome(self, now: float, flow: Flow, packet: Packet) -> None:
        """Record the start of an answer, which may arrive after its end.

        The end alone doesn't count as an answer. A target may send a short failure and
        its end at once, and the end may arrive first; the failure would then count as a
        good and quick answer.
        """
        health = self._target.health
        if health is None or not packet.length:
            return
        answer = self._node.codec.answer(packet.raw)
        if health.answered(now, flow.key, answer):
            self._served(now, flow, now - flow.request_begun_at)

    def _served(self, now: float, flow: Flow, took: float) -> None:
        """Update the target's answer time and capacity from a served request."""
        self._target.answered(took)
        if self._target.capacity is not None:
            tag, cold = route_tag_of(flow.key), self._target.may_be_cold(now)
            seconds = now - flow.request_begun_at
            self._target.capacity.answered(now, tag, seconds, flow.concurrency, cold)

    def aborted(self, now: float, flow: Flow) -> bool:
        """Note that the target reset a flow; return whether a request was in progress.

        This doesn't count as an answer. A crashed target resets within a millisecond;
        it would look like the fastest of all and get the openings of the others.
        """
        took = self._flows.answered(now, flow)
        if took is None:
            return False
        if self._target.health is not None:
            self._target.health.aborted(now, flow.key)
        self._log_end("request.reset", flow, took)
        return True

    def _log_end(self, event: str, flow: Flow, took: float) -> None:
        self._node.log.event(
            event,
            request=flow.request,
            flow=flow.key,
            took=round(took, 4),
            target=self._target.name,
        )
