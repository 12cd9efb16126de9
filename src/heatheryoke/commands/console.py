"""What all commands share: consoles, exit codes and common parameters."""

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

__all__ = [
    "EXIT_FAILED",
    "EXIT_INVALID",
    "AsJson",
    "SettingsPath",
    "StatusAddress",
    "console",
    "error_console",
    "exit_invalid",
]

EXIT_FAILED = 1
EXIT_INVALID = 2

console = Console()
error_console = Console(stderr=True)

SettingsPath = Annotated[Path, typer.Argument(help="The daemon's settings file (INI).")]
StatusAddress = Annotated[str, typer.Argument(help="A process's status address, ip:port.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print machine-readable JSON.")]


def exit_invalid(problems: tuple[object, ...]) -> None:
    """Print one line for each problem of the input, and exit."""
    for problem in problems:
        error_console.print(str(problem), markup=False, highlight=False, soft_wrap=True)
    raise typer.Exit(EXIT_INVALID)
