"""The platform's interface to a process: its readiness check and its settings variable."""

__all__ = ["READY_PATH", "SETTINGS_VARIABLE"]

# Responds with 200 while callers' packets should be sent to this process, 503 otherwise.
READY_PATH = "/v1/ready"
# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "HEATHERYOKE_BOOT"
