"""The interactive prompt, with history and completion."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

from prompt_toolkit import PromptSession
from prompt_toolkit.completion import CompleteEvent, Completer, Completion
from prompt_toolkit.document import Document
from prompt_toolkit.history import InMemoryHistory
from zinniahook_core.schema import CLASS_FIELDS_BY_NAME, SERVICE_FIELDS_BY_NAME

from .grammar import keywords
from .syntax import SYNTAX_BY_NAME
from .views import VIEWS_BY_NAME

__all__ = ["WordCompleter", "run"]

EXIT_COMMANDS = ("quit", "exit")


class WordCompleter(Completer):
    """Completes statements, views, names and settings.

    Parameters
    ----------
    services : iterable of str
        Names of the services when the prompt was opened.
    """

    def __init__(self, services: Iterable[str] = ()) -> None:
        self.services = tuple(sorted(services))

    def candidates(self, before: str) -> tuple[str, ...]:
        """Return the words that may follow the text in front of the current word."""
        words = before.rpartition(";")[2].split()
        if not words:
            return (*SYNTAX_BY_NAME, *EXIT_COMMANDS)
        if words == ["show"]:
            return tuple(VIEWS_BY_NAME)
        if words == ["help"]:
            return (*SYNTAX_BY_NAME, *VIEWS_BY_NAME)
        if words == ["set"]:
            fields = (*SERVICE_FIELDS_BY_NAME, *CLASS_FIELDS_BY_NAME)
            return tuple(
                f"{service}.{field}" for service in self.services for field in fields
            )
        if words[-1] == "of":
            return self.services
        return tuple(sorted(keywords() - SYNTAX_BY_NAME.keys()))

    def get_completions(
        self, document: Document, complete_event: CompleteEvent
    ) -> Iterable[Completion]:
        """Complete the word before the cursor."""
        word = document.get_word_before_cursor(WORD=True)
        before = document.text_before_cursor.removesuffix(word)
        for candidate in self.candidates(before):
            if candidate.startswith(word):
                yield Completion(candidate, -len(word))


async def run(
    evaluate: Callable[[str], Awaitable[int]],
    services: Iterable[str],
    is_change_open: Callable[[], bool],
) -> int:
    """Read lines until the end of input; return the status of the last one.

    Parameters
    ----------
    evaluate
        Runs statements, prints the answers and returns the status.
    services
        Service names for completion.
    pending
        Whether a change is open; the prompt then says so.
    """
    # The history stays in memory, as an instance stores nothing on disk.
    session: PromptSession[str] = PromptSession(
        history=InMemoryHistory(), completer=WordCompleter(services)
    )
    status = 0
    while True:
        try:
            text = await session.prompt_async(
                "zinniahook (change open)> " if is_change_open() else "zinniahook> "
            )
        except KeyboardInterrupt:
            continue
        except EOFError:
            return status
        if text.strip() in EXIT_COMMANDS:
            return status
        status = await evaluate(text)
