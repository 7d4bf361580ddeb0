"""Connections of our own ids, and what is expected of aioquic's inside."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable

import aioquic
import pytest
from aioquic import tls
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address, Key
from zinniahook_core.routing import ConnectionIds, Owner, destination_of
from zinniahook_daemon.connections import Connections
from zinniahook_daemon.openings import RETRY_FROM, Opening, Openings, RetryTokens
from zinniahook_daemon.quic import (
    STREAM_WINDOW,
    PacketWindow,
    ServerConnection,
    make_configuration,
)
from zinniahook_testkit.certificates import Authority

PATIENCE = 20.0
ENTRY = Address("127.0.1.1", 4433)
OWNER = Owner(7, Address("10.1.2.3", 4000), 99)


class Recorder:
    """A session that notes its events and answers nothing."""

    busy = False

    def __init__(self) -> None:
        self.events: list[events.QuicEvent] = []
        self.has_ended = False

    def handle(self, event: events.QuicEvent) -> None:
        self.events.append(event)

    def flushed(self) -> None:
        pass

    def expire(self, now: float) -> None:
        pass

    def ended(self) -> None:
        self.has_ended = True


class Caller:
    """aioquic's own client; ``address`` is where its datagrams come from."""

    def __init__(self, link: Link, address: Address) -> None:
        configuration = QuicConfiguration(
            alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE, server_name="localhost"
        )
        self.link = link
        self.quic = QuicConnection(configuration=configuration)
        self.address = address
        self.events: list[events.QuicEvent] = []
        self.quic.connect(("service", 443), link.now())
        self.send()

    def send(self) -> None:
        for datagram, _ in self.quic.datagrams_to_send(self.link.now()):
            self.link.to_agent(datagram, self.address)

    def receive(self, datagram: bytes) -> None:
        self.quic.receive_datagram(datagram, ("service", 443), self.link.now())
        while (event := self.quic.next_event()) is not None:
            self.events.append(event)
        self.send()

    def has(self, kind: type) -> bool:
        return any(isinstance(event, kind) for event in self.events)


class Link:
    """Carries datagrams between callers and `Connections`, in one process."""

    def __init__(self, configuration: QuicConfiguration) -> None:
        key = Key(3, bytes(range(32)))
        self.ids = ConnectionIds({3: key}, 3, random.Random(5))
        self.loop = asyncio.get_running_loop()
        self.callers: list[Caller] = []
        self.sent_by_address: dict[Address, int] = {}
        self.received_by_address: dict[Address, int] = {}
        self.destinations: set[bytes] = set()
        self.silent = False
        self.handshakes = 0
        self.openings = Openings(
            configuration.supported_versions,
            lambda: self.ids.encode(OWNER),
            self.answer,
        )
        self.openings.tokens = RetryTokens(key)
        self.refusals: list[Code] = []
        self.closed: list[ServerConnection] = []
        self.unanswered: list[ServerConnection] = []
        self._moved = asyncio.Event()
        self.connections = Connections(
            configuration,
            lambda: self.ids.encode(OWNER),
            self.to_caller,
            lambda connection: Recorder(),
            self.closed.append,
            self.unanswered.append,
        )

    def now(self) -> float:
        return self.loop.time()

    def call(self, port: int = 5000) -> Caller:
        caller = Caller(self, Address("127.0.0.9", port))
        self.callers.append(caller)
        return caller

    def to_agent(self, datagram: bytes, source: Address) -> None:
        self._moved.set()
        size = self.received_by_address.get(source, 0) + len(datagram)
        self.received_by_address[source] = size
        _, connection_id = destination_of(datagram)
        self.destinations.add(connection_id)
        connection = self.connections.by_id.get(connection_id)
        if connection is None:
            opening = self.openings.check(datagram, source, self.handshakes, False)
            if isinstance(opening, Code):
                self.refusals.append(opening)
                return
            connection = self.connections.open(*opening)
        self.connections.receive(connection, datagram, source, ENTRY)

    def to_caller(
        self, connection: ServerConnection, datagram: bytes, address: Address
    ) -> None:
        self.answer(datagram, address)

    def answer(self, datagram: bytes, address: Address) -> None:
        size = self.sent_by_address.get(address, 0) + len(datagram)
        self.sent_by_address[address] = size
        self._moved.set()
        for caller in self.callers:
            if not self.silent and caller.address == address:
                self.loop.call_soon(caller.receive, datagram)

    async def until(self, condition: Callable[[], bool]) -> None:
        deadline = self.now() + PATIENCE
        while not condition():
            assert self.now() < deadline, "the condition didn't come true"
            self._moved.clear()
            timers = [caller.quic.get_timer() for caller in self.callers]
            wait = max(0.0, min(filter(None, [*timers, deadline])) - self.now())
            try:
                await asyncio.wait_for(self._moved.wait(), wait)
            except TimeoutError:
                for caller in self.callers:
                    caller.quic.handle_timer(self.now())
                    caller.send()

    async def connect(self, port: int = 5000) -> tuple[Caller, ServerConnection]:
        caller = self.call(port)
        await self.until(lambda: caller.quic._handshake_confirmed)
        (connection,) = (
            each for each in self.connections if each.caller == caller.address
        )
        return caller, connection


@pytest.fixture
def configuration(tmp_path) -> QuicConfiguration:
    files = Authority(tmp_path).issue("service")
    return make_configuration(files.certificate, files.key)


def run(configuration: QuicConfiguration, scenario) -> None:
    async def main() -> None:
        await scenario(Link(configuration))

    asyncio.run(main())


class TestConnectionIds:
    def test_every_id_names_the_owner(self, configuration):
        async def scenario(link: Link) -> None:
            _, connection = await link.connect()
            assert len(connection.connection_ids) > 1
            for connection_id in connection.connection_ids:
                assert link.ids.decode(connection_id) == OWNER
                assert link.connections.by_id[connection_id] is connection

        run(configuration, scenario)

    def test_the_first_id_is_forgotten_after_the_handshake(self, configuration):
        async def scenario(link: Link) -> None:
            caller = link.call()
            first = caller.quic.original_destination_connection_id
            assert first in link.connections.by_id
            await link.until(lambda: caller.quic._handshake_confirmed)
            assert first not in link.connections.by_id

        run(configuration, scenario)

    def test_a_caller_changes_its_id(self, configuration):
        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            before = connection.connection_ids[0]
            caller.quic.change_connection_id()
            caller.quic.send_ping(1)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))
            await link.until(lambda: before not in link.connections.by_id)
            assert len(link.connections) == 1

        run(configuration, scenario)

    def test_nothing_is_left_of_a_closed_connection(self, configuration):
        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            session = connection.session
            caller.quic.close()
            caller.send()
            await link.until(lambda: not link.connections.by_id)
            assert session.has_ended
            assert link.closed == [connection]

        run(configuration, scenario)


class TestMigration:
    def test_every_datagram_comes_from_another_port(self, configuration):
        """A middle box gives each datagram of a caller a new source port.

        Symptom: answers go to a port that nobody listens on any more.
        Sequence: handshake on one port, then 20 PINGs from 20 ports.
        Cause: the connection is found by its id, so it has to follow the
        caller's newest address.
        """

        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            for port in range(6000, 6020):
                caller.address = Address("127.0.0.9", port)
                caller.events.clear()
                caller.quic.send_ping(port)
                caller.send()
                await link.until(lambda: caller.has(events.PingAcknowledged))
            assert connection.caller == caller.address
            assert len(link.connections) == 1

        run(configuration, scenario)

    def test_a_silent_address_gets_three_times_what_it_sent(self, configuration):
        """A forged source address makes the agent flood a victim.

        Symptom: a host that never asked gets far more than was sent in its
        name. Sequence: an opening with the victim's address, no reply to
        what the agent sends, all of its repetitions.
        Cause: the address of a caller is validated only by the handshake.
        """

        async def scenario(link: Link) -> None:
            link.silent = True
            caller = link.call()
            (connection,) = link.connections
            await link.until(lambda: connection.probes >= 2)
            received = link.received_by_address[caller.address]
            assert 0 < link.sent_by_address[caller.address] <= 3 * received

        run(configuration, scenario)


class TestSilence:
    def test_unanswered_probes_are_told(self, configuration):
        """Answers by way of one entry get lost.

        Symptom: a caller waits though its own datagrams arrive. Sequence: an
        established connection sends, no acknowledgement comes back.
        Cause: only the agent can know that its answers get nowhere; each
        further probe has to give it a reason to try another entry.
        """

        async def scenario(link: Link) -> None:
            _, connection = await link.connect()
            link.silent = True
            connection.send_ping(5)
            link.connections.touch(connection)
            await link.until(lambda: len(link.unanswered) >= 2)
            assert set(link.unanswered) == {connection}

        run(configuration, scenario)


class TestOpenings:
    def test_a_busy_agent_asks_for_a_proof_of_the_address(self, configuration):
        """Openings with forged addresses keep true callers out.

        Symptom: new callers get no answer for seconds. Sequence: many
        openings that are never gone on with, then one of a true caller.
        Cause: each holds a place among the handshakes until it times out.
        """

        async def scenario(link: Link) -> None:
            link.handshakes = RETRY_FROM
            _, connection = await link.connect()
            assert set(link.refusals) == {Code.FLOW_LIMIT}
            assert connection.flow != connection.original_destination_connection_id

        run(configuration, scenario)

    def test_a_token_serves_its_own_address_only(self, configuration):
        async def scenario(link: Link) -> None:
            link.handshakes = RETRY_FROM
            sent: list[bytes] = []
            deliver = link.to_agent

            def keep(datagram: bytes, source: Address) -> None:
                sent.append(datagram)
                deliver(datagram, source)

            link.to_agent = keep
            caller, _ = await link.connect()
            check = link.openings.check
            thief = Address("127.0.0.9", 5001)
            opened = [check(datagram, caller.address, 0, False) for datagram in sent]
            assert sum(isinstance(each, Opening) for each in opened) >= 1
            (returned,) = {each for each in opened if getattr(each, "retry_source", 0)}
            with_token = sent[opened.index(returned)]
            assert check(with_token, thief, 0, False) is Code.CONNECTION_ID_UNKNOWN

        run(configuration, scenario)

    def test_an_unknown_version_is_told_ours(self, configuration):
        async def scenario(link: Link) -> None:
            answers: list[bytes] = []
            link.openings._answer = lambda data, _: answers.append(data)
            body = b"\xc0\x1a\x2a\x3a\x4a\x08" + bytes(8) + b"\x08" + bytes(8)
            source = Address("127.0.0.9", 1)
            check = link.openings.check
            assert check(body.ljust(1200), source, 0, False) is Code.DATAGRAM_MALFORMED
            (answer,) = answers
            assert answer[1:5] == bytes(4)
            assert (1).to_bytes(4, "big") in answer
            assert check(body, source, 0, False) is Code.CONNECTION_ID_UNKNOWN
            assert check(answer.ljust(1200), source, 0, False) is not None
            assert len(answers) == 1

        run(configuration, scenario)

    def test_random_datagrams_open_nothing(self, configuration):
        async def scenario(link: Link) -> None:
            rng = random.Random(8)
            for _ in range(300):
                data = bytes([rng.randrange(0x80, 0x100)]) + rng.randbytes(1250)
                opening = link.openings.check(data, ENTRY, rng.choice((0, 99)), False)
                assert isinstance(opening, Code)

        run(configuration, scenario)


class TestStreamWindow:
    def test_a_stream_that_nobody_reads_stops(self, configuration):
        """A caller sends a body faster than the target takes it.

        Symptom: the agent's memory grows with the body. Sequence: a caller
        writes 4 windows while nothing is taken, then all of it is taken.
        Cause: aioquic grants credit for whatever has arrived.
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

            caller.quic.send_stream_data(stream_id, bytes(4 * STREAM_WINDOW), True)
            caller.send()
            await link.until(lambda: arrived() >= STREAM_WINDOW)
            caller.events.clear()
            caller.quic.send_ping(9)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))
            assert arrived() == STREAM_WINDOW

            def take_all() -> bool:
                arrived()
                unread[stream_id] = 0
                link.connections.touch(connection)
                return taken == 4 * STREAM_WINDOW

            await link.until(take_all)

        run(configuration, scenario)


class TestReleasedHandshake:
    def test_late_handshake_packets_are_ignored(self, configuration):
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

        run(configuration, scenario)

    def test_keys_can_be_updated(self, configuration):
        async def scenario(link: Link) -> None:
            caller, _ = await link.connect()
            caller.quic.request_key_update()
            caller.quic.send_ping(3)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))

        run(configuration, scenario)

    def test_random_bytes_end_nothing(self, configuration):
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

        run(configuration, scenario)


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


class TestCertificate:
    def test_a_file_that_is_none(self, tmp_path):
        files = Authority(tmp_path).issue("service")
        nothing = tmp_path / "nothing.pem"
        nothing.write_text("no certificate")
        for certificate, key in (
            (nothing, files.key),
            (files.certificate, nothing),
            (files.certificate, files.certificate),
            (tmp_path / "absent.pem", files.key),
        ):
            with pytest.raises(ZinniahookError, match="no usable certificate"):
                make_configuration(certificate, key)

    def test_a_key_of_another_certificate(self, tmp_path):
        authority = Authority(tmp_path)
        one, other = authority.issue("one"), authority.issue("other")
        with pytest.raises(ZinniahookError, match="not the certificate's"):
            make_configuration(one.certificate, other.key)


class TestLibrary:
    """What `quic` takes from aioquic's inside."""

    def test_version(self):
        assert aioquic.__version__.startswith("1.7.")

    def test_names_exist(self, configuration):
        connection = ServerConnection(
            configuration, b"12345678", lambda _: random.Random(1).randbytes(17)
        )
        for name in (
            "_host_cids",
            "_host_cid_seq",
            "_local_initial_source_connection_id",
            "_local_max_streams_bidi",
            "_remote_active_connection_id_limit",
            "_loss",
            "_spaces",
            "_streams",
            "_state",
        ):
            assert hasattr(connection, name), name
        assert hasattr(connection._loss, "_pto_count")
        assert set(tls.Epoch) >= {tls.Epoch.ONE_RTT, tls.Epoch.ZERO_RTT}
