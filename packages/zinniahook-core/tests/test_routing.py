"""Connection ids, headers, rendezvous ranks and routing at an entry."""

import random

import pytest
from zinniahook_core.codes import Code
from zinniahook_core.effects import Drop, ToAgent
from zinniahook_core.entries import EntryCore
from zinniahook_core.events import (
    AnswerSeen,
    CallerDatagram,
    ConfigurationChanged,
    RosterChanged,
)
from zinniahook_core.models import (
    Address,
    AgentState,
    Configuration,
    Key,
    Member,
    Protocol,
    Roster,
    Service,
)
from zinniahook_core.rendezvous import best, rank
from zinniahook_core.routing import (
    CONNECTION_ID_LENGTH,
    ConnectionIds,
    Owner,
    destination_of,
    flow_key,
)

KEYS = {1: Key(1, bytes(range(32))), 2: Key(2, bytes(range(32, 64)))}
TALLY = Service("tally", 7, Address("10.0.0.1", 443))
LEDGER = Service("ledger", 8, Address("10.0.0.2", 443))
FEED = Service("feed", 9, Address("10.0.0.3", 900), protocol=Protocol.UDP)
CALLER = Address("192.0.2.1", 5000)


def configuration(generation=1, services=(TALLY, LEDGER, FEED), key=1):
    by_name = {service.name: service for service in services}
    return Configuration(generation, by_name, KEYS, {}, key, 1)


def member(service, index, state=AgentState.READY, incarnation=1):
    tunnel = Address(f"10.1.{service.number}.{index}", 7000)
    name = f"{service.name}-{index}"
    return Member(name, tunnel, tunnel, tunnel, "thies-1", incarnation, state, 4)


def roster(service, revision, members):
    return Roster(service.name, revision, {one.name: one for one in members})


def entry(*rosters, current=None):
    core = EntryCore(random.Random(1))
    core.handle(0.0, ConfigurationChanged(current or configuration()))
    for one in rosters:
        core.handle(0.0, RosterChanged(one))
    return core


def initial(connection_id):
    size = bytes((len(connection_id),))
    return b"\xc3\x00\x00\x00\x01" + size + connection_id + bytes(1200)


def short(connection_id):
    return b"\x43" + connection_id + bytes(30)


class TestRendezvous:
    def test_order_of_names_does_not_matter_and_best_is_first(self):
        names = [f"tally-{index}" for index in range(7)]
        for number in range(100):
            key = number.to_bytes(4, "big")
            ranked = rank(key, names)
            assert ranked == rank(key, reversed(names))
            assert best(key, names) == ranked[0]

    def test_former_home_is_next_in_rank_after_a_join(self):
        names = [f"tally-{index}" for index in range(6)]
        for number in range(200):
            key = number.to_bytes(4, "big")
            ranked = rank(key, [*names, "tally-new"])
            if ranked[0] == "tally-new":
                assert ranked[1] == best(key, names)

    def test_no_names(self):
        with pytest.raises(ValueError, match="no names"):
            best(b"key", [])


class TestConnectionIds:
    def test_round_trip_and_ids_of_one_owner_differ(self):
        ids = ConnectionIds(KEYS, 1, random.Random(1))
        owner = Owner(7, Address("10.1.7.1", 7000), 0x12345)
        drawn = {ids.encode(owner) for _ in range(100)}
        assert len(drawn) == 100
        assert {len(one) for one in drawn} == {CONNECTION_ID_LENGTH}
        assert {ids.decode(one) for one in drawn} == {
            owner._replace(incarnation=0x2345)
        }

    def test_an_old_key_is_still_accepted_after_rotation(self):
        owner = Owner(7, Address("10.1.7.1", 7000), 1)
        before = ConnectionIds(KEYS, 1, random.Random(1)).encode(owner)
        after = ConnectionIds(KEYS, 2, random.Random(1))
        assert after.decode(before) == owner
        assert after.encode(owner)[0] == 2

    def test_foreign_ids_are_unknown(self):
        ids = ConnectionIds(KEYS, 1, random.Random(1))
        rng = random.Random(2)
        for size in (0, 8, 16, 17, 20):
            foreign = rng.randbytes(size)
            assert ids.decode(foreign) is Code.CONNECTION_ID_UNKNOWN

    def test_a_changed_bit_is_unknown(self):
        ids = ConnectionIds(KEYS, 1, random.Random(1))
        drawn = ids.encode(Owner(7, Address("10.1.7.1", 7000), 1))
        forged = drawn[:-1] + bytes((drawn[-1] ^ 1,))
        assert ids.decode(forged) is Code.CONNECTION_ID_UNKNOWN

    def test_an_ipv6_agent_is_refused(self):
        ids = ConnectionIds(KEYS, 1, random.Random(1))
        with pytest.raises(ValueError, match="IPv4"):
            ids.encode(Owner(7, Address("::1", 7000), 1))

    def test_memo_is_bounded(self, monkeypatch):
        monkeypatch.setattr("zinniahook_core.routing.OWNER_CACHE_SIZE", 64)
        ids = ConnectionIds(KEYS, 1, random.Random(1))
        for port in range(1000):
            owner = Owner(7, Address("10.1.7.1", port), 1)
            for _ in range(2):
                assert ids.decode(ids.encode(owner)) == owner
        assert len(ids._owners_by_block) <= 64

    def test_memo_does_not_grow_with_connections(self):
        ids = ConnectionIds(KEYS, 1, random.Random(1))
        owner = Owner(7, Address("10.1.7.1", 7000), 1)
        for _ in range(1000):
            assert ids.decode(ids.encode(owner)) == owner
        assert len(ids._owners_by_block) == 1


class TestDestination:
    def test_long_and_short(self):
        assert destination_of(initial(b"12345678")) == (True, b"12345678")
        assert destination_of(short(bytes(17))) == (False, bytes(17))

    @pytest.mark.parametrize(
        "datagram",
        [b"", b"\x40", b"\xc0" * 6, short(b"")[:17], b"\xc0\0\0\0\1\x15" + bytes(40)],
    )
    def test_malformed(self, datagram):
        assert destination_of(datagram) is Code.DATAGRAM_MALFORMED

    def test_any_bytes_give_a_result(self):
        rng = random.Random(3)
        for size in range(64):
            result = destination_of(rng.randbytes(size))
            assert result is Code.DATAGRAM_MALFORMED or len(result) == 2


class TestFlowKey:
    def test_sizes(self):
        assert len(flow_key(CALLER)) == 6
        assert len(flow_key(Address("2001:db8::1", 1))) == 18


class TestEntry:
    def members(self, service, count=5):
        return [member(service, index) for index in range(count)]

    def test_an_established_connection_goes_to_its_owner_in_any_state(self):
        """An established flow must not break when its agent leaves.

        The agent announces that it leaves, the entry learns it, and the caller's
        next packet arrives. Packets of known flows must not be routed by which
        agents accept new ones.
        """
        owner = member(TALLY, 1, AgentState.LEAVING)
        core = entry(roster(TALLY, 1, [owner, member(TALLY, 2)]))
        ids = ConnectionIds(KEYS, 1, random.Random(5))
        drawn = ids.encode(Owner(7, owner.tunnel, 1))
        assert core.route(0.0, TALLY, CALLER, short(drawn)) == owner.tunnel
        core.handle(0.0, RosterChanged(roster(TALLY, 2, [member(TALLY, 2)])))
        assert core.route(0.0, TALLY, CALLER, short(drawn)) == owner.tunnel

    def test_a_packet_never_crosses_services(self):
        """A packet must not reach an agent of another service.

        A caller sends the connection id that it got from one service to the address
        of another. The service in the id must be checked.
        """
        core = entry(roster(TALLY, 1, self.members(TALLY)))
        ids = ConnectionIds(KEYS, 1, random.Random(5))
        drawn = ids.encode(Owner(TALLY.number, member(TALLY, 1).tunnel, 1))
        for datagram in (short(drawn), initial(drawn)):
            routed = core.route(0.0, LEDGER, CALLER, datagram)
            assert routed is Code.SERVICE_MISMATCH

    def test_openings_go_to_ready_members_only_and_the_same_at_every_entry(self):
        members = self.members(TALLY)
        members[0] = member(TALLY, 0, AgentState.LEAVING)
        members[1] = member(TALLY, 1, AgentState.STARTING)
        first, second = (
            entry(roster(TALLY, 1, members)),
            entry(roster(TALLY, 1, members)),
        )
        ready = {one.tunnel for one in members[2:]}
        rng = random.Random(4)
        chosen = set()
        for _ in range(200):
            datagram = initial(rng.randbytes(8))
            routed = first.route(0.0, TALLY, CALLER, datagram)
            assert routed == second.route(0.0, TALLY, CALLER, datagram)
            chosen.add(routed)
        assert chosen == ready

    def test_a_short_header_with_a_foreign_id_is_dropped(self):
        core = entry(roster(TALLY, 1, self.members(TALLY)))
        event = CallerDatagram("tally", CALLER, short(bytes(17)))
        assert core.handle(0.0, event) == [Drop(Code.CONNECTION_ID_UNKNOWN)]

    def test_no_agent_and_no_service(self):
        core = entry()
        event = CallerDatagram("tally", CALLER, initial(bytes(8)))
        assert core.handle(0.0, event) == [Drop(Code.NO_AGENT)]
        event = CallerDatagram("nothing", CALLER, initial(bytes(8)))
        assert core.handle(0.0, event) == [Drop(Code.SERVICE_UNKNOWN)]

    def test_generation_and_revision_never_go_down(self):
        """An entry must not return to a configuration or roster that was replaced.

        Two pushes may overtake each other on different paths, so the last message
        received isn't always the newest.
        """
        core = entry(current=configuration(generation=5))
        core.handle(0.0, ConfigurationChanged(configuration(generation=4)))
        assert core.generation == 5
        core.handle(0.0, RosterChanged(roster(TALLY, 9, self.members(TALLY, 2))))
        core.handle(0.0, RosterChanged(roster(TALLY, 8, self.members(TALLY, 5))))
        assert core.roster("tally").revision == 9

    def test_a_member_that_the_configuration_excludes_gets_no_openings(self):
        narrowed = TALLY._replace(targets=("tally-1",))
        core = entry(
            roster(TALLY, 1, self.members(TALLY)),
            current=configuration(services=(narrowed,)),
        )
        rng = random.Random(4)
        for _ in range(50):
            routed = core.route(0.0, narrowed, CALLER, initial(rng.randbytes(8)))
            assert routed == member(TALLY, 1).tunnel


class TestViews:
    """Rosters are kept unpacked only for services with recent openings."""

    def services(self, count):
        return [
            Service(f"s{n}", n, Address(f"10.3.{n >> 8}.{n & 255}", 443))
            for n in range(1, count + 1)
        ]

    def test_held_ones_are_bounded_and_others_found_again(self, monkeypatch):
        """Memory must not grow with the number of services and members.

        An entry for thousands of services would use three times its memory limit if
        it kept every roster unpacked, although few services get openings.
        """
        monkeypatch.setattr("zinniahook_core.entries.MAX_SERVICE_VIEWS", 8)
        services = self.services(40)
        rosters = {s.name: roster(s, 1, [member(s, 1)]) for s in services}
        core = EntryCore(random.Random(1), rosters.get)
        core.handle(0.0, ConfigurationChanged(configuration(1, services)))
        for _ in range(2):
            for service in services:
                agent = core.route(0.0, service, CALLER, initial(b"12345678"))
                assert agent == member(service, 1).tunnel
                assert len(core._views_by_service) <= 8

    def test_a_change_is_found_whether_held_or_not(self):
        services = self.services(2)
        held, other = services
        rosters = {s.name: roster(s, 1, [member(s, 1)]) for s in services}
        core = EntryCore(random.Random(1), rosters.get)
        core.handle(0.0, ConfigurationChanged(configuration(1, services)))
        core.route(0.0, held, CALLER, initial(b"12345678"))
        for service in services:
            rosters[service.name] = roster(service, 2, [member(service, 2)])
            core.handle(1.0, RosterChanged(rosters[service.name]))
            agent = core.route(1.0, service, CALLER, initial(b"12345678"))
            assert agent == member(service, 2).tunnel
        assert other.name in core._views_by_service

    def test_new_rules_of_a_service_reach_a_held_view(self):
        services = self.services(2)
        rosters = {s.name: roster(s, 1, [member(s, 1)]) for s in services}
        core = EntryCore(random.Random(1), rosters.get)
        core.handle(0.0, ConfigurationChanged(configuration(1, services)))
        for service in services:
            core.route(0.0, service, CALLER, initial(b"12345678"))
        ruled = services[0]._replace(targets=("nobody",))
        changed = configuration(2, [ruled, services[1]])
        core.handle(1.0, ConfigurationChanged(changed))
        first, second = (
            core.route(1.0, service, CALLER, initial(b"12345678"))
            for service in (ruled, services[1])
        )
        assert first is Code.NO_AGENT
        assert second == member(services[1], 1).tunnel


class TestOwnersHint:
    def test_an_answer_is_remembered_until_its_agent_is_down(self):
        members = [member(FEED, index) for index in range(4)]
        core = entry(roster(FEED, 1, members))
        home = core.route(0.0, FEED, CALLER, b"x")
        other = next(one for one in members if one.tunnel != home)
        core.handle(0.0, AnswerSeen("feed", CALLER, other.tunnel))
        event = CallerDatagram("feed", CALLER, b"x")
        assert core.handle(0.0, event) == [ToAgent(other.tunnel)]
        members.remove(other)
        members.append(other._replace(state=AgentState.DOWN))
        core.handle(1.0, RosterChanged(roster(FEED, 2, members)))
        assert core.handle(1.0, event) == [ToAgent(home)]

    def test_hint_without_answers_is_dropped(self):
        """A flow must not stay silent for as long as the store is down.

        Its owner stops while the store is down, so no roster reports it. An entry
        that trusted the last answer forever would leave the flow without answers
        for minutes.
        """
        members = [member(FEED, index) for index in range(4)]
        core = entry(roster(FEED, 1, members))
        home = core.route(0.0, FEED, CALLER, b"x")
        other = next(one for one in members if one.tunnel != home)
        core.handle(0.0, AnswerSeen("feed", CALLER, other.tunnel))
        assert core.route(10.0, FEED, CALLER, b"x") == other.tunnel
        assert core.route(12.9, FEED, CALLER, b"x") == other.tunnel
        assert core.route(13.1, FEED, CALLER, b"x") == home

    def test_an_answer_of_an_unknown_agent_is_no_hint(self):
        core = entry(roster(FEED, 1, [member(FEED, 1)]))
        core.handle(0.0, AnswerSeen("feed", CALLER, Address("203.0.113.9", 1)))
        assert core.route(0.0, FEED, CALLER, b"x") == member(FEED, 1).tunnel

    def test_bounded(self, monkeypatch):
        monkeypatch.setattr("zinniahook_core.entries.MAX_OWNER_HINTS", 10)
        one = member(FEED, 1)
        core = entry(roster(FEED, 1, [one]))
        for port in range(100):
            core.handle(0.0, AnswerSeen("feed", Address("192.0.2.1", port), one.tunnel))
        assert len(core._hints_by_flow) == 10
