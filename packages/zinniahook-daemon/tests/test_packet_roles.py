"""The probe for the target and the lookup of peers of an agent process."""

import asyncio
import socket
import time

import pytest
from zinniahook_core.models import Address
from zinniahook_core.packets import Heartbeat, State
from zinniahook_daemon.packets.journal import Journal
from zinniahook_daemon.packets.ports import AgentRecord, Settings, StoreUnavailableError
from zinniahook_daemon.packets.roles import AgentDaemon

HOST = "127.0.0.1"


def agent(target):
    settings = Settings(
        name="side-a-1",
        address=HOST,
        data_centre="a",
        inner_port=0,
        client_port=0,
        seeds=(),
        grace=6.0,
        beat_interval=1.2,
        service="tally",
        target=target,
    )
    return AgentDaemon(settings, None, None, Journal("side-a-1"))


@pytest.fixture
def listener():
    with socket.create_server((HOST, 0)) as server:
        yield server


def probed_state(daemon):
    """Let a daemon probe its target; return the state that it announces."""
    asyncio.run(daemon._probe_target())
    return daemon.core.membership.state(0.0)


class TestTargetThatWasNeverSeen:
    """Guards against dead flows that aren't ended for seconds after a power loss.

    An instance comes back without its target and is removed at once. Its agent must
    announce that it holds no flows before it leaves.
    """

    def test_an_address_that_refuses_has_no_target(self, listener):
        address = Address(*listener.getsockname())
        listener.close()
        assert probed_state(agent(address)) is State.ENDED

    def test_a_listening_target_may_hold_flows(self, listener):
        assert probed_state(agent(Address(*listener.getsockname()))) is State.STARTING

    def test_a_target_that_sent_a_heartbeat_is_not_probed(self, listener):
        address = Address(*listener.getsockname())
        listener.close()
        daemon = agent(address)
        daemon.core.target.heartbeat(0.0, Heartbeat("t-1", "tally", 4, False, 0.0, 3))
        assert probed_state(daemon) is State.READY


BEAT = Heartbeat("t-1", "tally", 4, False, 0.0, 3, 1_790_000_000_000)


class TestEndThatIsNotCertain:
    """Guards against resets of flows that a running target holds.

    A late or forged report says that the target has ended. Other agents search no
    further at an agent whose target has ended.
    """

    def reported_state(self, listener, beat, target, *, listening):
        """Report an end without a start time; return the state announced then."""
        daemon = agent(Address(*listener.getsockname()))
        if not listening:
            listener.close()

        async def run():
            if beat is not None:
                daemon.core.heartbeat(time.monotonic(), beat)
            daemon.target_ended(target, None)
            await asyncio.sleep(0.3)
            return daemon.core.membership.state(time.monotonic())

        return asyncio.run(run())

    @pytest.mark.parametrize("beat", [None, BEAT])
    def test_it_is_believed_once_the_address_refuses(self, listener, beat):
        state = self.reported_state(listener, beat, "t-1", listening=False)
        assert state is State.ENDED

    def test_it_is_not_while_the_target_listens(self, listener):
        state = self.reported_state(listener, BEAT, "t-1", listening=True)
        assert state is State.READY

    def test_another_name_is_ignored(self, listener):
        state = self.reported_state(listener, BEAT, "t-0", listening=False)
        assert state is State.READY


class SilentLink:
    """A socket that discards its datagrams."""

    def send(self, data, address):
        pass


class FailingStore:
    """A store that doesn't answer the first lookup."""

    def __init__(self, *peers):
        self.peers = peers
        self.lookups = 0

    async def announced_agents(self, service):
        self.lookups += 1
        if self.lookups == 1:
            raise StoreUnavailableError("no answer")
        return [AgentRecord(service, peer, "a") for peer in self.peers]


class TestLookupsAtTheStart:
    def test_are_repeated_although_a_peer_is_known(self):
        """Guards against a roster that lacks peers because an answer was lost."""
        daemon = agent(Address(HOST, 1))
        daemon.store = FailingStore("127.0.0.2", "127.0.0.3")
        daemon._peer_socket = SilentLink()
        daemon.core.members(0.0, "tally", "127.0.0.2", "a")
        asyncio.run(asyncio.wait_for(daemon._discover_peers(), 10.0))
        assert daemon.store.lookups == 2
        assert "127.0.0.3" in daemon.core.roster.by_address
