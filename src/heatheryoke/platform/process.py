"""What the platform asks of a process, and what it tells one at its start."""

__all__ = ["READY_PATH", "SETTINGS_VARIABLE"]

# Answers 200 while callers' packets should come, 503 otherwise.
READY_PATH = "/v1/ready"
# The environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "HEATHERYOKE_BOOT"
