"""The state of one search for the owner of a flow."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from .member import Member
from .models import Packet
from .tunnel import Head

__all__ = ["RELAY_AFTER_SECONDS", "Search", "Acceptance"]

RELAY_AFTER_SECONDS = 0.1
"""Seconds of a search after which agents that haven't answered are asked through a
peer: two questions were lost, or the link to them is cut."""

RELAY_INTERVAL_SECONDS = 0.4
"""Seconds until a silent agent is asked through a peer again. It may have started
without hearing of its peers, and the search needs its denial to end; a client gives up
after seconds. With a shorter interval, after a power loss each flow of a lost target
would cost a hundred datagrams to agents that don't run."""


class Acceptance(enum.Enum):
    """What this agent itself answers to an opening or a search."""

    YES = "yes"
    NO = "no"
    OPEN = "open"
    """It passed the packet to its target and will soon know."""


@dataclass(slots=True)
class Search:
    """A search for the owner of a flow.

    Attributes
    ----------
    begun : float
        When the search began.
    ask_at : float
        When agents that haven't answered are asked again.
    head, packet : Head, Packet
        The packet that is searched with.
    asked_at : float
        When an entry last asked this service.
    given_back : bool
        Whether the waiting packets were given back since, so that the entry asks
        another service. No further agent is asked until an entry comes back to
        this service.
    is_wide : bool
        Whether the wide set of candidates is asked.
    is_unsure : bool
        Whether an agent that may own the flow can't be asked.
    wave_at : float
        When further agents were last asked.
    waiting : dict
        When each agent that hasn't answered was asked.
    denied : set
        Agents that have denied the flow.
    retried_early : set
        Agents that were asked again as the last of their wave.
    relayed : dict
        When each agent was last asked through a peer.
    held : list
        Further packets of the flow.
    epoch : int
        Epoch of the roster when the search began.
    candidates, candidates_at, candidates_epoch : list, float, int
        Members that may own the flow, and the time and the epoch of the roster
        for which they were computed.
    """

    begun: float
    ask_at: float
    head: Head
    packet: Packet
    asked_at: float = 0.0
    given_back: bool = False
    is_wide: bool = False
    is_unsure: bool = False
    wave_at: float = float("-inf")
    waiting: dict[str, float] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    retried_early: set[str] = field(default_factory=set)
    relayed: dict[str, float] = field(default_factory=dict)
    held: list[tuple[Head, Packet]] = field(default_factory=list)
    epoch: int = 0
    candidates: list[Member] = field(default_factory=list)
    candidates_at: float = float("-inf")
    candidates_epoch: int = -1

    def __post_init__(self) -> None:
        """Start the time for which the service is asked."""
        self.asked_at = self.begun

    def resume(self, now: float, head: Head, packet: Packet) -> None:
        """Continue with a newer packet, as the service is asked again."""
        self.asked_at = now
        self.given_back = False
        self.head, self.packet = head, packet

    def take_last_unanswered(self, own: str) -> set[str]:
        """Return the agent to ask again at once: the only one that hasn't answered.

        Its question may be lost. At the next retry it may be gone, after three other
        targets have had the packet. Each agent is returned only once.
        """
        late = self.waiting.keys() - self.retried_early - {own}
        if len(late) > 1:
            return set()
        self.retried_early |= late
        return late

    def is_relay_due(self, now: float, address: str) -> bool:
        """Return whether a silent agent must be asked through a peer now."""
        at = self.relayed.get(address)
        if at is None:
            return now - self.begun >= RELAY_AFTER_SECONDS
        return now - at >= RELAY_INTERVAL_SECONDS
