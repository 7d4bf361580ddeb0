"""A group of ``Requests`` objects whose roster and messages a test controls."""

import random
from collections import deque

from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.effects import FinishRequest, Relay, Replay, Run, SendPeer
from zinniahook_core.events import (
    PeerDatagram,
    RequestArrived,
    RequestFinished,
    RosterChanged,
    Tick,
)
from zinniahook_core.models import (
    Address,
    AgentState,
    Member,
    RequestClass,
    Roster,
    Service,
)
from zinniahook_core.rendezvous import rank
from zinniahook_core.requests import Requests

ADDRESS = Address("127.0.0.1", 1)
CLASSES = {"ticket": RequestClass("ticket", "/tickets")}
SERVICE = Service("tally", 1, ADDRESS, classes_by_name=CLASSES)
DONE = Outcome(OutcomeKind.DONE, Code.OK)


class Group:
    """Agents of one service; messages between pairs in ``blocked`` are lost."""

    def __init__(self, names="abcd", slots=4, age=10_000.0):
        self.now = 0.0
        self.revision = 0
        self.slots = slots
        self.members = {}
        self.cores = {}
        self.effects_by_name = {}
        self.blocked = set()
        self.messages = deque()
        self.done = []
        for name in names:
            self.join(name, announce=False)
        self.announce()
        self.now += age

    def join(self, name, incarnation=1, announce=True):
        core = Requests(name, SERVICE, random.Random(1))
        self.cores[name] = core
        self.effects_by_name[name] = []
        if announce and self.revision:
            core.handle(self.now, RosterChanged(self.roster()))
        self.set_state(name, AgentState.READY, incarnation, announce)

    def crash(self, name):
        del self.cores[name]

    def set_state(self, name, state, incarnation=None, announce=True):
        known = self.members.get(name)
        number = incarnation or known.incarnation
        self.members[name] = Member(
            name, ADDRESS, ADDRESS, ADDRESS, "z", number, state, self.slots
        )
        self.revision += 1
        if announce:
            self.announce()

    def remove(self, name):
        del self.members[name]
        self.revision += 1
        self.announce()

    def roster(self):
        return Roster("tally", self.revision, dict(self.members))

    def announce(self, *names):
        for name in names or tuple(self.cores):
            self.feed(name, RosterChanged(self.roster()))
            member = self.members.get(name)
            if member is not None and member.state is not AgentState.DOWN:
                self.cores[name].confirm(self.now, member.incarnation)

    def feed(self, name, event):
        for effect in self.cores[name].handle(self.now, event):
            if isinstance(effect, SendPeer):
                self.messages.append((name, effect.peer, effect.message))
            else:
                self.effects_by_name[name].append(effect)

    def deliver(self):
        """Deliver messages until none is left."""
        while self.messages:
            sender, receiver, message = self.messages.popleft()
            if receiver in self.cores and (sender, receiver) not in self.blocked:
                self.feed(receiver, PeerDatagram(sender, message))

    def intercept(self, name):
        """Deliver messages, but return those addressed to ``name``."""
        held = []
        while self.messages:
            sender, receiver, message = self.messages.popleft()
            if receiver == name:
                held.append((sender, receiver, message))
            else:
                self.feed(receiver, PeerDatagram(sender, message))
        return held

    def run(self, seconds):
        self.deliver()
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name in tuple(self.cores):
                self.feed(name, Tick())
            self.deliver()

    def request(self, name, number, key=b"k", attempt=1, deadline=0.0, **changes):
        event = RequestArrived(number, "ticket", False, key, attempt, deadline)
        self.feed(name, event._replace(**changes))
        self.deliver()

    def finish(self, name, number, answer=b"filed", outcome=DONE, started=True):
        self.feed(name, RequestFinished(number, outcome, started, answer))
        self.deliver()

    def effects_of(self, name, kind, number=None):
        return [
            effect
            for effect in self.effects_by_name[name]
            if isinstance(effect, kind) and number in (None, effect.request)
        ]

    def ran(self, name):
        return [effect.request for effect in self.effects_of(name, Run)]

    def outcome(self, name, number):
        found = self.effects_of(name, FinishRequest, number)
        return found[0].outcome if found else None

    def relayed(self, name, number):
        return [effect.peer for effect in self.effects_of(name, Relay, number)]

    def replayed(self, name, number):
        return [effect.answer for effect in self.effects_of(name, Replay, number)]

    def ranked(self, key=b"k"):
        return rank(key, self.members)
