"""Functions without I/O of reports, completion, rollouts and drains."""

from hdrh.histogram import HdrHistogram
from zinniahook_cli.daemons import NoReply, Survey, progress
from zinniahook_cli.drains import Stop, services_without_targets, waves
from zinniahook_cli.fleets import Fleet
from zinniahook_cli.prompt import WordCompleter
from zinniahook_cli.reports import Sample, draw, merge_histograms
from zinniahook_cli.rollouts import Traffic, failure_share, stages
from zinniahook_core.models import Address, AgentState, Member, Roster
from zinniahook_wire.control_pb2 import Histogram, StatusReply

PNG = b"\x89PNG\r\n\x1a\n"


def member(name, state=AgentState.READY):
    here = Address("127.0.0.1", 1)
    return Member(name, here, here, here, "thies-1", 1, state, 4)


def histogram(service, *microseconds):
    values = HdrHistogram(1, 86_400 * 1_000_000, 2)
    for value in microseconds:
        values.record_value(value)
    return Histogram(service=service, request_class="ticket", encoded=values.encode())


class TestReport:
    def test_histograms_of_daemons_add_up(self):
        parts = [histogram("tally", 100, 200), histogram("tally", 300)]
        values = merge_histograms([*parts, histogram("ledger", 5)])
        assert values["tally", "ticket"].get_total_count() == 3
        assert values["ledger", "ticket"].get_max_value() == 5

    def test_draws_a_picture(self, tmp_path):
        samples = [Sample(0.0, {"tally": 1.2}), Sample(1.0, {"tally": 1.1})]
        file = tmp_path / "report.png"
        draw(file, merge_histograms([histogram("tally", 100, 5000)]), samples)
        assert file.read_bytes().startswith(PNG)


class TestProgress:
    def test_unanswered_and_unknown_daemons_count_as_lagging(self):
        answers = {
            Address("127.0.0.1", 1): StatusReply(name="entry-1", generation=4),
            Address("127.0.0.1", 2): StatusReply(name="entry-2", generation=3),
        }
        unanswered = (NoReply(Address("127.0.0.1", 3), "no answer"),)
        found = progress(4, Survey(answers, unanswered), ["tally-9"])
        assert found.in_force == ("entry-1",)
        assert len(found.lagging) == 3
        assert not found.everywhere


class TestStages:
    def test_only_widen(self):
        first, second = stages(
            ("instance", "data-centre", "all"), ["entry-1"], ["a", "b"], 7
        )
        assert (first.instances, first.data_centres) == (("entry-1",), ())
        assert (second.instances, second.data_centres) == (("entry-1",), ("a",))
        assert {first.previous, second.previous} == {7}

    def test_one_data_centre_is_no_stage(self):
        assert stages(("data-centre", "all"), ["entry-1"], ["a"], 7) == []

    def test_only_traffic_since_the_first_reading_counts(self):
        before = {"a": Traffic(50_000, 900, 100, 3), "b": Traffic(9, 0, 0, 0)}
        assert failure_share(before, before) == 0.0
        after = {"a": Traffic(51_900, 1000, 100, 3), "c": Traffic(9, 9999, 0, 0)}
        assert failure_share(before, after) == 100 / 2000
        assert failure_share(before, {"a": Traffic(0, 0, 0, 0)}) == 0.0


class TestServicesWithoutTargets:
    def test_names_the_services_without_another_ready_target(self):
        rosters = {
            "tally": Roster("tally", 1, {n: member(n) for n in ("tally-1", "tally-2")}),
            "ledger": Roster(
                "ledger",
                1,
                {
                    "ledger-1": member("ledger-1"),
                    "ledger-2": member("ledger-2", AgentState.LEAVING),
                },
            ),
        }
        fleet = Fleet(rosters, {}, {}, (), Survey({}, ()))
        here = Address("127.0.0.1", 1)
        stops = [Stop("tally-1", here, "tally"), Stop("ledger-1", here, "ledger")]
        assert services_without_targets(fleet, stops) == ["ledger"]


class TestWaves:
    def test_a_service_loses_one_target_at_a_time(self):
        here = Address("127.0.0.1", 1)
        agents = [Stop(f"{s}-{n}", here, s) for s in ("a", "b") for n in range(3)]
        entries = [Stop(f"entry-{n}", here) for n in range(17)]
        plan = waves(agents, entries)
        names = [[stop.name for stop in wave] for wave in plan]
        assert names[:3] == [["a-0", "b-0"], ["a-1", "b-1"], ["a-2", "b-2"]]
        assert [len(wave) for wave in plan[3:]] == [2] * 8 + [1]
        assert sum(map(len, plan)) == 23


class TestCompletion:
    def test_words_follow_from_what_stands_before(self):
        words = WordCompleter(["tally", "ledger"])
        assert "targets" in words.candidates("show ")
        assert words.candidates("show targets of ") == ("ledger", "tally")
        assert "tally.queue" in words.candidates("set ")
        assert "rollback" in words.candidates("begin; ")
        assert "where" in words.candidates("show targets ")
