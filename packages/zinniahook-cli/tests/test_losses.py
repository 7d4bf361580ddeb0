"""``zinniahook losses``: causes of openings, and late openings."""

import json

from zinniahook_cli import losses
from zinniahook_cli.explanations import Line
from zinniahook_cli.main import main

SERVICE = "198.18.0.1:443"


def line(time, event, flow="", **fields):
    fields = {"time": time, "instance": "home", "event": event, "flow": flow, **fields}
    return Line("home", 0, fields)


def flow(client, port):
    return f"100.64.0.{client}:{port}>{SERVICE}"


def seconds(lines, goal=0.2):
    """Return the table as a mapping of columns for each second."""
    table = losses.loss_table(lines, goal)
    return {row[0]: dict(zip(table.columns, row, strict=True)) for row in table.rows}


class TestCauses:
    def test_a_copy_is_recognised_by_its_number(self):
        rows = seconds([line(5.0, "flow.placed", flow(1, 1), copy=2)])
        assert rows[0]["copies"] == 1
        assert rows[0]["retries"] == 0

    def test_an_opening_that_follows_a_reset_of_the_same_client(self):
        lines = [
            line(5.0, "reset.no_owner", flow(1, 1)),
            line(5.02, "flow.placed", flow(1, 2), copy=0),
            line(5.02, "flow.placed", flow(2, 2), copy=0),
        ]
        rows = seconds(lines)
        assert rows[0]["after reset"] == 1
        assert rows[0]["openings"] == 2
        assert rows[0]["resets"] == 1

    def test_a_retry_follows_an_opening_that_waited_in_vain(self):
        lines = [
            line(5.0, "flow.placed", flow(1, 1), copy=0),
            line(5.0, "flow.placed", flow(2, 1), copy=0),
            line(5.1, "flow.opened", flow(2, 1)),
            line(6.2, "drop.waited", flow(1, 1)),
            line(6.41, "flow.placed", flow(1, 2), copy=0),
            line(6.41, "flow.placed", flow(2, 2), copy=0),
        ]
        rows = seconds(lines)
        assert rows[0]["opened"] == 1
        assert rows[1]["retries"] == 1
        assert rows[1]["in vain"] == 1


class TestTimes:
    def test_late_openings_and_answers_by_second(self):
        lines = [
            line(5.0, "flow.placed", flow(1, 1), copy=0),
            line(5.3, "flow.opened", flow(1, 1)),
            line(6.1, "request.answered", flow(1, 1), took=0.1),
            line(6.2, "request.answered", flow(1, 1), took=0.3),
        ]
        rows = seconds(lines)
        assert rows[0]["late"] == 1
        assert (rows[1]["answers"], rows[1]["median"]) == (2, 0.3)

    def test_values_of_other_types_are_ignored(self):
        lines = [
            line(5.0, "flow.placed", flow(1, 1), copy="x"),
            line(5.0, "request.answered", flow(1, 1), took=None),
        ]
        assert seconds(lines)[0]["median"] == 0.0

    def test_no_lines_make_an_empty_table(self):
        assert seconds([]) == {}


class TestCommand:
    def test_reads_logs_and_prints_a_table(self, tmp_path, capsys, monkeypatch):
        path = tmp_path / "home.log"
        placed = line(5.0, "flow.placed", flow(1, 1), copy=0)
        path.write_text("12.3 home " + json.dumps(placed.fields) + "\n")
        try:
            main(["losses", "--logs", str(path)])
        except SystemExit as ended:
            assert ended.code == 0
        assert "openings" in capsys.readouterr().out

    def test_a_missing_file_is_reported_with_its_code(self, tmp_path, capsys):
        status = losses.losses(logs=[tmp_path / "none.log"])
        assert status != 0
        assert "SETTINGS_FILE_MISSING" in capsys.readouterr().err


class TestSearches:
    def test_those_that_were_resumed_count_too(self):
        lines = [
            line(5.0, "search", flow(1, 1), packet="closing", length=0, agents=12),
            line(5.1, "search.resumed", flow(1, 1), packet="closing", agents=1),
            line(5.2, "reset.no_owner", flow(1, 1), packet="closing", asked=0),
        ]
        rows = seconds(lines)
        assert (rows[0]["searches"], rows[0]["resets"]) == (2, 1)
