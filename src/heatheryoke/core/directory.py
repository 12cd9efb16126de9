"""A home's soft state: which host owns each flow."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Registration
from heatheryoke.inventory.checks import short_id

__all__ = ["ENTRY_S", "RENEWAL_S", "TENTATIVE_S", "Directory", "Entry", "Outcome", "precedes"]

RENEWAL_S = 300.0
ENTRY_S = 3 * RENEWAL_S
TENTATIVE_S = 2.0
MAXIMUM_ENTRIES = 400_000


class Entry(NamedTuple):
    """What a home knows of a flow.

    A tentative entry awaits a registration: the flow's first packet has been passed to the host
    that it names as owner, as the owner if `assigned`, else as the next candidate.
    """

    registration: Registration
    expires: float
    tentative: bool
    assigned: bool = False


class Outcome(Enum):
    """What became of a registration."""

    KEPT = "kept"
    LOST = "lost"
    REPLACED = "replaced"
    REFUSED = "refused"


class Directory:
    """Entries in order of expiry; at the bound the one nearest to it makes room."""

    def __init__(self, maximum: int = MAXIMUM_ENTRIES, entry_s: float = ENTRY_S):
        self.maximum = maximum
        self.entry_s = entry_s
        self.entries: OrderedDict[FlowKey, Entry] = OrderedDict()
        self.tentative: OrderedDict[FlowKey, Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self.entries) + len(self.tentative)

    def find(self, flow: FlowKey, now: float) -> Entry | None:
        """Return the entry of a flow unless it has expired."""
        entry = self.entries.get(flow) or self.tentative.get(flow)
        return entry if entry is not None and entry.expires > now else None

    def registrations(self) -> list[Registration]:
        """Return every registration."""
        return [entry.registration for entry in self.entries.values()]

    def expect(
        self, flow: FlowKey, owner: str, generation: int, assigned: bool, now: float
    ) -> None:
        """Note that a flow has just been passed to a host, until an owner registers it."""
        row = Registration(flow, owner, generation, 0, False, False, ())
        self.tentative[flow] = Entry(row, now + TENTATIVE_S, True, assigned)
        self.tentative.move_to_end(flow)
        if len(self.tentative) > self.maximum:
            self.tentative.popitem(last=False)

    def register(self, row: Registration, now: float) -> Outcome:
        """Take an owner's word, unless another owner's stands before it."""
        held = self.entries.get(row.flow)
        if row.closed:
            return self.close(row, held)
        rival = held is not None and held.expires > now and held.registration.owner != row.owner
        if rival and not precedes(row, held.registration):
            return Outcome.LOST
        self.tentative.pop(row.flow, None)
        if held is None and not self.make_room(now):
            return Outcome.REFUSED
        self.entries[row.flow] = Entry(row, now + self.entry_s, False)
        self.entries.move_to_end(row.flow)
        return Outcome.REPLACED if rival else Outcome.KEPT

    def close(self, row: Registration, held: Entry | None) -> Outcome:
        """Remove an entry whose own owner says that the flow is over."""
        if held is not None and held.registration.owner == row.owner:
            del self.entries[row.flow]
        return Outcome.KEPT

    def make_room(self, now: float) -> bool:
        """Drop an idle entry if the table is full; tell whether there is room."""
        if len(self.entries) < self.maximum:
            return True
        flow, oldest = next(iter(self.entries.items()))
        if oldest.expires - now > self.entry_s * (1 - RENEWAL_S / ENTRY_S):
            return False
        del self.entries[flow]
        return True

    def clear(self) -> None:
        """Forget everything."""
        self.entries.clear()
        self.tentative.clear()

    def forget_owners(self, is_gone: Callable[[str], bool]) -> None:
        """Drop every entry whose owner is gone for good."""
        for table in (self.entries, self.tentative):
            gone = [flow for flow, entry in table.items() if is_gone(entry.registration.owner)]
            for flow in gone:
                del table[flow]

    def remove(self, flow: FlowKey) -> None:
        """Drop a flow's entries."""
        self.entries.pop(flow, None)
        self.tentative.pop(flow, None)

    def expire(self, now: float, limit: int) -> int:
        """Drop up to `limit` expired entries; return how many were dropped."""
        dropped = 0
        for table in (self.entries, self.tentative):
            while table and dropped < limit:
                flow, entry = next(iter(table.items()))
                if entry.expires > now:
                    break
                del table[flow]
                dropped += 1
        return dropped


def precedes(row: Registration, held: Registration) -> bool:
    """Tell whether a registration stands before a rival's: one fixed order for all homes."""
    return _precedence(row) > _precedence(held)


def _precedence(row: Registration) -> tuple[int, bool, int]:
    return (row.generation, row.answered, short_id(row.owner))
