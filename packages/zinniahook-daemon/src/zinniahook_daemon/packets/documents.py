"""The exchange of configurations between daemons.

A request names the version that the sender has. A daemon that still keeps this version
answers with the difference, any other with the complete document. A daemon of an older
release ignores the request's body and also sends the complete document.
"""

from __future__ import annotations

import json
import zlib

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.packets import Routes

from . import differences, web

__all__ = ["Documents", "PackedDocumentError", "encode_request"]

KEPT_VERSIONS = 3
"""Former versions kept as bases of differences, 0.54 MB each at 5,800 routes. A daemon
sends its request within half a second of a change; one that lags behind by more
versions gets the complete document."""

COMPRESSION_LEVEL = 1
"""Level of zlib. It takes 1 ms for 50 KB, and leaves an eighth of the bytes to send
between data centres."""

MAX_DOCUMENT_BYTES = 64 << 20

DOCUMENT_TYPE = "application/zlib"
DIFFERENCE_TYPE = "application/x-difference"


class PackedDocumentError(ZinniahookError):
    """Another daemon sent a configuration that can't be unpacked."""

    code = Code.CONFIGURATION_INVALID


def encode_request(routes: Routes) -> bytes:
    """Return the body of a request for a configuration newer than ``routes``."""
    if not routes.version:
        return b""
    known = differences.digest(routes.document).hex()
    return json.dumps({"version": routes.version, "digest": known}).encode()


class Documents:
    """The configuration versions that one daemon can serve."""

    def __init__(self) -> None:
        self._documents_by_digest: dict[str, bytes] = {}
        self._differences_by_base: dict[str, bytes] = {}
        self._version = 0
        self._newest = ""
        self._packed = b""

    def keep(self, routes: Routes) -> None:
        """Keep the version in force and the `KEPT_VERSIONS` before it.

        Call it for each version. If it were called only for requested versions, the
        one that the other daemons have would be missing.
        """
        if routes.version == self._version:
            return
        self._version = routes.version
        self._newest = differences.digest(routes.document).hex()
        self._packed = b""
        self._differences_by_base.clear()
        self._documents_by_digest.pop(self._newest, None)
        self._documents_by_digest[self._newest] = routes.document
        while len(self._documents_by_digest) > KEPT_VERSIONS + 1:
            del self._documents_by_digest[next(iter(self._documents_by_digest))]

    def answer(self, routes: Routes, request: bytes) -> web.Answer:
        """Answer another daemon's request for the configuration in force."""
        if not routes.version:
            return web.Answer(web.NOT_FOUND)
        self.keep(routes)
        base = _base_digest(request)
        if base != self._newest and base in self._documents_by_digest:
            return web.Answer(web.OK, self._difference(base), DIFFERENCE_TYPE)
        if not self._packed:
            self._packed = zlib.compress(routes.document, COMPRESSION_LEVEL)
        return web.Answer(web.OK, self._packed, DOCUMENT_TYPE)

    def _difference(self, base: str) -> bytes:
        known = self._differences_by_base.get(base)
        if known is None:
            former = self._documents_by_digest[base]
            known = differences.difference(
                former, self._documents_by_digest[self._newest]
            )
            self._differences_by_base[base] = known
        return known

    def read(self, routes: Routes, answer: web.Answer) -> bytes:
        """Return the document in another daemon's answer.

        Raises
        ------
        PackedDocumentError, DifferenceError
            If it is incomplete or too large, or if the difference has another base
            than the version in force here.
        """
        if answer.content_type == DIFFERENCE_TYPE:
            return differences.apply(routes.document, answer.body)
        return _decompress(answer.body)


def _base_digest(request: bytes) -> str:
    """Return the digest of the version that a request names, "" if none."""
    try:
        fields = json.loads(request) if request else {}
    except ValueError:
        return ""
    known = fields.get("digest") if isinstance(fields, dict) else None
    return known if isinstance(known, str) else ""


def _decompress(body: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        document = reader.decompress(body, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise PackedDocumentError(str(error)) from None
    if not reader.eof:
        raise PackedDocumentError("truncated, or too large")
    return document
