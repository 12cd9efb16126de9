"""Seeded troubles for flows in the model, and a run of one seed.

The load starts once the views are settled, since only then a search may conclude that a flow is
lost.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from heatheryoke.core.store_view import SETTLED_S
from heatheryoke.measure.flow_judge import Violation
from heatheryoke.measure.flow_world import FlowLoad, FlowWorld
from heatheryoke.measure.network import LinkFaults
from heatheryoke.measure.stream_world import StreamSite

__all__ = ["FlowRun", "run_flow_seed"]

LOAD_START_S = SETTLED_S + 0.5
LOAD_S = 4.0
# Time to see flows end after the last has started: a caller's longest wait is 6 s.
END_S = 3.0
# How late a slow process sends: beyond the acknowledgement time-out (80 ms) of a first packet.
LATE_S = (0.08, 0.3)
SPELL_S = (0.1, 1.0)
# Below the gap (1 s) by which a process notices that it was paused and discards its queue.
PAUSE_S = (0.05, 0.9)


class FlowRun(NamedTuple):
    """What came of one seed."""

    seed: int
    world: FlowWorld
    violations: list[Violation]

    def describe(self) -> str:
        """Return each violation with the trace of its flow."""
        judge = self.world.judge
        return "\n".join(f"seed {self.seed}: {judge.describe(row)}" for row in self.violations)


class SlowSpells:
    """Delays what some processes send for a while; one spell may slow only a share of it."""

    def __init__(self, world: FlowWorld, random: Random):
        self.world = world
        self.random = random
        self.slow: dict[str, float] = {}
        world.network.extra_delay = self.delay_s

    def delay_s(self, source: str, target: str) -> float:
        """Return the delay of one message."""
        share = self.slow.get(source, 0.0)
        return self.random.uniform(*LATE_S) if self.random.random() < share else 0.0

    def begin(self, name: str) -> None:
        """Slow a process for a while."""
        self.slow[name] = self.random.choice((0.2, 0.5, 1.0))
        duration_s = self.random.uniform(*SPELL_S)
        detail = f"for {duration_s:.3f} s, a share of {self.slow[name]}"
        self.world.judge.note_process(name, "slow", detail)
        self.world.scheduler.after(duration_s, lambda: self.slow.pop(name, None))


class Troubles:
    """Plans slow spells, pauses and planned work over the time of the load."""

    def __init__(self, world: FlowWorld, random: Random):
        self.world = world
        self.random = random
        self.spells = SlowSpells(world, random)

    def plan(self) -> None:
        """Schedule all troubles of a seed."""
        random = self.random
        self.world.network.faults = LinkFaults(drop=random.choice((0.0, 0.002, 0.01, 0.03)))
        self.schedule(random.randint(2, 25), self.slow_one)
        self.schedule(random.randint(0, 10), self.pause_one)
        for work in (self.restart_one, self.drain_one, self.add_one, self.withdraw_one):
            self.schedule(random.choice((0, 0, 1, 2)), work)

    def schedule(self, count: int, trouble: Callable[[], None]) -> None:
        """Schedule a trouble at some moments."""
        for _ in range(count):
            delay_s = LOAD_START_S + self.random.uniform(-0.5, LOAD_S + 1.0)
            self.world.scheduler.after(delay_s, trouble)

    def slow_one(self) -> None:
        """Slow a process."""
        self.spells.begin(self.random.choice(list(self.world.processes)).ip)

    def pause_one(self) -> None:
        """Pause an agent."""
        self.random.choice(self.world.agents).pause(self.random.uniform(*PAUSE_S))

    def restart_one(self) -> None:
        """Restart an agent whose upstream stays."""
        staying = [agent for agent in self.world.agents if not agent.upstream.is_draining]
        self.random.choice(staying).restart()

    def drain_one(self) -> None:
        """Let an upstream drain and leave, unless few are left."""
        staying = [agent for agent in self.world.agents if not agent.upstream.is_draining]
        if len(staying) > len(self.world.agents) / 2:
            self.world.drain(self.random.choice(staying))

    def add_one(self) -> None:
        """Add an upstream."""
        self.world.add_upstream(self.random.choice(self.world.site.domains))

    def withdraw_one(self) -> None:
        """Withdraw a failure domain for two seconds."""
        domain = self.random.choice(self.world.site.domains)
        self.world.withdraw(domain)
        self.world.scheduler.after(2.0, lambda: self.world.withdraw(domain, present=False))


def run_flow_seed(seed: int) -> FlowRun:
    """Run a small deployment under the troubles of a seed."""
    random = Random(seed)
    domains = ("a", "b", "c")[: random.choice((2, 3))]
    work_s = random.choice((0.02, 0.06, 0.12))
    site = StreamSite(domains, 1, random.choice((2, 3)), slots=2, work_s=work_s, hop_s=0.001)
    rate = random.choice((15.0, 30.0, 60.0))
    world = FlowWorld(site, seed, FlowLoad(rate=rate, idempotent=random.random() < 0.3))
    Troubles(world, random).plan()
    world.run_until(LOAD_START_S)
    world.offer_load(LOAD_START_S + LOAD_S)
    world.run_until(LOAD_START_S + LOAD_S + END_S)
    return FlowRun(seed, world, world.judge.violations)
