"""The configuration values that a daemon holds, and the generations they form."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from zinniahook_core import configuration as model
from zinniahook_core.configuration import Operator
from zinniahook_core.models import Configuration, Service
from zinniahook_wire import documents
from zinniahook_wire.compression import compress, decompress
from zinniahook_wire.documents import Manifest, Pointer
from zinniahook_wire.manifests import (
    BaseError,
    ManifestChange,
    apply_change,
    change_between,
)

__all__ = ["Generations", "StoredGeneration"]

NO_POINTER = Pointer(0, "")
"""Held until the first pointer arrives."""


class StoredGeneration(NamedTuple):
    """A manifest and its value as stored."""

    manifest: Manifest
    value: bytes

    def digests(self, services: frozenset[str] | None) -> list[str]:
        """Return the digests of the values that the generation consists of.

        Parameters
        ----------
        services : frozenset of str or None
            Names of the services to include; None for all.
        """
        manifest = self.manifest
        chunks: Iterable[str] = manifest.chunks
        if services is not None:
            numbers = {documents.chunk_number(name) for name in services}
            chunks = (manifest.chunks[number] for number in sorted(numbers))
        return [manifest.keys, *filter(None, chunks)]


class Generations:
    """Values by digest, the generations they form, and the pointer.

    A value is identified by the digest of its content. It is verified on receipt,
    whatever its source, and never goes out of date. Values that no held
    generation refers to are dropped.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this daemon; they select the generation during a
        staged rollout.
    services : frozenset of str or None
        Names of the services that this daemon needs; None for all.

    Attributes
    ----------
    pointer : Pointer
        The newest pointer received.
    pointer_value : bytes
        The same pointer as stored.
    operators_by_name : mapping of str to Operator
        The operators named in the configuration in force.
    """

    def __init__(
        self, name: str, data_centre: str, services: frozenset[str] | None
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self.services = services
        self.pointer = NO_POINTER
        self.pointer_value = b""
        self.operators_by_name: Mapping[str, Operator] = {}
        self._stored_by_generation: dict[int, StoredGeneration] = {}
        self._values_by_digest: dict[str, bytes] = {}
        self._services_by_digest: dict[str, dict[str, Service]] = {}
        # Cached, as up to sixteen subscribers need the same change.
        self._changes_by_generations: dict[tuple[int, int], ManifestChange | None] = {}

    @property
    def digests(self) -> list[str]:
        """Digests of all held values."""
        return list(self._values_by_digest)

    @property
    def desired_generation(self) -> int:
        """The generation that should be in force on this daemon; 0 for none."""
        return documents.generation_for(self.pointer, self._name, self._data_centre)

    def named_generations(self) -> tuple[int, ...]:
        """Return the generations that the pointer refers to, oldest first."""
        pointer = self.pointer
        return tuple(sorted(filter(None, {pointer.previous, pointer.generation})))

    def set_pointer(self, value: bytes) -> bool:
        """Replace the pointer, unless the new one is older.

        Returns
        -------
        bool
            Whether the pointer was replaced. A pointer to a lower generation
            comes from a lagging source; accepting it would revert an accepted
            change.

        Raises
        ------
        DocumentError
            If the value isn't a pointer.
        """
        pointer = documents.pointer_from_json(value)
        if pointer.generation < self.pointer.generation or pointer == self.pointer:
            return False
        same = pointer.generation == self.pointer.generation
        # Each stage of a rollout includes the previous ones, so a pointer that
        # covers fewer instances is older.
        if same and not _is_later_stage(self.pointer, pointer):
            return False
        self.pointer = pointer
        self.pointer_value = value
        return True

    def stored(self, generation: int) -> StoredGeneration | None:
        """Return a generation's manifest, or None if it isn't held."""
        return self._stored_by_generation.get(generation)

    def add_manifest(self, value: bytes) -> StoredGeneration:
        """Add a manifest, and return the one held for its generation.

        Raises
        ------
        DocumentError
            If the value isn't a manifest.
        """
        stored = StoredGeneration(documents.manifest_from_json(value), value)
        return self._stored_by_generation.setdefault(stored.manifest.generation, stored)

    def add_change(self, change: ManifestChange) -> StoredGeneration:
        """Add a manifest received as a change against a held manifest.

        Raises
        ------
        BaseError
            If the base isn't held, or differs from the sender's.
        DocumentError
            If the change is malformed.
        """
        base = self._stored_by_generation.get(change.base)
        if base is None:
            raise BaseError(f"base manifest of generation {change.base} is not held")
        return self.add_manifest(apply_change(base.manifest, change))

    def change(
        self, base: StoredGeneration, stored: StoredGeneration
    ) -> ManifestChange | None:
        """Return the change from a base to a manifest.

        None if the manifest can only be sent as a whole.
        """
        key = (base.manifest.generation, stored.manifest.generation)
        if key not in self._changes_by_generations:
            change = change_between(base.manifest, stored.value)
            self._changes_by_generations[key] = change
        return self._changes_by_generations[key]

    def add_values(self, values_by_digest: Mapping[str, bytes]) -> None:
        """Add values, checking each against its digest.

        Raises
        ------
        DocumentError
            If the content of a value doesn't match its digest.
        """
        for digest, value in values_by_digest.items():
            _check_digest(digest, value)
            # Stored compressed, as it is sent to subscribers; JSON shrinks to
            # a sixth.
            self._values_by_digest[digest] = compress(value)

    def add_compressed(self, values_by_digest: Mapping[str, bytes]) -> None:
        """Add values received compressed, as `add_values` does.

        Raises
        ------
        DocumentError
            If a value is too large, or doesn't match its digest.
        """
        for digest, packed in values_by_digest.items():
            _check_digest(digest, decompress(packed, f"value {digest}"))
            self._values_by_digest[digest] = packed

    def value(self, digest: str) -> bytes:
        """Return a held value.

        Raises
        ------
        KeyError
            If the value isn't held.
        """
        return decompress(self._values_by_digest[digest], f"value {digest}")

    def compressed(self, digest: str) -> bytes:
        """Return a held value in compressed form.

        Raises
        ------
        KeyError
            If the value isn't held.
        """
        return self._values_by_digest[digest]

    def missing_digests(self, generation: int) -> list[str] | None:
        """Return the digests of the values still missing for a generation.

        None if its manifest isn't held.
        """
        stored = self._stored_by_generation.get(generation)
        if stored is None:
            return None
        return [
            digest
            for digest in stored.digests(self.services)
            if digest not in self._values_by_digest
        ]

    def is_complete(self, generation: int, services: frozenset[str] | None) -> bool:
        """Return whether all values of a generation are held for these services."""
        stored = self._stored_by_generation.get(generation)
        return stored is not None and all(
            digest in self._values_by_digest for digest in stored.digests(services)
        )

    def compile(self) -> Configuration | None:
        """Compile the desired generation; None if it isn't complete.

        Raises
        ------
        ZinniahookError
            If a value can't be read.
        """
        stored = self._stored_by_generation.get(self.desired_generation)
        if stored is None or self.missing_digests(self.desired_generation):
            return None
        keys, *chunks = stored.digests(self.services)
        services: dict[str, Service] = {}
        for digest in chunks:
            services.update(self._decoded(digest))
        if self.services is not None:
            services = {
                name: service
                for name, service in services.items()
                if name in self.services
            }
        self._drop_unreferenced(stored)
        head = model.from_table(stored.manifest.head)
        self.operators_by_name = head.operators_by_name
        return model.compile(
            model.Document(services_by_name=services),
            stored.manifest.generation,
            documents.keys_from_json(self.value(keys)),
        )

    def _decoded(self, digest: str) -> dict[str, Service]:
        """Return a decoded chunk, cached: decoding is the costly part of a change."""
        services = self._services_by_digest.get(digest)
        if services is None:
            services = documents.services_from_json(digest, self.value(digest))
            self._services_by_digest[digest] = services
        return services

    def _drop_unreferenced(self, current: StoredGeneration) -> None:
        """Drop the generations that are no longer referred to, and their values."""
        kept = {*self.named_generations(), current.manifest.generation}
        for generation in set(self._stored_by_generation) - kept:
            del self._stored_by_generation[generation]
        self._changes_by_generations.clear()
        referenced = {
            digest
            for stored in self._stored_by_generation.values()
            for digest in stored.digests(None)
        }
        for digest in set(self._values_by_digest) - referenced:
            del self._values_by_digest[digest]
        for digest in set(self._services_by_digest) - referenced:
            del self._services_by_digest[digest]


def _check_digest(digest: str, value: bytes) -> None:
    if documents.digest_of(value) != digest:
        raise documents.DocumentError(f"value {digest}: content has another digest")


def _is_later_stage(old: Pointer, new: Pointer) -> bool:
    """Return whether a pointer to the same generation is of a later stage."""
    if not new.previous:
        return True
    return (
        bool(old.previous)
        and set(old.instances) <= set(new.instances)
        and set(old.data_centres) <= set(new.data_centres)
    )
