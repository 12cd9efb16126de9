"""How much work an upstream is given: slots, a limit that adapts, and a short queue."""

from enum import Enum
from math import ceil
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from heatheryoke.core.requests import ActiveRequest, RequestPhase

__all__ = ["Admission", "ColdReason", "Decision", "UpstreamState"]

MAXIMUM_WAIT_S = 1.0
FIRST_SERVICE_S = 0.1
BASELINE_GAIN = 0.05
SLOWNESS_CAP = 6.0
SLOWNESS_ALLOWED = 2.0
SLOWNESS_ALARM = 8.0
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
        self.queue: SortedKeyList[ActiveRequest] = SortedKeyList(key=_priority)
        self.baselines: dict[str, float] = {}
        self.service_s = FIRST_SERVICE_S
        self.slowness = 0.0
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

    def load(self) -> float:
        """Return the work outstanding as a share of the limit."""
        return self.outstanding / self.limit

    def wait_s(self, ahead: int) -> float:
        """Estimate how long a request waits with so many others before it in the queue."""
        return (ahead + 1) * self.service_s / self.limit

    def retry_s(self) -> float:
        """Estimate when a refused caller will find room."""
        return max(1.0, self.wait_s(len(self.queue)))

    def offer(self, request: ActiveRequest, now: float) -> Decision:
        """Take a request: it starts, waits, or is refused; a lighter one may make room."""
        if self.has_slot(now) and not self.queue:
            return Decision([self.begin(request, now)], [])
        request.phase = RequestPhase.QUEUED
        self.queue.add(request)
        return Decision([], self.overflow(now))

    def overflow(self, now: float) -> list[ActiveRequest]:
        """Remove the requests at the end that could not start in time."""
        refused: list[ActiveRequest] = []
        allowed = min(MAXIMUM_QUEUE, ceil(MAXIMUM_WAIT_S * self.limit / self.service_s))
        while len(self.queue) > allowed:
            refused.append(self.queue.pop())
        late = [
            request
            for ahead, request in enumerate(self.queue)
            if now + self.wait_s(ahead) > request.deadline
        ]
        for request in late:
            self.queue.remove(request)
        return refused + late

    def advance(self, now: float) -> Decision:
        """Start what has room, and refuse what can no longer be run in time."""
        self.notice_overdue(now)
        refused = self.overflow(now) if self.queue else []
        started: list[ActiveRequest] = []
        while self.queue and self.has_slot(now):
            started.append(self.begin(self.queue.pop(0), now))
        return Decision(started, refused)

    def has_slot(self, now: float) -> bool:
        """Tell whether one more request may start."""
        return len(self.running) < max(1, int(self.limit)) and now >= self.gap_until

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

    def learn(self, request: ActiveRequest, took: float, now: float) -> None:
        """Grow the limit after a good answer; cut it after a sudden slowdown."""
        if not request.overdue and self.note_slowness(request, took):
            self.chill(now, ColdReason.SLOW)
            return
        request_class = request.request.request_class
        baseline = self.baselines.get(request_class, took)
        self.baselines[request_class] = baseline + BASELINE_GAIN * (took - baseline)
        self.service_s += BASELINE_GAIN * (took - self.service_s)
        self.good_answers += 1
        grown = max(0.0, self.good_answers / self.warm_answers - 1)
        self.limit = min(float(self.slots), self.floor + (self.slots - self.floor) * grown)
        if self.limit >= self.slots and self.state is UpstreamState.COLD:
            self.state = UpstreamState.WARM
            self.since = now

    def note_slowness(self, request: ActiveRequest, took: float) -> bool:
        """Add to the cumulative sum of slowness; tell whether it raises the alarm."""
        baseline = self.baselines.get(request.request.request_class)
        if not baseline:
            return False
        excess = min(took / baseline, SLOWNESS_CAP) - SLOWNESS_ALLOWED
        self.slowness = max(0.0, self.slowness + excess)
        return self.slowness > SLOWNESS_ALARM

    def notice_overdue(self, now: float) -> None:
        """Count a request as slow before its answer is there."""
        for request in list(self.running.values()):
            baseline = self.baselines.get(request.request.request_class)
            if request.overdue or not baseline:
                continue
            if now - request.started > SLOWNESS_CAP * baseline:
                request.overdue = True
                if self.note_slowness(request, now - request.started):
                    self.chill(now, ColdReason.SLOW)

    def chill(self, now: float, reason: ColdReason) -> None:
        """Take the upstream to be cold: its limit falls to the floor at once."""
        self.cold_reason = reason
        self.limit = self.floor
        self.good_answers = 0
        self.slowness = 0.0
        self.cold_starts += 1
        if self.state is UpstreamState.WARM:
            self.since = now
        self.state = UpstreamState.COLD


def _priority(request: ActiveRequest) -> tuple[float, float, float]:
    return (-request.weight, request.deadline, request.arrived)
