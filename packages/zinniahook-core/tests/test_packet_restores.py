"""The evacuations in force after the store was restored from an older copy."""

import json
import zlib

import pytest
from zinniahook_core.packets import formers, tunnel
from zinniahook_core.packets.eras import (
    ERA_LIMIT,
    POSITION_LIMIT,
    REVISION_LIMIT,
    era_of,
    position_of,
    revision_of,
)
from zinniahook_core.packets.evacuations import RETAINED_SECONDS, Evacuations, Stamp
from zinniahook_core.packets.formers import FormerService, FormerServices
from zinniahook_core.packets.tunnel import Head, Kind

NOW = 10.0
NONE = frozenset()
A = frozenset({"thies-a"})
B = frozenset({"thies-b"})
AB = A | B
ROUTE = bytes((198, 18, 0, 1, 1, 187))


def evacuations_at(revision, names, era=1):
    evacuations = Evacuations()
    evacuations.read(revision, names, era)
    return evacuations


def send(sender, receiver, now=NOW):
    """Deliver one daemon's datagram to another, which requests the set if needed."""
    position, digest = sender.stamp
    sent = tunnel.encode(Head(Kind.HELLO, evacuated_at=position, evacuated=digest))
    head, _ = tunnel.decode(sent)
    if receiver.compare(now, Stamp(head.evacuated_at, head.evacuated)):
        receiver.merge(sender.encode())
    receiver.expire(now)


class TestPositions:
    def test_an_era_goes_before_a_revision(self):
        assert position_of(2, 1) > position_of(1, REVISION_LIMIT - 1)
        assert era_of(position_of(7, 900)) == 7
        assert revision_of(position_of(7, 900)) == 900

    def test_in_the_first_era_it_is_the_revision(self):
        assert position_of(0, 900) == 900

    def test_the_largest_fits_into_a_datagram(self):
        largest = position_of(ERA_LIMIT - 1, REVISION_LIMIT - 1)
        assert largest < POSITION_LIMIT
        head = Head(Kind.HELLO, evacuated_at=largest)
        assert tunnel.decode(tunnel.encode(head))[0].evacuated_at == largest

    @pytest.mark.parametrize(
        ("era", "revision"), [(-1, 1), (ERA_LIMIT, 1), (1, REVISION_LIMIT), (1, -1)]
    )
    def test_what_does_not_fit_is_refused(self, era, revision):
        with pytest.raises(ValueError, match="out of range"):
            position_of(era, revision)


class TestRestoredStore:
    """Orders given after a restore must take effect at once, not minutes later.

    The store is restored from a copy, so its revisions are lower than those seen
    before. What is read there seems older than what is known.
    """

    def test_an_order_of_the_new_era_is_taken_at_a_lower_revision(self):
        known = evacuations_at(1000, NONE)
        assert not known.read(900, NONE, 2)
        assert known.read(950, B, 2)
        assert known.names == B

    def test_the_same_revision_with_other_orders_is_taken(self):
        known = evacuations_at(1000, NONE)
        assert known.read(1000, A, 2)
        assert known.names == A

    def test_two_restores_within_a_second(self):
        known = evacuations_at(1000, NONE)
        known.read(900, A, 2)
        known.read(800, B, 3)
        assert not known.read(901, AB, 2)
        assert known.names >= B
        assert known.era == 3

    def test_a_late_answer_of_the_former_era_changes_nothing(self):
        """An order that was lost in a restore must not come into force.

        A read is sent, the store is restored, other daemons send the new set, and then
        the read is answered with the higher revision.
        """
        known = evacuations_at(1000, NONE)
        known.merge(evacuations_at(900, NONE, 2).encode())
        known.compare(NOW, evacuations_at(901, NONE, 2).stamp)
        assert not known.read(1001, A, 1)
        assert known.names == NONE

    def test_a_late_set_of_the_former_era_changes_nothing(self):
        known = evacuations_at(900, NONE, 2)
        assert not known.merge(evacuations_at(1001, A, 1).encode())
        assert not known.compare(NOW, evacuations_at(1001, A, 1).stamp)
        assert known.names == NONE
        assert known.is_certain(NOW)

    def test_a_daemon_that_cannot_read_learns_it_from_datagrams(self):
        """Daemons cut off from the store must not keep old orders.

        A third of them only receive datagrams of others. A stamp without the era would
        seem older than theirs.
        """
        reader, cut_off = evacuations_at(900, B, 2), evacuations_at(1000, NONE)
        send(reader, cut_off)
        assert cut_off.names == B
        assert cut_off.era == 2

    def test_a_daemon_with_the_same_orders_need_not_request(self):
        for names in (NONE, A):
            reader, receiver = (
                evacuations_at(900, names, 2),
                evacuations_at(1000, names),
            )
            assert not receiver.compare(NOW, reader.stamp)
            assert receiver.era == 2
            assert receiver.agrees(reader.stamp)
            assert receiver.encode() == reader.encode()

    def test_a_daemon_suspended_meanwhile_restores_no_older_set(self):
        suspended, awake = evacuations_at(1000, A), evacuations_at(900, NONE, 2)
        send(suspended, awake)
        assert awake.names == NONE
        send(awake, suspended)
        assert suspended.era == 2

    def test_a_starting_daemon_knows_the_empty_set_at_once(self):
        starting = Evacuations()
        assert not starting.compare(NOW, evacuations_at(900, NONE, 2).stamp)
        assert starting.is_certain(NOW)

    def test_daemons_of_different_eras_do_not_confirm_each_other(self):
        """An order must not take effect late.

        A daemon still reads the former era and confirms the same set, and every other
        daemon accepts that if both sets have the same digest.
        """
        assert not evacuations_at(900, A, 2).agrees(evacuations_at(1000, A, 1).stamp)

    def test_without_eras_everything_is_as_before(self):
        assert evacuations_at(9, A, 0).encode() == b'[9,"thies-a"]'
        assert evacuations_at(9, NONE, 0).stamp == Stamp(9, 0)


class TestOrdersThatTheCopyLacks:
    """Flows must not be opened where power is about to be cut.

    An order is given and confirmed. Four seconds later the store is restored from a
    copy without it, and the operator writes it again some seconds later. Meanwhile the
    list in the copy seems to be complete.
    """

    def test_stay_in_force_for_a_while(self):
        known = evacuations_at(1000, A)
        assert not known.read(900, NONE, 2)
        assert not known.expire(NOW)
        assert known.names == A
        assert not known.expire(NOW + RETAINED_SECONDS - 0.1)
        assert known.expire(NOW + RETAINED_SECONDS)
        assert known.names == NONE

    def test_also_at_daemons_that_learn_of_the_restore_from_others(self):
        receiver = evacuations_at(1000, A)
        send(evacuations_at(900, NONE, 2), receiver)
        assert receiver.names == A
        assert receiver.tags
        assert receiver.is_certain(NOW)

    def test_others_are_sent_only_what_the_store_lists(self):
        """Daemons must not all read the store.

        One daemon retains an order and another one has just started, so that their sets
        would never agree if the retained order were sent.
        """
        retaining, starting = evacuations_at(1000, A), evacuations_at(900, NONE, 2)
        retaining.read(900, NONE, 2)
        assert retaining.agrees(starting.stamp)

    def test_written_again_they_end_when_they_are_withdrawn(self):
        """A data centre must not stay empty after its order was withdrawn.

        The order was written again after the restore, but would count as one of the
        former era until its time has expired.
        """
        known = evacuations_at(1000, A)
        known.read(900, NONE, 2)
        known.expire(NOW)
        known.read(905, A, 2)
        known.read(910, NONE, 2)
        assert known.names == NONE

    def test_a_second_restore_restarts_their_time(self):
        known = evacuations_at(1000, A)
        known.read(900, NONE, 2)
        known.expire(NOW)
        known.read(800, NONE, 3)
        known.expire(NOW + RETAINED_SECONDS - 1)
        assert not known.expire(NOW + RETAINED_SECONDS)
        assert known.names == A

    def test_an_order_that_the_copy_has_again_is_in_force(self):
        known = evacuations_at(1000, NONE)
        known.read(900, A, 2)
        known.read(901, NONE, 2)
        assert known.names == NONE


class TestMixedVersions:
    """An order must take effect during a rolling upgrade.

    A daemon of a version without eras accepts a set at a position of the new era as a
    revision, rejects its own reads as older, and confirms that set for ever. Newer
    daemons must not rely on its confirmations.
    """

    def test_it_takes_a_set_of_the_new_era_as_the_newest(self):
        position = position_of(2, 900)
        assert evacuations_at(900, A, 2).encode() == b'[%d,"thies-a"]' % position
        assert 0 < position < 1 << 63

    def test_its_confirmations_are_ignored(self):
        position = evacuations_at(900, NONE, 2).stamp.position
        without_era = Stamp(position, 0)
        assert not evacuations_at(900, NONE, 2).agrees(without_era)

    def test_a_stamp_that_is_cut_short_is_malformed(self):
        whole = tunnel.encode(Head(Kind.HELLO, evacuated_at=position_of(2, 9)))
        assert tunnel.decode(whole) is not None
        assert all(tunnel.decode(whole[:size]) is None for size in range(len(whole)))

    @pytest.mark.parametrize("body", [b"[%d]" % POSITION_LIMIT, b"[-1]", b"[2,900]"])
    def test_a_set_at_no_position_is_malformed(self, body):
        assert evacuations_at(900, A, 2).merge(body) is None


class TestLargeVersions:
    """Guards against daemons that end whenever they send such a version.

    Operators may number their configurations by time stamps.
    """

    @pytest.mark.parametrize(
        "version", [1, (1 << 32) - 1, 1 << 32, 1_790_000_000_000, (1 << 63) - 1]
    )
    def test_are_sent_and_received(self, version):
        head = Head(Kind.STATUS, version=version, service=7, evacuated_at=9)
        assert tunnel.decode(tunnel.encode(head, b"body")) == (head, b"body")

    def test_small_ones_are_sent_as_in_older_releases(self):
        sent = tunnel.encode(Head(Kind.HELLO, version=(1 << 32) - 1))
        assert (sent[0] & 0xF0, len(sent)) == (0x50, 36)

    def test_a_head_that_is_cut_short_is_malformed(self):
        whole = tunnel.encode(Head(Kind.HELLO, version=1 << 40))
        assert all(tunnel.decode(whole[:size]) is None for size in range(len(whole)))


class TestRecordsOfAnotherWriter:
    """Guards against daemons that end as they read the record of former services."""

    def encoded(self, fields):
        return zlib.compress(json.dumps(fields).encode())

    def test_names_that_cannot_be_sent_are_left_out(self):
        found = formers.decode(self.encoded({"00" * 6: ["tally", "\ud800", 7, ""]}))
        assert found.services_by_address == {bytes(6): frozenset({"tally"})}

    def test_one_that_is_too_large_is_left_out(self):
        large = self.encoded({"00" * 6: ["t" * formers.RECORD_LIMIT_BYTES]})
        assert formers.decode(large).services_by_address == {}


class TestFormerServicesOfACopy:
    def test_are_learned_as_incomplete(self):
        formers = FormerServices()
        formers.begin(NOW)
        formers.learn(NOW, [FormerService(ROUTE, "docs", 9.0)], whole=False)
        assert formers.rows(NOW)
        assert not formers.is_complete

    def test_change_nothing_at_a_daemon_that_lacks_none(self):
        formers = FormerServices()
        formers.learn(NOW, [], whole=False)
        assert formers.is_complete
