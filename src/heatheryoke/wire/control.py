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
TRAVERSAL_LIMIT_WORDS = 8 * 1024

capnp.remove_import_hook()
schema = capnp.load(str(SCHEMA_PATH))


class Field(NamedTuple):
    """A field of a message: its names in Python and in the schema, and its types for conversion."""

    name: str
    wire_name: str
    struct_type: type | None
    element_type: type | None
    enum_type: type[IntEnum] | None


def _camel_case(name: str) -> str:
    first, *words = name.split("_")
    return first + "".join(word.capitalize() for word in words)


def _field(name: str, hint: Any) -> Field:
    if get_origin(hint) is tuple:
        element = get_args(hint)[0]
        is_struct = hasattr(element, "_fields")
        return Field(
            name,
            _camel_case(name),
            element if is_struct else None,
            None if is_struct else element,
            None,
        )
    enum_type = hint if isinstance(hint, type) and issubclass(hint, IntEnum) else None
    return Field(name, _camel_case(name), None, None, enum_type)


def _fields(message_type: type) -> tuple[Field, ...]:
    hints = get_type_hints(message_type)
    return tuple(_field(name, hints[name]) for name in message_type._fields)


def _message_types() -> tuple[type, ...]:
    return get_args(PeerMessage)


UNION_MEMBERS = {
    message_type: message_type.__name__[0].lower() + message_type.__name__[1:]
    for message_type in _message_types()
}
MESSAGE_TYPES = {member: message_type for message_type, member in UNION_MEMBERS.items()}
FIELDS_BY_TYPE: dict[type, tuple[Field, ...]] = types.MappingProxyType(
    {
        struct_type: _fields(struct_type)
        for message_type in _message_types()
        for struct_type in (
            message_type,
            *(f.struct_type for f in _fields(message_type) if f.struct_type),
        )
    }
)


def _as_dict(message: Any) -> dict[str, Any]:
    fields = FIELDS_BY_TYPE[type(message)]
    return {
        field.wire_name: _to_schema_value(field, value)
        for field, value in zip(fields, message, strict=True)
    }


def _to_schema_value(field: Field, value: Any) -> Any:
    if field.struct_type:
        return [_as_dict(entry) for entry in value]
    if field.element_type:
        return list(value)
    return int(value) if field.enum_type else value


def _from_reader(message_type: type, reader: Any) -> Any:
    return message_type(
        *(
            _from_schema_value(field, getattr(reader, field.wire_name))
            for field in FIELDS_BY_TYPE[message_type]
        )
    )


def _from_schema_value(field: Field, value: Any) -> Any:
    if field.struct_type:
        return tuple(_from_reader(field.struct_type, entry) for entry in value)
    if field.element_type:
        return tuple(field.element_type(element) for element in value)
    if field.enum_type:
        return field.enum_type(value)
    return value


def encode_control(message: PeerMessage) -> bytes:
    """Return the packed encoding of a message."""
    control = schema.Control.new_message(**{UNION_MEMBERS[type(message)]: _as_dict(message)})
    return control.to_bytes_packed()


def decode_control(data: bytes) -> PeerMessage | None:
    """Return the decoded message, None if it does not match the schema."""
    try:
        control = schema.Control.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        member = str(control.which())
        return _from_reader(MESSAGE_TYPES[member], getattr(control, member))
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError):
        return None
