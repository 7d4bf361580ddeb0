"""What a process writes again after a restore of the store."""

import asyncio

import pytest
from restore_fakes import (
    FLOOR,
    LONG_AGO,
    NONE,
    OWN,
    PEER,
    FakeJournal,
    FakeNode,
    RestorableStore,
    daemon,
    routes,
)
from zinniahook_core.packets import State
from zinniahook_core.packets.formers import FormerService
from zinniahook_daemon.packets.ports import StoreUnavailableError, WritePosition
from zinniahook_daemon.packets.recorder import CHECKED_ERA_NAME, Recorder
from zinniahook_daemon.packets.roles import AgentDaemon, EntryDaemon
from zinniahook_daemon.packets.watcher import Announcer


@pytest.mark.usefixtures("quick")
class TestKeysOfEndedPeers:
    """Guards against starting daemons that query an agent that ended long ago.

    An agent withdraws and ends, and the store loses the withdrawal in a restore. The
    process no longer exists to withdraw again.
    """

    def renewed(self, store, *present, ended=PEER.address, revision=10):
        async def run():
            made = daemon(AgentDaemon, store)
            made._announcer = Announcer(store, OWN, made.rng)
            await made._announcer.run()
            core = made.core
            for address in present:
                core.members(0.0, "tally", address, "a")
            core.members(0.0, "tally", ended, "a")
            core.roster.by_address[ended].state = State.ENDED
            store.era = 2
            await made.renew(2, revision)
            return made

        return asyncio.run(run())

    def test_are_removed_by_one_agent(self):
        store = RestorableStore()
        store.revisions_by_agent[PEER.address] = 9
        made = self.renewed(store)
        assert PEER.address not in store.revisions_by_agent
        assert "announcement.removed" in made.journal.names

    def test_but_not_if_written_since(self):
        """Guards against the removal of a new agent at the same address."""
        store = RestorableStore()
        store.revisions_by_agent[PEER.address] = 11
        self.renewed(store)
        assert PEER.address in store.revisions_by_agent
        assert "withdraw" not in store.calls

    def test_and_not_by_all(self, monkeypatch):
        store = RestorableStore()
        store.revisions_by_agent[PEER.address] = 9
        lower = ["10.0.0.1", OWN.address]
        roster = "zinniahook_core.packets.members.Roster.present"
        monkeypatch.setattr(roster, lambda self, now: lower)
        self.renewed(store, "10.0.0.1")
        assert "last_write" not in store.calls

    def test_a_store_that_refuses_is_left_alone(self):
        store = RestorableStore()
        store.revisions_by_agent[PEER.address] = 9

        async def last_write(agent):
            raise StoreUnavailableError("refused")

        store.last_write = last_write
        made = self.renewed(store)
        assert "takeout.failed" in made.journal.names


class TestRestoreSeen:
    @pytest.mark.parametrize(
        ("role", "renewed"), [(AgentDaemon, ["announcement"]), (EntryDaemon, [])]
    )
    def test_is_logged_once(self, role, renewed):
        async def run():
            made = daemon(role, RestorableStore())
            made.started = []
            made.start = lambda work: (made.started.append(1), work.close())
            for era, revision in ((1, 1000), (1, 1001), (2, 900), (2, 901)):
                made.core.evacuations.read(revision, NONE, era)
                made._check_restore()
            return made

        made = asyncio.run(run())
        lines = [fields for name, fields in made.journal.events if "restored" in name]
        assert lines == [
            {
                "era": 2,
                "former_era": 1,
                "revision": 900,
                "former_revision": 1001,
                "renewed": renewed,
                "code": 306,
            }
        ]
        assert made.started == [1]
        assert made.gauges(0.0)["store_era"] == 2


class TestStartAroundARestore:
    """Guards against daemons that start later and don't learn of an agent.

    The agent announces itself, the store is restored, and the first era that the agent
    learns of is the new one. It must write again although it knew no former era.
    """

    @pytest.mark.parametrize(("written", "again"), [(0, [1]), (1, [])])
    def test_what_was_written_before_is_written_again(self, written, again):
        async def run():
            made = daemon(AgentDaemon, RestorableStore())
            made.started = []
            made.start = lambda work: (made.started.append(1), work.close())
            made._announcer = Announcer(made.store, None, made.rng)
            made._announcer._last_write = WritePosition(written, 5)
            made.core.evacuations.read(900, NONE, 1)
            made._check_restore()
            return made.started

        assert asyncio.run(run()) == again


def write_record(recorder, era, times=1):
    async def run():
        for _ in range(times):
            await recorder.write(LONG_AGO, era)

    asyncio.run(run())


class TestRecord:
    """Guards against resets of flows at a former service after a full restart.

    The record is written, the store is restored without it, and all processes
    restart. Daemons must not rely on their earlier write.
    """

    def test_what_was_lost_is_written_again(self):
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        recorder = Recorder(node, store, FakeJournal())
        write_record(recorder, 1)
        copy = store.copy()
        node.configure(0.0, routes(5, "docs"))
        node.formers.learn(0.0, [FormerService(FLOOR, "floor", 1e9)])
        write_record(recorder, 1)
        store.restore(copy)
        assert store.recorded() == {"floor"}
        write_record(recorder, 2)
        assert store.recorded() >= {"docs"}

    def test_what_only_the_copy_has_stays(self):
        """Guards against the loss of a former service that another daemon recorded.

        The first daemon to write after the restore must keep the stored entries.
        """
        store, other, node = RestorableStore(), FakeNode(), FakeNode()
        other.configure(0.0, routes(4, "ledger"))
        write_record(Recorder(other, store, FakeJournal()), 1)
        store.restore(store.copy())
        node.configure(0.0, routes(5, "floor"))
        write_record(Recorder(node, store, FakeJournal()), 2)
        assert store.recorded() == {"ledger", "floor"}

    def test_nothing_lost_costs_one_write_an_era(self):
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        recorder = Recorder(node, store, FakeJournal())
        write_record(recorder, 1, times=3)
        store.restore(store.copy())
        write_record(recorder, 2, times=5)
        assert store.calls == [
            "stored_values",
            "write_values",
            "stored_values",
            "write_values",
        ]
        assert store.kept_by_name[CHECKED_ERA_NAME].value == b"2"

    def test_a_store_without_eras_is_written_as_before(self):
        store, node = RestorableStore(), FakeNode()
        store.era = 0
        node.configure(0.0, routes(4, "floor"))
        write_record(Recorder(node, store, FakeJournal()), 0, times=3)
        assert store.calls == ["stored_values", "write_values"]
        assert CHECKED_ERA_NAME not in store.kept_by_name

    def test_a_write_that_a_restore_overtook_is_made_again(self):
        """Guards against a record that is wrongly considered written in the new era.

        The store is restored between the read and the write, and by chance has the
        same revision. The write's condition then compares two histories.
        """
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        recorder = Recorder(node, store, FakeJournal())
        keep = store.write_values

        async def restored(values):
            store.era = 2
            store.write_values = keep
            return await keep(values)

        store.write_values = restored
        write_record(recorder, 1)
        write_record(recorder, 2, times=2)
        assert store.calls == [
            "stored_values",
            "write_values",
            "stored_values",
            "write_values",
        ]
        assert store.kept_by_name[CHECKED_ERA_NAME].value == b"2"

    def started(self, store, era):
        fresh, journal = FakeNode(known=False), FakeJournal()
        fresh.configure(0.0, routes(5, "docs"))
        recorder = Recorder(fresh, store, journal)
        asyncio.run(recorder.read(era))
        return fresh, journal

    def test_a_starting_daemon_does_not_consider_a_copy_complete(self):
        """Guards against the reset of a living flow.

        A former service is recorded, the store loses it in a restore, and all
        processes are killed within the same second. A starting daemon must not
        consider the restored record complete.
        """
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        write_record(Recorder(node, store, FakeJournal()), 1)
        store.restore(store.copy())
        fresh, journal = self.started(store, 2)
        assert not fresh.formers.is_complete
        assert [row.service for row in fresh.formers.rows(0.0)] == ["floor"]
        assert journal.events[-1][1]["whole"] is False

    def test_it_does_after_another_daemon_has_checked_it(self):
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        recorder = Recorder(node, store, FakeJournal())
        write_record(recorder, 1)
        store.restore(store.copy())
        write_record(recorder, 2)
        assert self.started(store, 2)[0].formers.is_complete

    def test_an_incomplete_daemon_does_not_mark_the_record(self):
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        write_record(Recorder(node, store, FakeJournal()), 1)
        store.restore(store.copy())
        fresh = FakeNode(known=False)
        fresh.configure(0.0, routes(5, "docs"))
        write_record(Recorder(fresh, store, FakeJournal()), 2)
        assert store.recorded() == {"floor", "docs"}
        assert store.kept_by_name[CHECKED_ERA_NAME].value == b"1"

    @pytest.mark.parametrize("era", [b"3", b"9" * 5000, b"-1", "\u0663".encode()])
    def test_an_era_that_the_store_has_not_reached_proves_nothing(self, era):
        store, node = RestorableStore(), FakeNode()
        node.configure(0.0, routes(4, "floor"))
        write_record(Recorder(node, store, FakeJournal()), 1)
        store.restore(store.copy())
        marked = store.kept_by_name[CHECKED_ERA_NAME]._replace(value=era)
        store.kept_by_name[CHECKED_ERA_NAME] = marked
        assert not self.started(store, 2)[0].formers.is_complete

    def test_an_empty_record_is_complete(self):
        assert self.started(RestorableStore(), 1)[0].formers.is_complete
