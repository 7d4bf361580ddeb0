"""Log lines that never block, and the text format of metrics."""

import json
import os

from zinniahook_daemon.packets import journal as journals
from zinniahook_daemon.packets.exposition import render
from zinniahook_daemon.packets.journal import Journal


def open_journal():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    return Journal("edge-1", writing), reading


def lines(reading):
    text = b""
    try:
        while part := os.read(reading, 1 << 20):
            text += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in text.splitlines()]


class TestLines:
    def test_name_the_instance_and_the_event(self):
        journal, reading = open_journal()
        flow = bytes((100, 64, 0, 7, 4, 1, 198, 18, 0, 1, 0, 80))
        journal.event("flow.opened", flow=flow, opening=7)
        (line,) = lines(reading)
        assert line["instance"] == "edge-1"
        assert line["event"] == "flow.opened"
        assert line["flow"] == "100.64.0.7:1025>198.18.0.1:80"
        assert line["opening"] == 7

    def test_are_limited_by_event_and_count_omitted_lines(self, monkeypatch):
        journal, reading = open_journal()
        clock = [50.0]
        monkeypatch.setattr(journals.time, "monotonic", lambda: clock[0])
        for _ in range(1000):
            journal.event("drop.no_agent")
        journal.event("started")
        written = lines(reading)
        assert len(written) == journals.BURST_LINES + 1
        clock[0] += 1.0
        journal.event("drop.no_agent")
        (line,) = lines(reading)
        assert line["omitted"] == 1000 - journals.BURST_LINES
        assert journal.counters_by_name["drop.no_agent"] == 1001


class TestStoppedReader:
    """Guards against a daemon that halts with all its flows.

    The reader of standard output stops, and the pipe fills. A blocking write would
    halt the daemon.
    """

    def test_lines_are_dropped_and_counted(self, monkeypatch):
        journal, reading = open_journal()
        monkeypatch.setattr(journals, "BURST_LINES", 1e9)
        for _ in range(5000):
            journal.event("flow.opened", text="x" * 100)
        assert journal.dropped > 0
        assert len(lines(reading)) + journal.dropped == 5000
        journal.event("flow.opened")
        assert len(lines(reading)) == 1

    def test_a_closed_reader_raises_no_error(self):
        journal, reading = open_journal()
        os.close(reading)
        journal.event("flow.opened")
        assert journal.dropped == 1


class TestExposition:
    def test_counters_histograms_and_gauges(self):
        journal, _ = open_journal()
        journal.count("packets.forwarded", 3)
        journal.observe("answer_seconds", 0.06, route="r-1")
        journal.observe("answer_seconds", 9.0, route="r-1")
        text = render(journal, {"flows": 7}).decode()
        assert 'zinniahook_events_total{event="packets.forwarded"} 3' in text
        assert 'answer_seconds_bucket{route="r-1",le="0.1"} 1' in text
        assert 'answer_seconds_bucket{route="r-1",le="+Inf"} 2' in text
        assert 'answer_seconds_sum{route="r-1"} 9.0600' in text
        assert "zinniahook_flows 7" in text

    def test_routes_without_end_are_refused(self):
        journal, _ = open_journal()
        for number in range(journals.MAX_HISTOGRAMS + 5):
            journal.observe("answer_seconds", 0.1, route=f"r-{number}")
        assert len(journal.histograms_by_key) == journals.MAX_HISTOGRAMS
        assert journal.counters_by_name["histograms.refused"] == 5
