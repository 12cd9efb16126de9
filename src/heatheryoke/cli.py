"""Command line of heatheryoke.

Exit codes: 0 success; 1 failure at run time or of a check in a demo or soak; 2 invalid settings,
inventory or arguments; 3 immediate exit after a second signal.
"""

from typing import Annotated

import typer

from heatheryoke import __version__
from heatheryoke.commands import daemons, experiments, inspection, inventory
from heatheryoke.commands.console import console

__all__ = ["app", "main"]

app = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help=__doc__)
for group in (daemons, inspection, experiments):
    app.add_typer(group.app)
app.add_typer(inventory.app, name="inventory")


def main() -> None:
    """Run the command line."""
    app()


def _show_version(value: bool) -> None:
    if value:
        console.print(f"heatheryoke {__version__}")
        raise typer.Exit


@app.callback()
def options(
    version: Annotated[
        bool, typer.Option("--version", callback=_show_version, is_eager=True)
    ] = False,
) -> None:
    """A layer-4 load balancer whose flows are owned by agents next to the upstreams."""
