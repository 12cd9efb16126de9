"""The services whose upstreams a view uses: those that a configuration names.

An entry of any other service is another writer's, or its service is not yet configured. It names no
upstream to use, and its host must not become a home of flows either.
"""

from collections.abc import Iterator

__all__ = ["DROPPED_SERVICE_S", "ServiceNames"]

# How long the upstreams of a service that a configuration drops are still hosts, since flows that
# are open on them stay there: longer than any flow lives (60 s).
DROPPED_SERVICE_S = 75.0


class ServiceNames:
    """The services in the configuration in force, and those that it has dropped lately."""

    def __init__(self):
        self.named: frozenset[str] = frozenset()
        self.dropped_at: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self.named or name in self.dropped_at

    def __iter__(self) -> Iterator[str]:
        yield from self.named
        yield from self.dropped_at

    def replace(self, named: frozenset[str], now: float) -> None:
        """Take the names of a newer configuration; keep those that it drops for a time."""
        dropped = self.dropped_at | dict.fromkeys(self.named - named, now)
        self.dropped_at = {name: at for name, at in dropped.items() if name not in named}
        self.named = named

    def forget_dropped(self, now: float) -> bool:
        """Forget services dropped `DROPPED_SERVICE_S` ago; return whether there was any."""
        due = [name for name, at in self.dropped_at.items() if now - at >= DROPPED_SERVICE_S]
        for name in due:
            del self.dropped_at[name]
        return bool(due)
