"""Unauthenticated datagrams between processes without a shared key: a short header and a body.

offset  bytes  field
0       2      magic
2       1      version
3       1      kind
4       8      sender's epoch
12             body

They are received on a separate port that callers cannot reach.
"""

import struct
from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import (
    Forward,
    Hint,
    PeerMessage,
    RecoveryRequest,
    Registration,
    Registrations,
    RegistrationsAck,
    ViewNews,
    Yield,
)
from heatheryoke.core.records import EndpointRecord, StoreItem, Subject
from heatheryoke.inventory.model import Address
from heatheryoke.wire.forward import decode_forward, encode_forward

__all__ = ["PeerDatagram", "open_datagram", "seal_datagram"]

MAGIC = b"hy"
VERSION = 1
HEAD = struct.Struct("!2sBBQ")
FLOW_ID = struct.Struct("!13sQ")
NUMBER = struct.Struct("!I")
NAME_LENGTH = struct.Struct("!B")
RECOVERY = struct.Struct("!QI")
ROW = struct.Struct("!13sIB")
ANSWERED, CLOSED = 1, 2
NEWS = struct.Struct("!QQQ")
ITEM = struct.Struct("!BQB")
ENDPOINT = struct.Struct("!HHBdQ")
PRESENT, HAS_RECORD = 1, 2
SUBJECTS = (Subject.ENDPOINT, Subject.WITHDRAWAL)


class PeerDatagram(NamedTuple):
    """The message of a datagram, and its sender's epoch."""

    epoch: int
    message: Forward | PeerMessage


def _name(name: str) -> bytes:
    data = name.encode()
    return NAME_LENGTH.pack(len(data)) + data


def _read_name(body: bytes, at: int) -> tuple[str, int]:
    (length,) = NAME_LENGTH.unpack_from(body, at)
    end = at + 1 + length
    if end > len(body):
        raise ValueError("truncated name")
    return body[at + 1 : end].decode(), end


def _encode_registrations(message: Registrations) -> bytes:
    parts = [NUMBER.pack(message.batch)]
    for row in message.entries:
        flags = (ANSWERED if row.answered else 0) | (CLOSED if row.closed else 0)
        parts += [ROW.pack(row.flow, row.generation, flags), _name(row.owner)]
    return b"".join(parts)


def _decode_registrations(body: bytes) -> Registrations:
    (batch,) = NUMBER.unpack_from(body)
    at, rows = NUMBER.size, []
    while at < len(body):
        flow, generation, flags = ROW.unpack_from(body, at)
        owner, at = _read_name(body, at + ROW.size)
        answered, closed = bool(flags & ANSWERED), bool(flags & CLOSED)
        rows.append(Registration(flow, owner, generation, 0, answered, closed, ()))
    return Registrations(batch, tuple(rows))


def _decode_yield(body: bytes) -> Yield:
    flow: FlowKey = body[:13]
    return Yield(flow, _read_name(body, 13)[0])


def _decode_recovery(body: bytes) -> RecoveryRequest:
    incarnation, question = RECOVERY.unpack_from(body)
    return RecoveryRequest(_read_name(body, RECOVERY.size)[0], incarnation, question)


def _encode_news(message: ViewNews) -> bytes:
    parts = [NEWS.pack(message.rank, message.after, message.revision)]
    for item in message.items:
        record = item.record
        flags = (PRESENT if item.present else 0) | (HAS_RECORD if record else 0)
        head = ITEM.pack(SUBJECTS.index(item.subject), item.revision, flags)
        parts += [head, _name(item.name)]
        if isinstance(record, EndpointRecord):
            parts += [_name(record.service), _name(record.address.ip)]
            parts += [_name(record.failure_domain)]
            numbers = (record.address.port, record.slots, record.is_draining)
            parts.append(ENDPOINT.pack(*numbers, record.cold_s, record.born_ms))
    return b"".join(parts)


def _decode_news(body: bytes) -> ViewNews:
    rank, after, revision = NEWS.unpack_from(body)
    at, items = NEWS.size, []
    while at < len(body):
        subject, item_revision, flags = ITEM.unpack_from(body, at)
        name, at = _read_name(body, at + ITEM.size)
        record = None
        if flags & HAS_RECORD:
            record, at = _read_endpoint(body, at)
        if subject >= len(SUBJECTS):
            raise ValueError(f"unknown subject {subject}")
        present = bool(flags & PRESENT)
        items.append(StoreItem(SUBJECTS[subject], name, item_revision, present, record))
    return ViewNews(rank, after, revision, tuple(items))


def _read_endpoint(body: bytes, at: int) -> tuple[EndpointRecord, int]:
    service, at = _read_name(body, at)
    ip, at = _read_name(body, at)
    domain, at = _read_name(body, at)
    port, slots, is_draining, cold_s, born_ms = ENDPOINT.unpack_from(body, at)
    if not isfinite(cold_s):
        raise ValueError(f"cold_s must be finite, not {cold_s}")
    address = Address(ip, port)
    record = EndpointRecord(service, address, domain, slots, bool(is_draining), cold_s, born_ms)
    return record, at + ENDPOINT.size


def _decode_forward(body: bytes) -> Forward:
    message = decode_forward(body)
    if message is None:
        raise ValueError("malformed forwarded packet")
    return message


class Format(NamedTuple):
    """The number, encoder and decoder of one kind of message."""

    kind: int
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


FORMATS: dict[type, Format] = {
    Forward: Format(1, encode_forward, _decode_forward),
    Hint: Format(2, lambda m: FLOW_ID.pack(*m), lambda b: Hint(*FLOW_ID.unpack(b))),
    Registrations: Format(3, _encode_registrations, _decode_registrations),
    RegistrationsAck: Format(
        4, lambda m: NUMBER.pack(*m), lambda b: RegistrationsAck(*NUMBER.unpack(b))
    ),
    Yield: Format(5, lambda m: m.flow + _name(m.owner), _decode_yield),
    RecoveryRequest: Format(
        6, lambda m: RECOVERY.pack(m.incarnation, m.question) + _name(m.host), _decode_recovery
    ),
    ViewNews: Format(7, _encode_news, _decode_news),
}
DECODERS = {row.kind: row.decode for row in FORMATS.values()}


def seal_datagram(epoch: int, message: Forward | PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    found = FORMATS[type(message)]
    return HEAD.pack(MAGIC, VERSION, found.kind, epoch) + found.encode(message)


def open_datagram(data: bytes) -> PeerDatagram | None:
    """Return the content of a datagram, None if it is malformed."""
    if len(data) < HEAD.size:
        return None
    magic, version, kind, epoch = HEAD.unpack_from(data)
    decode = DECODERS.get(kind)
    if magic != MAGIC or version != VERSION or decode is None:
        return None
    try:
        return PeerDatagram(epoch, decode(data[HEAD.size :]))
    except (struct.error, ValueError, UnicodeDecodeError):
        return None
