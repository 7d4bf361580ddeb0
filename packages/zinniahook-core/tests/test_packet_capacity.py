"""Slots and the cost of cold, learned from how long answers take."""

import heapq
import random

import pytest
from zinniahook_core.packets.capacity import MIN_ANSWERS, Capacity
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.placement import WARMING_FACTOR, cost

WORK = 0.05
KIND = 7
SEEDS = range(5)


class Queue:
    """A target with slots, fed as an agent feeds it: one above what it bears."""

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

    def play(self, seconds, told, load=0.8):
        until = self.now + seconds
        while self.now < until:
            bears = self.capacity.slots(told)
            pause = self.rng.expovariate(load * self.slots / WORK)
            self.now += pause
            self._finish()
            if len(self.ends) <= bears:
                self._begin()

    def _begin(self):
        work = WORK * self.rng.lognormvariate(-0.125, 0.5) * self.cold
        start = max(self.now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + work)
        level = len(self.ends) + 1
        heapq.heappush(self.ends, (start + work, self.now, level, self.cold > 1))

    def _finish(self):
        while self.ends and self.ends[0][0] <= self.now:
            end, begun, level, cold = heapq.heappop(self.ends)
            self.capacity.answered(end, KIND, end - begun, level, cold)


class TestLearnedSlots:
    @pytest.mark.parametrize("slots", [1, 2, 3, 4, 8])
    def test_told_truly_they_stay(self, slots):
        for seed in SEEDS:
            queue = Queue(seed, slots)
            for _ in range(10):
                queue.play(10.0, slots)
                assert queue.capacity.slots(slots) == slots

    @pytest.mark.parametrize(("slots", "told"), [(1, 3), (2, 4), (3, 6), (2, 8)])
    def test_told_too_many(self, slots, told):
        """Symptom: requests queue inside a target while others are idle.

        Sequence: its heartbeat tells more slots than it works with. Cause: the
        told number is believed whatever the times say.
        """
        for seed in SEEDS:
            queue = Queue(seed, slots)
            queue.play(60.0, told)
            assert queue.capacity.slots(told) < told

    @pytest.mark.parametrize(("slots", "told"), [(3, 1), (4, 2), (6, 3)])
    def test_told_too_few(self, slots, told):
        """Symptom: a target stands half idle while openings wait."""
        for seed in SEEDS:
            queue = Queue(seed, slots)
            queue.play(120.0, told, load=0.6)
            assert told < queue.capacity.slots(told) <= slots + 1

    def test_few_counts_change_nothing(self):
        queue = Queue(1, 1)
        queue.play(MIN_ANSWERS * WORK / 2, 4)
        assert queue.capacity.slots(4) == 4

    def test_one_that_is_never_alone_is_believed(self):
        """What a request takes alone isn't known, so nothing can be compared."""
        queue = Queue(1, 8)
        queue.play(60.0, 3, load=1.5)
        assert queue.capacity.slots(3) == 3

    def test_a_change_is_followed(self):
        queue = Queue(1, 4)
        queue.play(60.0, 4)
        queue.set_slots(2)
        queue.play(120.0, 4)
        assert queue.capacity.slots(4) <= 3
        queue.set_slots(4)
        queue.play(240.0, 4)
        assert queue.capacity.slots(4) == 4

    def test_a_new_target_is_believed_again(self):
        queue = Queue(1, 1)
        queue.play(60.0, 4)
        assert queue.capacity.slots(4) < 4
        queue.capacity.renew()
        assert queue.capacity.slots(4) == 4

    def test_one_that_becomes_slower_keeps_its_slots(self):
        """Symptom: a target that gets slower passes for one with fewer slots."""
        queue = Queue(1, 3)
        queue.play(60.0, 3)
        queue.cold = 2.0
        queue.capacity.renew()
        queue.play(60.0, 3)
        queue.cold = 1.0
        assert queue.capacity.slots(3) == 3


class TestCold:
    @pytest.mark.parametrize("factor", [1.3, 1.6, 4.0])
    def test_is_measured(self, factor):
        for seed in SEEDS:
            queue = Queue(seed, 3)
            queue.play(30.0, 3, load=0.6)
            queue.cold = factor
            queue.play(10.0, 3, load=0.3)
            assert queue.capacity.cold == pytest.approx(factor, rel=0.25)

    def test_is_unknown_at_first(self):
        assert Capacity().cold is None

    def test_is_placed_by(self):
        usual = Member("a", 0, slots=3, busy=1.0, warming=1.0)
        slow = Member("b", 0, slots=3, busy=1.0, warming=1.0, cold=4.0)
        same = Member("c", 0, slots=3, busy=1.0, warming=1.0, cold=WARMING_FACTOR)
        assert cost(slow, 0, 0.0, 0.0) > cost(usual, 0, 0.0, 0.0)
        assert cost(same, 0, 0.0, 0.0) == cost(usual, 0, 0.0, 0.0)
