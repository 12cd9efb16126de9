"""Log lines as JSON on standard output: bounded, and never blocking."""

import json
import os
import time
from typing import Any

__all__ = ["JsonLog"]

# Lines on flows a second, and at once: about 10 KB a second, twice the flows of an upstream seen.
LINES_PER_S = 40.0
BURST_LINES = 200.0
STANDARD_OUTPUT = 1


class JsonLog:
    """Writes one line an entry; beyond the bound entries are left out and counted.

    Lines of the process's own life and beliefs are always written. Without a descriptor nothing
    is.
    """

    def __init__(self, process: str, descriptor: int | None = STANDARD_OUTPUT):
        self.process = process
        self.descriptor = descriptor
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()
        self.left_out = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def write(self, event: str, bounded: bool = False, **facts: Any) -> None:
        """Write one entry."""
        if bounded and not self.take_token():
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
        """Tell whether one more bounded line may be written."""
        now = time.monotonic()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
