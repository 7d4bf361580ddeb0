"""Stored items and outcomes of writes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from zinniahook_core.codes import Code, Failure, ZinniahookError

__all__ = [
    "AnswerLost",
    "Change",
    "Conflict",
    "Item",
    "NotWritten",
    "Snapshot",
    "StoreError",
    "StoreRestoredError",
    "WriteOutcome",
    "Written",
]


class Item(NamedTuple):
    """A stored value; ``revision`` is that of its last write."""

    key: str
    value: bytes
    revision: int


class Snapshot(NamedTuple):
    """Items under a prefix as of one ``revision`` of the store.

    ``count`` is the number of all keys under the prefix, even if only later items were
    requested.
    """

    revision: int
    items_by_key: Mapping[str, Item]
    count: int


class Change(NamedTuple):
    """A write of a key, or its deletion if ``value`` is None."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect at this revision of the store."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect, as another one came first.

    ``current`` is the item of the first compared key whose revision differs, or None
    if that key doesn't exist.
    """

    current: Item | None


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The write has certainly not taken effect and never will."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The write may have taken effect, or may still take effect."""

    failure: Failure


WriteOutcome = Written | Conflict | NotWritten | AnswerLost


class StoreError(ZinniahookError):
    """The store gave no usable answer to a read."""

    code = Code.STORE_DOWN


class StoreRestoredError(StoreError):
    """The store's revision went back, as it was restored from an older copy.

    Earlier reads and writes belong to an obsolete history. The next read belongs to
    the new one.
    """

    code = Code.STORE_RESTORED
