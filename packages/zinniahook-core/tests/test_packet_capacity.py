"""Slots of a target and its slowdown while cold, learned from answer times."""

import heapq
import random

import pytest
from zinniahook_core.packets.capacity import MIN_ANSWERS, Capacity
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.placement import WARMING_FACTOR, cost

WORK = 0.05
KIND = 7
SEEDS = range(5)


class FakeTarget:
    """A target with slots that receives at most one request above its usable slots."""

    def __init__(self, seed, slots):
        self.rng = random.Random(seed)
        self.slots = slots
        self.now = 0.0
        self.cold = 1.0
        self.ends = []
        self.free_at = [0.0] * slots
        self.capacity = Capacity()

    def set_slots(self, slots):
        self.slots = slots
        self.free_at = sorted(self.free_at)[:slots]
        self.free_at += [self.now] * (slots - len(self.free_at))

    def run(self, seconds, reported, load=0.8):
        until = self.now + seconds
        while self.now < until:
            usable = self.capacity.slots(reported)
            pause = self.rng.expovariate(load * self.slots / WORK)
            self.now += pause
            self._finish()
            if len(self.ends) <= usable:
                self._begin()

    def _begin(self):
        work = WORK * self.rng.lognormvariate(-0.125, 0.5) * self.cold
        start = max(self.now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + work)
        concurrency = len(self.ends) + 1
        heapq.heappush(self.ends, (start + work, self.now, concurrency, self.cold > 1))

    def _finish(self):
        while self.ends and self.ends[0][0] <= self.now:
            end, begun, concurrency, cold = heapq.heappop(self.ends)
            self.capacity.answered(end, KIND, end - begun, concurrency, cold)


class TestLearnedSlots:
    @pytest.mark.parametrize("slots", [1, 2, 3, 4, 8])
    def test_correct_reports_are_kept(self, slots):
        for seed in SEEDS:
            target = FakeTarget(seed, slots)
            for _ in range(10):
                target.run(10.0, slots)
                assert target.capacity.slots(slots) == slots

    @pytest.mark.parametrize(("slots", "reported"), [(1, 3), (2, 4), (3, 6), (2, 8)])
    def test_too_many_reported(self, slots, reported):
        """Requests must not queue inside a target while others are idle.

        This happens if a heartbeat reports more slots than the target has and the
        reported number is used whatever the answer times show.
        """
        for seed in SEEDS:
            target = FakeTarget(seed, slots)
            target.run(60.0, reported)
            assert target.capacity.slots(reported) < reported

    @pytest.mark.parametrize(("slots", "reported"), [(3, 1), (4, 2), (6, 3)])
    def test_too_few_reported(self, slots, reported):
        """A target must not be half idle while openings wait."""
        for seed in SEEDS:
            target = FakeTarget(seed, slots)
            target.run(120.0, reported, load=0.6)
            assert reported < target.capacity.slots(reported) <= slots + 1

    def test_few_counts_change_nothing(self):
        target = FakeTarget(1, 1)
        target.run(MIN_ANSWERS * WORK / 2, 4)
        assert target.capacity.slots(4) == 4

    def test_report_is_kept_without_unloaded_answers(self):
        """Without the time of a single request there is nothing to compare with."""
        target = FakeTarget(1, 8)
        target.run(60.0, 3, load=1.5)
        assert target.capacity.slots(3) == 3

    def test_a_change_is_followed(self):
        target = FakeTarget(1, 4)
        target.run(60.0, 4)
        target.set_slots(2)
        target.run(120.0, 4)
        assert target.capacity.slots(4) <= 3
        target.set_slots(4)
        target.run(240.0, 4)
        assert target.capacity.slots(4) == 4

    def test_report_of_a_new_target_is_used(self):
        target = FakeTarget(1, 1)
        target.run(60.0, 4)
        assert target.capacity.slots(4) < 4
        target.capacity.renew()
        assert target.capacity.slots(4) == 4

    def test_a_slower_target_keeps_its_slots(self):
        """A target that becomes slower must not be assigned fewer slots."""
        target = FakeTarget(1, 3)
        target.run(60.0, 3)
        target.cold = 2.0
        target.capacity.renew()
        target.run(60.0, 3)
        target.cold = 1.0
        assert target.capacity.slots(3) == 3


class TestCold:
    @pytest.mark.parametrize("factor", [1.3, 1.6, 4.0])
    def test_is_measured(self, factor):
        for seed in SEEDS:
            target = FakeTarget(seed, 3)
            target.run(30.0, 3, load=0.6)
            target.cold = factor
            target.run(10.0, 3, load=0.3)
            assert target.capacity.cold == pytest.approx(factor, rel=0.25)

    def test_is_unknown_at_first(self):
        assert Capacity().cold is None

    def test_is_placed_by(self):
        usual = Member("a", 0, slots=3, busy=1.0, warming=1.0)
        slow = Member("b", 0, slots=3, busy=1.0, warming=1.0, cold=4.0)
        same = Member("c", 0, slots=3, busy=1.0, warming=1.0, cold=WARMING_FACTOR)
        assert cost(slow, 0, 0.0, 0.0) > cost(usual, 0, 0.0, 0.0)
        assert cost(same, 0, 0.0, 0.0) == cost(usual, 0, 0.0, 0.0)
