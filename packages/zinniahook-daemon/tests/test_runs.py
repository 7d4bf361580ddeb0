"""The execution of the core's effects on requests."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest
from zinniahook_core import effects
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.events import RequestArrived, RequestCancelled, RequestFinished
from zinniahook_core.models import Address, RequestClass, Roster, Service
from zinniahook_daemon.exchanges import Answer, Exchange, Head, encode_answer
from zinniahook_daemon.runs import Runs
from zinniahook_daemon.targets import DONE, FAILED

NOWHERE = Address("127.0.0.1", 1)
TIMEOUT_SECONDS = 10.0


class Caller(Exchange):
    """A caller's exchange that records what is sent to it."""

    def __init__(self, method: str = "POST", key: bytes = b"k") -> None:
        head = Head(method, "/tickets/1", ((b"idempotency-key", key),))
        super().__init__(head, "ticket", asyncio.get_running_loop().time())
        self.sent = b""
        self.ends: list[str] = []
        self.body.feed(b"", end=True)

    def send_head(self, status, headers) -> None:
        self.sent += b"%d " % status

    def send_piece(self, data: bytes) -> None:
        self.sent += data

    def send_end(self) -> None:
        self.ends.append("end")

    def send_reset(self) -> None:
        self.ends.append("reset")

    def body_taken(self, size: int) -> None:
        pass


class FakeTarget:
    """A target whose requests run until the test supplies a result."""

    def __init__(self) -> None:
        self.started: asyncio.Queue[Exchange] = asyncio.Queue()
        self.results: asyncio.Queue = asyncio.Queue()

    async def run(self, exchange: Exchange):
        exchange.started = True
        self.started.put_nowait(exchange)
        result = await self.results.get()
        if isinstance(result, Exception):
            raise result
        if result is DONE:
            exchange.begin(201, ((b"a", b"b"),))
            exchange.write(b"filed")
            exchange.finish()
        return result


class Bench:
    """Runs with a core that only records its events."""

    def __init__(self) -> None:
        self.events: asyncio.Queue = asyncio.Queue()
        self.counts: Counter[str] = Counter()
        self.lines: list[tuple[str, dict]] = []
        node = SimpleNamespace(
            settings=SimpleNamespace(
                agent=SimpleNamespace(target=NOWHERE, service="tally")
            ),
            certificates=SimpleNamespace(client=None),
            now=asyncio.get_running_loop().time,
            count=lambda name, amount=1, **tags: self.counts.update({name: amount}),
            histogram=lambda service, kind: SimpleNamespace(record=lambda _: None),
            log=lambda event, **fields: self.lines.append((event, fields)),
        )
        classes = {"ticket": RequestClass("ticket", "/tickets")}
        agent = SimpleNamespace(
            node=node,
            name="tally-0",
            feed=self.events.put_nowait,
            core=SimpleNamespace(roster=Roster("tally", 1, {})),
            service=Service("tally", 1, NOWHERE, classes_by_name=classes),
        )
        self.agent = agent
        self.work = FakeTarget()
        self.runs = Runs(agent)
        self.runs.target = self.work

    async def event(self) -> object:
        return await asyncio.wait_for(self.events.get(), TIMEOUT_SECONDS)

    async def arrive(self, caller: Caller) -> Caller:
        self.runs.arrived(caller)
        assert isinstance(await self.event(), RequestArrived)
        return caller

    async def running(self) -> Caller:
        caller = await self.arrive(Caller())
        self.runs.execute(effects.Run(caller.number))
        await asyncio.wait_for(self.work.started.get(), TIMEOUT_SECONDS)
        return caller


def run(scenario) -> None:
    async def main() -> None:
        bench = Bench()
        await scenario(bench)
        assert len(bench.runs) == 0, "a request was not forgotten"

    asyncio.run(main())


class TestRun:
    def test_whole(self):
        async def scenario(bench: Bench) -> None:
            caller = await bench.running()
            bench.work.results.put_nowait(DONE)
            event = await bench.event()
            answer = encode_answer(Answer(201, ((b"a", b"b"),), b"filed"))
            assert event == RequestFinished(caller.number, *DONE, answer)
            assert (caller.sent, caller.ends) == (b"201 filed", ["end"])

        run(scenario)

    def test_a_fault_is_an_end(self):
        async def scenario(bench: Bench) -> None:
            caller = await bench.running()
            bench.work.results.put_nowait(ValueError("broken"))
            assert await bench.event() == RequestFinished(caller.number, *FAILED)
            assert bench.counts["agent.faults"] == 1

        run(scenario)

    def test_of_a_request_that_is_gone(self):
        """Guards against a slot that never becomes free.

        A caller leaves while its request waits, and the core's next decision runs
        it. The core must still receive an event that the request has finished.
        """

        async def scenario(bench: Bench) -> None:
            bench.runs.execute(effects.Run(4711))
            event = await bench.event()
            assert event.request == 4711
            assert not event.started

        run(scenario)

    def test_again_after_half_an_answer(self):
        async def scenario(bench: Bench) -> None:
            caller = await bench.arrive(Caller("GET"))
            caller.begin(200, ())
            bench.runs.execute(effects.Run(caller.number))
            event = await bench.event()
            assert event.outcome.code is Code.ANSWER_LOST
            outcome = Outcome(OutcomeKind.UNKNOWN, Code.ANSWER_LOST)
            bench.runs.execute(effects.FinishRequest(caller.number, outcome))
            assert caller.ends == ["reset"]
            [(event, fields)] = bench.lines
            assert (event, fields["code"]) == ("answer-cut", "ANSWER_LOST")

        run(scenario)

    def test_relay_to_a_peer_that_left(self):
        async def scenario(bench: Bench) -> None:
            caller = await bench.arrive(Caller())
            bench.runs.execute(effects.Relay(caller.number, "tally-9"))
            event = await bench.event()
            assert event.outcome.code is Code.NO_AGENT
            assert not event.started
            bench.runs.execute(effects.FinishRequest(caller.number, event.outcome))
            assert caller.sent.startswith(b"503 ")

        run(scenario)


class TestCancel:
    @pytest.mark.parametrize("early", [True, False])
    def test_reaches_the_run(self, early):
        """Guards against a request that is held for good.

        A caller cancels, perhaps in the same iteration of the event loop in which
        its request starts. A task that is cancelled before its first step runs none
        of its own code.
        """

        async def scenario(bench: Bench) -> None:
            if early:
                caller = await bench.arrive(Caller())
                bench.runs.execute(effects.Run(caller.number))
            else:
                caller = await bench.running()
            caller.finished = True
            bench.runs.cancelled(caller)
            assert bench.events.get_nowait() == RequestCancelled(caller.number)
            bench.runs.execute(effects.CancelRequest(caller.number))
            event = await bench.event()
            before, after = OutcomeKind.CANCELLED_BEFORE, OutcomeKind.CANCELLED_AFTER
            assert event.outcome.kind is (before if early else after)
            assert event.started is not early

        run(scenario)

    @pytest.mark.parametrize("is_cancelled", [True, False])
    def test_of_a_begun_answer_is_logged_unless_its_caller_left(self, is_cancelled):
        """Guards against unexplained cut answers, and a log line per leaving caller."""

        async def scenario(bench: Bench) -> None:
            caller = await bench.running()
            caller.begin(200, ())
            if is_cancelled:
                bench.runs.cancelled(caller)
                assert await bench.event() == RequestCancelled(caller.number)
            bench.runs.execute(effects.CancelRequest(caller.number))
            await bench.event()
            logged = [(event, fields["code"]) for event, fields in bench.lines]
            assert logged == (
                [] if is_cancelled else [("answer-cut", "CANCELLED_AFTER")]
            )

        run(scenario)

    def test_one_that_waits(self):
        async def scenario(bench: Bench) -> None:
            caller = await bench.arrive(Caller())
            bench.runs.cancelled(caller)
            assert await bench.event() == RequestCancelled(caller.number)

        run(scenario)


class TestSecondCopy:
    def test_gets_the_whole_answer(self):
        async def scenario(bench: Bench) -> None:
            first = await bench.running()
            second = await bench.arrive(Caller())
            bench.runs.execute(effects.JoinRequest(second.number, first.number))
            bench.work.results.put_nowait(DONE)
            await bench.event()
            assert (second.sent, second.ends) == (b"201 filed", ["end"])

        run(scenario)

    def test_gets_it_though_the_first_caller_is_gone(self):
        async def scenario(bench: Bench) -> None:
            first = await bench.running()
            first.finished = True
            bench.runs.cancelled(first)
            await bench.event()
            second = await bench.arrive(Caller())
            bench.runs.execute(effects.JoinRequest(second.number, first.number))
            bench.work.results.put_nowait(DONE)
            await bench.event()
            assert first.sent == b""
            assert second.sent == b"201 filed"

        run(scenario)

    def test_of_an_answer_too_large_to_keep(self):
        async def scenario(bench: Bench) -> None:
            first = await bench.running()
            first._kept = None
            second = await bench.arrive(Caller())
            bench.runs.execute(effects.JoinRequest(second.number, first.number))
            bench.work.results.put_nowait(DONE)
            await bench.event()
            assert second.sent.startswith(b"502 ")

        run(scenario)

    def test_of_a_finished_one(self):
        async def scenario(bench: Bench) -> None:
            caller = await bench.arrive(Caller())
            answer = encode_answer(Answer(200, (), b"kept"))
            bench.runs.execute(effects.Replay(caller.number, answer))
            assert (caller.sent, caller.ends) == (b"200 kept", ["end"])

        run(scenario)


class TestForgetAll:
    def test_later_ends_cause_no_event(self):
        """Guards against events of requests of a former incarnation.

        A request runs, the agent fences itself, and then the target answers. Work
        under a claim continues at the target.
        """

        async def scenario(bench: Bench) -> None:
            caller = await bench.running()
            assert bench.runs.forget_all() == [caller]
            bench.work.results.put_nowait(DONE)
            following = await bench.running()
            bench.work.results.put_nowait(DONE)
            event = await bench.event()
            assert event.request == following.number

        run(scenario)


class TestClassify:
    def test_by_the_service_in_force(self):
        async def scenario(bench: Bench) -> None:
            assert bench.runs.classify("/tickets/7") == "ticket"
            bench.agent.service = Service("tally", 1, NOWHERE)
            assert bench.runs.classify("/tickets/7") == ""

        run(scenario)
