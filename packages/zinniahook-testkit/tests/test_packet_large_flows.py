"""Simulations of flows that carry much more than one answer."""

import pytest
from packet_helpers import SEEDS, count_new_answers, open_flows
from zinniahook_core.packets import Features, Flag, Packet
from zinniahook_core.packets.flows import Flow, FlowState
from zinniahook_core.packets.homes import POINTERS_LIMIT
from zinniahook_core.packets.registry import REGISTERED_PER_TICK
from zinniahook_testkit.packetsimulation import PacketSimulation

PACKET_BYTES = 60_000
LARGE_PACKETS = 300
"""Packets that carry 18 MB, more than 16 MiB."""


def make_simulation(seed, answer_packets=1, **options):
    """Return a simulation whose targets send large packets."""
    sim = PacketSimulation(seed, **options)
    for agent in sim.agents_by_address.values():
        agent.target.answer_packets = answer_packets
        agent.target.packet_bytes = PACKET_BYTES
        agent.target.work = 0.001
    return sim


def open_large_flows(sim, count=4):
    """Open flows that have carried 18 MB in answers of one packet each."""
    flows = open_flows(sim, count)
    for _ in range(LARGE_PACKETS):
        assert count_new_answers(sim, flows, 0.02) == [1] * count
    return flows


def start_downloads(sim, count=4, packets=LARGE_PACKETS):
    """Open flows whose first answers have begun."""
    flows = [sim.open_flow() for _ in range(count)]
    for flow in flows:
        flow.answer_packets = packets
    sim.run(0.1)
    assert all(0 < flow.packets_taken < packets for flow in flows)
    return flows


class TestLargeFlows:
    """Flows that have carried 16 MiB are reset, and downloads of that size stop.

    Each of the client's packets acknowledges all that its target has sent. Compared
    with the target's initial number alone, it seems to belong to another target.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_requests_are_answered(self, seed):
        sim = make_simulation(seed)
        flows = open_large_flows(sim)
        assert count_new_answers(sim, flows) == [1] * len(flows)
        assert sim.resets == []
        assert sim.log.counts["flow.mismatched"] == 0
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_downloads_are_completed(self, seed):
        sim = make_simulation(seed, LARGE_PACKETS)
        flows = start_downloads(sim)
        sim.run(10.0)
        assert [len(flow.answers) for flow in flows] == [1] * len(flows)
        assert sim.log.counts["flow.mismatched"] == 0
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("request_order", [False, True])
    def test_numbers_of_both_ends_may_wrap_around(self, seed, request_order):
        sim = make_simulation(seed, features=Features(request_order=request_order))
        draw = sim.rng.randrange
        sim.rng.randrange = lambda *limits: (
            (1 << 32) - 30 if limits == (1 << 32,) else draw(*limits)
        )
        flows = open_flows(sim, 12)
        for _ in range(10):
            assert count_new_answers(sim, flows, 0.2) == [1] * len(flows)
        assert {flow.first for flow in flows} == {(1 << 32) - 30}
        assert sim.log.counts["flow.mismatched"] == 0
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_survive_restarts_of_every_daemon(self, seed):
        sim = make_simulation(seed)
        flows = open_large_flows(sim, 2)
        sim.loss = 0.02
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        for _ in range(5):
            assert count_new_answers(sim, flows, 4.0) == [1] * len(flows)
        assert sim.resets == []
        assert sim.findings() == []


class TestForgottenOwners:
    """A download stops for good although its client and its target live.

    Homes keep a limited number of pointers and drop the oldest first. An entry that
    has just started asks them, and nobody searches with an acknowledgement.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("weights", [{"tally": 1.0}, {"tally": 1.0, "ledger": 1.0}])
    def test_are_reported_again(self, seed, weights):
        services = {"tally": 4, "ledger": 4}
        sim = make_simulation(seed, 2000, services=services)
        sim.set_shares(1, weights)
        sim.run(1.0)
        flows = start_downloads(sim, 4, 2000)
        # Homes also remember for a few seconds where they placed a flow.
        sim.run(6.0)
        newer = [f"newer-{number}".encode() for number in range(POINTERS_LIMIT)]
        for agent in sim.agents_by_address.values():
            agent.core.home.learn(sim.now, "10.9.9.9", newer)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        assert not any(flow.answers for flow in flows)
        sim.run(20.0)
        assert [len(flow.answers) for flow in flows] == [1] * len(flows)
        assert sim.findings() == []


class TestManyFlows:
    """The flows that were opened first are reset after a series of restarts.

    An agent reports its flows to new homes, some at a time, and begins again whenever
    homes change. The first flows are never reached.
    """

    def test_are_all_reported_while_homes_keep_changing(self):
        sim = PacketSimulation(1)
        agent = next(iter(sim.agents_by_address.values())).core
        keys = [
            number.to_bytes(12, "big") for number in range(10 * REGISTERED_PER_TICK)
        ]
        for key in keys:
            agent.flows.add(Flow(key, FlowState.OPEN, sim.now, ""))
        for _ in range(12):
            agent.registry.register_all()
            agent.registry.tick(sim.now)
        assert all(agent.flows.get(key).homes for key in keys)


class TestOldFlows:
    """Flows are reset once they are older than what some daemon remembers."""

    def test_go_on_for_minutes(self):
        """They pause for most of the idle timeout, and every daemon is restarted."""
        sim = PacketSimulation(3, loss=0.02)
        flows = open_flows(sim, 24, 2.0)
        for _ in range(4):
            sim.run(50.0)
            assert count_new_answers(sim, flows, 3.0) == [1] * len(flows)
            for address in sim.entries_by_address:
                sim.start_entry(address)
            assert count_new_answers(sim, flows, 3.0) == [1] * len(flows)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
            sim.run(1.5)
        assert count_new_answers(sim, flows, 3.0) == [1] * len(flows)
        assert sim.resets == []
        assert sim.findings() == []


class TestLateOpenings:
    """A flow is reset because a copy of its opening reaches a restarted agent late.

    The agent takes the flow for one that its client hasn't chosen yet. The client's
    next packet acknowledges more than such a flow may have sent.
    """

    def test_leave_the_flow_open(self):
        states = []
        for seed in range(30):
            sim = make_simulation(seed)
            flow, *_ = open_flows(sim, 6)
            assert count_new_answers(sim, [flow], 0.3) == [1]
            owner = next(
                agent
                for agent in sim.agents_by_address.values()
                if flow.key in agent.target.by_flow
            )
            sim.start_agent(owner)
            sim.run(0.3)
            copy = flow.codec.write(flow.key, Flag.OPENING, flow.first, 1)
            sim.from_client(copy)
            sim.run(0.3)
            count_new_answers(sim, [flow], 3.0)
            states.append(flow.state)
        assert states == ["open"] * 30


class TestReusedPorts:
    """A client's flow is reset just after it opened, while its target lives.

    The client had left a flow without closing it, and uses its port again. The new
    flow opens at another target, but a hint leads its packets to the former owner.
    The former target returns them, and its agent resets the flow as lost.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("megabytes", [1, 64])
    @pytest.mark.parametrize("distance", [-(1 << 20), 1 << 20, 1 << 31])
    def test_belong_to_their_new_owners(self, seed, megabytes, distance):
        """The new initial number is below the former flow's numbers, or above them."""
        sim = make_simulation(seed)
        (flow,) = open_flows(sim, 1)
        other = next(
            agent
            for agent in sim.agents_by_address.values()
            if flow.key not in agent.target.by_flow
        )
        size = megabytes << 20
        first = flow.server_first - distance - (size if distance > 0 else 0)
        former = Flow(flow.key, FlowState.OFFERED, sim.now, "", client_isn=flow.first)
        former.accepted(first % (1 << 32))
        former.state = FlowState.OPEN
        for sent in range(1 << 20, size + 1, 1 << 20):
            sequence = (first + sent) % (1 << 32)
            former.note_sent(Packet(flow.key, 0, sequence, 0, 1, b""))
        other.core.flows.add(former)
        for entry in sim.entries_by_address.values():
            entry.hints_by_flow[flow.key] = other.address
        assert count_new_answers(sim, [flow]) == [1]
        assert sim.resets == []
        assert sim.foreign == []


class TestResetsOfLargeFlows:
    """A client waits until it times out although its target is gone.

    Its agent resets the flow with a number that the client had acknowledged long
    before, and the client ignores the reset.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_reach_the_client_after_a_late_packet(self, seed):
        sim = make_simulation(seed)
        flow, *others = open_flows(sim, 40)
        late = flow.ask(sim.now)
        flow.asked_at = None
        for _ in range(10):
            assert count_new_answers(sim, [flow], 0.05) == [1]
        owner = next(
            agent
            for agent in sim.agents_by_address.values()
            if flow.key in agent.target.by_flow
        )
        owner.target.alive = False
        sim.from_client(late)
        for other in others:
            sim.ask(other)
        sim.run(2.0)
        assert flow.state == "reset"

    def test_reach_the_client_of_a_flow_that_its_target_revealed(self):
        """Its agent was restarted while the target worked on a request."""
        for seed in range(12):
            sim = make_simulation(seed)
            flow, *others = flows = open_flows(sim, 20)
            owner = next(
                agent
                for agent in sim.agents_by_address.values()
                if flow.key in agent.target.by_flow
            )
            owner.target.work = 0.15
            for each in flows:
                sim.ask(each)
            sim.run(0.05)
            sim.start_agent(owner)
            sim.run(3.0)
            owner.target.alive = False
            for other in others:
                sim.ask(other)
            sim.run(2.0)
            assert flow.state == "reset", f"seed {seed}"
