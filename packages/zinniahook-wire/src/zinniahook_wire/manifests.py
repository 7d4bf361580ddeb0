"""Manifests encoded as differences from one that the receiver has.

A manifest names every chunk of a generation, and a change of one service replaces one
of them. Only the differences are sent. The receiver rebuilds the stored value byte for
byte, as it forwards that value in turn.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from .compression import compress, decompress
from .documents import Manifest, manifest_from_json, manifest_to_json
from .values import DocumentError, digest_of, dump, load

__all__ = ["BaseError", "ManifestChange", "apply_change", "change_between"]


class BaseError(DocumentError):
    """The change doesn't apply to this base; the whole manifest is needed."""


class ManifestChange(NamedTuple):
    """The difference of a manifest from a base.

    ``base`` is the generation of the base, ``digest`` that of the stored value.
    ``fields`` are the fields other than the chunks as compressed JSON, without the head
    if it is unchanged. ``chunks_by_number`` are the digests of the changed chunks,
    empty strings for empty chunks.
    """

    base: int
    digest: str
    fields: bytes
    chunks_by_number: Mapping[int, str]


def change_between(base: Manifest, value: bytes) -> ManifestChange | None:
    """Return the change from ``base`` to the manifest stored as ``value``.

    Returns
    -------
    ManifestChange or None
        None if the value can't be rebuilt from a change. Another version of the
        program may have written it with other fields or whitespace.

    Raises
    ------
    DocumentError
        If ``value`` isn't a manifest.
    """
    manifest = manifest_from_json(value)
    if len(manifest.chunks) != len(base.chunks) or manifest_to_json(manifest) != value:
        return None
    fields = manifest._asdict()
    del fields["chunks"]
    if manifest.head == base.head:
        del fields["head"]
    pairs = zip(base.chunks, manifest.chunks, strict=True)
    chunks_by_number = {
        number: new for number, (old, new) in enumerate(pairs) if new != old
    }
    return ManifestChange(
        base.generation,
        digest_of(value),
        compress(dump(fields, "manifest")),
        chunks_by_number,
    )


def apply_change(base: Manifest, change: ManifestChange) -> bytes:
    """Rebuild the stored value of a manifest from a base and a change.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the change is malformed.
    BaseError
        If the change was made against another base.
    """
    fields: dict[str, Any] = load(decompress(change.fields, "manifest"), "manifest")
    chunks = list(base.chunks)
    for number, digest in change.chunks_by_number.items():
        if number >= len(chunks):
            raise BaseError(f"manifest: no chunk {number} in the base")
        chunks[number] = digest
    try:
        manifest = Manifest(**{"head": base.head, **fields, "chunks": tuple(chunks)})
    except TypeError as error:
        raise DocumentError(f"manifest: {error}") from None
    value = manifest_to_json(manifest)
    if digest_of(value) != change.digest:
        raise BaseError(f"manifest: differs when made from {base.generation}")
    return value
