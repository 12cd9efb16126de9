"""Tests of slowdown detection, with exponentially distributed service times."""

import random

from heatheryoke.core.slowdown import SLOWDOWN_FACTOR, SlowdownTest

THRESHOLD = 3.0
SLOTS = 4
# How long a cold upstream sustains an overload (1 s), in usual service times (0.1 s).
SUSTAINED_OVERLOAD = 10.0


def simulate(factor, answers, seed):
    """Yield the time and the log-likelihood ratio after each answer, with all slots busy."""
    generator = random.Random(seed)
    test = SlowdownTest()
    now, started = 0.0, [0.0] * SLOTS
    ends = [generator.expovariate(1 / factor) for _ in range(SLOTS)]
    for _ in range(answers):
        first = ends.index(min(ends))
        now = ends[first]
        in_progress = [now - began for slot, began in enumerate(started) if slot != first]
        test.add(now - started[first], in_progress)
        started[first], ends[first] = now, now + generator.expovariate(1 / factor)
        yield now, test.log_likelihood_ratio(in_progress)


class TestSlowdownTest:
    def test_slowdown_is_detected_before_cold_upstream_fails(self):
        detected = [
            any(
                now <= SUSTAINED_OVERLOAD and value > THRESHOLD
                for now, value in simulate(SLOWDOWN_FACTOR, 40, seed)
            )
            for seed in range(100)
        ]
        assert sum(detected) >= 90

    def test_usual_times_rarely_exceed_threshold(self):
        raised = [
            value > THRESHOLD for seed in range(10) for _, value in simulate(1.0, 1_000, seed)
        ]
        assert sum(raised) / len(raised) < 0.05

    def test_time_spent_on_requests_in_progress_counts(self):
        test = SlowdownTest()
        for _ in range(20):
            test.add(1.0, [0.5] * (SLOTS - 1))
        assert test.log_likelihood_ratio([0.5] * SLOTS) < 1.0
        assert test.log_likelihood_ratio([2.5] * SLOTS) > THRESHOLD

    def test_one_hanging_request_is_not_evidence(self):
        test = SlowdownTest()
        test.add(1.0, [])
        assert test.log_likelihood_ratio([1_000.0]) < 2 * THRESHOLD
