"""Drains and restarts by operators while feeds and tickets run."""

import asyncio
import contextlib
import json

import pytest
import zinniahook_caller
from operator_runs import (
    FEEDS,
    WITHOUT_CLASSES,
    Operator,
    busiest_agent,
    finish_and_check,
    read_in_order,
    scenario_runner,
    start_load,
    supervise,
)
from zinniahook_cli.answers import Status
from zinniahook_core.codes import Code, ZinniahookError


@pytest.fixture
def run(tmp_path):
    return scenario_runner(tmp_path)


class TestDrain:
    def test_feeds_and_tickets_go_on_through_a_drain(self, run):
        """Feeds break off and tickets fail when a target is drained.

        Feeds are open and tickets are filed while the target with the most
        feeds drains to its end. An agent that waits for feeds only for a fixed
        time closes their connections, as feeds last for hours.
        """

        async def scenario(cluster, amina):
            running = await start_load(cluster)
            name = await busiest_agent(cluster)
            answer = await amina.run(f"drain target {name}")
            assert answer.status is Status.OK, answer.text
            assert answer.data["safe"] == [name]
            cluster.agents_by_name.pop(name)
            replies = await cluster.statuses()
            assert sum(reply.streams for reply in replies) == FEEDS["callers"]
            assert await finish_and_check(cluster, running, reopened=1) == []

        run(scenario)

    def test_a_drain_waits_for_a_caller_that_stays(self, run):
        """A feed is cut because the agent ends before its requests are finished.

        A caller that doesn't reopen its feed holds one open; its target drains
        for longer than the operator waits.
        """

        async def scenario(cluster, amina):
            impatient = Operator(cluster, patience=1.0)
            address = cluster.addresses_by_service["tally"]
            ca = str(cluster.authority.file)
            async with (
                zinniahook_caller.Session(address, ca=ca) as caller,
                caller.stream("GET", "/tally/feed?every=0.05") as stream,
            ):
                lines = stream.iter_lines()
                numbers = [json.loads(await anext(lines))["n"]]
                name = await busiest_agent(cluster)
                answer = await impatient.run(f"drain target {name}")
                assert answer.status is Status.UNFINISHED
                assert answer.data["draining"] == [name]
                assert any("leaving" in line for line in impatient.messages)
                for _ in range(40):
                    numbers.append(json.loads(await anext(lines))["n"])
                assert numbers == list(range(1, 42))
                assert caller.cuts == 0
            # The caller has closed its feed, so the drain can end.
            answer = await amina.run(f"drain target {name}")
            assert answer.status is Status.OK
            assert answer.data["safe"] == [name]

        run(scenario)

    def test_feeds_that_a_peer_runs_go_on_too(self, run):
        """A drain doesn't end although every caller follows GOAWAY.

        One caller's feeds arrive at one agent, which relays some to its peers;
        a peer drains. If the peer sends GOAWAY only on its own connections,
        the callers of relayed feeds never move.
        """

        async def scenario(cluster, amina):
            address = cluster.addresses_by_service["tally"]
            ca, spread = str(cluster.authority.file), zinniahook_caller.Spread(1.0)
            async with contextlib.AsyncExitStack() as stack:
                caller = zinniahook_caller.Session(address, ca=ca, spread=spread)
                await stack.enter_async_context(caller)
                feeds = []
                for _ in range(8):
                    opening = caller.events("/tally/feed?every=0.1")
                    feeds.append(await stack.enter_async_context(opening))
                readings = [asyncio.create_task(read_in_order(feed)) for feed in feeds]
                replies = await cluster.statuses()
                # The caller has one connection, so agents without flows have
                # only relayed feeds.
                peer = max(
                    (reply for reply in replies if not reply.flows),
                    key=lambda reply: reply.busy,
                )
                assert peer.busy
                answer = await amina.run(f"drain target {peer.name}")
                assert answer.status is Status.OK, answer.text
                assert answer.data["safe"] == [peer.name]
                assert sum(feed.reopened for feed in feeds) >= peer.busy
                assert not any(feed.cuts for feed in feeds)
                for reading in readings:
                    reading.cancel()
                ends = await asyncio.gather(*readings, return_exceptions=True)
                assert {type(end) for end in ends} == {asyncio.CancelledError}

        run(scenario, WITHOUT_CLASSES)

    def test_an_operator_ends_a_drain_sooner(self, run):
        """A target can't be replaced for a day, as its drain can't be shortened.

        A caller keeps its feed open; the operator lowers the drain setting and
        requests the drain again. This fails if the end of a drain is fixed
        when it begins.
        """

        async def scenario(cluster, amina):
            impatient = Operator(cluster, patience=1.0)
            address = cluster.addresses_by_service["tally"]
            ca = str(cluster.authority.file)
            async with (
                zinniahook_caller.Session(address, ca=ca) as caller,
                caller.stream("GET", "/tally/feed?every=0.05") as stream,
            ):
                await anext(stream.iter_lines())
                name = await busiest_agent(cluster)
                answer = await impatient.run(f"drain target {name}")
                assert answer.status is Status.UNFINISHED
                await amina.run("set tally.drain = 0.5")
                answer = await amina.run(f"drain target {name}")
                assert answer.status is Status.OK
                assert answer.data["safe"] == [name]

        run(scenario)

    def test_an_operator_stops_only_what_serves_her_services(self, run):
        async def scenario(cluster, amina):
            await amina.run(
                "begin; create operator moussa services = ledger;"
                "create operator amina services = '*'; commit"
            )
            moussa = Operator(cluster, "moussa")
            for text in ("drain target tally-1", "drain entry entry-1"):
                with pytest.raises(ZinniahookError) as caught:
                    await moussa.run(text)
                assert caught.value.code is Code.NOT_PERMITTED
            replies = await cluster.statuses()
            assert {reply.state for reply in replies} == {"ready", "serving"}

        run(scenario)

    def test_the_last_target_stays_unless_forced(self, run):
        async def scenario(cluster, amina):
            await amina.run("drain target tally-1; drain target tally-2")
            answer = await amina.run("drain target tally-3")
            assert answer.status is Status.REFUSED
            assert answer.data["code"] == Code.WOULD_EMPTY_SERVICE
            answer = await amina.run("drain data centre west")
            assert answer.status is Status.REFUSED
            answer = await amina.run("drain target tally-3 force")
            assert answer.status is Status.OK

        run(scenario)


class TestRestart:
    def test_everything_is_restarted_under_feeds_and_tickets(self, run):
        """A rolling upgrade loses tickets, cuts feeds or repeats their events.

        Each daemon drains, ends and is restarted by the platform. This fails
        if the next daemon drains before the previous one is back, or if an
        agent closes the connections of feeds when it ends.
        """

        async def scenario(cluster, amina):
            running = await start_load(cluster)
            before = {
                reply.name: reply.incarnation for reply in await cluster.statuses()
            }
            supervision = asyncio.create_task(supervise(cluster))
            try:
                answer = await amina.run("restart rolling")
            finally:
                supervision.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await supervision
            assert answer.status is Status.OK, answer.text
            assert answer.data["restarted"] == 5
            after = {reply.name: reply for reply in await cluster.statuses()}
            for name in cluster.agents_by_name:
                assert after[name].incarnation > before[name]
            # Every agent was restarted, so every feed had to move.
            reopened = FEEDS["callers"]
            assert await finish_and_check(cluster, running, reopened) == []

        run(scenario)
