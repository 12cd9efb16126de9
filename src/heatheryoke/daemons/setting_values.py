"""Parsers for setting values. Each raises `ValueError` if the text is invalid."""

import configparser
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from heatheryoke.inventory.model import Address

__all__ = ["SettingProblem", "parse_name", "parse_names", "parse_ports", "parse_seconds"]
__all__ += ["find_unknown", "parse_boolean", "parse_ip", "parse_milliseconds"]


class SettingProblem(NamedTuple):
    """An error in a settings file; `section` is empty if the file cannot be read or parsed."""

    file: str
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        if not self.section:
            return f"{self.file}: {self.reason}"
        return f"{self.file}: [{self.section}] {self.key} = {self.value!r}: {self.reason}"


def parse_name(text: str) -> str:
    """Return a name of letters, digits, dots, dashes and underscores."""
    if not text or not all(letter.isalnum() or letter in ".-_" for letter in text):
        raise ValueError("must consist of letters, digits, '.', '-' and '_'")
    return text


def parse_names(text: str) -> tuple[str, ...]:
    """Return the names in a list separated by commas, none if the text is empty."""
    if not text.isprintable():
        raise ValueError("must be printable names separated by commas")
    return tuple(name.strip() for name in text.split(",") if name.strip())


def parse_ip(text: str) -> str:
    """Return an IPv4 address in dotted form."""
    return Address.parse(f"{text}:1").ip


def parse_ports(text: str) -> tuple[int, int]:
    """Return the first and the last port of a range written as `first,last`."""
    first, _, last = text.partition(",")
    if not (first.isdecimal() and last.isdecimal() and 0 < int(first) <= int(last) < 65_536):
        raise ValueError("must be two ports as first,last, each 1 to 65535, first not above last")
    return int(first), int(last)


def parse_seconds(text: str) -> float:
    """Return a positive, finite number of seconds."""
    number = float(text)
    if not 0 < number < float("inf"):
        raise ValueError("must be positive and finite")
    return number


def parse_milliseconds(text: str) -> float:
    """Return a positive, finite number of milliseconds, converted to seconds."""
    return parse_seconds(text) / 1000


def parse_boolean(text: str) -> bool:
    """Return True for `true` and False for `false`; accept no other text."""
    if text not in ("true", "false"):
        raise ValueError("must be true or false")
    return text == "true"


def find_unknown(
    path: Path, parser: configparser.ConfigParser, known: Iterable[tuple[str, str]]
) -> list[SettingProblem]:
    """Return a problem for each section and key that is not among the `known` pairs."""
    known = set(known)
    sections = {section for section, _ in known}
    problems: list[SettingProblem] = []
    for section in parser.sections():
        if section not in sections:
            problems.append(SettingProblem(str(path), section, "", "", "unknown section"))
            continue
        for key, value in parser[section].items():
            if (section, key) not in known:
                problems.append(SettingProblem(str(path), section, key, value, "unknown key"))
    return problems
