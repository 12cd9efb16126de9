"""Prometheus metrics of a daemon."""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from heatheryoke.core.agent import Agent
from heatheryoke.core.node import Node

__all__ = ["Metrics"]

DEFAULT_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
HISTOGRAM_HELP = {
    "wait_seconds": "Time from a request's arrival to its start at the upstream.",
    "service_seconds": "Time from a request's start at the upstream to its answer.",
    "queue_at_arrival": "Requests that waited when a request arrived.",
}
BUCKETS_BY_NAME = {"queue_at_arrival": (0, 1, 2, 4, 8, 16, 32, 64, 128, 256)}


class EventCounters(Collector):
    """Event counters kept as plain integers: cheaper on the hot path than the library's own."""

    def __init__(self):
        self.totals: dict[str, int] = {}

    def add(self, name: str, amount: int) -> None:
        """Increase the counter of an event."""
        self.totals[name] = self.totals.get(name, 0) + amount

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield all counters as one metric, labelled by event."""
        family = CounterMetricFamily("heatheryoke_events", "Events by name.", labels=["event"])
        for name, total in sorted(self.totals.items()):
            family.add_metric([name], total)
        yield family


class Metrics:
    """Metrics in a registry of their own, so that one program can run several daemons."""

    def __init__(self, node: Node):
        self.node = node
        self.registry = CollectorRegistry()
        self.events = EventCounters()
        self.registry.register(self.events)
        self.histograms = {
            name: Histogram(
                f"heatheryoke_{name}",
                text,
                ["tenant", "request_class"],
                buckets=BUCKETS_BY_NAME.get(name, DEFAULT_BUCKETS_S),
                registry=self.registry,
            )
            for name, text in HISTOGRAM_HELP.items()
        }
        self.add_gauges()

    def add_gauges(self) -> None:
        """Add the gauges, whose values are read from the reducer at each scrape."""
        node = self.node
        self.add_gauge("epoch", "Version of the configuration in force.", lambda: node.epoch)
        self.add_gauge("suspected_hosts", "Hosts that are suspected.", self.count_suspected_hosts)
        if isinstance(node, Agent):
            self.add_gauge("flows_owned", "Flows owned.", lambda: len(node.flows))
            self.add_gauge("directory_entries", "Directory entries.", lambda: len(node.directory))
            self.add_gauge("requests_pending", "Requests open.", lambda: len(node.engine.pending))
            self.upstream_limit = Gauge(
                "heatheryoke_upstream_limit",
                "Requests that an upstream may have in progress now.",
                ["service"],
                registry=self.registry,
            )
            self.upstream_slots = Gauge(
                "heatheryoke_upstream_slots",
                "The most that the limit may become.",
                ["service"],
                registry=self.registry,
            )

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is returned by `read`."""
        Gauge(f"heatheryoke_{name}", text, registry=self.registry).set_function(read)

    def count_suspected_hosts(self) -> int:
        """Return the number of suspected hosts."""
        return len(self.node.membership.suspected_since)

    def count(self, name: str, amount: int) -> None:
        """Increase the counter of an event."""
        self.events.add(name, amount)

    def measure(self, name: str, team: str, request_class: str, value: float) -> None:
        """Record a value in a histogram."""
        self.histograms[name].labels(team, request_class).observe(value)

    def counters(self) -> dict[str, int]:
        """Return all counters by event name."""
        return dict(sorted(self.events.totals.items()))

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if isinstance(self.node, Agent):
            for service, admission in self.node.engine.admissions.items():
                self.upstream_limit.labels(service).set(admission.limit)
                self.upstream_slots.labels(service).set(admission.slots)
        return generate_latest(self.registry)
