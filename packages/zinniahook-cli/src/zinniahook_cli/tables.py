"""Tables in answers: filters, grouping, and output as text or JSON."""

from __future__ import annotations

import fnmatch
import json
import operator
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from zinniahook_core.codes import Code

from .changes import unknown_name_error
from .grammar import CommandError
from .statements import Condition, Word

__all__ = ["Table", "as_json", "as_text", "filtered", "grouped"]

COLUMN_SEPARATOR = "  "
COMPARISONS_BY_OPERATOR: Mapping[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


class Table(NamedTuple):
    """Rows of plain values under named columns.

    ``notes`` are lines below the table, such as the daemons that didn't answer.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    notes: tuple[str, ...] = ()


def filtered(table: Table, conditions: tuple[Condition, ...]) -> Table:
    """Return the table with the rows that satisfy every condition.

    Raises
    ------
    CommandError
        If a column is unknown or a number is compared with a text.
    """
    tests = [_test(table, condition) for condition in conditions]
    rows = tuple(row for row in table.rows if all(test(row) for test in tests))
    return table._replace(rows=rows)


def grouped(table: Table, by: Word) -> Table:
    """Group the rows by column ``by`` and add up the number columns."""
    index = _index(table, by)
    numbers = [
        position
        for position in range(len(table.columns))
        if position != index and _is_numeric(table, position)
    ]
    sums_by_value: dict[Any, list[float]] = {}
    for row in table.rows:
        sums = sums_by_value.setdefault(row[index], [0] * len(numbers))
        for position, column in enumerate(numbers):
            sums[position] += row[column]
    columns = (by.text, *(table.columns[position] for position in numbers))
    rows = tuple((value, *sums) for value, sums in sorted(sums_by_value.items()))
    return Table(columns, rows, table.notes)


def as_text(table: Table) -> str:
    """Return the table as aligned text, with numbers aligned to the right."""
    cells = [[_cell(value) for value in row] for row in table.rows]
    lines = [list(table.columns), *cells]
    widths = [
        max(len(line[position]) for line in lines)
        for position in _column_indexes(table)
    ]
    right = [_is_numeric(table, position) for position in _column_indexes(table)]
    text = [
        COLUMN_SEPARATOR.join(
            cell.rjust(width) if at_right else cell.ljust(width)
            for cell, width, at_right in zip(line, widths, right, strict=True)
        ).rstrip()
        for line in lines
    ]
    return "\n".join([*text, *table.notes])


def as_json(table: Table) -> str:
    """Return the rows, as objects by column, and the notes as JSON."""
    rows = [dict(zip(table.columns, row, strict=True)) for row in table.rows]
    return json.dumps({"rows": rows, "notes": list(table.notes)}, default=str)


def _column_indexes(table: Table) -> range:
    return range(len(table.columns))


def _is_numeric(table: Table, position: int) -> bool:
    values = [row[position] for row in table.rows]
    return bool(values) and all(type(value) in (int, float) for value in values)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if type(value) is float:
        return f"{value:.4g}"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "-"
    return str(value)


def _index(table: Table, word: Word) -> int:
    if word.text not in table.columns:
        raise unknown_name_error(word, "column", table.columns)
    return table.columns.index(word.text)


def _test(table: Table, condition: Condition) -> Callable[[tuple], bool]:
    index = _index(table, condition.key)
    wanted = condition.value.text
    if condition.operator == "~":
        return lambda row: fnmatch.fnmatchcase(str(row[index]), wanted)
    compare = COMPARISONS_BY_OPERATOR[condition.operator]
    if not _is_numeric(table, index):
        return lambda row: compare(_cell(row[index]), wanted)
    try:
        number = float(wanted)
    except ValueError:
        raise CommandError(
            f"{condition.key} is a number", Code.COMMAND_SYNTAX, condition.value
        ) from None
    return lambda row: compare(row[index], number)
