"""The platform's interface to a process: its readiness check, settings variable and contracts."""

__all__ = ["READY_PATH", "SETTINGS_VARIABLE", "requires_judgement"]

# Responds with 200 while callers' packets should be sent to this process, 503 otherwise.
READY_PATH = "/v1/ready"
# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "HEATHERYOKE_BOOT"
# The contract under which upstreams fail although their health check succeeds.
HEALTH_CONTRACT = "health"


def requires_judgement(contracts: tuple[str, ...]) -> bool:
    """Return whether the contracts in force ask to judge upstreams by their answers."""
    return HEALTH_CONTRACT in contracts
