"""Plain UDP flows between callers and a target."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from zinniahook_core.models import Address
from zinniahook_daemon.udpflows import UdpFlows

TIMEOUT_SECONDS = 10.0
ENTRY = Address("127.0.1.1", 7000)
OTHER_ENTRY = Address("127.0.1.2", 7000)
CALLER = Address("127.0.0.9", 5000)
FLOW = b"flow"


class Bench:
    """Flows to a socket from which the test answers."""

    def __init__(self) -> None:
        self.target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.target.bind(("127.0.0.1", 0))
        self.target.setblocking(False)
        self.answers: asyncio.Queue = asyncio.Queue()
        address = Address(*self.target.getsockname())
        self.flows = UdpFlows(address, lambda *answer: self.answers.put_nowait(answer))

    async def taken(self) -> tuple[bytes, tuple]:
        loop = asyncio.get_running_loop()
        taking = loop.sock_recvfrom(self.target, 2048)
        return await asyncio.wait_for(taking, TIMEOUT_SECONDS)

    async def answer(self) -> tuple:
        return await asyncio.wait_for(self.answers.get(), TIMEOUT_SECONDS)


def run(scenario: Callable[[Bench], Awaitable[None]]) -> None:
    async def main() -> None:
        bench = Bench()
        await scenario(bench)
        bench.flows.close()
        bench.target.close()

    asyncio.run(main())


class TestFlows:
    def test_answers_go_out_by_the_newest_entry(self):
        async def scenario(bench: Bench) -> None:
            assert bench.flows.deliver(FLOW, CALLER, ENTRY, b"one")
            assert bench.flows.deliver(FLOW, CALLER, OTHER_ENTRY, b"two")
            payload, source = await bench.taken()
            assert (payload, (await bench.taken())[0]) == (b"one", b"two")
            bench.target.sendto(b"answer", source)
            assert await bench.answer() == (FLOW, CALLER, OTHER_ENTRY, b"answer")
            assert len(bench.flows) == 1

        run(scenario)

    def test_only_the_target_may_answer(self):
        async def scenario(bench: Bench) -> None:
            bench.flows.deliver(FLOW, CALLER, ENTRY, b"one")
            _, source = await bench.taken()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"forged", source)
            bench.target.sendto(b"answer", source)
            assert (await bench.answer())[3] == b"answer"
            assert bench.answers.empty()

        run(scenario)

    def test_each_flow_has_its_own_source(self):
        async def scenario(bench: Bench) -> None:
            bench.flows.deliver(b"a", CALLER, ENTRY, b"one")
            bench.flows.deliver(b"b", CALLER, ENTRY, b"two")
            sources = {(await bench.taken())[1] for _ in range(2)}
            assert len(sources) == 2
            bench.flows.end(b"a")
            assert len(bench.flows) == 1
            bench.flows.end(b"a")

        run(scenario)


class TestTargetThatIsDown:
    def test_is_noticed(self):
        """Guards against flows that are opened at an agent without a working target.

        A plain UDP target has no health endpoint. Its port closes, and a caller
        sends twice. UDP reports a closed port only on a connected socket.
        """

        async def scenario(bench: Bench) -> None:
            assert not bench.flows.refused
            bench.target.close()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while not bench.flows.refused:
                    bench.flows.deliver(FLOW, CALLER, ENTRY, b"beat")
                    await asyncio.sleep(0)

        run(scenario)
