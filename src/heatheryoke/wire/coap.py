"""Codec between CoAP (RFC 7252, 7641, 7959) and the agent's requests, based on aiocoap."""

from math import ceil

from aiocoap import error
from aiocoap.message import Direction, Message
from aiocoap.numbers import codes, types
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.optiontypes import OpaqueOption

from heatheryoke.core.requests import Answer, RefusalReason, Request, RequestCodec, RequestKind
from heatheryoke.inventory.model import Service

__all__ = ["DEADLINE_OPTION", "TIMEOUT_OPTION", "CoapCodec", "read_uint_option"]

# Elective, Safe-to-Forward and NoCacheKey (RFC 7252, section 5.4.6), so that the blocks of one
# transfer still match; from the range for experimental use (section 12.2).
TIMEOUT_OPTION = OptionNumber(65_052)
DEADLINE_OPTION = OptionNumber(65_020)

DEFAULT_REQUEST_ID = "id"
OBSERVE_REGISTER = 0
OBSERVE_CANCEL = 1
SAFE_METHODS = (codes.GET, codes.FETCH)
IDEMPOTENT_METHODS = (codes.GET, codes.FETCH, codes.PUT, codes.DELETE, codes.iPATCH)
REFUSAL_CODES = {
    RefusalReason.OUTCOME_UNKNOWN: codes.GATEWAY_TIMEOUT,
}


def read_uint_option(message: Message, number: OptionNumber) -> int | None:
    """Return an option's value as an unsigned integer, None if it is absent."""
    for option in message.opt.get_option(number) or ():
        return int.from_bytes(option.encode(), "big")
    return None


class CoapCodec(RequestCodec):
    """Reads the request id from a query key, and the request class from the first path segment."""

    def __init__(self, service: Service):
        self.request_id_prefix = f"{service.request_id or DEFAULT_REQUEST_ID}="

    def read_request(self, payload: bytes) -> Request | None:
        """Return the request in a caller's datagram, None if it is malformed."""
        message = _decode(payload)
        if message is None:
            return None
        if not message.code.is_request():
            return Request(RequestKind.CONTROL, message.token, message.mid)
        timeout_ms = read_uint_option(message, TIMEOUT_OPTION)
        path = message.opt.uri_path
        return Request(
            self.kind_of(message),
            message.token,
            message.mid,
            self.request_id_of(message),
            path[0] if path else "",
            None if timeout_ms is None else timeout_ms / 1000,
            message.opt.block2 is not None and message.opt.block2.block_number > 0,
        )

    def kind_of(self, message: Message) -> RequestKind:
        """Return the kind of a request."""
        if message.code in SAFE_METHODS and message.opt.observe == OBSERVE_REGISTER:
            return RequestKind.FEED
        if message.code in SAFE_METHODS and message.opt.observe == OBSERVE_CANCEL:
            return RequestKind.CANCEL
        return RequestKind.READ if message.code in IDEMPOTENT_METHODS else RequestKind.WRITE

    def request_id_of(self, message: Message) -> bytes:
        """Return the id of a non-idempotent request, empty if it has none.

        Each block of a block-wise request (RFC 7959) counts as a request with its own id.
        """
        if message.code in IDEMPOTENT_METHODS:
            return b""
        block = message.opt.block1.block_number if message.opt.block1 else 0
        for query in message.opt.uri_query:
            if query.startswith(self.request_id_prefix):
                request_id = query.removeprefix(self.request_id_prefix)
                return f"{request_id}#{block}".encode() if request_id else b""
        return b""

    def read_answer(self, payload: bytes) -> Answer | None:
        """Return the answer in an upstream's datagram, None if it is malformed."""
        message = _decode(payload)
        if message is None:
            return None
        return Answer(
            message.token,
            message.mid,
            final=message.code.is_response(),
            refused=message.code == codes.SERVICE_UNAVAILABLE,
            feed=message.opt.observe is not None,
        )

    def refusal(self, payload: bytes, reason: RefusalReason, retry_s: float) -> bytes:
        """Return a 5.04 answer if the request's outcome is unknown, else a 5.03 answer."""
        request = Message.decode(payload)
        code = REFUSAL_CODES.get(reason, codes.SERVICE_UNAVAILABLE)
        text = f"{reason.text}; {'not run' if reason.not_run else 'ask again'}"
        answer = Message(code=code, payload=text.encode())
        answer.opt.max_age = max(1, ceil(retry_s))
        return _encode_response(answer, request)

    def copy_answer(self, answer: bytes, payload: bytes) -> bytes:
        """Return an answer with the token and message id of the request in `payload`."""
        return _encode_response(Message.decode(answer), Message.decode(payload))

    def add_deadline(self, payload: bytes, deadline_unix_s: float) -> bytes:
        """Replace the time-out option by the deadline, as Unix time in milliseconds."""
        message = Message.decode(payload)
        milliseconds = int(deadline_unix_s * 1000)
        message.opt.delete_option(TIMEOUT_OPTION)
        message.opt.add_option(OpaqueOption(DEADLINE_OPTION, milliseconds.to_bytes(8, "big")))
        return _encode(message)

    def probe(self, message_id: int) -> bytes:
        """Return a CoAP ping: an empty confirmable message, which a live endpoint resets."""
        message = Message(code=codes.EMPTY)
        message.mid = message_id
        message.mtype = types.CON
        return _encode(message)

    def renewal(self, payload: bytes, message_id: int) -> bytes:
        """Return a feed's request as a non-confirmable message.

        The caller does not know the new message id and could not match an ACK to it.
        """
        message = Message.decode(payload)
        message.mid = message_id
        message.mtype = types.NON
        return _encode(message)

    def number_notification(self, payload: bytes, number: int) -> bytes:
        """Return a notification with `number` as its Observe option (RFC 7641, section 3.4)."""
        message = Message.decode(payload)
        message.opt.observe = number
        return _encode(message)


def _decode(payload: bytes) -> Message | None:
    try:
        return Message.decode(payload)
    except (error.UnparsableMessage, ValueError, IndexError, KeyError, TypeError):
        return None


def _encode_response(answer: Message, request: Message) -> bytes:
    """Encode an answer as the response to a request."""
    answer.token = request.token
    answer.mid = request.mid
    answer.mtype = types.ACK if request.mtype is types.CON else types.NON
    return _encode(answer)


def _encode(message: Message) -> bytes:
    """Encode a message, which decoding may have marked as incoming."""
    message.direction = Direction.OUTGOING
    return message.encode()
