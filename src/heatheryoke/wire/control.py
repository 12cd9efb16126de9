"""Encoding of control messages in Cap'n Proto, with the schema in `messages.capnp`.

Each message type corresponds to the struct of the same name, and each of its fields to the struct's
field of the same name in camel case.
"""

import types
from enum import IntEnum
from pathlib import Path
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import capnp

from heatheryoke.core.messages import PeerMessage

__all__ = ["decode_control", "encode_control"]

SCHEMA_PATH = Path(__file__).with_name("messages.capnp")
TRAVERSAL_WORDS = 8 * 1024

capnp.remove_import_hook()
schema = capnp.load(str(SCHEMA_PATH))


class Field(NamedTuple):
    """A field of a message: its names in Python and in the schema, and its types for conversion."""

    name: str
    wire_name: str
    row_type: type | None
    item_type: type | None
    enum_type: type[IntEnum] | None


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _field(name: str, hint: Any) -> Field:
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        is_row = hasattr(item, "_fields")
        return Field(name, _camel(name), item if is_row else None, None if is_row else item, None)
    enum_type = hint if isinstance(hint, type) and issubclass(hint, IntEnum) else None
    return Field(name, _camel(name), None, None, enum_type)


def _fields(message_type: type) -> tuple[Field, ...]:
    hints = get_type_hints(message_type)
    return tuple(_field(name, hints[name]) for name in message_type._fields)


def _all_types() -> tuple[type, ...]:
    return get_args(PeerMessage)


MEMBERS = {each: each.__name__[0].lower() + each.__name__[1:] for each in _all_types()}
TYPES = {member: each for each, member in MEMBERS.items()}
FIELDS: dict[type, tuple[Field, ...]] = types.MappingProxyType(
    {
        each: _fields(each)
        for top in _all_types()
        for each in (top, *(f.row_type for f in _fields(top) if f.row_type))
    }
)


def _as_dict(message: Any) -> dict[str, Any]:
    fields = FIELDS[type(message)]
    return {
        field.wire_name: _plain(field, value) for field, value in zip(fields, message, strict=True)
    }


def _plain(field: Field, value: Any) -> Any:
    if field.row_type:
        return [_as_dict(row) for row in value]
    if field.item_type:
        return list(value)
    return int(value) if field.enum_type else value


def _from_reader(message_type: type, reader: Any) -> Any:
    return message_type(
        *(_value(field, getattr(reader, field.wire_name)) for field in FIELDS[message_type])
    )


def _value(field: Field, value: Any) -> Any:
    if field.row_type:
        return tuple(_from_reader(field.row_type, row) for row in value)
    if field.item_type:
        return tuple(field.item_type(item) for item in value)
    if field.enum_type:
        return field.enum_type(value)
    return value


def encode_control(message: PeerMessage) -> bytes:
    """Return the packed encoding of a message."""
    control = schema.Control.new_message(**{MEMBERS[type(message)]: _as_dict(message)})
    return control.to_bytes_packed()


def decode_control(data: bytes) -> PeerMessage | None:
    """Return the decoded message, None if it does not match the schema."""
    try:
        control = schema.Control.from_bytes_packed(data, traversal_limit_in_words=TRAVERSAL_WORDS)
        member = str(control.which())
        return _from_reader(TYPES[member], getattr(control, member))
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError):
        return None
