"""Lookups of a key at all members."""

from zinniahook_core.lookups import PATIENCE, SILENT_PATIENCE, Lookup, Lookups
from zinniahook_core.messages import ClaimAnswer, ClaimAsk, ClaimIntent, ClaimState


def lookup(number, key, begun_at):
    ask = ClaimAsk(number, key, ClaimIntent.RUN, 1, "asker", 1, 1)
    return Lookup(number, "asker", ask, 1, {"live", "dead"}, begun_at)


def none(number, key):
    return ClaimAnswer(number, key, ClaimState.NONE, "")


class TestSilentMember:
    """
    Symptom: every ticket takes half a second more for as long as a dead agent
    isn't marked down, and they pile up.
    Sequence: an agent dies; new tickets are looked up at all members.
    Cause: each lookup waited for the dead one as patiently as the first.
    """

    def look(self, lookups, number, at):
        """Begin a lookup that only the live member answers."""
        key = b"key-%d" % number
        item = lookup(number, key, at)
        assert lookups.begin(item)
        assert lookups.take("live", none(number, key)) is None
        return item

    def test_only_the_first_lookup_waits_long(self):
        lookups = Lookups()
        first = self.look(lookups, 1, 0.0)
        assert lookups.overdue(SILENT_PATIENCE) == []
        assert lookups.overdue(PATIENCE) == [first]
        lookups.end(first)
        second = self.look(lookups, 2, 1.0)
        assert lookups.overdue(1.0 + SILENT_PATIENCE / 2) == []
        assert lookups.overdue(1.0 + SILENT_PATIENCE) == [second]

    def test_a_member_that_speaks_again_is_waited_for(self):
        lookups = Lookups()
        first = self.look(lookups, 1, 0.0)
        assert lookups.overdue(PATIENCE) == [first]
        lookups.end(first)
        lookups.take("dead", none(1, b"key-1"))
        second = self.look(lookups, 2, 1.0)
        assert lookups.overdue(1.0 + SILENT_PATIENCE) == []
        assert lookups.overdue(1.0 + PATIENCE) == [second]

    def test_another_member_is_still_waited_for(self):
        lookups = Lookups()
        first = self.look(lookups, 1, 0.0)
        assert lookups.overdue(PATIENCE) == [first]
        lookups.end(first)
        second = lookup(2, b"key-2", 1.0)
        lookups.begin(second)
        assert lookups.overdue(1.0 + SILENT_PATIENCE) == []
