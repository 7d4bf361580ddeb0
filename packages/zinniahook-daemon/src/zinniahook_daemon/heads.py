"""Parsing and validation of request heads received over HTTP/3."""

from __future__ import annotations

import re
from collections.abc import Iterable

from zinniahook_core.codes import Code

from .exchanges import MAX_KEY_BYTES, Head

__all__ = ["MAX_BODY_BYTES", "refusal_code", "read_head"]

MAX_BODY_BYTES = 1 << 30
"""Largest body of a request."""

METHOD = re.compile(r"[A-Z]{1,32}")
PATH = re.compile(r"/[!-~]*|\*")

PSEUDO_HEADERS = frozenset({b":method", b":path", b":scheme", b":authority"})


def read_head(pairs: Iterable[tuple[bytes, bytes]]) -> Head | None:
    """Return the request head in a caller's header fields.

    Returns
    -------
    Head or None
        None if the method or path is invalid as part of an HTTP/1.1 request line.
        HTTP/3 carries method and path separately. A space in one of them would
        make the target read another request from the line than the one that was
        classified and admitted here.
    """
    fields = list(pairs)
    values = dict(fields)
    headers = tuple(field for field in fields if field[0] not in PSEUDO_HEADERS)
    if b":authority" in values and b"host" not in values:
        headers += ((b"host", values[b":authority"]),)
    method = values.get(b":method", b"").decode("latin-1")
    path = values.get(b":path", b"").decode("latin-1")
    if not METHOD.fullmatch(method) or not PATH.fullmatch(path):
        return None
    return Head(method, path, headers)


def refusal_code(head: Head) -> Code | None:
    """Return the code with which an invalid request is refused, or None."""
    if len(head.get(b"idempotency-key")) > MAX_KEY_BYTES:
        return Code.KEY_TOO_LONG
    if (head.number(b"content-length") or 0) > MAX_BODY_BYTES:
        return Code.BODY_TOO_LARGE
    return None
