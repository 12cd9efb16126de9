"""The effects that a reducer asks its driver to carry out."""

from typing import Any, NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Forward, PeerMessage
from heatheryoke.core.records import Position
from heatheryoke.inventory.model import Address

__all__ = [
    "AnswerCaller",
    "BindFlow",
    "CloseFlow",
    "Count",
    "Deliver",
    "DiscardQueued",
    "Effect",
    "Fault",
    "FetchConfiguration",
    "LogChange",
    "LogFlow",
    "Measure",
    "PostponeStoreRead",
    "ProbeUpstream",
    "ScheduleTick",
    "SendForward",
    "SendPeer",
    "Stopped",
]


class SendForward(NamedTuple):
    """Send a caller's packet to another process."""

    to: Address
    message: Forward


class SendPeer(NamedTuple):
    """Send a control message to another process."""

    to: Address
    message: PeerMessage


class BindFlow(NamedTuple):
    """Bind the local port by which the upstream is to know a flow, 0 for any.

    The driver answers with `FlowBound`; it binds another port if the requested one is taken.
    """

    flow: FlowKey
    upstream: Address
    local_port: int


class Deliver(NamedTuple):
    """Hand a datagram to the upstream from the flow's own local port."""

    flow: FlowKey
    payload: bytes


class AnswerCaller(NamedTuple):
    """Send a datagram to the flow's caller, from the service's address."""

    flow: FlowKey
    payload: bytes


class CloseFlow(NamedTuple):
    """Close the flow's local port."""

    flow: FlowKey


class FetchConfiguration(NamedTuple):
    """Read the platform's document now."""


class DiscardQueued(NamedTuple):
    """Discard all datagrams queued in the sockets, after the process was paused."""


class Count(NamedTuple):
    """Add to the counter of an event."""

    name: str
    amount: int = 1


class Measure(NamedTuple):
    """Add a value to the histogram of a team and class."""

    name: str
    team: str
    request_class: str
    value: float


class LogChange(NamedTuple):
    """Log a change of state."""

    subject: str
    state: str
    reason: str


class LogFlow(NamedTuple):
    """Log a decision on a flow, with the facts it was based on."""

    flow: FlowKey
    decision: str
    facts: tuple[tuple[str, Any], ...] = ()


class Fault(NamedTuple):
    """Count and log an unexpected exception, which has cost one item or task alone."""

    kind: str
    error: Exception


class PostponeStoreRead(NamedTuple):
    """Postpone the next read: all changes of the store up to a position have been received.

    `sender_precedes` is True if their sender has a lower rank, so that this process stops reading.
    """

    position: Position
    sender_precedes: bool


class ProbeUpstream(NamedTuple):
    """Check whether the upstream's process is running, without sending a request."""


class ScheduleTick(NamedTuple):
    """Make the next tick come no later than in `delay_s` seconds."""

    delay_s: float


class Stopped(NamedTuple):
    """The graceful stop is complete; the process may exit."""


Effect = (
    SendForward
    | SendPeer
    | BindFlow
    | Deliver
    | AnswerCaller
    | CloseFlow
    | FetchConfiguration
    | DiscardQueued
    | Count
    | Measure
    | LogChange
    | LogFlow
    | Fault
    | PostponeStoreRead
    | ProbeUpstream
    | ScheduleTick
    | Stopped
)
