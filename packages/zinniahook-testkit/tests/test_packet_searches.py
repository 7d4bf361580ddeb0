"""Searches for owners of flows, also where several services may hold them."""

import random

import pytest
from packet_helpers import count_new_answers, open_flows
from test_packet_machine import SETTLE_SECONDS, PacketMachine
from test_packet_restore_machine import RestoreMachine
from test_packet_split_machine import SPLIT_ROUTE, SplitMachine
from zinniahook_core.packets import tunnel
from zinniahook_testkit.packetsimulation import PacketSimulation

SEEDS = range(8)
AWAY_SECONDS = 2.5
"""Seconds for which an agent is down."""


def restarted_simulation(seed, loss):
    """Return a simulation whose processes restart twice, and its flows."""
    sim = PacketSimulation(seed, {"tally": 6, "ledger": 4}, loss=loss)
    sim.set_shares(SPLIT_ROUTE, {"tally": 1.0, "ledger": 1.0})
    sim.run(0.5)
    flows = [sim.open_flow(SPLIT_ROUTE) for _ in range(20)]
    sim.run(1.0)
    for pause in (0.1, 0.0):
        for agent in sim.agents_by_address.values():
            agent.core = None
        sim.run(pause)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        sim.run(0.1)
    return sim, flows


def restart_twice(machine, seed):
    """Restart everything twice while requests are in progress."""
    machine.begin(seed=seed, loss=0.02)
    for _ in range(3):
        machine.add_an_agent()
    machine.ask(seconds=0.02)
    machine.restart_every_process(moment=0.0)
    machine.restart_every_process(moment=0.05)
    machine.teardown()


class TestSearchesOfSplitRoutes:
    @pytest.mark.parametrize("loss", [0.0, 0.02])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_end_once_the_owner_is_found_elsewhere(self, seed, loss):
        """Packets reach targets of a service that doesn't own the flow."""
        machine = SplitMachine()
        machine.begin(seed=seed, loss=loss)
        machine.restart_every_process(moment=0.05)
        machine.restart_an_agent(index=33, pause=AWAY_SECONDS)
        machine.ask(seconds=1.0)
        machine.restart_every_process(moment=0.0)
        machine.restart_an_agent(index=71, pause=1.0)
        machine.ask(seconds=0.2)
        machine.restart_an_agent(index=94, pause=AWAY_SECONDS)
        machine.nothing_is_broken()
        machine.teardown()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_reach_an_owner_that_its_home_is_cut_off_from(self, seed):
        """A search continues elsewhere for an owner that an entry has learned."""
        sim, flows = restarted_simulation(seed, 0.0)
        agents = list(sim.agents_by_address)
        for one, other in zip(agents[:3], agents[3:6], strict=True):
            sim.cut.add(frozenset((one, other)))
        for flow in flows:
            sim.ask(flow)
        sim.run(6.0)
        assert sim.findings() == []

    def test_end_once_the_packet_is_answered(self):
        """A search continues for a packet whose client has its answer."""
        machine = SplitMachine()
        machine.begin(seed=40005, loss=0.0)
        for _ in range(4):
            machine.add_an_agent()
        machine.ask(seconds=0.02)
        machine.cut_two_agents(one=46, other=11, pause=0.1)
        machine.add_an_agent()
        machine.cut_an_entry_from_an_agent(one=0, other=86, pause=0.1)
        machine.restart_an_agent(index=72, pause=1.0)
        machine.add_an_agent()
        machine.add_an_agent()
        machine.restart_every_process(moment=0.1)
        machine.crash_a_target(index=4, pause=0.5)
        machine.cut_two_agents(one=81, other=100, pause=0.5)
        machine.teardown()

    def test_reach_an_owner_whose_agent_runs_for_a_moment(self):
        """A search waits for the repeat of a lost question."""
        misrouted = []
        for seed in range(31010, 31026):
            machine = SplitMachine()
            machine.begin(seed=seed, loss=0.02)
            machine.drain_a_target(index=79)
            machine.restart_every_process(moment=0.05)
            machine.cut_an_entry_from_an_agent(one=15, other=35, pause=0.5)
            machine.add_an_agent()
            machine.ask(seconds=0.02)
            machine.restart_an_agent(index=90, pause=AWAY_SECONDS)
            machine.sim.run(SETTLE_SECONDS)
            misrouted += machine.sim.findings()
        assert misrouted == []

    def test_reach_such_an_owner_though_two_datagrams_are_lost(self):
        """Flows are misrouted if a question and its early repeat are lost."""
        misrouted = []
        for seed in (110010, 110085, 110109, 110127, 110132):
            machine = SplitMachine()
            machine.begin(seed=seed, loss=0.02)
            machine.drain_a_target(index=79)
            machine.restart_every_process(moment=0.05)
            machine.cut_an_entry_from_an_agent(one=15, other=35, pause=0.5)
            machine.add_an_agent()
            machine.ask(seconds=0.02)
            machine.restart_an_agent(index=90, pause=AWAY_SECONDS)
            machine.sim.run(SETTLE_SECONDS)
            misrouted += machine.sim.findings()
        assert misrouted == []


class TestSearchesOfPlainRoutes:
    def test_find_flows_after_one_agent_was_restarted(self):
        """A search pauses although no other service could continue it."""
        sim = PacketSimulation(1, {"tally": 6})
        flows = open_flows(sim, 20)
        for agent in sim.agents_by_address.values():
            sim.start_agent(agent)
        sim.run(0.2)
        assert count_new_answers(sim, flows, 3.0) == [1] * 20


def cut_and_restart(machine, seed, loss):
    """Cut six pairs of agents off from each other as everything restarts."""
    rng = random.Random(seed)
    machine.begin(seed=seed, loss=loss)
    for _ in range(3):
        machine.add_an_agent()
    machine.ask(seconds=0.2)
    for _ in range(6):
        one, other = rng.randrange(100), rng.randrange(100)
        machine.cut_two_agents(one=one, other=other, pause=AWAY_SECONDS)
    machine.restart_every_process(moment=0.05)
    machine.ask(seconds=0.2)
    machine.teardown()


class TestOwnersAskedByWayOfPeers:
    def test_are_waited_for_before_more_agents_are_asked(self):
        """Flows are misrouted while a home is cut off from the owner."""
        for seed in (3004, 3023, 3055, 3069, 3077, 3082, 3098):
            cut_and_restart(PacketMachine(), seed, 0.0)

    def test_are_found_though_two_homes_are_cut_off(self):
        """An owner forwards its own flow to a home that it can't reach."""
        cut_and_restart(SplitMachine(), 1001, 0.0)

    def test_are_found_though_a_data_centre_is_evacuated(self):
        """Flows are misrouted if links are cut while a data centre is evacuated."""
        machine = RestoreMachine()
        machine.begin(seed=5015, loss=0.0)
        machine.restart_every_process(moment=0.1)
        machine.evacuate("b")
        for _ in range(3):
            machine.add_an_agent()
        machine.crash_a_target(index=0, pause=AWAY_SECONDS)
        machine.cut_an_entry_from_an_agent(one=0, other=3, pause=0.5)
        machine.restart_an_entry(index=1)
        machine.cut_two_agents(one=1, other=5, pause=AWAY_SECONDS)
        machine.restart_an_entry(index=2)
        machine.cut_two_agents(one=2, other=7, pause=1.0)
        machine.drain_a_target(index=6)
        machine.ask(seconds=1.0)
        machine.take_the_order_back()
        machine.nothing_is_broken()
        machine.teardown()


class TestOwnersThatTellUnasked:
    """Owners whose target answers during a search for its flow."""

    @pytest.mark.parametrize(
        ("machine", "seed"),
        [
            *((PacketMachine, seed) for seed in (6, 14, 17, 21)),
            *((RestoreMachine, seed) for seed in (10, 16, 23, 115)),
        ],
    )
    def test_get_the_packet_that_began_the_search(self, machine, seed):
        """A packet is dropped because its owner wasn't asked."""
        restart_twice(machine(), seed)

    def test_get_what_an_entry_keeps(self):
        """A packet is dropped whose owner a home reports but can't reach."""
        sim = PacketSimulation(1, {"tally": 4, "ledger": 4})
        sim.set_shares(SPLIT_ROUTE, {"tally": 1.0, "ledger": 1.0})
        sim.run(0.5)
        flow = sim.open_flow(SPLIT_ROUTE)
        sim.run(1.0)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        agents = list(sim.agents_by_address.values())
        owner = next(agent for agent in agents if agent.core.flows.get(flow.key))
        home = next(agent for agent in agents if agent is not owner)
        for agent in agents:
            if agent is not owner:
                agent.core = None
        sim.run(0.1)
        answers = len(flow.answers)
        sim.ask(flow)
        sim.run(0.01)
        for entry in sim.entries_by_address.values():
            head = tunnel.Head(tunnel.Kind.OWNER, service=tunnel.tag(owner.service))
            body = tunnel.encode_owner(owner.address, [flow.key])
            entry.receive(sim.now, home.address, tunnel.encode(head, body))
        sim.run(0.1)
        assert len(flow.answers) == answers + 1

    def test_get_it_though_they_were_asked(self):
        """A lost question is treated as one that has arrived."""
        restart_twice(SplitMachine(), 2018)

    def test_get_it_though_it_is_lost_on_the_way(self):
        """An entry drops a packet when its client's next packet arrives."""
        restart_twice(SplitMachine(), 2056)


class TestHomesThatHaveJustJoined:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_reset_no_flow_of_an_agent_that_only_peers_have_heard(self, seed):
        """An agent is considered gone that peers have heard from recently."""
        sim = PacketSimulation(seed, {"tally": 6})
        flows = open_flows(sim, 150, 3.0)
        away, *others = sim.agents_by_address.values()
        away.core = None
        for agent in others:
            sim.start_agent(agent)
        for address in sim.entries_by_address:
            sim.start_entry(address)
        link = frozenset((sim.add_agent("tally").address, away.address))
        sim.run(0.01)
        sim.cut.add(link)
        sim.start_agent(away)
        sim.run(0.02)
        sim.cut.discard(link)
        away.core = None
        sim.at(AWAY_SECONDS, lambda: sim.start_agent(away))
        sim.run(1.3)
        for flow in flows:
            sim.ask(flow)
        sim.run(6.0)
        assert sim.findings() == []
