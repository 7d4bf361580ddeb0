"""The entry daemon between callers and agents."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from zinniahook_core.codes import Code
from zinniahook_core.models import (
    Address,
    AgentState,
    Key,
    Member,
    Protocol,
    Roster,
    Service,
)
from zinniahook_core.routing import ConnectionIds, Owner
from zinniahook_daemon.entries import MAX_PAYLOAD_BYTES, Entry
from zinniahook_daemon.node import Node
from zinniahook_daemon.sockets import MAX_READS_PER_WAKEUP, UdpSocket
from zinniahook_wire.tunnels import NO_ADDRESS, Tunnel, TunnelDatagram, TunnelKind

FLOW_KEY = Key(1, b"f" * 32)
TUNNEL_KEY = Key(1, b"t" * 32)
ANY_PORT = Address("127.0.0.1", 0)


class Peer:
    """A caller or an agent: a UDP socket that records received datagrams."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[bytes, tuple]] = asyncio.Queue()
        self.socket = UdpSocket(ANY_PORT, lambda *one: self.received.put_nowait(one))
        self.address = self.socket.address

    async def get(self) -> tuple[bytes, tuple]:
        return await asyncio.wait_for(self.received.get(), 20)


class Bench(NamedTuple):
    """An entry with two services, a caller, and an agent of the first service."""

    nodes: object
    node: Node
    entry: Entry
    tally: Service
    ledger: Service
    caller: Peer
    agent: Peer
    tunnel: Tunnel

    async def at_agent(self) -> tuple[TunnelDatagram, tuple]:
        data, source = await self.agent.get()
        return self.tunnel.decode(data), source

    def answer(self, payload: bytes, service: int = 1, key: Key = TUNNEL_KEY) -> None:
        tunnel = Tunnel({key.number: key}, key.number)
        datagram = TunnelDatagram(
            TunnelKind.TO_CALLER,
            service,
            1,
            0,
            False,
            self.caller.address,
            NO_ADDRESS,
            payload,
        )
        self.agent.socket.send(tunnel.encode(datagram), self.node.tunnel_address)

    async def counted(self, name: str, amount: int = 1) -> None:
        counters = self.node.metrics.counters_by_name
        async with asyncio.timeout(20):
            while counters[name] < amount:
                await asyncio.sleep(0.01)


def free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextlib.asynccontextmanager
async def bench_of(nodes, protocol=Protocol.UDP) -> AsyncIterator[Bench]:
    async with nodes.start("entry-1") as node:
        tally = Service("tally", 1, Address("127.0.0.1", free_udp_port()), protocol)
        ledger = Service("ledger", 2, Address("127.0.0.1", free_udp_port()), protocol)
        entry = Entry(node)
        nodes.commit(node, 1, tally, ledger)
        caller, agent = Peer(), Peer()
        member = Member(
            "a",
            agent.address,
            ANY_PORT,
            ANY_PORT,
            "thies-1",
            1,
            AgentState.READY,
            4,
        )
        node.distribution.update_roster(Roster("tally", 1, {"a": member}))
        tunnel = Tunnel({1: TUNNEL_KEY}, 1)
        try:
            yield Bench(nodes, node, entry, tally, ledger, caller, agent, tunnel)
        finally:
            entry.close()
            caller.socket.close()
            agent.socket.close()


class TestForwarding:
    def test_there_and_back(self, nodes):
        async def run():
            async with bench_of(nodes) as bench:
                bench.caller.socket.send(b"tally 7", bench.tally.address)
                datagram, source = await bench.at_agent()
                assert datagram.kind is TunnelKind.TO_AGENT
                assert datagram.payload == b"tally 7"
                assert datagram.caller == bench.caller.address
                assert (datagram.service, datagram.generation) == (1, 1)
                assert source == bench.node.tunnel_address
                bench.answer(b"noted")
                assert await bench.caller.get() == (b"noted", bench.tally.address)

        asyncio.run(run())

    def test_a_connection_id_names_the_owner(self, nodes):
        async def run():
            async with bench_of(nodes, Protocol.QUIC) as bench:
                owner = Owner(1, bench.agent.address, 1)
                ids = ConnectionIds({1: FLOW_KEY}, 1, random.Random(1))
                packet = b"\x40" + ids.encode(owner) + bytes(40)
                bench.caller.socket.send(packet, bench.tally.address)
                datagram, _ = await bench.at_agent()
                assert datagram.payload == packet

        asyncio.run(run())

    def test_a_flood_leaves_the_loop_its_turns(self, nodes):
        """Guards against an entry that a flood keeps from status calls and changes.

        Datagrams arrive faster than they are routed. If the socket were read until
        it is empty, the event loop would never run anything else.
        """

        async def run():
            reads_between_turns = []
            reads = []
            turn = asyncio.get_running_loop().call_soon

            def count():
                reads_between_turns.append(len(reads))
                reads.clear()
                if sum(reads_between_turns) < 4 * MAX_READS_PER_WAKEUP:
                    turn(count)

            sink = UdpSocket(ANY_PORT, lambda data, _: reads.append(data))
            source = UdpSocket(ANY_PORT, lambda *_: None)
            for _ in range(4 * MAX_READS_PER_WAKEUP):
                source.send(b"flood", sink.address)
            turn(count)
            async with asyncio.timeout(20):
                while sum(reads_between_turns) < 4 * MAX_READS_PER_WAKEUP:
                    await asyncio.sleep(0.01)
            assert 0 < max(reads_between_turns) <= MAX_READS_PER_WAKEUP
            sink.close()
            source.close()

        asyncio.run(run())


class TestDropping:
    def test_a_connection_id_of_another_service(self, nodes):
        """Guards against a packet for one service that reaches another.

        A caller sends a connection id of tally to ledger's address. The owner must
        not be determined by the id alone.
        """

        async def run():
            async with bench_of(nodes, Protocol.QUIC) as bench:
                owner = Owner(1, bench.agent.address, 1)
                ids = ConnectionIds({1: FLOW_KEY}, 1, random.Random(1))
                packet = b"\x40" + ids.encode(owner) + bytes(40)
                bench.caller.socket.send(packet, bench.ledger.address)
                await bench.counted(f"entry.dropped.{Code.SERVICE_MISMATCH.name}")
                assert bench.agent.received.empty()

        asyncio.run(run())

    def test_an_unauthenticated_answer(self, nodes):
        """Guards against a stranger that sends datagrams from a service's address.

        It sends tunnel datagrams under a key of its own. The entry must not trust
        every datagram that its tunnel socket receives.
        """

        async def run():
            async with bench_of(nodes) as bench:
                bench.answer(b"forged", key=Key(1, b"x" * 32))
                bench.answer(b"forged", key=Key(9, b"t" * 32))
                bench.agent.socket.send(b"short", bench.node.tunnel_address)
                for code in (
                    Code.TUNNEL_UNAUTHENTICATED,
                    Code.TUNNEL_KEY_UNKNOWN,
                    Code.TUNNEL_MALFORMED,
                ):
                    await bench.counted(f"tunnel.dropped.{code.name}")
                assert bench.caller.received.empty()

        asyncio.run(run())

    def test_an_answer_of_an_unknown_service(self, nodes):
        async def run():
            async with bench_of(nodes) as bench:
                bench.answer(b"lost", service=77)
                await bench.counted(f"entry.dropped.{Code.SERVICE_UNKNOWN.name}")

        asyncio.run(run())

    def test_a_service_without_agents(self, nodes):
        async def run():
            async with bench_of(nodes) as bench:
                bench.caller.socket.send(b"anyone?", bench.ledger.address)
                await bench.counted(f"entry.dropped.{Code.NO_AGENT.name}")

        asyncio.run(run())

    def test_garbage_is_answered_by_nothing(self, nodes):
        """Guards against an entry that is used to flood a third party.

        Datagrams with any content arrive from a forged source. Any answer of the
        entry itself would go to that source.
        """

        async def run():
            async with bench_of(nodes, Protocol.QUIC) as bench:
                source = tuple(bench.caller.address)

                @given(st.binary(max_size=1400))
                @settings(max_examples=200, deadline=None, database=None)
                def fuzz(data):
                    socket = bench.entry._sockets_by_number[1]
                    bench.entry.forward(socket, data, source)
                    bench.node._receive(data, source)

                fuzz()
                bench.entry.forward(
                    bench.entry._sockets_by_number[1],
                    bytes(MAX_PAYLOAD_BYTES + 1),
                    source,
                )
                # The first datagram that the caller receives is the agent's answer.
                bench.answer(b"an answer")
                data, _ = await bench.caller.get()
                assert data == b"an answer"
                counters = bench.node.metrics.counters_by_name
                assert counters[f"entry.dropped.{Code.DATAGRAM_TOO_LONG.name}"] == 1
                assert counters[f"entry.dropped.{Code.DATAGRAM_MALFORMED.name}"] > 0
                assert counters[f"tunnel.dropped.{Code.TUNNEL_MALFORMED.name}"] > 0

        asyncio.run(run())


class TestConfigurationChanges:
    def test_sockets_follow_the_services(self, nodes):
        async def run():
            async with bench_of(nodes) as bench:
                moved = bench.ledger._replace(
                    address=Address("127.0.0.1", free_udp_port())
                )
                before = bench.entry.addresses()
                bench.nodes.commit(bench.node, 2, bench.tally, moved)
                after = bench.entry.addresses()
                assert after["tally"] == before["tally"]
                assert after["ledger"] == str(moved.address)
                bench.nodes.commit(bench.node, 3, bench.tally)
                assert bench.entry.addresses() == {"tally": before["tally"]}
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                    free.bind(bench.ledger.address)

        asyncio.run(run())

    def test_an_address_that_is_taken(self, nodes):
        """Guards against one wrong address that stops every service of an entry.

        A service is added whose address another process holds. The failure to bind
        must not end the whole change.
        """

        async def run():
            async with bench_of(nodes) as bench:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                    other.bind(("127.0.0.1", 0))
                    taken = Address(*other.getsockname())
                    extra = Service("extra", 3, taken, Protocol.UDP)
                    bench.nodes.commit(bench.node, 2, bench.tally, extra)
                    assert set(bench.entry.addresses()) == {"tally"}
                    assert bench.node.metrics.counters_by_name["entry.not_bound"] == 1
                    reason = bench.node.status_handler()["reason"]
                    assert reason == "1 service addresses not bound"
                bench.entry._retry_binding()
                assert set(bench.entry.addresses()) == {"tally", "extra"}
                assert bench.node.status_handler() == {}

        asyncio.run(run())


class TestImports:
    """Each role imports only the modules that it needs, as memory is bounded."""

    @pytest.mark.parametrize(
        ("module", "unwanted"),
        [
            ("entries", ("aioquic", "h11", "tornado.web", "matplotlib", "lark")),
            ("main", ("aioquic", "grpclib", "tornado", "google.protobuf")),
        ],
    )
    def test_an_entry_ends_no_connection(self, module, unwanted):
        program = (
            "import sys, zinniahook_daemon." + module + "\nprint(*sorted(sys.modules))"
        )
        done = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            env=dict(os.environ),
        )
        imported = set(done.stdout.split())
        assert f"zinniahook_daemon.{module}" in imported
        assert imported.isdisjoint(unwanted)
