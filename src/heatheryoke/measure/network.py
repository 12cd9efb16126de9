"""A network with delay, loss, duplication and cuts between failure domains or hosts."""

import random
from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.measure.scheduler import Scheduler

__all__ = ["FABRIC", "LinkFaults", "Network"]

FABRIC = "fabric"


class LinkFaults(NamedTuple):
    """Chances, from 0 to 1, of what befalls a datagram; `jitter_s` is added at most."""

    drop: float = 0.0
    duplicate: float = 0.0
    jitter_s: float = 0.0002


class Network:
    """Carries callbacks between places; a place is a host's name or the fabric."""

    def __init__(self, scheduler: Scheduler, seed: int, domains: dict[str, str], hop_s: float):
        self.scheduler = scheduler
        self.random = random.Random(seed)
        self.domains = domains
        self.hop_s = hop_s
        self.faults = LinkFaults()
        self.cuts: set[tuple[str, str]] = set()

    def cut(self, source: str, target: str) -> None:
        """Cut one direction between two places or failure domains."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """Undo every cut."""
        self.cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether datagrams from one place to another are lost."""
        if not self.cuts:
            return False
        sources = (source, self.domains.get(source, ""))
        targets = (target, self.domains.get(target, ""))
        return any((a, b) in self.cuts for a in sources for b in targets)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Carry a datagram, with the faults that are set."""
        if self.is_cut(source, target):
            return
        faults = self.faults
        if faults.drop and self.random.random() < faults.drop:
            return
        copies = 2 if faults.duplicate and self.random.random() < faults.duplicate else 1
        for _ in range(copies):
            delay = self.delay(source, target) + self.random.random() * faults.jitter_s
            self.scheduler.after(delay, deliver)

    def delay(self, source: str, target: str) -> float:
        """Return the delay of one hop without faults."""
        same = self.domains.get(source) == self.domains.get(target)
        return self.hop_s / 5 if same else self.hop_s
