"""Refusals of new flows: a reset is sent once the flow's homes have said that they know no owner.

A copy of a first packet, or one that was sent another way since its acknowledgement was late, may
find no room after another agent's upstream has accepted the flow. The flow's homes know, since an
owner registers there as soon as its upstream has accepted, and so does the host that the packet was
passed to without an acknowledgement.
"""

from abc import abstractmethod
from collections import OrderedDict
from typing import Any, NamedTuple

from heatheryoke.core.effects import AnswerCaller, Count, Effect, LogFlow, SendPeer
from heatheryoke.core.events import PeerMessageArrived
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Forward, OwnerQuery, OwnerUnknown
from heatheryoke.core.reachability import ACKNOWLEDGEMENT_TIMEOUT_S
from heatheryoke.core.stream_owner import StreamOwner
from heatheryoke.inventory.model import Address, Service

__all__ = ["StreamRefusal"]

# Silence after which a host is not asked: longer than a caller waits for its flow to open (1.4 s),
# so that the host has opened none of the flows that are being refused.
SILENT_S = 1.5
# Refusals that await the homes' replies: more than the new flows of the time that replies may take.
MAXIMUM_REFUSALS = 1_000


class PendingRefusal(NamedTuple):
    """A refusal, and the hosts that have not replied yet."""

    asked_at: float
    hosts: frozenset[Address]


class StreamRefusal(StreamOwner):
    """Refuses new flows that no upstream admits, unless another agent has opened them."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.refusals: OrderedDict[FlowKey, PendingRefusal] = OrderedDict()
        self.message_handlers |= {
            OwnerQuery: self.on_owner_query,
            OwnerUnknown: self.on_owner_unknown,
        }

    @abstractmethod
    def is_waiting(self, flow: FlowKey) -> bool:
        """Return whether a new flow waits for room here."""

    def refuse_flow(
        self, message: Forward, service: Service | None, reason: str = "no upstream has room"
    ) -> list[Effect]:
        """Refuse a flow that no upstream admits; its caller may reconnect at once."""
        facts = (
            ("reason", reason),
            ("service", service.name if service else ""),
            ("asked", len(message.visited)),
            *self.decision_facts(self.last_event),
        )
        return [
            Count("flows_refused"),
            LogFlow(message.flow, "refused", facts),
            *self.confirm_refusal(message.flow, self.last_event),
        ]

    def confirm_refusal(self, flow: FlowKey, now: float) -> list[Effect]:
        """Ask the hosts that may know an owner; without one to ask, reset the flow."""
        hosts = self.hosts_to_ask(flow, now)
        if not hosts or self.may_be_opened(flow, now):
            return self.end_refusal(flow, now)
        self.refusals[flow] = PendingRefusal(now, hosts)
        self.refusals.move_to_end(flow)
        if len(self.refusals) > MAXIMUM_REFUSALS:
            self.refusals.popitem(last=False)
        return [SendPeer(address, OwnerQuery(flow)) for address in sorted(hosts)]

    def hosts_to_ask(self, flow: FlowKey, now: float) -> frozenset[Address]:
        """Return the flow's homes, and the hosts that may have been passed its first packet.

        A host that acknowledges late is asked too: it may just have opened the flow.
        """
        by_address = self.topology.hosts_by_address
        passed_to = self.sent_openings.hosts_that_may_have(flow)
        hosts = [*self.topology.homes(flow), *filter(None, map(by_address.get, passed_to))]
        return frozenset(
            host.address
            for host in hosts
            if host.name != self.host_name and self.reachability.silent_for(host, now) <= SILENT_S
        )

    def on_owner_query(self, event: PeerMessageArrived) -> list[Effect]:
        """Reply that no owner of a flow is known here; do not reply if it may have one."""
        flow = event.message.flow
        if self.may_be_opened(flow, event.now):
            return self.withdraw_refusal(flow)
        return [SendPeer(event.sender, OwnerUnknown(flow))]

    def on_owner_unknown(self, event: PeerMessageArrived) -> list[Effect]:
        """Reset a refused flow once all hosts that were asked know no owner.

        Replies that took long, on their way or here, say too little about the present.
        """
        flow = event.message.flow
        refusal = self.refusals.get(flow)
        if refusal is None:
            return []
        hosts = refusal.hosts - {event.sender}
        if hosts:
            self.refusals[flow] = refusal._replace(hosts=hosts)
            return []
        del self.refusals[flow]
        if event.now - refusal.asked_at > ACKNOWLEDGEMENT_TIMEOUT_S:
            return [Count("refusals_unconfirmed")]
        return self.end_refusal(flow, event.now)

    def end_refusal(self, flow: FlowKey, now: float) -> list[Effect]:
        """Reset a refused flow, unless it has an owner by now."""
        if self.may_be_opened(flow, now):
            return self.withdraw_refusal(flow)
        return [AnswerCaller(flow, self.codec.reset(flow, 0))]

    def withdraw_refusal(self, flow: FlowKey) -> list[Effect]:
        """Leave a refused flow to its owner."""
        return [Count("refusals_withdrawn"), LogFlow(flow, "refusal withdrawn")]

    def may_be_opened(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow is owned or waits here, or an owner in the view registered it."""
        if flow in self.flows.flows or self.is_waiting(flow):
            return True
        entry = self.directory.find(flow, now)
        if entry is None or entry.tentative:
            return False
        return entry.registration.owner in self.topology.hosts
