"""Results for callers with and without queueing of requests at the agent.

Six targets of three slots, or one target, serve half of their capacity with a swing
of 55 %, 1.7 times as much for 3 s, a loss of half of the targets, or a power failure.
There are two kinds of requests: feeds, and edits, which are worth two feeds. The goal
is 0.4 s for both.
"""

import statistics
from functools import cache

import pytest
import request_loads
from request_loads import EDIT, FEED, Load
from zinniahook_core.packets.queueing import MAX_HOLD_SECONDS

SEEDS = range(6)
SCENARIOS = {
    "swing": request_loads.swing,
    "burst": request_loads.burst_run,
    "half_lost": request_loads.half_lost,
    "power_lost": request_loads.power_lost,
}
SETTLING_SECONDS = 7.0
"""Seconds until every caller has its answer or has given up."""


@cache
def run_scenario(scenario, wanted, seed, nodes=6):
    load = Load(seed, wanted, nodes)
    SCENARIOS[scenario](load)
    load.run(SETTLING_SECONDS)
    return load


def mean_shares(scenario, wanted, nodes=6):
    """Return the mean shares of worth earned: of all requests, feeds and edits."""
    shares = [run_scenario(scenario, wanted, seed, nodes).shares() for seed in SEEDS]
    return [statistics.mean(column) for column in zip(*shares, strict=True)]


def total(scenario, wanted, count, nodes=6):
    return sum(count(run_scenario(scenario, wanted, seed, nodes)) for seed in SEEDS)


def refused(load):
    return load.rejected


def failed(load):
    return sum(caller.done is None for caller in load.callers)


class TestCalmLoad:
    """Answers are later although nothing fails.

    Requests wait at the agent although their target could process them.
    """

    @pytest.mark.parametrize("nodes", [6, 1])
    def test_no_kind_is_served_worse(self, nodes):
        before = mean_shares("swing", False, nodes)
        after = mean_shares("swing", True, nodes)
        assert all(new >= old - 0.004 for old, new in zip(before, after, strict=True))

    @pytest.mark.parametrize("scenario", SCENARIOS)
    @pytest.mark.parametrize("nodes", [6, 1])
    def test_none_waits_while_a_slot_is_free(self, scenario, nodes):
        assert total(scenario, True, lambda load: load.needlessly_held, nodes) == 0

    def test_off_holds_nothing(self):
        counts = run_scenario("burst", False, 0).log.counts
        assert not counts["request.held"] and not counts["held_seconds"]


class TestOverload:
    """Targets refuse requests of open flows while later requests are served.

    More requests arrive than can be processed. Without queueing at the agent, requests
    of open flows go straight to their target, which refuses those that don't fit into
    its queue.
    """

    @pytest.mark.parametrize("scenario", ["burst", "half_lost"])
    def test_targets_refuse_next_to_nothing(self, scenario):
        before, after = total(scenario, False, refused), total(scenario, True, refused)
        assert before >= 50
        assert after <= before / 20

    @pytest.mark.parametrize("scenario", ["burst", "half_lost"])
    def test_fewer_callers_go_without_an_answer(self, scenario):
        assert total(scenario, True, failed) < total(scenario, False, failed)

    @pytest.mark.parametrize("scenario", SCENARIOS)
    def test_no_kind_pays_for_another(self, scenario):
        before, after = mean_shares(scenario, False), mean_shares(scenario, True)
        assert all(new >= old - 0.015 for old, new in zip(before, after, strict=True))

    @pytest.mark.parametrize("scenario", SCENARIOS)
    @pytest.mark.parametrize("kind", [FEED, EDIT])
    def test_no_kind_starves(self, scenario, kind):
        """Each request of an open flow is delivered within `MAX_HOLD_SECONDS`."""
        for seed in SEEDS:
            load = run_scenario(scenario, True, seed)
            assert (
                load.longest_hold
                <= MAX_HOLD_SECONDS + request_loads.TICK_SECONDS + 0.01
            )
            served = [c for c in load.callers if c.kind is kind and c.done]
            assert len(served) >= 0.8 * sum(c.kind is kind for c in load.callers)


class TestPackets:
    """Targets get packets unchanged, in order and no more often than sent."""

    @pytest.mark.parametrize("scenario", SCENARIOS)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_none_is_lost_doubled_or_reordered(self, scenario, seed):
        load = run_scenario(scenario, True, seed)
        assert load.misdelivered == 0
