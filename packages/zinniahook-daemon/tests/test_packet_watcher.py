"""Polling of the store, also during its outages."""

import asyncio
import random

import pytest
from zinniahook_core.packets import Routes
from zinniahook_core.packets.evacuations import Evacuations, Stamp
from zinniahook_core.packets.formers import FormerServices
from zinniahook_core.packets.freshness import Freshness
from zinniahook_core.packets.tunnel import Head, Kind, decode, encode
from zinniahook_daemon.packets import watcher as watchers
from zinniahook_daemon.packets.ports import (
    AgentRecord,
    EvacuationSnapshot,
    StoreUnavailableError,
    WritePosition,
)
from zinniahook_daemon.packets.watcher import Announcer, Watcher


class FakeStore:
    """Answers calls; the next ``failures`` calls are refused."""

    def __init__(self):
        self.version = 1
        self.revision_now = 10
        self.era = 0
        self.evacuated_now = frozenset()
        self.failures = 0
        self.calls = []
        self.announced_agents = []

    def change(self):
        self.version += 1
        self.revision_now += 1

    def _call(self, name):
        self.calls.append(name)
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("refused")

    async def configuration(self):
        self._call("configuration")
        return Routes(self.version, {}, 60.0, b""), self.revision_now

    async def evacuation_snapshot(self):
        self._call("evacuation_snapshot")
        return EvacuationSnapshot(self.revision_now, self.evacuated_now, self.era)

    async def announce(self, agent):
        self._call("announce")
        self.announced_agents.append(agent)
        return WritePosition(self.era, 7)

    async def withdraw(self, agent, revision):
        self._call("withdraw")


class FakeNode:
    def __init__(self):
        self.rng = random.Random(1)
        self.freshness = Freshness("10.0.0.2", self.rng)
        self.routes = Routes.none()
        self.formers = FormerServices()
        self.evacuations = Evacuations()
        self.reports = []

    def announce(self, now):
        self.reports.append(("shown", self.freshness.age(now)))

    def evacuate(self, now, revision, names, era=0):
        self.reports.append(("evacuated", revision, names))
        self.evacuations.read(revision, names, era)

    def configure(self, now, routes, rows=None):
        self.reports.append(("configured", routes.version))
        if rows is not None:
            self.formers.learn(now, rows)
        if routes.version > self.routes.version:
            self.routes = routes
            self.freshness.installed(routes.version)


class FakeJournal:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append(name)


@pytest.fixture
def quick(monkeypatch):
    for name in (
        "POLL_INTERVAL_SECONDS",
        "MIN_IDLE_SECONDS",
        "MIN_RETRY_SECONDS",
        "MAX_RETRY_SECONDS",
    ):
        monkeypatch.setattr(watchers, name, 0.001)


def run_watcher(scenario, store=None):
    async def run():
        node, journal = FakeNode(), FakeJournal()
        used = store or FakeStore()
        task = asyncio.create_task(Watcher(node, used, journal).run())
        try:
            await asyncio.wait_for(scenario(node, used, journal), 20)
        finally:
            task.cancel()
        return node, used, journal

    return asyncio.run(run())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.usefixtures("quick")
class TestWatching:
    def test_a_change_is_installed(self):
        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            store.change()
            await until(lambda: node.routes.version == 2)

        _, store, _ = run_watcher(scenario)
        assert store.calls.count("configuration") == 2

    def test_an_evacuation_is_read_before_the_configuration(self):
        """Guards against new flows in an evacuated data centre after a daemon's start.

        With the configuration it can route openings. If it read the evacuations a
        moment later, it would route some to the evacuated data centre.
        """

        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)

        store = FakeStore()
        store.evacuated_now = frozenset({"thies-a"})
        node, _, _ = run_watcher(scenario, store)
        assert node.reports[:2] == [
            ("evacuated", 10, frozenset({"thies-a"})),
            ("configured", 1),
        ]

    def test_a_newer_set_that_no_peer_sends_is_read(self):
        """Guards against a target that gets no flows for as long as its agent runs.

        A daemon announces newer evacuations and dies before it is asked for them.
        Daemons that know of them must not wait for a peer to send them.
        """

        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            known = len(node.reports)
            loop = asyncio.get_running_loop()
            while "watch.ended" not in journal.events:
                node.freshness.heard(loop.time(), "10.0.0.1", 1, 0.0)
                await asyncio.sleep(0.001)
            began = journal.events.count("watch.begun")
            node.evacuations.read(5, frozenset())
            while journal.events.count("watch.begun") == began:
                node.freshness.heard(loop.time(), "10.0.0.1", 1, 0.0)
                node.evacuations.compare(loop.time(), Stamp(99, 7))
                await asyncio.sleep(0.001)
            await until(lambda: len(node.reports) > known)

        run_watcher(scenario)

    def test_an_evacuation_costs_no_call_of_its_own(self):
        async def scenario(node, store, journal):
            await until(lambda: len(node.reports) > 20)

        _, store, _ = run_watcher(scenario)
        assert store.calls.count("configuration") == 1
        assert set(store.calls) <= {"evacuation_snapshot", "configuration"}

    def test_each_confirmation_is_announced_at_once(self):
        """Guards against a third of the entries polling the store at the same time.

        While no client sends, few datagrams are exchanged. A confirmation would be
        too old for another watcher to yield when it receives it.
        """

        async def scenario(node, store, journal):
            await until(lambda: len(node.reports) > 20)

        node, _, _ = run_watcher(scenario)
        kinds = [report[0] for report in node.reports if report[0] != "configured"]
        assert kinds[:6] == ["evacuated", "shown"] * 3
        assert max(report[1] for report in node.reports if report[0] == "shown") < 0.5

    def test_it_stops_for_another_watcher(self):
        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            while "watch.ended" not in journal.events:
                now = asyncio.get_running_loop().time()
                node.freshness.heard(now, "10.0.0.1", 1, 0.0)
                await asyncio.sleep(0.001)

        run_watcher(scenario)

    def test_its_own_confirmation_received_back_is_ignored(self):
        freshness = Freshness("10.0.0.2", random.Random(1))
        freshness.installed(1)
        freshness.confirmed(5.0)
        freshness.heard(5.1, "10.0.0.2", 1, 0.05)
        assert not freshness.may_yield(5.1)


@pytest.mark.usefixtures("quick")
class TestStoreDown:
    """Guards against a daemon that keeps an old configuration after an outage.

    The store refuses calls while a change is made, and then answers again. A watcher
    must neither give up nor interpret a failure as "nothing new".
    """

    def test_it_goes_on_when_the_store_is_back(self):
        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            store.change()
            store.failures = 20
            await until(lambda: node.routes.version == 2)

        _, _, journal = run_watcher(scenario)
        lost = journal.events.index("dependency.lost")
        assert "dependency.regained" in journal.events[lost:]

    def test_nothing_is_confirmed_meanwhile(self):
        async def scenario(node, store, journal):
            await until(lambda: node.routes.version == 1)
            store.failures = 1_000_000
            await until(lambda: "dependency.lost" in journal.events)
            confirmed = node.freshness.confirmed_at
            await until(lambda: store.failures < 1_000_000 - 5)
            assert node.freshness.confirmed_at == confirmed

        run_watcher(scenario)


@pytest.mark.usefixtures("quick")
class TestAnnouncing:
    def test_it_is_tried_until_the_store_takes_it(self):
        store = FakeStore()
        store.failures = 4
        own = AgentRecord("tally", "10.0.0.3", "a")
        asyncio.run(Announcer(store, own, random.Random(1)).run())
        assert store.announced_agents == [own]
        assert store.calls.count("announce") == 5


class TestFreshness:
    def test_a_newer_version_is_reported(self):
        freshness = Freshness("10.0.0.2", random.Random(1))
        freshness.installed(4)
        assert freshness.heard(1.0, "10.0.0.1", 5, 0.1)
        assert not freshness.heard(1.0, "10.0.0.1", 3, 0.1)

    def test_confirmations_of_another_version_are_ignored(self):
        freshness = Freshness("10.0.0.2", random.Random(1))
        freshness.installed(4)
        freshness.heard(100.0, "10.0.0.1", 3, 0.0)
        assert freshness.must_read(100.0)

    def test_a_daemon_without_confirmations_polls(self):
        freshness = Freshness("10.0.0.2", random.Random(1))
        freshness.installed(1)
        freshness.heard(10.0, "10.0.0.1", 1, 0.2)
        assert not freshness.must_read(10.5)
        assert freshness.must_read(11.6)

    def test_what_is_told_on_never_grows_younger(self):
        """Guards against an old configuration in use while no daemon polls the store.

        The store refuses the watcher, and the other daemons forward its last
        confirmation to each other hundreds of times a second. If each message
        rounded the age down, the confirmation would never expire.
        """
        one, other = (Freshness(f"10.0.0.{n}", random.Random(n)) for n in (2, 3))
        now = 100.0
        for freshness in (one, other):
            freshness.installed(1)
        one.confirmed(now)
        for _ in range(1000):
            for sender, receiver in ((one, other), (other, one)):
                now += 0.0015
                head = Head(Kind.HELLO, version=1, age=sender.age(now))
                received, _ = decode(encode(head))
                receiver.heard(now + 0.001, "10.0.0.1", 1, received.age)
        assert one.must_read(now)
        assert other.must_read(now)
