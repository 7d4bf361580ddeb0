"""Lookups of a key at all members."""

import itertools

from zinniahook_core.claims import Claims
from zinniahook_core.lookups import (
    LOOKUP_TIMEOUT_SECONDS,
    SILENT_TIMEOUT_SECONDS,
    Lookup,
    Lookups,
)
from zinniahook_core.messages import ClaimAnswer, ClaimAsk, ClaimIntent, ClaimState
from zinniahook_core.models import Address, AgentState, Member, Roster
from zinniahook_core.records import refused
from zinniahook_core.rendezvous import best


def lookup(number, key, begun_at):
    ask = ClaimAsk(number, key, ClaimIntent.RUN, 1, "asker", 1, 1)
    return Lookup(number, "asker", ask, 1, {"live", "dead"}, begun_at)


def none(number, key):
    return ClaimAnswer(number, key, ClaimState.NONE, "")


class TestSilentMember:
    """Lookups must not all wait the full timeout for a dead member.

    An agent dies, and new requests are looked up at all members. If each lookup
    waited for the dead agent as long as the first, every request would take half a
    second more until it is marked down, and requests would pile up.
    """

    def begin_lookup(self, lookups, number, at):
        """Begin a lookup that only the live member answers."""
        key = b"key-%d" % number
        item = lookup(number, key, at)
        assert lookups.begin(item)
        assert lookups.add_answer("live", none(number, key)) is None
        return item

    def test_only_the_first_lookup_waits_long(self):
        lookups = Lookups()
        first = self.begin_lookup(lookups, 1, 0.0)
        assert lookups.overdue(SILENT_TIMEOUT_SECONDS) == []
        assert lookups.overdue(LOOKUP_TIMEOUT_SECONDS) == [first]
        lookups.end(first)
        second = self.begin_lookup(lookups, 2, 1.0)
        assert lookups.overdue(1.0 + SILENT_TIMEOUT_SECONDS / 2) == []
        assert lookups.overdue(1.0 + SILENT_TIMEOUT_SECONDS) == [second]

    def test_a_member_that_answers_again_is_waited_for(self):
        lookups = Lookups()
        first = self.begin_lookup(lookups, 1, 0.0)
        assert lookups.overdue(LOOKUP_TIMEOUT_SECONDS) == [first]
        lookups.end(first)
        lookups.add_answer("dead", none(1, b"key-1"))
        second = self.begin_lookup(lookups, 2, 1.0)
        assert lookups.overdue(1.0 + SILENT_TIMEOUT_SECONDS) == []
        assert lookups.overdue(1.0 + LOOKUP_TIMEOUT_SECONDS) == [second]

    def test_another_member_is_still_waited_for(self):
        lookups = Lookups()
        first = self.begin_lookup(lookups, 1, 0.0)
        assert lookups.overdue(LOOKUP_TIMEOUT_SECONDS) == [first]
        lookups.end(first)
        second = lookup(2, b"key-2", 1.0)
        lookups.begin(second)
        assert lookups.overdue(1.0 + SILENT_TIMEOUT_SECONDS) == []


class TestOwnDecision:
    def test_a_decision_that_does_not_stand_is_asked_for_later(self, monkeypatch):
        """An owner must not ask itself again at once about its own decision.

        It is about to refuse an attempt whose key it granted to a later one. Asking
        itself immediately would repeat the same decision until a RecursionError.
        """
        monkeypatch.setattr(Claims, "_still_stored", lambda *_: False)
        names = ("a", "b", "c")
        address = Address("10.0.0.1", 1)
        members = {
            name: Member(name, address, address, address, "z", 1, AgentState.READY, 4)
            for name in names
        }
        claims = Claims("a")
        claims.learn(0.0, Roster("tally", 1, members))
        claims.confirm(0.0, 1)
        numbers = itertools.count()
        key = next(k for k in map(b"%d".__mod__, numbers) if best(k, names) == "a")
        claims.records.put(10_000.0, key, refused(10_000.0, "a", 1, 1))
        claims.begin(10_000.0, 7, key, 1, ClaimIntent.REFUSE, until=10_002.0)
        for tick in range(30):
            claims.tick(10_000.0 + tick / 10)
        _, settled = claims.take()
        assert [(one.request, one.state) for one in settled] == [
            (7, ClaimState.UNKNOWN)
        ]
