"""Transfers of claim records from an agent to its peers.

Each claim must be held by two members. When one of them is lost, the other copies
the record to a third. An agent that was alone copies its records once it has a
peer. A leaving agent first makes sure that two others hold its records. Batches are
repeated until they are acknowledged.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .effects import SendPeer
from .messages import ClaimRecords, ClaimState
from .records import Record, Records
from .views import MembershipView

__all__ = ["RecordTransfer"]

BATCH_RECORDS = 8
BATCH_BYTES = 1000
BATCHES_IN_FLIGHT = 4
"""Limits a transfer, together with the tick, to about 36 KB per second."""

ASSIGNED_PER_TICK = 1000
REPEAT_AFTER_SECONDS = 0.3


@dataclass(slots=True)
class Batch:
    """Records that were sent to a peer and aren't acknowledged yet."""

    peer: str
    keys: tuple[bytes, ...]
    sent_at: float


class RecordTransfer:
    """One pass over the records of an agent.

    Parameters
    ----------
    view : MembershipView
        Names the members that are ready to receive records.
    records : Records
        The records to transfer. A record that changes is sent in its state at
        that time.
    next_number : callable
        Returns a new number for a batch.
    holders : int
        How many members besides this agent must hold each record.
    """

    def __init__(
        self,
        view: MembershipView,
        records: Records,
        next_number: Callable[[], int],
        holders: int = 1,
    ) -> None:
        self._view = view
        self._records = records
        self._next_number = next_number
        self._holders = holders
        self.revision = view.revision
        self._waiting: deque[bytes] = deque(records.newest_first())
        self._due_by_peer: dict[str, list[bytes]] = {}
        self._batches_by_number: dict[int, Batch] = {}

    @property
    def done(self) -> bool:
        """Whether all records are acknowledged or no member can receive them."""
        if not self._recipients():
            return True
        return not (self._waiting or self._due_by_peer or self._batches_by_number)

    @property
    def has_recipients(self) -> bool:
        """Whether a member besides this agent is ready."""
        return bool(self._recipients())

    def acknowledged(self, now: float, sender: str, number: int) -> bool:
        """Record an acknowledgement and return whether it is for this transfer."""
        batch = self._batches_by_number.get(number)
        if batch is None or batch.peer != sender:
            return False
        del self._batches_by_number[number]
        for key in batch.keys:
            record = self._records.get(now, key)
            if record is not None:
                record.other_holder = sender
                record.other_holder_incarnation = self._view.incarnation_of(sender)
        return True

    def send(self, now: float) -> list[SendPeer]:
        """Return the messages to send now."""
        self._reassign()
        effects = []
        for number, batch in list(self._batches_by_number.items()):
            if now - batch.sent_at >= REPEAT_AFTER_SECONDS:
                effects += self._message(now, number, batch)
        self._assign(now)
        for peer in list(self._due_by_peer):
            effects += self._send_to(now, peer)
        return effects

    def _recipients(self) -> list[str]:
        return [name for name in self._view.ready if name != self._view.name]

    def _reassign(self) -> None:
        recipients = self._recipients()
        for number, batch in list(self._batches_by_number.items()):
            if batch.peer not in recipients:
                self._waiting.extend(batch.keys)
                del self._batches_by_number[number]
        for peer in [peer for peer in self._due_by_peer if peer not in recipients]:
            self._waiting.extend(self._due_by_peer.pop(peer))

    def _assign(self, now: float) -> None:
        for _ in range(min(len(self._waiting), ASSIGNED_PER_TICK)):
            key = self._waiting.popleft()
            record = self._records.get(now, key)
            if record is None or self._is_unused(record):
                continue
            for peer in self._missing_holders(key, record):
                self._due_by_peer.setdefault(peer, []).append(key)

    def _is_unused(self, record: Record) -> bool:
        # A grant to this agent that it never used has no meaning to other members.
        own = record.runner == self._view.name
        return own and record.state is ClaimState.GRANTED

    def _missing_holders(self, key: bytes, record: Record) -> Iterable[str]:
        """Return the members that must receive a record to give it enough holders."""
        view = self._view
        places = (
            (record.runner, record.incarnation),
            (record.other_holder, record.other_holder_incarnation),
        )
        holders = {name for name, number in places if view.current(name, number)}
        holders.discard(view.name)
        missing = max(0, self._holders - len(holders))
        others = [name for name in view.partners(key) if name not in holders]
        return others[:missing]

    def _send_to(self, now: float, peer: str) -> list[SendPeer]:
        effects = []
        keys = self._due_by_peer[peer]
        while keys and len(self._batches_by_number) < BATCHES_IN_FLIGHT:
            size = 0
            chosen = []
            while keys and len(chosen) < BATCH_RECORDS:
                record = self._records.get(now, keys[0])
                size += len(keys[0]) + (len(record.answer) if record else 0)
                if chosen and size > BATCH_BYTES:
                    break
                chosen.append(keys.pop(0))
            number = self._next_number()
            batch = Batch(peer, tuple(chosen), now)
            self._batches_by_number[number] = batch
            effects += self._message(now, number, batch)
        if not keys:
            del self._due_by_peer[peer]
        return effects

    def _message(self, now: float, number: int, batch: Batch) -> list[SendPeer]:
        found = ((key, self._records.get(now, key)) for key in batch.keys)
        records = tuple(record.message(now, key) for key, record in found if record)
        if not records:
            # A message without records has another meaning: it is an
            # acknowledgement or a declaration.
            del self._batches_by_number[number]
            return []
        batch.sent_at = now
        view = self._view
        message = ClaimRecords(
            view.name, view.incarnation, number, records, acknowledge=True
        )
        return [SendPeer(batch.peer, message)]
