"""Heads of requests as they come over HTTP/3, and what is wrong with them."""

from __future__ import annotations

import re
from collections.abc import Iterable

from zinniahook_core.codes import Code

from .exchanges import MAX_KEY_BYTES, Head

__all__ = ["MAX_BODY_BYTES", "refusal_code", "read_head"]

MAX_BODY_BYTES = 1 << 30
"""Largest body of a request, in bytes."""

METHOD = re.compile(r"[A-Z]{1,32}")
PATH = re.compile(r"/[!-~]*|\*")

PSEUDO_HEADERS = frozenset({b":method", b":path", b":scheme", b":authority"})


def read_head(pairs: Iterable[tuple[bytes, bytes]]) -> Head | None:
    """Return the head that a caller's header fields make.

    Returns
    -------
    Head or None
        None if it would not stay one HTTP/1.1 request at the target. HTTP/3
        carries method and path apart from each other. Written into one line,
        a space in them would make the target read another request than the
        one that was classed and admitted here.
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
    """Return why a request is refused for its form, if it is."""
    if len(head.get(b"idempotency-key")) > MAX_KEY_BYTES:
        return Code.KEY_TOO_LONG
    if (head.number(b"content-length") or 0) > MAX_BODY_BYTES:
        return Code.BODY_TOO_LARGE
    return None
