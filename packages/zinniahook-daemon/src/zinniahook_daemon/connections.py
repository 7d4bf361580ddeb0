"""The QUIC connections of one agent, with their timers and datagrams."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from collections.abc import Callable, Iterator

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import (
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
)
from zinniahook_core.models import Address

from .quic import ServerConnection, Session

__all__ = ["Connections"]

KEEP_ALIVE_SECONDS = 10.0
"""Seconds without a packet after which a connection with an open request is pinged."""

HANDSHAKE_TIMEOUT_SECONDS = 10.0

MAX_HANDSHAKES = 512
"""Connections that may be in their handshake at the same time."""


class Connections:
    """All QUIC connections of an agent, by each of their ids.

    Parameters
    ----------
    configuration : QuicConfiguration
        Configuration of new connections; may be replaced at any time.
    issue : callable
        Generates a connection id that encodes this agent.
    send : callable
        Sends a datagram of a connection to a caller's address.
    make_session : callable
        Creates the session of a new connection.
    closed : callable
        Called with each connection that has ended.
    unanswered : callable
        Called with a connection whose packets aren't acknowledged, after each
        further unanswered probe.

    All connections share one timer heap. In each iteration of the event loop,
    datagrams are built once for each connection that was touched.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        issue: Callable[[], bytes],
        send: Callable[[ServerConnection, bytes, Address], None],
        make_session: Callable[[ServerConnection], Session],
        closed: Callable[[ServerConnection], None],
        unanswered: Callable[[ServerConnection], None],
    ) -> None:
        self.configuration = configuration
        self.by_id: dict[bytes, ServerConnection] = {}
        self.by_number: dict[int, ServerConnection] = {}
        self.failures = 0
        self._issue_id = issue
        self._send = send
        self._make_session = make_session
        self._closed = closed
        self._unanswered = unanswered
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._handshaking: dict[int, ServerConnection] = {}
        self._touched: dict[int, ServerConnection] = {}
        self._timers: list[tuple[float, int]] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[ServerConnection]:
        return iter(list(self.by_number.values()))

    @property
    def handshakes(self) -> int:
        """The number of connections in their handshake."""
        return len(self._handshaking)

    def open(
        self, flow: bytes, original: bytes = b"", retry_source: bytes | None = None
    ) -> ServerConnection | None:
        """Create the connection of an opening.

        Parameters
        ----------
        flow : bytes
            The opening's destination connection id.
        original, retry_source : bytes
            After a Retry, the original destination connection id and the Retry's
            source connection id.

        Returns
        -------
        ServerConnection or None
            None if `MAX_HANDSHAKES` connections are in their handshake.
        """
        if len(self._handshaking) >= MAX_HANDSHAKES:
            return None
        connection = ServerConnection(
            self.configuration, flow, self._issue, original, retry_source
        )
        connection.number = next(self._numbers)
        connection.opened_at = self._loop.time()
        connection.session = self._make_session(connection)
        self.by_number[connection.number] = connection
        self._handshaking[connection.number] = connection
        # Until the handshake ends, the caller may use the id that it generated.
        self.by_id[flow] = connection
        return connection

    def receive(
        self,
        connection: ServerConnection,
        payload: bytes,
        caller: Address,
        entry: Address,
    ) -> None:
        """Process a datagram that was forwarded by ``entry``."""
        if payload[0] & 0x80 and not connection.handshaking:
            return
        now = self._loop.time()
        if not connection.is_switched:
            connection.entry = entry
        connection.caller = caller
        connection.received_at = now
        try:
            connection.receive_datagram(payload, caller, now)
            self._deliver(connection)
        except Exception:
            self._fail(connection)
            return
        self.touch(connection)

    def touch(self, connection: ServerConnection) -> None:
        """Schedule a connection to send datagrams after the present callbacks."""
        if not self._touched:
            self._loop.call_soon(self._flush)
        self._touched[connection.number] = connection

    def drop(self, connection: ServerConnection) -> None:
        """Remove a connection without notifying its caller."""
        if self.by_number.pop(connection.number, None) is None:
            return
        self._handshaking.pop(connection.number, None)
        for connection_id in (*connection.connection_ids, connection.flow):
            if self.by_id.get(connection_id) is connection:
                del self.by_id[connection_id]
        self._closed(connection)
        session, connection.session = connection.session, None
        if session is not None:
            session.ended()

    def close(self, connection: ServerConnection, error_code: int, reason: str) -> None:
        """Close a connection, with a reason for the caller."""
        connection.close(error_code=error_code, reason_phrase=reason)
        self.touch(connection)

    def keep_alive(self) -> None:
        """Ping silent connections with an open request; drop stuck handshakes.

        If a middlebox loses the state of a caller's flow, the caller would wait for
        its answer for good. With PINGs, both ends detect the loss by an idle timeout.
        """
        now = self._loop.time()
        for connection in list(self._handshaking.values()):
            if now - connection.opened_at > HANDSHAKE_TIMEOUT_SECONDS:
                self.drop(connection)
        for connection in self:
            if connection.handshaking:
                continue
            connection.session.expire(now)
            if (
                now - connection.received_at > KEEP_ALIVE_SECONDS
                and connection.session.busy
            ):
                connection.send_ping(0)
                self.touch(connection)

    def _fail(self, connection: ServerConnection) -> None:
        # A caller's bytes have triggered a parser fault. Only this connection is
        # dropped; otherwise the exception would stop the processing of all others.
        # The fault is logged and counted.
        logging.getLogger(__name__).exception("connection failed")
        self.failures += 1
        self.drop(connection)

    def _issue(self, connection: ServerConnection) -> bytes:
        connection_id = self._issue_id()
        while connection_id in self.by_id:
            connection_id = self._issue_id()
        self.by_id[connection_id] = connection
        return connection_id

    def _deliver(self, connection: ServerConnection) -> None:
        while connection.session is not None:
            event = connection.next_event()
            if event is None:
                return
            if isinstance(event, HandshakeCompleted):
                self._finish_handshake(connection)
            elif isinstance(event, ConnectionIdRetired):
                self.by_id.pop(event.connection_id, None)
                continue
            elif isinstance(event, ConnectionTerminated):
                continue
            connection.session.handle(event)

    def _finish_handshake(self, connection: ServerConnection) -> None:
        connection.release_handshake()
        self._handshaking.pop(connection.number, None)
        if self.by_id.get(connection.flow) is connection:
            del self.by_id[connection.flow]

    def _flush(self) -> None:
        touched, self._touched = self._touched, {}
        now = self._loop.time()
        for connection in touched.values():
            if connection.number not in self.by_number:
                continue
            try:
                self._flush_connection(connection, now)
            except Exception:
                self._fail(connection)

    def _flush_connection(self, connection: ServerConnection, now: float) -> None:
        for datagram, caller in connection.datagrams_to_send(now):
            self._send(connection, datagram, caller)
        self._deliver(connection)
        if connection.is_over:
            self.drop(connection)
            return
        if connection.session is not None:
            connection.session.flushed()
        self._schedule(connection)

    def _schedule(self, connection: ServerConnection) -> None:
        at = connection.get_timer()
        if at is None or (
            connection.timer_at is not None and connection.timer_at <= at
        ):
            return
        connection.timer_at = at
        heapq.heappush(self._timers, (at, connection.number))
        self._set_timer()

    def _set_timer(self) -> None:
        if not self._timers:
            return
        at = self._timers[0][0]
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._run_timers)

    def _time_out(self, connection: ServerConnection, now: float) -> None:
        before = connection.probes
        connection.handle_timer(now)
        # A single lost packet causes one probe. Two in a row suggest a broken path.
        if connection.probes > max(before, 1) and not connection.handshaking:
            self._unanswered(connection)
        self.touch(connection)

    def _run_timers(self) -> None:
        self._timer = None
        now = self._loop.time()
        while self._timers and self._timers[0][0] <= now:
            at, number = heapq.heappop(self._timers)
            connection = self.by_number.get(number)
            # Skip timers of ended connections and superseded ones.
            if connection is None or connection.timer_at != at:
                continue
            connection.timer_at = None
            if connection.get_timer() <= now:
                self._time_out(connection, now)
            else:
                self._schedule(connection)
        self._set_timer()
