"""Memory and idle CPU time of each role with the configuration of a whole fleet."""

import resource
import time
from typing import Annotated

import typer

from benchmarks.common import fleet_document, report
from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
from heatheryoke.core.directory import Directory
from heatheryoke.core.effects import SendPeer
from heatheryoke.core.events import ConfigurationOffered, Tick
from heatheryoke.core.messages import Registration
from heatheryoke.core.node import TICK_S
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.daemons import application
from heatheryoke.inventory.model import Protocol
from heatheryoke.wire.coap import CoapCodec
from heatheryoke.wire.control import encode_control

SIZES = {"small": (100, 10, 7), "middle": (1_375, 138, 98), "full": (11_000, 1_100, 780)}
OWNED_FLOWS = 909
DIRECTORY_ENTRIES = 1_818
DURATION_S = 60


def resident_mb() -> float:
    """Return the peak resident memory of this process in MiB."""
    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)


def main(role: str, size: Annotated[str, typer.Argument()] = "full") -> None:
    """Measure one role at one fleet size; peak memory requires a new process for each."""
    imported_mb = resident_mb()
    document = fleet_document(*SIZES[size])
    now = 1_000.0
    if role == "balancer":
        node = Balancer("balancer-3", 1)
    else:
        node = Agent("upstream-3", 1, now, {Protocol.COAP: CoapCodec}, first_start=True)
    began = time.perf_counter()
    node.reduce(ConfigurationOffered(now, document))
    accept_ms = (time.perf_counter() - began) * 1000
    if isinstance(node, Agent):
        add_flows(node, now)
    sent_bytes = cpu_s = 0.0
    for _ in range(int(DURATION_S / TICK_S)):
        now += TICK_S
        began = time.process_time()
        for effect in node.reduce(Tick(now)):
            if isinstance(effect, SendPeer):
                sent_bytes += len(encode_control(effect.message))
        cpu_s += time.process_time() - began
    report(
        "process",
        role=role,
        processes=sum(SIZES[size][:2]),
        imported_mb=imported_mb,
        resident_mb=resident_mb(),
        accept_ms=round(accept_ms, 1),
        tick_core_percent=round(cpu_s / DURATION_S * 100, 3),
        module=application.__name__,
    )


def add_flows(agent: Agent, now: float) -> None:
    """Add one agent's share of ten million flows in the full fleet."""
    agent.directory = Directory()
    for number in range(DIRECTORY_ENTRIES):
        registration = Registration(
            number.to_bytes(13, "big"), "upstream-4", 0, 40_000, True, False, ()
        )
        agent.directory.register(registration, now)
    for number in range(OWNED_FLOWS):
        owned = OwnedFlow(
            (number + DIRECTORY_ENTRIES).to_bytes(13, "big"), "service-3", 0, 40_000, now
        )
        owned.homes = ("upstream-3",)
        agent.adopt(owned, now)


if __name__ == "__main__":
    typer.run(main)
