"""The topologies in force during the lifetime of a claim, with their homes and witnesses."""

from functools import partial
from math import inf

from returns.result import Success

from heatheryoke.core.claims import WitnessSets
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import FormerTopology
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.changes import apply_change, decode_change, encode_change, make_change
from heatheryoke.inventory.model import Host

__all__ = ["TopologyHistory"]


class SupersededTopology:
    """A topology in force until `until`; `change` derives it from its successor."""

    __slots__ = ("change", "topology", "until")

    def __init__(self, topology: Topology, until: float, change: bytes = b""):
        self.topology = topology
        self.until = until
        self.change = change


class TopologyHistory:
    """Keeps superseded topologies for `retention_s`."""

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.current: Topology | None = None
        self.superseded: list[SupersededTopology] = []
        self.known_since = 0.0
        self.is_first_start = False

    def set_current(self, topology: Topology, now: float) -> None:
        """Bring a topology into force."""
        if self.current is None:
            self.known_since = -inf if self.is_first_start else now
        else:
            self.superseded.append(SupersededTopology(self.current, now))
        self.current = topology
        self.superseded = [
            former for former in self.superseded if now - former.until < self.retention_s
        ]

    def previous(self, now: float, within_s: float) -> Topology | None:
        """Return the topology that was in force `within_s` ago, or None if it still is."""
        for former in self.superseded:
            if now - former.until < within_s:
                return former.topology
        return None

    def former_homes(self, service: str, flow: FlowKey, now: float, within_s: float) -> list[Host]:
        """Return a flow's homes of `within_s` ago, or none if its first home is the same."""
        previous = self.previous(now, within_s)
        if previous is None or service not in previous.services:
            return []
        former_homes = previous.service_view(service).homes(flow)
        current_homes = self.current.service_view(service).homes(flow)
        return former_homes if former_homes[:1] != current_homes[:1] else []

    def find_host(self, name: str) -> Host | None:
        """Return a host from the newest topology that contains it, or None."""
        for topology in (self.current, *(former.topology for former in reversed(self.superseded))):
            if name in topology.hosts:
                return topology.hosts[name]
        return None

    def records(self, now: float) -> tuple[FormerTopology, ...]:
        """Return the superseded documents, newest first, each as a change from its successor."""
        records: list[FormerTopology] = []
        successor = self.current.document
        for former in reversed(self.superseded):
            if now - former.until >= self.retention_s:
                break
            if not former.change:
                former.change = encode_change(make_change(successor, former.topology.document))
            records.append(FormerTopology(now - former.until, former.change))
            successor = former.topology.document
        return tuple(records)

    def adopt(self, records: tuple[FormerTopology, ...], now: float) -> bool:
        """Adopt the history of a peer at the same version; return whether it was valid."""
        adopted: list[SupersededTopology] = []
        successor = self.current.document
        for record in records:
            result = decode_change(record.change).bind(partial(apply_change, successor))
            if not isinstance(result, Success):
                return False
            successor = result.unwrap()
            adopted.insert(
                0, SupersededTopology(Topology(successor), now - record.age_s, record.change)
            )
        self.superseded = adopted
        self.known_since = -inf
        return True

    def is_complete(self, now: float) -> bool:
        """Return whether every topology in force during the last `retention_s` is known."""
        return now - self.known_since >= self.retention_s

    def witness_sets(self, service: str, request_id: bytes, now: float) -> WitnessSets:
        """Return the witness sets of a request id in all known, unexpired topologies."""
        topologies = [
            former.topology for former in self.superseded if now - former.until < self.retention_s
        ]
        sets = [
            self.witnesses(topology, service, request_id)
            for topology in (self.current, *topologies)
        ]
        return WitnessSets(list(dict.fromkeys(filter(None, sets))), self.is_complete(now))

    @staticmethod
    def witnesses(topology: Topology, service: str, request_id: bytes) -> frozenset[str]:
        """Return the names of a request id's witnesses in a topology."""
        if service not in topology.services:
            return frozenset()
        return frozenset(host.name for host in topology.service_view(service).witnesses(request_id))
