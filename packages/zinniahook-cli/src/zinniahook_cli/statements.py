"""The statements of the language, with the positions of their words."""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "Abort",
    "Apply",
    "Begin",
    "Commit",
    "Condition",
    "Create",
    "Diff",
    "Drain",
    "Export",
    "Help",
    "Remove",
    "Report",
    "Restart",
    "Rollback",
    "Rotate",
    "Set",
    "Setting",
    "Settle",
    "Show",
    "Statement",
    "Watch",
    "Word",
]


class Word(NamedTuple):
    """A word and its position, for error messages."""

    text: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        return self.text


class Condition(NamedTuple):
    """A condition ``key operator value`` of a ``where`` clause."""

    key: Word
    operator: str
    value: Word


class Setting(NamedTuple):
    """An assignment ``path = values``; several values form a list."""

    path: Word
    values: tuple[Word, ...]


class Show(NamedTuple):
    """Show the table ``view``, filtered and grouped."""

    view: Word
    of: Word | None = None
    by: Word | None = None
    at: Word | None = None
    where: tuple[Condition, ...] = ()


class Diff(NamedTuple):
    """Compare two generations."""

    before: Word
    after: Word


class Set(NamedTuple):
    """Change one setting of the configuration."""

    setting: Setting


class Create(NamedTuple):
    """Add a service, a class or an operator to the configuration."""

    kind: str
    path: Word
    settings: tuple[Setting, ...]


class Remove(NamedTuple):
    """Remove a service, a class or an operator from the configuration."""

    kind: str
    path: Word


class Apply(NamedTuple):
    """Replace the whole document with that of a TOML file."""

    file: Word


class Export(NamedTuple):
    """Write the document in force to a TOML file."""

    file: Word


class Begin(NamedTuple):
    """Open a change of several statements."""

    word: Word


class Commit(NamedTuple):
    """Commit the open change."""

    word: Word


class Abort(NamedTuple):
    """Discard the open change."""

    word: Word


class Rollback(NamedTuple):
    """Commit the content of an older generation as a new one."""

    generation: Word


class Drain(NamedTuple):
    """Stop a target, an entry or a data centre gracefully."""

    kind: str
    name: Word
    force: bool = False


class Restart(NamedTuple):
    """Drain all daemons in waves while their supervisor restarts them."""

    word: Word
    force: bool = False


class Rotate(NamedTuple):
    """Bring a new pair of keys into use."""

    word: Word
    force: bool = False


class Watch(NamedTuple):
    """Show the progress of the newest generation until it is in force everywhere."""

    word: Word


class Settle(NamedTuple):
    """Find out whether the change with this operation id was committed."""

    operation: Word


class Report(NamedTuple):
    """Draw histograms and the imbalance over time into a PNG file."""

    file: Word
    seconds: Word | None = None


class Help(NamedTuple):
    """Explain the language, or one statement of it."""

    topic: Word | None = None


Statement = (
    Show
    | Diff
    | Set
    | Create
    | Remove
    | Apply
    | Export
    | Begin
    | Commit
    | Abort
    | Rollback
    | Drain
    | Restart
    | Rotate
    | Watch
    | Settle
    | Report
    | Help
)
