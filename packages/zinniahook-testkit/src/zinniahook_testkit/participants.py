"""The agents and callers of the model of requests that run at most once."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from zinniahook_core.models import (
    AgentState,
    Load,
    Roster,
)
from zinniahook_core.requests import Requests

if TYPE_CHECKING:
    from .simulation import Simulation

__all__ = ["Agent", "Caller", "Copy", "Faults", "TwoChoices"]

UNKNOWN_TRIES = 3


class Faults(NamedTuple):
    """Frequency of faults: shares per message, mean gaps and delays in seconds."""

    loss: float = 0.03
    duplication: float = 0.05
    lateness: float = 0.03
    latest: float = 2.0
    copies: float = 0.1
    latest_copy: float = 10.0
    crash_gap: float = 60.0
    pause_gap: float = 45.0
    leave_gap: float = 60.0


@dataclass
class Caller:
    """One logical request of a caller that retries until it gets an outcome."""

    key: bytes
    attempt: int = 0
    tries_left: int = UNKNOWN_TRIES
    ended: str = ""


@dataclass
class Copy:
    """One copy of a request at an agent.

    ``origin`` is the agent that relayed it and the request there, if any.
    """

    caller: Caller
    attempt: int
    first: bool
    origin: tuple[Agent, int] | None = None
    relayed_to: tuple[Agent, int] | None = None
    joined: list[int] = field(default_factory=list)


@dataclass
class Agent:
    """An agent core with the state that its driver keeps."""

    name: str
    core: Requests
    incarnation: int = 1
    alive: bool = True
    paused_until: float = 0.0
    fenced: bool = True
    leaving: bool = False
    seen_at: float = 0.0
    roster: Roster | None = None
    copies_by_request: dict[int, Copy] = field(default_factory=dict)


class TwoChoices:
    """A placement that relays a share of requests at random, whatever the load."""

    def __init__(self, world: Simulation, name: str, share: float) -> None:
        self._world = world
        self._name = name
        self._share = share

    def choose_for_request(
        self, now: float, slots_needed: int, local: Load, forced: bool = False
    ) -> str | None:
        """Return a random ready peer, or mostly None unless ``forced``."""
        if not forced and self._world.rng.random() >= self._share:
            return None
        peers = [
            name
            for name, member in self._world.members_by_name.items()
            if name != self._name and member.state is AgentState.READY
        ]
        return self._world.rng.choice(peers) if peers else None

    def handed(self, now: float, peer: str, slots: int = 1) -> None:
        """Ignore the relayed request."""
