"""Commands that import, check and compare inventories."""

from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from heatheryoke.commands.console import EXIT_FAILED, console, exit_invalid
from heatheryoke.commands.inspection import fetch
from heatheryoke.inventory.checks import check_document
from heatheryoke.inventory.document import decode_document
from heatheryoke.inventory.importer import import_inventory

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Import, check and compare inventories.")


@app.command("import")
def import_command(
    assets: Annotated[Path, typer.Option(help="The asset register (CSV).")],
    rules: Annotated[Path, typer.Option(help="The operators' rules (INI).")],
    output: Annotated[Path, typer.Option(help="The file to write the document to.")],
) -> None:
    """Write the document to publish, if the inventory is valid.

    Example: heatheryoke inventory import --assets a.csv --rules r.ini --output inventory.bin
    """
    result = import_inventory(assets, rules)
    if isinstance(result, Failure):
        exit_invalid(result.failure())
    document, published = result.unwrap()
    output.write_bytes(published)
    console.print(
        f"version {document.version}: {len(document.hosts)} hosts, "
        f"{len(document.services)} services, {len(document.endpoints)} endpoints, "
        f"{len(published)} bytes"
    )


@app.command("check")
def check_inventory(
    file: Annotated[Path, typer.Argument(help="A document written by `inventory import`.")],
) -> None:
    """Validate a document. Example: heatheryoke inventory check inventory.bin."""
    try:
        decoded = decode_document(file.read_bytes())
    except OSError as error:
        exit_invalid((error,))
    if isinstance(decoded, Failure):
        exit_invalid((f"{file}: {decoded.failure()}",))
    document = decoded.unwrap()
    problems = check_document(document)
    if problems:
        exit_invalid(tuple(f"{file}: {problem}" for problem in problems))
    console.print(f"{file}: valid, version {document.version}")


@app.command("in-force")
def in_force(
    addresses: Annotated[
        list[str], typer.Argument(help="Status addresses of the processes, each ip:port.")
    ],
) -> None:
    """Compare the configuration versions in force in several processes; fail if they differ."""
    versions: set[int | None] = set()
    for address in addresses:
        status = fetch(address, "status")
        versions.add(status["epoch"] if status else None)
        console.print(f"{address}  {status['epoch'] if status else 'no answer'}")
    if len(versions) > 1 or None in versions:
        raise typer.Exit(EXIT_FAILED)
