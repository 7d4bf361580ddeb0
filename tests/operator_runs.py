"""A small deployment with its load and an operator, for tests with daemons."""

import asyncio
import collections

from zinniahook_cli import grammar
from zinniahook_cli.sessions import Session
from zinniahook_cli.settings import ClientSettings
from zinniahook_core.codes import Code
from zinniahook_core.models import Address
from zinniahook_store import Store
from zinniahook_testkit import faults
from zinniahook_testkit.checks import Evidence, check
from zinniahook_testkit.clusters import Cluster
from zinniahook_testkit.deployments import TALLY, Deployment, ServicePlan

TEST_TIMEOUT_SECONDS = 120.0
"""Limit for a whole test; the tests wait for conditions, not for fixed times."""

FEEDS = {"kind": "feeds", "path": "/tally/feed", "callers": 6, "every": 0.2}
TICKETS = {"kind": "tickets", "path": "/tickets", "callers": 4, "rate": 10.0}
PLAN = TALLY._replace(targets=3, loads=(FEEDS, TICKETS))
DEPLOYMENT = Deployment("small", ("east", "west"), 2, 0.0, (PLAN,))

# Without classes a feed takes a slot like any other request, so agents relay
# feeds to their peers.
WITHOUT_CLASSES = DEPLOYMENT._replace(services=(PLAN._replace(classes=()),))

PULSE = ServicePlan(name="pulse", number=2, targets=2, slots=4, protocol="udp")
UDP = DEPLOYMENT._replace(services=(PULSE,))


class Operator:
    """An operator's command line session with a cluster."""

    def __init__(self, cluster, name="amina", patience=30.0):
        self.cluster = cluster
        self.messages = []
        store = cluster.store_process.ready["address"]
        files = cluster.authority.issue(name)
        self.settings = ClientSettings((Address.parse(store),), *files, 2.0, patience)
        self.session = Session(
            self.settings, Store([store]), self.messages.append, wait=True
        )

    async def run(self, text):
        answer = None
        for statement in grammar.parse(text):
            answer = await self.session.run(statement)
        return answer


def scenario_runner(tmp_path):
    """Return a function that runs a scenario with a cluster and an operator."""

    def start(scenario, deployment=DEPLOYMENT, kind=Cluster):
        async def run_scenario():
            async with (
                asyncio.timeout(TEST_TIMEOUT_SECONDS),
                kind(deployment, tmp_path) as cluster,
            ):
                await scenario(cluster, Operator(cluster))

        asyncio.run(run_scenario())

    return start


async def start_load(cluster):
    """Start the load and wait until every feed is open and tickets are filed."""
    running = await cluster.run_loads(["tally"])
    (plan,) = cluster.deployment.services
    feeds = FEEDS["callers"] if FEEDS in plan.loads else 0

    async def load_begun():
        replies = await cluster.statuses()
        streams = sum(reply.streams for reply in replies)
        requests = sum(reply.counters_by_name["agent.requests"] for reply in replies)
        return streams >= feeds and requests > feeds

    await cluster.until(load_begun, "the load has begun")
    return running


async def finish_and_check(cluster, running, reopened=0):
    """End the load and return every violation that targets and callers recorded.

    No attempt may have been cut, and callers must have reopened at least
    ``reopened`` feeds.
    """
    results = await running.finish()
    assert all(result["records"] for result in results)
    counts = collections.Counter()
    for result in results:
        counts.update(result["counts"])
    assert counts["cut_attempts"] == 0
    assert counts["feeds_reopened"] >= reopened
    return check(Evidence(tuple(await cluster.ledgers()), tuple(results)))


class PartitionedCluster(Cluster):
    """A cluster whose entry-2 reaches the store through a fault proxy."""

    proxy = None

    def _settings(self, name, role):
        settings = super()._settings(name, role)
        if name == "entry-2":
            self.proxy = self.proxy or faults.start(*settings["store"]["addresses"])
            settings["store"]["addresses"] = [self.proxy.address]
        return settings

    async def stop(self):
        await super().stop()
        if self.proxy is not None:
            self.proxy.process.terminate()


class TreeCluster(Cluster):
    """A cluster whose agents get their configuration from entries, as by default."""

    watchers = 2


async def open_flows(address):
    """Open one plain UDP flow after another."""
    loop = asyncio.get_running_loop()
    while True:
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=address
        )
        transport.sendto(b"ping")
        transport.close()
        await asyncio.sleep(0.02)


async def read_in_order(feed):
    """Read a feed and check that each event comes once and in order."""
    last = None
    async for event in feed:
        number = int(event.id)
        assert last is None or number == last + 1
        last = number


async def busiest_agent(cluster):
    """Return the name of the agent with the most open streams."""
    replies = await cluster.statuses()
    return max(replies, key=lambda reply: reply.streams).name


async def supervise(cluster):
    """Restart each daemon that ends, as the platform does."""
    while True:
        for name, process in list(cluster.agents_by_name.items()):
            if not process.running:
                await cluster.start_agent(name)
        for name, process in list(cluster.entries_by_name.items()):
            if not process.running:
                await cluster.start_entry(name)
        await asyncio.sleep(0.05)


def count_unknown_key_drops(replies):
    """Return how many datagrams were dropped because their key was unknown."""
    codes = (Code.CONNECTION_ID_UNKNOWN, Code.TUNNEL_KEY_UNKNOWN)
    return sum(reply.drops_by_code.get(code, 0) for reply in replies for code in codes)
