"""The platform's store in the model: one process reads it, and it may return from a copy."""

from typing import TYPE_CHECKING

from heatheryoke.core.events import StoreChanged, StoreRead
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    StoreItem,
    Subject,
)

if TYPE_CHECKING:
    from heatheryoke.measure.stream_world import StreamWorld

__all__ = ["StoreModel"]

# Within this time after it began to drain, an upstream may still get new flows (the platform's
# `drainMs`).
DRAIN_S = 3.0
# Share of the upstreams that drain: one in so many.
DRAINED_EVERY = 6


class StoreModel:
    """Writes a new version and drains some upstreams, loses both, and writes them again."""

    def __init__(self, world: "StreamWorld"):
        self.world = world
        self.position = Position(1, 100)
        self.copy = world.store_items()
        self.reader = world.agents[1]
        self.drained = world.agents[::DRAINED_EVERY]
        self.drained_at = 0.0

    def changes(self) -> tuple[StoreItem, ...]:
        """Return the next version of the configuration, and the entries of upstreams that drain."""
        names = {f"i-{self.world.agents.index(agent)}" for agent in self.drained}
        return tuple(
            item._replace(record=self.changed(item.record))
            for item in self.copy
            if item.subject is Subject.CONFIGURATION or item.name in names
        )

    @staticmethod
    def changed(
        record: EndpointRecord | ConfigurationRecord,
    ) -> EndpointRecord | ConfigurationRecord:
        """Return a record with the change that is written."""
        if isinstance(record, EndpointRecord):
            return record._replace(is_draining=True)
        return record._replace(version=record.version + 1)

    def write_changes(self) -> None:
        """Write the changes, in the present era."""
        after, items = self.position, []
        for item in self.changes():
            self.position = self.position.successor()
            items.append(item._replace(position=self.position))
        self.drained_at = self.drained_at or self.world.now
        self.reader.step(StoreChanged(self.world.now, tuple(items), after, self.position))

    def return_from_copy(self) -> None:
        """Return from the copy that was taken before the changes."""
        era = self.position.era + 1
        self.position = Position(era, 100)
        items = tuple(
            item._replace(position=Position(era, item.position.revision)) for item in self.copy
        )
        self.reader.step(StoreRead(self.world.now, items, self.position))

    def late_openings(self) -> int:
        """Return how many new flows upstreams got that had been draining for `DRAIN_S`."""
        if not self.drained_at:
            return 0
        times = [at for agent in self.drained for at in agent.upstream.opened_at]
        return sum(at > self.drained_at + DRAIN_S for at in times)
