"""Refusals of new flows: a reset is sent once both homes have confirmed that nobody owns the flow.

A copy of a first packet, or one that was sent another way since its acknowledgement was late, may
find no room after another agent's upstream has accepted the flow. Only the flow's homes know, since
an owner registers there as soon as its upstream has accepted.
"""

from abc import abstractmethod
from typing import Any

from heatheryoke.core.effects import AnswerCaller, Count, Effect, LogFlow, SendPeer
from heatheryoke.core.events import PeerMessageArrived
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Forward, Refusal
from heatheryoke.core.stream_owner import StreamOwner
from heatheryoke.inventory.model import Service

__all__ = ["StreamRefusal"]


class StreamRefusal(StreamOwner):
    """Refuses new flows that no upstream admits, unless another agent has opened them."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.message_handlers[Refusal] = self.on_refusal

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
        refusal = Refusal(message.flow, self.host_name, reason, 0)
        return [
            Count("flows_refused"),
            LogFlow(message.flow, "refused", facts),
            *self.confirm_refusal(refusal, self.last_event),
        ]

    def on_refusal(self, event: PeerMessageArrived) -> list[Effect]:
        """Confirm another agent's refusal, as a home of the flow."""
        return self.confirm_refusal(event.message, event.now)

    def confirm_refusal(self, refusal: Refusal, now: float) -> list[Effect]:
        """Withdraw a refusal if the flow has an owner, else ask the next home, or reset the flow.

        While no home is within reach, the caller is told nothing: its own time-out ends the flow.
        """
        flow = refusal.flow
        if self.may_be_opened(flow, now):
            facts = (("reason", refusal.reason), ("refused_by", refusal.host))
            return [Count("refusals_withdrawn"), LogFlow(flow, "refusal withdrawn", facts)]
        homes = self.topology.homes(flow)
        for checked, home in enumerate(homes[refusal.checked :], refusal.checked + 1):
            if home.name != self.host_name and self.is_usable(home):
                return [SendPeer(home.address, refusal._replace(checked=checked))]
        is_home = any(home.name == self.host_name for home in homes)
        if homes and not is_home:
            return [Count("refusals_unconfirmed")]
        return [AnswerCaller(flow, self.codec.reset(flow, 0))]

    def may_be_opened(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow is owned or waits here, or an owner in the view registered it."""
        if flow in self.flows.flows or self.is_waiting(flow):
            return True
        entry = self.directory.find(flow, now)
        if entry is None or entry.tentative:
            return False
        return entry.registration.owner in self.topology.hosts
