"""A simulated network with delay, loss, duplication, and cuts between hosts or failure domains."""

import random
from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.measure.scheduler import Scheduler

__all__ = ["FABRIC", "LinkFaults", "Network"]

FABRIC = "fabric"


class LinkFaults(NamedTuple):
    """Probabilities of faults, from 0 to 1; `jitter_s` is the maximum added delay."""

    drop: float = 0.0
    duplicate: float = 0.0
    jitter_s: float = 0.0002


class Network:
    """Delivers datagrams as callbacks between locations, which are host names or `FABRIC`."""

    def __init__(self, scheduler: Scheduler, seed: int, domains: dict[str, str], hop_s: float):
        self.scheduler = scheduler
        self.random = random.Random(seed)
        self.domains = domains
        self.hop_s = hop_s
        self.faults = LinkFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.extra_delay: Callable[[str, str], float] = lambda source, target: 0.0

    def cut(self, source: str, target: str) -> None:
        """Cut one direction between two locations or failure domains."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether all datagrams from `source` to `target` are lost."""
        if not self.cuts:
            return False
        sources = (source, self.domains.get(source, ""))
        targets = (target, self.domains.get(target, ""))
        return any((a, b) in self.cuts for a in sources for b in targets)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a datagram, subject to cuts and the configured faults."""
        if self.is_cut(source, target):
            return
        faults = self.faults
        if faults.drop and self.random.random() < faults.drop:
            return
        copies = 2 if faults.duplicate and self.random.random() < faults.duplicate else 1
        for _ in range(copies):
            delay = self.delay(source, target) + self.random.random() * faults.jitter_s
            self.scheduler.after(delay + self.extra_delay(source, target), deliver)

    def delay(self, source: str, target: str) -> float:
        """Return the delay of one hop without faults."""
        same = self.domains.get(source) == self.domains.get(target)
        return self.hop_s / 5 if same else self.hop_s
