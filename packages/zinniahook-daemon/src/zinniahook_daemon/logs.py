"""Structured log lines, one for each change of state."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

__all__ = ["configure", "log"]

_logger = logging.getLogger("zinniahook")


class _JsonFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(name: str) -> None:
    """Send the log to standard error, one JSON object a line.

    Parameters
    ----------
    name : str
        Name of the instance, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter())
    handler.addFilter(_InstanceNameFilter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    _logger.setLevel(logging.INFO)


def log(event: str, **fields: Any) -> None:
    """Write one line.

    Parameters
    ----------
    event : str
        What changed, as a short constant name.
    **fields
        What else is known; secrets must never be among them.
    """
    _logger.info(event, extra={"fields": fields})


class _InstanceNameFilter(logging.Filter):
    """Add the name of the instance to each record."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._instance = name

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the name; every record passes."""
        fields = getattr(record, "fields", {})
        record.fields = {"instance": self._instance, **fields}
        return True
