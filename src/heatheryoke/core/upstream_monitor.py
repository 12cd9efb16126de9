"""What an agent observes of its upstream: new flows, answers, and requests that take too long.

Load pattern: an upstream that crashes silently accepts no flow, and one that hangs answers no
request, for seconds before the store removes it. Waiting for the caller's deadline would lose
every flow placed there meanwhile, so a new flow that is not accepted is placed elsewhere.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Forward
from heatheryoke.core.streams import OwnedStream, StreamHeader
from heatheryoke.core.upstream_condition import ConditionChange, Evidence, UpstreamCondition
from heatheryoke.core.upstream_speed import UpstreamSpeed

__all__ = ["Finding", "TrafficMonitor", "Unmonitored", "UpstreamMonitor"]

# An upstream on the same host accepts a flow within 1 ms; the rest allows for an agent that waits
# for its processor quota, and leaves a caller's first copy (200 ms) to find the new place.
ACCEPTANCE_TIMEOUT_S = 0.1
# Multiple of the expected time to an answer after which a request counts as failed. Work that is
# seven times as long as usual is known from the users' deployments.
OVERDUE_FACTOR = 10.0
# Added to it for packets that the caller has to send again (200 ms).
RETRANSMISSION_S = 0.25
# A gap between two checks above this is a delay of this process itself: a tick and a half (0.1 s)
# and 10 ms for a late timer. With two ticks, a flow that had just been placed was given up.
MAXIMUM_CHECK_GAP_S = 0.16


class Finding(NamedTuple):
    """Result of a check: transitions of the condition, and flows that were not accepted."""

    changes: list[ConditionChange]
    unaccepted: list[Forward]


class UpstreamMonitor(ABC):
    """Observes an upstream; tells how far its condition and speed raise its load."""

    @abstractmethod
    def load_penalty(self) -> float:
        """Return what is added to the load that visits report."""

    @abstractmethod
    def condition_name(self) -> str:
        """Return the upstream's condition, for metrics."""

    @abstractmethod
    def slowness(self) -> float:
        """Return how many times as long as usual the upstream takes."""

    @abstractmethod
    def is_set_aside(self) -> bool:
        """Return whether the upstream should get no new flow now."""

    @abstractmethod
    def on_started(self, message: Forward, now: float) -> None:
        """Record that a new flow's first packet was delivered."""

    @abstractmethod
    def on_ended(self, flow: FlowKey) -> None:
        """Record that a flow is no longer owned here."""

    @abstractmethod
    def on_packet(self, owned: OwnedStream, head: StreamHeader, now: float) -> Finding:
        """Record a packet that the upstream sent, before the flow's state is updated by it."""

    @abstractmethod
    def on_incarnation(self, incarnation: tuple[str, int], now: float) -> Finding:
        """Record which incarnation of the upstream the store lists."""

    @abstractmethod
    def on_paused(self, in_progress: Iterable[OwnedStream]) -> None:
        """Record that this process was paused and has discarded what arrived meanwhile."""

    @abstractmethod
    def check(
        self, in_progress: Iterable[OwnedStream], expected_s: float, slots: int, now: float
    ) -> Finding:
        """Judge what is overdue."""


NO_FINDING = Finding([], [])


class Unmonitored(UpstreamMonitor):
    """Observes nothing, for deployments whose settings do not ask for it."""

    def load_penalty(self) -> float:
        """Return 0."""
        return 0.0

    def condition_name(self) -> str:
        """Return that it is not judged."""
        return "not judged"

    def slowness(self) -> float:
        """Return 1."""
        return 1.0

    def is_set_aside(self) -> bool:
        """Return False."""
        return False

    def on_started(self, message: Forward, now: float) -> None:
        """Do nothing."""

    def on_ended(self, flow: FlowKey) -> None:
        """Do nothing."""

    def on_packet(self, owned: OwnedStream, head: StreamHeader, now: float) -> Finding:
        """Return no finding."""
        return NO_FINDING

    def on_incarnation(self, incarnation: tuple[str, int], now: float) -> Finding:
        """Return no finding."""
        return NO_FINDING

    def on_paused(self, in_progress: Iterable[OwnedStream]) -> None:
        """Do nothing."""

    def check(
        self, in_progress: Iterable[OwnedStream], expected_s: float, slots: int, now: float
    ) -> Finding:
        """Return no finding."""
        return NO_FINDING


class TrafficMonitor(UpstreamMonitor):
    """Judges an upstream by the packets that pass its agent; sends no probes."""

    def __init__(self):
        self.condition = UpstreamCondition()
        self.speed = UpstreamSpeed()
        self.unaccepted: OrderedDict[FlowKey, tuple[float, Forward]] = OrderedDict()
        self.incarnation: tuple[str, int] | None = None
        self.checked_at: float | None = None

    def load_penalty(self) -> float:
        """Return what is added to the load that visits report."""
        return self.condition.load_penalty()

    def condition_name(self) -> str:
        """Return the upstream's condition, for metrics."""
        return self.condition.state.value

    def slowness(self) -> float:
        """Return how many times as long as usual the upstream takes."""
        return self.speed.slowness()

    def is_set_aside(self) -> bool:
        """Return whether the upstream should get no new flow now."""
        return self.condition.is_set_aside()

    def on_started(self, message: Forward, now: float) -> None:
        """Record that a new flow's first packet was delivered."""
        self.condition.note_started()
        self.unaccepted[message.flow] = now, message

    def on_ended(self, flow: FlowKey) -> None:
        """Stop waiting for a flow to be accepted."""
        self.unaccepted.pop(flow, None)

    def on_packet(self, owned: OwnedStream, head: StreamHeader, now: float) -> Finding:
        """Derive evidence from a packet that the upstream sent."""
        evidence = evidence_of(owned, head)
        if evidence is Evidence.SERVED and owned.had_free_slot:
            self.speed.add(now - owned.waiting_since)
        self.unaccepted.pop(owned.flow, None)
        return self.judge(evidence, now) if evidence else NO_FINDING

    def on_incarnation(self, incarnation: tuple[str, int], now: float) -> Finding:
        """Judge another incarnation anew, also one at the same address or of the same name."""
        if incarnation == self.incarnation:
            return NO_FINDING
        is_first, self.incarnation = self.incarnation is None, incarnation
        self.speed = UpstreamSpeed()
        change = None if is_first else self.condition.restart(now)
        return Finding([change], []) if change else NO_FINDING

    def on_paused(self, in_progress: Iterable[OwnedStream]) -> None:
        """Judge nothing by what was in progress: its answers may have been discarded."""
        self.unaccepted.clear()
        for owned in in_progress:
            owned.is_overdue = True

    def check(
        self, in_progress: Iterable[OwnedStream], expected_s: float, slots: int, now: float
    ) -> Finding:
        """Judge flows not accepted and requests not answered in time.

        After a delay of this process itself the upstream's packets may still be unread, so nothing
        is judged until the next check.
        """
        last, self.checked_at = self.checked_at, now
        if last is None or now - last > MAXIMUM_CHECK_GAP_S:
            return NO_FINDING
        changes = [self.condition.advance(now)]
        unaccepted = self.take_unaccepted(now)
        changes += [self.condition.note_failed(Evidence.UNACCEPTED, now) for _ in unaccepted]
        for owned in in_progress:
            if is_overdue(owned, expected_s, slots, now):
                owned.is_overdue = True
                changes.append(self.condition.note_failed(Evidence.UNANSWERED, now))
        return Finding([change for change in changes if change], unaccepted)

    def take_unaccepted(self, now: float) -> list[Forward]:
        """Remove and return the first packets of flows not accepted in time."""
        overdue: list[Forward] = []
        while self.unaccepted:
            started, message = next(iter(self.unaccepted.values()))
            if now - started < ACCEPTANCE_TIMEOUT_S:
                break
            overdue.append(self.unaccepted.pop(message.flow)[1])
        return overdue

    def judge(self, evidence: Evidence, now: float) -> Finding:
        """Pass evidence on to the condition."""
        if evidence is Evidence.SERVED:
            change = self.condition.note_served(now)
        else:
            change = self.condition.note_failed(evidence, now)
        return Finding([change], []) if change else NO_FINDING


def evidence_of(owned: OwnedStream, head: StreamHeader) -> Evidence | None:
    """Return what a packet of an upstream shows, None if it shows nothing about its condition.

    A request that was counted as overdue is not counted again.
    """
    if owned.caller_closed or owned.is_over or owned.is_overdue:
        return None
    if head.resets:
        is_pending = owned.has_request or (owned.accepted is None and not owned.answered)
        return Evidence.RESET if is_pending else None
    if not owned.has_request:
        return None
    if head.length:
        return Evidence.SERVED
    return Evidence.CLOSED if head.closes and not owned.closes_before_data(head) else None


def is_overdue(owned: OwnedStream, expected_s: float, slots: int, now: float) -> bool:
    """Return whether a request has taken far longer than the work before it explains."""
    if not owned.has_request or owned.is_overdue:
        return False
    turns = 1 + owned.requests_before / slots
    return now - owned.waiting_since > OVERDUE_FACTOR * expected_s * turns + RETRANSMISSION_S
