"""Targets that answer an opening after their agent has withdrawn it."""

import pytest
from zinniahook_core.packets import Flag
from zinniahook_core.packets.tunnel import Head, Kind, Mark, tag
from zinniahook_testkit.packetendpoints import flow_key
from zinniahook_testkit.packetsimulation import PacketSimulation

FLOW = flow_key("100.64.0.1", 1024, "198.18.0.1", 8443)
CLIENT_FIRST, TARGET_FIRST = 7000, 90_000
SILENT_FOR = 0.3
"""Seconds without an answer; the agent withdraws its opening after 0.1 s."""


class Recorded:
    """The links of one agent, which record packets to the target."""

    def __init__(self):
        self.given = []
        self.resets = []

    def to_target(self, raw):
        self.given.append(raw)

    def to_client(self, flow, raw):
        if raw[12] & Flag.RESET:
            self.resets.append(raw)

    def to_peer(self, address, data):
        """Do nothing, as there is no peer."""


class TestOpeningsThatAreAnsweredLate:
    """A flow is reset while it opens, although its target holds it.

    A target pauses briefly, and its agent withdraws the opening. Then the target
    answers, and a copy of the opening and the client's first data arrive. If the copy
    is treated as another opening, the agent forgets the target's initial number until
    the target repeats it.
    """

    @pytest.fixture
    def sim(self):
        return PacketSimulation(0, {"tally": 1}, entries=1)

    @pytest.fixture
    def agent(self, sim):
        (agent,) = sim.agents_by_address.values()
        agent.core.links = agent.core.trials._links = Recorded()
        return agent.core

    def forward(self, sim, agent, flags, sequence, acknowledged, data=b"", marks=0):
        raw = sim.codec.write(FLOW, flags, sequence, acknowledged, data)
        (entry,) = sim.entries_by_address
        head = Head(
            Kind.FORWARD,
            marks=marks,
            entry=entry,
            service=tag("tally"),
            version=agent.routes.version,
        )
        agent.handle(sim.now, entry, head, raw)
        return raw

    def answer(self, sim, agent):
        flags = Flag.OPENING | Flag.ACKNOWLEDGES
        raw = sim.codec.write(FLOW, flags, TARGET_FIRST, CLIENT_FIRST + 1)
        agent.from_target(sim.now, raw)

    def ask(self, sim, agent):
        sequence, acknowledged = CLIENT_FIRST + 1, TARGET_FIRST + 1
        return self.forward(
            sim, agent, Flag.ACKNOWLEDGES, sequence, acknowledged, b"GET"
        )

    def open_late(self, sim, agent):
        """Answer an opening at the target after its agent has withdrawn it."""
        opening = Flag.OPENING, CLIENT_FIRST, 0
        self.forward(sim, agent, *opening, marks=Mark.PLACED)
        sim.run(SILENT_FOR)
        assert agent.flows.get(FLOW) is None
        self.answer(sim, agent)

    def test_the_first_data_reaches_the_target(self, sim, agent):
        self.open_late(sim, agent)
        copy = Flag.OPENING, CLIENT_FIRST, 1
        self.forward(sim, agent, *copy, marks=Mark.PLACED)
        data = self.ask(sim, agent)
        assert agent.links.given[-1] == data
        assert agent.links.resets == []

    def test_also_without_a_copy(self, sim, agent):
        self.open_late(sim, agent)
        data = self.ask(sim, agent)
        assert agent.links.given[-1] == data

    def test_data_for_another_target_does_not(self, sim, agent):
        """The client chose another target that answered sooner."""
        self.open_late(sim, agent)
        sequence, acknowledged = CLIENT_FIRST + 1, TARGET_FIRST + (1 << 20)
        data = self.forward(
            sim, agent, Flag.ACKNOWLEDGES, sequence, acknowledged, b"GET"
        )
        assert data not in agent.links.given

    def test_another_opening_from_the_port_is_a_new_one(self, sim, agent):
        self.open_late(sim, agent)
        self.ask(sim, agent)
        again = Flag.OPENING, CLIENT_FIRST + 500_000, 0
        self.forward(sim, agent, *again, marks=Mark.PLACED)
        assert agent.flows.get(FLOW).target_isn is None
