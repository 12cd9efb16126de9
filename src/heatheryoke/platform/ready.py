"""The platform's readiness call: 200 while callers' packets should come, 503 otherwise."""

__all__ = ["READY_PATH"]

READY_PATH = "/v1/ready"
