"""Reads generations of the configuration from the store."""

from __future__ import annotations

from typing import NamedTuple

from zinniahook_core import configuration
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import Document, KeyRing
from zinniahook_core.models import Configuration
from zinniahook_wire import documents
from zinniahook_wire.documents import Manifest, Pointer

from .client import Store

__all__ = [
    "Current",
    "Stored",
    "history",
    "load",
    "read",
    "read_manifest",
    "read_pointer",
]


class Current(NamedTuple):
    """The configuration in force and the revision of its pointer."""

    configuration: Configuration
    revision: int


class Stored(NamedTuple):
    """One stored generation; ``revision`` is that of the pointer.

    Before the first commit the generation is 0, the document empty and
    ``manifest`` and ``keys`` None.
    """

    generation: int
    document: Document
    keys: KeyRing | None
    manifest: Manifest | None
    pointer: Pointer
    revision: int


async def load(store: Store, name: str = "", data_centre: str = "") -> Current | None:
    """Return the configuration that should be in force at an instance.

    Parameters
    ----------
    store
        The store.
    name, data_centre
        Name and data centre of the instance, which matter during a staged rollout.

    Returns
    -------
    Current or None
        None before the first commit.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer or a stored value is invalid.
    """
    pointer, revision = await read_pointer(store)
    if pointer.generation == 0:
        return None
    generation = documents.generation_for(pointer, name, data_centre)
    stored = await _read_generation(store, generation, pointer, revision)
    compiled = configuration.compile(stored.document, generation, stored.keys)
    return Current(compiled, revision)


async def read(store: Store, generation: int | None = None) -> Stored:
    """Return a generation, by default the newest.

    Raises
    ------
    ZinniahookError
        GENERATION_UNKNOWN if the generation isn't stored (any more), or a code of
        the store or of an invalid value.
    """
    pointer, revision = await read_pointer(store)
    if generation is None:
        generation = pointer.generation
        if generation == 0:
            return Stored(0, Document(), None, None, pointer, revision)
    return await _read_generation(store, generation, pointer, revision)


async def history(store: Store) -> tuple[Manifest, ...]:
    """Return the manifests of the kept generations, newest first.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer or a stored value is invalid.
    """
    items = await store.range(documents.GENERATION_PREFIX)
    manifests = [documents.manifest_from_json(item.value) for item in items]
    return tuple(sorted(manifests, key=lambda item: -item.generation))


async def read_pointer(store: Store) -> tuple[Pointer, int]:
    """Return the pointer and its revision, with generation 0 if it doesn't exist.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer or a stored value is invalid.
    """
    item = await store.get(documents.POINTER_KEY)
    if item is None:
        return Pointer(0, ""), 0
    return documents.pointer_from_json(item.value), item.revision


async def _read_generation(
    store: Store, generation: int, pointer: Pointer, revision: int
) -> Stored:
    manifest = await read_manifest(store, generation)
    if manifest is None:
        raise ZinniahookError(
            f"generation {generation} isn't kept", Code.GENERATION_UNKNOWN
        )
    wanted = {documents.chunk_key(name): name for name in manifest.chunks if name}
    ring_key = documents.keys_key(manifest.keys)
    items = await store.get_many([*wanted, ring_key])
    if ring_key not in items:
        raise ZinniahookError(
            f"generation {generation}: its key ring is missing",
            Code.GENERATION_UNKNOWN,
        )
    services = {
        digest: documents.services_from_json(digest, items[key].value)
        for key, digest in wanted.items()
        if key in items
    }
    return Stored(
        generation,
        documents.join(manifest, services),
        documents.keys_from_json(items[ring_key].value),
        manifest,
        pointer,
        revision,
    )


async def read_manifest(store: Store, generation: int) -> Manifest | None:
    """Return the manifest of a generation, or None if it isn't kept.

    Raises
    ------
    ZinniahookError
        If the store doesn't answer or a stored value is invalid.
    """
    item = await store.get(documents.generation_key(generation))
    return documents.manifest_from_json(item.value) if item else None
