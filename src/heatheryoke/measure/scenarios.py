"""Scenarios: changes to a deployment at scheduled times."""

from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.inventory.model import HostState, Role
from heatheryoke.measure.figures import Figures, collect_figures
from heatheryoke.measure.network import LinkFaults
from heatheryoke.measure.world import POLICIES, Load, World
from heatheryoke.standins.deployments import DEPLOYMENTS

__all__ = ["SCENARIOS", "Scenario", "build_world", "run_scenario"]

WARM_UP_S = 15.0


class Scenario(NamedTuple):
    """A scenario; `plan` schedules its changes, at times relative to `WARM_UP_S`."""

    title: str
    plan: Callable[[World], None]
    duration_s: float = 60.0
    load: Load = Load()


def _at(world: World, time_s: float, action: Callable[[], None]) -> None:
    world.scheduler.after(WARM_UP_S + time_s, action)


def _steady(world: World) -> None:
    """Change nothing."""


def _lunch_hour(world: World) -> None:
    """Triple the request rate of every caller at once."""

    def triple_rates() -> None:
        for caller in world.callers.values():
            caller.rate = 3.0

    _at(world, 5.0, triple_rates)


def _rolling_balancers(world: World) -> None:
    """Replace every balancer, one after another, twice."""
    names = [host.name for host in world.document.hosts if host.role is Role.BALANCER]
    for index, name in enumerate(names * 2):
        _at(world, 4.0 + index * 5.0, lambda name=name: world.stop_gracefully(name))


def _rolling_agents(world: World) -> None:
    """Restart every agent in turn for an upgrade."""
    names = [host.name for host in world.document.hosts if host.role is Role.AGENT]
    for index, name in enumerate(names):
        _at(world, 2.0 + index * 4.0, lambda name=name: world.stop_gracefully(name))


def _drain(world: World) -> None:
    """Drain an upstream for a time, and set another to leaving."""
    _at(world, 3.0, lambda: world.set_host_state("upstream-2", HostState.DRAINING))
    _at(world, 12.0, lambda: world.set_host_state("upstream-5", HostState.LEAVING))
    _at(world, 25.0, lambda: world.set_host_state("upstream-2", HostState.ACTIVE))


def _inventory_moves(world: World) -> None:
    """Change the inventory so that most homes move, while balancers and an agent restart."""
    _at(world, 3.0, lambda: world.set_host_state("upstream-2", HostState.DRAINING))
    _at(world, 3.0, lambda: _move_homes(world, "upstream-3"))
    _at(world, 3.0, lambda: world.stop_gracefully("balancer-1"))
    _at(world, 6.0, lambda: world.stop_gracefully("upstream-4"))
    _at(world, 12.0, lambda: world.restart("balancer-2"))
    _at(world, 20.0, lambda: world.set_host_state("upstream-2", HostState.ACTIVE))


def _move_homes(world: World, name: str) -> None:
    """Move a host to another failure domain, which changes the homes of flows."""
    hosts = tuple(
        host._replace(failure_domain="domain-1") if host.name == name else host
        for host in world.document.hosts
    )
    world.publish(world.document._replace(hosts=hosts))


def _cold_start(world: World) -> None:
    """Restart one upstream, and make another cold without a restart."""
    _at(world, 5.0, lambda: world.upstreams["upstream-1"].restart())
    _at(world, 15.0, lambda: world.upstreams["upstream-4"].become_cold())


def _domain_leaves(world: World) -> None:
    """Withdraw a failure domain at short notice and return it later."""
    _at(world, 5.0, lambda: world.set_withdrawn("domain-3", True))
    _at(world, 25.0, lambda: world.set_withdrawn("domain-3", False))


def _freeze(world: World) -> None:
    """Pause processes for 2 to 20 s, one of them across a withdrawal."""
    _at(world, 2.0, lambda: world.processes["balancer-1"].pause(6.0))
    _at(world, 4.0, lambda: world.processes["upstream-2"].pause(2.0))
    _at(world, 10.0, lambda: world.processes["balancer-2"].pause(20.0))
    _at(world, 11.0, lambda: world.processes["upstream-3"].pause(12.0))
    _at(world, 12.0, lambda: world.set_withdrawn("domain-3", True))


def _platform_down(world: World) -> None:
    """Publish a change 20 ms before the platform goes down, so that few processes can read it."""

    def stop_platform() -> None:
        world.platform_up = False

    def start_platform() -> None:
        world.platform_up = True

    _at(world, 2.0, lambda: world.set_host_state("upstream-2", HostState.DRAINING))
    _at(world, 2.02, stop_platform)
    _at(world, 6.0, lambda: world.restart("balancer-1"))
    _at(world, 8.0, lambda: world.restart("upstream-4"))
    _at(world, 30.0, start_platform)


def _partition(world: World) -> None:
    """Cut one failure domain off from another, first in one direction, then in both."""
    _at(world, 3.0, lambda: world.network.cut("domain-1", "domain-2"))
    _at(world, 9.0, world.network.heal)

    def cut_both() -> None:
        world.network.cut("domain-1", "domain-2")
        world.network.cut("domain-2", "domain-1")

    _at(world, 14.0, cut_both)
    _at(world, 22.0, world.network.heal)


def _zone_cut(world: World) -> None:
    """Cut one failure domain off from all others, twice."""

    def cut_off() -> None:
        others = {host.failure_domain for host in world.document.hosts} - {"domain-1"}
        for other in sorted(others):
            world.network.cut("domain-1", other)
            world.network.cut(other, "domain-1")

    for start_s, end_s in ((3.0, 9.0), (14.0, 22.0)):
        _at(world, start_s, cut_off)
        _at(world, end_s, world.network.heal)


def _one_way(world: World) -> None:
    """Lose every datagram from one failure domain to another, but none the other way."""
    _at(world, 3.0, lambda: world.network.cut("domain-2", "domain-1"))
    _at(world, 12.0, world.network.heal)


def _storm(world: World) -> None:
    """Combine several scenarios with pauses and restarts at random times, over a lossy network."""
    world.network.faults = LinkFaults(drop=0.005, duplicate=0.01, jitter_s=0.01)
    random = world.random
    for plan in (_rolling_balancers, _drain, _cold_start, _partition):
        plan(world)
    agents = [host.name for host in world.document.hosts if host.role is Role.AGENT]
    for _ in range(4):
        name, at, pause_s = random.choice(agents), random.uniform(0, 35), random.uniform(1, 15)
        _at(world, at, lambda name=name, pause_s=pause_s: world.processes[name].pause(pause_s))
    for _ in range(3):
        name = random.choice(agents)
        _at(world, random.uniform(0, 35), lambda name=name: world.restart(name))
    _at(world, 28.0, lambda: world.set_withdrawn("domain-3", True))
    _at(world, 40.0, lambda: world.set_withdrawn("domain-3", False))


SCENARIOS = {
    "steady": Scenario("nothing changes", _steady),
    "lunch-hour": Scenario("demand triples", _lunch_hour, load=Load(share=0.3)),
    "rolling-balancers": Scenario("every balancer is replaced, twice", _rolling_balancers),
    "rolling-agents": Scenario("every agent is upgraded", _rolling_agents, 75.0),
    "drain": Scenario("two upstreams drain", _drain),
    "inventory-moves": Scenario("homes move while processes restart", _inventory_moves),
    "cold-start": Scenario("upstreams go cold", _cold_start),
    "domain-leaves": Scenario("a failure domain is withdrawn and returned", _domain_leaves),
    "freeze": Scenario("processes pause for 2 to 20 s", _freeze),
    "platform-down": Scenario("the configuration service is down", _platform_down),
    "partition": Scenario("two failure domains are cut off from each other", _partition),
    "zone-cut": Scenario("a failure domain is cut off from all others, twice", _zone_cut),
    "one-way": Scenario("packets pass one way between two failure domains", _one_way),
    "storm": Scenario("several scenarios combined, over a lossy network", _storm, 90.0),
}


def build_world(scenario: str, deployment: str, policy: str, seed: int) -> World:
    """Return a world with the changes of a scenario scheduled."""
    definition = SCENARIOS[scenario]
    world = World(DEPLOYMENTS[deployment], POLICIES[policy], seed, definition.load)
    definition.plan(world)
    return world


def run_scenario(scenario: str, deployment: str, policy: str, seed: int) -> Figures:
    """Run one scenario and return its figures."""
    world = build_world(scenario, deployment, policy, seed)
    world.run_until(WARM_UP_S + SCENARIOS[scenario].duration_s)
    return collect_figures(world, scenario, policy, seed)
