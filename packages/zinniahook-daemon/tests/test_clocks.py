"""The clock of a daemon includes time that its machine is suspended."""

import time

from zinniahook_daemon import clocks


class TestLoop:
    def test_suspended_time_is_counted(self, monkeypatch):
        """Guards against an agent that continues after its peers have taken over.

        Its machine is suspended and resumed. The monotonic clock stops meanwhile,
        the time since boot doesn't.
        """
        slept = 0.0
        read = time.clock_gettime

        def clock_gettime(clock):
            return read(clock) + (slept if clock == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", clock_gettime)
        loop = clocks.BoottimeEventLoop()
        try:
            fired = []
            loop.call_later(60.0, fired.append, "timer")
            before = loop.time()
            slept = 90.0
            assert loop.time() - before >= 90.0
            loop.call_later(0.0, loop.stop)
            loop.run_forever()
            assert fired == ["timer"]
        finally:
            loop.close()
