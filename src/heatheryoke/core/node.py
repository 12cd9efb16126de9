"""The base of all processes: one reducer over events, with pause detection and graceful stop."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from heatheryoke.core.effects import Effect, LogChange
from heatheryoke.core.events import (
    Event,
    PeerMessageArrived,
    StopRequested,
    Tick,
)
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.model import Host

__all__ = ["PAUSE_S", "TICK_S", "Handler", "Node"]

TICK_S = 0.05
PAUSE_S = 1.0

Handler = Callable[[Any], list[Effect]]


class Node(ABC):
    """A reducer that takes one event at a time and returns the effects to carry out.

    A gap of `PAUSE_S` between events means that the process was paused.
    """

    def __init__(self, host_name: str, incarnation: int):
        self.host_name = host_name
        self.incarnation = incarnation
        self.last_event: float | None = None
        self.stopping_since: float | None = None
        self.event_handlers: dict[type, Handler] = {
            Tick: self.on_tick,
            StopRequested: self.on_stop,
        }
        self.message_handlers: dict[type, Callable[[PeerMessageArrived], list[Effect]]] = {}

    @property
    @abstractmethod
    def topology(self) -> Topology | None:
        """The configuration in force, None before the first."""

    @property
    @abstractmethod
    def epoch(self) -> int:
        """The version of the configuration in force, sent with every message."""

    @abstractmethod
    def is_muted(self) -> bool:
        """Return whether callers' packets must be dropped: the view is missing or may be old."""

    @abstractmethod
    def is_usable(self, host: Host) -> bool:
        """Return whether callers' packets may be sent to a host."""

    @abstractmethod
    def suspected_for(self, host_name: str, now: float) -> float:
        """Return how many seconds a host has been suspected, 0 if it is not suspected."""

    @abstractmethod
    def on_tick(self, event: Tick) -> list[Effect]:
        """Do the periodic work that is due."""

    @abstractmethod
    def after_pause(self, now: float, paused_s: float) -> list[Effect]:
        """Handle the end of a pause of `paused_s` seconds."""

    @abstractmethod
    def note_peer_epoch(self, event: Any) -> list[Effect]:
        """Compare the epoch of a peer's message with the one in force."""

    @abstractmethod
    def is_idle(self, now: float) -> bool:
        """Return whether the process can exit without interrupting anything."""

    @abstractmethod
    def on_topology(self, now: float) -> list[Effect]:
        """Adapt to a configuration or view that has just come into force."""

    @abstractmethod
    def on_pause_ended(self, now: float) -> list[Effect]:
        """Adapt the role's own state after a pause."""

    @abstractmethod
    def advance(self, now: float) -> list[Effect]:
        """Do the role's own periodic work."""

    def reduce(self, event: Event) -> list[Effect]:
        """Process one event and return its effects in order."""
        effects = self.detect_pause(event.now)
        effects += self.event_handlers[type(event)](event)
        return effects

    def detect_pause(self, now: float) -> list[Effect]:
        """Detect a pause since the last event and return the resulting effects."""
        last_event, self.last_event = self.last_event, now
        if last_event is None or now - last_event < PAUSE_S:
            return []
        return self.after_pause(now, now - last_event)

    def on_stop(self, event: StopRequested) -> list[Effect]:
        """Begin a graceful stop."""
        if self.stopping_since is not None:
            return []
        self.stopping_since = event.now
        return [LogChange(self.host_name, "stopping", "requested")]
