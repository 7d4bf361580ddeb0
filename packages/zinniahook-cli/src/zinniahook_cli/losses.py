"""``zinniahook losses``: late openings and answers, second by second.

Reads the logs of the packet service. Each row counts the openings of a second
by cause, those that opened, were late or waited in vain, searches, resets and
answers, and gives the response times. Daemons omit log lines under load
(``omitted``), so the counts of the busiest seconds are lower bounds.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from zinniahook_core.codes import ZinniahookError

from .answers import Answer, Status, status_of
from .explanations import Line, read_logs
from .tables import Table

__all__ = ["losses", "loss_table"]

AFTER_RESET_SECONDS = 0.05
"""Seconds within which a client opens a new flow after a reset: two network trips
and the client's own delay."""

RETRY_WINDOW_SECONDS = (1.3, 1.5)
"""Range of seconds after which a client retries an opening that waited in vain. A
client abandons an attempt after 1.4 s."""

COLUMNS = (
    "second",
    "openings",
    "copies",
    "after reset",
    "retries",
    "opened",
    "late",
    "in vain",
    "searches",
    "resets",
    "answers",
    "median",
    "ninth tenth",
)


class Opening(NamedTuple):
    """The first placement of a flow; ``opened_at`` is None if it never opened."""

    placed_at: float
    client: str
    copy: int
    opened_at: float | None


class History(NamedTuple):
    """The openings and resets of each client."""

    openings_by_client: dict[str, list[Opening]]
    resets_by_client: dict[str, list[float]]


Cause = Callable[[Opening, History], bool]
CAUSES_BY_COLUMN: dict[str, Cause] = {}
"""Tests for openings that aren't a client's first, by the column that counts them."""


def cause(column: str) -> Callable[[Cause], Cause]:
    """Register the test for openings that ``column`` counts."""

    def register(matches: Cause) -> Cause:
        CAUSES_BY_COLUMN[column] = matches
        return matches

    return register


@cause("copies")
def _is_copy(opening: Opening, history: History) -> bool:
    return opening.copy > 0


@cause("after reset")
def _follows_reset(opening: Opening, history: History) -> bool:
    resets = history.resets_by_client.get(opening.client, ())
    return any(
        0 <= opening.placed_at - reset_at < AFTER_RESET_SECONDS for reset_at in resets
    )


@cause("retries")
def _is_retry(opening: Opening, history: History) -> bool:
    """Return whether an earlier opening of the client never opened."""
    return any(
        former.opened_at is None
        and RETRY_WINDOW_SECONDS[0]
        < opening.placed_at - former.placed_at
        < RETRY_WINDOW_SECONDS[1]
        for former in history.openings_by_client[opening.client]
    )


def loss_table(lines: Iterable[Line], goal: float) -> Table:
    """Return one row of counts and times for each second.

    Parameters
    ----------
    lines : iterable of Line
        Lines of all daemons; their clocks must agree within a second.
    goal : float
        Seconds after which an opening counts as late.
    """
    lines = sorted(lines, key=lambda line: line.time)
    start = lines[0].time if lines else 0.0
    openings = _openings(lines)
    history = _history(lines, openings)
    counts_by_second: dict[int, Counter[str]] = defaultdict(Counter)
    for opening in openings.values():
        counts = counts_by_second[int(opening.placed_at - start)]
        _count(opening, history, goal, counts)
    times_by_second: dict[int, list[float]] = defaultdict(list)
    for line in lines:
        second = int(line.time - start)
        column = COLUMNS_BY_EVENT.get(line.event)
        if column:
            counts_by_second[second][column] += 1
        if line.event == "request.answered":
            times_by_second[second].append(_number(line, "took"))
    rows = [
        _row(second, counts_by_second[second], sorted(times_by_second[second]))
        for second in sorted({*counts_by_second, *times_by_second})
    ]
    return Table(COLUMNS, tuple(rows))


def _count(
    opening: Opening, history: History, goal: float, counts: Counter[str]
) -> None:
    counts["openings"] += 1
    counts["opened"] += opening.opened_at is not None
    waited = (opening.opened_at or opening.placed_at) - opening.placed_at
    counts["late"] += waited > goal
    for column, matches in CAUSES_BY_COLUMN.items():
        if matches(opening, history):
            counts[column] += 1
            return


COLUMNS_BY_EVENT = {
    "drop.waited": "in vain",
    "search": "searches",
    "search.resumed": "searches",
    "reset.evacuated": "resets",
    "reset.no_owner": "resets",
    "reset.target_ended": "resets",
    "reset.lost_by_target": "resets",
    "request.answered": "answers",
}


def _row(second: int, counts: Counter[str], times: list[float]) -> tuple:
    median = times[len(times) // 2] if times else 0.0
    ninth_decile = times[len(times) * 9 // 10] if times else 0.0
    return (
        second,
        *(counts[c] for c in COLUMNS[1:-2]),
        round(median, 3),
        round(ninth_decile, 3),
    )


def _openings(lines: list[Line]) -> dict[str, Opening]:
    """Return the openings by flow, in order of first placement."""
    opened_by_flow: dict[str, float] = {}
    by_flow: dict[str, Opening] = {}
    for line in lines:
        flow = line.fields.get("flow", "")
        if line.event == "flow.opened":
            opened_by_flow.setdefault(flow, line.time)
        elif line.event == "flow.placed" and flow not in by_flow:
            copy = int(_number(line, "copy"))
            by_flow[flow] = Opening(line.time, _client(flow), copy, None)
    return {
        flow: opening._replace(opened_at=opened_by_flow.get(flow))
        for flow, opening in by_flow.items()
    }


def _history(lines: list[Line], openings: dict[str, Opening]) -> History:
    history = History(defaultdict(list), defaultdict(list))
    for opening in openings.values():
        history.openings_by_client[opening.client].append(opening)
    for line in lines:
        if COLUMNS_BY_EVENT.get(line.event) == "resets":
            client = _client(line.fields.get("flow", ""))
            history.resets_by_client[client].append(line.time)
    return history


def _client(flow: str) -> str:
    return flow.partition(":")[0]


def _number(line: Line, name: str) -> float:
    value = line.fields.get(name)
    return value if isinstance(value, int | float) else 0.0


def losses(*, logs: list[Path], goal: float = 0.2, json: bool = False) -> int:
    """Print from the logs when openings and answers are late, by second.

    Parameters
    ----------
    logs
        Log files of the daemons.
    goal
        Seconds after which an opening counts as late.
    json
        Print one JSON object.

    Returns
    -------
    int
        Status of the process.
    """
    try:
        answer = Answer(table=loss_table(read_logs(logs), goal))
    except ZinniahookError as error:
        print(f"{error.code.name} {int(error.code)}: {error}", file=sys.stderr)
        return status_of(error.code)
    print(answer.as_json() if json else answer.as_text(), flush=True)
    return Status.OK
