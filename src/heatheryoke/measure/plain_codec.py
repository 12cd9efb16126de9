"""A small request protocol for simulations and tests, which agents decode like any other.

A datagram has a head of fixed size (phase, kind, message id, the lengths of the next three fields,
feed flag, number), then the request class, the token, the request id and the text.
"""

import struct
from typing import NamedTuple

from heatheryoke.core.requests import Answer, RefusalReason, Request, RequestCodec, RequestKind
from heatheryoke.inventory.model import Service

__all__ = ["ANSWER", "REFUSAL", "REQUEST", "UNKNOWN", "PlainCodec", "PlainMessage"]

HEADER = struct.Struct("!BBHBBBBf")
REQUEST = 0
ANSWER = 1
REFUSAL = 2
UNKNOWN = 3


class PlainMessage(NamedTuple):
    """One datagram; `number` is a request's timeout or deadline, or a refusal's retry time."""

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
        """Encode the message as a datagram."""
        request_class = self.request_class.encode()
        head = HEADER.pack(
            self.phase,
            self.kind,
            self.message_id,
            len(request_class),
            len(self.token),
            len(self.request_id),
            self.feed,
            self.number,
        )
        return head + request_class + self.token + self.request_id + self.text

    @classmethod
    def decode(cls, data: bytes) -> "PlainMessage | None":
        """Decode a datagram; return None if it is malformed."""
        if len(data) < HEADER.size:
            return None
        phase, kind, message_id, name, token, request_id, feed, number = HEADER.unpack_from(data)
        ends = [HEADER.size, HEADER.size + name, HEADER.size + name + token]
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
    """Decodes and encodes datagrams as `PlainMessage`."""

    def __init__(self, service: Service):
        self.service = service

    def read_request(self, payload: bytes) -> Request | None:
        """Return the request in a caller's datagram, or None if it is malformed."""
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
        """Return the answer in an upstream's datagram, or None if it is malformed."""
        message = PlainMessage.decode(payload)
        if message is None or message.phase == REQUEST:
            return None
        refused = message.phase == REFUSAL
        return Answer(message.token, message.message_id, True, refused, message.feed)

    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return the final answer to the request in `payload`, with a retry time."""
        phase = REFUSAL if reason.not_run else UNKNOWN
        request = PlainMessage.decode(payload)
        return request._replace(phase=phase, text=reason.name.encode(), number=retry_s).encode()

    def copy_answer(self, answer: bytes, payload: bytes) -> bytes:
        """Return another request's answer as the answer to the request in `payload`."""
        request = PlainMessage.decode(payload)
        answered = PlainMessage.decode(answer)
        return answered._replace(token=request.token, message_id=request.message_id).encode()

    def add_deadline(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Return a request's datagram with its timeout replaced by a deadline."""
        return PlainMessage.decode(payload)._replace(number=deadline_unix_s).encode()

    def probe(self, message_id: int) -> bytes:
        """Return a control message as a probe."""
        text = f"{self.service.name}|probe".encode()
        return PlainMessage(REQUEST, RequestKind.CONTROL, message_id, "", b"", text=text).encode()

    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return a feed's request with a new message id."""
        return PlainMessage.decode(payload)._replace(message_id=message_id).encode()

    def number_notification(self, payload: bytes, number: int) -> bytes:
        """Return a notification with its number, which 24 bits of a float hold exactly."""
        return PlainMessage.decode(payload)._replace(number=number).encode()
