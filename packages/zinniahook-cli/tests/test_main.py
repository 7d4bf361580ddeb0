"""The command line: settings, files, JSON and exit statuses."""

import json
import pathlib
import subprocess
import sys

import pytest
from zinniahook_cli.answers import Status
from zinniahook_cli.main import zinniahook


@pytest.fixture
def settings(store, authority, tmp_path):
    """Return a settings file of amina, with paths relative to the file."""
    authority.issue("amina")
    path = authority.folder / "zinniahook.toml"
    path.write_text(
        f'store = ["{store.address}"]\ncertificate = "amina.pem"\n'
        'key = "amina.key"\nauthority = "authority.pem"\n'
    )
    return path


class TestSettings:
    @pytest.mark.parametrize(
        ("text", "code"),
        [
            ("", 505),
            ('store = "127.0.0.1:1"\ncolour = 3', 501),
            ("store = [3]", 502),
            ('store = ["nowhere"]', 503),
            ('store = "127.0.0.1:1"\nkey = "missing.key"', 504),
            (f'store = "127.0.0.1:1"\nkey = "{"x" * 300}"', 504),
            ('store = "127.0.0.1:1"\ntimeout = -1', 502),
            ("store =", 500),
            (f"store = {'[' * 5000}", 500),
        ],
    )
    def test_a_wrong_file_is_reported_with_its_code(self, tmp_path, capsys, text, code):
        file = tmp_path / "zinniahook.toml"
        file.write_text(text)
        assert zinniahook("show", "services", settings=file) == Status.USAGE
        assert f" {code}: " in capsys.readouterr().err

    def test_statements_that_cannot_be_read_are_a_wrong_use(
        self, settings, tmp_path, capsys
    ):
        """The JSON status must agree with the exit status.

        Statements are read from a missing file. The JSON said "refused" with exit
        status 2, as the error had the code of an invalid configuration.
        """
        file = tmp_path / "none.txt"
        status = zinniahook(file=file, settings=settings, json=True)
        answer = json.loads(capsys.readouterr().out)
        assert (status, answer["status"], answer["code"]) == (2, "usage", 500)

    def test_flags_go_before_the_file(self, settings, capsys):
        status = zinniahook("show services", settings=settings, store="127.0.0.1:1")
        assert status == Status.UNREACHABLE


class TestOutput:
    @pytest.mark.skipif(
        not pathlib.Path("/dev/full").exists(), reason="no full device here"
    )
    def test_an_answer_that_cannot_be_printed(self, settings, first):
        """An answer that can't be written must end with the status for unknown.

        A change is committed and its answer goes to a full disk. Unhandled, the
        error causes a traceback and status 1 or 120, which mean something else; the
        operator has to look up what is in force.
        """
        with open("/dev/full", "w") as full:
            command = (sys.executable, "-m", "zinniahook_cli.main", "--settings")
            done = subprocess.run(
                [*command, str(settings), first],
                stdout=full,
                stderr=subprocess.PIPE,
                text=True,
                timeout=60,
            )
        assert done.returncode == Status.UNKNOWN
        (line,) = done.stderr.splitlines()
        assert "can't print the answer" in line


class TestRun:
    def test_words_make_one_statement(self, settings, first, capsys):
        assert zinniahook(*first.split(), settings=settings) == Status.OK
        assert capsys.readouterr().out == "committed (generation 1)\n"
        assert zinniahook("show", "services", settings=settings) == Status.OK
        assert "127.0.0.1:4433" in capsys.readouterr().out

    def test_json_has_one_object_a_statement(self, settings, first, capsys):
        text = f"{first}; set tally.queue = 64; diff 1 2; set tall.queue = 1"
        status = zinniahook(text, settings=settings, json=True)
        assert status == Status.USAGE
        answers = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
        assert [answer["status"] for answer in answers] == ["ok", "ok", "ok", "usage"]
        assert answers[1]["generation"] == 2
        assert answers[2]["rows"][0]["after"] == 64
        assert answers[3]["code"] == 511

    def test_a_file_that_never_commits_changes_nothing(
        self, settings, first, tmp_path, capsys
    ):
        assert zinniahook(first, settings=settings) == Status.OK
        file = tmp_path / "change.txt"
        file.write_text("begin\nset tally.queue = 64\n")
        assert zinniahook(file=file, settings=settings) == Status.USAGE
        assert "never committed" in capsys.readouterr().err
        zinniahook("show history", settings=settings, json=True)
        assert len(json.loads(capsys.readouterr().out)["rows"]) == 1

    def test_a_negative_number_is_out_of_bounds_not_unreadable(
        self, settings, first, capsys
    ):
        zinniahook(first, settings=settings)
        status = zinniahook("set tally.drain = -1", settings=settings)
        assert status == Status.REFUSED
        assert "must be from" in capsys.readouterr().err
