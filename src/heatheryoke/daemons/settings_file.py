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
        self.taken_ns = self.read_modified_ns()
        self.read_ns = self.taken_ns
        self.next_check = now + CHECK_INTERVAL_S

    def read(self) -> tuple[StreamSettings | None, tuple[SettingProblem, ...]]:
        """Return the settings, or None and all problems found."""
        # Taken before the contents are read, so that a later change is not missed.
        self.read_ns = self.read_modified_ns()
        return read_stream_settings(self.path, self.role)

    def read_modified_ns(self) -> int | None:
        """Return the modification time in nanoseconds, None if it cannot be read."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            return None

    def has_changed(self, now: float) -> bool:
        """Return whether the file was modified since the settings in use were read.

        The modification time is checked at most once in `CHECK_INTERVAL_S`. A file that was refused
        still counts as modified: it may have been read while it was being written, and the rest
        may come within the resolution of its modification time.
        """
        if now < self.next_check:
            return False
        self.next_check = now + CHECK_INTERVAL_S
        modified_ns = self.read_modified_ns()
        return modified_ns is not None and modified_ns != self.taken_ns

    def take(self) -> None:
        """Record that the settings that were read last are in use."""
        self.taken_ns = self.read_ns

    def is_unchanged(self) -> bool:
        """Return whether the file is unchanged since it was read last."""
        return self.read_ns == self.read_modified_ns()
