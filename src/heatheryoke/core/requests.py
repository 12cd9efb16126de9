"""Requests as the agent sees them, whatever protocol carries them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, IntEnum
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.inventory.model import Service

__all__ = [
    "ActiveRequest",
    "Answer",
    "CodecFactory",
    "OpaqueCodec",
    "RefusalReason",
    "Request",
    "RequestCodec",
    "RequestKind",
    "RequestPhase",
]


class RequestKind(IntEnum):
    """What a caller's datagram asks for."""

    READ = 0
    WRITE = 1
    FEED = 2
    CANCEL = 3
    CONTROL = 4


class RefusalReason(Enum):
    """Why a request gets a final answer that the upstream did not give.

    `not_run` tells whether the answer states that the request was not run.
    """

    OVERLOADED = ("overloaded", True)
    EXPIRED = ("expired in the queue", True)
    WITHDRAWN = ("failure domain withdrawn", True)
    NO_ROOM = ("no upstream has room", True)
    STOPPING = ("stopping", True)
    FEED_ENDED = ("feed ended", False)
    OUTCOME_UNKNOWN = ("outcome unknown", False)

    def __init__(self, text: str, not_run: bool):
        self.text = text
        self.not_run = not_run


class Request(NamedTuple):
    """A caller's request; `timeout_s` is None if the caller gave none.

    One that `continues` asks for a further part of an answer that has begun: it is no new work.
    """

    kind: RequestKind
    token: bytes
    message_id: int
    request_id: bytes = b""
    request_class: str = ""
    timeout_s: float | None = None
    continues: bool = False


class Answer(NamedTuple):
    """An upstream's datagram; `final` is False for a bare acknowledgement."""

    token: bytes
    message_id: int
    final: bool
    refused: bool
    feed: bool


class RequestPhase(Enum):
    """Where a request stands."""

    CLAIMING = "claiming"
    WAITING = "waiting for another runner"
    QUEUED = "queued"
    RUNNING = "running"
    FEEDING = "feeding"
    ABANDONED = "answered without the upstream"


class ActiveRequest:
    """A request that has not been answered, or a feed that goes on.

    One that `renews` opens a feed again at its upstream, for a caller that need not know.
    """

    __slots__ = (
        "arrived",
        "attempt",
        "deadline",
        "flow",
        "overdue",
        "payload",
        "phase",
        "renews",
        "request",
        "service",
        "started",
        "weight",
    )

    def __init__(
        self,
        flow: FlowKey,
        service: str,
        request: Request,
        payload: bytes,
        arrived: float,
        deadline: float,
        weight: float,
    ):
        self.flow = flow
        self.service = service
        self.request = request
        self.payload = payload
        self.arrived = arrived
        self.deadline = deadline
        self.weight = weight
        self.phase = RequestPhase.QUEUED
        self.started = 0.0
        self.attempt = 0
        self.overdue = False
        self.renews = False


class RequestCodec(ABC):
    """Reads and writes one protocol's requests and answers."""

    @abstractmethod
    def read_request(self, payload: bytes) -> Request | None:
        """Return the request in a caller's datagram, None if it is malformed."""

    @abstractmethod
    def read_answer(self, payload: bytes) -> Answer | None:
        """Return the answer in an upstream's datagram, None if it is malformed."""

    @abstractmethod
    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return the final answer to a request's datagram, with when to come back."""

    @abstractmethod
    def readdress(self, answer: bytes, payload: bytes) -> bytes:
        """Return another request's answer as the answer to the request in `payload`."""

    @abstractmethod
    def stamp(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Return a request's datagram with the time after which the upstream must not start it."""

    @abstractmethod
    def probe(self, message_id: int) -> bytes:
        """Return a datagram that asks an upstream for a sign of life, empty if there is none."""

    @abstractmethod
    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return a feed's request, to be sent again under a new message id."""


CodecFactory = Callable[[Service], RequestCodec]


class OpaqueCodec(RequestCodec):
    """A protocol that agents do not read: every datagram passes."""

    def read_request(self, payload: bytes) -> Request | None:
        """Take any datagram as part of its flow."""
        return Request(RequestKind.CONTROL, b"", 0)

    def read_answer(self, payload: bytes) -> Answer | None:
        """Take any datagram as part of its flow."""
        return Answer(b"", 0, final=False, refused=False, feed=False)

    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return nothing, since an unread protocol has no refusal."""
        return b""

    def readdress(self, answer: bytes, payload: bytes) -> bytes:
        """Return the answer as it is."""
        return answer

    def stamp(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Return the datagram as it is."""
        return payload

    def probe(self, message_id: int) -> bytes:
        """Return nothing, since an unread protocol has no probe."""
        return b""

    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return nothing, since an unread protocol has no feeds."""
        return b""
