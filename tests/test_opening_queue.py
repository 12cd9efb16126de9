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


def add(queue, number, row, now=0.0):
    return queue.add(flow(number), row, now, SERVICE_S, SLOTS)


class TestEveryoneComesBackAtOnce:
    """After an outage 100 callers open a flow within 0.2 s; the upstream begins 40 a second."""

    def replay(self, arrivals):
        queue, refused, begun, free_at = OpeningQueue(), 0, [], 0.0
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
            row = queue.take(now, SERVICE_S)
            if row is not None:
                begun.append((now, now + SERVICE_S - row.began))
                free_at = now + SERVICE_S / SLOTS
        return begun, refused

    def test_the_upstream_is_never_idle_and_who_cannot_be_served_is_told_on_arrival(self):
        begun, refused = self.replay([index * 0.002 for index in range(100)])
        assert refused > 0
        assert len(begun) >= LONGEST_WAIT_S * SLOTS / SERVICE_S
        assert begun[-1][0] <= 0.2 + LONGEST_WAIT_S

    def test_new_callers_are_served_in_time_while_the_late_wait(self):
        crowd = [0.0] * 30
        later = [0.3 + index * 0.05 for index in range(10)]
        begun, _ = self.replay(crowd + later)
        in_time = [took for now, took in begun if now > 0.3 and took <= AIM_S]
        assert len(in_time) >= 8


class TestOrder:
    def test_the_urgent_go_first(self):
        queue = OpeningQueue()
        add(queue, 1, Waiting("feed", 0.0, 2, AIM_S))
        add(queue, 2, Waiting("hold", 0.0, 1, AIM_S))
        assert queue.take(0.01, SERVICE_S).packet == "hold"

    def test_who_can_be_in_time_goes_before_who_is_late(self):
        queue = OpeningQueue()
        add(queue, 1, Waiting("late", 0.0, 1, AIM_S))
        add(queue, 2, Waiting("in time", 0.3, 2, AIM_S))
        assert queue.take(0.3, SERVICE_S).packet == "in time"

    def test_a_copy_does_not_wait_twice(self):
        queue = OpeningQueue()
        add(queue, 1, Waiting("first", 0.0, 1, AIM_S))
        add(queue, 1, Waiting("copy", 0.2, 1, AIM_S))
        assert len(queue) == 1 and queue.take(0.2, SERVICE_S).packet == "first"

    def test_into_a_full_queue_a_new_flow_comes_in_the_place_of_a_late_one(self):
        queue = OpeningQueue()
        for number in range(100):
            add(queue, number, Waiting(f"crowd {number}", 0.0, 2, AIM_S))
        waiting = len(queue)
        assert not queue.can_add(0.0, SERVICE_S, SLOTS)
        assert queue.can_add(0.5, SERVICE_S, SLOTS)
        replaced = add(queue, 200, Waiting("new", 0.5, 2, AIM_S), 0.5)
        assert replaced.packet.startswith("crowd") and len(queue) == waiting

    @given(st.lists(st.tuples(st.floats(0, 2), st.integers(0, 3), st.floats(0.05, 1)), max_size=80))
    def test_nobody_is_lost_or_taken_twice(self, rows):
        queue, gone = OpeningQueue(), []
        for number, (arrived, priority, aim_s) in enumerate(rows):
            replaced = add(queue, number, Waiting(number, arrived, priority, aim_s))
            gone += [replaced.packet] if replaced else []
        gone += [row.packet for row in queue.expired(2.0)]
        while (row := queue.take(2.0, SERVICE_S)) is not None:
            gone.append(row.packet)
        assert sorted(gone) == list(range(len(rows)))
