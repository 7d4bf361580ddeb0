"""The state shared by all statements of one operator."""

from __future__ import annotations

from collections.abc import Callable

from zinniahook_store import Store

from .daemons import Daemons
from .identity import operator_name
from .settings import ClientSettings

__all__ = ["Context", "ProgressCallback"]

ProgressCallback = Callable[[str], None]


class Context:
    """The store, the daemons and the settings of one operator.

    Parameters
    ----------
    settings : ClientSettings
        Addresses, certificate and time limits.
    store : Store
        Client of the key-value store.
    on_progress : callable
        Receives each line of progress.
    wait : bool
        Whether a commit waits until every daemon has it in force.
    """

    def __init__(
        self,
        settings: ClientSettings,
        store: Store,
        on_progress: ProgressCallback,
        *,
        wait: bool = False,
    ) -> None:
        self.settings = settings
        self.store = store
        self.daemons = Daemons(settings)
        self.on_progress = on_progress
        self.wait = wait

    @property
    def operator(self) -> str:
        """The operator's name, from the certificate."""
        return operator_name(self.settings)
