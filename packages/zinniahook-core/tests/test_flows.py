"""Ownership of flows: openings, handing over, and planned and unplanned changes."""

import heapq
import random
from collections import defaultdict

import pytest
from zinniahook_core.asks import HELD_FLOWS, HELD_PACKETS
from zinniahook_core.codes import Code
from zinniahook_core.effects import (
    AcceptFlow,
    Deliver,
    Drop,
    EndFlow,
    ForwardDatagram,
    HandOver,
    SendPeer,
    ToAgent,
)
from zinniahook_core.entries import EntryCore
from zinniahook_core.events import (
    AnswerSeen,
    CallerDatagram,
    ConfigurationChanged,
    FlowDatagram,
    FlowOpening,
    RosterChanged,
    Tick,
)
from zinniahook_core.flows import HOP_LIMIT, Flows
from zinniahook_core.messages import FlowAnswer, FlowAsk, FlowPointers, Heartbeat
from zinniahook_core.models import (
    Address,
    AgentState,
    Configuration,
    Key,
    Load,
    Member,
    Protocol,
    Roster,
    Service,
)
from zinniahook_core.placement import Placement
from zinniahook_core.pointers import Pointer, Pointers
from zinniahook_core.routing import flow_key

KEYS = {1: Key(1, bytes(32))}
FEED = Service("feed", 9, Address("10.0.0.3", 900), Protocol.UDP, idle=30.0)
CONFIGURATION = Configuration(1, {"feed": FEED}, KEYS, KEYS, 1, 1)
ENTRY = Address("10.2.0.1", 7000)
TICK = 0.1


def member(name, state=AgentState.READY, incarnation=1):
    tunnel = Address("10.1.0.1", 7000 + int(name.split("-")[1]))
    return Member(name, tunnel, tunnel, tunnel, "thies-1", incarnation, state, 4)


def roster(revision, members):
    return Roster("feed", revision, {one.name: one for one in members})


def caller(number):
    return Address(f"10.7.{number >> 8}.{number & 255}", 5000)


class Network:
    """Several agents and entries, and messages that are lost, doubled, late."""

    def __init__(self, seed, agents, loss=0.0, doubled=0.0, latency=0.02, entries=3):
        self.rng = random.Random(seed)
        self.loss, self.doubled, self.latency = loss, doubled, latency
        self.now = 0.0
        self.queue, self.order = [], 0
        self.members = {
            f"a-{number}": member(f"a-{number}") for number in range(agents)
        }
        self.flows_by_name, self.placements_by_name = {}, {}
        self.dead = set()
        self.revision = 0
        self.delivered = defaultdict(list)
        self.entries = [self.new_entry() for _ in range(entries)]
        for name in self.members:
            self.start(name)
        self.publish(delay=0.0)
        self.run(0.1)

    def new_entry(self):
        core = EntryCore(random.Random(self.rng.random()))
        core.handle(self.now, ConfigurationChanged(CONFIGURATION))
        if self.revision:
            core.handle(self.now, RosterChanged(self.current()))
        return core

    def current(self):
        return roster(self.revision, self.members.values())

    def start(self, name):
        placement = Placement(name, random.Random(self.rng.random()))
        load = Load(4, 0, 0, 0, 0)
        flows = Flows(name, placement, lambda now: load._replace(flows=flows.count))
        flows.configure(self.now, FEED)
        self.flows_by_name[name], self.placements_by_name[name] = flows, placement
        self.dead.discard(name)

    def join(self, *names, delay=2.0):
        for name in names:
            self.members[name] = member(name)
            self.start(name)
        self.publish(delay)

    def leave(self, name, delay=2.0):
        self.flows_by_name[name].leave()
        self.members[name] = self.members[name]._replace(state=AgentState.LEAVING)
        self.publish(delay)

    def publish(self, delay=2.0):
        """Let everybody learn the roster at a time of its own."""
        self.revision += 1
        for name in self.flows_by_name:
            late = delay * self.rng.random()
            self.post(late, ("roster", name, self.current()))
        for entry in self.entries:
            late = delay * self.rng.random()
            self.post(late, ("entry-roster", entry, self.current()))

    def post(self, late, item):
        self.order += 1
        heapq.heappush(self.queue, (self.now + late, self.order, item))

    def transmit(self, item):
        copies = 2 if self.rng.random() < self.doubled else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self.post(self.latency * self.rng.random(), item)

    def send(self, number, payload=b"x"):
        """Send one datagram of a caller by way of any entry."""
        entry = self.rng.choice(self.entries)
        event = CallerDatagram("feed", caller(number), payload)
        for effect in entry.handle(self.now, event):
            if isinstance(effect, ToAgent):
                name = f"a-{effect.agent.port - 7000}"
                self.post(0.001, ("datagram", name, entry, number, payload, 0, ""))

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            boundary = min(until, self.now + TICK)
            while self.queue and self.queue[0][0] <= boundary:
                self.now, _, item = heapq.heappop(self.queue)
                self.step(item)
            self.now = boundary
            self.tick()

    def tick(self):
        for entry in self.entries:
            entry.handle(self.now, Tick())
        for name, flows in self.flows_by_name.items():
            if name not in self.dead:
                self.apply(name, None, flows.tick(self.now))
                self.beat(name, flows)

    def beat(self, name, flows):
        load = Load(4, 0, 0, flows.count, 0)
        sequence = round(self.now / TICK)
        heartbeat = Heartbeat(1, sequence, 1, load, flows.leaving)
        for peer, placement in self.placements_by_name.items():
            if peer != name:
                placement.heartbeat(self.now, name, heartbeat)

    def step(self, item):
        kind, name, *rest = item
        if kind == "entry-roster":
            name.handle(self.now, RosterChanged(rest[0]))
            return
        if name in self.dead or name not in self.flows_by_name:
            return
        flows = self.flows_by_name[name]
        if kind == "roster":
            flows.roster(self.now, rest[0])
            self.placements_by_name[name].roster(self.now, rest[0])
        elif kind == "message":
            self.apply(name, None, flows.peer(self.now, *rest))
        else:
            entry, number, payload, hops, handed_by = rest
            event = FlowDatagram(
                "feed", caller(number), ENTRY, payload, hops, handed_by
            )
            self.apply(name, (entry, number), flows.datagram(self.now, event))

    def apply(self, name, origin, effects):
        for effect in effects:
            if isinstance(effect, SendPeer):
                self.transmit(("message", effect.peer, name, effect.message))
            elif isinstance(effect, Deliver):
                self.deliver(name, effect)
            elif isinstance(effect, ForwardDatagram):
                self.pass_on(name, effect)
            elif isinstance(effect, EndFlow):
                self.flows_by_name[name].closed(effect.flow)

    def pass_on(self, name, effect):
        number = self.number(effect.caller)
        handed_by = name if effect.handed else ""
        rest = (None, number, effect.payload, effect.hops, handed_by)
        self.post(self.latency * self.rng.random(), ("datagram", effect.peer, *rest))

    def deliver(self, name, effect):
        self.delivered[self.number(effect.caller)].append(name)
        entry = self.rng.choice(self.entries)
        tunnel = self.members[name].tunnel
        entry.handle(self.now, AnswerSeen("feed", effect.caller, tunnel))

    def number(self, address):
        parts = address.host.split(".")
        return int(parts[2]) * 256 + int(parts[3])

    def open(self, count):
        for number in range(count):
            self.send(number)
        self.run(3.0)
        assert all(len(self.delivered[number]) == 1 for number in range(count))
        return {number: self.delivered[number][0] for number in range(count)}

    def talk(self, count, seconds=5.0, pause=0.5):
        """Let every caller send now and then."""
        sent = 0
        while seconds > 0:
            for number in range(count):
                self.send(number)
            sent += 1
            self.run(pause)
            seconds -= pause
        return sent

    def moved(self, owners):
        return [
            number
            for number, owner in owners.items()
            if set(self.delivered[number]) != {owner}
        ]


COUNT = 300


class TestPlannedChanges:
    @pytest.mark.parametrize("seed", range(3))
    def test_join_under_traffic(self, seed):
        """A tally stream moved to another target when an agent joined.

        Symptom: the target gets the middle of a stream it never saw begin.
        Sequence: a new agent becomes the home of established flows; entries
        and agents learn the roster up to two seconds apart; packets arrive.
        Cause: the new home opens what it doesn't know.
        """
        network = Network(seed, 5, loss=0.1, doubled=0.1)
        owners = network.open(COUNT)
        network.join("a-5")
        sent = network.talk(COUNT)
        assert network.moved(owners) == []
        assert all(len(network.delivered[number]) == sent + 1 for number in owners)

    @pytest.mark.parametrize("seed", range(3))
    def test_two_joins_at_once_and_every_entry_replaced(self, seed):
        """As above, twice at the same moment and without owners' hints.

        Sequence: two agents join; the entries that know the owners die.
        Cause: the former home is only the third in rank.
        """
        network = Network(seed, 4, loss=0.1, doubled=0.1)
        owners = network.open(COUNT)
        network.join("a-4", "a-5")
        network.entries = [network.new_entry() for _ in range(2)]
        network.talk(COUNT)
        assert network.moved(owners) == []

    @pytest.mark.parametrize("seed", range(3))
    def test_leave_and_join_in_turn(self, seed):
        """A rolling replacement cut streams of an agent that was draining.

        Symptom: streams restart during a planned roll.
        Sequence: each agent leaves while a new one joins, its flows go on
        until it is done; new flows open meanwhile.
        Cause: routing known flows by who may take new ones.
        """
        network = Network(seed, 4, loss=0.05, doubled=0.05)
        owners = network.open(COUNT)
        for number in range(4):
            network.leave(f"a-{number}")
            network.join(f"a-{number + 4}")
            network.talk(COUNT, seconds=2.0)
        network.entries = [network.new_entry() for _ in range(2)]
        network.talk(COUNT, seconds=1.0)
        assert network.moved(owners) == []

    def test_handed_flows_stay_when_their_home_and_their_owner_s_peers_change(self):
        """A flow that had been handed over moved at the next change.

        Symptom: streams restart, but only those that live away from home.
        Sequence: a home hands openings to less loaded peers; it leaves and
        another agent joins in the same moment; entries are replaced.
        Cause: the new home asks the former one, which is gone.
        """
        network = Network(8, 4, loss=0.1)
        network.run(1.0)
        home = network.flows_by_name["a-0"].homes.home
        owners = network.open(COUNT)
        handed = [n for n in owners if home(flow_key(caller(n))).name != owners[n]]
        assert len(handed) > COUNT // 20
        network.leave("a-1")
        network.join("a-4")
        network.entries = [network.new_entry() for _ in range(2)]
        network.talk(COUNT)
        assert network.moved(owners) == []

    def test_without_overlap_windows_the_check_fails(self, monkeypatch):
        """The check above can fail: here a new home never asks."""
        monkeypatch.setattr(
            "zinniahook_core.homes.Homes.was_elsewhere", lambda *arguments: False
        )
        network = Network(1, 4)
        owners = network.open(COUNT)
        network.join("a-4", delay=0.0)
        network.entries = [network.new_entry() for _ in range(2)]
        network.talk(COUNT, seconds=1.0, pause=0.05)
        assert network.moved(owners) != []

    def test_a_leaving_agent_gets_no_new_flows(self):
        network = Network(1, 4)
        network.open(50)
        network.leave("a-0")
        network.run(3.0)
        for number in range(1000, 1200):
            network.send(number)
        network.run(2.0)
        opened = [network.delivered[number] for number in range(1000, 1200)]
        assert all(len(names) == 1 for names in opened)
        assert ["a-0"] not in opened

    def test_a_quiet_flow_keeps_its_owner_while_its_home_changes_twice(self):
        """A stream that was silent during two changes was opened anew.

        Symptom: the first packet after a quiet time reaches a new target.
        Sequence: the home of a handed flow is replaced, and replaced again,
        with no packet in between; then new entries route by rank.
        Cause: pointers made only when packets pass.
        """
        network = Network(2, 4, loss=0.1)
        owners = network.open(COUNT)
        network.join("a-4")
        network.run(8.0)
        network.leave("a-4")
        network.join("a-5")
        network.run(8.0)
        network.entries = [network.new_entry()]
        network.talk(COUNT, seconds=1.0)
        assert network.moved(owners) == []

    def test_pointers_outlive_hours_of_direct_routing(self):
        """A feed broke when the entry that remembered its owner died.

        Symptom: a flow moves long after the last change.
        Sequence: the entry sends straight to the owner, so the home sees no
        packet for longer than the idle time; then the entry is replaced.
        Cause: a pointer that is renewed by packets only.
        """
        network = Network(3, 4)
        owners = network.open(60)
        network.join("a-4")
        for _ in range(8):
            network.talk(60, seconds=1.0, pause=1.0)
            network.run(10.0)
        network.entries = [network.new_entry()]
        network.talk(60, seconds=1.0)
        assert network.moved(owners) == []


class TestUnplanned:
    def test_a_dead_home_keeps_no_new_flow_waiting(self):
        """New flows of a dead home went nowhere until it was marked down.

        Sequence: the home dies; an entry that has suspended it sends the
        opening to the next in rank, which asks the home in vain.
        """
        network = Network(4, 4)
        home = network.flows_by_name["a-0"].homes
        numbers = [
            n for n in range(400) if home.home(flow_key(caller(n))).name == "a-1"
        ]
        network.dead.add("a-1")
        for number in numbers:
            network.post(
                0.0, ("datagram", "a-2", network.entries[0], number, b"x", 0, "")
            )
        network.run(2.0)
        assert all(len(network.delivered[number]) == 1 for number in numbers)
        assert len(numbers) > 50

    def test_flows_of_others_survive_a_dead_home(self):
        """Handed flows were lost along with the agent that handed them.

        Sequence: the home hands flows to peers and dies; it is marked down;
        the next home is asked for them by new entries.
        Cause: the pointer was kept at the home only.
        """
        network = Network(5, 5, loss=0.05)
        owners = network.open(COUNT)
        network.dead.add("a-0")
        network.members["a-0"] = network.members["a-0"]._replace(state=AgentState.DOWN)
        network.publish()
        network.run(6.0)
        network.entries = [network.new_entry()]
        network.talk(COUNT, seconds=1.0)
        kept = {number: name for number, name in owners.items() if name != "a-0"}
        assert network.moved(kept) == []
        assert all(len(network.delivered[n]) > 1 for n in owners)

    def test_a_restarted_home_learns_its_flows_again(self):
        """A home that came back with a new incarnation opened flows twice.

        Sequence: an agent restarts at once under its name; the owners of
        its flows still believe that it knows them.
        """
        network = Network(6, 4, loss=0.05)
        owners = network.open(COUNT)
        network.start("a-0")
        network.members["a-0"] = member("a-0", incarnation=2)
        network.publish()
        network.run(6.0)
        network.entries = [network.new_entry()]
        network.talk(COUNT, seconds=1.0)
        kept = {number: name for number, name in owners.items() if name != "a-0"}
        assert network.moved(kept) == []

    @pytest.mark.parametrize("age", [3.0, 20.0])
    def test_two_owners_become_one(self, age):
        """One caller's packets were spread over two targets for good.

        Sequence: the home is paused when a peer asks it, so the peer opens
        the flow that the home owns already; the home wakes up.
        Cause: the peer claimed the flow, and a home whose own was young gave
        way, although the other was younger still.
        """
        network = Network(7, 3)
        owners = network.open(40)
        network.run(age)
        number = next(n for n, name in owners.items() if name == "a-0")
        network.dead.add("a-0")
        network.post(0.0, ("datagram", "a-1", network.entries[0], number, b"x", 0, ""))
        network.run(1.0)
        network.dead.discard("a-0")
        network.run(3.0)
        flow = flow_key(caller(number))
        owning = [n for n, f in network.flows_by_name.items() if f.owns(flow)]
        assert owning == ["a-0"]


class Fixture:
    """One agent on its own, with peers that are only names."""

    def __init__(self, names=("a-0", "a-1", "a-2"), load=None):
        self.load = load or Load(4, 0, 0, 0, 0)
        self.placement = Placement("a-0", random.Random(1))
        self.flows = Flows("a-0", self.placement, lambda now: self.load)
        self.flows.configure(0.0, FEED)
        self.members = [member(name) for name in names]
        self.learn(0.0, 1)

    def learn(self, now, revision):
        known = roster(revision, self.members)
        self.flows.roster(now, known)
        self.placement.roster(now, known)

    def number_at(self, name):
        homes = self.flows.homes
        return next(
            n for n in range(1000) if homes.home(flow_key(caller(n))).name == name
        )

    def datagram(self, now, number, payload=b"x", hops=0, handed_by=""):
        event = FlowDatagram("feed", caller(number), ENTRY, payload, hops, handed_by)
        return self.flows.datagram(now, event)


class TestDatagrams:
    def test_a_home_of_long_standing_opens_at_once(self):
        one = Fixture()
        number = one.number_at("a-0")
        effects = one.datagram(100.0, number)
        assert AcceptFlow(flow_key(caller(number))) in effects
        assert any(isinstance(effect, Deliver) for effect in effects)

    def test_a_home_that_has_just_started_asks_first(self):
        one = Fixture()
        number = one.number_at("a-0")
        asks = [e for e in one.datagram(1.0, number) if isinstance(e, SendPeer)]
        assert {ask.peer for ask in asks} == {"a-1", "a-2"}
        flow = flow_key(caller(number))
        ask = asks[0].message
        assert one.flows.peer(1.0, "a-1", FlowAnswer(ask.number, flow, "")) == []
        effects = one.flows.peer(1.0, "a-2", FlowAnswer(ask.number, flow, "a-2"))
        forward = ForwardDatagram("a-2", caller(number), ENTRY, b"x", 1)
        assert effects == [forward]

    def test_asks_are_repeated_and_time_out(self):
        one = Fixture()
        number = one.number_at("a-0")
        one.datagram(1.0, number)
        again = [e for e in one.flows.tick(1.15) if isinstance(e, SendPeer)]
        assert len(again) == 2
        effects = one.flows.tick(1.6)
        assert Deliver(flow_key(caller(number)), caller(number), ENTRY, b"x") in effects

    def test_a_late_answer_to_an_older_ask_is_ignored(self):
        one = Fixture()
        number = one.number_at("a-0")
        one.datagram(1.0, number)
        flow = flow_key(caller(number))
        assert one.flows.peer(1.0, "a-1", FlowAnswer(99, flow, "a-1")) == []

    def test_hops_are_bounded(self):
        """Two agents passed one packet to and fro for ever.

        Symptom: the traffic between two agents grows without any caller.
        Cause: each holds a pointer to the other.
        """
        one = Fixture()
        number = one.number_at("a-1")
        flow = flow_key(caller(number))
        one.flows.peer(0.0, "a-1", FlowPointers("a-1", 1, (flow,)))
        assert len(one.datagram(0.0, number, hops=HOP_LIMIT - 1)) == 1
        assert one.datagram(0.0, number, hops=HOP_LIMIT) == [Drop(Code.HOP_LIMIT)]

    def test_held_packets_are_bounded(self):
        one = Fixture()
        number = one.number_at("a-0")
        for _ in range(HELD_PACKETS):
            assert Drop(Code.FLOW_LIMIT) not in one.datagram(1.0, number)
        assert one.datagram(1.0, number) == [Drop(Code.FLOW_LIMIT)]
        dropped = sum(
            Drop(Code.FLOW_LIMIT) in one.datagram(1.0, 1000 + n)
            for n in range(HELD_FLOWS * 2)
        )
        assert dropped >= HELD_FLOWS

    def test_an_idle_flow_ends_and_an_answered_one_does_not(self):
        one = Fixture()
        first, second = 1, 2
        one.datagram(0.0, first, handed_by="a-1")
        one.datagram(0.0, second, handed_by="a-1")
        one.flows.answered(20.0, flow_key(caller(second)))
        ended = [e for e in one.flows.tick(31.0) if isinstance(e, EndFlow)]
        assert ended == [EndFlow(flow_key(caller(first)))]
        assert one.flows.count == 1

    def test_a_leaving_home_refuses_when_nobody_is_ready(self):
        one = Fixture(names=("a-0",))
        one.flows.leave()
        assert one.datagram(100.0, 1) == [Drop(Code.LEAVING)]

    def test_answers_name_the_owner(self):
        one = Fixture()
        one.datagram(0.0, 1, handed_by="a-1")
        flow = flow_key(caller(1))
        answer = one.flows.peer(0.0, "a-2", FlowAsk(5, flow))
        assert answer == [SendPeer("a-2", FlowAnswer(5, flow, "a-0"))]

    def test_pointers_of_a_former_incarnation_are_void(self):
        one = Fixture()
        flow = flow_key(caller(1))
        one.members[1] = member("a-1", incarnation=3)
        one.learn(0.0, 2)
        assert one.flows.peer(0.0, "a-1", FlowPointers("a-1", 2, (flow,))) == []


class TestOpenings:
    def busy(self):
        one = Fixture(load=Load(4, 4, 3, 900, 0))
        for sequence in range(2):
            for name in ("a-1", "a-2"):
                beat = Heartbeat(1, sequence, 1, Load(4, 0, 0, 100, 0))
                one.placement.heartbeat(50.0, name, beat)
        return one

    def test_a_loaded_agent_hands_over_and_sticks_to_its_choice(self):
        one = self.busy()
        first = one.flows.opening(50.0, FlowOpening("feed", b"12345678", caller(1)))
        assert isinstance(first[0], HandOver)
        for _ in range(20):
            again = one.flows.opening(50.1, FlowOpening("feed", b"12345678", caller(1)))
            assert again == [first[0]]

    def test_what_was_handed_over_is_taken(self):
        one = self.busy()
        event = FlowOpening("feed", b"12345678", caller(1), handed_by="a-1")
        assert one.flows.opening(50.0, event)[0] == AcceptFlow(b"12345678")

    def test_a_leaving_agent_takes_no_opening(self):
        one = Fixture(names=("a-0",))
        one.flows.leave()
        event = FlowOpening("feed", b"12345678", caller(1))
        assert one.flows.opening(0.0, event) == [Drop(Code.LEAVING)]

    def test_a_closed_flow_is_no_longer_counted(self):
        one = Fixture()
        event = FlowOpening("feed", b"12345678", caller(1), handed_by="a-1")
        one.flows.opening(0.0, event)
        assert one.flows.count == 1
        assert one.flows.closed(b"12345678") == []
        assert one.flows.count == 0


class TestPointers:
    def test_bounded_and_aged(self):
        table = Pointers(limit=10)
        for number in range(30):
            table.put(bytes((number,)), Pointer("a-1", 1, until=float(number)))
        assert len(table) == 10
        assert table.evicted == 20
        table.expire(25.0, 100)
        assert len(table) == 4
