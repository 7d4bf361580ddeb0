"""Entry point of the ``zinniahook`` command."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import defopt
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_store import Store, configurations

from . import grammar
from .answers import Answer, Status, status_of
from .explanations import explain
from .grammar import CommandError
from .losses import losses
from .sessions import Session
from .settings import ClientSettings, SettingsError, load
from .statements import Abort, Begin, Commit, Statement

__all__ = ["evaluate", "main", "zinniahook"]


LOG_COMMANDS_BY_NAME = {"explain": explain, "losses": losses}


def main(argv: list[str] | None = None) -> None:
    """Run ``zinniahook`` with the arguments of the process.

    ``explain`` and ``losses`` read logs and need neither store nor settings, so
    they also run on a developer's machine. All other arguments are statements.
    """
    words = sys.argv[1:] if argv is None else argv
    if words and (command := LOG_COMMANDS_BY_NAME.get(words[0])):
        sys.exit(defopt.run(command, argv=words[1:]))
    sys.exit(defopt.run(zinniahook, argv=words))


def zinniahook(
    *words: str,
    settings: Path | None = None,
    store: str = "",
    certificate: Path | None = None,
    key: Path | None = None,
    authority: Path | None = None,
    file: Path | None = None,
    json: bool = False,
    wait: bool = False,
    base: int | None = None,
    patience: float | None = None,
) -> int:
    """Show what is in force, and change it everywhere or not at all.

    Without words and without a file, statements are read at a prompt.

    Parameters
    ----------
    words
        Statements, as in ``zinniahook show services``; see ``help``.
    settings
        TOML file with the settings of this client.
    store
        Addresses of the key-value service, separated by commas.
    certificate
        PEM file of the operator's certificate.
    key
        PEM file of its private key.
    authority
        PEM file of the authority that signs all certificates.
    file
        Read statements from this file; ``-`` is standard input.
    json
        Print one JSON object for each statement.
    wait
        After a commit, wait until it is in force everywhere.
    base
        Refuse changes unless this generation is in force.
    patience
        Seconds until a wait gives up.

    Returns
    -------
    int
        Status of the process, as listed by ``help``.
    """
    flags = {
        "store": store.split(",") if store else None,
        "certificate": certificate,
        "key": key,
        "authority": authority,
        "patience": patience,
    }
    try:
        loaded = load(settings, flags)
        text = _text(words, file)
    except ZinniahookError as error:
        _print_error(error, "", json)
        return Status.USAGE
    try:
        return asyncio.run(_run(loaded, text, json, wait, base))
    except KeyboardInterrupt:
        return Status.UNKNOWN


def _text(words: tuple[str, ...], file: Path | None) -> str | None:
    """Return the statements to run, or None for the prompt."""
    if words:
        return " ".join(words)
    if file is None:
        return None
    try:
        return sys.stdin.read() if str(file) == "-" else file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = f"{file}: {error}"
        raise SettingsError(reason, Code.SETTINGS_UNREADABLE) from None


async def _run(
    settings: ClientSettings,
    text: str | None,
    json: bool,
    wait: bool,
    base: int | None,
) -> int:
    store = Store(settings.store, settings.timeout)

    def on_progress(line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    session = Session(settings, store, on_progress, wait=wait, base=base)
    if text is not None:
        return await evaluate(session, text, json, must_commit=True)
    from . import prompt

    return await prompt.run(
        lambda line: evaluate(session, line, json),
        await _services(session),
        lambda: session.draft is not None,
    )


async def evaluate(
    session: Session, text: str, json: bool = False, must_commit: bool = False
) -> int:
    """Run statements and print each answer.

    Parameters
    ----------
    session
        The session that runs them.
    text
        The statements; none is run if one can't be parsed.
    json
        Whether to print JSON.
    whole
        Whether the text must commit or abort the change that it begins.

    Returns
    -------
    int
        The first status that isn't 0; the remaining statements aren't run.
    """
    try:
        parsed = grammar.parse(text)
        if must_commit:
            _check_committed(parsed)
        for statement in parsed:
            answer = await session.run(statement)
            _print(answer, json)
            if answer.status is not Status.OK:
                return answer.status
    except ZinniahookError as error:
        _print_error(error, text, json)
        if must_commit:
            session.draft = None
        return status_of(error.code)
    return Status.OK


def _check_committed(parsed: tuple[Statement, ...]) -> None:
    """Refuse a text that leaves its change open, as it could never be committed."""
    begun = None
    for statement in parsed:
        if isinstance(statement, Begin):
            begun = statement
        elif isinstance(statement, Commit | Abort):
            begun = None
    if begun is not None:
        raise CommandError("this change is never committed", word=begun.word)


async def _services(session: Session) -> list[str]:
    try:
        stored = await configurations.read(session.store)
    except ZinniahookError:
        return []
    return list(stored.document.services_by_name)


def _print(answer: Answer, json: bool) -> None:
    text = answer.as_json() if json else answer.as_text()
    try:
        print(text, flush=True)
    except OSError as error:
        # The disk is full, or a reader such as head has closed the pipe. Without
        # this, the rest of the buffer would fail again at exit, with a traceback
        # and an exit status of Python itself.
        with open(os.devnull, "w") as devnull:
            os.dup2(devnull.fileno(), sys.stdout.fileno())
        reason = f"can't print the answer: {error.strerror or error}"
        raise ZinniahookError(reason, Code.UNKNOWN) from None


def _print_error(error: ZinniahookError, source: str, json: bool) -> None:
    if json:
        data = {"code": int(error.code), "reason": str(error)}
        if isinstance(error, CommandError) and error.word is not None:
            data |= error.word._asdict()
        status = status_of(error.code)
        print(Answer(str(error), data=data, status=status).as_json(), flush=True)
        return
    if isinstance(error, CommandError):
        print(error.format_with_source(source), file=sys.stderr)
    else:
        message = f"{error.code.name} {int(error.code)}: {error}"
        print(message, file=sys.stderr)


if __name__ == "__main__":
    main()
