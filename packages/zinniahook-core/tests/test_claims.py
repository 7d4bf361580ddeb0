"""Claims: at most one run per key despite losses, moved ownership and pauses."""

import pytest
from request_fakes import Group
from zinniahook_core import records
from zinniahook_core.claims import GRANT_LIFETIME_SECONDS
from zinniahook_core.codes import Code, OutcomeKind
from zinniahook_core.events import RequestArrived, RequestCancelled
from zinniahook_core.messages import ClaimRecord, ClaimState
from zinniahook_core.models import AgentState
from zinniahook_core.records import KEY_LIFETIME_SECONDS, Records, granted, refused
from zinniahook_core.rendezvous import rank
from zinniahook_core.requests import Requests
from zinniahook_testkit import atmostonce

UNKNOWN = OutcomeKind.UNKNOWN
NOT_RUN = OutcomeKind.NOT_RUN


class TestOwner:
    def test_second_copy_goes_to_the_runner(self):
        group = Group()
        _owner, first, second, _ = group.ranked()
        group.request(first, 1)
        group.request(second, 2, attempt=2)
        assert group.ran(first) == [1]
        assert group.relayed(second, 2) == [first]

    def test_finished_answer_is_replayed_though_its_runner_died(self):
        group = Group()
        _owner, first, second, _ = group.ranked()
        group.request(first, 1)
        group.finish(first, 1)
        group.crash(first)
        group.set_state(first, AgentState.DOWN)
        group.request(second, 2, attempt=2)
        assert group.replayed(second, 2) == [b"filed"]

    def test_running_when_its_runner_died_is_unknown(self):
        group = Group()
        _owner, first, second, _ = group.ranked()
        group.request(first, 1)
        group.crash(first)
        group.set_state(first, AgentState.DOWN)
        group.request(second, 2, attempt=2)
        assert group.outcome(second, 2).kind is UNKNOWN
        assert group.outcome(second, 2).code is Code.ANSWER_LOST

    def test_silent_owner_leaves_it_unknown_and_never_runs_it(self):
        group = Group()
        owner, first, *_ = group.ranked()
        group.crash(owner)
        group.request(first, 1, deadline=group.now + 3)
        group.run(4)
        assert group.ran(first) == []
        assert group.outcome(first, 1).kind is UNKNOWN

    def test_lost_messages_are_repeated(self):
        group = Group()
        owner, first, *_ = group.ranked()
        group.blocked.add((first, owner))
        group.request(first, 1)
        assert group.ran(first) == []
        group.blocked.clear()
        group.run(0.5)
        assert group.ran(first) == [1]

    def test_owner_that_runs_it_has_a_second_holder_first(self):
        """A request must not run again after a single failure.

        The claim owner runs a request itself and dies. Another agent must have a
        record of it.
        """
        group = Group()
        owner, _second, third, _ = group.ranked()
        group.blocked = {(owner, name) for name in "abcd"}
        group.request(owner, 1)
        assert group.ran(owner) == []
        group.blocked.clear()
        group.run(0.5)
        assert group.ran(owner) == [1]
        group.crash(owner)
        group.set_state(owner, AgentState.DOWN)
        group.request(third, 2, attempt=2)
        group.run(1)
        assert group.ran(third) == []
        assert group.outcome(third, 2).kind is UNKNOWN

    def test_single_member_runs_alone(self):
        group = Group("a")
        group.request("a", 1)
        assert group.ran("a") == [1]


class TestRefusal:
    def test_late_copy_of_a_refused_attempt_never_runs(self):
        group = Group(slots=1)
        _owner, first, second, _ = group.ranked()
        group.request(first, 1, deadline=group.now - 1)
        assert group.outcome(first, 1).kind is NOT_RUN
        group.request(second, 2, attempt=1)
        assert group.outcome(second, 2).kind is NOT_RUN
        group.request(second, 3, attempt=2)
        assert group.ran(second) == [3]

    def test_refusing_what_runs_elsewhere_joins_it(self):
        group = Group()
        _owner, first, second, _ = group.ranked()
        group.request(first, 1)
        group.request(second, 2, attempt=2, deadline=group.now - 1)
        assert group.outcome(second, 2) is None
        assert group.relayed(second, 2) == [first]

    def test_without_the_owner_it_is_unknown(self):
        group = Group()
        owner, first, *_ = group.ranked()
        group.crash(owner)
        group.request(first, 1, deadline=group.now - 1)
        group.run(9)
        assert group.outcome(first, 1).kind is UNKNOWN

    def test_unnumbered_attempt_is_told_to_wait_out_the_tombstone(self):
        group = Group()
        _owner, first, second, _ = group.ranked()
        group.request(first, 1, attempt=0, deadline=group.now - 1)
        wait = group.outcome(first, 1).retry_after
        assert wait >= records.UNNUMBERED_TOMBSTONE_SECONDS
        group.request(second, 2, attempt=0)
        assert group.outcome(second, 2).kind is NOT_RUN
        group.run(wait + 0.1)
        group.request(second, 3, attempt=0)
        assert group.ran(second) == [3]

    def test_refusal_outlives_its_owner(self):
        """A request must not run after its caller was answered "not run".

        The owner refuses it and dies, and a late copy arrives elsewhere. Another
        agent must know of the refusal.
        """
        group = Group()
        owner, _, third, _ = group.ranked()
        group.request(owner, 1, deadline=group.now - 1)
        assert group.outcome(owner, 1).kind is NOT_RUN
        group.crash(owner)
        group.set_state(owner, AgentState.DOWN)
        group.request(third, 2, attempt=1)
        group.run(2)
        assert group.ran(third) == []

    def test_later_attempt_that_joined_is_refused_by_its_own_number(self):
        """A refused attempt must not run.

        A late copy of attempt 1 waits, and attempt 3 joins it. Both are refused, and
        a copy of attempt 3 arrives elsewhere. The tombstone must not carry the
        attempt of the first copy.
        """
        group = Group()
        owner, first, second, _ = group.ranked()
        group.blocked.add((first, owner))
        group.request(first, 1, attempt=1, deadline=group.now - 1)
        group.request(first, 3, attempt=3)
        group.blocked.clear()
        group.run(0.5)
        assert group.outcome(first, 3).kind is NOT_RUN
        group.request(second, 4, attempt=3)
        assert group.ran(second) == []


class TestNewOwner:
    def test_asks_the_others_before_it_grants(self):
        """A ticket must not run twice after a member joined.

        A request runs, then a member joins that ranks first for its key, and a copy
        arrives. The new owner must not conclude from its missing record that the
        request never ran.
        """
        group, key = self.before_a_join()
        _, first, second = group.ranked(key)
        group.request(first, 1, key)
        group.finish(first, 1)
        group.join("d")
        group.run(0.1)
        group.request(second, 2, key, attempt=2)
        assert group.ran(second) == []
        assert group.replayed(second, 2) == [b"filed"]

    def test_denial_under_an_older_roster_is_ignored(self):
        """Two agents must not run one request while a roster spreads.

        A member joins and owns the key. It asks agents that don't know of it yet;
        they know of no claim and then make one among themselves. Their denial must
        not count as a promise, which they can't keep.
        """
        group, key = self.before_a_join()
        _, first, second = group.ranked(key)
        group.join("d", announce=False)
        group.announce("d", second)
        group.request(second, 2, key, attempt=2)
        group.run(0.3)
        group.request(first, 1, key)
        assert group.ran(first) == [1]
        group.announce()
        group.run(2)
        assert group.ran(second) == []

    def test_claim_under_an_older_roster_is_not_held(self):
        """Two agents must not run one request while a roster spreads.

        A member joins and owns the key. The former owner doesn't know and runs the
        request, with a second holder that has already denied the claim to the new
        owner. No claim may be made that a lookup has already missed.
        """
        group, key = self.before_a_join()
        owner, *others = group.ranked(key)
        group.join("d", announce=False)
        group.announce("d", *others)
        group.request(owner, 1, key)
        group.run(1)
        assert group.ran(owner) == []
        group.announce()
        group.run(1)
        assert group.ran(owner) == [1]

    @staticmethod
    def before_a_join():
        """Return a group and a key that "d" owns as soon as it joins."""
        keys = (b"%d" % number for number in range(99))
        return Group("abc"), next(key for key in keys if rank(key, "abcd")[0] == "d")

    def test_grants_an_unknown_key_after_one_death(self):
        group = Group()
        owner, first, *_ = group.ranked()
        group.crash(owner)
        group.set_state(owner, AgentState.DOWN)
        group.request(first, 1, attempt=2)
        group.run(1)
        assert group.ran(first) == [1]

    def test_does_not_grant_after_two_deaths_at_once(self):
        """A request must not run again after two members died together.

        Its owner and its runner die, and a copy arrives. All records of it are lost,
        and a missing record looks like a request that never ran.
        """
        group = Group()
        owner, first, second, _ = group.ranked()
        group.request(first, 1)
        for name in (owner, first):
            group.crash(name)
            group.set_state(name, AgentState.DOWN, announce=False)
        group.announce()
        group.run(1)
        group.request(second, 2, attempt=2)
        group.run(2)
        assert group.ran(second) == []
        assert group.outcome(second, 2).kind is UNKNOWN

    def test_two_deaths_apart_are_survived(self):
        group = Group()
        owner, first, second, third = group.ranked()
        group.request(first, 1)
        group.finish(first, 1)
        group.run(2)
        for name in (owner, first):
            group.crash(name)
            group.set_state(name, AgentState.DOWN)
            group.run(3)
        group.request(third, 2, attempt=2)
        group.run(1)
        assert group.replayed(third, 2) == [b"filed"]
        group.request(third, 3, b"new", attempt=2)
        group.run(1)
        assert 3 in group.ran(third) + group.ran(second)

    def test_two_rosters_never_make_two_owners(self):
        """Two agents must not run one request while a roster spreads.

        The owner is marked down but still runs, as does an agent that doesn't know of
        the change; another agent asks the new owner. Two members then consider
        themselves the owner.
        """
        group = Group()
        owner, first, second, _ = group.ranked()
        group.set_state(owner, AgentState.DOWN, announce=False)
        others = [name for name in group.cores if name not in (owner, second)]
        group.announce(*others)
        group.request(first, 1)
        group.request(second, 2)
        group.run(1)
        assert len(group.ran(first) + group.ran(second)) <= 1
        group.announce(second)
        group.run(1)
        assert group.ran(first) + group.ran(second) in ([1], [2])

    def test_grant_that_waited_in_a_paused_process_is_void(self):
        """A ticket must not run twice after a process was paused.

        An agent asks for a claim and is paused while the grant waits in its socket.
        It must not use a grant that another member may hold by now.
        """
        group = Group()
        owner, first, *_ = group.ranked()
        group.feed(first, RequestArrived(1, "ticket", False, b"k", 1, 0.0))
        grants = group.intercept(first)
        assert [message.state for _, _, message in grants] == [ClaimState.GRANTED]
        group.crash(owner)
        group.now += GRANT_LIFETIME_SECONDS + 0.1
        group.messages.extend(grants)
        group.deliver()
        assert group.ran(first) == []

    def test_unused_grant_does_not_override_a_refusal(self):
        """A request must not run after its caller was answered "not run".

        An owner grants itself a request, but the caller cancels and the owner leaves.
        The request is refused elsewhere, and a late copy arrives. An unused grant
        must not count as a run.
        """
        group = Group()
        owner, second, third, _ = group.ranked()
        group.blocked = {(owner, name) for name in "abcd"}
        group.request(owner, 1)
        group.feed(owner, RequestCancelled(1))
        group.blocked.clear()
        group.set_state(owner, AgentState.LEAVING)
        group.request(third, 2, deadline=group.now - 1)
        group.run(1)
        assert group.outcome(third, 2).kind is NOT_RUN
        group.request(second, 3, attempt=1)
        group.request(owner, 4, attempt=1, relayed_by=second)
        group.run(1)
        assert group.ran(second) + group.ran(owner) == []

    @pytest.mark.parametrize("announced", [True, False])
    def test_restarted_member_does_not_vouch_for_lost_records(self, announced):
        """A ticket must not run twice after two members crashed and restarted.

        Owner and runner crash, and both restart under their names, one of them before
        any peer noticed the crash of the other. The new process must not be
        considered the old one, with its records.
        """
        group = Group()
        owner, first, second, _ = group.ranked()
        group.request(first, 1)
        group.crash(owner)
        group.crash(first)
        group.join(owner, incarnation=2)
        group.run(2)
        group.join(first, incarnation=2, announce=announced)
        group.announce(first)
        group.run(2)
        group.announce()
        group.run(2)
        group.request(second, 2, attempt=2)
        group.run(2)
        assert group.ran(second) == []


class TestLeaving:
    def test_two_others_hold_what_a_leaving_member_held(self):
        group = Group()
        owner, first, _second, third = group.ranked()
        group.request(first, 1)
        group.finish(first, 1)
        group.run(2)
        for name in (owner, first):
            group.set_state(name, AgentState.LEAVING)
            group.run(2)
            assert group.cores[name].idle
            group.crash(name)
            group.remove(name)
        group.run(1)
        group.request(third, 2, attempt=2)
        group.run(1)
        assert group.replayed(third, 2) == [b"filed"]


class TestRecords:
    def test_evicted_record_makes_the_outcome_unknown(self):
        """A ticket must not run twice on a busy agent.

        A record is evicted in favour of newer ones, and a copy of its request
        arrives. A key without a record looks like one that never ran.
        """
        group = Group("ab")
        owner, other = group.ranked()
        held = group.cores[owner].claims.records
        group.request(other, 1)
        held._limit = 1
        held.put(group.now, b"newer", granted(group.now, "x", 1, 1))
        assert held.evicted == 1
        group.crash(other)
        group.set_state(other, AgentState.DOWN)
        group.request(owner, 2, attempt=2)
        assert group.ran(owner) == []
        assert group.outcome(owner, 2).kind is UNKNOWN

    def test_answers_are_bounded_by_bytes_and_the_tombstone_stays(self):
        held = Records(answers_limit_bytes=100)
        for number in range(5):
            record = granted(0.0, "a", 1, 1)
            record.state, record.answer = ClaimState.FINISHED, bytes(40)
            held.put(0.0, b"%d" % number, record)
        assert held.answer_bytes <= 100
        assert held.evicted_answers == 3
        assert held.get(0.0, b"0").state is ClaimState.FINISHED

    def test_records_end_with_the_lifetime_of_their_key(self):
        held = Records()
        held.put(0.0, b"k", granted(0.0, "a", 1, 1))
        assert held.get(KEY_LIFETIME_SECONDS - 1, b"k")
        assert held.get(KEY_LIFETIME_SECONDS + 1, b"k") is None
        held.expire(KEY_LIFETIME_SECONDS + 1)
        assert len(held) == 0

    @pytest.mark.parametrize("attempt", [1, 2])
    def test_reordered_refusal_does_not_undo_a_later_grant(self, attempt):
        held = Records()
        held.put(0.0, b"k", granted(0.0, "a", 1, 2))
        late = ClaimRecord(b"k", ClaimState.REFUSED, "a", 1, attempt, 0.0)
        held.merge(0.0, late, "a", 1)
        state = held.get(0.0, b"k").state
        assert state is (ClaimState.REFUSED if attempt == 2 else ClaimState.GRANTED)

    def test_contradiction_is_not_held(self):
        held = Records()
        held.put(0.0, b"k", granted(0.0, "a", 1, 1))
        other = ClaimRecord(b"k", ClaimState.GRANTED, "b", 1, 1, 0.0)
        assert not held.merge(0.0, other, "b", 1)
        assert held.get(0.0, b"k").runner == "a"

    def test_higher_refusal_is_kept(self):
        held = Records()
        held.put(0.0, b"k", refused(0.0, "a", 1, 5))
        held.put(0.0, b"k", refused(0.0, "a", 1, 2))
        assert held.get(0.0, b"k").attempt == 5


class WithoutOwner(Requests):
    """Faulty variant that grants and refuses without asking the claim owner."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.claims.view.owner = lambda key: self.claims._name
        self.claims.view.partners = lambda key: []
        self.claims.view.may_have_moved = lambda now, key: False


class WithoutLookups(Requests):
    """Faulty variant whose new owner grants without a lookup."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.claims.view.may_have_moved = lambda now, key: False


class TestUnderFaults:
    def test_nothing_runs_twice_and_not_run_is_true(self):
        result = atmostonce.measure(2000, seed=4)
        assert result.doubled == 0
        assert result.falsely_refused == 0
        assert result.open == 0
        assert result.done > 0.5 * result.requests

    @pytest.mark.parametrize("broken", [WithoutOwner, WithoutLookups])
    def test_check_catches_broken_variants(self, broken):
        faults = atmostonce.DENSE_FAULTS
        result = atmostonce.measure(3000, seed=4, faults=faults, make_core=broken)
        assert result.doubled + result.falsely_refused > 0
