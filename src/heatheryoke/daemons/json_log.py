"""JSON log lines on standard output: rate-limited and non-blocking."""

import json
import os
import time
from typing import Any

__all__ = ["JsonLog"]

# Rate and burst of lines on flows: about 10 KB/s, twice the flow rate observed at an upstream.
LINES_PER_S = 40.0
BURST_LINES = 200.0
STANDARD_OUTPUT = 1


class JsonLog:
    """Writes one JSON object per line.

    Only entries with `rate_limited=True` are limited; those about the process's life cycle and its
    changes of state are not. An entry that exceeds the limit or would block is dropped and counted.
    If `descriptor` is None, nothing is written.
    """

    def __init__(self, process: str, descriptor: int | None = STANDARD_OUTPUT):
        self.process = process
        self.descriptor = descriptor
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()
        self.left_out = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def write(self, event: str, rate_limited: bool = False, **facts: Any) -> None:
        """Write one entry, or count it as left out."""
        if rate_limited and not self.take_token():
            self.left_out += 1
            return
        if self.descriptor is None:
            return
        entry = {"time": round(time.time(), 4), "process": self.process, "event": event, **facts}
        if self.left_out:
            entry["left_out"] = self.left_out
        try:
            os.write(self.descriptor, json.dumps(entry).encode() + b"\n")
            self.left_out = 0
        except OSError:
            self.left_out += 1

    def take_token(self) -> bool:
        """Take a token from the bucket; return whether there was one."""
        now = time.monotonic()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
