"""The configuration values that a daemon holds, and what they add up to."""

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


class StoredGeneration(NamedTuple):
    """A manifest with its value as stored."""

    manifest: Manifest
    value: bytes

    def digests(self, services: frozenset[str] | None) -> list[str]:
        """Return the digests of the values that it needs.

        Parameters
        ----------
        services : frozenset of str or None
            Names of the services that matter; None for all.
        """
        manifest = self.manifest
        chunks: Iterable[str] = manifest.chunks
        if services is not None:
            numbers = {documents.chunk_number(name) for name in services}
            chunks = (manifest.chunks[number] for number in sorted(numbers))
        return [manifest.keys, *filter(None, chunks)]


class Generations:
    """Values by digest, the generations they form, and the pointer.

    A value is named by its content, so it is checked when it comes in,
    whoever sent it, and never goes out of date. What no kept generation
    names is dropped.

    Parameters
    ----------
    name, data_centre : str
        Of this daemon; they choose the generation during a staged rollout.
    services : frozenset of str or None
        The services that matter here; None for all.

    Attributes
    ----------
    pointer : Pointer
    pointer_value : bytes
        The pointer as stored.
    operators_by_name : mapping of str to Operator
        Whom the configuration in force names as operators.
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
        # Sixteen subscribers want the same change.
        self._changes_by_generations: dict[tuple[int, int], ManifestChange | None] = {}

    @property
    def digests(self) -> list[str]:
        """Digests of all values held."""
        return list(self._values_by_digest)

    @property
    def desired_generation(self) -> int:
        """The generation that is to be in force here; 0 for none."""
        return documents.generation_for(self.pointer, self._name, self._data_centre)

    def named_generations(self) -> tuple[int, ...]:
        """Return the generations that the pointer names, oldest first."""
        pointer = self.pointer
        return tuple(sorted(filter(None, {pointer.previous, pointer.generation})))

    def set_pointer(self, value: bytes) -> bool:
        """Take a pointer, unless it is older than the one held.

        Returns
        -------
        bool
            Whether it is new. One of a lower generation is from a source
            that lags: taking it would take back an accepted change.

        Raises
        ------
        DocumentError
            If it isn't a pointer.
        """
        pointer = documents.pointer_from_json(value)
        if pointer.generation < self.pointer.generation or pointer == self.pointer:
            return False
        same = pointer.generation == self.pointer.generation
        # The stages of one rollout only widen; a narrower one is older.
        if same and not _is_later_stage(self.pointer, pointer):
            return False
        self.pointer = pointer
        self.pointer_value = value
        return True

    def stored(self, generation: int) -> StoredGeneration | None:
        """Return a generation's manifest, if it is held."""
        return self._stored_by_generation.get(generation)

    def add_manifest(self, value: bytes) -> StoredGeneration:
        """Hold a manifest.

        Raises
        ------
        DocumentError
            If it isn't a manifest.
        """
        stored = StoredGeneration(documents.manifest_from_json(value), value)
        return self._stored_by_generation.setdefault(stored.manifest.generation, stored)

    def add_change(self, change: ManifestChange) -> StoredGeneration:
        """Hold a manifest that comes as a change against one held.

        Raises
        ------
        BaseError
            If that one isn't held, or is another.
        DocumentError
            If it isn't a change.
        """
        base = self._stored_by_generation.get(change.base)
        if base is None:
            raise BaseError(f"manifest of generation {change.base} is not held")
        return self.add_manifest(apply_change(base.manifest, change))

    def change(
        self, base: StoredGeneration, stored: StoredGeneration
    ) -> ManifestChange | None:
        """Return a manifest as a change; None if only the whole will do."""
        key = (base.manifest.generation, stored.manifest.generation)
        if key not in self._changes_by_generations:
            change = change_between(base.manifest, stored.value)
            self._changes_by_generations[key] = change
        return self._changes_by_generations[key]

    def add_values(self, values_by_digest: Mapping[str, bytes]) -> None:
        """Hold values, but those whose content has another digest.

        Raises
        ------
        DocumentError
            If one has another digest.
        """
        for digest, value in values_by_digest.items():
            _check_digest(digest, value)
            # Kept for daemons that subscribe here; JSON shrinks to a sixth.
            self._values_by_digest[digest] = compress(value)

    def add_compressed(self, values_by_digest: Mapping[str, bytes]) -> None:
        """Hold values that come compressed, as `add_values`.

        Raises
        ------
        DocumentError
            If one is too large, or has another digest.
        """
        for digest, packed in values_by_digest.items():
            _check_digest(digest, decompress(packed, f"value {digest}"))
            self._values_by_digest[digest] = packed

    def value(self, digest: str) -> bytes:
        """Return a value that is held.

        Raises
        ------
        KeyError
            If it isn't.
        """
        return decompress(self._values_by_digest[digest], f"value {digest}")

    def compressed(self, digest: str) -> bytes:
        """Return a value that is held, compressed.

        Raises
        ------
        KeyError
            If it isn't.
        """
        return self._values_by_digest[digest]

    def missing_digests(self, generation: int) -> list[str] | None:
        """Return the digests still missing, or None without the manifest."""
        stored = self._stored_by_generation.get(generation)
        if stored is None:
            return None
        return [
            digest
            for digest in stored.digests(self.services)
            if digest not in self._values_by_digest
        ]

    def is_complete(self, generation: int, services: frozenset[str] | None) -> bool:
        """Whether a subscriber that wants these services can be served."""
        stored = self._stored_by_generation.get(generation)
        return stored is not None and all(
            digest in self._values_by_digest for digest in stored.digests(services)
        )

    def compile(self) -> Configuration | None:
        """Return the generation that is to be in force here, if it is whole.

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
        """Decode a chunk once; it is the dear part of a change."""
        services = self._services_by_digest.get(digest)
        if services is None:
            services = documents.services_from_json(digest, self.value(digest))
            self._services_by_digest[digest] = services
        return services

    def _drop_unreferenced(self, current: StoredGeneration) -> None:
        """Drop generations that nothing names any more, and their values."""
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
        raise documents.DocumentError(f"value {digest}: has another digest")


def _is_later_stage(old: Pointer, new: Pointer) -> bool:
    """Whether a pointer to the same generation is a later stage."""
    if not new.previous:
        return True
    return (
        bool(old.previous)
        and set(old.instances) <= set(new.instances)
        and set(old.data_centres) <= set(new.data_centres)
    )
