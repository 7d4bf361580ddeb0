"""What a daemon can learn the configuration and the rosters from."""

from __future__ import annotations

import abc
import asyncio

__all__ = ["Source", "SourceError", "cancel_and_wait"]


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


async def cancel_and_wait(tasks: set[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
