"""Limit on the openings that a cold target gets in a second."""

import random

from zinniahook_core.packets.pacing import WINDOW_SECONDS, ColdLimit, Pacer

LIMIT = ColdLimit(1.5, 5)
RATE = 4.0
MOST = 11


def most_in_a_second(moments):
    return max(sum(0 <= t - first <= 1.0 for t in moments) for first in moments)


class TestPace:
    def test_any_second_holds_what_is_allowed(self):
        rng, pace, offered, now = random.Random(3), Pacer(LIMIT), [], 0.0
        for _ in range(3000):
            now += rng.expovariate(60.0)
            if pace.allows(now, RATE):
                pace.offered(now)
                offered.append(now)
        assert most_in_a_second(offered) == MOST
        assert len(offered) > 0.8 * MOST * now / WINDOW_SECONDS

    def test_a_service_without_a_rate_has_no_limit(self):
        pace = Pacer(LIMIT)
        for number in range(100):
            pace.offered(number / 1000)
        assert pace.allows(0.2, 0.0)

    def test_without_a_configured_limit_there_is_none(self):
        pace = Pacer()
        for number in range(100):
            pace.offered(number / 1000)
        assert pace.allows(0.2, RATE)

    def test_a_new_process_waits_for_one_window(self):
        """A cold target must not get twice what it can serve.

        Its agent passes what a second allows, is killed and starts again. The new
        process must not count from zero immediately.
        """
        pace = Pacer(LIMIT)
        pace.start(10.0)
        assert not pace.allows(10.0 + WINDOW_SECONDS / 2, RATE)
        assert pace.allows(10.0 + WINDOW_SECONDS, RATE)
