"""Callers, fabric, entries, agents, targets and store as real processes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from agent_deployments import TIMEOUT_SECONDS, Deployment, wait_until
from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import QuicEvent

LEDGER_BYTES = 32 * 1024 * 1024

EXPORT_BYTES_PER_SECOND = 1 << 20
"""Rate at which a target sends one export in the drain test."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    with deployment.stack:
        deployment.entries = [deployment.start_entry(number) for number in range(3)]
        yield deployment


class OrdinaryClient(QuicConnectionProtocol):
    """An HTTP/3 client built only on aioquic's client classes."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.http = H3Connection(self._quic)
        self.body = bytearray()
        self.ended = asyncio.Event()

    def quic_event_received(self, event: QuicEvent) -> None:
        for http_event in self.http.handle_event(event):
            if isinstance(http_event, DataReceived):
                self.body += http_event.data
            if http_event.stream_ended:
                self.ended.set()

    async def get(self, path: str) -> bytes:
        names = {":method": "GET", ":scheme": "https", ":authority": "localhost"}
        headers = [
            (k.encode(), v.encode()) for k, v in {**names, ":path": path}.items()
        ]
        stream_id = self._quic.get_next_available_stream_id()
        self.http.send_headers(stream_id, headers, end_stream=True)
        self.transmit()
        await self.ended.wait()
        return bytes(self.body)


class TestPath:
    def test_whole_answers_by_way_of_any_entry(self, deployment: Deployment):
        for number in range(3):
            deployment.add_member(f"tally-{number}")

        async def scenario() -> None:
            async with deployment.session() as session:
                answers = await asyncio.gather(
                    *(
                        session.post("/tickets", json={"ticket": f"t{number}"})
                        for number in range(60)
                    )
                )
                assert [answer.status for answer in answers] == [200] * 60
                names = [answer.json()["ticket"] for answer in answers]
                assert names == [f"t{number}" for number in range(60)]

        asyncio.run(scenario())
        runs = [member.ledger()["runs_by_ticket"] for member in deployment.members]
        assert sum(len(each) for each in runs) == 60
        assert all(count == 1 for each in runs for count in each.values())

    def test_an_ordinary_client(self, deployment: Deployment):
        for number in range(2):
            deployment.add_member(f"tally-{number}")
        host, _, port = deployment.addresses_by_service["tally"].rpartition(":")
        configuration = QuicConfiguration(
            alpn_protocols=["h3"],
            cafile=str(deployment.files.authority),
            server_name="localhost",
        )

        async def scenario() -> bytes:
            connecting = connect(
                host,
                int(port),
                configuration=configuration,
                create_protocol=OrdinaryClient,
            )
            async with asyncio.timeout(TIMEOUT_SECONDS), connecting as client:
                return await client.get("/ledger?size=300000")

        assert len(asyncio.run(scenario())) == 300_000

    def test_a_large_ledger_in_little_memory(self, deployment: Deployment):
        """The agent's memory must not grow with the size of an export.

        A caller reads one export of 32 MB. The target writes faster than the
        caller reads over QUIC, so an agent without backpressure buffers it
        all.
        """
        member = deployment.add_member("tally-0")
        before = member.agent.resident()

        async def scenario() -> str:
            digest = hashlib.sha256()
            async with (
                deployment.session() as session,
                session.stream(
                    "GET", f"/ledger?size={LEDGER_BYTES}", deadline=120
                ) as answer,
            ):
                async for chunk in answer.iter_content():
                    digest.update(chunk)
            assert answer.headers["x-digest"] == digest.hexdigest()

        asyncio.run(scenario())
        assert member.agent.resident() - before < LEDGER_BYTES // 3

    def test_a_cancelled_feed_ends_at_the_target(self, deployment: Deployment):
        member = deployment.add_member("tally-0")

        async def scenario() -> None:
            async with deployment.session() as session:
                async with session.stream("GET", "/tally/feed?every=0.01") as answer:
                    async for _ in answer.iter_lines():
                        break
                    assert member.ledger()["feeds"] == 1
                await wait_until(lambda: member.ledger()["feeds"] == 0)

        asyncio.run(scenario())


class TestDrain:
    def test_cuts_nothing(self, deployment: Deployment):
        """An agent drains while tickets, feeds and exports are in progress.

        Two agents have work, one of them gets SIGTERM, more tickets follow. If
        the agent ends too early, or refuses requests that it has accepted, a
        caller gets an incomplete answer or a ticket runs twice.
        """
        members = [
            deployment.add_member(
                f"tally-{number}", service_time=0.2, export_rate=EXPORT_BYTES_PER_SECOND
            )
            for number in range(2)
        ]

        async def scenario() -> None:
            async with deployment.session() as session:
                tickets = []

                async def file(number: int) -> None:
                    body = {"ticket": f"t{number}"}
                    answer = await session.post("/tickets", json=body, deadline=20)
                    tickets.append(answer.status)

                async def feed() -> int:
                    path = "/tally/feed?every=0.05&count=40"
                    async with session.stream("GET", path, deadline=20) as answer:
                        return len([line async for line in answer.iter_lines()])

                async def pull() -> bool:
                    digest = hashlib.sha256()
                    path = f"/ledger?size={3 * EXPORT_BYTES_PER_SECOND}"
                    async with session.stream("GET", path, deadline=20) as answer:
                        async for chunk in answer.iter_content():
                            digest.update(chunk)
                    return answer.headers["x-digest"] == digest.hexdigest()

                feeds = [asyncio.ensure_future(feed()) for _ in range(4)]
                ledgers = [asyncio.ensure_future(pull()) for _ in range(2)]
                await wait_until(lambda: deployment.total_count("started_feed") == 4)
                await wait_until(lambda: deployment.total_count("started_export") == 2)
                filed = [asyncio.ensure_future(file(number)) for number in range(20)]
                await wait_until(lambda: deployment.total_count("started_tickets") > 0)
                leaving = max(members, key=lambda each: each.ledger()["feeds"])
                leaving.agent.ask_to_stop()
                filed += [asyncio.ensure_future(file(20 + n)) for n in range(20)]
                await asyncio.gather(*filed)
                assert await asyncio.gather(*feeds) == [40] * 4
                assert await asyncio.gather(*ledgers) == [True] * 2
                assert tickets == [200] * 40
                status = await asyncio.to_thread(leaving.agent.wait, TIMEOUT_SECONDS)
                assert status == 0

        asyncio.run(scenario())
        assert deployment.total_count("finished_tickets") == 40
        for member in members:
            assert set(member.ledger()["runs_by_ticket"].values()) <= {1}


class TestPlainUdp:
    def test_a_flow_stays_at_its_target(self, deployment: Deployment):
        for number in range(2):
            deployment.add_member(f"pulse-{number}", "pulse")
        host, _, port = deployment.addresses_by_service["pulse"].rpartition(":")

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            answers: asyncio.Queue[bytes] = asyncio.Queue()

            class Client(asyncio.DatagramProtocol):
                def datagram_received(self, data: bytes, source: object) -> None:
                    answers.put_nowait(data)

            transport, _ = await loop.create_datagram_endpoint(
                Client, remote_addr=(host, int(port))
            )
            names, number = set(), 0
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while number < 50:
                    transport.sendto(b"beat")
                    with contextlib.suppress(TimeoutError):
                        answer = await asyncio.wait_for(answers.get(), 0.5)
                        service, name, count, payload = answer.split()
                        assert (service, payload) == (b"pulse", b"beat")
                        names.add(name)
                        number = int(count)
            transport.close()
            assert len(names) == 1

        asyncio.run(scenario())
