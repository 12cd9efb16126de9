"""Which hosts unplanned faults have disturbed: some of the platform's rules do not bind those."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

__all__ = ["CONTACT_S", "CORE", "Contact"]

# The platform's `contactMs`: its rules bind a process only after it was undisturbed for this time.
CONTACT_S = 4.0
# Name of the store, a fault of which disturbs every host.
CORE = "core"


class Contact:
    """Unplanned faults by host, those that are active and when the last one ended."""

    def __init__(self, now: Callable[[], float]):
        self.now = now
        self.active: Counter[str] = Counter()
        self.ended_at: dict[str, float] = {}

    @contextmanager
    def disturbed(self, *names: str) -> Iterator[None]:
        """Count hosts as disturbed while the context lasts."""
        self.active.update(names)
        try:
            yield
        finally:
            self.active.subtract(names)
            self.ended_at.update(dict.fromkeys(names, self.now()))

    def is_kept(self, names: Iterable[str]) -> bool:
        """Return whether the core and all these hosts were undisturbed for `CONTACT_S`."""
        return not any(
            self.active[name] or self.now() - self.ended_at.get(name, -CONTACT_S) < CONTACT_S
            for name in (CORE, *names)
        )
