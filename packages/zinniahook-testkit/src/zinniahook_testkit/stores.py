"""Stand-in for the platform's key-value service (etcd v3, JSON over HTTP).

Run ``python -m zinniahook_testkit.stores``. When ready it prints
``{"ready": {"address": ..., "admin": ...}}``. The admin address takes::

    POST /faults    any fields of `StoreFaults`; the others stay unchanged
    POST /compact   discard all revisions but the current one
    POST /reset     reset the counts of calls
    GET  /state     counts of calls by kind, faults, revision, open watches

`start` runs it as a process for tests.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import defopt
import tornado.iostream
import tornado.web
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from . import processes, standins
from .etcd import compare_of, event_of, put_of, span_of, stored, written_keys
from .keyspaces import CompactedError, Event, Keyspace, within

__all__ = ["StoreFaults", "StoreProcess", "main", "start"]

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_TXN_OPERATIONS = 128
EXPIRY_INTERVAL_SECONDS = 0.1

COMPACTED = "etcdserver: mvcc: required revision has been compacted"


class StoreFaults(NamedTuple):
    """The injected faults of the stand-in.

    Attributes
    ----------
    outage : str
        ``"refuse"`` closes every connection and refuses new ones; ``"hang"``
        accepts calls but neither runs nor answers them; empty for none.
    delay : float
        Delay of each call and each message of a watch, in seconds.
    lose : int
        How many of the next writes take effect but lose their answer.
    lose_prefix : str
        Only answers of writes to keys with this prefix are lost.
    late : float
        Seconds after which a write whose answer was lost takes effect.
    silent : bool
        Watches that are open when this is set, or opened while it is set, send
        nothing for good.
    """

    outage: str = ""
    delay: float = 0.0
    lose: int = 0
    lose_prefix: str = ""
    late: float = 0.0
    silent: bool = False


class Server:
    """The key-value service with its faults and counts of calls."""

    def __init__(self, host: str, port: int) -> None:
        self.keyspace = Keyspace()
        self.keyspace.on_change(self._publish)
        self.faults = StoreFaults()
        self.calls_by_kind: Counter[str] = Counter()
        self.watches: set[WatchHandler] = set()
        routes = [
            (r"/v3/kv/(range|put|txn|deleterange|compaction)", CallHandler),
            (r"/v3/lease/(grant|keepalive|revoke)", CallHandler),
            (r"/v3/watch", WatchHandler),
        ]
        self._application = tornado.web.Application(
            [(path, handler, {"server": self}) for path, handler in routes],
            log_function=lambda handler: None,
        )
        self._http: HTTPServer | None = None
        self.address = (host, port)
        self._listen()

    async def set_faults(self, faults: StoreFaults) -> None:
        """Set the faults and apply their effects."""
        before, self.faults = self.faults, faults
        if faults.silent:
            for watch in self.watches:
                watch.silent = True
        if faults.outage == "refuse":
            await self._refuse()
        elif before.outage == "refuse":
            self._listen()

    def should_lose_answer(self, keys: Iterable[bytes]) -> bool:
        """Return whether to lose the answer of a write to these keys."""
        prefix = self.faults.lose_prefix.encode()
        if not self.faults.lose or not any(key.startswith(prefix) for key in keys):
            return False
        self.faults = self.faults._replace(lose=self.faults.lose - 1)
        return True

    async def expire(self) -> None:
        """Remove expired leases periodically, until cancelled."""
        while True:
            self.keyspace.expire(time.monotonic())
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)

    def _listen(self) -> None:
        host, port = self.address
        sockets = bind_sockets(port, host, socket.AF_INET)
        self.address = sockets[0].getsockname()[:2]
        self._http = HTTPServer(self._application, max_body_size=MAX_BODY_BYTES)
        self._http.add_sockets(sockets)

    async def _refuse(self) -> None:
        if self._http is not None:
            server, self._http = self._http, None
            server.stop()
            await server.close_all_connections()

    def _publish(self, events: Sequence[Event]) -> None:
        for watch in list(self.watches):
            watch.publish(events)


class CallHandler(tornado.web.RequestHandler):
    """Handles every call with a single answer."""

    def initialize(self, server: Server) -> None:
        """Take the server."""
        self.server = server

    async def post(self, kind: str) -> None:
        """Run one call."""
        server = self.server
        server.calls_by_kind[kind] += 1
        body = json.loads(self.request.body)
        await asyncio.sleep(server.faults.delay)
        if server.faults.outage:
            await self._hang()
            return
        if kind in ("put", "txn", "deleterange") and server.should_lose_answer(
            written_keys(body)
        ):
            if server.faults.late:
                loop = asyncio.get_running_loop()
                loop.call_later(server.faults.late, self._run, kind, body)
            else:
                self._run(kind, body)
            self._drop()
            return
        status, answer = self._run(kind, body)
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            self.set_status(status)
            await self.finish(answer)

    def _run(self, kind: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        try:
            return 200, getattr(self, f"_{kind}")(body)
        except CompactedError:
            return 400, {"error": COMPACTED, "code": 11, "message": COMPACTED}
        except ValueError as error:
            return 400, {"error": str(error), "code": 3, "message": str(error)}

    async def _hang(self) -> None:
        while self.server.faults.outage == "hang":
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
        self._drop()

    def _drop(self) -> None:
        self._auto_finish = False
        self.request.connection.stream.close()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        return {"header": {"revision": str(self.server.keyspace.revision)}, **fields}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        keyspace = self.server.keyspace
        start, end = span_of(body)
        found = keyspace.read(start, end, int(body.get("revision", 0)))
        count = len(found)
        least = int(body.get("min_mod_revision", 0))
        found = [pair for pair in found if pair[1].revision >= least]
        if body.get("sort_target") == "MOD":
            found.sort(key=lambda pair: pair[1].revision)
        if body.get("sort_order") == "DESCEND":
            found.reverse()
        limit = int(body.get("limit", 0)) or len(found)
        answer = self._answer(
            kvs=[
                stored(key, version, with_value=not body.get("keys_only"))
                for key, version in found[:limit]
            ],
            count=str(count),
        )
        if len(found) > limit:
            answer["more"] = True
        return answer

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        self.server.keyspace.write([put_of(body)])
        return self._answer()

    def _deleterange(self, body: dict[str, Any]) -> dict[str, Any]:
        deleted = self.server.keyspace.write(deletes=[span_of(body)])
        return self._answer(deleted=str(deleted))

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        keyspace = self.server.keyspace
        compares = [compare_of(item) for item in body.get("compare", ())]
        succeeded = all(keyspace.holds(compare) for compare in compares)
        operations = body.get("success" if succeeded else "failure", ())
        if max(len(compares), len(operations)) > MAX_TXN_OPERATIONS:
            raise ValueError("etcdserver: too many operations in txn request")
        puts = [
            put_of(item["request_put"]) for item in operations if "request_put" in item
        ]
        if len({key for key, _, _ in puts}) < len(puts):
            raise ValueError("etcdserver: duplicate key given in txn request")
        deletes = [
            span_of(item["request_delete_range"])
            for item in operations
            if "request_delete_range" in item
        ]
        keyspace.write(puts, deletes)
        responses = [self._operation(item) for item in operations]
        answer = self._answer(responses=responses)
        if succeeded:
            answer["succeeded"] = True
        return answer

    def _operation(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        if "request_put" in operation:
            return {"response_put": self._answer()}
        return {"response_delete_range": self._answer()}

    def _compaction(self, body: dict[str, Any]) -> dict[str, Any]:
        self.server.keyspace.compact(int(body["revision"]))
        return self._answer()

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.server.keyspace.grant(int(body["TTL"]), time.monotonic())
        return self._answer(ID=str(lease.number), TTL=str(lease.seconds))

    def _keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        number = int(body["ID"])
        left = self.server.keyspace.keep_alive(number, time.monotonic())
        result = self._answer(ID=str(number))
        if left:
            result["TTL"] = str(left)
        return {"result": result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self.server.keyspace.revoke(int(body["ID"]))
        return self._answer()


class WatchHandler(tornado.web.RequestHandler):
    """Handles one open watch."""

    def initialize(self, server: Server) -> None:
        """Take the server."""
        self.server = server
        self.silent = server.faults.silent
        self._messages: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        self._range = b"", b""

    async def post(self) -> None:
        """Send events until either side ends the watch."""
        server = self.server
        server.calls_by_kind["watch"] += 1
        create = json.loads(self.request.body)["create_request"]
        self._range = span_of(create)
        first = int(create.get("start_revision", 0)) or server.keyspace.revision + 1
        self._send(created=True)
        try:
            past = server.keyspace.since(first, *self._range)
        except CompactedError:
            compacted = str(server.keyspace.compacted)
            self._send(canceled=True, compact_revision=compacted)
            self._messages.put_nowait(None)
        else:
            if past:
                self._send(events=[event_of(event) for event in past])
            server.watches.add(self)
        try:
            await self._write_messages()
        finally:
            server.watches.discard(self)

    def publish(self, events: Sequence[Event]) -> None:
        """Queue the events of watched keys."""
        watched = [event for event in events if within(event.key, *self._range)]
        if watched:
            self._send(events=[event_of(event) for event in watched])

    def on_connection_close(self) -> None:
        """End the watch."""
        self._messages.put_nowait(None)

    def _send(self, **fields: Any) -> None:
        header = {"revision": str(self.server.keyspace.revision)}
        self._messages.put_nowait({"result": {"header": header, **fields}})

    async def _write_messages(self) -> None:
        while (message := await self._messages.get()) is not None:
            await asyncio.sleep(self.server.faults.delay)
            if self.silent or self.server.faults.outage:
                continue
            with contextlib.suppress(tornado.iostream.StreamClosedError):
                self.write(json.dumps(message) + "\n")
                await self.flush()


class AdminHandler(tornado.web.RequestHandler):
    """Serves the admin address."""

    def initialize(self, server: Server) -> None:
        """Take the server."""
        self.server = server

    def get(self, action: str) -> None:
        """Return the state."""
        server = self.server
        self.finish(
            {
                "calls": dict(server.calls_by_kind),
                "faults": server.faults._asdict(),
                "revision": server.keyspace.revision,
                "compacted": server.keyspace.compacted,
                "watches": len(server.watches),
            }
        )

    async def post(self, action: str) -> None:
        """Change the faults, compact or reset."""
        server = self.server
        if action == "faults":
            try:
                faults = server.faults._replace(**json.loads(self.request.body))
            except ValueError as error:
                raise tornado.web.HTTPError(400, str(error)) from None
            await server.set_faults(faults)
        elif action == "compact":
            server.keyspace.compact(server.keyspace.revision)
        elif action == "reset":
            server.calls_by_kind.clear()
        self.get(action)


class StoreProcess(processes.StandIn):
    """A process of the stand-in, controlled by tests."""

    def __init__(self, process: processes.Process) -> None:
        super().__init__(process)
        self.address: str = process.ready["address"]

    def set_faults(self, **fields: Any) -> None:
        """Change some fields of `StoreFaults`."""
        self.post("faults", **fields)

    def compact(self) -> None:
        """Discard all revisions but the current one."""
        self.post("compact")

    def reset(self) -> None:
        """Reset the counts of calls."""
        self.post("reset")


def start() -> StoreProcess:
    """Run the stand-in as a process of its own."""
    return StoreProcess(processes.start("zinniahook_testkit.stores"))


async def serve(host: str, port: int) -> None:
    """Serve until SIGTERM."""
    server = Server(host, port)
    routes = [(r"/(faults|compact|reset|state)", AdminHandler, {"server": server})]
    expiring = asyncio.ensure_future(server.expire())
    await standins.serve(routes, host, address="{}:{}".format(*server.address))
    expiring.cancel()


def main(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Run the stand-in of the platform's key-value service.

    Parameters
    ----------
    host : str
        Loopback address to listen on.
    port : int
        Port of the service; 0 lets the system choose.
    """
    asyncio.run(serve(host, port))


if __name__ == "__main__":
    defopt.run(main)
