"""The parts of a daemon that are common to both roles.

A `Node` holds the settings, the store, the tunnel, the control server and the metrics
of one process, and notifies the role of new configurations and rosters. The role is
served by `entries.serve` or `agents.serve`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.ioloop import PeriodicCallback
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.effects import WriteRoster
from zinniahook_core.events import RosterWritten
from zinniahook_core.models import Address, Configuration, Roster
from zinniahook_store import Store
from zinniahook_wire.tunnels import Tunnel, TunnelDatagram, make_address

from . import clocks, logs
from .announcements import Announcement
from .certificates import Certificates
from .metrics import Histogram, Metrics
from .settings import Role, Settings
from .sockets import UdpSocket

__all__ = ["Node"]

DatagramCallback = Callable[[TunnelDatagram, Address], None]
ConfigurationCallback = Callable[[Configuration], None]
RosterCallback = Callable[[Roster], None]


class Node:
    """One daemon's settings, connections and metrics.

    Parameters
    ----------
    settings : Settings
        The checked settings.

    Attributes
    ----------
    settings : Settings
    store : Store
    distribution : Distribution
        Receives the configuration and the rosters.
    control : ControlServer
    metrics : Metrics
    certificates : Certificates
    tunnel : Tunnel or None
        Uses the keys in force; None before the first configuration.
    generation : int
        Number of the configuration in force here; 0 before the first.
    loop : asyncio.AbstractEventLoop
    stopping : asyncio.Event
        Set when the process should stop gracefully (SIGTERM or a drain).
    tunnel_address, control_address : Address
        As bound, known after `start`.
    """

    def __init__(self, settings: Settings) -> None:
        from .control import ControlServer
        from .distribution import Distribution

        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.metrics = Metrics(settings.metrics, settings.name)
        self.certificates = Certificates(settings.control)
        self.store = Store(settings.store.addresses, settings.store.timeout)
        self.tunnel: Tunnel | None = None
        self.generation = 0
        self.tunnel_address = settings.tunnel.address
        self.control_address = settings.control.address
        self.relay_handler: Callable[[Any], Awaitable[None]] | None = None
        self.drain_handler: Callable[[float], None] | None = None
        self.status_handler: Callable[[], dict[str, Any]] | None = None
        self._receivers: list[DatagramCallback] = []
        self._configuration_callbacks: list[ConfigurationCallback] = []
        self._roster_callbacks: list[RosterCallback] = []
        self._reload_callbacks: list[Callable[[], None]] = []
        self._timers: list[PeriodicCallback] = []
        self._socket: UdpSocket | None = None
        self.announcement: Announcement | None = None
        self.distribution = Distribution(self)
        self.control = ControlServer(self)

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force here, or None before the first."""
        return self.distribution.configuration

    async def start(self) -> None:
        """Bind the tunnel and the control server, and start the distribution.

        Raises
        ------
        ZinniahookError
            SETTINGS_ADDRESS, if an address can't be bound.
        """
        try:
            self._socket = UdpSocket(self.tunnel_address, self._receive)
        except OSError as error:
            raise _bind_error("tunnel", self.tunnel_address, error) from None
        self.tunnel_address = self._socket.address
        try:
            self.control_address = await self.control.start()
        except OSError as error:
            raise _bind_error("control", self.control_address, error) from None
        self.distribution.start()
        if self.settings.role is Role.ENTRY:
            self.announcement = Announcement(self)
            self.announcement.start()
        self.every(1.0, self.metrics.flush)

    async def stop(self) -> None:
        """Close everything that `start` opened."""
        for timer in self._timers:
            timer.stop()
        if self.announcement is not None:
            await self.announcement.stop()
        await self.distribution.stop()
        await self.control.stop()
        if self._socket is not None:
            self._socket.close()
        self.store.close()
        self.metrics.flush()

    async def ready(self) -> None:
        """Wait until a configuration is in force, or the node is stopping."""
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self.distribution.synchronized, self.stopping)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    def announce(self, **addresses: Any) -> None:
        """Print the JSON line that reports that this daemon is ready."""
        ready = {
            "role": self.settings.role,
            "name": self.settings.name,
            "tunnel": str(self.tunnel_address),
            "control": str(self.control_address),
            **addresses,
        }
        print(json.dumps({"ready": ready}), flush=True)
        self.log("ready", generation=self.generation)

    # The tunnel

    def send_tunnel(self, address: Address, datagram: TunnelDatagram) -> None:
        """Send a datagram to another daemon, without a guarantee of delivery."""
        if self.tunnel is None or self._socket is None:
            self.count("tunnel.dropped", code=Code.NOT_READY.name)
            return
        if not self._socket.send(self.tunnel.encode(datagram), address):
            self.count("tunnel.dropped", code=Code.SOCKET_FULL.name)

    @property
    def tunnel_sender(self) -> Callable[[bytes, Address], bool]:
        """A function that sends an encoded tunnel datagram; False if it was lost."""
        return self._socket.send

    def on_tunnel(self, callback: DatagramCallback) -> None:
        """Call back with each authenticated tunnel datagram and its source."""
        self._receivers.append(callback)

    def _receive(self, data: bytes, source: tuple) -> None:
        if self.tunnel is None:
            self.count("tunnel.dropped", code=Code.NOT_READY.name)
            return
        datagram = self.tunnel.decode(data)
        if isinstance(datagram, Code):
            self.count("tunnel.dropped", code=datagram.name)
            return
        if datagram.generation > self.generation:
            self.distribution.report_generation(datagram.generation)
        sender = make_address(source[:2])
        for callback in self._receivers:
            callback(datagram, sender)

    # Configuration and rosters

    def on_configuration(self, callback: ConfigurationCallback) -> None:
        """Call back with each new configuration, and at once with a present one."""
        self._configuration_callbacks.append(callback)
        if self.configuration is not None:
            callback(self.configuration)

    def on_roster(self, callback: RosterCallback) -> None:
        """Call back with each new roster; `roster` returns those already known."""
        self._roster_callbacks.append(callback)

    def roster(self, service: str) -> Roster | None:
        """Return the newest known roster of a service, if any."""
        return self.distribution.rosters.get(service)

    def configuration_changed(self, configuration: Configuration) -> None:
        """Put a new configuration in force (called by the distribution)."""
        self.generation = configuration.generation
        self.tunnel = Tunnel(
            configuration.tunnel_keys_by_number, configuration.tunnel_key
        )
        for callback in self._configuration_callbacks:
            callback(configuration)

    def roster_changed(self, roster: Roster) -> None:
        """Notify the role of a new roster (called by the distribution)."""
        for callback in self._roster_callbacks:
            callback(roster)

    async def write_roster(self, effect: WriteRoster) -> RosterWritten:
        """Compare-and-swap a roster in the store; never raises."""
        return await self.distribution.write_roster(effect)

    async def read_roster(self, service: str) -> Roster | None:
        """Read a roster from the store, and report it if it is newer.

        Returns
        -------
        Roster or None
            None if the store didn't answer; an empty roster of revision 0 if
            there is none yet.
        """
        return await self.distribution.read_roster(service)

    # Calls from other daemons and operators

    def on_relay(self, handler: Callable[[Any], Awaitable[None]]) -> None:
        """Serve `Control.Relay` with ``await handler(stream)``."""
        self.relay_handler = handler

    def on_drain(self, handler: Callable[[float], None]) -> None:
        """Call back with the allowed seconds when a drain is requested."""
        self.drain_handler = handler

    def on_status(self, handler: Callable[[], dict[str, Any]]) -> None:
        """Add ``handler()`` to the answers of `Control.Status`."""
        self.status_handler = handler

    def on_reload(self, callback: Callable[[], None]) -> None:
        """Call back when certificates should be read again (SIGHUP)."""
        self._reload_callbacks.append(callback)

    def reload(self) -> None:
        """Read the certificates again; keep the present ones if they are invalid."""
        try:
            self.certificates.reload()
            for callback in self._reload_callbacks:
                callback()
        except (ZinniahookError, OSError, ValueError) as error:
            self.count("certificates.refused")
            self.log("certificates-refused", reason=str(error))
            return
        self.log("certificates-reloaded")

    # Metrics, logs and time

    def count(self, name: str, amount: int = 1, **tags: object) -> None:
        """Add to a counter; see `Metrics.count`."""
        self.metrics.count(name, amount, **tags)

    def histogram(self, service: str, kind: str) -> Histogram:
        """Return a histogram of times; see `Metrics.histogram`."""
        return self.metrics.histogram(service, kind)

    def log(self, event: str, **fields: Any) -> None:
        """Write a structured log line about a change of state."""
        logs.log(event, **fields)

    def now(self) -> float:
        """Return the monotonic time in seconds that the cores expect."""
        return clocks.now()

    def every(self, seconds: float, callback: Callable[[], None]) -> PeriodicCallback:
        """Call back periodically until the node stops.

        Returns
        -------
        PeriodicCallback
            Call its ``stop()`` to end the calls earlier.
        """
        timer = PeriodicCallback(callback, seconds * 1000)
        timer.start()
        self._timers.append(timer)
        return timer


def _bind_error(name: str, address: Address, error: OSError) -> ZinniahookError:
    reason = error.strerror or str(error)
    return ZinniahookError(f"{name}.address {address}: {reason}", Code.SETTINGS_ADDRESS)
