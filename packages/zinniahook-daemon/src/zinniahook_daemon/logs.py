"""Structured logging, with a line for each change of state."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

__all__ = ["configure", "log"]

_logger = logging.getLogger("zinniahook")


class _JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as a line of JSON."""
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
    """Send the log to standard error, with a JSON object per line.

    Parameters
    ----------
    name : str
        Name of the instance; it is added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter())
    handler.addFilter(_InstanceNameFilter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    _logger.setLevel(logging.INFO)


def log(event: str, **fields: Any) -> None:
    """Log an event.

    Parameters
    ----------
    event : str
        Name of the event, a short constant.
    **fields
        Details of the event. They must never contain secrets.
    """
    _logger.info(event, extra={"fields": fields})


class _InstanceNameFilter(logging.Filter):
    """Adds the name of the instance to each record."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._instance = name

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the name, and accept the record."""
        fields = getattr(record, "fields", {})
        record.fields = {"instance": self._instance, **fields}
        return True
