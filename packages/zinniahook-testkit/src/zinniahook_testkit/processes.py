"""Start Python modules as real processes for tests and benchmarks.

Once it is ready, such a module prints one JSON line, ``{"ready": {...}}``, on its
standard output. Its standard error is passed through.
"""

from __future__ import annotations

import ctypes
import json
import os
import selectors
import signal
import subprocess
import sys
import threading
import time
import urllib.request
from collections.abc import Mapping
from types import TracebackType
from typing import Any, Self

__all__ = [
    "READY_TIMEOUT",
    "STOP_TIMEOUT",
    "NotReadyError",
    "Process",
    "StandIn",
    "start",
]

READY_TIMEOUT = 20.0
"""Seconds until a process must have printed its ready line."""

STOP_TIMEOUT = 10.0
"""Seconds from SIGTERM until a process is killed."""

ADMIN_TIMEOUT = 10.0
"""Seconds until an admin address must have answered."""

READ_BYTES = 65536

SET_PARENT_DEATH_SIGNAL = 1
"""Operation of prctl(2)."""

_libc = ctypes.CDLL(None)


class NotReadyError(RuntimeError):
    """A process ended or timed out before it was ready."""


class Process:
    """A running process that has printed its ready line.

    Attributes
    ----------
    ready : dict
        The value of "ready" in the ready line.
    pid : int
        The process id; signals go to this process only.
    """

    def __init__(self, popen: subprocess.Popen[bytes], ready: dict[str, Any]) -> None:
        self._popen = popen
        self.ready = ready
        self.pid = popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def status(self) -> int | None:
        """The exit status, negative for a signal, None while it runs."""
        return self._popen.poll()

    def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """Wait for the end and return the exit status.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process still runs after ``timeout`` seconds.
        """
        status = self._popen.wait(timeout)
        self._close()
        return status

    def kill(self) -> int:
        """Send SIGKILL, wait for the end and return the exit status."""
        self._send(signal.SIGKILL)
        return self.wait()

    def terminate(self, timeout: float = STOP_TIMEOUT) -> int:
        """Request a graceful shutdown, and kill after ``timeout`` seconds."""
        self.ask_to_stop()
        try:
            return self.wait(timeout)
        except subprocess.TimeoutExpired:
            return self.kill()

    def ask_to_stop(self) -> None:
        """Send SIGTERM and return at once."""
        # SIGTERM stays pending while a process is stopped.
        self._send(signal.SIGCONT)
        self._send(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self._send(signal.SIGCONT)

    def resident(self) -> int:
        """Return the resident memory in bytes."""
        with open(f"/proc/{self.pid}/statm") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def private(self) -> int:
        """Return the resident memory not shared with other processes, in bytes."""
        kilobytes = 0
        with open(f"/proc/{self.pid}/smaps_rollup") as rollup:
            for line in rollup:
                if line.startswith("Private_"):
                    kilobytes += int(line.split()[1])
        return kilobytes * 1024

    def processor_time(self) -> float:
        """Return the processor time used so far, in seconds."""
        with open(f"/proc/{self.pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        return (user + system) / os.sysconf("SC_CLK_TCK")

    def _send(self, number: int) -> None:
        if self.running:
            self._popen.send_signal(number)

    def _close(self) -> None:
        if self._popen.stdout:
            self._popen.stdout.close()

    def __enter__(self) -> Process:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.running:
            self.terminate()


class StandIn:
    """A process that is controlled over the ``admin`` address of its ready line."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self._admin: str = process.ready["admin"]

    def state(self) -> dict[str, Any]:
        """Return the state that the process reports."""
        return self._get("state")

    def post(self, action: str, **fields: Any) -> dict[str, Any]:
        """Send an action to the process and return its new state."""
        return self._get(action, json.dumps(fields).encode())

    def _get(self, action: str, body: bytes | None = None) -> dict[str, Any]:
        url = f"http://{self._admin}/{action}"
        with urllib.request.urlopen(url, body, ADMIN_TIMEOUT) as answer:
            return json.load(answer)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.process.terminate()


def start(
    module: str,
    *args: object,
    timeout: float = READY_TIMEOUT,
    env: Mapping[str, str] | None = None,
) -> Process:
    """Run ``python -m module args`` and wait for its ready line.

    Parameters
    ----------
    module : str
        Name of the module to run.
    *args : object
        Command line arguments, converted to text.
    timeout : float
        Seconds until the process must be ready.
    env : mapping, optional
        Variables to add to the environment.

    Raises
    ------
    NotReadyError
        If the process ends or isn't ready in time; it is killed then.
    """
    popen = subprocess.Popen(
        [sys.executable, "-m", module, *map(str, args)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        env={**os.environ, **(env or {})},
        preexec_fn=_die_with_parent if _is_main_thread() else None,
    )
    try:
        line = _read_line(popen, timeout)
        ready = json.loads(line)
    except (NotReadyError, ValueError) as error:
        popen.kill()
        status = popen.wait()
        popen.stdout.close()
        raise NotReadyError(f"{module}: {error} (status {status})") from error
    return Process(popen, ready.get("ready", ready))


def _is_main_thread() -> bool:
    return threading.current_thread() is threading.main_thread()


def _die_with_parent() -> None:
    """Make the kernel kill this process when its parent ends.

    A killed test run performs no cleanup, so its processes would go on for ever,
    load the machine and occupy ports. The kernel reacts to the end of the
    starting thread, so only the main thread may set this.
    """
    _libc.prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


def _read_line(popen: subprocess.Popen[bytes], timeout: float) -> bytes:
    """Return the first line of output, read within ``timeout`` seconds."""
    deadline = time.monotonic() + timeout
    data = b""
    with selectors.DefaultSelector() as selector:
        selector.register(popen.stdout, selectors.EVENT_READ)
        while b"\n" not in data:
            left = deadline - time.monotonic()
            if left <= 0 or not selector.select(left):
                raise NotReadyError(f"not ready after {timeout} s")
            chunk = os.read(popen.stdout.fileno(), READ_BYTES)
            if not chunk:
                raise NotReadyError(f"ended before it was ready: {data!r}")
            data += chunk
    return data.partition(b"\n")[0]
