"""Stand-ins for the platform around entries and agents, on loopback.

The store, the endpoints, the clients and the routers behave as the platform's pages
say. They need the standard library only. Entries and agents run as separate processes
with the commands of the deploy file, and are restarted when they exit.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

__all__ = [
    "Client",
    "Deployment",
    "Endpoint",
    "Record",
    "Route",
    "Store",
    "call",
    "run_case",
]

ROOT = Path(__file__).resolve().parent.parent
HEAD = struct.Struct("<III4sHH4sBBIH")
SYN, ACK, FIN, RST, BOUNCED = 16, 128, 1, 64, 4
FLAGS_OFFSET = 24
PAD_OFFSET = 25
SUM_KEY = os.urandom(8)
SPAN = 1 << 32
MAX_DATA_BYTES = 1200
MAX_IN_FLIGHT = 16
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
MAX_ENDPOINT_RETRIES = 8
SYN_COPY_SECONDS = (0.2, 0.6)
OPEN_TIMEOUT_SECONDS = 1.4
RESET_WINDOW_BYTES = 76_800
HEARTBEAT_SECONDS = 1.2
CALL_TIMEOUT_SECONDS = 1.0
READY_POLL_SECONDS = 0.5
RESTART_DELAY_SECONDS = 0.7
STORE_DELAY_SECONDS = 0.004
PAGE_ITEMS = 500
FLOW_TTL_SECONDS = 60.0
START_TIMEOUT_SECONDS = 30.0
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2

BOUNDS = """seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_ms = 250
outer_ms = 12000
recovery_s = 12
reorder_ms = 2000
flow_ttl_s = 60
"""


class Record:
    """The record of a case: what was sent, answered and run.

    Parameters
    ----------
    path : Path
        File that the lines are written to.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write a line: seconds since the start, an event and its fields."""
        at = time.monotonic() - self._begun
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# Packets


class FlowKey(NamedTuple):
    """The ends of a flow."""

    client: str
    port: int
    host: str
    host_port: int

    def __str__(self) -> str:
        """Return the ends as text."""
        return f"{self.client}:{self.port}>{self.host}:{self.host_port}"


class Packet(NamedTuple):
    """A decoded packet; ``genuine`` is whether its checksum is right."""

    key: FlowKey
    flags: int
    seq: int
    ack: int
    data: bytes
    genuine: bool
    is_system_reset: bool


def _checksum(raw: bytes) -> int:
    """Return the keyed sum over all fields except echo, pad and BOUNCED."""
    flags = raw[FLAGS_OFFSET] & ~BOUNCED
    covered = raw[4:FLAGS_OFFSET] + bytes((flags,)) + raw[30:]
    return zlib.crc32(covered, zlib.crc32(SUM_KEY)) or 1


def encode(
    key: FlowKey, flags: int, seq: int, ack: int, data: bytes = b"", to_client=False
) -> bytes:
    """Return a packet of a client, or of an endpoint to a client."""
    ends = [(key.client, key.port), (key.host, key.host_port)]
    sender, receiver = reversed(ends) if to_client else ends
    raw = HEAD.pack(
        0,
        seq % SPAN,
        ack % SPAN,
        socket.inet_aton(receiver[0])[::-1],
        sender[1],
        receiver[1],
        socket.inet_aton(sender[0])[::-1],
        flags,
        0,
        0,
        len(data),
    )
    raw += data
    return struct.pack("<I", _checksum(raw)) + raw[4:]


def decode(raw: bytes, to_client: bool) -> Packet:
    """Decode a packet."""
    total, seq, ack, dst, sport, dport, src, flags, _, _, length = HEAD.unpack_from(raw)
    receiver = (socket.inet_ntoa(dst[::-1]), dport)
    sender = (socket.inet_ntoa(src[::-1]), sport)
    client, host = (receiver, sender) if to_client else (sender, receiver)
    data = raw[HEAD.size :]
    genuine = total == _checksum(raw) and len(data) == length
    is_reset = total == 0 and flags == RST and not data and to_client
    return Packet(FlowKey(*client, *host), flags, seq, ack, data, genuine, is_reset)


# One end of a flow


class End:
    """The sending and receiving half of one end of a flow.

    Parameters
    ----------
    send : callable
        Sends a packet, given flags, sequence number, acknowledgement and data.
    max_retries : int or None
        Retransmissions after which the end gives up, None if it doesn't.
    """

    def __init__(
        self,
        send: Callable[[int, int, int, bytes], None],
        isn: int,
        peer_isn: int,
        max_retries: int | None,
    ) -> None:
        self._send = send
        self._max_retries = max_retries
        self.next_seq = (isn + 1) % SPAN
        self.expected = (peer_isn + 1) % SPAN
        self.acknowledged = self.next_seq
        self._unacknowledged: list[tuple[int, int, bytes]] = []
        self._queue: list[tuple[int, bytes]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._retries = 0
        self._since_ack = 0
        self.peer_closed = False
        self.closed = False
        self.dead = False

    def write(self, data: bytes) -> None:
        """Send data in packets."""
        for at in range(0, len(data), MAX_DATA_BYTES):
            self._queue.append((ACK, data[at : at + MAX_DATA_BYTES]))
        self._flush()

    def close(self) -> None:
        """Send the closing packet."""
        if not self.closed:
            self.closed = True
            self._queue.append((ACK | FIN, b""))
            self._flush()

    def stop(self) -> None:
        """Stop all timers."""
        self.dead = True
        if self._timer is not None:
            self._timer.cancel()

    def _flush(self) -> None:
        while self._queue and len(self._unacknowledged) < MAX_IN_FLIGHT:
            flags, data = self._queue.pop(0)
            self._unacknowledged.append((self.next_seq, flags, data))
            self._transmit(self.next_seq, flags, data)
            self.next_seq = (self.next_seq + len(data) + bool(flags & FIN)) % SPAN
        if self._unacknowledged and self._timer is None:
            self._schedule()

    def _transmit(self, seq: int, flags: int, data: bytes) -> None:
        self._since_ack = 0
        self._send(flags, seq, self.expected, data)

    def _schedule(self) -> None:
        pause = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2**self._retries)
        self._timer = asyncio.get_running_loop().call_later(pause, self._retry)

    def _retry(self) -> None:
        self._timer = None
        if self.dead or not self._unacknowledged:
            return
        if self._max_retries is not None and self._retries >= self._max_retries:
            self.dead = True
            return
        self._retries += 1
        self._transmit(*self._unacknowledged[0])
        self._schedule()

    def acknowledge(self) -> None:
        """Send a bare acknowledgement."""
        self._since_ack = 0
        self._send(ACK, self.next_seq, self.expected, b"")

    def receive(self, packet: Packet) -> bytes:
        """Take a packet; return its data if it is the next."""
        self._note_acknowledgement(packet.ack)
        occupied = len(packet.data) + bool(packet.flags & FIN)
        if not occupied:
            return b""
        if packet.seq != self.expected:
            self.acknowledge()
            return b""
        self.expected = (self.expected + occupied) % SPAN
        self._since_ack += 1
        if packet.flags & FIN:
            self.peer_closed = True
            self.acknowledge()
        elif self._since_ack >= 2:
            self.acknowledge()
        return packet.data

    def _note_acknowledgement(self, number: int) -> None:
        ahead = (number - self.acknowledged) % SPAN
        if not 0 < ahead < SPAN // 2:
            return
        self.acknowledged = number
        self._retries = 0
        self._unacknowledged = [
            (seq, flags, data)
            for seq, flags, data in self._unacknowledged
            if (seq + len(data) + bool(flags & FIN) - number) % SPAN < SPAN // 2
            and (seq + len(data) + bool(flags & FIN)) % SPAN != number
        ]
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._flush()

    @property
    def is_done(self) -> bool:
        """Whether both ends have closed and everything is acknowledged."""
        return self.closed and self.peer_closed and not self._unacknowledged


class HttpReader:
    """Splits a stream into HTTP/1.1 messages with a Content-Length."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[tuple[list[str], dict[str, str], bytes]]:
        """Return the complete messages: first line, headers and body."""
        self._buffer += data
        found = []
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            lines = self._buffer[:end].decode().split("\r\n")
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines[1:])
            }
            size = int(headers.get("content-length", 0))
            if len(self._buffer) < end + 4 + size:
                break
            body = self._buffer[end + 4 : end + 4 + size]
            self._buffer = self._buffer[end + 4 + size :]
            found.append((lines[0].split(" "), headers, body))
        return found


# HTTP


async def call(
    address: str, method: str, path: str, fields: Any = None, timeout: float = 1.0
) -> tuple[int, bytes] | None:
    """Make an HTTP call; return the status and the body, or None without an answer."""
    body = b"" if fields is None else json.dumps(fields).encode()
    host, _, port = address.rpartition(":")
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    if body:
        head += "Content-Type: application/json\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            raw = await reader.read()
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    top, _, rest = raw.partition(b"\r\n\r\n")
    parts = top.split(b" ", 2)
    return (int(parts[1]), rest) if len(parts) > 1 else None


Handler = Callable[[str, str, bytes], Awaitable[tuple[int, Any]]]


async def serve(
    host: str, port: int, handler: Handler, header: Callable[[], str] = str
) -> Any:
    """Serve HTTP/1.1 with persistent connections; return the server."""

    async def connection(reader, writer) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                top = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = top.strip().split("\r\n")
                method, path, _ = first.split(" ")
                size, close = 0, False
                for line in lines:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        size = int(value)
                    close |= name.lower() == "connection" and "close" in value.lower()
                body = await reader.readexactly(size) if size else b""
                status, fields = await handler(method, path, body)
                raw = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(raw)}\r\n"
                    f"Content-Type: application/json\r\n{header()}\r\n".encode()
                    + raw
                )
                await writer.drain()
                if close:
                    break
        writer.close()

    return await asyncio.start_server(connection, host, port)


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 10
        self.era = 1
        self.is_away = False
        self._record = record

    async def open(self, host: str, port: int) -> None:
        """Listen at an address."""
        self.server = await serve(
            host, port, self._handle, lambda: f"Store-Era: {self.era}\r\n"
        )

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        former = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": former["created"] if former else self.revision,
            "lease": 0,
        }
        return self.revision

    def copy(self) -> tuple[dict[str, dict[str, Any]], int]:
        """Return a copy of everything in the store, and its revision."""
        return dict(self.items), self.revision

    async def restore(
        self, copied: tuple[dict[str, dict[str, Any]], int], away_seconds: float
    ) -> None:
        """Be away for a moment and come back from a copy, with the next era."""
        self._record.write("store.away")
        self.is_away = True
        await asyncio.sleep(away_seconds)
        self.items, self.revision = dict(copied[0]), copied[1]
        self.era += 1
        self.is_away = False
        self._record.write("store.restored", era=self.era, revision=self.revision)

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration as the operator."""
        revision = self.put("op/config", json.dumps(document).encode())
        self._record.write(
            "operator.configuration", version=document["version"], revision=revision
        )

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        await asyncio.sleep(STORE_DELAY_SECONDS)
        if self.is_away:
            return 503, {}
        url = urlsplit(path)
        query = dict(parse_qsl(url.query))
        now = {"current_rev": self.revision}
        if (method, url.path) == ("GET", "/kv-key"):
            item = self.items.get(query["key"])
            return (200, {**item, **now}) if item else (404, now)
        if (method, url.path) == ("GET", "/kv-range"):
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "has_more": len(keys) > PAGE_ITEMS, **now}
        if (method, url.path) == ("POST", "/kv-txn"):
            return self._transact(json.loads(body))
        return 404, {}

    def _transact(self, change: dict[str, Any]) -> tuple[int, Any]:
        rows = change.get("precondition", [])
        current = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in current if item]}
        keys = [write["key"] for write in change.get("writes", [])]
        keys += change.get("deletes", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        self.revision += 1
        for write in change.get("writes", []):
            former = self.items.get(write["key"])
            self.items[write["key"]] = {
                "key": write["key"],
                "value": write["value"],
                "revision": self.revision,
                "created": former["created"] if former else self.revision,
                "lease": write.get("lease", 0),
            }
        for key in change.get("deletes", []):
            self.items.pop(key, None)
        return 200, {"revision": self.revision}


# Endpoints


@dataclass
class _Held:
    """A flow that an endpoint holds."""

    isn: int
    client_isn: int
    end: End
    reader: HttpReader = field(default_factory=HttpReader)
    is_open: bool = False


class Run(NamedTuple):
    """A request that an endpoint began to work on."""

    at: float
    request: str
    method: str
    path: str
    endpoint: str
    service: str
    key: FlowKey


class Endpoint:
    """An endpoint beside an agent.

    Parameters
    ----------
    deployment : Deployment
        The deployment that it belongs to.
    name, service, ip, zone : str
        Its id, its service, and where it runs.
    """

    def __init__(
        self, deployment: Deployment, name: str, service: str, ip: str, zone: str
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.service = service
        self.ip = ip
        self.zone = zone
        self.slots = 4
        self.work_seconds = 0.05
        self.flows: dict[FlowKey, _Held] = {}
        self.ended: set[FlowKey] = set()
        self.ran: list[Run] = []
        self.openings: list[tuple[float, FlowKey]] = []
        self.heartbeats = 0
        self.confirmed = 0
        self.born = round(time.time() * 1000)
        self.delay_seconds = 0.0
        self.first_heartbeat_after = 0.0
        self._busy = asyncio.Semaphore(self.slots)
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen, and start to send heartbeats."""
        fleet = self.deployment
        self._socket = fleet.bind(self.ip, fleet.app)
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._health = await serve(self.ip, fleet.app, self._healthy)
        self._start(self._send_heartbeats())

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _healthy(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        return 200, {}

    def heartbeat(self) -> dict[str, Any]:
        """Return the fields of its next heartbeat."""
        self.heartbeats += 1
        return {
            "service": self.service,
            "addr": f"{self.ip}:{self.deployment.app}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.heartbeats,
            "born": self.born,
        }

    async def _send_heartbeats(self) -> None:
        fleet = self.deployment
        control = f"{self.ip}:{fleet.control}"
        path = f"/instances/{self.name}/heartbeat"
        await asyncio.sleep(self.first_heartbeat_after)
        while True:
            fields = self.heartbeat()
            if self.delay_seconds:
                # Whoever crashes, the bytes that were sent arrive.
                fleet.deliver_late(self.delay_seconds, control, path, fields)
                answer = None
            else:
                answer = await call(control, "POST", path, fields, CALL_TIMEOUT_SECONDS)
            self.confirmed += answer is not None and answer[0] // 100 == 2
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def crash(self) -> None:
        """End at once, with all flows, and send nothing more."""
        self.deployment.record.write("endpoint.crashed", endpoint=self.name)
        for task in list(self._tasks):
            task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._health.close()
        for held in self.flows.values():
            held.end.stop()
        self.flows.clear()

    def _read(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                self._receive(self._socket.recv(4096))

    def _send(self, raw: bytes) -> None:
        with contextlib.suppress(OSError):
            self._socket.sendto(raw, (self.ip, self.deployment.outbound))

    def _receive(self, raw: bytes) -> None:
        packet = decode(raw, to_client=False)
        key = packet.key
        if not packet.genuine:
            self.deployment.note_forged(self.name, key)
            return
        if packet.flags & SYN:
            if packet.flags & ACK:
                self.deployment.note_forged(self.name, key)
                return
            self._take_opening(packet)
            return
        held = self.flows.get(key)
        if held is not None and not held.is_open:
            held.is_open = packet.ack == (held.isn + 1) % SPAN
        if held is None and key in self.ended:
            self._answer_ended(packet)
        elif held is None or not held.is_open:
            bounced = bytearray(raw)
            bounced[FLAGS_OFFSET] |= BOUNCED
            bounced[PAD_OFFSET] = 0
            self._send(bytes(bounced))
        else:
            self._take(key, held, packet)

    def _take_opening(self, packet: Packet) -> None:
        key = packet.key
        held = self.flows.get(key)
        if held is None or held.client_isn != packet.seq:
            isn = self.deployment.rng.randrange(SPAN)

            def send(flags: int, seq: int, ack: int, data: bytes) -> None:
                self._send(encode(key, flags, seq, ack, data, to_client=True))

            end = End(send, isn, packet.seq, MAX_ENDPOINT_RETRIES)
            held = self.flows[key] = _Held(isn, packet.seq, end)
            self.ended.discard(key)
            self.openings.append((time.monotonic(), key))
            self.deployment.note_opening(self, key)
        answer = encode(key, SYN | ACK, held.isn, packet.seq + 1, to_client=True)
        self._send(answer)

    def _answer_ended(self, packet: Packet) -> None:
        key = packet.key
        if packet.flags & FIN:
            self._send(encode(key, ACK, packet.ack, packet.seq + 1, to_client=True))
        elif packet.data:
            self._send(encode(key, RST, packet.ack, 0, to_client=True))

    def _take(self, key: FlowKey, held: _Held, packet: Packet) -> None:
        if packet.flags & RST:
            self._end(key, held)
            return
        data = held.end.receive(packet)
        for first, headers, body in held.reader.feed(data):
            self._start(self._run(key, held, first, headers, body))
        if held.end.peer_closed and not held.end.closed:
            held.end.close()
        if held.end.is_done:
            self._end(key, held)

    def _end(self, key: FlowKey, held: _Held) -> None:
        held.end.stop()
        if self.flows.get(key) is held:
            del self.flows[key]
            self.ended.add(key)

    async def _run(
        self,
        key: FlowKey,
        held: _Held,
        first: list[str],
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        async with self._busy:
            request = headers.get("request-id", "")
            run = Run(
                time.monotonic(), request, first[0], first[1], *self._named(), key
            )
            self.ran.append(run)
            self.deployment.note_run(run)
            await asyncio.sleep(self.work_seconds)
        answer = f"{self.service} {request} ".encode() * 20
        signature = hashlib.sha256(request.encode() + answer).hexdigest()
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n"
            f"Request-Id: {request}\r\nResponse-Signature: {signature}\r\n"
            f"Instance-Id: {self.name}\r\n\r\n"
        )
        held.end.write(head.encode() + answer)

    def _named(self) -> tuple[str, str]:
        return self.name, self.service


# Clients


class ClientFlow:
    """A flow of a client; ``state`` is opening, open, reset, failed or closed."""

    def __init__(self, deployment: Deployment, key: FlowKey) -> None:
        self._deployment = deployment
        self.key = key
        self.state = "opening"
        self.opened_at = 0.0
        self._isn = deployment.rng.randrange(SPAN)
        self._end: End | None = None
        self._reader = HttpReader()
        self._changed = asyncio.Event()
        self.answers: dict[str, tuple[int, dict[str, str], bytes]] = {}

    async def open(self) -> bool:
        """Send the opening and its copies; return whether the flow opened."""
        begun = time.monotonic()
        waits = [*SYN_COPY_SECONDS, OPEN_TIMEOUT_SECONDS]
        for copies, until in enumerate(waits):
            self._deployment.from_client(
                self.key, encode(self.key, SYN, self._isn, copies)
            )
            await self._wait(lambda: self.state != "opening", begun + until)
            if self.state != "opening":
                break
        if self.state == "opening":
            self.state = "failed"
        return self.state == "open"

    async def ask(self, request: str, method: str, path: str, timeout: float) -> bool:
        """Send a request; return whether it was answered in time."""
        if self._end is None or self.state != "open":
            return False
        body = b"x" * 400 if method == "POST" else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.key.host}\r\n"
            f"Request-Id: {request}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._end.write(head.encode() + body)
        await self._wait(
            lambda: request in self.answers or self.state != "open",
            time.monotonic() + timeout,
        )
        return request in self.answers

    async def close(self) -> None:
        """Close the flow."""
        if self._end is not None and self.state == "open":
            self._end.close()
            self.state = "closed"
            await asyncio.sleep(0.3)
        if self._end is not None:
            self._end.stop()

    async def _wait(self, condition: Callable[[], bool], until: float) -> None:
        while not condition():
            left = until - time.monotonic()
            if left <= 0:
                return
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def receive(self, packet: Packet) -> None:
        """Take a packet."""
        if packet.flags & RST:
            self._take_reset(packet)
        elif not packet.genuine:
            self._deployment.note_forged("client", self.key)
        elif packet.flags & SYN:
            self._take_opened(packet)
        elif self._end is not None:
            data = self._end.receive(packet)
            for first, headers, body in self._reader.feed(data):
                self.answers[headers["request-id"]] = (int(first[1]), headers, body)
        self._changed.set()

    def _take_opened(self, packet: Packet) -> None:
        if self.state != "opening":
            return

        def send(flags: int, seq: int, ack: int, data: bytes) -> None:
            self._deployment.from_client(
                self.key, encode(self.key, flags, seq, ack, data)
            )

        self._end = End(send, self._isn, packet.seq, None)
        self.state = "open"
        self.opened_at = time.monotonic()

    def _take_reset(self, packet: Packet) -> None:
        if self.state not in ("opening", "open"):
            return
        if self.state == "open" and self._end is not None:
            ahead = (packet.seq - self._end.expected) % SPAN
            if min(ahead, SPAN - ahead) > RESET_WINDOW_BYTES:
                return
        self._deployment.note_reset(self, packet)
        self.state = "reset"
        if self._end is not None:
            self._end.stop()


class Route(NamedTuple):
    """A route of the configuration, and what its clients do."""

    name: str
    service: str
    port: int
    kind: str
    method: str
    path: str
    is_long: bool


class Client:
    """A client that sends requests until it is stopped.

    Parameters
    ----------
    deployment : Deployment
        The deployment that it calls.
    route : Route
        What it asks for.
    pause : float
        Seconds between two requests.
    """

    def __init__(self, deployment: Deployment, route: Route, pause: float) -> None:
        self.deployment = deployment
        self.route = route
        self.pause = pause
        self.delay = 0.0
        self.flow_seconds = float("inf")
        self.asked = 0
        self.answered = 0
        self.flow: ClientFlow | None = None

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        rng = self.deployment.rng
        await asyncio.sleep(self.delay + self.pause * rng.random())
        while time.monotonic() < until:
            await self._ask()
            await asyncio.sleep(self.pause * (0.5 + rng.random()))
        if self.flow is not None:
            await self.flow.close()

    async def _ask(self) -> None:
        fleet, route = self.deployment, self.route
        if self.flow is None or self.flow.state != "open":
            self.flow = fleet.new_flow(route)
            await self.flow.open()
        request = fleet.next_request()
        flow = self.flow
        self.asked += 1
        fleet.record.write("sent", request=request, route=route.name, flow=flow.key)
        done = await flow.ask(request, route.method, route.path, 3.0)
        self.answered += done
        if done:
            status, headers, body = flow.answers[request]
            fleet.note_answer(route, request, status, headers, body)
        else:
            fleet.record.write("unanswered", request=request, flow_state=flow.state)
            await flow.close()
            self.flow = None
        age = time.monotonic() - flow.opened_at
        if self.flow is not None and not (route.is_long and age < self.flow_seconds):
            await flow.close()
            self.flow = None


# Deployment


class Deployment:
    """Entries, agents and what surrounds them.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    record : Record
        The record of the case.
    services : iterable of tuple
        Names of the services and their numbers of endpoints.
    routes : iterable of Route
        Routes of the first configuration.
    entries : int
        Number of entries.
    """

    def __init__(
        self,
        folder: Path,
        record: Record,
        services: Iterable[tuple[str, int]],
        routes: Iterable[Route],
        entries: int = 2,
    ) -> None:
        self.folder = folder
        self.record = record
        self.rng = random.Random()
        self.services = dict(services)
        self.routes = list(routes)
        self.store = Store(record)
        self.commands = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._choose_addresses(entries)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.exits: list[tuple[float, str, int]] = []
        self.endpoints: list[Endpoint] = []
        self.flows: dict[FlowKey, ClientFlow] = {}
        self.in_rotation: dict[str, int] = {}
        self.broken: list[str] = []
        # The services that any configuration allows, by the port of the route.
        self.allowed: dict[int, set[str]] = {}
        self.stopping = False
        # Resets before this time aren't judged.
        self.judged_from = float("-inf")
        self._ports = iter(range(20_000, 65_000))
        self._requests = 0
        self._tasks: list[asyncio.Task] = []

    def _choose_addresses(self, entries: int) -> None:
        """Choose a loopback network and ports that are free."""
        for _ in range(200):
            self.network = f"127.{self.rng.randrange(64, 224)}"
            base = self.rng.randrange(12_000, 28_000)
            self.datagrams, self.ready, self.control = base, base + 1, base + 2
            self.outbound, self.app, self.store_port = base + 3, base + 4, base + 5
            self.inner = base + 10
            self.entry_ips = [f"{self.network}.1.{n + 1}" for n in range(entries)]
            self.client_ip = f"{self.network}.2.1"
            self.host = f"{self.network}.8.1"
            self.store_ip = f"{self.network}.9.1"
            if self._are_free(range(base, base + 26)):
                return
        raise OSError("no free ports")

    def _are_free(self, ports: Iterable[int]) -> bool:
        try:
            for port in ports:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((self.entry_ips[0], port))
        except OSError:
            return False
        return True

    def bind(self, host: str, port: int) -> socket.socket:
        """Open a UDP socket."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        opened.bind((host, port))
        return opened

    def document(self, version: int, routes: Iterable[Route] = ()) -> dict[str, Any]:
        """Return a configuration."""
        used = list(routes) or self.routes
        for route in used:
            self.allowed.setdefault(route.port, set()).add(route.service)
        return {
            "version": version,
            "routes": [
                {
                    "name": route.name,
                    "host": self.host,
                    "prefix": f"/{route.port}/",
                    "kind": route.kind,
                    "timeout_ms": 3000,
                    "goal_ms": 400,
                    "priority": 1,
                    "service": route.service,
                    "attempts": 2,
                }
                for route in used
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in self.services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

    async def open(self) -> None:
        """Start everything and wait until it is ready."""
        await self.store.open(self.store_ip, self.store_port)
        self._client_socket = self.bind(self.client_ip, self.datagrams)
        asyncio.get_running_loop().add_reader(self._client_socket, self._read_client)
        number = 0
        for service, count in self.services.items():
            for _ in range(count):
                number += 1
                ip = f"{self.network}.3.{number}"
                zone = f"zone-{'abc'[number % 3]}"
                endpoint = Endpoint(self, f"i-{number:04x}", service, ip, zone)
                self.endpoints.append(endpoint)
                self._write_settings(ip, "agent", zone, service)
        for index, ip in enumerate(self.entry_ips):
            self._write_settings(ip, "entry", f"zone-{'abc'[index % 3]}")
        for ip in [*self.entry_ips, *(e.ip for e in self.endpoints)]:
            self._tasks.append(asyncio.ensure_future(self._supervise(ip)))
        for endpoint in self.endpoints:
            await endpoint.open()
        self._tasks.append(asyncio.ensure_future(self._poll_readiness()))
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while not self._is_ready():
            if time.monotonic() > until:
                raise TimeoutError("the deployment isn't ready")
            await asyncio.sleep(0.1)

    def _is_ready(self) -> bool:
        entries = all(self.in_rotation.get(ip, 9) == 0 for ip in self.entry_ips)
        return entries and all(e.confirmed for e in self.endpoints)

    def _role(self, ip: str) -> str:
        return "entry" if ip in self.entry_ips else "agent"

    def _write_settings(
        self, ip: str, role: str, zone: str, service="", seeds: Iterable[str] = ()
    ) -> None:
        hosts = seeds or self.entry_ips[:3]
        addresses = json.dumps([f"{host}:{self.control}" for host in hosts])
        machine = "edge" if role == "entry" else "side"
        serves = ["edge", "control_plane"] if role == "entry" else ["side"]
        lines = [
            f'node_name = "{machine}-{ip}"',
            f'role = "{role}"',
            f'machine_class = "{machine}"',
            f"serves = {json.dumps(serves)}",
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            'region = "region-a"',
            f"internal_ports = [{self.inner}, {self.inner + 15}]",
            f"seeds = {addresses}",
            "bootstrap = true",
            'discovery = "local"',
            'entry = "anycast"',
            f"heartbeat_ms = {round(HEARTBEAT_SECONDS * 1000)}",
            'contracts = ["base","drain","config","cost","recover","flows","platform"]',
            'hash = "mod"',
            'mode = "agent"',
        ]
        if service:
            lines += [f'service = "{service}"', f'app = "{ip}:{self.app}"']
        lines += ["[zones]"] + [f'zone-{name} = "region-a"' for name in "abc"]
        lines += [
            "[listen]",
            f'datagrams = "{ip}:{self.datagrams}"',
            f'ready = "{ip}:{self.ready}"',
            f'control = "{ip}:{self.control}"',
        ]
        if service:
            lines.append(f'outbound = "{ip}:{self.outbound}"')
        lines += [
            "[limits]\ncpu_quota = 0.6\ncores = 1\nmemory_mb = 300\nmax_fds = 4096",
            "[bounds]\n" + BOUNDS + "[platform]",
            f'addr = "{self.store_ip}:{self.store_port}"',
            'mode = "kv"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20',
            "value_bytes = 1048576\nttl_min_ms = 1000",
        ]
        (self.folder / f"{ip}.toml").write_text("\n".join(lines) + "\n")

    async def _supervise(self, ip: str) -> None:
        """Run a process, and restart it after a short delay when it exits."""
        command = self.commands["roles"][self._role(ip)]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "ZINNIAHOOK_BOOT": str(self.folder / f"{ip}.toml"),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        while not self.stopping:
            with (self.folder / f"{ip}.log").open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            self.processes[ip] = process
            code = await process.wait()
            if self.stopping:
                return
            self.exits.append((time.monotonic(), ip, code))
            self.record.write("process.exited", ip=ip, role=self._role(ip), code=code)
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    async def add(self, name: str, service: str, number: int, seeds: list[str]) -> None:
        """Add a machine with an endpoint and its agent, as an operator scales out."""
        ip, zone = f"{self.network}.3.{number}", f"zone-{'abc'[number % 3]}"
        endpoint = Endpoint(self, name, service, ip, zone)
        self.endpoints.append(endpoint)
        self._write_settings(ip, "agent", zone, service, seeds)
        self.record.write("machine.added", ip=ip, endpoint=name)
        self._tasks.append(asyncio.ensure_future(self._supervise(ip)))
        await endpoint.open()

    async def replace(
        self, former: Endpoint, name: str, delay: float, first_after: float = 0.0
    ) -> Endpoint:
        """Start another endpoint at the address of one that has crashed.

        ``delay`` is how late its heartbeats arrive, and ``first_after`` when it sends
        the first one, in seconds.
        """
        endpoint = Endpoint(self, name, former.service, former.ip, former.zone)
        endpoint.delay_seconds = delay
        endpoint.first_heartbeat_after = first_after
        self.endpoints.remove(former)
        self.endpoints.append(endpoint)
        self.record.write("endpoint.started", endpoint=name, ip=former.ip)
        await endpoint.open()
        return endpoint

    def deliver_late(self, delay: float, address: str, path: str, fields: Any) -> None:
        """Deliver a call whose bytes were held up by a cut."""

        async def deliver() -> None:
            self.record.write("heartbeat.held_up", path=path)
            await asyncio.sleep(delay)
            answer = await call(address, "POST", path, fields)
            self.record.write(
                "heartbeat.arrived_late", path=path, answer=answer and answer[0]
            )

        self._tasks.append(asyncio.ensure_future(deliver()))

    def stop_process(self, ip: str) -> None:
        """Ask a process to stop, as the platform does."""
        self.record.write("process.stopped", ip=ip, role=self._role(ip))
        self.processes[ip].terminate()

    async def _poll_readiness(self) -> None:
        """Poll the entries as the platform's routers do."""
        while True:
            await asyncio.gather(*(self._poll(ip) for ip in self.entry_ips))
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _poll(self, ip: str) -> None:
        answer = await call(f"{ip}:{self.ready}", "GET", "/readyz", timeout=0.4)
        good = answer is not None and answer[0] == 200
        self.in_rotation[ip] = 0 if good else self.in_rotation.get(ip, 1) + 1

    async def close(self) -> None:
        """Stop every task and process."""
        self.stopping = True
        for task in self._tasks:
            task.cancel()
        for endpoint in self.endpoints:
            for task in list(endpoint._tasks):
                task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()

    # Traffic

    def new_flow(self, route: Route) -> ClientFlow:
        """Return a new flow from a new port."""
        key = FlowKey(self.client_ip, next(self._ports), self.host, route.port)
        flow = self.flows[key] = ClientFlow(self, key)
        return flow

    def next_request(self) -> str:
        """Return a new request id."""
        self._requests += 1
        return f"q-{self._requests:05d}"

    def from_client(self, key: FlowKey, raw: bytes) -> None:
        """Send a client's packet to an entry, as the routers hash it (``mod``)."""
        ready = [ip for ip in self.entry_ips if self.in_rotation.get(ip, 9) < 2]
        ready = ready if 2 * len(ready) >= len(self.entry_ips) else self.entry_ips
        ip = ready[zlib.crc32(str(key).encode()) % len(ready)]
        with contextlib.suppress(OSError):
            self._client_socket.sendto(raw, (ip, self.datagrams))

    def _read_client(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                packet = decode(self._client_socket.recv(4096), to_client=True)
                flow = self.flows.get(packet.key)
                if flow is not None:
                    flow.receive(packet)

    # What is seen

    def note_opening(self, endpoint: Endpoint, key: FlowKey) -> None:
        """Record that an endpoint took an opening."""
        self.record.write(
            "opening.taken", endpoint=endpoint.name, service=endpoint.service, flow=key
        )

    def note_run(self, run: Run) -> None:
        """Record that a request runs, and check ROUTE."""
        self.record.write(
            "run",
            request=run.request,
            asks=f"{run.method} {run.path}",
            endpoint=run.endpoint,
            service=run.service,
        )
        allowed = self.allowed[run.key.host_port]
        if run.service not in allowed:
            self._break(
                f"ROUTE: {run.request} ({run.method} {run.path}) is for "
                f"{'/'.join(sorted(allowed))} and was run by {run.endpoint} of "
                f"{run.service}"
            )

    def note_answer(
        self,
        route: Route,
        request: str,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Record an answer."""
        self.record.write(
            "answered", request=request, status=status, by=headers.get("instance-id")
        )

    def note_reset(self, flow: ClientFlow, packet: Packet) -> None:
        """Record a reset that a client accepted, and check FLOW."""
        holders = [
            endpoint.name
            for endpoint in self.endpoints
            if (held := endpoint.flows.get(flow.key)) is not None and held.is_open
        ]
        by = "system" if packet.is_system_reset else "endpoint"
        self.record.write("reset", flow=flow.key, by=by, held_by=",".join(holders))
        now = time.monotonic()
        is_judged = now >= self.judged_from and now - flow.opened_at < FLOW_TTL_SECONDS
        if by == "system" and flow.state == "open" and holders and is_judged:
            self._break(f"FLOW: {flow.key} was reset while {holders[0]} holds it")

    def note_forged(self, where: str, key: FlowKey) -> None:
        """Record a packet that its sender didn't write so."""
        self._break(f"UNASKED or MIXED: {where} got a changed packet of {key}")

    def is_broken(self, rule: str) -> bool:
        """Return whether a rule was broken."""
        return any(text.startswith(rule) for text in self.broken)

    def _break(self, text: str) -> None:
        self.broken.append(text)
        self.record.write("BROKEN " + text)


def run_case(case: Callable[[Path, Record, bool], Awaitable[int]], path: Path) -> None:
    """Run a case, write its record, and exit with its status.

    ``TROUBLE=0`` leaves the disruption out. ``KEEP`` may name a folder that keeps the
    settings and logs of the processes.
    """
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        folder = Path(os.environ.get("KEEP") or name)
        try:
            status = asyncio.run(case(folder, record, trouble))
        except (OSError, TimeoutError) as error:
            record.write("not run", error=repr(error))
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
    record.close()
    sys.exit(status)
