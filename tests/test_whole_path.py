"""The whole path from callers to targets, with real processes."""

import asyncio
import hashlib
import json

import pytest
from aioquic.asyncio import QuicConnectionProtocol, connect
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from zinniahook_caller import (
    Backoff,
    NotRunError,
    Session,
    Silence,
    UnknownOutcomeError,
)
from zinniahook_core.codes import Code
from zinniahook_testkit.target import export_digest

MEGABYTE = 1 << 20


MAX_ATTEMPTS = 3


class LimitedBackoff(Backoff):
    """A backoff that waits beyond any deadline after `MAX_ATTEMPTS` refusals."""

    def wait(self, attempt, least, rng):
        """Return the seconds to wait after an attempt."""
        return super().wait(attempt, least, rng) if attempt < MAX_ATTEMPTS else 1e6


def session(cluster, service, **kwargs):
    address = cluster.addresses_by_service[service]
    return Session(address, ca=str(cluster.authority.file), **kwargs)


async def count_started_work(cluster, service):
    """Return how much work the targets of a service have started."""
    return sum(
        count
        for ledger in await cluster.ledgers()
        if ledger["service"] == service
        for name, count in ledger["counts"].items()
        if name.startswith("started_")
    )


async def count_runs(cluster, ticket):
    return sum(
        ledger["runs_by_ticket"].get(ticket, 0) for ledger in await cluster.ledgers()
    )


class PlainClient(QuicConnectionProtocol):
    """An HTTP/3 client without any code of zinniahook."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.http = H3Connection(self._quic)
        self.answers_by_stream = {}
        self.ended_by_stream = {}
        self.status_by_stream = {}

    def quic_event_received(self, event):
        for item in self.http.handle_event(event):
            if isinstance(item, HeadersReceived):
                status = dict(item.headers).get(b":status")
                self.status_by_stream.setdefault(item.stream_id, status)
            if isinstance(item, DataReceived):
                self.answers_by_stream[item.stream_id] += item.data
            if item.stream_ended:
                self.ended_by_stream[item.stream_id].set()

    async def request(self, method, path, body=b""):
        stream = self._quic.get_next_available_stream_id()
        self.answers_by_stream[stream] = b""
        self.ended_by_stream[stream] = asyncio.Event()
        headers = [
            (b":method", method),
            (b":scheme", b"https"),
            (b":authority", b"service"),
            (b":path", path),
        ]
        self.http.send_headers(stream, headers, end_stream=not body)
        if body:
            self.http.send_data(stream, body, end_stream=True)
        self.transmit()
        await self.ended_by_stream[stream].wait()
        return self.status_by_stream[stream], self.answers_by_stream[stream]


def plain_client(cluster, service, create=PlainClient):
    host, _, port = cluster.addresses_by_service[service].rpartition(":")
    configuration = QuicConfiguration(is_client=True, alpn_protocols=H3_ALPN)
    configuration.load_verify_locations(cafile=str(cluster.authority.file))
    return connect(host, int(port), configuration=configuration, create_protocol=create)


class TestRequests:
    def test_ticket_feed_and_ledger(self, deployed):
        async def check(cluster):
            async with session(cluster, "tally") as caller:
                answer = await caller.post("/tickets", json={"ticket": "first"})
                assert answer.json()["ticket"] == "first"
                assert answer.json()["service"] == "tally"
                path = "/tally/feed?every=0.01&count=5"
                async with caller.stream("GET", path) as feed:
                    lines = [json.loads(line) async for line in feed.iter_lines()]
                assert [line["n"] for line in lines] == [1, 2, 3, 4, 5]
            async with session(cluster, "ledger") as caller:
                answer = await caller.get(f"/ledger?size={MEGABYTE}")
                digest = hashlib.sha256(answer.content).hexdigest()
                assert digest == export_digest("ledger", MEGABYTE)
            assert await count_runs(cluster, "first") == 1

        deployed.run(check(deployed.cluster))

    def test_copies_of_one_ticket_run_once(self, deployed):
        """Copies of a ticket run twice, so a load is billed twice.

        A device sends a ticket, gets no answer, and sends it again with the
        same key over another connection while the first copy still runs. Two
        targets could each run the copy that reached them as a new ticket.
        """

        async def check(cluster):
            callers = [session(cluster, "tally") for _ in range(6)]
            copies = [
                caller.post("/tickets", json={"ticket": "copied"}, key="copied")
                for caller in callers
            ]
            answers = await asyncio.gather(*copies)
            assert {answer.content for answer in answers} == {answers[0].content}
            for caller in callers:
                await caller.close()
            assert await count_runs(cluster, "copied") == 1

        deployed.run(check(deployed.cluster))

    def test_shed_ticket_is_reported_as_not_run(self, deployed):
        """A ticket that was reported as not run is run after all.

        Every target sheds, and the caller gives up after a refusal, as the
        next backoff would exceed its deadline. (If the deadline passes during
        an attempt, the outcome is correctly reported as unknown.) If a copy
        still runs after the last refusal, a clerk who has entered the ticket
        on paper bills it twice.
        """

        async def check(cluster):
            tallies = [name for name in cluster.targets_by_name if "tally" in name]
            for name in tallies:
                await cluster.control_target(name, shed_share=1.0)
            async with session(cluster, "tally", backoff=LimitedBackoff()) as caller:
                with pytest.raises(NotRunError) as raised:
                    await caller.post("/tickets", json={"ticket": "shed"})
                assert raised.value.attempts == MAX_ATTEMPTS
            for name in tallies:
                await cluster.control_target(name, shed_share=0.0)
            assert await count_runs(cluster, "shed") == 0

        deployed.run(check(deployed.cluster))


class TestPlainClient:
    def test_ordinary_client_is_served(self, deployed):
        async def check(cluster):
            async with plain_client(cluster, "ledger") as client:
                status, body = await client.request(b"GET", b"/ledger?size=300000")
                assert status == b"200"
                digest = hashlib.sha256(body).hexdigest()
                assert digest == export_digest("ledger", 300_000)
            async with plain_client(cluster, "tally") as client:
                sent = json.dumps({"ticket": "plain"}).encode()
                status, body = await client.request(b"POST", b"/tickets", sent)
                assert status == b"200"
                assert json.loads(body)["ticket"] == "plain"
            assert await count_runs(cluster, "plain") == 1

        deployed.run(check(deployed.cluster))


class TestServices:
    def test_packet_of_another_service_is_dropped(self, deployed):
        """A packet of the tally service reaches a target of the ledger service.

        Datagrams of an established tally connection arrive at the ledger's
        address. This fails if the entry routes by connection id alone.
        """
        sent = []

        class Recording(PlainClient):
            def connection_made(self, transport):
                super().connection_made(transport)
                send = transport.sendto

                def record(data, address):
                    sent.append(data)
                    send(data, address)

                transport.sendto = record

        async def drops(cluster):
            replies = [
                await cluster.status(e) for e in cluster.entries_by_name.values()
            ]
            return sum(reply.drops_by_code[Code.SERVICE_MISMATCH] for reply in replies)

        async def check(cluster):
            ledger = cluster.addresses_by_service["ledger"].rpartition(":")
            work, before = (
                await count_started_work(cluster, "ledger"),
                await drops(cluster),
            )
            async with plain_client(cluster, "tally", Recording) as client:
                await client.request(b"GET", b"/tally/feed?every=0.01&count=3")
                short = [data for data in sent if not data[0] & 0x80]
                transport = client._transport
                for data in short:
                    transport.sendto(
                        data, ("::ffff:" + ledger[0], int(ledger[2]), 0, 0)
                    )

                async def dropped():
                    return await drops(cluster) >= before + len(short)

                await cluster.until(dropped, "all foreign datagrams dropped")
                status, _ = await client.request(b"GET", b"/tally/feed?count=1")
                assert status == b"200"
            assert await count_started_work(cluster, "ledger") == work

        deployed.run(check(deployed.cluster))


class TestDrain:
    def test_the_rest_of_an_answer_still_goes_out(self, fresh):
        """A planned stop cuts an export whose last bytes are still unsent.

        The target has written a whole ledger, and the agent still holds the
        rest because the path is slow; then the agent drains. This fails if a
        connection is considered idle as soon as its target has finished.
        """

        async def check(cluster):
            await cluster.control_fabric("faults", {"latency": 0.25})
            async with session(cluster, "ledger") as caller:
                path = "/ledger?size=200000"
                reading = asyncio.create_task(caller.get(path, deadline=12))

                async def target_done():
                    return any(
                        ledger["counts"].get("finished_export")
                        for ledger in await cluster.ledgers()
                    )

                await cluster.until(target_done, "the target has finished")
                # The agent with the caller's connection may not be the agent
                # of the target that serves it.
                for name in ("ledger-1", "ledger-2"):
                    cluster.drain_agent(name)
                answer = await reading
                assert (answer.attempts, caller.cuts) == (1, 0)
                digest = hashlib.sha256(answer.content).hexdigest()
                assert digest == export_digest("ledger", 200_000)

        fresh.run(check(fresh.cluster))

    def test_an_ordinary_clients_feed_is_not_cut(self, fresh):
        """A planned stop cuts the feed of a client that ignores GOAWAY.

        A feed of aioquic's plain client is open; every agent that could have
        its connection or its target drains. This fails if a draining agent
        closes open connections after a deadline that is shorter than a feed.
        """

        async def check(cluster):
            async with plain_client(cluster, "tally") as client:
                path = b"/tally/feed?every=0.02&count=200"
                reading = asyncio.create_task(client.request(b"GET", path))

                async def lines(least):
                    bodies = client.answers_by_stream.values()
                    return sum(body.count(b"\n") for body in bodies) >= least

                await cluster.until(lambda: lines(10), "the feed has begun")
                # The connection and the target may be at different agents.
                agents = [cluster.drain_agent(f"tally-{n}") for n in (1, 2, 3)]

                async def left():
                    return any(not agent.running for agent in agents)

                await cluster.until(left, "an agent without work has ended")
                status, body = await reading
                assert status == b"200"
                numbers = [json.loads(line)["n"] for line in body.splitlines()]
                assert numbers == list(range(1, 201))

        fresh.run(check(fresh.cluster))


class TestSilence:
    def test_feed_goes_on_from_a_new_port(self, deployed):
        """An open feed goes silent for good, while new feeds work.

        The path stops forwarding one caller's port in both directions. The
        feed stops without an error if the caller doesn't detect the silence,
        or if the flow's owner is found by the caller's address.
        """

        async def check(cluster):
            async with (
                session(cluster, "tally") as caller,
                caller.stream("GET", "/tally/feed?every=0.05") as feed,
            ):
                lines = feed.iter_lines()
                numbers = [json.loads(await anext(lines))["n"] for _ in range(3)]
                port = caller.adapter.connection.local_port
                body = {"caller": f"127.0.0.1:{port}"}
                answer = await cluster.control_fabric("silence", body)
                assert answer["silenced"] == [body["caller"]]
                while caller.adapter.moves == 0:
                    numbers.append(json.loads(await anext(lines))["n"])
                for _ in range(20):
                    numbers.append(json.loads(await anext(lines))["n"])
                assert numbers == list(range(1, len(numbers) + 1))
                assert caller.adapter.opened == 1

        deployed.run(check(deployed.cluster))


class TestCrashes:
    def test_a_feed_goes_on_after_its_agent_was_killed(self, fresh):
        """A feed misses or repeats an event after a crash.

        The agent of an open feed is killed; its connection goes silent, and
        the caller reopens the feed at another target. This fails if the new
        answer begins with the current event instead of the next one.
        """

        async def check(cluster):
            short_silence = Silence(probe=0.25, move=0.5, give_up=1.0)
            async with (
                session(cluster, "tally", silence=short_silence) as caller,
                caller.events("/tally/feed?every=0.05") as feed,
            ):
                events = aiter(feed)
                seen = [await anext(events) for _ in range(3)]
                former = json.loads(seen[0].data)["target"]
                await asyncio.to_thread(cluster.agents_by_name.pop(former).kill)
                while json.loads(seen[-1].data)["target"] == former:
                    seen.append(await anext(events))
                seen += [await anext(events) for _ in range(20)]
                numbers = [int(event.id) for event in seen]
                assert numbers == list(range(numbers[0], numbers[0] + len(seen)))
                assert feed.cuts >= 1

        fresh.run(check(fresh.cluster))

    def test_killed_agent_never_doubles_a_ticket(self, fresh):
        """A crash between start and answer repeats or loses a ticket.

        The agent that runs a ticket is killed; the caller retries with the
        same key at another agent. If the other agents don't know of the claim,
        they run the ticket again or report it as not run though it ran.
        """

        async def file(caller, ticket):
            body = {"ticket": ticket}
            try:
                await caller.post("/tickets", json=body, key=ticket, deadline=15)
            except NotRunError:
                return ticket, "not run"
            except UnknownOutcomeError:
                return ticket, "unknown"
            return ticket, "done"

        async def check(cluster):
            for name in cluster.targets_by_name:
                await cluster.control_target(name, service_time=1.5)
            short_backoff = Backoff(0.02, 0.2)
            callers = [
                session(cluster, "tally", backoff=short_backoff) for _ in range(8)
            ]
            filing = [
                asyncio.create_task(file(caller, f"crash-{number}-{copy}"))
                for number, caller in enumerate(callers)
                for copy in range(2)
            ]

            async def busy():
                ledger = await cluster.ledger("tally-1")
                return ledger["counts"].get("started_tickets", 0) >= 2

            await cluster.until(busy, "tickets in progress")
            await asyncio.to_thread(cluster.agents_by_name.pop("tally-1").kill)
            outcomes = await asyncio.gather(*filing)
            for ticket, outcome in outcomes:
                runs = await count_runs(cluster, ticket)
                assert runs <= 1, (ticket, outcome)
                assert runs == 1 or outcome != "done", ticket
                assert runs == 0 or outcome != "not run", ticket
            for caller in callers:
                await caller.close()

        fresh.run(check(fresh.cluster))
