"""Tests of the queue of new flows: reconnection of all callers, order, and replacement."""

from itertools import count

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.opening_queue import LONGEST_WAIT_S, OpeningQueue, Waiting

SLOTS = 2
SERVICE_S = 0.05
AIM_S = 0.218


def flow(number):
    return number.to_bytes(4, "big")


def add(queue, number, entry, now=0.0):
    return queue.add(flow(number), entry, now, SERVICE_S, SLOTS)


class TestReconnection:
    """After an outage 100 callers open a flow within 0.2 s; the upstream starts 40 per second."""

    def replay(self, arrivals):
        queue, refused, started, free_at = OpeningQueue(), 0, [], 0.0
        numbers = count()
        events = sorted(arrivals)
        now = 0.0
        while events or queue:
            now = max(free_at, now if queue else events[0])
            while events and events[0] <= now:
                arrived = events.pop(0)
                if not queue.can_add(arrived, SERVICE_S, SLOTS) or add(
                    queue, next(numbers), Waiting("", arrived, 2, AIM_S), arrived
                ):
                    refused += 1
            queue.expired(now)
            entry = queue.take(now, SERVICE_S)
            if entry is not None:
                started.append((now, now + SERVICE_S - entry.began))
                free_at = now + SERVICE_S / SLOTS
        return started, refused

    def test_upstream_is_never_idle_and_excess_flows_are_refused_on_arrival(self):
        started, refused = self.replay([index * 0.002 for index in range(100)])
        assert refused > 0
        assert len(started) >= LONGEST_WAIT_S * SLOTS / SERVICE_S
        assert started[-1][0] <= 0.2 + LONGEST_WAIT_S

    def test_new_flows_are_served_in_time_before_late_ones(self):
        early = [0.0] * 30
        later = [0.3 + index * 0.05 for index in range(10)]
        started, _ = self.replay(early + later)
        in_time = [took for now, took in started if now > 0.3 and took <= AIM_S]
        assert len(in_time) >= 8


class TestOrder:
    def test_urgent_flows_go_first(self):
        queue = OpeningQueue()
        add(queue, 1, Waiting("feed", 0.0, 2, AIM_S))
        add(queue, 2, Waiting("hold", 0.0, 1, AIM_S))
        assert queue.take(0.01, SERVICE_S).packet == "hold"

    def test_flows_in_time_precede_late_ones(self):
        queue = OpeningQueue()
        add(queue, 1, Waiting("late", 0.0, 1, AIM_S))
        add(queue, 2, Waiting("in time", 0.3, 2, AIM_S))
        assert queue.take(0.3, SERVICE_S).packet == "in time"

    def test_a_copy_is_not_queued_twice(self):
        queue = OpeningQueue()
        add(queue, 1, Waiting("first", 0.0, 1, AIM_S))
        add(queue, 1, Waiting("copy", 0.2, 1, AIM_S))
        assert len(queue) == 1 and queue.take(0.2, SERVICE_S).packet == "first"

    def test_new_flow_replaces_late_one_in_full_queue(self):
        queue = OpeningQueue()
        for number in range(100):
            add(queue, number, Waiting(f"crowd {number}", 0.0, 2, AIM_S))
        waiting = len(queue)
        assert not queue.can_add(0.0, SERVICE_S, SLOTS)
        assert queue.can_add(0.5, SERVICE_S, SLOTS)
        replaced = add(queue, 200, Waiting("new", 0.5, 2, AIM_S), 0.5)
        assert replaced.packet.startswith("crowd") and len(queue) == waiting

    @given(st.lists(st.tuples(st.floats(0, 2), st.integers(0, 3), st.floats(0.05, 1)), max_size=80))
    def test_no_flow_is_lost_or_taken_twice(self, arrivals):
        queue, removed = OpeningQueue(), []
        for number, (arrived, priority, target_latency_s) in enumerate(arrivals):
            replaced = add(queue, number, Waiting(number, arrived, priority, target_latency_s))
            removed += [replaced.packet] if replaced else []
        removed += [entry.packet for entry in queue.expired(2.0)]
        while (entry := queue.take(2.0, SERVICE_S)) is not None:
            removed.append(entry.packet)
        assert sorted(removed) == list(range(len(arrivals)))
