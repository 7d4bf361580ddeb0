"""JSON encoding of a configuration in the store, and the keys of its values.

The services of a configuration are distributed over `CHUNK_COUNT` chunks by the hash
of their name. No value comes near the store's size limit, and a change of one service
rewrites one chunk. Chunks and key rings are named by the digest of their content and
never change. A manifest lists the digests of one generation, and the pointer names the
generation in force.

A commit first writes the new chunks and key ring. Then one transaction, which compares
the pointer's revision, writes the manifest and the pointer. A reader that sees the
pointer therefore finds all values that it refers to.
"""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, TypedDict

from zinniahook_core import configuration
from zinniahook_core.configuration import Document, KeyRing
from zinniahook_core.models import Key, Service

from .rosters import (
    DAEMONS_PREFIX,
    ROSTER_PREFIX,
    Daemon,
    daemons_from_json,
    daemons_key,
    daemons_to_json,
    revisions_digest,
    roster_from_json,
    roster_key,
    roster_to_json,
)
from .values import (
    MALFORMED_VALUE_ERRORS,
    VALUE_LIMIT_BYTES,
    DocumentError,
    digest_of,
    dump,
    invalid,
    load,
    operations_of,
)

__all__ = [
    "CHUNK_COUNT",
    "CONFIGURATION_PREFIX",
    "DAEMONS_PREFIX",
    "GENERATION_PREFIX",
    "Daemon",
    "DocumentError",
    "Manifest",
    "Parts",
    "Pointer",
    "POINTER_KEY",
    "ROSTER_PREFIX",
    "VALUE_LIMIT_BYTES",
    "chunk_key",
    "chunk_number",
    "daemons_from_json",
    "daemons_key",
    "daemons_to_json",
    "digest_of",
    "generation_for",
    "generation_key",
    "join",
    "keys_from_json",
    "keys_key",
    "keys_to_json",
    "manifest_from_json",
    "manifest_to_json",
    "operations_of",
    "pointer_from_json",
    "pointer_to_json",
    "revisions_digest",
    "roster_from_json",
    "roster_key",
    "roster_to_json",
    "services_from_json",
    "services_to_json",
    "split",
]

CONFIGURATION_PREFIX = "/zinniahook/configuration/"
POINTER_KEY = CONFIGURATION_PREFIX + "pointer"
GENERATION_PREFIX = CONFIGURATION_PREFIX + "generation/"
CHUNK_PREFIX = CONFIGURATION_PREFIX + "chunk/"
KEYS_PREFIX = CONFIGURATION_PREFIX + "keys/"

CHUNK_COUNT = 256
"""Number of chunks; the chunk of a service is one byte of a hash."""


class KeysValue(TypedDict):
    """A stored key ring; secrets are in base64."""

    flow: dict[str, str]
    tunnel: dict[str, str]
    flow_key: int
    tunnel_key: int


class Pointer(NamedTuple):
    """The generation in force.

    During a staged rollout, ``generation`` is in force only at the named instances and
    data centres, and ``previous`` elsewhere. If ``previous`` is 0, ``generation`` is
    in force everywhere.
    """

    generation: int
    operation: str
    previous: int = 0
    instances: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()


class Manifest(NamedTuple):
    """One generation: its author, its parent and its content.

    ``time`` is in seconds since the epoch, by the operator's clock. ``chunks`` are the
    digests of the chunks by number, empty strings for empty chunks. ``head`` holds the
    tables of the document other than its services.
    """

    generation: int
    parent: int
    author: str
    time: float
    operation: str
    chunks: tuple[str, ...]
    keys: str
    head: Mapping[str, Any]


class Parts(NamedTuple):
    """A manifest and the values that it refers to, as written to the store."""

    manifest: Manifest
    values_by_key: Mapping[str, bytes]


def generation_key(generation: int) -> str:
    """Return the store's key of the manifest of a generation.

    The number has a fixed width, so that keys sort by generation.
    """
    return f"{GENERATION_PREFIX}{generation:010d}"


def chunk_key(digest: str) -> str:
    """Return the store's key of a chunk of services."""
    return CHUNK_PREFIX + digest


def keys_key(digest: str) -> str:
    """Return the store's key of a key ring."""
    return KEYS_PREFIX + digest


def chunk_number(service: str) -> int:
    """Return the number of the chunk that a service belongs to."""
    return hashlib.blake2b(service.encode(), digest_size=1).digest()[0]


def split(
    document: Document,
    keys: KeyRing,
    *,
    generation: int,
    parent: int,
    author: str,
    time: float,
    operation: str,
) -> Parts:
    """Split a document and its key ring into the values of one generation.

    Parameters
    ----------
    document, keys
        The new configuration, already validated by the caller.
    generation, parent : int
        Number of the new generation and of the one that the change is based on.
    author, operation : str
        Author of the change, and id of the write.
    time : float
        Seconds since the epoch.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if a value would be too large.
    """
    table = configuration.to_table(document)
    services = table.pop("services")
    tables_by_number: dict[int, dict[str, Any]] = {}
    for name, item in services.items():
        tables_by_number.setdefault(chunk_number(name), {})[name] = item
    values_by_key = {}
    chunks = [""] * CHUNK_COUNT
    for number, tables in tables_by_number.items():
        data = dump(tables, f"chunk {number}")
        chunks[number] = digest_of(data)
        values_by_key[chunk_key(chunks[number])] = data
    ring = keys_to_json(keys)
    values_by_key[keys_key(digest_of(ring))] = ring
    manifest = Manifest(
        generation,
        parent,
        author,
        time,
        operation,
        tuple(chunks),
        digest_of(ring),
        table,
    )
    return Parts(manifest, values_by_key)


def join(
    manifest: Manifest, services_by_digest: Mapping[str, Mapping[str, Service]]
) -> Document:
    """Rebuild a document from its manifest and its decoded chunks.

    Decoding is the expensive part. Readers therefore keep decoded chunks by digest and
    decode only new ones.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if a chunk is missing or the head is invalid.
    """
    services: dict[str, Service] = {}
    for digest in filter(None, manifest.chunks):
        if digest not in services_by_digest:
            raise DocumentError(f"chunk {digest} is missing")
        services.update(services_by_digest[digest])
    head = configuration.from_table(manifest.head)
    return head._replace(services_by_name=services)


def services_to_json(services: Iterable[Service]) -> bytes:
    """Encode services as one chunk."""
    document = Document({service.name: service for service in services})
    return dump(configuration.to_table(document)["services"], "chunk")


def services_from_json(digest: str, data: bytes) -> dict[str, Service]:
    """Decode a chunk and verify its digest.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data isn't the chunk with that digest.
    """
    what = f"chunk {digest}"
    if digest_of(data) != digest:
        raise DocumentError(f"{what}: the content has another digest")
    table = load(data, what)
    return dict(configuration.from_table({"services": table}).services_by_name)


def keys_to_json(keys: KeyRing) -> bytes:
    """Encode a key ring; the result is secret."""
    value: KeysValue = {
        "flow": _secrets(keys.flow_keys_by_number),
        "tunnel": _secrets(keys.tunnel_keys_by_number),
        "flow_key": keys.flow_key,
        "tunnel_key": keys.tunnel_key,
    }
    return dump(value, "keys")


def keys_from_json(data: bytes) -> KeyRing:
    """Decode a key ring.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID. The message never contains any of the data.
    """
    value = load(data, "keys")
    try:
        return KeyRing(
            _keys(value["flow"]),
            _keys(value["tunnel"]),
            int(value["flow_key"]),
            int(value["tunnel_key"]),
        )
    except MALFORMED_VALUE_ERRORS:
        raise DocumentError("keys: not a key ring") from None


def manifest_to_json(manifest: Manifest) -> bytes:
    """Encode a manifest.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the value would be too large.
    """
    return dump(manifest._asdict(), "manifest")


def manifest_from_json(data: bytes) -> Manifest:
    """Decode a manifest.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data is malformed.
    """
    value = load(data, "manifest")
    try:
        manifest = Manifest(**{**value, "chunks": tuple(map(str, value["chunks"]))})
    except MALFORMED_VALUE_ERRORS as error:
        raise invalid("manifest", error) from None
    if type(manifest.generation) is not int or not isinstance(manifest.head, dict):
        raise DocumentError("manifest: a field has the wrong type")
    return manifest


def pointer_to_json(pointer: Pointer) -> bytes:
    """Encode a pointer."""
    return dump(pointer._asdict(), "pointer")


def pointer_from_json(data: bytes) -> Pointer:
    """Decode a pointer.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data is malformed.
    """
    value = load(data, "pointer")
    try:
        return Pointer(
            int(value["generation"]),
            str(value["operation"]),
            int(value.get("previous", 0)),
            tuple(map(str, value.get("instances", ()))),
            tuple(map(str, value.get("data_centres", ()))),
        )
    except MALFORMED_VALUE_ERRORS as error:
        raise invalid("pointer", error) from None


def generation_for(pointer: Pointer, name: str, data_centre: str) -> int:
    """Return the generation that should be in force at an instance."""
    if not pointer.previous:
        return pointer.generation
    if name in pointer.instances or data_centre in pointer.data_centres:
        return pointer.generation
    return pointer.previous


def _secrets(keys_by_number: Mapping[int, Key]) -> dict[str, str]:
    return {
        str(number): base64.b64encode(key.secret).decode()
        for number, key in sorted(keys_by_number.items())
    }


def _keys(secrets_by_number: Mapping[str, str]) -> dict[int, Key]:
    return {
        int(number): Key(int(number), base64.b64decode(secret, validate=True))
        for number, secret in secrets_by_number.items()
    }
