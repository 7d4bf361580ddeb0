"""The state machine of the packet service with a split route beside a plain one.

Whatever fails while a route's split changes, no open flow whose target runs is reset
or misrouted.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule
from test_packet_machine import INDEX, MIN_READY, PacketMachine
from zinniahook_testkit.packetsimulation import PacketSimulation

MAX_AGENTS = 13
SPLIT_ROUTE = 3
SPLITS = [
    {"tally": 1.0},
    {"ledger": 1.0},
    {"tally": 1.0, "ledger": 0.0},
    {"tally": 0.0, "ledger": 1.0},
    {"tally": 3.0, "ledger": 1.0},
]


class SplitMachine(PacketMachine):
    """All troubles of the machine that it extends, and changes of a split."""

    @initialize(seed=st.integers(0, 10_000), loss=st.sampled_from([0.0, 0.0, 0.02]))
    def begin(self, seed, loss):
        self.sim = PacketSimulation(seed, {"tally": 6, "ledger": 4}, loss=loss)
        self.sim.set_shares(SPLIT_ROUTE, {"tally": 1.0, "ledger": 1.0})
        self.sim.run(0.5)
        self.flows = [self.sim.open_flow() for _ in range(15)]
        self.flows += [self.sim.open_flow(SPLIT_ROUTE) for _ in range(15)]
        self.sim.run(0.5)

    @rule(count=st.integers(1, 20), route=st.sampled_from([1, SPLIT_ROUTE]))
    def open_flows(self, count, route):
        self.flows += [self.sim.open_flow(route) for _ in range(count)]

    @rule(weights=st.sampled_from(SPLITS))
    def change_the_split(self, weights):
        """Change where new flows go; open ones stay where they are."""
        self.sim.set_shares(SPLIT_ROUTE, weights)

    @rule()
    def add_an_agent(self):
        if len(self.sim.agents_by_address) < MAX_AGENTS:
            self.sim.add_agent("tally")

    @rule(index=INDEX)
    def drain_a_target(self, index):
        service = self.agent(index).service
        ready = [
            agent
            for agent in self.sim.agents_by_address.values()
            if not agent.target.leaving and agent.service == service
        ]
        if len(ready) > MIN_READY:
            ready[index % len(ready)].target.leaving = True


TestAnyTroublesOfSplits = SplitMachine.TestCase
TestAnyTroublesOfSplits.settings = settings(max_examples=60, stateful_step_count=16)


class TestTracedExamples:
    """Examples that once violated a guarantee, with their original steps."""

    def test_what_a_home_did_not_know_is_soon_asked_again(self):
        """Packets of a flow reach four other targets but not its own.

        Everything restarts, an entry asks both services of a split route, and a search
        finds the owner. When the entry gets a packet 3 s later, it still assumes that
        neither home knows the owner and starts another search.
        """
        machine = SplitMachine()
        machine.begin(loss=0.02, seed=2713)
        machine.restart_every_process(moment=0.7)
        machine.cut_an_entry_from_an_agent(one=24, other=1, pause=1.0)
        machine.restart_an_entry(index=98)
        machine.ask(seconds=3.0)
        machine.crash_a_target(index=81, pause=0.1)
        machine.restart_every_process(moment=0.1)
        machine.cut_an_entry_from_an_agent(one=47, other=93, pause=1.0)
        machine.ask(seconds=3.0)
        machine.nothing_is_broken()
        machine.teardown()

    def test_an_agent_that_runs_before_its_peers_considers_none_gone(self):
        """A flow whose target runs is reset.

        An agent restarts, and 0.1 s later every other process is killed for 1.4 s. The
        agent is home of a flow and considers peers that it has never heard from gone
        after 1.2 s.
        """
        machine = SplitMachine()
        machine.begin(loss=0.0, seed=228)
        machine.restart_an_agent(index=63, pause=0.1)
        for _ in range(3):
            machine.add_an_agent()
        machine.drain_a_target(index=14)
        machine.drain_a_target(index=42)
        machine.ask(seconds=0.02)
        machine.add_an_agent()
        machine.open_flows(count=8, route=3)
        machine.restart_every_process(moment=0.7)
        machine.teardown()

    def test_a_service_with_a_dead_target_does_not_keep_packets_from_others(self):
        """A flow's packets reach five other targets for 2.5 s but not its own.

        A route gets a new service, everything restarts, and a target of the new service
        is down. The search there waits for the agent of the dead target, and the former
        service isn't asked.
        """
        machine = SplitMachine()
        machine.begin(loss=0.02, seed=1348)
        machine.drain_a_target(index=1)
        machine.ask(seconds=0.02)
        machine.cut_an_entry_from_an_agent(one=89, other=59, pause=0.1)
        machine.restart_every_process(moment=0.3)
        machine.change_the_split(weights={"tally": 1.0, "ledger": 0.0})
        machine.cut_two_agents(one=60, other=57, pause=2.5)
        machine.crash_a_target(index=24, pause=2.5)
        machine.restart_an_entry(index=38)
        machine.restart_an_entry(index=100)
        machine.crash_a_target(index=17, pause=2.5)
        machine.restart_an_entry(index=4)
        machine.crash_a_target(index=45, pause=0.1)
        machine.restart_every_process(moment=0.05)
        machine.restart_an_entry(index=47)
        machine.cut_an_entry_from_an_agent(one=33, other=80, pause=0.1)
        machine.nothing_is_broken()
        machine.teardown()

    def test_no_answer_from_a_home_does_not_mean_that_it_does_not_know(self):
        """Packets of a flow reach four other targets but not its own.

        A home and an owner are cut off from each other, and a packet of a split route
        reaches an entry without a hint. The home forwards it without success, and the
        entry takes its silence as not knowing the owner.
        """
        machine = SplitMachine()
        machine.begin(loss=0.0, seed=84)
        machine.cut_two_agents(one=59, other=43, pause=1.0)
        machine.restart_every_process(moment=0.3)
        machine.cut_two_agents(one=36, other=57, pause=2.5)
        for moment in (0.05, 0.05, 0.02, 0.3):
            machine.restart_every_process(moment=moment)
        machine.cut_two_agents(one=84, other=71, pause=0.5)
        machine.ask(seconds=0.2)
        machine.cut_two_agents(one=82, other=93, pause=1.0)
        machine.ask(seconds=3.0)
        machine.nothing_is_broken()
        machine.teardown()

    def test_an_acknowledgement_alone_is_not_searched_for(self):
        """A flow's last packet reaches five other targets but not its own.

        Every process restarts. The owner is found through one home, and the client's
        acknowledgement goes through another. That home searches for a packet that the
        target doesn't wait for.
        """
        machine = SplitMachine()
        machine.begin(loss=0.0, seed=8897)
        machine.ask(seconds=1.0)
        machine.restart_every_process(moment=0.3)
        machine.ask(seconds=0.02)
        machine.add_an_agent()
        machine.crash_a_target(index=66, pause=0.5)
        machine.add_an_agent()
        machine.ask(seconds=0.2)
        machine.add_an_agent()
        machine.add_an_agent()
        machine.restart_an_entry(index=52)
        machine.restart_an_entry(index=82)
        machine.crash_a_target(index=20, pause=1.0)
        machine.open_flows(count=12, route=3)
        machine.cut_two_agents(one=11, other=79, pause=0.5)
        machine.restart_every_process(moment=0.1)
        machine.nothing_is_broken()
        machine.teardown()

    def test_a_home_waits_for_its_own_target_first(self):
        """Three other targets get a packet 4 ms after its own.

        Every process restarts. The owner's agent is the home and tries the packet at
        its target, but asks peers before a target can have kept a packet twice.
        """
        machine = SplitMachine()
        machine.begin(loss=0.0, seed=2065)
        machine.add_an_agent()
        machine.ask(seconds=1.0)
        machine.cut_an_entry_from_an_agent(one=50, other=4, pause=0.1)
        machine.open_flows(count=13, route=3)
        machine.ask(seconds=1.0)
        machine.cut_an_entry_from_an_agent(one=50, other=4, pause=0.1)
        machine.open_flows(count=12, route=3)
        machine.restart_every_process(moment=0.02)
        machine.open_flows(count=14, route=3)
        machine.cut_two_agents(one=55, other=24, pause=0.5)
        machine.add_an_agent()
        machine.cut_two_agents(one=51, other=80, pause=1.0)
        machine.open_flows(count=1, route=1)
        machine.ask(seconds=3.0)
        machine.nothing_is_broken()
        machine.teardown()

    def test_overlapping_restarts_with_loss(self):
        """Packets of three flows reach three or more other targets but not their own.

        Within 1.3 s every process restarts twice and single agents restart, and 2 % of
        datagrams are lost; the packets are misrouted for 2 s. For the first flow, two
        homes of one service are asked by two entries and search while an agent there is
        down. Their waves reach more targets after the owner is found in the other
        service. This cause isn't fixed.
        """
        machine = SplitMachine()
        machine.begin(seed=3833, loss=0.02)
        machine.change_the_split(weights={"tally": 1.0})
        machine.ask(seconds=0.2)
        machine.restart_every_process(moment=0.05)
        machine.drain_a_target(index=15)
        machine.restart_an_agent(index=33, pause=2.5)
        machine.change_the_split(weights={"tally": 1.0, "ledger": 0.0})
        machine.open_flows(count=6, route=1)
        machine.ask(seconds=1.0)
        machine.add_an_agent()
        machine.restart_every_process(moment=0.0)
        machine.restart_an_agent(index=71, pause=1.0)
        machine.add_an_agent()
        machine.ask(seconds=0.2)
        machine.open_flows(count=5, route=1)
        machine.restart_an_agent(index=94, pause=2.5)
        machine.nothing_is_broken()
        machine.teardown()

    def test_a_search_goes_on_in_one_service_after_another_has_the_owner(self):
        """Four targets of one service get a packet after the owner is found in another.

        Targets of the first service are down, so its search takes longer, and another
        entry finds the owner meanwhile. The searching home isn't notified. A message
        from the entry that learns the owner doesn't help, as the search belongs to
        another entry. This cause isn't fixed.
        """
        machine = SplitMachine()
        machine.begin(loss=0.02, seed=10000)
        machine.ask(seconds=1.0)
        machine.crash_a_target(index=58, pause=2.5)
        machine.restart_every_process(moment=0.1)
        machine.add_an_agent()
        machine.change_the_split(weights={"tally": 0.0, "ledger": 1.0})
        machine.cut_an_entry_from_an_agent(one=20, other=98, pause=1.0)
        machine.ask(seconds=0.02)
        machine.restart_an_agent(index=65, pause=1.0)
        machine.change_the_split(weights={"tally": 0.0, "ledger": 1.0})
        machine.crash_a_target(index=80, pause=2.5)
        machine.crash_a_target(index=35, pause=2.5)
        machine.restart_every_process(moment=0.3)
        machine.crash_a_target(index=58, pause=2.5)
        machine.crash_a_target(index=34, pause=0.1)
        machine.drain_a_target(index=73)
        machine.nothing_is_broken()
        machine.teardown()

    def test_an_agent_that_was_heard_for_a_moment_only(self):
        """Flows of a running target are reset 1.2 s after everything restarts.

        The target's agent runs for 0.05 s, reports no target yet, and is down for
        2.5 s. An agent that has never reported a target is considered gone after 1.2 s,
        unless most agents are silent. This cause isn't fixed.
        """
        machine = SplitMachine()
        machine.begin(loss=0.0, seed=256)
        machine.drain_a_target(index=79)
        machine.restart_every_process(moment=0.05)
        machine.cut_an_entry_from_an_agent(one=15, other=35, pause=0.5)
        machine.add_an_agent()
        machine.drain_a_target(index=4)
        machine.ask(seconds=0.02)
        machine.restart_an_agent(index=90, pause=2.5)
        machine.drain_a_target(index=7)
        machine.change_the_split(weights={"ledger": 1.0})
        machine.cut_an_entry_from_an_agent(one=74, other=75, pause=1.0)
        machine.cut_an_entry_from_an_agent(one=97, other=100, pause=2.5)
        machine.add_an_agent()
        machine.change_the_split(weights={"tally": 1.0})
        machine.drain_a_target(index=7)
        machine.change_the_split(weights={"ledger": 1.0})
        machine.nothing_is_broken()
        machine.teardown()

    def test_an_agent_that_was_heard_for_a_moment_only_with_loss(self):
        """Questions of a search are lost during an agent's outage."""
        machine = SplitMachine()
        machine.begin(loss=0.02, seed=30007)
        machine.drain_a_target(index=79)
        machine.restart_every_process(moment=0.05)
        machine.cut_an_entry_from_an_agent(one=15, other=35, pause=0.5)
        machine.add_an_agent()
        machine.drain_a_target(index=4)
        machine.ask(seconds=0.02)
        machine.restart_an_agent(index=90, pause=2.5)
        machine.drain_a_target(index=7)
        machine.change_the_split(weights={"ledger": 1.0})
        machine.cut_an_entry_from_an_agent(one=74, other=75, pause=1.0)
        machine.cut_an_entry_from_an_agent(one=97, other=100, pause=2.5)
        machine.add_an_agent()
        machine.change_the_split(weights={"tally": 1.0})
        machine.drain_a_target(index=7)
        machine.change_the_split(weights={"ledger": 1.0})
        machine.nothing_is_broken()
        machine.teardown()
