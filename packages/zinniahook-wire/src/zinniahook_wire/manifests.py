"""Manifests as changes against one that the receiver holds.

A manifest names every chunk of a generation, and a change of one service
replaces one of them. Only what differs is sent; the receiver rebuilds the
value as stored, byte for byte, since it passes that on in turn.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from .compression import compress, decompress
from .documents import Manifest, manifest_from_json, manifest_to_json
from .values import DocumentError, digest_of, dump, load

__all__ = ["BaseError", "ManifestChange", "apply_change", "change_between"]


class BaseError(DocumentError):
    """A change can't be applied to what is held; the whole manifest can."""


class ManifestChange(NamedTuple):
    """What one manifest has that another hasn't.

    ``base`` is the generation of the other one, ``digest`` that of the value
    as stored. ``fields`` are the fields besides the chunks as JSON, compressed,
    without the head if it is the same. ``chunks_by_number`` are the digests
    of the chunks that differ, empty for none.
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
        None if the value can't be rebuilt from a change: another version of
        the program may have written it with other fields or spaces.

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
    """Return the value of a manifest as stored.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the change isn't one.
    BaseError
        If it leads from another base than the one held.
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
