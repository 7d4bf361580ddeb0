"""Allocation of a service's slots, and rejection of openings in overload."""

import itertools
import random

import pytest
from zinniahook_core.packets import Flag, Packet, State, Urgency
from zinniahook_core.packets.allocation import (
    MAX_COUNTS_AGE_SECONDS,
    MAX_ROWS,
    REJECT_AFTER_SECONDS,
    Count,
    ServiceLoad,
    TrafficClass,
    all_wait,
    allocate,
    decode_counts,
    divide_slots,
    encode_counts,
    max_min,
)
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.rejections import MAX_HOLD_SECONDS, Rejections
from zinniahook_core.packets.sections import SECTION_MAX_BYTES, Section
from zinniahook_core.packets.tunnel import Head, Kind

FEED, EDIT = TrafficClass(1, 2), TrafficClass(1, 1)
FAR_FEED = TrafficClass(2, 2)
SLOTS = 2


def member(number, counts=None, status_received_at=0.0, busy=3.0):
    """Return a member that reported its requests, or one with free slots."""
    found = Member(f"10.0.0.{number}", 1, state=State.READY, slots=SLOTS)
    found.status_received_at = status_received_at
    found.answer_time = 0.1
    found.busy = busy if counts else 1.0
    if counts:
        found.sections = {Section.DEMAND: encode_counts(counts)}
    return found


def full_member(number, status_received_at=0.0, waiting=40):
    return member(
        number, {FEED: Count(1.5, waiting), EDIT: Count(0.5, 2)}, status_received_at
    )


def overloaded(at=0.0, members=8):
    """Return the load after a long enough overload, and its members."""
    room = ServiceLoad()
    found = [full_member(number, at) for number in range(members)]
    assert room.review(at, found)
    for one in found:
        one.status_received_at = at + REJECT_AFTER_SECONDS
    assert not room.review(at + REJECT_AFTER_SECONDS, found)
    return room, found


class TestShares:
    """How slots are divided among priorities and data centres."""

    @pytest.mark.parametrize("seed", range(20))
    def test_none_exceeds_its_demand_and_nothing_is_left_over(self, seed):
        rng = random.Random(seed)
        wants = [rng.uniform(0, 20) for _ in range(rng.randint(1, 9))]
        weights = [rng.choice([0.25, 0.5, 1.0]) for _ in wants]
        capacity = rng.uniform(1, 60)
        given = max_min(wants, weights, capacity)
        assert all(g <= w + 1e-9 for g, w in zip(given, wants, strict=True))
        assert sum(given) == pytest.approx(min(capacity, sum(wants)))
        # A class with less than its demand gets no less per weight than any other.
        rates = [g / w for g, w in zip(given, weights, strict=True)]
        short = [i for i, g in enumerate(given) if g < wants[i] - 1e-9]
        assert all(rates[i] >= max(rates) - 1e-9 for i in short)

    def test_a_small_demand_is_met_in_full(self):
        given = divide_slots({EDIT: 3.0, FEED: 90.0, FAR_FEED: 4.0}, 20.0)
        assert given == {EDIT: 3.0, FEED: 13.0, FAR_FEED: 4.0}

    def test_the_least_urgent_one_has_a_floor(self):
        given = divide_slots({EDIT: 500.0, FEED: 500.0}, 20.0)
        assert given[FEED] >= 20.0 / 4
        assert given[EDIT] > given[FEED]

    def test_none(self):
        assert divide_slots({}, 10.0) == {}


class TestCounts:
    """The counts of requests that agents report."""

    def test_they_survive_encoding(self):
        counts = {FEED: Count(1.25, 7), EDIT: Count(0.0, 1)}
        assert decode_counts(encode_counts(counts)) == counts

    def test_the_largest_ones_are_reported(self):
        counts = {TrafficClass(zone, 1): Count(0.0, zone) for zone in range(300)}
        body = encode_counts(counts)
        assert len(body) <= SECTION_MAX_BYTES
        told = decode_counts(body)
        assert len(told) == MAX_ROWS
        assert TrafficClass(299, 1) in told

    def test_truncated_ones_are_ignored(self):
        body = encode_counts({FEED: Count(1.0, 1)})
        assert decode_counts(body[:-1]) == {}


class TestSharing:
    """The allocation that a daemon computes from the members' counts."""

    def test_daemons_with_the_same_counts_agree(self):
        members = [full_member(number) for number in range(6)]
        other = allocate(0.0, reversed(members))
        assert allocate(0.0, members) == other

    def test_a_part_of_the_members_compares_as_the_whole(self):
        members = [full_member(number) for number in range(6)]
        whole, part = allocate(0.0, members), allocate(0.0, members[:3])
        assert part.waits_by_class == pytest.approx(whole.waits_by_class)
        assert part.demand / part.capacity == whole.demand / whole.capacity

    def test_counts_two_seconds_old_hold_and_older_ones_do_not(self):
        members = [full_member(number) for number in range(6)]
        assert allocate(MAX_COUNTS_AGE_SECONDS, members) is not None
        assert allocate(MAX_COUNTS_AGE_SECONDS + 0.1, members) is None


class TestOverload:
    """When a service counts as overloaded."""

    def test_not_while_a_tenth_of_the_slots_may_be_free(self):
        room = ServiceLoad()
        members = [full_member(number) for number in range(8)]
        assert not room.review(0.0, [*members, member(8), member(9)])
        assert room.since is None
        assert room.review(0.0, members)

    def test_small_changes_do_not_turn_it_off_and_on(self):
        """Overload must not begin and end ten times a second.

        Openings wait at nearly every agent, and each status reports another agent whose
        queue has just become empty. With one threshold for both, each status would
        switch.
        """
        room = ServiceLoad()
        rng = random.Random(3)
        changes = 0
        for step in range(100):
            now = 0.2 * step
            empty = rng.sample(range(20), rng.choice([0, 1, 3, 5]))
            members = [
                member(number, status_received_at=now)
                if number in empty
                else full_member(number, now)
                for number in range(20)
            ]
            changes += room.review(now, members)
        assert changes == 1

    def test_a_daemon_cut_off_from_most_sees_no_overload(self):
        """Openings must not be rejected while two of three agents are idle.

        A home is cut off from most agents and the few that it hears are full. It must
        not judge the service by them.
        """
        heard = [full_member(number, status_received_at=10.0) for number in range(2)]
        unheard = [member(number, status_received_at=0.0) for number in range(2, 12)]
        room = ServiceLoad()
        assert not room.review(10.0, [*heard, *unheard])

    def test_counts_that_grow_old_end_it(self):
        room, members = overloaded()
        assert room.review(REJECT_AFTER_SECONDS + MAX_COUNTS_AGE_SECONDS + 0.1, members)
        assert room.since is None

    def test_after_a_restart_it_begins_anew(self):
        _, members = overloaded()
        room = ServiceLoad()
        room.review(REJECT_AFTER_SECONDS, members)
        assert room.excess(REJECT_AFTER_SECONDS + 0.1, FEED, 0.4) == 0.0


class TestExcess:
    """The share of new openings that can't be served."""

    def test_only_of_the_kind_that_waits_too_long(self):
        room, _ = overloaded()
        now = REJECT_AFTER_SECONDS + 0.1
        assert room.excess(now, FEED, 0.4) > 0.3
        assert room.excess(now, EDIT, 0.4) == 0.0
        assert room.excess(now, FAR_FEED, 0.4) == 0.0

    def test_not_before_the_goal_and_a_silent_clients_tries_are_over(self):
        room, _ = overloaded()
        assert room.excess(REJECT_AFTER_SECONDS - 0.1, FEED, 0.4) == 0.0
        assert room.excess(REJECT_AFTER_SECONDS + 0.1, FEED, 10.0) == 0.0

    def test_it_grows_from_nothing(self):
        found = []
        for waiting in range(1, 80):
            room = ServiceLoad()
            members = [full_member(number, waiting=waiting) for number in range(8)]
            room.review(0.0, members)
            found.append(room.excess(REJECT_AFTER_SECONDS + 0.1, FEED, 0.4))
        steps = [late - early for early, late in itertools.pairwise(found)]
        assert found[0] == 0.0
        assert found[-1] > 0.5
        assert max(steps) < 0.1


class TestRejections:
    """Openings that are held, and how their holding ends."""

    def held(self, room, takers, count=200):
        found = Rejections(room, random.Random(1), lambda *_: takers)
        head = Head(Kind.FORWARD, zone=FEED.zone)
        for number in range(count):
            packet = Packet(bytes([number]) * 12, Flag.OPENING, 1, 0, 0, b"")
            found.hold(
                REJECT_AFTER_SECONDS + 0.1, head, packet, Urgency(FEED.priority, 0.4)
            )
        return found

    def test_as_many_are_held_as_there_is_excess(self):
        room, members = overloaded()
        excess = room.excess(REJECT_AFTER_SECONDS + 0.1, FEED, 0.4)
        share = len(self.held(room, members)) / 200
        assert share == pytest.approx(excess, abs=0.15)

    def test_they_end_spread_over_the_time(self):
        room, members = overloaded()
        held = self.held(room, members)
        count = len(held)
        first = held.due(REJECT_AFTER_SECONDS + 0.1 + MAX_HOLD_SECONDS / 2)
        assert count / 4 < len(first) < 3 * count / 4
        rest = held.due(REJECT_AFTER_SECONDS + 0.1 + MAX_HOLD_SECONDS)
        assert len(first) + len(rest) == count
        assert all(is_excess for _, is_excess in first + rest)

    def test_none_while_a_slot_in_reach_is_free(self):
        """An opening must not be rejected while a target in reach has a free slot.

        The service is overloaded as a whole, but one of the eight agents that the flow
        may go to is idle.
        """
        room, members = overloaded()
        free = member(9, status_received_at=REJECT_AFTER_SECONDS)
        assert len(self.held(room, [*members[:7], free])) == 0

    def test_a_slot_that_becomes_free_meanwhile_takes_it(self):
        room, members = overloaded()
        takers = members[:8]
        held = self.held(room, takers)
        assert len(held)
        takers[0] = member(9, status_received_at=REJECT_AFTER_SECONDS)
        ended = held.due(REJECT_AFTER_SECONDS + 0.1 + MAX_HOLD_SECONDS)
        assert ended
        assert not any(is_excess for _, is_excess in ended)

    def test_an_agent_whose_counts_are_old_may_have_capacity(self):
        members = [full_member(number) for number in range(8)]
        assert all_wait(MAX_COUNTS_AGE_SECONDS, members)
        assert not all_wait(MAX_COUNTS_AGE_SECONDS + 0.1, members)


class TestOddPriorities:
    @pytest.mark.parametrize("priority", [-1, 255, 300])
    def test_counts_are_reported(self, priority):
        """Such a priority in a configuration must not end the agents that report it."""
        told = encode_counts({TrafficClass(1, priority): Count(1.0, 2)})
        assert list(decode_counts(told)) == [
            TrafficClass(1, max(0, min(255, priority)))
        ]

    def test_many_of_them_get_shares(self):
        """Weights that differ by more than a float can represent led to a division by
        zero.
        """
        rng = random.Random(1)
        for _ in range(200):
            wants = {
                TrafficClass(1, n): rng.choice((0.0, 1e-6, 5.0)) for n in range(80)
            }
            given = divide_slots(wants, 10.0)
            assert sum(given.values()) <= 10.0 + 1e-6
