import asyncio
import random

import pytest
from aioquic.h3.connection import ErrorCode
from zinniahook_caller import (
    AnswerCutError,
    Backoff,
    ConnectError,
    InProgressError,
    InvalidRequestError,
    NotRunError,
    OutcomeKind,
    RequestCancelledError,
    Session,
    Silence,
    UnknownOutcomeError,
)
from zinniahook_caller.adapters import Http3Adapter, Options
from zinniahook_caller.connections import STREAM_WINDOW_BYTES

FAST_BACKOFF = Backoff(base=0.001, limit=0.01)


def session(running, certificate, **kwargs):
    kwargs.setdefault("backoff", FAST_BACKOFF)
    kwargs.setdefault("rng", random.Random(1))
    return Session(running.address, ca=str(certificate.authority), **kwargs)


def scripted(*answers):
    """Answer the n-th request with the n-th function; the last one repeats."""
    remaining = list(answers)

    def script(received):
        answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        answer(received)

    return script


def done(received):
    received.server.answer(received.stream, body=received.body or b"whole")


def refuse(received):
    received.server.answer(
        received.stream,
        503,
        retry_after=1,
        zinniahook_retry_after=0.01,
        zinniahook_outcome="not-run",
        zinniahook_code=205,
    )


def answer_outcome(kind, status=502):
    def answer(received):
        received.server.answer(received.stream, status, zinniahook_outcome=kind)

    return answer


def reject(received):
    received.server.reset(received.stream)


def cut(received):
    received.server.reset(received.stream, ErrorCode.H3_INTERNAL_ERROR)


class TestCalls:
    def test_whole_answer_of_its_own_request(self, run, certificate):
        waiting = []

        def late_and_reordered(received):
            waiting.append(received)
            if len(waiting) == 5:
                for item in reversed(waiting):
                    done(item)

        async def check(running):
            async with session(running, certificate) as caller:
                bodies = [b"%d" % number * 3000 for number in range(5)]
                answers = await asyncio.gather(
                    *(caller.post("/tickets", data=body) for body in bodies)
                )
                assert [answer.content for answer in answers] == bodies

        run(late_and_reordered, check)

    def test_key_is_kept_and_attempts_are_counted(self, run, certificate):
        async def check(running):
            async with session(running, certificate) as caller:
                answer = await caller.post("/tickets", json={"ticket": 1})
                assert answer.json() == {"ticket": 1}
                assert answer.attempts == 3
            headers = [received.headers for received in running.requests]
            assert len({fields["idempotency-key"] for fields in headers}) == 1
            assert [f["zinniahook-attempt"] for f in headers] == ["1", "2", "3"]
            remaining = [float(fields["zinniahook-deadline"]) for fields in headers]
            assert remaining == sorted(remaining, reverse=True)

        run(scripted(refuse, reject, done), check)

    @pytest.mark.parametrize(
        ("answer", "error", "outcome"),
        [
            (refuse, NotRunError, OutcomeKind.NOT_RUN),
            (reject, NotRunError, OutcomeKind.NOT_RUN),
            (
                answer_outcome("in-progress", 409),
                InProgressError,
                OutcomeKind.IN_PROGRESS,
            ),
            (answer_outcome("unknown"), UnknownOutcomeError, OutcomeKind.UNKNOWN),
            (answer_outcome("new-in-2030"), UnknownOutcomeError, OutcomeKind.UNKNOWN),
            (
                answer_outcome("cancelled-before", 499),
                RequestCancelledError,
                OutcomeKind.CANCELLED_BEFORE,
            ),
            (
                answer_outcome("cancelled-after", 499),
                RequestCancelledError,
                OutcomeKind.CANCELLED_AFTER,
            ),
        ],
    )
    def test_outcomes_are_a_closed_set(self, run, certificate, answer, error, outcome):
        # The first wait exceeds the deadline, so no request is retried.
        patient = Backoff(base=1000.0, limit=1000.0)

        async def check(running):
            async with session(running, certificate, backoff=patient) as caller:
                with pytest.raises(error) as caught:
                    await caller.post("/tickets", data=b"x", deadline=10)
                assert caught.value.outcome is outcome

        run(scripted(answer), check)

    def test_deadline_while_the_answer_is_due(self, run, certificate):
        """An expired deadline must not be reported as "not run".

        The request is sent and no answer arrives before the deadline. The request
        may have run, and a user who reads "not run" would enter a ticket again.
        """

        async def check(running):
            async with session(running, certificate) as caller:
                with pytest.raises(UnknownOutcomeError):
                    await caller.post("/tickets", data=b"x", deadline=0.3)

        run(lambda received: None, check)

    def test_cut_answer_is_asked_again_with_the_key(self, run, certificate):
        async def check(running):
            async with session(running, certificate) as caller:
                assert (await caller.post("/tickets", data=b"x")).attempts == 2

        run(scripted(cut, done), check)

    def test_without_a_key_nothing_is_repeated(self, run, certificate):
        """A POST without a key must not run twice.

        The answer is cut off. If the caller sent the request again, the service
        couldn't distinguish the copy from a new request and would bill twice.
        """

        async def check(running):
            async with session(running, certificate) as caller:
                with pytest.raises(UnknownOutcomeError):
                    await caller.post("/tickets", data=b"x", key="")
            assert len(running.requests) == 1
            assert "idempotency-key" not in running.requests[0].headers

        run(scripted(cut, done), check)

    def test_refusal_after_a_cut_get_is_not_reported_as_certain(self, run, certificate):
        async def check(running):
            patient = Backoff(base=0.001, limit=0.001)
            async with session(running, certificate, backoff=patient) as caller:
                with pytest.raises(UnknownOutcomeError):
                    await caller.get("/ledger", deadline=0.3)

        run(scripted(cut, refuse), check)

    def test_bad_arguments(self, run, certificate):
        async def check(running):
            with pytest.raises(InvalidRequestError):
                Session("nowhere")
            with pytest.raises(InvalidRequestError):
                Session(running.address, scheme="carrier-pigeon")
            async with session(running, certificate) as caller:
                with pytest.raises(InvalidRequestError):
                    await caller.get("no-slash")
                with pytest.raises(InvalidRequestError):
                    await caller.post("/", data=b"x", json={})
                with pytest.raises(InvalidRequestError):
                    await caller.post("/", key="k" * 129)

        run(scripted(done), check)


class TestConnections:
    def test_goaway_moves_new_requests_only(self, run, certificate):
        """A planned stop must not cut off answers or receive new requests.

        GOAWAY arrives while an answer is pending, and a new call is made. This fails
        if the caller closes the connection, or keeps it for new requests.
        """
        held = []

        def script(received):
            if not held:
                held.append(received)
                received.server.go_away(received.stream + 4)
                return
            done(received)

        async def check(running):
            async with session(running, certificate) as caller:
                first = asyncio.create_task(caller.post("/tickets", data=b"first"))
                while not held:
                    await asyncio.sleep(0)
                connection = caller.adapter.connection
                while connection.usable:
                    await asyncio.sleep(0)
                second = await caller.post("/tickets", data=b"second")
                assert second.content == b"second"
                assert len(running.connections) == 2
                done(held[0])
                assert (await first).content == b"first"
                assert (await first).attempts == 1

        run(script, check)

    def test_silent_path_is_replaced_by_a_new_port(self, run, certificate):
        """An open feed must not stay silent forever.

        A device on the path loses the state of the connection and drops datagrams of
        its old port from then on. This fails if the caller waits for an error, as
        none is reported.
        """
        blocked_addresses = set()

        def script(received):
            received.server.h3.send_headers(received.stream, [(b":status", b"200")])
            received.server.h3.send_data(received.stream, b"one\n", end_stream=False)

        async def check(running):
            silence = Silence(probe=0.1, move=0.3, give_up=5.0)
            async with (
                session(running, certificate, silence=silence) as caller,
                caller.stream("GET", "/tally/feed") as feed,
            ):
                lines = feed.iter_lines()
                assert await anext(lines) == b"one"
                (server,) = running.connections
                block(server, blocked_addresses)
                blocked_addresses.update(server.addresses)
                server.h3.send_data(0, b"two\n", end_stream=True)
                server.transmit()
                assert await anext(lines) == b"two"
                assert caller.adapter.connection.moves >= 1
                assert caller.adapter.opened == 1

        run(script, check)

    def test_lost_connection_is_replaced(self, run, certificate):
        """A request must not fail with a dead server while other targets work.

        The server stops answering on every port of a connection. This fails if the
        caller keeps a connection that no server holds any more.
        """
        dead = []

        def script(received):
            if not dead:
                dead.append(received.server)
                received.server.datagram_received = lambda data, addr: None
                return
            done(received)

        async def check(running):
            silence = Silence(probe=0.1, move=0.2, give_up=0.6)
            async with session(running, certificate, silence=silence) as caller:
                answer = await caller.post("/tickets", data=b"x")
                assert answer.attempts == 2
                assert caller.adapter.opened == 2

        run(script, check)

    def test_slow_reader_stops_the_sender(self, run, certificate):
        """A large export must not end up in the caller's memory.

        8 MB are sent, and the reader reads nothing for a while. This fails if the
        stream's window grows with the data that arrives instead of the data read.
        """
        size = 8 << 20

        def script(received):
            received.server.answer(received.stream, body=bytes(size))

        async def check(running):
            async with (
                session(running, certificate) as caller,
                caller.stream("GET", "/ledger") as ledger,
            ):
                sender = running.connections[0]._quic._streams[0]
                while sender.sender.highest_offset < sender.max_stream_data_remote:
                    await asyncio.sleep(0.01)
                assert sender.max_stream_data_remote == STREAM_WINDOW_BYTES
                total = 0
                async for chunk in ledger.iter_content():
                    total += len(chunk)
                assert total == size

        run(script, check)

    def test_the_deadline_of_a_stream_stays_with_the_caller(self, run, certificate):
        """A feed must not be cut off at the deadline for opening it.

        A feed is opened with a deadline and its answer begins in time. The service
        cancels requests that still run at the deadline they carry, so the caller must
        not send a deadline that only covers the headers.
        """

        async def check(running):
            async with session(running, certificate) as caller:
                async with caller.stream("GET", "/tally/feed", deadline=5) as feed:
                    assert await feed.read() == b"whole"
                await caller.get("/ledger", deadline=5)
            streamed, whole = (received.headers for received in running.requests)
            assert "zinniahook-deadline" not in streamed
            assert "zinniahook-deadline" in whole

        run(scripted(done), check)

    def test_cut_stream_is_an_error_where_it_is_read(self, run, certificate):
        def script(received):
            received.server.h3.send_headers(received.stream, [(b":status", b"200")])
            received.server.h3.send_data(received.stream, b"half", end_stream=False)
            received.server.transmit()
            cut(received)

        async def check(running):
            async with (
                session(running, certificate) as caller,
                caller.stream("GET", "/ledger") as ledger,
            ):
                with pytest.raises(AnswerCutError):
                    await ledger.read()

        run(script, check)

    def test_an_unreachable_service_is_certainly_not_run(self, run, certificate):
        async def check(running):
            silence = Silence()
            caller = Session(
                "127.0.0.1:9", ca=str(certificate.authority), silence=silence
            )
            with pytest.raises(NotRunError) as caught:
                await caller.post("/tickets", deadline=0.2)
            assert not isinstance(caught.value, ConnectError)
            await caller.close()

        run(scripted(done), check)


def block(server, blocked_addresses):
    """Drop datagrams between the server and the blocked addresses."""
    receive = server.datagram_received
    transport = server._transport

    class FilteredTransport:
        def sendto(self, data, addr):
            if addr not in blocked_addresses:
                transport.sendto(data, addr)

        def __getattr__(self, name):
            return getattr(transport, name)

    server._transport = FilteredTransport()
    server.datagram_received = lambda data, addr: (
        None if addr in blocked_addresses else receive(data, addr)
    )


class TestConnectTimeoutBeforeTheSocketIsOpen:
    """A connect timeout on a busy machine must not raise an IndexError.

    The timeout expires while the socket is being opened, so the connection has no
    network path yet when it is closed.
    """

    def test_raises_connect_error(self):
        async def check():
            options = Options("127.0.0.1", 9, connect_timeout=0.0)
            with pytest.raises(ConnectError):
                await Http3Adapter(options)._connect()

        asyncio.run(check())
