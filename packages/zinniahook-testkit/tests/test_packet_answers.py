"""Health of targets by their answers, with real cores and packets."""

import pytest
from zinniahook_core.packets import Features
from zinniahook_core.packets.sections import Section
from zinniahook_core.packets.tunnel import Kind, decode, decode_status
from zinniahook_testkit.packetsimulation import PacketSimulation

JUDGED = Features(target_health=True, learned_capacity=True)
PAUSE = 0.02
STATUS_SIZE = 18


def openings_at(sim, agent, count=400):
    """Open flows with one request each; return how many reach a target.

    Every second client acknowledges the opening before its request.
    """
    before = len(agent.target.openings)
    for number in range(count):
        sim.open_flow().acknowledges = bool(number % 2)
        sim.run(PAUSE)
    return len(agent.target.openings) - before


def statuses(sim, receivers=None):
    """Return a list that collects the bodies of statuses sent from now on."""
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
        """A target that fails every request gets more than its share.

        It answers within a millisecond, and its heartbeats report it as ready, so it
        always looks idle and has the shortest answer time.
        """
        _, before = self.opened(seed, None)
        sim, after = self.opened(seed, JUDGED)
        assert after < before / 4
        assert [name for name, _ in sim.log.lines].count("target.suspected")
        assert not sim.findings()

    def test_gets_little_if_ends_overtake_answers(self):
        """Failures with short answers aren't counted.

        A target sends the answer and the closing at once, and the closing arrives
        first. It is counted as the answer and doesn't show the failure.
        """
        _, before = self.opened(1, None, ends_first=True)
        _, after = self.opened(1, JUDGED, ends_first=True)
        assert after < before / 4

    def test_gets_its_share_again_when_it_is_healthy(self):
        sim, _ = self.opened(1, JUDGED)
        bad = list(sim.agents_by_address.values())[2]
        bad.target.fails = False
        openings_at(sim, bad, 1500)
        assert openings_at(sim, bad, 300) > 300 / 6 / 2
        assert not sim.findings()


class TestRequestsAfterAnAcknowledgement:
    def test_are_counted(self):
        """A target that fails half of its requests is never ejected.

        Clients acknowledge the target's answer to the opening and then send their
        request. The flow is open by then, so the request is treated as one that was
        counted before.
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

    def test_entries_get_no_additional_bytes(self):
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
        received = [decode_status(body).sections for body in bodies]
        assert any(Section.HEALTH in sections for sections in received)
        assert not all(Section.HEALTH in sections for sections in received)
        assert not sim.findings()
