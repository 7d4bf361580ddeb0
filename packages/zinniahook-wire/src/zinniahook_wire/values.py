"""Helpers for stored values: JSON, digests and limits."""

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
"""Largest value that is written. The store refuses values above a megabyte."""

OPERATIONS_KEPT = 16
"""Operation ids kept in a value that many processes write.

With fewer ids, later writes could displace the id of a write whose answer was lost.
Its writer would conclude that the write hadn't taken effect although it had.
"""

MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""Exceptions raised when a value of the wrong shape is read."""

DIGEST_BYTES = 16


class DocumentError(ZinniahookError):
    """A stored value is invalid, or a value must not be written."""


def digest_of(data: bytes) -> str:
    """Return the digest of a value's content, which serves as its name."""
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def operations_of(data: bytes) -> tuple[str, ...]:
    """Return the operation ids of the last writes in a stored value.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the value isn't a JSON object.
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
        The value.
    what : str
        Name of the value in error messages.
    code : Code
        Result code of the error.

    Raises
    ------
    DocumentError
        ``code``, if the encoded value is larger than `VALUE_LIMIT_BYTES`.
    """
    # Keys are sorted so that equal content always has the same digest.
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"), sort_keys=True)
    data = text.encode()
    if len(data) > VALUE_LIMIT_BYTES:
        raise DocumentError(
            f"{what}: {len(data)} bytes, the limit is {VALUE_LIMIT_BYTES}", code
        )
    return data


def load(data: bytes, what: str) -> dict[str, Any]:
    """Decode a JSON object.

    Raises
    ------
    DocumentError
        CONFIGURATION_INVALID, if the data is malformed.
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
