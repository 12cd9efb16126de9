"""What a process of byte streams records of itself: counters, histograms and log lines."""

from heatheryoke.core.effects import Count, LogChange, LogFlow, Measure
from heatheryoke.core.flows import describe_flow
from heatheryoke.core.histograms import WAIT_BUCKETS_S, Histogram
from heatheryoke.daemons.json_log import JsonLog

__all__ = ["Histograms", "StreamRecord"]

# Histograms kept at once, each of a name, service and route; routes without requests have none.
MAXIMUM_HISTOGRAMS = 600
QUEUE_BUCKETS = (0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)

Histograms = dict[tuple[str, str, str], Histogram]


class StreamRecord:
    """Takes the effects that only tell what happened."""

    def __init__(self, log: JsonLog):
        self.log = log
        self.counters: dict[str, int] = {}
        self.histograms: Histograms = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter by name."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def count(self, effect: Count) -> None:
        """Add to a counter."""
        self.add(effect.name, effect.amount)

    def fault(self, kind: str, error: BaseException | None, bounded: bool = False) -> None:
        """Count and log an error that nothing foresaw."""
        self.add("faults")
        self.log.write("fault", bounded=bounded, kind=kind, error=repr(error))

    def measure(self, effect: Measure) -> None:
        """Add a value to the histogram of a service and route."""
        key = effect[:3]
        found = self.histograms.get(key)
        if found is None:
            if len(self.histograms) >= MAXIMUM_HISTOGRAMS:
                self.add("histograms_left_out")
                return
            buckets = QUEUE_BUCKETS if effect.name == "queue_at_arrival" else WAIT_BUCKETS_S
            found = self.histograms[key] = Histogram(buckets)
        found.add(effect.value)

    def log_change(self, effect: LogChange) -> None:
        """Log a change of what the process believes."""
        self.log.write("change", subject=effect.subject, state=effect.state, reason=effect.reason)

    def log_flow(self, effect: LogFlow) -> None:
        """Log a decision on a flow."""
        flow = describe_flow(effect.flow)
        self.log.write(effect.decision, bounded=True, flow=flow, **dict(effect.facts))
