"""Another writer in the store, which leaves malformed entries among those of the upstreams."""

import asyncio
import json
from collections.abc import Callable
from itertools import cycle
from typing import Any

from heatheryoke.inventory.model import Address
from heatheryoke.standins.stream_store import StreamStore
from heatheryoke.standins.stream_upstream import StreamUpstream

__all__ = ["FOREIGN_FORMS", "FOREIGN_NAME", "ForeignWriter"]

# Less than the time that a reader's call waits (0.9 s), so that no form outlasts a call.
REWRITE_INTERVAL_S = 0.35
NO_LISTENER = Address("127.9.9.9", 9_999)
FOREIGN_NAME = "foreign"
# Beyond the largest float, and beyond the digits that Python converts to an integer.
LONG_NUMBER, LONGER_NUMBER = "9" * 400, "9" * 5_000

Entry = dict[str, Any]


def _with(field: str, text: str) -> Callable[[Entry], bytes]:
    """Return a form whose field has a JSON text that may not be writable from a Python value."""

    def write(entry: Entry) -> bytes:
        parts = {name: json.dumps(value) for name, value in entry.items()} | {field: text}
        return ("{" + ", ".join(f'"{name}": {part}' for name, part in parts.items()) + "}").encode()

    return write


def _with_port(change: Callable[[str], str]) -> Callable[[Entry], bytes]:
    """Return a form whose address has another port."""

    def write(entry: Entry) -> bytes:
        ip, _, port = entry["address"].rpartition(":")
        return json.dumps(entry | {"address": f"{ip}:{change(port)}"}).encode()

    return write


def _without(field: str) -> Callable[[Entry], bytes]:
    """Return a form that lacks a field."""
    return lambda entry: json.dumps({k: v for k, v in entry.items() if k != field}).encode()


def _nested(depth: int) -> str:
    return "[" * depth + "]" * depth


# Each makes the value of an entry from one that an upstream could have written.
FOREIGN_FORMS: dict[str, Callable[[Entry], bytes]] = {
    "born of 400 digits": _with("born", LONG_NUMBER),
    "concurrency of 400 digits": _with("concurrency", LONG_NUMBER),
    "warm-up of 400 digits": _with("warmupLeftMs", LONG_NUMBER),
    "born of 5,000 digits": _with("born", LONGER_NUMBER),
    "born millions of years ahead": _with("born", str(2**63 - 1)),
    "negative born": _with("born", "-1"),
    "negative concurrency": _with("concurrency", "-1"),
    "port out of range": _with_port(lambda port: "80800"),
    "port of 240 digits": _with_port(lambda port: "80" * 120),
    "port with a leading zero": _with_port(lambda port: f"0{port}"),
    "nested 20,000 deep": _with("notes", _nested(20_000)),
    "nested 60,000 deep": _with("notes", _nested(60_000)),
    "100,000 opening brackets": lambda entry: b"[" * 100_000,
    "constant that JSON lacks": _with("notes", "NaN"),
    "another encoding": lambda entry: json.dumps(entry).encode("utf-16"),
    "no version": _without("version"),
    "service that is not configured": _with("service", '"nowhere"'),
    "state that is not named": _with("state", '"resting"'),
    "no text": lambda entry: b"\xff\xfe",
}


class ForeignWriter:
    """Rewrites one entry in one malformed form after the other.

    The entry is at the address of an upstream, or where nothing listens. It has a later start than
    the upstream, so that a form that is taken for an upstream replaces it.
    """

    def __init__(self, store: StreamStore, upstreams: Callable[[], list[StreamUpstream]]):
        self.store = store
        self.upstreams = upstreams
        self.forms = cycle(FOREIGN_FORMS.values())
        self.written = 0

    def write(self) -> None:
        """Write the next form, at the address of each upstream in turn and where none listens."""
        targets = [*self.upstreams(), None]
        entry = self.entry(targets[self.written % len(targets)])
        self.store.put(f"servers/{FOREIGN_NAME}", next(self.forms)(entry))
        self.written += 1

    def entry(self, target: StreamUpstream | None) -> Entry:
        """Return an entry as an upstream could write it after a later start.

        Without an upstream it is one where nothing listens.
        """
        upstream = target or self.upstreams()[0]
        changes = {"state": "ready", "born": upstream.born_ms + 1}
        return upstream.entry() | changes | ({} if target else {"address": str(NO_LISTENER)})

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Rewrite the entry until the end."""
        while not is_over():
            self.write()
            await asyncio.sleep(REWRITE_INTERVAL_S)
