"""Stored values: round trips, sizes and errors."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import Document, KeyRing, Operator
from zinniahook_core.models import (
    Address,
    AgentState,
    Key,
    Member,
    RequestClass,
    Roster,
    Service,
)
from zinniahook_wire import documents

SERVICES = 5800
SERVICES_PER_CUSTOMER = 4
RING = KeyRing({1: Key(1, b"f" * 32)}, {3: Key(3, b"t" * 32)}, 1, 3)


def service(number, **changes):
    name = f"customer-{number // SERVICES_PER_CUSTOMER}-{number}"
    classes = {"ticket": RequestClass("ticket", "/ticket/", share=0.5)}
    address = Address(f"10.{number >> 8}.{number & 255}.1", 443)
    made = Service(name, number, address, classes_by_name=classes)
    return made._replace(**changes)


def document(count, **changes):
    services = {item.name: item for item in map(service, range(1, count + 1))}
    operators = {"amina": Operator("amina", ("customer-*",), keys=True)}
    made = Document(services, operators, retired_by_name={"gone": 9000})
    return made._replace(**changes)


def split(content, generation=42):
    return documents.split(
        content,
        RING,
        generation=generation,
        parent=generation - 1,
        author="amina",
        time=1.5,
        operation=f"operation-{generation}",
    )


def roster(count):
    members = {}
    for number in range(count):
        name = f"tally-{number}"
        address = Address("10.200.100.200", 40000 + number % 1000)
        members[name] = Member(
            name, address, address, address, "thies-1", 7, AgentState.READY, 4
        )
    return Roster("tally", 12, members)


class TestConfiguration:
    def test_document_and_keys_come_back(self):
        parts = split(document(300))
        manifest = documents.manifest_from_json(
            documents.manifest_to_json(parts.manifest)
        )
        assert manifest == parts.manifest
        chunks = {
            digest: documents.services_from_json(
                digest, parts.values_by_key[documents.chunk_key(digest)]
            )
            for digest in manifest.chunks
            if digest
        }
        assert documents.join(manifest, chunks) == document(300)
        ring = parts.values_by_key[documents.keys_key(manifest.keys)]
        assert documents.keys_from_json(ring) == RING

    def test_one_change_rewrites_one_chunk(self):
        before = document(300)
        changed = service(17, drain=60.0)
        services = {**before.services_by_name, changed.name: changed}
        after = before._replace(services_by_name=services)
        written = split(after, 43).values_by_key.keys()
        assert len(written - split(before).values_by_key.keys()) == 1

    def test_no_value_is_near_the_limit_at_the_design_size(self):
        parts = split(document(SERVICES))
        sizes = [len(value) for value in parts.values_by_key.values()]
        sizes.append(len(documents.manifest_to_json(parts.manifest)))
        assert max(sizes) < documents.VALUE_LIMIT_BYTES / 20

    def test_missing_chunk_is_named(self):
        manifest = split(document(1)).manifest
        with pytest.raises(documents.DocumentError, match="is missing"):
            documents.join(manifest, {})

    def test_chunk_with_other_content(self):
        """Guards against daemons of one generation that disagree on a service.

        The value under a chunk's key is overwritten by hand or damaged. The reader must
        verify the content instead of trusting the key.
        """
        data = documents.services_to_json([service(1)])
        digest = documents.digest_of(data)
        with pytest.raises(documents.DocumentError, match="another digest"):
            documents.services_from_json(digest, data.replace(b"443", b"444"))

    def test_secret_is_in_no_error(self):
        data = documents.keys_to_json(RING).replace(b'"flow_key":1', b'"flow_key":[]')
        with pytest.raises(documents.DocumentError) as caught:
            documents.keys_from_json(data)
        assert str(caught.value) == "keys: not a key ring"


class TestPointer:
    def test_comes_back(self):
        pointer = documents.Pointer(42, "op", 41, ("entry-1",), ("thies-1",))
        data = documents.pointer_to_json(pointer)
        assert documents.pointer_from_json(data) == pointer
        assert documents.operations_of(data) == ("op",)

    @pytest.mark.parametrize(
        ("name", "data_centre", "generation"),
        [("entry-1", "thies-2", 42), ("x", "thies-1", 42), ("x", "thies-2", 41)],
    )
    def test_stages(self, name, data_centre, generation):
        pointer = documents.Pointer(42, "op", 41, ("entry-1",), ("thies-1",))
        assert documents.generation_for(pointer, name, data_centre) == generation

    def test_whole_rollout(self):
        pointer = documents.Pointer(42, "op")
        assert documents.generation_for(pointer, "x", "y") == 42


class TestRoster:
    def test_comes_back_with_the_last_operations(self):
        ids = [f"operation-{number}" for number in range(40)]
        data = documents.roster_to_json(roster(7), ids)
        assert documents.roster_from_json("tally", 12, data) == roster(7)
        assert documents.operations_of(data) == tuple(ids[-16:])

    def test_too_large(self):
        with pytest.raises(documents.DocumentError) as caught:
            documents.roster_to_json(roster(6000))
        assert caught.value.code is Code.ROSTER_TOO_LARGE

    def test_daemons_come_back(self):
        daemon = documents.Daemon("entry-1", "entry", Address("::1", 5), 3)
        data = documents.daemons_to_json([daemon], ["op"])
        assert documents.daemons_from_json(data) == {"entry-1": daemon}

    def test_digest_depends_on_each_revision(self):
        before = documents.revisions_digest({"tally": 1, "ledger": 2})
        assert before == documents.revisions_digest({"ledger": 2, "tally": 1})
        assert before != documents.revisions_digest({"tally": 1, "ledger": 3})


class TestBadValues:
    READERS = [
        documents.pointer_from_json,
        documents.manifest_from_json,
        documents.keys_from_json,
        documents.daemons_from_json,
        documents.operations_of,
        lambda data: documents.roster_from_json("tally", 1, data),
        lambda data: documents.services_from_json(documents.digest_of(data), data),
    ]
    values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=8,
    )
    FIELDS = ["members", "daemons", "flow", "tunnel", "generation", "chunks", "head"]

    @given(st.binary(max_size=60), st.sampled_from(READERS))
    def test_foreign_bytes(self, data, read):
        self.check(read, data)

    @given(st.dictionaries(st.sampled_from(FIELDS), values), st.sampled_from(READERS))
    def test_wrong_shapes(self, value, read):
        self.check(read, documents.dump(value, "value"))

    def check(self, read, data):
        try:
            read(data)
        except ZinniahookError as error:
            assert dataclasses.asdict(error.failure)["reason"]
