"""Formatting of settings as a settings file, for processes that a stand-in starts."""

from collections.abc import Iterable
from typing import Any

from heatheryoke.daemons.settings import Setting
from heatheryoke.daemons.stream_settings import StreamSetting
from heatheryoke.inventory.model import Address, Role

__all__ = ["settings_text"]


def settings_text(declared: Iterable[Setting | StreamSetting], settings: Any, role: Role) -> str:
    """Return the text of a role's settings file; settings that are None are left out."""
    sections: dict[str, list[str]] = {}
    for setting in declared:
        value = getattr(settings, setting.field)
        if role in setting.roles and value is not None:
            line = f"{setting.key} = {_value_text(setting.key, value)}"
            sections.setdefault(setting.section, []).append(line)
    return "\n".join("\n".join([f"[{name}]", *lines]) for name, lines in sections.items())


def _value_text(key: str, value: Any) -> str:
    if key.endswith("_ms"):
        return str(value * 1000)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, tuple) and not isinstance(value, Address):
        return ",".join(map(str, value))
    return value.isoformat() if hasattr(value, "isoformat") else str(value)
