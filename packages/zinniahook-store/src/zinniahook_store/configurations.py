"""Commits generations of the configuration to the store.

A commit first writes the values that the new generation adds, then moves the
pointer in one transaction that compares the pointer's revision. Moved means
accepted; not moved means that nothing happened.
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
"""Generations that can be shown, compared and rolled back to."""

PRUNE_EVERY = 20
"""Generations between two prunings; each reads the whole history once."""

DELETES_LIMIT = 100
"""Deletes of one transaction; the service bounds its operations."""

ATTEMPTS = 3
"""Times that a transaction is sent while its answers are lost."""

SECRET_BYTES = 32
OPERATION_ID_BYTES = 8


class Stage(NamedTuple):
    """Where a generation is in force while ``previous`` is so elsewhere."""

    previous: int
    instances: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The change is accepted as this generation."""

    generation: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was changed."""

    code: Code
    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost; ``command`` settles later what became of it."""

    operation: str
    command: str


Outcome = Committed | Refused | Unknown


def new_operation() -> str:
    """Draw an operation id."""
    return secrets.token_hex(OPERATION_ID_BYTES)


def new_keys(number: int = 1) -> KeyRing:
    """Draw the ring of a first generation, with one key of each kind."""
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
        The generation that the change was made on, as `read`.
    document
        The document to be in force; validated here as a whole.
    author, operation
        Who makes the change, and the id by which a lost answer is settled.
    keys
        The new ring; that of the base, or a first one, if None.
    stage
        Where it is to be in force; everywhere if None.
    take_over
        Whether to end a rollout in stages that is under way.

    Returns
    -------
    Committed, Refused or Unknown
        Never an exception for what the store or another operator does.
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
        Holds the pointer.
    generation : int
        The generation being rolled out; refused if another is by now.
    stage : Stage or None
        Where it comes into force; None is everywhere.
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
    """Tell for certain what became of an operation whose answer was lost.

    A transaction that was sent may still be on its way, and would be accepted
    long after its operator was told that nothing had happened. So the pointer
    is written anew, unchanged: what compares its older revision then fails.
    """
    command = f"settle {operation}"
    try:
        found = await _find_operation(store, operation)
        if found is not None:
            return found
        item = await store.get(documents.POINTER_KEY)
        if item is None:
            # Nothing can be written anew in place of what isn't there.
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
    """Write what the base doesn't have yet; nothing refers to it so far."""
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
        # A value is named by its content: writing it twice does no harm.
        written = await store.put_many(new)
    if isinstance(written, Written):
        return None
    reason = getattr(written, "failure", None)
    return Refused(Code.STORE_DOWN, f"nothing was changed: {reason and reason.reason}")


async def _unreferenced_keys(store: Store, manifest: Manifest) -> list[str]:
    """Return the keys that the transaction of this generation should delete.

    Values are only deleted together with a move of the pointer. Deleted on
    its own, a value could be one that another operator has just written for
    a commit of the same content, whose generation would then lack it.
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
    """Move the pointer from ``before``, as it stands at ``revision``.

    Sent again while answers are lost, which is safe: once one copy took
    effect, the revision that they all compare is gone for good.
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
        # The pointer was only written anew, by `settle`.
        revision = written.current.revision
    return Unknown(after.operation, f"settle {after.operation}")


async def _settle_lost(store: Store, after: Pointer, current: Item | None) -> Outcome:
    """Tell which operation a generation belongs to, now that it is settled."""
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
