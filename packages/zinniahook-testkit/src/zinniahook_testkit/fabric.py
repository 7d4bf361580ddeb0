"""Stand-in for the platform's fabric: a UDP relay that sprays packets.

Run ``python -m zinniahook_testkit.fabric '<settings as JSON>'``. The fabric
owns the public address of every service. It sends each datagram of a caller to a
random running entry, whatever its flow, and sends the answers of any entry from
the public address. Faults are drawn from one seeded generator.

When ready it prints ``{"ready": {"admin": ..., "services": {name: ...}}}``.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import random
import socket
import sys
from collections import Counter
from typing import Any, NamedTuple, TypedDict

import tornado.web

from . import standins

__all__ = ["Fabric", "FabricSettings", "Faults", "main"]

MAX_CALLERS = 4096
MAX_IDLE_SECONDS = 300.0
MAX_DATAGRAM_BYTES = 65535
DATAGRAMS_PER_READ = 64
SOCKET_BUFFER_BYTES = 1 << 21
SWEEP_INTERVAL_SECONDS = 5.0


class FabricSettings(TypedDict, total=False):
    """Settings of a fabric process, as JSON on its command line."""

    host: str
    services: list[str]
    entries: list[str]
    seed: int
    faults: dict[str, float]


class Faults(NamedTuple):
    """Faults in each direction; shares from 0 to 1, times in seconds.

    ``latency`` is one way. A reordered datagram is delayed by ``reorder_delay``
    more than the others. ``jitter`` is the maximum of a uniform extra delay of
    every datagram.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    reorder_delay: float = 0.01
    latency: float = 0.0
    jitter: float = 0.0


class Caller:
    """The socket that represents one caller address to the entries."""

    def __init__(self, address: tuple[str, int], relay: socket.socket) -> None:
        self.address = address
        self.relay = relay
        self.last_used = 0.0
        self.silent = False


class Fabric:
    """Relay datagrams between callers and entries on the running loop.

    Parameters
    ----------
    host : str
        Loopback host of the public service addresses.
    services : list of str
        Names of the services; each gets a port picked by the system.
    entries : list of str
        Loopback hosts of the running entries; each binds the same ports.
    rng : random.Random
        Source of every random choice.
    """

    def __init__(
        self, host: str, services: list[str], entries: list[str], rng: random.Random
    ) -> None:
        self.entries = list(entries)
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.sockets_by_service: dict[str, socket.socket] = {}
        self.callers_by_address: dict[tuple[str, int], Caller] = {}
        self._sockets_by_port: dict[int, socket.socket] = {}
        self._host = host
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._waiting: list[tuple[float, int, socket.socket, bytes, Any]] = []
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None
        for service in services:
            self._bind(service)
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    @property
    def addresses_by_service(self) -> dict[str, str]:
        """The public address of each service as ``host:port``."""
        return {
            name: "{}:{}".format(*public.getsockname())
            for name, public in self.sockets_by_service.items()
        }

    def silence(self, count: int, address: tuple[str, int] | None = None) -> list[str]:
        """Drop all datagrams of some caller addresses for good, in both directions.

        Returns
        -------
        list of str
            The affected addresses: ``address`` if given, else up to ``count``
            random ones of those in use.
        """
        if address is not None:
            chosen = [address] if address in self.callers_by_address else []
        else:
            known = sorted(
                caller.address
                for caller in self.callers_by_address.values()
                if not caller.silent
            )
            chosen = self._rng.sample(known, min(count, len(known)))
        for item in chosen:
            self.callers_by_address[item].silent = True
        return ["{}:{}".format(*item) for item in chosen]

    def close(self) -> None:
        """Close every socket."""
        self._sweeper.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for public in self.sockets_by_service.values():
            self._loop.remove_reader(public)
            public.close()
        for caller in self.callers_by_address.values():
            self._loop.remove_reader(caller.relay)
            caller.relay.close()

    def _bind(self, service: str) -> None:
        public = _udp_socket(self._host)
        self.sockets_by_service[service] = public
        self._sockets_by_port[public.getsockname()[1]] = public
        self._loop.add_reader(public, self._read_callers, public)

    def _read_callers(self, public: socket.socket) -> None:
        port = public.getsockname()[1]
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data, address = public.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            self.counts["from_callers"] += 1
            caller = self._caller(address)
            if caller is None or caller.silent or not self.entries:
                self.counts["swallowed"] += 1
                continue
            for wait in self._draw_delays():
                entry = self._rng.choice(self.entries)
                self.counts[f"to_entry_{entry}"] += 1
                self._send(wait, caller.relay, data, (entry, port))

    def _read_entries(self, caller: Caller) -> None:
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data, (_, port) = caller.relay.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An entry was killed: its ICMP error is reported on a later read.
                continue
            self.counts["from_entries"] += 1
            public = self._sockets_by_port.get(port)
            if public is None or caller.silent:
                self.counts["swallowed"] += 1
                continue
            for wait in self._draw_delays():
                self._send(wait, public, data, caller.address)

    def _caller(self, address: tuple[str, int]) -> Caller | None:
        caller = self.callers_by_address.get(address)
        if caller is None:
            if len(self.callers_by_address) >= MAX_CALLERS:
                return None
            caller = Caller(address, _udp_socket(self._host))
            self.callers_by_address[address] = caller
            self._loop.add_reader(caller.relay, self._read_entries, caller)
        caller.last_used = self._loop.time()
        return caller

    def _draw_delays(self) -> list[float]:
        """Draw the faults of one datagram and return the delay of each copy."""
        faults, rng = self.faults, self._rng
        if faults.loss and rng.random() < faults.loss:
            self.counts["lost"] += 1
            return []
        wait = faults.latency
        if faults.jitter:
            wait += rng.random() * faults.jitter
        if faults.reordering and rng.random() < faults.reordering:
            self.counts["reordered"] += 1
            wait += faults.reorder_delay
        if faults.duplication and rng.random() < faults.duplication:
            self.counts["duplicated"] += 1
            return [wait, wait]
        return [wait]

    def _send(self, wait: float, via: socket.socket, data: bytes, to: Any) -> None:
        if wait <= 0:
            _send_now(via, data, to)
            return
        self._sequence += 1
        due = self._loop.time() + wait
        heapq.heappush(self._waiting, (due, self._sequence, via, data, to))
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        due = self._waiting[0][0]
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._send_due)

    def _send_due(self) -> None:
        self._timer = None
        now = self._loop.time()
        while self._waiting and self._waiting[0][0] <= now:
            _, _, via, data, to = heapq.heappop(self._waiting)
            _send_now(via, data, to)
        if self._waiting:
            self._schedule_timer()

    def _sweep(self) -> None:
        oldest = self._loop.time() - MAX_IDLE_SECONDS
        for address, caller in list(self.callers_by_address.items()):
            if caller.last_used < oldest:
                self._loop.remove_reader(caller.relay)
                caller.relay.close()
                del self.callers_by_address[address]
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)


class AdminHandler(tornado.web.RequestHandler):
    """Controls a running fabric over HTTP with JSON bodies.

    ``POST /faults`` replaces the faults, ``POST /entries`` takes ``add`` and
    ``remove``, ``POST /silence`` takes ``count`` or ``caller``. ``GET /status``
    and the first two return the status; ``/silence`` returns the affected
    addresses.
    """

    def initialize(self, fabric: Fabric) -> None:
        """Store the fabric to control."""
        self.fabric = fabric

    def get(self, action: str) -> None:
        """Return the status."""
        self._finish_status()

    def post(self, action: str) -> None:
        """Change the fabric."""
        body = json.loads(self.request.body or b"{}")
        if action == "faults":
            try:
                self.fabric.faults = Faults(**body)
            except TypeError as error:
                raise tornado.web.HTTPError(400, str(error)) from error
            self._finish_status()
        elif action == "entries":
            self._change_entries(body)
            self._finish_status()
        elif action == "silence":
            self.finish({"silenced": self._silence(body)})
        else:
            raise tornado.web.HTTPError(404)

    def _change_entries(self, body: dict[str, str]) -> None:
        entries = self.fabric.entries
        added, removed = body.get("add"), body.get("remove")
        if added and added not in entries:
            entries.append(added)
        if removed and removed in entries:
            entries.remove(removed)

    def _silence(self, body: dict[str, Any]) -> list[str]:
        if "caller" not in body:
            return self.fabric.silence(int(body.get("count", 1)))
        host, _, port = body["caller"].rpartition(":")
        return self.fabric.silence(1, (host, int(port)))

    def _finish_status(self) -> None:
        fabric = self.fabric
        self.finish(
            {
                "entries": fabric.entries,
                "faults": fabric.faults._asdict(),
                "counts": dict(fabric.counts),
                "callers": len(fabric.callers_by_address),
            }
        )


def _udp_socket(host: str) -> socket.socket:
    result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    result.setblocking(False)
    result.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    result.bind((host, 0))
    return result


def _send_now(via: socket.socket, data: bytes, to: Any) -> None:
    try:
        via.sendto(data, to)
    except OSError:
        # The socket's buffer is full, or the socket was closed as idle. A
        # network may drop any datagram, so the relay may too.
        pass


async def serve(settings: FabricSettings) -> None:
    """Run a fabric until SIGTERM or SIGINT."""
    host = settings.get("host", "127.0.0.1")
    rng = random.Random(settings.get("seed", 0))
    fabric = Fabric(host, settings["services"], settings.get("entries", []), rng)
    fabric.faults = Faults(**settings.get("faults", {}))
    routes = [(r"/([a-z]+)", AdminHandler, {"fabric": fabric})]
    await standins.serve(routes, services=fabric.addresses_by_service)
    fabric.close()


def main() -> None:
    """Read the settings from the command line and run a fabric."""
    asyncio.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
