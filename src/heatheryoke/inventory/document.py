"""Encoding of the document that operators publish: inventory and rules under one version."""

import zlib
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from heatheryoke.inventory.model import Document

__all__ = ["MAXIMUM_DOCUMENT_BYTES", "UnreadableDocument", "decode_document", "encode_document"]

MAXIMUM_DOCUMENT_BYTES = 1_000_000
MAXIMUM_EXPANDED_BYTES = 32_000_000


class UnreadableDocument(NamedTuple):
    """The reason why bytes cannot be decoded as a document."""

    reason: str

    def __str__(self) -> str:
        return f"unreadable document: {self.reason}"


def encode_document(document: Document) -> bytes:
    """Encode a document in its published form: compressed JSON, each row an array."""
    return zlib.compress(msgspec.json.encode(document), level=6)


def decode_document(data: bytes) -> Result[Document, UnreadableDocument]:
    """Decode a document from its published form; every field is checked against its type."""
    if len(data) > MAXIMUM_DOCUMENT_BYTES:
        return Failure(UnreadableDocument(f"{len(data)} bytes, at most {MAXIMUM_DOCUMENT_BYTES}"))
    try:
        expanded = zlib.decompressobj().decompress(data, MAXIMUM_EXPANDED_BYTES)
        return Success(msgspec.json.decode(expanded, type=Document))
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(UnreadableDocument(str(error)))
