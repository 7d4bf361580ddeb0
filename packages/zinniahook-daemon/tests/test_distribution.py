"""Distribution of configuration and rosters between daemons."""

from __future__ import annotations

import asyncio
import ssl

import pytest
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from zinniahook_core.codes import Code
from zinniahook_core.configuration import Operator
from zinniahook_core.models import Address, AgentState, Member, Roster, Service
from zinniahook_daemon.certificates import Certificates
from zinniahook_daemon.generations import Generations
from zinniahook_wire import documents
from zinniahook_wire.compression import compress
from zinniahook_wire.control_grpc import ControlStub
from zinniahook_wire.control_pb2 import DrainRequest, StatusRequest
from zinniahook_wire.documents import Pointer

TALLY = Service("tally", 1, Address("127.0.0.1", 7001))
LEDGER = Service("ledger", 2, Address("127.0.0.1", 7002))
UNUSABLE = "distribution.unusable.CONFIGURATION_INVALID"


def roster(service: str, revision: int, *names: str) -> Roster:
    address = Address("127.0.0.1", 9000)
    members = {
        name: Member(name, address, address, address, "thies-1", 1, AgentState.READY, 4)
        for name in names
    }
    return Roster(service, revision, members)


def hand_over_roster(node, roster: Roster) -> None:
    """Give a roster to a node, as if read from the store."""
    node.distribution.update_roster(roster, documents.roster_to_json(roster))


class TestFollowingParents:
    def test_a_restarted_daemon_follows_a_parent_while_the_store_is_down(
        self, nodes, eventually
    ):
        """Guards against a daemon that stays idle after a restart without the store.

        The store is down, a daemon starts, and a peer has everything it needs.
        Otherwise the daemon would ask only the store.
        """

        async def run():
            async with nodes.start("parent") as parent:
                nodes.commit(parent, 3, TALLY, LEDGER)
                hand_over_roster(parent, roster("tally", 8, "a", "b"))
                async with nodes.start("child", parent.control_address) as child:
                    await asyncio.wait_for(child.ready(), 20)
                    assert child.generation == 3
                    assert child.configuration == parent.configuration
                    # Ready only with the rosters; otherwise it would drop new flows.
                    child_rosters, parent_rosters = (
                        child.distribution.rosters,
                        parent.distribution.rosters,
                    )
                    assert (
                        child_rosters.revisions_by_service
                        == parent_rosters.revisions_by_service
                    )
                    assert child_rosters.get("tally") == parent_rosters.get("tally")
                    await eventually(lambda: child.distribution.depth == 1)

        asyncio.run(run())

    def test_changes_are_pushed(self, nodes, eventually):
        async def run():
            async with (
                nodes.start("parent") as parent,
                nodes.start("child", parent.control_address) as child,
            ):
                nodes.commit(parent, 1, TALLY)
                await eventually(lambda: child.generation == 1)
                nodes.commit(parent, 2, TALLY, LEDGER)
                await eventually(lambda: child.generation == 2)
                assert set(child.configuration.services_by_name) == {"tally", "ledger"}
                hand_over_roster(parent, roster("ledger", 5, "c"))
                await wait_for_same_rosters(parent, child)

        asyncio.run(run())

    def test_a_manifest_is_passed_on_as_stored(self, nodes, eventually):
        async def run():
            async with (
                nodes.start("parent") as parent,
                nodes.start("child", parent.control_address) as child,
                nodes.start("grandchild", child.control_address) as grandchild,
            ):
                nodes.commit(parent, 1, TALLY)
                await eventually(lambda: grandchild.generation == 1)
                nodes.commit(parent, 2, TALLY, LEDGER)
                await eventually(lambda: grandchild.generation == 2)
                values = {
                    node.distribution.generations.stored(2).value
                    for node in (parent, child, grandchild)
                }
                assert len(values) == 1
                for node in (child, grandchild):
                    counters = node.metrics.counters_by_name
                    assert UNUSABLE not in counters

        asyncio.run(run())

    def test_a_manifest_with_other_content_is_requested_as_a_whole(
        self, nodes, eventually
    ):
        """Guards against a daemon that switches parents at each change.

        The child and its parent hold different manifests of the same generation,
        as after the store was emptied, and the parent receives a change. A change
        against its manifest doesn't apply to the child's.
        """

        async def run():
            async with (
                nodes.start("parent") as parent,
                nodes.start("child", parent.control_address) as child,
            ):
                nodes.commit(child, 1, LEDGER)
                nodes.commit(parent, 1, TALLY)
                await asyncio.wait_for(child.distribution.synchronized.wait(), 20)
                nodes.commit(parent, 2, TALLY, LEDGER)
                await eventually(lambda: child.generation == 2)
                assert (
                    child.distribution.generations.stored(2).value
                    == parent.distribution.generations.stored(2).value
                )
                counters = child.metrics.counters_by_name
                assert counters[UNUSABLE] >= 1

        asyncio.run(run())

    def test_an_agent_receives_only_its_own_service(self, nodes, eventually):
        async def run():
            async with nodes.start("parent") as parent:
                nodes.commit(parent, 1, TALLY, LEDGER)
                hand_over_roster(parent, roster("ledger", 4, "c"))
                hand_over_roster(parent, roster("tally", 5, "a"))
                start = nodes.start("a", parent.control_address, service="tally")
                async with start as agent:
                    await eventually(
                        lambda: agent.distribution.rosters.revisions_by_service
                    )
                    assert set(agent.configuration.services_by_name) == {"tally"}
                    assert set(agent.distribution.rosters.revisions_by_service) == {
                        "tally"
                    }

        asyncio.run(run())

    def test_a_lagging_parent_is_left(self, nodes, eventually):
        """Guards against an accepted change that never reaches some daemons.

        A parent is cut off from the store, its child receives the number of a newer
        generation in a tunnel datagram, and another parent has that generation. A
        parent that lags looks like a parent without changes.
        """

        async def run():
            async with nodes.start("p1") as first, nodes.start("p2") as second:
                nodes.commit(first, 1, TALLY)
                nodes.commit(second, 1, TALLY)
                parents = (first.control_address, second.control_address)
                async with nodes.start("child", *parents) as child:
                    await eventually(
                        lambda: any(
                            one.distribution.subscribers for one in (first, second)
                        )
                    )
                    followed = first if first.distribution.subscribers else second
                    other = second if followed is first else first
                    nodes.commit(other, 2, TALLY, LEDGER)
                    child.distribution.report_generation(2)
                    await eventually(lambda: child.generation == 2)

        asyncio.run(run())

    def test_a_dead_parent_is_replaced(self, nodes, eventually):
        """Guards against daemons that receive no changes after a parent was killed.

        The followed parent ends, and the other one receives a change. Otherwise the
        child would wait for its parent to return.
        """

        async def run():
            async with nodes.start("p2") as second:
                async with nodes.start("p1") as first:
                    nodes.commit(first, 1, TALLY)
                    parents = (first.control_address, second.control_address)
                    child_context = nodes.start("child", *parents)
                    child = await child_context.__aenter__()
                    await eventually(lambda: child.generation == 1)
                nodes.commit(second, 2, TALLY)
                await eventually(lambda: child.generation == 2)
                await child_context.__aexit__(None, None, None)

        asyncio.run(run())


class TestStagedRollout:
    def test_each_stage_reaches_only_the_named_instances(self, nodes, eventually):
        """Guards against a staged change that is in force too early.

        The change is rolled out to a single instance, which passes it on to the
        daemons that follow it, and then to all. Otherwise a daemon would put in
        force whatever its parent has in force.
        """

        async def run():
            async with nodes.start("parent") as parent:
                nodes.commit(parent, 1, TALLY)
                first = Pointer(2, "op", 1, ("parent",))
                nodes.commit(parent, 2, TALLY, LEDGER, pointer=first)
                assert parent.generation == 2
                async with nodes.start("child", parent.control_address) as child:
                    await asyncio.wait_for(child.ready(), 20)
                    assert child.generation == 1
                    assert child.distribution.generations.pointer == first
                    nodes.commit(parent, 2, TALLY, LEDGER)
                    await eventually(lambda: child.generation == 2)

        asyncio.run(run())


class TestNoRollback:
    def test_a_lower_generation_is_refused(self, nodes):
        """Guards against an accepted change that is reverted on a daemon.

        A daemon switches to a source that lags. Without a comparison, it would
        accept the source's older generation.
        """

        async def run():
            async with nodes.start("node") as node:
                nodes.commit(node, 5, TALLY)
                nodes.commit(node, 4, TALLY, LEDGER)
                assert node.generation == 5
                assert set(node.configuration.services_by_name) == {"tally"}

        asyncio.run(run())

    def test_a_lower_revision_is_refused(self, nodes):
        async def run():
            async with nodes.start("node") as node:
                hand_over_roster(node, roster("tally", 5, "a"))
                hand_over_roster(node, roster("tally", 4, "b"))
                known = node.distribution.rosters.get("tally")
                assert set(known.by_name) == {"a"}

        asyncio.run(run())

    def test_a_value_with_another_digest_is_refused(self):
        generations = Generations("a", "thies-1", None)
        with pytest.raises(documents.DocumentError):
            generations.add_values({documents.digest_of(b"one"): b"other"})

    def test_a_compressed_value_with_another_digest_is_refused(self):
        generations = Generations("a", "thies-1", None)
        digest = documents.digest_of(b"one")
        with pytest.raises(documents.DocumentError):
            generations.add_compressed({digest: compress(b"other")})
        generations.add_compressed({digest: compress(b"one")})
        assert generations.value(digest) == b"one"

    def test_stages_only_widen(self):
        generations = Generations("entry-2", "thies-1", None)
        stages = [
            Pointer(7, "op", 6, ("entry-1",)),
            Pointer(7, "op", 6, ("entry-1",), ("thies-1",)),
            Pointer(7, "op"),
        ]
        wanted = []
        for stage in (*stages, *stages):
            generations.set_pointer(documents.pointer_to_json(stage))
            wanted.append(generations.desired_generation)
        assert wanted == [6, 7, 7, 7, 7, 7]


class TestAuthentication:
    def test_a_foreign_certificate_gets_nothing(self, nodes):
        """Guards against a foreign process that reads the configuration's keys.

        A process with a certificate of another authority calls. The keys would leak
        if TLS didn't verify the client's certificate.
        """

        async def run():
            async with nodes.start("parent") as parent:
                nodes.commit(parent, 1, TALLY)
                context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
                context.check_hostname = False
                context.verify_mode = ssl.CERT_NONE
                context.set_alpn_protocols(["h2"])
                files = nodes.foreign.issue("stranger")
                context.load_cert_chain(files.certificate, files.key)
                channel = Channel(*parent.control_address, ssl=context)
                try:
                    with pytest.raises((OSError, StreamTerminatedError)):
                        await ControlStub(channel).Status(StatusRequest())
                finally:
                    channel.close()

        asyncio.run(run())

    def test_certificates_are_reloaded(self, nodes, eventually):
        """Guards against calls that fail once a certificate has been replaced.

        The files of a running daemon change, and it is asked to reload them.
        Otherwise the context would keep the certificate read at the start.
        """

        async def run():
            files = nodes.authority.issue("node")
            async with nodes.start("node", files=files) as node:
                nodes.commit(node, 1, TALLY)
                old = node.certificates.client
                for former, new in zip(files, nodes.foreign.issue("node"), strict=True):
                    former.write_bytes(new.read_bytes())
                node.reload()
                async with nodes.start(
                    "child", node.control_address, files=nodes.foreign.issue("child")
                ) as child:
                    await eventually(lambda: child.generation == 1)
                with pytest.raises((OSError, StreamTerminatedError)):
                    await call(node, "Status", StatusRequest(), old)

        asyncio.run(run())

    def test_a_broken_file_leaves_the_old_certificate(self, nodes):
        async def run():
            files = nodes.authority.issue("node")
            async with nodes.start("node", files=files) as node:
                files.certificate.write_text("no certificate")
                node.reload()
                assert node.metrics.counters_by_name["certificates.refused"] == 1
                assert isinstance(node.certificates, Certificates)

        asyncio.run(run())


class TestPermissions:
    """Limits of certificates issued by the daemons' own authority."""

    def test_an_operator_gets_no_keys(self, nodes):
        """Guards against a stolen operator's certificate that gives access to the keys.

        A subscriber presents an operator's certificate. Otherwise every certificate
        of the authority would be accepted as a daemon's.
        """

        async def run():
            async with nodes.start("node") as node:
                amina = Operator("amina", ("ledger",))
                nodes.commit(node, 1, TALLY, operators={"amina": amina})
                async with nodes.start("amina", node.control_address) as stranger:
                    async with asyncio.timeout(20):
                        while "operator" not in stranger.distribution.reason:
                            await asyncio.sleep(0.01)
                    assert stranger.configuration is None

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("services", "code"),
        [(("ledger",), Code.NOT_PERMITTED), (("tal*",), Code.OK)],
    )
    def test_only_named_operators_drain(self, nodes, services, code):
        async def run():
            async with nodes.start("a", service="tally") as node:
                amina = Operator("amina", services)
                nodes.commit(node, 1, TALLY, operators={"amina": amina})
                hand_over_roster(node, roster("tally", 9, "a", "b"))
                drained = []
                node.on_drain(drained.append)
                files = nodes.authority.issue("amina")
                control = node.settings.control._replace(
                    certificate=files.certificate, key=files.key
                )
                request = DrainRequest(seconds=3)
                reply = await call(node, "Drain", request, Certificates(control).client)
                assert reply.code == code
                assert drained == ([] if code else [3.0])

        asyncio.run(run())


class TestOperatorCalls:
    def test_status_reports_what_is_in_force(self, nodes):
        async def run():
            async with nodes.start("entry-1") as node:
                nodes.commit(node, 4, TALLY)
                hand_over_roster(node, roster("tally", 9, "a"))
                node.count("entry.dropped", code=Code.NO_AGENT.name)
                node.histogram("tally", "ticket").record(0.25)
                request = StatusRequest(counters=True, rosters=True)
                status = await call(node, "Status", request)
                assert (status.name, status.role) == ("entry-1", "entry")
                assert status.generation == 4
                assert dict(status.revisions_by_service) == {"tally": 9}
                assert dict(status.drops_by_code) == {int(Code.NO_AGENT): 1}
                (histogram,) = status.histograms
                assert histogram.count == 1
                assert histogram.p50 == pytest.approx(0.25, rel=0.02)

        asyncio.run(run())

    def test_an_entry_stops_when_drained(self, nodes):
        async def run():
            async with nodes.start("entry-1") as node:
                nodes.commit(node, 1, TALLY)
                reply = await call(node, "Drain", DrainRequest(look=True))
                assert (reply.state, node.stopping.is_set()) == ("serving", False)
                reply = await call(node, "Drain", DrainRequest())
                assert (reply.state, node.stopping.is_set()) == ("stopping", True)

        asyncio.run(run())

    def test_not_ready_contains_the_reason(self, nodes):
        async def run():
            async with nodes.start("entry-1") as node:
                status = await call(node, "Status", StatusRequest())
                assert status.state == "not-ready"
                assert status.code == Code.NOT_READY
                assert "store" in status.reason

        asyncio.run(run())

    def test_the_last_target_is_not_drained_unforced(self, nodes):
        async def run():
            async with nodes.start("a", service="tally") as node:
                hand_over_roster(node, roster("tally", 9, "a"))
                drained = []
                node.on_drain(drained.append)
                reply = await call(node, "Drain", DrainRequest(seconds=3))
                assert reply.code == Code.WOULD_EMPTY_SERVICE
                assert drained == []
                reply = await call(node, "Drain", DrainRequest(seconds=3, force=True))
                assert reply.code == Code.OK
                assert drained == [3.0]

        asyncio.run(run())


async def call(node, name, request, context=None):
    """Call a node's control server, by default with the node's own certificate."""
    context = context or node.certificates.client
    channel = Channel(*node.control_address, ssl=context)
    try:
        return await getattr(ControlStub(channel), name)(request)
    finally:
        channel.close()


async def wait_for_same_rosters(parent, child):
    """Wait until both nodes hold the same revisions of the rosters."""
    async with asyncio.timeout(20):
        while (
            child.distribution.rosters.revisions_by_service
            != parent.distribution.rosters.revisions_by_service
        ):
            await asyncio.sleep(0.01)
