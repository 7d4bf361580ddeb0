"""Commits generations of the configuration to the store.

A commit first writes the values that the new generation adds. It then moves the
pointer in one transaction that compares the pointer's revision. If the pointer moves,
the change is accepted; otherwise nothing has changed.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from zinniahook_core import configuration
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import Document, KeyRing
from zinniahook_core.models import Key
from zinniahook_wire import documents
from zinniahook_wire.documents import Manifest, Pointer

from .client import Store
from .generations import (
    Current,
    Stored,
    history,
    load,
    read,
    read_manifest,
    read_pointer,
)
from .outcomes import AnswerLost, Conflict, Item, NotWritten, Written

__all__ = [
    "Committed",
    "Current",
    "HISTORY_KEPT",
    "Outcome",
    "Refused",
    "Stage",
    "Stored",
    "Unknown",
    "commit",
    "history",
    "load",
    "move_stage",
    "new_keys",
    "new_operation",
    "read",
    "settle",
]

HISTORY_KEPT = 200
"""Number of generations kept, to show, compare and roll back to."""

PRUNE_EVERY = 20
"""Generations between two prunings. Each pruning reads the whole history."""

DELETES_LIMIT = 100
"""Maximum deletes in one transaction, as the store limits its operations."""

ATTEMPTS = 3
"""Attempts at a transaction whose answers are lost."""

SECRET_BYTES = 32
OPERATION_ID_BYTES = 8


class Stage(NamedTuple):
    """Where a generation is in force; ``previous`` is in force elsewhere."""

    previous: int
    instances: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The change was accepted as this generation."""

    generation: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was changed."""

    code: Code
    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost; running ``command`` later determines the outcome."""

    operation: str
    command: str


Outcome = Committed | Refused | Unknown


def new_operation() -> str:
    """Return a new random operation id."""
    return secrets.token_hex(OPERATION_ID_BYTES)


def new_keys(number: int = 1) -> KeyRing:
    """Return a new key ring with one random key of each kind."""
    flow = Key(number, secrets.token_bytes(SECRET_BYTES))
    tunnel = Key(number, secrets.token_bytes(SECRET_BYTES))
    return KeyRing({number: flow}, {number: tunnel}, number, number)


async def commit(
    store: Store,
    base: Stored,
    document: Document,
    author: str,
    operation: str,
    *,
    keys: KeyRing | None = None,
    stage: Stage | None = None,
    take_over: bool = False,
) -> Outcome:
    """Commit a document as the generation after ``base``.

    Parameters
    ----------
    store
        The store.
    base
        The generation that the change is based on, as returned by `read`.
    document
        The new document; validated here as a whole.
    author, operation
        The author of the change, and the id that identifies it if the answer is lost.
    keys
        The new key ring. If None, the ring of the base is kept, or created if it has
        none.
    stage
        Where the generation comes into force; everywhere if None.
    take_over
        Whether to end a staged rollout that is in progress.

    Returns
    -------
    Committed, Refused or Unknown
        Failures of the store and conflicts with other operators don't raise.
    """
    problems = configuration.validate(document, base.document)
    if problems:
        return Refused(problems[0].code, "; ".join(map(str, problems)))
    if base.pointer.previous and not take_over:
        return _refuse_during_rollout(base.pointer)
    try:
        parts = documents.split(
            document,
            keys or base.keys or new_keys(),
            generation=base.generation + 1,
            parent=base.generation,
            author=author,
            time=time.time(),
            operation=operation,
        )
        values = {
            documents.generation_key(base.generation + 1): documents.manifest_to_json(
                parts.manifest
            )
        }
        failure = await _put_values(store, base, parts)
        if failure is not None:
            return failure
        deletes = await _unreferenced_keys(store, parts.manifest)
    except ZinniahookError as error:
        return Refused(error.code, str(error))
    pointer = Pointer(base.generation + 1, operation, *(stage or ()))
    return await _move_pointer(
        store, base.pointer, base.revision, pointer, values, deletes
    )


async def move_stage(store: Store, generation: int, stage: Stage | None) -> Outcome:
    """Put a generation in force at the next stage of its rollout.

    Parameters
    ----------
    store : Store
        The store with the pointer.
    generation : int
        The generation being rolled out. If another one is now, the move is refused.
    stage : Stage or None
        Where the generation comes into force; everywhere if None.
    """
    try:
        pointer, revision = await read_pointer(store)
    except ZinniahookError as error:
        return Refused(error.code, str(error))
    if pointer.generation != generation:
        reason = f"generation {pointer.generation} is in force by now"
        return Refused(Code.CONFLICT, reason)
    moved = Pointer(generation, pointer.operation, *(stage or ()))
    if moved == pointer:
        return Committed(generation)
    return await _move_pointer(store, pointer, revision, moved, {}, ())


async def settle(store: Store, operation: str) -> Outcome:
    """Determine the outcome of an operation whose answer was lost.

    The transaction may still be in transit. It could be accepted long after its
    operator was informed that nothing had changed. The pointer is therefore rewritten
    unchanged, so that a transaction that compares its older revision fails.
    """
    command = f"settle {operation}"
    try:
        found = await _find_operation(store, operation)
        if found is not None:
            return found
        item = await store.get(documents.POINTER_KEY)
        if item is None:
            # There is no pointer to rewrite.
            return Unknown(operation, command)
        fenced = await store.compare_and_swap(item.key, item.revision, item.value)
        found = await _find_operation(store, operation)
    except ZinniahookError:
        return Unknown(operation, command)
    if found is not None:
        return found
    if not isinstance(fenced, Written | Conflict):
        return Unknown(operation, command)
    reason = f"no kept generation carries {operation}, and none will"
    return Refused(Code.GENERATION_UNKNOWN, reason)


async def _put_values(
    store: Store, base: Stored, parts: documents.Parts
) -> Refused | None:
    """Write the values that the base lacks. Nothing refers to them yet."""
    known: set[str] = set()
    if base.manifest is not None:
        known = set(map(documents.chunk_key, base.manifest.chunks))
        known.add(documents.keys_key(base.manifest.keys))
    new = {key: value for key, value in parts.values_by_key.items() if key not in known}
    if not new:
        return None
    written = await store.put_many(new)
    for _ in range(ATTEMPTS - 1):
        if isinstance(written, Written):
            break
        # Keys are digests of the content, so writing a value twice is harmless.
        written = await store.put_many(new)
    if isinstance(written, Written):
        return None
    reason = getattr(written, "failure", None)
    return Refused(Code.STORE_DOWN, f"nothing was changed: {reason and reason.reason}")


async def _unreferenced_keys(store: Store, manifest: Manifest) -> list[str]:
    """Return the keys to delete in the transaction of this generation.

    Values are only deleted in the transaction that moves the pointer. Otherwise a
    deletion could remove a value that another operator has just written for a commit
    of the same content, and the new generation would lack it.
    """
    if manifest.generation % PRUNE_EVERY:
        return []
    kept = [manifest]
    deletes = []
    for old in await history(store):
        if old.generation > manifest.generation - HISTORY_KEPT:
            kept.append(old)
        else:
            deletes.append(documents.generation_key(old.generation))
    needed = {documents.keys_key(item.keys) for item in kept}
    needed |= {documents.chunk_key(name) for item in kept for name in item.chunks}
    for prefix in (documents.CHUNK_PREFIX, documents.KEYS_PREFIX):
        items = await store.range(prefix)
        deletes += [item.key for item in items if item.key not in needed]
    return deletes[:DELETES_LIMIT]


async def _move_pointer(
    store: Store,
    before: Pointer,
    revision: int,
    after: Pointer,
    values: Mapping[str, bytes],
    deletes: list[str] | tuple[str, ...],
) -> Outcome:
    """Move the pointer from ``before``, which has this ``revision``, to ``after``.

    The transaction is repeated while its answers are lost. This is safe: once one copy
    has taken effect, the pointer never has the compared revision again.
    """
    values = {**values, documents.POINTER_KEY: documents.pointer_to_json(after)}
    lost = False
    for _ in range(ATTEMPTS):
        revisions = {documents.POINTER_KEY: revision}
        written = await store.transact(revisions, values, deletes)
        if isinstance(written, Written):
            return Committed(after.generation)
        if isinstance(written, NotWritten) and not lost:
            return Refused(Code.STORE_DOWN, written.failure.reason)
        if isinstance(written, AnswerLost):
            lost = True
        if not isinstance(written, Conflict):
            continue
        found = written.current and documents.pointer_from_json(written.current.value)
        if found == after:
            return Committed(after.generation)
        if lost:
            return await _settle_lost(store, after, written.current)
        if found != before:
            return Refused(Code.CONFLICT, _conflict_reason(written.current))
        # `settle` has rewritten the pointer unchanged.
        revision = written.current.revision
    return Unknown(after.operation, f"settle {after.operation}")


async def _settle_lost(store: Store, after: Pointer, current: Item | None) -> Outcome:
    """Return the outcome by the operation that the stored generation names."""
    try:
        manifest = await read_manifest(store, after.generation)
    except ZinniahookError:
        return Unknown(after.operation, f"settle {after.operation}")
    if manifest is not None and manifest.operation == after.operation:
        return Committed(after.generation)
    return Refused(Code.CONFLICT, _conflict_reason(current))


async def _find_operation(store: Store, operation: str) -> Committed | None:
    for manifest in await history(store):
        if manifest.operation == operation:
            return Committed(manifest.generation)
    return None


def _conflict_reason(item: Item | None) -> str:
    if item is None:
        return "the configuration was deleted"
    pointer = documents.pointer_from_json(item.value)
    return f"another operator was first: generation {pointer.generation} is in force"


def _refuse_during_rollout(pointer: Pointer) -> Refused:
    return Refused(
        Code.CONFLICT,
        f"generation {pointer.generation} is being rolled out in stages; "
        f"`rollback to {pointer.previous}` takes it back, "
        f"`rollback to {pointer.generation}` puts it in force everywhere",
    )
