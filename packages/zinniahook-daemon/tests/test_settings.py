"""Validation of the settings file."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from zinniahook_core.codes import Code
from zinniahook_core.models import Address
from zinniahook_daemon.settings import Role, SettingsError, load
from zinniahook_testkit.certificates import Authority

ENTRY = """
role = "entry"
name = "entry-1"
data_centre = "thies-1"
[store]
addresses = ["127.0.0.1:2379"]
[tunnel]
address = "127.0.0.1:0"
[control]
address = "127.0.0.1:0"
certificate = "daemon.pem"
key = "daemon.key"
authority = "ca.pem"
"""


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    for name in ("daemon.pem", "daemon.key", "ca.pem"):
        (tmp_path / name).touch()
    return tmp_path


def write(directory: Path, text: str) -> Path:
    file = directory / "entry.toml"
    file.write_text(text)
    return file


class TestLoading:
    def test_an_entry(self, directory):
        settings = load(write(directory, ENTRY))
        assert settings.role is Role.ENTRY
        assert settings.store.addresses == (Address("127.0.0.1", 2379),)
        assert settings.control.key == directory / "daemon.key"
        assert settings.metrics.statsd is None

    def test_an_agent(self, directory):
        text = ENTRY.replace('"entry"', '"agent"') + (
            '[agent]\nservice = "tally"\ntarget = "[::1]:8080"\nslots = 4\n'
            'certificate = "daemon.pem"\nkey = "daemon.key"\n'
        )
        settings = load(write(directory, text))
        assert settings.agent.target == Address("::1", 8080)
        assert settings.agent.slots == 4


class TestInvalidFiles:
    """Guards against a daemon that starts with a mistake in its settings file.

    An operator edits the file, and the daemon reads it. The mistake must be reported
    with its location before anything is started.
    """

    @pytest.mark.parametrize(
        ("old", "new", "key", "code"),
        [
            ("[store]", "[stor]", "stor", Code.SETTINGS_UNKNOWN_KEY),
            ("addresses", "adresses", "store.adresses", Code.SETTINGS_UNKNOWN_KEY),
            ('name = "entry-1"', "name = 7", "name", Code.SETTINGS_TYPE),
            ('"entry"', '"router"', "role", Code.SETTINGS_TYPE),
            ('"entry"', '"agent"', "agent", Code.SETTINGS_MISSING_KEY),
            ('data_centre = "thies-1"', "", "data_centre", Code.SETTINGS_MISSING_KEY),
            (
                '["127.0.0.1:2379"]',
                '["store:2379"]',
                "store.addresses",
                Code.SETTINGS_ADDRESS,
            ),
            ('["127.0.0.1:2379"]', "[]", "store.addresses", Code.SETTINGS_ADDRESS),
            (
                '"127.0.0.1:0"\ncert',
                '"127.0.0.1:99999"\ncert',
                "control.address",
                Code.SETTINGS_ADDRESS,
            ),
            ('"ca.pem"', '"x.pem"', "control.authority", Code.SETTINGS_FILE_MISSING),
            (
                '"ca.pem"',
                f'"{"x" * 300}"',
                "control.authority",
                Code.SETTINGS_FILE_MISSING,
            ),
            ('"entry-1"', '"entry-1', "", Code.SETTINGS_UNREADABLE),
            ('"entry-1"', "[" * 5000, "", Code.SETTINGS_UNREADABLE),
            (
                "[control]",
                '[entry]\nbind_host = "here"\n[control]',
                "entry.bind_host",
                Code.SETTINGS_ADDRESS,
            ),
        ],
    )
    def test_names_key_and_code(self, directory, old, new, key, code):
        file = write(directory, ENTRY.replace(old, new, 1))
        with pytest.raises(SettingsError) as caught:
            load(file)
        assert (caught.value.key, caught.value.code) == (key, code)
        assert str(file) in str(caught.value)
        assert "\n" not in str(caught.value)

    def test_a_file_that_is_not_there(self, directory):
        with pytest.raises(SettingsError) as caught:
            load(directory / "none.toml")
        assert caught.value.code is Code.SETTINGS_UNREADABLE


class TestCommandLine:
    def run(self, *arguments: object) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "zinniahook_daemon.main", *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=60,
            env=dict(os.environ),
        )

    def test_check_passes_and_starts_nothing(self, directory):
        done = self.run("--settings", write(directory, ENTRY), "--check")
        assert (done.returncode, done.stdout, done.stderr) == (0, "", "")

    def test_an_address_in_use_is_reported_with_its_code(self, directory):
        """Guards against a log with code 0 and without the address.

        Two daemons of a machine have the same tunnel address in their settings,
        so the second one exits. The error of the operating system contains
        neither the address nor a result code.
        """
        Authority(directory).issue("daemon")
        text = ENTRY.replace('"ca.pem"', '"authority.pem"')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            text = text.replace("127.0.0.1:0", address, 1)
            done = self.run("--settings", write(directory, text))
        assert (done.returncode, done.stdout) == (1, "")
        lines = [json.loads(line) for line in done.stderr.splitlines()]
        assert lines[-1]["event"] == "failed"
        assert lines[-1]["code"] == Code.SETTINGS_ADDRESS
        assert address in lines[-1]["reason"]

    def test_check_fails_with_one_line(self, directory):
        file = write(directory, ENTRY.replace("[tunnel]", "[tunel]"))
        done = self.run("--settings", file, "--check")
        assert done.returncode == 2
        assert done.stdout == ""
        assert done.stderr.splitlines() == [
            f"{file}: tunel: is not a known setting [SETTINGS_UNKNOWN_KEY 501]"
        ]
