"""A process that sends packets only the ways that work, and repeats first packets another way."""

from abc import abstractmethod
from typing import Any

from heatheryoke.core.effects import (
    Count,
    Effect,
    LogChange,
    LogFlow,
    ScheduleTick,
    SendForward,
    SendPeer,
)
from heatheryoke.core.events import Event, ForwardArrived, PeerMessageArrived, Tick
from heatheryoke.core.flows import PacketKind
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import Forward, OpeningAck, Ping, Pong, Relayed
from heatheryoke.core.reachability import ACKNOWLEDGEMENT_TIMEOUT_S, LinkChange, Reachability
from heatheryoke.core.sent_openings import MAXIMUM_RESENDS, SentOpening, SentOpenings
from heatheryoke.core.store_node import StoreNode
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Host

__all__ = ["LinkedNode"]

# Interval at which a failure domain is pinged that acknowledges nothing else. A cut is found after
# two silent pings, so that it takes well under 1 s.
PING_INTERVAL_S = 0.4
# Pings of a process to domains within reach; with more domains the interval is longer, and the
# first packets of the flows of a larger fleet take their place.
MAXIMUM_PINGS_PER_S = 10
# Hosts pinged per tick in a failure domain that is out of reach or in doubt.
PINGS_PER_TICK = 2
# Relayed messages are not relayed again, and a ping asks about the direct way.
NEVER_RELAYED = frozenset({Relayed, Ping})


class LinkedNode(StoreNode):
    """A node that notices which hosts and failure domains it cannot reach.

    A first packet is kept until the host that it was sent to acknowledges it, else it is sent
    another way. A packet of an open flow whose owner is out of reach is relayed through a host of
    a third failure domain.
    """

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        *arguments: Any,
        failure_domain: str = "",
        **options: Any,
    ):
        super().__init__(host_name, incarnation, *arguments, **options)
        self.failure_domain = failure_domain
        self.reachability = Reachability()
        self.sent_openings = SentOpenings()
        self.hosts_by_domain: dict[str, list[Host]] = {}
        self.domain_sizes: dict[str, int] = {}
        self.next_target = name_hash(host_name)
        self.message_handlers |= {
            OpeningAck: self.on_opening_ack,
            Ping: self.on_ping,
            Pong: self.on_pong,
            Relayed: self.on_relayed,
        }

    @property
    @abstractmethod
    def peer_address(self) -> Address:
        """The address at which this process receives messages from others."""

    @abstractmethod
    def resend_opening(self, message: Forward, now: float) -> list[Effect]:
        """Send a first packet another way than to the host that has not acknowledged it."""

    def is_usable(self, host: Host) -> bool:
        """Return whether a host is in the view and within reach."""
        if host.name not in self.current_topology.hosts:
            return False
        return host.name == self.host_name or self.reachability.is_reachable(host, self.last_event)

    def is_isolated(self) -> bool:
        """Return whether no failure domain is within reach, not even this process's own."""
        domains = self.hosts_by_domain
        return bool(domains) and not any(map(self.reachability.is_domain_reachable, domains))

    def reduce(self, event: Event) -> list[Effect]:
        """Process one event; adapt the way of each packet that it sends."""
        effects = self.route_effects(super().reduce(event), event.now)
        if type(event) is Tick and self.current_topology is not None:
            effects += isolated(self.check_links, event.now)
        return effects

    def route_effects(self, effects: list[Effect], now: float, resends: int = 0) -> list[Effect]:
        """Keep first packets until they are acknowledged; relay other messages around a cut."""
        routed: list[Effect] = []
        for effect in effects:
            kind = type(effect)
            if kind is SendForward and effect.message.kind is PacketKind.OPENS:
                routed += self.send_opening(effect, now, resends)
            elif kind is SendForward or kind is SendPeer:
                routed.append(self.send_around_cut(effect))
            else:
                routed.append(effect)
        return routed

    def send_opening(self, effect: SendForward, now: float, resends: int) -> list[Effect]:
        """Send a first packet and await its acknowledgement."""
        host = self.current_topology.hosts_by_address.get(effect.to)
        if host is None:
            return [effect]
        self.reachability.on_sent(host, now)
        timer = [] if self.sent_openings else [ScheduleTick(ACKNOWLEDGEMENT_TIMEOUT_S)]
        self.sent_openings.add(SentOpening(effect.to, effect.message, now, resends))
        return [effect, *timer]

    def send_around_cut(self, effect: SendForward | SendPeer) -> Effect:
        """Send a message, through a third failure domain if its target is out of reach."""
        if not self.reachability.unreachable_since or type(effect.message) in NEVER_RELAYED:
            return effect
        host = self.current_topology.hosts_by_address.get(effect.to)
        if host is None or self.reachability.is_domain_reachable(host.failure_domain):
            return effect
        relay = self.choose_relay(host)
        if relay is None:
            return effect
        return SendPeer(relay.address, Relayed(self.peer_address, *effect))

    def choose_relay(self, target: Host) -> Host | None:
        """Return a host of a third failure domain within reach, None if there is none."""
        domains = [
            domain
            for domain in self.hosts_by_domain
            if domain not in (self.failure_domain, target.failure_domain)
            and self.reachability.is_domain_reachable(domain)
        ]
        return self.take_target(self.hosts_by_domain[domains[0]]) if domains else None

    def take_target(self, hosts: list[Host]) -> Host:
        """Return the next of some hosts in turn."""
        self.next_target += 1
        return hosts[self.next_target % len(hosts)]

    # Acknowledgements

    def acknowledge(self, sender: Address, message: Forward) -> list[Effect]:
        """Acknowledge a first packet from another process."""
        if message.kind is not PacketKind.OPENS:
            return []
        return [SendPeer(sender, OpeningAck(message.flow))]

    def on_opening_ack(self, event: PeerMessageArrived) -> list[Effect]:
        """Drop a first packet that another process has received."""
        self.sent_openings.acknowledge(event.message.flow, event.sender)
        return self.on_pong(event)

    def on_ping(self, event: PeerMessageArrived) -> list[Effect]:
        """Acknowledge a ping."""
        return [SendPeer(event.sender, Pong())]

    def on_pong(self, event: PeerMessageArrived) -> list[Effect]:
        """Record that a host is within reach."""
        host = self.current_topology.hosts_by_address.get(event.sender)
        change = self.reachability.on_acknowledged(host, event.now) if host else None
        return [self.link_log_entry(change, event.now)] if change else []

    def on_relayed(self, event: PeerMessageArrived) -> list[Effect]:
        """Handle a relayed message, or send it on for a process that cannot reach the target."""
        origin, target, message = event.message
        is_forward = isinstance(message, Forward)
        if is_forward and message.kind is PacketKind.OPENS:
            message = message._replace(service_epoch=event.epoch)
        if target == self.peer_address:
            event_type = ForwardArrived if is_forward else PeerMessageArrived
            return self.event_handlers[event_type](
                event_type(event.now, origin, event.epoch, message)
            )
        host = self.current_topology.hosts_by_address.get(target)
        if host is None or not self.reachability.is_domain_reachable(host.failure_domain):
            return [Count("dropped_relayed")]
        if is_forward:
            return [Count("relayed_for_others"), SendForward(target, message)]
        return [Count("relayed_for_others"), SendPeer(target, event.message)]

    # Timers

    def check_links(self, now: float) -> list[Effect]:
        """Judge the ways that are overdue, repeat first packets another way, and send pings."""
        if self.reachability.was_delayed(now):
            self.sent_openings.allow_for_own_delay(now)
        hosts = self.current_topology.hosts_by_address
        changes = self.reachability.check(hosts, self.domain_sizes, now)
        effects: list[Effect] = [self.link_log_entry(change, now) for change in changes]
        return [*effects, *self.resend_overdue(now), *self.ping(now)]

    def resend_overdue(self, now: float) -> list[Effect]:
        """Send unacknowledged first packets another way."""
        if not self.sent_openings:
            return []
        effects: list[Effect] = []
        hosts = self.current_topology.hosts_by_address

        def is_silent(address: Address) -> bool:
            host = hosts.get(address)
            return host is not None and not self.reachability.is_reachable(host, now)

        for opening in self.sent_openings.take_overdue(is_silent, now):
            if not self.reachability.is_in_force():
                continue
            if opening.resends >= MAXIMUM_RESENDS:
                effects.append(Count("openings_given_up"))
                continue
            effects += isolated(self.resend_another_way, opening, now)
        if self.sent_openings:
            effects.append(ScheduleTick(ACKNOWLEDGEMENT_TIMEOUT_S))
        return effects

    def resend_another_way(self, opening: SentOpening, now: float) -> list[Effect]:
        """Send a first packet another way than to the host that has not acknowledged it."""
        facts = (("silent", str(opening.to)), ("resends", opening.resends + 1))
        resent = self.route_effects(
            self.resend_opening(opening.message, now), now, opening.resends + 1
        )
        return [
            Count("openings_resent"),
            LogFlow(opening.message.flow, "resent", facts),
            *resent,
        ]

    def ping(self, now: float) -> list[Effect]:
        """Ping the failure domains whose reachability is in doubt or not shown by other traffic."""
        effects: list[Effect] = []
        interval_s = max(PING_INTERVAL_S, len(self.hosts_by_domain) / MAXIMUM_PINGS_PER_S)
        for domain, hosts in self.hosts_by_domain.items():
            if not self.reachability.needs_ping(domain, interval_s, now):
                continue
            is_in_doubt = domain in self.reachability.silent_hosts
            for _ in range(min(len(hosts), PINGS_PER_TICK if is_in_doubt else 1)):
                host = self.take_target(hosts)
                if host.address not in self.reachability.awaiting:
                    self.reachability.on_sent(host, now)
                    effects.append(SendPeer(host.address, Ping()))
        return effects

    def update_topology(self, changed: bool, now: float) -> list[Effect]:
        """Bring a changed view into force; forget the hosts that are gone."""
        before = self.current_topology
        effects = super().update_topology(changed, now)
        if self.current_topology is not before:
            hosts = self.current_topology.document.hosts
            self.reachability.retain(hosts)
            self.hosts_by_domain = {}
            for host in hosts:
                if host.name != self.host_name:
                    self.hosts_by_domain.setdefault(host.failure_domain, []).append(host)
            self.domain_sizes = {
                name: len(domain_hosts) for name, domain_hosts in self.hosts_by_domain.items()
            }
        return effects

    def after_pause(self, now: float, paused_s: float) -> list[Effect]:
        """Discard queued datagrams, among them the acknowledgements awaited."""
        self.reachability.awaiting.clear()
        self.sent_openings.by_flow.clear()
        return super().after_pause(now, paused_s)

    def link_log_entry(self, change: LinkChange, now: float) -> LogChange:
        """Return the log entry of a failure domain that went out of reach or came back."""
        subject = f"way to {change.failure_domain}"
        if change.is_reachable:
            return LogChange(subject, "regained", f"out of reach for {now - change.since:.2f} s")
        silent = ",".join(change.silent_hosts)
        return LogChange(subject, "lost", f"no acknowledgement from {silent}")
