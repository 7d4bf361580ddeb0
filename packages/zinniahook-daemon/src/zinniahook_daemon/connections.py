"""All QUIC connections of one agent: by id, their timers, their datagrams."""

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
"""Seconds of silence after which an open request makes the agent PING."""

HANDSHAKE_TIMEOUT_SECONDS = 10.0

MAX_HANDSHAKES = 512
"""Connections that may be in their handshake at a time."""


class Connections:
    """All QUIC connections of an agent, by each of their ids.

    Parameters
    ----------
    configuration : QuicConfiguration
        For new connections; may be replaced at any time.
    issue : callable
        Draws a connection id that names this agent.
    send : callable
        Sends a datagram of a connection to a caller's address.
    make_session : callable
        Makes the session of a new connection.
    closed : callable
        Told of each connection that has ended.
    unanswered : callable
        Told of a connection whose answers get no acknowledgement, each time
        that one more probe went unanswered.

    One heap of timers serves all of them, and datagrams are built once a
    turn of the loop for the connections that were touched in it.
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
        """How many connections are in their handshake."""
        return len(self._handshaking)

    def open(
        self, flow: bytes, original: bytes = b"", retry_source: bytes | None = None
    ) -> ServerConnection | None:
        """Make the connection of an opening.

        Parameters
        ----------
        flow : bytes
            Its destination connection id.
        original, retry_source : bytes
            After a Retry: the first id of all, and that of the Retry.

        Returns
        -------
        ServerConnection or None
            None if too many are in their handshake.
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
        # Until the handshake is over the caller may still use the id it drew.
        self.by_id[flow] = connection
        return connection

    def receive(
        self,
        connection: ServerConnection,
        payload: bytes,
        caller: Address,
        entry: Address,
    ) -> None:
        """Feed a datagram that came by way of ``entry``."""
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
        """Build datagrams for a connection at the end of this turn."""
        if not self._touched:
            self._loop.call_soon(self._flush)
        self._touched[connection.number] = connection

    def drop(self, connection: ServerConnection) -> None:
        """Forget a connection without a word to its caller."""
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
        """Tell the caller that the connection ends, and end it."""
        connection.close(error_code=error_code, reason_phrase=reason)
        self.touch(connection)

    def keep_alive(self) -> None:
        """Ping connections with an open request; drop stuck handshakes.

        Without PINGs a caller whose flow some middle box has forgotten would
        wait for good on an answer; with them both ends find an idle timeout.
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
        # A caller's bytes reached a fault in a parser. Without this the error
        # would end the turn of all other connections; it shows in the log and
        # the counter, and only this connection pays.
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
        # One lost packet costs one probe; two in a row are no accident.
        if connection.probes > max(before, 1) and not connection.handshaking:
            self._unanswered(connection)
        self.touch(connection)

    def _run_timers(self) -> None:
        self._timer = None
        now = self._loop.time()
        while self._timers and self._timers[0][0] <= now:
            at, number = heapq.heappop(self._timers)
            connection = self.by_number.get(number)
            # An earlier timer has taken the place of this one.
            if connection is None or connection.timer_at != at:
                continue
            connection.timer_at = None
            if connection.get_timer() <= now:
                self._time_out(connection, now)
            else:
                self._schedule(connection)
        self._set_timer()
