"""Compare the packet path of an entry with a bare UDP relay in the same run.

Both run as real processes. Datagrams are sent in bursts that fit into the kernel's
buffer, so that the measured process is never idle within a burst. The cost of a
datagram is the processor time of the process divided by the number of datagrams
that arrived. The ratio of the two costs is the ratio of the packet rates on one
core.
"""

from __future__ import annotations

import asyncio
import random
import socket
import tempfile
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from zinniahook_core.configuration import parse
from zinniahook_core.models import Address, AgentState, Member, Roster
from zinniahook_core.routing import ConnectionIds, Owner
from zinniahook_store.client import Store
from zinniahook_store.configurations import Committed, commit, new_operation, read
from zinniahook_wire import rosters
from zinniahook_wire.tunnels import Tunnel, TunnelDatagram, TunnelKind

from .certificates import write_development
from .processes import Process, start
from .scenarios import Figure, scenario

__all__ = ["Cost", "EntryBench", "measure"]

BURST = 48
"""Datagrams in flight; fewer than the default kernel buffer holds."""

QUIET_SECONDS = 0.2
"""Seconds without a datagram after which a burst is considered complete."""

SERVICE = "tally"
NUMBER = 1
HOST = "127.0.1.1"


class Cost(NamedTuple):
    """Processor seconds per datagram, and the share of datagrams that arrived."""

    seconds: float
    through: float


class EntryBench:
    """A store, an entry, and a sink in place of an agent.

    Parameters
    ----------
    stack : ExitStack
        Stops the processes when it closes.
    """

    def __init__(self, stack: ExitStack) -> None:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.sink = _bound_socket(stack)
        store = stack.enter_context(start("zinniahook_testkit.stores"))
        self.port = _free_port()
        self.keys = asyncio.run(
            _configure(store.ready["address"], self.port, self.sink.getsockname())
        )
        text = _settings(folder, store.ready["address"])
        self.entry = stack.enter_context(
            start("zinniahook_daemon.main", "--settings", text)
        )
        self.address = (HOST, self.port)
        self.tunnel_address = Address.parse(self.entry.ready["tunnel"])
        self.tunnel = Tunnel(self.keys.tunnel_keys_by_number, self.keys.tunnel_key)

    def flows(self, count: int, size: int, seed: int) -> list[bytes]:
        """Return one short-header QUIC packet for each of ``count`` flows."""
        ids = ConnectionIds(
            self.keys.flow_keys_by_number, self.keys.flow_key, random.Random(seed)
        )
        owner = Owner(NUMBER, Address(*self.sink.getsockname()), 1)
        body = bytes(max(0, size - 18))
        return [b"\x40" + ids.encode(owner) + body for _ in range(count)]

    def answers(self, caller: Address, size: int) -> list[bytes]:
        """Return one answer in the form that an agent sends."""
        datagram = TunnelDatagram(
            TunnelKind.TO_CALLER,
            NUMBER,
            1,
            0,
            False,
            caller,
            Address("0.0.0.0", 0),
            bytes(size),
            covered=False,
        )
        return [self.tunnel.encode(datagram)]


def measure_cost(
    process: Process,
    packets: Sequence[bytes],
    to: tuple[str, int],
    sink: socket.socket,
    total: int,
) -> Cost:
    """Send ``total`` datagrams through ``process``; return the cost per datagram."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.settimeout(QUIET_SECONDS)
    received = sent = 0
    with sender:
        received += _burst(sender, packets[:BURST], to, sink)
        received = 0
        before = _processor_time(process)
        while sent < total:
            batch = [packets[(sent + i) % len(packets)] for i in range(BURST)]
            received += _burst(sender, batch, to, sink)
            sent += BURST
        spent = _processor_time(process) - before
    return Cost(spent / max(1, received), received / sent)


@scenario("entry-packets")
def measure(
    packets: int, size: int, flow_counts: Sequence[int], seed: int = 1
) -> list[Figure]:
    """Compare an entry with a bare relay, with few and with many open flows."""
    figures = []
    with ExitStack() as stack:
        bench = EntryBench(stack)
        bare = _bare_cost(stack, packets, size)
        costs = []
        for count in flow_counts:
            flows = bench.flows(count, size, seed)
            cost = measure_cost(bench.entry, flows, bench.address, bench.sink, packets)
            costs.append(cost)
            figures.append(
                Figure(f"µs per packet, {count} flows", cost.seconds * 1e6, "µs")
            )
        back = _answer_cost(bench, packets, size)
        private, resident = bench.entry.private(), bench.entry.resident()
        # The relay is measured again at the end; the mean cancels out a drift.
        again = _bare_cost(stack, packets, size)
    relay = (bare.seconds + again.seconds) / 2
    return [
        Figure("µs per packet, bare relay", relay * 1e6, "µs"),
        *figures,
        Figure("µs per answer", back.seconds * 1e6, "µs"),
        Figure("rate to bare relay", relay / costs[0].seconds, "ratio"),
        Figure("answer rate to bare relay", relay / back.seconds, "ratio"),
        Figure("cost, most to fewest flows", costs[-1].seconds / costs[0].seconds, "x"),
        Figure("share through", min(cost.through for cost in costs), "share"),
        Figure("private memory of an entry", private, "B"),
        Figure("resident memory of an entry", resident, "B"),
    ]


def _bare_cost(stack: ExitStack, total: int, size: int) -> Cost:
    sink = _bound_socket(stack)
    host, port = sink.getsockname()
    with start("zinniahook_testkit.relay", f"{host}:{port}") as relay:
        to = Address.parse(relay.ready["address"])
        return measure_cost(relay, [bytes(size)], to, sink, total)


def _answer_cost(bench: EntryBench, total: int, size: int) -> Cost:
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sink:
        sink.bind(("127.0.0.1", 0))
        answers = bench.answers(Address(*sink.getsockname()), size)
        return measure_cost(bench.entry, answers, bench.tunnel_address, sink, total)


def _burst(
    sender: socket.socket,
    batch: Sequence[bytes],
    to: tuple[str, int],
    sink: socket.socket,
) -> int:
    for packet in batch:
        sender.sendto(packet, to)
    received = 0
    try:
        for _ in batch:
            sink.recv(65535)
            received += 1
    except TimeoutError:
        pass
    return received


def _processor_time(process: Process) -> float:
    """Return the processor time of a process in seconds, at ns resolution."""
    with open(f"/proc/{process.pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


def _bound_socket(stack: ExitStack) -> socket.socket:
    sink = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
    sink.bind(("127.0.0.1", 0))
    return sink


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def _configure(store_address: str, port: int, sink: tuple[str, int]):
    store = Store([store_address])
    text = (
        f"[services.{SERVICE}]\nnumber = {NUMBER}\n"
        f'address = "127.0.0.1:{port}"\nprotocol = "quic"\n'
    )
    outcome = await commit(
        store, await read(store), parse(text), "bench", new_operation()
    )
    if not isinstance(outcome, Committed):
        raise RuntimeError(f"the configuration was rejected: {outcome}")
    address = Address(*sink)
    member = Member(
        "agent-1", address, address, address, "dc-1", 1, AgentState.READY, 4
    )
    value = rosters.roster_to_json(Roster(SERVICE, 0, {"agent-1": member}))
    await store.put(rosters.roster_key(SERVICE), value)
    stored = await read(store)
    store.close()
    return stored.keys


def _settings(folder: Path, store: str) -> Path:
    files = write_development(folder, "entry-1")
    path = folder / "entry.toml"
    path.write_text(
        f"""role = "entry"
name = "entry-1"
data_centre = "dc-1"
[store]
addresses = ["{store}"]
[tunnel]
address = "{HOST}:0"
[control]
address = "{HOST}:0"
certificate = "{files.certificate}"
key = "{files.key}"
authority = "{files.authority}"
[entry]
bind_host = "{HOST}"
drain = 0.0
"""
    )
    return path
