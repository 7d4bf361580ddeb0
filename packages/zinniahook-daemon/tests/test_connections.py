"""QUIC connections with this server's ids, and the aioquic internals they use."""

from __future__ import annotations

import random

import aioquic
import pytest
from aioquic import tls
from aioquic.quic import events
from quic_links import ENTRY, OWNER, Link, run
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address
from zinniahook_daemon.openings import RETRY_HANDSHAKES, Opening
from zinniahook_daemon.quic import ServerConnection, make_configuration
from zinniahook_testkit.certificates import Authority


class TestConnectionIds:
    def test_every_id_names_the_owner(self, quic_configuration):
        async def scenario(link: Link) -> None:
            _, connection = await link.connect()
            assert len(connection.connection_ids) > 1
            for connection_id in connection.connection_ids:
                assert link.ids.decode(connection_id) == OWNER
                assert link.connections.by_id[connection_id] is connection

        run(quic_configuration, scenario)

    def test_the_first_id_is_forgotten_after_the_handshake(self, quic_configuration):
        async def scenario(link: Link) -> None:
            caller = link.call()
            first = caller.quic.original_destination_connection_id
            assert first in link.connections.by_id
            await link.until(lambda: caller.quic._handshake_confirmed)
            assert first not in link.connections.by_id

        run(quic_configuration, scenario)

    def test_a_caller_changes_its_id(self, quic_configuration):
        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            before = connection.connection_ids[0]
            caller.quic.change_connection_id()
            caller.quic.send_ping(1)
            caller.send()
            await link.until(lambda: caller.has(events.PingAcknowledged))
            await link.until(lambda: before not in link.connections.by_id)
            assert len(link.connections) == 1

        run(quic_configuration, scenario)

    def test_nothing_is_left_of_a_closed_connection(self, quic_configuration):
        async def scenario(link: Link) -> None:
            caller, connection = await link.connect()
            session = connection.session
            caller.quic.close()
            caller.send()
            await link.until(lambda: not link.connections.by_id)
            assert session.has_ended
            assert link.closed == [connection]

        run(quic_configuration, scenario)


class TestMigration:
    def test_every_datagram_comes_from_another_port(self, quic_configuration):
        """Guards against answers to a caller's former port.

        A middlebox gives each datagram of a caller a new source port. The connection
        is found by its id, so it must follow the caller's newest address.
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

        run(quic_configuration, scenario)

    def test_a_silent_address_gets_three_times_what_it_sent(self, quic_configuration):
        """Guards against amplification by a forged source address.

        An opening carries a victim's address, which never replies. The agent repeats
        its answers. A caller's address is only validated by the handshake.
        """

        async def scenario(link: Link) -> None:
            link.silent = True
            caller = link.call()
            (connection,) = link.connections
            await link.until(lambda: connection.probes >= 2)
            received = link.received_by_address[caller.address]
            assert 0 < link.sent_by_address[caller.address] <= 3 * received

        run(quic_configuration, scenario)


class TestSilence:
    def test_unanswered_probes_are_reported(self, quic_configuration):
        """Guards against a caller that waits because one entry loses its answers.

        An established connection sends, and no acknowledgement comes back. Only the
        agent can detect this, so each further probe must be reported: it is the
        reason to try another entry.
        """

        async def scenario(link: Link) -> None:
            _, connection = await link.connect()
            link.silent = True
            connection.send_ping(5)
            link.connections.touch(connection)
            await link.until(lambda: len(link.unanswered) >= 2)
            assert set(link.unanswered) == {connection}

        run(quic_configuration, scenario)


class TestOpenings:
    def test_a_busy_agent_asks_for_a_proof_of_the_address(self, quic_configuration):
        """Guards against forged openings that keep genuine callers out for seconds.

        Each opening that isn't continued counts as a handshake until it times out.
        """

        async def scenario(link: Link) -> None:
            link.handshakes = RETRY_HANDSHAKES
            _, connection = await link.connect()
            assert set(link.refusals) == {Code.FLOW_LIMIT}
            assert connection.flow != connection.original_destination_connection_id

        run(quic_configuration, scenario)

    def test_a_token_serves_its_own_address_only(self, quic_configuration):
        async def scenario(link: Link) -> None:
            link.handshakes = RETRY_HANDSHAKES
            sent: list[bytes] = []
            deliver = link.to_agent

            def keep(datagram: bytes, source: Address) -> None:
                sent.append(datagram)
                deliver(datagram, source)

            link.to_agent = keep
            caller, _ = await link.connect()
            check = link.openings.check
            stranger = Address("127.0.0.9", 5001)
            opened = [check(datagram, caller.address, 0, False) for datagram in sent]
            assert sum(isinstance(each, Opening) for each in opened) >= 1
            (returned,) = {each for each in opened if getattr(each, "retry_source", 0)}
            with_token = sent[opened.index(returned)]
            assert check(with_token, stranger, 0, False) is Code.CONNECTION_ID_UNKNOWN

        run(quic_configuration, scenario)

    def test_an_unknown_version_is_answered_with_ours(self, quic_configuration):
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

        run(quic_configuration, scenario)

    def test_random_datagrams_open_nothing(self, quic_configuration):
        async def scenario(link: Link) -> None:
            rng = random.Random(8)
            for _ in range(300):
                data = bytes([rng.randrange(0x80, 0x100)]) + rng.randbytes(1250)
                opening = link.openings.check(data, ENTRY, rng.choice((0, 99)), False)
                assert isinstance(opening, Code)

        run(quic_configuration, scenario)


class TestCertificate:
    def test_a_file_that_is_not_pem(self, tmp_path):
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
    """The private parts of aioquic that `quic` uses."""

    def test_version(self):
        assert aioquic.__version__.startswith("1.7.")

    def test_names_exist(self, quic_configuration):
        connection = ServerConnection(
            quic_configuration, b"12345678", lambda _: random.Random(1).randbytes(17)
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
