"""Placement by reported load: random choices, age, slots, warm-up and health."""

import random
from collections import Counter

from zinniahook_core.events import TargetReported
from zinniahook_core.messages import Heartbeat
from zinniahook_core.models import (
    Address,
    AgentState,
    Load,
    Member,
    Protocol,
    Roster,
    Service,
)
from zinniahook_core.placement import (
    REPORT_MAX_AGE_SECONDS,
    Health,
    Placement,
    coldness,
)

NOWHERE = Address("127.0.0.1", 1)
IDLE = Load(4, 0, 0, 0, 0)
FULL = Load(4, 4, 2, 0, 0)


def member(name, slots=4, state=AgentState.READY, incarnation=1):
    return Member(name, NOWHERE, NOWHERE, NOWHERE, "thies-1", incarnation, state, slots)


def placement(*peers):
    chooser = Placement("own", random.Random(1))
    members = [member("own"), *peers]
    chooser.roster(0.0, Roster("tally", 1, {item.name: item for item in members}))
    return chooser


def report(chooser, now, name, load, sequence=1, incarnation=1, leaving=False):
    heartbeat = Heartbeat(incarnation, sequence, 1, load, leaving)
    chooser.heartbeat(now, name, heartbeat)


def chosen(chooser, now, local, times=200, slots=1):
    return Counter(chooser.choose_for_request(now, slots, local) for _ in range(times))


class TestRequests:
    def test_a_full_agent_uses_an_idle_peer_and_an_idle_one_itself(self):
        chooser = placement(member("a"), member("b"))
        report(chooser, 0.0, "a", IDLE)
        report(chooser, 0.0, "b", FULL)
        assert chooser.choose_for_request(0.1, 1, FULL) == "a"
        assert chooser.choose_for_request(0.1, 1, IDLE) is None

    def test_no_gain_no_handing_over(self):
        chooser = placement(member("a"))
        report(chooser, 0.0, "a", Load(4, 3, 0, 0, 0))
        assert chooser.choose_for_request(0.0, 1, Load(4, 3, 0, 0, 0)) is None

    def test_old_reports_are_not_used(self):
        """An agent must not hand work to a peer that has died.

        The peer reports that it is idle and then dies. If its last report were used
        at any age, requests would time out although other targets are free.
        """
        chooser = placement(member("a"))
        report(chooser, 0.0, "a", IDLE)
        assert chooser.choose_for_request(REPORT_MAX_AGE_SECONDS, 1, FULL) == "a"
        assert chooser.choose_for_request(REPORT_MAX_AGE_SECONDS + 0.1, 1, FULL) is None

    def test_a_doubled_or_late_report_is_not_fresh(self):
        chooser = placement(member("a"))
        report(chooser, 0.0, "a", IDLE, sequence=5)
        report(chooser, 4.0, "a", IDLE, sequence=5)
        report(chooser, 4.0, "a", IDLE, sequence=4)
        assert chooser.choose_for_request(4.0, 1, FULL) is None

    def test_what_was_handed_since_the_report_counts(self):
        """A burst must not go entirely to the peer that reported to be idle.

        The burst arrives between two heartbeats. If agents chose by the last report
        alone, one target would queue requests while others have free slots.
        """
        chooser = placement(member("a"), member("b"))
        report(chooser, 0.0, "a", IDLE)
        report(chooser, 0.0, "b", Load(4, 1, 0, 0, 0))
        taken = Counter()
        for _ in range(8):
            peer = chooser.choose_for_request(0.1, 1, FULL)
            chooser.handed(0.1, peer)
            taken[peer] += 1
        assert abs(taken["a"] - taken["b"]) <= 2

    def test_a_new_report_replaces_what_was_handed_but_not_what_is_in_flight(self):
        chooser = placement(member("a"))
        report(chooser, 0.0, "a", IDLE)
        for _ in range(20):
            chooser.handed(0.5, "a")
        assert chooser.choose_for_request(0.5, 1, FULL) is None
        report(chooser, 0.505, "a", IDLE, sequence=2)
        assert chooser.choose_for_request(0.51, 1, FULL) is None
        report(chooser, 1.5, "a", IDLE, sequence=3)
        assert chooser.choose_for_request(1.5, 1, FULL) == "a"

    def test_work_is_weighed_by_slots(self):
        chooser = placement(member("big", slots=16), member("small", slots=2))
        report(chooser, 0.0, "big", Load(16, 8, 0, 0, 0))
        report(chooser, 0.0, "small", Load(2, 2, 0, 0, 0))
        assert chosen(chooser, 0.0, FULL) == {"big": 200}

    def test_only_ready_peers_that_are_not_leaving(self):
        chooser = placement(
            member("starting", state=AgentState.STARTING),
            member("leaving", state=AgentState.LEAVING),
            member("down", state=AgentState.DOWN),
            member("parting"),
            member("ready"),
        )
        for name in ("starting", "leaving", "down", "ready"):
            report(chooser, 0.0, name, IDLE)
        report(chooser, 0.0, "parting", IDLE, leaving=True)
        assert chosen(chooser, 0.0, FULL) == {"ready": 200}

    def test_forced_takes_any_ready_peer(self):
        chooser = placement(member("a"))
        assert chooser.choose_for_request(0.0, 1, IDLE, forced=True) == "a"
        assert placement().choose_for_request(0.0, 1, IDLE, forced=True) is None

    def test_streams_are_weighed_by_streams(self):
        chooser = placement(member("a"), member("b"))
        report(chooser, 0.0, "a", Load(4, 4, 0, 0, 10))
        report(chooser, 0.0, "b", Load(4, 0, 0, 0, 300))
        local = Load(4, 0, 0, 0, 300)
        assert chosen(chooser, 0.0, local, slots=0) == {"a": 200}


class TestFlows:
    def test_flows_even_out_between_two_agents(self):
        """The flows of two agents must converge instead of oscillating.

        Thousands of openings arrive between two reports. Without a margin and a
        count of the work handed over since, they tip the balance the other way each
        time.
        """
        flows = {"own": 400, "a": 100}
        chooser = placement(member("a"))
        for second in range(20):
            report(chooser, second, "a", Load(4, 0, 0, flows["a"], 0), sequence=second)
            for step in range(100):
                local = Load(4, 0, 0, flows["own"], 0)
                now = second + step / 100
                peer = chooser.choose_for_flow(now, local)
                if peer:
                    chooser.handed(now, peer, slots=0, flows=1)
                flows[peer or "own"] += 1
        assert abs(flows["own"] - flows["a"]) < 0.1 * flows["own"]

    def test_a_cold_target_gets_its_share_slowly(self):
        """A target that has just joined must not be overloaded by openings.

        It joins without flows, so every peer prefers it. If its slots counted in
        full while its caches are empty, its first minute would be all timeouts.
        """
        chooser = placement(member("a"))
        local = Load(4, 2, 0, 100, 0)
        report(chooser, 0.0, "a", Load(4, 0, 0, 30, 0, cold=1.0))
        assert chooser.choose_for_flow(0.0, local) is None
        report(chooser, 1.0, "a", Load(4, 0, 0, 30, 0), sequence=2)
        assert chooser.choose_for_flow(1.0, local) == "a"
        assert coldness(0.0, 0.0) == 1.0
        assert coldness(1000.0, 0.0) == 0.0

    def test_a_member_that_the_configuration_excludes_is_not_chosen(self):
        chooser = placement(member("a"), member("b"))
        service = Service("tally", 1, NOWHERE, Protocol.QUIC, targets=("own", "b"))
        chooser.configure(service)
        for name in ("a", "b"):
            report(chooser, 0.0, name, IDLE)
        assert chosen(chooser, 0.0, FULL) == {"b": 200}

    def test_a_new_incarnation_starts_without_a_report(self):
        chooser = placement(member("a"))
        report(chooser, 0.0, "a", IDLE, sequence=9)
        again = Roster("tally", 2, {"a": member("a", incarnation=2)})
        chooser.roster(0.5, again)
        assert chooser.choose_for_request(0.5, 1, FULL) is None
        report(chooser, 0.6, "a", IDLE, sequence=10, incarnation=1)
        assert chooser.choose_for_request(0.6, 1, FULL) is None
        report(chooser, 0.7, "a", IDLE, sequence=1, incarnation=2)
        assert chooser.choose_for_request(0.7, 1, FULL) == "a"


class TestHealth:
    def test_a_fast_failing_target_is_avoided_whatever_it_claims(self):
        """A failing target must not attract most requests of a service.

        The target fails each request at once and reports that it is healthy and
        idle. By its load alone it is the best choice, and most requests would fail
        although six of seven targets work.
        """
        failing = Placement("a", random.Random(2))
        for number in range(30):
            failing.health.finished(number / 10, True)
            failing.health.reported(number / 10, TargetReported(True, IDLE))
        load = failing.reported(3.0, IDLE)
        assert load.slots == 0
        chooser = placement(member("a"), member("b"))
        report(chooser, 3.0, "a", load)
        report(chooser, 3.0, "b", Load(4, 3, 0, 0, 0))
        assert chosen(chooser, 3.0, FULL) == {"b": 200}

    def test_its_own_agent_passes_work_on(self):
        chooser = placement(member("a"))
        report(chooser, 3.0, "a", Load(4, 2, 0, 0, 0))
        assert chooser.choose_for_request(3.0, 1, IDLE) is None
        for _ in range(20):
            chooser.health.finished(3.0, True)
        assert chooser.choose_for_request(3.0, 1, IDLE) == "a"

    def test_a_false_alarm_changes_nothing(self):
        """A target that wrongly reports unhealthy must still get work.

        If the report counted while no request succeeds, peers would keep their work
        away and no success would ever refute it. A third of the targets would be
        idle while others queue.
        """
        health = Health()
        for number in range(100):
            health.reported(float(number), TargetReported(False, None))
            assert health.share(float(number)) == 1.0

    def test_an_alarm_makes_failures_count_sooner(self):
        silent, alarmed = Health(), Health()
        for health in (silent, alarmed):
            health.finished(0.0, True)
        alarmed.reported(0.0, TargetReported(False, None))
        assert alarmed.share(0.0) < silent.share(0.0) < 1.0

    def test_a_repaired_target_is_tried_again(self):
        health = Health()
        for _ in range(50):
            health.finished(0.0, True)
        assert health.share(0.0) < 0.1
        assert health.share(120.0) > 0.8
