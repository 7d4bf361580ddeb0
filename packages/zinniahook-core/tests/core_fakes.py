"""Fakes at the interfaces of the cores: a store, and agents with targets.

They execute the effects of real ``AgentCore`` objects and make no decisions.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from zinniahook_core import AgentCore, events
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.models import (
    Address,
    AgentState,
    Configuration,
    Key,
    Member,
    Protocol,
    RequestClass,
    Roster,
    Service,
)

KEYLESS_SUFFIX = b" without a key"
"""Suffix of the name of a request without an idempotency key."""
KEYS = {1: Key(1, bytes(range(32)))}
TICKET = {"ticket": RequestClass("ticket", "/", slots=1, deadline=8.0)}
SERVICES = {
    "tally": Service("tally", 1, Address("10.9.0.1", 443), classes_by_name=TICKET),
    "ledger": Service("ledger", 2, Address("10.9.0.2", 443), classes_by_name=TICKET),
    "feed": Service("feed", 3, Address("10.9.0.3", 900), Protocol.UDP, idle=600.0),
}


def configuration(generation):
    return Configuration(generation, SERVICES, KEYS, KEYS, 1, 1)


def answer_of(key):
    return b"answer of " + key


class Store:
    """Roster values with compare-and-swap, outages and lost answers."""

    def __init__(self):
        self.by_service = {}
        self.revision = 0
        self.down = False
        self.losing = False
        self.writes = 0

    def write(self, effect):
        if self.down:
            return events.RosterWritten(effect.operation, Code.STORE_DOWN, None)
        self.writes += 1
        service = effect.roster.service
        stored = self.by_service.get(service)
        if effect.roster.revision != (stored.revision if stored else 0):
            return events.RosterWritten(effect.operation, Code.CONFLICT, stored)
        self.revision += 1
        self.by_service[service] = effect.roster._replace(revision=self.revision)
        if self.losing:
            return events.RosterWritten(effect.operation, Code.STORE_ANSWER_LOST, None)
        written = self.by_service[service]
        return events.RosterWritten(effect.operation, Code.OK, written)


class Execution(NamedTuple):
    key: bytes
    attempt: int
    node: str


class CallerReply(NamedTuple):
    key: bytes
    attempt: int
    kind: OutcomeKind
    answer: bytes


class Delivery(NamedTuple):
    flow: bytes
    owner: tuple[str, int]


@dataclass
class Request:
    """A request at one agent; ``origin`` is the relaying agent and its number."""

    key: bytes
    attempt: int
    arrived: float
    origin: tuple["Node", int] | None = None
    cancelled: bool = False
    followers: list[int] = field(default_factory=list)


class Node:
    """One agent process with its target."""

    def __init__(self, cluster, name, service, number, incarnation):
        self.cluster, self.name, self.service = cluster, name, service
        address = Address("10.1.0.1", number)
        identity = Member(
            name, address, address, address, "z", incarnation, AgentState.STARTING, 2
        )
        self.core = AgentCore(identity, service, random.Random(number * incarnation))
        self.address = address
        self.alive, self.paused = True, False
        self.inbox = []
        self.leaving_since = None
        self.target = "sound"
        self.flows_by_id = {}
        self.requests = {}
        self.generation = 0

    def feed(self, event):
        """Pass an event to the core and execute its effects."""
        if not self.alive:
            return
        if self.paused:
            self.inbox.append((self.feed, event))
            return
        for effect in self.core.handle(self.cluster.now, event):
            handler = getattr(self, f"on_{type(effect).__name__.lower()}", None)
            if handler:
                handler(effect)
        self.cluster.check_generation(self)

    def resume(self):
        self.paused = False
        self.feed(events.Tick())
        inbox, self.inbox = self.inbox, []
        for function, *arguments in inbox:
            function(*arguments)

    def arrive(self, flow_id, key, attempt):
        """Receive a request on a connection of this process."""
        if not self.alive or flow_id not in self.flows_by_id:
            return
        number = self.add(Request(key, attempt, self.cluster.now))
        self.feed_request(number, "")

    def add(self, request):
        self.cluster.numbers += 1
        self.requests[self.cluster.numbers] = request
        return self.cluster.numbers

    def feed_request(self, number, relayed_by):
        request = self.requests.get(number)
        if request is None:
            return
        key = b"" if request.key.endswith(KEYLESS_SUFFIX) else request.key
        until = self.cluster.now + 8.0
        attempt = request.attempt
        self.feed(
            events.RequestArrived(
                number, "ticket", False, key, attempt, until, relayed_by
            )
        )

    def conclude(self, number, kind, answer=b""):
        request = self.requests.pop(number, None)
        if request is None:
            return
        for follower in request.followers:
            self.conclude(follower, kind, answer)
        if request.cancelled:
            return
        if request.origin is None:
            told = CallerReply(request.key, request.attempt, kind, answer)
            self.cluster.reported.append(told)
            return
        origin, at_origin = request.origin
        self.cluster.later(origin.relay_ended, at_origin, kind, answer)

    def relay_ended(self, number, kind, answer):
        if self.paused:
            self.inbox.append((self.relay_ended, number, kind, answer))
            return
        if number not in self.requests:
            return
        started = kind not in (OutcomeKind.NOT_RUN, OutcomeKind.CANCELLED_BEFORE)
        outcome = Outcome(kind, Code.OK, 1.0)
        self.feed(events.RequestFinished(number, outcome, started, answer))
        if kind is OutcomeKind.DONE:
            self.conclude(number, kind, answer)

    def target_ended(self, number, core):
        if self.paused:
            self.inbox.append((self.target_ended, number, core))
            return
        request = self.requests.get(number)
        if request is None or core is not self.core or not self.alive:
            return
        if self.target == "fails":
            failed = Outcome(OutcomeKind.UNKNOWN, Code.TARGET_FAILED)
            self.feed(events.RequestFinished(number, failed, True))
            return
        answer = answer_of(request.key)
        done = Outcome(OutcomeKind.DONE, Code.OK)
        self.feed(events.RequestFinished(number, done, True, answer))
        self.conclude(number, OutcomeKind.DONE, answer)

    def target_refused(self, number):
        """Answer like a target whose port accepts no connections."""
        refused = Outcome(OutcomeKind.NOT_RUN, Code.TARGET_FAILED, 1.0)
        self.feed(events.RequestFinished(number, refused, False))

    def cancel(self, number):
        """Cancel a request, as its caller or the agent that relayed it does."""
        if self.paused:
            self.inbox.append((self.cancel, number))
            return
        request = self.requests.get(number)
        if request is not None and not request.cancelled:
            request.cancelled = True
            self.feed(events.RequestCancelled(number))

    def on_cancelrequest(self, effect):
        for node in self.cluster.nodes.values():
            for number, request in node.requests.items():
                if request.origin == (self, effect.request):
                    self.cluster.later(node.cancel, number)

    def on_sendpeer(self, effect):
        self.cluster.send_peer(self, effect)

    def on_writeroster(self, effect):
        answer = self.cluster.store.write(effect)
        self.cluster.later(self.feed, answer)
        if answer.code in (Code.OK, Code.STORE_ANSWER_LOST):
            self.cluster.push_roster(effect.roster.service)

    def on_readroster(self, effect):
        store = self.cluster.store
        if not store.down:
            stored = store.by_service.get(effect.service, Roster(effect.service, 0, {}))
            self.cluster.later(self.feed, events.RosterChanged(stored))

    def on_acceptflow(self, effect):
        self.cluster.accepted(self, effect.flow)

    def on_handover(self, effect):
        peer = self.cluster.nodes[effect.peer]
        caller = Address("10.7.0.1", 1)
        opening = events.FlowOpening(self.service, effect.flow, caller, self.name)
        self.cluster.later(peer.feed, opening)

    def on_forwarddatagram(self, effect):
        peer, caller, entry, payload, hops, handed = effect
        event = events.FlowDatagram(
            self.service, caller, entry, payload, hops, self.name if handed else ""
        )
        self.cluster.later(self.cluster.nodes[peer].feed, event)

    def on_deliver(self, effect):
        self.cluster.delivered(self, effect)

    def on_run(self, effect):
        request = self.requests[effect.request]
        if self.target == "refuses":
            self.cluster.later(self.target_refused, effect.request)
            return
        self.cluster.executed(self, request)
        if self.target == "hangs":
            return
        seconds = self.cluster.rng.choice((0.05, 0.3, 2.5))
        self.cluster.at(seconds, self.target_ended, effect.request, self.core)

    def on_relay(self, effect):
        peer = self.cluster.nodes[effect.peer]
        if not peer.alive:
            unknown = OutcomeKind.UNKNOWN
            self.cluster.later(self.relay_ended, effect.request, unknown, b"")
            return
        own = self.requests[effect.request]
        relayed = Request(
            own.key, own.attempt, self.cluster.now, (self, effect.request)
        )
        self.cluster.later(peer.feed_request, peer.add(relayed), self.name)

    def on_joinrequest(self, effect):
        self.requests[effect.running].followers.append(effect.request)

    def on_replay(self, effect):
        self.conclude(effect.request, OutcomeKind.DONE, effect.answer)

    def on_finishrequest(self, effect):
        self.conclude(effect.request, effect.outcome.kind)

    def on_restart(self, effect):
        self.cluster.restarts += 1
        self.inbox.clear()
        self.drop_connections()

    def on_drained(self, effect):
        self.stop()
        self.cluster.stopped(self)

    def drop_connections(self):
        self.flows_by_id.clear()
        requests, self.requests = self.requests, {}
        for request in requests.values():
            if request.origin:
                origin, number = request.origin
                unknown = OutcomeKind.UNKNOWN
                self.cluster.later(origin.relay_ended, number, unknown, b"")

    def stop(self):
        self.alive = False
        self.drop_connections()
