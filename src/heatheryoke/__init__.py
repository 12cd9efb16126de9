"""A layer-4 load balancer that keeps each flow's state beside the upstream that serves it."""

__all__ = ["__version__"]

__version__ = "0.1.0"
