"""Sends flows to single balancers on routes that have just changed, and judges the outcomes."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, describe_flow
from heatheryoke.inventory.model import Address
from heatheryoke.standins.configuration_history import Handled, describe
from heatheryoke.standins.process_site import ProcessStreamSite
from heatheryoke.standins.stream_caller import Outcome, StreamCaller, StreamFlow
from heatheryoke.standins.stream_site import FEEDS, SHEETS, StreamHost

__all__ = ["RouteChecker"]

# Addresses of the routes that are added and removed; no address is used twice.
EXTRA_IP = "198.18.0.2"
FIRST_PORT = 2_000
# Routes at the same time, beside the two that carry traffic; a small site of the users has 13.
MAXIMUM_ROUTES = 12
# Pauses between two changes of an operator who makes them all day.
CHANGE_INTERVAL_S = (0.1, 3.0)
# How long after a change its addresses are checked: twice the time within which it is in force.
RECENT_S = 6.0
# Pauses between checks: several within the slack of a step back (0.25 s).
CHECK_INTERVAL_S = (0.03, 0.3)
# Longer than a caller waits for its flow to open (1.4 s).
CHECK_TIMEOUT_S = 2.5
# Balancers that an address is checked at, so that the checks stay a small part of the load.
BALANCERS_PER_CHECK = 4
# Requests on a flow that stays open, and the pauses between them.
REQUESTS_PER_FLOW = (1, 6)
PAUSE_S = (0.1, 1.5)
# When a caller sends its first packet and its copies.
COPY_TIMES_S = (0.0, 0.2, 0.6)


class ChangedRoute(NamedTuple):
    """An address whose route was added, removed or sent to another service."""

    address: Address
    at: float


class RouteChecker:
    """Changes routes that carry no other traffic, and checks them at each balancer."""

    def __init__(
        self, site: ProcessStreamSite, randomness: random.Random, is_calm: Callable[[float], bool]
    ):
        self.site = site
        self.random = randomness
        self.is_calm = is_calm
        self.changed: list[ChangedRoute] = []
        self.extra: list[Address] = []
        self.next_port = FIRST_PORT
        self.callers: dict[str, StreamCaller] = {}
        self.handled: list[Handled] = []
        self.judged_in_time: list[Handled] = []
        self.unserved: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    # Changes

    def change_routes(self) -> None:
        """Publish a configuration that adds, removes or moves some routes."""
        routes = self.site.routes
        for change, share in ((self.add, 0.7), (self.remove, 0.6), (self.move, 0.3)):
            if self.random.random() < share or len(self.extra) > MAXIMUM_ROUTES:
                address = change(routes)
                if address is not None:
                    self.changed.append(ChangedRoute(address, self.now()))
        self.site.publish()

    def add(self, routes: dict[Address, str]) -> Address | None:
        """Add a route at an address that was never used."""
        if len(self.extra) > MAXIMUM_ROUTES:
            return None
        self.next_port += 1
        address = Address(EXTRA_IP, self.next_port)
        routes[address] = self.random.choice((FEEDS, SHEETS))
        self.extra.append(address)
        return address

    def remove(self, routes: dict[Address, str]) -> Address | None:
        """Remove a route."""
        if not self.extra:
            return None
        address = self.extra.pop(self.random.randrange(len(self.extra)))
        del routes[address]
        return address

    def move(self, routes: dict[Address, str]) -> Address | None:
        """Send a route to the other service."""
        if not self.extra:
            return None
        address = self.random.choice(self.extra)
        routes[address] = SHEETS if routes[address] == FEEDS else FEEDS
        return address

    async def change_repeatedly(self, is_over: Callable[[], bool]) -> None:
        """Publish changes until the end."""
        while not is_over():
            await self.wait_random(CHANGE_INTERVAL_S)
            self.change_routes()

    # Checks

    async def start(self) -> None:
        """Start a caller for each balancer."""
        for host in self.site.balancers():
            await self.add_balancer(host)

    async def add_balancer(self, host: StreamHost) -> None:
        """Start a caller for a balancer."""
        self.callers[host.name] = await self.site.add_caller(self.way_to(host))

    def way_to(self, host: StreamHost) -> Callable[[FlowKey], Address | None]:
        """Return a way through one balancer, until its process is gone."""
        address = Address(host.ip, self.site.ports.callers)

        def choose(flow: FlowKey) -> Address | None:
            return address if self.site.is_running(host.name) else self.site.route(flow)

        return choose

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Check the routes that have changed until the end; then wait for the last checks."""
        while not is_over():
            await self.wait_random(CHECK_INTERVAL_S)
            recent = [row.address for row in self.changed if self.now() - row.at < RECENT_S]
            if recent:
                self.start_checks(self.random.choice(recent))
        await asyncio.gather(*self.tasks)

    def start_checks(self, address: Address) -> None:
        """Check an address at several balancers in rotation."""
        hosts = [host for host in self.site.in_rotation() if host.name in self.callers]
        for host in self.random.sample(hosts, min(len(hosts), BALANCERS_PER_CHECK)):
            task = asyncio.get_running_loop().create_task(self.check(host, address))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def check(self, host: StreamHost, address: Address) -> None:
        """Open a flow through one balancer, and send requests on it until it ends."""
        balancer, sent_at = self.site.machine(host.name), self.now()
        flow = self.callers[host.name].flow(address)
        outcome = await flow.request(CHECK_TIMEOUT_S)
        self.outcomes[f"check {outcome.value}"] += 1
        handled = Handled(address, None, (balancer,), sent_at, self.now())
        if outcome is Outcome.SERVED:
            handled = self.opening_of(flow, handled) or handled
            self.handled.append(handled)
        if self.is_calm(sent_at):
            self.judge_in_time(flow, handled, outcome)
        if outcome is Outcome.SERVED:
            await self.request_again(flow, handled)
        flow.close()

    def judge_in_time(self, flow: StreamFlow, handled: Handled, outcome: Outcome) -> None:
        """Record what the configuration in force must explain, since the system is calm."""
        if outcome is Outcome.SERVED or outcome is Outcome.RESET:
            self.judged_in_time.append(handled)
        elif self.site.history.is_routed(handled.address, handled.sent_at, self.now()):
            self.unserved.append(
                f"{describe(handled)}, flow {describe_flow(flow.key)}: {outcome.value}, though it "
                "has a route"
            )

    def opening_of(self, flow: StreamFlow, check: Handled) -> Handled | None:
        """Return how a flow was opened that some upstream has run a request of."""
        for upstream in reversed(self.site.all_upstreams):
            if flow.key in upstream.run_flows:
                opening = upstream.openings[flow.key]
                agent = self.site.machine(upstream.host_name)
                return check._replace(
                    service=upstream.service,
                    machines=(*check.machines, agent),
                    sent_at=check.sent_at + COPY_TIMES_S[opening.copy],
                    seen_at=opening.at,
                )
        return None

    async def request_again(self, flow: StreamFlow, opening: Handled) -> None:
        """Send further requests on an open flow; judge those that are served."""
        for _ in range(self.random.randint(*REQUESTS_PER_FLOW) - 1):
            await self.wait_random(PAUSE_S)
            sent_at = self.now()
            if await flow.request(CHECK_TIMEOUT_S) is not Outcome.SERVED:
                return
            request = opening._replace(sent_at=sent_at, seen_at=self.now(), was_open=True)
            self.handled.append(request)
            if self.is_calm(sent_at):
                self.judged_in_time.append(request)

    async def wait_random(self, bounds: tuple[float, float]) -> None:
        """Wait for a random time between two bounds."""
        await asyncio.sleep(self.random.uniform(*bounds))

    def violations(self) -> list[str]:
        """Return everything that the configurations published do not explain."""
        history = self.site.history
        self.outcomes["check judged in time"] = len(self.judged_in_time)
        self.outcomes["configuration published"] = len(history.published)
        return [
            *(f"not in force in time: {row}" for row in history.late(self.judged_in_time)),
            *history.steps_back(self.handled),
            *self.unserved,
        ]
