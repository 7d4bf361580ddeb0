"""Requests that wait while their target ends, and how they are reported."""

import pytest
from queueing_fakes import (
    AgentHarness,
)
from zinniahook_core.packets import (
    Flag,
    Urgency,
)


class TestTargetThatGoes:
    """Waiting requests are delivered only to the target that holds their flow."""

    def test_draining_delivers(self):
        """Requests of open flows are late at each planned change.

        They wait for slots of a target that closes its flows.
        """
        harness = AgentHarness()
        flow, other = harness.open(1), harness.open(2)
        harness.busy()
        raw = harness.ask(flow)
        harness.send_heartbeat(leaving=True)
        harness.core.tick(harness.now)
        assert harness.delivered[-1] == raw
        assert harness.ask(other) in harness.delivered

    def test_an_agent_that_leaves_delivers_first(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        harness.core.leave(harness.now)
        assert harness.delivered[-1] == raw and harness.held == 0

    def test_an_evacuated_one_keeps_its_flows(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        harness.core.evacuate(harness.now, 2, frozenset("a"))
        harness.core.tick(harness.now)
        assert harness.delivered[-1] == raw
        assert not harness.reset

    def test_a_new_target_gets_nothing_of_the_former_one(self):
        """A target gets a request of a flow that it doesn't hold.

        A target is replaced while requests wait, and they are kept after their flow.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        harness.wait(1.5)
        harness.busy()
        raw = harness.ask(flow)
        harness.send_heartbeat(target="t-2", number=1, born=2)
        harness.wait(2.0, beats=False)
        assert raw not in harness.delivered and harness.held == 0
        assert harness.reset == {flow}

    def test_a_crashed_one_counts_as_running_none_of_them(self):
        harness = AgentHarness()
        flow = harness.open(1)
        working = harness.busy()
        raw = harness.ask(flow)
        for each in working:
            harness.client(
                each, Flag.ACKNOWLEDGES, harness.sent[each] - 7, 1001, b"request"
            )
        harness.wait(0.7, beats=False)
        assert raw not in harness.delivered and harness.held == 0
        assert flow in harness.reset

    def test_a_process_that_was_frozen(self):
        """Requests still wait although their limit has passed.

        The process is frozen for 3 s, and clients have repeated the requests meanwhile.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        harness.now += 3.0
        harness.core.tick(harness.now)
        assert harness.delivered.count(raw) == 1 and harness.held == 0
        assert not harness.reset

    def test_no_request_waits_for_unreported_slots(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        harness.core.target.slots = 0
        assert harness.ask(flow) in harness.delivered

    def test_on_again_takes_no_request_for_cut_off(self):
        """A request waits although a slot is free.

        Queueing is switched off, a flow continues, and queueing is switched on. By the
        sequence numbers from before, the first packet of the request seems missing.
        """
        harness = AgentHarness()
        flow = harness.open(1)
        routes = harness.core.routes
        self.switch(harness, routes, 2, lambda route: Urgency())
        harness.ask(flow)
        harness.answer(flow)
        self.switch(harness, routes, 3, lambda route: route.urgency)
        working = harness.busy()
        raw = harness.ask(flow)
        assert raw not in harness.delivered
        harness.answer(working[0])
        assert harness.delivered[-1] == raw

    def switch(self, harness, routes, version, urgency):
        by_address = {
            key: route._replace(urgency=urgency(route))
            for key, route in routes.by_address.items()
        }
        routes = routes._replace(version=version, by_address=by_address)
        harness.core.configure(harness.now, routes)

    def test_off_again_delivers(self):
        harness = AgentHarness()
        flow = harness.open(1)
        harness.busy()
        raw = harness.ask(flow)
        self.switch(harness, harness.core.routes, 2, lambda route: Urgency())
        harness.core.tick(harness.now)
        assert harness.delivered[-1] == raw


class TestReportedLoad:
    """Homes send openings to an agent at which requests wait.

    Its status reports only the requests that its target has got.
    """

    def test_what_waits_counts(self):
        harness = AgentHarness()
        flows = [harness.open(n) for n in range(1, 6)]
        harness.busy()
        for flow in flows:
            harness.ask(flow)
        harness.core.tick(harness.now)
        assert harness.core.membership.waiting == len(flows)


class TestLines:
    """The log shows that a request waited and for how long."""

    def test_waiting_is_logged(self):
        harness = AgentHarness()
        harness.codec.request = lambda raw: (
            raw[-7:].decode() if raw[-7:-4] == b"id-" else ""
        )
        flow = harness.open(1)
        working = harness.busy()
        harness.ask(flow, b"id-1234")
        harness.wait(0.1)
        harness.answer(working[0])
        fields = [f for name, f in harness.log.lines if name == "request.held"]
        assert [f["request"] for f in fields] == ["id-1234"]
        begun = [f for name, f in harness.log.lines if name == "request.begun"]
        assert begun[-1]["request"] == "id-1234"
        assert begun[-1]["waited"] == pytest.approx(0.1)
        assert all("waited" not in f for f in begun[:-1])
        assert harness.log.counts["held_seconds"] == 1
