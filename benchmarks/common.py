"""Functions shared by the benchmarks."""

import json
import sys
import time
from collections.abc import Callable
from itertools import count

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

__all__ = ["fleet_document", "per_call_us", "report"]


def report(name: str, **values: object) -> None:
    """Print one result as a line of JSON."""
    sys.stdout.write(json.dumps({"benchmark": name, **values}) + "\n")
    sys.stdout.flush()


def per_call_us(call: Callable[[], object], calls: int = 2_000, rounds: int = 5) -> float:
    """Return the mean time of a call in microseconds, from the fastest of several rounds."""
    best = float("inf")
    for _ in range(rounds):
        began = time.perf_counter()
        for _ in range(calls):
            call()
        best = min(best, time.perf_counter() - began)
    return round(best / calls * 1e6, 3)


def fleet_document(endpoints: int, balancers: int, services: int, domains: int = 11) -> Document:
    """Return the document of a whole fleet, with each endpoint on a host of its own."""
    numbers = count(1)

    def address() -> Address:
        number = next(numbers)
        return Address(f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 5_683)

    failure_domains = tuple(FailureDomain(f"domain-{n}", f"region-{n % 4}") for n in range(domains))
    agent_hosts = tuple(
        Host(f"upstream-{n}", Role.AGENT, f"domain-{n % domains}", address())
        for n in range(endpoints)
    )
    balancer_hosts = tuple(
        Host(f"balancer-{n}", Role.BALANCER, f"domain-{n % domains}", address())
        for n in range(balancers)
    )
    service_entries = tuple(
        Service(f"service-{n}", address(), f"team-{n % 20}", Protocol.COAP) for n in range(services)
    )
    endpoint_entries = tuple(
        Endpoint(f"service-{n % services}", f"upstream-{n}", address(), 4, 2_000)
        for n in range(endpoints)
    )
    return Document(
        1, failure_domains, (*balancer_hosts, *agent_hosts), service_entries, endpoint_entries
    )
