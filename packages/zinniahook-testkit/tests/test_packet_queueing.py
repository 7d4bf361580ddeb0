"""Requests of open flows that wait at the agent for a slot of its target."""

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
    Desk,
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
from zinniahook_testkit.packetends import flow_key


class TestWhatWaits:
    """What begins a request waits while the slots are taken; nothing else does."""

    def test_a_request_waits_until_a_slot_is_free(self):
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        raw = desk.ask(flow)
        assert raw not in desk.given and desk.held == 1
        desk.answer(working[0])
        assert desk.given[-1] == raw and desk.held == 0

    def test_none_waits_while_slots_are_free(self):
        desk = Desk()
        flow = desk.open(1)
        desk.busy(BUSY - 1)
        assert desk.ask(flow) in desk.given

    def test_none_waits_if_the_settings_say_so(self):
        desk = Desk(wanted=False)
        flow = desk.open(1)
        desk.busy()
        assert desk.ask(flow) in desk.given

    def test_none_waits_where_nothing_competes(self):
        desk = Desk(goal=float("inf"))
        flow = desk.open(1)
        desk.busy()
        assert desk.ask(flow) in desk.given

    def test_acknowledgements_go_on(self):
        desk = Desk()
        flow = desk.open(1)
        desk.busy()
        desk.ask(flow)
        assert desk.piece(flow, 0, b"") in desk.given
        assert desk.held == 1

    def test_data_of_a_request_that_has_begun_goes_on(self):
        desk = Desk()
        flow = desk.open(1)
        desk.ask(flow, b"head")
        desk.busy(BUSY - 1)
        assert desk.ask(flow, b"body") in desk.given

    def test_the_first_request_of_a_flow_goes_on(self):
        """Its opening has waited for a slot."""
        desk = Desk()
        flow = desk.open(1)
        key = flow_key("100.64.0.1", 2, f"198.18.0.{FEED}", 8443)
        desk.told[key], desk.sent[key] = 0, 8
        desk.client(key, Flag.OPENING, 7, 0)
        desk.target(key, Flag.OPENING | Flag.ACKNOWLEDGES)
        desk.told[key] = 1
        desk.busy()
        assert desk.ask(key) in desk.given
        assert desk.ask(flow) not in desk.given

    def test_repeated_data_of_an_answered_request_is_no_new_work(self):
        """Symptom: a slot seems taken for 3 s though nobody works. Sequence: the
        acknowledgement of a request gets lost, and its client repeats it after
        the answer. Cause: it passes for another request."""
        desk = Desk()
        flow = desk.open(1)
        raw = desk.ask(flow)
        desk.answer(flow)
        desk.core._forwarded(
            desk.now, ENTRY, Head(Kind.FORWARD, service=tag(SERVICE), entry=ENTRY), raw
        )
        assert desk.given[-2:] == [raw, raw]
        assert desk.core.flows.busy == 0

    def test_none_waits_near_the_end_of_an_idle_flow(self):
        """Symptom: a request ends its flow. Sequence: a flow is idle for nearly its
        idle timeout, its next request waits. Cause: meanwhile the target closes
        the flow as idle."""
        desk = Desk()
        flow = desk.open(1)
        desk.wait(40.0)
        desk.busy()
        assert desk.ask(flow) in desk.given


class TestPacketsOfOneRequest:
    """They reach the target unchanged, in their order, each once."""

    def test_three_out_of_order(self):
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        second = desk.piece(flow, 10, b"b" * 10)
        first = desk.piece(flow, 0, b"a" * 10)
        third = desk.piece(flow, 20, b"c" * 10)
        desk.answer(working[0])
        assert desk.given[-3:] == [first, second, third]

    def test_a_slot_isnt_kept_for_one_whose_first_packet_is_lost(self):
        desk = Desk()
        flow, other = desk.open(1), desk.open(2)
        working = desk.busy()
        second = desk.piece(flow, 10, b"b" * 10)
        raw = desk.ask(other)
        desk.answer(working[0])
        assert desk.given[-1] == raw
        desk.answer(working[1])
        assert desk.held == 1
        first = desk.piece(flow, 0, b"a" * 10)
        assert desk.given[-2:] == [first, second]

    def test_a_copy_of_one_that_waits_makes_no_second_run(self):
        """Symptom: a request reaches the target twice. Sequence: its client repeats
        it after 0.2 s, while its first packet waits. Cause: both are queued."""
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        raw = desk.piece(flow, 0, b"request")
        given = len(desk.given)
        desk.wait(0.2)
        desk.piece(flow, 0, b"request")
        assert len(desk.given) == given and desk.held == 1
        desk.answer(working[0])
        assert desk.given[given:] == [raw]
        assert desk.log.counts["packets.repeated_while_held"] == 1

    def test_pipelined_requests_keep_their_order(self):
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        one = desk.piece(flow, 0, b"first...")
        other = desk.piece(flow, 8, b"second")
        desk.answer(working[0])
        assert desk.given[-2:] == [one, other]

    def test_no_more_wait_than_are_in_flight(self):
        desk = Desk()
        flow = desk.open(1)
        desk.busy()
        raws = [desk.piece(flow, 5 * n, b"piece") for n in range(MAX_HELD_PACKETS)]
        assert desk.given[-MAX_HELD_PACKETS:] == raws and desk.held == 0

    @pytest.mark.parametrize("seed", range(20))
    def test_whatever_the_network_does(self, seed):
        """Loses, doubles, delays packets: what clients repeat arrives, all bytes in
        order of their numbers if the network kept it, and no byte is new."""
        desk, rng = Desk(), random.Random(seed)
        flows = [desk.open(n, rng.choice((FEED, EDIT))) for n in range(1, 8)]
        sent, working = {flow: {} for flow in flows}, []
        given = len(desk.given)
        for _ in range(120):
            flow = rng.choice(flows)
            if rng.random() < 0.3 and working:
                desk.answer(working.pop(0))
            for offset in rng.sample((0, 4, 8), rng.choice((1, 2, 3))):
                if rng.random() < 0.9:
                    raw = desk.piece(flow, offset, bytes([offset]) * 4)
                    sent[flow][raw] = sent[flow].get(raw, 0) + 1
            if rng.random() < 0.5:
                desk.wait(0.05)
        desk.wait(2 * MAX_HOLD_SECONDS)
        assert desk.held == 0
        arrived = [desk.codec.from_client(raw) for raw in desk.given[given:]]
        for flow in flows:
            raws = [packet.raw for packet in arrived if packet.flow == flow]
            assert set(raws) == set(sent[flow])
            assert all(raws.count(raw) <= sent[flow][raw] for raw in raws)


class TestEndsOfFlows:
    """A request that waits ends no flow, and no end of a flow is held up."""

    def test_a_client_that_resets_is_not_served(self):
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        raw = desk.ask(flow)
        reset = desk.piece(flow, 0, b"", Flag.RESET)
        desk.answer(working[0])
        desk.wait(2.0)
        assert reset in desk.given and raw not in desk.given

    def test_a_closing_follows_what_came_before_it(self):
        """Symptom: a target answers data with a reset. Sequence: a client asks and
        closes its side, the closing goes on at once. Cause: the target takes the
        flow for closed before it has the request."""
        desk = Desk()
        flow = desk.open(1)
        desk.busy()
        raw = desk.ask(flow)
        closing = desk.piece(flow, 0, b"", Flag.CLOSING | Flag.ACKNOWLEDGES)
        assert desk.given[-2:] == [raw, closing]

    def test_a_target_that_closes_gets_what_waits(self):
        desk = Desk()
        flow = desk.open(1)
        desk.busy()
        raw = desk.ask(flow)
        desk.target(flow, Flag.CLOSING | Flag.ACKNOWLEDGES)
        assert desk.given[-1] == raw and desk.held == 0

    def test_a_port_that_is_used_again(self):
        """Symptom: a packet of a former flow reaches the next one. Sequence: a
        client gives up while its request waits, and opens a flow from the same
        port. Cause: what waits is known by the flow's key alone."""
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        raw = desk.ask(flow)
        desk.core.flows.drop(flow)
        desk.answer(working[0])
        desk.wait(0.1)
        assert raw not in desk.given and desk.held == 0

    def test_the_next_flow_of_a_port_has_its_own_request(self):
        """Symptom: a request is never delivered. Sequence: as before, and the next
        flow's request comes while the former one's is still there. Cause: it joins
        what is forgotten with the former flow."""
        desk = Desk()
        flow = desk.open(1)
        desk.busy()
        former = desk.ask(flow)
        desk.core.flows.add(Flow(flow, FlowState.OPEN, desk.now, ENTRY))
        raw = desk.ask(flow)
        desk.wait(2.0)
        assert raw in desk.given and former not in desk.given

    def test_a_repeated_answer_frees_no_slot(self):
        """Symptom: a target gets more than it can work on. Sequence: a request waits
        that acknowledges the last answer, so the target repeats that answer, just
        as the request has been given. Cause: it passes for the next answer."""
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        desk.ask(flow)
        desk.answer(working[0])
        busy = desk.core.flows.busy
        desk.told[flow] -= len(b"answer")
        desk.answer(flow)
        assert desk.core.flows.busy == busy
        desk.answer(flow)
        assert desk.core.flows.busy == busy - 1


class TestBounds:
    """No request waits for long, and not many do."""

    def test_it_is_let_through_after_the_longest_hold(self):
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        raw = desk.ask(flow)
        for _ in range(round(MAX_HOLD_SECONDS / 0.2) - 1):
            desk.wait(0.2)
            for other in working:
                desk.piece(other, 0, b"")
                desk.target(other, Flag.ACKNOWLEDGES)
        assert desk.held == 1
        desk.wait(0.25)
        assert desk.given[-1] == raw
        assert desk.log.counts["requests.let_through_overdue"] == 1

    def test_a_short_goal_shortens_it(self):
        desk = Desk(goal=0.1)
        flow = desk.open(1)
        desk.busy()
        raw = desk.ask(flow)
        desk.wait(0.35)
        assert desk.given[-1] == raw

    def test_too_many_let_the_oldest_through(self):
        desk = Desk()
        flows = [desk.open(n) for n in range(1, MAX_HELD_REQUESTS + 2)]
        desk.busy()
        raws = [desk.ask(flow) for flow in flows]
        assert desk.held == MAX_HELD_REQUESTS
        assert desk.given[-1] == raws[0]

    def test_a_target_isnt_taken_for_dead(self):
        """Symptom: all flows of a target are reset. Sequence: requests and their
        copies wait for 0.6 s and longer, nothing is acknowledged. Cause: packets
        count as given though the target hasn't got them."""
        desk = Desk()
        flows = [desk.open(n) for n in range(1, 9)]
        working = desk.busy()
        for flow in working:
            desk.target(flow, Flag.ACKNOWLEDGES)
        for _ in range(3):
            for flow in flows:
                desk.piece(flow, 0, b"request")
            desk.wait(0.3, beats=False)
        assert not desk.core.target.is_dead(desk.now)
        assert not desk.reset


class TestOrder:
    """Who gets the next slot."""

    def test_urgent_ones_first_and_then_the_oldest(self):
        desk = Desk()
        flows = [desk.open(1), desk.open(2), desk.open(3, EDIT)]
        working = desk.busy()
        raws = []
        for flow in flows:
            raws.append(desk.ask(flow))
            desk.now += 0.01
        for flow in working:
            desk.answer(flow)
        assert desk.given[-3:] == [raws[2], raws[0], raws[1]]

    def test_one_that_is_late_takes_what_nobody_else_wants(self):
        desk = Desk()
        late, early = desk.open(1, EDIT), desk.open(2)
        working = desk.busy()
        desk.core.target.answer_time = 0.05
        raws = [desk.ask(late)]
        desk.wait(GOAL + 0.05)
        raws.append(desk.ask(early))
        for flow in working[:2]:
            desk.answer(flow)
        assert desk.given[-2:] == [raws[1], raws[0]]

    def test_requests_of_open_flows_before_openings(self):
        """An opening may go to another target; a request of an open flow can't."""
        desk = Desk()
        flow = desk.open(1)
        working = desk.busy()
        raw = desk.ask(flow)
        key = flow_key("100.64.0.1", 2, f"198.18.0.{EDIT}", 8443)
        opening = desk.client(key, Flag.OPENING, 7, 0)
        desk.answer(working[0])
        assert desk.given[-1] == raw
        for each in (*working[1:], flow):
            desk.answer(each)
        assert desk.given[-1] == opening

    def test_a_flood_of_urgent_ones_leaves_the_others_a_share(self):
        """Symptom: a kind gets nothing for as long as a more urgent one keeps all
        slots. Cause: the more urgent one always goes first."""
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
        """Guards against slots that are taken by copies of answered requests."""
        desk = Desk(wanted=wanted)
        desk.open(1)
        flow = flow_key("100.64.0.1", 2, f"198.18.0.{FEED}", 8443)
        desk.told[flow], desk.sent[flow] = 1, 100
        desk.answer(flow)
        desk.client(flow, Flag.ACKNOWLEDGES, 93, FIRST + desk.told[flow], b"request")
        assert desk.core.flows.busy == 0
        desk.ask(flow)
        assert desk.core.flows.busy == 1
