"""Targets judged by their answers, with real cores and real packets."""

import pytest
from zinniahook_core.packets import Features
from zinniahook_core.packets.sections import Section
from zinniahook_core.packets.tunnel import Kind, decode, decode_status
from zinniahook_testkit.packetsimulation import PacketSimulation

JUDGED = Features(target_health=True, learned_capacity=True)
PAUSE = 0.02
STATUS_SIZE = 18


def openings_at(sim, agent, count=400):
    """Open flows that ask one request each; return how many came to a target.

    Each second client acknowledges before it asks.
    """
    before = len(agent.target.openings)
    for number in range(count):
        sim.open_flow().acknowledges = bool(number % 2)
        sim.run(PAUSE)
    return len(agent.target.openings) - before


def statuses(sim, receivers=None):
    """Collect the bodies of statuses that agents send from now on."""
    bodies = []
    send = sim.send_peer

    def spy(sender, address, data):
        head, body = decode(data)
        if head.kind is Kind.STATUS and (not receivers or address in receivers):
            bodies.append(body)
        send(sender, address, data)

    sim.send_peer = spy
    return bodies


class TestATargetThatFailsAtOnce:
    def opened(self, seed, features, ends_first=False):
        sim = PacketSimulation(seed, {"tally": 6}, features=features)
        for agent in sim.agents_by_address.values():
            agent.target.ends_first = ends_first
        sim.run(1.0)
        openings_at(sim, next(iter(sim.agents_by_address.values())), 100)
        bad = list(sim.agents_by_address.values())[2]
        bad.target.fails = True
        count = openings_at(sim, bad)
        return sim, count

    @pytest.mark.parametrize("seed", range(3))
    def test_gets_little(self, seed):
        """Symptom: a target that fails everything gets more than its share.

        Sequence: it answers in a millisecond, its heartbeats say ready. Cause:
        it always looks idle, and its answer time is the shortest.
        """
        _, before = self.opened(seed, None)
        sim, after = self.opened(seed, JUDGED)
        assert after < before / 4
        assert [name for name, _ in sim.log.lines].count("target.suspected")
        assert not sim.findings()

    def test_gets_little_if_ends_overtake_answers(self):
        """Symptom: failures with short answers are never held against a target.

        Sequence: it sends the answer and the flow's end at once, and the end
        comes first. Cause: the end counts as the answer, and tells no failure.
        """
        _, before = self.opened(1, None, ends_first=True)
        _, after = self.opened(1, JUDGED, ends_first=True)
        assert after < before / 4

    def test_gets_its_share_again_when_it_is_well(self):
        sim, _ = self.opened(1, JUDGED)
        bad = list(sim.agents_by_address.values())[2]
        bad.target.fails = False
        openings_at(sim, bad, 1500)
        assert openings_at(sim, bad, 300) > 300 / 6 / 2
        assert not sim.findings()


class TestRequestsAfterAnAcknowledgement:
    def test_are_judged(self):
        """Symptom: a target that fails half of its requests is never suspected.

        Sequence: clients acknowledge the target's answer to the opening, then
        send their request. Cause: the flow is open by then, and the request
        passed for one that was noted before.
        """
        sim = PacketSimulation(1, {"tally": 2}, features=JUDGED)
        for _ in range(100):
            sim.open_flow().acknowledges = True
            sim.run(PAUSE)
        rows = [
            row
            for agent in sim.agents_by_address.values()
            for row in agent.core.target.health.report(sim.now).rows
        ]
        assert sum(row.total for row in rows) > 50


class TestSwitchedOff:
    def test_costs_no_byte(self):
        sim = PacketSimulation(1)
        bodies = statuses(sim)
        openings_at(sim, next(iter(sim.agents_by_address.values())), 50)
        assert bodies
        assert {len(body) for body in bodies} == {STATUS_SIZE}

    def test_entries_are_told_no_byte_more(self):
        sim = PacketSimulation(1, features=JUDGED)
        bodies = statuses(sim, sim.entries_by_address)
        openings_at(sim, next(iter(sim.agents_by_address.values())), 50)
        sim.start_target(next(iter(sim.agents_by_address.values())))
        sim.run(2.0)
        assert bodies
        assert {len(body) for body in bodies} == {STATUS_SIZE}

    def test_agents_with_and_without_it_understand_each_other(self):
        sim = PacketSimulation(1, {"tally": 6})
        sim.features = JUDGED
        for agent in list(sim.agents_by_address.values())[:3]:
            sim.start_agent(agent)
        sim.run(1.0)
        bodies = statuses(sim)
        openings_at(sim, agent, 100)
        told = [decode_status(body).sections for body in bodies]
        assert any(Section.HEALTH in sections for sections in told)
        assert not all(Section.HEALTH in sections for sections in told)
        assert not sim.findings()
