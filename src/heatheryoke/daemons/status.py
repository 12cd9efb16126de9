"""Status, flow explanations and metrics of a daemon, served over HTTP."""

from collections.abc import Callable
from typing import Any, TypedDict

from aiohttp import web

from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
from heatheryoke.core.flows import UDP, FlowTuple, flow_key, flow_tuple
from heatheryoke.core.node import Node
from heatheryoke.daemons.metrics import Metrics
from heatheryoke.inventory.model import Address

__all__ = ["FlowExplanation", "Status", "StatusServer", "explain_flow", "node_status"]


class UpstreamStatus(TypedDict):
    """An upstream's state as its agent records it; `since_s` is the time spent in that state."""

    service: str
    state: str
    reason: str
    since_s: float
    limit: float
    slots: int
    running: int
    queued: int
    flows: int


class Status(TypedDict):
    """The status of one process."""

    name: str
    role: str
    epoch: int
    state: str
    suspected: list[str]
    flows: int
    directory_entries: int
    hints: int
    upstreams: list[UpstreamStatus]
    counters: dict[str, int]


class FlowExplanation(TypedDict):
    """What a process knows about one flow."""

    flow: str
    service: str
    homes: list[str]
    owner: str
    known_as: str


def node_status(node: Node, counters: dict[str, int], now: float) -> Status:
    """Return the status of a process."""
    is_agent = isinstance(node, Agent)
    return Status(
        name=node.host_name,
        role="agent" if is_agent else "balancer",
        epoch=node.epoch,
        state=_state(node),
        suspected=sorted(node.membership.suspected_since),
        flows=len(node.flows) if is_agent else 0,
        directory_entries=len(node.directory) if is_agent else 0,
        hints=len(node.hints) if isinstance(node, Balancer) else 0,
        upstreams=_upstream_statuses(node, now) if is_agent else [],
        counters=counters,
    )


def _state(node: Node) -> str:
    """Return the first state that applies."""
    host = node.topology.hosts.get(node.host_name) if node.topology else None
    states = (
        (node.topology is None, "starting"),
        (node.stopping_since is not None, "stopping"),
        (node.confirming, "confirming"),
        (host is None, "not in the inventory"),
        (host is not None and host.failure_domain in node.topology.withdrawn, "withdrawn"),
    )
    for applies, name in states:
        if applies:
            return name
    return host.state.value


def _upstream_statuses(agent: Agent, now: float) -> list[UpstreamStatus]:
    return [
        UpstreamStatus(
            service=service,
            state=admission.state.value,
            reason=admission.cold_reason.value if admission.is_cold() else "",
            since_s=round(now - admission.since, 1),
            limit=round(admission.limit, 2),
            slots=admission.slots,
            running=len(admission.running),
            queued=len(admission.queue),
            flows=agent.flows.count(service),
        )
        for service, admission in sorted(agent.engine.admissions.items())
    ]


def explain_flow(node: Node, key: bytes, now: float) -> FlowExplanation:
    """Return what a process knows about a flow, including its owner and homes."""
    service = node.topology.service_of(key) if node.topology else None
    homes = node.topology.service_view(service.name).homes(key) if service else []
    owner, known_as = _find_owner(node, key, now)
    return FlowExplanation(
        flow=str(flow_tuple(key)),
        service=service.name if service else "",
        homes=[home.name for home in homes],
        owner=owner,
        known_as=known_as,
    )


def _find_owner(node: Node, key: bytes, now: float) -> tuple[str, str]:
    if isinstance(node, Balancer):
        host = node.topology.hosts_by_id.get(node.hints.get(key, 0)) if node.topology else None
        return (host.name, "hint") if host else ("", "no hint")
    owned = node.flows.flows.get(key)
    if owned is not None:
        return node.host_name, f"owned here, local port {owned.local_port}"
    entry = node.directory.find(key, now)
    if entry is None:
        return "", "unknown here"
    return entry.registration.owner, "tentative entry" if entry.tentative else "directory entry"


class StatusServer:
    """Serves `/status`, `/explain` and `/metrics`."""

    def __init__(self, node: Node, metrics: Metrics, clock: Callable[[], float]):
        self.node = node
        self.metrics = metrics
        self.clock = clock
        self.runner: web.AppRunner | None = None

    async def start(self, address: Address) -> None:
        """Start listening on an address."""
        app = web.Application()
        app.router.add_get("/status", self.on_status)
        app.router.add_get("/explain", self.on_explain)
        app.router.add_get("/metrics", self.on_metrics)
        self.runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self.runner.setup()
        await web.TCPSite(self.runner, address.ip, address.port, shutdown_timeout=0.5).start()

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def on_status(self, request: web.Request) -> web.Response:
        """Respond with the status of the process."""
        status = node_status(self.node, self.metrics.counters(), self.clock())
        return web.json_response(status)

    async def on_explain(self, request: web.Request) -> web.Response:
        """Respond with what the process knows about one flow."""
        key = read_flow(request.query)
        if key is None:
            return web.json_response(
                {"error": "query parameters source and service must be ip:port"}, status=400
            )
        return web.json_response(explain_flow(self.node, key, self.clock()))

    async def on_metrics(self, request: web.Request) -> web.Response:
        """Respond with all metrics in the Prometheus text format."""
        return web.Response(body=self.metrics.exposition(), content_type="text/plain")


def read_flow(query: Any) -> bytes | None:
    """Return the flow key for a query's `source` and `service`, None if one is invalid."""
    try:
        source = Address.parse(query.get("source", ""))
        service = Address.parse(query.get("service", ""))
    except ValueError:
        return None
    return flow_key(FlowTuple(UDP, source, service))
