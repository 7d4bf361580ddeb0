"""Compressed values, and manifests encoded as changes."""

from __future__ import annotations

import zlib

import pytest
from zinniahook_core.configuration import Document, KeyRing
from zinniahook_core.models import Address, Key, Service
from zinniahook_wire import documents
from zinniahook_wire.compression import SIZE_LIMIT_BYTES, compress, decompress
from zinniahook_wire.documents import Manifest
from zinniahook_wire.manifests import BaseError, apply_change, change_between
from zinniahook_wire.values import DocumentError

KEYS = KeyRing({1: Key(1, b"f" * 32)}, {1: Key(1, b"t" * 32)}, 1, 1)
SERVICES = [
    Service(f"service-{number}", number, Address("127.0.0.1", 7000 + number))
    for number in range(1, 401)
]


def manifest(generation: int, services: list[Service]) -> Manifest:
    return documents.split(
        Document({service.name: service for service in services}),
        KEYS,
        generation=generation,
        parent=generation - 1,
        author="operator",
        time=1.5e9 + generation / 3,
        operation=f"op-{generation}",
    ).manifest


class TestDecompression:
    def test_a_value_comes_back(self):
        value = b"tally" * 1000
        assert decompress(compress(value), "value") == value
        assert decompress(compress(bytes(SIZE_LIMIT_BYTES)), "value") == bytes(
            SIZE_LIMIT_BYTES
        )

    @pytest.mark.parametrize(
        "data",
        [
            compress(bytes(SIZE_LIMIT_BYTES + 1)),
            compress(b"value") + b"more",
            compress(b"value")[:-1],
            b"not compressed",
            b"",
        ],
        ids=["large", "trailing", "truncated", "plain", "empty"],
    )
    def test_anything_else_is_refused(self, data):
        """Guards against a daemon that is killed because of its memory use.

        A faulty peer sends a kilobyte that decompresses to a megabyte, hundreds of
        times in one update. Decompression needs a limit.
        """
        with pytest.raises(DocumentError):
            decompress(data, "value")


class TestManifestChange:
    def test_rebuilds_the_stored_value(self):
        base = manifest(7, SERVICES)
        edited = [SERVICES[0]._replace(drain=9.0), *SERVICES[1:]]
        for services in (edited, SERVICES, SERVICES[:3], []):
            value = documents.manifest_to_json(manifest(8, services))
            assert apply_change(base, change_between(base, value)) == value

    def test_one_service_costs_one_chunk(self):
        base = manifest(7, SERVICES)
        edited = [SERVICES[0]._replace(drain=9.0), *SERVICES[1:]]
        change = change_between(base, documents.manifest_to_json(manifest(8, edited)))
        number = documents.chunk_number("service-1")
        assert list(change.chunks_by_number) == [number]

    def test_a_head_that_differs_is_carried(self):
        base = manifest(7, SERVICES)
        newer = manifest(8, SERVICES)._replace(head={"operators": {"amina": {}}})
        value = documents.manifest_to_json(newer)
        assert apply_change(base, change_between(base, value)) == value

    def test_a_value_in_another_encoding_has_no_change(self):
        base = manifest(7, SERVICES)
        value = documents.manifest_to_json(manifest(8, SERVICES)) + b"\n"
        assert change_between(base, value) is None

    def test_another_base_is_refused(self):
        """Guards against a generation in force that never existed.

        Parent and child have different manifests of the same generation, for example
        after the store was emptied. A change must not be applied to another base.
        """
        value = documents.manifest_to_json(manifest(8, SERVICES))
        change = change_between(manifest(7, SERVICES), value)
        with pytest.raises(BaseError):
            apply_change(manifest(7, SERVICES[1:]), change)

    @pytest.mark.parametrize(
        "change",
        [
            {"fields": zlib.compress(b"{}")},
            {"fields": zlib.compress(b'{"chunk":1}')},
            {"fields": b"not compressed"},
            {"chunks_by_number": {256: "digest"}},
        ],
        ids=["no fields", "unknown field", "not compressed", "no such chunk"],
    )
    def test_a_malformed_change_is_refused(self, change):
        base = manifest(7, SERVICES)
        value = documents.manifest_to_json(manifest(8, SERVICES))
        with pytest.raises(DocumentError):
            apply_change(base, change_between(base, value)._replace(**change))
