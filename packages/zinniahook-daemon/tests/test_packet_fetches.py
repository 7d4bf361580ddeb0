"""From whom a daemon fetches a newer configuration."""

import time

import pytest
from zinniahook_daemon.packets import daemon
from zinniahook_daemon.packets.daemon import Daemon


class FetchingDaemon(Daemon):
    """Notes whom it would ask, and asks nobody."""

    def __init__(self):
        self._fetching_since = {}
        self.asked = []

    def _fetch(self, address):
        return address

    def start(self, work):
        self.asked.append(work)


class TestFetches:
    """Symptom: a change of the configuration takes a daemon seconds of work.

    Sequence: a hundred peers show the newer version within milliseconds. Cause:
    the daemon fetched and read the same document from each of them.
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
        clock[0] += daemon.FETCH_PATIENCE
        fetching.fetch("10.0.0.1")
        fetching.fetch("10.0.0.2")
        assert fetching.asked == ["10.0.0.1", "10.0.0.2"]
