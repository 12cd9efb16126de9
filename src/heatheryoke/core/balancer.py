"""The balancer's reducer: sends each caller's packet to the owner or a home of its flow."""

from heatheryoke.core.forwarder import Forwarder
from heatheryoke.core.ring_node import RingNode

__all__ = ["Balancer"]

STOP_LINGER_S = 1.0


class Balancer(Forwarder, RingNode):
    """A balancer whose only state is the configuration and a bounded cache of flow owners."""

    def is_idle(self, now: float) -> bool:
        """Return whether the fabric has had time to notice the stop."""
        return self.stopping_since is not None and now - self.stopping_since > STOP_LINGER_S
