"""Base class of the demos, and the loop that runs one and shows its progress."""

import asyncio
from abc import ABC, abstractmethod
from typing import NamedTuple

from rich.console import Console
from rich.live import Live
from rich.table import Table

__all__ = ["Check", "Demonstration", "check_table", "run_demonstration"]

EXIT_FAILED = 1
REFRESH_S = 0.25


class Check(NamedTuple):
    """Result of one check: the guarantee, the value measured, and whether it was met."""

    name: str
    measured: str
    passed: bool


class Demonstration(ABC):
    """Base class for a deployment with callers that is changed while they use it."""

    @abstractmethod
    async def start(self) -> None:
        """Start the deployment and its callers."""

    @abstractmethod
    async def run(self) -> None:
        """Make the changes one after another."""

    @abstractmethod
    async def close(self) -> None:
        """Stop the callers and the deployment."""

    @abstractmethod
    def progress(self) -> str:
        """Return one line on the current stage and the requests so far."""

    @abstractmethod
    def checks(self) -> list[Check]:
        """Return the result of each check."""

    @abstractmethod
    def print_result(self, console: Console, checks: list[Check]) -> None:
        """Print the results."""


def check_table(title: str, checks: list[Check]) -> Table:
    """Return a table of checks whose first column has the heading `title`."""
    table = Table(title, "measured", "result")
    for check in checks:
        table.add_row(check.name, check.measured, "ok" if check.passed else "BROKEN")
    return table


async def run_demonstration(demo: Demonstration, console: Console) -> int:
    """Run a demo, print its results and return the exit code."""
    await demo.start()
    try:
        with Live(console=console, refresh_per_second=1 / REFRESH_S, transient=True) as live:
            changes = asyncio.get_running_loop().create_task(demo.run())
            while not changes.done():
                live.update(demo.progress())
                await asyncio.wait([changes], timeout=REFRESH_S)
            changes.result()
        checks = demo.checks()
        demo.print_result(console, checks)
    finally:
        await demo.close()
    return 0 if all(check.passed for check in checks) else EXIT_FAILED
