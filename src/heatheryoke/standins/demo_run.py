"""What every demo shares: promises, and running its changes while their progress is shown."""

import asyncio
from abc import ABC, abstractmethod
from typing import NamedTuple

from rich.console import Console
from rich.live import Live
from rich.table import Table

__all__ = ["Check", "Demonstration", "check_table", "run_demonstration"]

EXIT_BROKEN = 1
REFRESH_S = 0.25


class Check(NamedTuple):
    """One promise, with what was seen."""

    promise: str
    seen: str
    kept: bool


class Demonstration(ABC):
    """A deployment with callers, and changes that are made meanwhile."""

    @abstractmethod
    async def start(self) -> None:
        """Start the deployment and its callers."""

    @abstractmethod
    async def run(self) -> None:
        """Make one change after another."""

    @abstractmethod
    async def close(self) -> None:
        """End everything."""

    @abstractmethod
    def progress(self) -> str:
        """Return one line on how it stands."""

    @abstractmethod
    def checks(self) -> list[Check]:
        """Return each promise with what was seen."""

    @abstractmethod
    def print_result(self, console: Console, checks: list[Check]) -> None:
        """Print what was seen."""


def check_table(title: str, checks: list[Check]) -> Table:
    """Return a table of promises, whose first column is called `title`."""
    table = Table(title, "seen", "kept")
    for check in checks:
        table.add_row(check.promise, check.seen, "yes" if check.kept else "BROKEN")
    return table


async def run_demonstration(demo: Demonstration, console: Console) -> int:
    """Run a demo and print what was seen; return the exit code."""
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
    return 0 if all(check.kept for check in checks) else EXIT_BROKEN
