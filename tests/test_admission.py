"""Tests of the admission queue against a sorted list, and of the limits of cold upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.admission import Admission, ColdReason, UpstreamState
from heatheryoke.core.requests import ActiveRequest, Request, RequestKind

DISTANT_DEADLINE = 1_000.0
SERVICE_S = 0.1


def request(number, weight=1.0, deadline=DISTANT_DEADLINE, arrived=0.0):
    asked = Request(RequestKind.READ, b"%d" % number, number)
    return ActiveRequest(b"flow", "holds", asked, b"", arrived, deadline, weight)


def warm(slots=4):
    admission = Admission(slots, 1.0, 2, 0.0)
    now = 0.0
    for number in range(40):
        (started,) = admission.offer(request(number), now).start
        now += SERVICE_S
        admission.finish(started, now, refused=False)
    assert admission.state is UpstreamState.WARM
    return admission, now


class TestQueue:
    @given(
        st.lists(
            st.tuples(st.integers(1, 3), st.integers(50, 60), st.booleans()),
            max_size=40,
        )
    )
    def test_starts_in_the_order_of_a_sorted_list(self, rows):
        admission, now = warm(slots=1)
        model: list[ActiveRequest] = []
        running: list[ActiveRequest] = []
        for number, (weight, deadline, finishes) in enumerate(rows, start=100):
            if finishes and running:
                admission.finish(running.pop(), now, refused=False)
                decision = admission.advance(now)
                expected = sorted(model, key=lambda r: (-r.weight, r.deadline, r.arrived))[:1]
                assert decision.start == expected
                running += decision.start
                model = [queued for queued in model if queued not in decision.start]
            offered = request(number, float(weight), now + deadline, now + number / 1e6)
            decision = admission.offer(offered, now)
            running += decision.start
            if not decision.start:
                model.append(offered)
            model = [queued for queued in model if queued not in decision.refuse]
            assert len(running) <= 1

    def test_never_keeps_what_cannot_start_in_time(self):
        admission, now = warm(slots=1)
        admission.offer(request(1), now)
        late = request(2, deadline=now + SERVICE_S / 2)
        assert admission.offer(late, now).refuse == [late]

    def test_a_full_queue_refuses_the_lightest(self):
        admission, now = warm(slots=1)
        refused = []
        for number in range(100, 140):
            refused += admission.offer(request(number, arrived=now), now).refuse
        heavy = request(200, weight=2.0, arrived=now)
        decision = admission.offer(heavy, now)
        assert refused
        assert heavy not in decision.refuse
        assert len(decision.refuse) == 1


class TestColdStart:
    def test_begins_at_the_floor(self):
        admission = Admission(4, 1.0, 10, 0.0)
        started = [admission.offer(request(number), 0.0).start for number in range(3)]
        assert sum(map(len, started)) == 1

    def test_grows_only_after_enough_good_answers(self):
        admission = Admission(4, 1.0, 10, 0.0)
        for number in range(20):
            (started,) = admission.offer(request(number), float(number)).start
            admission.finish(started, number + SERVICE_S, refused=False)
            assert admission.limit == 1.0 or number >= 10
        assert admission.limit == 4.0

    def test_a_floor_below_one_leaves_gaps(self):
        admission = Admission(1, 0.25, 10, 0.0)
        (started,) = admission.offer(request(1), 0.0).start
        admission.finish(started, SERVICE_S, refused=False)
        admission.offer(request(2), SERVICE_S)
        assert admission.advance(3 * SERVICE_S).start == []
        assert len(admission.advance(4 * SERVICE_S + 0.001).start) == 1

    def test_refused_work_cuts_the_limit_at_once(self):
        admission, now = warm()
        (started,) = admission.offer(request(500), now).start
        admission.finish(started, now + SERVICE_S, refused=True)
        assert admission.limit == 1.0
        assert admission.cold_reason is ColdReason.REFUSED

    def test_a_sudden_slowdown_cuts_the_limit(self):
        admission, now = warm()
        for number in range(600, 606):
            (started,) = admission.offer(request(number), now).start
            now += 5 * SERVICE_S
            admission.finish(started, now, refused=False)
            if admission.is_cold():
                break
        assert admission.cold_reason is ColdReason.SLOW
        assert admission.limit == 1.0

    def test_a_suspicion_holds_the_upstream_to_its_floor_until_answers_are_usual_again(self):
        admission, now = warm()
        busy = [admission.offer(request(number), now).start[0] for number in range(700, 704)]
        now += 2.5 * SERVICE_S
        admission.advance(now)
        assert admission.is_suspected
        assert not admission.is_cold()
        for active in busy:
            admission.finish(active, now, refused=False)
        for number in range(800, 806):
            (started,) = admission.offer(request(number), now).start
            if admission.is_suspected:
                assert admission.offer(request(number + 100), now).start == []
                admission.remove_queued(admission.queue[0])
            now += SERVICE_S
            admission.finish(started, now, refused=False)
        assert not admission.is_suspected
        assert admission.limit == 4.0

    def test_an_upstream_that_is_gone_is_tried_now_and_then(self):
        admission, now = warm()
        admission.mark_unreachable(now)
        assert admission.offer(request(700), now).start == []
        assert len(admission.advance(now + 0.6).start) == 1
