"""A process that monitors its peers and gets its configuration from the platform or from them."""

from collections.abc import Callable
from typing import Any

from returns.result import Success

from heatheryoke.core.configuration import POLL_S, Configuration, is_platform_watcher
from heatheryoke.core.effects import (
    Count,
    DiscardQueued,
    Effect,
    FetchConfiguration,
    LogChange,
    SendForward,
    SendPeer,
    Stopped,
)
from heatheryoke.core.events import (
    ConfigurationOffered,
    Event,
    ForwardArrived,
    PeerMessageArrived,
    PlatformUnavailable,
    Tick,
)
from heatheryoke.core.isolation import isolated
from heatheryoke.core.membership import Membership
from heatheryoke.core.messages import (
    Accusations,
    ConfigurationPart,
    ConfigurationRequest,
    EpochNotice,
    Heartbeat,
)
from heatheryoke.core.node import Node
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.model import Address, Document, Host

__all__ = ["RingNode"]

CONFIRM_RETRY_S = 0.5
CONFIRM_PEERS = 3
BOOTSTRAP_LIMIT_S = 8.0
CONFIRM_WIDEN_S = 2.0
WITHDRAWAL_NOTICE_S = 4.0
CONFIGURATION_MESSAGES = (EpochNotice, ConfigurationRequest, ConfigurationPart)


class RingNode(Node):
    """A member of the ring of all hosts.

    After a pause it discards queued datagrams, and drops callers' packets until a peer or the
    platform has confirmed the epoch.
    """

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        *arguments: Any,
        seeds: tuple[Address, ...] = (),
        **options: Any,
    ):
        super().__init__(host_name, incarnation, *arguments, **options)
        self.seeds = seeds
        self.membership = Membership(host_name, incarnation)
        self.configuration = Configuration()
        self.confirming = False
        self.confirm_at = 0.0
        self.resumed_at = 0.0
        self.paused_until_tick = False
        self.next_poll = 0.0
        self.bootstrap_delay_s = CONFIRM_RETRY_S
        self.pending_span = 0
        self.withdrawn_since: dict[str, float] = {}
        self.event_handlers |= {
            ConfigurationOffered: self.on_configuration,
            PeerMessageArrived: self.on_peer_message,
            PlatformUnavailable: self.on_platform_unavailable,
        }
        self.message_handlers |= {
            Heartbeat: self.on_heartbeat,
            Accusations: self.on_accusations,
            EpochNotice: self.on_epoch_notice,
            ConfigurationRequest: self.on_configuration_request,
            ConfigurationPart: self.on_configuration_part,
        }

    @property
    def topology(self) -> Topology | None:
        """The configuration in force, None before the first."""
        return self.configuration.topology

    @property
    def epoch(self) -> int:
        """The version of the configuration in force, sent with every message."""
        return self.configuration.version

    def reduce(self, event: Event) -> list[Effect]:
        """Process one event and return those of its effects that may be carried out, in order."""
        effects = super().reduce(event)
        if self.topology is not None and self.topology.withdrawn:
            return [effect for effect in effects if self.may_send(effect)]
        return effects

    def may_send(self, effect: Effect) -> bool:
        """Return whether an effect may be carried out while failure domains are withdrawn.

        Nothing is sent into another, withdrawn failure domain, except configuration messages for
        `WITHDRAWAL_NOTICE_S` after the withdrawal. Its processes get later configurations from the
        platform and from each other.
        """
        if not isinstance(effect, SendPeer | SendForward):
            return True
        target = self.topology.hosts_by_address.get(effect.to)
        if target is None or target.failure_domain not in self.topology.withdrawn:
            return True
        own = self.topology.hosts.get(self.host_name)
        if own is not None and own.failure_domain == target.failure_domain:
            return True
        since = self.withdrawn_since.get(target.failure_domain, self.last_event)
        is_configuration = isinstance(effect.message, CONFIGURATION_MESSAGES)
        return is_configuration and self.last_event - since < WITHDRAWAL_NOTICE_S

    def is_muted(self) -> bool:
        """Return whether callers' packets must be dropped: the view is missing or may be old."""
        return self.confirming or self.topology is None

    def is_usable(self, host: Host) -> bool:
        """Return whether callers' packets may be sent to a host."""
        withdrawn = self.topology.is_withdrawn(host.name)
        return not withdrawn and not self.membership.is_suspected(host.name)

    def suspected_for(self, host_name: str, now: float) -> float:
        """Return how many seconds a host has been suspected, 0 if it is not suspected."""
        return self.membership.suspected_for(host_name, now)

    def after_pause(self, now: float, paused_s: float) -> list[Effect]:
        """Discard queued datagrams and begin to confirm the epoch."""
        self.confirming = True
        self.confirm_at = now
        self.resumed_at = now
        self.paused_until_tick = True
        self.membership.restart_timers(now)
        resumed = [
            DiscardQueued(),
            Count("pauses"),
            LogChange(self.host_name, "paused", f"{paused_s:.1f} s"),
        ]
        return [*resumed, *self.on_pause_ended(now)]

    def request_confirmation(self, now: float) -> list[Effect]:
        """Ask the platform and peers for the epoch in force.

        Other failure domains may have been withdrawn during the pause, so their peers are asked
        only if neither the platform nor this host's own domain answers.
        """
        if not self.confirming or now < self.confirm_at:
            return []
        self.confirm_at = now + CONFIRM_RETRY_S
        request = ConfigurationRequest(self.epoch)
        include_other_domains = now - self.resumed_at > CONFIRM_WIDEN_S
        peers = (
            self.seeds if self.topology is None else self.confirming_peers(include_other_domains)
        )
        return [FetchConfiguration(), *(SendPeer(peer, request) for peer in peers)]

    def confirming_peers(self, include_other_domains: bool) -> list[Address]:
        """Return the peers to ask for the epoch in force."""
        if include_other_domains:
            return [host.address for host in self.membership.neighbours(+1)]
        own = self.topology.hosts.get(self.host_name)
        neighbours = [
            host.address
            for host in self.topology.ring
            if own and host is not own and host.failure_domain == own.failure_domain
        ]
        return neighbours[:CONFIRM_PEERS]

    def end_confirmation(self) -> list[Effect]:
        """Resume after a pause, once no newer epoch is known than the one in force."""
        if not self.confirming or self.paused_until_tick:
            return []
        if self.configuration.is_behind(self.last_event):
            return []
        self.confirming = False
        return [LogChange(self.host_name, "resumed", f"epoch {self.epoch} confirmed")]

    def on_tick(self, event: Tick) -> list[Effect]:
        """Do the periodic work that is due."""
        now = event.now
        effects = self.request_confirmation(now)
        self.paused_until_tick = False
        if self.confirming:
            return effects
        if self.topology is None:
            return effects + self.bootstrap(now)
        effects += isolated(self.membership.tick, now)
        effects += isolated(self.poll, now)
        effects += self.advance(now)
        if self.stopping_since is not None and self.is_idle(now):
            effects.append(Stopped())
        return effects

    def bootstrap(self, now: float) -> list[Effect]:
        """Request a first configuration from the platform and the peers named in the settings.

        The delay between attempts doubles, to limit the load on the platform when a whole fleet
        starts at once.
        """
        if now < self.next_poll:
            return []
        self.next_poll = now + self.bootstrap_delay_s
        self.bootstrap_delay_s = min(BOOTSTRAP_LIMIT_S, 2 * self.bootstrap_delay_s)
        requests = [SendPeer(peer, ConfigurationRequest(0)) for peer in self.seeds]
        return [FetchConfiguration(), *requests]

    def poll(self, now: float) -> list[Effect]:
        """Read the platform every `POLL_S`, in case an update was lost."""
        if now < self.next_poll:
            return []
        self.next_poll = now + POLL_S
        return [FetchConfiguration()]

    def is_platform_watcher(self) -> bool:
        """Return whether this process should keep a watch open at the platform."""
        suspected = set(self.membership.suspected_since)
        return is_platform_watcher(self.topology, self.host_name, suspected)

    def on_configuration(self, event: ConfigurationOffered) -> list[Effect]:
        """Handle a document read from the platform."""
        if event.document.version < self.epoch:
            return [Count("configurations_older")]
        effects = self.adopt_document(event.document, event.now, self.membership.full_span)
        return effects + self.end_confirmation()

    def adopt_document(
        self, document: Document, now: float, span: Callable[[], int]
    ) -> list[Effect]:
        """Bring a newer document into force and announce its epoch to peers."""
        previous = self.topology
        if not self.configuration.accept(document):
            return []
        self.membership.use(self.topology, now)
        self.withdrawn_since = {
            domain: self.withdrawn_since.get(domain, now) for domain in self.topology.withdrawn
        }
        return [
            Count("configurations_accepted"),
            LogChange("configuration", f"epoch {self.epoch}", "accepted"),
            *self.membership.announce_epoch(span(), previous),
            *self.on_topology(now),
        ]

    def on_platform_unavailable(self, event: PlatformUnavailable) -> list[Effect]:
        """Count a failed read and keep the configuration in force."""
        return [Count("platform_unavailable")]

    def note_peer_epoch(self, event: ForwardArrived | PeerMessageArrived) -> list[Effect]:
        """Request the sender's configuration if its epoch is newer."""
        return self.configuration.request_from(event.sender, event.epoch, event.now)

    def on_peer_message(self, event: PeerMessageArrived) -> list[Effect]:
        """Request the sender's configuration if its epoch is newer, then handle the message."""
        effects = self.note_peer_epoch(event)
        if self.topology is None and type(event.message) not in CONFIGURATION_MESSAGES:
            return [*effects, Count("dropped_no_configuration")]
        handler = self.message_handlers.get(type(event.message))
        if handler is None:
            return [*effects, Count("unexpected_messages")]
        return effects + handler(event)

    def on_heartbeat(self, event: PeerMessageArrived) -> list[Effect]:
        """Record a heartbeat; it confirms the epoch in force unless the sender's epoch is older."""
        effects = self.membership.record_heartbeat(event.message, event.now)
        return effects + (self.end_confirmation() if event.epoch >= self.epoch else [])

    def on_accusations(self, event: PeerMessageArrived) -> list[Effect]:
        """Merge accusations from a peer."""
        return self.membership.merge(event.sender, event.message, event.now)

    def on_epoch_notice(self, event: PeerMessageArrived) -> list[Effect]:
        """Remember how many hosts to notify once the newer epoch has arrived."""
        if event.epoch > self.epoch:
            self.pending_span = max(self.pending_span, event.message.span)
        return self.end_confirmation() if event.epoch >= self.epoch else []

    def on_configuration_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Send what the peer lacks, or a notice that it is up to date."""
        if event.message.have >= self.epoch:
            return [SendPeer(event.sender, EpochNotice(0))] if self.topology else []
        return self.configuration.answer(event.sender, event.message)

    def on_configuration_part(self, event: PeerMessageArrived) -> list[Effect]:
        """Collect a part of a peer's document and bring the document into force once complete."""
        result = self.configuration.collect(event.message)
        if result is None:
            return []
        if not isinstance(result, Success):
            return self.configuration.fetch_after_refusal(event.message.version)
        span, self.pending_span = self.pending_span, 0
        effects = self.adopt_document(result.unwrap(), event.now, lambda: span)
        return effects + self.end_confirmation()
