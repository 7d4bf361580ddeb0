"""Sessions, which run statements and hold the open change."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from zinniahook_core import configuration
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import ConfigurationError, Document
from zinniahook_store import Store, configurations
from zinniahook_store.configurations import Committed, Refused, Stored

from . import drains, reports, rollouts, rotations, statements, syntax, views, waits
from .answers import MEANINGS_BY_STATUS, Answer, Status
from .changes import Change, change, not_permitted, unknown_name_error
from .contexts import Context, ProgressCallback
from .grammar import CommandError
from .results import diff_table, outcome_answer, refusal_answer
from .settings import ClientSettings

__all__ = ["Draft", "Session"]

Runner = Callable[["Session", Any], Awaitable[Answer]]

_runners_by_type: dict[type, Runner] = {}


def _runner_for(*kinds: type) -> Callable[[Runner], Runner]:
    def register(runner: Runner) -> Runner:
        _runners_by_type.update(dict.fromkeys(kinds, runner))
        return runner

    return register


@dataclass
class Draft:
    """An open change: the generation it is based on and its steps so far."""

    base: Stored
    steps: list[Change]


class Session(Context):
    """Runs one operator's statements.

    Parameters
    ----------
    settings : ClientSettings
        Addresses, certificate and time limits.
    store : Store
        Client of the key-value store.
    on_progress : callable
        Receives each line of progress.
    wait : bool
        Whether a commit waits until every daemon has it in force.
    base : int, optional
        The generation that changes must be based on.
    """

    def __init__(
        self,
        settings: ClientSettings,
        store: Store,
        on_progress: ProgressCallback,
        *,
        wait: bool = False,
        base: int | None = None,
    ) -> None:
        super().__init__(settings, store, on_progress, wait=wait)
        self.base = base
        self.draft: Draft | None = None

    async def run(self, statement: statements.Statement) -> Answer:
        """Run one statement.

        Raises
        ------
        ZinniahookError
            With the result code and, for a `CommandError`, the word at fault.
        """
        return await _runners_by_type[type(statement)](self, statement)

    async def commit(
        self,
        base: Stored,
        document: Document,
        *,
        take_over: bool = False,
    ) -> Answer:
        """Check the operator's rights, commit, and return the outcome."""
        operator = self.operator
        forbidden = not_permitted(base.document, document, operator)
        if forbidden:
            return refusal_answer(
                Refused(
                    Code.NOT_PERMITTED,
                    f"{operator} may not change {', '.join(forbidden)}",
                )
            )
        operation = configurations.new_operation()
        outcome = await rollouts.commit(
            self, base, document, operator, operation, take_over=take_over
        )
        return await outcome_answer(self, base, outcome)


@_runner_for(statements.Show)
async def _show(session: Session, statement: statements.Show) -> Answer:
    return Answer(table=await views.show(session, statement))


@_runner_for(statements.Diff)
async def _diff(session: Session, statement: statements.Diff) -> Answer:
    documents = []
    for word in (statement.before, statement.after):
        generation = views.parse_generation(word)
        stored = await views.stored_at(session, generation, word)
        documents.append(stored.document)
    return Answer(table=diff_table(*documents))


@_runner_for(statements.Begin)
async def _begin(session: Session, statement: statements.Begin) -> Answer:
    if session.draft is not None:
        raise CommandError("a change is open already", word=statement.word)
    session.draft = Draft(await _base(session), [])
    return Answer(f"begun on generation {session.draft.base.generation}")


@_runner_for(statements.Set, statements.Create, statements.Remove, statements.Apply)
async def _change(session: Session, statement: Change) -> Answer:
    draft = session.draft
    if draft is None:
        base = await _base(session)
        return await _try_commit(session, base, [statement])
    draft.steps.append(statement)
    try:
        change(draft.base.document, draft.steps)
    except CommandError:
        draft.steps.pop()
        raise
    except ConfigurationError:
        # A later step may fix it; only the whole change must be valid.
        pass
    return Answer(f"collected ({len(draft.steps)} so far)")


@_runner_for(statements.Commit)
async def _commit(session: Session, statement: statements.Commit) -> Answer:
    draft = session.draft
    if draft is None:
        raise CommandError("no change is open: begin first", word=statement.word)
    session.draft = None
    return await _try_commit(session, draft.base, draft.steps)


@_runner_for(statements.Abort)
async def _abort(session: Session, statement: statements.Abort) -> Answer:
    if session.draft is None:
        raise CommandError("no change is open", word=statement.word)
    session.draft = None
    return Answer("discarded; nothing was changed")


@_runner_for(statements.Rollback)
async def _rollback(session: Session, statement: statements.Rollback) -> Answer:
    if session.draft is not None:
        raise CommandError(
            "a change is open: commit or abort it first", word=statement.generation
        )
    generation = views.parse_generation(statement.generation)
    base = await _base(session)
    old = await views.stored_at(session, generation, statement.generation)
    document = configuration.retire(old.document, base.document)
    return await session.commit(base, document, take_over=True)


@_runner_for(statements.Export)
async def _export(session: Session, statement: statements.Export) -> Answer:
    stored = await configurations.read(session.store)
    try:
        Path(statement.file.text).write_text(
            configuration.render(stored.document), encoding="utf-8"
        )
    except OSError as error:
        raise CommandError(
            f"can't write: {error}", Code.SETTINGS_UNREADABLE, statement.file
        ) from None
    return Answer(f"generation {stored.generation} written to {statement.file}")


@_runner_for(statements.Settle)
async def _settle(session: Session, statement: statements.Settle) -> Answer:
    operation = statement.operation.text
    outcome = await configurations.settle(session.store, operation)
    if isinstance(outcome, Committed):
        return Answer(
            f"committed (generation {outcome.generation})",
            data={"outcome": "committed", "generation": outcome.generation},
        )
    if isinstance(outcome, Refused):
        return refusal_answer(outcome)
    return Answer(
        f"unknown: the store gives no answer; try again: {outcome.command}",
        data={"outcome": "unknown", "command": outcome.command},
        status=Status.UNKNOWN,
    )


@_runner_for(statements.Watch)
async def _watch(session: Session, statement: statements.Watch) -> Answer:
    stored = await configurations.read(session.store)
    return await waits.wait_until_in_force(session, stored.generation)


@_runner_for(statements.Drain)
async def _drain(session: Session, statement: statements.Drain) -> Answer:
    return await drains.drain(session, statement)


@_runner_for(statements.Restart)
async def _restart(session: Session, statement: statements.Restart) -> Answer:
    return await drains.restart(session, statement)


@_runner_for(statements.Rotate)
async def _rotate(session: Session, statement: statements.Rotate) -> Answer:
    return await rotations.rotate(session, statement)


@_runner_for(statements.Report)
async def _report(session: Session, statement: statements.Report) -> Answer:
    return await reports.report(session, statement)


@_runner_for(statements.Help)
async def _help(session: Session, statement: statements.Help) -> Answer:
    if statement.topic is None:
        lines = [entry.syntax for entry in syntax.SYNTAX_BY_NAME.values()]
        names = ", ".join(views.VIEWS_BY_NAME)
        statuses = [
            f"  {int(status)}  {meaning}"
            for status, meaning in MEANINGS_BY_STATUS.items()
        ]
        parts = [*lines, "", f"Views: {names}", "", "Exit statuses:", *statuses]
        return Answer("\n".join(parts))
    topic = statement.topic.text
    if topic in views.VIEWS_BY_NAME:
        return Answer(f"show {topic}: {views.VIEWS_BY_NAME[topic].meaning}")
    entry = syntax.SYNTAX_BY_NAME.get(topic)
    if entry is None:
        names = [*syntax.SYNTAX_BY_NAME, *views.VIEWS_BY_NAME]
        raise unknown_name_error(statement.topic, "topic", names)
    examples = "\n".join(f"  {example}" for example in entry.examples)
    return Answer(f"{entry.syntax}\n{entry.meaning}\n{examples}")


async def _base(session: Session) -> Stored:
    """Read the newest generation and check it against the requested base."""
    stored = await configurations.read(session.store)
    if session.base is not None and stored.generation != session.base:
        raise ZinniahookError(
            f"generation {stored.generation} is in force, not {session.base}",
            Code.CONFLICT,
        )
    return stored


async def _try_commit(session: Session, base: Stored, steps: list[Change]) -> Answer:
    document = change(base.document, steps)
    if document == base.document and base.generation:
        return Answer("nothing to change", data={"outcome": "unchanged"})
    return await session.commit(base, document)
