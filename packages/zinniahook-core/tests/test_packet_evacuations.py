"""Which set of evacuated data centres is in force at one daemon."""

from zinniahook_core.packets.evacuations import (
    CLAIM_EXPIRY_SECONDS,
    CLAIM_WAIT_SECONDS,
    Evacuations,
    Stamp,
)

NOW = 10.0
NONE = frozenset()
A = frozenset({"thies-a"})
AB = frozenset({"thies-a", "thies-b"})


def knowing(revision, names):
    evacuations = Evacuations()
    evacuations.read(revision, names)
    return evacuations


def tell(teller, hearer):
    """Let one daemon's datagram arrive at another, which asks if it must."""
    if hearer.compare(NOW, teller.stamp):
        hearer.merge(teller.encode())


class TestReadingTheStore:
    def test_nothing_is_certain_before(self):
        assert not Evacuations().is_certain(NOW)

    def test_an_order_and_its_end_are_taken(self):
        known = knowing(5, NONE)
        assert known.is_certain(NOW)
        assert known.read(6, A)
        assert known.names == A
        assert known.read(7, NONE)
        assert known.names == NONE

    def test_a_late_answer_changes_nothing(self):
        """Symptom: an evacuation that was taken back is in force again.

        Sequence: a read is answered late, after a peer told of a newer set.
        Cause: the answer passes for the newest because it came last.
        """
        known = knowing(5, A)
        known.merge(knowing(8, NONE).encode())
        assert not known.read(6, A)
        assert known.names == NONE

    def test_a_revision_of_zero_is_known(self):
        assert knowing(0, NONE).is_certain(NOW)


class TestHearingOthers:
    def test_a_newer_set_is_asked_for_and_taken(self):
        hearer, teller = knowing(5, NONE), knowing(9, A)
        assert hearer.compare(NOW, teller.stamp)
        assert not hearer.is_certain(NOW)
        assert hearer.merge(teller.encode())
        assert hearer.is_certain(NOW)
        assert hearer.names == A

    def test_an_older_set_is_not(self):
        hearer, teller = knowing(9, A), knowing(5, NONE)
        assert not hearer.compare(NOW, teller.stamp)
        assert not hearer.merge(teller.encode())
        assert hearer.names == A

    def test_a_daemon_that_starts_need_not_ask_for_nothing(self):
        hearer = Evacuations()
        assert not hearer.compare(NOW, knowing(9, NONE).stamp)
        assert hearer.is_certain(NOW)

    def test_a_daemon_that_starts_asks_for_orders(self):
        hearer, teller = Evacuations(), knowing(9, A)
        tell(teller, hearer)
        assert hearer.names == A

    def test_one_that_knows_nothing_shows_nothing(self):
        hearer = knowing(5, A)
        assert not hearer.compare(NOW, Evacuations().stamp)
        assert hearer.names == A

    def test_the_same_set_under_a_later_revision_is_not_asked_for(self):
        hearer, teller = knowing(5, A), knowing(9, A)
        assert not hearer.compare(NOW, teller.stamp)
        assert hearer.agrees(teller.stamp)

    def test_a_malformed_set_changes_nothing(self):
        known = knowing(5, A)
        for body in (
            b"",
            b"{}",
            b"[]",
            b'["x"]',
            b"[7,8]",
            b"\xff",
            b"[7",
            b"[-1]",
            b"[%d]" % 2**64,
        ):
            assert known.merge(body) is None
        assert known.names == A
        assert known.stamp.position == 5

    def test_questions_are_spaced(self):
        known = knowing(5, A)
        assert known.may_request(1.0)
        assert not known.may_request(1.01)
        assert known.may_request(1.1)


class TestOrderGivenTakenBackAndGivenAgain:
    """Symptom: an evacuation ends by itself while the operator wants it.

    Sequence: one daemon sees the order, its end and the order again as no change;
    another one saw the end, at a revision above that of the first order.
    Cause: the end's stamp is the higher one, and the first daemon believes it.
    """

    def test_the_last_order_stands(self):
        first, second = knowing(5, A), knowing(7, NONE)
        first.read(9, A)
        tell(second, first)
        assert first.names == A
        tell(first, second)
        assert second.names == A

    def test_all_agree_in_whichever_order_they_hear(self):
        first, second, third = knowing(5, A), knowing(7, NONE), knowing(3, AB)
        first.read(9, A)
        for teller, hearer in ((second, third), (third, first), (second, first)):
            tell(teller, hearer)
        for hearer in (second, third):
            tell(first, hearer)
        assert first.names == second.names == third.names == A

    def test_a_sleeper_brings_nothing_back(self):
        sleeper, awake = knowing(5, A), knowing(8, NONE)
        tell(sleeper, awake)
        assert awake.names == NONE
        tell(awake, sleeper)
        assert sleeper.names == NONE

    def test_history_is_never_run_backwards(self):
        known, seen = Evacuations(), []
        history = [(2, NONE), (4, A), (6, NONE), (8, A), (9, AB)]
        for revision, names in (history[1], history[0], history[3], history[2]):
            known.merge(knowing(revision, names).encode())
            seen.append(known.stamp.position)
        known.read(*history[4])
        assert seen == sorted(seen)
        assert known.names == AB


class TestStamp:
    def test_unknown_is_the_default(self):
        assert Evacuations().stamp == Stamp(0, 0)

    def test_sets_differ(self):
        digests = {knowing(1, names).stamp.digest for names in (NONE, A, AB)}
        assert len(digests) == 3


class TestNewerSetThatNobodyTells:
    """Symptom: a target gets nothing for as long as its agent runs.

    Sequence: a daemon reads an order, shows its stamp and dies before it is asked.
    Cause: whoever has seen the stamp waits for a set that nobody has.
    """

    def test_is_waited_for_and_then_looked_up(self):
        known = knowing(5, NONE)
        assert known.compare(NOW, knowing(9, A).stamp)
        assert not known.is_certain(NOW)
        assert not known.must_read(NOW)
        assert known.must_read(NOW + CLAIM_WAIT_SECONDS + 0.01)
        known.read(9, A)
        assert known.is_certain(NOW + CLAIM_WAIT_SECONDS + 0.02)

    def test_is_not_waited_for_ever(self):
        known = knowing(5, NONE)
        known.compare(NOW, knowing(9, A).stamp)
        assert not known.is_certain(NOW + CLAIM_EXPIRY_SECONDS)
        assert known.is_certain(NOW + CLAIM_EXPIRY_SECONDS + 0.01)

    def test_a_daemon_that_knows_no_set_waits_for_one(self):
        assert not Evacuations().is_certain(NOW + 100 * CLAIM_EXPIRY_SECONDS)
