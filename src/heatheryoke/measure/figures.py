"""The figures of one run, and the computation of each."""

from collections import Counter
from math import ceil
from typing import NamedTuple

from heatheryoke.measure.caller_model import Outcome
from heatheryoke.measure.world import World

__all__ = ["Figures", "collect_figures"]


class Figures(NamedTuple):
    """The figures of one run; counts are totals, and `None` means that nothing could be measured.

    `service_kept` is the weight served while a failure domain was withdrawn, divided by the weight
    that the remaining slots could have served of the requests made.
    """

    scenario: str
    deployment: str
    policy: str
    seed: int
    requests: int
    served: int
    refused: int
    unknown: int
    silent: int
    feeds: int
    broken_flows: int
    feed_resets: int
    misdelivered: int
    imbalance: float
    imbalance_flows: float
    service_kept: float | None
    doubled: int
    false_refusals: int
    mixed_answers: int
    cut_requests: int
    cold_overloads: int
    over_slots: int
    withdrawn_silence_s: float | None
    configuration_lag_s: float | None
    epochs_reverted: int
    control_bytes_per_node_s: float
    mean_latency_s: float
    p99_latency_s: float
    mean_hops: float
    p99_hops: int
    platform_calls: int


def collect_figures(world: World, scenario: str, policy: str, seed: int) -> Figures:
    """Compute every figure from the records of a world."""
    outcomes = Counter[Outcome]()
    for (_, outcome), number in world.tally.outcomes.items():
        outcomes[outcome] += number
    feeds = [caller for caller in world.callers.values() if caller.traits.feed_path]
    latencies = sorted(world.tally.latencies_s)
    hops = sorted(hop for process in world.processes.values() for hop in process.hops)
    return Figures(
        scenario=scenario,
        deployment=world.deployment.name,
        policy=policy,
        seed=seed,
        requests=world.tally.request_counts.total(),
        served=outcomes[Outcome.SERVED],
        refused=outcomes[Outcome.REFUSED],
        unknown=outcomes[Outcome.UNKNOWN],
        silent=outcomes[Outcome.SILENT],
        feeds=len(feeds),
        broken_flows=sum(caller.feed_breaks for caller in feeds),
        feed_resets=sum(caller.feed_resets for caller in feeds),
        misdelivered=world.ledger.misdelivered,
        imbalance=_imbalance(_work_by_host(world)),
        imbalance_flows=_imbalance(_flows_by_host(world)),
        service_kept=_service_kept(world),
        doubled=world.ledger.doubled(),
        false_refusals=sum(1 for refused in world.tally.refused_ids if world.ledger.runs[refused]),
        mixed_answers=world.tally.mixed,
        cut_requests=outcomes[Outcome.SILENT] + outcomes[Outcome.UNKNOWN],
        cold_overloads=world.ledger.cold_overloads,
        over_slots=world.ledger.over_slots,
        withdrawn_silence_s=_withdrawn_silence(world),
        configuration_lag_s=_configuration_lag(world),
        epochs_reverted=world.epochs_reverted,
        control_bytes_per_node_s=_control_rate(world),
        mean_latency_s=round(sum(latencies) / max(1, len(latencies)), 4),
        p99_latency_s=round(latencies[int(len(latencies) * 0.99)], 4) if latencies else 0.0,
        mean_hops=round(sum(hops) / len(hops), 3) if hops else 0.0,
        p99_hops=hops[int(len(hops) * 0.99)] if hops else 0,
        platform_calls=world.platform_calls,
    )


def _main_hosts(world: World) -> list[str]:
    main = world.deployment.main_service
    return [endpoint.host for endpoint in world.document.endpoints if endpoint.service == main]


def _work_by_host(world: World) -> list[int]:
    return [world.ledger.work[host] for host in _main_hosts(world)]


def _flows_by_host(world: World) -> list[int]:
    agents = {agent.host_name: agent for agent in world.agents()}
    main = world.deployment.main_service
    return [agents[host].flows.count(main) for host in _main_hosts(world) if host in agents]


def _imbalance(amounts: list[int]) -> float:
    """Return the largest amount divided by the mean."""
    total = sum(amounts)
    return round(max(amounts) * len(amounts) / total, 3) if total else 0.0


def _service_kept(world: World) -> float | None:
    """Return the weight served during withdrawals as a share of what the remaining slots allow."""
    served_weight = ideal_weight = 0.0
    for began, ended, domain in world.withdrawals:
        for second in range(ceil(began), int(min(ended, world.scheduler.now))):
            served_weight += _weight_in(world, world.tally.served_at, second)
            ideal_weight += _ideal_weight_in(world, second, domain)
    return round(served_weight / ideal_weight, 4) if ideal_weight else None


def _weight_in(world: World, requests: list[tuple[float, str]], second: int) -> float:
    counts = _counts_in(requests, second)
    return sum(_weight(world, path) * number for path, number in counts.items())


def _counts_in(requests: list[tuple[float, str]], second: int) -> Counter[str]:
    return Counter(path for at, path in requests if second <= at < second + 1)


def _weight(world: World, path: str) -> float:
    main = world.document.services[0]
    return main.class_weights.get(path, 1.0)


def _ideal_weight_in(world: World, second: int, domain: str) -> float:
    """Return the weight that the remaining slots could serve of the requests of one second."""
    requested = _counts_in(world.tally.requests_at, second)
    deployment = world.deployment
    paths = {
        deployment.main_service: deployment.write_path,
        deployment.sheet_service: deployment.sheet_path,
    }
    total = 0.0
    for service, path in paths.items():
        slots = sum(
            endpoint.slots
            for endpoint in world.document.endpoints
            if endpoint.service == service and world.network.domains[endpoint.host] != domain
        )
        total += min(requested[path], slots / world.traits.service_s) * _weight(world, path)
    return total


def _withdrawn_silence(world: World) -> float | None:
    """Return the time from the last withdrawal to the last datagram into its failure domain."""
    if not world.withdrawals:
        return None
    began, _, domain = world.withdrawals[-1]
    last = world.withdrawn_traffic.get(domain, began)
    return round(max(0.0, last - began), 3)


def _configuration_lag(world: World) -> float | None:
    """Return the longest time from publication until a version was in force everywhere."""
    now = world.scheduler.now
    lags = [
        world.in_force_at.get(version, now) - published
        for version, published in world.published_at.items()
    ]
    return round(max(lags), 3) if lags else None


def _control_rate(world: World) -> float:
    nodes = len(world.processes)
    return round(sum(world.control_bytes.values()) / nodes / world.scheduler.now, 1)
