"""Requests relayed to a peer over real gRPC."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace

import pytest
from grpclib.server import Server
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.models import Address
from zinniahook_daemon.certificates import Certificates
from zinniahook_daemon.exchanges import Exchange, Head
from zinniahook_daemon.relays import (
    HIGH_WATER_BYTES,
    RelayedExchange,
    Relays,
    serve_relay,
)
from zinniahook_testkit.certificates import Authority
from zinniahook_wire.control_grpc import ControlBase

TIMEOUT_SECONDS = 20.0
LARGE = 8 * 1024 * 1024

Work = Callable[[RelayedExchange], Awaitable[None]]


class Caller(Exchange):
    """A caller's exchange at the relaying agent; ``gate`` pauses its answer."""

    def __init__(self, method: str = "POST") -> None:
        now = asyncio.get_running_loop().time()
        head = Head(method, "/tickets", ((b"idempotency-key", b"k"), (b"x", b"y")))
        super().__init__(head, "ticket", now)
        self.sent = 0
        self.was_reset = False
        self.gate = asyncio.Event()
        self.gate.set()

    def send_head(self, status, headers) -> None:
        self.answer_headers = dict(headers)

    def send_piece(self, data: bytes) -> asyncio.Future | None:
        self.sent += len(data)
        if self.gate.is_set():
            return None
        return asyncio.ensure_future(self.gate.wait())

    def send_end(self) -> None:
        pass

    def send_reset(self) -> None:
        self.was_reset = True

    def body_taken(self, size: int) -> None:
        pass


class Peer(ControlBase):
    """The agent that requests are relayed to; ``work`` runs each of them."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.exchanges: list[RelayedExchange] = []
        self.tasks: set[asyncio.Task] = set()
        self.cancelled = asyncio.Event()

    def arrived(self, exchange: RelayedExchange) -> None:
        self.exchanges.append(exchange)
        task = asyncio.ensure_future(self.work(exchange))
        self.tasks.add(task)

    async def Relay(self, stream) -> None:  # noqa: N802
        await serve_relay(stream, self.arrived, lambda _: self.cancelled.set())

    async def Subscribe(self, stream) -> None:  # noqa: N802
        raise NotImplementedError

    Status = Drain = Subscribe


@pytest.fixture
def certificates(tmp_path) -> Certificates:
    return Certificates(SimpleNamespace(**Authority(tmp_path).issue("d")._asdict()))


@pytest.fixture
def run(certificates):
    @contextlib.asynccontextmanager
    async def serve(work: Work) -> AsyncIterator[tuple]:
        peer = Peer(work)
        server = Server([peer])
        await server.start("127.0.0.1", 0, ssl=certificates.server)
        address = Address(*server._server.sockets[0].getsockname())
        relays = Relays(certificates.client, "tally-1", "tally")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            yield peer, relays, address
        relays.close()
        server.close()
        await server.wait_closed()

    def run(work: Work, scenario) -> None:
        async def main() -> None:
            async with serve(work) as (peer, relays, address):
                await scenario(peer, relays, address)

        asyncio.run(main())

    return run


async def echo(exchange: RelayedExchange) -> None:
    size = 0
    async for piece in exchange.body:
        size += len(piece)
    exchange.begin(201, ((b"size", b"%d" % size),))
    exchange.write(b"done")
    exchange.finish()


async def send_large_answer(exchange: RelayedExchange) -> None:
    exchange.begin(200, ())
    for _ in range(0, LARGE, 65536):
        drained = exchange.write(bytes(65536))
        if drained is not None:
            await drained
    exchange.finish()


async def refuse(exchange: RelayedExchange) -> None:
    exchange.refuse(Outcome(OutcomeKind.NOT_RUN, Code.QUEUE_FULL, 0.5))


async def stall(exchange: RelayedExchange) -> None:
    exchange.begin(200, ())
    await asyncio.Event().wait()


class TestRelay:
    def test_whole(self, run):
        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            caller = Caller()
            for _ in range(20):
                caller.body.feed(bytes(65536))
            caller.body.feed(b"", end=True)
            result = await relays.run(caller, address)
            assert result.outcome.kind is OutcomeKind.DONE
            assert caller.status == 201
            assert caller.answer_headers == {b"size": b"%d" % (20 * 65536)}
            assert caller.finished
            (exchange,) = peer.exchanges
            assert exchange.head == caller.head
            assert (exchange.key, exchange.kind) == (b"k", "ticket")
            assert exchange.relayed_by == "tally-1"

        run(echo, scenario)

    def test_a_refusal_is_left_to_the_relaying_agent(self, run):
        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            caller = Caller()
            caller.body.feed(b"", end=True)
            result = await relays.run(caller, address)
            outcome = Outcome(OutcomeKind.NOT_RUN, Code.QUEUE_FULL, 0.5)
            assert result == (outcome, False)
            assert not caller.status
            assert not caller.finished

        run(refuse, scenario)

    def test_a_slow_caller_stops_the_peer(self, run):
        """Guards against an agent that buffers a whole relayed answer.

        The peer's target writes as fast as it can, and the caller reads one piece and
        pauses. Neither of the two agents may read ahead without bound.
        """

        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            caller = Caller("GET")
            caller.body.feed(b"", end=True)
            caller.gate.clear()
            task = asyncio.ensure_future(relays.run(caller, address))
            while not peer.exchanges or peer.exchanges[0]._waiting < HIGH_WATER_BYTES:
                assert not peer.tasks or not all(t.done() for t in peer.tasks)
                await asyncio.sleep(0)
            assert caller.sent < LARGE // 4
            caller.gate.set()
            assert (await task).outcome.kind is OutcomeKind.DONE
            assert caller.sent == LARGE

        run(send_large_answer, scenario)


class TestBrokenRelay:
    def test_before_it_began(self, run):
        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            caller = Caller()
            caller.body.feed(b"", end=True)
            result = await relays.run(caller, Address("127.0.0.1", 1))
            assert result.outcome.kind is OutcomeKind.NOT_RUN
            assert not result.started

        run(echo, scenario)

    def test_after_it_began(self, run):
        """Guards against a ticket that runs twice.

        The head is relayed, and the peer's answer breaks off as the peer dies. A
        broken relay doesn't show what the peer did, so it isn't "not run".
        """

        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            async def end(exchange: RelayedExchange) -> None:
                exchange.begin(200, ())
                exchange.fail()

            peer.work = end
            caller = Caller()
            caller.body.feed(b"", end=True)
            result = await relays.run(caller, address)
            assert result.outcome.kind is OutcomeKind.UNKNOWN
            assert result.started
            assert caller.was_reset

        run(echo, scenario)

    def test_a_peer_that_was_marked_down(self, run):
        """Guards against a caller that waits for good.

        During a relay the peer's machine disappears without closing its connections,
        and other agents mark it down. TCP alone detects this after many minutes.
        """

        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            caller = Caller("GET")
            caller.body.feed(b"", end=True)
            task = asyncio.ensure_future(relays.run(caller, address))
            while not caller.status:
                await asyncio.sleep(0)
            relays.keep({address})
            assert not task.done()
            relays.keep(set())
            result = await task
            assert result.outcome.code is Code.ANSWER_LOST
            assert result.started
            assert caller.was_reset

        run(stall, scenario)

    def test_a_cancelled_one_ends_at_the_peer(self, run):
        async def scenario(peer: Peer, relays: Relays, address: Address) -> None:
            caller = Caller("GET")
            caller.body.feed(b"", end=True)
            task = asyncio.ensure_future(relays.run(caller, address))
            while not caller.status:
                await asyncio.sleep(0)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            await asyncio.wait_for(peer.cancelled.wait(), TIMEOUT_SECONDS)

        run(stall, scenario)
