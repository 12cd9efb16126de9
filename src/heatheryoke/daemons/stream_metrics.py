"""Metrics of a process of byte streams, for Prometheus; loaded at the first scrape."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from heatheryoke.core.store_node import StoreNode

__all__ = ["exposition"]


class NodeCollector(Collector):
    """Reads a reducer and its counters."""

    def __init__(self, node: StoreNode, counters: dict[str, int]):
        self.node = node
        self.counters = counters

    def collect(self) -> Iterator[Metric]:
        """Return every metric."""
        events = CounterMetricFamily("heatheryoke_events", "Events by name.", labels=["event"])
        for name, total in sorted(self.counters.items()):
            events.add_metric([name], total)
        yield events
        epoch = self.node.epoch
        yield GaugeMetricFamily("heatheryoke_epoch", "Configuration in force.", value=epoch)


def exposition(node: StoreNode, counters: dict[str, int]) -> bytes:
    """Return the text that Prometheus reads."""
    registry = CollectorRegistry()
    registry.register(NodeCollector(node, counters))
    return generate_latest(registry)
