"""Differences between two versions of a document.

A document is split at the ends of its objects. A difference lists the runs of pieces
to copy from the former version, and the bytes to insert between them. It also contains
the digests of both versions. A difference that is damaged, or applied to another
version, raises an error and never yields a mixture of two versions.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterator

import xxhash
from zinniahook_core.codes import Code, ZinniahookError

__all__ = ["DifferenceError", "apply", "difference", "digest"]

PIECE_PATTERN = re.compile(rb"[^}]*\}|[^}]+\Z")
RUN_HEADER = struct.Struct("!BII")
COPY = 0
"""A run of pieces of the former version: number of the first, and their count."""

INSERT = 1
"""Bytes of the new version: their count, and 0. The bytes follow."""

COMPRESSION_LEVEL = 1
DIGEST_BYTES = 16
MAX_DOCUMENT_BYTES = 64 << 20
"""Limit of a document's size, whatever a difference contains."""


class DifferenceError(ZinniahookError):
    """A difference is damaged, or has another base version."""

    code = Code.CONFIGURATION_INVALID


def digest(document: bytes) -> bytes:
    """Return the 16-byte digest that identifies a version of a document."""
    return xxhash.xxh3_128_digest(document)


def difference(former: bytes, document: bytes) -> bytes:
    """Return the packed difference that turns ``former`` into ``document``."""
    numbers_by_piece: dict[bytes, int] = {}
    pieces = PIECE_PATTERN.findall(former)
    for number, piece in enumerate(pieces):
        numbers_by_piece.setdefault(piece, number)
    parts = [digest(former), digest(document)]
    parts += _encode_runs(pieces, numbers_by_piece, PIECE_PATTERN.findall(document))
    return zlib.compress(b"".join(parts), COMPRESSION_LEVEL)


def _encode_runs(
    former: list[bytes], numbers_by_piece: dict[bytes, int], pieces: list[bytes]
) -> Iterator[bytes]:
    """Yield the encoded runs of a difference, each as long as possible."""
    at = 0
    while at < len(pieces):
        first = numbers_by_piece.get(pieces[at])
        start = at
        if first is None:
            while at < len(pieces) and pieces[at] not in numbers_by_piece:
                at += 1
            inserted = b"".join(pieces[start:at])
            yield RUN_HEADER.pack(INSERT, len(inserted), 0) + inserted
            continue
        at += _matching_pieces(former, first, pieces, at)
        yield RUN_HEADER.pack(COPY, first, at - start)


def _matching_pieces(
    former: list[bytes], first: int, pieces: list[bytes], at: int
) -> int:
    """Count the pieces from ``at`` on that equal those of ``former`` from ``first``."""
    most = min(len(former) - first, len(pieces) - at)
    for length in range(most):
        if former[first + length] != pieces[at + length]:
            return length
    return most


def apply(former: bytes, packed: bytes) -> bytes:
    """Return the document that a difference yields for a former version.

    Raises
    ------
    DifferenceError
        If it is damaged or truncated, or has another base version.
    """
    data = _decompress(packed)
    if data[:DIGEST_BYTES] != digest(former):
        raise DifferenceError("difference: has another base version")
    wanted = data[DIGEST_BYTES : 2 * DIGEST_BYTES]
    document = _apply_runs(PIECE_PATTERN.findall(former), data)
    if digest(document) != wanted:
        raise DifferenceError("difference: damaged")
    return document


def _apply_runs(former: list[bytes], data: bytes) -> bytes:
    parts: list[bytes] = []
    at, size = 2 * DIGEST_BYTES, 0
    while at < len(data):
        if len(data) - at < RUN_HEADER.size:
            raise DifferenceError("difference: cut off")
        kind, first, count = RUN_HEADER.unpack_from(data, at)
        at += RUN_HEADER.size
        if kind == COPY and first + count <= len(former):
            parts.append(b"".join(former[first : first + count]))
        elif kind == INSERT and not count and at + first <= len(data):
            parts.append(data[at : at + first])
            at += first
        else:
            raise DifferenceError("difference: damaged")
        size += len(parts[-1])
        if size > MAX_DOCUMENT_BYTES:
            raise DifferenceError(
                f"difference: document exceeds {MAX_DOCUMENT_BYTES} bytes"
            )
    return b"".join(parts)


def _decompress(packed: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise DifferenceError(f"difference: {error}") from None
    if not reader.eof or len(data) < 2 * DIGEST_BYTES:
        raise DifferenceError("difference: cut off")
    return data
