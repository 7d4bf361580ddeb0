"""Tests of targets' health, with the real health and placement code on fakes.

One of ten targets begins to fail; each test uses several seeds. The bounds follow from
what callers need, with a margin for chance: see docs/design/health.md for figures.
"""

import random

import pytest
from health_fakes import GOAL, RecordingLog, Service
from zinniahook_core.packets import Answer, placement
from zinniahook_core.packets.flows import Flow, Flows, FlowState
from zinniahook_core.packets.health import MAX_EJECTION_SECONDS, Health, Phase
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.members import Roster
from zinniahook_core.packets.outcomes import lower_bound
from zinniahook_core.packets.reports import (
    HealthReport,
    RouteRow,
    decode_health,
    encode_health,
)

SEEDS = range(4)
RATE = 100
TIMES = frozenset(("times",))
FAULTS = [
    ("errors", 0.45),
    ("shed", 0.45),
    ("reset", 0.45),
    ("errors", 1.0),
    ("reset", 1.0),
]


def failing(seed, fault, share, criteria=None):
    """Return a service in which one of ten targets has begun to fail."""
    service = Service(seed) if criteria is None else Service(seed, criteria=criteria)
    service.run(5.0, RATE)
    target = service.targets[3]
    target.fault, target.share = fault, share
    return service, target


class TestTargetsThatFail:
    @pytest.mark.parametrize(("fault", "share"), FAULTS)
    def test_callers_see_less_than_half_of_it(self, fault, share):
        """A failing target must not make a tenth of all requests fail.

        One target answers requests with failures while its heartbeats say ready. Chosen
        by load alone, it would get the most openings, because a target that fails
        immediately has the least load.
        """
        before = after = 0.0
        for seed in SEEDS:
            service, _ = failing(seed, fault, share, TIMES)
            before += service.run(15.0, RATE)[0]
            service, _ = failing(seed, fault, share)
            after += service.run(15.0, RATE)[0]
        assert after < before / 2

    @pytest.mark.parametrize(("fault", "share"), FAULTS)
    def test_is_ejected_within_seconds_and_returns(self, fault, share):
        for seed in SEEDS:
            service, target = failing(seed, fault, share)
            assert service.time_until(target, Phase.ASIDE, 6) < 6
            assert service.ejected() == [target]
            target.share = 0.0
            assert (
                service.time_until(target, Phase.FULL, 60) < MAX_EJECTION_SECONDS + 10
            )

    @pytest.mark.parametrize("fault", ["hang", "mute"])
    def test_one_that_answers_nothing_costs_no_more_than_before(self, fault):
        """Probing a target that hangs must not cost callers more than before.

        The target keeps what it gets, and without ejection its busy slots keep it from
        getting more. Ejected, it gets a probe share, which must shrink while nothing
        comes back.
        """
        before = after = 0.0
        for seed in SEEDS:
            service, _ = failing(seed, fault, 1.0, TIMES)
            before += service.run(15.0, RATE)[0]
            service, target = failing(seed, fault, 1.0)
            after += service.run(15.0, RATE)[0]
            assert target in service.ejected()
        assert after < before

    def test_one_that_is_slow_makes_no_more_late_than_before(self):
        before = after = 0.0
        for seed in SEEDS:
            service, _ = failing(seed, "slow", 1.0, TIMES)
            before += sum(service.run(15.0, RATE))
            service, _ = failing(seed, "slow", 1.0)
            after += sum(service.run(15.0, RATE))
        assert after < 1.5 * before + 0.001

    def test_intermittent_failures_require_more_probes_each_time(self):
        """A target that fails intermittently must not return after each failure.

        It alternates 1.5 s of failures with 1.5 s of good answers. Without memory of
        earlier suspicions, each ejection would require as few good answers as the
        first.
        """
        asked = []
        for seed in SEEDS:
            service, target = failing(seed, "errors", 1.0)
            for turn in range(20):
                target.share = float(not turn % 2)
                service.run(1.5, RATE)
            told = target.log.events("target.suspected")
            asked += [one["good_asked"] for one in told[1:]]
            assert len(told) <= 5
        assert not asked or max(asked) > min(asked) or min(asked) > 4

    def test_a_few_answers_are_enough_if_all_fail(self):
        """Each target gets twenty requests; one target fails all of them."""
        for seed in SEEDS:
            service, target = failing(seed, "errors", 1.0)
            service.run(2.0, RATE)
            assert service.ejected() == [target]


class TestNoSuspicion:
    @pytest.mark.parametrize("base", [0.0, 0.01, 0.05])
    def test_none_in_normal_operation(self, base):
        """25 minutes, 150,000 answers and no suspicion.

        Even one suspicion in this time would cost a tenth of the targets for 5 s, 0.3 %
        of the capacity; more often it would be noticeable.
        """
        suspected = 0
        for seed in range(3):
            service = Service(seed)
            service.run(500.0, RATE, base=base)
            suspected += sum(
                len(target.log.events("target.suspected")) for target in service.targets
            )
        assert suspected == 0

    @pytest.mark.parametrize("fault", ["errors", "hang"])
    def test_none_if_the_whole_service_fails(self, fault):
        """A fault of a shared dependency must not eject the targets one by one.

        Each target fails 45 % of its requests. Shares must be compared with those of
        the peers and not with a constant.
        """
        for seed in SEEDS:
            service = Service(seed)
            service.run(5.0, RATE)
            for target in service.targets:
                target.fault, target.share = fault, 0.45
            service.run(3.0, RATE)
            service.run(12.0, RATE)
            assert len(service.ejected()) <= 2

    def test_none_if_one_route_fails_everywhere(self):
        for seed in SEEDS:
            service = Service(seed)
            service.run(5.0, RATE)
            for target in service.targets:
                target.kinds_failing = frozenset((2,))
            service.run(20.0, RATE)
            assert service.ejected() == []

    def test_mistakes_of_clients_and_full_targets_are_no_failures(self):
        health = Health(RecordingLog(), Flows())
        for number in range(100):
            key = number.to_bytes(12, "big")
            health.begun(number, key, 1, GOAL, 1.3)
            health.answered(number, key, Answer.REJECTED)
            health.begun(number, key, 1, GOAL, 0.3)
            health.answered(number, key, Answer.DONE)
        assert health.failed_share() == 0.0

    def test_none_after_the_agent_stalled(self):
        """A pause of an agent must not make its target a suspect.

        The agent's process stops for 2 s. When it continues, its tick runs before it
        reads the answers that arrived meanwhile, and their requests must not count as
        hung.
        """
        flows = Flows()
        health = Health(RecordingLog(), flows)
        health.tick(0.0, Roster("floor"), "own")
        for number in range(10):
            flow = Flow(number.to_bytes(12, "big"), FlowState.OPEN, 0.0, "")
            flows.asked(0.0, flows.add(flow))
            health.begun(0.0, flow.key, 1, GOAL, 1.0)
        health.tick(2.0, Roster("floor"), "own")
        assert health.failed_share() == 0.0

    def test_a_client_that_left_doesnt_make_its_request_hang(self):
        health = Health(RecordingLog(), Flows())
        health.tick(0.0, Roster("floor"), "own")
        health.begun(0.0, bytes(12), 1, GOAL, 1.0)
        for tick in range(100):
            health.tick(tick / 20, Roster("floor"), "own")
        assert health.failed_share() == 0.0


class TestRestarts:
    def test_an_agent_that_starts_again_finds_it_again(self):
        for seed in SEEDS:
            service, target = failing(seed, "errors", 1.0)
            service.run(3.0, RATE)
            assert target in service.ejected()
            target.restart()
            service.run(3.0, RATE)
            assert target in service.ejected()

    def test_a_new_target_is_trusted(self):
        service, target = failing(1, "errors", 1.0)
        service.run(3.0, RATE)
        assert target in service.ejected()
        target.health.renew()
        assert target.health.trust(service.now) == 1.0


def member(address, trust=1.0, failing=0.0, busy=0.0, slots=3):
    health = HealthReport(trust, failing)
    return Member(address, 0, busy=busy, slots=slots, health=health)


def uses(members, count=2000):
    """Return how often each member is among those that an opening may go to."""
    rng = random.Random(1)
    used = dict.fromkeys((m.address for m in members), 0)
    for _ in range(count):
        for each in placement.usable(members, rng):
            used[each.address] += 1
    return used


class TestUsableMembers:
    def test_all_while_all_are_trusted(self):
        members = [member("a"), member("b")]
        assert placement.usable(members, random.Random(1)) is members

    def test_an_ejected_one_gets_a_probe_share_while_others_have_capacity(self):
        used = uses([member("a"), member("b"), member("c", 0.08, 0.4)])
        assert 0 < used["c"] < 0.08 * 2000 / 3 * 2

    def test_one_that_works_on_a_probe_gets_no_second(self):
        used = uses([member("a"), member("b"), member("c", 0.08, 0.4, busy=1.0)])
        assert used["c"] == 0

    def test_one_that_fails_less_than_half_is_used_when_all_others_are_full(self):
        """Ejected targets must be used when all others are full.

        Otherwise requests would wait in vain while idle targets would answer most of
        them.
        """
        full = [member("a", busy=3.0), member("b", busy=4.0)]
        used = uses([*full, member("c", 0.08, 0.4)])
        assert used["c"] == 2000

    def test_one_that_fails_more_is_left_alone_even_then(self):
        full = [member("a", busy=3.0), member("b", busy=4.0)]
        assert uses([*full, member("c", 0.01, 0.9)])["c"] < 100

    def test_at_most_half_are_ejected(self):
        members = [member("a"), *(member(n, 0.01, 0.9) for n in "bcd")]
        assert uses(members)["b"] > 1900

    def test_some_are_used_if_all_are_ejected(self):
        members = [member(n, 0.01, 0.9, busy=3.0) for n in "ab"]
        assert placement.usable(members, random.Random(1))

    def test_one_that_returns_gets_its_share(self):
        used = uses([member("a"), member("b"), member("c", 0.5)])
        assert 900 < used["c"] < 1100


class TestReports:
    def test_survive_the_wire(self):
        rows = (RouteRow(7, 40.0, 3.5, 0.05), RouteRow(65535, 1.0, 0.0, 0.0))
        read = decode_health(encode_health(HealthReport(0.08, 0.45, rows)))
        assert read.trust == pytest.approx(0.08, abs=0.002)
        assert read.failing == pytest.approx(0.45, abs=0.002)
        for told, row in zip(read.rows, rows, strict=True):
            assert told.tag == row.tag
            assert told.total == pytest.approx(row.total, abs=0.1)
            assert told.bad == pytest.approx(row.bad, abs=0.1)
            assert told.answer_time == pytest.approx(row.answer_time, rel=0.03)

    @pytest.mark.parametrize("body", [b"", b"x", b"abc", bytes(13)])
    def test_truncated_ones_are_ignored(self, body):
        assert decode_health(body) is None


class TestBound:
    def test_grows_with_the_evidence(self):
        assert lower_bound(0, 0) == 0.0
        assert lower_bound(4, 4) < lower_bound(8, 8) < lower_bound(80, 80) < 1.0
        assert lower_bound(18, 40) > 0.2


class TestOneClientThatFails:
    def test_its_target_is_not_ejected(self):
        """One client with failing requests must not get its target ejected.

        The client sends a request that can't be served each second, in a flow that
        stays open; all other clients are served. If each of its failures counted and no
        peer saw any, a working target would repeatedly get no new flows.
        """
        health = Health(RecordingLog(), Flows())
        for number in range(60):
            health.begun(float(number), b"bad", 1, 1.0, 0.5)
            health.answered(number + 0.1, b"bad", Answer.FAILED)
        assert health.failed_share() <= 1.0
        assert sum(counts.bad for counts in health._counts_by_tag.values()) <= 1.0

    def test_it_counts_again_once_it_was_served(self):
        health = Health(RecordingLog(), Flows())
        for answer in (Answer.FAILED, Answer.FAILED, Answer.DONE, Answer.FAILED):
            health.begun(0.0, b"flow", 1, 1.0, 0.5)
            health.answered(0.0, b"flow", answer)
        counted = sum(counts.bad for counts in health._counts_by_tag.values())
        # Older answers have slightly less weight.
        assert 1.5 < counted <= 2.0
