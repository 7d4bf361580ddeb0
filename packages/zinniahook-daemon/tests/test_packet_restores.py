"""Reads and writes of a process while the store is restored from an older copy."""

import asyncio
import random

import pytest
from restore_fakes import (
    NONE,
    OWN,
    A,
    FakeJournal,
    RestorableStore,
    run_watcher,
    until,
)
from zinniahook_daemon.packets import watcher as watchers
from zinniahook_daemon.packets.eras import Eras
from zinniahook_daemon.packets.ports import (
    StoreEraError,
)
from zinniahook_daemon.packets.watcher import Announcer


class TestEras:
    """Guards against one invalid header that stops a daemon or sets it back.

    A proxy between daemon and store drops or corrupts the era header. An invalid value
    must neither count as era 0 nor end the call.
    """

    @pytest.mark.parametrize("told", [None, "", "x", "-1", "1.5", " 3", "9" * 30, "٣"])
    def test_an_invalid_era_counts_as_the_known_one(self, told):
        journal = FakeJournal()
        eras = Eras(journal)
        assert eras.resolve("3", 0) == 3
        assert eras.resolve(told, 3) == 3
        assert journal.events[0][0] == "store.era_unknown"
        assert journal.events[0][1]["code"] == 308

    def test_a_store_without_eras_is_not_logged(self):
        journal = FakeJournal()
        assert Eras(journal).resolve(None, 0) == 0
        assert journal.events == []

    def test_a_falling_era_raises_an_error(self):
        journal = FakeJournal()
        eras = Eras(journal)
        eras.resolve("3", 0)
        with pytest.raises(StoreEraError) as error:
            eras.resolve("2", 3)
        assert error.value.code == 307
        assert journal.events == [
            ("store.era_fell", {"era": 2, "known": 3, "code": 307})
        ]
        assert eras.latest == 3

    def test_a_late_answer_belongs_to_the_era_of_its_request(self):
        eras = Eras(FakeJournal())
        eras.resolve("3", 0)
        assert eras.resolve("2", 2) == 2
        assert eras.resolve(None, 2) == 2
        assert eras.latest == 3


@pytest.mark.usefixtures("quick")
class TestPolling:
    def test_a_restore_to_the_same_revision_is_read(self):
        """Guards against a new configuration that isn't noticed.

        The store is restored, and writes follow until its revision equals the one
        seen last. The same revision in another era isn't "nothing new".
        """

        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            store.era, store.version = 2, 2
            await until(lambda: node.routes.version == 2)
            assert store.revision == 10

        run_watcher(scenario)

    def test_an_older_configuration_is_never_installed(self):
        async def scenario(node, store, journal):
            store.version = 5
            await until(lambda: node.routes.version == 5)
            store.era, store.revision, store.version = 2, 4, 4
            calls = len(store.calls)
            await until(lambda: len(store.calls) > calls + 6)
            assert node.routes.version == 5

        run_watcher(scenario)

    def test_an_era_that_falls_is_not_believed(self):
        """Guards against evacuations of an abandoned history that come into force.

        The old store answers once more at its address. Its answer is the latest, but
        of a former era.
        """

        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            store.era, store.revision, store.evacuated_now = 0, 99, A
            await until(lambda: "store.era_fell" in journal.names)
            confirmed = node.freshness.confirmed_at
            calls = len(store.calls)
            await until(lambda: len(store.calls) > calls + 3)
            assert node.evacuations.names == NONE
            assert node.freshness.confirmed_at == confirmed

        run_watcher(scenario)

    def test_a_read_overtaken_by_a_restore_confirms_nothing(self):
        """Guards against an old set of evacuations that is considered fresh.

        A read is sent, peers report the restore, and then the read is answered. The
        answer must not confirm anything.
        """

        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)

            confirmed = []

            def overtake():
                confirmed.append(node.freshness.confirmed_at)
                node.evacuations.read(store.revision, A, store.era + 1)

            store.before_answer = overtake
            await until(lambda: len(confirmed) > 2)
            assert node.evacuations.names == A
            assert set(confirmed) == {confirmed[0]}

        run_watcher(scenario)


@pytest.mark.usefixtures("quick")
class TestAnnouncements:
    """Guards against living agents that no daemon knows after a full restart.

    They announced themselves in the seconds that the store has lost. Each agent
    otherwise announces itself only once.
    """

    def test_are_made_again_once_an_era(self):
        async def run():
            store = RestorableStore()
            copy = store.copy()
            announcer = Announcer(store, OWN, random.Random(1))
            await announcer.run()
            store.restore(copy)
            assert OWN.address not in store.revisions_by_agent
            assert await announcer.renew(2)
            assert not await announcer.renew(2)
            return store

        store = asyncio.run(run())
        assert OWN.address in store.revisions_by_agent
        assert store.calls == ["announce", "announce"]

    def test_two_restores_within_a_second_cost_one_write(self):
        async def run():
            store = RestorableStore()
            copy = store.copy()
            announcer = Announcer(store, OWN, random.Random(1))
            await announcer.run()
            store.restore(copy)
            store.restore(copy)
            await asyncio.gather(announcer.renew(2), announcer.renew(3))
            return store

        assert asyncio.run(run()).calls == ["announce", "announce"]

    def test_are_tried_until_the_store_takes_them(self):
        async def run():
            store = RestorableStore()
            announcer = Announcer(store, OWN, random.Random(1))
            await announcer.run()
            store.restore(store.copy())
            store.failures = 3
            await announcer.renew(2)
            return store

        assert asyncio.run(run()).calls.count("announce") == 5

    def test_are_not_made_again_by_a_leaving_agent(self):
        """Guards against an announcement of an agent that has ended.

        It leaves while the store is restored, and its second announcement would
        follow its withdrawal.
        """

        async def run():
            store = RestorableStore()
            announcer = Announcer(store, OWN, random.Random(1))
            await announcer.run()
            store.restore(store.copy())
            renewing = asyncio.create_task(announcer.renew(2))
            await announcer.withdraw(2)
            await renewing
            return store

        assert asyncio.run(run()).revisions_by_agent == {}


class TestPauses:
    @pytest.mark.parametrize("agents", [100, 300])
    def test_writes_a_second_stay_far_below_what_a_store_takes(
        self, agents, monkeypatch
    ):
        """Guards against an overloaded store after a restore.

        All agents of a deployment learn of the restore at the same moment. A small
        store accepts 400 writes a second.
        """
        pauses = []

        async def sleep(seconds):
            pauses.append(seconds)

        async def run():
            store = RestorableStore()
            rng = random.Random(agents)
            addresses = [f"10.0.{n // 250}.{n % 250}" for n in range(agents)]
            announcers = [
                Announcer(store, OWN._replace(address=address), rng)
                for address in addresses
            ]
            for announcer in announcers:
                await announcer.run()
            store.restore((10, {}, {}))
            store.calls.clear()
            monkeypatch.setattr(watchers.asyncio, "sleep", sleep)
            for announcer in announcers:
                await announcer.renew(2)
            return store

        store = asyncio.run(run())
        busiest = max(sum(t <= at < t + 1 for at in pauses) for t in pauses)
        assert store.calls == ["announce"] * agents
        assert len(store.revisions_by_agent) == agents
        assert busiest <= 100


class TestWithdrawals:
    """Guards against the deletion of another process's key.

    An agent withdraws with its revision of the former era. By chance, the key of a
    later process has the same revision in the new era.
    """

    def test_are_conditioned_on_a_revision_of_the_present_era(self):
        async def run():
            store = RestorableStore()
            announcer = Announcer(store, OWN, random.Random(1))
            await announcer.run()
            store.restore((3, {OWN.address: 2}, {}))
            await announcer.withdraw(2)
            return store

        store = asyncio.run(run())
        assert store.calls == ["announce", "last_write", "withdraw"]
        assert store.revisions_by_agent == {}

    def test_of_what_the_copy_lacks_cost_nothing_more(self):
        async def run():
            store = RestorableStore()
            announcer = Announcer(store, OWN, random.Random(1))
            await announcer.run()
            store.restore((3, {}, {}))
            await announcer.withdraw(2)
            return store

        assert asyncio.run(run()).calls == ["announce", "last_write"]
