"""``zinniahook explain`` on logs of instances whose clocks differ."""

import json

import pytest
from zinniahook_cli import explanations
from zinniahook_cli.main import main
from zinniahook_core.codes import Code, ZinniahookError

FLOW = "100.64.0.7:1059>198.18.0.1:443"
OTHER = "100.64.0.8:1060>198.18.0.1:443"


def line(time, instance, event, **fields):
    return json.dumps({"time": time, "instance": instance, "event": event, **fields})


def written(tmp_path, **texts_by_instance):
    paths = []
    for instance, lines in texts_by_instance.items():
        path = tmp_path / f"{instance}.log"
        path.write_text("\n".join(lines) + "\n")
        paths.append(path)
    return paths


HOME = [
    line(100.0, "home", "started", address="10.0.0.1"),
    line(150.0, "home", "flow.placed", flow=FLOW, opening=7, agent="10.0.0.2"),
    line(150.1, "home", "flow.placed", flow=OTHER, opening=8, agent="10.0.0.2"),
]
# The clock of the owner is 100 s behind.
OWNER = [
    line(0.0, "owner", "started", address="10.0.0.2"),
    line(50.0, "owner", "request.begun", flow=FLOW, opening=7, request="r1"),
    line(50.1, "owner", "flow.opened", flow=FLOW, opening=7),
    line(50.2, "owner", "request.begun", flow=OTHER, opening=8, request="r2"),
    line(50.3, "owner", "request.answered", flow=FLOW, request="r1", took=0.3),
    line(50.9, "owner", "request.answered", flow=FLOW, request="r1", took=0.6),
]


class TestRejection:
    def test_the_deciding_numbers_are_printed(self, tmp_path):
        numbers = {"demand": 31.0, "capacity": 12.0, "wait": 2.5}
        rejected = line(1, "home", "opening.rejected", flow=FLOW, opening=7, **numbers)
        lines = explanations.read_logs(written(tmp_path, home=[rejected]))
        text = str(explanations.build_explanation(FLOW, lines))
        assert "31.0 of 12.0 slots" in text
        assert "2.5 s" in text


class TestOrder:
    def test_follows_causes_and_not_clocks(self, tmp_path):
        lines = explanations.read_logs(written(tmp_path, owner=OWNER, home=HOME))
        found = explanations.build_explanation("r1", lines)
        events = [each.event for each in found.lines]
        assert events.index("flow.placed") < events.index("request.begun")
        assert found.flows == (FLOW,)

    def test_other_flows_and_other_openings_of_the_port_are_left_out(self, tmp_path):
        again = line(151.0, "home", "flow.placed", flow=FLOW, opening=9, agent="x")
        paths = written(tmp_path, owner=OWNER, home=[*HOME, again])
        found = explanations.build_explanation("r1", explanations.read_logs(paths))
        assert {each.fields.get("opening") for each in found.lines} <= {7, None}
        assert all(each.fields.get("request") != "r2" for each in found.lines)

    def test_a_cycle_is_broken(self, tmp_path):
        one = [
            line(1, "a", "started", address="10.0.0.1"),
            line(2, "a", "returned", flow=FLOW, to="10.0.0.2"),
            line(3, "a", "flow.placed", flow=FLOW, agent="10.0.0.2"),
        ]
        two = [
            line(1, "b", "started", address="10.0.0.2"),
            line(2, "b", "returned", flow=FLOW, to="10.0.0.1"),
            line(3, "b", "flow.placed", flow=FLOW, agent="10.0.0.1"),
        ]
        lines = explanations.read_logs(written(tmp_path, a=one, b=two))
        assert len(explanations.build_explanation(FLOW, lines).lines) == 6


class TestDecision:
    def test_is_the_first_answer(self, tmp_path):
        lines = explanations.read_logs(written(tmp_path, owner=OWNER, home=HOME))
        found = explanations.build_explanation("r1", lines)
        assert found.deciding.fields["took"] == 0.3

    def test_is_a_reset_if_there_is_one(self, tmp_path):
        ended = line(51.0, "owner", "reset.target_ended", flow=FLOW, request="r1")
        lines = explanations.read_logs(
            written(tmp_path, owner=[*OWNER, ended], home=HOME)
        )
        found = explanations.build_explanation("r1", lines)
        assert found.deciding.event == "reset.target_ended"
        assert "crashed" in found.meaning

    def test_is_the_answer_if_only_the_closing_was_reset(self, tmp_path):
        """An answered request must not be reported as reset.

        Its client closes the flow seconds later, when the target is gone. The reset
        that responds to the closing doesn't end the request.
        """
        closed = line(58.0, "home", "reset.no_owner", flow=FLOW, packet="closing")
        lines = explanations.read_logs(
            written(tmp_path, owner=[*OWNER, closed], home=HOME)
        )
        assert (
            explanations.build_explanation("r1", lines).deciding.event
            == "request.answered"
        )

    @pytest.mark.parametrize("event", sorted(explanations.MEANINGS_BY_EVENT))
    def test_every_event_has_a_meaning(self, tmp_path, event):
        lines = explanations.read_logs(
            written(tmp_path, a=[line(1, "a", event, flow=FLOW)])
        )
        assert explanations.build_explanation(FLOW, lines).meaning


class TestBadInput:
    def test_what_is_no_log_line_is_passed_over(self, tmp_path):
        odd = ["", "Traceback", "{", '{"event": 1}', "[1]", "  12.5 owner " + OWNER[1]]
        lines = explanations.read_logs(written(tmp_path, owner=odd))
        assert [each.event for each in lines] == ["request.begun"]

    @pytest.mark.parametrize(
        "odd",
        [
            {"time": "noon"},
            {"time": None},
            {"flow": ["x"]},
            {"agent": [1]},
            {"to": {}},
            {"event": ["e"]},
            {"instance": 3},
            {"request": {}},
            {"address": []},
        ],
    )
    def test_lines_with_other_types_are_passed_over(self, tmp_path, odd):
        """JSON of another program must not cause a traceback.

        This fails if fields are used without a check of the types that a daemon
        writes.
        """
        fields = {"time": 1, "instance": "a", "event": "returned", "flow": FLOW}
        path = tmp_path / "odd.log"
        path.write_text("\n".join([json.dumps(fields | odd), *OWNER]) + "\n")
        found = explanations.build_explanation("r1", explanations.read_logs([path]))
        assert found.deciding.event == "request.answered"
        assert {line.instance for line in found.lines} == {"owner"}

    def test_an_unknown_id_has_its_code(self, tmp_path):
        with pytest.raises(ZinniahookError) as caught:
            explanations.build_explanation(
                "r9", explanations.read_logs(written(tmp_path, a=OWNER))
            )
        assert caught.value.code is Code.COMMAND_UNKNOWN_NAME

    def test_a_missing_file_is_reported_in_one_line(self, tmp_path, capsys):
        with pytest.raises(SystemExit) as ended:
            main(["explain", "r1", "--logs", str(tmp_path / "none")])
        assert ended.value.code == 2
        assert capsys.readouterr().err.startswith("SETTINGS_FILE_MISSING 504")


class TestCommand:
    def test_prints_the_way_and_marks_the_decision(self, tmp_path, capsys):
        paths = written(tmp_path, owner=OWNER, home=HOME)
        with pytest.raises(SystemExit) as ended:
            main(["explain", "r1", "--logs", *map(str, paths)])
        assert ended.value.code == 0
        rows = capsys.readouterr().out.splitlines()
        assert rows[0] == f"flow {FLOW}"
        assert sum(row.startswith("> ") for row in rows) == 1
        assert rows[-1] == "the target's answer began after 0.3 s"

    def test_prints_one_json_object(self, tmp_path, capsys):
        paths = written(tmp_path, owner=OWNER, home=HOME)
        with pytest.raises(SystemExit):
            main(["explain", "r1", "--json", "--logs", *map(str, paths)])
        answer = json.loads(capsys.readouterr().out)
        assert answer["deciding"]["event"] == "request.answered"
        assert answer["flows"] == [FLOW]
