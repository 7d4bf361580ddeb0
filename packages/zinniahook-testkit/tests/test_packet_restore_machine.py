"""The state machine of the packet service with restores of the store.

It adds evacuations of data centres and restores of the store from older copies to the
faults of the machine with splits. Open flows keep their targets, and an order is in
force within its time limit.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from test_packet_machine import SETTLE_SECONDS
from test_packet_split_machine import SplitMachine
from zinniahook_testkit.packetsimulation import DATA_CENTRES
from zinniahook_testkit.packetstores import OPERATOR_DELAY_SECONDS

IN_FORCE_SECONDS = 5.0
"""The limit that operators are given."""


class RestoreMachine(SplitMachine):
    """All troubles of the machine that it extends, and restores of the store."""

    ordered_at = float("inf")

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0]))
    def restore_the_store(self, seconds):
        self.sim.store.restore(seconds)
        if self.sim.evacuated:
            # Nobody remembers an order if everything restarts before it is
            # written again.
            self.ordered_at = max(
                self.ordered_at, self.sim.now + OPERATOR_DELAY_SECONDS
            )

    @rule(centre=st.sampled_from(DATA_CENTRES))
    def evacuate(self, centre):
        if self.sim.evacuated != {centre}:
            self.sim.evacuate(centre)
            self.ordered_at = self.sim.now

    @rule()
    def take_the_order_back(self):
        self.sim.evacuate()
        self.ordered_at = float("inf")

    @invariant()
    def orders_are_in_force(self):
        if hasattr(self, "sim"):
            openings = self.sim.evacuated_openings
            since = self.ordered_at + IN_FORCE_SECONDS
            assert [row for row in openings if row[0] >= since] == []

    def teardown(self):
        if hasattr(self, "sim"):
            self.take_the_order_back()
            self.sim.run(2 * OPERATOR_DELAY_SECONDS)
        super().teardown()


TestAnyTroublesOfRestores = RestoreMachine.TestCase
TestAnyTroublesOfRestores.settings = settings(max_examples=40, stateful_step_count=16)


class TestTracedExamples:
    """Examples that once violated a guarantee, with their original steps."""

    def test_flows_of_a_former_service_are_found_after_a_restore(self):
        """A service that a route led to before a restore is forgotten."""
        machine = RestoreMachine()
        machine.begin(seed=67, loss=0.02)
        machine.restore_the_store(seconds=5.0)
        machine.change_the_split(weights={"ledger": 1.0})
        machine.restart_every_process(moment=0.0)
        machine.nothing_is_broken()
        machine.teardown()

    def test_owners_are_reached_though_everything_runs_for_a_moment(self):
        """Flows are misrouted in the short times between restarts of everything."""
        misrouted = []
        for seed in (7172, 7186, 7189, 7196, 7197):
            machine = RestoreMachine()
            machine.begin(seed=seed, loss=0.0)
            machine.ask(seconds=0.2)
            machine.add_an_agent()
            machine.ask(seconds=1.0)
            machine.restart_every_process(moment=0.02)
            machine.restart_every_process(moment=0.7)
            machine.ask(seconds=0.2)
            machine.ask(seconds=3.0)
            machine.restart_every_process(moment=0.3)
            machine.restart_every_process(moment=0.3)
            machine.add_an_agent()
            machine.ask(seconds=0.2)
            machine.restart_every_process(moment=0.7)
            machine.ask(seconds=0.02)
            machine.restart_every_process(moment=0.7)
            machine.restart_every_process(moment=0.7)
            machine.sim.run(SETTLE_SECONDS)
            misrouted += machine.sim.findings()
        assert misrouted == []

    def test_flows_are_found_after_a_route_has_left_their_service(self):
        """Other targets get packets of open flows after a series of changes."""
        machine = RestoreMachine()
        machine.begin(seed=9003, loss=0.0)
        machine.add_an_agent()
        machine.add_an_agent()
        machine.restore_the_store(seconds=2.0)
        machine.restart_every_process(moment=0.1)
        machine.ask(seconds=3.0)
        machine.ask(seconds=0.02)
        machine.add_an_agent()
        machine.evacuate(centre="c")
        machine.add_an_agent()
        machine.add_an_agent()
        machine.evacuate(centre="b")
        machine.change_the_split(weights={"ledger": 1.0})
        machine.add_an_agent()
        machine.restart_an_entry(index=88)
        machine.evacuate(centre="c")
        machine.nothing_is_broken()
        machine.teardown()
