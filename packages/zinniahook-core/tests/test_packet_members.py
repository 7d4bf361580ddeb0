"""Members that are forgotten, come back, or are reported wrongly."""

import math

import pytest
from zinniahook_core.packets import State
from zinniahook_core.packets.evacuations import Evacuations, Stamp
from zinniahook_core.packets.members import MEMBER_EXPIRY_SECONDS, Roster
from zinniahook_core.packets.node import _decode_row
from zinniahook_core.packets.tunnel import Status

OWN = "10.0.0.1"
PEER = "10.0.0.2"


def status(state=State.READY, incarnation=1):
    return Status(incarnation, state, 2, 0.0, 0, 0.0, 0.05)


def roster_of(count=2, now=0.0):
    roster = Roster("tally", OWN)
    for number in range(1, count + 1):
        roster.learn(now, f"10.0.{number // 250}.{number % 250}", 1, status())
    return roster


class TestMemberThatIsForgotten:
    def test_a_search_may_still_know_it(self):
        """A daemon must not crash a minute after a peer was lost.

        A search has computed its candidates. One of them is forgotten after a minute of
        silence while the search continues, and is looked up in the roster again.
        """
        roster = roster_of()
        lost = roster.by_address[PEER]
        roster.drop(PEER)
        assert roster.unseen(MEMBER_EXPIRY_SECONDS + 1.0, [lost]) == []


class TestMemberThatComesBack:
    def test_it_counts_as_changed_though_the_service_has_grown(self):
        """A flow must not be reset after its agent was frozen.

        A search finds no owner while the agent is away. Other agents join, so that
        statuses become rarer, and the agent comes back. By the new silence limit it was
        never silent, and the result found without it stays valid.
        """
        roster = roster_of(50)
        later = 6.0
        for number in range(51, 400):
            roster.learn(later, f"10.0.{number // 250}.{number % 250}", 1, status())
        member = roster.by_address[PEER]
        assert not roster.is_silent(later, member)
        before = member.changed_epoch
        roster.learn(later, PEER, 1, status())
        assert member.changed_epoch > before


class TestMemberThatHasEnded:
    def test_it_holds_nothing_until_a_peer_hears_another_one_there(self):
        """A flow must not be reset although its target lives.

        A target ends and another one starts at its address, with an agent that only the
        home is cut off from. Peers report that they hear it, but the final status of
        the former agent counts for ever.
        """
        roster = roster_of(3)
        roster.learn(1.0, PEER, 1, status(State.ENDED))
        roster.learn_heard_by_peer(1.4, PEER, 0.3)
        assert roster.has_ended(PEER)
        roster.learn_heard_by_peer(4.0, PEER, 0.1)
        assert not roster.has_ended(PEER)
        assert roster.unseen(6.5, [roster.by_address[PEER]]) == [PEER]


class TestRowsOfARoster:
    @pytest.mark.parametrize(
        "address",
        [
            "abc",
            "10.0.0.999",
            "fe80::1",
            "10.0.0",
            "10.0.0.1.2",
            "10.0.0.-1",
            "",
            "x\0",
        ],
    )
    def test_what_is_no_address_is_left_out(self, address):
        """A question to such an address would end the process."""
        assert _decode_row([address, 1, 0.5]) is None

    @pytest.mark.parametrize("age", [math.nan, math.inf, -1.0, 1e300, "1"])
    def test_what_is_no_age_is_left_out(self, age):
        """A member with such an age would never be considered silent."""
        assert _decode_row([PEER, 1, age]) is None

    @pytest.mark.parametrize("age", [None, 0, 0.25, 60.0])
    def test_others_are_taken(self, age):
        assert _decode_row([PEER, 1, age]) == (PEER, 1, age)


class TestStampsOfDatagrams:
    def test_one_that_no_store_reaches_is_not_believed(self):
        """Orders of the operator must still be accepted after a corrupt datagram.

        A corrupt datagram shows a daemon that has just started a position above all
        others. Only positions that were read from the store were checked.
        """
        evacuations = Evacuations()
        nothing = Evacuations()
        nothing.read(1, frozenset())
        assert not evacuations.compare(0.0, Stamp((1 << 64) - 1, nothing.stamp.digest))
        assert evacuations.position == 0
        assert evacuations.read(5, frozenset({"a"}))
