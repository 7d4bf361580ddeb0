"""The packet service in a simulated world: flows keep their targets."""

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
    """Symptom: flows move to targets that were added.

    Sequence: agents join, so that homes change while flows are open. Cause:
    a new home knows none of the flows that it is asked for.
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
    """Symptom: clients wait until their time is over though others are free.

    Sequence: a target crashes; later it starts again without its flows.
    Cause: nobody tells the clients of its flows, and openings go on being
    placed there since its agent lives.
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
        # Older than a heartbeat may be late: surely the former target's.
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
    """Symptom: a target that has crashed gets the openings of the others.

    Sequence: it runs again without its flows and resets what comes for them,
    each within a millisecond. Cause: the reset counted as an answer, so that
    its mean answer time fell, and the log told of an answer.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_reset_is_no_answer(self, seed):
        sim = PacketSimulation(seed)
        flows = open_flows(sim)
        count_new_answers(sim, flows)
        crashed = next(iter(sim.agents_by_address.values()))
        usual = crashed.core.target.answer_time
        told = sim.log.counts["request.answered"]
        sim.start_target(crashed)
        crashed.target.resets_unknown = True
        lost = [flow for flow in flows if not sim.is_held(flow)]
        for flow in lost:
            sim.ask(flow)
        sim.run(0.05)
        assert {flow.state for flow in lost} == {"reset"}
        assert sim.log.counts["request.reset"] == len(lost)
        assert sim.log.counts["request.answered"] == told
        assert crashed.core.target.answer_time == usual


class TestRestartedTarget:
    """Symptom: open flows of a healthy target are reset.

    Sequence: a target crashes and starts again, takes flows, and only then
    sends its first heartbeat. Cause: the heartbeat of a new target ended all
    flows that its agent knew, also those of the new target.
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
    """Symptom: flows of a healthy target are reset.

    Sequence: a target crashes, its agent restarts; another agent restarts and
    its flows are searched for. Cause: the first agent took a dead target's
    silence for a flow that is held, claimed it, and reset it with the others.
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
    """Symptom: a flow is reset some milliseconds after it opened.

    Sequence: two targets answer copies of one opening, the client chooses one,
    its next packet comes to the other one's agent by way of a hint. Cause: the
    numbers of the two lay near each other, as one pair in 256 does, so that the
    packet passed for the wrong target's; that returned it, and its agent ended
    the flow as lost.
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
    """Symptom: a client waits for 1.4 s though no target can take it.

    Sequence: every target returns the opening. Cause: only a reset tells the
    client that it may try later.
    """

    def test_one_full_target_is_passed_over(self):
        sim = PacketSimulation(1)
        full = next(iter(sim.agents_by_address.values())).target
        full.full = True
        # As many as the others have slots, so that none has to wait.
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
    """Symptom: a leaving target gets new flows.

    Sequence: a target says that it leaves, while homes place openings by
    older statuses. Cause: only its own agent knows at once.
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
    """Symptom: a ticket reaches the ledger's target.

    Sequence: a machine ends and its address serves another service, while
    entries and homes still have it as an agent of the former one. Cause: an
    address alone doesn't tell which service is there.
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
    """Symptom: a request runs on a route that was removed.

    Sequence: the operator drops the only route of a service; some daemons
    hear of it late. Cause: an entry with the old version still forwards.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_whoever_knows_refuses(self, seed):
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
    """Symptom: flows of an agent that is gone are never reset.

    Sequence: an agent ends for good; its peers go on telling each other of it.
    Cause: each takes the other's word for a sign of life.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_nobody_hears_it_from_others(self, seed):
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
    """Symptom: a daemon handles no datagram of another version's daemon.

    Sequence: that one tells rows of another shape. Cause: an exception while a
    datagram is read.
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
