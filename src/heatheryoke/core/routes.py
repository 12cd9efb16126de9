"""Routes: the service of a new flow, chosen by its address and by weighted shares."""

from typing import NamedTuple

import xxhash

from heatheryoke.core.flows import FlowKey, service_key, service_part
from heatheryoke.inventory.model import Address

__all__ = ["Route", "RouteTable", "Share", "describe_changes"]

SHARE_SEED = 0x5A4E
# Limits the length of a log line on a configuration with many changes.
MAXIMUM_DESCRIBED = 8


class Share(NamedTuple):
    """A service that a route sends flows to, with its weight among the route's shares."""

    service: str
    weight: float


class Route(NamedTuple):
    """An address that callers use, and the properties of the requests sent to it.

    `idempotent` means that a request may be repeated; `priority` 0 is the highest. An answer has
    its full value within `target_latency_s`, and none after `timeout_s`.
    """

    name: str
    address: Address
    shares: tuple[Share, ...]
    idempotent: bool
    target_latency_s: float
    timeout_s: float
    priority: int


class RouteTable:
    """The routes of one configuration, indexed by address."""

    def __init__(self, version: int, routes: tuple[Route, ...]):
        self.version = version
        self.routes = {service_key(route.address): route for route in routes}
        self.minimum_target_latency_s = min(
            (route.target_latency_s for route in routes), default=0.0
        )

    def find(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow, None if its address has none."""
        return self.routes.get(service_part(flow))

    def service_name(self, flow: FlowKey) -> str | None:
        """Return the service of a new flow; every copy of its first packet gets the same one."""
        route = self.find(flow)
        if route is None or not route.shares:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        return _choose_service(route.shares, xxhash.xxh32_intdigest(flow, SHARE_SEED) / 2**32)


def _choose_service(shares: tuple[Share, ...], point: float) -> str | None:
    """Return the service whose share contains a point between 0 and 1."""
    total_weight = sum(share.weight for share in shares)
    cumulative_weight = 0.0
    for share in shares:
        cumulative_weight += share.weight
        if point * total_weight < cumulative_weight:
            return share.service
    return None


def describe_changes(former: RouteTable | None, current: RouteTable) -> str:
    """Return which addresses a configuration added, removed or sent elsewhere, for a log line."""
    before = former.routes if former else {}
    after = current.routes
    kept = before.keys() & after.keys()
    changes = {
        "added": after.keys() - before.keys(),
        "removed": before.keys() - after.keys(),
        "moved": {key for key in kept if before[key].shares != after[key].shares},
    }
    addresses = {**before, **after}
    return ", ".join(
        f"{name} {_describe_addresses([addresses[key].address for key in keys])}"
        for name, keys in changes.items()
    )


def _describe_addresses(addresses: list[Address]) -> str:
    """Return a list of addresses, shortened to a number beyond `MAXIMUM_DESCRIBED`."""
    if len(addresses) > MAXIMUM_DESCRIBED:
        return f"{len(addresses)} routes"
    return " ".join(sorted(map(str, addresses))) or "none"
