"""Results for callers of an overloaded service, by kind and data centre.

Six targets of four slots need 0.1 s for a request, so they serve 240 requests a
second, each on a flow of its own. A caller tries three times and needs its answer in
0.4 s. One of five callers sends an edit, which is more urgent.
"""

import random
import statistics

import pytest
from zinniahook_core.packets import Features, Flag, Route, ServiceShare, State, Urgency
from zinniahook_core.packets.allocation import Count, TrafficClass, encode_counts
from zinniahook_core.packets.sections import Section
from zinniahook_core.packets.tunnel import Status, zone_tag
from zinniahook_testkit.packetsimulation import DATA_CENTRES, PacketSimulation

FLOOR = (ServiceShare("floor", 1.0),)
WORK = 0.1
RATE = 60.0
"""Requests a second in a data centre: three quarters of the capacity in all. A burst
of 3.1 times in one of three data centres is one of 1.7 times in all."""

EDITS = 0.2
GOAL = 0.4
DEADLINE = 5.0
TRIES = 3
PAUSE = 0.1
STEP = 0.02
OFF = Features(shared_room=False, expected_work=False)
ON = Features(shared_room=True, expected_work=False)


class Caller:
    """A request and its attempts."""

    def __init__(self, sim, centre, route):
        self.begun = self.idle_since = sim.now
        self.centre = centre
        self.route = route
        self.tries = 0
        self.done = None
        self.open(sim)

    def open(self, sim):
        self.tries += 1
        self.flow = sim.open_at(self.centre, self.route)

    def poll(self, sim):
        if self.done is not None or sim.now - self.begun > DEADLINE:
            return
        if self.flow.answers:
            self.done = sim.now - self.begun
        elif self.flow.state not in ("timeout", "reset"):
            self.idle_since = sim.now
        elif self.tries < TRIES and sim.now - self.idle_since >= PAUSE:
            self.open(sim)

    @property
    def worth(self):
        """The worth of its answer; a late answer is worth 0.3."""
        if self.done is None:
            return 0.0
        return 1.0 if self.done <= GOAL else 0.3


class CapacitySimulation(PacketSimulation):
    """A simulation in which clients use the entries of their data centre.

    ``wrong`` counts resets that were sent while an agent had a free slot.
    """

    def __init__(self, seed, features=OFF, agents=6):
        super().__init__(seed, {"floor": agents}, features=features)
        self.draw = random.Random(seed)
        self.centre_of = {}
        self.callers = []
        self.wrong = 0
        self.rates = dict.fromkeys(DATA_CENTRES, RATE)
        self.edits = EDITS
        self.set_route(1, Route("feed", FLOOR, Urgency(2, GOAL)))
        self.set_route(2, Route("edit", FLOOR, Urgency(1, GOAL)))
        self.slow_down()
        self.run(0.6)

    @property
    def agents(self):
        return list(self.agents_by_address.values())

    def slow_down(self):
        for agent in self.agents:
            agent.target.work = WORK

    def open_at(self, centre, route):
        self.next_centre = centre
        return self.open_flow(route)

    def from_client(self, raw):
        key = raw[:12]
        centre = self.centre_of.setdefault(key, getattr(self, "next_centre", "a"))
        entry = next(
            core
            for address, core in self.entries_by_address.items()
            if self._centres[address] == centre
        )
        self.at(0.001, lambda: entry.client(self.now, raw))

    def send_client(self, sender, flow, raw):
        if raw[12] & Flag.RESET:
            self.wrong += any(
                agent.core.flows.busy < agent.core.membership.slots
                and not len(agent.core.openings.waiting)
                for agent in self.agents
                if agent.target.alive
            )
        super().send_client(sender, flow, raw)

    def run_load(self, seconds):
        owed = dict.fromkeys(DATA_CENTRES, 0.0)
        until = self.now + seconds
        while self.now < until:
            for centre, rate in self.rates.items():
                owed[centre] += rate * STEP
                while owed[centre] >= 1:
                    owed[centre] -= 1
                    route = 2 if self.draw.random() < self.edits else 1
                    self.callers.append(Caller(self, centre, route))
            self.run(STEP)
            for caller in self.callers:
                caller.poll(self)


def burst(sim):
    sim.rates["a"] *= 3.1
    sim.run_load(3.0)
    sim.rates["a"] = RATE


def all_doubled(sim):
    sim.rates = dict.fromkeys(DATA_CENTRES, 1.8 * RATE)
    sim.run_load(3.0)
    sim.rates = dict.fromkeys(DATA_CENTRES, RATE)


def half_lost(sim):
    for agent in sim.agents[::2]:
        agent.target.alive = False
    sim.run_load(3.0)
    for agent in sim.agents[::2]:
        sim.start_target(agent)
    sim.slow_down()


def third_cut_off(sim):
    cut = [agent.address for agent in sim.agents[:2]]
    everyone = [*sim.agents_by_address, *sim.entries_by_address]
    sim.cut = {frozenset((a, b)) for a in cut for b in everyone if a != b}
    sim.rates = dict.fromkeys(DATA_CENTRES, 1.5 * RATE)
    sim.run_load(3.0)
    sim.cut = set()
    sim.rates = dict.fromkeys(DATA_CENTRES, RATE)


def restarted(sim):
    sim.rates = dict.fromkeys(DATA_CENTRES, 2.0 * RATE)
    sim.run_load(1.5)
    for agent in sim.agents:
        sim.start_agent(agent)
    sim.run_load(1.5)
    sim.rates = dict.fromkeys(DATA_CENTRES, RATE)


def edits_doubled(sim):
    sim.edits = 2 * EDITS
    sim.rates = dict.fromkeys(DATA_CENTRES, 1.5 * RATE)
    sim.run_load(3.0)
    sim.edits = EDITS
    sim.rates = dict.fromkeys(DATA_CENTRES, RATE)


def stays_overloaded(sim):
    sim.rates = dict.fromkeys(DATA_CENTRES, 2.0 * RATE)
    sim.run_load(9.0)
    sim.rates = dict.fromkeys(DATA_CENTRES, RATE)


SHORT = (burst, all_doubled, edits_doubled, half_lost, third_cut_off)


def run_scenario(seed, scenario, features):
    sim = CapacitySimulation(seed, features)
    sim.run_load(0.5)
    scenario(sim)
    sim.run_load(4.0)
    return sim


def shares(sim):
    """Return the mean worth of the answers, by kind and by data centre."""
    by_cell = {}
    for caller in sim.callers:
        if sim.now - caller.begun < 1.0:
            continue
        for cell in (caller.route, caller.centre, "all"):
            by_cell.setdefault(cell, []).append(caller.worth)
    return {cell: statistics.fmean(worths) for cell, worths in by_cell.items()}


class TestShortOverload:
    """Callers fail in a burst that their three attempts would have outlasted.

    Demand exceeds the capacity for three seconds, and a third of the openings is
    rejected at once. Each client tries three times within a second, before the burst
    ends. Each rejection is right at its time but still costs an answer.
    """

    @pytest.mark.parametrize("scenario", SHORT)
    def test_nothing_is_rejected(self, scenario):
        sim = run_scenario(0, scenario, ON)
        assert sim.log.counts["opening.rejected"] == 0
        assert min(shares(sim).values()) > 0.5


class TestLongOverload:
    """Attempts time out after 1.4 s while a service has half of the needed capacity.

    Openings wait at every agent. The newest are served, the others are dropped after
    1.2 s, and their clients try again too late for their goal. Without a rejection
    clients don't know that an attempt has failed.
    """

    @pytest.mark.parametrize("seed", range(2))
    def test_callers_get_more_and_no_kind_starves(self, seed):
        plain = run_scenario(seed, stays_overloaded, OFF)
        sim = run_scenario(seed, stays_overloaded, ON)
        before, after = shares(plain), shares(sim)
        assert sim.log.counts["opening.rejected"] > 100
        assert plain.log.counts["opening.rejected"] == 0
        assert after["all"] > before["all"] - 0.005
        assert after[2] > 0.95
        assert min(after.values()) > min(before.values()) - 0.01

    def test_only_while_no_slot_is_free_and_once_an_agent(self):
        sim = run_scenario(2, stays_overloaded, ON)
        assert sim.wrong == 0
        assert sim.log.counts["room.overloaded"] > 0
        assert sim.log.counts["room.overloaded"] <= 2 * len(sim.agents)
        assert sim.log.counts["room.relieved"] == sim.log.counts["room.overloaded"]

    def test_restarts_in_the_middle_end_it(self):
        """An agent that has just started rejects no opening until it knows the load."""
        sim = run_scenario(0, restarted, ON)
        assert sim.log.counts["opening.rejected"] == 0


class TestOpenFlows:
    """No open flow is ended for lack of capacity."""

    def test_none_is_reset(self):
        sim = run_scenario(1, stays_overloaded, ON)
        assert sim.resets == []
        assert sim.findings() == []


class TestSwitches:
    """Features that are off add no bytes and change no decision."""

    def sections(self, features):
        sim = CapacitySimulation(0, features)
        for agent in sim.agents:
            agent.target.alive = False
        sim.rates = dict.fromkeys(DATA_CENTRES, RATE)
        sim.run_load(1.0)
        sim.slow_down()
        sections = set()
        for agent in sim.agents:
            for member in agent.core.roster.by_address.values():
                sections |= set(member.sections)
        return sections

    def test_off(self):
        assert self.sections(OFF) == set()

    def test_on_where_the_configuration_calls_for_it(self):
        assert self.sections(Features()) >= {Section.WORK}

    def test_each_on_its_own(self):
        assert Section.WORK not in self.sections(ON)


class TestCopies:
    """Copies of a rejected opening."""

    @pytest.fixture
    def sim(self):
        """Return a simulation in which every home considers all others overloaded."""
        sim = CapacitySimulation(3, ON)
        names = list(sim.agents_by_address)
        sim.cut = {frozenset((a, b)) for a in names for b in names if a != b}
        waiting = {TrafficClass(zone_tag("a"), 2): Count(4.0, 200)}
        sections = {Section.DEMAND: encode_counts(waiting)}
        for agent in sim.agents:
            agent.core.membership.leaving = True
        sim.run(0.3)
        for agent in sim.agents:
            agent.core.home.room.since = 0.0
            for member in agent.core.roster.by_address.values():
                if member.address == agent.address:
                    continue
                # A member keeps the state of earlier statuses until they expire.
                member.state = State.READY
                status = Status(
                    member.incarnation, State.READY, 4, 9.0, 0, 0.0, 9.0, sections
                )
                member.update(status, sim.now + 1.5)
        sim.run(0.25)
        return sim

    def relieve(self, sim):
        sim.cut = set()
        for agent in sim.agents:
            agent.core.membership.leaving = False

    def test_the_first_one_is_reset_before_the_client_sends_a_copy(self, sim):
        flow = sim.open_at("a", 1)
        sim.run(0.19)
        assert flow.state == "reset"
        assert not any(agent.target.openings for agent in sim.agents)

    def test_a_client_that_got_no_reset_is_served(self, sim, monkeypatch):
        """A client is never served although others are.

        Its reset is lost, and it sends copies, which are treated as copies of an
        opening that has ended.
        """
        send = sim.send_client
        lost = lambda sender, flow, raw: (  # noqa: E731
            None if raw[12] & Flag.RESET else send(sender, flow, raw)
        )
        monkeypatch.setattr(sim, "send_client", lost)
        flow = sim.open_at("a", 1)
        sim.run(0.19)
        assert sim.log.counts["opening.rejected"] == 1
        self.relieve(sim)
        sim.run(0.3)
        assert flow.state == "open"
        sim.run(0.5)
        assert flow.answers

    def test_a_duplicate_from_the_network_changes_nothing(self, sim):
        flow = sim.open_at("a", 1)
        again = sim.codec.write(flow.key, Flag.OPENING, flow.first, 0)
        sim.run(0.01)
        sim.from_client(again)
        sim.run(0.15)
        sim.from_client(again)
        sim.run(1.0)
        assert flow.state == "reset"
        assert not any(agent.target.openings for agent in sim.agents)
