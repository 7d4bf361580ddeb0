"""The registered views, which are the tables that ``show`` prints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from statistics import fmean
from typing import Any, NamedTuple

from zinniahook_core import configuration
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import AgentState
from zinniahook_store import configurations

from .changes import unknown_name_error
from .contexts import Context
from .daemons import progress
from .fleets import Fleet, read_fleet
from .grammar import CommandError
from .reports import MICROSECONDS_PER_SECOND, merge_histograms
from .statements import Show, Word
from .tables import Table, filtered, grouped

__all__ = ["VIEWS_BY_NAME", "View", "show", "stored_at", "parse_generation"]

PERCENTILES = (50, 90, 99, 100)


class View(NamedTuple):
    """A view: the function that reads its table, and its description."""

    read: Callable[[Context, Show], Awaitable[Table]]
    meaning: str


VIEWS_BY_NAME: dict[str, View] = {}


def _view(name: str) -> Callable:
    def register(function: Callable[[Context, Show], Awaitable[Table]]) -> Callable:
        VIEWS_BY_NAME[name] = View(function, function.__doc__.splitlines()[0])
        return function

    return register


async def show(context: Context, statement: Show) -> Table:
    """Read a view, filter it and group it.

    Raises
    ------
    ZinniahookError
        If a name is unknown or the store doesn't answer.
    """
    view = VIEWS_BY_NAME.get(statement.view.text)
    if view is None:
        raise unknown_name_error(statement.view, "view", VIEWS_BY_NAME)
    table = filtered(await view.read(context, statement), statement.where)
    if statement.by is not None:
        table = grouped(table, statement.by)
    return table


def parse_generation(word: Word) -> int:
    """Return the generation number in a word.

    Raises
    ------
    CommandError
        If it isn't a whole number.
    """
    if not word.text.isdecimal():
        raise CommandError("a generation is a whole number", word=word)
    return int(word.text)


async def stored_at(
    context: Context, generation: int, word: Word
) -> configurations.Stored:
    """Read the stored generation that a word names.

    Raises
    ------
    ZinniahookError
        If it can't be read; a `CommandError` at the word if it isn't stored.
    """
    try:
        return await configurations.read(context.store, generation)
    except ZinniahookError as error:
        if error.code is not Code.GENERATION_UNKNOWN:
            raise
        raise CommandError(str(error), error.code, word) from None


async def _stored(context: Context, statement: Show) -> configurations.Stored:
    if statement.at is None:
        return await configurations.read(context.store)
    return await stored_at(context, parse_generation(statement.at), statement.at)


def _check_service(of: Word | None, names: Any) -> None:
    if of is not None and of.text not in names:
        raise unknown_name_error(of, "service", names)


async def _fleet(context: Context, statement: Show, **flags: bool) -> Fleet:
    fleet = await read_fleet(context.store, context.daemons, **flags)
    _check_service(statement.of, fleet.rosters_by_service)
    if statement.of is None:
        return fleet
    name = statement.of.text
    return fleet._replace(rosters_by_service={name: fleet.rosters_by_service[name]})


def _unanswered_notes(fleet: Fleet) -> tuple[str, ...]:
    return tuple(
        f"no answer from {reply.control}: {reply.reason}"
        for reply in fleet.survey.unanswered
    )


@_view("services")
async def _services(context: Context, statement: Show) -> Table:
    """Services with their addresses and limits, from the configuration."""
    stored = await _stored(context, statement)
    rows = tuple(
        (
            service.name,
            service.number,
            str(service.address),
            str(service.protocol),
            tuple(sorted(service.classes_by_name)),
            service.drain,
            service.idle,
            service.targets,
            service.data_centres,
        )
        for _, service in sorted(stored.document.services_by_name.items())
    )
    columns = ("service", "number", "address", "protocol", "classes")
    columns += ("drain", "idle", "targets", "data_centres")
    return Table(columns, rows)


@_view("classes")
async def _classes(context: Context, statement: Show) -> Table:
    """Request classes with their slots, shares, queues and deadlines."""
    stored = await _stored(context, statement)
    services = stored.document.services_by_name
    _check_service(statement.of, services)
    rows = tuple(
        (name, *item)
        for name, service in sorted(services.items())
        if statement.of is None or statement.of.text == name
        for _, item in sorted(service.classes_by_name.items())
    )
    columns = ("service", "class", "prefix", "slots", "share")
    return Table((*columns, "limit", "queue", "deadline"), rows)


@_view("operators")
async def _operators(context: Context, statement: Show) -> Table:
    """Operators and what each may change."""
    stored = await _stored(context, statement)
    rows = tuple(
        tuple(item) for _, item in sorted(stored.document.operators_by_name.items())
    )
    return Table(("operator", "services", "keys", "operators"), rows)


@_view("config")
async def _config(context: Context, statement: Show) -> Table:
    """Every setting of the document, in force or at a generation."""
    stored = await _stored(context, statement)
    settings = configuration.settings_by_key(stored.document)
    return Table(("setting", "value"), tuple(sorted(settings.items())))


@_view("history")
async def _history(context: Context, statement: Show) -> Table:
    """All stored generations with author, time and operation id, newest first."""
    manifests = await configurations.history(context.store)
    rows = tuple(
        (
            item.generation,
            item.parent,
            item.author,
            _timestamp(item.time),
            item.operation,
        )
        for item in manifests
    )
    return Table(("generation", "parent", "author", "time", "operation"), rows)


@_view("keys")
async def _keys(context: Context, statement: Show) -> Table:
    """Key ids and whether each is in use or accepted only; never a secret."""
    stored = await _stored(context, statement)
    if stored.keys is None:
        return Table(("kind", "key", "state"), ())
    ring = stored.keys
    rows = [
        (kind, number, "in use" if number == used else "accepted")
        for kind, numbers, used in (
            ("flow", ring.flow_keys_by_number, ring.flow_key),
            ("tunnel", ring.tunnel_keys_by_number, ring.tunnel_key),
        )
        for number in sorted(numbers)
    ]
    return Table(("kind", "key", "state"), tuple(rows))


@_view("targets")
async def _targets(context: Context, statement: Show) -> Table:
    """Targets from the rosters, with the state that each agent reports."""
    fleet = await _fleet(context, statement)
    rows = []
    for service, member in fleet.agents:
        reply = fleet.reply(member.control)
        own = (reply.state, reply.generation) if reply else (None, None)
        rows.append(
            (
                service,
                member.name,
                str(member.target),
                member.data_centre,
                member.state.name.lower(),
                member.slots,
                member.incarnation,
                *own,
            )
        )
    columns = ("service", "instance", "target", "data_centre", "state", "slots")
    columns += ("incarnation", "own_state", "generation")
    return Table(columns, tuple(rows), _unanswered_notes(fleet))


@_view("flows")
async def _flows(context: Context, statement: Show) -> Table:
    """Flows, requests and queues at each target, as counted by its agent."""
    fleet = await _fleet(context, statement)
    rows = []
    for service, member in fleet.agents:
        reply = fleet.reply(member.control)
        if reply is None or not reply.has_load:
            continue
        counts = (reply.flows, reply.streams, reply.busy, reply.queued)
        labels = (service, str(member.target), member.name, member.data_centre)
        rows.append((*labels, *counts))
    columns = ("service", "target", "instance", "data_centre")
    columns += ("flows", "streams", "busy", "queued")
    return Table(columns, tuple(rows), _unanswered_notes(fleet))


@_view("imbalance")
async def _imbalance(context: Context, statement: Show) -> Table:
    """Load imbalance between each service's targets: maximum over mean."""
    fleet = await _fleet(context, statement)
    replies_by_service: dict[str, list] = {}
    for service, member in fleet.agents:
        reply = fleet.reply(member.control)
        if member.state is AgentState.READY and reply and reply.has_load:
            replies_by_service.setdefault(service, []).append(reply)
    rows = tuple(
        (
            service,
            len(replies),
            _most_over_mean([reply.flows for reply in replies]),
            _most_over_mean([reply.busy / max(1, reply.slots) for reply in replies]),
            max(reply.queued for reply in replies),
        )
        for service, replies in sorted(replies_by_service.items())
    )
    columns = ("service", "targets", "flows", "busy", "longest_queue")
    return Table(columns, rows, _unanswered_notes(fleet))


@_view("daemons")
async def _daemons(context: Context, statement: Show) -> Table:
    """Daemons that answer, with the generation each has in force."""
    fleet = await _fleet(context, statement)
    rows = tuple(
        (
            reply.name,
            reply.role,
            reply.data_centre,
            str(control),
            reply.state,
            reply.generation,
            round(reply.in_force, 1),
            round(reply.age, 1),
            reply.depth,
            reply.reason or None,
        )
        for control, reply in sorted(fleet.survey.answers_by_control.items())
    )
    columns = ("instance", "role", "data_centre", "control", "state")
    columns += ("generation", "in_force", "age", "depth", "reason")
    return Table(columns, rows, _unanswered_notes(fleet))


@_view("entries")
async def _entries(context: Context, statement: Show) -> Table:
    """Entries that answer."""
    table = await _daemons(context, statement)
    return table._replace(rows=tuple(row for row in table.rows if row[1] == "entry"))


@_view("counters")
async def _counters(context: Context, statement: Show) -> Table:
    """Counters of every daemon; drops are counted by result code."""
    fleet = await _fleet(context, statement, counters=True)
    rows = []
    for reply in fleet.survey.answers_by_control.values():
        labels = (reply.name, reply.role)
        rows += [(*labels, *item) for item in reply.counters_by_name.items()]
        rows += [
            (*labels, f"drop.{_code_name(number)}", count)
            for number, count in reply.drops_by_code.items()
        ]
    columns = ("instance", "role", "counter", "count")
    return Table(columns, tuple(sorted(rows)), _unanswered_notes(fleet))


@_view("latencies")
async def _latencies(context: Context, statement: Show) -> Table:
    """Latencies of answered requests in seconds, by service and class."""
    fleet = await _fleet(context, statement, counters=True)
    histograms = [
        histogram
        for reply in fleet.survey.answers_by_control.values()
        for histogram in reply.histograms
    ]
    rows = tuple(
        (*key, values.get_total_count(), *_quantiles(values))
        for key, values in sorted(merge_histograms(histograms).items())
    )
    columns = ("service", "class", "count", "p50", "p90", "p99", "max")
    return Table(columns, rows, _unanswered_notes(fleet))


def _quantiles(values: Any) -> tuple[float, ...]:
    microseconds = [
        values.get_value_at_percentile(percentile) for percentile in PERCENTILES
    ]
    return tuple(value / MICROSECONDS_PER_SECOND for value in microseconds)


@_view("rollout")
async def _rollout(context: Context, statement: Show) -> Table:
    """Progress of the newest generation by data centre."""
    stored = await configurations.read(context.store)
    fleet = await _fleet(context, statement)
    counts: dict[str, list[int]] = {}
    for reply in fleet.survey.answers_by_control.values():
        row = counts.setdefault(reply.data_centre, [0, 0])
        row[0] += 1
        row[1] += reply.generation >= stored.generation
    rows = tuple(
        (stored.generation, centre, *row) for centre, row in sorted(counts.items())
    )
    lagging = progress(stored.generation, fleet.survey, fleet.unlisted).lagging
    notes = tuple(f"lags: {name}" for name in lagging)
    return Table(("generation", "data_centre", "daemons", "in_force"), rows, notes)


@_view("codes")
async def _codes(context: Context, statement: Show) -> Table:
    """Numbers and names of the result codes."""
    return Table(("code", "name"), tuple((int(code), code.name) for code in Code))


def _most_over_mean(values: list[float]) -> float:
    mean = fmean(values)
    return max(values) / mean if mean else 1.0


def _code_name(number: int) -> str:
    try:
        return Code(number).name
    except ValueError:
        return str(number)


def _timestamp(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.isoformat(timespec="seconds")
