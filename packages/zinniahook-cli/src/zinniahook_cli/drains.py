"""Graceful drains of targets, entries and data centres, and rolling restarts."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import NamedTuple

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import Operator
from zinniahook_core.models import Address, AgentState
from zinniahook_store import configurations
from zinniahook_wire.control_pb2 import DrainReply, DrainRequest

from .answers import Answer, Status
from .changes import unknown_name_error
from .contexts import Context
from .daemons import NoReply
from .fleets import Fleet, count_other_ready, read_fleet
from .statements import Drain, Restart

__all__ = ["Stop", "drain", "services_without_targets", "restart", "waves"]

POLL_INTERVAL_SECONDS = 0.5
"""Seconds between two polls of the progress."""

MAX_WAVE_SIZE = 64
"""Daemons drained at the same time."""

ALL_SERVICES = "*"

SERVING_STATES = ("ready", "serving")
"""States reported by agents and entries that accept new work."""


class Stop(NamedTuple):
    """A daemon to drain; ``service`` is empty for an entry."""

    name: str
    control: Address
    service: str = ""


async def drain(context: Context, statement: Drain) -> Answer:
    """Drain the named daemons and wait until they can be stopped safely."""
    fleet = await read_fleet(context.store, context.daemons)
    stops = _FINDERS_BY_KIND[statement.kind](fleet, statement)
    await _check_permitted(context, stops)
    refused = _refusal(fleet, stops, statement.force)
    if refused is not None:
        return refused
    return await _drain_all(context, stops, statement.force)


async def restart(context: Context, statement: Restart) -> Answer:
    """Drain all daemons in waves; each wave must be back before the next starts."""
    fleet = await read_fleet(context.store, context.daemons)
    plan = waves(_agents(fleet), _entries(fleet))
    await _check_permitted(context, [stop for wave in plan for stop in wave])
    for number, wave in enumerate(plan, 1):
        names = ", ".join(stop.name for stop in wave)
        context.on_progress(f"wave {number} of {len(plan)}: {names}")
        now = await read_fleet(context.store, context.daemons)
        answer = _refusal(now, wave, statement.force)
        if answer is None:
            started_at = time.monotonic()
            answer = await _drain_all(context, wave, statement.force)
            if answer.status is Status.OK:
                answer = await _wait_until_restarted(context, wave, started_at)
        if answer.status is not Status.OK:
            text = f"stopped at wave {number} of {len(plan)} ({names}): {answer.text}"
            return Answer(text, data=answer.data, status=answer.status)
    count = sum(map(len, plan))
    return Answer(f"restarted {count} daemons", data={"restarted": count})


def waves(agents: list[Stop], entries: list[Stop]) -> list[list[Stop]]:
    """Group the daemons so that each service loses one target at a time.

    Agents of different services don't replace each other, so they share a wave
    of up to `MAX_WAVE_SIZE`. A wave of entries holds at most an eighth of them.
    """
    waiting_by_service: dict[str, list[Stop]] = {}
    for stop in agents:
        waiting_by_service.setdefault(stop.service, []).append(stop)
    plan = []
    for batch in itertools.zip_longest(*waiting_by_service.values()):
        plan += _chunks([stop for stop in batch if stop], MAX_WAVE_SIZE)
    return plan + _chunks(entries, min(MAX_WAVE_SIZE, max(1, len(entries) // 8)))


def _chunks(stops: list[Stop], size: int) -> list[list[Stop]]:
    return [stops[start : start + size] for start in range(0, len(stops), size)]


async def _check_permitted(context: Context, stops: list[Stop]) -> None:
    """Raise an error unless the operator may stop every daemon.

    Stopping an agent requires the right to its service. An entry serves every
    service, so stopping it requires the right to all of them.
    """
    stored = await configurations.read(context.store)
    operators = stored.document.operators_by_name
    if not operators:
        return
    operator = operators.get(context.operator, Operator(context.operator))
    for stop in stops:
        if stop.service:
            allowed = operator.may_change(stop.service)
        else:
            allowed = ALL_SERVICES in operator.services
        if not allowed:
            reason = f"{operator.name} may not stop {stop.name}"
            raise ZinniahookError(reason, Code.NOT_PERMITTED)


def services_without_targets(fleet: Fleet, stops: list[Stop]) -> list[str]:
    """Return the services that would have no ready target after the stops."""
    leaving = {stop.name for stop in stops}
    affected = {stop.service for stop in stops if stop.service}
    return sorted(
        service
        for service in affected
        if not count_other_ready(fleet.rosters_by_service[service], leaving)
    )


def _refusal(fleet: Fleet, stops: list[Stop], force: bool) -> Answer | None:
    if force:
        return None
    services = services_without_targets(fleet, stops)
    entries = {stop.name for stop in _entries(fleet)}
    stopped = {stop.name for stop in stops if not stop.service}
    if services:
        reason = f"{', '.join(services)} would be left without targets"
    elif stopped and entries <= stopped:
        reason = "there would be no entry left"
    else:
        return None
    code = Code.WOULD_EMPTY_SERVICE
    return Answer(
        f"refused: {reason}; `force` does it all the same ({code.name} {int(code)})",
        data={"outcome": "refused", "code": int(code), "reason": reason},
        status=Status.REFUSED,
    )


async def _drain_all(context: Context, stops: list[Stop], force: bool) -> Answer:
    """Drain all daemons concurrently and poll until each is safe to stop."""
    replies = await asyncio.gather(
        *(
            context.daemons.drain(stop.control, DrainRequest(force=force))
            for stop in stops
        )
    )
    for stop, reply in zip(stops, replies, strict=True):
        if isinstance(reply, NoReply):
            return _answer_no_reply(stop, reply)
        if reply.code:
            return _answer_refused(stop, reply)
    deadline = time.monotonic() + context.settings.patience
    waiting = {stop.name: stop for stop in stops}
    last_line_by_name: dict[str, str] = {}
    while waiting and time.monotonic() < deadline:
        for stop in list(waiting.values()):
            line, safe = await _poll(context, stop)
            if last_line_by_name.get(stop.name) != line:
                context.on_progress(f"{stop.name}: {line}")
                last_line_by_name[stop.name] = line
            if safe:
                del waiting[stop.name]
        if waiting:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    done = [stop.name for stop in stops if stop.name not in waiting]
    data = {"safe": done, "draining": list(waiting)}
    if waiting:
        text = f"still draining: {', '.join(waiting)}; safe: {', '.join(done) or '-'}"
        return Answer(text, data=data, status=Status.UNFINISHED)
    return Answer(f"safe to stop: {', '.join(done)}", data=data)


async def _poll(context: Context, stop: Stop) -> tuple[str, bool]:
    """Return the progress of a drain, and whether the daemon is safe to stop.

    A drained daemon exits and then refuses connections. Any other failed call
    may come from a daemon that is still working, so it counts as draining.
    """
    reply = await context.daemons.drain(stop.control, DrainRequest(look=True))
    if isinstance(reply, NoReply):
        return ("ended" if reply.refused else reply.reason), reply.refused
    line = f"{reply.state}, {reply.flows} flows, {reply.requests} requests"
    return line, reply.safe


async def _wait_until_restarted(
    context: Context, wave: list[Stop], started_at: float
) -> Answer:
    """Wait until every daemon of the wave serves after a restart."""
    deadline = time.monotonic() + context.settings.patience
    while True:
        fleet = await read_fleet(context.store, context.daemons)
        back = {
            reply.name
            for reply in fleet.survey.answers_by_control.values()
            if reply.state in SERVING_STATES
            and reply.uptime < time.monotonic() - started_at
        }
        missing = [stop.name for stop in wave if stop.name not in back]
        if not missing:
            return Answer("back")
        if time.monotonic() >= deadline:
            text = f"{', '.join(missing)} did not come back"
            return Answer(text, data={"missing": missing}, status=Status.UNFINISHED)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _agents(fleet: Fleet) -> list[Stop]:
    return [
        Stop(member.name, member.control, service)
        for service, member in fleet.agents
        if member.state is AgentState.READY
    ]


def _entries(fleet: Fleet) -> list[Stop]:
    return [
        Stop(reply.name, control)
        for control, reply in sorted(fleet.survey.answers_by_control.items())
        if reply.role == "entry"
    ]


def _find_target(fleet: Fleet, statement: Drain) -> list[Stop]:
    name = statement.name.text
    found = [
        Stop(member.name, member.control, service)
        for service, member in fleet.agents
        if name in (member.name, str(member.target))
    ]
    if not found:
        names = [str(member.target) for _, member in fleet.agents]
        names += [member.name for _, member in fleet.agents]
        raise unknown_name_error(statement.name, "target", names)
    return found


def _find_entry(fleet: Fleet, statement: Drain) -> list[Stop]:
    entries = _entries(fleet)
    found = [stop for stop in entries if stop.name == statement.name.text]
    if not found:
        raise unknown_name_error(
            statement.name, "entry", [stop.name for stop in entries]
        )
    return found


def _find_data_centre(fleet: Fleet, statement: Drain) -> list[Stop]:
    wanted = statement.name.text
    members = {member.name: member for _, member in fleet.agents}
    agents = [
        stop for stop in _agents(fleet) if members[stop.name].data_centre == wanted
    ]
    entries = [
        stop
        for stop in _entries(fleet)
        if fleet.reply(stop.control).data_centre == wanted
    ]
    if not agents and not entries:
        names = {member.data_centre for member in members.values()}
        names |= {
            reply.data_centre for reply in fleet.survey.answers_by_control.values()
        }
        raise unknown_name_error(statement.name, "data centre", sorted(names))
    return agents + entries


_FINDERS_BY_KIND = {
    "target": _find_target,
    "entry": _find_entry,
    "data centre": _find_data_centre,
}


def _answer_refused(stop: Stop, reply: DrainReply) -> Answer:
    return Answer(
        f"refused: {stop.name}: {reply.reason} (code {reply.code})",
        data={"outcome": "refused", "code": reply.code, "reason": reply.reason},
        status=Status.REFUSED,
    )


def _answer_no_reply(stop: Stop, no_reply: NoReply) -> Answer:
    return Answer(
        f"unknown: {stop.name} gave no answer ({no_reply.reason}); "
        "`show daemons` shows whether it drains",
        data={"outcome": "unknown", "reason": no_reply.reason},
        status=Status.UNKNOWN,
    )
