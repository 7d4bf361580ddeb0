import asyncio
import random

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
        """Slow answers hide the wait of the calls behind them.

        Symptom: the load tool shows 50 ms while callers wait half a second.
        Sequence: a call is slow; those due meanwhile start after it.
        Cause: time was taken from the start of a call, not from when it was
        due (coordinated omission).
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
