"""Fixtures that run a small deployment of real processes."""

import asyncio
import pathlib
import sys

import pytest
from zinniahook_testkit.clusters import Cluster
from zinniahook_testkit.deployments import LEDGER, TALLY, Deployment, ServicePlan

# Lets the tests import the helper modules in this folder.
sys.path.insert(0, str(pathlib.Path(__file__).parent))

PULSE = ServicePlan(
    name="pulse",
    number=3,
    targets=2,
    slots=4,
    loads=({"kind": "flows", "callers": 12, "every": 0.1},),
    protocol="udp",
)

TALLY_SMALL = TALLY._replace(
    targets=3,
    loads=(
        {"kind": "feeds", "path": "/tally/feed", "callers": 12, "every": 0.2},
        {"kind": "tickets", "path": "/tickets", "callers": 6, "rate": 30.0},
    ),
)

LEDGER_SMALL = LEDGER._replace(
    targets=2,
    loads=(
        {
            "kind": "exports",
            "path": "/ledger",
            "callers": 4,
            "rate": 1.0,
            "size": 1 << 20,
            "deadline": 20.0,
        },
    ),
)

SMALL = Deployment(
    name="small",
    data_centres=("small-1", "small-2"),
    entries=3,
    latency=0.001,
    services=(TALLY_SMALL, LEDGER_SMALL, PULSE),
)


class Deployed:
    """A running cluster and the event loop that it uses."""

    def __init__(self, runner, cluster):
        self.cluster = cluster
        self._runner = runner

    def run(self, coroutine, seconds=90):
        """Run a coroutine to its end, for at most ``seconds``."""
        return self._runner.run(asyncio.wait_for(coroutine, seconds))


@pytest.fixture(scope="module")
def deployed(tmp_path_factory):
    """Run the small deployment for all tests of a module."""
    yield from _deploy(tmp_path_factory)


@pytest.fixture
def fresh(tmp_path_factory):
    """Run the small deployment for one test that damages it."""
    yield from _deploy(tmp_path_factory)


def _deploy(tmp_path_factory):
    with asyncio.Runner() as runner:
        cluster = Cluster(SMALL, tmp_path_factory.mktemp("cluster"))
        runner.run(cluster.__aenter__())
        try:
            yield Deployed(runner, cluster)
        finally:
            runner.run(cluster.stop())
