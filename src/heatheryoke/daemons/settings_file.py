"""The settings file of a process of byte streams, which may change without a signal."""

from pathlib import Path

from heatheryoke.daemons.setting_values import SettingProblem
from heatheryoke.daemons.stream_settings import StreamSettings, read_stream_settings
from heatheryoke.inventory.model import Role

__all__ = ["SettingsFile"]

# How often the file is looked at.
CHECK_S = 1.0


class SettingsFile:
    """Reads the file of one role, and notices when it is written anew."""

    def __init__(self, path: Path, role: Role, now: float):
        self.path = path
        self.role = role
        self.stamp = self.read_stamp()
        self.next_check = now + CHECK_S

    def read(self) -> tuple[StreamSettings | None, tuple[SettingProblem, ...]]:
        """Return the settings, or None and every problem."""
        return read_stream_settings(self.path, self.role)

    def read_stamp(self) -> int | None:
        """Return when the file was last written, None if it cannot be told."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            return None

    def has_changed(self, now: float) -> bool:
        """Tell, each change once and at most every `CHECK_S`, whether the file was written."""
        if now < self.next_check:
            return False
        self.next_check = now + CHECK_S
        stamp = self.read_stamp()
        if stamp is None or stamp == self.stamp:
            return False
        self.stamp = stamp
        return True
