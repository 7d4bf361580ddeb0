"""What a daemon can learn the configuration and the rosters from."""

from __future__ import annotations

import abc
import asyncio

__all__ = ["Source", "SourceError", "end"]

CANCEL_INTERVAL = 0.1
"""Seconds between attempts to cancel a task."""


class SourceError(Exception):
    """A source is of no use now; the message says why."""


class Source(abc.ABC):
    """Something to learn from.

    Attributes
    ----------
    name : str
        For logs.
    """

    name: str

    @abc.abstractmethod
    async def follow(self) -> None:
        """Learn all, then every change, until the source fails.

        Raises
        ------
        SourceError
            Why it is of no use now.
        """


async def end(tasks: set[asyncio.Task]) -> None:
    """Cancel tasks until they have ended.

    `asyncio.wait_for` of Python 3.11 drops a cancellation that comes together
    with its result; a watch would then go on for ever, and a stopping daemon
    with it.
    """
    pending = tasks
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)
