"""A process that reads its view of the deployment directly from the platform's store."""

from typing import Any

from heatheryoke.core.catch_up import QUERY_DELAY_S, CatchUp
from heatheryoke.core.effects import (
    Count,
    DiscardQueued,
    Effect,
    LogChange,
    PostponeStoreRead,
    ScheduleTick,
    SendPeer,
    Stopped,
)
from heatheryoke.core.events import (
    ForwardArrived,
    PeerMessageArrived,
    PlatformUnavailable,
    StoreChanged,
    StoreRead,
    Tick,
)
from heatheryoke.core.flows import PacketKind
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import (
    ConfigurationQuery,
    ConfigurationReply,
    Forward,
    PeerMessage,
    Relayed,
    StoreSnapshot,
    StoreUpdate,
)
from heatheryoke.core.node import Node
from heatheryoke.core.records import Position, StoreItem
from heatheryoke.core.routed_topology import RoutedTopology
from heatheryoke.core.routes import describe_changes
from heatheryoke.core.store_updates import make_store_update
from heatheryoke.core.store_view import StoreView
from heatheryoke.core.view_age import ViewAge
from heatheryoke.inventory.model import Address, Host

__all__ = ["StoreNode"]

# Limits the length of a log line on a return of the store that changes much.
MAXIMUM_NAMED = 8


class StoreNode(Node):
    """A node that continues with its last view while the store is unavailable."""

    def __init__(self, host_name: str, incarnation: int, peer_port: int, **options: Any):
        super().__init__(host_name, incarnation, **options)
        self.view = StoreView(peer_port)
        self.current_topology: RoutedTopology | None = None
        self.previous_topology: RoutedTopology | None = None
        self.is_outdated = False
        self.changed_at = 0.0
        self.catch_up = CatchUp()
        self.view_source = ""
        self.view_age = ViewAge()
        self.event_handlers |= {
            StoreRead: self.on_store_read,
            StoreChanged: self.on_store_changed,
            PlatformUnavailable: self.on_platform_unavailable,
            PeerMessageArrived: self.on_peer_message,
        }
        self.message_handlers |= {
            StoreSnapshot: self.on_store_snapshot,
            StoreUpdate: self.on_store_update,
            ConfigurationQuery: self.on_configuration_query,
            ConfigurationReply: self.on_configuration_reply,
        }

    @property
    def topology(self) -> RoutedTopology | None:
        """The view in force, None before the first."""
        return self.current_topology

    @property
    def epoch(self) -> int:
        """The version of the configuration in force, 0 before the first."""
        return self.current_topology.route_table.version if self.current_topology else 0

    def epoch_of(self, message: Forward | PeerMessage) -> int:
        """Return the version that a message to another process is sent under.

        A first packet keeps the version that its service was selected by.
        """
        if type(message) is Relayed:
            return self.epoch_of(message.message)
        if type(message) is Forward and message.service_epoch:
            return message.service_epoch
        return self.epoch

    def is_muted(self) -> bool:
        """Return whether there is no view yet."""
        return self.current_topology is None

    def is_ready(self) -> bool:
        """Return whether callers' packets may be sent to this process."""
        return self.current_topology is not None and self.stopping_since is None

    def needs_frequent_reads(self) -> bool:
        """Return whether the store should be read more often than usual."""
        return False

    def is_usable(self, host: Host) -> bool:
        """Return whether callers' packets may be sent to a host."""
        return host.name in self.current_topology.hosts

    def suspected_for(self, host_name: str, now: float) -> float:
        """Return 0, since a silent agent still owns its upstream's flows."""
        return 0.0

    def after_pause(self, now: float, paused_s: float) -> list[Effect]:
        """Discard queued datagrams."""
        paused = LogChange(self.host_name, "paused", f"{paused_s:.1f} s")
        return [DiscardQueued(), Count("pauses"), paused, *self.on_pause_ended(now)]

    def note_peer_epoch(self, event: ForwardArrived | PeerMessageArrived) -> list[Effect]:
        """Record a peer's newer configuration, and ask for it unless it arrives soon."""
        if event.epoch <= self.epoch:
            return []
        if not self.catch_up.on_peer_epoch(event.epoch, self.selecting_process(event), event.now):
            return []
        reason = f"version {self.epoch} here, {event.epoch} at {self.catch_up.source}"
        return [
            Count("peer_has_newer_configuration"),
            LogChange("configuration", "behind", reason),
            ScheduleTick(QUERY_DELAY_S),
        ]

    @staticmethod
    def selecting_process(event: ForwardArrived | PeerMessageArrived) -> Address:
        """Return the address of the process that has a message's version.

        A first packet has the version of its balancer, whichever agent has sent it on.
        """
        is_opening = isinstance(event, ForwardArrived) and event.message.kind is PacketKind.OPENS
        return event.message.via if is_opening and event.message.via.port else event.sender

    def query_configuration(self, now: float) -> list[Effect]:
        """Ask a process that is ahead for its configuration, if that is due."""
        source = self.catch_up.take_query(now)
        return [] if source is None else [SendPeer(source, ConfigurationQuery(self.epoch))]

    def on_configuration_query(self, event: PeerMessageArrived) -> list[Effect]:
        """Send the configuration in force to a process that is behind."""
        if event.message.epoch >= self.epoch:
            return []
        item = self.view.configuration_item()
        return [Count("configurations_sent"), SendPeer(event.sender, ConfigurationReply(item))]

    def on_configuration_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Bring another process's configuration into force if it is newer."""
        self.view_source = f"reply from {event.sender}"
        return self.update_topology(self.view.apply((event.message.item,), event.now), event.now)

    def on_store_read(self, event: StoreRead) -> list[Effect]:
        """Apply a complete read of the store; send it on if it is the first of a new era."""
        if event.position.era < self.view.complete_to.era:
            return [Count("older_eras")]
        is_returned = self.view.is_returned(event.position)
        effects = self.note_older_read(event.position)
        effects += self.apply_read(event.items, event.position, "complete read", event.now)
        if not is_returned or self.current_topology is None:
            return effects
        snapshot = StoreSnapshot(self.rank, event.position, event.items)
        messages = [SendPeer(address, snapshot) for address in self.update_recipients(event.now)]
        return [*effects, Count("snapshots_sent", len(messages)), *messages]

    def on_store_snapshot(self, event: PeerMessageArrived) -> list[Effect]:
        """Apply another process's first read of a new era."""
        snapshot = event.message
        if not self.view.is_returned(snapshot.position):
            return [Count("snapshots_outdated")]
        source = f"snapshot from {event.sender}"
        effects = self.apply_read(snapshot.items, snapshot.position, source, event.now)
        postponement = PostponeStoreRead(snapshot.position, snapshot.rank < self.rank)
        return [Count("snapshots_taken"), postponement, *effects]

    def apply_read(
        self, items: tuple[StoreItem, ...], position: Position, source: str, now: float
    ) -> list[Effect]:
        """Apply the complete contents of the store as of a position."""
        effects = self.note_available(now)
        self.view_source = source
        former, is_returned = self.view.complete_to, self.view.is_returned(position)
        changed = self.view.replace(items, position, now)
        if is_returned:
            effects += self.note_return(former)
        return effects + self.update_topology(changed, now)

    def note_return(self, former: Position) -> list[Effect]:
        """Log that the store has returned from an older copy, and what stays in force."""
        view = self.view
        kept = [f"{subject.value} {name}" for subject, name in view.deferred.by_key]
        missing = [f"endpoint {name}" for name in view.expired]
        reason = (
            f"from {former} to {view.complete_to} by {self.view_source}, "
            f"known better {_describe_names(kept)}, missing {_describe_names(missing)}"
        )
        return [Count("store_returns"), LogChange("store", "returned", reason)]

    def note_older_read(self, position: Position) -> list[Effect]:
        """Log a complete read of an older position than the view has."""
        if position >= self.view.complete_to:
            return []
        reason = f"{position}, the view is complete to {self.view.complete_to}"
        return [Count("older_reads"), LogChange("store", "older", reason)]

    def on_store_changed(self, event: StoreChanged) -> list[Effect]:
        """Apply changes read from the store and send them to the other processes."""
        if event.after.era != self.view.complete_to.era:
            return [Count("older_eras")]
        update = make_store_update(self.view, self.rank, event.after, event.position, event.items)
        self.view_source = "watch"
        effects = self.apply_changes(event.items, event.position, event.now)
        if update is None or self.current_topology is None:
            return effects
        messages = [SendPeer(address, update) for address in self.update_recipients(event.now)]
        return [*effects, Count("news_told", len(messages)), *messages]

    def apply_changes(
        self, items: tuple[StoreItem, ...], position: Position, now: float
    ) -> list[Effect]:
        """Apply all changes up to a position."""
        effects = self.note_available(now)
        changed = self.view.apply(items, now)
        self.view.note_complete(position)
        return effects + self.update_topology(changed, now)

    def on_store_update(self, event: PeerMessageArrived) -> list[Effect]:
        """Apply changes that another process has read, unless earlier ones are missing here."""
        update = event.message
        if update.after.revision == 0 or not self.view.complete_to.includes(update.after):
            return [Count("news_refused")]
        if update.position < self.view.complete_to:
            # It waited on its way or at a paused sender, so that it does not tell how old this
            # view is, and postpones no read.
            return [Count("news_outdated")]
        self.view_source = f"update from {event.sender}"
        effects = self.apply_changes(update.items, update.position, event.now)
        postponement = PostponeStoreRead(update.position, update.rank < self.rank)
        return [Count("news_taken"), postponement, *effects]

    @property
    def rank(self) -> int:
        """This process's rank among those that can read the store; the lowest reads for all."""
        return self.incarnation & 0xFFFFFFFF

    def update_recipients(self, now: float) -> list[Address]:
        """Return the addresses to send changes to: those of all other agents."""
        hosts = self.topology.document.hosts
        return [host.address for host in hosts if host.name != self.host_name]

    def on_platform_unavailable(self, event: PlatformUnavailable) -> list[Effect]:
        """Record that the store is unavailable; the view in force stays."""
        was_available = self.view.note_unavailable(event.now)
        log = [LogChange("store", "lost", event.reason)] if was_available else []
        return [Count("platform_unavailable"), *log]

    def note_available(self, now: float) -> list[Effect]:
        """Record that the store answers."""
        was_unavailable = self.view.note_available(now)
        return [LogChange("store", "regained", str(self.view.position))] if was_unavailable else []

    def update_topology(self, changed: bool, now: float) -> list[Effect]:
        """Bring a changed view into force; one that could not be is tried again with the next."""
        effects: list[Effect] = [*self.view.take_faults()]
        self.is_outdated |= changed
        if not self.is_outdated:
            return effects
        new_topology = self.view.topology(self.current_topology)
        if new_topology is None:
            return effects
        self.is_outdated = False
        before = self.epoch
        self.previous_topology, self.current_topology = self.current_topology, new_topology
        self.changed_at = now
        effects.append(Count("views_accepted"))
        if self.epoch != before:
            effects.append(self.configuration_log_entry(before, now))
            self.catch_up.on_in_force(self.epoch)
        effects.append(self.view_log_entry())
        return effects + isolated(self.on_topology, now)

    def view_log_entry(self) -> LogChange:
        """Return the log entry of a view: the hosts added or changed, with entries, or removed."""
        previous = set(self.previous_topology.document.hosts) if self.previous_topology else set()
        current = set(self.current_topology.document.hosts)
        names = {host.name for host in current}
        entries = self.view.entry_names() if current - previous else {}
        parts = [
            f"{host.name}={host.state.value} by {entries[host.name]}" for host in current - previous
        ]
        parts += [f"{host.name}=removed" for host in previous - current if host.name not in names]
        return LogChange("view", str(self.view.position), ",".join(sorted(parts)))

    def configuration_log_entry(self, before: int, now: float) -> LogChange:
        """Return the log entry of a configuration that has come into force."""
        record = self.view.configuration
        limits = ",".join(
            f"{service.name}:cold {service.cold_s:g} s at {service.cold_rate:g}/s"
            for service in record.services
        )
        former = self.previous_topology.route_table if self.previous_topology else None
        changes = describe_changes(former, self.current_topology.route_table)
        parts = [f"{len(record.routes)} routes", f"idle {record.idle_s:g} s", limits]
        parts += [f"from version {before}", f"by {self.view_source}", changes]
        if self.catch_up.behind_since is not None:
            parts.append(f"known of for {now - self.catch_up.behind_since:.3f} s")
        return LogChange("configuration", f"version {record.version}", ", ".join(parts))

    def on_peer_message(self, event: PeerMessageArrived) -> list[Effect]:
        """Handle a control message."""
        effects = self.note_peer_epoch(event)
        handler = self.message_handlers.get(type(event.message))
        if handler is None or self.current_topology is None:
            return [*effects, Count("unexpected_messages")]
        return effects + handler(event)

    def on_tick(self, event: Tick) -> list[Effect]:
        """Do the periodic work that is due."""
        now = event.now
        effects = isolated(self.update_view, now) + isolated(self.check_view_age, now)
        if self.current_topology is not None:
            effects += isolated(self.query_configuration, now)
            effects += self.advance(now)
        if self.stopping_since is not None and self.is_idle(now):
            effects.append(Stopped())
        return effects

    def update_view(self, now: float) -> list[Effect]:
        """Apply what is due in the view."""
        changed = self.view.remove_expired(now) | self.view.apply_deferred(now)
        changed |= self.view.remove_overwritten(now)
        changed |= self.view.service_names.forget_dropped(now)
        return self.update_topology(changed, now)

    def check_view_age(self, now: float) -> list[Effect]:
        """Log that the view has become old, or is confirmed again."""
        state = f"complete to {self.view.complete_to} by {self.view_source or 'nothing'}"
        return self.view_age.check(self.view.last_answer_at, state, now)

    def decision_facts(self, now: float) -> tuple[tuple[str, Any], ...]:
        """Return the log facts that a decision was based on: the configuration and the view."""
        age_s = round(now - self.view.last_answer_at, 3)
        era, revision = self.view.complete_to
        view = ("store_era", era), ("view", revision), ("view_age_s", age_s)
        return ("configuration", self.epoch), *view

    def former_topology(self, now: float, within_s: float) -> RoutedTopology | None:
        """Return the previous view if it was in force less than `within_s` ago, else None."""
        return self.previous_topology if now - self.changed_at < within_s else None


def _describe_names(names: list[str]) -> str:
    """Return a list of names, shortened to a number beyond `MAXIMUM_NAMED`."""
    return (
        ",".join(sorted(names)) or "none" if len(names) <= MAXIMUM_NAMED else f"{len(names)} items"
    )
