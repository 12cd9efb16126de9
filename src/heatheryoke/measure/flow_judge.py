"""Records what becomes of each flow in the model, and judges resets and silence of open flows."""

from collections import Counter, defaultdict
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from heatheryoke.core.flows import FlowKey, flow_tuple

if TYPE_CHECKING:
    from heatheryoke.measure.flow_world import FlowProcess, FlowWorld
    from heatheryoke.measure.kept_flows import FlowCaller

__all__ = ["FlowEvent", "FlowJudge", "Violation", "ViolationKind"]

# An open flow without an owner may stay silent for this long: the longest retransmission interval
# of a caller (1.6 s) and a margin.
UNOWNED_LIMIT_S = 2.0
CHECK_INTERVAL_S = 0.25
# What happened to a process this long before a flow began is shown with the flow: a slow spell.
BEFORE_S = 1.0


class ViolationKind(Enum):
    """What an open flow must not meet while its upstream holds it."""

    RESET = "reset by the system"
    UNOWNED = "no owner left"


class FlowEvent(NamedTuple):
    """One entry of a flow's trace; `at` is the process or the caller."""

    time: float
    at: str
    event: str
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.time:8.4f} {self.at:<11} {self.event} {self.detail}".rstrip()


class Violation(NamedTuple):
    """An open flow that was reset by `culprit`, or that has had no owner for too long."""

    kind: ViolationKind
    time: float
    flow: FlowKey
    upstream: str
    culprit: str
    reason: str


class FlowJudge:
    """Keeps a trace of every flow; knows which flows are open and who owns them."""

    def __init__(self, world: "FlowWorld"):
        self.world = world
        self.traces: defaultdict[FlowKey, list[FlowEvent]] = defaultdict(list)
        self.process_events: list[FlowEvent] = []
        self.counts: Counter[str] = Counter()
        self.violations: list[Violation] = []
        self.unowned_since: dict[FlowKey, float] = {}
        self.reported: set[FlowKey] = set()

    def note(self, flow: FlowKey, at: str, event: str, detail: str = "") -> None:
        """Add an event to a flow's trace."""
        self.counts[event] += 1
        self.traces[flow].append(FlowEvent(self.world.now, at, event, detail))

    def note_process(self, at: str, event: str, detail: str = "") -> None:
        """Record what happens to a process itself."""
        self.process_events.append(FlowEvent(self.world.now, at, event, detail))

    def on_reset(self, caller: "FlowCaller", sender: "FlowProcess") -> None:
        """Judge a reset of the system's own that has reached a caller."""
        self.note(caller.flow, "caller", "got reset", f"from {sender.name}")
        if caller.is_open_at_upstream():
            self.report(ViolationKind.RESET, caller, sender.name)

    def report(self, kind: ViolationKind, caller: "FlowCaller", culprit: str) -> None:
        """Record a violation, one of each flow."""
        if caller.flow in self.reported:
            return
        self.reported.add(caller.flow)
        upstream = caller.upstream.process.name
        reason = self.reason_of(caller.flow, culprit)
        self.violations.append(
            Violation(kind, self.world.now, caller.flow, upstream, culprit, reason)
        )

    def reason_of(self, flow: FlowKey, culprit: str) -> str:
        """Return the detail of the decision that a process took last on a flow."""
        decisions = ("refused", "reset")
        entries = [
            entry for entry in self.traces[flow] if entry.at == culprit and entry.event in decisions
        ]
        return entries[-1].detail if entries else ""

    def check(self) -> None:
        """Look for open flows that no agent owns while their callers send in vain."""
        for caller in self.world.unanswered_callers():
            if not caller.is_open_at_upstream() or self.is_owned(caller):
                self.unowned_since.pop(caller.flow, None)
                continue
            since = self.unowned_since.setdefault(caller.flow, self.world.now)
            if self.world.now - max(since, caller.last_arrival()) > UNOWNED_LIMIT_S:
                self.report(ViolationKind.UNOWNED, caller, "nobody")
        self.world.scheduler.after(CHECK_INTERVAL_S, self.check)

    def is_owned(self, caller: "FlowCaller") -> bool:
        """Return whether a running agent owns a flow, or would pass its packets to its upstream.

        An agent that has restarted does not know its flows by name; it offers unknown packets.
        """
        flow, own = caller.flow, caller.upstream.process
        if own.is_up and own.node.may_hold_unknown_until > self.world.now:
            return True
        return any(agent.is_up and flow in agent.node.flows.flows for agent in self.world.agents)

    def describe(self, violation: Violation) -> str:
        """Return a violation and the trace of its flow, with what its processes went through."""
        head = (
            f"{violation.kind.value} at {violation.time:.4f} s by {violation.culprit}"
            f" ({violation.reason}): flow {flow_tuple(violation.flow).source},"
            f" held by {violation.upstream}"
        )
        trace = self.traces[violation.flow]
        names = {entry.at for entry in trace}
        around = [
            entry
            for entry in self.process_events
            if entry.at in names and trace[0].time - BEFORE_S < entry.time < trace[-1].time
        ]
        return "\n".join(
            [
                head,
                *(
                    f"  {entry}"
                    for entry in sorted([*trace, *around], key=lambda entry: entry.time)
                ),
            ]
        )
