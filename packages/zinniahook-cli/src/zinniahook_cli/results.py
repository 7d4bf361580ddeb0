"""Answers that report the outcome of a change."""

from __future__ import annotations

from zinniahook_core import configuration
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import Document
from zinniahook_store import configurations
from zinniahook_store.configurations import Refused, Stored, Unknown

from . import rollouts, waits
from .answers import Answer, Status, status_of
from .contexts import Context
from .tables import Table

__all__ = ["diff_table", "refusal_answer", "outcome_answer"]


async def outcome_answer(
    context: Context,
    base: Stored,
    outcome: configurations.Outcome | rollouts.Paused,
    wait: bool | None = None,
) -> Answer:
    """Return the answer for the outcome of a commit, and wait if requested."""
    if isinstance(outcome, rollouts.Paused):
        return _paused(outcome)
    if isinstance(outcome, Unknown):
        return Answer(
            f"unknown: the answer was lost; settle it with: {outcome.command}",
            data={"outcome": "unknown", "command": outcome.command},
            status=Status.UNKNOWN,
        )
    if isinstance(outcome, Refused):
        return await _refusal_with_diff(context, base, outcome)
    answer = Answer(
        f"committed (generation {outcome.generation})",
        data={"outcome": "committed", "generation": outcome.generation},
    )
    if not (context.wait if wait is None else wait):
        return answer
    waited = await waits.wait_until_in_force(context, outcome.generation)
    return Answer(
        f"{answer.text}\n{waited.text}",
        data={**answer.data, **(waited.data or {})},
        status=waited.status,
    )


async def _refusal_with_diff(
    context: Context, base: Stored, outcome: Refused
) -> Answer:
    answer = refusal_answer(outcome)
    if outcome.code is not Code.CONFLICT:
        return answer
    try:
        now = await configurations.read(context.store)
    except ZinniahookError:
        return answer
    if now.manifest is None:
        return answer
    text = (
        f"{answer.text}; generation {now.generation} of {now.manifest.author} changed:"
    )
    table = diff_table(base.document, now.document)
    data = {**answer.data, "generation": now.generation}
    return Answer(text, table, data, answer.status)


def refusal_answer(outcome: Refused) -> Answer:
    """Return the answer for a refused change."""
    code = outcome.code
    return Answer(
        f"refused: {outcome.reason} ({code.name} {int(code)})",
        data={"outcome": "refused", "code": int(code), "reason": outcome.reason},
        status=status_of(code),
    )


def _paused(outcome: rollouts.Paused) -> Answer:
    return Answer(
        f"in force in part (generation {outcome.generation}): {outcome.reason}; "
        f"`rollback to {outcome.previous}` takes it back, "
        f"`rollback to {outcome.generation}` puts it in force everywhere",
        data={
            "outcome": "in part",
            "generation": outcome.generation,
            "previous": outcome.previous,
            "reason": outcome.reason,
        },
        status=Status.UNFINISHED,
    )


def diff_table(before: Document, after: Document) -> Table:
    """Return the settings that differ between two configurations."""
    return Table(
        ("setting", "before", "after"),
        tuple(map(tuple, configuration.diff(before, after))),
    )
