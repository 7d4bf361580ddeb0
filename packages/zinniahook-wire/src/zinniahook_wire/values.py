"""Plain values in the store: JSON, digests and limits."""

from __future__ import annotations

import base64
import hashlib
import json
from collections.abc import Mapping
from typing import Any

from zinniahook_core.codes import Code, ZinniahookError

__all__ = [
    "DocumentError",
    "OPERATIONS_KEPT",
    "VALUE_LIMIT_BYTES",
    "MALFORMED_VALUE_ERRORS",
    "digest_of",
    "dump",
    "invalid",
    "load",
    "operations_of",
]

VALUE_LIMIT_BYTES = 900_000
"""Largest value that is written; the store refuses one above a megabyte."""

OPERATIONS_KEPT = 16
"""Ids of the last writes kept in a value that many processes write.

With fewer, a writer whose answer was lost could find its id pushed out by
later writes and take a write that took effect for one that did not.
"""

MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""What reading a value of the wrong shape raises."""

DIGEST_BYTES = 16


class DocumentError(ZinniahookError):
    """A stored value that can't be read, or one that must not be written."""


def digest_of(data: bytes) -> str:
    """Return the digest that names a value by its content."""
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def operations_of(data: bytes) -> tuple[str, ...]:
    """Return the ids of the last writes that a stored value carries.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the value isn't one of ours.
    """
    value = load(data, "value")
    operations = value.get("operations", [value.get("operation")])
    return tuple(item for item in operations if isinstance(item, str))


def dump(
    value: Mapping[str, Any],
    what: str,
    code: Code = Code.CONFIGURATION_INVALID,
) -> bytes:
    """Encode a value as JSON.

    Parameters
    ----------
    value : mapping
        What to encode.
    what : str
        Names it in the error.
    code : Code
        Code of the error.

    Raises
    ------
    DocumentError
        ``code``, if it is larger than `VALUE_LIMIT`.
    """
    # Sorted, so that the same content always has the same digest.
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"), sort_keys=True)
    data = text.encode()
    if len(data) > VALUE_LIMIT_BYTES:
        raise DocumentError(
            f"{what}: {len(data)} bytes, {VALUE_LIMIT_BYTES} are allowed", code
        )
    return data


def load(data: bytes, what: str) -> dict[str, Any]:
    """Decode a JSON object.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if it isn't one.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        raise DocumentError(f"{what}: not JSON") from None
    if not isinstance(value, dict):
        raise DocumentError(f"{what}: not a JSON object")
    return value


def invalid(what: str, error: Exception) -> DocumentError:
    """Return the error for a value of the wrong shape."""
    return DocumentError(f"{what}: {type(error).__name__} {error}")
