"""Agents that are paused or killed, and entries that stop answering."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest
from agent_deployments import Deployment, wait_until
from zinniahook_caller import NotRunError, OutcomeError, Session
from zinniahook_core.models import AgentState


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    with deployment.stack:
        deployment.entries = [deployment.start_entry(number) for number in range(3)]
        yield deployment


class TicketLoad:
    """Callers that file tickets until stopped and record the reported outcomes."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.outcomes_by_ticket: dict[str, str] = {}
        self.stopping = asyncio.Event()

    async def file(self, session: Session, name: int) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            ticket = f"t{name}-{number}"
            try:
                answer = await session.post(
                    "/tickets", json={"ticket": ticket}, deadline=10
                )
                self.outcomes_by_ticket[ticket] = (
                    "done" if answer.status == 200 else "failed"
                )
            except NotRunError:
                self.outcomes_by_ticket[ticket] = "not run"
            except OutcomeError:
                self.outcomes_by_ticket[ticket] = "unknown"

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """File tickets before, during and after a scenario."""
        async with contextlib.AsyncExitStack() as stack:
            sessions = [
                await stack.enter_async_context(self.deployment.session())
                for _ in range(6)
            ]
            filing = [
                asyncio.ensure_future(self.file(session, name))
                for name, session in enumerate(sessions)
            ]
            await wait_until(lambda: len(self.outcomes_by_ticket) > 20)
            await scenario()
            seen = len(self.outcomes_by_ticket)
            await wait_until(lambda: len(self.outcomes_by_ticket) > seen + 20)
            self.stopping.set()
            await asyncio.gather(*filing)

    def check(self) -> None:
        """Compare the reported outcomes with the targets' own records."""
        runs: Counter[str] = Counter()
        for member in self.deployment.members:
            runs.update(member.ledger()["runs_by_ticket"])
        outcomes = self.outcomes_by_ticket.items()
        assert max(runs.values()) == 1
        assert not [t for t, outcome in outcomes if outcome == "done" and not runs[t]]
        assert not [t for t, outcome in outcomes if outcome == "not run" and runs[t]]


class TestFailure:
    def test_a_paused_agent_runs_nothing_twice(self, deployment: Deployment):
        """A paused agent resumes with requests that its peers have taken over.

        Callers file tickets; the agent is stopped with SIGSTOP, its peer marks
        it down and takes its place, then SIGCONT resumes it. If it goes on
        without its lease, a ticket runs twice, or runs after its caller got
        "not run".
        """
        members = [
            deployment.add_member(f"tally-{number}", service_time=0.1)
            for number in range(2)
        ]
        paused = members[0].agent

        async def scenario() -> None:
            _, incarnation = await asyncio.to_thread(
                deployment.stored_member, "tally-0"
            )
            paused.pause()
            await wait_until(
                lambda: deployment.stored_member("tally-0")[0] is AgentState.DOWN
            )
            paused.resume()
            await wait_until(
                lambda: deployment.stored_member("tally-0")[0] is AgentState.READY
            )
            _, later = await asyncio.to_thread(deployment.stored_member, "tally-0")
            assert later > incarnation

        async def main() -> None:
            load = TicketLoad(deployment)
            await load.run(scenario)
            load.check()

        asyncio.run(main())

    def test_a_killed_agent_and_its_successor(self, deployment: Deployment):
        """An agent is killed while it runs tickets, and a new one replaces it.

        Callers file tickets; the agent gets SIGKILL, and a new agent starts at
        once for the same target. No process knows for certain which tickets
        the killed agent had claimed or run, so a ticket could run twice, or be
        reported as "not run" though it ran.
        """
        members = [
            deployment.add_member(f"tally-{number}", service_time=0.1)
            for number in range(3)
        ]

        async def scenario() -> None:
            members[0].agent.kill()
            members[0].agent = await asyncio.to_thread(
                deployment.start_agent, "tally-0", members[0].target
            )
            await wait_until(
                lambda: deployment.stored_member("tally-0")[0] is AgentState.READY
            )

        async def main() -> None:
            load = TicketLoad(deployment)
            await load.run(scenario)
            load.check()

        asyncio.run(main())


class TestSilence:
    def test_answers_leave_an_entry_that_loses_them(self, deployment: Deployment):
        """An entry accepts datagrams but sends none, and the fabric keeps using it.

        Feeds are open, and one of three entries is stopped with SIGSTOP. An
        agent answers through the entry that it last received from, and gets
        no error if that entry no longer sends. Feeds then stop for good,
        although the callers' packets still arrive.
        """
        member = deployment.add_member("tally-0")
        path = "/tally/feed?every=0.1&count=60"

        async def feed(session: Session, begun: asyncio.Event) -> list[int]:
            numbers = []
            async with session.stream("GET", path, deadline=20) as answer:
                async for line in answer.iter_lines():
                    numbers.append(json.loads(line)["n"])
                    begun.set()
            return numbers

        async def scenario() -> None:
            async with contextlib.AsyncExitStack() as stack:
                feeds = []
                for _ in range(8):
                    session = await stack.enter_async_context(deployment.session())
                    begun = asyncio.Event()
                    feeds.append(asyncio.ensure_future(feed(session, begun)))
                    await begun.wait()
                deployment.entries[0].pause()
                numbers = await asyncio.gather(*feeds)
                assert numbers == [list(range(1, 61))] * 8
            assert member.ledger()["counts"]["finished_feed"] == 8

        asyncio.run(scenario())
