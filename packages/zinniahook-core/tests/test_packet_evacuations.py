"""The set of evacuated data centres that is in force at a daemon."""

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


def evacuations_at(revision, names):
    evacuations = Evacuations()
    evacuations.read(revision, names)
    return evacuations


def send(sender, receiver):
    """Deliver one daemon's stamp to another, which requests the set if needed."""
    if receiver.compare(NOW, sender.stamp):
        receiver.merge(sender.encode())


class TestReadingTheStore:
    def test_nothing_is_certain_before_the_first_read(self):
        assert not Evacuations().is_certain(NOW)

    def test_an_order_and_its_end_are_taken(self):
        known = evacuations_at(5, NONE)
        assert known.is_certain(NOW)
        assert known.read(6, A)
        assert known.names == A
        assert known.read(7, NONE)
        assert known.names == NONE

    def test_a_late_answer_changes_nothing(self):
        """An evacuation that was withdrawn must not come back into force.

        The answer to a read arrives after a peer has sent a newer set, and the daemon
        considers the answer the newest because it came last.
        """
        known = evacuations_at(5, A)
        known.merge(evacuations_at(8, NONE).encode())
        assert not known.read(6, A)
        assert known.names == NONE

    def test_a_revision_of_zero_is_known(self):
        assert evacuations_at(0, NONE).is_certain(NOW)


class TestReceivingSets:
    def test_a_newer_set_is_asked_for_and_taken(self):
        receiver, sender = evacuations_at(5, NONE), evacuations_at(9, A)
        assert receiver.compare(NOW, sender.stamp)
        assert not receiver.is_certain(NOW)
        assert receiver.merge(sender.encode())
        assert receiver.is_certain(NOW)
        assert receiver.names == A

    def test_an_older_set_is_not(self):
        receiver, sender = evacuations_at(9, A), evacuations_at(5, NONE)
        assert not receiver.compare(NOW, sender.stamp)
        assert not receiver.merge(sender.encode())
        assert receiver.names == A

    def test_a_starting_daemon_need_not_request_the_empty_set(self):
        receiver = Evacuations()
        assert not receiver.compare(NOW, evacuations_at(9, NONE).stamp)
        assert receiver.is_certain(NOW)

    def test_a_starting_daemon_requests_orders(self):
        receiver, sender = Evacuations(), evacuations_at(9, A)
        send(sender, receiver)
        assert receiver.names == A

    def test_a_daemon_without_a_set_shows_nothing(self):
        receiver = evacuations_at(5, A)
        assert not receiver.compare(NOW, Evacuations().stamp)
        assert receiver.names == A

    def test_the_same_set_under_a_later_revision_is_not_asked_for(self):
        receiver, sender = evacuations_at(5, A), evacuations_at(9, A)
        assert not receiver.compare(NOW, sender.stamp)
        assert receiver.agrees(sender.stamp)

    def test_a_malformed_set_changes_nothing(self):
        known = evacuations_at(5, A)
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

    def test_requests_are_spaced(self):
        known = evacuations_at(5, A)
        assert known.may_request(1.0)
        assert not known.may_request(1.01)
        assert known.may_request(1.1)


class TestOrderGivenTakenBackAndGivenAgain:
    """An evacuation must not end while the operator still wants it.

    One daemon sees an order, its end and the order again as no change. Another has read
    the end, at a higher revision than that of the first order. The stamp of the end is
    then the higher one, and the first daemon accepts it.
    """

    def test_the_last_order_stands(self):
        first, second = evacuations_at(5, A), evacuations_at(7, NONE)
        first.read(9, A)
        send(second, first)
        assert first.names == A
        send(first, second)
        assert second.names == A

    def test_all_agree_in_any_order_of_datagrams(self):
        first, second, third = (
            evacuations_at(5, A),
            evacuations_at(7, NONE),
            evacuations_at(3, AB),
        )
        first.read(9, A)
        for sender, receiver in ((second, third), (third, first), (second, first)):
            send(sender, receiver)
        for receiver in (second, third):
            send(first, receiver)
        assert first.names == second.names == third.names == A

    def test_a_suspended_daemon_restores_no_older_set(self):
        suspended, awake = evacuations_at(5, A), evacuations_at(8, NONE)
        send(suspended, awake)
        assert awake.names == NONE
        send(awake, suspended)
        assert suspended.names == NONE

    def test_positions_never_decrease(self):
        known, seen = Evacuations(), []
        history = [(2, NONE), (4, A), (6, NONE), (8, A), (9, AB)]
        for revision, names in (history[1], history[0], history[3], history[2]):
            known.merge(evacuations_at(revision, names).encode())
            seen.append(known.stamp.position)
        known.read(*history[4])
        assert seen == sorted(seen)
        assert known.names == AB


class TestStamp:
    def test_unknown_is_the_default(self):
        assert Evacuations().stamp == Stamp(0, 0)

    def test_sets_differ(self):
        digests = {evacuations_at(1, names).stamp.digest for names in (NONE, A, AB)}
        assert len(digests) == 3


class TestNewerSetThatNoDaemonSends:
    """A target must not go without flows for as long as its agent runs.

    A daemon reads an order, shows its stamp and dies before the set is requested. Every
    daemon that has seen the stamp then waits for a set that none has.
    """

    def test_is_waited_for_and_then_read_from_the_store(self):
        known = evacuations_at(5, NONE)
        assert known.compare(NOW, evacuations_at(9, A).stamp)
        assert not known.is_certain(NOW)
        assert not known.must_read(NOW)
        assert known.must_read(NOW + CLAIM_WAIT_SECONDS + 0.01)
        known.read(9, A)
        assert known.is_certain(NOW + CLAIM_WAIT_SECONDS + 0.02)

    def test_is_not_waited_for_ever(self):
        known = evacuations_at(5, NONE)
        known.compare(NOW, evacuations_at(9, A).stamp)
        assert not known.is_certain(NOW + CLAIM_EXPIRY_SECONDS)
        assert known.is_certain(NOW + CLAIM_EXPIRY_SECONDS + 0.01)

    def test_a_daemon_without_a_set_waits_for_one(self):
        assert not Evacuations().is_certain(NOW + 100 * CLAIM_EXPIRY_SECONDS)
