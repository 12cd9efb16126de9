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


class Superseded:
    """A topology in force until `until`; `change` derives it from its successor."""

    __slots__ = ("change", "topology", "until")

    def __init__(self, topology: Topology, until: float, change: bytes = b""):
        self.topology = topology
        self.until = until
        self.change = change


class TopologyHistory:
    """Keeps superseded topologies for `keep_s`."""

    def __init__(self, keep_s: float):
        self.keep_s = keep_s
        self.current: Topology | None = None
        self.superseded: list[Superseded] = []
        self.began = 0.0
        self.is_first_start = False

    def use(self, topology: Topology, now: float) -> None:
        """Bring a topology into force."""
        if self.current is None:
            self.began = -inf if self.is_first_start else now
        else:
            self.superseded.append(Superseded(self.current, now))
        self.current = topology
        self.superseded = [row for row in self.superseded if now - row.until < self.keep_s]

    def previous(self, now: float, within_s: float) -> Topology | None:
        """Return the topology that was in force `within_s` ago, or None if it still is."""
        for row in self.superseded:
            if now - row.until < within_s:
                return row.topology
        return None

    def former_homes(self, service: str, flow: FlowKey, now: float, within_s: float) -> list[Host]:
        """Return a flow's homes of `within_s` ago, or none if its first home is the same."""
        previous = self.previous(now, within_s)
        if previous is None or service not in previous.services:
            return []
        former = previous.view(service).homes(flow)
        present = self.current.view(service).homes(flow)
        return former if former[:1] != present[:1] else []

    def find_host(self, name: str) -> Host | None:
        """Return a host from the newest topology that contains it, or None."""
        for topology in (self.current, *(row.topology for row in reversed(self.superseded))):
            if name in topology.hosts:
                return topology.hosts[name]
        return None

    def records(self, now: float) -> tuple[FormerTopology, ...]:
        """Return the superseded documents, newest first, each as a change from its successor."""
        rows: list[FormerTopology] = []
        following = self.current.document
        for row in reversed(self.superseded):
            if now - row.until >= self.keep_s:
                break
            if not row.change:
                row.change = encode_change(make_change(following, row.topology.document))
            rows.append(FormerTopology(now - row.until, row.change))
            following = row.topology.document
        return tuple(rows)

    def adopt(self, records: tuple[FormerTopology, ...], now: float) -> bool:
        """Adopt the history of a peer at the same version; return whether it was valid."""
        adopted: list[Superseded] = []
        following = self.current.document
        for record in records:
            read = decode_change(record.change).bind(partial(apply_change, following))
            if not isinstance(read, Success):
                return False
            following = read.unwrap()
            adopted.insert(0, Superseded(Topology(following), now - record.age_s, record.change))
        self.superseded = adopted
        self.began = -inf
        return True

    def is_complete(self, now: float) -> bool:
        """Return whether every topology in force during the last `keep_s` is known."""
        return now - self.began >= self.keep_s

    def witness_sets(self, service: str, request_id: bytes, now: float) -> WitnessSets:
        """Return the witness sets of a request id in all known topologies of the last `keep_s`."""
        topologies = [row.topology for row in self.superseded if now - row.until < self.keep_s]
        sets = [self.witnesses(each, service, request_id) for each in (self.current, *topologies)]
        return WitnessSets(list(dict.fromkeys(filter(None, sets))), self.is_complete(now))

    @staticmethod
    def witnesses(topology: Topology, service: str, request_id: bytes) -> frozenset[str]:
        """Return the names of a request id's witnesses in a topology."""
        if service not in topology.services:
            return frozenset()
        return frozenset(host.name for host in topology.view(service).witnesses(request_id))
