"""A state machine of the packet service: any faults in any order.

Restarts, crashes, cut links, drains and joins overlap while clients open and use
flows. No flow whose target runs is reset or misrouted, no leaving target takes
openings, and every flow that a target holds is served once the faults have ended.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from zinniahook_testkit.packetsimulation import PacketSimulation

INDEX = st.integers(0, 100)
MOMENT = st.sampled_from([0.0, 0.02, 0.05, 0.1, 0.3, 0.7])
OUTAGE = st.sampled_from([0.1, 0.5, 1.0, 2.5])
"""Seconds for which a process, a target or a link is down. An outage of over 4 s may
end flows, as no agent knows then whether they are still open."""

SETTLE_SECONDS = 6.0
MAX_AGENTS = 9
MIN_READY = 3


class PacketMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 10_000), loss=st.sampled_from([0.0, 0.0, 0.02]))
    def begin(self, seed, loss):
        self.sim = PacketSimulation(seed, loss=loss)
        self.flows = [self.sim.open_flow() for _ in range(30)]
        self.sim.run(0.5)

    def agent(self, index):
        agents = list(self.sim.agents_by_address.values())
        return agents[index % len(agents)]

    def entry(self, index):
        entries = list(self.sim.entries_by_address)
        return entries[index % len(entries)]

    @rule(count=st.integers(1, 20))
    def open_flows(self, count):
        self.flows += [self.sim.open_flow() for _ in range(count)]

    @rule(seconds=st.sampled_from([0.02, 0.2, 1.0, 3.0]))
    def ask(self, seconds):
        """Let clients use their flows, whatever troubles there are."""
        for flow in self.flows:
            self.sim.ask(flow)
        self.sim.run(seconds)

    @rule(index=INDEX, pause=OUTAGE)
    def restart_an_agent(self, index, pause):
        agent = self.agent(index)
        agent.core = None
        self.sim.at(pause, lambda: self.sim.start_agent(agent))

    @rule(index=INDEX)
    def restart_an_entry(self, index):
        self.sim.start_entry(self.entry(index))

    @rule(index=INDEX, pause=OUTAGE)
    def crash_a_target(self, index, pause):
        agent = self.agent(index)
        agent.target.alive = False
        self.sim.at(pause, lambda: self.sim.start_target(agent))

    @rule(moment=MOMENT)
    def restart_every_process(self, moment):
        for agent in self.sim.agents_by_address.values():
            agent.core = None
        self.sim.run(moment)
        for address in self.sim.entries_by_address:
            self.sim.start_entry(address)
        self.sim.run(moment)
        for agent in self.sim.agents_by_address.values():
            self.sim.start_agent(agent)

    @rule(moment=MOMENT)
    def lose_power(self, moment):
        for agent in self.sim.agents_by_address.values():
            agent.core = None
            agent.target.alive = False
        self.sim.run(1.0)
        for address in self.sim.entries_by_address:
            self.sim.start_entry(address)
        for agent in self.sim.agents_by_address.values():
            self.sim.start_target(agent)
            self.sim.start_agent(agent)
            self.sim.run(moment / 10)

    @rule(one=INDEX, other=INDEX, pause=OUTAGE)
    def cut_two_agents(self, one, other, pause):
        self.cut(self.agent(one).address, self.agent(other).address, pause)

    @rule(one=INDEX, other=INDEX, pause=OUTAGE)
    def cut_an_entry_from_an_agent(self, one, other, pause):
        self.cut(self.entry(one), self.agent(other).address, pause)

    def cut(self, one, other, pause):
        cut = frozenset((one, other))
        self.sim.cut.add(cut)
        self.sim.at(pause, lambda: self.sim.cut.discard(cut))

    @rule()
    def add_an_agent(self):
        if len(self.sim.agents_by_address) < MAX_AGENTS:
            self.sim.add_agent("tally")

    @rule(index=INDEX)
    def drain_a_target(self, index):
        agents = self.sim.agents_by_address.values()
        ready = [agent for agent in agents if not agent.target.leaving]
        if len(ready) > MIN_READY:
            ready[index % len(ready)].target.leaving = True

    @invariant()
    def nothing_is_broken(self):
        if hasattr(self, "sim"):
            assert self.sim.findings() == []

    def teardown(self):
        if not hasattr(self, "sim"):
            return
        sim = self.sim
        sim.run(SETTLE_SECONDS)
        held = [flow for flow in self.flows if sim.is_held(flow)]
        held = [flow for flow in held if flow.state == "open"]
        before = [len(flow.answers) for flow in held]
        for flow in held:
            sim.ask(flow)
        fresh = [sim.open_flow() for _ in range(10)]
        sim.run(SETTLE_SECONDS)
        unanswered = [
            flow.key.hex()
            for flow, had in zip(held, before, strict=True)
            if len(flow.answers) == had
        ]
        assert unanswered == []
        assert {flow.state for flow in fresh} == {"open"}
        assert sim.findings() == []


TestAnyTroubles = PacketMachine.TestCase
TestAnyTroubles.settings = settings(max_examples=60, stateful_step_count=16)
