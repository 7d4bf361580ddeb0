"""Compression of stored values, as daemons keep them and send them to each other."""

from __future__ import annotations

import zlib

from .values import DocumentError

__all__ = ["SIZE_LIMIT_BYTES", "compress", "decompress"]

SIZE_LIMIT_BYTES = 1 << 20
"""Maximum size of a value. The store accepts no value above a megabyte."""


def compress(value: bytes) -> bytes:
    """Compress a value (zlib, RFC 1950)."""
    return zlib.compress(value)


def decompress(data: bytes, what: str, limit: int = SIZE_LIMIT_BYTES) -> bytes:
    """Decompress a value.

    Parameters
    ----------
    data : bytes
        One zlib stream.
    what : str
        Name of the value in error messages.
    limit : int
        Maximum size of the result, in bytes.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data isn't exactly one compressed value, or the
        value is larger than ``limit`` bytes.
    """
    # A kilobyte from a faulty peer can decompress to a megabyte, and an update carries
    # hundreds of values. Without a limit the daemon's memory grows until the process
    # is killed. The decompressor stops at the limit.
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, limit + 1)
    except zlib.error as error:
        raise DocumentError(f"{what}: {error}") from None
    if len(value) > limit:
        raise DocumentError(f"{what}: above {limit} bytes once decompressed")
    # The data is forwarded unchanged, so trailing bytes would be forwarded too.
    if not decompressor.eof or decompressor.unused_data:
        raise DocumentError(f"{what}: not one whole compressed value")
    return value
