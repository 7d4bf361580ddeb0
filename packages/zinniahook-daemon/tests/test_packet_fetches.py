"""Fetches of newer configurations, and failures of a daemon's tasks."""

import asyncio
import time

import pytest
from zinniahook_daemon.packets import daemon
from zinniahook_daemon.packets.daemon import Daemon


class FetchingDaemon(Daemon):
    """Records the peers that it would fetch from, and fetches nothing."""

    def __init__(self):
        self._fetching_since = {}
        self.asked = []

    def _fetch(self, address):
        return address

    def start(self, work):
        self.asked.append(work)


class TestFetches:
    """Guards against seconds of work for one change of the configuration.

    A hundred peers announce the newer version within milliseconds. The daemon must not
    fetch and parse the same document from each of them.
    """

    @pytest.fixture
    def clock(self, monkeypatch):
        times = [100.0]
        monkeypatch.setattr(time, "monotonic", lambda: times[0])
        return times

    def test_one_peer_is_asked_at_a_time(self, clock):
        fetching = FetchingDaemon()
        for number in range(100):
            fetching.fetch(f"10.0.0.{number}")
        assert fetching.asked == ["10.0.0.0"]

    def test_another_is_asked_if_the_first_is_slow(self, clock):
        fetching = FetchingDaemon()
        fetching.fetch("10.0.0.1")
        clock[0] += daemon.FETCH_INTERVAL_SECONDS
        fetching.fetch("10.0.0.1")
        fetching.fetch("10.0.0.2")
        assert fetching.asked == ["10.0.0.1", "10.0.0.2"]


class FailingDaemon(Daemon):
    """A daemon with tasks and without sockets."""

    def __init__(self):
        self._tasks = set()
        self.stopping = asyncio.Event()
        self.has_failed = False
        self.journal = self

    def event(self, name, **fields):
        assert name == "failed"


class TestInternalFailure:
    """Guards against an exit status of 0 after an internal fault.

    A task that should run without end raises an exception. The process must not stop as
    if it had received a signal, which its supervisor would consider a planned stop.
    """

    @pytest.mark.parametrize("fails", [False, True])
    def test_is_remembered(self, fails):
        async def work():
            if fails:
                raise RuntimeError("a fault")

        async def scenario():
            failing = FailingDaemon()
            failing.start(work())
            await asyncio.wait(set(failing._tasks))
            await asyncio.sleep(0)
            return failing.has_failed, failing.stopping.is_set()

        assert asyncio.run(scenario()) == (fails, fails)
