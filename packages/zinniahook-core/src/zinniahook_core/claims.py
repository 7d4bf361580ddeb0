"""Claims on requests: who runs a key, and what became of it."""

from __future__ import annotations

from typing import NamedTuple

from .codes import Code
from .effects import AgentEffect
from .messages import ClaimIntent, ClaimState
from .models import Roster

__all__ = ["Claims", "Settled"]


class Settled(NamedTuple):
    """The answer to one claim of a local request."""

    request: int
    state: ClaimState
    runner: str
    answer: bytes = b""
    retry_after: float = 0.0
    code: Code = Code.OK


class Claims:
    """Claims as one agent alone can settle them."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._settled: list[Settled] = []
        self._states_by_key: dict[bytes, tuple[ClaimState, bytes]] = {}

    def known(self, now: float, key: bytes) -> tuple[ClaimState, str, bytes]:
        """Return what this agent itself ran under ``key``."""
        state, answer = self._states_by_key.get(key, (ClaimState.NONE, b""))
        return state, self._name, answer

    def begin(
        self,
        now: float,
        request: int,
        key: bytes,
        attempt: int,
        intent: ClaimIntent,
        deadline: float,
        retry_after: float = 0.0,
    ) -> None:
        """Ask for a key; the answer is returned by ``take``."""
        if intent is ClaimIntent.REFUSE:
            settled = Settled(request, ClaimState.REFUSED, "", retry_after=retry_after)
        else:
            settled = Settled(request, ClaimState.GRANTED, self._name)
            self._states_by_key[key] = (ClaimState.RUNNING, b"")
        self._settled.append(settled)

    def finished(self, now: float, key: bytes, answer: bytes) -> None:
        """Keep the answer of what ran here."""
        self._states_by_key[key] = (ClaimState.FINISHED, answer)

    def failed(self, now: float, key: bytes) -> None:
        """Note that nobody can tell what became of what ran here."""
        self._states_by_key[key] = (ClaimState.UNKNOWN, b"")

    def unstarted(self, now: float, key: bytes) -> None:
        """Note that the target never saw what was granted."""
        self._states_by_key.pop(key, None)

    def forget(self, request: int) -> None:
        """Drop the ask of a request whose caller has gone."""

    def learn(self, now: float, roster: Roster) -> None:
        """Take a newer roster."""

    def restart(self, now: float, incarnation: int) -> None:
        """Go on under a new incarnation."""

    def receive(self, now: float, sender: str, message: object) -> None:
        """Take a peer's message."""

    def tick(self, now: float) -> None:
        """Repeat what is unanswered and give up what is overdue."""

    def take(self) -> tuple[list[AgentEffect], list[Settled]]:
        """Return the effects and answers since the last call."""
        settled, self._settled = self._settled, []
        return [], settled
