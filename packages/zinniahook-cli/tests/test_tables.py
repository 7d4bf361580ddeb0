"""Tables of answers: filters, sums, text and JSON."""

import json

import pytest
from zinniahook_cli.grammar import CommandError, parse
from zinniahook_cli.statements import Word
from zinniahook_cli.tables import Table, as_json, as_text, filtered, grouped

TABLE = Table(
    ("target", "state", "flows"),
    (("10.0.0.1:1", "ready", 7), ("10.0.0.2:1", "leaving", 12)),
    ("1 daemon gave no answer",),
)


def where(text):
    return parse(f"show x where {text}")[0].where


class TestTables:
    @pytest.mark.parametrize(
        ("text", "targets"),
        [
            ("state = leaving", ["10.0.0.2:1"]),
            ("flows < 12", ["10.0.0.1:1"]),
            ("flows >= 7 and state != ready", ["10.0.0.2:1"]),
            ("target ~ '*.1:1'", ["10.0.0.1:1"]),
        ],
    )
    def test_filter(self, text, targets):
        rows = filtered(TABLE, where(text)).rows
        assert [row[0] for row in rows] == targets

    @pytest.mark.parametrize("text", ["stat = ready", "flows > many"])
    def test_a_wrong_filter_points_at_its_word(self, text):
        with pytest.raises(CommandError) as caught:
            filtered(TABLE, where(text))
        assert caught.value.word.text in text

    def test_group_adds_up(self):
        rows = (("a", "ready", 1), ("b", "ready", 2), ("c", "down", 4))
        table = grouped(TABLE._replace(rows=rows), Word("state"))
        assert table.columns == ("state", "flows")
        assert table.rows == (("down", 4), ("ready", 3))

    def test_text_is_aligned(self):
        assert as_text(TABLE).splitlines() == [
            "target      state    flows",
            "10.0.0.1:1  ready        7",
            "10.0.0.2:1  leaving     12",
            "1 daemon gave no answer",
        ]

    def test_json_has_the_same_rows(self):
        assert json.loads(as_json(TABLE))["rows"][1] == {
            "target": "10.0.0.2:1",
            "state": "leaving",
            "flows": 12,
        }
