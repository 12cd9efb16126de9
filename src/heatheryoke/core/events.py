"""The events that a reducer handles. Times are in monotonic seconds."""

from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.messages import Forward, PeerMessage
from heatheryoke.core.records import Position, StoreItem
from heatheryoke.inventory.model import Address, Document

__all__ = [
    "CallerPacket",
    "ConfigurationOffered",
    "Event",
    "FlowBound",
    "ForwardArrived",
    "PeerMessageArrived",
    "PlatformUnavailable",
    "StopRequested",
    "StoreChanged",
    "StoreRead",
    "Tick",
    "UpstreamGone",
    "UpstreamPacket",
]


class CallerPacket(NamedTuple):
    """A caller's datagram that the fabric delivered to a balancer."""

    now: float
    flow: FlowKey
    kind: PacketKind
    payload: bytes


class ForwardArrived(NamedTuple):
    """A caller's packet forwarded by another process."""

    now: float
    sender: Address
    epoch: int
    message: Forward


class PeerMessageArrived(NamedTuple):
    """A control message from another process."""

    now: float
    sender: Address
    epoch: int
    message: PeerMessage


class UpstreamPacket(NamedTuple):
    """A datagram that the upstream sent to the local port of a flow."""

    now: float
    flow: FlowKey
    payload: bytes


class FlowBound(NamedTuple):
    """The local port by which the upstream now knows a flow."""

    now: float
    flow: FlowKey
    local_port: int


class UpstreamGone(NamedTuple):
    """The upstream's port refused a datagram of a flow: no process listens there."""

    now: float
    flow: FlowKey


class UpstreamDown(NamedTuple):
    """Nothing listens at the upstream's address: its process is not running."""

    now: float


class ConfigurationOffered(NamedTuple):
    """A document that was read from the platform and passed its checks."""

    now: float
    document: Document


class PlatformUnavailable(NamedTuple):
    """A read of the platform failed."""

    now: float
    reason: str = ""


class StoreRead(NamedTuple):
    """The complete contents of the platform's store as of a position."""

    now: float
    items: tuple[StoreItem, ...]
    position: Position = Position()


class StoreChanged(NamedTuple):
    """The items of the platform's store that changed after one position, up to another."""

    now: float
    items: tuple[StoreItem, ...]
    after: Position = Position()
    position: Position = Position()


class Tick(NamedTuple):
    """Sent every `TICK_S` for periodic work."""

    now: float


class StopRequested(NamedTuple):
    """A request to stop gracefully."""

    now: float


Event = (
    CallerPacket
    | ForwardArrived
    | PeerMessageArrived
    | UpstreamPacket
    | FlowBound
    | UpstreamGone
    | UpstreamDown
    | ConfigurationOffered
    | PlatformUnavailable
    | StoreRead
    | StoreChanged
    | Tick
    | StopRequested
)
