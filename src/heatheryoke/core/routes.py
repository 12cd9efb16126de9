"""Which service a new flow goes to: addresses that callers use, and their shares."""

from typing import NamedTuple

import xxhash

from heatheryoke.core.flows import FlowKey, service_key, service_part
from heatheryoke.inventory.model import Address

__all__ = ["Route", "RouteTable", "Share"]

SHARE_SEED = 0x5A4E


class Share(NamedTuple):
    """One service that a route sends flows to, with its weight among the route's shares."""

    service: str
    weight: float


class Route(NamedTuple):
    """One address that callers use, and what is known of the requests behind it.

    `idempotent` tells that a request may be repeated; `priority` 0 comes first; `aim_s` is the
    time within which an answer is worth most, `timeout_s` when it is worth nothing.
    """

    name: str
    address: Address
    shares: tuple[Share, ...]
    idempotent: bool
    aim_s: float
    timeout_s: float
    priority: int


class RouteTable:
    """The routes of one configuration, found by a flow's address."""

    def __init__(self, version: int, routes: tuple[Route, ...]):
        self.version = version
        self.routes = {service_key(route.address): route for route in routes}
        self.least_aim_s = min((route.aim_s for route in routes), default=0.0)

    def find(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow, None if its address has none."""
        return self.routes.get(service_part(flow))

    def service_name(self, flow: FlowKey) -> str | None:
        """Return the service that a new flow goes to; every copy of its packet gets the same."""
        route = self.find(flow)
        if route is None or not route.shares:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        return _pick(route.shares, xxhash.xxh32_intdigest(flow, SHARE_SEED) / 2**32)


def _pick(shares: tuple[Share, ...], point: float) -> str | None:
    """Return the share that a point between 0 and 1 falls into."""
    total = sum(share.weight for share in shares)
    reached = 0.0
    for share in shares:
        reached += share.weight
        if point * total < reached:
            return share.service
    return None
