"""Admission: slots, classes, deadlines and retries."""

import random

import pytest
from zinniahook_core.admission import Admission, Verdict
from zinniahook_core.budgets import MAX_RETRY_AFTER_SECONDS, RetryBudget, RetrySchedule
from zinniahook_core.codes import Code
from zinniahook_core.models import RequestClass
from zinniahook_testkit import overload

CLASSES = {
    "ticket": RequestClass("ticket", "/tickets", share=0.5, queue=4),
    "export": RequestClass("export", "/exports", share=0.25, queue=64),
    "stream": RequestClass("stream", "/tallies", slots=0, limit=2),
}


def admission(slots=4, classes=None):
    return Admission(slots, CLASSES if classes is None else classes, random.Random(1))


def offer(subject, number, kind="ticket", attempt=1, now=0.0, deadline=10.0):
    return subject.offer(now, number, kind, attempt, deadline)


def served(subject, kind, seconds, count=20):
    """Serve requests of a class, so that its service time is known."""
    for number in range(count):
        offer(subject, -number - 1, kind, now=float(number), deadline=1e6)
        subject.release(number + seconds, -number - 1, answered=True)


class TestSlots:
    def test_no_more_than_the_slots_start(self):
        subject = admission()
        served(subject, "ticket", 0.1)
        verdicts = [offer(subject, n, now=50, deadline=60).verdict for n in range(6)]
        assert verdicts == [Verdict.START] * 4 + [Verdict.QUEUED] * 2
        assert (subject.busy, subject.queued) == (4, 2)

    def test_released_slot_goes_to_the_earliest_deadline(self):
        subject = admission(1)
        offer(subject, 1)
        offer(subject, 2, deadline=9.0)
        offer(subject, 3, deadline=8.0)
        subject.release(0.1, 1, answered=True)
        assert subject.start(0.1) == [3]

    def test_cold_target_gets_fewer_slots(self):
        subject = admission()
        subject.set_coldness(1.0)
        assert subject.slots == 1
        subject.set_coldness(0.0)
        assert subject.slots == 4

    def test_streams_hold_no_slot_but_are_bounded(self):
        subject = admission()
        verdicts = [offer(subject, n, "stream").verdict for n in range(3)]
        assert verdicts == [Verdict.START, Verdict.START, Verdict.REFUSED]
        assert (subject.busy, subject.streams) == (0, 2)

    def test_unknown_class_is_refused(self):
        assert offer(admission(), 1, "other").code is Code.CLASS_UNKNOWN

    def test_removed_class_frees_its_slots(self):
        subject = admission()
        offer(subject, 1)
        subject.configure(4, {"export": CLASSES["export"]})
        assert subject.busy == 1
        subject.release(1.0, 1, answered=True)
        assert subject.busy == 0


class TestClasses:
    def test_long_exports_leave_slots_for_tickets(self):
        """Tickets must not wait for minutes behind exports.

        Exports take every slot while there is no ticket, then tickets arrive. Exports
        must not borrow slots that they can't return soon.
        """
        subject = admission()
        served(subject, "export", 60.0)
        started = [offer(subject, n, "export", now=100, deadline=1e6) for n in range(9)]
        assert [d.verdict for d in started].count(Verdict.START) == 2
        assert offer(subject, 10, "ticket", now=100, deadline=110).verdict is (
            Verdict.START
        )

    def test_short_requests_borrow_what_is_unused(self):
        subject = admission()
        served(subject, "export", 0.1)
        verdicts = [
            offer(subject, n, "export", now=50, deadline=60).verdict for n in range(4)
        ]
        assert verdicts == [Verdict.START] * 4

    @pytest.mark.parametrize("crowd", ["ticket", "export"])
    def test_no_class_starves_another(self, crowd):
        """Each class must get slots while another is crowded.

        One class always has many requests waiting, the other a few. In order of
        arrival, the crowded class would take all slots.
        """
        classes = {
            name: rule._replace(queue=1000, deadline=1e6)
            for name, rule in CLASSES.items()
        }
        subject = admission(4, classes)
        served(subject, "ticket", 0.1)
        served(subject, "export", 0.1)
        quiet = "export" if crowd == "ticket" else "ticket"
        kinds = {n: quiet if n % 20 == 0 else crowd for n in range(400)}
        running = {
            n for n, kind in kinds.items()
            if offer(subject, n, kind, now=100, deadline=1e6).verdict is Verdict.START
        }  # fmt: skip
        order = list(running)
        now = 100.0
        while running:
            now += 0.1
            for number in running:
                subject.release(now, number, answered=True)
            running = set(subject.start(now))
            order += sorted(running)
        half = order[: len(order) // 2]
        assert sum(kinds[n] == quiet for n in half) == 20


class TestDeadlines:
    def test_infeasible_request_is_refused_on_arrival(self):
        subject = admission(1)
        served(subject, "ticket", 1.0)
        offer(subject, 1, now=50, deadline=60)
        refusal = offer(subject, 2, now=50, deadline=51)
        assert refusal.verdict is Verdict.REFUSED
        assert refusal.retry_after > 0

    def test_queued_request_that_becomes_infeasible_is_refused_at_once(self):
        """A caller must not learn of a refusal only when its time is up.

        A request waits, and the one before it takes longer than usual. Deadlines have
        to be checked also while no slot is free.
        """
        subject = admission(1)
        served(subject, "ticket", 1.0)
        offer(subject, 1, now=50, deadline=60)
        assert offer(subject, 2, now=50, deadline=54).verdict is Verdict.QUEUED
        assert subject.refuse_infeasible(50.5) == []
        given_up = subject.refuse_infeasible(52.5)
        assert [(number, d.code) for number, d in given_up] == [
            (2, Code.DEADLINE_EXPIRED)
        ]

    def test_full_queue_drops_the_latest_deadline(self):
        subject = admission(1)
        for number in range(5):
            offer(subject, number, deadline=20.0 + number)
        assert offer(subject, 9, deadline=10.0).verdict is Verdict.QUEUED
        assert [number for number, _ in subject.refuse_infeasible(0.0)] == [4]


class TestRetries:
    def test_retries_may_not_fill_the_queue(self):
        """An overload must not continue after its cause has ended.

        Requests are refused, and all their callers retry at once, for ever. Retries
        must not be queued like first attempts.
        """
        subject = admission(1, {"ticket": RequestClass("ticket", "/", queue=1000)})
        served(subject, "ticket", 0.001)
        offer(subject, 0, now=50, deadline=60)
        codes = [
            offer(subject, n, attempt=2, now=50, deadline=60).code
            for n in range(1, 100)
        ]
        assert codes.count(Code.OK) == 20
        assert codes.count(Code.RETRY_BUDGET_SPENT) == 79

    def test_budget_is_fed_by_first_attempts(self):
        budget = RetryBudget()
        while budget.take():
            continue
        for _ in range(11):
            budget.credit_first_attempt()
        assert [budget.take() for _ in range(3)] == [True, True, False]

    def test_retry_times_are_spaced_by_the_capacity(self):
        schedule = RetrySchedule(random.Random(1))
        delays = [schedule.reserve(0.0, 0.5, 10.0) for _ in range(50)]
        assert delays[-1] > 4 * delays[0]
        assert sum(delays) / 50 == pytest.approx(0.5 + 25 * 0.2, rel=0.1)
        assert max(schedule.reserve(0.0, 0.5, 0.1) for _ in range(99)) < (
            1.3 * MAX_RETRY_AFTER_SECONDS
        )


class TestOverload:
    def test_goodput_holds_and_recovers_where_a_plain_queue_does_not(self):
        result = overload.measure(overload=15.0, after=20.0, seed=3)
        assert result.core.kept >= 0.9
        assert result.core.recovery < 5.0
        assert result.baseline.kept < 0.5
