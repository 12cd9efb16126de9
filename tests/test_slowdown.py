"""Tests of slowdown detection, with exponentially distributed service times."""

import random

from heatheryoke.core.slowdown import FACTOR, SlowdownTest

SUSPICIOUS = 3.0
SLOTS = 4
# How long a cold upstream sustains an overload (1 s), in usual service times (0.1 s).
BEARS = 10.0


def play(factor, answers, seed):
    """Yield the time and the evidence after each answer of an upstream with all slots busy."""
    chance = random.Random(seed)
    found = SlowdownTest()
    now, started = 0.0, [0.0] * SLOTS
    ends = [chance.expovariate(1 / factor) for _ in range(SLOTS)]
    for _ in range(answers):
        first = ends.index(min(ends))
        now = ends[first]
        others = [now - began for slot, began in enumerate(started) if slot != first]
        found.add(now - started[first], others)
        started[first], ends[first] = now, now + chance.expovariate(1 / factor)
        yield now, found.evidence(others)


class TestSlowdownTest:
    def test_a_slowdown_is_mostly_found_before_a_cold_upstream_falls_over(self):
        found = [
            any(now <= BEARS and value > SUSPICIOUS for now, value in play(FACTOR, 40, seed))
            for seed in range(100)
        ]
        assert sum(found) >= 90

    def test_usual_times_rarely_raise_suspicion(self):
        raised = [value > SUSPICIOUS for seed in range(10) for _, value in play(1.0, 1_000, seed)]
        assert sum(raised) / len(raised) < 0.05

    def test_time_spent_on_requests_in_progress_counts(self):
        found = SlowdownTest()
        for _ in range(20):
            found.add(1.0, [0.5] * (SLOTS - 1))
        assert found.evidence([0.5] * SLOTS) < 1.0
        assert found.evidence([2.5] * SLOTS) > SUSPICIOUS

    def test_one_request_that_hangs_proves_nothing(self):
        found = SlowdownTest()
        found.add(1.0, [])
        assert found.evidence([1_000.0]) < 2 * SUSPICIOUS
