"""Forecast of the requests of open flows, and placement by it."""

import random

import pytest
from zinniahook_core.packets import State
from zinniahook_core.packets.flows import Flow, Flows, FlowState
from zinniahook_core.packets.forecasts import (
    DEFAULT_BUSY_SHARE,
    DEFAULT_LATER_REQUESTS,
    MAX_LATER_REQUESTS,
    SAMPLE_INTERVAL_SECONDS,
    Forecast,
    decode_expected_busy,
    encode_expected_busy,
)
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.placement import (
    MAX_ADVANTAGE,
    choose,
    expected_busy,
    expected_loads,
)
from zinniahook_core.packets.sections import Section

ZONE = 1
ROUTE = b"routed"
SLOTS = 4
STARTED = 100.0
SWEEPS = 60


def key(number, route=ROUTE):
    return number.to_bytes(6, "big") + route


def member(number, expected=None, busy=0.0, warming=0.0, flows=0):
    """Return a member that expects so many requests from its open flows."""
    found = Member(f"10.0.0.{number}", ZONE, state=State.READY, slots=SLOTS)
    found.busy, found.warming, found.flows = busy, warming, flows
    if expected is not None:
        found.sections = {Section.WORK: encode_expected_busy(expected)}
    return found


def chosen(members, later, seed=0):
    return choose(members, ZONE, 0.1, random.Random(seed), later).address


class TestLearning:
    """Busy shares and later requests, as an agent samples its flows."""

    def simulate(self, busy, request_count, count=20):
        """Return a forecast for flows that are busy in turn."""
        flows = Flows()
        for number in range(count):
            flow = Flow(
                key(number), FlowState.OPEN, STARTED, "", request_count=request_count
            )
            flows.add(flow)
        work = Forecast(flows)
        for sweep in range(SWEEPS):
            for number, flow in enumerate(flows.by_key.values()):
                is_busy = (number + sweep) % count < busy * count
                flow.requested_at = STARTED if is_busy else None
            work.tick(STARTED + sweep * SAMPLE_INTERVAL_SECONDS)
        return work

    def test_share_and_expected_requests(self):
        work = self.simulate(busy=0.25, request_count=3)
        assert work.share(ROUTE) == pytest.approx(0.25, abs=0.03)
        assert work.expected_busy == pytest.approx(20 * 0.25, abs=0.6)

    def test_requests_to_come(self):
        assert self.simulate(0.25, request_count=3).later(ROUTE) == pytest.approx(2.0)
        assert self.simulate(0.25, request_count=50).later(ROUTE) == MAX_LATER_REQUESTS

    def test_a_flow_for_each_request_brings_no_more(self):
        assert self.simulate(1.0, request_count=1).later(ROUTE) == 0.0

    def test_unknown_routes_count_as_usual(self):
        work = Forecast(Flows())
        assert work.share(ROUTE) == DEFAULT_BUSY_SHARE
        assert work.later(ROUTE) == DEFAULT_LATER_REQUESTS

    def test_ended_flows_bring_nothing(self):
        """A target that lost its flows must get new ones.

        All its flows close but stay known for seconds. Closed flows must not count as
        open.
        """
        work = self.simulate(busy=0.25, request_count=3)
        for flow in work._flows.by_key.values():
            flow.state = FlowState.CLOSED
        work.tick(STARTED + 100.0)
        work.tick(STARTED + 101.0)
        assert work.expected_busy == 0.0

    def test_requests_of_a_flow_are_counted_once(self):
        flows = Flows()
        flow = flows.add(Flow(key(1), FlowState.OPEN, STARTED, ""))
        flows.asked(STARTED, flow)
        flows.asked(STARTED, flow)
        flows.answered(STARTED + 1, flow)
        flows.asked(STARTED + 2, flow)
        assert flow.request_count == 2

    def test_it_is_encoded_in_two_bytes(self):
        assert decode_expected_busy(encode_expected_busy(1.25)) == 1.25
        assert len(encode_expected_busy(1e9)) == 2
        assert decode_expected_busy(b"1") is None


class TestPooling:
    """Shares that agents exchange."""

    def learned(self, busy):
        return TestLearning().simulate(busy, request_count=3)

    def test_all_use_the_mean(self):
        """Targets with a third fewer flows than others must get more of them.

        The few flows of one agent are busier than usual for a while. If each agent
        considered its own flows typical, this one would report as much expected work as
        the others.
        """
        one, other = self.learned(0.1), self.learned(0.3)
        told = [one.section(), other.section()]
        for work in (one, other):
            assert work.is_due(STARTED)
            work.pool(STARTED, told)
            assert work.share(ROUTE) == pytest.approx(0.2, abs=0.02)
            assert not work.is_due(STARTED + 0.5)

    def test_a_new_agent_uses_the_others_shares(self):
        new = Forecast(Flows())
        new.pool(STARTED, [b"", self.learned(0.3).section(), new.section(), b"torn"])
        assert new.share(ROUTE) == pytest.approx(0.3, abs=0.03)


class TestPlacing:
    """Which member opens a flow."""

    def test_a_long_flow_goes_where_little_is_expected(self):
        """A minute after a loss, no target may have twice the work of others.

        Flows return at once, and each goes to the target that is idle in that tenth of
        a second and stays there. The present load alone isn't enough.
        """
        members = [member(1, expected=3.0), member(2, expected=2.0, busy=1.0)]
        assert chosen(members, later=4.0) == "10.0.0.2"
        assert chosen(members, later=0.0) == "10.0.0.1"

    def test_no_request_waits_for_it(self):
        members = [member(1, expected=2.5), member(2, expected=2.0, busy=5.0)]
        assert chosen(members, later=4.0) == "10.0.0.1"

    def test_a_cold_one_is_not_preferred_for_holding_no_flows(self):
        """The flows of a replaced target must not all go to the newest one.

        Targets are replaced one after the other. Each new one holds no flows and is
        slow for seconds; it would get every flow of the next one if no expected
        requests counted as free capacity.
        """
        old = [member(number, expected=2.0, busy=1.0) for number in range(3)]
        cold = member(9, expected=0.0, warming=2.0)
        found = expected_loads([*old, cold], 4.0)
        assert found[cold.address].expected_busy == pytest.approx(1.5)
        taken = [chosen([*old, cold], 4.0, seed) for seed in range(20)]
        assert taken.count(cold.address) <= 10

    def test_a_new_one_is_preferred_within_limits(self):
        old = [member(number, expected=6.0) for number in range(3)]
        new = member(9, expected=0.0)
        found = expected_loads([*old, new], 4.0)
        assert found[new.address].expected_busy == pytest.approx(
            4.5 - MAX_ADVANTAGE * SLOTS
        )
        assert chosen([*old, new], 4.0) == new.address

    def test_flows_count_where_nothing_is_reported(self):
        assert expected_busy(member(1, flows=50)) == 50 * DEFAULT_BUSY_SHARE
        members = [member(1, flows=90), member(2, flows=10)]
        assert chosen(members, later=None) == "10.0.0.2"
