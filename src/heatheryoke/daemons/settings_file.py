"""The settings file of a byte-stream daemon, polled because it may change without a signal."""

from pathlib import Path

from heatheryoke.daemons.setting_values import SettingProblem
from heatheryoke.daemons.stream_settings import StreamSettings, read_stream_settings
from heatheryoke.inventory.model import Role

__all__ = ["SettingsFile"]

# Interval between checks of the modification time.
CHECK_INTERVAL_S = 1.0


class SettingsFile:
    """Reads a role's settings file and detects when it has changed."""

    def __init__(self, path: Path, role: Role, now: float):
        self.path = path
        self.role = role
        self.modified_ns = self.read_modified_ns()
        self.next_check = now + CHECK_INTERVAL_S

    def read(self) -> tuple[StreamSettings | None, tuple[SettingProblem, ...]]:
        """Return the settings, or None and all problems found."""
        return read_stream_settings(self.path, self.role)

    def read_modified_ns(self) -> int | None:
        """Return the modification time in nanoseconds, None if it cannot be read."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            return None

    def has_changed(self, now: float) -> bool:
        """Return whether the file was modified since the last change that was reported.

        The modification time is checked at most once in `CHECK_INTERVAL_S`.
        """
        if now < self.next_check:
            return False
        self.next_check = now + CHECK_INTERVAL_S
        modified_ns = self.read_modified_ns()
        if modified_ns is None or modified_ns == self.modified_ns:
            return False
        self.modified_ns = modified_ns
        return True
