"""Stream windows, late packets and packet numbers of QUIC connections."""

from __future__ import annotations

import random

from aioquic.quic import events
from quic_links import ENTRY, Link, run
from zinniahook_core.models import Address
from zinniahook_daemon.quic import STREAM_WINDOW_BYTES, PacketWindow


class TestStreamWindow:
    def test_a_stream_that_nobody_reads_stops(self, quic_configuration):
        """Guards against an agent whose memory grows with the body.

        A caller writes 4 windows while nothing is consumed, and then everything is
        consumed. aioquic itself grants credit for all data that has arrived.
        """

        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            stream_id = caller.quic.get_next_available_stream_id()
            unread = connection.unread_by_stream
            unread[stream_id] = 0
            taken = 0

            def arrived() -> int:
                nonlocal taken
                got = [
                    event
                    for event in connection.session.events
                    if isinstance(event, events.StreamDataReceived)
                ]
                connection.session.events.clear()
                size = sum(len(event.data) for event in got)
                taken += size
                unread[stream_id] += size
                return unread[stream_id]

            caller.quic.send_stream_data(
                stream_id, bytes(4 * STREAM_WINDOW_BYTES), True
            )
            caller.send()
            await link.until(lambda: arrived() >= STREAM_WINDOW_BYTES)
            caller.events.clear()
            caller.quic.send_ping(9)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))
            assert arrived() == STREAM_WINDOW_BYTES

            def take_all() -> bool:
                arrived()
                unread[stream_id] = 0
                link.connections.touch(connection)
                return taken == 4 * STREAM_WINDOW_BYTES

            await link.until(take_all)

        run(quic_configuration, scenario)


class TestReleasedHandshake:
    def test_late_handshake_packets_are_ignored(self, quic_configuration):
        async def scenario(link: Link) -> None:
            first: list[bytes] = []
            deliver = link.to_agent

            def keep(datagram: bytes, source: Address) -> None:
                if datagram[0] & 0x80:
                    first.append(datagram)
                deliver(datagram, source)

            link.to_agent = keep
            caller, connection = await link.connect()
            for datagram in first:
                link.connections.receive(connection, datagram, caller.address, ENTRY)
            caller.quic.send_ping(2)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))
            assert link.connections.failures == 0

        run(quic_configuration, scenario)

    def test_keys_can_be_updated(self, quic_configuration):
        async def scenario(link: Link) -> None:
            caller, _ = await link.connect()
            caller.quic.request_key_update()
            caller.quic.send_ping(3)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))

        run(quic_configuration, scenario)

    def test_random_bytes_end_nothing(self, quic_configuration):
        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            rng = random.Random(11)
            for size in (17, 18, 60, 1200):
                junk = b"\x40" + connection.connection_ids[0] + rng.randbytes(size)
                link.connections.receive(connection, junk, caller.address, ENTRY)
            caller.quic.send_ping(4)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))
            assert link.connections.failures == 0

        run(quic_configuration, scenario)


class TestPacketWindow:
    def test_agrees_with_a_set(self):
        rng = random.Random(2)
        window, seen, highest = PacketWindow(), set(), -1
        for _ in range(5000):
            number = max(0, highest + rng.randint(-100, 20))
            if number > highest - 100:
                assert (number in window) == (number in seen)
            window.add(number)
            seen.add(number)
            highest = max(highest, number)

    def test_a_leap_forgets_what_lies_behind(self):
        window = PacketWindow()
        window.add(1)
        window.add(10_000)
        assert 1 in window
        assert 9_999 not in window
