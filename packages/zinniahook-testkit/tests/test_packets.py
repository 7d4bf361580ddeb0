"""Simulations of the packet service: flows keep their targets."""

import pytest
from packet_helpers import SEEDS, count_new_answers, open_flows
from zinniahook_core.packets.flows import Flow, FlowState
from zinniahook_core.packets.tunnel import Head, Kind, encode, tag
from zinniahook_testkit.packetsimulation import PacketSimulation


class TestCalm:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_every_request_is_answered(self, seed):
        sim = PacketSimulation(seed)
        flows = open_flows(sim)
        for _ in range(5):
            assert count_new_answers(sim, flows) == [1] * len(flows)
        assert sim.findings() == []
        assert sim.foreign == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_openings_are_spread(self, seed):
        sim = PacketSimulation(seed)
        for _ in range(20):
            open_flows(sim, 12, 0.1)
        taken = [len(a.target.openings) for a in sim.agents_by_address.values()]
        assert max(taken) / (sum(taken) / len(taken)) <= 1.25


class TestNewAgents:
    """Flows move to targets that were added.

    Agents join, so homes change while flows are open. A new home knows none of the
    flows that it is asked for.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_flows_stay(self, seed):
        sim = PacketSimulation(seed)
        flows = open_flows(sim)
        for _ in range(3):
            sim.add_agent("tally")
        for _ in range(4):
            assert count_new_answers(sim, flows, 0.6) == [1] * len(flows)
        assert sim.findings() == []


class TestCrashedTarget:
    """Clients time out although other targets are free.

    A target crashes and starts again later without its flows. Clients of its flows
    get no reset, and openings are still placed there because its agent runs.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_openings_go_elsewhere_at_once(self, seed):
        sim = PacketSimulation(seed)
        crashed = next(iter(sim.agents_by_address.values()))
        crashed.target.alive = False
        flows = [sim.open_flow() for _ in range(40)]
        sim.run(0.5)
        assert {flow.state for flow in flows} == {"open"}
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_its_flows_are_reset_while_it_is_down(self, seed):
        sim = PacketSimulation(seed, loss=0.02)
        flows = open_flows(sim, seconds=1.5)
        crashed = next(iter(sim.agents_by_address.values()))
        held = {flow.key for flow in flows if flow.key in crashed.target.by_flow}
        crashed.target.alive = False
        for flow in flows:
            sim.ask(flow)
        sim.run(1.2)
        lost = [flow for flow in flows if not sim.is_held(flow)]
        assert {flow.key for flow in lost} <= held
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.findings() == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_its_flows_are_reset_once_it_runs_again(self, seed):
        sim = PacketSimulation(seed)
        # Older than a late heartbeat can be, so they belong to the former target.
        flows = open_flows(sim, seconds=2.5)
        crashed = next(iter(sim.agents_by_address.values()))
        crashed.target.alive = False
        sim.run(0.5)
        sim.start_target(crashed)
        sim.run(1.5)
        states = [flow.state for flow in flows if not sim.is_held(flow)]
        assert states
        assert set(states) == {"reset"}
        assert sim.findings() == []


class TestTargetThatResets:
    """A target that has crashed gets more than its share of openings.

    It runs again without its flows and resets each of their packets within a
    millisecond. If a reset counts as an answer, the mean answer time falls, and the
    log reports an answer.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_reset_is_no_answer(self, seed):
        sim = PacketSimulation(seed)
        flows = open_flows(sim)
        count_new_answers(sim, flows)
        crashed = next(iter(sim.agents_by_address.values()))
        usual = crashed.core.target.answer_time
        answered = sim.log.counts["request.answered"]
        sim.start_target(crashed)
        crashed.target.resets_unknown = True
        lost = [flow for flow in flows if not sim.is_held(flow)]
        for flow in lost:
            sim.ask(flow)
        sim.run(0.05)
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.log.counts["request.reset"] == len(lost)
        assert sim.log.counts["request.answered"] == answered
        assert crashed.core.target.answer_time == usual


class TestRestartedTarget:
    """Open flows of a healthy target are reset.

    A target crashes, starts again, takes flows, and only then sends its first
    heartbeat. If a new target's heartbeat ends all flows that the agent knows, it also
    ends those of the new target.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_its_new_flows_go_on(self, seed):
        sim = PacketSimulation(seed)
        flows = open_flows(sim, seconds=2.0)
        crashed = next(iter(sim.agents_by_address.values()))
        sim.start_target(crashed)
        held = 0
        for _ in range(15):
            flows += [sim.open_flow() for _ in range(4)]
            sim.run(0.1)
            held = max(held, len(crashed.target.by_flow))
        assert held
        living = [flow for flow in flows if sim.is_held(flow)]
        assert count_new_answers(sim, living) == [1] * len(living)
        assert sim.findings() == []


class TestDeadTargetOfNewAgent:
    """Flows of a healthy target are reset.

    A target crashes and its agent restarts. Another agent restarts, and its flows are
    searched for. The first agent takes the silence of its dead target as a sign that
    it holds the flow, claims the flow, and resets it with the others.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_it_claims_nothing(self, seed):
        sim = PacketSimulation(seed)
        flows = open_flows(sim)
        dead, *others = sim.agents_by_address.values()
        dead.target.alive = False
        for agent in [dead, *others]:
            sim.start_agent(agent)
        living = [flow for flow in flows if sim.is_held(flow)]
        assert living
        for _ in range(4):
            for flow in flows:
                sim.ask(flow)
            sim.run(1.0)
        assert {flow.state for flow in living} == {"open"}
        assert all(len(flow.answers) >= 4 for flow in living)
        assert sim.findings() == []


class TestTwoTargetsThatAnswered:
    """A flow is reset some milliseconds after it opened.

    Two targets answer copies of one opening. The client chooses one, and a hint leads
    its next packet to the other one's agent. The initial numbers of the two are close,
    as in one of 256 pairs, so the agent assigns the packet to its own target. The
    target returns it, and the agent ends the flow as lost.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("distance", [1 << 12, 1 << 20, (1 << 24) - 8])
    def test_the_one_that_was_not_chosen_leaves_the_flow_alone(self, seed, distance):
        sim = PacketSimulation(seed)
        (flow,) = open_flows(sim, 1)
        other = next(
            agent
            for agent in sim.agents_by_address.values()
            if flow.key not in agent.target.by_flow
        )
        near = (flow.server_first - distance) % (1 << 32)
        held = Flow(flow.key, FlowState.OFFERED, sim.now, "", target_isn=near)
        other.core.flows.add(held)
        for entry in sim.entries_by_address.values():
            entry.hints_by_flow[flow.key] = other.address
        assert count_new_answers(sim, [flow]) == [1]
        assert sim.resets == []
        assert sim.foreign == []


class TestFullTargets:
    """A client waits for 1.4 s although no target can take its flow.

    Every target returns the opening. Without a reset the client doesn't know that it
    can try again later.
    """

    def test_one_full_target_is_passed_over(self):
        sim = PacketSimulation(1)
        full = next(iter(sim.agents_by_address.values())).target
        full.full = True
        # As many as the other targets have slots, so no opening has to wait.
        open_flows(sim, 20, 0.1)
        assert full.openings == []

    def test_an_opening_is_reset_at_once_if_all_are_full(self):
        sim = PacketSimulation(1)
        for agent in sim.agents_by_address.values():
            agent.target.full = True
        flow = sim.open_flow()
        sim.run(0.1)
        assert flow.state == "reset"


class TestLeavingTarget:
    """A leaving target gets new flows.

    A target announces that it is leaving while homes place openings by older statuses.
    Only its own agent knows immediately.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_gets_no_openings_and_keeps_its_flows(self, seed):
        sim = PacketSimulation(seed, loss=0.02)
        flows = open_flows(sim, seconds=1.5)
        leaving = next(iter(sim.agents_by_address.values()))
        leaving.target.leaving = True
        sim.run(1.1)
        before = len(leaving.target.openings)
        for _ in range(40):
            sim.open_flow()
            sim.run(0.1)
        assert len(leaving.target.openings) == before
        assert count_new_answers(sim, flows, 2.0) == [1] * len(flows)
        assert sim.findings() == []


class TestReusedAddress:
    """A request for one service reaches a target of another service.

    A machine stops and its address is used for another service, while entries and
    homes still list it for the former one. The address alone doesn't identify the
    service.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_packet_crosses_over(self, seed):
        sim = PacketSimulation(seed, {"tally": 3, "ledger": 2})
        moved = next(iter(sim.agents_by_address.values()))
        moved.service = "ledger"
        sim.announced = [a for a in sim.announced if a[1] != moved.address]
        sim.announced.append(("ledger", moved.address, moved.centre))
        sim.start_target(moved)
        sim.start_agent(moved)
        flows = [sim.open_flow(1) for _ in range(40)]
        sim.run(1.0)
        assert {flow.state for flow in flows} == {"open"}
        assert moved.target.openings == []
        assert sim.findings() == []


class TestDroppedRoute:
    """A request runs on a route that was removed.

    The operator removes the only route of a service. Some daemons learn of it late,
    and an entry with the old version still forwards packets.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_daemons_that_know_refuse(self, seed):
        sim = PacketSimulation(seed, {"tally": 3, "ledger": 2})
        sim.routes = sim.make_routes(2, {"tally": 3})
        agents = sim.agents_by_address.values()
        ledger = [agent for agent in agents if agent.service == "ledger"]
        ledger[0].core.configure(sim.now, sim.routes)
        sim.run(0.3)
        flow = sim.open_flow(2)
        sim.run(0.2)
        assert flow.state == "reset"
        assert all(not agent.target.openings for agent in ledger)


class TestGoneAgent:
    """Flows of an agent that is gone are never reset.

    An agent stops for good, and its peers keep reporting it to each other. Each of
    them takes the other's report as a sign that the agent runs.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_reports_of_peers_are_no_sign_of_life(self, seed):
        sim = PacketSimulation(seed)
        gone, *others = sim.agents_by_address.values()
        gone.core = gone.target = None
        for _ in range(60):
            for agent in others:
                for peer in others:
                    agent.core.hello(sim.now, peer.address)
            sim.run(0.1)
        assert not any(a.core.roster.may_hold_unseen(sim.now) for a in others)


class TestMalformedRosters:
    """A daemon handles no datagram from a daemon of another version.

    That daemon sends roster rows of another shape, which raise an exception while the
    datagram is decoded.
    """

    @pytest.mark.parametrize(
        "body",
        [b"[]", b"{", b'{"tally":3}', b'{"tally":[["10.0.0.9"]]}', b'{"tally":[3,[]]}'],
    )
    def test_are_counted_and_left_out(self, body):
        sim = PacketSimulation(1)
        raw = encode(Head(Kind.ROSTER, service=tag("tally")), body)
        agent = next(iter(sim.agents_by_address.values())).core
        entry = next(iter(sim.entries_by_address.values()))
        for core in (agent, entry):
            core.receive(sim.now, "10.0.2.2", raw)
            assert sim.log.counts["datagrams.malformed"]
        assert "10.0.0.9" not in agent.roster.by_address
