"""Soft state of a home: which host owns each flow."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Registration, Yield
from heatheryoke.inventory.checks import name_hash

__all__ = [
    "ENTRY_S",
    "RENEWAL_S",
    "TENTATIVE_S",
    "Directory",
    "Entry",
    "Outcome",
    "by_answer",
    "by_generation",
]

RENEWAL_S = 300.0
ENTRY_S = 3 * RENEWAL_S
TENTATIVE_S = 2.0
MAXIMUM_ENTRIES = 400_000

Precedence = tuple[int, int, int]


class Entry(NamedTuple):
    """A home's entry for a flow.

    A tentative entry awaits a registration: the flow's first packet has been passed to the host
    that the entry names as owner, as the owner if `assigned`, else as the next candidate.
    """

    registration: Registration
    expires: float
    tentative: bool
    assigned: bool = False


class Outcome(Enum):
    """Result of processing a registration."""

    KEPT = "kept"
    LOST = "lost"
    REPLACED = "replaced"
    REFUSED = "refused"


def by_generation(registration: Registration | Yield) -> Precedence:
    """Return the rank of a registration: the latest decision on the flow's owner comes first."""
    return registration.generation, registration.answered, name_hash(registration.owner)


def by_answer(registration: Registration | Yield) -> Precedence:
    """Return the rank of a registration: the owner that the caller has answered comes first."""
    return registration.answered, registration.generation, name_hash(registration.owner)


class Directory:
    """Entries in order of expiry; when full, evicts the one closest to expiry if it is idle.

    Of two owners' registrations of a flow, the one of the higher `precedence` stays.
    """

    def __init__(
        self,
        maximum: int = MAXIMUM_ENTRIES,
        entry_s: float = ENTRY_S,
        precedence: Callable[[Registration | Yield], Precedence] = by_generation,
    ):
        self.maximum = maximum
        self.entry_s = entry_s
        self.precedence = precedence
        self.entries: OrderedDict[FlowKey, Entry] = OrderedDict()
        self.tentative: OrderedDict[FlowKey, Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self.entries) + len(self.tentative)

    def find(self, flow: FlowKey, now: float) -> Entry | None:
        """Return the entry of a flow, None if there is none or it has expired."""
        for table in (self.entries, self.tentative):
            entry = table.get(flow)
            if entry is not None and entry.expires > now:
                return entry
        return None

    def registrations(self) -> list[Registration]:
        """Return every registration."""
        return [entry.registration for entry in self.entries.values()]

    def add_tentative(
        self, flow: FlowKey, owner: str, generation: int, assigned: bool, now: float
    ) -> None:
        """Add a tentative entry for a flow that has just been passed to a host."""
        registration = Registration(flow, owner, generation, 0, False, False, ())
        self.tentative[flow] = Entry(registration, now + TENTATIVE_S, True, assigned)
        self.tentative.move_to_end(flow)
        if len(self.tentative) > self.maximum:
            self.tentative.popitem(last=False)

    def register(self, registration: Registration, now: float) -> Outcome:
        """Store an owner's registration, unless another owner's takes precedence."""
        existing = self.entries.get(registration.flow)
        if registration.closed:
            return self.close(registration, existing)
        is_conflict = (
            existing is not None
            and existing.expires > now
            and existing.registration.owner != registration.owner
        )
        if is_conflict and not self.precedes(registration, existing.registration):
            return Outcome.LOST
        self.tentative.pop(registration.flow, None)
        if existing is None and not self.make_room(now):
            return Outcome.REFUSED
        self.entries[registration.flow] = Entry(registration, now + self.entry_s, False)
        self.entries.move_to_end(registration.flow)
        return Outcome.REPLACED if is_conflict else Outcome.KEPT

    def precedes(self, registration: Registration, rival: Registration | Yield) -> bool:
        """Return whether a registration precedes a rival's, by an order common to all homes."""
        return self.precedence(registration) > self.precedence(rival)

    def close(self, registration: Registration, existing: Entry | None) -> Outcome:
        """Remove the entry of a closed flow, if the registration is from the entry's owner."""
        if existing is not None and existing.registration.owner == registration.owner:
            del self.entries[registration.flow]
        return Outcome.KEPT

    def make_room(self, now: float) -> bool:
        """Evict an idle entry if the table is full; return whether there is room."""
        if len(self.entries) < self.maximum:
            return True
        flow, oldest = next(iter(self.entries.items()))
        if oldest.expires - now > self.entry_s * (1 - RENEWAL_S / ENTRY_S):
            return False
        del self.entries[flow]
        return True

    def clear(self) -> None:
        """Remove all entries."""
        self.entries.clear()
        self.tentative.clear()

    def forget_owners(self, is_gone: Callable[[str], bool]) -> None:
        """Remove every entry for whose owner `is_gone` returns true."""
        for table in (self.entries, self.tentative):
            gone = [flow for flow, entry in table.items() if is_gone(entry.registration.owner)]
            for flow in gone:
                del table[flow]

    def remove_tentative(self, flow: FlowKey) -> None:
        """Remove a flow's tentative entry."""
        self.tentative.pop(flow, None)

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow's entries."""
        self.entries.pop(flow, None)
        self.tentative.pop(flow, None)

    def expire(self, now: float, limit: int) -> int:
        """Remove up to `limit` expired entries; return how many were removed."""
        dropped = 0
        for table in (self.entries, self.tentative):
            while table and dropped < limit:
                flow, entry = next(iter(table.items()))
                if entry.expires > now:
                    break
                del table[flow]
                dropped += 1
        return dropped
