"""The fabric stand-in in one process, with plain sockets as entries."""

import asyncio
import random

import pytest
from zinniahook_testkit.fabric import Fabric, Faults

ENTRIES = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
SENT = 200


class Entry(asyncio.DatagramProtocol):
    """An entry that echoes and records datagrams."""

    def __init__(self):
        self.received = []

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.received.append(data)
        self.transport.sendto(data, address)


class Caller(asyncio.DatagramProtocol):
    """A caller that records received datagrams and their sources."""

    def __init__(self):
        self.received = []
        self.sources = set()

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.received.append(data)
        self.sources.add(address)


class Network:
    """A fabric with one service, three entries and callers."""

    def __init__(self):
        self.fabric = Fabric("127.0.0.1", ["tally"], list(ENTRIES), random.Random(7))
        host, _, port = self.fabric.addresses_by_service["tally"].rpartition(":")
        self.public = (host, int(port))
        self.entries_by_host = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        for host in ENTRIES:
            _, entry = await loop.create_datagram_endpoint(
                Entry, (host, self.public[1])
            )
            self.entries_by_host[host] = entry

    async def caller(self):
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_datagram_endpoint(Caller, ("127.0.0.1", 0))
        return caller

    def send(self, caller, count=SENT):
        for number in range(count):
            caller.transport.sendto(b"%d" % number, self.public)

    async def until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)


@pytest.fixture
def on_network():
    """Run a test coroutine with a network."""

    def runner(test):
        async def main():
            network = Network()
            await network.start()
            try:
                await test(network)
            finally:
                network.fabric.close()

        asyncio.run(main())

    return runner


class TestSpraying:
    def test_any_packet_to_any_entry_and_back(self, on_network):
        async def check(network):
            caller = await network.caller()
            network.send(caller)
            await network.until(lambda: len(caller.received) == SENT)
            shares = [len(e.received) for e in network.entries_by_host.values()]
            assert min(shares) > SENT // 6
            assert caller.sources == {network.public}

        on_network(check)

    def test_removed_entry_gets_nothing(self, on_network):
        async def check(network):
            network.fabric.entries.remove(ENTRIES[0])
            caller = await network.caller()
            network.send(caller)
            await network.until(lambda: len(caller.received) == SENT)
            assert network.entries_by_host[ENTRIES[0]].received == []

        on_network(check)

    def test_one_socket_a_caller(self, on_network):
        async def check(network):
            callers = [await network.caller() for _ in range(3)]
            for caller in callers:
                network.send(caller, 10)
            await network.until(lambda: all(len(c.received) == 10 for c in callers))
            assert len(network.fabric.callers_by_address) == 3

        on_network(check)


class TestFaults:
    def test_loss(self, on_network):
        async def check(network):
            network.fabric.faults = Faults(loss=0.5)
            caller = await network.caller()
            network.send(caller)
            counts = network.fabric.counts
            await network.until(
                lambda: (
                    counts["from_callers"] == SENT
                    and len(caller.received) + counts["lost"] == SENT
                )
            )
            assert SENT // 2 < counts["lost"] < SENT

        on_network(check)

    def test_duplication(self, on_network):
        async def check(network):
            network.fabric.faults = Faults(duplication=1.0)
            caller = await network.caller()
            network.send(caller, 20)
            # Datagrams are duplicated in both directions.
            await network.until(lambda: len(caller.received) == 80)
            assert sorted(set(caller.received)) == sorted(b"%d" % n for n in range(20))

        on_network(check)

    def test_reordering(self, on_network):
        async def check(network):
            network.fabric.faults = Faults(reordering=0.3, reorder_delay=0.02)
            caller = await network.caller()
            network.send(caller)
            await network.until(lambda: len(caller.received) == SENT)
            sent = [b"%d" % number for number in range(SENT)]
            assert caller.received != sent
            assert sorted(caller.received) == sorted(sent)

        on_network(check)

    def test_latency_keeps_the_order(self, on_network):
        async def check(network):
            network.fabric.faults = Faults(latency=0.02)
            caller = await network.caller()
            began = asyncio.get_running_loop().time()
            network.send(caller, 5)
            await network.until(lambda: len(caller.received) == 5)
            assert asyncio.get_running_loop().time() - began >= 0.04

        on_network(check)


class TestSilence:
    def test_silenced_port_for_good_while_new_ones_work(self, on_network):
        async def check(network):
            old, new = await network.caller(), await network.caller()
            network.send(old, 1)
            await network.until(lambda: len(old.received) == 1)
            address = old.transport.get_extra_info("sockname")
            silenced = network.fabric.silence(1, address)
            assert silenced == ["{}:{}".format(*address)]
            network.send(old, 10)
            network.send(new, 10)
            await network.until(
                lambda: (
                    len(new.received) == 10 and network.fabric.counts["swallowed"] == 10
                )
            )
            assert len(old.received) == 1
            assert network.fabric.silence(5) != silenced

        on_network(check)


class TestSockets:
    def test_a_dead_entry_harms_nobody(self, on_network):
        """A dead entry stops the relay of a caller although two entries run.

        An entry's port is closed, so a datagram to it causes an ICMP error, which
        is reported on the caller's socket. The relay must not take the error for
        the end of the socket.
        """

        async def check(network):
            dead = network.entries_by_host[ENTRIES[0]]
            dead.transport.close()
            caller = await network.caller()
            network.send(caller)
            counts = network.fabric.counts
            await network.until(
                lambda: (
                    counts["from_callers"] == SENT
                    and len(caller.received) == SENT - counts[f"to_entry_{ENTRIES[0]}"]
                )
            )
            assert len(caller.received) > SENT // 2

        on_network(check)
