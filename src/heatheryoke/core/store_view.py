"""A process's view of the deployment, built from the items of the platform's store.

An item is replaced only by one of a later position, and a configuration only by one of a later
version. An upstream whose entry disappears during a store outage or shortly after it is kept for
a grace period, since the entry may have expired although the upstream is alive. After the store
has returned from an older copy, what the view knows better stays in force for a time.
"""

from math import inf

from heatheryoke.core.effects import Fault
from heatheryoke.core.overwritten_entries import OverwrittenEntries
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routed_topology import RoutedTopology
from heatheryoke.core.routes import RouteTable
from heatheryoke.core.service_names import ServiceNames
from heatheryoke.core.store_return import (
    PERMIT_GRACE_S,
    RESTRICT_GRACE_S,
    DeferredItems,
    Departures,
)
from heatheryoke.core.topology import NO_SERVICE_ADDRESS
from heatheryoke.inventory.model import (
    Address,
    Document,
    Endpoint,
    FailureDomain,
    Host,
    HostState,
    Role,
    Service,
)

__all__ = ["EXPIRY_GRACE_S", "StoreView"]

# Entries that expired during a store outage are back as soon as those that a return has lost.
EXPIRY_GRACE_S = PERMIT_GRACE_S
# Time without a disturbance after which the view contains every live upstream: the grace period
# plus three heartbeats of the slowest known platform (1.2 s each).
SETTLED_S = 6.0
# Flow limit of an upstream whose service is not in the configuration.
DEFAULT_CONNECTIONS = 1_000


class StoreView:
    """Store items by subject and name, and the topology derived from them."""

    def __init__(self, peer_port: int):
        self.peer_port = peer_port
        self.endpoints: dict[str, EndpointRecord] = {}
        self.positions: dict[tuple[Subject, str], Position] = {}
        self.withdrawn: set[str] = set()
        self.returned_at: dict[str, float] = {}
        self.cold_until: dict[str, float] = {}
        self.expired: dict[str, EndpointRecord] = {}
        self.configuration: ConfigurationRecord | None = None
        self.route_table: RouteTable | None = None
        self.limits: dict[str, ServiceRecord] = {}
        self.service_names = ServiceNames()
        self.position = Position()
        self.complete_to = Position()
        self.deferred = DeferredItems()
        self.departures = Departures()
        self.overwritten = OverwrittenEntries()
        self.faults: list[Fault] = []
        self.returned_from_copy_at = -inf
        self.unavailable_since: float | None = None
        self.available_since = -inf
        self.first_read_at = inf
        self.last_answer_at = -inf
        self.last_removed_at = -inf

    def note_available(self, now: float) -> bool:
        """Record that the store has answered; return whether it had been unavailable."""
        self.last_answer_at = now
        if self.unavailable_since is None:
            return False
        self.unavailable_since = None
        self.available_since = now
        return True

    def note_unavailable(self, now: float) -> bool:
        """Record a failed call; return whether the store had been available until then."""
        if self.unavailable_since is not None:
            return False
        self.unavailable_since = now
        return True

    def is_settled(self, now: float) -> bool:
        """Return whether the store was undisturbed long enough to list every live upstream."""
        undisturbed_since = max(
            self.first_read_at,
            self.available_since,
            self.last_removed_at,
            self.returned_from_copy_at,
        )
        return self.unavailable_since is None and now - undisturbed_since > SETTLED_S

    def note_complete(self, position: Position) -> None:
        """Record that every change up to a position has been applied."""
        self.complete_to = max(self.complete_to, position)

    def position_of(self, item: StoreItem) -> Position:
        """Return the position of the change that is held of an item."""
        return self.positions.get((item.subject, item.name), Position())

    def is_returned(self, position: Position) -> bool:
        """Return whether the store was in an older era when this view was last complete."""
        return position.era > self.complete_to.era and self.first_read_at < inf

    def replace(self, items: tuple[StoreItem, ...], position: Position, now: float) -> bool:
        """Apply a complete read as of a position; return whether the topology changes.

        What the read lacks is removed, unless a later change of it is held from a peer.
        """
        is_returned = self.is_returned(position)
        self.first_read_at = min(self.first_read_at, now)
        items = (*self.items_lacking(items, position), *items)
        if is_returned:
            self.returned_from_copy_at = now
            items = self.defer_contradictions(items, now)
        changed = self.apply(items, now)
        self.note_complete(position)
        return changed

    def items_lacking(
        self, items: tuple[StoreItem, ...], position: Position
    ) -> tuple[StoreItem, ...]:
        """Return the removals of what is held as of a position and is not among some items."""
        present = {(item.subject, item.name) for item in items}
        held = dict.fromkeys(
            (
                *((Subject.ENDPOINT, name) for name in self.endpoints),
                *((Subject.WITHDRAWAL, name) for name in self.withdrawn),
                *self.deferred.by_key,
            )
        )
        in_era = Position(position.era, 0)
        return tuple(
            StoreItem(*key, max(self.positions[key].successor(), in_era), False, None)
            for key in held
            if key not in present and self.positions[key] <= position
        )

    def defer_contradictions(
        self, items: tuple[StoreItem, ...], now: float
    ) -> tuple[StoreItem, ...]:
        """Defer the items of an older copy that the view knows better; return the others."""
        accepted = []
        for item in items:
            grace_s = CONTRADICTION_BY_SUBJECT[item.subject](self, item)
            if grace_s and item.position > self.position_of(item):
                self.positions[item.subject, item.name] = item.position
                self.deferred.defer(item, now + grace_s)
            else:
                accepted.append(item)
        return tuple(accepted)

    def endpoint_contradiction(self, item: StoreItem) -> float:
        """Return for how long a departure or a drain is known better than an entry, 0 if not."""
        record, held = item.record, self.endpoints.get(item.name)
        if not isinstance(record, EndpointRecord):
            return 0.0
        if held is None or record.born_ms < held.born_ms:
            known = self.departures.includes(item.name, record.born_ms)
        else:
            known = record.born_ms == held.born_ms and held.is_draining > record.is_draining
        return RESTRICT_GRACE_S if known else 0.0

    def withdrawal_contradiction(self, item: StoreItem) -> float:
        """Return for how long a withdrawal, or its end, is known better than an item."""
        if item.present == (item.name in self.withdrawn):
            return 0.0
        if not item.present:
            return RESTRICT_GRACE_S
        return PERMIT_GRACE_S if item.name in self.returned_at else 0.0

    def configuration_contradiction(self, item: StoreItem) -> float:
        """Return 0: a configuration is replaced only by a later version."""
        return 0.0

    def apply_deferred(self, now: float) -> bool:
        """Apply the deferred items that are due; return whether the topology changes."""
        changed = False
        for item in self.deferred.take_due(self.last_answer_at):
            changed |= self.apply_item(item, now)
        return changed

    def apply(self, items: tuple[StoreItem, ...], now: float) -> bool:
        """Apply items newer than those held; return whether the topology changes.

        A configuration is as new as its version, which a return of the store does not give out
        again, so that one from a peer may be newer than the store's.
        """
        changed = False
        for item in items:
            if item.position > self.position_of(item) or item.subject is Subject.CONFIGURATION:
                self.deferred.discard((item.subject, item.name))
                changed |= self.apply_item(item, now)
        return changed

    def apply_item(self, item: StoreItem, now: float) -> bool:
        """Apply an item; return whether the topology changes.

        One that raises an exception is kept in `faults`, leaves the position held of it as it is,
        and costs no other item.
        """
        try:
            changed = APPLY_BY_SUBJECT[item.subject](self, item, now)
        except Exception as error:
            self.faults.append(Fault(f"{item.subject.value} {item.name}", error))
            return False
        self.positions[item.subject, item.name] = max(self.position_of(item), item.position)
        self.position = max(self.position, item.position)
        return changed

    def take_faults(self) -> list[Fault]:
        """Remove and return the faults of items that could not be applied."""
        faults, self.faults = self.faults, []
        return faults

    def apply_endpoint(self, item: StoreItem, now: float) -> bool:
        """Apply an upstream's entry; return whether it differs by more than a heartbeat."""
        record = item.record
        held = self.endpoints.get(item.name)
        if held is not None and self.is_overwritten(item, held):
            self.overwritten.add(item.name, now)
            return False
        if not isinstance(record, EndpointRecord):
            return held is not None and self.drop_endpoint(item.name, held, now)
        self.overwritten.discard(item.name)
        self.departures.discard(item.name, record.born_ms)
        if held is not None and held.born_ms < record.born_ms:
            self.departures.add(item.name, held.born_ms, now)
        self.expired.pop(item.name, None)
        self.endpoints[item.name] = record
        if record.cold_s > 0:
            self.cold_until[item.name] = now + record.cold_s
        return held is None or held._replace(cold_s=0.0) != record._replace(cold_s=0.0)

    def is_overwritten(self, item: StoreItem, held: EndpointRecord) -> bool:
        """Return whether an upstream's entry has become one that names no upstream to use."""
        if not isinstance(item.record, EndpointRecord):
            return item.present
        return item.record.service not in self.service_names and held.service in self.service_names

    def remove_overwritten(self, now: float) -> bool:
        """Remove upstreams whose entries nobody writes again; return whether there were any."""
        changed = False
        for name in self.overwritten.due(now):
            changed |= self.drop_endpoint(name, self.endpoints[name], now)
        return changed

    def drop_endpoint(self, name: str, held: EndpointRecord, now: float) -> bool:
        """Remove an upstream, unless its entry may have expired because of a store outage."""
        del self.endpoints[name]
        self.overwritten.discard(name)
        if not held.is_draining:
            self.last_removed_at = now
        if not held.is_draining and self.may_have_expired(now):
            self.expired[name] = held
            return False
        self.departures.add(name, held.born_ms, now)
        self.cold_until.pop(name, None)
        return True

    def may_have_expired(self, now: float) -> bool:
        """Return whether an entry may be missing only because the store was disturbed."""
        if now - self.returned_from_copy_at < PERMIT_GRACE_S:
            return True
        return self.unavailable_since is not None or now - self.available_since < EXPIRY_GRACE_S

    def remove_expired(self, now: float) -> bool:
        """Remove entries still missing after the grace period; return whether there were any."""
        if not self.expired or self.may_have_expired(now):
            return False
        for name, record in self.expired.items():
            self.departures.add(name, record.born_ms, now)
            self.cold_until.pop(name, None)
        self.expired.clear()
        return True

    def apply_configuration(self, item: StoreItem, now: float) -> bool:
        """Bring a newer configuration into force."""
        record = item.record
        if not isinstance(record, ConfigurationRecord):
            return False
        if self.configuration is not None and record.version <= self.configuration.version:
            return False
        route_table, named = RouteTable(record.version, record.routes), record.service_names()
        self.configuration, self.route_table = record, route_table
        self.limits = {row.name: row for row in record.services}
        self.service_names.replace(named, now)
        return True

    def configuration_item(self) -> StoreItem:
        """Return the store's item of the configuration in force."""
        position = self.positions[Subject.CONFIGURATION, ""]
        return StoreItem(Subject.CONFIGURATION, "", position, True, self.configuration)

    def apply_withdrawal(self, item: StoreItem, now: float) -> bool:
        """Apply the withdrawal of a failure domain, or the end of its withdrawal."""
        if item.present == (item.name in self.withdrawn):
            return False
        if item.present:
            self.withdrawn.add(item.name)
        else:
            self.withdrawn.discard(item.name)
            self.returned_at[item.name] = now
        return True

    def newest_by_address(self) -> dict[Address, tuple[str, EndpointRecord]]:
        """Return the newest incarnation at each address, with its id, of the services in use."""
        newest: dict[Address, tuple[str, EndpointRecord]] = {}
        for name, record in (*self.expired.items(), *self.endpoints.items()):
            if record.service not in self.service_names:
                continue
            other = newest.get(record.address)
            if other is None or other[1].born_ms <= record.born_ms:
                newest[record.address] = (name, record)
        return newest

    def entry_names(self) -> dict[str, str]:
        """Return the id of the entry that each upstream is known by, by the upstream's IP."""
        return {address.ip: name for address, (name, _) in self.newest_by_address().items()}

    def limits_of(self, service: str) -> ServiceRecord | None:
        """Return the limits of a service's upstreams, None if the service is not configured."""
        return self.limits.get(service)

    def connections_of(self, service: str) -> int:
        """Return how many flows each upstream of a service may hold."""
        limits = self.limits.get(service)
        return limits.connections if limits else DEFAULT_CONNECTIONS

    def is_cold(self, address: Address, now: float) -> bool:
        """Return whether an upstream is new or unknown, or its domain has only just returned."""
        newest = self.newest_by_address().get(address)
        if newest is None:
            return True
        name, record = newest
        limits = self.limits_of(record.service)
        cold_s = limits.cold_s if limits else 0.0
        returned_at = self.returned_at.get(record.failure_domain, -inf)
        return now < max(self.cold_until.get(name, -inf), returned_at + cold_s)

    def topology(self, previous: RoutedTopology | None = None) -> RoutedTopology | None:
        """Return the topology of the items held, None before the first configuration."""
        if self.configuration is None or self.route_table is None:
            return None
        records = [record for _, record in self.newest_by_address().values()]
        hosts = tuple(self.host(record) for record in records)
        document = Document(
            self.position.revision,
            tuple(FailureDomain(name, "") for name in sorted({h.failure_domain for h in hosts})),
            hosts,
            tuple(
                Service(name, NO_SERVICE_ADDRESS, name, idle_s=self.configuration.idle_s)
                for name in sorted(self.service_names)
            ),
            tuple(
                Endpoint(
                    record.service,
                    record.address.ip,
                    record.address,
                    record.slots,
                    self.connections_of(record.service),
                )
                for record in records
            ),
        )
        return RoutedTopology(document, self.route_table, previous)

    def host(self, record: EndpointRecord) -> Host:
        """Return the host of an upstream; its agent listens on the same port everywhere.

        The host is leaving if its upstream is draining, else draining if its failure domain is
        withdrawn.
        """
        state = HostState.ACTIVE
        if record.failure_domain in self.withdrawn:
            state = HostState.DRAINING
        if record.is_draining:
            state = HostState.LEAVING
        return Host(
            record.address.ip,
            Role.AGENT,
            record.failure_domain,
            Address(record.address.ip, self.peer_port),
            state,
        )


CONTRADICTION_BY_SUBJECT = {
    Subject.ENDPOINT: StoreView.endpoint_contradiction,
    Subject.CONFIGURATION: StoreView.configuration_contradiction,
    Subject.WITHDRAWAL: StoreView.withdrawal_contradiction,
}
APPLY_BY_SUBJECT = {
    Subject.ENDPOINT: StoreView.apply_endpoint,
    Subject.CONFIGURATION: StoreView.apply_configuration,
    Subject.WITHDRAWAL: StoreView.apply_withdrawal,
}
