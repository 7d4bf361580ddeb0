"""The query and command language: parsing, and the positions of errors."""

import pytest
from zinniahook_cli.grammar import CommandError, parse
from zinniahook_cli.statements import Begin, Commit, Drain, Set, Show
from zinniahook_cli.syntax import SYNTAX_BY_NAME
from zinniahook_core.codes import Code


class TestParse:
    @pytest.mark.parametrize(
        "example",
        [text for entry in SYNTAX_BY_NAME.values() for text in entry.examples],
    )
    def test_every_documented_example_is_understood(self, example):
        assert parse(example)

    def test_clauses_of_show(self):
        (show,) = parse("show targets of tally where state = leaving and flows > 5")
        assert isinstance(show, Show)
        assert show.of.text == "tally"
        assert [(c.key.text, c.operator, c.value.text) for c in show.where] == [
            ("state", "=", "leaving"),
            ("flows", ">", "5"),
        ]

    def test_lines_and_semicolons_are_the_same(self):
        lines = parse("begin\n  set tally.queue = 64  # why\n\ncommit\n")
        semicolons = parse("begin; set tally.queue = 64; commit")
        kinds = [type(statement) for statement in lines]
        assert kinds == [type(statement) for statement in semicolons]
        assert kinds == [Begin, Set, Commit]

    def test_addresses_and_forced_drains(self):
        assert parse("drain target [::1]:9000 force")[0] == Drain(
            "target", parse("drain target [::1]:9000")[0].name, True
        )

    def test_a_service_may_be_named_like_a_keyword(self):
        assert parse("show targets of at")[0].of.text == "at"


class TestErrors:
    @pytest.mark.parametrize(
        ("source", "column", "text"),
        [
            ("shw services", 1, "shw"),
            ("show services\nset tally.queue 64", 17, "64"),
            ("drain data thies", 12, "thies"),
            ("set tally.queue ! 3", 17, "!"),
            ("rollback 41", 10, "41"),
        ],
    )
    def test_point_at_the_word(self, source, column, text):
        with pytest.raises(CommandError) as caught:
            parse(source)
        assert caught.value.code is Code.COMMAND_SYNTAX
        assert caught.value.word.column == column
        assert caught.value.word.text.strip() == text
        line, mark, message = caught.value.format_with_source(source).splitlines()
        assert line == source.splitlines()[-1]
        assert mark.index("^") == column - 1
        assert "510" in message

    @pytest.mark.parametrize("space", ["\u00a0", "\u2028", "\x0b"])
    def test_an_unsupported_space_is_pointed_at(self, space):
        """A no-break space at the end of a copied statement must not cause a traceback.

        The parser refuses it, and no word follows that the error could name.
        """
        with pytest.raises(CommandError) as caught:
            parse(f"show services{space}")
        assert caught.value.code is Code.COMMAND_SYNTAX
        assert caught.value.word.column == 14
        assert repr(space) in str(caught.value)

    def test_an_end_that_came_too_early(self):
        with pytest.raises(CommandError) as caught:
            parse("diff 41")
        assert (
            caught.value.format_with_source("diff 41").splitlines()[1] == " " * 7 + "^"
        )
