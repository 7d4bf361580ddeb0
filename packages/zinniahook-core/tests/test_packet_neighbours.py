"""The candidates of a flow, and the polls for their loads."""

import itertools
import random

import pytest
from zinniahook_core.packets.candidates import CANDIDATES, ZONE_CANDIDATES
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.members import PROBE_MAX_SECONDS, Roster
from zinniahook_core.packets.models import Packet
from zinniahook_core.packets.polls import (
    KNOWN_LOADS,
    POLL_TIMEOUT_SECONDS,
    LoadPolls,
    with_known_load,
)
from zinniahook_core.packets.ring import HashRing
from zinniahook_core.packets.tunnel import Head, Kind

NAMES = [f"10.0.0.{number}" for number in range(1, 101)]
KEYS = [number.to_bytes(12, "big") for number in range(300)]


def ring_of(names):
    ring = HashRing()
    for name in names:
        ring.add(name)
    return ring


def roster_of(names, zones=5):
    roster = Roster("tally")
    for order, name in enumerate(names):
        roster.add(0.0, name, order % zones, order=order)
    return roster


def addresses(members):
    return [member.address for member in members]


class TestRing:
    def test_each_key_is_followed_by_every_name_once(self):
        ring = ring_of(NAMES)
        for key in KEYS[:20]:
            assert sorted(ring.after(key)) == sorted(NAMES)

    def test_the_order_of_adding_changes_nothing(self):
        first, second = ring_of(NAMES), ring_of(reversed(NAMES))
        assert all(list(first.after(k)) == list(second.after(k)) for k in KEYS[:20])

    def test_a_name_that_leaves_only_closes_its_own_gap(self):
        ring = ring_of(NAMES)
        before = {key: list(ring.after(key)) for key in KEYS[:50]}
        ring.drop(NAMES[7])
        for key, names in before.items():
            assert list(ring.after(key)) == [n for n in names if n != NAMES[7]]

    def test_shares_differ_by_less_than_twice(self):
        counts = dict.fromkeys(NAMES, 0)
        ring = ring_of(NAMES)
        for number in range(20_000):
            counts[next(ring.after(number.to_bytes(4, "big")))] += 1
        assert max(counts.values()) < 2.2 * 200


class TestMembersOfAFlow:
    def test_a_flow_has_as_many_candidates_in_any_service(self):
        for size in (20, 100):
            roster = roster_of(NAMES[:size])
            for key in KEYS[:50]:
                assert (
                    len(roster.candidates(0.0, key, 0)) <= CANDIDATES + ZONE_CANDIDATES
                )

    def test_some_are_of_the_clients_data_centre(self):
        roster = roster_of(NAMES)
        for key in KEYS[:50]:
            local = [m for m in roster.candidates(0.0, key, 3) if m.zone == 3]
            assert len(local) >= ZONE_CANDIDATES

    def test_homes_are_the_same_for_clients_of_any_data_centre(self):
        roster = roster_of(NAMES)
        for key in KEYS[:50]:
            homes = set(roster.homes(0.0, key))
            assert homes <= set(addresses(roster.candidates(0.0, key, 1)))
            assert homes <= set(addresses(roster.candidates(0.0, key, 2)))

    @pytest.mark.parametrize("factor", [2, 5])
    def test_the_wide_candidates_include_owners_from_before_the_growth(self, factor):
        """A flow must not be reset although its target lives.

        The service grows several times over and then every agent restarts. The owner
        isn't among the first candidates any more.
        """
        former = roster_of(NAMES[: len(NAMES) // factor])
        grown = roster_of(NAMES)
        for key in KEYS:
            owners = set(addresses(former.candidates(0.0, key, 2)))
            assert owners <= set(addresses(grown.wide_candidates(0.0, key)))


class TestSilentMembers:
    """Daemons must not spend their time on probing agents that are gone.

    After many agents have gone, each is asked twice a second whether it is back.
    """

    def test_are_probed_less_and_less_often(self):
        roster = roster_of(NAMES[:1])
        roster.expect_answer(0.0, NAMES[0])
        asked = [now for now in range(2, 60) if roster.probes_due(float(now))]
        pauses = [after - before for before, after in itertools.pairwise(asked)]
        assert pauses == sorted(pauses)
        assert max(pauses) == PROBE_MAX_SECONDS


class TestLoadPolls:
    def setup_method(self):
        self.asked = []
        self.done = []
        self.polls = LoadPolls(
            "own",
            random.Random(1),
            lambda now, address: self.asked.append(address),
            lambda now, poll: self.done.append(poll.packet.flow),
        )
        self.takers = [
            Member(name, number % 2) for number, name in enumerate(NAMES[:8])
        ]
        self.packet = Packet(KEYS[0], 1, 1, 0, 0, b"")

    def begin(self, now=0.0):
        return self.polls.begin(now, Head(Kind.FORWARD), self.packet, self.takers)

    def test_asks_a_few_half_of_them_near_the_client(self):
        assert self.begin()
        assert len(self.asked) == KNOWN_LOADS
        near = [m for m in self.takers if m.address in self.asked and m.zone == 0]
        assert len(near) >= KNOWN_LOADS / 2

    def test_ends_when_all_have_reported(self):
        self.begin()
        for address in self.asked:
            assert self.done == []
            self.polls.heard(0.001, address)
        assert self.done == [self.packet.flow]

    def test_ends_without_those_that_are_dead(self):
        self.begin()
        self.polls.tick(POLL_TIMEOUT_SECONDS / 2)
        assert self.done == []
        self.polls.tick(POLL_TIMEOUT_SECONDS)
        assert self.done == [self.packet.flow]

    def test_asks_no_agent_whose_load_is_known(self):
        for member in self.takers[:KNOWN_LOADS]:
            member.status_received_at = 0.0
        assert not self.begin(0.01)
        assert self.asked == []

    def test_agents_without_known_load_are_skipped_if_others_have_one(self):
        self.takers[2].status_received_at = 1.0
        assert with_known_load(1.0, "own", self.takers) == [self.takers[2]]
        assert with_known_load(2.0, "own", self.takers) == self.takers
