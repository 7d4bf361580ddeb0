"""Step definitions of features/main_job.feature, which states the guarantees."""

import asyncio
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from zinniahook_testkit.checks import Evidence, checks_by_rule
from zinniahook_testkit.clusters import Cluster, LoadRun

scenarios("features/main_job.feature")

WORK_BETWEEN_STEPS = 40
"""Requests and flows started between two steps, enough to hit a broken part."""

SERVICES = ("tally", "ledger", "pulse")


@dataclass
class Observed:
    """A deployment under load and the evidence recorded at the end."""

    deployed: object
    loads: list[LoadRun]
    left: dict = field(default_factory=dict)
    evidence: Evidence | None = None
    moved: int = 0

    @property
    def cluster(self) -> Cluster:
        return self.deployed.cluster

    async def wait_for_work(self, amount=WORK_BETWEEN_STEPS):
        """Wait until the targets have started ``amount`` more requests and flows."""

        async def started():
            return sum(
                count
                for ledger in await self.cluster.ledgers()
                for name, count in ledger["counts"].items()
                if name.startswith("started_")
            )

        goal = await started() + amount

        async def reached():
            return await started() >= goal

        await self.cluster.until(reached, f"{amount} more pieces of work")

    async def wait_for_no_new_work(self, target):
        """Wait until a leaving target gets no new work, and keep its ledger."""
        counts = None
        while counts != (counts := (await self.cluster.ledger(target))["counts"]):
            await self.wait_for_work(10)
        self.left[target] = await self.cluster.ledger(target)


@pytest.fixture
def observed(fresh):
    async def start():
        loads = [await fresh.cluster.run_loads([service]) for service in SERVICES]
        result = Observed(fresh, loads)
        await result.wait_for_work()
        return result

    return fresh.run(start())


@given("the tally, ledger and pulse services under load")
def under_load(observed):
    return observed


@when("an entry is killed")
def kill_entry(observed):
    observed.deployed.run(observed.cluster.kill_entry("entry-1"))


@when("an entry is stopped and another one joins")
def replace_entry(observed):
    async def replace():
        assert await observed.cluster.stop_entry("entry-1") == 0
        await observed.cluster.start_entry("entry-4")

    observed.deployed.run(replace())


@when("a target drains")
def drain(observed):
    async def leave():
        observed.cluster.drain_agent("tally-1")
        await observed.wait_for_work()
        await observed.wait_for_no_new_work("tally-1")

    observed.deployed.run(leave())


@when("a changed configuration is accepted")
def change(observed):
    def shorter_idle(document):
        services = {
            name: service._replace(idle=90.0)
            for name, service in document.services_by_name.items()
        }
        return document._replace(services_by_name=services)

    async def accept():
        generation = await observed.cluster.change(shorter_idle)
        await observed.cluster.wait_for_generation(generation)

    observed.deployed.run(accept())


@when("the configuration store goes down")
def store_down(observed):
    observed.deployed.run(asyncio.to_thread(observed.cluster.store_process.kill))


@when("an entry is killed while a target drains and the store is down")
def all_at_once(observed):
    async def together():
        cluster = observed.cluster
        await asyncio.to_thread(cluster.store_process.kill)
        cluster.drain_agent("tally-1")
        await cluster.kill_entry("entry-1")
        await observed.wait_for_work()
        await observed.wait_for_no_new_work("tally-1")

    observed.deployed.run(together())


@when("packets are lost, doubled and reordered")
def bad_network(observed):
    faults = {"loss": 0.02, "duplication": 0.02, "reordering": 0.05}
    latency = observed.cluster.deployment.latency
    body = {"latency": latency, **faults}
    observed.deployed.run(observed.cluster.control_fabric("faults", body))


@when("open connections go silent for good")
def silence(observed):
    async def silence_some():
        answer = await observed.cluster.control_fabric("silence", {"count": 20})
        assert len(answer["silenced"]) == 20

    observed.deployed.run(silence_some())


@when("the load has gone on for a while")
def load_ends(observed):
    async def end():
        await observed.wait_for_work(3 * WORK_BETWEEN_STEPS)
        finished = await asyncio.gather(*(load.finish() for load in observed.loads))
        results = tuple(result for results in finished for result in results)
        for result in results:
            # Every rule holds for an empty result, so require some records.
            assert result["counts"]["done"] >= 4, (result["service"], result["counts"])
        ledgers = tuple(await observed.cluster.ledgers())
        observed.evidence = Evidence(ledgers, results, observed.left)
        observed.moved = sum(r["counts"].get("flows_moved", 0) for r in results)

    observed.deployed.run(end())


@then("connections have gone on from new ports")
def connections_moved(observed):
    assert observed.moved > 0


@then(parsers.re("(?P<rule>(a|an|what) .+)"))
def holds(observed, rule):
    assert list(checks_by_rule[rule](observed.evidence)) == []
