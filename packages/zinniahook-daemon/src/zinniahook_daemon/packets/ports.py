"""The interfaces through which the packet service uses its platform.

An adapter supplies a `Store` and a codec and fills in `Settings`; it makes no
decisions. The testkit contains one for tests and the demo.
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
    """The store didn't answer, or reported that it did nothing."""

    code = Code.STORE_DOWN


class StoreEraError(StoreUnavailableError):
    """The store reported an era below one that it had reported before.

    If the answer were used, orders of an abandoned history would come into force
    again.
    """

    code = Code.STORE_ERA_FELL


class AgentRecord(NamedTuple):
    """An agent as recorded in the store.

    ``order`` increases in the order in which agents first announced themselves; it
    is 0 if the agent hasn't announced itself yet.
    """

    service: str
    address: str
    data_centre: str
    order: int = 0


class EvacuationSnapshot(NamedTuple):
    """The data centres that are evacuated at a revision of the store.

    Within an ``era`` the revision increases with every change in the store. The era
    increases when the store is restored from an older copy.
    """

    revision: int
    data_centres: frozenset[str]
    era: int = 0


class WritePosition(NamedTuple):
    """The position of a write in the store's history.

    Revisions of different eras can't be compared.
    """

    era: int
    revision: int


class StoredValue(NamedTuple):
    """A value that daemons keep in the store; revision 0 if it doesn't exist."""

    name: str
    value: bytes
    revision: int
    era: int = 0


class Store(Protocol):
    """The calls to the platform's store. Each may raise `StoreUnavailableError`."""

    async def configuration(self) -> tuple[Routes, int]:
        """Read the newest configuration, and the revision of the store."""

    async def evacuation_snapshot(self) -> EvacuationSnapshot:
        """Return the evacuated data centres as one consistent snapshot."""

    async def announced_agents(self, service: str | None) -> list[AgentRecord]:
        """Return the agents of a service; for None, some agents of any service."""

    async def announce(self, agent: AgentRecord) -> WritePosition:
        """Add an agent; return the position of the write."""

    async def last_write(self, agent: AgentRecord) -> WritePosition | None:
        """Return the last write of an agent's key; None if the key doesn't exist.

        The era is the present one.
        """

    async def withdraw(self, agent: AgentRecord, revision: int) -> None:
        """Remove an agent, unless its key was written after ``revision``."""

    async def stored_values(self) -> list[StoredValue]:
        """Return every value that daemons keep."""

    async def write_values(self, values: list[StoredValue]) -> WritePosition | None:
        """Write all values, or none if the revision of any has changed.

        Returns
        -------
        WritePosition or None
            None if nothing was written.
        """

    def routes(self, document: bytes) -> Routes:
        """Parse a configuration that was fetched from another daemon.

        Raises
        ------
        ZinniahookError
            If it can't be parsed.
        """


class Settings(NamedTuple):
    """Settings of one process, independent of the platform.

    ``inner_port`` is the port on which daemons communicate with each other, over UDP
    and TCP; ``client_port`` is the port on which clients receive packets. Times are
    in seconds. ``cold_limit`` is the operators' limit for cold targets, None if they
    set none. ``peer_port`` is the port at which other daemons are
    reached if it differs from ``inner_port``, for instance behind NAT. ``features``
    are the optional parts that operators switch on or off. ``data_centres`` are all
    data centres of the deployment, empty if unknown.
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
