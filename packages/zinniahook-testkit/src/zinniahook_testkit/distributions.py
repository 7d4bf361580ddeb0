"""Cost of distributing changes between daemons at the design size.

Uses real processes: the stand-in store, an entry that watches it, and an entry
that subscribes to the first through a proxy, which counts the bytes of TLS, HTTP/2
and messages in both directions. A second proxy serves a subscriber of a single
service. Headers of TCP and IP are not counted.
"""

from __future__ import annotations

import asyncio
import random
import ssl
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, aclosing
from pathlib import Path
from typing import NamedTuple

import tomli_w
from grpclib.client import Channel
from zinniahook_core.configuration import Document
from zinniahook_core.models import Address, RequestClass, Service
from zinniahook_store import Store, Written
from zinniahook_store.configurations import new_keys
from zinniahook_wire import documents
from zinniahook_wire.control_grpc import ControlStub
from zinniahook_wire.control_pb2 import SubscribeRequest
from zinniahook_wire.rosters import OPERATIONS_KEPT

from . import faults, stores
from .certificates import Authority, Files
from .processes import Process, start
from .scenarios import Figure, scenario
from .slopes import roster

__all__ = ["Bench", "Listener", "Usage", "measure"]

READY_TIMEOUT_SECONDS = 90.0
"""Limit for an entry to read or receive the whole state."""

ARRIVAL_TIMEOUT_SECONDS = 30.0
"""Limit for a change to reach a subscriber."""

SETTLE_SECONDS = 0.1
"""Time after the arrival of a change in which its remaining bytes are sent."""

IDLE_SECONDS = 10.0
"""Time over which the digests are counted."""

HEADER_BYTES = 104
"""Assumed IPv4 and TCP headers, with timestamps, of one message and its
acknowledgement, which a proxy doesn't see."""

DAY_SECONDS = 86400.0
FIRST_PORT = 10_000
SUBSCRIBED_SERVICE = "service-1"
"""The service of the subscriber of a single service."""

CLASSES_BY_NAME = {
    name: RequestClass(name, f"/{name}") for name in ("stream", "ticket", "export")
}


class Usage(NamedTuple):
    """Bytes to each kind of subscriber, and processor seconds of both entries."""

    all_services: float
    one_service: float
    parent: float
    child: float

    def __sub__(self, other: Usage) -> Usage:
        return Usage(*(a - b for a, b in zip(self, other, strict=True)))

    def __truediv__(self, count: float) -> Usage:
        return Usage(*(value / count for value in self))


class Costs(NamedTuple):
    """The cost of a second without changes, and of one change of each kind."""

    idle: Usage
    change: Usage
    own: Usage
    roster: Usage


class Listener:
    """A subscriber of the roster of one service.

    Parameters
    ----------
    address : Address
        Control address of the daemon to subscribe to.
    context : ssl.SSLContext
        TLS context with the certificate of a daemon.
    """

    def __init__(self, address: Address, context: ssl.SSLContext) -> None:
        self.generation = self.revision = 0
        self._channel = Channel(address.host, address.port, ssl=context)
        self._changed = asyncio.Condition()
        self._reading = asyncio.create_task(self._read())

    async def wait(self, generation: int = 0, revision: int = 0) -> None:
        """Wait until a generation and a revision of the roster have arrived."""
        async with asyncio.timeout(ARRIVAL_TIMEOUT_SECONDS), self._changed:
            await self._changed.wait_for(
                lambda: self.generation >= generation and self.revision >= revision
            )

    async def aclose(self) -> None:
        """End the subscription."""
        self._reading.cancel()
        await asyncio.wait([self._reading])
        self._channel.close()

    async def _read(self) -> None:
        request = SubscribeRequest(
            subscriber="127.0.0.1:1", revisions_by_service={SUBSCRIBED_SERVICE: 0}
        )
        async with ControlStub(self._channel).Subscribe.open() as stream:
            await stream.send_message(request, end=True)
            async for update in stream:
                async with self._changed:
                    self._record(update)
                    self._changed.notify_all()

    def _record(self, update) -> None:
        if update.WhichOneof("update") == "digest":
            # The digest is sent after all the updates that it covers.
            self.generation = update.digest.generation
        elif update.WhichOneof("update") == "roster":
            self.revision = update.roster.revision


class Bench:
    """The processes and the configuration in force.

    Parameters
    ----------
    stack : ExitStack
        Ends the processes when it closes.
    services, members : int
        Number of services, and of the targets of all services together.
    seed : int
        Seed of the ids of writes.
    """

    def __init__(
        self, stack: ExitStack, services: int, members: int, seed: int
    ) -> None:
        self._stack = stack
        self._rng = random.Random(seed)
        self._folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self._files = Authority(self._folder).issue("bench")
        self._keys = new_keys()
        self._generation = 0
        self._services = {
            service.name: service for service in map(_service, _numbers(services))
        }
        self._sizes = {
            name: members // services + (number <= members % services)
            for number, name in enumerate(self._services, 1)
        }
        self.server = stack.enter_context(stores.start())
        self.store = Store([self.server.address])

    async def start(self) -> None:
        """Fill the store, and start the entries and the proxies."""
        await self._commit_services()
        values_by_key = {
            documents.roster_key(name): self._roster(name) for name in self._services
        }
        _require_written(await self.store.put_many(values_by_key))
        self.parent = self._entry(1, None)
        control = self.parent.ready["control"]
        self.to_child = self._stack.enter_context(faults.start(control))
        self.to_listener = self._stack.enter_context(faults.start(control))
        self.child = self._entry(2, self.to_child.address)

    def listen(self, address: str) -> Listener:
        """Subscribe to one service at a control address."""
        return Listener(Address.parse(address), _context(self._files))

    def sample_services(self, rng: random.Random, count: int) -> list[str]:
        """Return random services other than the listeners' one."""
        return rng.sample(
            [name for name in self._services if name != SUBSCRIBED_SERVICE], count
        )

    async def change(self, name: str) -> int:
        """Change one service and return the generation."""
        service = self._services[name]
        self._services[name] = service._replace(drain=service.drain + 1.0)
        return await self._commit_services()

    async def change_roster(self, name: str) -> int:
        """Rewrite a roster, as for a change of a target, and return its revision."""
        outcome = await self.store.put(documents.roster_key(name), self._roster(name))
        return _require_written(outcome)

    def usage(self) -> Usage:
        """Return the total usage so far."""
        return Usage(
            sum(self.to_child.state()["bytes"].values()),
            sum(self.to_listener.state()["bytes"].values()),
            _processor_time(self.parent),
            _processor_time(self.child),
        )

    async def _commit_services(self) -> int:
        self._generation += 1
        operation = self._operation()
        parts = documents.split(
            Document(self._services),
            self._keys,
            generation=self._generation,
            parent=self._generation - 1,
            author="an-operator",
            time=1.8e9 + self._generation / 7,
            operation=operation,
        )
        values_by_key = dict(parts.values_by_key)
        if self._generation > 1:
            held = await self.store.get_many(list(values_by_key))
            values_by_key = {
                key: value for key, value in values_by_key.items() if key not in held
            }
        _require_written(await self.store.put_many(values_by_key))
        key = documents.generation_key(self._generation)
        pointer = documents.Pointer(self._generation, operation)
        last = {
            key: documents.manifest_to_json(parts.manifest),
            documents.POINTER_KEY: documents.pointer_to_json(pointer),
        }
        _require_written(await self.store.transact({}, last))
        return self._generation

    def _roster(self, name: str) -> bytes:
        members = roster(name, self._sizes[name], self._services[name].number * 8)
        operations = [self._operation() for _ in range(OPERATIONS_KEPT)]
        return documents.roster_to_json(members, operations)

    def _operation(self) -> str:
        return self._rng.randbytes(8).hex()

    def _entry(self, number: int, parent: str | None) -> Process:
        host = f"127.0.2.{number}"
        control = {
            "address": "127.0.0.1:0",
            "certificate": str(self._files.certificate),
            "key": str(self._files.key),
            "authority": str(self._files.authority),
            "parents": [parent] if parent else [],
            "watchers": 0,
        }
        settings = {
            "role": "entry",
            "name": f"entry-{number}",
            "data_centre": "dc-1",
            "store": {"addresses": [self.server.address]},
            "tunnel": {"address": f"{host}:0"},
            "control": control,
            "entry": {"bind_host": host, "drain": 0.0},
        }
        path = self._folder / f"entry-{number}.toml"
        path.write_text(tomli_w.dumps(settings))
        process = start(
            "zinniahook_daemon.main", "--settings", path, timeout=READY_TIMEOUT_SECONDS
        )
        return self._stack.enter_context(process)


@scenario("distribution")
def measure(
    services: int,
    members: int,
    changes: int,
    changes_a_day: int,
    fan_out: int,
    leaves: int,
    seed: int = 1,
) -> list[Figure]:
    """Measure bytes and processor time of changes, and of digests while idle.

    Parameters
    ----------
    services, members : int
        Number of services, and of the targets of all services together.
    changes : int
        Number of changes of each kind, made in turn.
    changes_a_day : int
        Changes per day for the bytes per second, spread evenly over the day.
    fan_out, leaves : int
        Subscribers of one daemon: of all services, and of a single service.
    seed : int
        Seed of the choice of changed services.
    """
    with ExitStack() as stack:
        bench = Bench(stack, services, members, seed)
        costs = asyncio.run(_measure(bench, changes, random.Random(seed)))
        private, resident = bench.child.private(), bench.child.resident()
    per_second = _rates(costs, changes_a_day / DAY_SECONDS)
    relay = per_second.all_services * fan_out + per_second.one_service * leaves
    return [
        Figure("change, all services", costs.change.all_services, "B"),
        Figure("change of another, one service", costs.change.one_service, "B"),
        Figure("change of its own, one service", costs.own.one_service, "B"),
        Figure("change of a roster", costs.roster.all_services, "B"),
        Figure("digests a second, all services", costs.idle.all_services, "B/s"),
        Figure("digests a second, one service", costs.idle.one_service, "B/s"),
        Figure("subscriber of all services", per_second.all_services, "B/s"),
        Figure("subscriber of one service", per_second.one_service, "B/s"),
        Figure("daemon with its subscribers", relay, "B/s"),
        Figure("parent's processor time a change", costs.change.parent * 1e3, "ms"),
        Figure("child's processor time a change", costs.change.child * 1e3, "ms"),
        Figure("private memory of an entry", private, "B"),
        Figure("resident memory of an entry", resident, "B"),
    ]


async def _measure(bench: Bench, changes: int, rng: random.Random) -> Costs:
    await bench.start()
    async with (
        aclosing(bench.listen(bench.to_listener.address)) as parent_listener,
        aclosing(bench.listen(bench.child.ready["control"])) as child_listener,
    ):
        await parent_listener.wait(1, 1)
        await child_listener.wait(1, 1)
        idle = await _idle(bench)
        change = await _changes(
            bench,
            (parent_listener, child_listener),
            bench.sample_services(rng, changes),
        )
        own = await _changes(
            bench, (parent_listener, child_listener), [SUBSCRIBED_SERVICE] * changes
        )
        written = await _rosters(bench, (parent_listener, child_listener), changes)
    bench.store.close()
    return Costs(idle, change, own, written)


def _rates(costs: Costs, changes: float) -> Usage:
    """Return the usage per second, with headers, at a rate of changes per second."""
    idle, change = costs.idle, costs.change
    return Usage(
        idle.all_services
        + HEADER_BYTES
        + (change.all_services + HEADER_BYTES) * changes,
        idle.one_service + HEADER_BYTES + (change.one_service + HEADER_BYTES) * changes,
        idle.parent + change.parent * changes,
        idle.child + change.child * changes,
    )


async def _idle(bench: Bench) -> Usage:
    """Return the usage per second without changes."""
    before = bench.usage()
    await asyncio.sleep(IDLE_SECONDS)
    return (bench.usage() - before) / IDLE_SECONDS


async def _changes(
    bench: Bench, listeners: tuple[Listener, ...], names: list[str]
) -> Usage:
    before = bench.usage()
    for name in names:
        generation = await bench.change(name)
        for listener in listeners:
            await listener.wait(generation=generation)
        await asyncio.sleep(SETTLE_SECONDS)
    return (bench.usage() - before) / len(names)


async def _rosters(bench: Bench, listeners: tuple[Listener, ...], count: int) -> Usage:
    before = bench.usage()
    for _ in range(count):
        revision = await bench.change_roster(SUBSCRIBED_SERVICE)
        for listener in listeners:
            await listener.wait(revision=revision)
        await asyncio.sleep(SETTLE_SECONDS)
    return (bench.usage() - before) / count


def _numbers(count: int) -> Iterator[int]:
    return iter(range(1, count + 1))


def _service(number: int) -> Service:
    name = f"service-{number}"
    return Service(
        name,
        number,
        Address("10.200.0.1", FIRST_PORT + number),
        classes_by_name=CLASSES_BY_NAME,
        targets=(f"{name}-*",),
        data_centres=("thies-1", "thies-2", "thies-3"),
    )


def _require_written(outcome) -> int:
    """Return the revision of a write.

    Raises
    ------
    RuntimeError
        If the store refused the write.
    """
    if not isinstance(outcome, Written):
        raise RuntimeError(f"not written: {outcome}")
    return outcome.revision


def _context(files: Files) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=files.authority)
    context.check_hostname = False
    context.load_cert_chain(files.certificate, files.key)
    context.set_alpn_protocols(["h2"])
    return context


def _processor_time(process: Process) -> float:
    """Return the process's processor time in seconds, with nanosecond resolution."""
    with open(f"/proc/{process.pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9
