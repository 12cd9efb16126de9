"""Import of the asset register's CSV file and the operators' rules into a document.

Each row of the CSV file describes an object of the type in its column `kind`; `COLUMNS` lists the
columns that each kind requires.
"""

import configparser
import csv
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from heatheryoke.inventory.checks import check_document
from heatheryoke.inventory.document import MAXIMUM_DOCUMENT_BYTES, encode_document
from heatheryoke.inventory.model import (
    Address,
    Document,
    Endpoint,
    FailureDomain,
    Host,
    HostState,
    Protocol,
    Role,
    Service,
)

__all__ = ["COLUMNS", "ImportProblem", "import_inventory"]

COLUMNS = {
    "failure_domain": ("name", "region"),
    "host": ("name", "failure_domain", "role", "address"),
    "service": ("name", "address", "tenant", "protocol"),
    "endpoint": ("service", "host", "address", "slots", "connections"),
}


# Prefix of the keys that end in the name of a request class.
CLASS_WEIGHT_PREFIX = "weight."


class ImportProblem(NamedTuple):
    """A reason why an import is refused, with its place in the files."""

    location: str
    reason: str

    def __str__(self) -> str:
        return f"{self.location}: {self.reason}"


class Importer:
    """An import in progress: the rows read and the problems found so far."""

    def __init__(self):
        self.rows: dict[str, list[Any]] = {kind: [] for kind in COLUMNS}
        self.problems: list[ImportProblem] = []
        self.version = 0

    def build_document(self) -> Document:
        """Return the document with the rows read so far."""
        return Document(
            self.version,
            tuple(self.rows["failure_domain"]),
            tuple(self.rows["host"]),
            tuple(self.rows["service"]),
            tuple(self.rows["endpoint"]),
        )

    def add_problem(self, location: str, reason: object) -> None:
        """Record a problem."""
        self.problems.append(ImportProblem(location, " ".join(str(reason).split())))

    def find_index(self, kind: str, matches: Callable[[Any], bool]) -> int | None:
        """Return the index of the first row that matches."""
        rows = self.rows[kind]
        return next((index for index, row in enumerate(rows) if matches(row)), None)


def import_inventory(
    assets: Path, rules: Path
) -> Result[tuple[Document, bytes], tuple[ImportProblem, ...]]:
    """Import both files; return the document and its published form, or every problem found."""
    importer = Importer()
    _read_assets(importer, assets)
    _read_rules(importer, rules)
    document = importer.build_document()
    for problem in check_document(document):
        importer.add_problem(str(assets), problem)
    published = encode_document(document)
    if len(published) > MAXIMUM_DOCUMENT_BYTES:
        importer.add_problem(
            str(assets), f"document has {len(published)} bytes, at most 1000000 allowed"
        )
    if importer.problems:
        return Failure(tuple(importer.problems))
    return Success((document, published))


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdecimal():
        raise ValueError(f"address {text!r} must be ip:port")
    return Address(ip, int(port))


def _parse_number(row: dict[str, str], column: str) -> int:
    if not row[column].isdecimal():
        raise ValueError(f"{column} must be a whole number, not {row[column]!r}")
    return int(row[column])


def _parse_choice(kind: type[Role] | type[Protocol] | type[HostState], text: str) -> Any:
    try:
        return kind(text)
    except ValueError:
        allowed = ", ".join(member.value for member in kind)
        raise ValueError(f"{text!r} is not one of {allowed}") from None


ROW_BUILDERS: dict[str, Callable[[dict[str, str]], Any]] = {
    "failure_domain": lambda row: FailureDomain(row["name"], row["region"]),
    "host": lambda row: Host(
        row["name"],
        _parse_choice(Role, row["role"]),
        row["failure_domain"],
        _parse_address(row["address"]),
    ),
    "service": lambda row: Service(
        row["name"],
        _parse_address(row["address"]),
        row["tenant"],
        _parse_choice(Protocol, row["protocol"]),
    ),
    "endpoint": lambda row: Endpoint(
        row["service"],
        row["host"],
        _parse_address(row["address"]),
        _parse_number(row, "slots"),
        _parse_number(row, "connections"),
    ),
}


def _read_assets(importer: Importer, path: Path) -> None:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        importer.add_problem(str(path), error)
        return
    reader = csv.DictReader(text.splitlines())
    for row in reader:
        location = f"{path}: line {reader.line_num}"
        kind = row.get("kind") or ""
        if kind not in COLUMNS:
            importer.add_problem(location, f"unknown kind {kind!r}")
            continue
        missing = [column for column in COLUMNS[kind] if not row.get(column)]
        if missing:
            importer.add_problem(location, f"{kind} is missing {', '.join(missing)}")
            continue
        try:
            importer.rows[kind].append(ROW_BUILDERS[kind](row))
        except ValueError as error:
            importer.add_problem(location, error)


def _normalize_key(key: str) -> str:
    """Return a key in lower case, except for the request class that it may end in."""
    lowered = key.lower()
    if not lowered.startswith(CLASS_WEIGHT_PREFIX):
        return lowered
    return CLASS_WEIGHT_PREFIX + key[len(CLASS_WEIGHT_PREFIX) :]


def _read_rules(importer: Importer, path: Path) -> None:
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = _normalize_key
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        importer.add_problem(str(path), error)
        return
    if not parser.has_option("document", "version"):
        importer.add_problem(str(path), "[document] version is missing")
    for section in parser.sections():
        kind, *names = section.split()
        apply_rule = RULE_HANDLERS.get((kind, len(names)))
        if apply_rule is None:
            importer.add_problem(f"{path}: [{section}]", "unknown section")
            continue
        for key, value in parser[section].items():
            try:
                apply_rule(importer, names, key, value.strip())
            except ValueError as error:
                importer.add_problem(f"{path}: [{section}] {key}", error)


def _apply_document_rule(importer: Importer, names: list[str], key: str, value: str) -> None:
    if key != "version":
        raise ValueError("unknown key")
    if not value.isdecimal():
        raise ValueError(f"must be a whole number, not {value!r}")
    importer.version = int(value)


def _update_row(
    importer: Importer, kind: str, matches: Callable[[Any], bool], **changes: Any
) -> None:
    index = importer.find_index(kind, matches)
    if index is None:
        raise ValueError(f"the asset register has no such {kind}")
    importer.rows[kind][index] = importer.rows[kind][index]._replace(**changes)


def _apply_failure_domain_rule(importer: Importer, names: list[str], key: str, value: str) -> None:
    if key != "withdrawn":
        raise ValueError("unknown key")
    withdrawn = configparser.ConfigParser.BOOLEAN_STATES.get(value.lower())
    if withdrawn is None:
        raise ValueError(f"must be yes or no, not {value!r}")
    _update_row(importer, "failure_domain", lambda row: row.name == names[0], withdrawn=withdrawn)


def _apply_host_rule(importer: Importer, names: list[str], key: str, value: str) -> None:
    if key != "state":
        raise ValueError("unknown key")
    state = _parse_choice(HostState, value)
    _update_row(importer, "host", lambda row: row.name == names[0], state=state)


def _apply_endpoint_rule(importer: Importer, names: list[str], key: str, value: str) -> None:
    if key != "weight":
        raise ValueError("unknown key")
    _update_row(
        importer,
        "endpoint",
        lambda row: (row.service, row.host) == tuple(names),
        weight=float(value),
    )


SERVICE_RULE_PARSERS: dict[str, Callable[[str], Any]] = {
    "floor": float,
    "warm_answers": int,
    "idle_s": float,
    "request_id": str,
    "apart_from": lambda text: tuple(part.strip() for part in text.split(",") if part.strip()),
}


def _apply_service_rule(importer: Importer, names: list[str], key: str, value: str) -> None:
    if key.startswith(CLASS_WEIGHT_PREFIX):
        index = importer.find_index("service", lambda row: row.name == names[0])
        weights = dict(importer.rows["service"][index].class_weights) if index is not None else {}
        weights[key.removeprefix(CLASS_WEIGHT_PREFIX)] = float(value)
        changes: dict[str, Any] = {"class_weights": weights}
    elif key in SERVICE_RULE_PARSERS:
        changes = {key: SERVICE_RULE_PARSERS[key](value)}
    else:
        raise ValueError("unknown key")
    _update_row(importer, "service", lambda row: row.name == names[0], **changes)


RULE_HANDLERS: dict[tuple[str, int], Callable[[Importer, list[str], str, str], None]] = {
    ("document", 0): _apply_document_rule,
    ("failure_domain", 1): _apply_failure_domain_rule,
    ("host", 1): _apply_host_rule,
    ("endpoint", 2): _apply_endpoint_rule,
    ("service", 1): _apply_service_rule,
}
