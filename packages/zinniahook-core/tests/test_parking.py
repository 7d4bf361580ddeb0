"""Requests that wait for a claim without a slot."""

from request_fakes import Group
from zinniahook_core.codes import OutcomeKind
from zinniahook_core.events import DrainRequested
from zinniahook_core.models import AgentState


class TestLeaving:
    def test_request_that_waited_for_a_claim_is_not_started(self):
        """A leaving target must get no new work 5 s after its drain began.

        A claim owner is silent, and a request waits for it at another agent, which
        begins to leave; then the owner is marked down. The request was admitted
        before the drain, but must not start when its claim is granted late.
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
