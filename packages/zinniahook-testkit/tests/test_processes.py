"""Starting and ending real processes."""

import os
import select
import signal
import subprocess
import sys

import pytest
from zinniahook_testkit import processes

BOUND = 20.0

STARTER = """
import signal
from zinniahook_testkit import processes
started = processes.start("zinniahook_testkit.stores")
print(started.pid, flush=True)
signal.pause()
"""


class TestProcess:
    def test_ready_terminate(self):
        with processes.start("zinniahook_testkit.stores") as process:
            assert process.running
            assert ":" in process.ready["address"]
            assert process.resident() > 0
        assert process.status == 0

    def test_paused_process_can_be_terminated(self):
        process = processes.start("zinniahook_testkit.stores")
        process.pause()
        assert process.terminate() == 0

    def test_killed(self):
        process = processes.start("zinniahook_testkit.stores")
        assert process.kill() == -signal.SIGKILL

    def test_module_that_ends_early_is_not_ready(self):
        with pytest.raises(processes.NotReadyError, match="ended before"):
            processes.start("zinniahook_testkit.stores", "--unknown")

    def test_killed_starter_leaves_nothing_behind(self):
        """Stand-ins outlive a killed test run and load the machine.

        The run gets SIGKILL, so its own cleanup never runs.
        """
        starter = subprocess.Popen(
            [sys.executable, "-c", STARTER], stdout=subprocess.PIPE
        )
        with starter:
            started = os.pidfd_open(int(starter.stdout.readline()))
            starter.kill()
        try:
            readable, _, _ = select.select([started], [], [], BOUND)
            assert readable
        finally:
            os.close(started)
