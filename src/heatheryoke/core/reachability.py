"""Which hosts and failure domains this process can reach now.

Load pattern: two failure domains are cut off from each other, in one direction or in both, while
callers reach all of them. A packet sent across the cut is lost without a sign, and so are its
copies if they take the same way. So a first packet is acknowledged by the host that it is sent to,
and so is a ping where there are no first packets. Only acknowledgements count: a packet received
from a host shows nothing about the way to it.

A verdict only changes the way that packets take. A host out of reach keeps its flows.

Verdicts are in force only while at least half of the hosts tried have ever answered: in a rolling
upgrade from a release that acknowledges nothing, silence says nothing about the way.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heatheryoke.inventory.model import Address, Host

__all__ = ["ACKNOWLEDGEMENT_TIMEOUT_S", "HOST_VERDICT_S", "LinkChange", "Reachability"]

# Three times the longest round trip between failure domains of one region (25 ms), to allow for a
# receiver that waits for its processor quota.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.08
# How long a silent host is avoided before it is tried again.
HOST_VERDICT_S = 1.0
# Hosts of a failure domain that must all be silent, without an acknowledgement from any other,
# before the domain is taken as out of reach: one may have been stopped.
SILENT_HOSTS = 2
# A gap between two checks above this is a delay of this process itself: two ticks (0.1 s).
MAXIMUM_CHECK_GAP_S = 0.2


class LinkChange(NamedTuple):
    """A change of the verdict on a failure domain, with the hosts that it rests on."""

    failure_domain: str
    is_reachable: bool
    since: float
    silent_hosts: tuple[str, ...]


class Reachability:
    """Verdicts on the ways from this process to each host and failure domain."""

    def __init__(self):
        self.awaiting: dict[Address, float] = {}
        self.silent_until: dict[Address, float] = {}
        self.silent_since: dict[Address, float] = {}
        self.silent_hosts: dict[str, set[str]] = {}
        self.unreachable_since: dict[str, float] = {}
        self.acknowledged_at: dict[str, float] = {}
        self.answered: set[Address] = set()
        self.never_answered: set[Address] = set()
        self.checked_at = 0.0

    def is_in_force(self) -> bool:
        """Return whether enough hosts acknowledge what they are sent for silence to mean much."""
        return len(self.answered) > 0 and len(self.answered) >= len(self.never_answered)

    def is_reachable(self, host: Host, now: float) -> bool:
        """Return whether packets should be sent to a host."""
        if not self.silent_until and not self.unreachable_since:
            return True
        if not self.is_in_force():
            return True
        if host.failure_domain in self.unreachable_since:
            return False
        return self.silent_until.get(host.address, now) <= now

    def silent_for(self, host: Host, now: float) -> float:
        """Return how long a host has acknowledged nothing of what it was sent, 0 if it does."""
        since = self.silent_since.get(host.address)
        return 0.0 if since is None or not self.is_in_force() else now - since

    def is_domain_reachable(self, failure_domain: str) -> bool:
        """Return whether packets should be sent to a failure domain directly."""
        return failure_domain not in self.unreachable_since or not self.is_in_force()

    def on_sent(self, host: Host, now: float) -> None:
        """Record that a host was sent something that it acknowledges."""
        self.awaiting.setdefault(host.address, now)

    def on_acknowledged(self, host: Host, now: float) -> LinkChange | None:
        """Record an acknowledgement; return the change if its domain was out of reach."""
        domain = host.failure_domain
        self.answered.add(host.address)
        self.never_answered.discard(host.address)
        self.awaiting.pop(host.address, None)
        self.silent_until.pop(host.address, None)
        self.silent_since.pop(host.address, None)
        self.silent_hosts.pop(domain, None)
        self.acknowledged_at[domain] = now
        since = self.unreachable_since.pop(domain, None)
        return None if since is None else LinkChange(domain, True, since, ())

    def check(
        self, hosts: Mapping[Address, Host], sizes: Mapping[str, int], now: float
    ) -> list[LinkChange]:
        """Judge the hosts whose acknowledgement is overdue; return the domains now out of reach.

        `sizes` gives the number of hosts in each failure domain.
        """
        self.allow_for_own_delay(now)
        overdue = [
            address
            for address, sent_at in self.awaiting.items()
            if now - sent_at >= ACKNOWLEDGEMENT_TIMEOUT_S
        ]
        changes: list[LinkChange] = []
        for address in overdue:
            sent_at = self.awaiting.pop(address)
            host = hosts.get(address)
            if host is not None:
                changes += self.on_silent(host, sizes.get(host.failure_domain, 1), sent_at, now)
        return changes

    def on_silent(self, host: Host, size: int, sent_at: float, now: float) -> list[LinkChange]:
        """Avoid a silent host; return the change if its failure domain is now out of reach."""
        self.silent_until[host.address] = now + HOST_VERDICT_S
        self.silent_since.setdefault(host.address, sent_at)
        if host.address not in self.answered:
            self.never_answered.add(host.address)
        domain = host.failure_domain
        silent = self.silent_hosts.setdefault(domain, set())
        silent.add(host.name)
        if len(silent) < min(SILENT_HOSTS, size) or domain in self.unreachable_since:
            return []
        self.unreachable_since[domain] = sent_at
        return [LinkChange(domain, False, sent_at, tuple(sorted(silent)))]

    def allow_for_own_delay(self, now: float) -> None:
        """Extend all time-outs by a delay of this process, whose queue may hold the answers."""
        if self.was_delayed(now):
            self.awaiting = dict.fromkeys(self.awaiting, now)
        self.checked_at = now

    def was_delayed(self, now: float) -> bool:
        """Return whether this process has not checked for longer than its ticks explain."""
        return now - self.checked_at > MAXIMUM_CHECK_GAP_S

    def needs_ping(self, failure_domain: str, interval_s: float, now: float) -> bool:
        """Return whether a domain is out of reach, in doubt, or was not heard of for a time."""
        if failure_domain in self.unreachable_since or failure_domain in self.silent_hosts:
            return True
        return now - self.acknowledged_at.get(failure_domain, -interval_s) >= interval_s

    def retain(self, hosts: Iterable[Host]) -> None:
        """Forget the hosts and failure domains that are not in the view any more."""
        addresses = {host.address for host in hosts}
        domains = {host.failure_domain for host in hosts}
        for by_address in (self.awaiting, self.silent_until, self.silent_since):
            for address in by_address.keys() - addresses:
                del by_address[address]
        self.answered &= addresses
        self.never_answered &= addresses
        for by_domain in (self.silent_hosts, self.unreachable_since, self.acknowledged_at):
            for domain in by_domain.keys() - domains:
                del by_domain[domain]
