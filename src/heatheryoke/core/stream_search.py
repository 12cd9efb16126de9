"""Search for the owner of a flow that an agent does not know.

The upstream is authoritative: it returns each packet of a flow that it does not hold. So an agent
loses no flow when it restarts; it delivers packets of unknown flows to its upstream to find out.

Load pattern: all hosts lose power, and the callers of all open flows send packets that every host
must be asked about. So the search asks the likely owners first, and then one failure domain after
the other, since a hop between domains costs far more time and bandwidth than one within.
"""

from collections import OrderedDict
from collections.abc import Iterator
from functools import lru_cache
from itertools import chain, islice
from typing import Any

from heatheryoke.core.effects import (
    AnswerCaller,
    Count,
    Deliver,
    Effect,
    LogChange,
    LogFlow,
    ProbeUpstream,
    SendForward,
)
from heatheryoke.core.events import PeerMessageArrived, UpstreamDown, UpstreamPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.forwarder import NO_ADDRESS
from heatheryoke.core.messages import HOP_LIMIT, Forward, RecoveryRequest, Search
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.stream_admission import StreamAdmission
from heatheryoke.core.streams import OwnedStream, StreamHeader, follows
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Host

__all__ = ["StreamSearch"]

# Packets of unknown flows that the upstream may still return; the oldest are dropped beyond this.
MAXIMUM_OFFERED = 2_000
# Hosts asked about one packet: at about 0.5 ms each within a failure domain, the last is asked
# before the second retransmission (600 ms). Larger fleets leave a lost flow to its deadline.
MAXIMUM_ASKED = 250
# Candidates of the flow's service that are asked before all other hosts: placement visits three,
# and the two more allow for hosts that joined since.
LIKELY_OWNERS = 5
# Asked hosts beyond which the homes, former homes and likely owners have all been asked.
FIRST_ASKED = 4 + LIKELY_OWNERS
SHORT_ID_MASK = 0xFFFFFFFF
# Hosts remembered that have sent a recovery request: the largest fleet that is designed for.
MAXIMUM_RESTARTED_HOSTS = 11_000
# Interval at which an agent probes its upstream: several times within a recovery (12 s).
PROBE_S = 1.0
# Hosts that have all started within this time are taken to have lost power together.
POWER_LOSS_WINDOW_S = 8.0


class StreamSearch(StreamAdmission):
    """Forwards packets of unknown flows until the owner gets them or the flow is found lost."""

    def __init__(self, *arguments: Any, first_start: bool = False, **options: Any):
        super().__init__(*arguments, **options)
        self.first_start = first_start
        self.may_hold_unknown_until = self.started + (0.0 if first_start else self.flow_lifetime_s)
        self.restarted_hosts: dict[str, Address] = {}
        self.next_probe = self.started
        self.own_short_id = self.own_id & SHORT_ID_MASK
        self.returned: OrderedDict[FlowKey, None] = OrderedDict()
        self.released: OrderedDict[FlowKey, OwnedStream] = OrderedDict()
        self.message_handlers[RecoveryRequest] = self.on_recovery_request
        self.event_handlers[UpstreamDown] = self.on_upstream_down

    def forward_unknown(self, message: Forward, now: float) -> list[Effect]:
        """Forward a packet of an unknown flow to the next host that may own it."""
        flow = message.flow
        asked = message.search.asked
        entry = self.directory.find(flow, now)
        if entry is not None and entry.registration.owner != self.host_name:
            owner = self.topology.hosts.get(entry.registration.owner)
            if owner is not None and short_id(owner.name) not in asked:
                return self.pass_on(message, owner)
        if self.own_short_id not in asked:
            if self.may_upstream_hold(message, now) and flow not in self.returned:
                return self.offer(message)
            message = self.with_own_answer(message, now)
            asked = message.search.asked
        address = self.next_host_to_ask(flow, asked, now)
        if address is not None:
            return [SendForward(address, message)]
        if self.host_name not in self.topology.hosts:
            homes = self.topology.homes(flow)
            return self.pass_on(message, homes[0]) if homes else [Count("dropped_no_host")]
        if self.is_flow_lost(message, now):
            return self.reset_lost(message, "no upstream holds the flow")
        return [Count("dropped_no_owner")]

    def may_upstream_hold(self, message: Forward, now: float) -> bool:
        """Return whether the upstream may hold a flow that this process does not own.

        It may have accepted it before this process started, or this process has given it up since.
        """
        if now < self.may_hold_unknown_until:
            return True
        released = self.released.get(message.flow)
        if released is None:
            return False
        return released.answered or follows(
            self.codec.read_header(message.payload), released.accepted
        )

    def end_closed_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Remember a flow that is given up although the upstream has accepted it.

        A flow that both ends have closed is not remembered.
        """
        is_accepted = owned.answered or owned.accepted is not None
        if is_accepted and not (owned.caller_closed and owned.upstream_closed):
            self.released[owned.flow] = owned
            self.released.move_to_end(owned.flow)
            if len(self.released) > MAXIMUM_OFFERED:
                self.released.popitem(last=False)
        return super().end_closed_flow(owned, now)

    def next_host_to_ask(self, flow: FlowKey, asked: tuple[int, ...], now: float) -> Address | None:
        """Return the address of the next host to ask about a flow, None to end the search.

        Each host is asked once, and at most `MAXIMUM_ASKED` are. Hosts that sent a recovery request
        but are not in the view come last: they may be gone, and then the search ends there.
        """
        if len(asked) >= MAXIMUM_ASKED:
            return None
        likely = self.likely_owners(flow, now) if len(asked) <= FIRST_ASKED else ()
        asked_ids = set(asked)
        for host in chain(likely, self.hosts_by_distance()):
            if short_id(host.name) not in asked_ids and self.is_in_reach(host):
                return host.address
        names = self.hosts_outside_view(asked_ids)
        return self.restarted_hosts[names[0]] if names else None

    def likely_owners(self, flow: FlowKey, now: float) -> list[Host]:
        """Return a flow's homes, its former homes and the first candidates of its service."""
        former = self.former_homes("", flow, now, self.flow_lifetime_s)
        service = self.topology.service_of(flow)
        peers = self.topology.service_view(service.name).ranked(flow) if service else []
        return [*self.topology.homes(flow), *former, *islice(peers, LIKELY_OWNERS)]

    def hosts_by_distance(self) -> Iterator[Host]:
        """Return all other hosts, those of this host's failure domain first."""
        own_domain = self.hosts_by_domain.get(self.failure_domain, [])
        others = (
            hosts for domain, hosts in self.hosts_by_domain.items() if domain != self.failure_domain
        )
        return chain(own_domain, chain.from_iterable(others))

    def is_in_reach(self, host: Host) -> bool:
        """Return whether a host is in the view and can be reached, at least through a relay."""
        if host.name not in self.topology.hosts:
            return False
        if self.reachability.is_domain_reachable(host.failure_domain):
            return True
        return self.choose_relay(host) is not None

    def hosts_outside_view(self, asked_ids: set[int]) -> list[str]:
        """Return the hosts that sent a recovery request, are not in the view and were not asked."""
        names = [name for name in self.restarted_hosts if name not in self.topology.hosts]
        return [name for name in names if short_id(name) not in asked_ids]

    def forget_removed_hosts(self, now: float) -> None:
        """Forget restarted hosts whose upstream is gone, so that no search ends at them.

        Load pattern: all hosts lose power, then some upstreams that were draining leave. Their
        agents asked for flows when they restarted, and are gone as well by the time when callers
        with idle flows send their next request.
        """
        previous = self.previous_topology.hosts if self.previous_topology else {}
        self.restarted_hosts = {
            name: address
            for name, address in self.restarted_hosts.items()
            if name in self.topology.hosts or name not in previous
        }

    def offer(self, message: Forward) -> list[Effect]:
        """Deliver a packet of an unknown flow; the upstream returns it if it lacks the flow."""
        self.offered[message.flow] = message
        self.offered.move_to_end(message.flow)
        if len(self.offered) > MAXIMUM_OFFERED:
            self.offered.popitem(last=False)
        return [Count("packets_offered"), Deliver(message.flow, message.payload)]

    def with_own_answer(self, message: Forward, now: float) -> Forward:
        """Record in a packet that this host does not hold its flow, with this process's uptime."""
        asked = (*message.search.asked, self.own_short_id)
        uptime_s = max(message.search.longest_uptime_s, now - self.started)
        return message._replace(search=Search(asked, uptime_s))

    def on_returned(self, event: UpstreamPacket, head: StreamHeader) -> list[Effect]:
        """Forward a packet elsewhere that the upstream returned, or reset its flow."""
        now, flow = event.now, event.flow
        payload = self.codec.without_marks(event.payload)
        owned = self.flows.flows.get(flow)
        if self.topology is None:
            return [Count("dropped_no_view")]
        if head.opens:
            return self.on_opening_returned(owned, flow, payload, now)
        if owned is not None and owned.answered:
            message = Forward(flow, 0, PacketKind.BELONGS, HOP_LIMIT, NO_ADDRESS, payload)
            lost = self.reset_lost(message, "upstream has lost the flow")
            return [*lost, *self.give_up(owned, now)]
        gone = self.give_up(owned, now) if owned is not None else []
        message = self.offered.pop(flow, None)
        if message is None:
            service = self.topology.service_of(flow)
            if service is None:
                return [*gone, Count("dropped_returned")]
            message = Forward(
                flow, name_hash(service.name), PacketKind.BELONGS, HOP_LIMIT, NO_ADDRESS, payload
            )
        self.note_returned(flow)
        answered = self.with_own_answer(message._replace(payload=payload), now)
        return [*gone, Count("packets_returned"), *self.forward_unknown(answered, now)]

    def adopt(self, owned: OwnedFlow, now: float) -> None:
        """Add a flow to the tables; its upstream holds it, whatever it returned before."""
        super().adopt(owned, now)
        self.returned.pop(owned.flow, None)
        self.released.pop(owned.flow, None)

    def note_returned(self, flow: FlowKey) -> None:
        """Record that the upstream does not hold a flow; it need not be asked again."""
        self.returned[flow] = None
        self.returned.move_to_end(flow)
        if len(self.returned) > MAXIMUM_OFFERED:
            self.returned.popitem(last=False)

    def is_flow_lost(self, message: Forward, now: float) -> bool:
        """Return whether a flow that none of the asked hosts knows is lost.

        It is lost if all hosts were asked and no upstream can be missing from the view. It is also
        lost if all of them started recently and together, including those that sent a recovery
        request but are not in the view: then the upstreams lost power too, since otherwise one of
        them would have kept the packet.
        """
        asked_ids = set(message.search.asked)
        if not all(short_id(name) in asked_ids for name in self.topology.hosts):
            return False
        if self.view.is_settled(now):
            return True
        is_power_loss = message.search.longest_uptime_s < POWER_LOSS_WINDOW_S
        return is_power_loss and not self.hosts_outside_view(asked_ids)

    def probe(self, now: float) -> list[Effect]:
        """Probe whether the upstream runs, while it is not in the view.

        An upstream that does not run holds no flow, and one that starts later holds only flows
        that this process has seen open.
        """
        holds_no_unknown = now >= self.may_hold_unknown_until
        if holds_no_unknown or now < self.next_probe or self.host_name in self.topology.hosts:
            return []
        self.next_probe = now + PROBE_S
        return [ProbeUpstream()]

    def on_upstream_down(self, event: UpstreamDown) -> list[Effect]:
        """Stop delivering packets of unknown flows to the upstream, which does not run."""
        self.may_hold_unknown_until = min(self.may_hold_unknown_until, event.now)
        self.offered.clear()
        return [LogChange(self.host_name, "sure", "upstream is not running")]

    def reset_lost(self, message: Forward, reason: str) -> list[Effect]:
        """Reset an open flow that its upstream has lost, so that its caller reconnects at once."""
        head = self.codec.read_header(message.payload)
        if head.resets:
            return [Count("dropped_no_owner")]
        facts = (
            ("reason", reason),
            ("asked", len(message.search.asked)),
            *self.decision_facts(self.last_event),
        )
        return [
            Count("flows_lost"),
            LogFlow(message.flow, "reset", facts),
            AnswerCaller(message.flow, self.codec.reset(message.flow, head.acknowledged)),
        ]

    def former_homes(self, service: str, flow: FlowKey, now: float, within_s: float) -> list[Host]:
        """Return a flow's homes in the previous view, none if its first home has not changed."""
        former = self.former_topology(now, within_s)
        if former is None:
            return []
        before, present = former.homes(flow), self.topology.homes(flow)
        moved = [host.name for host in before[:1]] != [host.name for host in present[:1]]
        return before if moved else []

    def on_recovery_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Register flows again at a home that has restarted."""
        restarted = event.message.host
        if restarted in self.restarted_hosts or len(self.restarted_hosts) < MAXIMUM_RESTARTED_HOSTS:
            self.restarted_hosts[restarted] = event.sender
        for owned in self.flows.flows.values():
            if restarted in owned.homes:
                registration = owned.registration(self.host_name)
                self.registrar.outbox.setdefault(restarted, {})[owned.flow] = registration
        return self.registrar.flush(self.flows, self.topology, event.now)


@lru_cache(maxsize=MAXIMUM_RESTARTED_HOSTS)
def short_id(host_name: str) -> int:
    """Return the id of a host in a search."""
    return name_hash(host_name) & SHORT_ID_MASK
