"""What an agent tells its peers and the entries of itself, and hears of them."""

from __future__ import annotations

from . import tunnel
from .allocation import RequestCounter
from .backlog import Backlog
from .features import Switch
from .flows import Flows
from .forecasts import Forecast
from .health import CONSULTED_PEERS
from .member import Row
from .members import ASKED_AGAIN_AFTER, Roster
from .models import State
from .node import Node
from .reports import encode_cold, encode_health
from .sections import Section
from .target import Target
from .tunnel import Kind, Status, Wish, tag

__all__ = ["Membership"]

ENTRY_STATUS_EVERY = 0.4
"""Seconds between statuses to an entry that sends packets here."""

ROSTER_EVERY = 4.0
"""Seconds between rosters to an entry drawn by lot. What goes wrong without:
an entry that has missed a new agent never sends anything there."""

MEMBERS_ASKED = 4
"""Peers that an agent asks at its start; some may be away themselves."""

TURNS = 2
"""Parts into which the statuses of one interval are split at most."""

TELLERS = 8
"""Agents that tell an entry of a new one, drawn by lot among all that know it. If
all did, a new agent would cost a datagram from each agent to each entry."""

NEWS_EVERY = 1.0
"""Seconds between two messages to a peer about those that joined lately."""

NEWS_FOR = 30.0
"""Seconds for which a member counts as one that joined lately."""

NEWS_MOST = 40
"""Members told of at once: 1,200 bytes, which no link splits."""

ENTRIES_LIMIT = 1024
ENTRY_KEPT = 30.0
"""Seconds for which an entry that sent packets hears of changes here."""

NEVER = float("-inf")


class Membership:
    """Tells others of one agent.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    target : Target
        What is known of its target.
    flows : Flows
        Its flows, for the load.
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
        self._told_state = State.STARTING
        self._said_at = NEVER
        self._due = 0.0
        self._rotation: list[str] = []
        # In order, as a set's would differ from process to process.
        self._owed: dict[str, None] = {}
        self._roster_at = NEVER
        self._news_at = NEVER
        self._members_asked = 0
        self._seen_by_entry: dict[str, float] = {}
        self._told_by_entry: dict[str, float] = {}
        self.roster = self._new_roster()
        features = node.features
        self.shares_room = Switch(features, bool(features.shared_room))
        self.expects_work = Switch(features, features.expected_work)
        self.work = Forecast(flows)
        self.openings_waiting = Backlog()
        self._census = RequestCounter(flows)

    @property
    def entries(self) -> list[str]:
        """The entries that sent packets here lately."""
        return list(self._seen_by_entry)

    @property
    def service(self) -> int:
        """The tag of the service."""
        return tag(self._target.service)

    @property
    def slots(self) -> int:
        """Requests that the target works on at a time, as far as is known.

        What goes wrong without the peers: after a restart of every agent, one
        whose target's heartbeat is due in a second offers it a single request
        at a time, while openings wait.
        """
        return self._target.usable_slots or self.roster.usual_slots()

    def restart(self) -> None:
        """Begin with an empty roster: the target serves another service."""
        self.roster = self._new_roster()

    def _new_roster(self) -> Roster:
        roster = Roster(self._target.service, self._node.address)
        roster.add(0.0, self._node.address, self._node.zone)
        roster.closed = self._node.evacuations.tags
        return roster

    def state(self, now: float) -> State:
        """Return what this agent tells the others of itself."""
        if self._target.gone:
            return State.ENDED
        if self.leaving:
            return State.LEAVING
        state = self._target.state(now)
        takes = state in (State.READY, State.ANSWERING)
        return State.LEAVING if takes and self.is_evacuated else state

    @property
    def is_evacuated(self) -> bool:
        """Whether the operator wants nothing new to go to this data centre."""
        return self._node.zone in self._node.evacuations.tags

    # Telling

    def tick(self, now: float) -> None:
        """Tell what has changed, and what is due."""
        if self.expects_work.is_on(self._node.routes, self._target.service):
            self._learn_work(now)
        judged = self._judge(now)
        state = self.state(now)
        if state is not self._told_state:
            self._node.log.event(
                "target.state",
                former=self._told_state.name,
                state=state.name,
                target=self._target.name,
                flows=len(self._flows),
            )
            self._tell_all(now)
        elif judged:
            self._tell_all(now)
        else:
            self._tell_some(now)
        self._tell_entries(now)
        self._tell_news(now)
        for address in self.roster.unanswered(now):
            self._node.hello(now, address)

    def _judge(self, now: float) -> bool:
        """Judge the target by its answers; return whether others should hear."""
        health = self._target.health
        if health is None:
            return False
        changed = health.tick(now, self.roster, self._node.address)
        if health.suspect_since == now:
            self._ask_some(now)
        return changed

    def _ask_some(self, now: float) -> None:
        """Ask a few peers for their word on a suspicion."""
        peers = [a for a in self.roster.present(now) if a != self._node.address]
        count = min(CONSULTED_PEERS, len(peers))
        for address in self._node.rng.sample(peers, count):
            self.ask(now, address)

    def _learn_work(self, now: float) -> None:
        """Learn what flows ask, from the own ones and from what peers tell."""
        self.work.tick(now)
        if self.work.is_due(now):
            members = self.roster.by_address.values()
            told = (m.sections.get(Section.WORK, b"") for m in members)
            self.work.pool(now, told)

    def ask(self, now: float, address: str) -> None:
        """Ask a peer for its status, unless a question is under way."""
        member = self.roster.by_address.get(address)
        if member is None or address == self._node.address:
            return
        if member.waiting_since is None or now - member.asked_at >= ASKED_AGAIN_AFTER:
            self.roster.sent(now, address)
            member.asked_at = now
            self._node.hello(now, address)

    def show(self, now: float, address: str) -> None:
        """Show an agent that this one runs."""
        if address != self._node.address:
            self._send(now, address, self._status(now))

    def greet(self, now: float, address: str, wish: int) -> None:
        """Answer a hello."""
        if wish == Wish.NOTHING:
            return
        to_entry = address not in self.roster.by_address
        self._send(now, address, self._status(now, to_entry))
        if wish == Wish.MEMBERS:
            self._send_rows(now, address, self.roster.rows(now))

    def farewell(self, now: float) -> None:
        """Tell everybody once more, as this process ends.

        What goes wrong without: the one datagram that told of the end got lost,
        and its receiver waits for flows that nobody holds.
        """
        self._tell_all(now)

    def introduce(self, now: float, address: str) -> None:
        """Tell an agent that has just become known of this one.

        The first few are asked whom they hear. What goes wrong without: this
        agent has just started, never heard one that is away for a moment, takes
        it for long gone, and resets the flows that its target holds.
        """
        self._send(now, address, self._status(now))
        if self._members_asked < MEMBERS_ASKED:
            self._members_asked += 1
            self._node.hello(now, address, Wish.MEMBERS)

    def note_entry(self, now: float, entry: str) -> None:
        """Note that an entry sent a packet, and answer it now and then.

        What goes wrong if the answer waits for the statuses to peers, which are
        seconds apart in a large service: the entry takes this agent for gone.
        """
        known = entry in self._seen_by_entry
        if not known and len(self._seen_by_entry) >= ENTRIES_LIMIT:
            return
        self._seen_by_entry[entry] = now
        if now - self._told_by_entry.get(entry, NEVER) >= ENTRY_STATUS_EVERY:
            self._tell_entry(now, entry, self._status(now, to_entry=True))
        else:
            self._owed[entry] = None

    def _tell_all(self, now: float) -> None:
        """Tell everybody that the state has changed."""
        self._said_at = now
        self._told_state = self.state(now)
        body = self._status(now)
        for address in list(self.roster.by_address):
            if address != self._node.address:
                self._send(now, address, body)
        brief = self._status(now, to_entry=True)
        for entry in self._seen_by_entry:
            self._tell_entry(now, entry, brief)

    def _tell_some(self, now: float) -> None:
        """Tell the peers whose turn it is.

        In turns and not all at once: what is known of the configuration spreads
        with each datagram, and so arrives everywhere all the time.
        """
        peers = len(self.roster.by_address) - 1
        passed = min(now - self._said_at, self.roster.status_interval)
        self._said_at = now
        self._due += peers * passed / self.roster.status_interval
        count = min(int(self._due), peers)
        if count < max(1, peers // TURNS):
            return
        self._due -= count
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

    def _tell_news(self, now: float) -> None:
        """Tell a peer, drawn by lot, of members that joined lately.

        What goes wrong without: two agents couldn't read the store as the other one
        announced itself and never learn of each other. A home that doesn't know an
        owner doesn't ask it, and resets its flows.
        """
        if now - self._news_at < NEWS_EVERY:
            return
        self._news_at = now
        if now - self.roster.newest_at > NEWS_FOR:
            return
        own = self._node.address
        peers = [address for address in self.roster.present(now) if address != own]
        rows = [
            row
            for row in self.roster.rows(now, now - NEWS_FOR)
            if self.roster.is_here(now, row.address)
        ]
        if peers and rows:
            some = self._node.rng.sample(rows, min(NEWS_MOST, len(rows)))
            self._send_rows(now, self._node.rng.choice(peers), some)

    def _tell_entries(self, now: float) -> None:
        """Answer entries that are owed an answer, and one now and then."""
        for entry in list(self._owed):
            if now - self._told_by_entry.get(entry, NEVER) >= ENTRY_STATUS_EVERY:
                self._tell_entry(now, entry, self._status(now, to_entry=True))
        if now - self._roster_at < ROSTER_EVERY:
            return
        self._roster_at = now
        for entry, seen in list(self._seen_by_entry.items()):
            if now - seen > ENTRY_KEPT:
                self._seen_by_entry.pop(entry)
                self._told_by_entry.pop(entry, None)
        if self._seen_by_entry:
            entry = self._node.rng.choice(list(self._seen_by_entry))
            self._send_rows(now, entry, self.roster.rows(now))

    def _tell_entry(self, now: float, entry: str, body: bytes) -> None:
        told = self._told_by_entry.get(entry, NEVER)
        self._told_by_entry[entry] = now
        self._owed.pop(entry, None)
        self._send(now, entry, body)
        if self.roster.newest_at <= told or told == NEVER:
            return
        if self._node.rng.random() * len(self.roster.by_address) < TELLERS:
            self._send_rows(now, entry, self.roster.rows(now, told))

    def _send(self, now: float, address: str, body: bytes) -> None:
        self._node.send(now, address, Kind.STATUS, body, service=self.service)

    def _send_rows(self, now: float, address: str, rows: list[Row]) -> None:
        body = tunnel.control({self._target.service: rows})
        self._node.send(now, address, Kind.ROSTER, body, service=self.service)

    def _status(self, now: float, to_entry: bool = False) -> bytes:
        """Return the status, which is also what this agent places by.

        Entries place nothing, so they are spared the sections: an entry with a
        narrow link hears each agent that it sends to more than twice a second.
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
        """Return what the features that are on tell.

        Of room only while openings wait here: who tells nothing has room.
        """
        sections: dict[int, bytes] = {}
        routes, service = self._node.routes, self._target.service
        if self.expects_work.is_on(routes, service):
            sections[Section.WORK] = self.work.section()
        if len(self.openings_waiting) and self.shares_room.is_on(routes, service):
            waiting = self.openings_waiting.counts
            sections[Section.ROOM] = self._census.section(now, routes, waiting)
        if self._target.health is not None:
            sections[Section.HEALTH] = encode_health(self._target.health.report(now))
        if self._target.capacity is not None and self._target.capacity.cold:
            sections[Section.CAPACITY] = encode_cold(self._target.capacity.cold)
        return sections

    # Hearing

    def learn(
        self, now: float, sender: str, service: int, zone: int, body: bytes
    ) -> bool:
        """Take a status; return whether a peer has just started."""
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

    def learn_members(self, now: float, sender: str, rows: list[Row]) -> None:
        """Take who else there is; those not known yet are greeted."""
        teller = self.roster.by_address.get(sender)
        # News of who joined lately lacks the teller itself, and whoever is silent.
        if teller is not None and any(row.address == sender for row in rows):
            teller.told_members_at = now
        for address, zone, age in rows:
            if address == self._node.address:
                continue
            known = address in self.roster.by_address
            self.roster.add(now, address, zone, age or 0.0)
            self.roster.vouch(now, address, age)
            if not known:
                self.introduce(now, address)

    def learn_member(
        self, now: float, address: str, zone: int, order: int | None
    ) -> None:
        """Take one that the store tells of, with its order among the others."""
        known = address in self.roster.by_address
        member = self.roster.add(now, address, zone, order=order)
        if order is not None:
            member.order = order
        if not known:
            self.introduce(now, address)
