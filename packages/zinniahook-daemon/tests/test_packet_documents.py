"""The unpacking of configurations from other daemons."""

import zlib

import pytest
from zinniahook_core.codes import Code
from zinniahook_daemon.packets import documents
from zinniahook_daemon.packets.documents import PackedDocumentError


class TestUnpacking:
    def test_returns_the_document(self):
        document = b'{"version": 1}' * 1000
        assert documents._decompress(zlib.compress(document)) == document

    @pytest.mark.parametrize("body", [b"", b"no zlib", zlib.compress(b"x" * 5000)[:-3]])
    def test_a_broken_one_is_refused(self, body):
        with pytest.raises(PackedDocumentError) as raised:
            documents._decompress(body)
        assert raised.value.code is Code.CONFIGURATION_INVALID

    def test_one_that_grows_without_bound_is_refused(self, monkeypatch):
        monkeypatch.setattr(documents, "MAX_DOCUMENT_BYTES", 1000)
        with pytest.raises(PackedDocumentError):
            documents._decompress(zlib.compress(b"x" * 5000))
