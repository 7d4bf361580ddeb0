"""Exchanges one agent's state with its peers and with entries."""

from __future__ import annotations

from . import tunnel
from .allocation import RequestCounter
from .backlog import Backlog
from .features import FeatureSwitch
from .flows import Flows
from .forecasts import Forecast
from .health import CONSULTED_PEERS
from .member import RosterRow
from .members import HELLO_RETRY_SECONDS, Roster
from .models import State
from .node import Node
from .reports import encode_cold, encode_health
from .sections import Section
from .target import Target
from .tunnel import HelloRequest, Kind, Status, tag

__all__ = ["Membership"]

ENTRY_STATUS_INTERVAL_SECONDS = 0.4
"""Seconds between statuses to an entry that sends packets here."""

ENTRY_ROSTER_INTERVAL_SECONDS = 4.0
"""Seconds between rosters to a random entry. Without them, an entry that has missed a
new agent never sends packets there."""

STARTUP_PEERS_ASKED = 4
"""Peers that an agent asks for their rosters at its start; some may be down."""

STATUS_BATCHES_LIMIT = 2
"""Batches into which the statuses of one interval are split at most."""

NEW_MEMBER_REPORTERS = 8
"""Agents, drawn at random, that report a new member to an entry. If all agents did, a
new one would cost a datagram from each agent to each entry."""

JOIN_REPORT_INTERVAL_SECONDS = 1.0
"""Seconds between two reports of new members to a peer."""

RECENT_JOIN_SECONDS = 30.0
"""Seconds for which a member counts as new."""

JOIN_REPORT_ROWS_LIMIT = 40
"""Members in one report: 1,200 bytes, which no link fragments."""

ENTRIES_LIMIT = 1024
ENTRY_EXPIRY_SECONDS = 30.0
"""Seconds for which an entry that has sent packets is sent changes."""

NEVER = float("-inf")


class Membership:
    """Announces one agent and keeps its roster.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    target : Target
        What is known of its target.
    flows : Flows
        Its flows, from which its load is computed.
    incarnation : int
        Number of this process.
    """

    def __init__(
        self, node: Node, target: Target, flows: Flows, incarnation: int
    ) -> None:
        self.leaving = False
        self.waiting = 0
        self.held_back = False
        self._node = node
        self._target = target
        self._flows = flows
        self._incarnation = incarnation
        self._announced_state = State.STARTING
        self._statuses_counted_at = NEVER
        self._statuses_due = 0.0
        self._rotation: list[str] = []
        # A dict keeps its order; that of a set differs from process to process.
        self._entries_owed: dict[str, None] = {}
        self._roster_sent_at = NEVER
        self._joins_reported_at = NEVER
        self._peers_asked = 0
        self._seen_at_by_entry: dict[str, float] = {}
        self._answered_at_by_entry: dict[str, float] = {}
        self.roster = self._new_roster()
        features = node.features
        self.shares_capacity = FeatureSwitch(features, bool(features.shared_room))
        self.expects_work = FeatureSwitch(features, features.expected_work)
        self.work = Forecast(flows)
        self.openings_waiting = Backlog()
        self._census = RequestCounter(flows)

    @property
    def entries(self) -> list[str]:
        """The entries that have recently sent packets here."""
        return list(self._seen_at_by_entry)

    @property
    def service(self) -> int:
        """The tag of the service."""
        return tag(self._target.service)

    @property
    def slots(self) -> int:
        """Requests that the target works on at a time, as far as is known.

        Until the target has reported its slots, the median of the peers is used.
        Otherwise, after a restart of every agent, an agent whose target sends its next
        heartbeat in a second passes it a single request at a time while openings wait.
        """
        return self._target.usable_slots or self.roster.median_slots()

    def restart(self) -> None:
        """Start with an empty roster: the target serves another service."""
        self.roster = self._new_roster()

    def _new_roster(self) -> Roster:
        roster = Roster(self._target.service, self._node.address)
        roster.add(0.0, self._node.address, self._node.zone)
        roster.closed = self._node.evacuations.tags
        return roster

    def state(self, now: float) -> State:
        """Return the state that this agent announces."""
        if self._target.gone:
            return State.ENDED
        if self.leaving:
            return State.LEAVING
        state = self._target.state(now)
        takes = state in (State.READY, State.ANSWERING)
        return State.LEAVING if takes and self.is_evacuated else state

    @property
    def is_evacuated(self) -> bool:
        """Whether this data centre is evacuated, so that no new flows may go to it."""
        return self._node.zone in self._node.evacuations.tags

    # Sending

    def tick(self, now: float) -> None:
        """Send the announcements, answers and hellos that are due."""
        if self.expects_work.is_on(self._node.routes, self._target.service):
            self._learn_work(now)
        health_changed = self._update_health(now)
        state = self.state(now)
        if state is not self._announced_state:
            self._node.log.event(
                "target.state",
                former=self._announced_state.name,
                state=state.name,
                target=self._target.name,
                flows=len(self._flows),
            )
            self._announce_to_all(now)
        elif health_changed:
            self._announce_to_all(now)
        else:
            self._send_due_statuses(now)
        self._answer_entries(now)
        self._report_joins(now)
        for address in self.roster.hellos_due(now):
            self._node.hello(now, address)
        for address in self.roster.lost.due(now):
            # Whoever hears it adds this agent, and sends its own status in turn.
            self.send_status(now, address)

    def _update_health(self, now: float) -> bool:
        """Update the target's health; return whether peers must be notified."""
        health = self._target.health
        if health is None:
            return False
        changed = health.tick(now, self.roster, self._node.address)
        if health.suspect_since == now:
            self._ask_random_peers(now)
        return changed

    def _ask_random_peers(self, now: float) -> None:
        """Ask a few random peers for their status, to check a suspicion."""
        peers = [a for a in self.roster.present(now) if a != self._node.address]
        count = min(CONSULTED_PEERS, len(peers))
        for address in self._node.rng.sample(peers, count):
            self.ask(now, address)

    def _learn_work(self, now: float) -> None:
        """Learn the work of flows, from own flows and from reports of peers."""
        self.work.tick(now)
        if self.work.is_due(now):
            members = self.roster.by_address.values()
            reported = (m.sections.get(Section.WORK, b"") for m in members)
            self.work.pool(now, reported)

    def ask(self, now: float, address: str) -> None:
        """Ask a peer for its status, unless a question is already pending."""
        member = self.roster.by_address.get(address)
        if member is None or address == self._node.address:
            return
        if member.waiting_since is None or now - member.asked_at >= HELLO_RETRY_SECONDS:
            self.roster.expect_answer(now, address)
            member.asked_at = now
            self._node.hello(now, address)

    def send_status(self, now: float, address: str) -> None:
        """Send this agent's status to another agent."""
        if address != self._node.address:
            self._send(now, address, self._status(now))

    def answer_hello(self, now: float, address: str, request: int) -> None:
        """Answer a hello."""
        if request == HelloRequest.NOTHING:
            return
        to_entry = address not in self.roster.by_address
        self._send(now, address, self._status(now, to_entry))
        if request == HelloRequest.MEMBERS:
            self._send_rows(now, address, self.roster.rows(now))

    def announce_end(self, now: float) -> None:
        """Announce the state once more as this process ends.

        Otherwise, if the only datagram that announced the end is lost, its receiver
        waits for flows that no agent holds.
        """
        self._announce_to_all(now)

    def announce_to(self, now: float, address: str) -> None:
        """Send this agent's status to a member that has just become known.

        The first few members are also asked for their rosters. Otherwise an agent that
        has just started has never heard a member that is briefly down, considers it
        gone, and resets the flows that its target holds.
        """
        self._send(now, address, self._status(now))
        if self._peers_asked < STARTUP_PEERS_ASKED:
            self._peers_asked += 1
            self._node.hello(now, address, HelloRequest.MEMBERS)

    def note_entry(self, now: float, entry: str) -> None:
        """Note that an entry sent a packet, and answer it at intervals.

        The answer doesn't wait for the statuses to peers, which are seconds apart in a
        large service: the entry would consider this agent gone.
        """
        known = entry in self._seen_at_by_entry
        if not known and len(self._seen_at_by_entry) >= ENTRIES_LIMIT:
            return
        self._seen_at_by_entry[entry] = now
        if (
            now - self._answered_at_by_entry.get(entry, NEVER)
            >= ENTRY_STATUS_INTERVAL_SECONDS
        ):
            self._answer_entry(now, entry, self._status(now, to_entry=True))
        else:
            self._entries_owed[entry] = None

    def _announce_to_all(self, now: float) -> None:
        """Announce the new state to every peer and every entry."""
        self._statuses_counted_at = now
        self._announced_state = self.state(now)
        body = self._status(now)
        for address in list(self.roster.by_address):
            if address != self._node.address:
                self._send(now, address, body)
        brief = self._status(now, to_entry=True)
        for entry in self._seen_at_by_entry:
            self._answer_entry(now, entry, brief)

    def _send_due_statuses(self, now: float) -> None:
        """Send the status to the next peers in rotation.

        Statuses are spread over the interval because each datagram also shows the
        sender's configuration version, so that versions spread steadily.
        """
        peers = len(self.roster.by_address) - 1
        passed = min(now - self._statuses_counted_at, self.roster.status_interval)
        self._statuses_counted_at = now
        self._statuses_due += peers * passed / self.roster.status_interval
        count = min(int(self._statuses_due), peers)
        if count < max(1, peers // STATUS_BATCHES_LIMIT):
            return
        self._statuses_due -= count
        body = self._status(now)
        for _ in range(count):
            self._send(now, self._next_peer(), body)

    def _next_peer(self) -> str:
        while True:
            if not self._rotation:
                own = self._node.address
                self._rotation = [a for a in self.roster.by_address if a != own]
            address = self._rotation.pop()
            if address in self.roster.by_address:
                return address

    def _report_joins(self, now: float) -> None:
        """Report new members to a random peer.

        Otherwise two agents that couldn't read the store while the other one announced
        itself never learn of each other. A home that doesn't know an owner doesn't ask
        it and resets its flows.
        """
        if now - self._joins_reported_at < JOIN_REPORT_INTERVAL_SECONDS:
            return
        self._joins_reported_at = now
        if now - self.roster.last_joined_at > RECENT_JOIN_SECONDS:
            return
        own = self._node.address
        peers = [address for address in self.roster.present(now) if address != own]
        rows = [
            row
            for row in self.roster.rows(now, now - RECENT_JOIN_SECONDS)
            if self.roster.is_reachable(now, row.address)
        ]
        if peers and rows:
            sample = self._node.rng.sample(rows, min(JOIN_REPORT_ROWS_LIMIT, len(rows)))
            self._send_rows(now, self._node.rng.choice(peers), sample)

    def _answer_entries(self, now: float) -> None:
        """Answer entries that are due, and send a roster to a random one."""
        for entry in list(self._entries_owed):
            if (
                now - self._answered_at_by_entry.get(entry, NEVER)
                >= ENTRY_STATUS_INTERVAL_SECONDS
            ):
                self._answer_entry(now, entry, self._status(now, to_entry=True))
        if now - self._roster_sent_at < ENTRY_ROSTER_INTERVAL_SECONDS:
            return
        self._roster_sent_at = now
        for entry, seen in list(self._seen_at_by_entry.items()):
            if now - seen > ENTRY_EXPIRY_SECONDS:
                self._seen_at_by_entry.pop(entry)
                self._answered_at_by_entry.pop(entry, None)
        if self._seen_at_by_entry:
            entry = self._node.rng.choice(list(self._seen_at_by_entry))
            self._send_rows(now, entry, self.roster.rows(now))

    def _answer_entry(self, now: float, entry: str, body: bytes) -> None:
        answered_at = self._answered_at_by_entry.get(entry, NEVER)
        self._answered_at_by_entry[entry] = now
        self._entries_owed.pop(entry, None)
        self._send(now, entry, body)
        if self.roster.last_joined_at <= answered_at or answered_at == NEVER:
            return
        if self._node.rng.random() * len(self.roster.by_address) < NEW_MEMBER_REPORTERS:
            self._send_rows(now, entry, self.roster.rows(now, answered_at))

    def _send(self, now: float, address: str, body: bytes) -> None:
        self._node.send(now, address, Kind.STATUS, body, service=self.service)

    def _send_rows(self, now: float, address: str, rows: list[RosterRow]) -> None:
        body = tunnel.encode_rosters({self._target.service: rows})
        self._node.send(now, address, Kind.ROSTER, body, service=self.service)

    def _status(self, now: float, to_entry: bool = False) -> bytes:
        """Return the encoded status, and apply it to this agent's own roster entry.

        Entries place no flows, so they get no sections: an entry with a narrow link
        receives a status from each agent that it uses more than twice a second.
        """
        busy = self._flows.load(now) + self.waiting
        if self._target.refused_recently(now) or self.held_back:
            busy += self.slots
        status = Status(
            self._incarnation,
            self.state(now),
            self.slots,
            busy,
            len(self._flows),
            self._target.warming(now),
            self._target.answer_time,
            self._sections(now),
        )
        own = self._node.address
        self.roster.learn(now, own, self._node.zone, status)
        return tunnel.encode_status(
            status._replace(sections={}) if to_entry else status
        )

    def _sections(self, now: float) -> dict[int, bytes]:
        """Return the sections of the features that are on.

        Demand and capacity are reported only while openings wait here: a member without
        that section counts as having free capacity.
        """
        sections: dict[int, bytes] = {}
        routes, service = self._node.routes, self._target.service
        if self.expects_work.is_on(routes, service):
            sections[Section.WORK] = self.work.section()
        if len(self.openings_waiting) and self.shares_capacity.is_on(routes, service):
            waiting = self.openings_waiting.counts
            sections[Section.DEMAND] = self._census.section(now, routes, waiting)
        if self._target.health is not None:
            sections[Section.HEALTH] = encode_health(self._target.health.report(now))
        if self._target.capacity is not None and self._target.capacity.cold:
            sections[Section.CAPACITY] = encode_cold(self._target.capacity.cold)
        return sections

    # Receiving

    def learn(
        self, now: float, sender: str, service: int, zone: int, body: bytes
    ) -> bool:
        """Apply a peer's status; return whether its process is new."""
        status = tunnel.decode_status(body)
        if status is None:
            self._node.log.count("datagrams.malformed")
            return False
        if service != self.service:
            self.roster.drop(sender)
            return False
        fresh = self.roster.learn(now, sender, zone, status)
        if fresh:
            self._node.log.event(
                "peer.started", peer=sender, incarnation=status.incarnation
            )
        return fresh

    def learn_members(self, now: float, sender: str, rows: list[RosterRow]) -> None:
        """Apply a peer's roster; announce this agent to members that are new."""
        reporter = self.roster.by_address.get(sender)
        # A report of new members lacks its sender and the silent members.
        if reporter is not None and any(row.address == sender for row in rows):
            reporter.roster_received_at = now
        for address, zone, age in rows:
            if address == self._node.address:
                continue
            known = address in self.roster.by_address
            self.roster.add(now, address, zone, age or 0.0)
            self.roster.learn_heard_by_peer(now, address, age)
            if not known:
                self.announce_to(now, address)

    def learn_member(
        self, now: float, address: str, zone: int, order: int | None
    ) -> None:
        """Add a member that the store lists, with its order among the others."""
        known = address in self.roster.by_address
        member = self.roster.add(now, address, zone, order=order)
        if order is not None:
            member.order = order
        if not known:
            self.announce_to(now, address)
