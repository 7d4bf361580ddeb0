"""Reading configurations from the store while it fails."""

from __future__ import annotations

import asyncio

import pytest
from zinniahook_core.configuration import Document
from zinniahook_core.models import Address, Service
from zinniahook_store import Store, StoreError, configurations
from zinniahook_testkit import stores
from zinniahook_wire import documents

TALLY = Service("tally", 1, Address("127.0.0.1", 7001))


async def commit(store, service):
    """Commit a generation with one service and return its number."""
    base = await configurations.read(store)
    document = Document({service.name: service})
    outcome = await configurations.commit(
        store, base, document, "amina", configurations.new_operation()
    )
    return outcome.generation


class TestFailedRead:
    @pytest.mark.parametrize("failures", [1, 2])
    def test_a_generation_is_in_force_after_failed_reads(
        self, nodes, eventually, failures
    ):
        """Guards against a daemon that keeps an old generation for hours.

        The watch reports the new pointer, the reads of its manifest or values fail,
        and no other change follows. The pointer is already known, so the reads must
        be retried although the store works again.
        """

        async def run():
            with stores.start() as server:
                store = Store([server.address])
                await commit(store, TALLY)
                address = Address.parse(server.address)
                async with nodes.start("node", service="tally", store=address) as node:
                    await asyncio.wait_for(node.ready(), 20)
                    failed = fail_reads(node.store, failures)
                    generation = await commit(store, TALLY._replace(drain=60.0))
                    node.distribution.report_generation(generation)
                    await eventually(lambda: node.generation == generation)
                    assert len(failed) == failures

        asyncio.run(run())


def fail_reads(store, failures):
    """Make the next reads of generations and values fail; return their keys."""
    failed = []
    get, get_many = store.get, store.get_many
    watched = (documents.POINTER_KEY, documents.ROSTER_PREFIX)

    async def failing_get(key):
        if not key.startswith(watched) and len(failed) < failures:
            failed.append(key)
            raise StoreError("no answer")
        return await get(key)

    async def failing_get_many(keys):
        if len(failed) < failures:
            failed.append(keys)
            raise StoreError("no answer")
        return await get_many(keys)

    store.get, store.get_many = failing_get, failing_get_many
    return failed
