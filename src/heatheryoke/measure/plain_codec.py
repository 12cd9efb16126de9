"""A small request protocol for measures and tests, read by agents like any other.

kind, phase, message id, class, token, request id, text
"""

import struct
from typing import NamedTuple

from heatheryoke.core.requests import Answer, RefusalReason, Request, RequestCodec, RequestKind
from heatheryoke.inventory.model import Service

__all__ = ["ANSWER", "REFUSAL", "REQUEST", "UNKNOWN", "PlainCodec", "PlainMessage"]

HEAD = struct.Struct("!BBHBBBBf")
REQUEST = 0
ANSWER = 1
REFUSAL = 2
UNKNOWN = 3


class PlainMessage(NamedTuple):
    """One datagram; `number` is the timeout of a request or the retry time of a refusal."""

    phase: int
    kind: RequestKind
    message_id: int
    request_class: str
    token: bytes
    request_id: bytes = b""
    text: bytes = b""
    feed: bool = False
    number: float = 0.0

    def encode(self) -> bytes:
        """Return the datagram."""
        name = self.request_class.encode()
        head = HEAD.pack(
            self.phase,
            self.kind,
            self.message_id,
            len(name),
            len(self.token),
            len(self.request_id),
            self.feed,
            self.number,
        )
        return head + name + self.token + self.request_id + self.text

    @classmethod
    def decode(cls, data: bytes) -> "PlainMessage | None":
        """Read a datagram; None if it is malformed."""
        if len(data) < HEAD.size:
            return None
        phase, kind, message_id, name, token, request_id, feed, number = HEAD.unpack_from(data)
        ends = [HEAD.size, HEAD.size + name, HEAD.size + name + token]
        ends.append(ends[-1] + request_id)
        if kind > RequestKind.CONTROL or len(data) < ends[-1]:
            return None
        return cls(
            phase,
            RequestKind(kind),
            message_id,
            data[ends[0] : ends[1]].decode(errors="replace"),
            data[ends[1] : ends[2]],
            data[ends[2] : ends[3]],
            data[ends[3] :],
            bool(feed),
            number,
        )


class PlainCodec(RequestCodec):
    """Reads and writes `PlainMessage`."""

    def __init__(self, service: Service):
        self.service = service

    def read_request(self, payload: bytes) -> Request | None:
        """Return the request in a caller's datagram, None if it is malformed."""
        message = PlainMessage.decode(payload)
        if message is None or message.phase != REQUEST:
            return None
        return Request(
            message.kind,
            message.token,
            message.message_id,
            message.request_id,
            message.request_class,
            message.number or None,
        )

    def read_answer(self, payload: bytes) -> Answer | None:
        """Return the answer in an upstream's datagram, None if it is malformed."""
        message = PlainMessage.decode(payload)
        if message is None or message.phase == REQUEST:
            return None
        refused = message.phase == REFUSAL
        return Answer(message.token, message.message_id, True, refused, message.feed)

    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return the final answer to a request's datagram, with when to come back."""
        phase = REFUSAL if reason.not_run else UNKNOWN
        request = PlainMessage.decode(payload)
        return request._replace(phase=phase, text=reason.name.encode(), number=retry_s).encode()

    def readdress(self, answer: bytes, payload: bytes) -> bytes:
        """Return another request's answer as the answer to the request in `payload`."""
        request = PlainMessage.decode(payload)
        found = PlainMessage.decode(answer)
        return found._replace(token=request.token, message_id=request.message_id).encode()

    def stamp(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Return a request's datagram with its deadline in place of its timeout."""
        return PlainMessage.decode(payload)._replace(number=deadline_unix_s).encode()

    def probe(self, message_id: int) -> bytes:
        """Return a control message."""
        text = f"{self.service.name}|probe".encode()
        return PlainMessage(REQUEST, RequestKind.CONTROL, message_id, "", b"", text=text).encode()

    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return a feed's request, to be sent again under a new message id."""
        return PlainMessage.decode(payload)._replace(message_id=message_id).encode()
