"""Relaying of requests from one agent to a peer, over gRPC with mutual TLS."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.models import Address
from zinniahook_wire.control_grpc import ControlStub
from zinniahook_wire.control_pb2 import (
    Header,
    RelayAnswer,
    RelayEnd,
    RelayFrame,
    RelayHead,
)

from .exchanges import BodyAborted, Exchange, Head, Headers
from .targets import DONE, Result

__all__ = ["RelayedExchange", "Relays", "serve_relay"]

HIGH_WATER_BYTES = 256 * 1024
"""Queued bytes of an answer at which its source has to pause."""

STREAM_WINDOW_BYTES = 256 * 1024
"""Unread bytes that a peer may send on one relayed request."""

CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024

RETRY_AFTER_SECONDS = 0.2

BROKEN = (OSError, GRPCError, StreamTerminatedError, asyncio.TimeoutError)

CONFIGURATION = Configuration(
    http2_stream_window_size=STREAM_WINDOW_BYTES,
    http2_connection_window_size=CONNECTION_WINDOW_BYTES,
)


class Relays:
    """The client side: relays requests to peers.

    Parameters
    ----------
    context : ssl.SSLContext
        Authenticates both sides.
    name, service : str
        Names of this agent and its service.
    """

    def __init__(self, context: ssl.SSLContext, name: str, service: str) -> None:
        self._context = context
        self._name = name
        self._service = service
        self._channels_by_address: dict[Address, Channel] = {}
        self._loop = asyncio.get_running_loop()

    async def run(self, exchange: Exchange, peer: Address) -> Result:
        """Relay a request to a peer and stream its answer back.

        Cancelling the task that awaits this cancels the request at the peer.
        """
        stub = ControlStub(self._channel(peer))
        sender = None
        result = None
        try:
            async with stub.Relay.open() as stream:
                # Until this returns, no part of the request was sent.
                await stream.send_request()
                exchange.started = True
                await stream.send_message(RelayFrame(head=self._head(exchange)))
                sender = asyncio.ensure_future(_send_body(stream, exchange))
                result = await _receive(stream, exchange)
                if result is None or not sender.done():
                    await stream.cancel()
        except BROKEN:
            # The channel reconnects by itself, and `_verdict` returns the outcome.
            pass
        finally:
            if sender is not None:
                sender.cancel()
        return _verdict(exchange, result)

    def keep(self, addresses: set[Address]) -> None:
        """Close the channels to all peers except these.

        A peer may disappear without closing its connections. Its relays would then
        wait for good; closing the channel ends them.
        """
        for address in set(self._channels_by_address) - addresses:
            self._channels_by_address.pop(address).close()

    def close(self) -> None:
        """Close every channel."""
        self.keep(set())

    def _channel(self, address: Address) -> Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = Channel(
                address.host, address.port, ssl=self._context, config=CONFIGURATION
            )
            self._channels_by_address[address] = channel
        return channel

    def _head(self, exchange: Exchange) -> RelayHead:
        head = exchange.head
        left = 0.0
        if exchange.deadline is not None:
            left = max(exchange.deadline - self._loop.time(), 0.001)
        return RelayHead(
            method=head.method,
            path=head.path,
            headers=[Header(name=name, value=value) for name, value in head.headers],
            request_class=exchange.kind,
            key=exchange.key,
            attempt=exchange.attempt,
            deadline_left=left,
            relayed_by=self._name,
            service=self._service,
        )


def _verdict(exchange: Exchange, result: Result | None) -> Result:
    if result is DONE:
        exchange.finish()
        return DONE
    if exchange.status:
        exchange.fail()
    if result is not None:
        return result
    if not exchange.started:
        outcome = Outcome(OutcomeKind.NOT_RUN, Code.NO_AGENT, RETRY_AFTER_SECONDS)
        return Result(outcome, False)
    return Result(Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST), True)


async def _send_body(stream: Any, exchange: Exchange) -> None:
    """Send the body, at the rate that the peer's window allows."""
    with contextlib.suppress(BodyAborted, *BROKEN):
        async for piece in exchange.body:
            await stream.send_message(RelayFrame(body=piece))
        await stream.end()


async def _receive(stream: Any, exchange: Exchange) -> Result | None:
    """Receive the answer; return None if it ended before its end frame."""
    while True:
        frame = await stream.recv_message()
        if frame is None:
            return None
        kind = frame.WhichOneof("frame")
        if kind == "answer":
            headers = tuple((each.name, each.value) for each in frame.answer.headers)
            exchange.begin(frame.answer.status, headers)
        elif kind == "body":
            drained = exchange.write(frame.body)
            if drained is not None:
                await drained
        elif kind == "end":
            return _result(frame.end)


def _result(end: RelayEnd) -> Result:
    try:
        outcome = Outcome(OutcomeKind(end.outcome), Code(end.code), end.retry_after)
    except ValueError:
        outcome = Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST)
    if outcome.kind is OutcomeKind.DONE:
        return DONE
    return Result(outcome, end.started)


class RelayedExchange(Exchange):
    """A request that a peer relays to this agent.

    Parameters
    ----------
    head : RelayHead
        The first frame of the call.
    now : float
        Present monotonic time.
    """

    def __init__(self, head: RelayHead, now: float) -> None:
        headers = tuple((each.name, each.value) for each in head.headers)
        super().__init__(Head(head.method, head.path, headers), head.request_class, now)
        self.relayed_by = head.relayed_by
        self.key = head.key
        self.attempt = head.attempt
        self.deadline = now + head.deadline_left if head.deadline_left else None
        self._frames: list[RelayFrame] = []
        self._waiting = 0
        self._unread = 0
        self._changed = asyncio.Event()
        self._window_open = asyncio.Event()
        self._drained: asyncio.Future[None] | None = None

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        pairs = [Header(name=name, value=value) for name, value in headers]
        self._queue(RelayFrame(answer=RelayAnswer(status=status, headers=pairs)))

    def send_piece(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a piece; return a future if the peer has fallen behind."""
        self._waiting += len(data)
        self._queue(RelayFrame(body=data))
        if self._waiting < HIGH_WATER_BYTES:
            return None
        self._drained = asyncio.get_running_loop().create_future()
        return self._drained

    def send_end(self) -> None:
        """End the answer."""
        self._end(Outcome(OutcomeKind.DONE, Code.OK), True)

    def send_reset(self) -> None:
        """Report that the answer broke off."""
        self._end(Outcome(OutcomeKind.UNKNOWN, Code.TARGET_FAILED), True)

    def refuse(self, outcome: Outcome) -> None:
        """Send the outcome to the relaying agent, which answers the caller."""
        if self.finished:
            return
        self.finished = True
        not_run = (OutcomeKind.NOT_RUN, OutcomeKind.CANCELLED_BEFORE)
        self._end(outcome, outcome.kind not in not_run)

    def body_taken(self, size: int) -> None:
        """Let the peer send more of the body."""
        self._unread -= size
        if self._unread <= STREAM_WINDOW_BYTES:
            self._window_open.set()

    async def serve(self, stream: Any) -> None:
        """Stream the answer to the peer until its end."""
        receiver = asyncio.ensure_future(self._take_body(stream))
        try:
            while True:
                frames, self._frames = self._frames, []
                for frame in frames:
                    await stream.send_message(frame)
                    self._sent(len(frame.body))
                    if frame.WhichOneof("frame") == "end":
                        return
                if not self._frames:
                    self._changed.clear()
                    await self._changed.wait()
        finally:
            receiver.cancel()
            self._sent(self._waiting)

    async def _take_body(self, stream: Any) -> None:
        try:
            while (frame := await stream.recv_message()) is not None:
                self._unread += len(frame.body)
                self.body.feed(frame.body)
                if self._unread > STREAM_WINDOW_BYTES:
                    # The peer's window closes while no message is read.
                    self._window_open.clear()
                    await self._window_open.wait()
            self.body.feed(b"", end=True)
        except BROKEN:
            self.body.abort()

    def _sent(self, size: int) -> None:
        self._waiting -= size
        if self._waiting < HIGH_WATER_BYTES // 2 and self._drained is not None:
            if not self._drained.done():
                self._drained.set_result(None)
            self._drained = None

    def _queue(self, frame: RelayFrame) -> None:
        self._frames.append(frame)
        self._changed.set()

    def _end(self, outcome: Outcome, started: bool) -> None:
        end = RelayEnd(
            outcome=outcome.kind.value,
            code=int(outcome.code),
            retry_after=outcome.retry_after,
            started=started,
        )
        self._queue(RelayFrame(end=end))


async def serve_relay(
    stream: Any,
    arrived: Callable[[Exchange], None],
    cancelled: Callable[[Exchange], None],
) -> None:
    """Serve one `Control.Relay` call of a peer.

    Parameters
    ----------
    stream : grpclib.server.Stream
        The call.
    arrived : callable
        Called with the exchange as soon as its head is received.
    cancelled : callable
        Called with the exchange if the call ends before the answer.
    """
    frame = await stream.recv_message()
    if frame is None or frame.WhichOneof("frame") != "head":
        return
    exchange = RelayedExchange(frame.head, asyncio.get_running_loop().time())
    arrived(exchange)
    try:
        await exchange.serve(stream)
    except BROKEN:
        pass
    finally:
        if not exchange.finished:
            exchange.finished = True
            exchange.body.abort()
            cancelled(exchange)
