"""The data of the fake store against a plain model of every revision."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from zinniahook_testkit.keyspaces import CompactedError, Compare, Keyspace

ALL = b"\0", b"\0"
keys = st.sampled_from([b"a", b"ab", b"b", b"c"])
puts = st.tuples(st.just("put"), keys, st.binary(max_size=3))
deletes = st.tuples(st.just("delete"), keys, st.just(b""))
writes = st.lists(puts | deletes, max_size=30)


def apply(keyspace, steps):
    """Apply the steps and return what was stored at each revision."""
    stored = {}
    states = {keyspace.revision: {}}
    for kind, key, value in steps:
        if kind == "put":
            keyspace.write([(key, value, 0)])
            stored[key] = value
        else:
            keyspace.write(deletes=[(key, b"")])
            stored.pop(key, None)
        states[keyspace.revision] = dict(stored)
    return states


def read(keyspace, revision=0):
    return {key: item.value for key, item in keyspace.read(*ALL, revision)}


class TestKeyspace:
    @given(writes)
    def test_every_revision_can_be_read(self, steps):
        keyspace = Keyspace()
        for revision, state in apply(keyspace, steps).items():
            assert read(keyspace, revision) == state

    @given(writes, st.integers(1, 30))
    def test_compaction_keeps_what_is_newer(self, steps, at):
        keyspace = Keyspace()
        states = apply(keyspace, steps)
        keyspace.compact(at)
        for revision, state in states.items():
            if revision < keyspace.compacted:
                with pytest.raises(CompactedError):
                    keyspace.read(*ALL, revision)
            else:
                assert read(keyspace, revision) == state

    @given(writes, st.integers(1, 31))
    def test_events_replay_to_the_present(self, steps, since):
        keyspace = Keyspace()
        states = apply(keyspace, steps)
        since = min(since, keyspace.revision)
        replayed = dict(states[since])
        for event in keyspace.since(since + 1, *ALL):
            replayed[event.key] = event.version.value
        present = {key: value for key, value in replayed.items() if value is not None}
        assert present == read(keyspace)

    def test_range_ends_before_its_end(self):
        keyspace = Keyspace()
        apply(keyspace, [("put", key, b"") for key in (b"a", b"ab", b"b")])
        assert [key for key, _ in keyspace.read(b"a", b"b")] == [b"a", b"ab"]

    def test_compare_of_a_missing_key(self):
        keyspace = Keyspace()
        assert keyspace.holds(Compare(b"a", "MOD", "EQUAL", 0))
        keyspace.write([(b"a", b"1", 0)])
        assert not keyspace.holds(Compare(b"a", "MOD", "EQUAL", 0))
        assert keyspace.holds(Compare(b"a", "VALUE", "EQUAL", b"1"))

    def test_lapsed_lease_takes_its_keys(self):
        keyspace = Keyspace()
        lease = keyspace.grant(10, now=0.0)
        keyspace.write([(b"a", b"1", lease.number), (b"b", b"2", 0)])
        keyspace.keep_alive(lease.number, now=8.0)
        keyspace.expire(now=17.0)
        assert read(keyspace) == {b"a": b"1", b"b": b"2"}
        keyspace.expire(now=18.0)
        assert read(keyspace) == {b"b": b"2"}
