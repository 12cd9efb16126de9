"""Requests, answers and the codec interface, independent of the protocol."""

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
    """The kind of a caller's datagram."""

    READ = 0
    WRITE = 1
    FEED = 2
    CANCEL = 3
    CONTROL = 4


class RefusalReason(Enum):
    """Why a request is answered without the upstream.

    `not_run` is true if the answer states that the request was not run.
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

    `is_continuation` marks a request for a further part of an answer in transfer. Such a request
    is not subject to admission control, since it adds no work.
    """

    kind: RequestKind
    token: bytes
    message_id: int
    request_id: bytes = b""
    request_class: str = ""
    timeout_s: float | None = None
    is_continuation: bool = False


class Answer(NamedTuple):
    """An upstream's datagram; `final` is False for a bare acknowledgement."""

    token: bytes
    message_id: int
    final: bool
    refused: bool
    feed: bool


class RequestPhase(Enum):
    """The phase of a request's processing."""

    CLAIMING = "claiming"
    WAITING = "waiting for another runner"
    QUEUED = "queued"
    RUNNING = "running"
    FEEDING = "feeding"
    ABANDONED = "answered without the upstream"


class ActiveRequest:
    """A pending request or an open feed.

    `is_renewal` marks a request by which this host reopens a feed at its upstream.
    """

    __slots__ = (
        "arrived",
        "attempt",
        "deadline",
        "flow",
        "is_renewal",
        "notification_number",
        "overdue",
        "payload",
        "phase",
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
        self.is_renewal = False
        self.notification_number: int | None = None


class RequestCodec(ABC):
    """Decodes and encodes one protocol's requests and answers."""

    @abstractmethod
    def read_request(self, payload: bytes) -> Request | None:
        """Return the request in a caller's datagram, or None if it is malformed."""

    @abstractmethod
    def read_answer(self, payload: bytes) -> Answer | None:
        """Return the answer in an upstream's datagram, or None if it is malformed."""

    @abstractmethod
    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return a refusal of the request in `payload`, with a retry time."""

    @abstractmethod
    def copy_answer(self, answer: bytes, payload: bytes) -> bytes:
        """Return another request's answer as the answer to the request in `payload`."""

    @abstractmethod
    def add_deadline(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Return a request's datagram with the time after which the upstream must not start it."""

    @abstractmethod
    def probe(self, message_id: int) -> bytes:
        """Return a liveness probe, or empty bytes if the protocol has none."""

    @abstractmethod
    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return a feed's request with a new message id."""

    @abstractmethod
    def number_notification(self, payload: bytes, number: int) -> bytes:
        """Return a feed's notification with its number in the order of notifications."""


CodecFactory = Callable[[Service], RequestCodec]


class OpaqueCodec(RequestCodec):
    """The codec of an opaque protocol, whose datagrams are forwarded unread."""

    def read_request(self, payload: bytes) -> Request | None:
        """Return a control request for any datagram."""
        return Request(RequestKind.CONTROL, b"", 0)

    def read_answer(self, payload: bytes) -> Answer | None:
        """Return a non-final answer for any datagram."""
        return Answer(b"", 0, final=False, refused=False, feed=False)

    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return empty bytes, since an opaque protocol has no refusals."""
        return b""

    def copy_answer(self, answer: bytes, payload: bytes) -> bytes:
        """Return the answer unchanged."""
        return answer

    def add_deadline(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Return the datagram unchanged."""
        return payload

    def probe(self, message_id: int) -> bytes:
        """Return empty bytes, since an opaque protocol has no probe."""
        return b""

    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return empty bytes, since an opaque protocol has no feeds."""
        return b""

    def number_notification(self, payload: bytes, number: int) -> bytes:
        """Return the datagram unchanged."""
        return payload
