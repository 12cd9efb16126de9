"""Values of settings, checked as they are read. Each function raises `ValueError`."""

from typing import NamedTuple

__all__ = ["SettingProblem", "parse_name", "parse_ports", "parse_seconds"]
__all__ += ["parse_milliseconds", "parse_switch"]


class SettingProblem(NamedTuple):
    """One setting that cannot be used."""

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
    """Return a name of letters, digits, dots and dashes."""
    if not text or not all(letter.isalnum() or letter in ".-_" for letter in text):
        raise ValueError("must be letters, digits, '.', '-' or '_'")
    return text


def parse_ports(text: str) -> tuple[int, int]:
    """Return the first and last port in `first,last`."""
    first, _, last = text.partition(",")
    if not (first.isdecimal() and last.isdecimal() and 0 < int(first) <= int(last) < 65_536):
        raise ValueError("must be first,last")
    return int(first), int(last)


def parse_seconds(text: str) -> float:
    """Return a positive number of seconds."""
    number = float(text)
    if not 0 < number < float("inf"):
        raise ValueError("must be positive")
    return number


def parse_milliseconds(text: str) -> float:
    """Return the seconds in a positive number of milliseconds."""
    return parse_seconds(text) / 1000


def parse_switch(text: str) -> bool:
    """Return whether the text is `true`; only `false` is the other."""
    if text not in ("true", "false"):
        raise ValueError("must be true or false")
    return text == "true"
