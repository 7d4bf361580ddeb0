"""Which era of the store an answer is of."""

from __future__ import annotations

import re

from zinniahook_core.codes import Code
from zinniahook_core.packets import Log
from zinniahook_core.packets.eras import ERA_LIMIT

from .ports import StoreEraError

__all__ = ["Eras"]

ERA_PATTERN = re.compile("[0-9]{1,6}")
MAX_LOGGED_CHARACTERS = 40
"""Characters of a malformed era in a log line."""


class Eras:
    """The eras that one daemon's store has told.

    Parameters
    ----------
    log : Log
        Where answers are told whose era can't be read, or falls.
    """

    def __init__(self, log: Log) -> None:
        self.latest = 0
        self._log = log
        self._is_reported = False

    def resolve(self, reported: str | None, era_at_request: int) -> int:
        """Return the era of an answer.

        ``reported`` is what the answer says, None if nothing; ``era_at_request`` is the
        latest era that was known as the question was sent. An answer that tells
        none is of that one. What goes wrong otherwise: a late answer of the
        former era passes for one of the present.

        Raises
        ------
        StoreEraError
            If the era is below one that was known before.
        """
        era = self._parse(reported)
        if era is None:
            return era_at_request
        self._is_reported = True
        if era < era_at_request:
            self._log.event(
                "store.era_fell",
                era=era,
                known=era_at_request,
                code=int(Code.STORE_ERA_FELL),
            )
            raise StoreEraError(f"store: era {era} after {era_at_request}")
        self.latest = max(self.latest, era)
        return era

    def _parse(self, reported: str | None) -> int | None:
        if reported is None and not self._is_reported:
            return None
        if reported is not None and ERA_PATTERN.fullmatch(reported):
            era = int(reported)
            if era < ERA_LIMIT:
                return era
        self._log.event(
            "store.era_unknown",
            told=None if reported is None else reported[:MAX_LOGGED_CHARACTERS],
            known=self.latest,
            code=int(Code.STORE_ERA_UNKNOWN),
        )
        return None
