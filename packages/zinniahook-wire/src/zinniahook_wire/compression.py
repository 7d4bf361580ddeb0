"""Values in the form in which daemons hold them and pass them on."""

from __future__ import annotations

import zlib

from .values import DocumentError

__all__ = ["SIZE_LIMIT_BYTES", "compress", "decompress"]

SIZE_LIMIT_BYTES = 1 << 20
"""Bytes that a value may have; the store keeps none above a megabyte."""


def compress(value: bytes) -> bytes:
    """Return a value compressed (zlib, RFC 1950)."""
    return zlib.compress(value)


def decompress(data: bytes, what: str, limit: int = SIZE_LIMIT_BYTES) -> bytes:
    """Return what was compressed.

    Parameters
    ----------
    data : bytes
        One zlib stream.
    what : str
        Names it in the error.
    limit : int
        Most bytes of the result.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if it isn't exactly one compressed value or is
        larger than ``limit`` bytes.
    """
    # A kilobyte from a broken peer can stand for a megabyte, and an update
    # carries hundreds. Without a bound the daemon's memory grows until it is
    # killed; the decompressor stops at the bound.
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, limit + 1)
    except zlib.error as error:
        raise DocumentError(f"{what}: {error}") from None
    if len(value) > limit:
        raise DocumentError(f"{what}: above {limit} bytes once decompressed")
    # Data is passed on as it came, so what follows it would be passed on too.
    if not decompressor.eof or decompressor.unused_data:
        raise DocumentError(f"{what}: not one whole compressed value")
    return value
