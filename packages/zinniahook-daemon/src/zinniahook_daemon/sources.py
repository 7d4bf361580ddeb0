"""Base class of the sources of the configuration and the rosters."""

from __future__ import annotations

import abc
import asyncio

__all__ = ["Source", "SourceError", "cancel_and_wait"]


class SourceError(Exception):
    """A source can't be used now; the message is the reason."""


class Source(abc.ABC):
    """A source of the configuration and the rosters.

    Attributes
    ----------
    name : str
        The name of the source in logs.
    """

    name: str

    @abc.abstractmethod
    async def follow(self) -> None:
        """Apply the whole state, then every change, until the source fails.

        Raises
        ------
        SourceError
            Why the source can't be used now.
        """


async def cancel_and_wait(tasks: set[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
