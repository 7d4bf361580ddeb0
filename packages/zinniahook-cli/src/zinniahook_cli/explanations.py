"""``zinniahook explain``: the path of a request or flow, from all logs.

Lines are sorted by cause rather than by clock: the lines of an instance keep
their order, and an action that another daemon triggered follows its trigger.
Clocks may differ between instances and may jump, so they only break ties.
"""

from __future__ import annotations

import heapq
import itertools
import json
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from zinniahook_core.codes import Code, ZinniahookError

from .answers import Answer, Status, status_of

__all__ = ["Explanation", "Line", "explain", "build_explanation", "read_logs"]

CONTEXT_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "stopped",
        "target.state",
        "target.absent",
        "target.suspected",
        "target.trusted",
        "evacuations.installed",
        "store.restored",
        "store.era_fell",
        "configuration.installed",
        "dependency.lost",
        "dependency.regained",
        "reset.all",
    )
)
"""Events about the state of a daemon or of its peers, which name no flow."""

CONTEXT_MARGIN_SECONDS = 2.0
"""Context events are shown up to this many seconds before the first and after the
last line of the flow at a daemon. A process restarts, and a target sends a
heartbeat, in less time."""

START_EVENTS = frozenset(("flow.placed", "request.begun"))
REQUIRED_FIELDS = frozenset(("instance", "event"))
STRING_FIELDS = ("instance", "event", "flow", "request", "agent", "to", "address")
"""Fields that select and order lines; their values must be strings."""

PREFIX_FIELDS = ("time", "instance", "event", "flow")


class Line(NamedTuple):
    """A log line. ``position`` is its index among all lines read."""

    instance: str
    position: int
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """The name of the logged event."""
        return self.fields["event"]

    @property
    def time(self) -> float:
        """The time by the instance's own clock, in seconds."""
        return float(self.fields.get("time", 0.0))

    def __str__(self) -> str:
        rest = {k: v for k, v in self.fields.items() if k not in PREFIX_FIELDS}
        text = " ".join(f"{key}={value}" for key, value in rest.items())
        return f"{self.time:.3f} {self.instance} {self.event} {text}".rstrip()


class Explanation(NamedTuple):
    """The lines in causal order, the deciding line, and its meaning."""

    flows: tuple[str, ...]
    lines: tuple[Line, ...]
    deciding: Line | None
    meaning: str


Meaning = Callable[[Line], str]
"""Returns what the deciding line means for the request."""

MEANINGS_BY_EVENT: dict[str, Meaning] = {}


def decides(*events: str) -> Callable[[Meaning], Meaning]:
    """Register the meaning of events that decide the outcome of a flow."""

    def register(meaning: Meaning) -> Meaning:
        for event in events:
            MEANINGS_BY_EVENT[event] = meaning
        return meaning

    return register


@decides("request.answered")
def _answered(line: Line) -> str:
    return f"the target's answer began after {line.fields.get('took')} s"


@decides("reset.no_route")
def _no_route(line: Line) -> str:
    return f"configuration {line.fields.get('version')} has no such route"


@decides("drop.stale_route")
def _stale_route(line: Line) -> str:
    return "an entry with an older configuration sent it to the wrong service"


@decides("reset.full")
def _full(line: Line) -> str:
    return "every target returned the opening: all were full"


@decides("opening.rejected")
def _rejected(line: Line) -> str:
    fields = line.fields
    return (
        f"its service was overloaded (demand {fields.get('demand')} of"
        f" {fields.get('capacity')} slots); openings like it would have waited"
        f" {fields.get('wait')} s; nothing was sent to a target"
    )


@decides("reset.evacuated")
def _evacuated(line: Line) -> str:
    return "operators have evacuated every data centre of its service"


@decides("search.unsure")
def _unsure(line: Line) -> str:
    unseen = line.fields.get("unseen") or "some that are gone"
    return f"its owner wasn't found: {unseen} may hold it and don't answer"


@decides("reset.no_owner")
def _no_owner(line: Line) -> str:
    packet = line.fields.get("packet") or "a packet"
    return f"no agent holds the flow: its target is gone (asked with {packet})"


@decides("reset.lost_by_target", "reset.target_ended")
def _lost(line: Line) -> str:
    return "its target crashed, or was started again without its flows"


@decides("request.reset")
def _closed_by_target(line: Line) -> str:
    return f"the target itself reset it after {line.fields.get('took')} s"


@decides("drop.waited")
def _waited(line: Line) -> str:
    busy = line.fields.get("busy")
    return f"it waited in vain for a free slot, with {busy} requests in progress"


@decides("drop.no_agent", "drop.no_taker")
def _no_agent_accepted(line: Line) -> str:
    return "no agent could accept it at that time"


@decides("search.timeout", "drop.no_owner")
def _undecided(line: Line) -> str:
    agents = line.fields.get("silent") or line.fields.get("unseen")
    agents = agents or line.fields.get("unsure") or "some that are gone"
    return f"its owner wasn't found: no answer from {agents}"


@decides("drop.hop_limit")
def _hop_limit(line: Line) -> str:
    return "daemons with different rosters forwarded it to each other"


@decides("request.begun")
def _begun(line: Line) -> str:
    return "its target received it, and no answer is logged"


@decides("flow.placed")
def _placed(line: Line) -> str:
    return f"it was placed at {line.fields.get('agent')}, which logged nothing about it"


def read_logs(paths: Iterable[Path]) -> list[Line]:
    """Read log files; each instance may have several.

    Text in front of a line, such as the time that a collector adds, and output
    of other programs in the same stream are skipped.

    Raises
    ------
    ZinniahookError
        If a file can't be read (`Code.SETTINGS_FILE_MISSING`).
    """
    lines = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines += [line for text in file if (line := _line(text, len(lines)))]
        except OSError as error:
            reason = f"{path}: {error.strerror}"
            raise ZinniahookError(reason, Code.SETTINGS_FILE_MISSING) from None
    return [line._replace(position=position) for position, line in enumerate(lines)]


def _line(text: str, position: int) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    return Line(fields["instance"], position, fields) if _is_line(fields) else None


def _is_line(fields: Any) -> bool:
    """Return whether the fields have the types that a daemon writes.

    Without this check, JSON of another program, or a truncated line joined with
    the next one, would abort the whole explanation.
    """
    if not isinstance(fields, dict) or not fields.keys() >= REQUIRED_FIELDS:
        return False
    if not isinstance(fields.get("time", 0.0), int | float):
        return False
    return all(isinstance(fields.get(name, ""), str) for name in STRING_FIELDS)


def build_explanation(name: str, lines: list[Line]) -> Explanation:
    """Return the explanation of a request id or a flow.

    Raises
    ------
    ZinniahookError
        If no line mentions it (`Code.COMMAND_UNKNOWN_NAME`).
    """
    flows = _flows(name, lines)
    own = [line for line in lines if _concerns(line, name, flows)]
    if not own:
        reason = f"no line mentions {name!r}: is the log of its agent among these?"
        raise ZinniahookError(reason, Code.COMMAND_UNKNOWN_NAME)
    ordered = _in_causal_order(own + _context(own, lines), _instances_by_address(lines))
    deciding = _deciding(own, ordered)
    meaning = MEANINGS_BY_EVENT[deciding.event](deciding) if deciding else ""
    names = tuple(
        sorted({line.fields["flow"] for line in own if "flow" in line.fields})
    )
    return Explanation(names, tuple(ordered), deciding, meaning)


def _flows(name: str, lines: list[Line]) -> dict[str, int | None]:
    """Return the flows that carried a request, with the numbers of their openings.

    A client may reuse a port for another flow, which has another opening number.
    """
    if ">" in name:
        return {name: None}
    flows: dict[str, int | None] = {}
    for line in lines:
        if line.fields.get("request") == name and "flow" in line.fields:
            opening = line.fields.get("opening")
            flows[line.fields["flow"]] = flows.get(line.fields["flow"]) or opening
    return flows


def _concerns(line: Line, name: str, flows: dict[str, int | None]) -> bool:
    fields = line.fields
    if fields.get("request"):
        return fields["request"] == name or (name in flows and fields["flow"] == name)
    flow = fields.get("flow")
    if flow not in flows:
        return False
    opening = fields.get("opening")
    return opening is None or flows[flow] is None or opening == flows[flow]


def _context(own: list[Line], lines: list[Line]) -> list[Line]:
    """Return the context events of the daemons involved around that time."""
    spans: dict[str, tuple[float, float]] = {}
    for line in own:
        first, last = spans.get(line.instance, (line.time, line.time))
        spans[line.instance] = min(first, line.time), max(last, line.time)
    return [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and line.instance in spans
        and spans[line.instance][0] - CONTEXT_MARGIN_SECONDS
        <= line.time
        <= spans[line.instance][1] + CONTEXT_MARGIN_SECONDS
    ]


def _instances_by_address(lines: list[Line]) -> dict[str, str]:
    return {
        line.fields["address"]: line.instance
        for line in lines
        if line.event == "started" and "address" in line.fields
    }


def _in_causal_order(lines: list[Line], by_address: dict[str, str]) -> list[Line]:
    """Sort lines so that each follows its cause.

    Edges lead from each line of an instance to its next line, and from a
    placement or a return to the line that it causes at another instance.
    """
    by_instance: dict[str, list[Line]] = {}
    for line in sorted(lines, key=lambda line: line.position):
        by_instance.setdefault(line.instance, []).append(line)
    successors: dict[int, set[int]] = {line.position: set() for line in lines}
    for own in by_instance.values():
        for line, following in itertools.pairwise(own):
            successors[line.position].add(following.position)
    for line in lines:
        effect = _remote_effect(line, by_instance, by_address)
        if effect is not None:
            successors[line.position].add(effect.position)
    return _topological_order({line.position: line for line in lines}, successors)


def _remote_effect(
    line: Line, by_instance: dict[str, list[Line]], by_address: dict[str, str]
) -> Line | None:
    """Return the first line at another instance that this line caused."""
    kind = {"flow.placed": "agent", "returned": "to"}.get(line.event)
    instance = by_address.get(line.fields.get(kind, "")) if kind else None
    if instance is None or instance == line.instance:
        return None
    effects = ("flow.opened", "request.begun", "returned", "drop.waited", "flow.placed")
    for other in by_instance.get(instance, ()):
        follows = other.event in effects
        if follows and other.fields.get("flow") == line.fields.get("flow"):
            return other
    return None


def _topological_order(
    by_position: dict[int, Line], successors: dict[int, set[int]]
) -> list[Line]:
    """Sort topologically, then by time. A cycle is broken at its earliest line."""
    blocker_counts = dict.fromkeys(by_position, 0)
    for following in successors.values():
        for position in following:
            blocker_counts[position] += 1
    ready = [
        (by_position[p].time, p) for p, count in blocker_counts.items() if not count
    ]
    heapq.heapify(ready)
    done: list[Line] = []
    remaining = set(by_position)
    while remaining:
        if not ready:
            earliest = min(
                remaining, key=lambda position: (by_position[position].time, position)
            )
            heapq.heappush(ready, (by_position[earliest].time, earliest))
        position = heapq.heappop(ready)[1]
        if position not in remaining:
            continue
        remaining.remove(position)
        done.append(by_position[position])
        for following in successors[position]:
            blocker_counts[following] -= 1
            if not blocker_counts[following] and following in remaining:
                heapq.heappush(ready, (by_position[following].time, following))
    return done


def _deciding(own: list[Line], ordered: list[Line]) -> Line | None:
    """Return the line that decided the outcome.

    The last reset decides, unless it only responds to a client that closes the
    flow after its answer. Otherwise the first answer decides, as a target may
    repeat it. Otherwise the last known event decides.
    """
    positions = {line.position for line in own}
    own_lines = [line for line in ordered if line.position in positions]
    known = [line for line in own_lines if line.event in MEANINGS_BY_EVENT]
    answers = [line for line in known if line.event == "request.answered"]
    resets = [
        line
        for line in known
        if "reset" in line.event
        and not (answers and line.fields.get("packet") == "closing")
    ]
    if resets:
        return resets[-1]
    if answers:
        return answers[0]
    ends = [line for line in known if line.event not in START_EVENTS]
    return (ends or known or [None])[-1]


def explain(name: str, *, logs: list[Path], json: bool = False) -> int:
    """Explain from the logs what happened to a request or a flow.

    Parameters
    ----------
    name
        A request's id, or a flow as ``client:port>service:port``.
    logs
        Log files of the daemons.
    json
        Print one JSON object.

    Returns
    -------
    int
        Status of the process.
    """
    try:
        found = build_explanation(name, read_logs(logs))
    except ZinniahookError as error:
        print(f"{error.code.name} {int(error.code)}: {error}", file=sys.stderr)
        return status_of(error.code)
    answer = _answer(found)
    print(answer.as_json() if json else answer.as_text(), flush=True)
    return Status.OK


def _answer(found: Explanation) -> Answer:
    rows = [f"{'>' if line is found.deciding else ' '} {line}" for line in found.lines]
    verdict = found.meaning or "no line shows its outcome"
    text = "\n".join([*(f"flow {flow}" for flow in found.flows), *rows, verdict])
    data = {
        "flows": list(found.flows),
        "lines": [line.fields for line in found.lines],
        "deciding": found.deciding.fields if found.deciding else None,
        "meaning": verdict,
    }
    return Answer(text, data=data)
