"""What the packet service needs from the place where it runs.

An adapter supplies a `Store` and a codec and fills `Settings`; it decides
nothing. The testkit has one for tests and the demo.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address
from zinniahook_core.packets import ColdLimit, Features, Routes

__all__ = [
    "AgentRecord",
    "EvacuationSnapshot",
    "StoredValue",
    "Settings",
    "Store",
    "StoreEraError",
    "StoreUnavailableError",
    "WritePosition",
]


class StoreUnavailableError(ZinniahookError):
    """The store didn't answer, or said that it did nothing."""

    code = Code.STORE_DOWN


class StoreEraError(StoreUnavailableError):
    """The store told an era below one that it had told before.

    What goes wrong if it is believed: orders of a history that is over come into
    force again.
    """

    code = Code.STORE_ERA_FELL


class AgentRecord(NamedTuple):
    """An agent as it stands in the store.

    ``order`` is a number that grows with the moments at which agents first
    announced themselves; 0 if the agent hasn't yet.
    """

    service: str
    address: str
    data_centre: str
    order: int = 0


class EvacuationSnapshot(NamedTuple):
    """The data centres that were evacuated at a revision of the store.

    The revision is a number that grows with each change of anything there,
    within an ``era``; the era grows as the store comes back from an older copy.
    """

    revision: int
    data_centres: frozenset[str]
    era: int = 0


class WritePosition(NamedTuple):
    """Where a write lies in the store's history.

    Revisions of different eras tell nothing of each other.
    """

    era: int
    revision: int


class StoredValue(NamedTuple):
    """A value that daemons keep in the store; revision 0 if it isn't there."""

    name: str
    value: bytes
    revision: int
    era: int = 0


class Store(Protocol):
    """The calls to the platform's store. Each raises `StoreUnavailableError`."""

    async def configuration(self) -> tuple[Routes, int]:
        """Read the newest configuration, and the revision of the store."""

    async def evacuation_snapshot(self) -> EvacuationSnapshot:
        """Return which data centres are evacuated, as one snapshot."""

    async def announced_agents(self, service: str | None) -> list[AgentRecord]:
        """Return the agents of a service, or some of any."""

    async def announce(self, agent: AgentRecord) -> WritePosition:
        """Add an agent; return where its key was written."""

    async def last_write(self, agent: AgentRecord) -> WritePosition | None:
        """Return where an agent's key was written last, None if it isn't there.

        The era is the present one.
        """

    async def withdraw(self, agent: AgentRecord, revision: int) -> None:
        """Remove an agent, unless its key was written again since."""

    async def stored_values(self) -> list[StoredValue]:
        """Return every value that daemons keep."""

    async def write_values(self, values: list[StoredValue]) -> WritePosition | None:
        """Write values unless any has another revision by now.

        None if nothing was written.
        """

    def routes(self, document: bytes) -> Routes:
        """Read a configuration that another daemon passed on.

        Raises
        ------
        ZinniahookError
            If it can't be read.
        """


class Settings(NamedTuple):
    """Settings of one process, in the project's words.

    ``inner_port`` is where daemons speak to each other, over UDP and TCP;
    ``client_port`` is where clients receive packets. Times are seconds.
    ``cold_limit`` is what operators allow cold targets, None if it is up to them.
    ``peer_port`` is where daemons reach each other if that isn't ``inner_port``, as
    behind a translation of addresses. ``features`` tells which optional parts the
    operators switch on or off. ``data_centres`` are all there are, empty if not told.
    """

    name: str
    address: str
    data_centre: str
    inner_port: int
    client_port: int
    seeds: tuple[str, ...]
    grace: float
    beat_interval: float
    listen: Address | None = None
    service: str = ""
    target: Address | None = None
    outbound: Address | None = None
    metrics: Address | None = None
    cold_limit: ColdLimit | None = None
    features: Features = Features()
    peer_port: int | None = None
    data_centres: tuple[str, ...] = ()
