"""Chooses the service that an entry asks for the owner of a flow.

A flow of a route that is split, or that was changed, may live at any of several
services. Each packet goes to one of them: first to each home in turn, in case it has a
pointer to the owner, and if none has, to each service in turn to search its agents. A
service that has denied the flow isn't asked again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .models import Packet
from .sequences import is_near
from .tunnel import Mark

__all__ = ["Question", "Questions"]

KNOWN_TIMEOUT_SECONDS = 0.15
"""Seconds until another home is asked although the first hasn't answered: less than the
0.2 s after which a client repeats its packet. A home that doesn't answer may still know
the owner: it has passed the packet on, and the link to the owner may be cut. If its
silence counted as a denial, the other services would be searched, and their targets
would get packets of a flow whose owner is known."""

SERVICE_SEARCH_TIMEOUT_SECONDS = 0.35
"""The same for a search: more than the 0.2 s in which an agent finds out whether its
target holds a flow, and less than the 0.6 s of a client's second repetition. Otherwise
a home that waits for a silent agent keeps every packet from the service that owns the
flow."""

LAST_ASKED_EXPIRY_SECONDS = 2.0
"""Seconds after which a service's silence has no meaning any more: more than the 1.6 s
within which a client repeats a packet."""

NO_POINTER_SECONDS = 0.1
"""Seconds for which a home without a pointer to the owner isn't asked again. It may
learn the owner at any moment. If this were longer, a search might have found the owner
long before, and other targets would get the packet."""

ANSWERS_EXPIRY_SECONDS = 4.0
"""Seconds for which answers count: as long as agents remember their denials."""

SAME_FLOW_BYTES = 1 << 24
"""Distance of acknowledged numbers within which the answers count for a packet."""

QUESTIONS_LIMIT = 65536


class Question(NamedTuple):
    """The service to ask with a packet, and the marks to send."""

    service: str
    marks: int


class LastAsked(NamedTuple):
    """The service that was asked last, and when."""

    service: str
    at: float


NOT_ASKED = LastAsked("", float("-inf"))


@dataclass(slots=True)
class _Answers:
    """The answers of the services for one flow."""

    begun: float
    acknowledged: int
    without_pointer: dict[str, float] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    unsure: set[str] = field(default_factory=set)
    last_known: LastAsked = NOT_ASKED
    last_search: LastAsked = NOT_ASKED

    def without_pointer_at(self, now: float) -> set[str]:
        """Return the services whose homes recently had no pointer to the owner."""
        return {
            s for s, at in self.without_pointer.items() if now - at < NO_POINTER_SECONDS
        }


class Questions:
    """The questions of one entry, by flow."""

    def __init__(self) -> None:
        self._by_flow: dict[bytes, _Answers] = {}

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def forget(self, flow: bytes) -> None:
        """Drop the answers for a flow: its owner is known, or the flow is new."""
        self._by_flow.pop(flow, None)

    def next(self, now: float, packet: Packet, services: list[str]) -> Question | None:
        """Return the next question for a packet, or None if none is left."""
        answers = self._get(now, packet)
        if len(services) > 1:
            known = self._left(
                services, answers.without_pointer_at(now) | answers.denied
            )
            if known:
                answers.last_known = _next_asked(
                    now, answers.last_known, known, KNOWN_TIMEOUT_SECONDS
                )
                return Question(answers.last_known.service, Mark.SHARED | Mark.KNOWN)
        left = self._left(services, answers.denied | answers.unsure)
        if not left:
            return None
        answers.last_search = _next_asked(
            now, answers.last_search, left, SERVICE_SEARCH_TIMEOUT_SECONDS
        )
        return Question(answers.last_search.service, Mark.SHARED)

    def unowned(self, now: float, packet: Packet, service: str, marks: int) -> None:
        """Note that a service has given a packet back."""
        answers = self._get(now, packet)
        if not marks & Mark.UNSURE:
            answers.denied.add(service)
            answers.unsure.discard(service)
        elif marks & Mark.KNOWN:
            answers.without_pointer[service] = now
        else:
            answers.unsure.add(service)

    def is_sure(self, flow: bytes) -> bool:
        """Return whether every answer was certain."""
        answers = self._by_flow.get(flow)
        return answers is not None and not answers.unsure

    def unsure(self, flow: bytes) -> list[str]:
        """Return the services whose answer was uncertain."""
        answers = self._by_flow.get(flow)
        return sorted(answers.unsure) if answers is not None else []

    def _left(self, services: list[str], answered: set[str]) -> list[str]:
        return [service for service in services if service not in answered]

    def _get(self, now: float, packet: Packet) -> _Answers:
        answers = self._by_flow.get(packet.flow)
        if (
            answers is None
            or now - answers.begun > ANSWERS_EXPIRY_SECONDS
            or not _is_same_flow(answers, packet)
        ):
            answers = _Answers(now, packet.acknowledged)
            self._by_flow.pop(packet.flow, None)
            self._by_flow[packet.flow] = answers
            while len(self._by_flow) > QUESTIONS_LIMIT:
                del self._by_flow[next(iter(self._by_flow))]
        return answers


def _next_asked(
    now: float, last: LastAsked, left: list[str], timeout: float
) -> LastAsked:
    """Return the service asked last until it times out, then the next one."""
    silent_for = now - last.at
    if last.service not in left or silent_for >= LAST_ASKED_EXPIRY_SECONDS:
        return LastAsked(left[0], now)
    if silent_for < timeout:
        return last
    return LastAsked(left[(left.index(last.service) + 1) % len(left)], now)


def _is_same_flow(answers: _Answers, packet: Packet) -> bool:
    """Return whether a packet isn't of a later flow from the same port."""
    return is_near(packet.acknowledged, answers.acknowledged, SAME_FLOW_BYTES)
