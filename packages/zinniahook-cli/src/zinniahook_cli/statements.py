"""What an operator can say, as typed statements that remember their words."""

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
    """One word and where it stands, so that an error can point at it."""

    text: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        return self.text


class Condition(NamedTuple):
    """``key operator value`` after ``where``."""

    key: Word
    operator: str
    value: Word


class Setting(NamedTuple):
    """``path = values``; several values make a list."""

    path: Word
    values: tuple[Word, ...]


class Show(NamedTuple):
    """Ask for the table ``view``, filtered and grouped."""

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
    """Take a service, a class or an operator out of the configuration."""

    kind: str
    path: Word


class Apply(NamedTuple):
    """Replace the whole document by that of a TOML file."""

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
    """Forget the open change."""

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
    """Drain every daemon, one after the other, as its supervisor restarts it."""

    word: Word
    force: bool = False


class Rotate(NamedTuple):
    """Bring a new pair of keys into use."""

    word: Word
    force: bool = False


class Watch(NamedTuple):
    """Show how far the newest generation has come until it is everywhere."""

    word: Word


class Settle(NamedTuple):
    """Tell whether the change with this operation id was committed."""

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
