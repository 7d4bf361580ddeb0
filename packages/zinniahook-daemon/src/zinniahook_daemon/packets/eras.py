"""The era of the store that an answer belongs to."""

from __future__ import annotations

import re

from zinniahook_core.codes import Code
from zinniahook_core.packets import Log
from zinniahook_core.packets.eras import ERA_LIMIT

from .ports import StoreEraError

__all__ = ["Eras"]

ERA_PATTERN = re.compile("[0-9]{1,6}")
MAX_LOGGED_CHARACTERS = 40
"""Characters of a malformed era that a log line shows."""


class Eras:
    """The eras that one daemon's store has reported.

    Parameters
    ----------
    log : Log
        Records answers whose era is malformed or decreases.
    """

    def __init__(self, log: Log) -> None:
        self.latest = 0
        self._log = log
        self._is_reported = False

    def resolve(self, reported: str | None, era_at_request: int) -> int:
        """Return the era of an answer.

        ``reported`` is the era in the answer, None if there is none.
        ``era_at_request`` is the latest era that was known when the request was sent;
        an answer without a valid era belongs to it. With the latest era instead, a
        late answer of the former era would be taken for one of the present era.

        Raises
        ------
        StoreEraError
            If the era is below ``era_at_request``.
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
