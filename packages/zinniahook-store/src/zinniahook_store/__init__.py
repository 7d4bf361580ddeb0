"""Client of the platform's key-value store."""

from .client import TIMEOUT, Store
from .outcomes import (
    AnswerLost,
    Change,
    Conflict,
    Item,
    NotWritten,
    Snapshot,
    StoreError,
    StoreRestoredError,
    WriteOutcome,
    Written,
)
from .watches import Watch

__all__ = [
    "TIMEOUT",
    "AnswerLost",
    "Change",
    "Conflict",
    "Item",
    "NotWritten",
    "Snapshot",
    "Store",
    "StoreError",
    "StoreRestoredError",
    "Watch",
    "WriteOutcome",
    "Written",
]
