"""Parser of the query and command language."""

from __future__ import annotations

from functools import cache
from importlib import resources

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError
from zinniahook_core.codes import Code, ZinniahookError

from . import statements
from .statements import Statement, Word

__all__ = ["CommandError", "keywords", "parse"]

WORD_SEPARATORS = " \t\n"
"""Characters that separate words; any other whitespace is an error."""

TEXT_BY_TERMINAL = {
    "WORD": "a name",
    "STRING": "a quoted text",
    "_END": "the end of the statement",
    "$END": "the end",
    "OPERATOR": "one of = != < > <= >= ~",
    "KIND": "service, class or operator",
    "EQUAL": "=",
    "COMMA": ",",
}


class CommandError(ZinniahookError):
    """A statement that can't be parsed or run, with the word at fault.

    Parameters
    ----------
    reason : str
        Description of the error.
    code : Code
        The result code.
    word : Word, optional
        The word that the error points at.
    """

    def __init__(
        self,
        reason: str,
        code: Code = Code.COMMAND_SYNTAX,
        word: Word | None = None,
    ) -> None:
        super().__init__(reason, code)
        self.word = word

    def format_with_source(self, source: str) -> str:
        """Return the line at fault, a marker under the word, and the message."""
        message = f"{self.code.name} {int(self.code)}: {self}"
        lines = source.split("\n")
        if self.word is None or not 1 <= self.word.line <= len(lines):
            return message
        mark = " " * (self.word.column - 1) + "^" * max(1, len(self.word.text))
        return f"{lines[self.word.line - 1]}\n{mark}\n{message}"


def parse(source: str) -> tuple[Statement, ...]:
    """Parse all statements of ``source``.

    Raises
    ------
    CommandError
        With the unexpected word and the alternatives that are valid there.
    """
    try:
        return _Statements().transform(_parser().parse(source))
    except UnexpectedInput as error:
        raise _explain(error, source) from None
    except VisitError as error:
        raise error.orig_exc from None


@cache
def keywords() -> frozenset[str]:
    """Return all keywords of the grammar, for completion."""
    patterns = (terminal.pattern for terminal in _parser().terminals)
    plain = {item.value for item in patterns if item.type == "str"}
    return frozenset(word for word in plain if word.isalpha()) | {
        "service",
        "class",
        "operator",
    }


@cache
def _parser() -> Lark:
    text = resources.files(__package__).joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", maybe_placeholders=True)


def _explain(error: UnexpectedInput, source: str) -> CommandError:
    text = ""
    if isinstance(error, UnexpectedToken):
        expected = error.expected
        text = "" if error.token.type == "$END" else str(error.token)
    elif isinstance(error, UnexpectedCharacters):
        expected = error.allowed or set()
        rest = source[error.pos_in_stream :]
        # An unsupported space, such as U+00A0 in text copied from a web page, is
        # itself the error; it doesn't precede a word.
        text = rest[0] if rest[0].isspace() else rest.split(maxsplit=1)[0]
    else:
        expected = set()
    wanted = sorted({_wanted(name) for name in expected})
    found = repr(text) if text.strip(WORD_SEPARATORS) else "the end"
    word = _locate(error, source, text)
    return CommandError(f"found {found}, expected {' or '.join(wanted)}", word=word)


def _wanted(terminal: str) -> str:
    if terminal in TEXT_BY_TERMINAL:
        return TEXT_BY_TERMINAL[terminal]
    return terminal.lower()


def _locate(error: UnexpectedInput, source: str, text: str) -> Word:
    """Return the word at fault, or the place after the last word at an early end."""
    if text.strip(WORD_SEPARATORS):
        return Word(text, error.line, error.column)
    if text == "\n":
        lines = source.split("\n")
        return Word("", error.line, len(lines[error.line - 1]) + 1)
    lines = source.removesuffix("\n").split("\n")
    return Word("", len(lines), len(lines[-1]) + 1)


def _word(token: Token) -> Word:
    text = str(token)
    if token.type == "STRING":
        text = text[1:-1]
    return Word(text, token.line, token.column)


@v_args(inline=True)
class _Statements(Transformer):
    """Converts the syntax tree to the statements of `statements`."""

    def WORD(self, token):  # noqa: N802
        return _word(token)

    STRING = BEGIN = COMMIT = ABORT = RESTART = ROTATE = WATCH = WORD

    def start(self, *items):
        return tuple(item for item in items if item is not None)

    def of(self, word):
        return ("of", word)

    def by(self, word):
        return ("by", word)

    def at(self, word):
        return ("at", word)

    def where(self, *conditions):
        return ("where", conditions)

    def condition(self, key, operator, value):
        return statements.Condition(key, str(operator), value)

    def show(self, view, *clauses):
        found = {}
        for name, value in clauses:
            if name in found:
                raise CommandError(f"{name!r} is given twice", word=view)
            found[name] = value
        return statements.Show(view, **found)

    def setting(self, path, *values):
        return statements.Setting(path, values)

    def set(self, setting):
        return statements.Set(setting)

    def create(self, kind, path, *settings):
        return statements.Create(str(kind), path, settings)

    def remove(self, kind, path):
        return statements.Remove(str(kind), path)

    def target(self, word):
        return ("target", word)

    def entry(self, word):
        return ("entry", word)

    def data_centre(self, word):
        return ("data centre", word)

    def drain(self, place, force):
        return statements.Drain(*place, force is not None)

    def restart(self, word, force):
        return statements.Restart(word, force is not None)

    def rotate(self, word, force):
        return statements.Rotate(word, force is not None)

    diff = staticmethod(statements.Diff)
    apply = staticmethod(statements.Apply)
    export = staticmethod(statements.Export)
    begin = staticmethod(statements.Begin)
    commit = staticmethod(statements.Commit)
    abort = staticmethod(statements.Abort)
    rollback = staticmethod(statements.Rollback)
    watch = staticmethod(statements.Watch)
    settle = staticmethod(statements.Settle)
    report = staticmethod(statements.Report)
    help = staticmethod(statements.Help)
