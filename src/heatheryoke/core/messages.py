"""Messages between the system's own processes; `heatheryoke.wire` gives their encoding."""

from enum import IntEnum
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.records import StoreItem
from heatheryoke.inventory.model import Address

__all__ = [
    "HOP_LIMIT",
    "Accusation",
    "Accusations",
    "ClaimHandover",
    "ClaimHandoverAck",
    "ClaimHandoverDone",
    "ClaimRecord",
    "ClaimRelease",
    "ClaimReply",
    "ClaimRequest",
    "ClaimVerdict",
    "ConfigurationPart",
    "ConfigurationRequest",
    "EpochNotice",
    "FormerTopology",
    "Forward",
    "Heartbeat",
    "Hint",
    "PeerMessage",
    "RecoveryReply",
    "RecoveryRequest",
    "Registration",
    "Registrations",
    "RegistrationsAck",
    "ResultReply",
    "ResultRequest",
    "ResultState",
    "ViewNews",
    "Visit",
    "WitnessSet",
    "Yield",
]

HOP_LIMIT = 12


class Visit(NamedTuple):
    """One candidate that a new flow's first packet passed, with its load there."""

    host_id: int
    load: float


class Forward(NamedTuple):
    """A caller's packet on its way to the owner of its flow.

    `service_id` is the service that the sender meant; `via` is the balancer to send a hint to;
    `assigned` tells the receiver that it is the owner, with the `local_port` (0 for any) by which
    the upstream knows the flow and the `generation` of that decision. `deputed` tells the receiver
    to place the flow if it does not know it, though another host is the home in the newest epoch.
    """

    flow: FlowKey
    service_id: int
    kind: PacketKind
    hops: int
    via: Address
    payload: bytes
    visited: tuple[Visit, ...] = ()
    assigned: bool = False
    deputed: bool = False
    local_port: int = 0
    generation: int = 0


class Hint(NamedTuple):
    """Tells a balancer which host owns a flow."""

    flow: FlowKey
    owner_id: int


class Registration(NamedTuple):
    """One flow as its owner reports it to the flow's homes.

    `local_port` is the port by which the upstream knows the flow, 0 while unknown. The registration
    of the highest `generation` stands; `feeds` are the requests that opened its standing feeds.
    """

    flow: FlowKey
    owner: str
    generation: int
    local_port: int
    answered: bool
    closed: bool
    feeds: tuple[bytes, ...]


class Registrations(NamedTuple):
    """A batch of registrations from one owner, to be acknowledged by its number."""

    batch: int
    entries: tuple[Registration, ...]


class RegistrationsAck(NamedTuple):
    """Acknowledges a batch of registrations."""

    batch: int


class Yield(NamedTuple):
    """Tells the losing owner of a flow that another host owns it."""

    flow: FlowKey
    owner: str


class ClaimRecord(NamedTuple):
    """A witness's record that `runner` may run the request `request_id`."""

    request_id: bytes
    runner: str
    attempt: int
    remaining_s: float


class FormerTopology(NamedTuple):
    """A document that was in force until `age_s` ago, as a change from the one after it."""

    age_s: float
    change: bytes


class ViewNews(NamedTuple):
    """All that has changed in the platform's store after one revision, up to the newest.

    Of several processes that read, the one with the least `rank` goes on.
    """

    rank: int
    after: int
    revision: int
    items: tuple[StoreItem, ...]


class RecoveryRequest(NamedTuple):
    """A restarted agent asks a peer for what it held; the answer repeats the question's number."""

    host: str
    incarnation: int
    question: int


class RecoveryReply(NamedTuple):
    """One part of a peer's answer to a recovery request.

    `complete` is False while the peer itself has not recovered its claims; `handed_over` tells
    that the asker's former process gave its claims to every peer before it stopped. The first part
    has the documents of a claim's lifetime, newest first, if the peer knows them all.
    """

    question: int
    part: int
    parts: int
    complete: bool
    handed_over: bool
    entries: tuple[Registration, ...]
    claims: tuple[ClaimRecord, ...]
    knows_history: bool = False
    history: tuple[FormerTopology, ...] = ()


class ClaimHandover(NamedTuple):
    """Claims that a stopping witness gives to another."""

    host: str
    part: int
    claims: tuple[ClaimRecord, ...]


class ClaimHandoverAck(NamedTuple):
    """Tells a stopping witness that `host` holds a part of its claims."""

    host: str
    part: int


class ClaimHandoverDone(NamedTuple):
    """Tells that every peer holds the claims of `host`, which stops."""

    host: str


class Heartbeat(NamedTuple):
    """Sent each second by a process to those that watch it."""

    host: str
    incarnation: int
    digest: int


class Accusation(NamedTuple):
    """One watcher's latest word on whether a host is silent; `counter` orders its words."""

    accuser: str
    host: str
    counter: int
    suspected: bool


class Accusations(NamedTuple):
    """News of accusations; the receiver passes them on to the next `span` hosts of the ring."""

    span: int
    entries: tuple[Accusation, ...]


class EpochNotice(NamedTuple):
    """News of the sender's epoch; the receiver passes it on to the next `span` hosts."""

    span: int


class ConfigurationRequest(NamedTuple):
    """Asks a peer for its document, as a change from version `have` if it can."""

    have: int


class ConfigurationPart(NamedTuple):
    """One part of a document (`base` 0) or of a change from version `base`."""

    version: int
    base: int
    part: int
    parts: int
    data: bytes


class ClaimRequest(NamedTuple):
    """Asks a witness to let `runner` run a request of a service.

    `supersedes` names an attempt known to be released; `lacks_history` tells that the runner does
    not know the witnesses of every epoch in force during a claim's lifetime.
    """

    service: str
    request_id: bytes
    runner: str
    attempt: int
    supersedes: int = 0
    lacks_history: bool = False


class ClaimVerdict(IntEnum):
    """A witness's answer to a claim."""

    GRANTED = 0
    HELD = 1
    RECOVERING = 2


class WitnessSet(NamedTuple):
    """The witnesses that one epoch gave a request id."""

    hosts: tuple[str, ...]


class ClaimReply(NamedTuple):
    """A witness's answer; `holder` and `holder_attempt` name the claim that stands.

    To a runner that lacks history, a witness that has it names the witnesses of former epochs.
    """

    request_id: bytes
    witness: str
    attempt: int
    verdict: ClaimVerdict
    holder: str
    holder_attempt: int
    knows_history: bool = False
    former_sets: tuple[WitnessSet, ...] = ()


class ClaimRelease(NamedTuple):
    """Tells a witness that an attempt was never started and never will be."""

    request_id: bytes
    runner: str
    attempt: int


class ResultRequest(NamedTuple):
    """Asks the holder of a claim for the answer to the request, asked here `age_s` ago."""

    request_id: bytes
    holder_attempt: int
    age_s: float


class ResultState(IntEnum):
    """What the holder of a claim says about it.

    RELEASED: it was never started, and may be claimed anew. REFUSED: the same, but its caller was
    told so after the asker's request had arrived, so that the asker must refuse it too.
    """

    PENDING = 0
    ANSWERED = 1
    RELEASED = 2
    UNKNOWN = 3
    REFUSED = 4


class ResultReply(NamedTuple):
    """The holder's word on a request; `answer` is the upstream's datagram when answered."""

    request_id: bytes
    holder_attempt: int
    state: ResultState
    answer: bytes


PeerMessage = (
    Hint
    | Registrations
    | RegistrationsAck
    | Yield
    | RecoveryRequest
    | ViewNews
    | RecoveryReply
    | ClaimHandover
    | ClaimHandoverAck
    | ClaimHandoverDone
    | Heartbeat
    | Accusations
    | EpochNotice
    | ConfigurationRequest
    | ConfigurationPart
    | ClaimRequest
    | ClaimReply
    | ClaimRelease
    | ResultRequest
    | ResultReply
)
