"""Counters, histograms and log lines of a byte-stream daemon."""

from typing import Any

from heatheryoke.core.effects import Count, LogChange, LogFlow, Measure
from heatheryoke.core.flows import describe_flow
from heatheryoke.core.histograms import WAIT_BUCKETS_S, Histogram
from heatheryoke.daemons.json_log import JsonLog

__all__ = ["Histograms", "StreamRecord"]

# At most this many histograms: one for each name, service and route that has had requests.
MAXIMUM_HISTOGRAMS = 600
QUEUE_BUCKETS = (0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)

Histograms = dict[tuple[str, str, str], Histogram]


class StreamRecord:
    """Executes the effects that only record events: counts, measurements and log lines."""

    def __init__(self, log: JsonLog):
        self.log = log
        self.counters: dict[str, int] = {}
        self.histograms: Histograms = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter, given by name."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def count(self, effect: Count) -> None:
        """Increase a counter."""
        self.add(effect.name, effect.amount)

    def record_fault(
        self,
        kind: str,
        error: BaseException | None,
        rate_limited: bool = False,
        **facts: Any,
    ) -> None:
        """Count and log an unexpected exception, with facts on what it was raised for."""
        self.add("faults")
        self.log.write("fault", rate_limited=rate_limited, kind=kind, error=repr(error), **facts)

    def measure(self, effect: Measure) -> None:
        """Record a value in the histogram of a service and route."""
        key = effect[:3]
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAXIMUM_HISTOGRAMS:
                self.add("histograms_left_out")
                return
            buckets = QUEUE_BUCKETS if effect.name == "queue_at_arrival" else WAIT_BUCKETS_S
            histogram = self.histograms[key] = Histogram(buckets)
        histogram.add(effect.value)

    def log_change(self, effect: LogChange) -> None:
        """Log a change of state."""
        self.log.write("change", subject=effect.subject, state=effect.state, reason=effect.reason)

    def log_flow(self, effect: LogFlow) -> None:
        """Log a decision on a flow, subject to the rate limit."""
        flow = describe_flow(effect.flow)
        self.log.write(effect.decision, rate_limited=True, flow=flow, **dict(effect.facts))
