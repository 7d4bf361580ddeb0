"""Each invariant check finds its violation and accepts a correct run."""

import copy

import pytest
from zinniahook_testkit.checks import Evidence, check, checks_by_rule, summarize
from zinniahook_testkit.loads import Record

RULES = {
    "twice": "a non-idempotent request runs at most once",
    "not-run": "what was told as not run was not run",
    "done": "what was told as done was finished",
    "service": "a packet reaches only its own service",
    "whole": "a caller receives the whole answer to its own request",
    "flow": "an established flow survives",
    "leaving": "a leaving target receives no new work",
}


def ledger(target, tickets=(), **counts):
    return {
        "service": target.rpartition("-")[0],
        "target": target,
        "counts": counts,
        "work": float(len(tickets)),
        "runs_by_ticket": dict.fromkeys(tickets, 1),
        "finished_by_ticket": dict.fromkeys(tickets, 1),
    }


def result(kind, *records):
    return {
        "kind": kind,
        "service": "tally",
        "path": f"/{kind}",
        "records": [list(record) for record in records],
        "counts": {"flows_opened": 1},
        "quantiles": {},
    }


def done(ticket, **fields):
    return Record(ticket, "done", 0.1, 1, "tally", "tally-1")._replace(**fields)


@pytest.fixture
def evidence():
    """Return the evidence of a run without violations."""
    ledgers = (
        ledger("tally-1", ["t-1", "t-2"], started_tickets=2, started_feed=1),
        ledger("tally-2", ["t-3"], started_tickets=1, started_feed=1),
    )
    results = (
        result(
            "tickets",
            done("t-1"),
            done("t-2"),
            done("t-3"),
            Record("t-4", "not-run", 1.0),
            Record("t-5", "unknown", 1.0),
        ),
        result("feeds", done("feed-1"), done("feed-2")),
        result("exports", done("1")),
    )
    left = {"tally-2": copy.deepcopy(ledgers[1])}
    return Evidence(ledgers, results, left)


def broken_rules(evidence):
    return {violation.rule for violation in check(evidence)}


def tickets(evidence):
    return evidence.results[0]["records"]


class TestChecks:
    def test_every_rule_is_tested(self):
        assert set(RULES.values()) == set(checks_by_rule)

    def test_a_good_run_breaks_none(self, evidence):
        assert check(evidence) == []

    def test_run_twice_on_two_targets(self, evidence):
        evidence.ledgers[1]["runs_by_ticket"]["t-1"] = 1
        assert broken_rules(evidence) == {RULES["twice"]}

    def test_run_twice_on_one_target(self, evidence):
        evidence.ledgers[0]["runs_by_ticket"]["t-1"] = 2
        assert broken_rules(evidence) == {RULES["twice"]}

    def test_told_as_not_run_but_ran(self, evidence):
        evidence.ledgers[0]["runs_by_ticket"]["t-4"] = 1
        assert broken_rules(evidence) == {RULES["not-run"]}

    def test_told_as_done_but_not_finished(self, evidence):
        del evidence.ledgers[0]["finished_by_ticket"]["t-1"]
        assert broken_rules(evidence) == {RULES["done"]}

    def test_unknown_may_have_run_or_not(self, evidence):
        evidence.ledgers[0]["runs_by_ticket"]["t-5"] = 1
        assert check(evidence) == []

    def test_served_by_another_service(self, evidence):
        tickets(evidence)[0] = list(done("t-1", service="ledger"))
        assert broken_rules(evidence) == {RULES["service"]}

    @pytest.mark.parametrize("fault", [{"whole": False}, {"outcome": "cut"}])
    def test_answer_not_whole(self, evidence, fault):
        evidence.results[2]["records"][0] = list(done("1", **fault))
        assert broken_rules(evidence) == {RULES["whole"]}

    @pytest.mark.parametrize("fault", [{"whole": False}, {"outcome": "cut"}])
    def test_broken_feed(self, evidence, fault):
        evidence.results[1]["records"][0] = list(done("feed-1", **fault))
        assert broken_rules(evidence) == {RULES["flow"]}

    def test_work_after_leaving(self, evidence):
        evidence.ledgers[1]["counts"]["started_tickets"] += 1
        assert broken_rules(evidence) == {RULES["leaving"]}


class TestSummary:
    def test_figures(self, evidence):
        evidence.ledgers[1]["runs_by_ticket"]["t-1"] = 1
        summary = summarize(evidence, "tally")
        assert summary.flows_opened == 3
        assert (summary.run, summary.run_twice) == (5, 1)
        assert (summary.refused, summary.unknown, summary.broken) == (1, 1, 0)
        # The figures of imbalance exclude leaving targets.
        assert summary.work_max_to_mean == 1.0
