"""Random faults against real cores, with the guarantees checked at each step.

``TestPromises`` runs the cores unchanged. ``TestChecksCanFail`` breaks one part at
a time and verifies that the check of that guarantee fails.
"""

import pytest
from core_rules import Callers, ClusterMachine, Flows, Planned, Unplanned
from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis.stateful import run_state_machine_as_test
from zinniahook_core import (
    agents,
    claims,
    effects,
    entries,
    events,
    homes,
    owners,
    requests,
    routing,
)
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.messages import ClaimIntent, ClaimState

QUIET = (
    HealthCheck.too_slow,
    HealthCheck.filter_too_much,
    HealthCheck.data_too_large,
    HealthCheck.large_base_example,
)


class Faults(Callers, Flows, Planned, Unplanned, ClusterMachine):
    """All rules together."""

    planned_only = False


class Requests(Callers, Planned, ClusterMachine):
    """Requests under planned changes."""


class Overload(Callers, ClusterMachine):
    """More requests than the targets accept."""


class Copies(ClusterMachine):
    """A few requests, each in several copies."""

    file_request = Callers.file_request
    retry = Callers.retry


class FlowsUnderChange(Flows, Planned, ClusterMachine):
    """Established flows under planned changes."""


class FlowsUnderDrain(ClusterMachine):
    """Established flows while agents leave and entries are replaced."""

    send_on_flows = Flows.send_on_flows
    drain = Planned.drain
    replace_entry = Planned.replace_entry


def check(machine, examples, steps, verbosity=Verbosity.quiet):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            verbosity=verbosity,
            suppress_health_check=QUIET,
        ),
    )


class TestPromises:
    @pytest.mark.parametrize("machine", [Faults, Requests, FlowsUnderChange])
    def test_hold(self, machine):
        check(machine, examples=25, steps=40)


def grant_always(self, now, request, key, attempt, intent, *rest):
    """Settle a claim without asking any peer."""
    refuses = intent is ClaimIntent.REFUSE
    state = ClaimState.REFUSED if refuses else ClaimState.GRANTED
    self._settled.append(claims.Settled(request, state, self._name))


def refuse_without_tombstone(self, now, item, refusal):
    """Report "not run" while another copy may still run."""
    self.conclude(item, Outcome(OutcomeKind.NOT_RUN, refusal.code, 1.0))


def route_by_owner_alone(self, now, service, caller, payload):
    """Route by the connection id without checking its service."""
    destination = routing.destination_of(payload)
    if not isinstance(destination, Code):
        owner = self._connection_ids.decode(destination[1])
        if isinstance(owner, routing.Owner):
            return owner.agent
    return original_route(self, now, service, caller, payload)


def take_any_generation(self, now, event):
    """Install the last configuration received, whatever its generation."""
    self.configuration = event.configuration
    return []


def ignore(self, now, event):
    """Ignore an event."""
    return []


def lose_joins(self, now, event):
    """Never answer a copy that joined another."""
    found = original_handle(self, now, event)
    return [one for one in found if not isinstance(one, effects.JoinRequest)]


def had_no_other_home(self, now, flow):
    """Treat every flow of this home as new."""
    return False


def send_no_pointers(self, now, incarnation):
    """Never send pointers to the new home of a flow."""
    return []


def stop_at_once(self, now, event):
    """Leave without letting flows finish."""
    self.flows.clear()
    return original_drain(self, now, event)


original_drain = agents._HANDLERS_BY_EVENT[events.DrainRequested]
original_handle = agents.AgentCore.handle
original_route = entries.EntryCore.route


class TestChecksCanFail:
    def catches(self, promise, machine=Faults):
        with pytest.raises(AssertionError, match=promise):
            check(machine, examples=80, steps=40)

    def test_request_that_runs_twice(self, monkeypatch):
        monkeypatch.setattr(claims.Claims, "begin", grant_always)
        self.catches("ran twice", Copies)

    def test_not_run_that_is_untrue(self, monkeypatch):
        monkeypatch.setattr(requests.Requests, "refuse", refuse_without_tombstone)
        self.catches("ran, though told not", Overload)

    def test_copy_that_is_never_answered(self, monkeypatch):
        monkeypatch.setattr(agents.AgentCore, "handle", lose_joins)
        self.catches("unanswered")

    def test_packet_that_crosses_services(self, monkeypatch):
        monkeypatch.setattr(entries.EntryCore, "route", route_by_owner_alone)
        self.catches("packet at")

    def test_new_work_on_a_leaving_agent(self, monkeypatch):
        handlers = agents._HANDLERS_BY_EVENT
        monkeypatch.setitem(handlers, events.DrainRequested, ignore)
        self.catches("at leaving", Requests)

    def test_generation_that_goes_down(self, monkeypatch):
        handlers = agents._HANDLERS_BY_EVENT
        monkeypatch.setitem(handlers, events.ConfigurationChanged, take_any_generation)
        self.catches("generation went down")

    def test_flow_lost_to_a_planned_change(self, monkeypatch):
        monkeypatch.setattr(homes.Homes, "had_other_home", had_no_other_home)
        monkeypatch.setattr(owners.OwnedFlows, "messages", send_no_pointers)
        self.catches("flow moved", FlowsUnderChange)

    def test_flow_dropped_by_a_leaving_agent(self, monkeypatch):
        handlers = agents._HANDLERS_BY_EVENT
        monkeypatch.setitem(handlers, events.DrainRequested, stop_at_once)
        self.catches("flow moved", FlowsUnderDrain)
