"""Malformed answers of the store are failures with a code, not other exceptions."""

import asyncio
import concurrent.futures
import json
import socket
import threading

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler
from zinniahook_core.codes import Code
from zinniahook_store import AnswerLost, NotWritten, Store, StoreError

TIMEOUT_SECONDS = 20.0

BAD_ANSWERS = [
    (200, b""),
    (200, b"<html>"),
    (200, b"[]"),
    (200, b"{}"),
    (200, b'{"header": null, "kvs": 7}'),
    (200, b'{"header": {"revision": "x"}, "kvs": [{}]}'),
    (200, b'{"header": {"revision": "3"}, "kvs": [{"key": "!", "mod_revision": 1}]}'),
    (503, b'{"error": "etcdserver: request timed out"}'),
]


class BadHandler(RequestHandler):
    def initialize(self, status, body):
        self.status = status
        self.body = body

    def post(self):
        self.set_status(self.status)
        self.finish(self.body)


def run(status, body, scenario):
    """Run a scenario with a client of a server that always gives the same answer."""

    async def serve():
        sockets = bind_sockets(0, "127.0.0.1", socket.AF_INET)
        options = {"status": status, "body": body}
        server = HTTPServer(
            Application([("/.*", BadHandler, options)], log_function=lambda _: None)
        )
        server.add_sockets(sockets)
        await scenario(Store(["{}:{}".format(*sockets[0].getsockname())]))
        server.stop()

    asyncio.run(asyncio.wait_for(serve(), TIMEOUT_SECONDS))


class TestBadAnswers:
    @pytest.mark.parametrize(("status", "body"), BAD_ANSWERS)
    def test_write_is_left_open(self, status, body):
        """Guards against tracebacks, and writes that are reported as failed.

        The write is sent, and a malformed answer or that of another server arrives.
        Such an answer must be handled like a lost one.
        """

        async def scenario(store):
            outcome = await store.compare_and_swap("/key", 0, b"x")
            assert isinstance(outcome, AnswerLost)
            settled = await store.settle("/key", 0, lambda value: False)
            assert isinstance(settled, AnswerLost)

        run(status, body, scenario)

    @pytest.mark.parametrize(("status", "body"), BAD_ANSWERS)
    def test_read_fails_with_a_code(self, status, body):
        async def scenario(store):
            for read in (store.snapshot("/"), store.get("/"), store.get_many("/")):
                with pytest.raises(StoreError) as caught:
                    await read
                assert caught.value.code is Code.STORE_DOWN

        run(status, body, scenario)

    @pytest.mark.parametrize(("status", "body"), BAD_ANSWERS)
    def test_lease_is_not_considered_expired(self, status, body):
        async def scenario(store):
            for call in (store.keep_alive(7), store.grant(7)):
                with pytest.raises(StoreError):
                    await call

        run(status, body, scenario)

    @pytest.mark.parametrize(("status", "body"), BAD_ANSWERS)
    def test_watch_goes_on(self, status, body):
        async def scenario(store):
            watch = store.watch("/", 1, silence=0.05)
            pending = asyncio.ensure_future(anext(watch))
            while store.calls_by_kind["range"] < 3:
                await asyncio.sleep(0.01)
                assert not pending.done()
            pending.cancel()
            await asyncio.wait([pending])

        run(status, body, scenario)

    def test_refusal_is_certain_and_says_why(self):
        body = json.dumps({"error": "etcdserver: request is too large"}).encode()

        async def scenario(store):
            outcome = await store.put("/key", b"x")
            assert isinstance(outcome, NotWritten)
            assert "too large" in outcome.failure.reason

        run(400, body, scenario)


class TestAddresses:
    def test_a_call_needs_no_thread(self):
        """Guards against timeouts of calls to a healthy endpoint.

        Other work occupies all threads of the loop when the call starts. The endpoint's
        IP address must not be resolved in one of these threads.
        """
        answer = b'{"header": {"revision": "3"}, "kvs": []}'
        free = threading.Event()

        async def scenario(store):
            loop = asyncio.get_running_loop()
            threads = concurrent.futures.ThreadPoolExecutor(max_workers=1)
            loop.set_default_executor(threads)
            held = loop.run_in_executor(None, free.wait)
            try:
                assert await store.get("k") is None
            finally:
                free.set()
                await held

        run(200, answer, scenario)

    def test_an_unknown_name_is_an_error(self):
        async def scenario(store):
            store._gateway._endpoints = ["http://nowhere.invalid:1"]
            with pytest.raises(StoreError):
                await store.get("k")

        run(200, b"{}", scenario)
