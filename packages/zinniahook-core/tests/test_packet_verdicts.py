"""Verdicts on flows without an owner, and what makes them invalid."""

import pytest
from zinniahook_core.packets import Flag, Packet, State, tunnel
from zinniahook_core.packets.candidates import CANDIDATES, LOST_SECONDS
from zinniahook_core.packets.formers import FLOW_MAX_AGE_SECONDS
from zinniahook_core.packets.members import Roster
from zinniahook_core.packets.tunnel import Ended, Status
from zinniahook_core.packets.verdicts import (
    PERMANENT_EPOCH,
    SAME_FLOW_BYTES,
    VERDICTS_LIMIT,
    Verdicts,
)

FLOW = bytes(range(12))
NAMES = [f"10.0.0.{number}" for number in range(1, 13)]


def packet(acknowledged=1000, flags=Flag.CLOSING, length=0):
    return Packet(FLOW, flags, 5, acknowledged, length, b"")


def status(state=State.READY, incarnation=1):
    return Status(incarnation, state, 2, 0.0, 0, 0.0, 0.0)


def roster_of(names):
    roster = Roster("tally", names[0])
    for order, name in enumerate(names):
        roster.add(0.0, name, order % 3, order=order)
        roster.learn(0.0, name, order % 3, status())
    return roster


class TestVerdicts:
    def test_holds_as_long_as_a_flow_may_live(self):
        verdicts = Verdicts()
        verdicts.keep(10.0, FLOW, 1000, 3)
        assert verdicts.get(10.0 + FLOW_MAX_AGE_SECONDS - 1, packet()) is not None
        assert verdicts.get(10.0 + FLOW_MAX_AGE_SECONDS, packet()) is None

    @pytest.mark.parametrize("ahead", [-SAME_FLOW_BYTES, 0, SAME_FLOW_BYTES])
    def test_is_of_packets_of_the_same_flow(self, ahead):
        verdicts = Verdicts()
        verdicts.keep(0.0, FLOW, 10, 3)
        assert verdicts.get(0.0, packet((10 + ahead) % 2**32)) is not None
        beyond = (10 + ahead + (1 if ahead >= 0 else -1) * SAME_FLOW_BYTES * 2) % 2**32
        assert verdicts.get(0.0, packet(beyond)) is None

    def test_their_number_is_bounded(self):
        verdicts = Verdicts()
        for number in range(VERDICTS_LIMIT + 10):
            verdicts.keep(0.0, number.to_bytes(12, "big"), 0, 3)
        assert len(verdicts) == VERDICTS_LIMIT

    def test_covers_agents_that_were_present_and_answered(self):
        verdicts = Verdicts()
        verdicts.keep(0.0, FLOW, 1000, 3, frozenset({"10.0.0.9"}))
        verdict = verdicts.get(0.0, packet())
        assert verdict.covers("10.0.0.1", 3)
        assert not verdict.covers("10.0.0.1", 4)
        assert not verdict.covers("10.0.0.9", 1)

    def test_of_an_ended_target_covers_every_agent(self):
        verdicts = Verdicts()
        verdicts.keep(0.0, FLOW, 1000, PERMANENT_EPOCH)
        verdict = verdicts.get(0.0, packet())
        assert verdict.has_ended
        assert verdict.covers("10.0.0.1", 10**9)


class TestAgentsThatMayOwnUnownedFlows:
    """A verdict must not outlive what it depends on: a live flow would be reset.

    An agent joins, comes back or restarts after every agent has denied a flow, and may
    now own it.
    """

    def test_one_that_comes(self):
        roster = roster_of(NAMES[:3])
        epoch = roster.epoch
        member = roster.add(1.0, NAMES[5], 0)
        assert member.changed_epoch == roster.epoch == epoch + 1

    def test_one_that_starts_again(self):
        roster = roster_of(NAMES[:3])
        epoch = roster.epoch
        roster.learn(0.1, NAMES[1], 1, status())
        assert roster.epoch == epoch
        roster.learn(0.2, NAMES[1], 1, status(incarnation=2))
        assert roster.by_address[NAMES[1]].changed_epoch == epoch + 1

    def test_one_that_was_silent(self):
        roster = roster_of(NAMES[:3])
        epoch = roster.epoch
        roster.learn(LOST_SECONDS + 1, NAMES[1], 1, status())
        assert roster.by_address[NAMES[1]].changed_epoch == epoch + 1

    def test_one_whose_target_had_ended(self):
        roster = roster_of(NAMES[:3])
        roster.learn(0.1, NAMES[1], 1, status(State.ENDED))
        epoch = roster.epoch
        roster.learn(0.2, NAMES[1], 1, status(State.ENDED))
        assert roster.epoch == epoch
        roster.learn(0.3, NAMES[1], 1, status(State.READY))
        assert roster.by_address[NAMES[1]].changed_epoch == epoch + 1

    def test_one_that_only_a_peer_hears(self):
        roster = roster_of(NAMES[:3])
        epoch = roster.epoch
        roster.learn_heard_by_peer(0.1, NAMES[1], 0.0)
        assert roster.epoch == epoch
        roster.learn_heard_by_peer(LOST_SECONDS + 1, NAMES[1], 0.1)
        assert roster.by_address[NAMES[1]].changed_epoch == epoch + 1


class TestChangesOfHomes:
    """An agent must not search for flows that their owners have reported to homes.

    A member that is no home any more, as its target has ended, is lost after seconds,
    and flows get another candidate in its place. Their owners check the homes again
    only if the candidates for homes are seen to change.
    """

    def heard(self, roster, now, names):
        for name in names:
            roster.learn(now, name, 0, status())

    def test_as_a_member_without_a_target_is_lost(self):
        roster = roster_of(NAMES)
        roster.refresh(0.0)
        roster.learn(0.1, NAMES[-1], 2, status(State.ENDED))
        assert roster.refresh(0.2).homes_changed
        others = NAMES[:-1]
        self.heard(roster, 4.4, others)
        assert not roster.refresh(4.4).homes_changed
        self.heard(roster, LOST_SECONDS + 0.2, others)
        assert roster.refresh(LOST_SECONDS + 0.2).homes_changed

    def test_not_in_a_service_where_every_member_is_a_candidate(self):
        names = NAMES[:CANDIDATES]
        roster = roster_of(names)
        roster.learn(0.1, names[-1], 2, status(State.ENDED))
        roster.refresh(0.2)
        self.heard(roster, LOST_SECONDS + 0.2, names[:-1])
        assert not roster.refresh(LOST_SECONDS + 0.2).homes_changed


class TestEntriesAndAgentsSeeTheSameHomes:
    """Packets must not go to homes that no owner has notified.

    Many targets are replaced and their agents end. Entries send these agents nothing
    any more, so they never notice their silence. For entries the ended agents would
    keep their places among the candidates for ever.
    """

    def heard(self, roster, now, names):
        for order, name in enumerate(names):
            roster.learn(now, name, order % 3, status())

    def rosters(self):
        entry, agent = Roster("tally"), Roster("tally", NAMES[0])
        for roster in (entry, agent):
            self.heard(roster, 0.0, NAMES)
            for name in NAMES[4:]:
                roster.learn(0.1, name, 0, status(State.ENDED))
            self.heard(roster, 0.2, [*NAMES[:4], "10.0.1.1", "10.0.1.2", "10.0.1.3"])
            later = LOST_SECONDS + 1.0
            self.heard(roster, later, [*NAMES[:4], "10.0.1.1", "10.0.1.2", "10.0.1.3"])
        return entry, agent, later

    def test_once_agents_have_ended(self):
        entry, agent, later = self.rosters()
        keys = [number.to_bytes(12, "big") for number in range(200)]
        assert all(entry.homes(later, k) == agent.homes(later, k) for k in keys)

    def test_entries_forget_them(self):
        entry, _, later = self.rosters()
        entry.refresh(later)
        assert len(entry.by_address) == len(NAMES) + 3
        self.heard(entry, later + 60.0, NAMES[:4])
        entry.refresh(later + 60.0)
        assert not set(NAMES[4:]) & set(entry.by_address)


class TestPackets:
    @pytest.mark.parametrize(
        ("flags", "length", "kind", "resettable"),
        [
            (Flag.ACKNOWLEDGES, 9, "data", True),
            (Flag.ACKNOWLEDGES | Flag.CLOSING, 0, "closing", True),
            (Flag.ACKNOWLEDGES, 0, "bare", False),
            (Flag.RESET, 0, "reset", False),
        ],
    )
    def test_packets_of_unowned_flows_may_be_reset(
        self, flags, length, kind, resettable
    ):
        one = packet(flags=flags, length=length)
        assert (one.kind, one.is_resettable) == (kind, resettable)


class TestEnded:
    def test_is_read_as_it_was_written(self):
        ended = [Ended(FLOW, 7), Ended(FLOW[::-1], 2**32 - 1)]
        assert tunnel.decode_ended(tunnel.encode_ended(ended)) == ended

    def test_what_is_cut_off_is_malformed(self):
        assert tunnel.decode_ended(tunnel.encode_ended([Ended(FLOW, 7)])[:-1]) is None
