"""Prometheus metrics of a byte-stream daemon; imported at the first scrape."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from heatheryoke.core.store_node import StoreNode
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.daemons.stream_record import StreamRecord

__all__ = ["exposition"]

# Routes whose recent work is shown, as many as histograms are kept for.
MAXIMUM_KINDS = 64
HISTOGRAM_HELP = {
    "wait_seconds": "Time from a new flow's arrival at its agent to its first packet's delivery.",
    "service_seconds": "Time from a request's arrival at its agent to the first of its answer.",
    "queue_at_arrival": "New flows that waited when one was begun.",
}


class NodeCollector(Collector):
    """Collects the metrics of a reducer and the records of its process."""

    def __init__(self, node: StoreNode, record: StreamRecord):
        self.node = node
        self.record = record

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        events = CounterMetricFamily("heatheryoke_events", "Events by name.", labels=["event"])
        for name, total in sorted(self.record.counters.items()):
            events.add_metric([name], total)
        yield events
        yield from self.gauges()
        for name, text in HISTOGRAM_HELP.items():
            family = HistogramMetricFamily(
                f"heatheryoke_{name}", text, labels=["tenant", "request_class"]
            )
            for key, histogram in sorted(self.record.histograms.items()):
                if key[0] == name:
                    family.add_metric(list(key[1:]), histogram.cumulative(), histogram.total)
            yield family

    def gauges(self) -> Iterator[Metric]:
        """Yield the gauges, read from the reducer."""
        node = self.node
        gauges = [
            ("epoch", "Configuration in force.", node.epoch),
            ("store_era", "Era of the store that the view is of.", node.view.complete_to.era),
            (
                "view_revision",
                "Revision up to which the view has every change.",
                node.view.complete_to.revision,
            ),
            ("view_age_seconds", "Time since the view was last confirmed.", self.view_age_s()),
            ("newest_peer_epoch", "Newest configuration of any peer.", node.catch_up.newest_epoch),
        ]
        if isinstance(node, StreamAgent):
            gauges += [
                ("flows_owned", "Flows owned.", len(node.flows)),
                ("directory_entries", "Directory entries.", len(node.directory)),
                ("requests_pending", "Requests in progress.", len(node.in_progress)),
                ("flows_waiting", "New flows that wait for room.", len(node.queue)),
            ]
        for name, text, value in gauges:
            yield GaugeMetricFamily(f"heatheryoke_{name}", text, value=value)
        if isinstance(node, StreamAgent):
            yield self.condition(node)
            yield self.recent_work(node)

    def view_age_s(self) -> float:
        """Return the age of the view at the latest event, infinite before the first view."""
        return (self.node.last_event or 0.0) - self.node.view.last_answer_at

    @staticmethod
    def condition(node: StreamAgent) -> Metric:
        """Return the upstream's condition: the slowness of the one that it is in."""
        text = "How many times as long as usual the upstream takes, by its condition."
        family = GaugeMetricFamily("heatheryoke_upstream_slowness", text, labels=["condition"])
        family.add_metric([node.monitor.condition_name()], node.monitor.slowness())
        return family

    @staticmethod
    def recent_work(node: StreamAgent) -> Metric:
        """Return the work of the last second by route, for the first `MAXIMUM_KINDS` routes."""
        text = "Recent work by route, in seconds of one slot."
        family = GaugeMetricFamily("heatheryoke_recent_work", text, labels=["request_class"])
        if node.shares is not None and node.last_event is not None:
            for kind in sorted(node.shares.kinds)[:MAXIMUM_KINDS]:
                family.add_metric([kind], node.shares.recent_work(kind, node.last_event))
        return family


def exposition(node: StoreNode, record: StreamRecord) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(NodeCollector(node, record))
    return generate_latest(registry)
