"""Test helpers: a store that is restored from an older copy, and its readers."""

import asyncio
import random

from zinniahook_core.packets import Route, Routes, ServiceShare, formers
from zinniahook_core.packets.evacuations import Evacuations
from zinniahook_core.packets.formers import FormerServices
from zinniahook_core.packets.freshness import Freshness
from zinniahook_daemon.packets.ports import (
    AgentRecord,
    EvacuationSnapshot,
    Settings,
    StoredValue,
    StoreUnavailableError,
    WritePosition,
)
from zinniahook_daemon.packets.watcher import Watcher

FLOOR = bytes((198, 18, 0, 1, 1, 187))
OWN = AgentRecord("tally", "10.0.0.3", "a")
PEER = OWN._replace(address="10.0.0.7")
NONE = frozenset()
A = frozenset({"thies-a"})
LONG_AGO = float("-inf")


class RestorableStore:
    """Stores agents and values with revisions; `restore` returns to a copy."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.version = 1
        self.evacuated_now = NONE
        self.revisions_by_agent = {}
        self.kept_by_name = {}
        self.calls = []
        self.failures = 0
        self.before_answer = lambda: None

    def copy(self):
        agents, kept = dict(self.revisions_by_agent), dict(self.kept_by_name)
        return self.revision, agents, kept

    def restore(self, copy):
        self.revision, self.revisions_by_agent, self.kept_by_name = copy
        self.era += 1

    def _call(self, name):
        self.calls.append(name)
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("refused")

    def _write(self):
        self.revision += 1
        return WritePosition(self.era, self.revision)

    async def evacuation_snapshot(self):
        self._call("evacuation_snapshot")
        answer = EvacuationSnapshot(self.revision, self.evacuated_now, self.era)
        self.before_answer()
        return answer

    async def configuration(self):
        self._call("configuration")
        return routes(self.version, "floor"), self.revision

    async def announce(self, agent):
        self._call("announce")
        written = self._write()
        self.revisions_by_agent[agent.address] = written.revision
        return written

    async def last_write(self, agent):
        self._call("last_write")
        revision = self.revisions_by_agent.get(agent.address)
        return None if revision is None else WritePosition(self.era, revision)

    async def withdraw(self, agent, revision):
        self._call("withdraw")
        if self.revisions_by_agent.get(agent.address) == revision:
            del self.revisions_by_agent[agent.address]

    async def stored_values(self):
        self._call("stored_values")
        return [kept._replace(era=self.era) for kept in self.kept_by_name.values()]

    async def write_values(self, values):
        self._call("write_values")
        for kept in values:
            former = self.kept_by_name.get(kept.name, StoredValue(kept.name, b"", 0))
            if former.revision != kept.revision:
                return None
        written = self._write()
        for kept in values:
            kept = kept._replace(revision=written.revision)
            self.kept_by_name[kept.name] = kept
        return written

    def recorded(self):
        values = [formers.decode(kept.value) for kept in self.kept_by_name.values()]
        return formers.merged(values).services_by_address.get(FLOOR, NONE)


def routes(version, *names):
    shares = tuple(ServiceShare(name, 1.0) for name in names)
    return Routes(version, {FLOOR: Route("floor", shares)}, 60.0, b"")


class FakeNode:
    def __init__(self, known=True):
        self.rng = random.Random(1)
        self.freshness = Freshness("10.0.0.2", self.rng)
        self.routes = Routes.none()
        self.formers = FormerServices()
        self.formers.is_complete = known
        self.evacuations = Evacuations()

    def announce(self, now):
        pass

    def evacuate(self, now, revision, names, era=0):
        self.evacuations.read(revision, names, era)

    def configure(self, now, newer, rows=None, whole=True):
        if rows is not None:
            self.formers.learn(now, rows, whole)
        if newer.version > self.routes.version:
            self.formers.replaced(now, self.routes, newer)
            self.routes = newer
            self.freshness.installed(newer.version)


class FakeJournal:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    @property
    def names(self):
        return [name for name, _ in self.events]


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


def run_watcher(scenario):
    async def run():
        node, store, journal = FakeNode(), RestorableStore(), FakeJournal()
        task = asyncio.create_task(Watcher(node, store, journal).run())
        try:
            await asyncio.wait_for(scenario(node, store, journal), 20)
        finally:
            task.cancel()

    asyncio.run(run())


def daemon(role, store, address=OWN.address):
    settings = Settings(
        name="side-a-1",
        address=address,
        data_centre="a",
        inner_port=0,
        client_port=0,
        seeds=(),
        grace=6.0,
        beat_interval=1.2,
        service="tally",
    )
    made = role(settings, store, None, FakeJournal())
    made.to_peer = lambda address, data: None
    return made
