"""The settings file of a byte-stream daemon, polled because it may change without a signal."""

from pathlib import Path

from heatheryoke.daemons.setting_values import SettingProblem
from heatheryoke.daemons.stream_settings import StreamSettings, read_stream_settings
from heatheryoke.inventory.model import Role

__all__ = ["SettingsFile"]

# Interval between checks of the modification time.
CHECK_S = 1.0


class SettingsFile:
    """Reads a role's settings file and detects when it has changed."""

    def __init__(self, path: Path, role: Role, now: float):
        self.path = path
        self.role = role
        self.stamp = self.read_stamp()
        self.next_check = now + CHECK_S

    def read(self) -> tuple[StreamSettings | None, tuple[SettingProblem, ...]]:
        """Return the settings, or None and all problems found."""
        return read_stream_settings(self.path, self.role)

    def read_stamp(self) -> int | None:
        """Return the modification time in nanoseconds, None if it cannot be read."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            return None

    def has_changed(self, now: float) -> bool:
        """Return whether the file was modified since the last change that was reported.

        The modification time is checked at most once in `CHECK_S`.
        """
        if now < self.next_check:
            return False
        self.next_check = now + CHECK_S
        stamp = self.read_stamp()
        if stamp is None or stamp == self.stamp:
            return False
        self.stamp = stamp
        return True
