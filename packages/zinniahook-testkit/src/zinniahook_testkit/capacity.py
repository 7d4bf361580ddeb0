"""The cost of each role at the design size, computed from measured slopes.

Every row follows from the committed results in ``bench/results`` and the sizes
below; run ``python docs/pages.py`` after new results.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

__all__ = ["Row", "rows", "table"]

ENTRIES = 7_300
ENDPOINTS = 37_000
SERVICES = 5_800
OPEN_FLOWS = 120_000_000
NEW_FLOWS_PER_SECOND = 690_000
CHANGES_PER_DAY = 13_000
FAILURES_PER_DAY = 100
RESTARTS_PER_DAY = 3_000
DATA_CENTRES = 4

DAY_SECONDS = 86_400.0
WRITES_PER_FAILURE = 3
"""Mark the agent down, announce it again, mark it ready."""

WRITES_PER_RESTART = 4
"""Mark the agent as leaving, remove it, announce it again, mark it ready."""

TICKS_PER_SECOND = 10
FAN_OUT = 8
LEAVES = math.ceil(ENDPOINTS / ENTRIES)
PEERS = round(ENDPOINTS / SERVICES)
ROSTER_CHANGES_PER_DAY = (
    FAILURES_PER_DAY * WRITES_PER_FAILURE + RESTARTS_PER_DAY * WRITES_PER_RESTART
)

MEMORY_BOUND_BYTES = 32e6
PROCESSOR_BOUND_SHARE = 0.035
RATE_BOUND_BYTES_PER_SECOND = 8_000.0
STORE_WRITES_PER_SECOND = 300.0
"""Assumed rate; the platform states several hundred writes per second."""

STORE_READS_PER_SECOND = 2_000.0


PACKET_SCENARIO = "packet-service"
PACKET_TICKS_PER_SECOND = 20
BYTES_PER_ROUTE = 33
"""Compressed size of a route in the document that daemons distribute: 155 bytes
uncompressed, from a document with 5,800 routes with random names."""

BYTES_PER_DIFFERENCE = 186
"""Compressed size of a change of one route among 5,800, from the same document."""

BYTES_PER_CALL = 900
"""Size of a call between daemons: connection, both HTTP headers and the request,
with IP and TCP headers; ten packets of 52 bytes and 380 bytes of text."""

POLL_INTERVAL_SECONDS = 0.4
"""Interval at which the daemon that watches the store reads it."""

CALLS_PER_START = 4
"""Read the configuration and the agents, announce the agent, withdraw it."""


class Row(NamedTuple):
    """One figure at the design size.

    ``bound`` is None if the users set no bound; ``source`` is the scenario of
    ``make bench`` that measured the slope.
    """

    role: str
    what: str
    value: float
    unit: str
    bound: float | None
    working: str
    source: str


class Results:
    """The committed figures by scenario and name."""

    def __init__(self, folder: Path) -> None:
        self._figures_by_name = {
            path.stem: json.loads(path.read_text())["figures"]
            for path in folder.glob("*.json")
        }

    def figure(self, scenario: str, name: str) -> float:
        """Return a figure.

        Raises
        ------
        KeyError
            If the scenario has no committed result or lacks this figure.
        """
        return self._figures_by_name[scenario][name]


def rows(folder: Path) -> list[Row]:
    """Compute every row from the results in ``folder``."""
    results = Results(folder)
    return [
        *_entry(results),
        *_agent(results),
        *_relay(results),
        *_store(results),
        *_packets(results),
    ]


def _entry(results: Results) -> Iterator[Row]:
    figure = results.figure
    service = figure("entry-memory", "bytes per service")
    one = figure("entry-memory", "bytes per member")
    base = figure("entry-memory", "bytes base")
    yield Row(
        "entry",
        "memory of control",
        base + SERVICES * service + ENDPOINTS * one,
        "B",
        MEMORY_BOUND_BYTES,
        f"{base:,.0f} + {SERVICES} x {service:.0f} + {ENDPOINTS} x {one:.0f}",
        "entry-memory",
    )
    small = figure("entry-packets", "private memory of an entry")
    large = figure("distribution", "private memory of an entry")
    yield Row(
        "entry",
        "private memory that the size adds to the process",
        large - small,
        "B",
        MEMORY_BOUND_BYTES,
        f"{large / 1e6:.1f} MB at full size, {small / 1e6:.1f} MB with one service",
        "distribution",
    )
    yield Row(
        "entry",
        "private memory of the whole process",
        large,
        "B",
        MEMORY_BOUND_BYTES,
        "the interpreter and imports with it",
        "distribution",
    )
    yield Row(
        "entry",
        "memory a flow",
        figure("entry-memory", "bytes per open flow"),
        "B",
        None,
        f"{OPEN_FLOWS / ENTRIES:,.0f} open flows an entry",
        "entry-memory",
    )
    tick = figure("entry-control", f"tick at {SERVICES}") * 1e-6
    change = figure("entry-control", f"configuration at {SERVICES}") * 1e-6
    roster = figure("entry-control", f"roster at {SERVICES}") * 1e-6
    yield Row(
        "entry",
        "processor of the core",
        TICKS_PER_SECOND * tick
        + (CHANGES_PER_DAY * change + ROSTER_CHANGES_PER_DAY * roster) / DAY_SECONDS,
        "s/s",
        PROCESSOR_BOUND_SHARE,
        f"{TICKS_PER_SECOND}/s x {tick * 1e6:.1f} µs + {CHANGES_PER_DAY} a day x"
        f" {change * 1e3:.2f} ms + {ROSTER_CHANGES_PER_DAY} a day x"
        f" {roster * 1e6:.0f} µs",
        "entry-control",
    )
    packet = figure("entry-packets", "µs per packet, 300000 flows")
    yield Row(
        "entry",
        "packets on one core",
        1e6 / packet,
        "1/s",
        None,
        f"1 / {packet:.1f} µs; {NEW_FLOWS_PER_SECOND / ENTRIES:.0f} new flows a second",
        "entry-packets",
    )


def _agent(results: Results) -> Iterator[Row]:
    figure = results.figure
    base = figure("agent-memory", "bytes base")
    one = figure("agent-memory", "bytes per peer")
    yield Row(
        "agent",
        "memory of control in the core",
        base + PEERS * one,
        "B",
        MEMORY_BOUND_BYTES,
        f"{base:,.0f} + {PEERS} x {one:.0f}",
        "agent-memory",
    )
    for peers in (PEERS, 63):
        yield Row(
            "agent",
            f"processor of control, {peers} peers",
            figure("agent-control", f"processor at {peers} peers"),
            "s/s",
            PROCESSOR_BOUND_SHARE,
            "as measured",
            "agent-control",
        )
        yield Row(
            "agent",
            f"bytes sent, {peers} peers",
            figure("agent-control", f"sent at {peers} peers"),
            "B/s",
            RATE_BOUND_BYTES_PER_SECOND,
            "as measured, headers of IP and UDP included",
            "agent-control",
        )
    flows = OPEN_FLOWS / ENDPOINTS
    connection = figure("agent-connections", "bytes per open connection")
    yield Row(
        "agent",
        "memory of QUIC flows (data path)",
        flows * connection,
        "B",
        None,
        f"{flows:,.0f} x {connection:,.0f}",
        "agent-connections",
    )
    plain = figure("agent-memory", "bytes per UDP flow")
    yield Row(
        "agent",
        "memory of plain UDP flows (data path)",
        flows * plain,
        "B",
        None,
        f"{flows:,.0f} x {plain:.0f}",
        "agent-memory",
    )
    new = NEW_FLOWS_PER_SECOND / ENDPOINTS
    spent = figure("agent-connections", "processor per connection")
    yield Row(
        "agent",
        "processor of new QUIC flows (data path)",
        new * spent,
        "s/s",
        None,
        f"{new:.1f}/s x {spent * 1e3:.1f} ms",
        "agent-connections",
    )


def _relay(results: Results) -> Iterator[Row]:
    figure = results.figure
    whole = figure("distribution", "change, all services")
    roster = figure("distribution", "change of a roster")
    digests = figure("distribution", "digests a second, all services")
    received = (
        CHANGES_PER_DAY * whole + ROSTER_CHANGES_PER_DAY * roster
    ) / DAY_SECONDS + digests
    yield Row(
        "relay",
        "bytes received",
        received,
        "B/s",
        RATE_BOUND_BYTES_PER_SECOND,
        f"{CHANGES_PER_DAY} a day x {whole:.0f} + {ROSTER_CHANGES_PER_DAY} a day x"
        f" {roster:.0f} + {digests:.0f}/s",
        "distribution",
    )
    leaf = figure("distribution", "subscriber of one service")
    yield Row(
        "relay",
        "bytes sent",
        FAN_OUT * received + LEAVES * leaf,
        "B/s",
        RATE_BOUND_BYTES_PER_SECOND,
        f"{FAN_OUT} subscribers of all services, {LEAVES} agents x {leaf:.0f}",
        "distribution",
    )
    child = figure("distribution", "child's processor time a change") / 1e3
    parent = figure("distribution", "parent's processor time a change") / 1e3
    yield Row(
        "relay",
        "processor of changes",
        CHANGES_PER_DAY * max(child, parent) / DAY_SECONDS,
        "s/s",
        PROCESSOR_BOUND_SHARE,
        f"{CHANGES_PER_DAY} a day x {max(child, parent) * 1e3:.1f} ms",
        "distribution",
    )


def _store(results: Results) -> Iterator[Row]:
    calls = results.figure("rollout-tree", "calls a change at 30 daemons")
    yield Row(
        "store",
        "calls of configuration changes",
        CHANGES_PER_DAY * calls / DAY_SECONDS,
        "1/s",
        STORE_READS_PER_SECOND,
        f"{CHANGES_PER_DAY} a day x {calls:.1f}, whatever the fleet",
        "rollout-tree",
    )
    yield Row(
        "store",
        "roster writes, ordinary day",
        ROSTER_CHANGES_PER_DAY / DAY_SECONDS,
        "1/s",
        STORE_WRITES_PER_SECOND,
        f"{FAILURES_PER_DAY} x {WRITES_PER_FAILURE} + {RESTARTS_PER_DAY} x"
        f" {WRITES_PER_RESTART} a day",
        "by counting",
    )
    yield Row(
        "store",
        "seconds to mark a data centre down",
        min(SERVICES, ENDPOINTS / DATA_CENTRES) / STORE_WRITES_PER_SECOND,
        "s",
        None,
        "one write a roster marks all of its silent members;"
        f" {SERVICES} rosters at {STORE_WRITES_PER_SECOND:.0f}/s",
        "by counting",
    )
    back = ENDPOINTS / DATA_CENTRES * 2
    yield Row(
        "store",
        "seconds to announce a data centre again",
        back / STORE_WRITES_PER_SECOND,
        "s",
        None,
        f"{back:,.0f} writes at {STORE_WRITES_PER_SECOND:.0f}/s",
        "by counting",
    )
    largest = results.figure("configuration-size", "largest value of the limit")
    yield Row(
        "store",
        "largest value",
        largest,
        "of 1 MB",
        1.0,
        "measured at full size",
        "configuration-size",
    )


def _packets(results: Results) -> Iterator[Row]:
    """Yield the rows of the packet service."""

    def figure(name: str) -> float:
        return results.figure(PACKET_SCENARIO, name)

    hints = OPEN_FLOWS / ENTRIES
    yield Row(
        "packet entry",
        "memory of owners remembered (data path)",
        hints * figure("entry: bytes a flow"),
        "B",
        None,
        f"{hints:,.0f} open flows x {figure('entry: bytes a flow'):.0f}",
        PACKET_SCENARIO,
    )
    packet = figure("entry: processor a packet")
    yield Row(
        "packet entry",
        "packets on one core",
        1e6 / packet,
        "1/s",
        None,
        f"1 / {packet:.1f} us",
        PACKET_SCENARIO,
    )
    flows = OPEN_FLOWS / ENDPOINTS
    yield Row(
        "packet agent",
        "memory of flows (data path)",
        flows * figure("agent: bytes a flow"),
        "B",
        None,
        f"{flows:,.0f} x {figure('agent: bytes a flow'):.0f}",
        PACKET_SCENARIO,
    )
    for peers in (6, 44):
        tick = figure(f"agent: processor a tick with {peers} peers")
        yield Row(
            "packet agent",
            f"bytes sent to {peers} peers",
            figure(f"agent: bytes sent with {peers} peers"),
            "B/s",
            RATE_BOUND_BYTES_PER_SECOND,
            "as measured, headers of IP and UDP included",
            PACKET_SCENARIO,
        )
        yield Row(
            "packet agent",
            f"processor of ticks, {peers} peers",
            PACKET_TICKS_PER_SECOND * tick / 1e6,
            "s/s",
            PROCESSOR_BOUND_SHARE,
            f"{PACKET_TICKS_PER_SECOND}/s x {tick:.0f} us",
            PACKET_SCENARIO,
        )
    whole = SERVICES * BYTES_PER_ROUTE
    starts = RESTARTS_PER_DAY / (ENTRIES + ENDPOINTS)
    changes = CHANGES_PER_DAY * (BYTES_PER_DIFFERENCE + BYTES_PER_CALL)
    yield Row(
        "packet daemon",
        "bytes of configurations received",
        (changes + starts * whole) / DAY_SECONDS,
        "B/s",
        RATE_BOUND_BYTES_PER_SECOND,
        f"{CHANGES_PER_DAY} a day x ({BYTES_PER_DIFFERENCE} + {BYTES_PER_CALL} of the "
        f"call) + {starts:.2f} starts x {whole}; whole documents with each change "
        f"would be {CHANGES_PER_DAY / DAY_SECONDS * whole / 1000:.1f} KB/s",
        "by counting",
    )
    yield Row(
        "store",
        "calls of the packet service, ordinary day",
        1 / POLL_INTERVAL_SECONDS + RESTARTS_PER_DAY * CALLS_PER_START / DAY_SECONDS,
        "1/s",
        STORE_READS_PER_SECOND,
        f"one watcher each {POLL_INTERVAL_SECONDS} s + {RESTARTS_PER_DAY} starts x"
        f" {CALLS_PER_START}",
        "by counting",
    )


def table(folder: Path) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| role | what | at the size | bound | holds | working | measured by |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [_line(row) for row in rows(folder)]
    return "\n".join(lines)


def _line(row: Row) -> str:
    bound = "" if row.bound is None else _number(row.bound, row.unit)
    holds = "" if row.bound is None else ("yes" if row.value <= row.bound else "**no**")
    return (
        f"| {row.role} | {row.what} | {_number(row.value, row.unit)} | {bound} |"
        f" {holds} | {row.working} | `{row.source}` |"
    )


def _number(value: float, unit: str) -> str:
    if unit == "B" and value >= 1e5:
        return f"{value / 1e6:.1f} MB"
    if unit == "B/s":
        return f"{value / 1e3:.2f} KB/s"
    if unit == "s/s":
        return f"{value:.3%} of a core"
    return f"{value:,.3g} {unit}"
