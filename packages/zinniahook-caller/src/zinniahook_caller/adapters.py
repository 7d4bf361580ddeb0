"""Transport adapters, registered by scheme; ``h3`` is built in."""

from __future__ import annotations

import abc
import asyncio
import ssl
from collections.abc import Callable
from typing import NamedTuple

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from .connections import Exchange, Http3Connection, Silence, WindowedQuicConnection
from .exceptions import ConnectError, InvalidRequestError
from .models import Request

__all__ = ["Adapter", "Http3Adapter", "Options", "adapter", "adapters_by_scheme"]

IDLE_TIMEOUT_SECONDS = 60.0


class Options(NamedTuple):
    """Address and connection settings of a service.

    ``ca`` is a PEM file of trusted authorities; None trusts those of the system.
    ``connect_timeout`` is in seconds.
    """

    host: str
    port: int
    ca: str | None = None
    server_name: str | None = None
    verify: bool = True
    silence: Silence = Silence()
    connect_timeout: float = 3.0


class Adapter(abc.ABC):
    """Opens exchanges with one service.

    Parameters
    ----------
    options : Options
        Address and connection settings of the service.
    """

    def __init__(self, options: Options) -> None:
        self.options = options

    @abc.abstractmethod
    async def open(self, request: Request) -> Exchange:
        """Send a request.

        Raises
        ------
        ConnectError
            If the request was certainly not sent.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Release every connection."""


adapters_by_scheme: dict[str, type[Adapter]] = {}


def adapter(scheme: str) -> Callable[[type[Adapter]], type[Adapter]]:
    """Register a class as the adapter of ``scheme``."""

    def register(cls: type[Adapter]) -> type[Adapter]:
        adapters_by_scheme[scheme] = cls
        return cls

    return register


@adapter("h3")
class Http3Adapter(Adapter):
    """HTTP/3 with one connection for new requests.

    A connection that was lost, or on which the server sent GOAWAY, is replaced
    for new requests. Pending answers on it may still finish.

    Attributes
    ----------
    opened, moves : int
        Number of connections opened, and how often a silent connection moved to
        a new local port.
    """

    def __init__(self, options: Options) -> None:
        super().__init__(options)
        self.opened = 0
        self._moves = 0
        self._connection: Http3Connection | None = None
        self._draining: list[Http3Connection] = []
        self._lock = asyncio.Lock()

    @property
    def moves(self) -> int:
        """Number of moves of a connection to a new local port."""
        return self._moves + sum(
            connection.moves for connection in self._all_connections()
        )

    @property
    def connection(self) -> Http3Connection | None:
        """The connection for new requests, if there is one."""
        return self._connection

    async def open(self, request: Request) -> Exchange:
        """Send a request, on a new connection if necessary."""
        connection = self._connection
        if connection is None or not connection.usable:
            connection = await self._replace_connection()
        return connection.start(request, self._authority)

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._all_connections():
            self._close_connection(connection)
        self._connection = None
        self._draining.clear()

    @property
    def _authority(self) -> str:
        return f"{self.options.server_name or self.options.host}:{self.options.port}"

    async def _replace_connection(self) -> Http3Connection:
        async with self._lock:
            current = self._connection
            if current is not None and current.usable:
                return current
            self._connection = None
            if current is not None:
                self._draining.append(current)
            self._close_idle()
            self._connection = await self._connect()
            return self._connection

    def _close_idle(self) -> None:
        for connection in list(self._draining):
            if connection.lost or not connection.busy:
                self._close_connection(connection)
                self._draining.remove(connection)

    def _all_connections(self) -> list[Http3Connection]:
        current = [] if self._connection is None else [self._connection]
        return current + self._draining

    def _close_connection(self, connection: Http3Connection) -> None:
        self._moves += connection.moves
        connection.shut()

    async def _connect(self) -> Http3Connection:
        options = self.options
        quic = WindowedQuicConnection(configuration=self._configuration())
        connection = Http3Connection(quic, options.silence)
        try:
            async with asyncio.timeout(options.connect_timeout):
                await connection.open((options.host, options.port))
        except (TimeoutError, OSError) as error:
            connection.shut()
            address = f"{options.host}:{options.port}"
            raise ConnectError(f"no connection to {address}: {error!r}") from error
        except asyncio.CancelledError:
            connection.shut()
            raise
        self.opened += 1
        return connection

    def _configuration(self) -> QuicConfiguration:
        options = self.options
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=H3_ALPN,
            idle_timeout=IDLE_TIMEOUT_SECONDS,
            server_name=options.server_name or options.host,
            verify_mode=None if options.verify else ssl.CERT_NONE,
        )
        if options.ca is not None:
            try:
                configuration.load_verify_locations(cafile=options.ca)
            except OSError as error:
                raise InvalidRequestError(
                    f"can't read the authorities in {options.ca}"
                ) from error
        return configuration
