"""The parts of the soak: schedules, verification, relays."""

import asyncio
import random
import socket

from zinniahook_testkit.soak import Disturbance, Fault, Relays, Verifier, draw, shrink

FLOW = b"f" * 12
KINDS = ["kill", "cut", "pause"]


class TestSchedules:
    def test_a_seed_gives_the_same_faults_each_time(self):
        assert draw(7, 20.0, KINDS) == draw(7, 20.0, KINDS)
        assert draw(7, 20.0, KINDS) != draw(8, 20.0, KINDS)

    def test_faults_come_in_order_and_in_time(self):
        faults = draw(3, 60.0, KINDS)
        assert faults == sorted(faults)
        assert faults[-1].at < 60.0
        assert {fault.kind for fault in faults} == set(KINDS)

    def test_only_the_faults_that_matter_are_left(self):
        faults = [Fault(float(n), "kill", n, 0.0) for n in range(20)]
        culprits = {faults[4], faults[17]}
        tries = []

        def fails(some):
            tries.append(some)
            return culprits <= set(some)

        assert set(shrink(faults, fails)) == culprits
        assert len(tries) < 60


class TestVerification:
    def test_a_reset_of_a_held_flow_is_found(self):
        verifier = Verifier()
        verifier.record_reset(10.0, FLOW, "10.0.0.1", "10.0.0.2")
        assert len(verifier.violations(20.0, {})) == 1

    def test_not_while_its_sender_or_holder_may_know_too_little(self):
        for address in ("10.0.0.1", "10.0.0.2", ""):
            verifier = Verifier()
            verifier.record_disruption(address, 5.0, 7.0)
            verifier.record_reset(10.0, FLOW, "10.0.0.1", "10.0.0.2")
            assert verifier.violations(20.0, {}) == []
            verifier.record_reset(11.5, FLOW, "10.0.0.1", "10.0.0.2")
            assert len(verifier.violations(20.0, {})) == 1

    def test_openings_at_a_target_that_left_some_time_ago(self):
        verifier = Verifier()
        verifier.record_leaving("10.0.0.1", 5.0, 12.0)
        for at in (7.9, 12.0):
            verifier.record_opening(at, FLOW, "10.0.0.1")
        assert verifier.violations(20.0, {}) == []
        verifier.record_opening(8.0, FLOW, "10.0.0.1")
        assert verifier.violations(20.0, {}) == [
            "opening at a leaving target: 10.0.0.1 at 8.00"
        ]

    def test_openings_in_an_evacuated_data_centre(self):
        verifier = Verifier()
        verifier.record_evacuation("10.0.0.1", 5.0, 20.0)
        verifier.record_opening(9.9, FLOW, "10.0.0.1")
        assert verifier.violations(30.0, {}) == []
        verifier.record_opening(10.0, FLOW, "10.0.0.1")
        assert len(verifier.violations(30.0, {})) == 1

    def test_a_misrouted_flow(self):
        verifier = Verifier()
        verifier.foreign += [(at, FLOW, "10.0.0.1") for at in (1.0, 1.5, 2.5)]
        assert len(verifier.violations(20.0, {FLOW: "10.0.0.2"})) == 1
        assert verifier.violations(20.0, {}) == []
        verifier.owned.append((2.0, FLOW))
        assert verifier.violations(20.0, {FLOW: "10.0.0.2"}) == []


class Ends:
    """Two daemons on loopback, one of which listens behind a relay."""

    def __init__(self, disturbance, cut=()):
        self.disturbance = disturbance
        self.cut = cut

    async def arrived(self, count, wanted):
        """Send ``count`` datagrams and return the first ``wanted`` that arrive."""
        sender, address = "127.0.1.1", "127.0.1.2"
        inner = bound(address)
        port, inner_port = free_port(address), inner.getsockname()[1]
        relays = Relays(random.Random(1), port, inner_port, free_port(sender))
        relays.disturbance = self.disturbance
        relays.cut |= set(self.cut)
        out = bound(sender)
        await relays.add(address)
        loop = asyncio.get_running_loop()
        try:
            for number in range(count):
                await loop.sock_sendto(out, bytes([number]), (address, port))
            found = []
            while len(found) < wanted:
                data, (source, _) = await loop.sock_recvfrom(inner, 100)
                assert source == sender
                found.append(data[0])
            return found
        finally:
            relays.close()
            inner.close()
            out.close()


def bound(address):
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((address, 0))
    return opened


def free_port(address):
    with bound(address) as probe:
        return probe.getsockname()[1]


class TestRelays:
    def test_datagrams_keep_their_sender(self):
        assert asyncio.run(Ends(Disturbance()).arrived(5, 5)) == [0, 1, 2, 3, 4]

    def test_doubled_and_overtaking(self):
        ends = Ends(Disturbance(duplicated=1.0, delay=0.05))
        found = asyncio.run(ends.arrived(20, 40))
        assert sorted(found) == sorted([*range(20), *range(20)])
        assert found != sorted(found)

    def test_lost(self):
        relays = Relays(random.Random(1), 1, 1, 1)
        relays.disturbance = Disturbance(lost=1.0)
        relays._disturb("10.0.0.1", "10.0.0.2", b"x")

    def test_cut_one_way(self):
        ends = Ends(Disturbance(), cut=[("127.0.1.2", "127.0.1.1")])
        assert asyncio.run(ends.arrived(1, 1)) == [0]
        relays = Relays(random.Random(1), 1, 1, 1)
        relays.cut.add(("127.0.1.1", "127.0.1.2"))
        relays._disturb("127.0.1.1", "127.0.1.2", b"x")
