"""Judges from outside whether every process kept to the configurations that were published.

A configuration is known only by the routes it has. So what a process did with a flow shows a range
of versions: those that send the flow's address to the service that got it.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from heatheryoke.inventory.model import Address

__all__ = ["ConfigurationHistory", "Handled", "Machine", "Published", "describe"]

# How soon after a version's effect was seen at a process an older one is a step back (the
# platform's `rollbackSlackMs`).
STEP_BACK_SLACK_S = 0.25


class Published(NamedTuple):
    """A configuration as it was published: the service of each address."""

    version: int
    at: float
    routes: Mapping[Address, str]


class Machine(NamedTuple):
    """One incarnation of a process."""

    name: str
    incarnation: int


class Handled(NamedTuple):
    """What became of a first packet sent at `sent_at` and handed to an upstream at `seen_at`.

    `service` is None for a flow that was refused. `machines` are the balancer that the caller sent
    the packet to and the agent of the upstream. A request on a flow that `was_open` before may be
    served by any service as long as the flow's address has a route, since a configuration leaves
    open flows where they are.
    """

    address: Address
    service: str | None
    machines: tuple[Machine, ...]
    sent_at: float
    seen_at: float
    was_open: bool = False

    def is_allowed_by(self, published: "Published") -> bool:
        """Return whether a configuration allows what became of the flow."""
        if self.was_open:
            return self.address in published.routes
        return published.routes.get(self.address) == self.service


class Bounds(NamedTuple):
    """The oldest and the newest version that allow what became of a flow."""

    oldest: int
    newest: int


class ConfigurationHistory:
    """All configurations published, and the checks against them."""

    def __init__(self, in_force_within_s: float):
        self.in_force_within_s = in_force_within_s
        self.published: list[Published] = []

    def publish(self, version: int, at: float, routes: Mapping[Address, str]) -> None:
        """Add a configuration that the store has acknowledged."""
        self.published.append(Published(version, at, dict(routes)))

    def bounds(self, handled: Handled) -> Bounds | None:
        """Return the versions that allow what became of a flow, None if there is none."""
        versions = [row.version for row in self.published if handled.is_allowed_by(row)]
        return Bounds(min(versions), max(versions)) if versions else None

    def is_late(self, handled: Handled) -> bool:
        """Return whether only versions allow it that should have been replaced by then."""
        bounds = self.bounds(handled)
        newest = bounds.newest if bounds else 0
        successors = [row for row in self.published if row.version > newest]
        return bool(successors) and (handled.sent_at > successors[0].at + self.in_force_within_s)

    def late(self, flows: Iterable[Handled]) -> Iterator[str]:
        """Yield the flows handled by a configuration that was no longer in force."""
        for handled in flows:
            if self.is_late(handled):
                yield f"{describe(handled)} is allowed only by {self.bounds(handled)}"

    def is_routed(self, address: Address, sent_at: float, until: float) -> bool:
        """Return whether an address has a route in all versions that may have been in force."""
        started = sent_at - self.in_force_within_s
        before = any(row.at <= started for row in self.published)
        return before and not self.drops_route(address, sent_at, until)

    def in_force(self, sent_at: float, until: float) -> list[Published]:
        """Return the versions that may have been in force at some time."""
        started = sent_at - self.in_force_within_s
        before = [row for row in self.published if row.at <= started]
        during = [row for row in self.published if started < row.at <= until]
        return before[-1:] + during

    def drops_route(self, address: Address, sent_at: float, until: float) -> bool:
        """Return whether a version that may have been in force has no route for an address."""
        return any(address not in row.routes for row in self.in_force(sent_at, until))

    def steps_back(self, flows: Iterable[Handled]) -> Iterator[str]:
        """Yield the flows run by an older configuration than one that their process had shown."""
        by_machine: dict[Machine, list[tuple[Handled, Bounds]]] = {}
        for handled in flows:
            bounds = self.bounds(handled)
            if handled.service is None or bounds is None:
                continue
            for machine in handled.machines:
                by_machine.setdefault(machine, []).append((handled, bounds))
        for machine, rows in by_machine.items():
            yield from _steps_back_of(machine, rows)


def _steps_back_of(machine: Machine, rows: list[tuple[Handled, Bounds]]) -> Iterator[str]:
    """Yield the steps back of one process."""
    for later, bounds in rows:
        shown = [
            (earlier_bounds.oldest, earlier)
            for earlier, earlier_bounds in rows
            if earlier.seen_at + STEP_BACK_SLACK_S < later.sent_at
        ]
        oldest, earlier = max(shown, default=(0, None), key=lambda row: row[0])
        if bounds.newest < oldest:
            yield (
                f"{machine.name} (incarnation {machine.incarnation}) goes back: version {oldest} "
                f"was seen at {earlier.seen_at:.2f} ({describe(earlier)}), then "
                f"{describe(later)} is allowed only up to version {bounds.newest}"
            )


def describe(handled: Handled) -> str:
    """Return a flow for a message: its address, its service and the processes on its way."""
    way = ", ".join(machine.name for machine in handled.machines)
    result = f"run by {handled.service}" if handled.service else "refused"
    if handled.was_open:
        result = f"open flow {result}"
    return f"{handled.address} {result} through {way}, sent at {handled.sent_at:.2f}"
