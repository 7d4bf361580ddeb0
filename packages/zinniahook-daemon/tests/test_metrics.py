"""Counters, timings and histograms."""

from __future__ import annotations

import socket

import pytest
from hdrh.histogram import HdrHistogram
from zinniahook_core.models import Address
from zinniahook_daemon.metrics import MAX_TIME_MICROSECONDS, MAX_UNSENT_TIMINGS, Metrics
from zinniahook_daemon.settings import MetricsSettings


@pytest.fixture
def statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(20)
        yield server


def lines_of(statsd: socket.socket) -> list[str]:
    return sorted(statsd.recv(65535).decode().splitlines())


class TestStatsd:
    def test_only_differences_are_sent(self, statsd):
        settings = MetricsSettings(Address(*statsd.getsockname()))
        metrics = Metrics(settings, "entry-1")
        metrics.count("entry.dropped", 3, code="NO_AGENT")
        metrics.histogram("tally", "ticket").record(0.002)
        metrics.flush()
        assert lines_of(statsd) == [
            "zinniahook.entry-1.entry.dropped.NO_AGENT:3|c",
            "zinniahook.entry-1.tally.ticket:2.000000|ms",
        ]
        metrics.count("entry.dropped", code="NO_AGENT")
        metrics.flush()
        assert lines_of(statsd) == ["zinniahook.entry-1.entry.dropped.NO_AGENT:1|c"]
        assert metrics.counters_by_name == {"entry.dropped.NO_AGENT": 4}

    def test_a_server_may_have_an_ipv6_address(self):
        """Guards against a daemon that exits at its start, with code 0.

        The settings contain an IPv6 address of a statsd. The statsd client
        expects IPv4 addresses unless it is created with ``ipv6``.
        """
        with socket.socket(socket.AF_INET6, socket.SOCK_DGRAM) as server:
            server.bind(("::1", 0))
            server.settimeout(20)
            address = Address(*server.getsockname()[:2])
            metrics = Metrics(MetricsSettings(address), "entry-1")
            metrics.count("entry.to_agents")
            metrics.flush()
            assert lines_of(server) == ["zinniahook.entry-1.entry.to_agents:1|c"]

    def test_without_a_server_counters_are_kept(self):
        metrics = Metrics(MetricsSettings(), "entry-1")
        metrics.count("entry.to_agents")
        metrics.flush()
        assert metrics.counters_by_name == {"entry.to_agents": 1}


class TestHistograms:
    def test_one_for_each_service_and_kind(self):
        metrics = Metrics(MetricsSettings(), "a")
        ticket = metrics.histogram("tally", "ticket")
        assert metrics.histogram("tally", "ticket") is ticket
        assert metrics.histogram("tally", "feed") is not ticket

    def test_values_out_of_range_are_kept_at_the_bounds(self):
        histogram = Metrics(MetricsSettings(), "a").histogram("tally", "ticket")
        histogram.record(0.0)
        histogram.record(1e9)
        decoded = HdrHistogram.decode(histogram.encode())
        assert decoded.get_total_count() == 2
        assert decoded.get_max_value() == pytest.approx(MAX_TIME_MICROSECONDS, rel=0.02)

    def test_unsent_timings_are_bounded(self):
        """Guards against memory that grows while no statsd is set.

        Times are recorded for hours and never sent. Without a limit, single
        timings would be kept for a flush that never comes.
        """
        metrics = Metrics(MetricsSettings(), "a")
        for _ in range(10 * MAX_UNSENT_TIMINGS):
            metrics.histogram("tally", "ticket").record(0.1)
        assert len(metrics.histogram("tally", "ticket").unsent) == MAX_UNSENT_TIMINGS
