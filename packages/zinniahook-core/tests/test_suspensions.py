"""Passive suspension of silent agents at an entry."""

import random

from zinniahook_core.models import Address
from zinniahook_core.suspensions import (
    ANSWER_TIMEOUT_SECONDS,
    PENDING_LIMIT,
    Suspensions,
)

NAMES = tuple(f"a-{number}" for number in range(6))


def caller(number):
    return Address("192.0.2.1", number)


class Entry:
    """Sends openings. Agents in ``dead`` never answer."""

    def __init__(self, names=NAMES, dead=()):
        self.suspensions = Suspensions(random.Random(1))
        self.suspensions.replace(names)
        self.dead = set(dead)
        self.rng = random.Random(2)
        self.port = 0
        self.now = 0.0

    def open(self, count):
        """Return the number of openings that each agent got."""
        taken = dict.fromkeys(NAMES, 0)
        for _ in range(count):
            self.port += 1
            self.now += 0.01
            name = self.suspensions.choose(self.now, self.rng.randbytes(8))
            self.suspensions.opened(self.now, name, caller(self.port))
            taken[name] += 1
            if name not in self.dead:
                self.suspensions.answered(self.now, caller(self.port))
            self.suspensions.expire(self.now)
        return taken


class TestSuspension:
    def test_a_silent_agent_gets_probes_only(self):
        """New flows must not go to a dead agent until its peers notice.

        An entry that ranked agents by the roster alone would make a sixth of all
        new callers wait for a timeout.
        """
        entry = Entry(dead=["a-2"])
        entry.open(300)
        assert entry.suspensions.suspended == ("a-2",)
        assert entry.open(2000)["a-2"] <= 4

    def test_two_callers_suffice_if_they_keep_failing(self):
        """Flows of a dead home must recover although the store is down.

        The home dies while the store is down, so no roster shows it, and only two
        flows rank it first. If the entry waited for a third caller, they would
        never recover.
        """
        suspensions = Suspensions(random.Random(1))
        suspensions.replace(NAMES)
        suspended = []
        for second in range(10):
            now = float(second) * (ANSWER_TIMEOUT_SECONDS + 0.1)
            suspensions.opened(now, "a-1", caller(1))
            suspensions.answered(now, caller(1))
            for number in (2, 3):
                suspensions.opened(now, "a-2", caller(number))
            suspended += suspensions.expire(now + ANSWER_TIMEOUT_SECONDS)
        assert suspended == ["a-2"]

    def test_an_agent_that_answers_again_is_reinstated(self):
        entry = Entry(dead=["a-2"])
        entry.open(300)
        entry.dead.clear()
        entry.open(2000)
        assert entry.suspensions.suspended == ()
        assert entry.open(600)["a-2"] > 60

    def test_the_answer_of_a_peer_counts_for_the_agent_that_handed_over(self):
        suspensions = Suspensions(random.Random(1))
        suspensions.replace(NAMES)
        for number in range(50):
            suspensions.opened(0.0, "a-1", caller(number))
            suspensions.answered(0.1, caller(number))
        assert suspensions.expire(10.0) == []

    def test_never_more_than_half(self):
        """An entry with a broken path must not send all new flows to one agent.

        The entry loses contact with five of six agents. If it suspended every
        silent agent without a limit, one target would be overloaded and the others
        would get nothing.
        """
        entry = Entry(dead=NAMES[1:])
        for _ in range(20):
            entry.open(100)
            assert len(entry.suspensions.suspended) <= 3

    def test_a_service_that_never_answers_suspends_no_agent(self):
        entry = Entry(dead=NAMES)
        entry.open(500)
        assert entry.suspensions.suspended == ()

    def test_one_caller_alone_can_not_suspend_an_agent(self):
        entry = Entry()
        entry.open(50)
        for _ in range(20):
            entry.suspensions.opened(entry.now, "a-1", caller(9999))
            entry.now += 2 * ANSWER_TIMEOUT_SECONDS
            assert entry.suspensions.expire(entry.now) == []

    def test_the_only_agent_is_never_suspended(self):
        entry = Entry(names=("a-0",), dead=["a-0"])
        entry.open(200)
        assert entry.suspensions.suspended == ()

    def test_a_smaller_roster_keeps_to_the_cap(self):
        entry = Entry(dead=NAMES[:3])
        for _ in range(20):
            entry.open(100)
        assert len(entry.suspensions.suspended) == 3
        entry.suspensions.replace(NAMES[:4])
        assert len(entry.suspensions.suspended) <= 2

    def test_a_restarted_agent_starts_clean(self):
        entry = Entry(dead=["a-2"])
        entry.open(300)
        entry.suspensions.replace(NAMES, restarted=["a-2"])
        assert entry.suspensions.suspended == ()

    def test_no_agent_to_choose(self):
        suspensions = Suspensions(random.Random(1))
        assert suspensions.choose(0.0, b"key") is None

    def test_pending_openings_are_bounded(self):
        suspensions = Suspensions(random.Random(1))
        suspensions.replace(NAMES)
        for number in range(PENDING_LIMIT * 2):
            suspensions.opened(0.0, "a-1", Address("192.0.2.2", number))
        assert len(suspensions._pending_by_caller) == PENDING_LIMIT
