"""Admission control of an upstream: slots, an adaptive concurrency limit and a short queue."""

from enum import Enum
from math import ceil
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from heatheryoke.core.requests import ActiveRequest, RequestPhase
from heatheryoke.core.slowdown import SLOWDOWN_FACTOR, SlowdownTest

__all__ = ["Admission", "ColdReason", "Decision", "UpstreamState"]

MAXIMUM_QUEUE_WAIT_S = 1.0
INITIAL_SERVICE_S = 0.1
BASELINE_GAIN = 0.05
BASELINE_SAMPLES = 10
# Multiple of the baseline service time after which a request in progress is overdue.
OVERDUE_FACTOR = 6.0
# Log-likelihood ratio of a slowdown above which the upstream is suspected and held to its floor.
SUSPECTED_LOG_RATIO = 3.0
# Log-likelihood ratio below which the suspicion ends.
CLEARED_LOG_RATIO = 2.0
# Log-likelihood ratio above which the upstream is marked cold.
COLD_LOG_RATIO = 9.0
UNREACHABLE_PAUSE_S = 0.5
MINIMUM_ANSWER_TIMEOUT_S = 2.0
INITIAL_ANSWER_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_FACTOR = 20.0
MAXIMUM_QUEUE_LENGTH = 1_000


class UpstreamState(Enum):
    """Whether an upstream can take its full load."""

    COLD = "cold"
    WARM = "warm"


class ColdReason(Enum):
    """Why an upstream was marked cold."""

    FIRST_START = "first start"
    SLOW = "sudden slowdown"
    REFUSED = "refused work"
    GONE = "nothing listens"
    RETURNED = "failure domain returned"


class Decision(NamedTuple):
    """The requests to start and the requests to refuse as not run."""

    start: list[ActiveRequest]
    refuse: list[ActiveRequest]


class Admission:
    """Admission control of one upstream.

    The limits are exact, since only the agent beside the upstream sends it requests. The limit is
    the number of requests in progress. Below 1, it is the fraction of time that a single request
    may occupy, enforced by a gap after each answer. A cold upstream stays at the floor for
    `warm_answers` good answers; then its limit grows to `slots` over the same number of answers.
    """

    def __init__(self, slots: int, floor: float, warm_answers: int, now: float):
        self.slots = slots
        self.warm_answers = warm_answers
        self.good_answers = 0
        self.floor = min(float(slots), floor)
        self.limit = self.floor
        self.state = UpstreamState.COLD
        self.since = now
        self.running: dict[tuple[bytes, bytes], ActiveRequest] = {}
        self.renewals: dict[tuple[bytes, bytes], ActiveRequest] = {}
        self.queue: SortedKeyList[ActiveRequest] = SortedKeyList(key=_priority)
        self.baselines: dict[str, tuple[int, float]] = {}
        self.service_s = INITIAL_SERVICE_S
        self.slowdown = SlowdownTest()
        self.is_suspected = False
        self.gap_until = now
        self.cold_starts = 0
        self.cold_reason = ColdReason.FIRST_START

    @property
    def outstanding(self) -> int:
        """The number of requests queued or in progress."""
        return len(self.running) + len(self.queue)

    def is_cold(self) -> bool:
        """Return whether the upstream is cold."""
        return self.state is UpstreamState.COLD

    def wait_s(self, ahead: int, now: float) -> float:
        """Estimate the wait of a request with `ahead` others before it in the queue."""
        return max(0.0, self.gap_until - now) + (ahead + 1) * self.service_s / self.limit

    def retry_s(self, now: float) -> float:
        """Estimate after how many seconds a refused caller can be admitted."""
        return max(1.0, self.wait_s(len(self.queue), now))

    def offer(self, request: ActiveRequest, now: float) -> Decision:
        """Start, queue or refuse a request.

        Queued requests of lower weight may be refused in place of the one offered.
        """
        if self.has_slot(now) and not self.queue and not self.renewals:
            return Decision([self.begin(request, now)], [])
        request.phase = RequestPhase.QUEUED
        self.queue.add(request)
        return Decision([], self.shed(now))

    def renew(self, renewal: ActiveRequest) -> None:
        """Queue the renewal of a feed, ahead of all requests."""
        self.renewals[renewal.flow, renewal.request.token] = renewal

    def shed(self, now: float) -> list[ActiveRequest]:
        """Remove and return the queued requests that could not start in time."""
        refused: list[ActiveRequest] = []
        wait_s = max(0.0, MAXIMUM_QUEUE_WAIT_S - max(0.0, self.gap_until - now))
        queue_limit = min(MAXIMUM_QUEUE_LENGTH, ceil(wait_s * self.limit / self.service_s))
        while len(self.queue) > queue_limit:
            refused.append(self.queue.pop())
        late = [
            request
            for ahead, request in enumerate(self.queue)
            if now + self.wait_s(ahead, now) > request.deadline
        ]
        for request in late:
            self.queue.remove(request)
        return refused + late

    def advance(self, now: float) -> Decision:
        """Start queued requests that have a slot, and refuse those that cannot start in time."""
        self.mark_overdue(now)
        self.update_suspicion(now)
        refused = self.shed(now) if self.queue else []
        started: list[ActiveRequest] = []
        while self.renewals and self.has_slot(now):
            started.append(self.begin(self.renewals.pop(next(iter(self.renewals))), now))
        while self.queue and self.has_slot(now):
            started.append(self.begin(self.queue.pop(0), now))
        return Decision(started, refused)

    def has_slot(self, now: float) -> bool:
        """Return whether one more request may start."""
        limit = self.floor if self.is_suspected else self.limit
        return len(self.running) < max(1, int(limit)) and now >= self.gap_until

    def begin(self, request: ActiveRequest, now: float) -> ActiveRequest:
        """Mark a request as running and occupy a slot."""
        request.phase = RequestPhase.RUNNING
        request.started = now
        self.running[request.flow, request.request.token] = request
        return request

    def remove_queued(self, request: ActiveRequest) -> None:
        """Remove a request from the queue."""
        if request in self.queue:
            self.queue.remove(request)

    def finish(self, request: ActiveRequest, now: float, refused: bool) -> None:
        """Free the slot of an answered request and adapt the limit."""
        if self.running.pop((request.flow, request.request.token), None) is None:
            return
        duration_s = now - request.started
        if self.limit < 1:
            self.gap_until = now + duration_s * (1 / self.limit - 1)
        if refused:
            self.mark_cold(now, ColdReason.REFUSED)
        else:
            self.record_answer(request, duration_s, now)

    def abandon(self, request: ActiveRequest) -> None:
        """Free the slot of a request that got no answer."""
        self.running.pop((request.flow, request.request.token), None)

    def answer_timeout_s(self, request: ActiveRequest) -> float:
        """Return the timeout for a request's answer, counted from its start."""
        baseline = self.baseline(request)
        return (
            INITIAL_ANSWER_TIMEOUT_S
            if baseline is None
            else max(MINIMUM_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_FACTOR * baseline)
        )

    def is_stalled(self) -> bool:
        """Return whether requests are in progress and all of them are overdue."""
        return bool(self.running) and all(request.overdue for request in self.running.values())

    def record_answer(self, request: ActiveRequest, duration_s: float, now: float) -> None:
        """Raise the limit after a good answer, or cut it after a sudden slowdown."""
        baseline = self.baseline(request)
        if baseline is not None:
            self.slowdown.add(duration_s / baseline, self.relative_ages(now))
            if self.update_suspicion(now):
                return
        self.adjust_baseline(request.request.request_class, duration_s)
        self.service_s += BASELINE_GAIN * (duration_s - self.service_s)
        self.good_answers += 1
        growth = max(0.0, self.good_answers / self.warm_answers - 1)
        self.limit = min(float(self.slots), self.floor + (self.slots - self.floor) * growth)
        if self.limit >= self.slots and self.state is UpstreamState.COLD:
            self.state = UpstreamState.WARM
            self.since = now

    def relative_ages(self, now: float) -> list[float]:
        """Return the age of each request in progress as a multiple of its baseline."""
        ages = (
            (self.baseline(request), now - request.started) for request in self.running.values()
        )
        return [age_s / baseline for baseline, age_s in ages if baseline is not None]

    def update_suspicion(self, now: float) -> bool:
        """Update the suspicion of a slowdown; return whether the upstream was marked cold."""
        log_ratio = self.slowdown.log_likelihood_ratio(self.relative_ages(now))
        if log_ratio > COLD_LOG_RATIO:
            self.mark_cold(now, ColdReason.SLOW)
            return True
        if log_ratio > SUSPECTED_LOG_RATIO:
            self.is_suspected = True
        elif log_ratio < CLEARED_LOG_RATIO:
            self.is_suspected = False
        return False

    def baseline(self, request: ActiveRequest) -> float | None:
        """Return the mean service time of a request's class, or None with too few samples."""
        samples, mean = self.baselines.get(request.request.request_class, (0, 0.0))
        return mean if samples >= BASELINE_SAMPLES else None

    def adjust_baseline(self, request_class: str, duration_s: float) -> None:
        """Update the mean service time of a request class.

        The gain falls with each sample to `BASELINE_GAIN`. Once the baseline is established, a
        service time counts as at most `FACTOR` times the mean, the slowdown to detect. This bounds
        the effect of a single slow answer.
        """
        samples, mean = self.baselines.get(request_class, (0, 0.0))
        if samples >= BASELINE_SAMPLES:
            duration_s = min(duration_s, SLOWDOWN_FACTOR * mean)
        gain = max(BASELINE_GAIN, 1 / (samples + 1))
        self.baselines[request_class] = (samples + 1, mean + gain * (duration_s - mean))

    def mark_overdue(self, now: float) -> None:
        """Mark requests that have exceeded `OVERDUE_FACTOR` times their baseline."""
        for request in self.running.values():
            baseline = self.baseline(request)
            if baseline is not None and now - request.started > OVERDUE_FACTOR * baseline:
                request.overdue = True

    def mark_unreachable(self, now: float) -> None:
        """Treat the requests in progress as lost, and start no others for `UNREACHABLE_PAUSE_S`."""
        self.running.clear()
        self.gap_until = now + UNREACHABLE_PAUSE_S
        self.mark_cold(now, ColdReason.GONE)

    def mark_cold(self, now: float, reason: ColdReason) -> None:
        """Mark the upstream as cold and lower its limit to the floor."""
        self.cold_reason = reason
        self.limit = self.floor
        self.good_answers = 0
        self.slowdown.reset()
        self.is_suspected = False
        self.cold_starts += 1
        if self.state is UpstreamState.WARM:
            self.since = now
        self.state = UpstreamState.COLD


def _priority(request: ActiveRequest) -> tuple[float, float, float]:
    return (-request.weight, request.deadline, request.arrived)
