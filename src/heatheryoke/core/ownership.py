"""Flows that this host owns, and their registration at their homes."""

from collections import OrderedDict, deque
from typing import NamedTuple

from heatheryoke.core.directory import RENEWAL_S
from heatheryoke.core.effects import Count, Effect, SendPeer
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import Registration, Registrations
from heatheryoke.core.topology import Topology

__all__ = ["BATCH_NUMBERS", "OwnedFlow", "OwnedFlows", "Registrar"]

RECENT_WINDOW_S = 5.0
REMEMBERED_ANSWERS = 32
BATCH_ENTRIES = 12
RESEND_S = 0.3
FIRST_REGISTRATION_S = 0.25
MAXIMUM_RESENDS = 20
# A message gives the number of a batch in 32 bits; the first is drawn from the start time.
BATCH_NUMBERS = 2**32


class OwnedFlow:
    """A flow that this host's upstream serves.

    `answers` holds the latest answers by message id, for requests that arrive twice; `feeds`
    holds the request that opened each active feed, by token. `contested` is set once a home has
    named another owner.
    """

    __slots__ = (
        "active",
        "answered",
        "answers",
        "contested",
        "feeds",
        "flow",
        "generation",
        "homes",
        "local_port",
        "opened",
        "registration_hosts",
        "service",
    )

    def __init__(self, flow: FlowKey, service: str, generation: int, local_port: int, now: float):
        self.flow = flow
        self.service = service
        self.generation = generation
        self.local_port = local_port
        self.opened = now
        self.active = now
        self.answered = False
        self.contested = False
        self.feeds: dict[bytes, bytes] = {}
        self.homes: tuple[str, ...] = ()
        self.registration_hosts: tuple[str, ...] = ()
        self.answers: OrderedDict[int, bytes] | None = None

    def store_answer(self, message_id: int, answer: bytes) -> None:
        """Store the answer to a message id; drop the oldest beyond `REMEMBERED_ANSWERS`."""
        if self.answers is None:
            self.answers = OrderedDict()
        self.answers[message_id] = answer
        if len(self.answers) > REMEMBERED_ANSWERS:
            self.answers.popitem(last=False)

    def answer_to(self, message_id: int) -> bytes | None:
        """Return the stored answer to a message id, None if there is none."""
        return self.answers.get(message_id) if self.answers else None

    def registration(self, owner: str, closed: bool = False) -> Registration:
        """Return the registration to send to this flow's homes."""
        return Registration(
            self.flow,
            owner,
            self.generation,
            self.local_port,
            self.answered,
            closed,
            tuple(self.feeds.values()),
        )


class RecentFlows:
    """Flows without a feed that had a packet in the current or previous time window."""

    def __init__(self):
        self.window = 0
        self.current: set[FlowKey] = set()
        self.former: set[FlowKey] = set()

    def start_window(self, now: float) -> None:
        """Start the window that contains `now`."""
        window = int(now / RECENT_WINDOW_S)
        if window == self.window:
            return
        self.former = self.current if window == self.window + 1 else set()
        self.current = set()
        self.window = window

    def note(self, flow: FlowKey, now: float) -> None:
        """Record a packet of a flow."""
        self.start_window(now)
        self.current.add(flow)

    def forget(self, flow: FlowKey) -> None:
        """Remove a flow."""
        self.current.discard(flow)
        self.former.discard(flow)

    def count(self, now: float) -> int:
        """Return how many flows had a packet recently."""
        self.start_window(now)
        return len(self.current | self.former)


class OwnedFlows:
    """Owned flows by key and, for each service, in order of their last packet."""

    def __init__(self):
        self.flows: dict[FlowKey, OwnedFlow] = {}
        self.by_service: dict[str, OrderedDict[FlowKey, OwnedFlow]] = {}
        self.with_feed: dict[str, set[FlowKey]] = {}
        self.recent: dict[str, RecentFlows] = {}

    def __len__(self) -> int:
        return len(self.flows)

    def add(self, owned: OwnedFlow) -> None:
        """Add a flow."""
        self.flows[owned.flow] = owned
        self.by_service.setdefault(owned.service, OrderedDict())[owned.flow] = owned

    def remove(self, flow: FlowKey) -> OwnedFlow | None:
        """Remove and return a flow, None if it is not owned."""
        owned = self.flows.pop(flow, None)
        if owned is not None:
            del self.by_service[owned.service][flow]
            self.with_feed.get(owned.service, set()).discard(flow)
        return owned

    def touch(self, owned: OwnedFlow, now: float) -> None:
        """Record a packet of a flow."""
        owned.active = now
        self.by_service[owned.service].move_to_end(owned.flow)
        if not owned.feeds:
            self.recent.setdefault(owned.service, RecentFlows()).note(owned.flow, now)

    def update_feeds(self, owned: OwnedFlow) -> None:
        """Update whether a flow counts as one with a feed."""
        flows = self.with_feed.setdefault(owned.service, set())
        if owned.feeds:
            flows.add(owned.flow)
            if owned.service in self.recent:
                self.recent[owned.service].forget(owned.flow)
        else:
            flows.discard(owned.flow)

    def active_count(self, service: str, now: float) -> int:
        """Return how many flows of a service have a feed or had a packet recently."""
        recent = self.recent.get(service)
        feeds = len(self.with_feed.get(service, ()))
        return feeds + (recent.count(now) if recent else 0)

    def count(self, service: str) -> int:
        """Return how many flows of a service are owned."""
        return len(self.by_service.get(service, ()))

    def idle(self, service: str, before: float, limit: int) -> list[OwnedFlow]:
        """Return up to `limit` flows of a service that have been silent since `before`."""
        silent: list[OwnedFlow] = []
        for owned in self.by_service.get(service, {}).values():
            if owned.active >= before or len(silent) == limit:
                break
            silent.append(owned)
        return silent


class Batch(NamedTuple):
    """Registrations sent to a home but not yet acknowledged."""

    home: str
    entries: tuple[Registration, ...]
    resend_at: float
    resends: int


class Registrar:
    """Sends registrations to homes in batches until they are acknowledged, and renews them."""

    def __init__(self, host_name: str, first_batch: int):
        self.host_name = host_name
        self.outbox: dict[str, dict[FlowKey, Registration]] = {}
        self.unacknowledged: dict[int, Batch] = {}
        self.renewals: deque[tuple[float, OwnedFlow]] = deque()
        self.first_registrations: deque[tuple[float, OwnedFlow]] = deque()
        self.last_batch = first_batch

    def is_idle(self) -> bool:
        """Return whether every registration has been sent and acknowledged."""
        return not self.outbox and not self.unacknowledged and not self.first_registrations

    def register(self, owned: OwnedFlow, topology: Topology) -> None:
        """Queue a flow's registration at each of its homes but this host.

        A flow with a feed is registered at two other hosts, even if this one is a home: otherwise
        no host would know it if another host failed while this one is paused.
        """
        view = topology.service_view(owned.service)
        owned.homes = tuple(home.name for home in view.homes(owned.flow))
        owned.registration_hosts = owned.homes
        if owned.feeds:
            owned.registration_hosts = tuple(
                h.name for h in view.registration_hosts(owned.flow, self.host_name)
            )
        self.queue(owned, owned.registration(self.host_name))

    def close(self, owned: OwnedFlow) -> None:
        """Queue the registration that closes a flow."""
        self.queue(owned, owned.registration(self.host_name, closed=True))

    def queue(self, owned: OwnedFlow, registration: Registration) -> None:
        """Queue a registration for the hosts that keep a flow's entry."""
        for home in owned.registration_hosts:
            if home != self.host_name:
                self.outbox.setdefault(home, {})[owned.flow] = registration

    def renew_later(self, owned: OwnedFlow, now: float) -> None:
        """Schedule the next renewal of a flow."""
        self.renewals.append((now + RENEWAL_S, owned))

    def register_later(self, owned: OwnedFlow, now: float) -> None:
        """Schedule a flow's first registration, unless it is registered earlier."""
        owned.homes = ()
        self.first_registrations.append((now + FIRST_REGISTRATION_S, owned))

    def take_due_first(self, now: float) -> list[OwnedFlow]:
        """Remove due first registrations; return the flows that were not registered earlier."""
        due: list[OwnedFlow] = []
        while self.first_registrations and self.first_registrations[0][0] <= now:
            owned = self.first_registrations.popleft()[1]
            if not owned.homes:
                due.append(owned)
        return due

    def take_due_renewals(self, now: float, limit: int) -> list[OwnedFlow]:
        """Remove and return up to `limit` flows whose renewal is due."""
        due: list[OwnedFlow] = []
        while self.renewals and self.renewals[0][0] <= now and len(due) < limit:
            due.append(self.renewals.popleft()[1])
        return due

    def acknowledge(self, batch: int) -> None:
        """Drop a batch that its home has acknowledged."""
        self.unacknowledged.pop(batch, None)

    def clear(self) -> None:
        """Drop queued and unacknowledged batches: every home drops this host's flows by itself."""
        self.outbox.clear()
        self.unacknowledged.clear()

    def flush(self, flows: OwnedFlows, topology: Topology, now: float) -> list[Effect]:
        """Send queued registrations; resend those that were not acknowledged in time."""
        effects: list[Effect] = []
        for number, batch in list(self.unacknowledged.items()):
            if batch.resend_at <= now:
                del self.unacknowledged[number]
                effects += isolated(self.resend, batch, flows, topology, now)
        outbox, self.outbox = self.outbox, {}
        for home, registrations in outbox.items():
            entries = tuple(registrations.values())
            for start in range(0, len(entries), BATCH_ENTRIES):
                batch = Batch(home, entries[start : start + BATCH_ENTRIES], now + RESEND_S, 0)
                effects += isolated(self.send, batch, topology)
        return effects

    def resend(
        self, batch: Batch, flows: OwnedFlows, topology: Topology, now: float
    ) -> list[Effect]:
        """Resend a batch with present data and backoff, up to `MAXIMUM_RESENDS` times."""
        if batch.resends >= MAXIMUM_RESENDS:
            return [Count("registrations_given_up", len(batch.entries))]
        delay = RESEND_S * 2 ** min(batch.resends + 1, 4)
        owned_flows = flows.flows
        entries = tuple(
            (
                owned_flows[entry.flow].registration(self.host_name)
                if entry.flow in owned_flows
                else entry
            )
            for entry in batch.entries
            if entry.closed or entry.flow in owned_flows
        )
        resent = batch._replace(entries=entries, resend_at=now + delay, resends=batch.resends + 1)
        return [Count("registrations_resent"), *self.send(resent, topology)]

    def send(self, batch: Batch, topology: Topology) -> list[Effect]:
        """Send a batch and wait for its acknowledgement."""
        home = topology.hosts.get(batch.home)
        if home is None:
            return []
        self.last_batch = (self.last_batch + 1) % BATCH_NUMBERS
        self.unacknowledged[self.last_batch] = batch
        return [SendPeer(home.address, Registrations(self.last_batch, batch.entries))]
