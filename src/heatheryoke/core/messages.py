"""Messages between the system's own processes; `heatheryoke.wire` encodes them."""

from enum import IntEnum
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.records import Position, StoreItem
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
    "ConfigurationQuery",
    "ConfigurationReply",
    "ConfigurationRequest",
    "EpochNotice",
    "FormerTopology",
    "Forward",
    "Heartbeat",
    "Hint",
    "OpeningAck",
    "OwnerQuery",
    "OwnerUnknown",
    "PeerMessage",
    "Ping",
    "Pong",
    "RecoveryReply",
    "RecoveryRequest",
    "Registration",
    "Registrations",
    "RegistrationsAck",
    "Relayed",
    "ResultReply",
    "ResultRequest",
    "ResultState",
    "Search",
    "StoreSnapshot",
    "StoreUpdate",
    "Visit",
    "WitnessSet",
    "Yield",
]

HOP_LIMIT = 12
# Generation of a registration that a former release's `Yield` names: it tells none, and expects
# that the receiver drops the flow.
LATEST_GENERATION = 2**32 - 1


class Visit(NamedTuple):
    """A candidate owner that a new flow's first packet has visited, with its load."""

    host_id: int
    load: float


class Search(NamedTuple):
    """Progress of the search for the owner of an unknown flow.

    `asked` are the hosts that do not hold it, by the low 32 bits of their ids. `longest_uptime_s`
    is the longest time that any of their processes has run.
    """

    asked: tuple[int, ...] = ()
    longest_uptime_s: float = 0.0


class Forward(NamedTuple):
    """A caller's packet on its way to the owner of its flow.

    `service_id` is the service that the sender selected; `via` is the balancer to send a hint to.
    `assigned` means that the receiver is the owner, with the `local_port` (0 for any) by which the
    upstream knows the flow and the `generation` of that decision. `place_here` means that the
    receiver places an unknown flow, although another host is the home in the newest epoch.
    `service_epoch` is the version of the configuration that the service was selected by.
    """

    flow: FlowKey
    service_id: int
    kind: PacketKind
    hops: int
    via: Address
    payload: bytes
    visited: tuple[Visit, ...] = ()
    assigned: bool = False
    place_here: bool = False
    local_port: int = 0
    generation: int = 0
    search: Search = Search()
    service_epoch: int = 0


class Hint(NamedTuple):
    """Informs a balancer which host owns a flow."""

    flow: FlowKey
    owner_id: int


class OpeningAck(NamedTuple):
    """Acknowledges to the sender of a flow's first packet that it has arrived."""

    flow: FlowKey


class Ping(NamedTuple):
    """Asks for a `Pong`, to find out whether its receiver is within reach."""


class Pong(NamedTuple):
    """Acknowledges a `Ping`."""


class Relayed(NamedTuple):
    """A message for a host that its sender, `origin`, cannot reach, for the receiver to send on."""

    origin: Address
    to: Address
    message: "Forward | PeerMessage"


class Registration(NamedTuple):
    """A flow as its owner reports it to the flow's homes.

    `local_port` is the port by which the upstream knows the flow, 0 while unknown. The registration
    of the highest `generation` wins; `feeds` are the requests that opened the flow's active feeds.
    """

    flow: FlowKey
    owner: str
    generation: int
    local_port: int
    answered: bool
    closed: bool
    feeds: tuple[bytes, ...]


class Registrations(NamedTuple):
    """A batch of registrations from one owner, acknowledged by its number."""

    batch: int
    entries: tuple[Registration, ...]


class RegistrationsAck(NamedTuple):
    """Acknowledges a batch of registrations."""

    batch: int


class Yield(NamedTuple):
    """Informs an owner of a flow that the registration of another owner takes precedence.

    `generation` and `answered` are those of that registration. The receiver compares them with its
    own state, which the sender may know only as it was before.
    """

    flow: FlowKey
    owner: str
    generation: int = LATEST_GENERATION
    answered: bool = False

    def registration(self) -> Registration:
        """Return the registration that takes precedence, as far as it is known."""
        return Registration(self.flow, self.owner, self.generation, 0, self.answered, False, ())


class OwnerQuery(NamedTuple):
    """Asks whether an owner of a new flow is known, before the flow is refused."""

    flow: FlowKey


class OwnerUnknown(NamedTuple):
    """Replies to an `OwnerQuery` that no owner is known; without a reply there may be one."""

    flow: FlowKey


class ClaimRecord(NamedTuple):
    """A witness's record that `runner` may run the request `request_id`."""

    request_id: bytes
    runner: str
    attempt: int
    remaining_s: float


class FormerTopology(NamedTuple):
    """A document in force until `age_s` ago, as a change from the one that replaced it."""

    age_s: float
    change: bytes


class ConfigurationQuery(NamedTuple):
    """Asks a process for its configuration, if that is newer than version `epoch`."""

    epoch: int


class ConfigurationReply(NamedTuple):
    """The store's item of the configuration in force at the sender."""

    item: StoreItem


class StoreUpdate(NamedTuple):
    """All changes of the platform's store after one position, up to another of the same era.

    Of several processes that read the store, the one with the lowest `rank` continues.
    """

    rank: int
    after: Position
    position: Position
    items: tuple[StoreItem, ...]


class StoreSnapshot(NamedTuple):
    """The complete contents of the store as of a position in an era that has just begun."""

    rank: int
    position: Position
    items: tuple[StoreItem, ...]


class RecoveryRequest(NamedTuple):
    """A restarted agent's request for the state it had; replies repeat the number in `question`."""

    host: str
    incarnation: int
    question: int


class RecoveryReply(NamedTuple):
    """One part of a peer's reply to a recovery request.

    `complete` is False while the peer itself has not recovered its claims; `handed_over` means
    that the former process of the requesting host handed its claims over to every peer before it
    stopped. The first part has the documents that were in force during a claim's lifetime, newest
    first, if the peer knows them all.
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
    """Claims that a stopping witness hands over to another."""

    host: str
    part: int
    claims: tuple[ClaimRecord, ...]


class ClaimHandoverAck(NamedTuple):
    """Confirms to a stopping witness that `host` holds a part of its claims."""

    host: str
    part: int


class ClaimHandoverDone(NamedTuple):
    """Announces that every peer holds the claims of `host`, which is stopping."""

    host: str


class Heartbeat(NamedTuple):
    """Sent every second by a process to its watchers."""

    host: str
    incarnation: int
    digest: int


class Accusation(NamedTuple):
    """A watcher's latest statement on whether a host is silent; `counter` orders its statements."""

    accuser: str
    host: str
    counter: int
    suspected: bool


class Accusations(NamedTuple):
    """Accusations that the receiver relays to the next `span` hosts of the ring."""

    span: int
    entries: tuple[Accusation, ...]


class EpochNotice(NamedTuple):
    """Announces the sender's epoch; the receiver relays it to the next `span` hosts."""

    span: int


class ConfigurationRequest(NamedTuple):
    """Requests a peer's document, as a change from version `have` if possible."""

    have: int


class ConfigurationPart(NamedTuple):
    """One part of a document (`base` 0) or of a change from version `base`."""

    version: int
    base: int
    part: int
    parts: int
    data: bytes


class ClaimRequest(NamedTuple):
    """Asks a witness to grant `runner` the claim on a request of a service.

    `supersedes` is an attempt known to be released; `lacks_history` means that the runner does not
    know the witnesses of every epoch in force during a claim's lifetime.
    """

    service: str
    request_id: bytes
    runner: str
    attempt: int
    supersedes: int = 0
    lacks_history: bool = False


class ClaimVerdict(IntEnum):
    """A witness's decision on a claim request."""

    GRANTED = 0
    HELD = 1
    RECOVERING = 2


class WitnessSet(NamedTuple):
    """The witnesses of a request id in one epoch."""

    hosts: tuple[str, ...]


class ClaimReply(NamedTuple):
    """A witness's reply; `holder` and `holder_attempt` identify the claim in force.

    `former_sets` gives the witnesses of former epochs to a runner that lacks history, if the
    witness knows it.
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
    """Informs a witness that an attempt was not started and never will be."""

    request_id: bytes
    runner: str
    attempt: int


class ResultRequest(NamedTuple):
    """Asks a claim's holder for the answer to a request that reached the sender `age_s` ago."""

    request_id: bytes
    holder_attempt: int
    age_s: float


class ResultState(IntEnum):
    """The state of a request at the holder of its claim.

    RELEASED: the request was not started and may be claimed again. REFUSED: the same, but the
    holder refused it to its caller after the asking host had received the request too, so that
    the asking host must also refuse it.
    """

    PENDING = 0
    ANSWERED = 1
    RELEASED = 2
    UNKNOWN = 3
    REFUSED = 4


class ResultReply(NamedTuple):
    """The holder's reply on a request; `answer` is the upstream's datagram if it has answered."""

    request_id: bytes
    holder_attempt: int
    state: ResultState
    answer: bytes


PeerMessage = (
    Hint
    | OpeningAck
    | Ping
    | Pong
    | Relayed
    | Registrations
    | RegistrationsAck
    | Yield
    | OwnerQuery
    | OwnerUnknown
    | RecoveryRequest
    | StoreSnapshot
    | StoreUpdate
    | ConfigurationQuery
    | ConfigurationReply
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
