import asyncio
import json
import random
import time

import pytest
from zinniahook_caller import Event
from zinniahook_testkit.callers import LATEST, FeedRecord
from zinniahook_testkit.loads import Load, Record


class SlowLoad(Load):
    """A load whose calls all wait for the same slow server."""

    async def run(self):
        lock = asyncio.Lock()
        loop = asyncio.get_running_loop()

        async def call(number, due):
            async with lock:
                if self.stopping.is_set():
                    return
                await asyncio.sleep(0.05)
            self.record(Record(str(number), "done", loop.time() - due))
            if number == 10:
                self.stopping.set()

        await self.arrivals(call)


class TestOpenLoop:
    def test_waits_behind_a_slow_answer_count(self):
        """A slow answer hides the wait of the calls behind it.

        A call is slow, and the calls due meanwhile start after it. If latency
        counts from the start of a call instead of its due time (coordinated
        omission), the load tool shows 50 ms while callers wait half a second.
        """

        async def check():
            plan = {"kind": "slow", "service": "none", "rate": 1000.0}
            load = SlowLoad(plan, "", random.Random(3))
            await load.run()
            assert len(load.records) >= 10
            seconds = [record.seconds for record in load.records]
            assert seconds == sorted(seconds)
            assert seconds[9] >= 0.05 * 9
            assert load.result()["quantiles"]["p100"] >= 0.45

        asyncio.run(check())


def event(number, service="tally", target="tally-1"):
    message = {"service": service, "target": target, "n": number}
    return Event(str(number), "message", json.dumps(message))


class TestFeedRecord:
    @pytest.mark.parametrize(
        "second",
        [event(9), event(7), event(6), event(8, service="ledger")],
        ids=["missing", "doubled", "out of order", "of another service"],
    )
    def test_a_fault_stays_on_record(self, second):
        record = FeedRecord("feed-1")
        record.take(event(7))
        assert not record.fault
        record.take(second)
        fault = record.fault
        record.take(event(int(second.id) + 1))
        assert fault and record.fault == fault

    def test_any_target_may_go_on(self):
        record = FeedRecord("feed-1")
        for number in range(5):
            record.take(event(number, target=f"tally-{number}"))
        assert (record.fault, record.lines) == ("", 5)

    def test_one_that_stands_still_is_noticed(self):
        record = FeedRecord("feed-1")
        every = 0.5
        now = int(time.time() / every)
        record.take(event(now - int(2 * LATEST / every)))
        assert record.stands_still(every)
        record = FeedRecord("feed-1")
        record.take(event(now))
        assert not record.stands_still(every)
