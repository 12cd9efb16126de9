"""Consistency checks of a document, made before it is published or put into force."""

import socket
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import xxhash

from heatheryoke.inventory.model import Address, Document, Role

__all__ = ["Problem", "check_document", "short_id"]


class Problem(NamedTuple):
    """A reason why a document is invalid, with the row that it concerns."""

    table: str
    row: str
    reason: str

    def __str__(self) -> str:
        return f"{self.table} {self.row!r}: {self.reason}"


def short_id(name: str) -> int:
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
        *_check_apart(document),
    ]


def _check_version(document: Document) -> Iterator[Problem]:
    if document.version < 1:
        yield Problem("document", str(document.version), "version must be 1 or more")


def _repeated(values: Iterable[object]) -> list[object]:
    return [value for value, count in Counter(values).items() if count > 1]


def _check_duplicates(document: Document) -> Iterator[Problem]:
    keyed = {
        "failure domain": [domain.name for domain in document.failure_domains],
        "host": [host.name for host in document.hosts],
        "host address": [str(host.address) for host in document.hosts],
        "service": [service.name for service in document.services],
        "service address": [str(service.address) for service in document.services],
        "endpoint": [f"{row.service} on {row.host}" for row in document.endpoints],
        "endpoint address": [str(row.address) for row in document.endpoints],
    }
    for table, keys in keyed.items():
        for key in _repeated(keys):
            yield Problem(table, str(key), "is listed more than once")
    for table in ("host", "service"):
        if len({short_id(name) for name in keyed[table]}) < len(set(keyed[table])):
            yield Problem(table, "*", "two names share one short id; rename one")


def _check_references(document: Document) -> Iterator[Problem]:
    domains = {domain.name for domain in document.failure_domains}
    roles = {host.name: host.role for host in document.hosts}
    services = {service.name for service in document.services}
    for host in document.hosts:
        if host.failure_domain not in domains:
            yield Problem("host", host.name, f"unknown failure domain {host.failure_domain!r}")
    for row in document.endpoints:
        label = f"{row.service} on {row.host}"
        if row.service not in services:
            yield Problem("endpoint", label, f"unknown service {row.service!r}")
        if row.host not in roles:
            yield Problem("endpoint", label, f"unknown host {row.host!r}")
        elif roles[row.host] is not Role.AGENT:
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
        except OSError:
            yield Problem(table, name, f"{address.ip!r} is not an IPv4 address")
        if not 0 < address.port < 65_536:
            yield Problem(table, name, f"port {address.port} is not between 1 and 65535")


def _check_limits(document: Document) -> Iterator[Problem]:
    for row in document.endpoints:
        label = f"{row.service} on {row.host}"
        if row.slots < 1:
            yield Problem("endpoint", label, f"slots must be 1 or more, not {row.slots}")
        if row.connections < 1:
            yield Problem("endpoint", label, f"connections must be 1 or more: {row.connections}")
        if not 0 < row.weight <= 100:
            yield Problem("endpoint", label, f"weight must be above 0, at most 100: {row.weight}")
    for service in document.services:
        if not 0 < service.floor <= 1_000:
            yield Problem("service", service.name, f"floor must be above 0: {service.floor}")
        if service.warm_answers < 1:
            yield Problem("service", service.name, f"warm_answers below 1: {service.warm_answers}")
        if service.idle_s <= 0:
            yield Problem("service", service.name, f"idle_s must be above 0: {service.idle_s}")
        for name, weight in service.class_weights.items():
            if weight <= 0:
                yield Problem("service", service.name, f"weight of {name!r} must be above 0")


def _check_apart(document: Document) -> Iterator[Problem]:
    hosted: dict[str, set[str]] = {}
    for row in document.endpoints:
        hosted.setdefault(row.host, set()).add(row.service)
    for service in filter(lambda row: row.apart_from, document.services):
        for host, present in hosted.items():
            shared = present.intersection(service.apart_from)
            if service.name in present and shared:
                other = sorted(shared)[0]
                yield Problem("service", service.name, f"may not share {host!r} with {other!r}")
