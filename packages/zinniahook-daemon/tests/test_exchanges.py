"""HTTP/3 from aioquic's own client, HTTP/1.1 to a real Tornado target."""

from __future__ import annotations

import asyncio
import random

import pytest
from aioquic.h3.connection import ErrorCode, FrameType, encode_frame
from aioquic.quic.events import StreamReset
from http3_benches import NOWHERE, TIMEOUT_SECONDS, Bench, PlainClient
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.models import RequestClass, Service
from zinniahook_daemon.exchanges import (
    Answer,
    classify,
    decode_answer,
    encode_answer,
    outcome_answer,
)
from zinniahook_daemon.heads import MAX_BODY_BYTES
from zinniahook_daemon.http3 import BODY_TIMEOUT_SECONDS, HIGH_WATER_BYTES
from zinniahook_daemon.quic import MAX_OPEN_REQUESTS, make_configuration
from zinniahook_testkit.certificates import Authority

LARGE = 24 * 1024 * 1024
VOLUME = 3 * 1024 * 1024
"""More than the windows of a stream and of a connection."""

QUIET_PINGS = 10
"""Round trips without progress after which a transfer is considered stopped."""


@pytest.fixture
def run(tmp_path):
    files = Authority(tmp_path).issue("service")
    configuration = make_configuration(files.certificate, files.key)

    def run(scenario) -> None:
        async def main() -> None:
            bench = Bench(configuration)
            async with bench.client() as client:
                await scenario(bench, client)
            bench.socket.close()
            bench.server.stop()

        asyncio.run(main())

    return run


class TestPlainClient:
    def test_get(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            client.ask("GET", "/a?size=70000", (b"zinniahook-deadline", b"9.5"))
            headers, body = await client.answer()
            assert headers[b":status"] == b"200"
            assert b"connection" not in headers
            assert body == bytes(70000)
            seen = bench.seen["headers"]
            assert seen["Host"] == "localhost"
            assert 0 < float(seen["zinniahook-deadline"]) <= 9.5

        run(scenario)

    def test_post(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            stream_id = client.ask("POST", "/tickets", end=False)
            for _ in range(3):
                client.http.send_data(stream_id, bytes(1000), end_stream=False)
            client.http.send_data(stream_id, b"", end_stream=True)
            client.transmit()
            headers, body = await client.answer()
            assert (headers[b":status"], body) == (b"200", b'{"size": 3000}')

        run(scenario)

    def test_many_at_a_time(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            for number in range(40):
                client.ask("GET", f"/?size={number + 1}")
            sizes = [len((await client.answer())[1]) for _ in range(40)]
            assert sum(sizes) == sum(range(1, 41))

        run(scenario)


class TestLongConnections:
    """A connection stops once it has carried a certain number or volume of requests."""

    def test_more_requests_than_may_be_open(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            for _ in range(4 * MAX_OPEN_REQUESTS):
                client.ask("GET", "/?size=1")
                headers, body = await client.answer()
                assert (headers[b":status"], len(body)) == (b"200", 1)

        run(scenario)

    def test_more_bytes_than_any_window(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            for _ in range(2):
                client.ask("GET", f"/?size={VOLUME}")
                assert len((await client.answer())[1]) == VOLUME
                stream_id = client.ask("POST", "/tickets", end=False)
                client.http.send_data(stream_id, bytes(VOLUME), end_stream=True)
                client.transmit()
                assert (await client.answer())[1] == b'{"size": %d}' % VOLUME

        run(scenario)


class TestBackPressure:
    def test_a_slow_caller_stops_the_target(self, run):
        """Guards against an agent whose memory grows with a large answer.

        A caller stops reading and grants no more credit, while the target keeps
        writing. The target must be paused when the caller has fallen behind.
        """

        async def scenario(bench: Bench, client: PlainClient) -> None:
            client._quic._write_stream_limits = lambda *args, **kwargs: None
            client.ask("GET", f"/?size={LARGE}")
            await asyncio.wait_for(client.events.get(), TIMEOUT_SECONDS)
            quiet, before = 0, -1
            while quiet < QUIET_PINGS:
                await asyncio.wait_for(client.ping(), TIMEOUT_SECONDS)
                stands = bench.session.waiting and before == bench.seen["sent"]
                quiet = quiet + 1 if stands else 0
                before = bench.seen["sent"]
            assert not bench.seen.get("whole")
            (exchange,) = bench.session.by_stream.values()
            unsent = bench.session.connection.unsent(exchange.stream_id)
            assert HIGH_WATER_BYTES // 2 < unsent < 2 * HIGH_WATER_BYTES

        run(scenario)

    def test_a_slow_target_stops_the_caller(self, run):
        """Guards against an agent whose memory grows with a large body.

        A target reads one piece of an upload and pauses, while the caller has far
        more to send. The stream's credit must depend on what the target has read.
        """

        async def scenario(bench: Bench, client: PlainClient) -> None:
            bench.seen["gate"].clear()
            stream_id = client.ask("POST", "/", end=False)
            client.http.send_data(stream_id, bytes(LARGE), end_stream=True)
            client.transmit()
            sender = client._quic._streams[stream_id].sender
            quiet, before = 0, -1
            while quiet < QUIET_PINGS:
                await asyncio.wait_for(client.ping(), TIMEOUT_SECONDS)
                quiet = quiet + 1 if before == sender.highest_offset else 0
                before = sender.highest_offset
            assert sender.highest_offset < LARGE // 2
            unread = bench.session.connection.unread_by_stream[stream_id]
            assert unread <= 256 * 1024
            bench.seen["gate"].set()
            _, body = await client.answer()
            assert body == b'{"size": %d}' % LARGE

        run(scenario)


class TestSlowCaller:
    def test_holds_no_slot_while_it_sends(self, run):
        """Guards against an idle target whose slots are all taken.

        A field device sends the head of a request, and its body seconds later. If
        the request ran when its head is received, it would wait in a slot.
        """

        async def scenario(bench: Bench, client: PlainClient) -> None:
            stream_id = client.ask("POST", "/tickets", end=False)
            client.http.send_data(stream_id, bytes(500), end_stream=False)
            client.transmit()
            await asyncio.wait_for(client.ping(), TIMEOUT_SECONDS)
            assert not bench.owner.tasks_by_number
            client.http.send_data(stream_id, bytes(500), end_stream=True)
            client.transmit()
            assert (await client.answer())[1] == b'{"size": 1000}'

        run(scenario)

    def test_is_refused_in_the_end(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            client.ask("POST", "/tickets", end=False)
            await asyncio.wait_for(client.ping(), TIMEOUT_SECONDS)
            now = asyncio.get_running_loop().time()
            bench.session.expire(now + BODY_TIMEOUT_SECONDS / 2)
            assert bench.session.busy
            bench.session.expire(now + BODY_TIMEOUT_SECONDS + 1)
            headers, _ = await client.answer()
            assert headers[b"zinniahook-outcome"] == b"not-run"
            assert not bench.session.busy
            assert not bench.owner.tasks_by_number

        run(scenario)


class TestCancellation:
    @pytest.mark.parametrize("way", ["reset", "close"])
    def test_reaches_the_target(self, run, way):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            stream_id = client.ask("DELETE", "/", end=False)
            await asyncio.wait_for(bench.seen["deleting"].wait(), TIMEOUT_SECONDS)
            if way == "reset":
                client._quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
                client.transmit()
            else:
                client.close()
            await asyncio.wait_for(bench.seen["gone"].wait(), TIMEOUT_SECONDS)

        run(scenario)


class TestRefusals:
    def test_a_target_that_sheds(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            client.ask("PUT", "/")
            headers, _ = await client.answer()
            assert headers[b":status"] == b"503"
            assert headers[b"zinniahook-outcome"] == b"not-run"
            assert headers[b"zinniahook-retry-after"] == b"0.250"
            result = bench.owner.results.get_nowait()
            assert result.outcome.code is Code.TARGET_SHED
            assert not result.started

        run(scenario)

    def test_a_header_without_end(self, run):
        """Guards against an agent that buffers a header block without bound.

        A HEADERS frame announces a huge length, and bytes follow without end. A
        frame is parsed only when it is complete.
        """

        async def scenario(bench: Bench, client: PlainClient) -> None:
            stream_id = client._quic.get_next_available_stream_id()
            frame = encode_frame(FrameType.HEADERS, bytes(1 << 20))
            client._quic.send_stream_data(stream_id, frame[:30000])
            client.transmit()
            headers, _ = await client.answer()
            assert headers[b":status"] == b"431"
            assert bench.owner.codes == [Code.HEADER_TOO_LARGE]

        run(scenario)

    def test_a_key_that_is_too_long(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            client.ask("POST", "/", (b"idempotency-key", bytes(200).hex().encode()))
            headers, _ = await client.answer()
            assert headers[b":status"] == b"400"
            assert bench.owner.codes == [Code.KEY_TOO_LONG]

        run(scenario)

    def test_a_body_that_is_too_large(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            length = str(MAX_BODY_BYTES + 1).encode()
            client.ask("POST", "/", (b"content-length", length), end=False)
            headers, _ = await client.answer()
            assert headers[b":status"] == b"413"
            assert bench.owner.codes == [Code.BODY_TOO_LARGE]

        run(scenario)

    @pytest.mark.parametrize(
        ("method", "path"),
        [("GET", "/a HTTP/1.1"), ("GET /b", "/a"), ("GET", "a"), ("get", "/a")],
    )
    def test_a_head_that_would_become_another(self, run, method, path):
        """Guards against a request at the target that was never admitted.

        A path or method contains a space. HTTP/3 carries both separately, but in
        HTTP/1.1 they share one line, which is split at spaces.
        """

        async def scenario(bench: Bench, client: PlainClient) -> None:
            client.ask(method, path)
            event = await asyncio.wait_for(client.events.get(), TIMEOUT_SECONDS)
            assert isinstance(event, StreamReset)
            assert event.error_code == ErrorCode.H3_MESSAGE_ERROR
            assert not bench.owner.tasks_by_number
            client.ask("GET", "/well")
            assert (await client.answer())[0][b":status"] == b"200"

        run(scenario)

    def test_after_the_last_go_away(self, run):
        async def scenario(bench: Bench, client: PlainClient) -> None:
            client.ask("GET", "/")
            await client.answer()
            bench.session.go_away(final=False)
            client.ask("GET", "/")
            await client.answer()
            bench.session.go_away(final=True)
            client.ask("GET", "/")
            event = await asyncio.wait_for(client.events.get(), TIMEOUT_SECONDS)
            assert isinstance(event, StreamReset)
            assert event.error_code == ErrorCode.H3_REQUEST_REJECTED

        run(scenario)


class TestAnswers:
    def test_round_trip(self):
        rng = random.Random(1)
        for size in (0, 1, 5000):
            headers = ((b"a", rng.randbytes(9)), (b"b", b""))
            answer = Answer(201, headers, rng.randbytes(size))
            assert decode_answer(encode_answer(answer)) == answer

    @pytest.mark.parametrize("data", [b"", b"\x00\x00\x00\x09abc", bytes(4), b"\xff"])
    def test_something_else(self, data):
        with pytest.raises(ValueError, match="not a kept answer"):
            decode_answer(data)

    @pytest.mark.parametrize(
        ("outcome", "status"),
        [
            (Outcome(OutcomeKind.NOT_RUN, Code.QUEUE_FULL, 0.2), 503),
            (Outcome(OutcomeKind.NOT_RUN, Code.RETRY_BUDGET_SPENT, 1.0), 429),
            (Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST), 502),
            (Outcome(OutcomeKind.IN_PROGRESS, Code.IN_PROGRESS, 1.0), 409),
            (Outcome(OutcomeKind.CANCELLED_AFTER, Code.CANCELLED_AFTER), 499),
        ],
    )
    def test_of_outcomes(self, outcome, status):
        answer = outcome_answer(outcome)
        headers = dict(answer.headers)
        assert answer.status == status
        assert headers[b"zinniahook-outcome"] == outcome.kind.value.encode()
        assert (b"retry-after" in headers) == (outcome.retry_after > 0)


class TestClasses:
    def test_longest_prefix(self):
        classes = {
            "all": RequestClass("all", "/"),
            "export": RequestClass("export", "/ledger"),
        }
        service = Service("s", 1, NOWHERE, classes_by_name=classes)
        assert classify(service, "/ledger/today") == "export"
        assert classify(service, "/tickets") == "all"
        assert classify(Service("s", 1, NOWHERE), "/tickets") == ""
