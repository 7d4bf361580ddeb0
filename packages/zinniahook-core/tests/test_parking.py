"""Requests that wait for a claim without a slot."""

from request_fakes import Group
from zinniahook_core.codes import OutcomeKind
from zinniahook_core.events import DrainRequested
from zinniahook_core.models import AgentState


class TestLeaving:
    def test_request_that_waited_for_a_claim_is_not_started(self):
        """
        Symptom: a leaving target gets new work 5 s after its drain began.
        Sequence: a claim owner is silent, a request waits for it at another
        agent; that one begins to leave; the owner is marked down.
        Cause: the request had been taken before, so it was started once its
        claim was granted, however late.
        """
        group = Group()
        owner, first, *_ = group.ranked()
        group.crash(owner)
        group.request(first, 1)
        group.run(0.5)
        group.feed(first, DrainRequested(30.0))
        group.run(3.0)
        group.set_state(owner, AgentState.DOWN)
        group.run(3.0)
        assert group.ran(first) == []
        assert group.outcome(first, 1).kind is OutcomeKind.NOT_RUN
