"""Refusals of new flows: a reset is sent once the flow's homes have said that they know no owner.

A copy of a first packet, or one that was sent another way since its acknowledgement was late, may
find no room after another agent's upstream has accepted the flow. Only the flow's homes know, since
an owner registers there as soon as its upstream has accepted.
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

# Silence after which a home is not asked: longer than a caller waits for its flow to open (1.4 s),
# so that a silent home has opened none of the flows that are being refused.
SILENT_HOME_S = 1.5
# Refusals that await the homes' replies: more than the new flows of the time that replies may take.
MAXIMUM_REFUSALS = 1_000


class PendingRefusal(NamedTuple):
    """A refusal, and the homes that have not replied yet."""

    asked_at: float
    homes: frozenset[Address]


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
        """Ask the flow's homes for an owner; without a home to ask, reset the flow.

        A home that acknowledges late is asked too: it may just have opened the flow.
        """
        homes = frozenset(
            home.address
            for home in self.topology.homes(flow)
            if home.name != self.host_name
            and self.reachability.silent_for(home, now) <= SILENT_HOME_S
        )
        if not homes or self.may_be_opened(flow, now):
            return self.end_refusal(flow, now)
        self.refusals[flow] = PendingRefusal(now, homes)
        self.refusals.move_to_end(flow)
        if len(self.refusals) > MAXIMUM_REFUSALS:
            self.refusals.popitem(last=False)
        return [SendPeer(address, OwnerQuery(flow)) for address in sorted(homes)]

    def on_owner_query(self, event: PeerMessageArrived) -> list[Effect]:
        """Reply, as a home, that a flow has no known owner; do not reply if it may have one."""
        flow = event.message.flow
        if self.may_be_opened(flow, event.now):
            return self.withdraw_refusal(flow)
        return [SendPeer(event.sender, OwnerUnknown(flow))]

    def on_owner_unknown(self, event: PeerMessageArrived) -> list[Effect]:
        """Reset a refused flow once all homes that were asked know no owner.

        Replies that took long, on their way or here, say too little about the present.
        """
        flow = event.message.flow
        refusal = self.refusals.get(flow)
        if refusal is None:
            return []
        homes = refusal.homes - {event.sender}
        if homes:
            self.refusals[flow] = refusal._replace(homes=homes)
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
