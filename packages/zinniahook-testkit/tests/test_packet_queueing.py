"""Requests of open flows that wait at their agent for a slot of its target."""

import random

import pytest
from queueing_fakes import (
    BUSY,
    EDIT,
    ENTRY,
    FEED,
    FIRST,
    GOAL,
    SERVICE,
    AgentHarness,
)
from zinniahook_core.packets import (
    Flag,
)
from zinniahook_core.packets.flows import Flow, FlowState
from zinniahook_core.packets.queueing import (
    MAX_HELD_PACKETS,
    MAX_HELD_REQUESTS,
    MAX_HOLD_SECONDS,
)
from zinniahook_core.packets.scheduling import GUARANTEED_SLOT_INTERVAL, Rank, Scheduler
from zinniahook_core.packets.tunnel import Head, Kind, tag
from zinniahook_testkit.packetendpoints import flow_key


class TestWhatWaits:
    """The first packet of a request waits while all slots are taken; no other does."""

    def test_a_request_waits_until_a_slot_is_free(self):
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.ask(flow)
        assert raw not in harness.delivered and harness.held == 1
        harness.answer(working[0])
        assert harness.delivered[-1] == raw and harness.held == 0

    def test_none_waits_while_slots_are_free(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy(BUSY - 1)
        assert harness.ask(flow) in harness.delivered

    def test_none_waits_if_the_settings_say_so(self):
        harness = AgentHarness(wanted=False)
        flow = harness.open(1)
        harness.busy()
        assert harness.ask(flow) in harness.delivered

    def test_none_waits_where_nothing_competes(self):
        harness = AgentHarness(goal=float("inf"))
        flow = harness.open(1)
        harness.busy()
        assert harness.ask(flow) in harness.delivered

    def test_acknowledgements_go_on(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        harness.ask(flow)
        assert harness.piece(flow, 0, b"") in harness.delivered
        assert harness.held == 1

    def test_data_of_a_request_that_has_begun_goes_on(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.ask(flow, b"head")
        harness.busy(BUSY - 1)
        assert harness.ask(flow, b"body") in harness.delivered

    def test_the_first_request_of_a_flow_goes_on(self):
        """The opening has already waited for a slot."""
        harness = AgentHarness()
        flow = harness.open(1)
        key = flow_key("100.64.0.1", 2, f"198.18.0.{FEED}", 8443)
        harness.target_sent[key], harness.sent[key] = 0, 8
        harness.client(key, Flag.OPENING, 7, 0)
        harness.target(key, Flag.OPENING | Flag.ACKNOWLEDGES)
        harness.target_sent[key] = 1
        harness.busy()
        assert harness.ask(key) in harness.delivered
        assert harness.ask(flow) not in harness.delivered

    def test_repeated_data_of_an_answered_request_is_no_new_work(self):
        """A slot seems taken for 3 s though no request is running.

        The acknowledgement of a request is lost, and its client repeats the request
        after the answer. The copy is counted as another request.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        raw = harness.ask(flow)
        harness.answer(flow)
        harness.core._forwarded(
            harness.now,
            ENTRY,
            Head(Kind.FORWARD, service=tag(SERVICE), entry=ENTRY),
            raw,
        )
        assert harness.delivered[-2:] == [raw, raw]
        assert harness.core.flows.busy == 0

    def test_none_waits_near_the_end_of_an_idle_flow(self):
        """A request arrives shortly before the idle timeout of its flow.

        If the request waited, the target would close the flow as idle meanwhile.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        harness.wait(40.0)
        harness.busy()
        assert harness.ask(flow) in harness.delivered


class TestPacketsOfOneRequest:
    """Packets of a request reach the target unchanged, in order and once."""

    def test_three_out_of_order(self):
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        second = harness.piece(flow, 10, b"b" * 10)
        first = harness.piece(flow, 0, b"a" * 10)
        third = harness.piece(flow, 20, b"c" * 10)
        harness.answer(working[0])
        assert harness.delivered[-3:] == [first, second, third]

    def test_a_slot_isnt_kept_for_one_whose_first_packet_is_lost(self):
        harness = AgentHarness()
        flow, other = harness.open(1), harness.open(2)
        working = harness.busy()
        second = harness.piece(flow, 10, b"b" * 10)
        raw = harness.ask(other)
        harness.answer(working[0])
        assert harness.delivered[-1] == raw
        harness.answer(working[1])
        assert harness.held == 1
        first = harness.piece(flow, 0, b"a" * 10)
        assert harness.delivered[-2:] == [first, second]

    def test_a_copy_of_one_that_waits_makes_no_second_run(self):
        """A request reaches the target twice.

        Its client repeats it after 0.2 s, while the first copy waits, and both are
        queued.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.piece(flow, 0, b"request")
        given = len(harness.delivered)
        harness.wait(0.2)
        harness.piece(flow, 0, b"request")
        assert len(harness.delivered) == given and harness.held == 1
        harness.answer(working[0])
        assert harness.delivered[given:] == [raw]
        assert harness.log.counts["packets.repeated_while_held"] == 1

    def test_pipelined_requests_keep_their_order(self):
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        one = harness.piece(flow, 0, b"first...")
        other = harness.piece(flow, 8, b"second")
        harness.answer(working[0])
        assert harness.delivered[-2:] == [one, other]

    def test_no_more_wait_than_are_in_flight(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raws = [harness.piece(flow, 5 * n, b"piece") for n in range(MAX_HELD_PACKETS)]
        assert harness.delivered[-MAX_HELD_PACKETS:] == raws and harness.held == 0

    @pytest.mark.parametrize("seed", range(20))
    def test_whatever_the_network_does(self, seed):
        """The network loses, duplicates and delays packets of requests that wait.

        Every packet that was sent arrives, no more often than it was sent.
        """
        harness, rng = AgentHarness(), random.Random(seed)
        flows = [harness.open(n, rng.choice((FEED, EDIT))) for n in range(1, 8)]
        sent, working = {flow: {} for flow in flows}, []
        given = len(harness.delivered)
        for _ in range(120):
            flow = rng.choice(flows)
            if rng.random() < 0.3 and working:
                harness.answer(working.pop(0))
            for offset in rng.sample((0, 4, 8), rng.choice((1, 2, 3))):
                if rng.random() < 0.9:
                    raw = harness.piece(flow, offset, bytes([offset]) * 4)
                    sent[flow][raw] = sent[flow].get(raw, 0) + 1
            if rng.random() < 0.5:
                harness.wait(0.05)
        harness.wait(2 * MAX_HOLD_SECONDS)
        assert harness.held == 0
        arrived = [harness.codec.from_client(raw) for raw in harness.delivered[given:]]
        for flow in flows:
            raws = [packet.raw for packet in arrived if packet.flow == flow]
            assert set(raws) == set(sent[flow])
            assert all(raws.count(raw) <= sent[flow][raw] for raw in raws)


class TestEndsOfFlows:
    """A waiting request ends no flow, and the end of a flow isn't delayed."""

    def test_a_client_that_resets_is_not_served(self):
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.ask(flow)
        reset = harness.piece(flow, 0, b"", Flag.RESET)
        harness.answer(working[0])
        harness.wait(2.0)
        assert reset in harness.delivered and raw not in harness.delivered

    def test_a_closing_follows_what_came_before_it(self):
        """A target answers data with a reset.

        A client sends a request and closes its side. If the closing overtakes the
        waiting request, the target considers the flow closed before the request.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        closing = harness.piece(flow, 0, b"", Flag.CLOSING | Flag.ACKNOWLEDGES)
        assert harness.delivered[-2:] == [raw, closing]

    def test_a_target_that_closes_gets_what_waits(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        harness.target(flow, Flag.CLOSING | Flag.ACKNOWLEDGES)
        assert harness.delivered[-1] == raw and harness.held == 0

    def test_a_port_that_is_used_again(self):
        """A packet of a former flow reaches the next flow of the same port.

        A client gives up while its request waits and opens a new flow from its port.
        Waiting packets are identified only by the flow's key.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.ask(flow)
        harness.core.flows.drop(flow)
        harness.answer(working[0])
        harness.wait(0.1)
        assert raw not in harness.delivered and harness.held == 0

    def test_the_next_flow_of_a_port_has_its_own_request(self):
        """A request is never delivered.

        As above, but the next flow's request arrives while the former one still
        waits. It is queued with the former request and dropped with it.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        former = harness.ask(flow)
        harness.core.flows.add(Flow(flow, FlowState.OPEN, harness.now, ENTRY))
        raw = harness.ask(flow)
        harness.wait(2.0)
        assert raw in harness.delivered and former not in harness.delivered

    def test_a_repeated_answer_frees_no_slot(self):
        """A target gets more requests than it has slots.

        A waiting request acknowledges the last answer, so the target repeats that
        answer just after the request is delivered. The copy is counted as the answer
        to the new request.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        harness.ask(flow)
        harness.answer(working[0])
        busy = harness.core.flows.busy
        harness.target_sent[flow] -= len(b"answer")
        harness.answer(flow)
        assert harness.core.flows.busy == busy
        harness.answer(flow)
        assert harness.core.flows.busy == busy - 1


class TestBounds:
    """The waiting time and the number of waiting requests are limited."""

    def test_it_is_let_through_after_the_longest_hold(self):
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.ask(flow)
        for _ in range(round(MAX_HOLD_SECONDS / 0.2) - 1):
            harness.wait(0.2)
            for other in working:
                harness.piece(other, 0, b"")
                harness.target(other, Flag.ACKNOWLEDGES)
        assert harness.held == 1
        harness.wait(0.25)
        assert harness.delivered[-1] == raw
        assert harness.log.counts["requests.let_through_overdue"] == 1

    def test_a_short_goal_shortens_it(self):
        harness = AgentHarness(goal=0.1)
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        harness.wait(0.35)
        assert harness.delivered[-1] == raw

    def test_too_many_let_the_oldest_through(self):
        harness = AgentHarness()
        flows = [harness.open(n) for n in range(1, MAX_HELD_REQUESTS + 2)]
        harness.busy()
        raws = [harness.ask(flow) for flow in flows]
        assert harness.held == MAX_HELD_REQUESTS
        assert harness.delivered[-1] == raws[0]

    def test_a_target_isnt_considered_dead(self):
        """All flows of a target are reset.

        Requests and their copies wait for 0.6 s and longer without acknowledgements.
        Waiting packets are counted as delivered though the target hasn't got them.
        """
        harness = AgentHarness()
        flows = [harness.open(n) for n in range(1, 9)]
        working = harness.busy()
        for flow in working:
            harness.target(flow, Flag.ACKNOWLEDGES)
        for _ in range(3):
            for flow in flows:
                harness.piece(flow, 0, b"request")
            harness.wait(0.3, beats=False)
        assert not harness.core.target.is_dead(harness.now)
        assert not harness.reset


class TestOrder:
    """Which request gets the next slot."""

    def test_urgent_ones_first_and_then_the_oldest(self):
        harness = AgentHarness()
        flows = [harness.open(1), harness.open(2), harness.open(3, EDIT)]
        working = harness.busy()
        raws = []
        for flow in flows:
            raws.append(harness.ask(flow))
            harness.now += 0.01
        for flow in working:
            harness.answer(flow)
        assert harness.delivered[-3:] == [raws[2], raws[0], raws[1]]

    def test_a_late_request_gets_only_slots_that_no_other_needs(self):
        harness = AgentHarness()
        late, early = harness.open(1, EDIT), harness.open(2)
        working = harness.busy()
        harness.core.target.answer_time = 0.05
        raws = [harness.ask(late)]
        harness.wait(GOAL + 0.05)
        raws.append(harness.ask(early))
        for flow in working[:2]:
            harness.answer(flow)
        assert harness.delivered[-2:] == [raws[1], raws[0]]

    def test_requests_of_open_flows_before_openings(self):
        """An opening can go to another target; a request of an open flow can't."""
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.ask(flow)
        key = flow_key("100.64.0.1", 2, f"198.18.0.{EDIT}", 8443)
        opening = harness.client(key, Flag.OPENING, 7, 0)
        harness.answer(working[0])
        assert harness.delivered[-1] == raw
        for each in (*working[1:], flow):
            harness.answer(each)
        assert harness.delivered[-1] == opening

    def test_a_flood_of_urgent_ones_leaves_the_others_a_share(self):
        """A kind of request starves while a more urgent kind takes all slots.

        Without a guaranteed share the more urgent kind always goes first.
        """
        turns = Scheduler()
        urgent, other = Rank(False, 1, 9.0, 8.6), Rank(False, 2, 8.0, 7.6)
        chosen = [
            turns.choose([other, urgent]) for _ in range(5 * GUARANTEED_SLOT_INTERVAL)
        ]
        assert chosen.count(other) == 5
        assert chosen[:GUARANTEED_SLOT_INTERVAL] == [urgent] * (
            GUARANTEED_SLOT_INTERVAL - 1
        ) + [other]

    def test_what_is_late_has_no_share(self):
        turns = Scheduler()
        urgent, late = Rank(False, 1, 9.0, 8.6), Rank(True, 2, 1.0, 0.6)
        assert {
            turns.choose([late, urgent]) for _ in range(5 * GUARANTEED_SLOT_INTERVAL)
        } == {urgent}
        assert turns.choose([late]) == late
        assert turns.choose([]) is None


class TestAgentThatIsYoungerThanAFlow:
    @pytest.mark.parametrize("wanted", [True, False])
    def test_counts_a_copy_of_an_answered_request_as_no_work(self, wanted):
        """Copies of answered requests are counted as taking slots."""
        harness = AgentHarness(wanted=wanted)
        harness.open(1)
        flow = flow_key("100.64.0.1", 2, f"198.18.0.{FEED}", 8443)
        harness.target_sent[flow], harness.sent[flow] = 1, 100
        harness.answer(flow)
        harness.client(
            flow, Flag.ACKNOWLEDGES, 93, FIRST + harness.target_sent[flow], b"request"
        )
        assert harness.core.flows.busy == 0
        harness.ask(flow)
        assert harness.core.flows.busy == 1
