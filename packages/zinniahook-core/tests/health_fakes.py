"""A service of small fake targets with the real health and placement code.

Each target has slots and a queue. Agents receive each other's statuses every 0.2 s, and
one home places the openings. There are no packets and no network: the simulation covers
where openings go, what becomes of their requests, and the agents' verdicts.
"""

import heapq
import itertools
import random

from zinniahook_core.packets import Answer, State, placement
from zinniahook_core.packets.flows import Flow, Flows, FlowState
from zinniahook_core.packets.health import Health, Phase
from zinniahook_core.packets.member import Member
from zinniahook_core.packets.members import Roster
from zinniahook_core.packets.reports import encode_health
from zinniahook_core.packets.sections import Section
from zinniahook_core.packets.tunnel import Status

TICK = 0.05
STATUS = 0.2
GOAL = 0.4
WORK = 0.05
LATE = 0.4
ABANDONED = 3.0
ANSWER_WEIGHT = 0.1


class RecordingLog:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []
        self.counts = {}

    def event(self, name, **fields):
        self.lines.append((name, fields))

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount

    def observe(self, name, seconds, **labels):
        pass

    def events(self, name):
        return [fields for event, fields in self.lines if event == name]


class FakeTarget:
    """A target and its agent; ``fault`` is how it fails a share of its requests."""

    def __init__(self, address, rng, slots=3):
        self.address = address
        self.rng = rng
        self.slots = slots
        self.fault = ""
        self.share = 0.0
        self.kinds_failing = frozenset()
        self.free_at = [0.0] * slots
        self.log = RecordingLog()
        self.answer_time = 0.0
        self.member = Member(address, 0)
        self.restart()

    def restart(self):
        """Restart the agent, which loses its state."""
        self.flows = Flows()
        self.health = Health(self.log, self.flows)

    def outcome(self, kind):
        if kind in self.kinds_failing:
            return "errors"
        return self.fault if self.rng.random() < self.share else ""

    def serve(self, now, work):
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + work)
        return start + work

    def status(self, now):
        return Status(
            1,
            State.READY,
            self.slots,
            self.flows.busy,
            len(self.flows),
            0.0,
            self.answer_time,
            {Section.HEALTH: encode_health(self.health.report(now))},
        )


class Service:
    """Targets, their callers, and the clock.

    ``criteria`` names what placement uses: "times" alone, "shares" of failures, or
    both.
    """

    def __init__(self, seed, size=10, criteria=frozenset(("times", "shares"))):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.criteria = criteria
        self.targets = [FakeTarget(f"10.0.0.{n}", self.rng) for n in range(1, size + 1)]
        self.by_address = {target.address: target for target in self.targets}
        self.roster = Roster("floor")
        self.roster.by_address = {t.address: t.member for t in self.targets}
        self.asked = self.failed = self.late = 0
        self._numbers = itertools.count()
        self._ends = []
        self._tick_at = self._tell_at = 0.0

    def run(self, seconds, rate, kinds=(1, 2), base=0.0):
        """Simulate callers; return the shares of failed and of late requests."""
        asked, failed, late = self.asked, self.failed, self.late
        until = self.now + seconds
        self._base = base
        while self.now < until:
            self._step(min(until, self.now + self.rng.expovariate(rate)))
            self._place(self.rng.choice(kinds))
        came = max(1, self.asked - asked)
        return (self.failed - failed) / came, (self.late - late) / came

    def _step(self, until):
        while True:
            end = self._ends[0][0] if self._ends else float("inf")
            moment = min(end, self._tick_at, until)
            self.now = max(self.now, moment)
            if moment == end and end <= until:
                _, _, finish = heapq.heappop(self._ends)
                finish()
            elif moment == self._tick_at and moment <= until:
                self._tick()
            else:
                return

    def _tick(self):
        self._tick_at = self.now + TICK
        changed = False
        for target in self.targets:
            if "shares" in self.criteria:
                changed |= target.health.tick(self.now, self.roster, target.address)
        if changed or self.now >= self._tell_at:
            self._tell_at = self.now + STATUS
            for target in self.targets:
                target.member.update(target.status(self.now), self.now)

    def _place(self, kind):
        takers = [target.member for target in self.targets]
        if "shares" in self.criteria:
            takers = placement.usable(takers, self.rng)
        chosen = placement.choose(takers, 0, 0.0, self.rng)
        self._ask(self.by_address[chosen.address], kind)

    def _ask(self, target, kind):
        self.asked += 1
        number = next(self._numbers)
        flow = Flow(number.to_bytes(12, "big"), FlowState.OPEN, self.now, "")
        target.flows.add(flow)
        target.flows.asked(self.now, flow)
        load = target.flows.busy / target.slots
        health, flows, begun = target.health, target.flows, self.now
        health.begun(begun, flow.key, kind, GOAL, load)
        outcome = target.outcome(kind)
        if not outcome and self.rng.random() < self._base:
            outcome = "errors"
        work = WORK * self.rng.lognormvariate(-0.125, 0.5)

        def finish():
            took = self.now - begun
            flows.answered(self.now, flow)
            flows.drop(flow.key)
            failed = bool(outcome) and outcome != "slow"
            self.failed += failed
            self.late += not failed and took > LATE
            served = outcome in ("", "slow")
            judged = "shares" in self.criteria
            if outcome == "reset":
                health.aborted(self.now, flow.key)
            elif outcome in ("errors", "shed"):
                kind_of = Answer.FAILED if outcome == "errors" else Answer.REJECTED
                health.answered(self.now, flow.key, kind_of)
            elif served:
                served = health.answered(self.now, flow.key, Answer.DONE)
            answers = outcome in ("", "slow", "errors", "shed")
            if "times" in self.criteria and (served or (answers and not judged)):
                target.answer_time += ANSWER_WEIGHT * (took - target.answer_time)

        if outcome in ("hang", "mute"):
            done = self.now + ABANDONED
        elif outcome in ("", "slow"):
            done = target.serve(self.now, work * (8 if outcome else 1))
        else:
            done = self.now + 0.001
        heapq.heappush(self._ends, (done, number, finish))

    def ejected(self):
        """Return the ejected targets."""
        return [t for t in self.targets if t.health.phase is Phase.ASIDE]

    def time_until(self, target, phase, longest, rate=100, step=0.1):
        """Return the seconds until a target is in a phase, at most ``longest``."""
        began = self.now
        while self.now - began < longest and target.health.phase is not phase:
            self.run(step, rate)
        return self.now - began
