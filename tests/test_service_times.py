"""Tests of the service time estimate."""

from heatheryoke.core.service_times import ServiceTimes


class TestServiceTimes:
    def test_estimate_before_first_answer_is_derived_from_the_target(self):
        assert ServiceTimes().expected(0.1) == 0.02

    def test_first_answer_replaces_the_estimate(self):
        times = ServiceTimes()
        times.add(0.025)
        assert times.expected(10.0) == 0.025

    def test_follows_a_slowdown_within_twenty_answers(self):
        times = ServiceTimes()
        for _ in range(100):
            times.add(0.02)
        for _ in range(20):
            times.add(0.06)
        assert times.mean_s > 0.05
