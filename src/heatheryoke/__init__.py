"""A layer-4 load balancer whose flows are owned beside the upstreams that serve them."""

__all__ = ["__version__"]

__version__ = "0.1.0"
