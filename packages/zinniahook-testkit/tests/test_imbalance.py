"""The imbalance model, and the limits that placement keeps in it."""

from zinniahook_testkit.imbalance import SIZES, Reports, measure

TALLY = SIZES[0]
SECONDS = 60.0


def run(policy, reports=Reports.FRESH, seed=1):
    return measure(TALLY, policy, reports, seed, SECONDS)


class TestImbalance:
    def test_the_same_seed_gives_the_same_run(self):
        assert run("placement") == run("placement")
        assert run("placement") != run("placement", seed=2)

    def test_placement_halves_what_hashing_leaves_over_windows(self):
        hashing, ours = run("hashing"), run("placement")
        assert ours.window_deviation <= hashing.window_deviation / 2
        assert ours.waiting < hashing.waiting / 2

    def test_the_model_punishes_trust_in_lying_reports(self):
        honest, lying = run("least-reported"), run("least-reported", Reports.LYING)
        assert lying.window_deviation > 2 * honest.window_deviation

    def test_lying_and_old_reports_change_nothing_for_placement(self):
        """A target that claims to be idle gets all the work of its service.

        Its load endpoint always reports zero. Its queue grows if targets are
        chosen by their own reports.
        """
        fresh = run("placement")
        for reports in (Reports.LYING, Reports.STALE):
            assert run("placement", reports)._replace(reports=Reports.FRESH) == fresh

    def test_a_failing_target_draws_no_work(self):
        hashing, ours = (
            run("hashing", Reports.FAILING),
            run("placement", Reports.FAILING),
        )
        assert ours.failed < hashing.failed / 4

    def test_no_policy_beats_the_ideal_at_instants(self):
        assert run("ideal").deviation < run("placement").deviation
