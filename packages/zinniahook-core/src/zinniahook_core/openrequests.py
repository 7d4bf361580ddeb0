"""Requests without a final answer, and copies that wait for the same answer."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from .admission import Decision
from .events import RequestArrived
from .models import Load

__all__ = ["OpenRequest", "OpenRequests", "RequestPlacement", "Stage"]


class Stage(enum.Enum):
    """The progress of an open request."""

    NEW = "new"
    QUEUED = "queued"
    CLAIMING = "claiming, with a slot"
    PARKED = "claiming, without a slot"
    REFUSING = "refusing"
    RUNNING = "running"
    RELAYED = "relayed"
    JOINED = "joined to another request"


@dataclass(slots=True)
class OpenRequest:
    """A request without a final answer."""

    event: RequestArrived
    deadline: float
    attempt: int = 0
    stage: Stage = Stage.NEW
    since: float = 0.0
    refusal: Decision | None = None
    relays: int = 0
    retries: int = 0
    cancelled_at: float | None = None
    leader: int = -1
    followers: list[int] = field(default_factory=list)

    @property
    def number(self) -> int:
        """The driver's identifier of the request."""
        return self.event.request

    @property
    def needs_claim(self) -> bool:
        """Whether the request may run only under a claim."""
        return bool(self.event.key) and not self.event.idempotent


class OpenRequests:
    """Open requests by number, and the leader of the copies of each key.

    Copies of a claimed request at one agent follow the first of them and get the
    same answer.
    """

    def __init__(self) -> None:
        self._by_number: dict[int, OpenRequest] = {}
        self._leader_by_key: dict[bytes, int] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._by_number.values()))

    def __contains__(self, number: int) -> bool:
        return number in self._by_number

    def get(self, number: int) -> OpenRequest | None:
        """Return an open request, or None if it is closed."""
        return self._by_number.get(number)

    def add(self, item: OpenRequest) -> None:
        """Add an open request."""
        self._by_number[item.number] = item

    def leader(self, key: bytes) -> OpenRequest | None:
        """Return the leader of the copies of ``key``, or None."""
        return self._by_number.get(self._leader_by_key.get(key, -1))

    def set_leader(self, item: OpenRequest) -> None:
        """Make a request the leader of the copies of its key."""
        self._leader_by_key[item.event.key] = item.number

    def follow(self, item: OpenRequest, leader: OpenRequest) -> None:
        """Let a copy wait for the answer of its leader."""
        leader.followers.append(item.number)
        item.leader = leader.number
        item.stage = Stage.JOINED

    def detach(self, item: OpenRequest) -> None:
        """Close a copy without closing its leader."""
        self.close(item)
        # Look up the recorded leader, since another copy may lead the key now.
        leader = self._by_number.get(item.leader)
        if leader is not None and item.number in leader.followers:
            leader.followers.remove(item.number)

    def close(self, item: OpenRequest) -> None:
        """Close a request but not its followers."""
        self._by_number.pop(item.number, None)
        if self._leader_by_key.get(item.event.key) == item.number:
            del self._leader_by_key[item.event.key]

    def close_all(self, item: OpenRequest) -> None:
        """Close a request and its followers."""
        for number in item.followers:
            self._by_number.pop(number, None)
        self.close(item)

    def clear(self) -> None:
        """Close all requests."""
        self._by_number.clear()
        self._leader_by_key.clear()


class RequestPlacement(Protocol):
    """The part of ``placement.Placement`` that requests use."""

    def choose_for_request(
        self, now: float, slots_needed: int, local: Load, forced: bool = False
    ) -> str | None:
        """Return the peer that should run a request, or None for this agent."""

    def handed(self, now: float, peer: str, slots: int = 1) -> None:
        """Record that work was handed to ``peer``."""
