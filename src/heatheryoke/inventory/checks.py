"""Consistency checks of a document, made before it is published or put into force."""

import socket
from collections import Counter
from collections.abc import Iterable, Iterator
from math import inf
from typing import NamedTuple

import xxhash

from heatheryoke.inventory.model import Address, Document, Role

__all__ = ["Problem", "check_document", "name_hash"]


class Problem(NamedTuple):
    """A reason why a document is invalid, with the row that it concerns."""

    table: str
    row: str
    reason: str

    def __str__(self) -> str:
        return f"{self.table} {self.row!r}: {self.reason}"


def name_hash(name: str) -> int:
    """Return the 64-bit hash that identifies a name in packets."""
    return xxhash.xxh3_64_intdigest(name.encode())


def check_document(document: Document) -> list[Problem]:
    """Return every problem found; the list is empty if the document is valid."""
    return [
        *_check_version(document),
        *_check_duplicates(document),
        *_check_references(document),
        *_check_addresses(document),
        *_check_limits(document),
        *_check_separation(document),
    ]


def _check_version(document: Document) -> Iterator[Problem]:
    if document.version < 1:
        yield Problem("document", str(document.version), "version must be 1 or more")


def _duplicates(values: Iterable[object]) -> list[object]:
    return [value for value, count in Counter(values).items() if count > 1]


def _check_duplicates(document: Document) -> Iterator[Problem]:
    keys_by_table = {
        "failure domain": [domain.name for domain in document.failure_domains],
        "host": [host.name for host in document.hosts],
        "host address": [str(host.address) for host in document.hosts],
        "service": [service.name for service in document.services],
        "service address": [str(service.address) for service in document.services],
        "endpoint": [f"{row.service} on {row.host}" for row in document.endpoints],
        "endpoint address": [str(row.address) for row in document.endpoints],
    }
    for table, keys in keys_by_table.items():
        for key in _duplicates(keys):
            yield Problem(table, str(key), "is listed more than once")
    for table in ("host", "service"):
        if len({name_hash(name) for name in keys_by_table[table]}) < len(set(keys_by_table[table])):
            yield Problem(table, "*", "two names have the same 64-bit hash; rename one")


def _check_references(document: Document) -> Iterator[Problem]:
    domains = {domain.name for domain in document.failure_domains}
    roles = {host.name: host.role for host in document.hosts}
    services = {service.name for service in document.services}
    for host in document.hosts:
        if host.failure_domain not in domains:
            yield Problem("host", host.name, f"unknown failure domain {host.failure_domain!r}")
    for endpoint in document.endpoints:
        label = f"{endpoint.service} on {endpoint.host}"
        if endpoint.service not in services:
            yield Problem("endpoint", label, f"unknown service {endpoint.service!r}")
        if endpoint.host not in roles:
            yield Problem("endpoint", label, f"unknown host {endpoint.host!r}")
        elif roles[endpoint.host] is not Role.AGENT:
            yield Problem("endpoint", label, "the host runs no agent")
    for service in document.services:
        for other in service.apart_from:
            if other not in services:
                yield Problem("service", service.name, f"apart from unknown service {other!r}")


def _check_addresses(document: Document) -> Iterator[Problem]:
    rows: list[tuple[str, str, Address]] = [
        *(("host", host.name, host.address) for host in document.hosts),
        *(("service", service.name, service.address) for service in document.services),
        *(("endpoint", f"{row.service} on {row.host}", row.address) for row in document.endpoints),
    ]
    for table, name, address in rows:
        try:
            socket.inet_pton(socket.AF_INET, address.ip)
        except (OSError, ValueError):  # the latter for an address with a zero character
            yield Problem(table, name, f"{address.ip!r} is not an IPv4 address")
        if not 0 < address.port < 65_536:
            yield Problem(table, name, f"port {address.port} is not between 1 and 65535")


def _check_limits(document: Document) -> Iterator[Problem]:
    for endpoint in document.endpoints:
        label = f"{endpoint.service} on {endpoint.host}"
        if endpoint.slots < 1:
            yield Problem("endpoint", label, f"slots must be 1 or more, not {endpoint.slots}")
        if endpoint.connections < 1:
            yield Problem(
                "endpoint", label, f"connections must be 1 or more: {endpoint.connections}"
            )
        if not 0 < endpoint.weight <= 100:
            yield Problem(
                "endpoint", label, f"weight must be above 0, at most 100: {endpoint.weight}"
            )
    for service in document.services:
        if not 0 < service.floor <= 1_000:
            yield Problem("service", service.name, f"floor must be above 0: {service.floor}")
        if service.warm_answers < 1:
            yield Problem("service", service.name, f"warm_answers below 1: {service.warm_answers}")
        if not 0 < service.idle_s < inf:
            reason = f"idle_s must be positive and finite: {service.idle_s}"
            yield Problem("service", service.name, reason)
        for name, weight in service.class_weights.items():
            if not 0 < weight < inf:
                reason = f"weight of {name!r} must be positive and finite: {weight}"
                yield Problem("service", service.name, reason)


def _check_separation(document: Document) -> Iterator[Problem]:
    services_by_host: dict[str, set[str]] = {}
    for endpoint in document.endpoints:
        services_by_host.setdefault(endpoint.host, set()).add(endpoint.service)
    for service in filter(lambda candidate: candidate.apart_from, document.services):
        for host, services in services_by_host.items():
            conflicts = services.intersection(service.apart_from)
            if service.name in services and conflicts:
                other = sorted(conflicts)[0]
                yield Problem("service", service.name, f"must not share {host!r} with {other!r}")
