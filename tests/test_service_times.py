"""Tests of the service time estimate."""

from heatheryoke.core.service_times import ServiceTimes


class TestServiceTimes:
    def test_before_the_first_answer_the_aim_tells(self):
        assert ServiceTimes().expected(0.1) == 0.02

    def test_the_first_answer_counts_whole(self):
        times = ServiceTimes()
        times.add(0.025)
        assert times.expected(10.0) == 0.025

    def test_it_follows_a_slowdown_within_twenty_answers(self):
        times = ServiceTimes()
        for _ in range(100):
            times.add(0.02)
        for _ in range(20):
            times.add(0.06)
        assert times.mean_s > 0.05
