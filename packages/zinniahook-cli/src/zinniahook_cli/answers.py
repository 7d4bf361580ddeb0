"""Answers to statements: a table or text, and an exit status."""

from __future__ import annotations

import enum
import json
from dataclasses import dataclass
from typing import Any

from zinniahook_core.codes import Code

from .tables import Table, as_json, as_text

__all__ = ["Answer", "Status", "status_of"]


class Status(enum.IntEnum):
    """Exit statuses of the client, given by the first statement that fails."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    UNFINISHED = 5


MEANINGS_BY_STATUS = {
    Status.OK: "done, or committed",
    Status.REFUSED: "refused: nothing was changed",
    Status.USAGE: "the command or the settings are wrong; nothing was run",
    Status.UNKNOWN: "the outcome is unknown; the answer names the command to settle it",
    Status.UNREACHABLE: "the store or a daemon did not answer; nothing was changed",
    Status.UNFINISHED: "accepted, but not everywhere or not safe within the patience",
}


@dataclass(frozen=True, slots=True)
class Answer:
    """The result of a statement.

    ``data`` holds the content of ``text`` as fields for the JSON output.
    """

    text: str = ""
    table: Table | None = None
    data: dict[str, Any] | None = None
    status: Status = Status.OK

    def as_text(self) -> str:
        """Return the answer as readable text."""
        if self.table is None:
            return self.text
        return "\n".join(filter(None, (self.text, as_text(self.table))))

    def as_json(self) -> str:
        """Return the answer as one JSON object."""
        value: dict[str, Any] = {"status": self.status.name.lower()}
        if self.text:
            value["text"] = self.text
        value.update(self.data or {})
        if self.table is not None:
            value.update(json.loads(as_json(self.table)))
        return json.dumps(value)


def status_of(code: Code) -> Status:
    """Return the exit status for a result code."""
    if code is Code.STORE_DOWN or code is Code.NOT_READY:
        return Status.UNREACHABLE
    if code in (Code.STORE_ANSWER_LOST, Code.UNKNOWN):
        return Status.UNKNOWN
    if code >= Code.SETTINGS_UNREADABLE:
        return Status.USAGE
    return Status.REFUSED
