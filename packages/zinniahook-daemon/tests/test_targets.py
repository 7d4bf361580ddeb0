"""The results of requests, also of those without a complete answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from zinniahook_core.codes import Code, OutcomeKind
from zinniahook_core.models import Address, Load
from zinniahook_daemon.exchanges import Exchange, Head
from zinniahook_daemon.targets import Target

TIMEOUT_SECONDS = 20.0
LOOPBACK = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Script = Callable[[Reader, Writer], Awaitable[None]]


class RecordingExchange(Exchange):
    """An exchange that records its answer."""

    def __init__(self, method: str, *headers: tuple[bytes, bytes]) -> None:
        now = asyncio.get_running_loop().time()
        super().__init__(Head(method, "/x", headers), "", now)
        self.sent = b""
        self.was_reset = False

    def send_head(self, status, headers) -> None:
        self.answer_headers = dict(headers)

    def send_piece(self, data: bytes) -> None:
        self.sent += data

    def send_end(self) -> None:
        pass

    def send_reset(self) -> None:
        self.was_reset = True

    def body_taken(self, size: int) -> None:
        pass


class ScriptedServer:
    """A server that answers by a script, and records the heads it receives."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.connections = 0

    async def __aenter__(self) -> ScriptedServer:
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.target = Target(Address(*self.server.sockets[0].getsockname()))
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()

    async def serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        while head := await read_head(reader):
            self.heads.append(head)
            await self.script(reader, writer)
            if writer.is_closing():
                return


async def read_head(reader: Reader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


async def answer(reader: Reader, writer: Writer) -> None:
    writer.write(OK)


async def hang_up(reader: Reader, writer: Writer) -> None:
    writer.close()


async def half(reader: Reader, writer: Writer) -> None:
    writer.write(OK.replace(b"Length: 2", b"Length: 9"))
    writer.close()


async def informational(reader: Reader, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK)


async def nonsense(reader: Reader, writer: Writer) -> None:
    writer.write(b"what?\r\n\r\n")


async def shed(reader: Reader, writer: Writer) -> None:
    writer.write(
        b"HTTP/1.1 503 Busy\r\nzinniahook-outcome: not-run\r\n"
        b"Retry-After: 0.7\r\nContent-Length: 0\r\n\r\n"
    )


async def fail_as_an_answer(reader: Reader, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 503 Broken\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n")


def run(script: Script, scenario: Callable[[ScriptedServer], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS), ScriptedServer(script) as server:
            await scenario(server)

    asyncio.run(main())


def ended(exchange: RecordingExchange) -> RecordingExchange:
    exchange.body.feed(b"", end=True)
    return exchange


class TestCertainty:
    def test_a_refused_connection_never_started(self):
        async def main() -> None:
            server = await asyncio.start_server(hang_up, LOOPBACK, 0)
            address = Address(*server.sockets[0].getsockname())
            server.close()
            await server.wait_closed()
            result = await Target(address).run(ended(RecordingExchange("POST")))
            assert result.outcome.kind is OutcomeKind.NOT_RUN
            assert result.outcome.code is Code.TARGET_FAILED
            assert not result.started

        asyncio.run(main())

    @pytest.mark.parametrize("script", [hang_up, nonsense])
    def test_no_answer_may_have_run(self, script):
        async def scenario(server: ScriptedServer) -> None:
            exchange = ended(RecordingExchange("POST"))
            result = await server.target.run(exchange)
            assert result.outcome.kind is OutcomeKind.UNKNOWN
            assert result.started
            assert not exchange.status

        run(script, scenario)

    def test_half_an_answer_is_broken_off(self):
        async def scenario(server: ScriptedServer) -> None:
            exchange = ended(RecordingExchange("POST", (b"idempotency-key", b"k")))
            result = await server.target.run(exchange)
            assert result.outcome.code is Code.TARGET_FAILED
            assert result.started
            assert exchange.was_reset
            assert exchange.kept == b""

        run(half, scenario)

    def test_only_the_target_itself_says_not_run(self):
        async def scenario(server: ScriptedServer) -> None:
            exchange = ended(RecordingExchange("POST"))
            result = await server.target.run(exchange)
            assert result.outcome.code is Code.TARGET_SHED
            assert result.outcome.retry_after == pytest.approx(0.7)
            assert not result.started
            assert not exchange.status

        run(shed, scenario)

    def test_a_plain_503_is_an_answer(self):
        async def scenario(server: ScriptedServer) -> None:
            exchange = ended(RecordingExchange("POST"))
            result = await server.target.run(exchange)
            assert result.outcome.kind is OutcomeKind.DONE
            assert exchange.status == 503
            assert exchange.answer_headers[b"retry-after"] == b"3"

        run(fail_as_an_answer, scenario)


class TestRequests:
    def test_headers(self):
        async def scenario(server: ScriptedServer) -> None:
            exchange = RecordingExchange(
                "POST",
                (b"connection", b"close"),
                (b"zinniahook-attempt", b"2"),
                (b"zinniahook-deadline", b"4"),
                (b"idempotency-key", b"k"),
            )
            await server.target.run(ended(exchange))
            lines = server.heads[0].lower().split(b"\r\n")
            names = {line.partition(b":")[0] for line in lines[1:]}
            assert lines[0] == b"post /x http/1.1"
            assert b"content-length: 0" in lines
            assert b"idempotency-key: k" in lines
            assert b"zinniahook-deadline" in names
            assert not names & {b"connection", b"zinniahook-attempt"}

        run(answer, scenario)

    def test_an_informational_answer_is_not_the_answer(self):
        async def scenario(server: ScriptedServer) -> None:
            exchange = ended(RecordingExchange("GET"))
            await server.target.run(exchange)
            assert (exchange.status, exchange.sent) == (200, b"ok")

        run(informational, scenario)

    def test_a_caller_that_goes_leaves_its_answer_behind(self):
        """Guards against an "unknown" outcome for a repeat with the same key.

        A caller's connection ends while its ticket runs, and then the target
        answers. The answer must be kept although the caller has gone.
        """

        async def scenario(server: ScriptedServer) -> None:
            exchange = ended(RecordingExchange("POST", (b"idempotency-key", b"k")))
            exchange.finished = True
            result = await server.target.run(exchange)
            assert result.outcome.kind is OutcomeKind.DONE
            assert exchange.sent == b""
            assert exchange.kept.endswith(b"ok")

        run(answer, scenario)


class TestReuse:
    def test_only_what_may_be_repeated(self):
        async def scenario(server: ScriptedServer) -> None:
            for _ in range(3):
                await server.target.run(ended(RecordingExchange("GET")))
            assert server.connections == 1
            await server.target.run(ended(RecordingExchange("POST")))
            assert server.connections == 2

        run(answer, scenario)

    def test_a_connection_that_the_target_has_closed(self):
        """Guards against occasional failures of requests at a healthy target.

        After one request the target closes the connection without notice, while a
        second request is sent on it. An idle connection may close at any moment, so
        the second request is sent again on a new one.
        """
        served = 0

        async def once(reader: Reader, writer: Writer) -> None:
            nonlocal served
            served += 1
            if served == 2:
                writer.close()
            else:
                writer.write(OK)

        async def scenario(server: ScriptedServer) -> None:
            await server.target.run(ended(RecordingExchange("GET")))
            result = await server.target.run(ended(RecordingExchange("GET")))
            assert result.outcome.kind is OutcomeKind.DONE
            assert (served, server.connections) == (3, 2)

        run(once, scenario)


class TestProbe:
    def serve_json(self, document: object) -> Script:
        body = json.dumps(document).encode()

        async def script(reader: Reader, writer: Writer) -> None:
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            writer.close()

        return script

    def test_load(self):
        async def scenario(server: ScriptedServer) -> None:
            report = await server.target.probe()
            assert report == (True, Load(4, 2, 1, 0, 0), True)

        run(self.serve_json({"slots": 4, "busy": 2, "queued": 1}), scenario)

    @pytest.mark.parametrize("document", [[], {"slots": "many"}, None, {"busy": 1}])
    def test_a_load_that_is_none(self, document):
        async def scenario(server: ScriptedServer) -> None:
            assert (await server.target.probe()).load is None

        run(self.serve_json(document), scenario)

    def test_a_port_that_only_accepts(self):
        async def scenario(server: ScriptedServer) -> None:
            report = await server.target.probe()
            assert report == (None, None, True)

        run(hang_up, scenario)
