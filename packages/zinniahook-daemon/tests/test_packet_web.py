"""The HTTP server and client for daemons and the platform's store."""

import asyncio
import re

import pytest
from zinniahook_core.models import Address
from zinniahook_daemon.packets import web

HELLO = re.compile("/hello/([a-z]+)")


def hello(match, body):
    return web.Answer(web.OK, match[1].encode() + body)


def run_scenario(scenario):
    async def run():
        routes = [web.Route("POST", HELLO, hello)]
        server = web.Server(Address("127.0.0.1", 0), routes)
        try:
            return await scenario(web.Client(server.address, 5.0), server)
        finally:
            await server.close()

    return asyncio.run(run())


class TestCalls:
    def test_are_answered_with_the_body(self):
        async def scenario(client, server):
            return await client.call("POST", "/hello/tally", b"!")

        answer = run_scenario(scenario)
        assert answer.status == web.OK
        assert answer.body == b"tally!"

    def test_an_empty_body_and_an_unknown_path(self):
        async def scenario(client, server):
            return [
                await client.call("POST", "/hello/tally"),
                await client.call("GET", "/hello/tally"),
                await client.call("POST", "/hello/tally/more"),
            ]

        statuses = [answer.status for answer in run_scenario(scenario)]
        assert statuses == [200, 404, 404]

    def test_use_one_connection_again(self):
        async def scenario(client, server):
            for _ in range(5):
                await client.call("POST", "/hello/tally")
            return len(server.connections)

        assert run_scenario(scenario) == 1

    def test_at_the_same_time_use_connections_of_their_own(self):
        async def scenario(client, server):
            calls = [client.call("POST", f"/hello/{name}") for name in ("a", "b", "c")]
            return await asyncio.gather(*calls)

        assert [answer.body for answer in run_scenario(scenario)] == [b"a", b"b", b"c"]


class TestFailures:
    """Guards against a daemon that waits for a peer without end.

    The peer is gone, closes the connection in the middle of a response, or doesn't
    respond. A silent connection by itself doesn't reveal a failure.
    """

    def test_nobody_listens(self):
        async def scenario(client, server):
            with pytest.raises(web.ClientError):
                await web.Client(Address("127.0.0.1", 1), 5.0).call("GET", "/")

        run_scenario(scenario)

    def test_silence_ends_the_call_and_the_connection(self):
        async def run():
            accepted = []
            server = await asyncio.start_server(
                lambda reader, writer: accepted.append(writer), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            client = web.Client(Address("127.0.0.1", port), 0.05)
            for _ in range(2):
                with pytest.raises(web.ClientError):
                    await client.call("GET", "/")
            server.close()
            return len(accepted)

        assert asyncio.run(run()) == 2

    def test_an_answer_that_breaks_off(self):
        async def run():
            async def cut(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
                writer.close()

            server = await asyncio.start_server(cut, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = web.Client(Address("127.0.0.1", port), 5.0)
            with pytest.raises(web.ClientError):
                await client.call("GET", "/")
            server.close()

        asyncio.run(run())

    def test_a_connection_that_was_closed_meanwhile_is_left(self):
        async def scenario(client, server):
            await client.call("POST", "/hello/a")
            for connection in list(server.connections):
                connection.close()
            await asyncio.sleep(0)
            try:
                answer = await client.call("POST", "/hello/b")
            except web.ClientError:
                answer = await client.call("POST", "/hello/b")
            return answer.body

        assert run_scenario(scenario) == b"b"


def send_raw(*pieces):
    """Send raw bytes to a server; return all that it sends until it closes."""

    async def scenario(client, server):
        reader, writer = await asyncio.open_connection(*server.address)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        writer.write_eof()
        received = await reader.read()
        writer.close()
        return received

    return run_scenario(scenario)


class TestBadInput:
    """Guards against a daemon that stops answering after a malformed request.

    A client sends bytes that aren't HTTP, or an oversized body. Neither may raise an
    exception in a connection's callback or use unbounded memory.
    """

    def test_what_is_not_http_is_refused(self):
        assert send_raw(b"\x00\x01 nonsense\r\n\r\n").startswith(b"HTTP/1.1 400")

    def test_a_body_that_is_too_large_is_refused(self, monkeypatch):
        monkeypatch.setattr(web, "MAX_BODY_BYTES", 10)
        head = b"POST /hello/a HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"
        assert send_raw(head, b"x" * 20).startswith(b"HTTP/1.1 413")

    def test_a_request_in_pieces_and_two_in_one(self):
        whole = b"POST /hello/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n!"
        received = send_raw(whole[:9], whole[9:] + whole)
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.endswith(b"a!")

    def test_a_server_goes_on_after_bad_input(self):
        async def scenario(client, server):
            for _ in range(3):
                _, writer = await asyncio.open_connection(*server.address)
                writer.write(b"GET\r\n\r\n")
                writer.close()
            return (await client.call("POST", "/hello/a")).body

        assert run_scenario(scenario) == b"a"
