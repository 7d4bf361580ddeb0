"""Requests at one agent: copies, relays, retries, cancellation and drain."""

import pytest
from request_fakes import DONE, Group
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.effects import CancelRequest, FinishRequest, JoinRequest, Relay
from zinniahook_core.events import DrainRequested, RequestCancelled
from zinniahook_core.models import AgentState

FAILED = Outcome(OutcomeKind.UNKNOWN, Code.TARGET_FAILED)
REFUSED = Outcome(OutcomeKind.NOT_RUN, Code.TARGET_FAILED, 1.0)
BROKEN = Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST)


class FixedPlacement:
    """A placement that chooses one peer, either always or only if forced."""

    def __init__(self, peer, always=False):
        self.peer, self.always = peer, always

    def choose_for_request(self, now, slots_needed, local, forced=False):
        return self.peer if forced or self.always else None

    def handed(self, now, peer, slots=1):
        pass


def use_placement(group, name, **kwargs):
    group.cores[name]._placement = FixedPlacement(**kwargs)


class TestCopies:
    def test_copy_joins_the_running_copy(self):
        group = Group("a")
        group.request("a", 1)
        group.request("a", 2, attempt=2)
        assert group.effects_of("a", JoinRequest) == [JoinRequest(2, 1)]

    def test_copies_get_the_answer_of_a_run_that_failed(self):
        group = Group("a")
        group.request("a", 1)
        group.request("a", 2, attempt=2)
        group.finish("a", 1, b"", FAILED)
        assert group.outcome("a", 1) == group.outcome("a", 2) == FAILED
        group.request("a", 3, attempt=3)
        assert group.outcome("a", 3).kind is OutcomeKind.UNKNOWN
        assert group.ran("a") == [1]

    def test_cancelled_copy_is_not_answered(self):
        group = Group("a")
        group.request("a", 1)
        group.request("a", 2, attempt=2)
        group.feed("a", RequestCancelled(2))
        group.finish("a", 1, b"", FAILED)
        assert group.outcome("a", 2) is None

    def test_retrying_caller_gets_the_answer_of_its_run(self):
        """A clerk must not file a ticket again that was filed.

        The connection breaks while the ticket runs; the device reconnects and sends
        the same key. The run must not be cancelled with the connection.
        """
        group = Group("a")
        group.request("a", 1)
        group.feed("a", RequestCancelled(1))
        assert group.effects_of("a", CancelRequest) == []
        group.request("a", 2, attempt=2)
        assert group.effects_of("a", JoinRequest) == [JoinRequest(2, 1)]
        group.finish("a", 1)
        group.request("a", 3, attempt=3)
        assert group.replayed("a", 3) == [b"filed"]

    def test_next_copy_leads_if_the_first_leaves_before_it_runs(self):
        group = Group("a", slots=1)
        group.request("a", 1, b"other")
        group.request("a", 2)
        group.request("a", 3, attempt=2)
        group.feed("a", RequestCancelled(2))
        group.finish("a", 1)
        assert group.ran("a") == [1, 3]


class TestFailures:
    def test_idempotent_request_is_tried_at_a_peer_once(self):
        group = Group("ab")
        use_placement(group, "a", peer="b")
        group.request("a", 1, b"", idempotent=True)
        group.finish("a", 1, b"", FAILED)
        assert group.relayed("a", 1) == ["b"]
        group.finish("a", 1, b"", FAILED)
        assert group.outcome("a", 1) == FAILED

    @pytest.mark.parametrize("key", [b"", b"k"])
    def test_post_that_may_have_run_is_never_tried_again(self, key):
        group = Group("ab")
        use_placement(group, "a", peer="b")
        group.request("a", 1, key)
        group.finish("a", 1, b"", FAILED)
        assert group.relayed("a", 1) == []
        assert group.outcome("a", 1).kind is OutcomeKind.UNKNOWN

    def test_target_that_saw_nothing_leaves_it_certainly_not_run(self):
        group = Group("ab")
        runner = group.ranked()[1]
        group.request(runner, 1)
        group.finish(runner, 1, b"", REFUSED, started=False)
        assert group.outcome(runner, 1).kind is OutcomeKind.NOT_RUN
        group.request(runner, 2, attempt=2)
        assert group.ran(runner) == [1, 2]

    def test_broken_relay_is_settled_by_the_owner(self):
        """A ticket that was filed must not be answered with "not run".

        An agent relays it, and the relay breaks after the peer ran it. A broken relay
        must not count as a request that didn't run.
        """
        group = Group("abc")
        _owner, first, second = group.ranked()
        use_placement(group, first, peer=second, always=True)
        group.request(first, 1)
        group.request(second, 7, relayed_by=first)
        group.finish(second, 7)
        lost = Outcome(OutcomeKind.NOT_RUN, Code.NO_AGENT)
        group.finish(first, 1, b"", lost, started=False)
        assert group.outcome(first, 1) is None
        assert group.replayed(first, 1) == [b"filed"]

    def test_relayed_request_is_not_relayed_again(self):
        group = Group("ab")
        use_placement(group, "b", peer="a", always=True)
        group.request("b", 1, b"", relayed_by="a")
        assert group.relayed("b", 1) == []
        assert group.ran("b") == [1]

    def test_two_relays_to_each_other_do_not_wait_for_each_other(self):
        """Two copies of a request must not stay without an answer.

        Two agents relay their copies to each other at once. They would wait for each
        other if each relayed copy joined the copy that was relayed away.
        """
        group = Group("ab")
        use_placement(group, "a", peer="b", always=True)
        use_placement(group, "b", peer="a", always=True)
        group.request("a", 1)
        group.request("b", 2, attempt=2)
        group.request("b", 3, relayed_by="a")
        group.request("a", 4, attempt=2, relayed_by="b")
        assert len(group.ran("a") + group.ran("b")) == 1

    def test_copy_of_a_former_leader_can_be_cancelled(self):
        """An agent must keep handling a request after a copy is cancelled.

        A copy follows a relayed request, and then a relayed copy becomes the leader
        of the key. The follower and its leader are cancelled. The follower has to be
        looked up at its former leader, not at the new one.
        """
        group = Group("ab")
        use_placement(group, "a", peer="b", always=True)
        group.request("a", 1)
        group.request("a", 2, attempt=2)
        group.request("a", 3, relayed_by="b")
        group.feed("a", RequestCancelled(2))
        group.feed("a", RequestCancelled(1))
        assert group.effects_of("a", CancelRequest) == [CancelRequest(1)]
        assert group.relayed("a", 2) == []


class TestWaiting:
    def test_dead_owner_does_not_hold_the_slots(self):
        """Requests must be served before a dead member is marked down.

        A claim owner dies, and requests for its keys take every slot. A request must
        not hold its slot all the time that it waits for its claim.
        """
        group = Group(slots=1)
        owner, first, *_ = group.ranked()
        group.crash(owner)
        group.request(first, 1)
        group.run(0.5)
        group.request(first, 2, b"", idempotent=True)
        assert group.ran(first) == [2]
        group.finish(first, 2)
        group.set_state(owner, AgentState.DOWN)
        group.run(1)
        assert group.ran(first) == [2, 1]

    def test_target_that_hangs_gives_its_slot_back(self):
        """An agent must keep serving when a target hangs.

        The target hangs on a request whose caller set a deadline. The slot must be
        freed although the target never answers.
        """
        group = Group("a", slots=1)
        group.request("a", 1, b"", deadline=group.now + 2, idempotent=True)
        group.run(2.2)
        assert group.effects_of("a", CancelRequest) == [CancelRequest(1)]
        group.run(1.2)
        assert group.outcome("a", 1).code is Code.DEADLINE_EXPIRED
        assert group.cores["a"].busy == 0

    def test_cancelled_request_is_cancelled_at_the_target(self):
        group = Group("a")
        group.request("a", 1, b"", idempotent=True)
        group.feed("a", RequestCancelled(1))
        assert group.effects_of("a", CancelRequest) == [CancelRequest(1)]
        assert group.cores["a"].busy == 0

    def test_key_that_is_too_long_is_refused(self):
        group = Group("a")
        group.request("a", 1, bytes(129))
        assert group.outcome("a", 1).code is Code.KEY_TOO_LONG


class TestDrain:
    def test_new_work_goes_to_a_peer_and_old_work_finishes(self):
        group = Group("ab")
        use_placement(group, "a", peer="b")
        group.request("a", 1, b"", idempotent=True)
        group.feed("a", DrainRequested(30.0))
        group.request("a", 2, b"", idempotent=True)
        assert group.relayed("a", 2) == ["b"]
        assert not group.cores["a"].idle
        group.finish("a", 1)
        group.feed("a", RequestCancelled(2))
        group.run(1)
        assert group.cores["a"].idle

    def test_without_a_peer_it_is_refused(self):
        group = Group("a")
        group.feed("a", DrainRequested(30.0))
        group.request("a", 1, b"", idempotent=True)
        assert group.outcome("a", 1).code is Code.LEAVING


class TestFence:
    def test_nothing_queued_before_the_fence_runs_after_it(self):
        """A ticket must not run twice after a process was paused.

        A request waits for its claim; the process is paused and marked down; it
        resumes and gets the grant. Requests queued before the pause must not continue
        after it.
        """
        group = Group(slots=1)
        _owner, first, *_ = group.ranked()
        group.request(first, 1, b"running", idempotent=True)
        group.request(first, 2)
        core = group.cores[first]
        effects = core.restart(group.now, 2)
        assert CancelRequest(1) in effects
        group.set_state(first, AgentState.READY, incarnation=2)
        group.finish(first, 1, b"", DONE)
        group.run(2)
        assert group.ran(first) == [1]
        assert core.busy == core.queued == 0

    def test_request_that_ran_before_the_fence_is_unknown(self):
        group = Group("ab")
        runner = group.ranked()[1]
        group.request(runner, 1)
        group.cores[runner].restart(group.now, 2)
        group.set_state(runner, AgentState.READY, incarnation=2)
        group.run(1)
        group.request(runner, 2, attempt=2)
        assert group.ran(runner) == [1]
        finished = group.effects_of(runner, FinishRequest, 2)
        assert [effect.outcome.kind for effect in finished] == [OutcomeKind.UNKNOWN]
        assert group.effects_of(runner, Relay) == []
