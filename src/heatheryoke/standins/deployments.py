"""The two deployments in use, as inventory documents for tests, measurements and the demo."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from heatheryoke.inventory.model import (
    Address,
    Document,
    Endpoint,
    FailureDomain,
    Host,
    Protocol,
    Role,
    Service,
)

__all__ = ["DEPLOYMENTS", "Deployment", "make_document"]


class Deployment(NamedTuple):
    """Size and names of a deployment; `sheet_service` serves sheets, `main_service` the rest."""

    name: str
    team: str
    main_service: str
    sheet_service: str
    feed_path: str
    write_path: str
    sheet_path: str
    slots: int
    write_weight: float
    connections: int = 2_000
    main_endpoints: int = 7
    sheet_endpoints: int = 3
    failure_domains: int = 3
    balancers: int = 3


DEPLOYMENTS = {
    "sundarban": Deployment(
        "sundarban",
        "sundarban",
        "fitters",
        "showroom",
        "feed",
        "measurements",
        "sheets",
        slots=4,
        write_weight=1.0,
    ),
    "sangam": Deployment(
        "sangam",
        "sangam",
        "feeds-and-holds",
        "programmes",
        "feeds",
        "holds",
        "programmes",
        slots=1,
        write_weight=2.0,
    ),
}


def make_document(deployment: Deployment, addresses: Callable[[], Address]) -> Document:
    """Return a deployment's document at version 1; `addresses` returns a new address per call."""
    domains = tuple(
        FailureDomain(f"domain-{number}", "region-1")
        for number in range(1, deployment.failure_domains + 1)
    )
    hosts = tuple(_hosts(deployment, addresses))
    services = (
        Service(
            deployment.main_service,
            addresses(),
            deployment.team,
            Protocol.COAP,
            class_weights={deployment.write_path: deployment.write_weight},
            apart_from=(deployment.sheet_service,),
        ),
        Service(deployment.sheet_service, addresses(), deployment.team, Protocol.COAP),
    )
    agents = [host for host in hosts if host.role is Role.AGENT]
    endpoints = tuple(
        Endpoint(
            (
                deployment.main_service
                if index < deployment.main_endpoints
                else deployment.sheet_service
            ),
            host.name,
            addresses(),
            deployment.slots,
            deployment.connections,
        )
        for index, host in enumerate(agents)
    )
    return Document(1, domains, hosts, services, endpoints)


def _hosts(deployment: Deployment, addresses: Callable[[], Address]) -> Iterator[Host]:
    for index in range(deployment.balancers):
        domain = f"domain-{index % deployment.failure_domains + 1}"
        yield Host(f"balancer-{index + 1}", Role.BALANCER, domain, addresses())
    for index in range(deployment.main_endpoints + deployment.sheet_endpoints):
        domain = f"domain-{index % deployment.failure_domains + 1}"
        yield Host(f"upstream-{index + 1}", Role.AGENT, domain, addresses())
