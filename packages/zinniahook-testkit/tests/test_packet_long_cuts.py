"""Simulations of data centres that are cut off from each other for minutes."""

import itertools

import pytest
from packet_helpers import SEEDS, count_new_answers, open_flows
from zinniahook_core.packets.lost import LOST_EXPIRY_SECONDS, LOST_LIMIT, LostMembers
from zinniahook_core.packets.members import MEMBER_EXPIRY_SECONDS
from zinniahook_testkit.packetsimulation import PacketSimulation

CALM_SECONDS = 6.0


def cut_off(sim, centre):
    """Cut a data centre off from the others."""
    inside = [a for a, c in sim._centres.items() if c == centre]
    outside = [a for a, c in sim._centres.items() if c != centre]
    sim.cut = {frozenset(pair) for pair in itertools.product(inside, outside)}


def rosters(sim):
    return [set(a.core.roster.by_address) for a in sim.agents_by_address.values()]


class TestLongCuts:
    """Open flows are reset when an entry is restarted after a cut of a minute.

    The agents on both sides of the cut have forgotten each other, and nobody sends the
    first datagram. Each home searches among its own half of the service.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_are_forgotten_by_both_sides(self, seed):
        sim = PacketSimulation(seed, loss=0.02)
        everyone = set(sim.agents_by_address)
        cut_off(sim, "a")
        sim.run(MEMBER_EXPIRY_SECONDS + 10.0)
        assert all(known < everyone for known in rosters(sim))
        sim.cut = set()
        sim.run(CALM_SECONDS)
        assert all(known == everyone for known in rosters(sim))
        flows = open_flows(sim, 24, 2.0)
        for address in sim.entries_by_address:
            sim.start_entry(address)
            assert count_new_answers(sim, flows, 2.0) == [1] * len(flows)
        assert sim.resets == []
        assert sim.findings() == []


class TestMembersThatAreGone:
    """Daemons send datagrams to agents that are gone for good, for ever."""

    def test_are_probed_at_a_limited_rate_and_time(self):
        lost = LostMembers()
        for number in range(2 * LOST_LIMIT):
            lost.add(0.0, str(number), number)
        assert len(lost) == LOST_LIMIT
        now, probes = 0.0, 0
        while now < 100.0:
            now += 0.05
            probes += len(lost.due(now))
        assert 900 <= probes <= 1050
        assert lost.due(LOST_EXPIRY_SECONDS + 1.0) == []
        assert len(lost) == 0

    def test_are_not_probed_once_they_serve_another_service(self):
        sim = PacketSimulation(1)
        entry = next(iter(sim.entries_by_address.values()))
        roster = entry.rosters_by_service["tally"]
        address = next(iter(sim.agents_by_address))
        roster.lost.add(sim.now, address, 0)
        entry._drop_member(address, 0)
        assert address not in roster.lost

    def test_keep_their_place_among_the_others(self):
        """An agent that is back may own flows that were opened before others joined."""
        sim = PacketSimulation(1)
        agent, peer, *_ = sim.agents_by_address.values()
        roster = agent.core.roster
        order = roster.by_address[peer.address].order
        member = roster.by_address[peer.address]
        roster.drop(peer.address)
        roster.lost.add(sim.now, peer.address, order)
        assert roster.add(sim.now + 60.0, peer.address, member.zone).order == order
