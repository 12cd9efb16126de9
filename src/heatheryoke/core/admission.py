"""How much work an upstream is given: slots, a limit that adapts, and a short queue."""

from enum import Enum
from math import ceil
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from heatheryoke.core.requests import ActiveRequest, RequestPhase
from heatheryoke.core.slowdown import FACTOR, SlowdownTest

__all__ = ["Admission", "ColdReason", "Decision", "UpstreamState"]

MAXIMUM_WAIT_S = 1.0
FIRST_SERVICE_S = 0.1
BASELINE_GAIN = 0.05
BASELINE_SAMPLES = 10
# A request in progress for so many usual service times is no longer waited for.
OVERDUE_FACTOR = 6.0
# Evidence (a natural logarithm) at which an upstream is held to its floor until more is known.
SUSPICIOUS = 3.0
# Evidence at which a suspicion is dropped.
CLEARED = 2.0
# Evidence at which an upstream is taken to be cold.
CERTAIN = 9.0
PROBE_S = 0.5
PATIENCE_S = 2.0
FIRST_PATIENCE_S = 10.0
LOST_FACTOR = 20.0
MAXIMUM_QUEUE = 1_000


class UpstreamState(Enum):
    """Whether an upstream bears its full load."""

    COLD = "cold"
    WARM = "warm"


class ColdReason(Enum):
    """Why an upstream is taken to be cold."""

    FIRST_START = "first start"
    SLOW = "sudden slowdown"
    REFUSED = "refused work"
    GONE = "nothing listens"
    RETURNED = "failure domain returned"


class Decision(NamedTuple):
    """What admission asks for: requests to start, and requests to refuse as not run."""

    start: list[ActiveRequest]
    refuse: list[ActiveRequest]


class Admission:
    """The exact limits of one upstream; only the agent beside it gives it work.

    The limit counts requests in progress. Below 1 it is the share of time that one request may
    take up, kept by a gap after each answer. A cold upstream stays at the floor for
    `warm_answers` good answers, then its limit grows to the slots over as many.
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
        self.service_s = FIRST_SERVICE_S
        self.slowdown = SlowdownTest()
        self.is_suspected = False
        self.gap_until = now
        self.cold_starts = 0
        self.cold_reason = ColdReason.FIRST_START

    @property
    def outstanding(self) -> int:
        """How many requests are queued or in progress."""
        return len(self.running) + len(self.queue)

    def is_cold(self) -> bool:
        """Tell whether the upstream is taken to be cold."""
        return self.state is UpstreamState.COLD

    def wait_s(self, ahead: int, now: float) -> float:
        """Estimate how long a request waits with so many others before it in the queue."""
        return max(0.0, self.gap_until - now) + (ahead + 1) * self.service_s / self.limit

    def retry_s(self, now: float) -> float:
        """Estimate when a refused caller will find room."""
        return max(1.0, self.wait_s(len(self.queue), now))

    def offer(self, request: ActiveRequest, now: float) -> Decision:
        """Take a request: it starts, waits, or is refused; a lighter one may make room.

        The requests refused may be others than the one offered.
        """
        if self.has_slot(now) and not self.queue and not self.renewals:
            return Decision([self.begin(request, now)], [])
        request.phase = RequestPhase.QUEUED
        self.queue.add(request)
        return Decision([], self.overflow(now))

    def renew(self, renewal: ActiveRequest) -> None:
        """Queue the renewal of a feed, before all requests."""
        self.renewals[renewal.flow, renewal.request.token] = renewal

    def overflow(self, now: float) -> list[ActiveRequest]:
        """Remove the requests at the end that could not start in time."""
        refused: list[ActiveRequest] = []
        wait_s = max(0.0, MAXIMUM_WAIT_S - max(0.0, self.gap_until - now))
        allowed = min(MAXIMUM_QUEUE, ceil(wait_s * self.limit / self.service_s))
        while len(self.queue) > allowed:
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
        """Start what has room, and refuse what can no longer be run in time."""
        self.notice_overdue(now)
        self.judge(now)
        refused = self.overflow(now) if self.queue else []
        started: list[ActiveRequest] = []
        while self.renewals and self.has_slot(now):
            started.append(self.begin(self.renewals.pop(next(iter(self.renewals))), now))
        while self.queue and self.has_slot(now):
            started.append(self.begin(self.queue.pop(0), now))
        return Decision(started, refused)

    def has_slot(self, now: float) -> bool:
        """Tell whether one more request may start."""
        limit = self.floor if self.is_suspected else self.limit
        return len(self.running) < max(1, int(limit)) and now >= self.gap_until

    def begin(self, request: ActiveRequest, now: float) -> ActiveRequest:
        """Occupy a slot."""
        request.phase = RequestPhase.RUNNING
        request.started = now
        self.running[request.flow, request.request.token] = request
        return request

    def withdraw(self, request: ActiveRequest) -> None:
        """Remove a request from the queue."""
        if request in self.queue:
            self.queue.remove(request)

    def finish(self, request: ActiveRequest, now: float, refused: bool) -> None:
        """Free a slot and learn from the answer."""
        if self.running.pop((request.flow, request.request.token), None) is None:
            return
        took = now - request.started
        if self.limit < 1:
            self.gap_until = now + took * (1 / self.limit - 1)
        if refused:
            self.chill(now, ColdReason.REFUSED)
        else:
            self.learn(request, took, now)

    def abandon(self, request: ActiveRequest) -> None:
        """Free the slot of a request that got no answer."""
        self.running.pop((request.flow, request.request.token), None)

    def patience_s(self, request: ActiveRequest) -> float:
        """Return after how long in progress a request's answer is no longer expected."""
        baseline = self.baseline(request)
        return FIRST_PATIENCE_S if baseline is None else max(PATIENCE_S, LOST_FACTOR * baseline)

    def is_stalled(self) -> bool:
        """Tell whether requests are in progress and each of them is overdue."""
        return bool(self.running) and all(row.overdue for row in self.running.values())

    def learn(self, request: ActiveRequest, took: float, now: float) -> None:
        """Grow the limit after a good answer; cut it after a sudden slowdown."""
        baseline = self.baseline(request)
        if baseline is not None:
            self.slowdown.add(took / baseline, self.in_progress(now))
            if self.judge(now):
                return
        self.adjust_baseline(request.request.request_class, took)
        self.service_s += BASELINE_GAIN * (took - self.service_s)
        self.good_answers += 1
        grown = max(0.0, self.good_answers / self.warm_answers - 1)
        self.limit = min(float(self.slots), self.floor + (self.slots - self.floor) * grown)
        if self.limit >= self.slots and self.state is UpstreamState.COLD:
            self.state = UpstreamState.WARM
            self.since = now

    def in_progress(self, now: float) -> list[float]:
        """Return for how many usual service times each request in progress has run."""
        pairs = ((self.baseline(row), now - row.started) for row in self.running.values())
        return [taken / baseline for baseline, taken in pairs if baseline is not None]

    def judge(self, now: float) -> bool:
        """Suspect the upstream of a slowdown, clear it, or take it to be cold (True)."""
        evidence = self.slowdown.evidence(self.in_progress(now))
        if evidence > CERTAIN:
            self.chill(now, ColdReason.SLOW)
            return True
        if evidence > SUSPICIOUS:
            self.is_suspected = True
        elif evidence < CLEARED:
            self.is_suspected = False
        return False

    def baseline(self, request: ActiveRequest) -> float | None:
        """Return the usual service time of a request's class, None while it is not known."""
        samples, mean = self.baselines.get(request.request.request_class, (0, 0.0))
        return mean if samples >= BASELINE_SAMPLES else None

    def adjust_baseline(self, request_class: str, took: float) -> None:
        """Take a service time into the mean of its class, which later ones move less and less.

        A single slow answer moves it no further than an answer at the slowdown to be found.
        """
        samples, mean = self.baselines.get(request_class, (0, 0.0))
        if samples >= BASELINE_SAMPLES:
            took = min(took, FACTOR * mean)
        gain = max(BASELINE_GAIN, 1 / (samples + 1))
        self.baselines[request_class] = (samples + 1, mean + gain * (took - mean))

    def notice_overdue(self, now: float) -> None:
        """Mark requests that have been in progress for too long."""
        for request in self.running.values():
            baseline = self.baseline(request)
            if baseline is not None and now - request.started > OVERDUE_FACTOR * baseline:
                request.overdue = True

    def note_gone(self, now: float) -> None:
        """Take it that the upstream has lost its work; what comes next is tried now and then."""
        self.running.clear()
        self.gap_until = now + PROBE_S
        self.chill(now, ColdReason.GONE)

    def chill(self, now: float, reason: ColdReason) -> None:
        """Take the upstream to be cold: its limit falls to the floor at once."""
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
