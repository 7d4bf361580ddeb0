"""Apply statements to a configuration document, as pure and repeatable functions."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

from zinniahook_core import configuration
from zinniahook_core.codes import Code
from zinniahook_core.configuration import ConfigurationError, Document, Problem
from zinniahook_core.schema import (
    CLASS_FIELDS_BY_NAME,
    OPERATOR_FIELDS_BY_NAME,
    ROLLOUT_FIELDS_BY_NAME,
    SERVICE_FIELDS_BY_NAME,
    Field,
)

from .grammar import CommandError
from .statements import Apply, Create, Remove, Set, Setting, Word

__all__ = [
    "Change",
    "change",
    "changed_settings",
    "not_permitted",
    "unknown_name_error",
]

Change = Set | Create | Remove | Apply
Table = dict[str, Any]

SECTIONS_BY_KIND = {"service": "services", "operator": "operators"}
FIELDS_BY_KIND = {
    "service": SERVICE_FIELDS_BY_NAME,
    "class": CLASS_FIELDS_BY_NAME,
    "operator": OPERATOR_FIELDS_BY_NAME,
}
EMPTY_LIST_WORD = "none"
"""The word that stands for an empty list in a statement."""

_steps_by_type: dict[type, Callable[[Table, Any], Table]] = {}


def _applies(kind: type) -> Callable:
    def register(function: Callable[[Table, Any], Table]) -> Callable:
        _steps_by_type[kind] = function
        return function

    return register


def change(document: Document, steps: Iterable[Change]) -> Document:
    """Return the document with every step applied, validated as a whole.

    Raises
    ------
    CommandError
        If a step uses an unknown name or a value of the wrong type.
    ConfigurationError
        If the resulting document is invalid.
    """
    table = configuration.to_table(document)
    for step in steps:
        table = _steps_by_type[type(step)](table, step)
    changed = configuration.from_table(table)
    changed = configuration.retire(changed, document)
    problems = configuration.validate(changed, document)
    if problems:
        raise ConfigurationError(problems)
    return changed


def changed_settings(before: Document, after: Document) -> Iterator[tuple[str, str]]:
    """Yield the service name and key of each service setting that differs."""
    for item in configuration.diff(before, after):
        section, _, rest = item.key.partition(".")
        if section == "services":
            name, _, key = rest.partition(".")
            yield name, key


def not_permitted(before: Document, after: Document, operator: str) -> tuple[str, ...]:
    """Return the changed keys that ``operator`` has no right to change.

    A document without operators grants every right: it belongs to the first
    deployment, before any operator is defined.
    """
    if not before.operators_by_name:
        return ()
    rights = before.operators_by_name.get(operator, configuration.Operator(operator))
    return tuple(
        item.key
        for item in configuration.diff(before, after)
        if not _allowed(rights, item.key)
    )


def unknown_name_error(word: Word, what: str, names: Iterable[str]) -> CommandError:
    """Return the error for an unknown name, with the closest known name as a hint.

    Parameters
    ----------
    word : Word
        The name as typed.
    what : str
        The kind of thing that was expected, such as "service".
    names : iterable of str
        The known names.
    """
    matches = difflib.get_close_matches(word.text, list(names), 1)
    hint = f"; did you mean {matches[0]!r}?" if matches else ""
    reason = f"no {what} {word.text!r}{hint}"
    return CommandError(reason, Code.COMMAND_UNKNOWN_NAME, word)


def _allowed(operator: configuration.Operator, key: str) -> bool:
    section, _, rest = key.partition(".")
    if section == "retired":
        return True
    if section != "services":
        return operator.operators
    return operator.may_change(rest.partition(".")[0])


@_applies(Set)
def _set(table: Table, step: Set) -> Table:
    setting = step.setting
    parts = setting.path.text.split(".")
    for section, field in _tables_with_setting(table, parts, setting.path):
        section[parts[-1]] = _value(field, setting)
    return table


@_applies(Create)
def _create(table: Table, step: Create) -> Table:
    parent, name = _parent(table, step.kind, step.path)
    if name in parent:
        raise CommandError(
            f"{step.kind} {name!r} is there already",
            Code.CONFIGURATION_INVALID,
            step.path,
        )
    fields = FIELDS_BY_KIND[step.kind]
    values = {}
    for setting in step.settings:
        field = fields.get(setting.path.text)
        if field is None:
            raise unknown_name_error(setting.path, f"setting of a {step.kind}", fields)
        values[setting.path.text] = _value(field, setting)
    parent[name] = values
    return table


@_applies(Remove)
def _remove(table: Table, step: Remove) -> Table:
    parent, name = _parent(table, step.kind, step.path)
    if name not in parent:
        raise unknown_name_error(step.path, step.kind, parent)
    del parent[name]
    return table


@_applies(Apply)
def _apply(_table: Table, step: Apply) -> Table:
    try:
        text = Path(step.file.text).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            f"can't read {step.file.text}: {error}", Code.SETTINGS_UNREADABLE, step.file
        ) from None
    return configuration.to_table(configuration.parse(text))


def _parent(table: Table, kind: str, path: Word) -> tuple[Table, str]:
    if kind in SECTIONS_BY_KIND:
        return table[SECTIONS_BY_KIND[kind]], path.text
    name, dot, item = path.text.partition(".")
    if not dot:
        raise CommandError("a class is named as SERVICE.CLASS", word=path)
    service = table["services"].get(name)
    if service is None:
        raise unknown_name_error(path, "service", table["services"])
    return service.setdefault("classes", {}), item


def _tables_with_setting(
    table: Table, parts: list[str], path: Word
) -> list[tuple[Table, Field]]:
    """Return the tables that hold the setting at a dotted path.

    A path is ``SERVICE.SETTING``, ``SERVICE.CLASS.SETTING``, ``rollout.SETTING``
    or ``operators.NAME.SETTING``. A class setting without a class name selects
    every class of the service.
    """
    name = parts[-1]
    if parts[0] == "rollout" and len(parts) == 2:
        return [(table["rollout"], _field(ROLLOUT_FIELDS_BY_NAME, name, path))]
    if parts[0] == "operators" and len(parts) == 3:
        section = _child(table["operators"], parts[1], "operator", path)
        return [(section, _field(OPERATOR_FIELDS_BY_NAME, name, path))]
    service = _child(table["services"], parts[0], "service", path)
    classes = service.get("classes", {})
    if len(parts) == 3:
        section = _child(classes, parts[1], f"class of {parts[0]}", path)
        return [(section, _field(CLASS_FIELDS_BY_NAME, name, path))]
    if len(parts) == 2 and name in SERVICE_FIELDS_BY_NAME:
        return [(service, SERVICE_FIELDS_BY_NAME[name])]
    if len(parts) == 2 and name in CLASS_FIELDS_BY_NAME and name != "prefix":
        if not classes:
            reason = f"{name} is a setting of classes, and {parts[0]} has none"
            raise CommandError(reason, Code.COMMAND_UNKNOWN_NAME, path)
        field = CLASS_FIELDS_BY_NAME[name]
        return [(item, field) for item in classes.values()]
    raise unknown_name_error(path, "setting", _paths(table))


def _child(table: Table, name: str, what: str, path: Word) -> Table:
    if name in table:
        return table[name]
    raise unknown_name_error(path._replace(text=name), what, table)


def _field(fields: Any, name: str, path: Word) -> Field:
    if name in fields:
        return fields[name]
    raise unknown_name_error(path, "setting", [*fields])


def _paths(table: Table) -> Iterator[str]:
    for name in table["services"]:
        yield from (f"{name}.{field}" for field in SERVICE_FIELDS_BY_NAME)
        yield from (f"{name}.{field}" for field in CLASS_FIELDS_BY_NAME)


def _value(field: Field, setting: Setting) -> Any:
    """Convert words to a value that the field accepts."""
    words = setting.values
    texts = [word.text for word in words]
    if field.kind == "list of texts":
        value: Any = [] if texts == [EMPTY_LIST_WORD] else texts
    elif len(words) > 1:
        raise CommandError("takes one value", Code.CONFIGURATION_INVALID, words[1])
    else:
        value = _parse_scalar(texts[0])
    try:
        field.read(value)
    except ValueError as error:
        key = setting.path.text
        problem = Problem(key, str(error))
        raise CommandError(f"{key}: {error}", problem.code, words[0]) from None
    return value


def _parse_scalar(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text
