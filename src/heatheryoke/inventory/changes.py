"""Changes between two documents, small enough to be sent to every process."""

import zlib
from typing import Any, NamedTuple

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from heatheryoke.inventory.model import Document, Endpoint, FailureDomain, Host, Service

__all__ = ["Change", "ChangeMismatch", "apply_change", "decode_change", "document_digest"]
__all__ += ["encode_change", "make_change"]


class Change(NamedTuple):
    """The rows to set and to remove in each table to get from version `base` to `version`.

    `digest` is the digest of the resulting document; `removed` holds pairs of table and row key.
    """

    base: int
    version: int
    digest: int
    failure_domains: tuple[FailureDomain, ...]
    hosts: tuple[Host, ...]
    services: tuple[Service, ...]
    endpoints: tuple[Endpoint, ...]
    removed: tuple[tuple[str, str], ...]


class ChangeMismatch(NamedTuple):
    """The reason why a change cannot be decoded or applied."""

    reason: str

    def __str__(self) -> str:
        return f"change not applied: {self.reason}"


TABLES = ("failure_domains", "hosts", "services", "endpoints")


def document_digest(document: Document) -> int:
    """Return a 64-bit digest of a document's content, independent of the order of its rows."""
    ordered = {table: sorted(_rows_by_key(document, table).items()) for table in TABLES}
    return xxhash.xxh3_64_intdigest(msgspec.json.encode((document.version, ordered)))


def _rows_by_key(document: Document, table: str) -> dict[str, Any]:
    rows = getattr(document, table)
    if table == "endpoints":
        return {f"{row.service}\n{row.host}": row for row in rows}
    return {row.name: row for row in rows}


def make_change(old: Document, new: Document) -> Change:
    """Return the change that turns `old` into `new`."""
    changed: dict[str, tuple[Any, ...]] = {}
    removed: list[tuple[str, str]] = []
    for table in TABLES:
        old_rows = _rows_by_key(old, table)
        new_rows = _rows_by_key(new, table)
        changed[table] = tuple(row for key, row in new_rows.items() if old_rows.get(key) != row)
        removed += [(table, key) for key in old_rows if key not in new_rows]
    digest = document_digest(new)
    return Change(old.version, new.version, digest, removed=tuple(removed), **changed)


def apply_change(old: Document, change: Change) -> Result[Document, ChangeMismatch]:
    """Return the document that results from applying `change` to `old`."""
    if old.version != change.base:
        return Failure(ChangeMismatch(f"base {change.base}, held {old.version}"))
    tables = {table: _rows_by_key(old, table) for table in TABLES}
    for table, key in change.removed:
        tables.get(table, {}).pop(key, None)
    for table in TABLES:
        for row in getattr(change, table):
            key = f"{row.service}\n{row.host}" if table == "endpoints" else row.name
            tables[table][key] = row
    new = Document(change.version, *(tuple(tables[table].values()) for table in TABLES))
    if document_digest(new) != change.digest:
        return Failure(ChangeMismatch("digest of the result does not match"))
    return Success(new)


def encode_change(change: Change) -> bytes:
    """Encode a change as compressed JSON, to be sent to other processes."""
    return zlib.compress(msgspec.json.encode(change))


def decode_change(data: bytes) -> Result[Change, ChangeMismatch]:
    """Decode a change that another process has sent."""
    try:
        return Success(msgspec.json.decode(zlib.decompress(data), type=Change))
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(ChangeMismatch(str(error)))
