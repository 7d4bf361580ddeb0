"""Messages between the agents of one service.

They are sent as authenticated datagrams, so each may be lost, duplicated, late
or out of order. Senders repeat messages that need an answer, and receivers are
idempotent. ``zinniahook_wire`` encodes the messages.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

from .codes import Code
from .models import Address, Load

__all__ = [
    "ClaimAnswer",
    "ClaimAsk",
    "ClaimFinished",
    "ClaimIntent",
    "ClaimRecord",
    "ClaimRecords",
    "ClaimState",
    "FlowAnswer",
    "FlowAsk",
    "FlowPointers",
    "Heartbeat",
    "PeerMessage",
    "Placed",
]


class Heartbeat(NamedTuple):
    """A heartbeat with the sender's own load, about once a second.

    ``sequence`` orders heartbeats of one incarnation. ``leaving`` makes peers
    stop handing work over before the roster reports it. ``revision`` is the
    sender's roster revision: a receiver with a lower one has missed a push.
    """

    incarnation: int
    sequence: int
    generation: int
    load: Load
    leaving: bool = False
    revision: int = 0


class FlowAsk(NamedTuple):
    """Ask whether the receiver owns this flow or knows its owner."""

    number: int
    flow: bytes


class FlowAnswer(NamedTuple):
    """Answer with the name of the flow's owner, or "" if the sender knows none."""

    number: int
    flow: bytes
    owner: str


class FlowPointers(NamedTuple):
    """Announce that ``owner`` owns these flows, to the agent that is their home."""

    owner: str
    incarnation: int
    flows: tuple[bytes, ...]


class Placed(NamedTuple):
    """Announce that an opening was handed over: the receiver owns ``flow``."""

    flow: bytes
    caller: Address


class ClaimIntent(enum.IntEnum):
    """The action that a claim owner is asked for."""

    RUN = 1
    REFUSE = 2
    LOOK = 3


class ClaimState(enum.IntEnum):
    """The known state of a key."""

    NONE = 0
    GRANTED = 1
    RUNNING = 2
    FINISHED = 3
    REFUSED = 4
    UNKNOWN = 5


class ClaimAsk(NamedTuple):
    """Ask the claim owner of ``key``.

    ``attempt`` is the caller's attempt number from 1, or 0 if it gave none.
    ``number`` matches the answer to the ask. ``revision`` is the asker's roster
    revision: a receiver with a lower one must not answer.
    """

    number: int
    key: bytes
    intent: ClaimIntent
    attempt: int
    runner: str
    incarnation: int
    revision: int = 0


class ClaimAnswer(NamedTuple):
    """The owner's answer; ``runner`` is the agent that runs or ran the request.

    With FINISHED, ``answer`` is the stored answer if it is small enough.
    ``retry_after`` is in seconds. ``incarnation`` is that of the runner. In an
    answer to LOOK, ``losses`` is the number of losses of records that the
    sender knows of, which limits what its NONE proves. ``covers`` means that it
    knows of all losses.
    """

    number: int
    key: bytes
    state: ClaimState
    runner: str
    answer: bytes = b""
    retry_after: float = 0.0
    code: Code = Code.OK
    incarnation: int = 0
    losses: int = 0
    covers: bool = False


class ClaimFinished(NamedTuple):
    """The runner's report to the owner that a request ended, and how.

    ``started`` is false if the target certainly never received the request.
    """

    key: bytes
    runner: str
    incarnation: int
    started: bool
    answer: bytes = b""


class ClaimRecord(NamedTuple):
    """One claim, as passed from one owner to the next; ``age`` is in seconds."""

    key: bytes
    state: ClaimState
    runner: str
    incarnation: int
    attempt: int
    age: float
    answer: bytes = b""


class ClaimRecords(NamedTuple):
    """Claims that the receiver owns from now on, or stores a copy of.

    With ``acknowledge``, the receiver sends the number back without records or
    ``acknowledge``. ``revision`` is the sender's roster revision if the records
    are claims made under it, and 0 if they are older. An empty batch with
    ``acknowledge`` declares that, as of ``revision``, the sender is not the only
    holder of any record, and that it has kept all records since its incarnation
    ``remembers`` (0: unspecified).
    """

    sender: str
    incarnation: int
    number: int
    records: tuple[ClaimRecord, ...]
    acknowledge: bool = False
    revision: int = 0
    remembers: int = 0


PeerMessage = (
    Heartbeat
    | FlowAsk
    | FlowAnswer
    | FlowPointers
    | Placed
    | ClaimAsk
    | ClaimAnswer
    | ClaimFinished
    | ClaimRecords
)
