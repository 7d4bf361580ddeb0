"""Key rings during rotations, and which keys may be dropped."""

import asyncio

import pytest
from zinniahook_cli import grammar, rotations
from zinniahook_cli.rotations import (
    KEYS_KEPT,
    with_new_keys,
    with_newest_keys_in_use,
    without_old_keys,
)
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_store import configurations
from zinniahook_store.configurations import new_keys


def rotated(ring, times):
    for _ in range(times):
        ring = with_newest_keys_in_use(with_new_keys(ring))
    return ring


class TestRing:
    def test_a_new_key_is_accepted_before_it_is_used(self):
        ring = new_keys()
        added = with_new_keys(ring)
        assert set(added.flow_keys_by_number) == {1, 2}
        assert (added.flow_key, added.tunnel_key) == (1, 1)
        assert added.flow_keys_by_number[1] == ring.flow_keys_by_number[1]
        used = with_newest_keys_in_use(added)
        assert (used.flow_key, used.tunnel_key) == (2, 2)

    def test_the_ring_is_bounded_and_keeps_the_newest(self):
        ring = rotated(new_keys(), 6)
        assert set(ring.flow_keys_by_number) == {4, 5, 6, 7}
        assert len(ring.tunnel_keys_by_number) == KEYS_KEPT

    def test_key_ids_wrap_around(self):
        """The key in use must not be dropped, which breaks every flow.

        After 256 rotations the one-byte key id begins again at 0. This fails if the
        key with the lowest id counts as the oldest.
        """
        ring = rotated(new_keys(), 300)
        assert ring.flow_key == 301 % 256
        assert set(ring.flow_keys_by_number) == {42, 43, 44, 45}
        ring = rotated(new_keys(254), 2)
        assert set(ring.flow_keys_by_number) == {254, 255, 0}
        assert ring.flow_key == 0
        assert without_old_keys(ring) == ring

    def test_secrets_are_new_each_time(self):
        ring = rotated(new_keys(), 3)
        keys = [*ring.flow_keys_by_number.values()]
        keys += ring.tunnel_keys_by_number.values()
        assert len({key.secret for key in keys}) == 8


class TestAge:
    def test_a_key_that_open_flows_may_carry_is_not_dropped(
        self, session_of, first, monkeypatch
    ):
        """Streams that have been open for hours must survive rotations.

        Keys are rotated repeatedly within an hour. The ring is bounded, so the oldest
        key would be dropped too early.
        """

        async def scenario():
            amina = session_of()
            (apply,) = grammar.parse(first)
            await amina.run(apply)
            (rotate,) = grammar.parse("rotate keys")
            for _ in range(KEYS_KEPT - 1):
                await amina.run(rotate)
            with pytest.raises(ZinniahookError) as caught:
                await amina.run(rotate)
            assert caught.value.code is Code.NOT_PERMITTED
            ring = (await configurations.read(amina.store)).keys
            assert set(ring.flow_keys_by_number) == {1, 2, 3, 4}
            monkeypatch.setattr(rotations, "OLD_KEY_AGE_SECONDS", 0.0)
            await amina.run(rotate)
            ring = (await configurations.read(amina.store)).keys
            assert set(ring.flow_keys_by_number) == {2, 3, 4, 5}

        asyncio.run(scenario())

    def test_only_an_operator_of_keys_may_rotate(self, session_of, first):
        async def scenario():
            (apply,) = grammar.parse(first)
            await session_of().run(apply)
            (rotate,) = grammar.parse("rotate keys")
            with pytest.raises(ZinniahookError) as caught:
                await session_of("moussa").run(rotate)
            assert caught.value.code is Code.NOT_PERMITTED

        asyncio.run(scenario())
