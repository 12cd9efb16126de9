"""Unauthenticated datagrams between processes without a shared key: a short header and a body.

offset  bytes  field
0       2      magic
2       1      version
3       1      kind
4       8      sender's epoch
12             body

They are received on a separate port that callers cannot reach.
"""

import json
import socket
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import (
    ConfigurationQuery,
    ConfigurationReply,
    Forward,
    Hint,
    OpeningAck,
    OwnerQuery,
    OwnerUnknown,
    PeerMessage,
    Ping,
    Pong,
    RecoveryRequest,
    Registration,
    Registrations,
    RegistrationsAck,
    Relayed,
    StoreSnapshot,
    StoreUpdate,
    Yield,
)
from heatheryoke.core.record_checks import (
    MAXIMUM_INT64,
    check_configuration,
    check_endpoint,
    check_position,
    check_route,
    check_service,
)
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, Share
from heatheryoke.inventory.model import Address
from heatheryoke.wire.forward import (
    decode_forward,
    decode_search,
    encode_forward,
    encode_search,
)

__all__ = ["PeerDatagram", "open_datagram", "seal_datagram"]

MAGIC = b"hy"
VERSION = 1
HEADER = struct.Struct("!2sBBQ")
HINT = struct.Struct("!13sQ")
FLOW = struct.Struct("!13s")
RELAYED_HEADER = struct.Struct("!4sH4sHB")
BATCH = struct.Struct("!I")
NAME_LENGTH = struct.Struct("!B")
RECOVERY_REQUEST = struct.Struct("!QI")
REGISTRATION = struct.Struct("!13sIB")
ANSWERED, CLOSED = 1, 2
STORE_UPDATE = struct.Struct("!QQQ")
STORE_SNAPSHOT = struct.Struct("!QQQ")
ERA = struct.Struct("!Q")
ITEM_HEADER = struct.Struct("!BQB")
ENDPOINT = struct.Struct("!HHBdQ")
PRESENT, HAS_RECORD = 1, 2
SUBJECTS = (Subject.ENDPOINT, Subject.WITHDRAWAL, Subject.CONFIGURATION)
RECORD_LENGTH = struct.Struct("!I")
CONFIGURATION_QUERY = struct.Struct("!Q")


class PeerDatagram(NamedTuple):
    """The message of a datagram, and its sender's epoch."""

    epoch: int
    message: Forward | PeerMessage


def _encode_name(name: str) -> bytes:
    data = name.encode()
    return NAME_LENGTH.pack(len(data)) + data


def _decode_name(body: bytes, offset: int) -> tuple[str, int]:
    (length,) = NAME_LENGTH.unpack_from(body, offset)
    end = offset + 1 + length
    if end > len(body):
        raise ValueError("truncated name")
    return body[offset + 1 : end].decode(), end


def _encode_registrations(message: Registrations) -> bytes:
    parts = [BATCH.pack(message.batch)]
    for registration in message.entries:
        flags = (ANSWERED if registration.answered else 0) | (CLOSED if registration.closed else 0)
        parts += [
            REGISTRATION.pack(registration.flow, registration.generation, flags),
            _encode_name(registration.owner),
        ]
    return b"".join(parts)


def _decode_registrations(body: bytes) -> Registrations:
    (batch,) = BATCH.unpack_from(body)
    offset, registrations = BATCH.size, []
    while offset < len(body):
        flow, generation, flags = REGISTRATION.unpack_from(body, offset)
        owner, offset = _decode_name(body, offset + REGISTRATION.size)
        answered, closed = bool(flags & ANSWERED), bool(flags & CLOSED)
        registrations.append(Registration(flow, owner, generation, 0, answered, closed, ()))
    return Registrations(batch, tuple(registrations))


def _decode_former_yield(body: bytes) -> Yield:
    flow: FlowKey = body[:13]
    return Yield(flow, _decode_name(body, 13)[0])


def _encode_yield(message: Yield) -> bytes:
    flags = ANSWERED if message.answered else 0
    return REGISTRATION.pack(message.flow, message.generation, flags) + _encode_name(message.owner)


def _decode_yield(body: bytes) -> Yield:
    flow, generation, flags = REGISTRATION.unpack_from(body)
    owner, _ = _decode_name(body, REGISTRATION.size)
    return Yield(flow, owner, generation, bool(flags & ANSWERED))


def _decode_recovery(body: bytes) -> RecoveryRequest:
    incarnation, question = RECOVERY_REQUEST.unpack_from(body)
    return RecoveryRequest(_decode_name(body, RECOVERY_REQUEST.size)[0], incarnation, question)


def _encode_store_update(message: StoreUpdate) -> bytes:
    revisions = message.after.revision, message.position.revision
    header = STORE_UPDATE.pack(message.rank, *revisions)
    return header + b"".join(map(_encode_item, message.items))


def _encode_update_of_era(message: StoreUpdate) -> bytes:
    return ERA.pack(message.position.era) + _encode_store_update(message)


def _encode_store_snapshot(message: StoreSnapshot) -> bytes:
    header = STORE_SNAPSHOT.pack(message.rank, *message.position)
    return header + b"".join(map(_encode_item, message.items))


def _encode_item(item: StoreItem) -> bytes:
    record = item.record
    flags = (PRESENT if item.present else 0) | (HAS_RECORD if record else 0)
    header = ITEM_HEADER.pack(SUBJECTS.index(item.subject), item.position.revision, flags)
    parts = [header, _encode_name(item.name)]
    if isinstance(record, EndpointRecord):
        parts += [_encode_name(record.service), _encode_name(record.address.ip)]
        parts += [_encode_name(record.failure_domain)]
        numbers = (record.address.port, record.slots, record.is_draining)
        parts.append(ENDPOINT.pack(*numbers, record.cold_s, record.born_ms))
    elif isinstance(record, ConfigurationRecord):
        encoded = json.dumps(record, separators=(",", ":")).encode()
        parts += [RECORD_LENGTH.pack(len(encoded)), encoded]
    return b"".join(parts)


def _decode_store_update(body: bytes, era: int = 0) -> StoreUpdate:
    rank, after, revision = STORE_UPDATE.unpack_from(body)
    items = _decode_items(body, STORE_UPDATE.size, era)
    first, last = check_position(Position(era, after)), check_position(Position(era, revision))
    return StoreUpdate(rank, first, last, items)


def _decode_update_of_era(body: bytes) -> StoreUpdate:
    (era,) = ERA.unpack_from(body)
    return _decode_store_update(body[ERA.size :], era)


def _decode_store_snapshot(body: bytes) -> StoreSnapshot:
    rank, era, revision = STORE_SNAPSHOT.unpack_from(body)
    items = _decode_items(body, STORE_SNAPSHOT.size, era)
    return StoreSnapshot(rank, check_position(Position(era, revision)), items)


def _decode_items(body: bytes, offset: int, era: int) -> tuple[StoreItem, ...]:
    items = []
    while offset < len(body):
        item, offset = _decode_item(body, offset, era)
        items.append(item)
    return tuple(items)


def _decode_item(body: bytes, offset: int, era: int = 0) -> tuple[StoreItem, int]:
    subject, revision, flags = ITEM_HEADER.unpack_from(body, offset)
    name, offset = _decode_name(body, offset + ITEM_HEADER.size)
    record = None
    if subject >= len(SUBJECTS):
        raise ValueError(f"unknown subject {subject}")
    if flags & HAS_RECORD:
        record, offset = RECORD_DECODERS[SUBJECTS[subject]](body, offset)
    position = check_position(Position(era, revision))
    return StoreItem(SUBJECTS[subject], name, position, bool(flags & PRESENT), record), offset


def _decode_configuration_query(body: bytes) -> ConfigurationQuery:
    return ConfigurationQuery(*CONFIGURATION_QUERY.unpack(body))


def _decode_configuration_reply(body: bytes) -> ConfigurationReply:
    item, end = _decode_item(body, 0)
    if item.subject is not Subject.CONFIGURATION or end != len(body):
        raise ValueError(f"a reply with {item.subject} and {len(body) - end} more bytes")
    return ConfigurationReply(item)


def _decode_endpoint(body: bytes, offset: int) -> tuple[EndpointRecord, int]:
    service, offset = _decode_name(body, offset)
    ip, offset = _decode_name(body, offset)
    failure_domain, offset = _decode_name(body, offset)
    port, slots, is_draining, cold_s, born_ms = ENDPOINT.unpack_from(body, offset)
    address = Address.parse(f"{ip}:{port}")
    record = EndpointRecord(
        service, address, failure_domain, slots, bool(is_draining), cold_s, born_ms
    )
    return check_endpoint(record), offset + ENDPOINT.size


def _decode_configuration(body: bytes, offset: int) -> tuple[ConfigurationRecord, int]:
    (length,) = RECORD_LENGTH.unpack_from(body, offset)
    start = offset + RECORD_LENGTH.size
    end = start + length
    if end > len(body):
        raise ValueError("truncated configuration")
    version, routes, services, idle_s = json.loads(body[start:end])
    record = ConfigurationRecord(
        version,
        tuple(_make_route(*route) for route in routes),
        tuple(check_service(ServiceRecord(*service)) for service in services),
        idle_s,
    )
    return check_configuration(record), end


def _make_route(name: str, address: list, shares: list, *properties: Any) -> Route:
    ip, port = address
    parsed = Address.parse(f"{ip}:{port}")
    return check_route(Route(name, parsed, tuple(Share(*share) for share in shares), *properties))


def _decode_no_record(body: bytes, offset: int) -> tuple[None, int]:
    raise ValueError("a withdrawal has no record")


RECORD_DECODERS: dict[Subject, Callable[[bytes, int], tuple[Any, int]]] = {
    Subject.ENDPOINT: _decode_endpoint,
    Subject.CONFIGURATION: _decode_configuration,
    Subject.WITHDRAWAL: _decode_no_record,
}


def _decode_forward(body: bytes) -> Forward:
    return _checked_forward(decode_forward(body))


def _decode_search(body: bytes) -> Forward:
    return _checked_forward(decode_search(body))


def _checked_forward(message: Forward | None) -> Forward:
    if message is None:
        raise ValueError("malformed forwarded packet")
    return message


def _encode_relayed(message: Relayed) -> bytes:
    inner = format_of(message.message)
    header = RELAYED_HEADER.pack(
        socket.inet_aton(message.origin.ip),
        message.origin.port,
        socket.inet_aton(message.to.ip),
        message.to.port,
        inner.kind,
    )
    return header + inner.encode(message.message)


def _decode_relayed(body: bytes) -> Relayed:
    origin_ip, origin_port, ip, port, kind = RELAYED_HEADER.unpack_from(body)
    decode = DECODERS.get(kind)
    if decode is None or decode is _decode_relayed:
        raise ValueError(f"kind {kind} cannot be relayed")
    origin = Address(socket.inet_ntoa(origin_ip), origin_port)
    to = Address(socket.inet_ntoa(ip), port)
    return Relayed(origin, to, decode(body[RELAYED_HEADER.size :]))


def _decode_empty(message_type: Callable[[], Any], body: bytes) -> Any:
    if body:
        raise ValueError(f"{len(body)} unexpected bytes")
    return message_type()


class MessageFormat(NamedTuple):
    """The number, encoder and decoder of one kind of message."""

    kind: int
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


FORMATS: dict[type, MessageFormat] = {
    Forward: MessageFormat(1, encode_forward, _decode_forward),
    Hint: MessageFormat(2, lambda m: HINT.pack(*m), lambda b: Hint(*HINT.unpack(b))),
    Registrations: MessageFormat(3, _encode_registrations, _decode_registrations),
    RegistrationsAck: MessageFormat(
        4, lambda m: BATCH.pack(*m), lambda b: RegistrationsAck(*BATCH.unpack(b))
    ),
    Yield: MessageFormat(17, _encode_yield, _decode_yield),
    OwnerQuery: MessageFormat(18, lambda m: FLOW.pack(*m), lambda b: OwnerQuery(*FLOW.unpack(b))),
    OwnerUnknown: MessageFormat(
        19, lambda m: FLOW.pack(*m), lambda b: OwnerUnknown(*FLOW.unpack(b))
    ),
    RecoveryRequest: MessageFormat(
        6,
        lambda m: RECOVERY_REQUEST.pack(m.incarnation, m.question) + _encode_name(m.host),
        _decode_recovery,
    ),
    StoreUpdate: MessageFormat(7, _encode_store_update, _decode_store_update),
    OpeningAck: MessageFormat(8, lambda m: FLOW.pack(*m), lambda b: OpeningAck(*FLOW.unpack(b))),
    Ping: MessageFormat(9, lambda m: b"", lambda b: _decode_empty(Ping, b)),
    Pong: MessageFormat(10, lambda m: b"", lambda b: _decode_empty(Pong, b)),
    Relayed: MessageFormat(11, _encode_relayed, _decode_relayed),
    ConfigurationQuery: MessageFormat(
        13, lambda m: CONFIGURATION_QUERY.pack(*m), _decode_configuration_query
    ),
    ConfigurationReply: MessageFormat(
        14, lambda m: _encode_item(m.item), _decode_configuration_reply
    ),
    StoreSnapshot: MessageFormat(16, _encode_store_snapshot, _decode_store_snapshot),
}
SEARCH_FORMAT = MessageFormat(12, encode_search, _decode_search)
# Releases that know no eras drop this kind, and send updates of era 0 only.
UPDATE_OF_ERA_FORMAT = MessageFormat(15, _encode_update_of_era, _decode_update_of_era)
# Former releases send this kind, which does not tell the registration that takes precedence.
FORMER_YIELD = 5
DECODERS = {message_format.kind: message_format.decode for message_format in FORMATS.values()}
for special_format in (SEARCH_FORMAT, UPDATE_OF_ERA_FORMAT):
    DECODERS[special_format.kind] = special_format.decode
DECODERS[FORMER_YIELD] = _decode_former_yield


def format_of(message: Forward | PeerMessage) -> MessageFormat:
    """Return the format of a message."""
    if type(message) is Forward and message.search.asked:
        return SEARCH_FORMAT
    if type(message) is StoreUpdate and message.position.era:
        return UPDATE_OF_ERA_FORMAT
    return FORMATS[type(message)]


def seal_datagram(epoch: int, message: Forward | PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    message_format = format_of(message)
    return HEADER.pack(MAGIC, VERSION, message_format.kind, epoch) + message_format.encode(message)


def open_datagram(data: bytes) -> PeerDatagram | None:
    """Return the content of a datagram, None if it is malformed."""
    if len(data) < HEADER.size:
        return None
    magic, version, kind, epoch = HEADER.unpack_from(data)
    decode = DECODERS.get(kind)
    if magic != MAGIC or version != VERSION or decode is None or epoch > MAXIMUM_INT64:
        return None
    try:
        return PeerDatagram(epoch, decode(data[HEADER.size :]))
    except Exception:  # a datagram of any form costs none of those received with it
        return None
